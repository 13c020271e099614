#pragma once

#include "base/address.h"
#include "http/loop.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct uv_stream_s;

/// A TCP connection on a loop: bytes in and out, with backpressure and a clear end.
namespace lavenderhall::http {

/// How a connection came to its end.
enum class SocketEnd {
    Eof, ///< the peer has sent all it had and closed its side
    Failed, ///< reset, timed out or never connected
};

struct SocketHandlers
{
    std::function<void()> onConnected;
    std::function<void(std::string_view data)> onData;
    std::function<void()> onDrained; ///< all bytes written so far are with the system
    std::function<void(SocketEnd end, const std::string &reason)> onEnd; ///< at most once
};

class Socket : public std::enable_shared_from_this<Socket>
{
public:
    using Ptr = std::shared_ptr<Socket>;

    /// Starts a connection; onConnected or onEnd follows.
    static Ptr connect(Loop &loop, const Address &to, SocketHandlers handlers);
    /// Takes in a connection that waits at \a listener; nullptr if there is none.
    static Ptr accept(Loop &loop, uv_stream_s *listener, SocketHandlers handlers);

    void write(std::string data);
    std::size_t backlog() const { return this->queued; }
    void setReading(bool on);
    /// Closes at once. No handler is called any more.
    void close();
    /// Closes at once so that the peer sees a reset, not an end.
    void reset();
    /// Sends what is queued, then the end of the stream; closes when the peer has closed too.
    void closeGracefully();
    bool isClosed() const { return this->closing; }

private:
    struct Handle;
    struct Write;

    explicit Socket(Loop &loop);
    void startReading();
    void end(SocketEnd how, const std::string &reason);

    Loop &loop;
    SocketHandlers handlers;
    Handle *tcp = nullptr;
    std::size_t queued = 0;
    bool closing = false;
    bool isDraining = false;
    Timer lingerTimer;
};

} // namespace lavenderhall::http
