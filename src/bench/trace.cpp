#include "bench/trace.h"

#include "base/json.h"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <sstream>

namespace lavenderhall::bench {

namespace {

constexpr std::int64_t BlockTokens = 2048;
constexpr Millis Duration{120'000};
// Time of the engine crashes and of the hot shift, at which each organisation's system prompt
// changes. The noisy organisation's traffic grows at half of this time.
constexpr Millis FaultTime{60'000};
constexpr double NoisyFactor = 5; // by which the noisy organisation's traffic grows
constexpr std::int64_t Regions = 3;
constexpr std::int64_t CacheBlocks = 100; // of each engine
constexpr int Organisations = 5;
constexpr int DocumentsPerOrganisation = 10;
const std::vector<std::string> FaultNames{"engine_crash", "engine_leaves"};

/// The size and load of one of the two simulated deployments.
struct Deployment
{
    std::int64_t engines;
    double requestsPerSecond;
    int shortPercent; ///< share of short interactive requests
    std::int64_t documentBlocks; ///< mean length of a long document
};

constexpr Deployment Lakeshore{9, 7, 50, 8};
constexpr Deployment Kiriketha{18, 9, 30, 14};

/// Generates the arrivals of a trace as a Poisson process.
class TraceGenerator
{
public:
    TraceGenerator(const Deployment &deployment, std::uint64_t seed)
        : deployment(deployment)
        , random(seed)
    { }

    Trace run(std::int64_t instances, bool shiftsHotPrefix, bool hasNoisyOrganisation)
    {
        Trace trace;
        trace.engines = this->deployment.engines;
        trace.instances = instances;
        trace.regions = Regions;
        trace.cacheBlocks = CacheBlocks;
        double at = 0; // milliseconds
        for (;;) {
            const double extraShare
                = hasNoisyOrganisation && at > static_cast<double>(FaultTime.count()) / 2
                ? ExtraNoisyShare
                : 0;
            const double rate = this->deployment.requestsPerSecond * (1 + extraShare);
            at += -std::log(1 - this->uniform()) * 1000 / rate;
            if (at >= static_cast<double>(Duration.count()))
                return trace;
            const bool isExtra = this->uniform() < extraShare / (1 + extraShare);
            const bool isShifted = shiftsHotPrefix && at > static_cast<double>(FaultTime.count());
            Arrival arrival = this->drawArrival(
                isExtra ? Organisations - 1 : this->drawOrganisation(), isShifted);
            arrival.at = Millis(static_cast<std::int64_t>(at));
            arrival.instance = this->random(static_cast<std::uint32_t>(instances));
            trace.arrivals.push_back(std::move(arrival));
        }
    }

private:
    // The last organisation is the noisy one. It has a tenth of the ordinary traffic, which grows
    // to NoisyFactor times as much; this is the added part.
    static constexpr double ExtraNoisyShare = 0.1 * (NoisyFactor - 1);

    // Returns a number from 0 up to, but not including, 1, from 32 random bits.
    double uniform() { return static_cast<double>(this->random()) / 4294967296.0; }

    // Draws an organisation according to its share of the traffic.
    int drawOrganisation()
    {
        static constexpr double Shares[] = {0.4, 0.25, 0.15, 0.1, 0.1};
        double draw = this->uniform();
        for (int index = 0; index < Organisations; ++index) {
            draw -= Shares[index];
            if (draw < 0)
                return index;
        }
        return Organisations - 1;
    }

    // Draws a request, whose time and instance remain to be set. With \a isShifted its prompt
    // begins with the organisation's second system prompt.
    Arrival drawArrival(int organisation, bool isShifted)
    {
        Arrival arrival;
        arrival.organisation = "org-" + std::to_string(organisation);
        const std::string system = arrival.organisation + (isShifted ? "/system-2" : "/system-1");
        arrival.segments.push_back({system, 2 * BlockTokens});
        const bool isShort
            = this->random(100) < static_cast<std::uint32_t>(this->deployment.shortPercent);
        arrival.priority = isShort ? 0 : 1;
        if (!isShort) {
            // The square makes the first documents far more frequent than the last ones.
            const double scaled = std::pow(this->uniform(), 2) * DocumentsPerOrganisation;
            const auto document = static_cast<std::int64_t>(scaled);
            const std::int64_t blocks
                = this->deployment.documentBlocks / 2 + document % this->deployment.documentBlocks;
            arrival.segments.push_back(
                {system + "/document-" + std::to_string(document), blocks * BlockTokens});
        }
        arrival.segments.push_back({"question-" + std::to_string(++this->questions),
                                    100 + static_cast<std::int64_t>(this->random(900))});
        arrival.outputTokens = isShort ? 20 : 100 + this->random(200);
        return arrival;
    }

    Deployment deployment;
    pcg32 random;
    std::uint64_t questions = 0;
};

Json toJson(const Arrival &arrival)
{
    Json segments = Json::array();
    for (const Segment &segment : arrival.segments)
        segments.push_back({{"id", segment.id}, {"tokens", segment.tokens}});
    return {{"at_ms", arrival.at.count()},  {"organisation", arrival.organisation},
            {"instance", arrival.instance}, {"priority", arrival.priority},
            {"segments", segments},         {"output", arrival.outputTokens}};
}

Arrival readArrival(ObjectReader &reader)
{
    Arrival arrival;
    arrival.at = Millis(reader.integer("at_ms", {0}));
    arrival.organisation = reader.text("organisation");
    arrival.instance = reader.integer("instance", {0, 10'000});
    arrival.priority = reader.integer("priority", {0, 10}, 0);
    arrival.outputTokens = reader.integer("output", {1, 1'000'000});
    reader.objects("segments", [&](ObjectReader &entry) {
        Segment segment;
        segment.id = entry.text("id");
        segment.tokens = entry.integer("tokens", {1, 10'000'000});
        arrival.segments.push_back(std::move(segment));
    });
    return arrival;
}

} // namespace

const std::vector<std::string> &traceNames()
{
    static const std::vector<std::string> Names{
        "lakeshore-ordinary", "lakeshore-hot-shift", "lakeshore-noisy", "lakeshore-crash",
        "kiriketha-ordinary", "kiriketha-hot-shift", "kiriketha-noisy", "kiriketha-crash"};
    return Names;
}

Result<Trace> makeTrace(const std::string &name, std::uint64_t seed, std::int64_t instances)
{
    const auto &names = traceNames();
    if (std::find(names.begin(), names.end(), name) == names.end())
        return fail(ErrorCode::NotFound, "make trace", "there is no trace named \"" + name + "\"");
    const Deployment &deployment = name.starts_with("lakeshore") ? Lakeshore : Kiriketha;
    TraceGenerator generator(deployment, seed);
    Trace trace = generator.run(instances, name.ends_with("hot-shift"), name.ends_with("noisy"));
    trace.name = name;
    if (name.ends_with("crash"))
        trace.faults
            = {{FaultTime, FaultKind::EngineCrash, 0}, {FaultTime, FaultKind::EngineCrash, 1}};
    return trace;
}

std::string toJsonLines(const Trace &trace)
{
    const Json header{{"name", trace.name},
                      {"engines", trace.engines},
                      {"instances", trace.instances},
                      {"regions", trace.regions},
                      {"cache_blocks", trace.cacheBlocks}};
    std::string text = header.dump() + "\n";
    for (const Fault &fault : trace.faults)
        text += Json{{"at_ms", fault.at.count()},
                     {"fault", FaultNames[static_cast<std::size_t>(fault.kind)]},
                     {"engine", fault.engine}}
                    .dump()
            + "\n";
    for (const Arrival &arrival : trace.arrivals)
        text += toJson(arrival).dump() + "\n";
    return text;
}

Result<Trace> parseTrace(std::string_view text, const std::string &file)
{
    Trace trace;
    std::istringstream lines{std::string(text)};
    std::int64_t lineNumber = 0;
    for (std::string line; std::getline(lines, line);) {
        const std::string lineName = file + " line " + std::to_string(++lineNumber);
        BOOST_LEAF_AUTO(json, parseJson(line, lineName));
        ObjectReader reader(json, lineName, "");
        if (lineNumber == 1) {
            trace.name = reader.text("name");
            trace.engines = reader.integer("engines", {1, 10'000});
            trace.instances = reader.integer("instances", {1, 10'000});
            trace.regions = reader.integer("regions", {1, 100});
            trace.cacheBlocks = reader.integer("cache_blocks", {1, 10'000'000});
        } else if (json.is_object() && json.contains("fault")) {
            Fault fault;
            fault.at = Millis(reader.integer("at_ms", {0}));
            fault.kind = static_cast<FaultKind>(reader.choice("fault", FaultNames));
            fault.engine = reader.integer("engine", {0, trace.engines - 1});
            trace.faults.push_back(fault);
        } else {
            trace.arrivals.push_back(readArrival(reader));
        }
        reader.finish();
        if (!reader.isGood())
            return fail(ErrorCode::BadInput, "read trace", reader.firstError());
    }
    return trace;
}

} // namespace lavenderhall::bench
