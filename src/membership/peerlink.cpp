#include "membership/peerlink.h"

#include "base/clock.h"
#include "base/listenerror.h"
#include "base/log.h"
#include "base/logratelimiter.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <vector>
#include <zmq.hpp>

namespace lavenderhall {

namespace {

constexpr int MaxQueuedMessages = 1000; // for each peer; further ones are dropped
constexpr int HeartbeatIntervalMillis = 2000;
constexpr int HeartbeatTimeoutMillis = 6000;
constexpr int ConnectTimeoutMillis = 2000;
constexpr int ReconnectIntervalMillis = 200;
constexpr int MaxReconnectIntervalMillis = 2000;
constexpr std::int64_t MaxMessageBytes = 16 << 20;
constexpr std::chrono::seconds MaxIdleTime{30}; // an unused connection is closed after it
constexpr Millis MinIdleTime{1000}; // before an unused connection makes room for another one
constexpr Millis SweepInterval{5000}; // between searches for unused connections
constexpr Millis PollFailurePause{100}; // so that a poll that keeps failing does not busy-loop
constexpr double FailureLinesPerSecond = 1;
constexpr double FailureLinesBurst = 5;
// Sockets of the context besides the connections, with a margin for those that are being closed.
constexpr std::size_t OtherSockets = 64;
constexpr const char *ZapEndpoint = "inproc://zeromq.zap.01";
constexpr const char *CommandEndpoint = "inproc://commands";
constexpr std::size_t CurveKeyBytes = 32;
constexpr std::size_t CurveKeyTextBytes = 41; // Z85 text of 40 characters and a null byte
constexpr std::size_t ZapCurveFrames = 7; // of a ZAP request for CURVE, see authenticate()
constexpr std::size_t ZapKeyFrame = 6; // index of the client's public key

std::string zmqEndpointOf(const Address &address)
{
    return "tcp://" + address.toString();
}

/// Calls \a operation again for as long as a signal interrupts it. Signals arrive at any thread,
/// and a process that is continued after a pause is interrupted without one.
template <typename Operation> auto uninterrupted(Operation operation)
{
    for (;;) {
        try {
            return operation();
        } catch (const zmq::error_t &error) {
            if (error.num() != EINTR)
                throw;
        }
    }
}

/// Receives one frame; false if there is none.
bool receive(zmq::socket_t &socket, zmq::message_t &frame, zmq::recv_flags flags)
{
    return uninterrupted([&] { return socket.recv(frame, flags); }).has_value();
}

} // namespace

/// The thread with its sockets, and the socket through which the owner's thread sends it commands.
class PeerLink::Worker
{
public:
    Worker(const Address &listen, LinkKeys keys, std::size_t maxConnections, Handler handler)
        : keys(std::move(keys))
        , maxConnections(std::max<std::size_t>(1, maxConnections))
        , handler(std::move(handler))
        , context(contextFor(this->maxConnections))
        , inbox(this->context, zmq::socket_type::router)
        , zapSocket(this->context, zmq::socket_type::rep)
        , commandReceiver(this->context, zmq::socket_type::pair)
        , commandSender(this->context, zmq::socket_type::pair)
    {
        this->zapSocket.bind(ZapEndpoint);
        this->commandReceiver.bind(CommandEndpoint);
        this->commandSender.connect(CommandEndpoint);
        this->inbox.set(zmq::sockopt::linger, 0);
        this->inbox.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
        if (!this->keys.isEmpty()) {
            this->inbox.set(zmq::sockopt::curve_server, true);
            this->inbox.set(zmq::sockopt::curve_secretkey, this->keys.secretKey);
            this->inbox.set(zmq::sockopt::zap_domain, "fleet");
        }
        this->inbox.set(zmq::sockopt::heartbeat_ivl, HeartbeatIntervalMillis);
        this->inbox.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMillis);
        try {
            this->inbox.bind(zmqEndpointOf(listen));
        } catch (const zmq::error_t &error) {
            throw ListenError("peer listen", listen, error.num(), error.what());
        }
        this->thread = std::thread([this] { this->run(); });
    }

    ~Worker()
    {
        uninterrupted(
            [this] { return this->commandSender.send(zmq::message_t(), zmq::send_flags::none); });
        this->thread.join();
    }

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    // ZeroMQ would look up any other host name, which blocks the thread that all connections share.
    // The pair accepts all frames of a message or none, so only the first one can be refused.
    void send(const Address &to, const std::string &bytes)
    {
        if (!isIpAddress(to.host) || to.port == 0) {
            ++this->dropped;
            return;
        }
        const std::string address = to.toString();
        const auto isQueued = uninterrupted([&] {
            return this->commandSender.send(zmq::buffer(address),
                                            zmq::send_flags::sndmore | zmq::send_flags::dontwait);
        });
        if (!isQueued) {
            ++this->dropped;
            return;
        }
        uninterrupted(
            [&] { return this->commandSender.send(zmq::buffer(bytes), zmq::send_flags::none); });
    }

    std::atomic<std::uint64_t> messagesIn{0};
    std::atomic<std::uint64_t> messagesOut{0};
    std::atomic<std::uint64_t> bytesIn{0};
    std::atomic<std::uint64_t> bytesOut{0};
    std::atomic<std::uint64_t> unauthenticated{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> dropped{0};

private:
    struct Connection
    {
        zmq::socket_t socket;
        MonoTime lastUsed{};
    };

    static zmq::context_t contextFor(std::size_t connections)
    {
        zmq::context_t context;
        context.set(zmq::ctxopt::max_sockets, static_cast<int>(connections + OtherSockets));
        return context;
    }

    // Nothing catches exceptions on the thread, so a failure of ZeroMQ is handled here: it is
    // logged, and what failed is left undone. Returns whether \a step succeeded.
    template <typename Step> bool attempt(const char *name, Step step)
    {
        try {
            step();
            return true;
        } catch (const zmq::error_t &error) {
            if (this->failureLines.tryAcquire(monoNow()))
                logEvent(LogLevel::Warning, "peer_link_failed",
                         {{"step", name},
                          {"detail", error.what()},
                          {"lines_left_out", this->failureLines.takeDroppedCount()}});
            return false;
        }
    }

    // The loop of the thread; returns after an empty command.
    void run()
    {
        MonoTime nextSweep = monoNow() + SweepInterval;
        for (;;) {
            zmq::pollitem_t items[] = {{this->inbox.handle(), 0, ZMQ_POLLIN, 0},
                                       {this->zapSocket.handle(), 0, ZMQ_POLLIN, 0},
                                       {this->commandReceiver.handle(), 0, ZMQ_POLLIN, 0}};
            const bool isPolled = this->attempt("poll", [&items] {
                uninterrupted([&items] { return zmq::poll(items, 3, SweepInterval); });
            });
            if (!isPolled)
                std::this_thread::sleep_for(PollFailurePause);
            if ((items[1].revents & ZMQ_POLLIN) != 0)
                this->attempt("authenticate", [this] { this->authenticate(); });
            if ((items[0].revents & ZMQ_POLLIN) != 0)
                this->attempt("receive", [this] { this->receiveAll(); });
            bool isStopped = false;
            if ((items[2].revents & ZMQ_POLLIN) != 0)
                this->attempt("take commands", [&] { isStopped = !this->sendQueued(); });
            if (isStopped)
                return;
            if (monoNow() < nextSweep)
                continue;
            nextSweep = monoNow() + SweepInterval;
            std::erase_if(this->connections, [](const auto &entry) {
                return monoNow() - entry.second.lastUsed > MaxIdleTime;
            });
        }
    }

    // Answers a request of the ZeroMQ authentication protocol (ZAP). Its frames: version, request
    // id, domain, address, identity, mechanism and, for CURVE, the client's public key.
    void authenticate()
    {
        std::vector<zmq::message_t> frames;
        for (;;) {
            zmq::message_t frame;
            if (!receive(this->zapSocket, frame, zmq::recv_flags::none))
                return;
            frames.push_back(std::move(frame));
            if (!frames.back().more())
                break;
        }
        bool hasFleetKey = false;
        if (frames.size() == ZapCurveFrames && frames[ZapKeyFrame].size() == CurveKeyBytes) {
            std::array<char, CurveKeyTextBytes> text{};
            zmq_z85_encode(text.data(), frames[ZapKeyFrame].data<std::uint8_t>(), CurveKeyBytes);
            hasFleetKey = this->keys.publicKey == text.data();
        }
        if (!hasFleetKey)
            ++this->unauthenticated;
        const std::string requestId = frames.size() > 1 ? frames[1].to_string() : "";
        const std::array<std::string, 6> reply{
            "1.0", requestId, hasFleetKey ? "200" : "400", hasFleetKey ? "OK" : "unknown key",
            "",    ""};
        for (std::size_t index = 0; index < reply.size(); ++index) {
            const bool isLast = index + 1 == reply.size();
            uninterrupted([&] {
                return this->zapSocket.send(zmq::buffer(reply[index]),
                                            isLast ? zmq::send_flags::none
                                                   : zmq::send_flags::sndmore);
            });
        }
    }

    void receiveAll()
    {
        for (;;) {
            zmq::message_t identity;
            if (!receive(this->inbox, identity, zmq::recv_flags::dontwait))
                return;
            zmq::message_t payload;
            bool isWellFormed
                = identity.more() && receive(this->inbox, payload, zmq::recv_flags::none);
            bool hasMore = isWellFormed && payload.more();
            isWellFormed = isWellFormed && !hasMore;
            while (hasMore) {
                zmq::message_t extraFrame;
                hasMore
                    = receive(this->inbox, extraFrame, zmq::recv_flags::none) && extraFrame.more();
            }
            proto::Envelope envelope;
            isWellFormed = isWellFormed
                && envelope.ParseFromArray(payload.data(), static_cast<int>(payload.size()))
                && !envelope.from().name().empty()
                && envelope.payload_case() != proto::Envelope::PAYLOAD_NOT_SET;
            if (!isWellFormed) {
                ++this->malformed;
                continue;
            }
            ++this->messagesIn;
            this->bytesIn += payload.size();
            this->handler(std::move(envelope));
        }
    }

    // Sends the messages that the owner's thread has queued. Returns false after the command to
    // stop, an empty message.
    bool sendQueued()
    {
        for (;;) {
            zmq::message_t address;
            if (!receive(this->commandReceiver, address, zmq::recv_flags::dontwait))
                return true;
            if (!address.more())
                return false;
            zmq::message_t payload;
            if (!receive(this->commandReceiver, payload, zmq::recv_flags::none))
                return true;
            const auto sendOne = [&] { this->sendTo(address.to_string(), std::move(payload)); };
            if (!this->attempt("send", sendOne))
                ++this->dropped;
        }
    }

    // Closes the connection that has been unused for longest, if there is no room for one more.
    // Returns whether there is room. A connection in use is kept: with more peers than connections,
    // all of them would be made again with each message to all.
    bool makeRoom()
    {
        if (this->connections.size() < this->maxConnections)
            return true;
        const auto oldest = std::min_element(
            this->connections.begin(), this->connections.end(),
            [](const auto &a, const auto &b) { return a.second.lastUsed < b.second.lastUsed; });
        if (monoNow() - oldest->second.lastUsed < MinIdleTime)
            return false;
        this->connections.erase(oldest);
        return true;
    }

    void sendTo(const std::string &address, zmq::message_t payload)
    {
        auto found = this->connections.find(address);
        if (found != this->connections.end() && hasInput(found->second.socket)) {
            this->connections.erase(found);
            found = this->connections.end();
        }
        if (found == this->connections.end()) {
            if (!this->makeRoom()) {
                ++this->dropped;
                return;
            }
            Connection connection{zmq::socket_t(this->context, zmq::socket_type::dealer), {}};
            connection.socket.set(zmq::sockopt::linger, 0);
            connection.socket.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
            if (!this->keys.isEmpty()) {
                connection.socket.set(zmq::sockopt::curve_serverkey, this->keys.publicKey);
                connection.socket.set(zmq::sockopt::curve_publickey, this->keys.publicKey);
                connection.socket.set(zmq::sockopt::curve_secretkey, this->keys.secretKey);
            }
            connection.socket.set(zmq::sockopt::connect_timeout, ConnectTimeoutMillis);
            connection.socket.set(zmq::sockopt::reconnect_ivl, ReconnectIntervalMillis);
            connection.socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectIntervalMillis);
            // Heartbeats detect a connection that has gone silent, and ZeroMQ reconnects.
            connection.socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatIntervalMillis);
            connection.socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMillis);
            connection.socket.connect("tcp://" + address);
            found = this->connections.emplace(address, std::move(connection)).first;
        }
        found->second.lastUsed = monoNow();
        const std::size_t size = payload.size();
        const auto sent = uninterrupted(
            [&] { return found->second.socket.send(payload, zmq::send_flags::dontwait); });
        if (!sent) {
            ++this->dropped;
            return;
        }
        ++this->messagesOut;
        this->bytesOut += size;
    }

    // A peer never sends on a connection that it has accepted. So what arrives on one of this
    // side's connections has been sent by this side: the system has joined the connection with
    // itself while nobody listened at the peer's address.
    static bool hasInput(zmq::socket_t &socket)
    {
        const int events = uninterrupted([&] { return socket.get(zmq::sockopt::events); });
        return (events & ZMQ_POLLIN) != 0;
    }

    LinkKeys keys;
    std::size_t maxConnections;
    Handler handler;
    zmq::context_t context;
    zmq::socket_t inbox;
    zmq::socket_t zapSocket;
    zmq::socket_t commandReceiver;
    zmq::socket_t commandSender;
    std::map<std::string, Connection> connections;
    LogRateLimiter failureLines{FailureLinesPerSecond, FailureLinesBurst};
    std::thread thread;
};

PeerLink::PeerLink(const Address &listen, LinkKeys keys, Handler handler,
                   std::size_t maxConnections)
{
    try {
        this->worker
            = std::make_unique<Worker>(listen, std::move(keys), maxConnections, std::move(handler));
    } catch (const zmq::error_t &error) {
        throw ListenError("peer link", listen, error.num(), error.what());
    }
}

PeerLink::~PeerLink() = default;

void PeerLink::send(const Address &to, const proto::Envelope &message)
{
    this->worker->send(to, message.SerializeAsString());
}

LinkCounts PeerLink::counts() const
{
    LinkCounts counts;
    counts.messagesIn = this->worker->messagesIn;
    counts.messagesOut = this->worker->messagesOut;
    counts.bytesIn = this->worker->bytesIn;
    counts.bytesOut = this->worker->bytesOut;
    counts.unauthenticatedRefused = this->worker->unauthenticated;
    counts.malformedRefused = this->worker->malformed;
    counts.messagesDropped = this->worker->dropped;
    return counts;
}

} // namespace lavenderhall
