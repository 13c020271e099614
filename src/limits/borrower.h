#pragma once

#include "base/clock.h"
#include "limits/seats.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// A request's side of limits: tokens collected from the accounts of one or more regions.
namespace lavenderhall {

/// A question or notice to the holder of an organisation's seat in a region.
struct BorrowAction
{
    std::string region;
    std::uint32_t seat = 0;
    proto::Envelope message;
};

/// The end of a request for tokens.
struct BorrowResult
{
    std::uint64_t request = 0;
    bool granted = false;
    bool isAnswered = true; ///< whether any holder could be asked
    Millis retryAfter{0}; ///< if not granted
};

struct BorrowStep
{
    std::vector<BorrowAction> actions;
    std::vector<BorrowResult> results;
};

struct BorrowerTimings
{
    Millis loanValidity{1000};
    Millis answerTimeout{250}; ///< of one holder
    Millis retryInterval{50}; ///< least time before asking the same holders again
};

/// All requests for tokens of one process. A request takes what its own region has and asks the
/// others for the rest. It is granted only when all of it is in hand and still valid; otherwise
/// it waits for the refill as long as its patience lasts, and what it had goes back.
class Borrower
{
public:
    /// \a regions: the own one first.
    Borrower(std::uint64_t firstLoan, BorrowerTimings timings);

    void setRegions(std::vector<std::string> ownFirst) { this->regions = std::move(ownFirst); }

    /// Begins to collect \a tokens for \a request, waiting for at most \a patience.
    BorrowStep start(std::uint64_t request, const std::string &organisation, double tokens,
                     Millis patience, MonoTime now);
    BorrowStep onLoan(const proto::Loan &loan, MonoTime now);
    /// The holder of a region's seat is not known or not reached.
    BorrowStep onUnreachable(std::uint64_t loan, MonoTime now);
    BorrowStep onTick(MonoTime now);
    /// The request is not wanted any more.
    BorrowStep cancel(std::uint64_t request, MonoTime now);
    /// Gives back \a unused tokens of a granted request.
    BorrowStep refund(std::uint64_t request, double unused, MonoTime now);
    /// Forgets a granted request of which nothing is left to give back.
    void forget(std::uint64_t request) { this->granted.erase(request); }

    std::size_t openCount() const { return this->open.size(); }

private:
    struct Piece
    {
        std::uint64_t loan = 0;
        std::string region;
        double tokens = 0;
        MonoTime askedAt{};
        bool isAnswered = false;
    };
    struct Request
    {
        std::string organisation;
        double tokens = 0;
        MonoTime giveUpAt{};
        MonoTime resumeAt{}; ///< not asking before
        bool isWaiting = false;
        bool isAnswered = false; ///< by a holder, ever
        std::size_t nextRegion = 0;
        Millis shortestWait{0};
        std::vector<Piece> pieces;
    };
    struct Grant
    {
        std::string organisation;
        std::vector<Piece> pieces;
    };

    void askNext(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step);
    void onPieceAnswered(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step);
    void grant(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step);
    void releasePieces(Request &request, BorrowStep &step);
    void endRound(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step);
    BorrowAction settleAction(const std::string &organisation, const Piece &piece,
                              double spent) const;
    bool isValid(const Piece &piece, MonoTime now) const;
    double inHand(const Request &request, MonoTime now) const;

    BorrowerTimings timings;
    std::vector<std::string> regions;
    std::uint64_t nextLoan;
    std::map<std::uint64_t, Request> open;
    std::map<std::uint64_t, Grant> granted;
    std::map<std::uint64_t, std::uint64_t> requestOfLoan;
};

} // namespace lavenderhall
