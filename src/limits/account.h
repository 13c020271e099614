#pragma once

#include "base/clock.h"

#include <cstdint>
#include <vector>

/// The token bucket of one organisation in one region, which grants tokens as loans.
///
/// Tokens of loans that are neither settled nor expired count against the burst. Therefore the
/// levels of the organisation's accounts in all regions, plus all loans that may still be spent,
/// never exceed the organisation's burst, and no more than rate * t + burst tokens are spent in
/// any interval t.
namespace lavenderhall {

/// Identifies a loan by the process that borrows and the number that it gave to the loan.
struct LoanId
{
    std::uint64_t borrower = 0; ///< hash of the process's name and incarnation
    std::uint64_t number = 0;

    auto operator<=>(const LoanId &) const = default;
};

class Account
{
public:
    /// \a tokensPerSecond and \a burst are this account's part of the organisation's limits.
    /// The account starts with \a level tokens, at most the burst. Refill begins at
    /// \a refillFrom, which may be in the future.
    Account(double tokensPerSecond, double burst, double level, MonoTime refillFrom);

    /// Changes the limits. A level above the new burst is reduced to it.
    void setLimits(double tokensPerSecond, double burst, MonoTime now);

    /// Lends up to \a tokens until \a until and returns how many were lent. A repeated request
    /// for an open loan returns the same number and lends nothing more; for a settled loan it
    /// returns 0.
    double lend(const LoanId &id, double tokens, MonoTime until, MonoTime now);
    /// Ends a loan of which \a spent tokens were spent and returns the rest to the bucket. Unknown
    /// and expired loans are ignored.
    void settle(const LoanId &id, double spent, MonoTime now);
    /// Returns up to \a tokens of a settled loan to the bucket: only as many as it would still hold
    /// if they had never been spent. Each loan is refunded at most once.
    void refund(const LoanId &id, double tokens, MonoTime now);

    /// Returns the tokens that can be lent now.
    double level(MonoTime now);
    /// Returns the time until \a tokens can be lent if nothing is lent before; Millis::max() if
    /// they exceed the burst or the rate is 0.
    Millis timeUntil(double tokens, MonoTime now);
    /// Whether the level equals the burst and no loan is open.
    bool isFull(MonoTime now);

private:
    struct OpenLoan
    {
        LoanId id;
        double tokens;
        MonoTime expiresAt;
    };
    /// A settled loan that may still be refunded.
    struct SettledLoan
    {
        LoanId id;
        double tokens; ///< spent
        double peak; ///< highest total() since the loan was settled
        MonoTime expiresAt;
    };

    void advance(MonoTime now);
    void refill(MonoTime now);
    /// Returns the level plus all open loans.
    double total() const { return this->tokens + this->lent; }
    void updatePeaks();

    double tokensPerSecond;
    double burst;
    double tokens; ///< the level
    double lent = 0; ///< sum of the open loans
    MonoTime lastRefill;
    std::vector<OpenLoan> loans;
    std::vector<SettledLoan> settledLoans; ///< oldest first
};

} // namespace lavenderhall
