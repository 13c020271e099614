#pragma once

#include "base/clock.h"
#include "routing/endpointnotices.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// What several endpoints have crashed under, and which of them have crashed.
namespace lavenderhall {

/// A part of prompts or a request that is not to be sent to endpoints.
struct CrashBlock
{
    std::string subject; ///< id of the part, or fingerprint of the request
    MonoTime crashedAt{}; ///< when the last endpoint crashed under it
    MonoTime trialAt{}; ///< when one request may be sent to see whether it still crashes endpoints
    int trials = 0; ///< so far

    auto operator<=>(const CrashBlock &) const = default;
};

/// The blocks in force, with the times at which they are tried.
class CrashBlocks
{
public:
    /// A block ends \a lifetime after the last crash. It is tried at most \a maxTrials times.
    CrashBlocks(Millis lifetime, int maxTrials)
        : lifetime(lifetime)
        , maxTrials(maxTrials)
    { }

    /// Blocks \a subject, and returns the block.
    CrashBlock add(const std::string &subject, MonoTime crashedAt, MonoTime now);
    /// Adds a block of which another instance tells. Returns whether it is news.
    bool merge(const CrashBlock &told);
    /// An endpoint has crashed under \a subject. Returns whether it is blocked.
    bool onCrash(const std::string &subject, MonoTime at);
    /// An answer to \a subject began at \a begunAt: ends its block unless an endpoint has crashed
    /// since. Returns whether that ended a block.
    bool clear(const std::string &subject, MonoTime begunAt);
    /// A request with \a subject is sent as a trial; the next one may follow much later. Returns
    /// the block with its new times, or nothing if there is none.
    std::optional<CrashBlock> onTrial(const std::string &subject, MonoTime now);

    /// Returns the block of \a subject; nullptr if there is none.
    const CrashBlock *find(const std::string &subject) const;
    bool isEmpty() const { return this->blocks.empty(); }
    /// Returns all blocks.
    std::vector<CrashBlock> all() const;
    void forgetOld(MonoTime now);

    bool operator==(const CrashBlocks &) const = default;

private:
    void makeRoom();

    Millis lifetime;
    int maxTrials;
    std::map<std::string, CrashBlock> blocks;
};

/// When each endpoint was first seen to crash.
class CrashedEndpoints
{
public:
    /// All instances see the crash of an endpoint within this time. What is sent to it later, as
    /// behind a proxy that still accepts connections, is lost too, but was not there when it
    /// crashed.
    static constexpr Millis MaxTimeToSeeCrash{100};
    /// A lost connection is a crash only if the endpoint then shows no sign of life. Those of
    /// engines reach all instances within this time.
    static constexpr Millis ConfirmationTime{1000};
    /// What is held against a request or a part is forgotten after this time.
    static constexpr Millis SuspicionLifetime = std::chrono::minutes(10);

    /// The endpoint was seen to crash at \a at. Returns the earliest time at which it was seen.
    MonoTime onCrash(const Incarnation &endpoint, MonoTime at);
    /// Returns the earliest time at which the endpoint was seen to crash; nothing if it was not.
    std::optional<MonoTime> crashTime(const Incarnation &endpoint) const;
    /// The endpoint was alive at \a at: what was taken for its crash before then was none. Returns
    /// whether a crash was recorded.
    bool onAlive(const Incarnation &endpoint, MonoTime at);
    void forgetOld(MonoTime now);

    bool operator==(const CrashedEndpoints &) const = default;

private:
    std::map<Incarnation, MonoTime> crashedAt;
};

} // namespace lavenderhall
