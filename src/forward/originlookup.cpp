#include "forward/originlookup.h"

#include "base/log.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The store's objects: one for each service and one for each instance.
const std::string ServicePrefix = "service.";
const std::string InstancePrefix = "instance.";

constexpr Millis MinStreamLifetime{10'000}; ///< where routes have very short timeouts

Json toJson(const StoredBuilds &builds)
{
    return {{"builds", builds.builds}};
}

Json toJson(const StoredStreams &streams)
{
    return {{"streams", streams.streams}};
}

const Json &fieldOf(const Json &content, const char *name)
{
    static const Json Nothing;
    return content.is_object() && content.contains(name) ? content.at(name) : Nothing;
}

/// Returns the texts of a list; whatever else it has is left out.
std::vector<std::string> textsIn(const Json &list)
{
    std::vector<std::string> texts;
    if (!list.is_array())
        return texts;
    for (const Json &entry : list) {
        if (entry.is_string())
            texts.push_back(entry.get<std::string>());
    }
    return texts;
}

StoredBuilds readBuilds(const StoredObject &object)
{
    const std::vector<std::string> builds = textsIn(fieldOf(object.content, "builds"));
    return {{builds.begin(), builds.end()}, object.revision};
}

StoredStreams readStreams(const StoredObject &object)
{
    StoredStreams stored{{}, object.revision};
    const Json &streams = fieldOf(object.content, "streams");
    if (!streams.is_object())
        return stored;
    for (const auto &[build, ids] : streams.items())
        stored.streams[build] = textsIn(ids);
    return stored;
}

void readInto(OriginsList &list, const StoredObject &object)
{
    if (object.name.starts_with(ServicePrefix))
        list.builds[object.name.substr(ServicePrefix.size())] = readBuilds(object);
    else if (object.name.starts_with(InstancePrefix))
        list.streams[object.name.substr(InstancePrefix.size())] = readStreams(object);
}

} // namespace

// A caller may resume a stream as long as it waits for its end, which its route bounds; a stream
// that was resumed may break off again.
void OriginLookup::onTable(const RoutingTable &table)
{
    this->serviceNames.clear();
    Millis lifetime = MinStreamLifetime;
    for (const ForwardRoute &route : table.content().routes) {
        if (route.kind != RequestKind::Stream || !route.isResumable)
            continue;
        lifetime = std::max(lifetime, 2 * route.timeout);
        for (const TrafficShare &share : route.shares)
            this->serviceNames.insert(share.service);
    }
    this->origins.setServices(this->serviceNames, lifetime);
}

void OriginLookup::onDirectory(const EndpointDirectory &directory, MonoTime now)
{
    std::map<std::string, std::set<std::string>> builds;
    for (const auto &[id, entry] : directory.entries())
        builds[entry.service].insert(entry.build);
    for (const std::string &service : this->serviceNames)
        this->origins.onEndpoints(service, builds[service], now);
    this->carryOutDue(now);
}

void OriginLookup::onTick(bool isAssignedNow, MonoTime now)
{
    this->isAssigned = isAssignedNow;
    this->answerWaiting();
    this->carryOutDue(now);
}

void OriginLookup::find(const std::string &stream, const std::string &service, Handler handler,
                        MonoTime now)
{
    const StreamOrigin origin = this->origins.find(stream, service, now, now);
    if (origin.kind != StreamOrigin::Kind::Pending)
        return handler(origin);
    this->waiting.push_back({stream, service, now, std::move(handler)});
    this->carryOutDue(now);
}

void OriginLookup::onNotBegun(const std::string &stream)
{
    this->origins.onNotBegun(stream);
    this->carryOutDue(monoNow());
}

void OriginLookup::answerWaiting()
{
    const MonoTime now = monoNow();
    for (auto next = this->waiting.begin(); next != this->waiting.end();) {
        const auto entry = next++;
        const StreamOrigin origin
            = this->origins.find(entry->stream, entry->service, entry->since, now);
        if (origin.kind == StreamOrigin::Kind::Pending)
            continue;
        const Handler handler = std::move(entry->handler);
        this->waiting.erase(entry);
        handler(origin);
    }
}

void OriginLookup::carryOutDue(MonoTime now)
{
    for (const OriginsAction &action : this->origins.onTick(this->isAssigned, now))
        this->carryOut(action);
}

void OriginLookup::carryOut(const OriginsAction &action)
{
    switch (action.kind) {
    case OriginsAction::Kind::Builds:
        return this->callBuilds(action);
    case OriginsAction::Kind::WriteStreams:
        return this->writeStreams(action);
    case OriginsAction::Kind::List:
        return this->list(action, std::make_shared<PagedList>());
    }
}

void OriginLookup::callBuilds(const OriginsAction &action)
{
    const auto onReply = [this, isAlive = this->alive, action](const ObjectReply &reply) {
        if (!*isAlive)
            return;
        const auto object = reply.object ? std::optional(readBuilds(*reply.object)) : std::nullopt;
        if (action.builds.kind == BuildsAction::Kind::Write)
            logEvent(LogLevel::Info, "builds_written",
                     {{"service", action.service},
                      {"builds", writeJson(toJson(action.builds.builds))},
                      {"revision", counterOf(action.builds.builds.revision)},
                      {"status", toString(reply.status)}});
        this->origins.onBuildsReply(action, reply.status, object, monoNow());
        this->answerWaiting();
    };
    const StoredBuilds &builds = action.builds.builds;
    const StoredObject object{ServicePrefix + action.service, builds.revision, toJson(builds)};
    if (action.builds.kind == BuildsAction::Kind::Read)
        return this->store.read(this->kind, object.name, onReply);
    if (builds.revision == 0)
        return this->store.create(this->kind, object, onReply);
    this->store.replace(this->kind, object, onReply);
}

void OriginLookup::writeStreams(const OriginsAction &action)
{
    const auto onReply = [this, isAlive = this->alive, action](const ObjectReply &reply) {
        if (!*isAlive)
            return;
        const auto object = reply.object ? std::optional(readStreams(*reply.object)) : std::nullopt;
        this->origins.onStreamsReply(action, reply.status, object, monoNow());
    };
    const StoredObject object{InstancePrefix + this->origins.instanceName(),
                              action.streams.revision, toJson(action.streams)};
    if (action.streams.revision == 0)
        return this->store.create(this->kind, object, onReply);
    this->store.replace(this->kind, object, onReply);
}

void OriginLookup::list(const OriginsAction &action, const std::shared_ptr<PagedList> &pages)
{
    const auto onPage = [this, isAlive = this->alive, action, pages](const ObjectPage &page) {
        if (!*isAlive)
            return;
        const ListStep step = pages->add(page);
        if (step == ListStep::NextPage)
            return this->list(action, pages);
        this->onListed(action, *pages, step, page.status);
    };
    this->store.list(this->kind, pages->after(), onPage);
}

void OriginLookup::onListed(const OriginsAction &action, const PagedList &pages, ListStep step,
                            StoreStatus status)
{
    OriginsList found;
    for (const StoredObject &object : pages.objects())
        readInto(found, object);
    const bool isComplete = step == ListStep::Complete;
    logEvent(LogLevel::Info, "streams_listed",
             {{"status", toString(status)},
              {"complete", isComplete ? 1 : 0},
              {"instances", found.streams.size()},
              {"waiting", this->waiting.size()}});
    this->origins.onListed(action, isComplete ? std::optional(std::move(found)) : std::nullopt,
                           monoNow());
    this->answerWaiting();
}

} // namespace lavenderhall
