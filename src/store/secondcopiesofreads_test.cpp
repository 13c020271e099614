#include "store/store.h"

#include "http/socket.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <memory>
#include <uv.h>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr std::uint16_t StorePort = 18115;

std::string objectNamedIn(std::string_view request)
{
    constexpr std::string_view Path = "/v1/objects/";
    const std::size_t begin = request.find(Path) + Path.size();
    return std::string(request.substr(begin, request.find_first_of("? ", begin) - begin));
}

/// A store whose objects contain their names. On each connection it sends the answer to the first
/// request again in the place of the answers to all later ones.
class CopyingStore
{
public:
    explicit CopyingStore(http::Loop &loop)
        : loop(loop)
    {
        uv_tcp_init(loop.handle(), this->listener);
        this->listener->data = this;
        sockaddr_in address{};
        uv_ip4_addr("127.0.0.1", StorePort, &address);
        uv_tcp_bind(this->listener, reinterpret_cast<const sockaddr *>(&address), 0);
        uv_listen(reinterpret_cast<uv_stream_t *>(this->listener), 16,
                  [](uv_stream_t *stream, int) {
                      static_cast<CopyingStore *>(stream->data)->onConnection();
                  });
    }
    ~CopyingStore()
    {
        for (const http::Socket::Ptr &socket : this->sockets)
            socket->close();
        uv_close(reinterpret_cast<uv_handle_t *>(this->listener),
                 [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
    }
    CopyingStore(const CopyingStore &) = delete;
    CopyingStore &operator=(const CopyingStore &) = delete;

private:
    void onConnection()
    {
        const std::size_t index = this->sockets.size();
        http::SocketHandlers handlers;
        handlers.onData = [this, index, first = std::string()](std::string_view data) mutable {
            if (first.empty())
                first = objectNamedIn(data);
            this->sockets[index]->write("HTTP/1.1 200 OK\r\netag: 7\r\ncontent-length: "
                                        + std::to_string(first.size()) + "\r\n\r\n" + first);
        };
        this->sockets.push_back(http::Socket::accept(
            this->loop, reinterpret_cast<uv_stream_t *>(this->listener), std::move(handlers)));
    }

    http::Loop &loop;
    uv_tcp_t *listener = new uv_tcp_t;
    std::vector<http::Socket::Ptr> sockets;
};

} // namespace

// Guards against a caller that gets the answer recorded under another idempotency key, because the
// second copy of another read's answer came where that of its claim was expected.
Test(secondcopiesofreads, an_answer_to_another_read_does_not_count)
{
    http::Loop loop;
    const CopyingStore store(loop);
    StoreClient client(loop, {"127.0.0.1", StorePort});
    for (const std::string name : {"claims/mill/1", "claims/mill/2", "claims/rival/1"}) {
        std::string body;
        client.read(name, [&](const StoreReply &reply) {
            body = reply.body;
            loop.stop();
        });
        loop.runFor(std::chrono::seconds(5));
        cr_assert(body == name, "%s for %s", body.c_str(), name.c_str());
    }
}
