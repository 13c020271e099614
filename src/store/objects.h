#pragma once

#include "base/json.h"
#include "http/client.h"
#include "store/store.h"
#include "store/storerevision.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Client of an object service that stores objects by kind and name, with revisions and watches.
/// The forward dialect uses it; the OpenAI dialect uses StoreClient, which has no kinds.
namespace lavenderhall {

/// An object of the service as it was read or is to be written.
struct StoredObject
{
    std::string name;
    std::int64_t revision = 0; ///< store revision of its last change
    Json content;
    Json status{}; ///< null for objects without one

    bool operator==(const StoredObject &) const = default;
};

/// A changed or deleted object.
struct ObjectEvent
{
    StoredObject object;
    bool isDeleted = false;

    bool operator==(const ObjectEvent &) const = default;
};

/// The objects of an answer that could not be read.
struct UnreadableObjects
{
    std::size_t count = 0;
    std::string first; ///< the beginning of the first one, as UTF-8

    bool operator==(const UnreadableObjects &) const = default;
};

/// One page of a list of the objects of a kind.
struct ObjectPage
{
    StoreStatus status = StoreStatus::Unknown;
    std::vector<StoredObject> objects;
    bool hasMore = false; ///< the next page starts after lastName
    /// Name of the last object whose name is known, also if the rest of it is unreadable.
    std::string lastName;
    std::int64_t revision = 0; ///< store revision of the whole store
    UnreadableObjects unreadable; ///< left out
};

/// Answer to a watch: the objects of a kind that have changed.
struct ObjectChanges
{
    StoreStatus status = StoreStatus::Unknown;
    std::vector<ObjectEvent> events;
    std::int64_t revision = 0; ///< store revision to continue the watch from
    std::int64_t era = 0; ///< of the store, also in an answer without a revision; 0 if not known
    UnreadableObjects unreadable; ///< left out
};

/// Answer to a call for one object. On Conflict, \a object is the current one.
struct ObjectReply
{
    StoreStatus status = StoreStatus::Unknown;
    std::optional<StoredObject> object;
    std::int64_t era = 0; ///< of the store; 0 if not known
};

/// Encodes the calls and parses the answers of a particular object service. The functions are
/// pure. All revisions are store revisions, see store/storerevision.h.
struct ObjectCodec
{
    /// Lists the objects whose names come after \a after, all of them if it is "".
    http::CallRequest (*list)(const std::string &kind, const std::string &after);
    /// Waits up to \a wait for changes after \a revision.
    http::CallRequest (*watch)(const std::string &kind, std::int64_t revision, Millis wait);
    http::CallRequest (*read)(const std::string &kind, const std::string &name);
    http::CallRequest (*create)(const std::string &kind, const StoredObject &object);
    /// Replaces the object on condition that it is still at object.revision.
    http::CallRequest (*replace)(const std::string &kind, const StoredObject &object);
    /// Replaces the object's status alone, on the same condition.
    http::CallRequest (*replaceStatus)(const std::string &kind, const StoredObject &object);
    ObjectPage (*readPage)(const http::Response &response);
    ObjectChanges (*readChanges)(const http::Response &response);
    ObjectReply (*readReply)(const http::Response &response);
};

/// Asynchronous client, to be used on its loop's thread. The calls are those of ObjectCodec.
class ObjectClient
{
public:
    ObjectClient(http::Loop &loop, Address address, const ObjectCodec &codec);

    using PageHandler = std::function<void(const ObjectPage &page)>;
    using ChangesHandler = std::function<void(const ObjectChanges &changes)>;
    using ReplyHandler = std::function<void(const ObjectReply &reply)>;

    void list(const std::string &kind, const std::string &after, const PageHandler &handler);
    void watch(const std::string &kind, std::int64_t revision, Millis wait,
               const ChangesHandler &handler);
    void read(const std::string &kind, const std::string &name, const ReplyHandler &handler);
    void create(const std::string &kind, const StoredObject &object, const ReplyHandler &handler);
    void replace(const std::string &kind, const StoredObject &object, const ReplyHandler &handler);
    void replaceStatus(const std::string &kind, const StoredObject &object,
                       const ReplyHandler &handler);

    /// Number of calls started so far.
    std::uint64_t callCount() const { return this->calls; }

private:
    void start(http::CallRequest request, Millis timeout, const http::ResponseHandler &handler);
    /// Starts a call for the object \a name of a kind. The answer about another one is passed on as
    /// StoreStatus::Unknown.
    void startForObject(const http::CallRequest &request, const std::string &name,
                        const ReplyHandler &handler);
    template <typename Reply>
    void startTyped(const http::CallRequest &request, Millis timeout,
                    Reply (*readAnswer)(const http::Response &response),
                    const std::function<void(const Reply &reply)> &handler);

    Address address;
    const ObjectCodec &codec;
    http::Client client;
    std::uint64_t calls = 0;
};

} // namespace lavenderhall
