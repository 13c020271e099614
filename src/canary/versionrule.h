#pragma once

#include "base/clock.h"

#include <functional>
#include <set>
#include <string>

/// What a request, and the choice of its endpoint, have to do with the versions of its service.
namespace lavenderhall {

/// The versions of a service's software that a request may go to.
struct VersionRule
{
    std::set<std::string> excluded;
    std::string preferred; ///< "" for none

    bool operator==(const VersionRule &) const = default;
};

/// How an endpoint has answered an attempt.
struct AttemptAnswer
{
    std::string service;
    std::string build;
    std::string route;
    bool isFailure = false; ///< an error of the endpoint itself
    Micros time{0}; ///< until the first event, or the answer
};

/// Functions by which requests take part in rollouts; empty where there are none.
struct RolloutHooks
{
    /// \a draw is from 0 to 1 and fixed for each request.
    std::function<VersionRule(const std::string &service, double draw)> rule;
    /// An attempt is sent; \a isFirst tells whether it is the first one of its request.
    std::function<void(const std::string &service, const std::string &build, bool isFirst)> onSent;
    std::function<void(const AttemptAnswer &answer)> onAnswered;
};

} // namespace lavenderhall
