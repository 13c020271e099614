#pragma once

#include "routing/answeredrequests.h"
#include "routing/crashblocks.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Finds requests that crash each endpoint which begins to run them. Such a request comes again and
/// again, at any instance, with the same path, caller and body, and may be sent to several
/// endpoints each time. Each crash takes sound requests along.
namespace lavenderhall {

/// Identifies requests with the same method, host, path, caller and body.
using RequestFingerprint = std::string;

/// A request that was lost when an endpoint crashed, before its answer began.
struct LostRequest
{
    RequestFingerprint request;
    Incarnation endpoint;
    MonoTime sentAt{}; ///< to the endpoint
    MonoTime lostAt{};

    auto operator<=>(const LostRequest &) const = default;
};

/// A request that an endpoint has answered.
struct AnsweredRequest
{
    RequestFingerprint request;
    MonoTime answeredAt{};

    auto operator<=>(const AnsweredRequest &) const = default;
};

/// Suspects a request once an endpoint has crashed under it, and clears it as soon as any endpoint
/// answers it. It is blocked if several endpoints have crashed under it and none has answered. A
/// request that many callers send may by chance be at each endpoint that crashes: one that was
/// answered before is blocked only after more crashes that no other request explains.
class CrashingRequests
{
public:
    /// \a startedAt: when this instance was started, which knows of no crash before.
    explicit CrashingRequests(MonoTime startedAt = {});

    /// Records a loss that this or another instance has seen. Returns the request's last answer if
    /// the other instances have not been told of it.
    std::optional<AnsweredRequest> onLost(const LostRequest &lost);
    /// An endpoint has begun to answer the request. Returns whether anything was held against it.
    bool onAnswered(const RequestFingerprint &request, MonoTime at);
    /// The same at another instance.
    void onAnsweredElsewhere(const AnsweredRequest &answered);
    /// The endpoint was alive at \a at: what was taken for its crash before then was none. Returns
    /// whether a request was suspected for it.
    bool onEndpointAlive(const Incarnation &endpoint, MonoTime at);
    /// Another instance has blocked the request. Returns whether this is news; an instance that has
    /// seen an answer since knows better.
    bool onBlocked(const CrashBlock &block);
    /// Blocks the requests whose crashes suffice, and returns them.
    std::vector<CrashBlock> blockNewRequests(MonoTime now);
    /// A blocked request is sent as a trial, see CrashBlocks.
    std::optional<CrashBlock> onTrial(const RequestFingerprint &request, MonoTime now);

    /// Whether anything is held against the request.
    bool isSuspected(const RequestFingerprint &request) const
    {
        return this->suspects.contains(request);
    }
    bool hasBlocks() const { return !this->blocks.isEmpty(); }
    /// Returns the block of the request; nullptr if there is none.
    const CrashBlock *findBlock(const RequestFingerprint &request) const
    {
        return this->blocks.find(request);
    }
    /// Returns all blocks.
    std::vector<CrashBlock> blockedRequests() const { return this->blocks.all(); }
    /// Whether one and the same request was lost at each of \a endpoints: it explains their
    /// crashes, and no part that it shares with others does.
    bool isOneRequestLostAtAll(const std::set<Incarnation> &endpoints) const;

    bool operator==(const CrashingRequests &) const = default;

private:
    /// The endpoints that one request was lost at, and when it was sent there.
    using Losses = std::map<Incarnation, MonoTime>;

    /// Returns when the last endpoint crashed under a request with \a losses.
    MonoTime lastCrash(const Losses &losses) const;
    /// Returns how many crashes count against a request with \a losses.
    int countCrashes(const Losses &losses, MonoTime now) const;
    std::vector<RequestFingerprint> mostSuspected(MonoTime now) const;
    /// Forgets the losses of other requests that the crashes under \a blocked explain.
    void forgetBystanders(const std::vector<RequestFingerprint> &blocked);
    void forgetOld(MonoTime now);
    void makeRoom();

    std::unordered_map<RequestFingerprint, Losses> suspects; ///< those that are blocked included
    AnsweredRequests answered;
    std::unordered_map<RequestFingerprint, MonoTime> toldAnswers; ///< that all instances know
    CrashedEndpoints crashedEndpoints;
    CrashBlocks blocks;
    MonoTime startedAt;
    MonoTime forgottenAt{};
};

} // namespace lavenderhall
