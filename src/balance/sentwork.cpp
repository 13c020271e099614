#include "balance/sentwork.h"

#include <algorithm>

namespace lavenderhall {

void SentWork::onSent(const Incarnation &id, std::int64_t tokens, std::optional<MonoTime> readBy,
                      MonoTime now)
{
    Engine &engine = this->engines[id.endpointId];
    if (engine.startMillis != id.startMillis) {
        engine = Engine{};
        engine.startMillis = id.startMillis;
    }
    engine.counts.sentTokens += tokens;
    engine.pending.push_back({tokens, now, readBy});
    engine.isChanged = true;
}

// Requests of equal size need not be message apart. One that the engine had before a restart, or
// that has counted as read already, is not found.
void SentWork::onRead(const std::string &endpointId, std::int64_t tokens)
{
    const auto found = this->engines.find(endpointId);
    if (found == this->engines.end())
        return;
    Engine &engine = found->second;
    const auto request
        = std::find_if(engine.pending.begin(), engine.pending.end(),
                       [tokens](const Pending &one) { return one.tokens == tokens; });
    if (request == engine.pending.end())
        return;
    engine.pending.erase(request);
    engine.counts.readTokens += tokens;
    engine.isChanged = true;
}

void SentWork::onSample(const std::string &endpointId, const ReadSample &sample)
{
    const auto found = this->engines.find(endpointId);
    if (found == this->engines.end() || found->second.samples.size() >= MaxSamples)
        return;
    found->second.samples.push_back(sample);
    found->second.isChanged = true;
}

void SentWork::onTick(MonoTime now)
{
    for (auto &entry : this->engines) {
        Engine &engine = entry.second;
        std::erase_if(engine.pending, [&engine, now](const Pending &request) {
            if (!request.readBy || *request.readBy > now)
                return false;
            engine.counts.readTokens += request.tokens;
            engine.isChanged = true;
            return true;
        });
    }
}

// Counts are repeated while tokens wait, and once after that, in case the message was lost.
bool SentWork::hasNews(const Engine &engine, MonoTime now)
{
    const bool isWorthRepeating = !engine.pending.empty() || engine.repeats == 0;
    return engine.isChanged || (isWorthRepeating && now - engine.lastSentAt >= RepeatInterval);
}

std::int64_t SentWork::unreadTokens(const std::string &endpointId) const
{
    return this->unreadSince(endpointId, MonoTime::min());
}

std::int64_t SentWork::unreadSince(const std::string &endpointId, MonoTime since) const
{
    const auto found = this->engines.find(endpointId);
    if (found == this->engines.end())
        return 0;
    std::int64_t tokens = 0;
    for (const Pending &request : found->second.pending)
        tokens += request.sentAt > since ? request.tokens : 0;
    return tokens;
}

} // namespace lavenderhall
