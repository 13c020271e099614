#include "limits/borrower.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

// The sum of the partial loans may differ from the requested tokens by a rounding error.
constexpr double TokenTolerance = 1e-6;
// Holders report no longer waits; one of another version might.
constexpr Millis MaxWait = std::chrono::hours(1);

} // namespace

Borrower::Borrower(std::uint64_t firstLoan, BorrowerTimings timings)
    : timings(timings)
    , nextLoan(firstLoan)
{ }

BorrowStep Borrower::start(std::uint64_t id, const std::string &organisation, double tokens,
                           Millis maxWait, MonoTime now)
{
    BorrowStep step;
    Request request;
    request.organisation = organisation;
    request.tokens = tokens;
    request.deadline = now + maxWait;
    Request &stored = this->openRequests[id] = std::move(request);
    this->askNext(id, stored, now, step);
    return step;
}

bool Borrower::isValid(const PartialLoan &part, MonoTime now) const
{
    return part.isAnswered && now < part.requestedAt + this->timings.loanValidity;
}

double Borrower::validTokens(const Request &request, MonoTime now) const
{
    double sum = 0;
    for (const PartialLoan &part : request.loans) {
        if (this->isValid(part, now))
            sum += part.tokens;
    }
    return sum;
}

void Borrower::askNext(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step)
{
    const double missing = request.tokens - this->validTokens(request, now);
    if (request.nextRegion >= this->regions.size())
        return this->endRound(id, request, now, step);
    PartialLoan part;
    part.loan = this->nextLoan++;
    part.region = this->regions[request.nextRegion++];
    part.requestedAt = now;
    this->requestByLoan[part.loan] = id;
    BorrowAction action;
    action.region = part.region;
    action.seat = seatOf(request.organisation);
    proto::Borrow &borrow = *action.message.mutable_borrow();
    borrow.set_loan(part.loan);
    borrow.set_region(part.region);
    borrow.set_organisation(request.organisation);
    borrow.set_tokens(missing);
    request.loans.push_back(std::move(part));
    step.actions.push_back(std::move(action));
}

BorrowStep Borrower::onLoan(const proto::Loan &loan, MonoTime now)
{
    BorrowStep step;
    const auto owner = this->requestByLoan.find(loan.loan());
    if (owner == this->requestByLoan.end())
        return step;
    const std::uint64_t id = owner->second;
    Request &request = this->openRequests.at(id);
    for (PartialLoan &part : request.loans) {
        if (part.loan != loan.loan() || part.isAnswered)
            continue;
        part.isAnswered = true;
        part.tokens = loan.not_holder() || !std::isfinite(loan.tokens()) ? 0 : loan.tokens();
        request.isAnswered = request.isAnswered || !loan.not_holder();
        if (!loan.not_holder() && loan.wait_ms() > 0) {
            const Millis wait = std::min(Millis(loan.wait_ms()), MaxWait);
            const bool isFirst = request.shortestWait == Millis(0);
            request.shortestWait = isFirst ? wait : std::min(request.shortestWait, wait);
        }
        this->onPartAnswered(id, request, now, step);
        break;
    }
    return step;
}

BorrowStep Borrower::onUnreachable(std::uint64_t loan, MonoTime now)
{
    proto::Loan refusal;
    refusal.set_loan(loan);
    refusal.set_not_holder(true);
    return this->onLoan(refusal, now);
}

void Borrower::onPartAnswered(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step)
{
    if (this->validTokens(request, now) >= request.tokens - TokenTolerance)
        return this->grant(id, request, now, step);
    const bool isWaitingForAnswer
        = std::any_of(request.loans.begin(), request.loans.end(),
                      [](const PartialLoan &part) { return !part.isAnswered; });
    if (!isWaitingForAnswer)
        this->askNext(id, request, now, step);
}

void Borrower::grant(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step)
{
    Grant grant;
    grant.organisation = request.organisation;
    double uncovered = request.tokens;
    for (PartialLoan &part : request.loans) {
        const double spent = this->isValid(part, now) ? std::min(uncovered, part.tokens) : 0;
        uncovered -= spent;
        step.actions.push_back(this->settleAction(request.organisation, part, spent));
        this->requestByLoan.erase(part.loan);
        if (spent <= 0)
            continue;
        part.tokens = spent;
        grant.loans.push_back(part);
    }
    this->grants[id] = std::move(grant);
    this->openRequests.erase(id);
    step.results.push_back({id, true, true, Millis(0)});
}

BorrowAction Borrower::settleAction(const std::string &organisation, const PartialLoan &part,
                                    double spent) const
{
    BorrowAction action;
    action.region = part.region;
    action.seat = seatOf(organisation);
    proto::Settle &settle = *action.message.mutable_settle();
    settle.set_loan(part.loan);
    settle.set_region(part.region);
    settle.set_organisation(organisation);
    settle.set_spent(spent);
    return action;
}

void Borrower::releaseLoans(Request &request, BorrowStep &step)
{
    for (const PartialLoan &part : request.loans) {
        this->requestByLoan.erase(part.loan);
        step.actions.push_back(this->settleAction(request.organisation, part, 0));
    }
    request.loans.clear();
}

void Borrower::endRound(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step)
{
    this->releaseLoans(request, step);
    const Millis wait = std::max(request.shortestWait, this->timings.retryInterval);
    if (now + wait > request.deadline) {
        step.results.push_back({id, false, request.isAnswered, wait});
        this->openRequests.erase(id);
        return;
    }
    request.isWaiting = true;
    request.resumeAt = now + wait;
    request.nextRegion = 0;
    request.shortestWait = Millis(0);
}

BorrowStep Borrower::onTick(MonoTime now)
{
    BorrowStep step;
    std::vector<std::uint64_t> ids;
    for (const auto &[id, request] : this->openRequests)
        ids.push_back(id);
    for (const std::uint64_t id : ids) {
        const auto found = this->openRequests.find(id);
        if (found == this->openRequests.end())
            continue;
        Request &request = found->second;
        if (request.isWaiting) {
            if (now < request.resumeAt)
                continue;
            request.isWaiting = false;
            this->askNext(id, request, now, step);
            continue;
        }
        bool hasTimedOut = false;
        for (PartialLoan &part : request.loans) {
            const bool isLate
                = !part.isAnswered && now - part.requestedAt > this->timings.answerTimeout;
            part.isAnswered = part.isAnswered || isLate;
            hasTimedOut = hasTimedOut || isLate;
        }
        if (hasTimedOut)
            this->onPartAnswered(id, request, now, step);
    }
    return step;
}

BorrowStep Borrower::cancel(std::uint64_t id, MonoTime)
{
    BorrowStep step;
    const auto found = this->openRequests.find(id);
    if (found == this->openRequests.end())
        return step;
    this->releaseLoans(found->second, step);
    this->openRequests.erase(found);
    return step;
}

BorrowStep Borrower::refund(std::uint64_t id, double unused, MonoTime)
{
    BorrowStep step;
    const auto found = this->grants.find(id);
    if (found == this->grants.end())
        return step;
    double remaining = unused;
    for (const PartialLoan &part : found->second.loans) {
        const double refunded = std::min(remaining, part.tokens);
        remaining -= refunded;
        if (refunded <= 0)
            continue;
        BorrowAction action;
        action.region = part.region;
        action.seat = seatOf(found->second.organisation);
        proto::Refund &refund = *action.message.mutable_refund();
        refund.set_loan(part.loan);
        refund.set_region(part.region);
        refund.set_organisation(found->second.organisation);
        refund.set_tokens(refunded);
        step.actions.push_back(std::move(action));
    }
    this->grants.erase(found);
    return step;
}

} // namespace lavenderhall
