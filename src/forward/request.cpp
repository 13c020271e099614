#include "forward/request.h"

namespace lavenderhall {

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

} // namespace lavenderhall
