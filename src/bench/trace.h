#pragma once

#include "base/clock.h"
#include "base/errors.h"

#include <cstdint>
#include <string>
#include <vector>

/// Traces of requests for the placement bench; docs/TRACES.md describes the file format.
namespace lavenderhall::bench {

/// One nested part of a prompt: all prompts with the same part share it.
struct Segment
{
    std::string id;
    std::int64_t tokens = 0;

    bool operator==(const Segment &) const = default;
};

struct Arrival
{
    Millis at{0};
    std::string organisation;
    std::int64_t instance = 0;
    std::int64_t priority = 0; ///< 0 is most urgent
    std::vector<Segment> segments;
    std::int64_t outputTokens = 0;

    bool operator==(const Arrival &) const = default;
};

enum class FaultKind { EngineCrash, EngineLeaves };

struct Fault
{
    Millis at{0};
    FaultKind kind = FaultKind::EngineCrash;
    std::int64_t engine = 0;

    bool operator==(const Fault &) const = default;
};

/// A trace with the deployment that it was recorded for.
struct Trace
{
    std::string name;
    std::int64_t engines = 0;
    std::int64_t instances = 0;
    std::int64_t regions = 0;
    std::int64_t cacheBlocks = 0; ///< of one engine
    std::vector<Arrival> arrivals;
    std::vector<Fault> faults;

    bool operator==(const Trace &) const = default;
};

/// Names that makeTrace() knows.
const std::vector<std::string> &traceNames();
/// Generates a trace of that name from \a seed.
Result<Trace> makeTrace(const std::string &name, std::uint64_t seed, std::int64_t instances);

/// JSON lines: the deployment first, then arrivals and faults in order of time.
std::string toJsonLines(const Trace &trace);
Result<Trace> parseTrace(std::string_view text, const std::string &file);

} // namespace lavenderhall::bench
