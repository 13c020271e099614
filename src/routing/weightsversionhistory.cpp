#include "routing/weightsversionhistory.h"

namespace lavenderhall {

namespace {

constexpr std::size_t MostNamings = 64;

} // namespace

bool WeightsVersionHistory::onNamed(std::int64_t version, MonoTime now, Millis age)
{
    if (version <= this->newest())
        return false;
    this->known.push_back({version, now - age});
    if (this->known.size() > MostNamings)
        this->known.erase(this->known.begin());
    return true;
}

std::int64_t WeightsVersionHistory::oldestAllowed(MonoTime now, Millis time) const
{
    std::int64_t version = 0;
    for (const Naming &naming : this->known) {
        if (now - naming.since > time)
            version = naming.version;
    }
    return version;
}

} // namespace lavenderhall
