#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/log.h"
#include "http/message.h"

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

struct Settings
{
    std::string instance; ///< unique name of this instance
    std::string region;
    std::string zone;
    http::Address listen; ///< for callers
    http::Address admin; ///< for operators, metrics and health checks
    http::Address peer; ///< for the other instances
    http::Address store; ///< the platform's object service
    std::vector<http::Address> seeds; ///< peers to ask first
    FleetKeys fleetKeys;
    std::string engineCredential; ///< sent to endpoints in place of callers' keys
    LogLevel logLevel = LogLevel::Info;
    std::int64_t maxBodyBytes = 0;
    std::int64_t maxConnections = 0;
    Millis cutOffBound{30'000}; ///< alone for so long, keys are not trusted any more
    Millis drainDeadline{0}; ///< after SIGTERM, for streams to finish
};

/// Reads and checks settings; \a file is named in errors.
Result<Settings> parseSettings(std::string_view text, const std::string &file);
Result<Settings> loadSettings(const std::string &file);

/// Reads a whole file.
Result<std::string> readFile(const std::string &file);

} // namespace lavenderhall
