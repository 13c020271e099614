#include "forward/request.h"

namespace lavenderhall {

namespace {

// HTTP statuses.
constexpr int RequestTimeout = 408;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

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

bool promisesNotRun(int status)
{
    return status == RequestTimeout || status == MisdirectedRequest || status == TooManyRequests
        || status == ServiceUnavailable;
}

} // namespace lavenderhall
