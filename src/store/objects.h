#pragma once

#include "base/json.h"
#include "http/client.h"
#include "store/store.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Client of a service that keeps objects by kind and name, with revisions and watches.
namespace lavenderhall {

struct StoredObject
{
    std::string name;
    std::int64_t revision = 0; ///< of its last change
    Json content;

    bool operator==(const StoredObject &) const = default;
};

struct ObjectEvent
{
    StoredObject object;
    bool isDeleted = false;

    bool operator==(const ObjectEvent &) const = default;
};

/// Some or all objects of a kind.
struct ObjectPage
{
    StoreStatus status = StoreStatus::Unknown;
    std::vector<StoredObject> objects;
    bool hasMore = false; ///< continue after the last name
    std::int64_t revision = 0; ///< of the whole store
};

/// What has changed in a kind.
struct ObjectChanges
{
    StoreStatus status = StoreStatus::Unknown;
    std::vector<ObjectEvent> events;
    std::int64_t revision = 0; ///< to go on watching from
};

/// Answer to a call for one object. On Conflict, the object as it is.
struct ObjectReply
{
    StoreStatus status = StoreStatus::Unknown;
    std::optional<StoredObject> object;
};

/// How calls and answers of a particular object service are written: plain functions of values.
struct ObjectCodec
{
    http::CallRequest (*list)(const std::string &kind, const std::string &after);
    http::CallRequest (*watch)(const std::string &kind, std::int64_t revision, Millis wait);
    http::CallRequest (*read)(const std::string &kind, const std::string &name);
    http::CallRequest (*create)(const std::string &kind, const StoredObject &object);
    /// Replaces the object if it is still at its revision.
    http::CallRequest (*replace)(const std::string &kind, const StoredObject &object);
    ObjectPage (*readPage)(const http::Response &response);
    ObjectChanges (*readChanges)(const http::Response &response);
    ObjectReply (*readReply)(const http::Response &response);
};

/// Asynchronous client on its loop's thread.
class ObjectClient
{
public:
    ObjectClient(http::Loop &loop, Address address, const ObjectCodec &form);

    using PageHandler = std::function<void(const ObjectPage &page)>;
    using ChangesHandler = std::function<void(const ObjectChanges &changes)>;
    using ReplyHandler = std::function<void(const ObjectReply &reply)>;

    void list(const std::string &kind, const std::string &after, const PageHandler &handler);
    void watch(const std::string &kind, std::int64_t revision, Millis wait,
               const ChangesHandler &handler);
    void read(const std::string &kind, const std::string &name, const ReplyHandler &handler);
    void create(const std::string &kind, const StoredObject &object, const ReplyHandler &handler);
    void replace(const std::string &kind, const StoredObject &object, const ReplyHandler &handler);

    std::uint64_t callCount() const { return this->calls; }

private:
    void start(http::CallRequest request, Millis timeout, const http::WholeHandler &handler);
    template <typename Reply>
    void startTyped(const http::CallRequest &request, Millis timeout,
                    Reply (*read)(const http::Response &response),
                    const std::function<void(const Reply &reply)> &handler);

    Address address;
    const ObjectCodec &form;
    http::Client client;
    std::uint64_t calls = 0;
};

} // namespace lavenderhall
