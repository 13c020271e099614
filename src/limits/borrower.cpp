#include "limits/borrower.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// Sums of parts of a whole differ from it in the last digits.
constexpr double TokenTolerance = 1e-6;

} // namespace

Borrower::Borrower(std::uint64_t firstLoan, BorrowerTimings timings)
    : timings(timings)
    , nextLoan(firstLoan)
{ }

BorrowStep Borrower::start(std::uint64_t id, const std::string &organisation, double tokens,
                           Millis patience, MonoTime now)
{
    BorrowStep step;
    Request request;
    request.organisation = organisation;
    request.tokens = tokens;
    request.giveUpAt = now + patience;
    Request &stored = this->open[id] = std::move(request);
    this->askNext(id, stored, now, step);
    return step;
}

bool Borrower::isValid(const Piece &piece, MonoTime now) const
{
    return piece.isAnswered && now < piece.askedAt + this->timings.loanValidity;
}

double Borrower::inHand(const Request &request, MonoTime now) const
{
    double sum = 0;
    for (const Piece &piece : request.pieces) {
        if (this->isValid(piece, now))
            sum += piece.tokens;
    }
    return sum;
}

void Borrower::askNext(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step)
{
    const double missing = request.tokens - this->inHand(request, now);
    if (request.nextRegion >= this->regions.size())
        return this->endRound(id, request, now, step);
    Piece piece;
    piece.loan = this->nextLoan++;
    piece.region = this->regions[request.nextRegion++];
    piece.askedAt = now;
    this->requestOfLoan[piece.loan] = id;
    BorrowAction action;
    action.region = piece.region;
    action.seat = seatOf(request.organisation);
    proto::Borrow &borrow = *action.message.mutable_borrow();
    borrow.set_loan(piece.loan);
    borrow.set_region(piece.region);
    borrow.set_organisation(request.organisation);
    borrow.set_tokens(missing);
    request.pieces.push_back(std::move(piece));
    step.actions.push_back(std::move(action));
}

BorrowStep Borrower::onLoan(const proto::Loan &loan, MonoTime now)
{
    BorrowStep step;
    const auto owner = this->requestOfLoan.find(loan.loan());
    if (owner == this->requestOfLoan.end())
        return step;
    const std::uint64_t id = owner->second;
    Request &request = this->open.at(id);
    for (Piece &piece : request.pieces) {
        if (piece.loan != loan.loan() || piece.isAnswered)
            continue;
        piece.isAnswered = true;
        piece.tokens = loan.not_holder() ? 0 : loan.tokens();
        request.isAnswered = request.isAnswered || !loan.not_holder();
        if (!loan.not_holder() && loan.wait_ms() > 0) {
            const Millis wait(loan.wait_ms());
            const bool isFirst = request.shortestWait == Millis(0);
            request.shortestWait = isFirst ? wait : std::min(request.shortestWait, wait);
        }
        this->onPieceAnswered(id, request, now, step);
        break;
    }
    return step;
}

BorrowStep Borrower::onUnreachable(std::uint64_t loan, MonoTime now)
{
    proto::Loan nothing;
    nothing.set_loan(loan);
    nothing.set_not_holder(true);
    return this->onLoan(nothing, now);
}

void Borrower::onPieceAnswered(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step)
{
    if (this->inHand(request, now) >= request.tokens - TokenTolerance)
        return this->grant(id, request, now, step);
    const bool isWaitingForAnswer
        = std::any_of(request.pieces.begin(), request.pieces.end(),
                      [](const Piece &piece) { return !piece.isAnswered; });
    if (!isWaitingForAnswer)
        this->askNext(id, request, now, step);
}

void Borrower::grant(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step)
{
    Grant grant;
    grant.organisation = request.organisation;
    double left = request.tokens;
    for (Piece &piece : request.pieces) {
        const double spent = this->isValid(piece, now) ? std::min(left, piece.tokens) : 0;
        left -= spent;
        step.actions.push_back(this->settleAction(request.organisation, piece, spent));
        this->requestOfLoan.erase(piece.loan);
        if (spent <= 0)
            continue;
        piece.tokens = spent;
        grant.pieces.push_back(piece);
    }
    this->granted[id] = std::move(grant);
    this->open.erase(id);
    step.results.push_back({id, true, true, Millis(0)});
}

BorrowAction Borrower::settleAction(const std::string &organisation, const Piece &piece,
                                    double spent) const
{
    BorrowAction action;
    action.region = piece.region;
    action.seat = seatOf(organisation);
    proto::Settle &settle = *action.message.mutable_settle();
    settle.set_loan(piece.loan);
    settle.set_region(piece.region);
    settle.set_organisation(organisation);
    settle.set_spent(spent);
    return action;
}

void Borrower::releasePieces(Request &request, BorrowStep &step)
{
    for (const Piece &piece : request.pieces) {
        this->requestOfLoan.erase(piece.loan);
        step.actions.push_back(this->settleAction(request.organisation, piece, 0));
    }
    request.pieces.clear();
}

void Borrower::endRound(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step)
{
    this->releasePieces(request, step);
    const Millis wait = std::max(request.shortestWait, this->timings.retryInterval);
    if (now + wait > request.giveUpAt) {
        step.results.push_back({id, false, request.isAnswered, wait});
        this->open.erase(id);
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
    for (const auto &[id, request] : this->open)
        ids.push_back(id);
    for (const std::uint64_t id : ids) {
        const auto found = this->open.find(id);
        if (found == this->open.end())
            continue;
        Request &request = found->second;
        if (request.isWaiting) {
            if (now < request.resumeAt)
                continue;
            request.isWaiting = false;
            this->askNext(id, request, now, step);
            continue;
        }
        bool timedOut = false;
        for (Piece &piece : request.pieces) {
            const bool isLate
                = !piece.isAnswered && now - piece.askedAt > this->timings.answerTimeout;
            piece.isAnswered = piece.isAnswered || isLate;
            timedOut = timedOut || isLate;
        }
        if (timedOut)
            this->onPieceAnswered(id, request, now, step);
    }
    return step;
}

BorrowStep Borrower::cancel(std::uint64_t id, MonoTime)
{
    BorrowStep step;
    const auto found = this->open.find(id);
    if (found == this->open.end())
        return step;
    this->releasePieces(found->second, step);
    this->open.erase(found);
    return step;
}

BorrowStep Borrower::refund(std::uint64_t id, double unused, MonoTime)
{
    BorrowStep step;
    const auto found = this->granted.find(id);
    if (found == this->granted.end())
        return step;
    double left = unused;
    for (const Piece &piece : found->second.pieces) {
        const double back = std::min(left, piece.tokens);
        left -= back;
        if (back <= 0)
            continue;
        BorrowAction action;
        action.region = piece.region;
        action.seat = seatOf(found->second.organisation);
        proto::Refund &refund = *action.message.mutable_refund();
        refund.set_loan(piece.loan);
        refund.set_region(piece.region);
        refund.set_organisation(found->second.organisation);
        refund.set_tokens(back);
        step.actions.push_back(std::move(action));
    }
    this->granted.erase(found);
    return step;
}

} // namespace lavenderhall
