#include "store/mirror.h"

#include <algorithm>
#include <set>

namespace lavenderhall {

namespace {

// Removals are kept for instances that lag behind; beyond this number the oldest are dropped.
constexpr std::size_t MaxTombstones = 1000;

} // namespace

// An object without an entry was gone when the list was read, unless it is newer.
bool ObjectMirror::isNews(const StoredObject &object) const
{
    const auto known = this->byName.find(object.name);
    return object.revision
        > (known == this->byName.end() ? this->firstKnown() : known->second.object.revision);
}

std::vector<ObjectEvent> ObjectMirror::applyEvents(const std::vector<ObjectEvent> &events)
{
    std::vector<ObjectEvent> news;
    for (const ObjectEvent &event : events) {
        if (!this->isNews(event.object))
            continue;
        this->byName.insert_or_assign(event.object.name, event);
        this->newestChange = std::max(this->newestChange, event.object.revision);
        news.push_back(event);
    }
    this->knownRevision = std::max(this->knownRevision, this->newestChange);
    this->dropOldTombstones();
    return news;
}

void ObjectMirror::dropOldTombstones()
{
    std::vector<std::pair<std::int64_t, std::string>> tombstones;
    for (const auto &[name, event] : this->byName) {
        if (event.isDeleted)
            tombstones.emplace_back(event.object.revision, name);
    }
    if (tombstones.size() <= MaxTombstones)
        return;
    std::sort(tombstones.begin(), tombstones.end());
    tombstones.resize(tombstones.size() - MaxTombstones);
    for (const auto &[revision, name] : tombstones)
        this->byName.erase(name);
    this->newestDropped = std::max(this->newestDropped, tombstones.back().first);
}

std::vector<ObjectEvent> ObjectMirror::applyList(const std::vector<StoredObject> &objects,
                                                 std::int64_t revision)
{
    std::set<std::string> names;
    std::vector<ObjectEvent> events;
    for (const StoredObject &object : objects) {
        names.insert(object.name);
        events.push_back({object, false});
    }
    std::vector<ObjectEvent> news = this->applyEvents(events);
    std::erase_if(this->byName, [&](const auto &entry) {
        const ObjectEvent &event = entry.second;
        return !event.isDeleted && event.object.revision <= revision
            && !names.contains(entry.first);
    });
    this->newestList = std::max(this->newestList, revision);
    this->knownRevision = std::max(this->knownRevision, revision);
    return news;
}

std::vector<ObjectEvent> ObjectMirror::eventsAfter(std::int64_t revision) const
{
    std::vector<ObjectEvent> newerEvents;
    for (const auto &[name, event] : this->byName) {
        if (event.object.revision > revision)
            newerEvents.push_back(event);
    }
    return newerEvents;
}

} // namespace lavenderhall
