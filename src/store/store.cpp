#include "store/store.h"

#include <cstdlib>

namespace lavenderhall {

namespace {

constexpr const char *ObjectPath = "/v1/objects/";
constexpr Millis WatchMargin = std::chrono::seconds(2); ///< timeout of a watch beyond its wait

} // namespace

const char *toString(StoreStatus status)
{
    switch (status) {
    case StoreStatus::Ok:
        return "ok";
    case StoreStatus::NotFound:
        return "not_found";
    case StoreStatus::Unchanged:
        return "unchanged";
    case StoreStatus::Conflict:
        return "conflict";
    case StoreStatus::Compacted:
        return "compacted";
    case StoreStatus::Limited:
        return "limited";
    case StoreStatus::Down:
        return "down";
    case StoreStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

// Each call uses a connection of its own. An answer does not name its object: on a connection that
// is used again, the second copy of an earlier answer would count. And if an idle one has been
// closed unnoticed, the outcome of a write is unknown.
http::CallRequest StoreRequestBuilder::read(const std::string &name) const
{
    http::CallRequest call;
    call.to = this->address;
    call.path = ObjectPath + http::percentEncodedPath(name);
    call.headTimeout = this->timeout;
    call.headers = {{"connection", "close"}};
    call.reuse = http::Reuse::Never;
    return call;
}

http::CallRequest StoreRequestBuilder::watch(const std::string &name, std::int64_t after,
                                             Millis wait) const
{
    http::CallRequest call = this->read(name);
    call.path += "?watch=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    call.headTimeout = wait + WatchMargin;
    return call;
}

http::CallRequest StoreRequestBuilder::write(const std::string &name, std::string body,
                                             std::int64_t expected) const
{
    http::CallRequest call = this->read(name);
    call.method = http::Method::Put;
    call.body = std::move(body);
    if (expected == CreateVersion)
        call.headers.push_back({"if-none-match", "*"});
    else
        call.headers.push_back({"if-match", std::to_string(expected)});
    return call;
}

http::CallRequest StoreRequestBuilder::remove(const std::string &name, std::int64_t expected) const
{
    http::CallRequest call = this->read(name);
    call.method = http::Method::Delete;
    call.headers.push_back({"if-match", std::to_string(expected)});
    return call;
}

http::CallRequest StoreRequestBuilder::list(const std::string &prefix) const
{
    http::CallRequest call = this->read("");
    call.path = "/v1/list?prefix=" + http::percentEncoded(prefix);
    return call;
}

StoreReply interpretReply(const http::Response &response)
{
    StoreReply reply;
    reply.version = std::atoll(std::string(http::findHeader(response.headers, "etag")).c_str());
    switch (response.status) {
    case 200:
    case 201:
        reply.status = StoreStatus::Ok;
        reply.body = response.body;
        break;
    case 304:
        reply.status = StoreStatus::Unchanged;
        break;
    case 404:
        reply.status = StoreStatus::NotFound;
        break;
    case 409:
    case 412:
        reply.status = StoreStatus::Conflict;
        break;
    case 429:
        reply.status = StoreStatus::Limited;
        break;
    case 503:
        reply.status = StoreStatus::Down;
        break;
    default:
        reply.status = StoreStatus::Unknown;
    }
    return reply;
}

StoreReply interpretFailure(const http::CallFailure &failure)
{
    StoreReply reply;
    reply.status = failure.mayHaveBeenSent ? StoreStatus::Unknown : StoreStatus::Down;
    return reply;
}

StoreClient::StoreClient(http::Loop &loop, Address address)
    : requests{std::move(address)}
    , client(loop)
{ }

void StoreClient::read(const std::string &name, const StoreHandler &handler)
{
    this->start(this->requests.read(name), handler);
}

void StoreClient::watch(const std::string &name, std::int64_t after, Millis wait,
                        const StoreHandler &handler)
{
    this->start(this->requests.watch(name, after, wait), handler);
}

void StoreClient::write(const std::string &name, std::string body, std::int64_t expected,
                        const StoreHandler &handler)
{
    this->start(this->requests.write(name, std::move(body), expected), handler);
}

void StoreClient::remove(const std::string &name, std::int64_t expected,
                         const StoreHandler &handler)
{
    this->start(this->requests.remove(name, expected), handler);
}

void StoreClient::start(http::CallRequest request, const StoreHandler &handler)
{
    ++this->calls;
    const auto onAnswer
        = [handler](const http::Response *response, const http::CallFailure &failure) {
              handler(response ? interpretReply(*response) : interpretFailure(failure));
          };
    http::startBuffered(this->client, std::move(request), onAnswer);
}

StoreReply SyncStore::read(const std::string &name) const
{
    return this->run(this->requests.read(name));
}

StoreReply SyncStore::write(const std::string &name, std::string body, std::int64_t expected) const
{
    return this->run(this->requests.write(name, std::move(body), expected));
}

StoreReply SyncStore::list(const std::string &prefix) const
{
    return this->run(this->requests.list(prefix));
}

StoreReply SyncStore::run(http::CallRequest request) const
{
    const http::SyncResult result = http::callAndWait(std::move(request));
    return result.ok ? interpretReply(result.response) : interpretFailure(result.failure);
}

} // namespace lavenderhall
