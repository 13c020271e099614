#include "limits/lender.h"

#include "base/digest.h"

#include <algorithm>
#include <numeric>

namespace lavenderhall {

namespace {

constexpr Millis LongWait{3'600'000};

LoanId loanId(const proto::ProcessId &borrower, std::uint64_t number)
{
    return {hash64(borrower.name(), borrower.incarnation()), number};
}

} // namespace

RegionalLimits limitsIn(const std::vector<Region> &regions, const Organisation &organisation,
                        const std::string &region)
{
    std::int64_t total = 0;
    std::int64_t own = 0;
    for (const Region &entry : regions) {
        total += entry.share;
        if (entry.name == region)
            own = entry.share;
    }
    if (total == 0)
        return {};
    const double part = static_cast<double>(own) / static_cast<double>(total);
    // A clock that runs ahead must not refill more than the rate.
    const double slowed = 1 - SeatTimings{}.clockDrift;
    return {part * slowed * static_cast<double>(organisation.tokensPerSecond),
            part * static_cast<double>(organisation.burstTokens)};
}

void Lender::configure(const std::vector<Region> &regions,
                       const std::vector<Organisation> &organisations, MonoTime now,
                       const RestartTokens &restart)
{
    this->limits.clear();
    this->neededSeats.clear();
    for (const Organisation &organisation : organisations)
        this->neededSeats.insert(seatOf(organisation.name));
    for (const Organisation &organisation : organisations) {
        RegionalLimits part = limitsIn(regions, organisation, this->region);
        const auto granted = restart.find(organisation.name);
        if (granted != restart.end() && organisation.burstTokens > 0)
            part.atRestart
                = granted->second * part.burst / static_cast<double>(organisation.burstTokens);
        this->limits.emplace(organisation.name, part);
    }
    for (auto &[index, book] : this->books) {
        std::erase_if(book.accounts,
                      [this](const auto &entry) { return !this->limits.contains(entry.first); });
        for (auto &[name, account] : book.accounts) {
            const RegionalLimits &limit = this->limits.at(name);
            account.setLimits(limit.tokensPerSecond, limit.burst, now);
        }
    }
}

void Lender::onSeatChange(const SeatChange &change, MonoTime now)
{
    if (!change.isGained)
        return;
    Book &book = this->books[change.index];
    // Nobody else can have decided while the term has stayed the same.
    if (book.term == change.term)
        return;
    book = {};
    book.term = change.term;
    book.startsFull = change.isFirst || change.wasHandedOver;
    book.startsWithGrant = change.mayGrantAtStart;
    for (const proto::AccountLevel &level : change.levels)
        book.handedLevels[level.organisation()] = level.level();
    // What the holder before has lent may be spent until then, so nothing is added meanwhile.
    book.refillFrom = now;
    if (!change.isFirst)
        book.refillFrom += std::chrono::duration_cast<MonoTime::duration>(
            this->timings.loanValidity * (1 + this->timings.clockDrift));
}

Account *Lender::accountOf(const std::string &organisation, MonoTime now)
{
    const auto limit = this->limits.find(organisation);
    if (limit == this->limits.end())
        return nullptr;
    Book &book = this->books[seatOf(organisation)];
    const auto found = book.accounts.find(organisation);
    if (found != book.accounts.end())
        return &found->second;
    const auto handed = book.handedLevels.find(organisation);
    const double unknown
        = book.startsWithGrant ? std::min(limit->second.atRestart, limit->second.burst) : 0;
    const double level = handed != book.handedLevels.end() ? handed->second
        : book.startsFull                                  ? limit->second.burst
                                                           : unknown;
    const auto added = book.accounts.emplace(
        organisation,
        Account(limit->second.tokensPerSecond, limit->second.burst, level, book.refillFrom));
    Account &account = added.first->second;
    account.level(now);
    return &account;
}

proto::Loan Lender::lend(const proto::ProcessId &borrower, const proto::Borrow &borrow, bool isHeld,
                         MonoTime now)
{
    proto::Loan loan;
    loan.set_loan(borrow.loan());
    loan.set_region(this->region);
    loan.set_not_holder(!isHeld);
    if (!isHeld)
        return loan;
    Account *account = this->accountOf(borrow.organisation(), now);
    if (!account)
        return loan;
    const MonoTime until = now
        + std::chrono::duration_cast<MonoTime::duration>(this->timings.loanValidity
                                                         * (1 + this->timings.clockDrift));
    const double given
        = account->lend(loanId(borrower, borrow.loan()), borrow.tokens(), until, now);
    loan.set_tokens(given);
    const double missing = borrow.tokens() - given;
    if (missing > 0)
        loan.set_wait_ms(std::min(account->timeUntil(missing, now), LongWait).count());
    return loan;
}

void Lender::settle(const proto::ProcessId &borrower, const proto::Settle &settle, MonoTime now)
{
    if (Account *account = this->accountOf(settle.organisation(), now))
        account->settle(loanId(borrower, settle.loan()), settle.spent(), now);
}

void Lender::refund(const proto::ProcessId &borrower, const proto::Refund &refund, MonoTime now)
{
    if (Account *account = this->accountOf(refund.organisation(), now))
        account->refund(loanId(borrower, refund.loan()), refund.tokens(), now);
}

std::vector<proto::AccountLevel> Lender::takeLevels(std::uint32_t index, MonoTime now)
{
    std::vector<proto::AccountLevel> result;
    Book &book = this->books[index];
    for (const auto &[organisation, limit] : this->limits) {
        if (seatOf(organisation) != index)
            continue;
        Account *account = this->accountOf(organisation, now);
        if (account->isFull(now))
            continue;
        proto::AccountLevel level;
        level.set_organisation(organisation);
        level.set_level(account->level(now));
        result.push_back(std::move(level));
    }
    // The accounts that stay away count as full with the next holder.
    book.accounts.clear();
    book.term = 0;
    return result;
}

std::size_t Lender::accountCount() const
{
    return std::accumulate(
        this->books.begin(), this->books.end(), std::size_t{0},
        [](std::size_t sum, const auto &entry) { return sum + entry.second.accounts.size(); });
}

} // namespace lavenderhall
