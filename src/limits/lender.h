#pragma once

#include "config/document.h"
#include "limits/account.h"
#include "limits/seats.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// A seat holder's side of limits: the accounts of the seats held, and answers to borrowers.
namespace lavenderhall {

/// One organisation's part of its limits in this region.
struct RegionalLimits
{
    double tokensPerSecond = 0;
    double burst = 0;
    double atRestart = 0; ///< an account begins with, when the levels before were lost

    auto operator<=>(const RegionalLimits &) const = default;
};

/// Returns the part of \a organisation's limits that belongs to \a region. The parts of all
/// regions add up to the whole.
RegionalLimits limitsIn(const std::vector<Region> &regions, const Organisation &organisation,
                        const std::string &region);

/// Tokens that an organisation's accounts of all regions may begin with when their levels were
/// lost, beyond its limits; none for those that are not named.
using RestartTokens = std::map<std::string, double>;

class Lender
{
public:
    Lender(std::string region, SeatTimings timings)
        : region(std::move(region))
        , timings(timings)
    { }

    void configure(const std::vector<Region> &regions,
                   const std::vector<Organisation> &organisations, MonoTime now,
                   const RestartTokens &restart = {});
    /// Takes in that a seat was gained or lost.
    void onSeatChange(const SeatChange &change, MonoTime now);

    /// Answers a question for tokens; \a isHeld says whether this process may decide.
    proto::Loan lend(const proto::ProcessId &borrower, const proto::Borrow &borrow, bool isHeld,
                     MonoTime now);
    void settle(const proto::ProcessId &borrower, const proto::Settle &settle, MonoTime now);
    void refund(const proto::ProcessId &borrower, const proto::Refund &refund, MonoTime now);

    /// Levels of the seat's accounts that are not full.
    std::vector<proto::AccountLevel> takeLevels(std::uint32_t index, MonoTime now);
    std::size_t accountCount() const;
    /// Whether any organisation's account belongs to the seat.
    bool isNeeded(std::uint32_t index) const { return this->neededSeats.contains(index); }

private:
    struct Book
    {
        std::int64_t term = 0;
        bool startsFull = false;
        bool startsWithGrant = false; ///< with RegionalLimits::atRestart
        MonoTime refillFrom{};
        std::map<std::string, double> handedLevels;
        std::map<std::string, Account> accounts; ///< only those that were ever asked for
    };

    Account *accountOf(const std::string &organisation, MonoTime now);

    std::string region;
    SeatTimings timings;
    std::map<std::string, RegionalLimits> limits;
    std::set<std::uint32_t> neededSeats;
    std::map<std::uint32_t, Book> books;
};

} // namespace lavenderhall
