#pragma once

#include "base/errors.h"
#include "store/store.h"

#include <cstdint>
#include <optional>
#include <string>

/// At most once for callers that repeat: a claim in the platform's store for each idempotency
/// key, made before a request is sent and holding its answer afterwards.
namespace lavenderhall {

enum class ClaimState {
    Claimed, ///< somebody may have sent the request; its outcome is not recorded
    Done, ///< it ran and this was its answer
    NotRun, ///< it certainly did not run; it may be claimed again
};

/// One claim as it lies in the store.
struct ClaimRecord
{
    std::string token; ///< random, of the one who claimed
    std::string fingerprint; ///< of the request: the same key must mean the same request
    std::string instance;
    std::int64_t claimedAtMillis = 0; ///< wall clock, for clearing up
    ClaimState state = ClaimState::Claimed;
    int status = 0;
    std::string contentType;
    std::string body; ///< of the answer, base64; "" if it was too large to keep
    bool hasBody = false;

    bool operator==(const ClaimRecord &) const = default;
};

std::string toText(const ClaimRecord &record);
Result<ClaimRecord> parseClaim(std::string_view text, const std::string &object);

/// Returns the store's object for a key of an organisation on a route.
std::string claimObjectName(const std::string &organisation, const std::string &route,
                        const std::string &idempotencyKey);
/// Returns what tells two requests apart.
std::string requestFingerprint(const std::string &method, const std::string &path,
                          const std::string &body);

/// What is to be done next for a claim.
enum class ClaimStep {
    Create, ///< write record() with version expectedVersion()
    Read, ///< read the object
    Send, ///< the claim is this request's own: send it now, once
    Replay, ///< answer with what record() holds
    Refuse, ///< see refusal()
    Stop, ///< nothing more
};

enum class ClaimRefusal {
    None,
    StoreAway, ///< nothing was sent: not run
    KeyReused, ///< the same key with another request: not run
    InProgress, ///< another request with this key has been sent, or may have been: unknown
};

/// The decisions of one request with an idempotency key. It never says Send twice.
class ClaimFlow
{
public:
    ClaimFlow(std::string object, ClaimRecord own);

    ClaimStep begin();
    ClaimStep onWritten(const StoreReply &reply);
    ClaimStep onRead(const StoreReply &reply);

    /// Records the end of the request; Create if it is to be written.
    ClaimStep onDone(int status, const std::string &contentType, const std::string &body);
    ClaimStep onNotRun();
    /// The outcome's write came back; Read or Create to try again, else Stop.
    ClaimStep onOutcomeWritten(const StoreReply &reply);
    ClaimStep onOutcomeRead(const StoreReply &reply);

    const std::string &object() const { return this->objectName; }
    const ClaimRecord &record() const { return this->current; }
    std::int64_t expectedVersion() const { return this->version; }
    ClaimRefusal refusal() const { return this->refused; }

private:
    ClaimStep refuse(ClaimRefusal reason);
    ClaimStep send(std::int64_t version);

    std::string objectName;
    ClaimRecord own;
    ClaimRecord current;
    std::int64_t version = CreateVersion;
    int triesLeft;
    bool sent = false;
    ClaimRefusal refused = ClaimRefusal::None;
};

} // namespace lavenderhall
