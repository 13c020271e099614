#include "routing/answeredrequests.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxAnswersPerGeneration = 4096;
constexpr Millis GenerationTime = std::chrono::minutes(2);

} // namespace

void AnsweredRequests::onAnswered(const std::string &fingerprint, MonoTime at)
{
    const std::uint64_t key = hash64(fingerprint);
    if (this->newer.size() >= MaxAnswersPerGeneration && !this->newer.contains(key))
        this->older = std::exchange(this->newer, {});
    MonoTime &last = this->newer[key];
    last = std::max(last, at);
}

std::optional<MonoTime> AnsweredRequests::lastAnswer(const std::string &fingerprint) const
{
    const std::uint64_t key = hash64(fingerprint);
    for (const Answers *answers : {&this->newer, &this->older}) {
        const auto found = answers->find(key);
        if (found != answers->end())
            return found->second;
    }
    return std::nullopt;
}

void AnsweredRequests::forgetOld(MonoTime now)
{
    if (now - this->newerSince < GenerationTime)
        return;
    this->newerSince = now;
    this->older = std::exchange(this->newer, {});
}

} // namespace lavenderhall
