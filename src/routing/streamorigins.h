#pragma once

#include "routing/servicebuilds.h"
#include "routing/streamrecords.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Decides which build of a back end began a stream that its caller resumes.
///
/// Streams break off in bursts: when an endpoint or an instance ends, and all at once when all
/// instances are killed, in the middle of a release or just after it. What two builds write does
/// not fit together, so an instance that did not see the beginning has to know it from the store:
/// either only one build can have begun streams (ServiceBuilds), or the stream is recorded there.
namespace lavenderhall {

/// What an instance keeps in the store: its streams while a service has several builds.
struct StoredStreams
{
    StreamsByBuild streams;
    std::int64_t revision = 0; ///< store revision; 0 if the store has no such object

    bool operator==(const StoredStreams &) const = default;
};

/// All that the store has about streams.
struct OriginsList
{
    std::map<std::string, StoredBuilds> builds; ///< by service
    std::map<std::string, StoredStreams> streams; ///< by instance

    bool operator==(const OriginsList &) const = default;
};

/// A call to the store that the caller must make.
struct OriginsAction
{
    enum class Kind { Builds, WriteStreams, List };

    Kind kind = Kind::List;
    std::string service; ///< Builds: whose object is read or written
    BuildsAction builds; ///< Builds
    StoredStreams streams; ///< WriteStreams: the new streams, and the revision to replace
    MonoTime startedAt{};

    bool operator==(const OriginsAction &) const = default;
};

/// What is known about the build that began a stream.
struct StreamOrigin
{
    enum class Kind {
        Known,
        Unknown, ///< no record tells: the stream cannot go on
        Pending, ///< the store is being asked
        Unavailable, ///< the store does not answer
    };

    Kind kind = Kind::Unknown;
    std::string build; ///< if it is known

    bool operator==(const StreamOrigin &) const = default;
};

/// Returns the name used in log lines, such as "known".
const char *toString(StreamOrigin::Kind kind);

/// Combines the services' builds and the streams' records, and tells which calls to the store it
/// needs.
class StreamOrigins
{
public:
    explicit StreamOrigins(std::string instance)
        : instance(std::move(instance))
    { }

    const std::string &instanceName() const { return this->instance; }
    /// Sets the services whose streams callers may resume, and how long after they began.
    void setServices(const std::set<std::string> &services, Millis streamLifetime);
    /// Whether streams of the service may be sent: its builds in the store are known, or the store
    /// has not told them for a while after the start.
    bool isReady(const std::string &service, MonoTime now) const;
    /// Applies the builds of a service's endpoints in the directory.
    void onEndpoints(const std::string &service, const std::set<std::string> &builds, MonoTime now);
    /// A stream is sent to an endpoint; \a stream is the id of the request that its caller will
    /// name to resume it.
    void onSent(const std::string &stream, const std::string &service, const std::string &build,
                MonoTime now);
    /// A stream that this instance may have sent has not begun here, and goes to another instance
    /// or to none.
    void onNotBegun(const std::string &stream);
    /// Returns what is known about a stream that was first asked for at \a since.
    StreamOrigin find(const std::string &stream, const std::string &service, MonoTime since,
                      MonoTime now);
    /// Returns the builds in the directory that no request should go to yet.
    std::set<std::string> unregistered(const std::string &service) const;

    /// Returns the calls to the store that are due. \a isAssigned tells whether this instance keeps
    /// the sets of builds in the store.
    std::vector<OriginsAction> onTick(bool isAssigned, MonoTime now);
    void onBuildsReply(const OriginsAction &action, StoreStatus status,
                       const std::optional<StoredBuilds> &object, MonoTime now);
    void onStreamsReply(const OriginsAction &action, StoreStatus status,
                        const std::optional<StoredStreams> &object, MonoTime now);
    /// Handles the answer to a List action; nothing if the call failed.
    void onListed(const OriginsAction &action, const std::optional<OriginsList> &list,
                  MonoTime now);

private:
    std::optional<OriginsAction> writeStreams(MonoTime now);
    std::optional<OriginsAction> listIfAsked(MonoTime now);

    const std::string instance;
    std::map<std::string, ServiceBuilds> services;
    StreamRecords records;
    std::optional<MonoTime> firstAskedAt; ///< when the first store call was due
    // The object of this instance.
    std::int64_t ownRevision = 0;
    bool isWriting = false;
    bool hasReadObject = false; ///< so what an earlier process left there is known
    std::optional<StreamsByBuild> unconfirmed; ///< of the last write whose answer was lost
    std::size_t writtenChangeCount = 0; ///< StreamRecords::changeCount() at the last write
    std::set<std::string> writtenServices;
    MonoTime nextWrite{};
    // The list of all objects.
    bool isListing = false;
    bool isListWanted = false;
    MonoTime listStartedAt{};
    MonoTime listedFrom{}; ///< start of the last list that was answered
    MonoTime nextList{};
};

} // namespace lavenderhall
