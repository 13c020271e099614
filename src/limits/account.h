#pragma once

#include "base/clock.h"

#include <cstdint>
#include <vector>

/// One organisation's tokens in one region's seat: a token bucket that lends.
///
/// What the account has lent and not yet heard back of counts against its burst. So the level of
/// all accounts together, plus all that has been lent and may still be spent, never exceeds the
/// organisation's burst, and over any interval t no more than rate * t + burst is spent.
namespace lavenderhall {

/// Identifies a loan: a hash of the borrower's process, and its number there.
struct LoanId
{
    std::uint64_t borrower = 0;
    std::uint64_t number = 0;

    auto operator<=>(const LoanId &) const = default;
};

class Account
{
public:
    /// \a tokensPerSecond and \a burst are this account's part of the organisation's limits.
    /// Refill begins at \a refillFrom, which may lie ahead.
    Account(double tokensPerSecond, double burst, double level, MonoTime refillFrom);

    /// Changes the limits; a level over the new burst is cut.
    void setLimits(double tokensPerSecond, double burst, MonoTime now);

    /// Lends up to \a tokens until \a until and returns how much. A loan asked for twice is
    /// given once, with the same answer.
    double lend(const LoanId &id, double tokens, MonoTime until, MonoTime now);
    /// Ends a loan of which \a spent was spent; the rest goes back. Unknown loans are ignored.
    void settle(const LoanId &id, double spent, MonoTime now);
    /// Gives back \a tokens of a settled loan, as far as the account could have kept them.
    void refund(const LoanId &id, double tokens, MonoTime now);

    double level(MonoTime now);
    /// Time until \a tokens will have been refilled if nothing is lent before; Millis::max() if
    /// they exceed the burst.
    Millis timeUntil(double tokens, MonoTime now);
    bool isFull(MonoTime now);

private:
    struct LoanEntry
    {
        LoanId id;
        double tokens;
        MonoTime until;
    };
    struct Charge
    {
        LoanId id;
        double tokens;
        double peak; ///< highest total since the charge
        MonoTime forgetAt;
    };

    void advance(MonoTime now);
    void refill(MonoTime now);
    double total() const { return this->tokens + this->lent; }
    void notePeak();

    double tokensPerSecond;
    double burst;
    double tokens;
    double lent = 0;
    MonoTime last;
    std::vector<LoanEntry> loans;
    std::vector<Charge> charges;
};

} // namespace lavenderhall
