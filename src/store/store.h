#pragma once

#include "http/client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Client of the platform's object service in the OpenAI dialect; the forward dialect uses
/// ObjectClient.
///
/// Objects are read and written under /v1/objects/NAME. The version of an object is its ETag, a
/// number that increases with each write. Each write is conditional: If-Match with the version
/// read, or "If-None-Match: *" to create. "?watch=V&wait_ms=T" waits up to T ms until the version
/// is greater than V.
namespace lavenderhall {

/// How a call to the object service ended.
enum class StoreStatus {
    Ok,
    NotFound,
    Unchanged, ///< a watch ended without a change
    Conflict, ///< the condition of a write did not hold; nothing was written
    Compacted, ///< the service no longer has the requested history
    Limited, ///< the service's rate limit is exceeded; nothing was written
    Down, ///< the service was not reached; nothing was written
    Unknown, ///< the answer was lost; a write may have taken effect
};

/// Returns the name used in log lines, such as "not_found".
const char *toString(StoreStatus status);

/// Answer of the service, or how the call failed.
struct StoreReply
{
    StoreStatus status = StoreStatus::Unknown;
    std::int64_t version = 0; ///< of the object, 0 without an ETag
    std::string body;
};

/// Expected version of a write that must create the object.
inline constexpr std::int64_t CreateVersion = 0;

/// Builds the requests for both the asynchronous and the blocking client.
struct StoreRequestBuilder
{
    Address address;
    Millis timeout = std::chrono::seconds(2);

    http::CallRequest read(const std::string &name) const;
    http::CallRequest watch(const std::string &name, std::int64_t after, Millis wait) const;
    /// Writes on condition that the object is at version \a expected.
    http::CallRequest write(const std::string &name, std::string body, std::int64_t expected) const;
    http::CallRequest remove(const std::string &name, std::int64_t expected) const;
    /// Lists the names that start with \a prefix, one per line.
    http::CallRequest list(const std::string &prefix) const;
};

/// Converts the service's HTTP response.
StoreReply interpretReply(const http::Response &response);
/// Converts a failed call: Down if the request was certainly not sent, else Unknown.
StoreReply interpretFailure(const http::CallFailure &failure);

using StoreHandler = std::function<void(const StoreReply &reply)>;

/// Asynchronous client, to be used on its loop's thread.
class StoreClient
{
public:
    StoreClient(http::Loop &loop, Address address);

    void read(const std::string &name, const StoreHandler &handler);
    void watch(const std::string &name, std::int64_t after, Millis wait,
               const StoreHandler &handler);
    void write(const std::string &name, std::string body, std::int64_t expected,
               const StoreHandler &handler);
    void remove(const std::string &name, std::int64_t expected, const StoreHandler &handler);

    /// Number of calls started so far; the platform counts them too.
    std::uint64_t callCount() const { return this->calls; }

private:
    void start(http::CallRequest request, const StoreHandler &handler);

    StoreRequestBuilder requests;
    http::Client client;
    std::uint64_t calls = 0;
};

/// Blocking client for the command line.
class SyncStore
{
public:
    explicit SyncStore(Address address)
        : requests{std::move(address)}
    { }

    StoreReply read(const std::string &name) const;
    StoreReply write(const std::string &name, std::string body, std::int64_t expected) const;
    StoreReply list(const std::string &prefix) const;

private:
    StoreReply run(http::CallRequest request) const;

    StoreRequestBuilder requests;
};

} // namespace lavenderhall
