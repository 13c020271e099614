#pragma once

#include "bench/trace.h"
#include "config/document.h"
#include "placement/prefix.h"

#include <cstdint>
#include <string>
#include <vector>

/// The deployment that a trace is replayed on: its sizes and speeds, its configuration, and the
/// blocks into which its prompts are divided.
namespace lavenderhall::bench {

inline constexpr std::int64_t BlockTokens = 2048;
inline constexpr std::int64_t PrefillTokensPerSecond = 8000; ///< of each engine
inline constexpr std::int64_t SlotsPerEngine = 16;
inline constexpr const char *ModelName = "model"; ///< the only one
inline constexpr const char *WeightsVersion = "v1";
inline constexpr Millis SameRegionOneWay{1}; ///< from an instance to an engine
inline constexpr Millis CrossRegionOneWay{12}; ///< from an instance to an engine
inline constexpr std::int64_t UrgentPriority = 0; ///< that of the most urgent requests

/// Returns the region of the engine or instance with number \a index.
std::string regionOf(const Trace &trace, std::int64_t index);

/// Returns the configuration of the trace's deployment. The endpoints are in the order of the
/// engines' numbers.
Document makeDocument(const Trace &trace);

/// Returns one hash per whole block of the prompt. Each covers the organisation and the segments
/// up to the block's end.
std::vector<BlockHash> prefixHashes(const Arrival &arrival);

/// Returns the number of tokens of the whole prompt.
std::int64_t promptTokens(const Arrival &arrival);

} // namespace lavenderhall::bench
