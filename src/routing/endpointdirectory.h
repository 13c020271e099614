#pragma once

#include "base/address.h"
#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The endpoints that have registered themselves, and which of them accept new requests.
namespace lavenderhall {

/// One registered endpoint, as described by its own entry in the store.
struct RegisteredEndpoint
{
    std::string id;
    std::int64_t startMillis = 0; ///< Unix time of its start; a new value means a new incarnation
    std::string service;
    std::string build; ///< version of its software
    Address address;
    std::string zone;
    std::int64_t slots = 1; ///< requests that it runs at once
    bool isLeaving = false; ///< accepts no new requests
    std::map<std::string, std::int64_t> weights; ///< loaded version by model

    /// Returns the loaded version of \a model; 0 if it is not known.
    std::int64_t weightsVersion(const std::string &model) const
    {
        const auto found = this->weights.find(model);
        return found == this->weights.end() ? 0 : found->second;
    }

    auto operator<=>(const RegisteredEndpoint &) const = default;
};

/// A change of one endpoint's entry.
struct EndpointChange
{
    enum class Kind { Joined, Restarted, Leaving, Gone, Updated };

    Kind kind = Kind::Updated;
    RegisteredEndpoint entry;

    auto operator<=>(const EndpointChange &) const = default;
};

struct DirectoryTimings
{
    /// After an outage of the store, an entry that is missing from its list is kept for this long:
    /// the endpoint may be alive and not yet have renewed the entry.
    Millis returnGrace{2000};
};

/// Keeps the newest known entry of each endpoint by id. An entry with an older revision, from a
/// stale source, is ignored.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(DirectoryTimings timings = {})
        : timings(timings)
    { }

    /// Adds or updates an entry that the store holds at \a revision.
    void put(const RegisteredEndpoint &entry, std::int64_t revision);
    /// Removes the entry of \a id, which was removed from the store at \a revision.
    void remove(const std::string &id, std::int64_t revision);
    /// Handles a complete list: put() has been called for all entries at \a revision. Entries that
    /// are not among \a ids are removed, unless they are newer than the list. If the store had not
    /// been reachable before (\a wasUnreachable), they are kept for DirectoryTimings::returnGrace
    /// first.
    void onListed(const std::vector<std::string> &ids, std::int64_t revision, bool wasUnreachable,
                  MonoTime now);
    /// Removes missing entries whose grace period is over.
    void onTick(MonoTime now);

    const std::map<std::string, RegisteredEndpoint> &entries() const { return this->endpoints; }
    /// Returns the entry of \a id; nullptr if there is none.
    const RegisteredEndpoint *find(const std::string &id) const;
    /// Returns the newest revision seen.
    std::int64_t revision() const { return this->newestRevision; }
    /// Returns the changes since the last call, in order.
    std::vector<EndpointChange> takeChanges();

private:
    void drop(const std::string &id);

    DirectoryTimings timings;
    std::map<std::string, RegisteredEndpoint> endpoints;
    std::map<std::string, std::int64_t> revisions; ///< newest by id, also of removed ones
    std::map<std::string, MonoTime> missingSince;
    std::vector<EndpointChange> changes;
    std::int64_t newestRevision = 0;
};

} // namespace lavenderhall
