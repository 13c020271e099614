#include "admission/decision.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// Reports are up to 2.5 s old in operation; older ones say nothing about the queue.
constexpr Millis MaxNewsAge{2500};
// The answer's length is not known, so at most this share of the time left is kept for it.
constexpr double MaxAnswerShare = 0.5;

bool isKnown(const ServiceLoad &load)
{
    const bool isRecent = load.newsAge && *load.newsAge <= MaxNewsAge;
    return isRecent && 2 * load.silentEndpoints <= load.endpoints;
}

bool hasRoom(const ServiceLoad &load)
{
    return load.waiting == 0 && 2 * load.taken < load.slots;
}

bool isSaturated(const ServiceLoad &load)
{
    return load.waiting > 0 || load.taken >= load.slots;
}

} // namespace

bool startsTooLate(const AdmissionInputs &inputs)
{
    if (inputs.mayHaveRun || !isKnown(inputs.load) || hasRoom(inputs.load))
        return false;
    const auto timeLeft = static_cast<double>(inputs.timeLeft.count());
    const double answer = std::min(inputs.answerMillis, MaxAnswerShare * timeLeft);
    // While slots are free, requests that wait do not wait for others.
    const double backlog = isSaturated(inputs.load) ? inputs.backlogMillis.value_or(0) : 0;
    return std::max(inputs.expectedMillis, backlog) + answer > timeLeft;
}

} // namespace lavenderhall
