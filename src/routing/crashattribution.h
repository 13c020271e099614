#pragma once

#include "base/clock.h"
#include "routing/crashblocks.h"
#include "routing/crashingrequests.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Finds the parts of prompts that crash engines. A few requests in a hundred share a part under
/// which each engine ends that begins to answer; every one of them may come to another instance,
/// and each crash takes sound requests along that share all other parts.
namespace lavenderhall {

/// Identifies a part of a prompt, whatever stands before it.
using PartId = std::string;

/// An engine that ended while requests waited there for the beginning of their answers.
struct EngineCrash
{
    Incarnation engine;
    std::vector<PartId> parts; ///< shared parts of the prompts of these requests
    MonoTime at{};

    auto operator<=>(const EngineCrash &) const = default;
};

/// A part under which an engine has begun an answer.
struct BegunPart
{
    PartId part;
    MonoTime begunAt{};

    auto operator<=>(const BegunPart &) const = default;
};

/// Suspects a part once engines have crashed under it, and clears it as soon as any engine begins
/// an answer to a prompt that has it. A part is blocked if several engines have crashed under it
/// at different times and none has begun an answer in between. Parts that come together have the
/// same crashes: those under which answers had begun before are then not blocked.
class CrashAttribution
{
public:
    CrashAttribution();

    /// Records a crash that this or another instance has seen. Returns those of its parts under
    /// which answers had begun before, if other instances have not been told.
    std::vector<BegunPart> onCrash(const EngineCrash &crash);
    /// An answer to a prompt with \a parts has begun, so none of them crashes engines. Returns
    /// those that were suspected or blocked.
    std::vector<PartId> onAnswerBegun(const std::vector<PartId> &parts, MonoTime now);
    /// Another instance has seen that an answer began. Later crashes still count.
    void onBegunElsewhere(const BegunPart &begun);
    /// The engine was alive at \a at: what was taken for its crash before then was none.
    /// Returns whether a part was suspected for it.
    bool onEngineAlive(const Incarnation &engine, MonoTime at);
    /// Another instance has blocked the part. Returns whether this is news.
    bool onBlocked(const CrashBlock &blocked);
    /// Blocks the parts whose crashes suffice, and returns them. A part is not blocked if one of
    /// \a requests explains all crashes under it.
    std::vector<CrashBlock> blockNewParts(MonoTime now,
                                          const CrashingRequests &requests = CrashingRequests());

    /// Returns those of \a parts that are blocked.
    std::vector<CrashBlock> findBlocked(const std::vector<PartId> &parts) const;
    /// A request with the part is sent as a trial; the next one may follow much later. Returns the
    /// part with its new times, or nothing if it is not blocked.
    std::optional<CrashBlock> onTrial(const PartId &part, MonoTime now);
    /// Returns all blocked parts.
    std::vector<CrashBlock> blockedParts() const { return this->blocks.all(); }

    bool operator==(const CrashAttribution &) const = default;

private:
    /// The engines that have crashed under one part since an answer to it began, and when.
    using Crashes = std::map<Incarnation, MonoTime>;

    struct Begun
    {
        MonoTime at{}; ///< when an answer last began
        std::optional<MonoTime> toldAt; ///< the time that all instances know

        bool operator==(const Begun &) const = default;
    };

    /// Forgets what was held against the part until \a begunAt. Returns whether that was anything.
    bool clear(const PartId &part, MonoTime begunAt);
    /// Returns the parts under which enough engines have crashed, and of these the most.
    std::vector<PartId> mostSuspected(MonoTime now, const CrashingRequests &requests) const;
    void forgetOld(MonoTime now);

    std::unordered_map<PartId, Crashes> suspects;
    CrashedEndpoints crashedEngines;
    CrashBlocks blocks;
    std::unordered_map<PartId, Begun> begunParts;
    MonoTime forgottenAt{};
};

} // namespace lavenderhall
