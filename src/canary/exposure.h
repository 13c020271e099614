#pragma once

#include "base/clock.h"

#include <cstdint>

/// Bounds what one instance sends to the version under test, by its own counts only.
namespace lavenderhall {

/// This instance's part in the bound on the exposure of all.
struct ExposureBound
{
    double share = 0; ///< of the requests from the order until its time is over
    double slack = 0; ///< this instance's part of the additional requests
};

/// Counts the requests of this instance to a service during a rollout. The sum over all instances
/// stays within the fleet's bound as long as each one stays within its own, whatever it hears.
class Exposure
{
public:
    void onRequest() { ++this->requests; }
    void onExposed() { ++this->exposed; }
    /// Whether another request may go to the version under test. This instance has known the order
    /// for \a known, and its time is over in \a left.
    bool hasRoom(const ExposureBound &bound, Millis known, Millis left) const;
    std::int64_t requestCount() const { return this->requests; }
    std::int64_t exposedCount() const { return this->exposed; }

private:
    std::int64_t requests = 0;
    std::int64_t exposed = 0;
};

} // namespace lavenderhall
