#include "router/settings.h"

#include "base/json.h"

#include <fstream>
#include <sstream>

namespace lavenderhall {

namespace {

constexpr IntRange PortRange{1, 65535};
constexpr std::int64_t DefaultMaxBodyBytes = 8 << 20;
constexpr std::int64_t DefaultMaxConnections = 8192;
constexpr std::int64_t DefaultDrainMillis = 120'000;
constexpr std::size_t Z85KeyLength = 40;
const std::vector<std::string> LogLevelNames{"debug", "info", "warning", "error"};

http::Address readAddress(ObjectReader &reader)
{
    http::Address address;
    address.host = reader.ipAddress("host");
    address.port = static_cast<std::uint16_t>(reader.integer("port", PortRange));
    return address;
}

http::Address readRequiredAddress(ObjectReader &reader, const std::string &name)
{
    http::Address address;
    const bool isThere
        = reader.object(name, [&](ObjectReader &entry) { address = readAddress(entry); });
    if (!isThere)
        reader.complain(name, "nothing", R"(an object {"host":"IP","port":N})");
    return address;
}

std::string readCurveKey(ObjectReader &reader, const std::string &name)
{
    std::string key = reader.text(name);
    if (reader.isGood() && key.size() != Z85KeyLength)
        reader.complain(name, std::to_string(key.size()) + " characters",
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
    ObjectReader reader(json, file, "");
    Settings settings;
    settings.instance = reader.text("instance");
    settings.region = reader.text("region");
    settings.zone = reader.text("zone");
    settings.listen = readRequiredAddress(reader, "listen");
    settings.admin = readRequiredAddress(reader, "admin");
    settings.peer = readRequiredAddress(reader, "peer");
    settings.store = readRequiredAddress(reader, "store");
    reader.objects("seeds",
                   [&](ObjectReader &entry) { settings.seeds.push_back(readAddress(entry)); });
    const bool hasKeys = reader.object("fleet_keys", [&](ObjectReader &entry) {
        settings.fleetKeys.publicKey = readCurveKey(entry, "public");
        settings.fleetKeys.secretKey = readCurveKey(entry, "secret");
    });
    if (!hasKeys)
        reader.complain("fleet_keys", "nothing", R"(an object {"public":"...","secret":"..."})");
    settings.engineCredential = reader.text("engine_credential");
    settings.logLevel = static_cast<LogLevel>(reader.choice("log_level", LogLevelNames, 1));
    settings.maxBodyBytes = reader.integer("max_body_bytes", {1024, 64 << 20}, DefaultMaxBodyBytes);
    settings.maxConnections = reader.integer("max_connections", {64, 65536}, DefaultMaxConnections);
    settings.drainDeadline = Millis(reader.integer("drain_ms", {0, 3'600'000}, DefaultDrainMillis));
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
