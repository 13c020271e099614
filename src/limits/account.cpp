#include "limits/account.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

constexpr std::chrono::minutes ChargeMemory{10};
constexpr std::size_t MaxCharges = 4096;

double secondsBetween(MonoTime from, MonoTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

Account::Account(double tokensPerSecond, double burst, double level, MonoTime refillFrom)
    : tokensPerSecond(tokensPerSecond)
    , burst(burst)
    , tokens(std::min(level, burst))
    , last(refillFrom)
{ }

// Loans lapse one after the other, so that what is refilled while one runs stays under the room
// that it leaves.
void Account::advance(MonoTime now)
{
    for (;;) {
        const auto first = std::min_element(
            this->loans.begin(), this->loans.end(),
            [](const LoanEntry &one, const LoanEntry &other) { return one.until < other.until; });
        if (first == this->loans.end() || first->until > now)
            break;
        this->refill(first->until);
        // A lapsed loan may have been spent, so it does not come back.
        this->lent -= first->tokens;
        this->loans.erase(first);
    }
    if (this->loans.empty())
        this->lent = 0;
    this->refill(now);
    std::erase_if(this->charges, [now](const Charge &charge) { return charge.forgetAt <= now; });
}

void Account::refill(MonoTime now)
{
    if (now <= this->last)
        return;
    const double added = this->tokensPerSecond * secondsBetween(this->last, now);
    this->tokens = std::max(0.0, std::min(this->burst - this->lent, this->tokens + added));
    this->last = now;
    this->notePeak();
}

void Account::notePeak()
{
    const double now = this->total();
    for (Charge &charge : this->charges)
        charge.peak = std::max(charge.peak, now);
}

void Account::setLimits(double newRate, double newBurst, MonoTime now)
{
    this->advance(now);
    this->tokensPerSecond = newRate;
    this->burst = newBurst;
    this->tokens = std::max(0.0, std::min(this->tokens, newBurst - this->lent));
}

double Account::lend(const LoanId &id, double wanted, MonoTime until, MonoTime now)
{
    this->advance(now);
    for (const LoanEntry &loan : this->loans) {
        if (loan.id == id)
            return loan.tokens;
    }
    // A repeated question about a loan that has ended must not open it again.
    for (const Charge &charge : this->charges) {
        if (charge.id == id)
            return 0;
    }
    const double given = std::min(wanted, this->tokens);
    if (given <= 0)
        return 0;
    this->tokens -= given;
    this->lent += given;
    this->loans.push_back({id, given, until});
    return given;
}

void Account::settle(const LoanId &id, double spent, MonoTime now)
{
    this->advance(now);
    const auto found = std::find_if(this->loans.begin(), this->loans.end(),
                                    [&id](const LoanEntry &loan) { return loan.id == id; });
    if (found == this->loans.end())
        return;
    const double used = std::clamp(spent, 0.0, found->tokens);
    this->lent -= found->tokens;
    this->tokens = std::min(this->burst - this->lent, this->tokens + found->tokens - used);
    this->loans.erase(found);
    if (this->charges.size() >= MaxCharges)
        this->charges.erase(this->charges.begin());
    this->charges.push_back({id, used, this->total(), now + ChargeMemory});
}

// A bucket that had been charged less from the start would have overflowed by as much as its
// peak since then comes above the burst; that part is not given back. What is given back counts
// as having been there for the other charges too.
void Account::refund(const LoanId &id, double wanted, MonoTime now)
{
    this->advance(now);
    const auto found = std::find_if(this->charges.begin(), this->charges.end(),
                                    [&id](const Charge &charge) { return charge.id == id; });
    if (found == this->charges.end())
        return;
    const double room = std::max(0.0, this->burst - found->peak);
    const double given = std::min({std::max(0.0, wanted), found->tokens, room});
    this->charges.erase(found);
    this->tokens += given;
    for (Charge &charge : this->charges)
        charge.peak += given;
}

double Account::level(MonoTime now)
{
    this->advance(now);
    return this->tokens;
}

Millis Account::timeUntil(double wanted, MonoTime now)
{
    this->advance(now);
    if (wanted <= this->tokens)
        return Millis(0);
    if (wanted > this->burst || this->tokensPerSecond <= 0)
        return Millis::max();
    const double seconds = (wanted - this->tokens) / this->tokensPerSecond;
    const auto ahead = std::max(MonoTime::duration(0), this->last - now);
    return std::chrono::ceil<Millis>(ahead)
        + Millis(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

bool Account::isFull(MonoTime now)
{
    this->advance(now);
    return this->tokens + this->lent >= this->burst && this->lent <= 0;
}

} // namespace lavenderhall
