#include "http/rawstream.h"
#include "http/socket.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;
using namespace lavenderhall::http;

// A server closes a connection in this way after its last answer.
Test(socket, a_gracefully_closed_socket_is_freed)
{
    Loop loop;
    const RawListener listener;
    Socket::Ptr socket = Socket::connect(loop, listener.address, {});
    loop.runFor(Millis(20));
    auto peer = listener.accept();
    cr_assert(peer.has_value());
    const std::weak_ptr<Socket> closed = socket;
    socket->closeGracefully();
    socket = nullptr;
    cr_assert(not(closed.expired()));
    peer->close();
    loop.runFor(Millis(50));
    cr_assert(closed.expired());
}
