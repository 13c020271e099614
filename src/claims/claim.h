#pragma once

#include "base/errors.h"
#include "store/store.h"

#include <cstdint>
#include <optional>
#include <string>

/// At-most-once execution of requests with an idempotency key: before a request is sent, a claim
/// for its key is written to the platform's store; afterwards the claim holds the answer.
namespace lavenderhall {

/// State of a claim, as stored.
enum class ClaimState {
    Claimed, ///< the request may have been sent; its outcome is not recorded
    Done, ///< the request ran; the claim holds its answer
    NotRun, ///< the request certainly did not run; the key may be claimed again
};

/// A claim as stored.
struct ClaimRecord
{
    std::string token; ///< random, identifies the request that made the claim
    std::string fingerprint; ///< of the request; a key must not be used for two requests
    std::string instance; ///< that made the claim
    std::int64_t claimedAtMillis = 0; ///< Unix time, for the removal of old claims
    ClaimState state = ClaimState::Claimed;
    int status = 0; ///< HTTP status of the answer
    std::string contentType;
    std::string body; ///< of the answer, base64 in the store; "" if too large to keep
    bool hasBody = false; ///< false if the body was too large to keep

    bool operator==(const ClaimRecord &) const = default;
};

/// Returns the JSON text that is stored.
std::string toText(const ClaimRecord &record);
/// Parses a stored claim; \a object is named in errors.
Result<ClaimRecord> parseClaim(std::string_view text, const std::string &object);

/// Returns the name of the store's object for an organisation's key on a route.
std::string claimObjectName(const std::string &organisation, const std::string &route,
                            const std::string &idempotencyKey);
/// Returns a digest by which different requests with the same key are recognised.
std::string requestFingerprint(const std::string &method, const std::string &path,
                               const std::string &body);

/// What the owner of a ClaimFlow has to do next.
enum class ClaimStep {
    Write, ///< write record() on condition that the object is at expectedVersion()
    Read, ///< read object()
    Send, ///< the claim was made by this request: send the request now, once
    Replay, ///< respond to the caller with the answer in record()
    Refuse, ///< respond to the caller with an error for refusal()
    Stop, ///< do nothing more
};

/// Why a request is refused, and what is known about whether it ran.
enum class ClaimRefusal {
    None,
    StoreUnavailable, ///< the claim could not be made: not run
    KeyReused, ///< the key belongs to a different request: not run
    InProgress, ///< a request with this key may have been sent: outcome unknown
};

/// State machine of one request with an idempotency key. Its owner performs each step and reports
/// the store's reply. Send is returned at most once.
class ClaimFlow
{
public:
    ClaimFlow(std::string object, ClaimRecord ownRecord);

    /// Returns the first step.
    ClaimStep begin();
    /// The write of the claim was answered.
    ClaimStep onWritten(const StoreReply &reply);
    /// The read of an existing claim was answered.
    ClaimStep onRead(const StoreReply &reply);

    /// The request ran with this answer: returns Write, to record the outcome.
    ClaimStep onDone(int status, const std::string &contentType, const std::string &body);
    /// The request certainly did not run: returns Write, to record the outcome.
    ClaimStep onNotRun();
    /// The write of the outcome was answered: returns Read to try again, else Stop.
    ClaimStep onOutcomeWritten(const StoreReply &reply);
    /// The read before another try was answered: returns Write or Read to try again, else Stop.
    ClaimStep onOutcomeRead(const StoreReply &reply);

    const std::string &object() const { return this->objectName; }
    /// The claim to write, or the one to replay.
    const ClaimRecord &record() const { return this->activeRecord; }
    /// Version that the next write expects.
    std::int64_t expectedVersion() const { return this->version; }
    ClaimRefusal refusal() const { return this->refusalReason; }

private:
    ClaimStep refuse(ClaimRefusal reason);
    ClaimStep send(std::int64_t version);

    std::string objectName;
    ClaimRecord ownRecord; ///< claim of this request
    ClaimRecord activeRecord; ///< own record, or the found one that is replayed
    std::int64_t version = CreateVersion; ///< expected by the next write
    int triesLeft; ///< to make the claim, then to write its outcome
    bool wasSent = false;
    ClaimRefusal refusalReason = ClaimRefusal::None;
};

} // namespace lavenderhall
