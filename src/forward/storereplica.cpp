#include "forward/storereplica.h"

#include "base/log.h"

#include <algorithm>

namespace lavenderhall {

StoreReplica::StoreReplica(http::Loop &loop, ObjectClient &store, const ObjectKinds &kinds,
                           bool hasRollouts, StoreReplicaHandlers handlers, std::uint64_t seed)
    : handlers(handlers)
    , kindCount(hasRollouts ? ObjectKindCount : ObjectKindCount - 1)
    , replica({kinds.configuration, kinds.endpoints, kinds.weights, kinds.rollouts},
              std::move(handlers))
{
    for (std::size_t kind = 0; kind < this->kindCount; ++kind) {
        this->watchers.push_back(
            std::make_unique<ObjectWatcher>(loop, store, this->replica.kindNames().at(kind),
                                            this->watchHandlers(ObjectKind{kind}), seed + kind));
    }
}

void StoreReplica::start()
{
    for (const auto &watcher : this->watchers)
        watcher->start();
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
        this->handlers.onOwnList(kind, objects);
        this->replica.applyList(kind, objects, revision, wasUnreachable, monoNow());
        this->handlers.onStoreChange(kind);
    };
    watchHandlers.onEvents = [this, kind](const std::vector<ObjectEvent> &events) {
        this->handlers.onOwnEvents(kind, events);
        this->replica.applyEvents(kind, events);
        this->handlers.onStoreChange(kind);
    };
    watchHandlers.onIncompleteList = [this, kind](const std::vector<StoredObject> &objects) {
        this->replica.applyIncompleteList(kind, objects);
    };
    watchHandlers.onUnreadable = [this, kind](const UnreadableObjects &unreadable) {
        const std::string &name = this->replica.kindNames().at(static_cast<std::size_t>(kind));
        this->handlers.onUnreadable(name, unreadable.count);
    };
    return watchHandlers;
}

ReplicatedObjects StoreReplica::replicatedObjects()
{
    ReplicatedObjects functions;
    const ObjectReplica::KindNames &names = this->replica.kindNames();
    functions.kinds.assign(names.begin(),
                           names.begin() + static_cast<std::ptrdiff_t>(this->kindCount));
    functions.knownRevision
        = [this](std::size_t kind) { return this->replica.mirror(ObjectKind{kind}).revision(); };
    functions.changeRevision = [this](std::size_t kind) {
        return this->replica.mirror(ObjectKind{kind}).changeRevision();
    };
    functions.listedRevision = [this](std::size_t kind) {
        return this->replica.mirror(ObjectKind{kind}).listRevision();
    };
    functions.offerAll
        = [this](std::size_t kind) { return this->replica.offerAll(ObjectKind{kind}, monoNow()); };
    functions.offerChanges = [this](std::size_t kind, std::int64_t after) {
        return this->replica.offerChanges(ObjectKind{kind}, after, monoNow());
    };
    functions.applyOffer = [this](std::size_t kind, const proto::ObjectsOffer &offer) {
        this->replica.applyOffer(ObjectKind{kind}, offer, monoNow());
    };
    functions.storeContact = [this] { return this->storeContact(); };
    functions.onHeartbeat = [this](const StoreHeartbeat &heartbeat) {
        this->watchPolicy.onHeartbeat(heartbeat, monoNow());
    };
    functions.updateWatch = [this](bool isAssigned) { this->updateWatch(isAssigned); };
    return functions;
}

// An entry that a list lacks may have expired in an outage although its endpoint is alive. The
// silence of instances that watched the store is no sign of an outage: they may have ended.
void StoreReplica::updateWatch(bool isAssigned)
{
    const MonoTime now = monoNow();
    const bool shouldWatch = this->watchPolicy.shouldWatch(isAssigned, now);
    if (shouldWatch == this->isWatching())
        return;
    const bool wasLost = this->watchPolicy.mayStoreHaveBeenLost(now);
    logEvent(LogLevel::Info, "store_watch",
             {{"watching", shouldWatch ? 1 : 0},
              {"on_duty", isAssigned ? 1 : 0},
              {"store_lost", wasLost ? 1 : 0}});
    for (const auto &watcher : this->watchers) {
        if (shouldWatch)
            watcher->start(wasLost);
        else
            watcher->stop();
    }
}

StoreContact StoreReplica::storeContact() const
{
    const auto all = [this](auto &&holds) {
        return std::all_of(this->watchers.begin(), this->watchers.end(), holds);
    };
    if (all([](const auto &watcher) { return watcher->isCurrent(); }))
        return StoreContact::Current;
    return all([](const auto &watcher) { return !watcher->hasLostStore(); }) ? StoreContact::Unknown
                                                                             : StoreContact::Lost;
}

} // namespace lavenderhall
