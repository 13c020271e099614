#pragma once

#include "base/address.h"
#include "http/loop.h"
#include "http/parser.h"
#include "http/socket.h"
#include "routing/endpointdirectory.h"

#include <criterion/criterion.h>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <uv.h>
#include <vector>

/// An endpoint for tests that decide which bytes it writes, unlike http::Server.
namespace lavenderhall {

class RawEndpoint
{
public:
    /// One connection, with the request that it is to answer.
    struct Connection
    {
        http::Socket::Ptr socket;
        std::unique_ptr<http::Parser> parser;
        http::Headers headers; ///< of the request
        http::Timer timer;

        std::string requestId() const
        {
            return std::string(http::findHeader(this->headers, "request-id"));
        }
    };

    using ConnectionPtr = std::shared_ptr<Connection>;
    using Handler = std::function<void(const ConnectionPtr &connection)>;

    /// \a onRequest is called for each request that has arrived whole.
    RawEndpoint(http::Loop &loop, Address address, Handler onRequest)
        : loop(loop)
        , ownAddress(std::move(address))
        , onRequest(std::move(onRequest))
    {
        constexpr int Backlog = 16;
        uv_tcp_init(loop.handle(), this->listener);
        this->listener->data = this;
        sockaddr_in bound{};
        uv_ip4_addr(this->ownAddress.host.c_str(), this->ownAddress.port, &bound);
        int code = uv_tcp_bind(this->listener, reinterpret_cast<const sockaddr *>(&bound), 0);
        if (code == 0)
            code = uv_listen(reinterpret_cast<uv_stream_t *>(this->listener), Backlog,
                             [](uv_stream_t *stream, int) {
                                 static_cast<RawEndpoint *>(stream->data)->onConnection();
                             });
        cr_assert(code == 0, "%s", uv_strerror(code));
    }
    ~RawEndpoint()
    {
        for (const ConnectionPtr &connection : this->connections)
            connection->socket->close();
        uv_close(reinterpret_cast<uv_handle_t *>(this->listener),
                 [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
    }
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    const Address &address() const { return this->ownAddress; }

    /// Returns its entry in the store, in availability zone \a zone.
    RegisteredEndpoint entry(const std::string &id, const std::string &service,
                             const std::string &zone) const
    {
        RegisteredEndpoint registered;
        registered.id = id;
        registered.startMillis = 1;
        registered.service = service;
        registered.address = this->ownAddress;
        registered.zone = zone;
        registered.slots = 4;
        return registered;
    }

private:
    void onConnection()
    {
        const auto connection = std::make_shared<Connection>();
        const std::weak_ptr<Connection> weak = connection;
        connection->parser = std::make_unique<http::Parser>(
            http::MessageKind::Request,
            http::ParserHandlers{[weak](const http::MessageHead &head) {
                                     weak.lock()->headers = head.headers;
                                     return false;
                                 },
                                 {}});
        http::SocketHandlers handlers;
        handlers.onData = [this, weak](std::string_view data) {
            const auto self = weak.lock();
            if (self->parser->feed(data).state == http::ParseState::Complete)
                this->onRequest(self);
        };
        connection->socket = http::Socket::accept(
            this->loop, reinterpret_cast<uv_stream_t *>(this->listener), std::move(handlers));
        this->connections.push_back(connection);
    }

    http::Loop &loop;
    Address ownAddress;
    Handler onRequest;
    uv_tcp_t *listener = new uv_tcp_t;
    std::vector<ConnectionPtr> connections;
};

} // namespace lavenderhall
