#pragma once

#include "http/client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Client of the platform's object service.
///
/// Objects are read and written under /v1/objects/NAME. The version of an object is its ETag, a
/// number that grows with each write. A write is conditional: If-Match with the version read,
/// or "If-None-Match: *" to create. "?watch=V&wait_ms=T" waits until the version passes V.
namespace lavenderhall {

enum class StoreStatus {
    Ok,
    NotFound,
    Unchanged, ///< a watch ended without a change
    Conflict, ///< the condition of a write did not hold; nothing was written
    Compacted, ///< the history asked for is gone
    Limited, ///< over the service's rate; nothing was written
    Down, ///< not reached; nothing was written
    Unknown, ///< the answer was lost; a write may have taken effect
};

const char *toString(StoreStatus status);

struct StoreReply
{
    StoreStatus status = StoreStatus::Unknown;
    std::int64_t version = 0;
    std::string body;
};

/// Version to give to a write that must create the object.
inline constexpr std::int64_t CreateVersion = 0;

/// Builds the calls; shared by the asynchronous client and the command line.
struct StoreCalls
{
    Address address;
    Millis timeout = std::chrono::seconds(2);

    http::CallRequest read(const std::string &name) const;
    http::CallRequest watch(const std::string &name, std::int64_t after, Millis wait) const;
    http::CallRequest write(const std::string &name, std::string body, std::int64_t expected) const;
    http::CallRequest remove(const std::string &name, std::int64_t expected) const;
    /// Names below \a prefix, one a line.
    http::CallRequest list(const std::string &prefix) const;
};

/// Reads an answer of the service.
StoreReply interpretReply(const http::Response &response);
/// Reads a failure: nothing sent is Down, anything else Unknown.
StoreReply interpretFailure(const http::CallFailure &failure);

using StoreHandler = std::function<void(const StoreReply &reply)>;

/// Asynchronous client, on its loop's thread. Counts its calls, as the platform does.
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

    std::uint64_t callCount() const { return this->calls; }

private:
    void start(http::CallRequest request, const StoreHandler &handler);

    StoreCalls requests;
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

    StoreCalls requests;
};

} // namespace lavenderhall
