#pragma once

#include "base/address.h"
#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Who serves: the endpoints that have registered themselves, and which of them take new work.
namespace lavenderhall {

/// One registered endpoint, as it describes itself.
struct RegisteredEndpoint
{
    std::string id;
    std::int64_t startMillis = 0; ///< Unix time of its start; a new value is a new incarnation
    std::string service;
    Address address;
    std::string zone;
    std::int64_t slots = 1;
    bool isLeaving = false; ///< takes no new work
    std::map<std::string, std::int64_t> weights; ///< loaded version by model

    auto operator<=>(const RegisteredEndpoint &) const = default;
};

/// What changed for one endpoint.
struct EndpointChange
{
    enum class Kind { Joined, Restarted, Leaving, Gone, Updated };

    Kind kind = Kind::Updated;
    RegisteredEndpoint entry;

    auto operator<=>(const EndpointChange &) const = default;
};

struct DirectoryTimings
{
    /// For so long after an outage of the registry a missing entry may only have lapsed.
    Millis returnGrace{2000};
};

/// Keeps the newest known entries by id. Entries only move forward: an older revision of one,
/// from a stale source, is left out.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(DirectoryTimings timings = {})
        : timings(timings)
    { }

    /// One entry at the registry's \a revision.
    void put(const RegisteredEndpoint &entry, std::int64_t revision);
    /// An entry was removed at \a revision.
    void remove(const std::string &id, std::int64_t revision);
    /// All entries at \a revision have been given to put(): those not among \a ids are gone. After
    /// an outage, which \a wasAway tells, they are kept until they have had time to come back.
    void onListed(const std::vector<std::string> &ids, std::int64_t revision, bool wasAway,
                  MonoTime now);
    /// Drops missing entries whose grace is over.
    void onTick(MonoTime now);

    const std::map<std::string, RegisteredEndpoint> &entries() const { return this->known; }
    const RegisteredEndpoint *find(const std::string &id) const;
    std::int64_t revision() const { return this->newest; }
    /// Changes since the last call, in order.
    std::vector<EndpointChange> takeChanges();

private:
    void drop(const std::string &id);

    DirectoryTimings timings;
    std::map<std::string, RegisteredEndpoint> known;
    std::map<std::string, std::int64_t> revisions; ///< of entries and of removals
    std::map<std::string, MonoTime> missingSince;
    std::vector<EndpointChange> changes;
    std::int64_t newest = 0;
};

} // namespace lavenderhall
