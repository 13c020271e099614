#include "forward/notrunstatement.h"

namespace lavenderhall {

namespace {

// HTTP statuses.
constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

/// Whether an endpoint may state with this status that it has not run a request. A caller learns
/// nothing from 400 by itself.
bool mayStateNotRun(int status)
{
    return promisesNotRun(status) || status == BadRequest;
}

/// Whether the parts of \a head cannot be of one answer: an endpoint seals what it has run only,
/// marks only refusals, and names each of them once.
bool isContradictory(const AnswerHead &head)
{
    if (!head.repeatedHeader.empty() || head.notRunMark == NotRunMark::Malformed)
        return true;
    return head.notRunMark == NotRunMark::Present
        && (head.isSealed || !mayStateNotRun(head.status));
}

} // namespace

const char *toString(AnswerOwner owner)
{
    switch (owner) {
    case AnswerOwner::NoAnswer:
        return "";
    case AnswerOwner::Unnamed:
        return "none";
    case AnswerOwner::OwnRequest:
        return "own";
    case AnswerOwner::OtherRequest:
        return "other";
    }
    return "";
}

AnswerOwner answerOwner(const AnswerHead &head, const std::string &requestId)
{
    if (head.status == 0)
        return AnswerOwner::NoAnswer;
    if (head.requestId.empty())
        return AnswerOwner::Unnamed;
    return head.requestId == requestId ? AnswerOwner::OwnRequest : AnswerOwner::OtherRequest;
}

const char *toString(RunStatement statement)
{
    switch (statement) {
    case RunStatement::MayHaveRun:
        return "may_have_run";
    case RunStatement::NotRun:
        return "not_run";
    case RunStatement::Contradictory:
        return "contradictory";
    case RunStatement::None:
        return "";
    }
    return "";
}

// The endpoint that has the address of another one states by status 421 alone that it has not run
// the request.
RunStatement endpointStatement(const AnswerHead &head, const std::string &requestId)
{
    if (answerOwner(head, requestId) != AnswerOwner::OwnRequest)
        return RunStatement::None;
    if (isContradictory(head))
        return RunStatement::Contradictory;
    const bool isMisdirected = head.status == MisdirectedRequest && !head.isSealed;
    return head.notRunMark == NotRunMark::Present || isMisdirected ? RunStatement::NotRun
                                                                   : RunStatement::MayHaveRun;
}

// An instance refuses by the status alone. What is sealed is an endpoint's: earlier builds pass on
// sealed refusals that state nothing. An instance passes on no mark of an endpoint's, either.
RunStatement instanceStatement(const AnswerHead &head, const std::string &requestId)
{
    if (answerOwner(head, requestId) != AnswerOwner::OwnRequest)
        return RunStatement::None;
    if (isContradictory(head))
        return RunStatement::Contradictory;
    return promisesNotRun(head.status) && !head.isSealed ? RunStatement::NotRun
                                                         : RunStatement::MayHaveRun;
}

bool promisesNotRun(int status)
{
    return status == RequestTimeout || status == MisdirectedRequest || status == TooManyRequests
        || status == ServiceUnavailable;
}

} // namespace lavenderhall
