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

/// The version under test, as it stands when a request chooses its endpoint.
struct CandidateVersion
{
    std::string version{}; ///< "" if none is tested
    bool isExposed = false; ///< the request goes there
    bool isShifted = false; ///< all requests do
    bool isBad = false; ///< it was found to be worse

    bool operator==(const CandidateVersion &) const = default;
};

/// Excludes versions that rollouts have ruled out, and new versions until an order for them would
/// be known.
class ServiceVersions
{
public:
    /// Applies the versions of the endpoints that do not leave.
    void onPresent(const PresentVersions &versions, MonoTime now);
    /// Rules \a version out: it was rolled back, replaced, or its rollout has been given up.
    void exclude(const std::string &version) { this->ruledOut.insert(version); }
    /// Rules out all present versions but \a version.
    void excludeOthers(const std::string &version);
    /// There is an order to move to \a version.
    void allow(const std::string &version) { this->ruledOut.erase(version); }

    /// Returns the rule for a request. Until \a areOrdersKnown, orders may be missing here.
    VersionRule rule(const CandidateVersion &candidate, bool areOrdersKnown, MonoTime now) const;

private:
    /// Returns the versions for which an order may exist that is not known here yet.
    std::set<std::string> heldBack(bool areOrdersKnown, MonoTime now) const;
    /// Whether requests are to be refused rather than sent to a version that is ruled out.
    bool mustRefuse(const CandidateVersion &candidate, MonoTime now) const;

    std::map<std::string, std::int64_t> present;
    std::map<std::string, MonoTime> firstSeen;
    std::set<std::string> ruledOut;
    std::map<std::string, MonoTime> lastPresent;
};

} // namespace lavenderhall
