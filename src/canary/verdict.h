#pragma once

#include "canary/observations.h"

#include <string>
#include <vector>

/// Decides by the answers whether the version under test is worse than the others.
///
/// Both versions are compared by route and period (Cochran-Mantel-Haenszel test), so that faults
/// that affect both do not count against the new one. The test may be repeated with new answers:
/// its thresholds allow for a few hundred evaluations.
namespace lavenderhall {

enum class Judgement {
    Unclear, ///< signs of a difference, but not enough for Bad
    NoDifference, ///< no sign of one
    Bad, ///< the version under test is worse
};

/// Returns the name used in log lines.
const char *toString(Judgement judgement);

/// Excess of bad answers of the version under test over what its share of all answers predicts.
struct Excess
{
    double count = 0;
    double score = 0; ///< in standard deviations
    std::int64_t answers = 0; ///< of the version under test
    std::int64_t bad = 0; ///< of these

    double ratio() const
    {
        return this->answers > 0 ? this->count / static_cast<double>(this->answers) : 0;
    }
};

/// A judgement with the figures that it is based on.
struct Verdict
{
    Judgement judgement = Judgement::Unclear;
    std::string cause; ///< "failures", "slowness" or ""
    std::string route; ///< the only one that is bad; "" if all together are
    Excess failures; ///< of the route, or of all
    Excess slowness;
    std::int64_t candidateAnswers = 0;
    std::int64_t baselineAnswers = 0;
};

/// Judges the version under test by all that is known so far.
Verdict judge(const FleetObservations &observations);

} // namespace lavenderhall
