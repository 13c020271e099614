#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

/// Orders of the operators to move a service's traffic to another version of its software.
namespace lavenderhall {

enum class RolloutState { None, Running, Completed, RolledBack };

constexpr bool isEnd(RolloutState state)
{
    return state == RolloutState::Completed || state == RolloutState::RolledBack;
}

/// Returns the name used in log lines.
constexpr const char *toString(RolloutState state)
{
    switch (state) {
    case RolloutState::None:
        break;
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled_back";
    }
    return "none";
}

/// An order, and its status as the store has it.
struct ServiceOrder
{
    std::string service;
    std::string to; ///< version that the traffic is to move to
    Millis duration{0};
    RolloutState state = RolloutState::None; ///< None if the status belongs to another version

    bool operator==(const ServiceOrder &) const = default;
};

} // namespace lavenderhall
