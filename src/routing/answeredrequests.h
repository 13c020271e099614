#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

/// Remembers which requests were answered lately, in bounded memory. Many callers may send a
/// request with the same path, caller and body, such as a status poll, hundreds of times a minute
/// beside thousands that come once.
namespace lavenderhall {

class AnsweredRequests
{
public:
    /// The request with this fingerprint was answered at \a at.
    void onAnswered(const std::string &fingerprint, MonoTime at);
    /// Returns when the request was last answered; nothing if that was long ago or never.
    std::optional<MonoTime> lastAnswer(const std::string &fingerprint) const;
    void forgetOld(MonoTime now);

    bool operator==(const AnsweredRequests &) const = default;

private:
    using Answers = std::unordered_map<std::uint64_t, MonoTime>; ///< by hash of the fingerprint

    // Once the newer generation is full or old, it becomes the older one, which is dropped.
    Answers newer;
    Answers older;
    MonoTime newerSince{};
};

} // namespace lavenderhall
