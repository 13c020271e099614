#pragma once

#include "base/clock.h"
#include "canary/versionrule.h"

#include <map>
#include <optional>
#include <set>
#include <string>

/// Which versions of a service may get requests apart from a rollout in progress.
namespace lavenderhall {

/// The versions of one service that endpoints have, with the earliest start of an endpoint of each.
using PresentVersions = std::map<std::string, std::int64_t>;

/// Excludes versions that rollouts have ruled out, and new versions until an order for them would
/// be known.
class ServiceVersions
{
public:
    /// Applies the versions of the endpoints that do not leave.
    void onPresent(const PresentVersions &versions, MonoTime now);
    /// Rules \a version out: it was rolled back, replaced, or its rollout has been given up.
    void bar(const std::string &version) { this->barred.insert(version); }
    /// Rules out all present versions but \a version.
    void barOthers(const std::string &version);
    /// There is an order to move to \a version.
    void allow(const std::string &version) { this->barred.erase(version); }

    /// Returns the rule for a request. \a candidate is the version under test, "" for none;
    /// \a isExposed tells whether the request goes there, \a isShifted whether all do.
    VersionRule rule(const std::string &candidate, bool isExposed, bool isShifted, bool isBad,
                     bool areOrdersKnown, MonoTime now) const;

private:
    std::set<std::string> heldBack(bool areOrdersKnown, MonoTime now) const;

    std::map<std::string, std::int64_t> present;
    std::map<std::string, MonoTime> firstSeen;
    std::set<std::string> barred;
    std::map<std::string, MonoTime> lastPresent;
};

} // namespace lavenderhall
