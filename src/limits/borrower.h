#pragma once

#include "base/clock.h"
#include "limits/seats.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// The client side of the token limits: collects the tokens of a request from the accounts of one
/// or more regions.
namespace lavenderhall {

/// A message that is to be sent to the holder of a seat.
struct BorrowAction
{
    std::string region;
    std::uint32_t seat = 0;
    proto::Envelope message;
};

/// The outcome of a request for tokens.
struct BorrowResult
{
    std::uint64_t request = 0;
    bool isGranted = false;
    bool isAnswered = true; ///< false: no holder of a seat has answered
    Millis retryAfter{0}; ///< if not granted: estimated time until enough is refilled
};

/// What the caller must do after an event: send messages and report results.
struct BorrowStep
{
    std::vector<BorrowAction> actions;
    std::vector<BorrowResult> results;
};

struct BorrowerTimings
{
    Millis loanValidity{1000}; ///< how long after its request a loan may be spent
    Millis answerTimeout{250}; ///< how long to wait for the answer of one holder
    Millis retryInterval{50}; ///< least time between two rounds over the regions
};

/// Handles all requests for tokens of one process. A request borrows what the account of its own
/// region has and asks the other regions, one after the other, for the rest. It is granted once its
/// valid loans cover it. If a round over all regions yields too little, the loans are returned and
/// the next round starts after the refill, unless that exceeds the time that the request may wait.
class Borrower
{
public:
    /// Numbers the loans from \a firstLoan on.
    Borrower(std::uint64_t firstLoan, BorrowerTimings timings);

    /// Sets the regions in the order in which they are asked, the own one first.
    void setRegions(std::vector<std::string> ownFirst) { this->regions = std::move(ownFirst); }

    /// Begins to collect \a tokens for \a request, which may wait for at most \a maxWait.
    BorrowStep start(std::uint64_t request, const std::string &organisation, double tokens,
                     Millis maxWait, MonoTime now);
    /// Handles the answer of a seat's holder.
    BorrowStep onLoan(const proto::Loan &loan, MonoTime now);
    /// Handles that \a loan could not be requested, since the seat's holder is unknown or
    /// unreachable.
    BorrowStep onUnreachable(std::uint64_t loan, MonoTime now);
    /// Handles timeouts and starts rounds that are due.
    BorrowStep onTick(MonoTime now);
    /// Ends an open request without a result and returns its loans.
    BorrowStep cancel(std::uint64_t request, MonoTime now);
    /// Returns \a unused tokens of a granted request to the accounts, and forgets the request.
    BorrowStep refund(std::uint64_t request, double unused, MonoTime now);
    /// Forgets a granted request that needs no refund.
    void forget(std::uint64_t request) { this->grants.erase(request); }

    std::size_t openCount() const { return this->openRequests.size(); }

private:
    /// A loan from one region that covers a part of a request.
    struct PartialLoan
    {
        std::uint64_t loan = 0;
        std::string region;
        double tokens = 0;
        MonoTime requestedAt{};
        bool isAnswered = false; ///< or has timed out
    };
    struct Request
    {
        std::string organisation;
        double tokens = 0;
        MonoTime deadline{};
        MonoTime resumeAt{}; ///< start of the next round, if isWaiting
        bool isWaiting = false; ///< between two rounds
        bool isAnswered = false; ///< by the holder of a seat, in any round
        std::size_t nextRegion = 0;
        Millis shortestWait{0}; ///< least time until a refill that a holder reported in this round
        std::vector<PartialLoan> loans;
    };
    /// A granted request that may still be refunded.
    struct Grant
    {
        std::string organisation;
        std::vector<PartialLoan> loans;
    };

    /// Asks the next region for what is missing, or ends the round after the last region.
    void askNext(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step);
    void onPartAnswered(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step);
    void grant(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step);
    void releaseLoans(Request &request, BorrowStep &step);
    /// Returns the loans and schedules the next round, or refuses the request at its deadline.
    void endRound(std::uint64_t id, Request &request, MonoTime now, BorrowStep &step);
    BorrowAction settleAction(const std::string &organisation, const PartialLoan &part,
                              double spent) const;
    bool isValid(const PartialLoan &part, MonoTime now) const;
    /// Returns the tokens of the request's valid loans.
    double validTokens(const Request &request, MonoTime now) const;

    BorrowerTimings timings;
    std::vector<std::string> regions;
    std::uint64_t nextLoan;
    std::map<std::uint64_t, Request> openRequests;
    std::map<std::uint64_t, Grant> grants;
    std::map<std::uint64_t, std::uint64_t> requestByLoan; ///< of open requests
};

} // namespace lavenderhall
