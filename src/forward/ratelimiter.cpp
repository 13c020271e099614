#include "forward/ratelimiter.h"

#include "store/groupedreads.h"

#include <algorithm>
#include <set>

namespace lavenderhall {

namespace {

constexpr Millis UnknownRateRetryAfter{300};

TokenLimits limitsOf(const OrganisationSpec &organisation)
{
    return {static_cast<double>(organisation.tokensPerSecond),
            static_cast<double>(organisation.burstTokens)};
}

// Returns the name of a seat's record among the objects of its kind: REGION.SEAT for the object
// limits/REGION/SEAT.
std::string recordName(const std::string &object)
{
    std::string name = object.substr(object.find('/') + 1);
    std::replace(name.begin(), name.end(), '/', '.');
    return name;
}

StoreReply toStoreReply(const ObjectReply &reply)
{
    StoreReply result;
    result.status = reply.status;
    if (reply.object) {
        result.version = reply.object->revision;
        result.body = findText(reply.object->content, "record");
    }
    return result;
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

SeatStore objectSeatStore(http::Loop &loop, ObjectClient &store, const std::string &kind,
                          std::function<Millis()> outageDuration)
{
    SeatStore seats;
    seats.outageDuration = std::move(outageDuration);
    const auto post = [&loop](std::function<void()> task) { loop.post(std::move(task)); };
    const auto reads = std::make_shared<GroupedReads<ObjectClient>>(store, kind, post);
    seats.read = [reads](const std::string &object, const StoreHandler &handler) {
        reads->read(recordName(object),
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

void RateLimiter::setTolerance(const AllowanceSettings &settings)
{
    this->tolerance = settings;
    this->allowance.setSettings(settings);
}

void RateLimiter::onConfig(const TableContent &content,
                           const std::map<std::string, std::string> &regions)
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

TokenAdmission RateLimiter::admission()
{
    TokenAdmission admission;
    admission.request = [this](const OrganisationSpec &organisation, double tokens, Millis maxWait,
                               const TokenAdmission::Handler &handler) {
        return this->requestTokens(organisation, tokens, maxWait, handler);
    };
    admission.release = [this](std::uint64_t number, bool isGranted, double unused) {
        if (isGranted)
            this->fleet.returnTokens(number, unused);
        else
            this->fleet.cancelTokenRequest(number);
    };
    return admission;
}

std::uint64_t RateLimiter::requestTokens(const OrganisationSpec &organisation, double tokens,
                                         Millis maxWait, const TokenAdmission::Handler &handler)
{
    const auto onResult = [this, name = organisation.name, limits = limitsOf(organisation), tokens,
                           handler](const BorrowResult &result) {
        if (result.isGranted)
            return handler({true, true, {}});
        const bool isAllowed = this->allowance.tryConsume(name, limits, tokens, monoNow());
        handler({isAllowed, result.isAnswered,
                 result.isAnswered ? result.retryAfter : UnknownRateRetryAfter});
    };
    return this->fleet.requestTokens(organisation.name, tokens, maxWait, onResult);
}

} // namespace lavenderhall
