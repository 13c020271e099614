#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// What the reader and the writer of configuration files have in common.
namespace lavenderhall {

inline constexpr std::int64_t FormatVersion = 1; ///< of the configuration file

// Names of enumerators, in the order of their values.
inline const std::vector<std::string> TrafficClassNames{"interactive", "long", "background"};
inline const std::vector<std::string> RouteKindNames{"model", "service"};
inline const std::vector<std::string> EndpointKindNames{"engine", "service"};

} // namespace lavenderhall
