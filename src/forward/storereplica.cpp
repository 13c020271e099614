#include "forward/storereplica.h"

#include "base/log.h"

#include <algorithm>

namespace lavenderhall {

StoreReplica::StoreReplica(http::Loop &loop, ObjectClient &store, const ObjectKinds &kinds,
                           StoreReplicaHandlers handlers, std::uint64_t seed)
    : names{kinds.configuration, kinds.endpoints, kinds.weights}
    , handlers(std::move(handlers))
{
    for (std::size_t kind = 0; kind < ObjectKindCount; ++kind) {
        this->watchers.push_back(std::make_unique<ObjectWatcher>(
            loop, store, this->names.at(kind), this->watchHandlers(ObjectKind{kind}), seed + kind));
    }
}

void StoreReplica::start()
{
    for (const auto &watcher : this->watchers)
        watcher->start();
}

bool StoreReplica::hasList(ObjectKind kind) const
{
    return this->lastLists.at(static_cast<std::size_t>(kind)).revision > 0;
}

Millis StoreReplica::storeOutageDuration() const
{
    const auto &watcher = this->watchers.at(static_cast<std::size_t>(ObjectKind::Configuration));
    return watcher->isActive() && watcher->isStoreUnreachable() ? watcher->age() : Millis(0);
}

ObjectWatchHandlers StoreReplica::watchHandlers(ObjectKind kind)
{
    ObjectWatchHandlers watchHandlers;
    watchHandlers.onListed = [this, kind](const std::vector<StoredObject> &objects,
                                          std::int64_t revision, bool wasUnreachable) {
        this->onListed(kind, objects, revision, wasUnreachable);
        this->handlers.onStoreChange(kind);
    };
    watchHandlers.onEvents = [this, kind](const std::vector<ObjectEvent> &events) {
        this->onEvents(kind, events);
        this->handlers.onStoreChange(kind);
    };
    return watchHandlers;
}

void StoreReplica::onListed(ObjectKind kind, const std::vector<StoredObject> &objects,
                            std::int64_t revision, bool wasUnreachable)
{
    this->mirror(kind).applyList(objects, revision);
    std::vector<std::string> objectNames;
    for (const StoredObject &object : objects) {
        objectNames.push_back(object.name);
        this->handlers.onEvent(kind, {object, false});
    }
    this->lastLists.at(static_cast<std::size_t>(kind)) = {revision, wasUnreachable};
    this->handlers.onListed(kind, objectNames, revision, wasUnreachable);
    this->handlers.onBatchEnd();
}

void StoreReplica::onEvents(ObjectKind kind, const std::vector<ObjectEvent> &events)
{
    for (const ObjectEvent &event : this->mirror(kind).applyEvents(events))
        this->handlers.onEvent(kind, event);
    this->handlers.onBatchEnd();
}

ReplicatedObjects StoreReplica::replicatedObjects()
{
    ReplicatedObjects functions;
    functions.kinds.assign(this->names.begin(), this->names.end());
    functions.latestRevision
        = [this](std::size_t kind) { return this->mirror(ObjectKind{kind}).revision(); };
    functions.listedRevision
        = [this](std::size_t kind) { return this->lastLists.at(kind).revision; };
    functions.offerAll = [this](std::size_t kind) { return this->makeFullOffer(ObjectKind{kind}); };
    functions.isCurrent = [this] { return this->isCurrent(); };
    functions.onHeartbeat = [this] { this->watchPolicy.onHeartbeat(monoNow()); };
    functions.updateWatch = [this](bool isAssigned) { this->updateWatch(isAssigned); };
    functions.offerChanges = [this](std::size_t kind, std::int64_t after) {
        return this->makeOffer(ObjectKind{kind}, after);
    };
    functions.applyOffer = [this](std::size_t kind, const proto::ObjectsOffer &offer) {
        this->applyOffer(ObjectKind{kind}, offer);
    };
    return functions;
}

proto::ObjectsOffer StoreReplica::makeOffer(ObjectKind kind, std::int64_t after) const
{
    proto::ObjectsOffer offer;
    offer.set_kind(this->nameOf(kind));
    offer.set_after(after);
    for (const ObjectEvent &event : this->mirror(kind).eventsAfter(after)) {
        proto::SharedObject &object = *offer.add_objects();
        object.set_name(event.object.name);
        object.set_revision(event.object.revision);
        object.set_is_deleted(event.isDeleted);
        object.set_content(writeJson(event.object.content));
    }
    return offer;
}

proto::ObjectsOffer StoreReplica::makeFullOffer(ObjectKind kind) const
{
    const ListState &lastList = this->lastLists.at(static_cast<std::size_t>(kind));
    proto::ObjectsOffer offer = this->makeOffer(kind, 0);
    offer.set_is_whole(true);
    offer.set_revision(lastList.revision);
    offer.set_was_away(lastList.wasUnreachable);
    return offer;
}

void StoreReplica::applyOffer(ObjectKind kind, const proto::ObjectsOffer &offer)
{
    std::vector<ObjectEvent> events;
    std::vector<StoredObject> listedObjects;
    for (const proto::SharedObject &object : offer.objects()) {
        Json content = readJson(object.content(), DeepJson::LeftOut);
        // The revision counts as known all the same, so that the object is not requested again.
        if (content.is_discarded())
            content = nullptr;
        events.push_back(
            {{object.name(), object.revision(), std::move(content)}, object.is_deleted()});
        if (!object.is_deleted())
            listedObjects.push_back(events.back().object);
    }
    logEvent(LogLevel::Info, "objects_from_peer",
             {{"kind", this->nameOf(kind)},
              {"objects", events.size()},
              {"known", this->mirror(kind).revision()},
              {"whole", offer.is_whole() ? 1 : 0}});
    this->onEvents(kind, events);
    const bool isNewerList
        = offer.revision() > this->lastLists.at(static_cast<std::size_t>(kind)).revision;
    if (offer.is_whole() && isNewerList)
        this->onListed(kind, listedObjects, offer.revision(), offer.was_away());
}

void StoreReplica::updateWatch(bool isAssigned)
{
    const bool shouldWatch = this->watchPolicy.shouldWatch(isAssigned, monoNow());
    if (shouldWatch == this->isWatching())
        return;
    logEvent(LogLevel::Info, "store_watch",
             {{"watching", shouldWatch ? 1 : 0}, {"on_duty", isAssigned ? 1 : 0}});
    // It is possible that no instance has reached the store for a while. An entry that is missing
    // from the list may then have expired although its endpoint is alive.
    for (const auto &watcher : this->watchers) {
        if (shouldWatch)
            watcher->start(true);
        else
            watcher->stop();
    }
}

bool StoreReplica::isCurrent() const
{
    return std::all_of(this->watchers.begin(), this->watchers.end(),
                       [](const auto &watcher) { return watcher->isCurrent(); });
}

const std::string &StoreReplica::nameOf(ObjectKind kind) const
{
    return this->names.at(static_cast<std::size_t>(kind));
}

const ObjectMirror &StoreReplica::mirror(ObjectKind kind) const
{
    return this->mirrors.at(static_cast<std::size_t>(kind));
}

ObjectMirror &StoreReplica::mirror(ObjectKind kind)
{
    return this->mirrors.at(static_cast<std::size_t>(kind));
}

} // namespace lavenderhall
