#include "membership/peerlink.h"

#include "base/clock.h"

#include <array>
#include <map>
#include <stdexcept>
#include <vector>
#include <zmq.hpp>

namespace lavenderhall {

namespace {

constexpr int SendQueueMessages = 1000;
constexpr int HeartbeatMillis = 2000;
constexpr int HeartbeatTimeoutMillis = 6000;
constexpr int ConnectTimeoutMillis = 2000;
constexpr int ReconnectMillis = 200;
constexpr int MaxReconnectMillis = 2000;
constexpr std::int64_t MaxMessageBytes = 16 << 20;
constexpr std::chrono::seconds IdleLimit{30};
constexpr Millis SweepInterval{5000};
constexpr const char *ZapEndpoint = "inproc://zeromq.zap.01";
constexpr const char *CommandEndpoint = "inproc://commands";
constexpr std::size_t RawKeyBytes = 32;

std::string endpointOf(const Address &address)
{
    return "tcp://" + address.toString();
}

} // namespace

/// What the thread owns, and the command socket of the other side.
class PeerLink::Task
{
public:
    Task(const Address &listen, LinkKeys keys, Handler handler)
        : keys(std::move(keys))
        , handler(std::move(handler))
        , inbox(this->context, zmq::socket_type::router)
        , zap(this->context, zmq::socket_type::rep)
        , commandsIn(this->context, zmq::socket_type::pair)
        , commandsOut(this->context, zmq::socket_type::pair)
    {
        this->zap.bind(ZapEndpoint);
        this->commandsIn.bind(CommandEndpoint);
        this->commandsOut.connect(CommandEndpoint);
        this->inbox.set(zmq::sockopt::linger, 0);
        this->inbox.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
        if (!this->keys.isEmpty()) {
            this->inbox.set(zmq::sockopt::curve_server, true);
            this->inbox.set(zmq::sockopt::curve_secretkey, this->keys.secretKey);
            this->inbox.set(zmq::sockopt::zap_domain, "fleet");
        }
        this->inbox.set(zmq::sockopt::heartbeat_ivl, HeartbeatMillis);
        this->inbox.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMillis);
        try {
            this->inbox.bind(endpointOf(listen));
        } catch (const zmq::error_t &error) {
            throw std::runtime_error("peer listen: cannot bind " + listen.toString() + ": "
                                     + error.what());
        }
        this->thread = std::thread([this] { this->run(); });
    }

    ~Task()
    {
        this->commandsOut.send(zmq::message_t(), zmq::send_flags::none);
        this->thread.join();
    }

    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    void send(const Address &to, const std::string &bytes)
    {
        this->commandsOut.send(zmq::buffer(to.toString()), zmq::send_flags::sndmore);
        this->commandsOut.send(zmq::buffer(bytes), zmq::send_flags::none);
    }

    std::atomic<std::uint64_t> messagesIn{0};
    std::atomic<std::uint64_t> messagesOut{0};
    std::atomic<std::uint64_t> bytesIn{0};
    std::atomic<std::uint64_t> bytesOut{0};
    std::atomic<std::uint64_t> strangers{0};
    std::atomic<std::uint64_t> malformed{0};

private:
    struct Outgoing
    {
        zmq::socket_t socket;
        MonoTime lastUsed{};
    };

    void run()
    {
        MonoTime nextSweep = monoNow() + SweepInterval;
        for (;;) {
            zmq::pollitem_t items[] = {{this->inbox.handle(), 0, ZMQ_POLLIN, 0},
                                       {this->zap.handle(), 0, ZMQ_POLLIN, 0},
                                       {this->commandsIn.handle(), 0, ZMQ_POLLIN, 0}};
            zmq::poll(items, 3, SweepInterval);
            if ((items[1].revents & ZMQ_POLLIN) != 0)
                this->authenticate();
            if ((items[0].revents & ZMQ_POLLIN) != 0)
                this->receiveAll();
            if ((items[2].revents & ZMQ_POLLIN) != 0 && !this->carryOutCommands())
                return;
            if (monoNow() < nextSweep)
                continue;
            nextSweep = monoNow() + SweepInterval;
            std::erase_if(this->outgoing, [](const auto &entry) {
                return monoNow() - entry.second.lastUsed > IdleLimit;
            });
        }
    }

    // The protocol of ZeroMQ's authentication (ZAP): version, request, domain, address, identity,
    // mechanism, and for CURVE the client's public key.
    void authenticate()
    {
        std::vector<zmq::message_t> frames;
        for (;;) {
            zmq::message_t frame;
            if (!this->zap.recv(frame, zmq::recv_flags::none))
                return;
            frames.push_back(std::move(frame));
            if (!frames.back().more())
                break;
        }
        bool isKnown = false;
        if (frames.size() == 7 && frames[6].size() == RawKeyBytes) {
            std::array<char, 41> text{};
            zmq_z85_encode(text.data(), frames[6].data<std::uint8_t>(), RawKeyBytes);
            isKnown = this->keys.publicKey == text.data();
        }
        if (!isKnown)
            ++this->strangers;
        const std::string requestId = frames.size() > 1 ? frames[1].to_string() : "";
        const std::array<std::string, 6> reply{
            "1.0", requestId, isKnown ? "200" : "400", isKnown ? "OK" : "unknown key", "", ""};
        for (std::size_t index = 0; index < reply.size(); ++index) {
            const bool isLast = index + 1 == reply.size();
            this->zap.send(zmq::buffer(reply[index]),
                           isLast ? zmq::send_flags::none : zmq::send_flags::sndmore);
        }
    }

    void receiveAll()
    {
        for (;;) {
            zmq::message_t identity;
            if (!this->inbox.recv(identity, zmq::recv_flags::dontwait))
                return;
            zmq::message_t payload;
            bool isWellFormed = identity.more() && this->inbox.recv(payload).has_value();
            bool more = isWellFormed && payload.more();
            isWellFormed = isWellFormed && !more;
            while (more) {
                zmq::message_t rest;
                more = this->inbox.recv(rest).has_value() && rest.more();
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

    bool carryOutCommands()
    {
        for (;;) {
            zmq::message_t address;
            if (!this->commandsIn.recv(address, zmq::recv_flags::dontwait))
                return true;
            if (!address.more())
                return false;
            zmq::message_t payload;
            if (!this->commandsIn.recv(payload, zmq::recv_flags::none))
                return true;
            this->deliver(address.to_string(), std::move(payload));
        }
    }

    void deliver(const std::string &address, zmq::message_t payload)
    {
        auto found = this->outgoing.find(address);
        if (found == this->outgoing.end()) {
            Outgoing fresh{zmq::socket_t(this->context, zmq::socket_type::dealer), {}};
            fresh.socket.set(zmq::sockopt::linger, 0);
            fresh.socket.set(zmq::sockopt::sndhwm, SendQueueMessages);
            if (!this->keys.isEmpty()) {
                fresh.socket.set(zmq::sockopt::curve_serverkey, this->keys.publicKey);
                fresh.socket.set(zmq::sockopt::curve_publickey, this->keys.publicKey);
                fresh.socket.set(zmq::sockopt::curve_secretkey, this->keys.secretKey);
            }
            fresh.socket.set(zmq::sockopt::connect_timeout, ConnectTimeoutMillis);
            fresh.socket.set(zmq::sockopt::reconnect_ivl, ReconnectMillis);
            fresh.socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMillis);
            // A connection that has gone silent is found by heartbeats and made anew.
            fresh.socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatMillis);
            fresh.socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMillis);
            fresh.socket.connect("tcp://" + address);
            found = this->outgoing.emplace(address, std::move(fresh)).first;
        }
        found->second.lastUsed = monoNow();
        const std::size_t size = payload.size();
        if (!found->second.socket.send(payload, zmq::send_flags::dontwait))
            return;
        ++this->messagesOut;
        this->bytesOut += size;
    }

    LinkKeys keys;
    Handler handler;
    zmq::context_t context;
    zmq::socket_t inbox;
    zmq::socket_t zap;
    zmq::socket_t commandsIn;
    zmq::socket_t commandsOut;
    std::map<std::string, Outgoing> outgoing;
    std::thread thread;
};

PeerLink::PeerLink(const Address &listen, LinkKeys keys, Handler handler)
    : task(std::make_unique<Task>(listen, std::move(keys), std::move(handler)))
{ }

PeerLink::~PeerLink() = default;

void PeerLink::send(const Address &to, const proto::Envelope &message)
{
    this->task->send(to, message.SerializeAsString());
}

LinkCounts PeerLink::counts() const
{
    LinkCounts counts;
    counts.messagesIn = this->task->messagesIn;
    counts.messagesOut = this->task->messagesOut;
    counts.bytesIn = this->task->bytesIn;
    counts.bytesOut = this->task->bytesOut;
    counts.unauthenticatedRefused = this->task->strangers;
    counts.malformedRefused = this->task->malformed;
    return counts;
}

} // namespace lavenderhall
