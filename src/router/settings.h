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

/// CURVE key pair that all instances of one fleet share, in the Z85 encoding of ZeroMQ.
struct FleetKeys
{
    std::string publicKey;
    std::string secretKey;
};

/// The protocol of callers and endpoints.
enum class Dialect {
    OpenAi, ///< completions in JSON bodies; configuration in lavenderhall's own format
    Forward, ///< opaque bodies described by headers, which the platform's adapter translates
};

/// Bounds that the operators guarantee to their callers and that the router must keep.
struct ForwardBounds
{
    Millis lease{3000}; ///< duration of the lease by which one instance may send orders to engines
    Millis drain{2500}; ///< from the time an endpoint starts to leave until it gets no new requests
    Millis grace{8000}; ///< from SIGTERM until the platform kills the process
    double retryRatio = 0.2; ///< retries per request
    std::int64_t retrySlack = 0; ///< additional retries in a window
    Millis retryWindow{10'000}; ///< in which retries are counted
    double rateOverage = 0; ///< share of a rate that may be granted in excess of it
    std::int64_t rateSlack = 0; ///< additional tokens in a window that may be granted in excess
    Millis rateWindow{8000}; ///< in which tokens are counted
    /// Time from the naming of newer weights until no request may start on older ones.
    Millis oldWeightsTimeout{10'000};

    bool operator==(const ForwardBounds &) const = default;
};

/// Bounds on what a service's version under test may get while its rollout runs.
struct RolloutBounds
{
    double exposureShare = 0.1; ///< of the service's requests from the order until its time is over
    std::int64_t exposureSlack = 0; ///< additional requests
    Millis rollback{5000}; ///< promised time until a bad version gets no requests; only stated

    bool operator==(const RolloutBounds &) const = default;
};

/// Settings of either dialect.
struct Settings
{
    Dialect dialect = Dialect::OpenAi;
    ForwardBounds bounds; ///< forward dialect only
    std::optional<RolloutBounds> rollouts; ///< set where services are rolled out by version
    bool balancesLoad = false; ///< whether the load of engines is estimated, see src/balance
    /// The parts of the platform's contract that are in force, in the platform's words.
    std::vector<std::string> features;
    std::map<std::string, std::string> regionOfZone; ///< forward dialect only
    /// For requests that other instances relay; the port is the same at all instances.
    std::optional<Address> relay;
    std::optional<Address> metrics; ///< second address at which the admin server listens
    std::string instance; ///< unique name of this instance
    std::string region;
    std::string zone;
    Address listen; ///< for requests of callers
    Address admin; ///< for operators, metrics and health checks
    Address peer; ///< for messages of other instances
    Address store; ///< the platform's object service
    std::vector<Address> seeds; ///< peers to contact first to join the fleet
    FleetKeys fleetKeys; ///< empty in the forward dialect, whose network is private to the platform
    std::string engineCredential; ///< sent to endpoints in place of callers' keys
    LogLevel logLevel = LogLevel::Info;
    std::int64_t maxBodyBytes = 0; ///< of a request
    std::int64_t maxConnections = 8192; ///< from callers
    std::int64_t memoryMegabytes = 0; ///< that the process may use; 0 if that is not stated
    std::int64_t maxDescriptors = 0; ///< that the platform allows; 0: what the system does
    Millis cutOffBound{30'000}; ///< an instance that is isolated for longer refuses keys
    Millis drainTimeout{0}; ///< from the start of a drain until calls in progress are ended
};

/// Parses and checks settings; \a file is the name used in errors.
Result<Settings> parseSettings(std::string_view text, const std::string &file);
/// Reads, parses and checks the settings in \a file.
Result<Settings> loadSettings(const std::string &file);

/// Returns the content of \a file.
Result<std::string> readFile(const std::string &file);

} // namespace lavenderhall
