#include "forward/objectreplica.h"

#include "base/log.h"

namespace lavenderhall {

namespace {

// Endpoints that the store has lost in an outage register themselves again within this time.
constexpr Millis ReturnTime{2000};

void addObjects(proto::ObjectsOffer &offer, const std::vector<ObjectEvent> &events)
{
    for (const ObjectEvent &event : events) {
        proto::SharedObject &object = *offer.add_objects();
        object.set_name(event.object.name);
        object.set_revision(event.object.revision);
        object.set_is_deleted(event.isDeleted);
        object.set_content(writeJson(event.object.content));
        if (!event.object.status.is_null())
            object.set_status(writeJson(event.object.status));
    }
}

} // namespace

// Only what the copy did not know is reported, so that a list never undoes a later removal.
void ObjectReplica::applyList(ObjectKind kind, const std::vector<StoredObject> &objects,
                              std::int64_t revision, bool wasUnreachable, MonoTime now)
{
    Copy &copy = this->copyOf(kind);
    for (const ObjectEvent &event : copy.mirror.applyList(objects, revision))
        this->handlers.onEvent(kind, event);
    if (wasUnreachable)
        copy.outageListAt = now;
    std::vector<std::string> listedNames;
    for (const StoredObject &object : objects)
        listedNames.push_back(object.name);
    copy.hasList = true;
    this->handlers.onListed(kind, listedNames, revision, wasUnreachable);
    this->handlers.onBatchEnd();
}

void ObjectReplica::applyIncompleteList(ObjectKind kind, const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        if (this->copyOf(kind).mirror.isNews(object))
            this->handlers.onEvent(kind, {object, false});
    }
    this->handlers.onBatchEnd();
}

void ObjectReplica::applyEvents(ObjectKind kind, const std::vector<ObjectEvent> &events)
{
    for (const ObjectEvent &event : this->copyOf(kind).mirror.applyEvents(events))
        this->handlers.onEvent(kind, event);
    this->handlers.onBatchEnd();
}

// A process that has started with a list knows nothing of the objects that were removed before it.
// Whoever may still have them gets all objects, and drops the others.
proto::ObjectsOffer ObjectReplica::offerChanges(ObjectKind kind, std::int64_t after,
                                                MonoTime now) const
{
    const ObjectMirror &mirror = this->copyOf(kind).mirror;
    if (!mirror.hasAllEventsAfter(after))
        return this->offerAll(kind, now);
    proto::ObjectsOffer offer;
    offer.set_kind(this->nameOf(kind));
    offer.set_after(after);
    addObjects(offer, mirror.eventsAfter(after));
    return offer;
}

proto::ObjectsOffer ObjectReplica::offerAll(ObjectKind kind, MonoTime now) const
{
    const Copy &copy = this->copyOf(kind);
    proto::ObjectsOffer offer;
    offer.set_kind(this->nameOf(kind));
    addObjects(offer, copy.mirror.eventsAfter(0));
    // Without a list of its own, an instance cannot know that it has all objects.
    if (copy.mirror.listRevision() == 0)
        return offer;
    offer.set_is_whole(true);
    offer.set_revision(copy.mirror.revision());
    offer.set_was_away(now < copy.outageListAt + ReturnTime);
    return offer;
}

void ObjectReplica::applyOffer(ObjectKind kind, const proto::ObjectsOffer &offer, MonoTime now)
{
    std::vector<ObjectEvent> events;
    std::vector<StoredObject> listedObjects;
    for (const proto::SharedObject &object : offer.objects()) {
        Json content = readJson(object.content(), DeepJson::LeftOut);
        // The revision counts as known all the same, so that the object is not requested again.
        if (content.is_discarded())
            content = nullptr;
        Json status
            = object.status().empty() ? Json() : readJson(object.status(), DeepJson::LeftOut);
        if (status.is_discarded())
            status = nullptr;
        events.push_back({{object.name(), object.revision(), std::move(content), std::move(status)},
                          object.is_deleted()});
        if (!object.is_deleted())
            listedObjects.push_back(events.back().object);
    }
    const ObjectMirror &mirror = this->copyOf(kind).mirror;
    logEvent(LogLevel::Info, "objects_from_peer",
             {{"kind", this->nameOf(kind)},
              {"objects", events.size()},
              {"known", mirror.revision()},
              {"listed", mirror.listRevision()},
              {"after", offer.after()},
              {"whole", offer.is_whole() ? 1 : 0},
              {"revision", offer.revision()}});
    this->applyEvents(kind, events);
    if (offer.is_whole() && offer.revision() > mirror.listRevision())
        this->applyList(kind, listedObjects, offer.revision(), offer.was_away(), now);
}

} // namespace lavenderhall
