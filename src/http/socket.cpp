#include "http/socket.h"

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

namespace lavenderhall::http {

namespace {

constexpr Millis LingerTime{1000}; ///< for the peer to close after this side has closed
constexpr Millis MaxFlushTime{15'000}; ///< for the queued bytes of a connection that is closed
constexpr unsigned KeepAliveSeconds = 2; ///< idle time before the first TCP keep-alive probe
// The kernel ends a connection whose sent bytes have not been acknowledged for this long.
constexpr unsigned UserTimeoutMillis = 3000;

// All sockets of a thread share one buffer, as the data of a read is handled before the next read
// starts.
std::array<char, 65536> &readBuffer()
{
    thread_local std::array<char, 65536> buffer;
    return buffer;
}

} // namespace

/// The libuv handle of a socket, deleted in its close callback.
struct Socket::Handle
{
    uv_tcp_t tcp{};
    uv_connect_t connecting{};
    uv_shutdown_t shuttingDown{};
    Ptr owner;

    uv_stream_t *stream() { return reinterpret_cast<uv_stream_t *>(&this->tcp); }

    /// Returns what a read of one byte would return, and leaves the byte where it is.
    ssize_t peek() const
    {
        uv_os_fd_t fd = -1;
        if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&this->tcp), &fd) != 0)
            return -EBADF;
        char nextByte = 0;
        const ssize_t size = recv(fd, &nextByte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size < 0 ? -errno : size;
    }

    // libuv reports a reset that directly follows data as the end of the stream. A further read
    // from the socket tells the two apart.
    bool isReset() const
    {
        const ssize_t size = this->peek();
        return size < 0 && size != -EAGAIN;
    }

    // Untaken are the bytes that the own kernel has not accepted yet, and those that the peer's
    // kernel has not acknowledged. Where the system cannot tell the latter, only the former count.
    bool hasUntakenBytes() const
    {
        if (uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t *>(&this->tcp)) > 0)
            return true;
        uv_os_fd_t fd = -1;
        if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&this->tcp), &fd) != 0)
            return false;
        int unacknowledged = 0; // bytes
        return ioctl(fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
    }

    // The system chooses the port of an outgoing connection, which may be one that an instance of
    // this machine is about to listen at again. With this option, that instance can.
    int openForConnect()
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0)
            return -errno;
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const int code = uv_tcp_open(&this->tcp, fd);
        if (code < 0)
            ::close(fd);
        return code;
    }

    // libuv accepts connections in its loop only, and holds one for uv_accept(). Others that wait
    // are accepted here.
    int acceptFrom(uv_stream_t *listener)
    {
        const int held = uv_accept(listener, this->stream());
        uv_os_fd_t fd = -1;
        if (held != UV_EAGAIN || uv_fileno(reinterpret_cast<uv_handle_t *>(listener), &fd) != 0)
            return held;
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
            return -errno;
        const int code = uv_tcp_open(&this->tcp, accepted);
        if (code < 0)
            ::close(accepted);
        return code;
    }

    // The system joins a connection with itself if it chooses the port that the connection goes to.
    bool isOwnPeer() const
    {
        sockaddr_in own{};
        sockaddr_in peer{};
        int ownSize = sizeof(own);
        int peerSize = sizeof(peer);
        return uv_tcp_getsockname(&this->tcp, reinterpret_cast<sockaddr *>(&own), &ownSize) == 0
            && uv_tcp_getpeername(&this->tcp, reinterpret_cast<sockaddr *>(&peer), &peerSize) == 0
            && own.sin_port == peer.sin_port && own.sin_addr.s_addr == peer.sin_addr.s_addr;
    }

    // Nagle's algorithm is off, as it delays small writes. Keep-alive probes detect a lost peer
    // while nothing is sent. TCP_USER_TIMEOUT bounds the time that sent bytes may stay
    // unacknowledged, and still lets them reach the peer after a regular close.
    void setOptions()
    {
        uv_tcp_nodelay(&this->tcp, 1);
        uv_tcp_keepalive(&this->tcp, 1, KeepAliveSeconds);
        uv_os_fd_t fd = -1;
        if (uv_fileno(reinterpret_cast<uv_handle_t *>(&this->tcp), &fd) == 0)
            setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMillis,
                       sizeof(UserTimeoutMillis));
    }
};

/// A write that libuv has not completed. It keeps its data and the socket alive.
struct Socket::Write
{
    uv_write_t request{};
    std::string data; ///< with the bytes that the kernel has accepted already
    std::size_t queuedBytes = 0; ///< the rest
    Ptr socket;
};

Socket::Socket(Loop &loop)
    : loop(loop)
    , tcp(new Handle)
{
    uv_tcp_init(loop.handle(), &this->tcp->tcp);
    this->tcp->tcp.data = this->tcp;
}

Socket::Ptr Socket::connect(Loop &loop, const Address &to, SocketHandlers handlers)
{
    Ptr socket(new Socket(loop));
    socket->handlers = std::move(handlers);
    socket->tcp->owner = socket;
    sockaddr_in address{};
    if (uv_ip4_addr(to.host.c_str(), to.port, &address) != 0) {
        loop.post([socket] { socket->end(SocketEnd::Failed, "not an IPv4 address"); });
        return socket;
    }
    socket->tcp->connecting.data = socket->tcp;
    const auto onConnect = [](uv_connect_t *request, int status) {
        const Ptr self = static_cast<Handle *>(request->data)->owner;
        if (!self || self->isClosing)
            return;
        if (status < 0)
            return self->end(SocketEnd::Failed, uv_strerror(status));
        if (self->tcp->isOwnPeer())
            return self->end(SocketEnd::Failed, "connected to itself");
        self->tcp->setOptions();
        self->startReading();
        if (self->handlers.onConnected)
            self->handlers.onConnected();
    };
    int code = socket->tcp->openForConnect();
    if (code == 0)
        code = uv_tcp_connect(&socket->tcp->connecting, &socket->tcp->tcp,
                              reinterpret_cast<const sockaddr *>(&address), onConnect);
    if (code < 0)
        loop.post([socket, code] { socket->end(SocketEnd::Failed, uv_strerror(code)); });
    return socket;
}

Socket::Ptr Socket::accept(Loop &loop, uv_stream_s *listener, SocketHandlers handlers)
{
    Ptr socket(new Socket(loop));
    socket->handlers = std::move(handlers);
    socket->tcp->owner = socket;
    if (socket->tcp->acceptFrom(listener) < 0) {
        socket->close();
        return nullptr;
    }
    socket->tcp->setOptions();
    socket->startReading();
    return socket;
}

void Socket::startReading()
{
    const auto allocate = [](uv_handle_t *, std::size_t, uv_buf_t *buffer) {
        *buffer = uv_buf_init(readBuffer().data(), static_cast<unsigned>(readBuffer().size()));
    };
    const auto onRead = [](uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer) {
        const Ptr self = static_cast<Handle *>(stream->data)->owner;
        if (!self || self->isClosing || size == 0)
            return;
        if (size == UV_EOF)
            return self->endAtEof();
        if (size < 0)
            return self->end(SocketEnd::Failed, uv_strerror(static_cast<int>(size)));
        if (self->handlers.onData && !self->isClosingGracefully)
            self->handlers.onData({buffer->base, static_cast<std::size_t>(size)});
    };
    uv_read_start(this->tcp->stream(), allocate, onRead);
}

// A peer that reads no more may close its side first and reset the connection later. What it has
// sent then looks complete, unless bytes are left that it has not taken.
void Socket::endAtEof()
{
    if (this->tcp->isReset())
        return this->end(SocketEnd::Failed, "reset by the peer");
    if (this->tcp->hasUntakenBytes())
        return this->end(SocketEnd::Failed, "closed by the peer before it took all bytes");
    this->end(SocketEnd::Eof, "closed by the peer");
}

bool Socket::hasInput() const
{
    return this->isClosing || this->tcp->peek() != -EAGAIN;
}

void Socket::setReading(bool on)
{
    if (this->isClosing)
        return;
    if (on)
        this->startReading();
    else
        uv_read_stop(this->tcp->stream());
}

void Socket::write(std::string data)
{
    if (this->isClosing || data.empty())
        return;
    std::size_t written = 0;
    if (this->queuedBytes == 0) {
        const uv_buf_t buffer = uv_buf_init(data.data(), static_cast<unsigned>(data.size()));
        const int result = uv_try_write(this->tcp->stream(), &buffer, 1);
        written = result > 0 ? static_cast<std::size_t>(result) : 0;
    }
    if (written == data.size())
        return;
    auto *write = new Write;
    write->data = std::move(data);
    write->socket = this->shared_from_this();
    write->request.data = write;
    write->queuedBytes = write->data.size() - written;
    this->queuedBytes += write->queuedBytes;
    this->heldBytes += write->data.size();
    this->chargeBacklog();
    const uv_buf_t rest
        = uv_buf_init(write->data.data() + written, static_cast<unsigned>(write->queuedBytes));
    const auto onWritten = [](uv_write_t *request, int status) {
        const std::unique_ptr<Write> completed(static_cast<Write *>(request->data));
        Socket &self = *completed->socket;
        self.queuedBytes -= completed->queuedBytes;
        self.heldBytes -= completed->data.size();
        if (self.isClosing)
            return;
        self.chargeBacklog();
        if (status < 0)
            return self.end(SocketEnd::Failed, uv_strerror(status));
        if (self.queuedBytes == 0 && self.handlers.onDrained)
            self.handlers.onDrained();
    };
    if (uv_write(&write->request, this->tcp->stream(), &rest, 1, onWritten) == 0)
        return;
    this->queuedBytes -= write->queuedBytes;
    this->heldBytes -= write->data.size();
    delete write;
    this->loop.post([self = this->shared_from_this()] {
        self->end(SocketEnd::Failed, "the connection takes no bytes");
    });
}

void Socket::setMemoryBudget(MemoryBudgetPtr budget)
{
    this->backlogShare = MemoryShare(budget, MemoryKind::Backlogs);
    this->memoryBudget = std::move(budget);
}

// The account is brought back within its limit from the loop, as the sockets that are closed then
// may be in use.
void Socket::chargeBacklog()
{
    if (!this->memoryBudget)
        return;
    this->backlogShare.set(this->heldBytes);
    if (this->heldBytes == 0)
        return this->memoryBudget->removeReader(this);
    const auto unsent = [this] { return uv_stream_get_write_queue_size(this->tcp->stream()); };
    const auto disconnect = [weak = this->weak_from_this()] {
        if (const Ptr self = weak.lock())
            self->isClosingGracefully ? self->close()
                                      : self->end(SocketEnd::Failed, "the peer reads too slowly");
    };
    this->memoryBudget->addReader(this, unsent, disconnect);
    if (!this->memoryBudget->isOver(MemoryKind::Backlogs))
        return;
    this->loop.post([budget = this->memoryBudget] {
        while (budget->isOver(MemoryKind::Backlogs) && budget->disconnectSlowestReader(Millis(0))) {
        }
    });
}

void Socket::end(SocketEnd kind, const std::string &reason)
{
    if (this->isClosing)
        return;
    const auto onEnd = std::move(this->handlers.onEnd);
    this->close();
    if (onEnd)
        onEnd(kind, reason);
}

void Socket::close()
{
    if (this->isClosing)
        return;
    this->isClosing = true;
    this->unsentMark = nullptr;
    this->backlogShare.release();
    if (this->memoryBudget)
        this->memoryBudget->removeReader(this);
    this->closer.reset(); // also a weak pointer keeps its deleter, and that this socket
    this->lingerTimer.cancel();
    // The caller may be one of these handlers, so they are destroyed later from the loop.
    auto oldHandlers = std::make_shared<SocketHandlers>(std::move(this->handlers));
    this->handlers = {};
    this->loop.post([oldHandlers] {});
    uv_close(reinterpret_cast<uv_handle_t *>(&this->tcp->tcp),
             [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
}

void Socket::reset()
{
    if (this->isClosing)
        return;
    uv_os_fd_t fd = -1;
    const linger resetOnClose{1, 0};
    if (uv_fileno(reinterpret_cast<uv_handle_t *>(&this->tcp->tcp), &fd) == 0)
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    this->close();
}

// A slow peer may take long to receive the queued bytes; one that receives none is detected by
// TCP_USER_TIMEOUT. A loop that ends drops its timers, and with them the socket is closed.
void Socket::closeGracefully(std::shared_ptr<void> whileUnsent)
{
    if (this->isClosing || this->isClosingGracefully)
        return;
    this->isClosingGracefully = true;
    this->unsentMark = std::move(whileUnsent);
    this->handlers.onDrained = nullptr;
    this->handlers.onEnd = nullptr;
    this->startReading();
    const Ptr keptAlive = this->shared_from_this();
    const std::shared_ptr<void> closesSocket(nullptr, [keptAlive](void *) { keptAlive->close(); });
    this->closer = closesSocket;
    this->lingerTimer
        = this->loop.after(MaxFlushTime, [keptAlive, closesSocket] { keptAlive->close(); });
    const auto onShutDown = [](uv_shutdown_t *request, int) {
        const Ptr self = static_cast<Handle *>(request->data)->owner;
        if (!self || self->isClosing)
            return;
        self->unsentMark = nullptr;
        self->lingerTimer = self->loop.after(
            LingerTime, [self, closesSocket = self->closer.lock()] { self->close(); });
    };
    this->tcp->shuttingDown.data = this->tcp;
    if (uv_shutdown(&this->tcp->shuttingDown, this->tcp->stream(), onShutDown) < 0)
        this->close();
}

} // namespace lavenderhall::http
