#include "http/serverconnection.h"

#include <algorithm>
#include <array>
#include <cstdio>

/// The answers of an HTTP server, as they go out.
namespace lavenderhall::http {

namespace {

// Size of a chunk as text: at most 16 hex digits, CRLF and the terminating zero, rounded up.
constexpr std::size_t ChunkSizeTextBytes = 24;

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/// Returns whether an answer with \a status has neither a body nor a length.
bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

} // namespace

std::size_t Exchange::backlog() const
{
    return this->connection ? this->connection->backlog() : 0;
}

void Exchange::sendHead(int status, const Headers &headers)
{
    this->begun = true;
    this->answerShare.release(); // what the caller does not take at once is charged as a backlog
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const Header &header : headers) {
        if (header.name == "connection")
            this->isKeepAlive = this->isKeepAlive && header.value != "close";
        else
            head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (this->isChunked)
        head += "transfer-encoding: chunked\r\n";
    else if (!hasNoBody(status))
        head += "content-length: " + std::to_string(this->remainingBytes) + "\r\n";
    this->announcesClose = this->connection->closesAfter(*this);
    if (this->announcesClose)
        head += "connection: close\r\n";
    this->connection->send(head + "\r\n");
}

void Exchange::discardBody()
{
    std::string().swap(this->receivedRequest.body);
}

void Exchange::respond(const Response &response)
{
    this->respond(Response(response));
}

void Exchange::respond(Response &&response)
{
    if (this->begun || !this->connection)
        return;
    this->beginSized(response.status, response.headers, response.body.size());
    this->sendBody(std::move(response.body));
    this->end();
}

void Exchange::begin(int status, const Headers &headers)
{
    if (this->begun || !this->connection)
        return;
    this->isChunked = true;
    this->sendHead(status, headers);
}

void Exchange::beginSized(int status, const Headers &headers, std::uint64_t length)
{
    if (this->begun || !this->connection)
        return;
    this->remainingBytes = length;
    this->sendHead(status, headers);
}

void Exchange::write(std::string_view data)
{
    if (!this->connection || !this->begun || this->ended || data.empty()
        || this->receivedRequest.method == Method::Head)
        return;
    if (!this->isChunked) {
        const auto size = std::min<std::uint64_t>(this->remainingBytes, data.size());
        this->remainingBytes -= size;
        return this->connection->send(std::string(data.substr(0, size)));
    }
    std::array<char, ChunkSizeTextBytes> chunkSize{};
    std::snprintf(chunkSize.data(), chunkSize.size(), "%zx\r\n", data.size());
    this->connection->send(std::string(chunkSize.data()).append(data).append("\r\n"));
}

void Exchange::sendBody(std::string body)
{
    if (!this->connection || this->receivedRequest.method == Method::Head)
        return;
    this->remainingBytes -= body.size();
    this->connection->send(std::move(body));
}

bool Exchange::holdAnswer(std::size_t bytes)
{
    return this->connection && this->connection->holdAnswer(*this, bytes);
}

// The caller detects an answer that is shorter than announced only if the connection is closed.
void Exchange::end()
{
    if (!this->connection || !this->begun || this->ended)
        return;
    if (!this->isChunked && this->remainingBytes > 0
        && this->receivedRequest.method != Method::Head)
        return this->abort();
    this->ended = true;
    if (this->isChunked && this->receivedRequest.method != Method::Head)
        this->connection->send("0\r\n\r\n");
    this->connection->finish();
}

void Exchange::abort()
{
    if (!this->connection)
        return;
    this->closedHandler = nullptr;
    this->connection->drop();
}

} // namespace lavenderhall::http
