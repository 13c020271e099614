#include "limits/account.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

// How long a settled loan can be refunded.
constexpr std::chrono::minutes RefundPeriod{10};
// Limit for one account. When it is exceeded, the oldest is dropped and can no longer be refunded.
constexpr std::size_t MaxSettledLoans = 4096;

double secondsBetween(MonoTime from, MonoTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

Account::Account(double tokensPerSecond, double burst, double level, MonoTime refillFrom)
    : tokensPerSecond(tokensPerSecond)
    , burst(burst)
    , tokens(level > 0 ? std::min(level, burst) : 0)
    , lastRefill(refillFrom)
{ }

// Loans expire in order of time, with a refill before each: as long as a loan is open, the refill
// may only reach the burst minus that loan.
void Account::advance(MonoTime now)
{
    for (;;) {
        const auto first = std::min_element(this->loans.begin(), this->loans.end(),
                                            [](const OpenLoan &one, const OpenLoan &other) {
                                                return one.expiresAt < other.expiresAt;
                                            });
        if (first == this->loans.end() || first->expiresAt > now)
            break;
        this->refill(first->expiresAt);
        // An expired loan may have been spent, so its tokens do not return to the bucket.
        this->lent -= first->tokens;
        this->loans.erase(first);
    }
    if (this->loans.empty())
        this->lent = 0;
    this->refill(now);
    std::erase_if(this->settledLoans,
                  [now](const SettledLoan &settledLoan) { return settledLoan.expiresAt <= now; });
}

void Account::refill(MonoTime now)
{
    if (now <= this->lastRefill)
        return;
    const double added = this->tokensPerSecond * secondsBetween(this->lastRefill, now);
    this->tokens = std::max(0.0, std::min(this->burst - this->lent, this->tokens + added));
    this->lastRefill = now;
    this->updatePeaks();
}

void Account::updatePeaks()
{
    const double current = this->total();
    for (SettledLoan &settledLoan : this->settledLoans)
        settledLoan.peak = std::max(settledLoan.peak, current);
}

void Account::setLimits(double newTokensPerSecond, double newBurst, MonoTime now)
{
    this->advance(now);
    this->tokensPerSecond = newTokensPerSecond;
    this->burst = newBurst;
    this->tokens = std::max(0.0, std::min(this->tokens, newBurst - this->lent));
}

double Account::lend(const LoanId &id, double requested, MonoTime until, MonoTime now)
{
    this->advance(now);
    for (const OpenLoan &loan : this->loans) {
        if (loan.id == id)
            return loan.tokens;
    }
    // A delayed or repeated request for a loan that has been settled must not open it again.
    for (const SettledLoan &settledLoan : this->settledLoans) {
        if (settledLoan.id == id)
            return 0;
    }
    // Also refuses what is no number, which no comparison holds for.
    const bool isPositive = requested > 0 && this->tokens > 0;
    if (!isPositive)
        return 0;
    const double granted = std::min(requested, this->tokens);
    this->tokens -= granted;
    this->lent += granted;
    this->loans.push_back({id, granted, until});
    return granted;
}

void Account::settle(const LoanId &id, double spent, MonoTime now)
{
    this->advance(now);
    const auto found = std::find_if(this->loans.begin(), this->loans.end(),
                                    [&id](const OpenLoan &loan) { return loan.id == id; });
    if (found == this->loans.end())
        return;
    const double used
        = std::isfinite(spent) ? std::clamp(spent, 0.0, found->tokens) : found->tokens;
    this->lent -= found->tokens;
    this->tokens = std::min(this->burst - this->lent, this->tokens + found->tokens - used);
    this->loans.erase(found);
    if (this->settledLoans.size() >= MaxSettledLoans)
        this->settledLoans.erase(this->settledLoans.begin());
    this->settledLoans.push_back({id, used, this->total(), now + RefundPeriod});
}

// Had the refunded tokens never been spent, the total would have been higher by as much since the
// loan was settled, and the part above the burst would have overflowed. So no more is refunded
// than fits between the peak since then and the burst. The refund raises the peaks of the other
// settled loans, because their refunds must leave room for it.
void Account::refund(const LoanId &id, double requested, MonoTime now)
{
    this->advance(now);
    const auto found
        = std::find_if(this->settledLoans.begin(), this->settledLoans.end(),
                       [&id](const SettledLoan &settledLoan) { return settledLoan.id == id; });
    if (found == this->settledLoans.end())
        return;
    const double maxRefund = std::max(0.0, this->burst - found->peak);
    const double refunded = std::min({std::max(0.0, requested), found->tokens, maxRefund});
    this->settledLoans.erase(found);
    this->tokens += refunded;
    for (SettledLoan &settledLoan : this->settledLoans)
        settledLoan.peak += refunded;
}

double Account::level(MonoTime now)
{
    this->advance(now);
    return this->tokens;
}

Millis Account::timeUntil(double requested, MonoTime now)
{
    this->advance(now);
    if (requested <= this->tokens)
        return Millis(0);
    if (requested > this->burst || this->tokensPerSecond <= 0)
        return Millis::max();
    const double seconds = (requested - this->tokens) / this->tokensPerSecond;
    const auto untilRefillStarts = std::max(MonoTime::duration(0), this->lastRefill - now);
    return std::chrono::ceil<Millis>(untilRefillStarts)
        + Millis(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

bool Account::isFull(MonoTime now)
{
    this->advance(now);
    return this->tokens + this->lent >= this->burst && this->lent <= 0;
}

} // namespace lavenderhall
