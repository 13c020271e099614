#include "routing/endpointdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lavenderhall {

void EndpointDirectory::put(const RegisteredEndpoint &entry, std::int64_t revision)
{
    std::int64_t &seenRevision = this->revisions[entry.id];
    if (revision <= seenRevision)
        return;
    seenRevision = revision;
    this->newestRevision = std::max(this->newestRevision, revision);
    this->missingSince.erase(entry.id);
    const auto found = this->endpoints.find(entry.id);
    if (found == this->endpoints.end()) {
        this->endpoints.emplace(entry.id, entry);
        this->changes.push_back({EndpointChange::Kind::Joined, entry});
        return;
    }
    const RegisteredEndpoint previous = std::exchange(found->second, entry);
    if (previous.startMillis != entry.startMillis || previous.address != entry.address)
        this->changes.push_back({EndpointChange::Kind::Restarted, entry});
    else if (entry.isLeaving && !previous.isLeaving)
        this->changes.push_back({EndpointChange::Kind::Leaving, entry});
    else if (previous != entry)
        this->changes.push_back({EndpointChange::Kind::Updated, entry});
}

void EndpointDirectory::remove(const std::string &id, std::int64_t revision)
{
    std::int64_t &seenRevision = this->revisions[id];
    if (revision <= seenRevision)
        return;
    seenRevision = revision;
    this->newestRevision = std::max(this->newestRevision, revision);
    this->drop(id);
}

void EndpointDirectory::drop(const std::string &id)
{
    this->missingSince.erase(id);
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return;
    this->changes.push_back({EndpointChange::Kind::Gone, found->second});
    this->endpoints.erase(found);
}

// The list may arrive after changes that are newer than it, as a list of another instance that has
// just started does. It still tells of all older entries whether they exist.
void EndpointDirectory::onListed(const std::vector<std::string> &ids, std::int64_t revision,
                                 bool wasUnreachable, MonoTime now)
{
    this->newestRevision = std::max(this->newestRevision, revision);
    const std::set<std::string> listed(ids.begin(), ids.end());
    std::vector<std::string> missing;
    for (const auto &[id, entry] : this->endpoints) {
        if (!listed.contains(id) && this->revisions[id] <= revision)
            missing.push_back(id);
    }
    for (const std::string &id : missing) {
        if (wasUnreachable)
            this->missingSince.try_emplace(id, now);
        else if (!this->missingSince.contains(id))
            this->drop(id);
    }
    this->onTick(now);
}

void EndpointDirectory::onTick(MonoTime now)
{
    std::vector<std::string> expired;
    for (const auto &[id, since] : this->missingSince) {
        if (now - since >= this->timings.returnGrace)
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        this->drop(id);
}

const RegisteredEndpoint *EndpointDirectory::find(const std::string &id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

std::vector<EndpointChange> EndpointDirectory::takeChanges()
{
    return std::exchange(this->changes, {});
}

} // namespace lavenderhall
