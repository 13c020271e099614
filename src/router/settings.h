#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/errors.h"
#include "base/log.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Settings of one process, read from a JSON file.
namespace lavenderhall {

/// Key pair that all instances of one fleet share, in Z85 text as ZeroMQ writes it.
struct FleetKeys
{
    std::string publicKey;
    std::string secretKey;
};

/// How callers and endpoints speak.
enum class Dialect {
    OpenAi, ///< completions in JSON bodies; keys, routes and endpoints in our own configuration
    Forward, ///< opaque bodies, described by headers; the platform's adapter translates
};

/// What the operators promise their callers, as bounds on our own timing.
struct ForwardBounds
{
    Millis lease{3000}; ///< of the right to give orders
    Millis drain{2500}; ///< an endpoint may get work for so long after it has begun to leave
    Millis grace{8000}; ///< from SIGTERM until the process is killed
    double retryRatio = 0.2; ///< repeats per request
    std::int64_t retrySlack = 0; ///< repeats in a window beyond that
    Millis retryWindow{10'000};
    double rateOverage = 0; ///< part of a rate that may be granted beyond it
    std::int64_t rateSlack = 0; ///< tokens in a window that may be granted beyond that
    Millis rateWindow{8000};
    Millis weights{10'000}; ///< until no request begins on weights that were replaced

    bool operator==(const ForwardBounds &) const = default;
};

struct Settings
{
    Dialect dialect = Dialect::OpenAi;
    ForwardBounds bounds; ///< of the forward dialect
    std::map<std::string, std::string> regionOfZone; ///< of the forward dialect
    std::optional<Address> metrics; ///< besides the admin address
    std::string instance; ///< unique name of this instance
    std::string region;
    std::string zone;
    Address listen; ///< for callers
    Address admin; ///< for operators, metrics and health checks
    Address peer; ///< for the other instances
    Address store; ///< the platform's object service
    std::vector<Address> seeds; ///< peers to ask first
    FleetKeys fleetKeys; ///< empty in the forward dialect: its network is the platform's own
    std::string engineCredential; ///< sent to endpoints in place of callers' keys
    LogLevel logLevel = LogLevel::Info;
    std::int64_t maxBodyBytes = 0;
    std::int64_t maxConnections = 8192; ///< of callers
    Millis cutOffBound{30'000}; ///< alone for so long, keys are not trusted any more
    Millis drainDeadline{0}; ///< after SIGTERM, for streams to finish
};

/// Reads and checks settings; \a file is named in errors.
Result<Settings> parseSettings(std::string_view text, const std::string &file);
Result<Settings> loadSettings(const std::string &file);

/// Reads a whole file.
Result<std::string> readFile(const std::string &file);

} // namespace lavenderhall
