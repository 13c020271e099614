#include "router/settings.h"

#include "base/json.h"

#include <fstream>
#include <sstream>

namespace lavenderhall {

namespace {

constexpr IntRange PortRange{1, 65535};
constexpr std::int64_t DefaultMaxBodyBytes = 8 << 20;
constexpr std::int64_t DefaultDrainMillis = 120'000;
constexpr std::size_t Z85KeyLength = 40;
const std::vector<std::string> DialectNames{"openai", "forward"};
const std::vector<std::string> LogLevelNames{"debug", "info", "warning", "error"};

Address readAddress(ObjectReader &reader)
{
    Address address;
    address.host = reader.ipAddress("host");
    address.port = static_cast<std::uint16_t>(reader.integer("port", PortRange));
    return address;
}

// Reads an address in the form "IP:PORT".
Address readAddressText(ObjectReader &reader, const std::string &name)
{
    const std::string text = reader.text(name);
    const auto address = parseAddress(text);
    if (reader.isGood() && !address)
        reader.recordError(name, "\"" + text + "\"", "a text \"IP:PORT\"");
    return address.value_or(Address{});
}

/// Reads a number from \a min to \a max. Platforms scale some bounds with the fleet, so that they
/// need not be whole.
double readNumber(ObjectReader &reader, const std::string &name, double min, double max,
                  double fallback)
{
    const double number = reader.number(name, fallback);
    if (number >= min && number <= max)
        return number;
    reader.recordError(name, std::to_string(number),
                       "a number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
}

/// Reads a duration that is stated in units of \a unit, rounded down to milliseconds.
Millis readDuration(ObjectReader &reader, const std::string &name, Millis unit, Millis fallback)
{
    constexpr Millis MaxDuration{3'600'000};
    const auto inUnits = [unit](Millis time) {
        return static_cast<double>(time.count()) / static_cast<double>(unit.count());
    };
    const double units
        = readNumber(reader, name, inUnits(Millis(1)), inUnits(MaxDuration), inUnits(fallback));
    return Millis(static_cast<std::int64_t>(units * static_cast<double>(unit.count())));
}

/// Reads a count, rounded down to a whole number.
std::int64_t readCount(ObjectReader &reader, const std::string &name, std::int64_t fallback)
{
    constexpr double MaxCount = 1e12;
    return static_cast<std::int64_t>(
        readNumber(reader, name, 0, MaxCount, static_cast<double>(fallback)));
}

ForwardBounds readBounds(ObjectReader &reader)
{
    constexpr Millis Second{1000};
    ForwardBounds bounds;
    bounds.lease = readDuration(reader, "lease_ms", Millis(1), bounds.lease);
    bounds.drain = readDuration(reader, "drain_ms", Millis(1), bounds.drain);
    bounds.grace = readDuration(reader, "grace_s", Second, bounds.grace);
    bounds.retryRatio = readNumber(reader, "retry_ratio", 0, 1, bounds.retryRatio);
    bounds.retrySlack = readCount(reader, "retry_slack", bounds.retrySlack);
    bounds.retryWindow = readDuration(reader, "retry_window_s", Second, bounds.retryWindow);
    bounds.rateOverage = readNumber(reader, "rate_overage", 0, 1, bounds.rateOverage);
    bounds.rateSlack = readCount(reader, "rate_slack", bounds.rateSlack);
    bounds.rateWindow = readDuration(reader, "rate_window_s", Second, bounds.rateWindow);
    bounds.oldWeightsTimeout
        = readDuration(reader, "weights_ms", Millis(1), bounds.oldWeightsTimeout);
    return bounds;
}

RolloutBounds readRolloutBounds(ObjectReader &reader)
{
    RolloutBounds bounds;
    bounds.exposureShare = readNumber(reader, "exposure_share", 0, 1, bounds.exposureShare);
    bounds.exposureSlack = readCount(reader, "exposure_slack", bounds.exposureSlack);
    bounds.rollback = readDuration(reader, "rollback_ms", Millis(1), bounds.rollback);
    return bounds;
}

/// Reads what both dialects have in common. \a readOne(reader, name) reads an address.
template <typename ReadAddress>
Settings readCommonSettings(ObjectReader &reader, Dialect dialect, ReadAddress &&readOne)
{
    Settings settings;
    settings.dialect = dialect;
    settings.instance = reader.text("instance");
    settings.region = reader.text("region");
    settings.zone = reader.text("zone");
    settings.listen = readOne(reader, "listen");
    settings.admin = readOne(reader, "admin");
    settings.peer = readOne(reader, "peer");
    settings.store = readOne(reader, "store");
    settings.maxDescriptors = readCount(reader, "max_descriptors", 0);
    return settings;
}

// The platform generates this file: addresses are strings, and most other settings have defaults.
Settings readForwardSettings(ObjectReader &reader)
{
    Settings settings = readCommonSettings(reader, Dialect::Forward, readAddressText);
    settings.metrics = readAddressText(reader, "metrics");
    const std::string relay = reader.text("relay", "");
    settings.relay = parseAddress(relay);
    if (!relay.empty() && !settings.relay)
        reader.recordError("relay", "\"" + relay + "\"", "a text \"IP:PORT\"");
    for (const std::string &seed : reader.texts("seeds")) {
        const std::string host = seed.substr(0, seed.rfind(':'));
        if (isIpAddress(host) && host != settings.peer.host)
            settings.seeds.push_back({host, settings.peer.port});
    }
    settings.regionOfZone = reader.textMap("zones");
    settings.memoryMegabytes = readCount(reader, "memory_mb", 0);
    settings.logLevel = static_cast<LogLevel>(reader.choice("log_level", LogLevelNames, 1));
    reader.object("bounds", [&](ObjectReader &entry) { settings.bounds = readBounds(entry); });
    reader.object("rollouts",
                  [&](ObjectReader &entry) { settings.rollouts = readRolloutBounds(entry); });
    settings.balancesLoad = reader.object("balance", [](ObjectReader &) {});
    settings.features = reader.texts("features");
    return settings;
}

/// Removes \a name from \a settings if it is null, which a template writes where the platform
/// states nothing.
void removeIfNull(Json &settings, const std::string &name)
{
    if (settings.is_object() && settings.contains(name) && settings[name].is_null())
        settings.erase(name);
}

Address readRequiredAddress(ObjectReader &reader, const std::string &name)
{
    Address address;
    const bool isPresent
        = reader.object(name, [&](ObjectReader &entry) { address = readAddress(entry); });
    if (!isPresent)
        reader.recordError(name, "nothing", R"(an object {"host":"IP","port":N})");
    return address;
}

std::string readCurveKey(ObjectReader &reader, const std::string &name)
{
    std::string key = reader.text(name);
    if (reader.isGood() && key.size() != Z85KeyLength)
        reader.recordError(name, std::to_string(key.size()) + " characters",
                           "a CURVE key of 40 characters, see \"lavenderhall fleet-keys\"");
    return key;
}

} // namespace

Result<std::string> readFile(const std::string &file)
{
    const std::ifstream stream(file, std::ios::binary);
    if (!stream)
        return fail(ErrorCode::NotFound, "read file", "the file cannot be opened", file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

Result<Settings> parseSettings(std::string_view text, const std::string &file)
{
    BOOST_LEAF_AUTO(json, parseJson(text, file));
    removeIfNull(json, "features");
    ObjectReader reader(json, file, "");
    if (reader.choice("dialect", DialectNames, 0) == static_cast<std::size_t>(Dialect::Forward)) {
        Settings forward = readForwardSettings(reader);
        reader.finish();
        if (!reader.isGood())
            return fail(ErrorCode::BadInput, "check settings", reader.firstError());
        return forward;
    }
    Settings settings = readCommonSettings(reader, Dialect::OpenAi, readRequiredAddress);
    reader.objects("seeds",
                   [&](ObjectReader &entry) { settings.seeds.push_back(readAddress(entry)); });
    const bool hasKeys = reader.object("fleet_keys", [&](ObjectReader &entry) {
        settings.fleetKeys.publicKey = readCurveKey(entry, "public");
        settings.fleetKeys.secretKey = readCurveKey(entry, "secret");
    });
    if (!hasKeys)
        reader.recordError("fleet_keys", "nothing", R"(an object {"public":"...","secret":"..."})");
    settings.engineCredential = reader.text("engine_credential");
    settings.logLevel = static_cast<LogLevel>(reader.choice("log_level", LogLevelNames, 1));
    settings.maxBodyBytes = reader.integer("max_body_bytes", {1024, 64 << 20}, DefaultMaxBodyBytes);
    settings.maxConnections
        = reader.integer("max_connections", {64, 65536}, settings.maxConnections);
    settings.memoryMegabytes = reader.integer("memory_mb", {0, 1 << 20}, 0);
    settings.drainTimeout = Millis(reader.integer("drain_ms", {0, 3'600'000}, DefaultDrainMillis));
    settings.cutOffBound
        = Millis(reader.integer("cut_off_ms", {1000, 3'600'000}, settings.cutOffBound.count()));
    reader.finish();
    if (!reader.isGood())
        return fail(ErrorCode::BadInput, "check settings", reader.firstError());
    return settings;
}

Result<Settings> loadSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseSettings(text, file);
}

} // namespace lavenderhall
