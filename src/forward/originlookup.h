#pragma once

#include "http/loop.h"
#include "routing/endpointdirectory.h"
#include "routing/streamorigins.h"
#include "routing/table.h"
#include "store/objects.h"
#include "store/pagedlist.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

/// Makes the calls to the store that StreamOrigins asks for, and tells waiting requests which build
/// began the streams that they resume.
namespace lavenderhall {

/// The connection of StreamOrigins with the routing table, the directory and the store.
class OriginLookup
{
public:
    using Handler = std::function<void(const StreamOrigin &origin)>;

    /// \a kind is that of the objects in the store.
    OriginLookup(ObjectClient &store, std::string kind, std::string instance)
        : store(store)
        , kind(std::move(kind))
        , origins(std::move(instance))
    { }
    ~OriginLookup() { *this->alive = false; }

    /// Applies which services have streams that callers may resume.
    void onTable(const RoutingTable &table);
    /// Applies the builds of the endpoints, and makes the calls to the store that follow.
    void onDirectory(const EndpointDirectory &directory, MonoTime now);
    /// \a isAssigned tells whether this instance keeps the sets of builds in the store.
    void onTick(bool isAssigned, MonoTime now);
    /// Whether streams of the service may be sent, see StreamOrigins.
    bool isReady(const std::string &service, MonoTime now) const
    {
        return this->origins.isReady(service, now);
    }
    /// A stream is sent to an endpoint.
    void onSent(const std::string &stream, const std::string &service, const std::string &build,
                MonoTime now)
    {
        this->origins.onSent(stream, service, build, now);
    }
    /// A stream that this instance may have sent has not begun here, see StreamOrigins.
    void onNotBegun(const std::string &stream);
    /// Calls \a handler once with what is known about the stream, possibly before this returns.
    void find(const std::string &stream, const std::string &service, Handler handler, MonoTime now);
    /// Returns the builds in the directory that no request should go to yet.
    std::set<std::string> unregistered(const std::string &service) const
    {
        return this->origins.unregistered(service);
    }
    /// Returns the services whose streams callers may resume.
    const std::set<std::string> &services() const { return this->serviceNames; }

private:
    /// A request that waits for an answer of the store.
    struct Waiting
    {
        std::string stream;
        std::string service;
        MonoTime since{};
        Handler handler;
    };

    /// Makes the calls to the store that are due.
    void carryOutDue(MonoTime now);
    void carryOut(const OriginsAction &action);
    void callBuilds(const OriginsAction &action);
    void writeStreams(const OriginsAction &action);
    void list(const OriginsAction &action, const std::shared_ptr<PagedList> &pages);
    void onListed(const OriginsAction &action, const PagedList &pages, ListStep step,
                  StoreStatus status);
    /// Answers the waiting requests whose streams' builds have become known, or never will.
    void answerWaiting();

    ObjectClient &store;
    const std::string kind;
    StreamOrigins origins;
    std::set<std::string> serviceNames;
    std::list<Waiting> waiting;
    bool isAssigned = false;
    /// Set to false by the destructor, for replies that arrive after it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
