#include "forward/followed.h"

#include "base/log.h"

#include <algorithm>

namespace lavenderhall {

FollowedObjects::FollowedObjects(http::Loop &loop, ObjectClient &store, const ObjectKinds &kinds,
                                 FollowedHandlers handlers, std::uint64_t seed)
    : names{kinds.configuration, kinds.endpoints, kinds.weights}
    , handlers(std::move(handlers))
{
    for (std::size_t kind = 0; kind < ObjectKindCount; ++kind) {
        this->feeds.push_back(std::make_unique<KindFeed>(
            loop, store, this->names.at(kind), this->feedHandlers(ObjectKind{kind}), seed + kind));
    }
}

void FollowedObjects::start()
{
    for (const auto &feed : this->feeds)
        feed->start();
}

bool FollowedObjects::hasList(ObjectKind kind) const
{
    return this->listings.at(static_cast<std::size_t>(kind)).revision > 0;
}

Millis FollowedObjects::silence() const
{
    const auto &feed = this->feeds.at(static_cast<std::size_t>(ObjectKind::Configuration));
    return feed->isActive() && feed->isAway() ? feed->age() : Millis(0);
}

FeedHandlers FollowedObjects::feedHandlers(ObjectKind kind)
{
    FeedHandlers made;
    made.onListed = [this, kind](const std::vector<StoredObject> &objects, std::int64_t revision,
                                 bool wasAway) {
        this->onListed(kind, objects, revision, wasAway);
        this->handlers.onStoreNews(kind);
    };
    made.onEvents = [this, kind](const std::vector<ObjectEvent> &events) {
        this->onEvents(kind, events);
        this->handlers.onStoreNews(kind);
    };
    return made;
}

void FollowedObjects::onListed(ObjectKind kind, const std::vector<StoredObject> &objects,
                               std::int64_t revision, bool wasAway)
{
    this->mirror(kind).takeList(objects);
    std::vector<std::string> listed;
    for (const StoredObject &object : objects) {
        listed.push_back(object.name);
        this->handlers.onEvent(kind, {object, false});
    }
    this->listings.at(static_cast<std::size_t>(kind)) = {revision, wasAway};
    this->handlers.onListed(kind, listed, revision, wasAway);
    this->handlers.onBatchEnd();
}

void FollowedObjects::onEvents(ObjectKind kind, const std::vector<ObjectEvent> &events)
{
    for (const ObjectEvent &event : this->mirror(kind).take(events))
        this->handlers.onEvent(kind, event);
    this->handlers.onBatchEnd();
}

ReplicatedObjects FollowedObjects::sharing()
{
    ReplicatedObjects sharing;
    sharing.kinds.assign(this->names.begin(), this->names.end());
    sharing.latestRevision
        = [this](std::size_t kind) { return this->mirror(ObjectKind{kind}).revision(); };
    sharing.listedRevision = [this](std::size_t kind) { return this->listings.at(kind).revision; };
    sharing.offerAll = [this](std::size_t kind) { return this->wholeOffer(ObjectKind{kind}); };
    sharing.isCurrent = [this] { return this->isCurrent(); };
    sharing.onHeartbeat = [this] { this->duty.onBeat(monoNow()); };
    sharing.setOnDuty = [this](bool isOnDuty) { this->setOnDuty(isOnDuty); };
    sharing.offerChanges = [this](std::size_t kind, std::int64_t after) {
        return this->offerAfter(ObjectKind{kind}, after);
    };
    sharing.applyOffer = [this](std::size_t kind, const proto::ObjectsOffer &offer) {
        this->takeOffer(ObjectKind{kind}, offer);
    };
    return sharing;
}

proto::ObjectsOffer FollowedObjects::offerAfter(ObjectKind kind, std::int64_t revision) const
{
    proto::ObjectsOffer offer;
    offer.set_kind(this->nameOf(kind));
    offer.set_after(revision);
    for (const ObjectEvent &event : this->mirror(kind).after(revision)) {
        proto::SharedObject &object = *offer.add_objects();
        object.set_name(event.object.name);
        object.set_revision(event.object.revision);
        object.set_is_deleted(event.isDeleted);
        object.set_content(event.object.content.dump());
    }
    return offer;
}

proto::ObjectsOffer FollowedObjects::wholeOffer(ObjectKind kind) const
{
    const Listing &listing = this->listings.at(static_cast<std::size_t>(kind));
    proto::ObjectsOffer offer = this->offerAfter(kind, 0);
    offer.set_is_whole(true);
    offer.set_revision(listing.revision);
    offer.set_was_away(listing.wasAway);
    return offer;
}

void FollowedObjects::takeOffer(ObjectKind kind, const proto::ObjectsOffer &offer)
{
    std::vector<ObjectEvent> events;
    std::vector<StoredObject> present;
    for (const proto::SharedObject &object : offer.objects()) {
        Json content = Json::parse(object.content(), nullptr, false);
        events.push_back(
            {{object.name(), object.revision(), std::move(content)}, object.is_deleted()});
        if (!object.is_deleted())
            present.push_back(events.back().object);
    }
    logEvent(LogLevel::Info, "objects_from_peer",
             {{"kind", this->nameOf(kind)},
              {"objects", events.size()},
              {"known", this->mirror(kind).revision()},
              {"whole", offer.is_whole() ? 1 : 0}});
    this->onEvents(kind, events);
    const bool isNewer
        = offer.revision() > this->listings.at(static_cast<std::size_t>(kind)).revision;
    if (offer.is_whole() && isNewer)
        this->onListed(kind, present, offer.revision(), offer.was_away());
}

void FollowedObjects::setOnDuty(bool isOnDuty)
{
    const bool shouldWatch = this->duty.shouldWatch(isOnDuty, monoNow());
    if (shouldWatch == this->isWatching())
        return;
    logEvent(LogLevel::Info, "store_watch",
             {{"watching", shouldWatch ? 1 : 0}, {"on_duty", isOnDuty ? 1 : 0}});
    // Nobody may have reached the store for a while, so entries may only have lapsed.
    for (const auto &feed : this->feeds) {
        if (shouldWatch)
            feed->start(true);
        else
            feed->stop();
    }
}

bool FollowedObjects::isCurrent() const
{
    return std::all_of(this->feeds.begin(), this->feeds.end(),
                       [](const auto &feed) { return feed->isCurrent(); });
}

const std::string &FollowedObjects::nameOf(ObjectKind kind) const
{
    return this->names.at(static_cast<std::size_t>(kind));
}

const ObjectMirror &FollowedObjects::mirror(ObjectKind kind) const
{
    return this->mirrors.at(static_cast<std::size_t>(kind));
}

ObjectMirror &FollowedObjects::mirror(ObjectKind kind)
{
    return this->mirrors.at(static_cast<std::size_t>(kind));
}

} // namespace lavenderhall
