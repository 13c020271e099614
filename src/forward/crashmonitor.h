#pragma once

#include "proto/peer.pb.h"
#include "routing/crashattribution.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Shares among all instances what each sees of the parts of prompts that crash engines, and
/// decides which requests are not sent because of them.
namespace lavenderhall {

/// What a crash monitor needs of its instance.
struct CrashMonitorHooks
{
    std::function<void(const proto::CrashNews &news)> broadcast;
    /// Whether this instance repeats to others which parts are blocked.
    std::function<bool()> isTeller;
    /// Whether this instance sends the requests that find out whether \a part still crashes
    /// engines.
    std::function<bool(const PartId &part)> isTrialInstance;
    std::function<void()> onPartsBlocked; ///< called after parts were newly blocked
};

class CrashMonitor
{
public:
    explicit CrashMonitor(CrashMonitorHooks hooks)
        : hooks(std::move(hooks))
    { }

    /// The connection of an attempt at \a engine ended before its answer began.
    void onAttemptLost(const Incarnation &engine, const std::vector<PartId> &parts, MonoTime now);
    /// An answer to a prompt with \a parts has begun at \a engine.
    void onAnswerBegun(const Incarnation &engine, const std::vector<PartId> &parts, MonoTime now);
    /// The engine has reported to this instance or, a moment ago, to another one.
    void onEngineAlive(const Incarnation &engine, MonoTime now);
    /// Handles what another instance has found.
    void onNews(const proto::CrashNews &news, MonoTime now);
    /// Blocks parts and sends the news that are due; to be called periodically.
    void onTick(MonoTime now);

    /// Whether a prompt with \a parts is not to be sent to engines.
    bool isBlocked(const std::vector<PartId> &parts) const
    {
        return !this->attribution.findBlocked(parts).empty();
    }
    /// Decides on a new request with \a parts: returns until when such requests are refused, or
    /// nothing if it may be sent, be it as a trial.
    std::optional<MonoTime> refusedUntil(const std::vector<PartId> &parts, MonoTime now) const;
    /// A new request with \a parts is sent to an engine.
    void onSent(const std::vector<PartId> &parts, MonoTime now);

private:
    void recordCrash(const EngineCrash &crash, MonoTime now);
    void block(MonoTime now);
    void collectBlocked(const CrashBlock &blocked, MonoTime now);
    void flush(MonoTime now);

    CrashMonitorHooks hooks;
    CrashAttribution attribution;
    std::map<Incarnation, EngineCrash> pendingCrashes; ///< collected for the next broadcast
    proto::CrashNews pendingNews; ///< the rest of the next broadcast
    MonoTime repeatedAt{};
    MonoTime tickedAt{};
    MonoTime blockAfter{}; ///< no part is blocked earlier, as news may wait to be read
};

} // namespace lavenderhall
