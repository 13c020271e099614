#pragma once

#include "forward/requestsignature.h"
#include "proto/peer.pb.h"
#include "routing/crashattribution.h"
#include "routing/crashingrequests.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Shares among all instances what each sees of the requests, and of the parts of prompts, that
/// crash endpoints, and decides which requests are not sent because of them.
namespace lavenderhall {

/// What a crash monitor needs of its instance.
struct CrashMonitorHooks
{
    std::function<void(const proto::CrashNews &news)> broadcast;
    /// Whether this instance repeats to others what is blocked.
    std::function<bool()> isTeller;
    /// Whether this instance sends the requests that find out whether \a subject, a part or the
    /// fingerprint of a request, still crashes endpoints.
    std::function<bool(const std::string &subject)> isTrialInstance;
    std::function<void()> onNewBlocks; ///< called after parts or requests were blocked
};

class CrashMonitor
{
public:
    /// \a startedAt: when this instance was started; long ago if it is left out.
    explicit CrashMonitor(CrashMonitorHooks hooks, MonoTime startedAt = {})
        : hooks(std::move(hooks))
        , requests(startedAt)
    { }

    /// The connection of an attempt at \a endpoint, sent at \a sentAt, ended before its answer
    /// began.
    void onAttemptLost(const Incarnation &endpoint, const RequestSignature &request,
                       MonoTime sentAt, MonoTime now);
    /// A successful answer has begun at \a endpoint. A failure is no sign that a request is sound:
    /// an endpoint that fails may not have begun to run it.
    void onAnswerBegun(const Incarnation &endpoint, const RequestSignature &request, MonoTime now);
    /// The endpoint has sent something to this instance or, a moment ago, to another one.
    void onEndpointAlive(const Incarnation &endpoint, MonoTime now);
    /// Handles what another instance has found.
    void onNews(const proto::CrashNews &news, MonoTime now);
    /// Blocks what has crashed endpoints and sends the news that are due; to be called
    /// periodically.
    void onTick(MonoTime now);

    /// Returns why the request is not to be sent to endpoints: a short name for logs and answers;
    /// nullptr if it may be sent.
    const char *blockReason(const RequestSignature &request) const;
    /// Decides on a new request: returns until when it is refused, or nothing if it may be sent, be
    /// it as a trial.
    std::optional<MonoTime> refusedUntil(const RequestSignature &request, MonoTime now) const;
    /// A new request is sent to an endpoint.
    void onSent(const RequestSignature &request, MonoTime now);

private:
    /// A loss that is collected for the next broadcast.
    struct PendingLoss
    {
        LostRequest lost;
        std::vector<PartId> parts;
    };

    void recordLoss(const LostRequest &lost, MonoTime now);
    void recordPartsCrash(const EngineCrash &crash, MonoTime now);
    void onLossElsewhere(const proto::LostRequest &told, MonoTime now);
    /// Returns the block of the request itself; nullptr if there is none.
    const CrashBlock *requestBlock(const RequestSignature &request) const;
    void block(MonoTime now);
    void collectPart(const CrashBlock &block, MonoTime now);
    void collectRequest(const CrashBlock &block, MonoTime now);
    /// Collects the blocks again, for instances that have just started.
    void repeatBlocks(MonoTime now);
    void flush(MonoTime now);

    CrashMonitorHooks hooks;
    CrashAttribution attribution;
    CrashingRequests requests;
    std::vector<PendingLoss> pendingLosses;
    proto::CrashNews pendingNews; ///< the rest of the next broadcast
    std::size_t repeatedRequests = 0; ///< blocks of requests repeated so far, in turn
    MonoTime repeatedAt{};
    MonoTime tickedAt{};
    MonoTime blockAfter{}; ///< nothing is blocked earlier, as news may wait to be read
};

} // namespace lavenderhall
