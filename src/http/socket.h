#pragma once

#include "base/address.h"
#include "http/loop.h"
#include "http/memorybudget.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct uv_stream_s;

/// TCP connection on a loop, with backpressure in both directions.
namespace lavenderhall::http {

/// How a connection ended.
enum class SocketEnd {
    Eof, ///< the peer has closed its side after its last byte, and has taken all that was written
    Failed, ///< reset, timed out, never established, or closed before all was taken
};

/// Callbacks of a socket, on the loop's thread. Each may be empty.
struct SocketHandlers
{
    std::function<void()> onConnected; ///< only after connect()
    std::function<void(std::string_view data)> onData;
    std::function<void()> onDrained; ///< the kernel has accepted all bytes that were queued
    /// The connection has ended and is closed. Called at most once, and as the last one.
    std::function<void(SocketEnd end, const std::string &reason)> onEnd;
    /// Released when the socket has been closed, also after it has been closed gracefully.
    std::shared_ptr<const void> lease;
};

/// One TCP connection. It stays alive until it is closed, also without other owners.
class Socket : public std::enable_shared_from_this<Socket>
{
public:
    using Ptr = std::shared_ptr<Socket>;

    /// Connects to \a to, an IPv4 address. Calls onConnected or onEnd later from the loop.
    static Ptr connect(Loop &loop, const Address &to, SocketHandlers handlers);
    /// Accepts a connection that is pending at \a listener; returns nullptr if this fails.
    static Ptr accept(Loop &loop, uv_stream_s *listener, SocketHandlers handlers);

    /// Sends \a data, or queues what the kernel does not accept at once.
    void write(std::string data);
    /// From now on charges the writes that are not completed to \a budget, which may close this
    /// socket if its peer takes none.
    void setMemoryBudget(MemoryBudgetPtr budget);
    /// Returns the number of queued bytes, which the kernel has not accepted yet.
    std::size_t backlog() const { return this->queuedBytes; }
    /// Returns whether bytes, the end of the stream or a failure are waiting to be read.
    bool hasInput() const;
    /// Starts or stops reading. While stopped, the peer is slowed down by TCP flow control.
    void setReading(bool on);
    /// Closes at once and drops queued bytes. No handler is called any more.
    void close();
    /// Closes at once with a TCP reset, so that the peer does not see a regular end of the stream.
    void reset();
    /// Sends the queued bytes and the end of the stream, and closes when the peer has closed too or
    /// a second after the last byte was sent. Received bytes are dropped, and onDrained and onEnd
    /// are not called any more. Keeps \a whileUnsent until the last byte has been sent.
    void closeGracefully(std::shared_ptr<void> whileUnsent = nullptr);
    /// Returns whether the socket is closed or is being closed, also gracefully.
    bool isClosed() const { return this->isClosing || this->isClosingGracefully; }

private:
    struct Handle;
    struct Write;

    explicit Socket(Loop &loop);
    void startReading();
    /// Ends the socket after the end of the peer's stream.
    void endAtEof();
    void end(SocketEnd kind, const std::string &reason);
    /// Charges the writes that libuv has not completed.
    void chargeBacklog();

    Loop &loop;
    SocketHandlers handlers;
    Handle *tcp = nullptr;
    std::size_t queuedBytes = 0;
    bool isClosing = false;
    bool isClosingGracefully = false; ///< closeGracefully() has been called
    std::shared_ptr<void> unsentMark; ///< kept until the last byte has been sent
    Timer lingerTimer;
    std::weak_ptr<void> closer; ///< closes the socket when its last owner, a timer, is gone
    MemoryBudgetPtr memoryBudget; ///< may be nullptr
    MemoryShare backlogShare;
    std::size_t heldBytes = 0; ///< of the writes that libuv has not completed
};

} // namespace lavenderhall::http
