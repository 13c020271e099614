#include "forward/rates.h"

#include <algorithm>
#include <set>

namespace lavenderhall {

namespace {

constexpr Millis TokensPatience{200}; ///< for a rate to allow a request
constexpr Millis UnknownRateRetryAfter{300};

TokenLimits limitsOf(const OrganisationSpec &organisation)
{
    return {static_cast<double>(organisation.tokensPerSecond),
            static_cast<double>(organisation.burstTokens)};
}

std::string recordName(const std::string &object)
{
    std::string name = object.substr(object.find('/') + 1);
    std::replace(name.begin(), name.end(), '/', '.');
    return name;
}

StoreReply toStoreReply(const ObjectReply &reply)
{
    StoreReply made;
    made.status = reply.status;
    if (reply.object) {
        made.version = reply.object->revision;
        made.body = textIn(reply.object->content, "record");
    }
    return made;
}

std::vector<Region> regionsIn(const std::map<std::string, std::string> &regionOfZone)
{
    std::set<std::string> names;
    for (const auto &[zone, region] : regionOfZone)
        names.insert(region);
    std::vector<Region> regions;
    for (const std::string &name : names)
        regions.push_back({name, 1});
    return regions;
}

} // namespace

SeatStore objectSeatStore(ObjectClient &store, const std::string &kind,
                          std::function<Millis()> silence)
{
    SeatStore seats;
    seats.outageDuration = std::move(silence);
    seats.read = [&store, kind](const std::string &object, const StoreHandler &handler) {
        store.read(kind, recordName(object),
                   [handler](const ObjectReply &reply) { handler(toStoreReply(reply)); });
    };
    seats.write = [&store, kind](const std::string &object, std::string text, std::int64_t expected,
                                 const StoreHandler &handler) {
        const StoredObject stored{recordName(object), expected, Json{{"record", std::move(text)}}};
        const auto onReply = [handler](const ObjectReply &reply) { handler(toStoreReply(reply)); };
        if (expected == CreateVersion)
            return store.create(kind, stored, onReply);
        store.replace(kind, stored, onReply);
    };
    return seats;
}

void Rates::setTolerance(const AllowanceSettings &settings)
{
    this->tolerance = settings;
    this->allowance.setSettings(settings);
}

void Rates::onConfig(const TableContent &content, const std::map<std::string, std::string> &regions)
{
    std::vector<Organisation> organisations;
    RestartTokens restart;
    for (const OrganisationSpec &spec : content.organisations) {
        restart.emplace(spec.name, restartTokens(limitsOf(spec), this->tolerance));
        const TokenLimits limits = accountLimits(limitsOf(spec), this->tolerance);
        organisations.push_back({spec.name,
                                 static_cast<std::int64_t>(limits.perSecond),
                                 static_cast<std::int64_t>(limits.burst),
                                 {}});
    }
    this->fleet.onConfig(content.version, regionsIn(regions), organisations, restart);
}

TokensGate Rates::gate()
{
    TokensGate gate;
    gate.ask = [this](const OrganisationSpec &organisation, double tokens,
                      const TokensGate::Handler &handler) {
        return this->ask(organisation, tokens, handler);
    };
    gate.giveBack = [this](std::uint64_t number, bool isGranted, double unused) {
        if (isGranted)
            this->fleet.returnTokens(number, unused);
        else
            this->fleet.cancelTokenRequest(number);
    };
    return gate;
}

std::uint64_t Rates::ask(const OrganisationSpec &organisation, double tokens,
                         const TokensGate::Handler &handler)
{
    const auto onResult = [this, name = organisation.name, limits = limitsOf(organisation), tokens,
                           handler](const BorrowResult &result) {
        if (result.granted)
            return handler({true, true, {}});
        const bool isAllowed = this->allowance.take(name, limits, tokens, monoNow());
        handler({isAllowed, result.isAnswered,
                 result.isAnswered ? result.retryAfter : UnknownRateRetryAfter});
    };
    return this->fleet.requestTokens(organisation.name, tokens, TokensPatience, onResult);
}

} // namespace lavenderhall
