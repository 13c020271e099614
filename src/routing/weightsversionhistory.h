#pragma once

#include "base/clock.h"

#include <cstdint>
#include <vector>

/// Which versions of a model's weights were named when, as known to this instance. Answers the
/// load pattern of versions that are named faster than all engines load them: each old version
/// has a time of its own, from the first one that was named after it.
namespace lavenderhall {

class WeightsVersionHistory
{
public:
    /// \a version is heard of, and may have been named \a age ago. Returns false if it is not newer
    /// than those known.
    bool onNamed(std::int64_t version, MonoTime now, Millis age = Millis(0));
    /// The newest version, 0 if none is known.
    std::int64_t newest() const { return this->known.empty() ? 0 : this->known.back().version; }
    /// No request may begin on a version below this one: a newer one was named \a time ago.
    std::int64_t oldestAllowed(MonoTime now, Millis time) const;

private:
    struct Naming
    {
        std::int64_t version = 0;
        MonoTime since{};
    };

    std::vector<Naming> known; ///< oldest first
};

} // namespace lavenderhall
