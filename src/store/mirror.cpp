#include "store/mirror.h"

#include <algorithm>
#include <set>

namespace lavenderhall {

namespace {

// Removals are remembered for instances that lag; more than these are forgotten, oldest first.
constexpr std::size_t MaxRemoved = 1000;

} // namespace

std::vector<ObjectEvent> ObjectMirror::applyEvents(const std::vector<ObjectEvent> &events)
{
    std::vector<ObjectEvent> news;
    for (const ObjectEvent &event : events) {
        const auto [entry, isNew] = this->byName.try_emplace(event.object.name, event);
        if (!isNew && event.object.revision <= entry->second.object.revision)
            continue;
        entry->second = event;
        this->newest = std::max(this->newest, event.object.revision);
        news.push_back(event);
    }
    std::vector<std::pair<std::int64_t, std::string>> removed;
    for (const auto &[name, event] : this->byName) {
        if (event.isDeleted)
            removed.emplace_back(event.object.revision, name);
    }
    if (removed.size() <= MaxRemoved)
        return news;
    std::sort(removed.begin(), removed.end());
    removed.resize(removed.size() - MaxRemoved);
    for (const auto &[revision, name] : removed)
        this->byName.erase(name);
    return news;
}

void ObjectMirror::applyList(const std::vector<StoredObject> &objects)
{
    std::set<std::string> names;
    std::vector<ObjectEvent> events;
    for (const StoredObject &object : objects) {
        names.insert(object.name);
        events.push_back({object, false});
    }
    std::erase_if(this->byName, [&](const auto &entry) {
        return !entry.second.isDeleted && !names.contains(entry.first);
    });
    this->applyEvents(events);
}

std::vector<ObjectEvent> ObjectMirror::eventsAfter(std::int64_t revision) const
{
    std::vector<ObjectEvent> newer;
    for (const auto &[name, event] : this->byName) {
        if (event.object.revision > revision)
            newer.push_back(event);
    }
    return newer;
}

} // namespace lavenderhall
