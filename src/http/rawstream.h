#pragma once

#include "base/address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

/// Plain sockets for tests that decide which byte is written when. Nothing blocks. On the loopback
/// interface, bytes are in the peer's receive buffer as soon as they have been written.
namespace lavenderhall::http {

/// Returns a loopback address of this process alone, so that tests may run beside each other.
inline std::string ownHost()
{
    const auto pid = static_cast<unsigned>(getpid());
    constexpr unsigned Byte = 256;
    return "127." + std::to_string(64 + pid / Byte / Byte % 64) + "."
        + std::to_string(pid / Byte % Byte) + "." + std::to_string(pid % Byte);
}

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &made.sin_addr);
    return made;
}

/// One end of a connection.
class RawStream
{
public:
    // Nagle's algorithm would hold back a piece until the one before it is acknowledged.
    explicit RawStream(int descriptor)
        : descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    RawStream(RawStream &&other) noexcept
        : received(std::move(other.received))
        , descriptor(std::exchange(other.descriptor, -1))
    { }
    RawStream &operator=(RawStream &&) = delete;
    ~RawStream() { this->reset(); }

    static RawStream connect(const Address &to)
    {
        const sockaddr_in address = socketAddress(to);
        RawStream stream(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        cr_assert(::connect(stream.descriptor, reinterpret_cast<const sockaddr *>(&address),
                            sizeof(address))
                  == 0);
        return stream;
    }

    bool isOpen() const { return this->descriptor >= 0; }

    /// Appends what has arrived to \c received, but no more than \a maxBytes.
    void read(std::size_t maxBytes = std::numeric_limits<std::size_t>::max())
    {
        std::array<char, 65536> buffer{};
        while (this->isOpen() && maxBytes > 0) {
            const ssize_t size = recv(this->descriptor, buffer.data(),
                                      std::min(buffer.size(), maxBytes), MSG_DONTWAIT);
            if (size <= 0)
                return;
            this->received.append(buffer.data(), static_cast<std::size_t>(size));
            maxBytes -= static_cast<std::size_t>(size);
        }
    }

    /// Returns how many bytes of \a data the kernel has taken.
    std::size_t write(std::string_view data)
    {
        if (!this->isOpen())
            return 0;
        const ssize_t size
            = send(this->descriptor, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        return size < 0 ? 0 : static_cast<std::size_t>(size);
    }

    /// Ends the bytes of this side; the other side's may go on.
    void endWriting() const { shutdown(this->descriptor, SHUT_WR); }

    void close()
    {
        if (this->isOpen())
            ::close(std::exchange(this->descriptor, -1));
    }

    void reset()
    {
        const linger resetOnClose{1, 0};
        if (this->isOpen())
            setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose,
                       sizeof(resetOnClose));
        this->close();
    }

    std::string received;

private:
    int descriptor;
};

/// Listens on a port that the system chooses.
class RawListener
{
public:
    /// \a receiveBuffer bounds the bytes that a connection holds before they are read; 0 leaves
    /// that to the kernel.
    explicit RawListener(int receiveBuffer = 0)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        constexpr int Backlog = 64;
        this->address = {ownHost(), 0};
        sockaddr_in bound = socketAddress(this->address);
        socklen_t size = sizeof(bound);
        if (receiveBuffer > 0)
            setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
                       sizeof(receiveBuffer));
        cr_assert(bind(this->descriptor, reinterpret_cast<sockaddr *>(&bound), size) == 0);
        cr_assert(listen(this->descriptor, Backlog) == 0);
        getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&bound), &size);
        this->address.port = ntohs(bound.sin_port);
    }
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;
    ~RawListener() { ::close(this->descriptor); }

    std::optional<RawStream> accept() const
    {
        const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            return std::nullopt;
        return RawStream(accepted);
    }

    Address address;

private:
    int descriptor;
};

} // namespace lavenderhall::http
