#pragma once

#include "base/clock.h"
#include "base/errors.h"

#include <cstdint>
#include <string>
#include <vector>

/// Request traces for the placement benchmark; docs/TRACES.md describes the file format.
namespace lavenderhall::bench {

/// One part of a prompt. Prompts of an organisation that begin with the same segments share a
/// prefix, which an engine can cache.
struct Segment
{
    std::string id;
    std::int64_t tokens = 0;

    bool operator==(const Segment &) const = default;
};

/// A request that arrives at an instance.
struct Arrival
{
    Millis at{0}; ///< since the start of the trace
    std::string organisation;
    std::int64_t instance = 0; ///< number of the instance, from 0
    std::int64_t priority = 0; ///< 0 is most urgent
    std::vector<Segment> segments;
    std::int64_t outputTokens = 0;

    bool operator==(const Arrival &) const = default;
};

/// A crash empties an engine's cache and aborts its requests; a leaving engine gets no new ones.
enum class FaultKind { EngineCrash, EngineLeaves };

struct Fault
{
    Millis at{0}; ///< since the start of the trace
    FaultKind kind = FaultKind::EngineCrash;
    std::int64_t engine = 0; ///< number of the engine, from 0

    bool operator==(const Fault &) const = default;
};

/// A trace with the size of the deployment that it is for.
struct Trace
{
    std::string name;
    std::int64_t engines = 0;
    std::int64_t instances = 0;
    std::int64_t regions = 0;
    std::int64_t cacheBlocks = 0; ///< capacity of each engine's cache
    std::vector<Arrival> arrivals;
    std::vector<Fault> faults;

    bool operator==(const Trace &) const = default;
};

/// Returns the names that makeTrace() accepts.
const std::vector<std::string> &traceNames();
/// Generates the trace of that name for \a instances instances from \a seed. Errors: NotFound if
/// there is no such trace.
Result<Trace> makeTrace(const std::string &name, std::uint64_t seed, std::int64_t instances);

/// Returns the trace as JSON lines: the deployment first, then the faults, then the arrivals.
std::string toJsonLines(const Trace &trace);
/// Parses what toJsonLines() returns. Error messages name \a file and the line. Errors: BadInput.
Result<Trace> parseTrace(std::string_view text, const std::string &file);

} // namespace lavenderhall::bench
