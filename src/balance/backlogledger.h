#pragma once

#include "balance/enginespeed.h"
#include "routing/endpointnotices.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Adds up the prompt tokens that wait at engines, at the instance that requests their reports.
namespace lavenderhall {

/// Prompt tokens that one instance has sent to an engine, counted since its process started.
struct WorkCounts
{
    std::int64_t sentTokens = 0;
    std::int64_t readTokens = 0; ///< of requests whose first event has come or that have ended

    bool operator==(const WorkCounts &) const = default;
};

/// What is announced about an engine.
struct Backlog
{
    std::int64_t waitingTokens = 0;
    double arrivingPerMilli = 0; ///< tokens; average of the last seconds
    double speed = 0; ///< tokens a millisecond, 0 if it is not known

    bool operator==(const Backlog &) const = default;
};

struct LedgerSettings
{
    double unknownSpeed = 60; ///< tokens a millisecond, before any sample
    /// A sender repeats its counts while some of its tokens wait. After this time without, they
    /// count as being read.
    Millis repeatTimeout{1500};
    Millis senderLifetime{10'000}; ///< without a message, a sender is forgotten
    Millis reannounceInterval{2000};
    std::int64_t minChange = 1500; ///< in tokens; smaller changes are not announced
    double minChangeShare = 0.2; ///< the same as a share of the waiting tokens
    Millis rateWindow{2000}; ///< over which arriving tokens are averaged
};

/// Sums the counts of all senders and decides what to announce. A new ledger, after its predecessor
/// has died, is complete once each sender has repeated its counts.
class BacklogLedger
{
public:
    explicit BacklogLedger(LedgerSettings settings = {})
        : settings(settings)
    { }

    /// Handles the counts of \a sender, which names one process. Messages may be lost, repeated or
    /// come in another order.
    void onCounts(const Incarnation &engine, const std::string &sender, WorkCounts counts,
                  MonoTime now);
    void onSample(const Incarnation &engine, const ReadSample &sample);
    /// Another instance has announced the speed of an engine.
    void onSpeedKnown(const Incarnation &engine, double tokensPerMilli);
    /// Returns the engines whose backlog is to be announced now, and records that it is.
    std::vector<std::pair<Incarnation, Backlog>> takeNews(MonoTime now);
    std::int64_t waitingTokens(const Incarnation &engine, MonoTime now) const;

private:
    struct Sender
    {
        WorkCounts counts;
        MonoTime heardAt{};
    };

    struct Engine
    {
        std::int64_t startMillis = 0;
        std::map<std::string, Sender> senders;
        EngineSpeed speed;
        double arrivedTokens = 0; ///< exponentially decayed
        MonoTime decayedAt{};
        Backlog announced;
        MonoTime announcedAt{};
    };

    /// Returns the state of the engine; nullptr if a later incarnation is known.
    Engine *engineOf(const Incarnation &id);
    double speedOf(const Engine &engine) const;
    std::int64_t waitingTokens(const Engine &engine, MonoTime now) const;
    bool isNews(const Engine &engine, const Backlog &backlog, MonoTime now) const;
    void decay(Engine &engine, MonoTime now) const;

    LedgerSettings settings;
    std::map<std::string, Engine> engines; ///< by endpoint id
};

} // namespace lavenderhall
