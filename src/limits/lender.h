#pragma once

#include "config/document.h"
#include "limits/account.h"
#include "limits/seats.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// The server side of the token limits: keeps the accounts of the seats that this process holds
/// and answers borrowers.
namespace lavenderhall {

/// The part of an organisation's limits that is enforced in one region.
struct RegionalLimits
{
    double tokensPerSecond = 0;
    double burst = 0;
    double restartTokens = 0; ///< level of an account whose last level was lost with its holder

    auto operator<=>(const RegionalLimits &) const = default;
};

/// Returns the part of \a organisation's limits that belongs to \a region. The parts of all
/// regions add up to the whole. \a clockDrift is SeatTimings::clockDrift.
RegionalLimits regionalLimits(const std::vector<Region> &regions, const Organisation &organisation,
                              const std::string &region, double clockDrift);

/// For each organisation: the tokens that its accounts, in all regions together, start with after
/// their levels were lost, beyond its limits. Organisations that are not listed start with none.
using RestartTokens = std::map<std::string, double>;

/// Keeps the accounts of the held seats of one region and grants loans from them.
class Lender
{
public:
    Lender(std::string region, SeatTimings timings)
        : region(std::move(region))
        , timings(timings)
    { }

    /// Applies the limits of a new configuration to all accounts and removes those of organisations
    /// that no longer exist.
    void configure(const std::vector<Region> &regions,
                   const std::vector<Organisation> &organisations, MonoTime now,
                   const RestartTokens &restartTokens = {});
    /// Starts the accounts of a gained seat anew, unless its term is unchanged. A lost seat changes
    /// nothing.
    void onSeatChange(const SeatChange &change, MonoTime now);

    /// Answers a request for tokens. \a isHeld says whether this process may decide for the seat.
    proto::Loan lend(const proto::ProcessId &borrower, const proto::Borrow &borrow, bool isHeld,
                     MonoTime now);
    /// Ends a loan and returns its unspent tokens to the account.
    void settle(const proto::ProcessId &borrower, const proto::Settle &settle, MonoTime now);
    /// Returns unused tokens of a settled loan to the account.
    void refund(const proto::ProcessId &borrower, const proto::Refund &refund, MonoTime now);

    /// Returns the levels of the seat's accounts that are not full, for the next holder, and
    /// removes the seat's accounts.
    std::vector<proto::AccountLevel> takeLevels(std::uint32_t index, MonoTime now);
    /// Returns the number of accounts kept.
    std::size_t accountCount() const;
    /// Whether any organisation's account belongs to the seat.
    bool isNeeded(std::uint32_t index) const { return this->neededSeats.contains(index); }

private:
    /// The accounts of one seat. An account is created when it is first used.
    struct SeatAccounts
    {
        std::int64_t term = 0; ///< 0: not held, or handed over
        bool startsFull = false; ///< accounts not among handedOverLevels start full
        bool startsWithRestartTokens = false; ///< else they start with these, or empty
        MonoTime refillFrom{};
        std::map<std::string, double> handedOverLevels;
        std::map<std::string, Account> accounts;
    };

    /// Returns the organisation's account, created if necessary; nullptr if the organisation is not
    /// configured.
    Account *accountOf(const std::string &organisation, MonoTime now);

    std::string region;
    SeatTimings timings;
    std::map<std::string, RegionalLimits> limits;
    std::set<std::uint32_t> neededSeats;
    std::map<std::uint32_t, SeatAccounts> accountsBySeat;
};

} // namespace lavenderhall
