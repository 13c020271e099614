#include "limits/lender.h"

#include "base/digest.h"

#include <algorithm>
#include <numeric>

namespace lavenderhall {

namespace {

// Upper bound for the wait that is reported to borrowers, also if a request exceeds the burst.
constexpr Millis MaxReportedWait{3'600'000};

LoanId loanId(const proto::ProcessId &borrower, std::uint64_t number)
{
    return {hash64(borrower.name(), borrower.incarnation()), number};
}

} // namespace

RegionalLimits regionalLimits(const std::vector<Region> &regions, const Organisation &organisation,
                              const std::string &region, double clockDrift)
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
    // Lowered by the clock drift, so that a clock that runs fast does not refill more than the
    // rate.
    const double driftFactor = 1 - clockDrift;
    return {part * driftFactor * static_cast<double>(organisation.tokensPerSecond),
            part * static_cast<double>(organisation.burstTokens)};
}

void Lender::configure(const std::vector<Region> &regions,
                       const std::vector<Organisation> &organisations, MonoTime now,
                       const RestartTokens &restartTokens)
{
    this->limits.clear();
    this->neededSeats.clear();
    for (const Organisation &organisation : organisations)
        this->neededSeats.insert(seatOf(organisation.name));
    for (const Organisation &organisation : organisations) {
        RegionalLimits part
            = regionalLimits(regions, organisation, this->region, this->timings.clockDrift);
        const auto restartEntry = restartTokens.find(organisation.name);
        if (restartEntry != restartTokens.end() && organisation.burstTokens > 0)
            part.restartTokens
                = restartEntry->second * part.burst / static_cast<double>(organisation.burstTokens);
        this->limits.emplace(organisation.name, part);
    }
    for (auto &[index, seat] : this->accountsBySeat) {
        std::erase_if(seat.accounts,
                      [this](const auto &entry) { return !this->limits.contains(entry.first); });
        for (auto &[name, account] : seat.accounts) {
            const RegionalLimits &limit = this->limits.at(name);
            account.setLimits(limit.tokensPerSecond, limit.burst, now);
        }
    }
}

void Lender::onSeatChange(const SeatChange &change, MonoTime now)
{
    if (!change.isGained)
        return;
    SeatAccounts &seat = this->accountsBySeat[change.index];
    // With the same term no other process has held the seat meanwhile, so the accounts still apply.
    if (seat.term == change.term)
        return;
    seat = {};
    seat.term = change.term;
    seat.startsFull = change.isFirst || change.wasHandedOver;
    seat.startsWithRestartTokens = change.mayGrantRestartTokens;
    for (const proto::AccountLevel &level : change.levels)
        seat.handedOverLevels[level.organisation()] = level.level();
    // Loans of the previous holder may be spent until they expire, so there is no refill before.
    seat.refillFrom = now;
    if (!change.isFirst)
        seat.refillFrom += std::chrono::duration_cast<MonoTime::duration>(
            this->timings.loanValidity * (1 + this->timings.clockDrift));
}

Account *Lender::accountOf(const std::string &organisation, MonoTime now)
{
    const auto limit = this->limits.find(organisation);
    if (limit == this->limits.end())
        return nullptr;
    SeatAccounts &seat = this->accountsBySeat[seatOf(organisation)];
    const auto found = seat.accounts.find(organisation);
    if (found != seat.accounts.end())
        return &found->second;
    const auto handedOver = seat.handedOverLevels.find(organisation);
    const double levelIfLost = seat.startsWithRestartTokens
        ? std::min(limit->second.restartTokens, limit->second.burst)
        : 0;
    const double level = handedOver != seat.handedOverLevels.end() ? handedOver->second
        : seat.startsFull                                          ? limit->second.burst
                                                                   : levelIfLost;
    const auto added = seat.accounts.emplace(
        organisation,
        Account(limit->second.tokensPerSecond, limit->second.burst, level, seat.refillFrom));
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
    const double granted
        = account->lend(loanId(borrower, borrow.loan()), borrow.tokens(), until, now);
    loan.set_tokens(granted);
    const double missing = borrow.tokens() - granted;
    if (missing > 0)
        loan.set_wait_ms(std::min(account->timeUntil(missing, now), MaxReportedWait).count());
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
    SeatAccounts &seat = this->accountsBySeat[index];
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
    // The next holder treats the accounts that are not listed as full. The term is reset, so
    // that the accounts start anew if this process gains the seat again.
    seat.accounts.clear();
    seat.term = 0;
    return result;
}

std::size_t Lender::accountCount() const
{
    return std::accumulate(
        this->accountsBySeat.begin(), this->accountsBySeat.end(), std::size_t{0},
        [](std::size_t sum, const auto &entry) { return sum + entry.second.accounts.size(); });
}

} // namespace lavenderhall
