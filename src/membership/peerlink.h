#pragma once

#include "base/address.h"
#include "proto/peer.pb.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

/// The task that carries messages between instances: ZeroMQ with CURVE on a thread of its own.
///
/// It owns its sockets. Messages go in and out as serialized protobuf; they may be lost, doubled
/// or late, which all users of them allow for.
namespace lavenderhall {

/// Key pair of the fleet, in Z85 text. A peer that does not hold it is refused. Without keys
/// the network between the instances is trusted.
struct LinkKeys
{
    std::string publicKey;
    std::string secretKey;

    bool isEmpty() const { return this->secretKey.empty(); }
};

struct LinkCounts
{
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t unauthenticatedRefused = 0;
    std::uint64_t malformedRefused = 0;
};

class PeerLink
{
public:
    /// Called on the link's thread with each message that arrives.
    using Handler = std::function<void(proto::Envelope message)>;

    /// Binds \a listen; throws std::runtime_error if that cannot be done.
    PeerLink(const Address &listen, LinkKeys keys, Handler handler);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Sends without waiting, from the owner's thread; what cannot be sent is dropped.
    void send(const Address &to, const proto::Envelope &message);
    LinkCounts counts() const;

private:
    class Task;
    std::unique_ptr<Task> task;
};

} // namespace lavenderhall
