#pragma once

#include "base/address.h"
#include "proto/peer.pb.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

/// Transport of messages between instances: ZeroMQ with CURVE encryption on a thread of its own,
/// which owns the sockets.
///
/// Messages are serialised protobuf. They may be lost, duplicated or delayed, and every user must
/// tolerate that.
namespace lavenderhall {

/// The fleet's CURVE key pair, as Z85 text. Peers without it are refused. Without keys, messages
/// are neither authenticated nor encrypted, so the network between the instances must be trusted.
struct LinkKeys
{
    std::string publicKey;
    std::string secretKey;

    bool isEmpty() const { return this->secretKey.empty(); }
};

/// Counts since the start of the link.
struct LinkCounts
{
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t unauthenticatedRefused = 0; ///< connections with a key other than the fleet's
    std::uint64_t malformedRefused = 0; ///< messages
    std::uint64_t messagesDropped = 0; ///< that could not be queued or sent
};

/// One instance's end of the transport.
class PeerLink
{
public:
    /// Called on the link's thread for each message received.
    using Handler = std::function<void(proto::Envelope message)>;

    static constexpr std::size_t DefaultMaxConnections = 1000;

    /// Binds \a listen and starts the thread; throws ListenError if this fails. Of more than
    /// \a maxConnections connections to peers, the one that has been unused for longest is closed,
    /// and messages to others are dropped while all are in use.
    PeerLink(const Address &listen, LinkKeys keys, Handler handler,
             std::size_t maxConnections = DefaultMaxConnections);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Sends \a message without blocking; drops and counts it if it cannot be sent. Call it only on
    /// the thread that created the link.
    void send(const Address &to, const proto::Envelope &message);
    LinkCounts counts() const;

private:
    class Worker;
    std::unique_ptr<Worker> worker;
};

} // namespace lavenderhall
