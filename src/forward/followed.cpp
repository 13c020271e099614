#include "forward/followed.h"

#include "base/log.h"

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

Millis FollowedObjects::age() const
{
    return this->feeds.at(static_cast<std::size_t>(ObjectKind::Configuration))->age();
}

Millis FollowedObjects::silence() const
{
    const auto &feed = this->feeds.at(static_cast<std::size_t>(ObjectKind::Configuration));
    return feed->isAway() ? feed->age() : Millis(0);
}

FeedHandlers FollowedObjects::feedHandlers(ObjectKind kind)
{
    FeedHandlers made;
    made.onListed
        = [this, kind](const std::vector<StoredObject> &objects, std::int64_t revision,
                       bool wasAway) { this->onListed(kind, objects, revision, wasAway); };
    made.onEvents
        = [this, kind](const std::vector<ObjectEvent> &events) { this->onEvents(kind, events); };
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
    this->handlers.onListed(kind, listed, revision, wasAway);
    this->handlers.onBatchEnd();
}

void FollowedObjects::onEvents(ObjectKind kind, const std::vector<ObjectEvent> &events)
{
    for (const ObjectEvent &event : this->mirror(kind).take(events))
        this->handlers.onEvent(kind, event);
    this->handlers.onBatchEnd();
}

ObjectSharing FollowedObjects::sharing()
{
    ObjectSharing sharing;
    sharing.kinds.assign(this->names.begin(), this->names.end());
    sharing.revision
        = [this](std::size_t kind) { return this->mirror(ObjectKind{kind}).revision(); };
    sharing.answer = [this](std::size_t kind, std::int64_t after) {
        return this->offerAfter(ObjectKind{kind}, after);
    };
    sharing.take = [this](std::size_t kind, const proto::ObjectsOffer &offer) {
        this->takeOffer(ObjectKind{kind}, offer);
    };
    return sharing;
}

proto::ObjectsOffer FollowedObjects::offerAfter(ObjectKind kind, std::int64_t revision) const
{
    proto::ObjectsOffer offer;
    offer.set_kind(this->nameOf(kind));
    for (const ObjectEvent &event : this->mirror(kind).after(revision)) {
        proto::SharedObject &object = *offer.add_objects();
        object.set_name(event.object.name);
        object.set_revision(event.object.revision);
        object.set_is_deleted(event.isDeleted);
        object.set_content(event.object.content.dump());
    }
    return offer;
}

void FollowedObjects::takeOffer(ObjectKind kind, const proto::ObjectsOffer &offer)
{
    std::vector<ObjectEvent> events;
    for (const proto::SharedObject &object : offer.objects()) {
        Json content = Json::parse(object.content(), nullptr, false);
        events.push_back(
            {{object.name(), object.revision(), std::move(content)}, object.is_deleted()});
    }
    logEvent(LogLevel::Info, "objects_from_peer",
             {{"kind", this->nameOf(kind)},
              {"objects", events.size()},
              {"known", this->mirror(kind).revision()}});
    this->onEvents(kind, events);
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
