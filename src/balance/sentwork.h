#pragma once

#include "balance/backlogledger.h"

#include <map>
#include <string>
#include <vector>

/// Keeps what this instance has sent to engines, and what of it other instances have to be message.
namespace lavenderhall {

class SentWork
{
public:
    struct Entry
    {
        Incarnation engine;
        WorkCounts counts;
        std::vector<ReadSample> samples;
    };

    /// A request with \a tokens to be read is sent to the engine. \a readBy is set if its answer
    /// does not show when it has been read: it counts as read then.
    void onSent(const Incarnation &engine, std::int64_t tokens, std::optional<MonoTime> readBy,
                MonoTime now);
    /// The first event of a request with \a tokens has come, or the request has ended.
    void onRead(const std::string &endpointId, std::int64_t tokens);
    void onSample(const std::string &endpointId, const ReadSample &sample);
    /// The engine has restarted or is gone.
    void forget(const std::string &endpointId) { this->engines.erase(endpointId); }
    /// Returns the engines of which there is something to tell, if \a isDue allows it for them, and
    /// records that it is message.
    template <typename IsDue> std::vector<Entry> takeNews(IsDue &&isDue, MonoTime now);

    /// Returns the tokens sent that have not been read.
    std::int64_t unreadTokens(const std::string &endpointId) const;
    /// Returns those of them that were sent after \a since.
    std::int64_t unreadSince(const std::string &endpointId, MonoTime since) const;
    /// Counts requests whose time is over as read.
    void onTick(MonoTime now);

private:
    static constexpr Millis RepeatInterval{700}; ///< while something sent has not been read
    static constexpr std::size_t MaxSamples = 16; ///< in one message about an engine

    struct Pending
    {
        std::int64_t tokens = 0;
        MonoTime sentAt{};
        std::optional<MonoTime> readBy;
    };

    struct Engine
    {
        std::int64_t startMillis = 0;
        WorkCounts counts;
        std::vector<Pending> pending;
        std::vector<ReadSample> samples;
        bool isChanged = false;
        int repeats = 0; ///< of the last counts without unread tokens
        MonoTime lastSentAt{};
    };

    static bool hasNews(const Engine &engine, MonoTime now);

    std::map<std::string, Engine> engines; ///< by endpoint id
};

template <typename IsDue>
std::vector<SentWork::Entry> SentWork::takeNews(IsDue &&isDue, MonoTime now)
{
    std::vector<Entry> news;
    for (auto &[id, engine] : this->engines) {
        if (!hasNews(engine, now) || !isDue(id))
            continue;
        engine.repeats = engine.isChanged ? 0 : engine.repeats + 1;
        engine.isChanged = false;
        engine.lastSentAt = now;
        news.push_back({{id, engine.startMillis}, engine.counts, std::move(engine.samples)});
        engine.samples.clear();
    }
    return news;
}

} // namespace lavenderhall
