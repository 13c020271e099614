#include "routing/crashingrequests.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// A sound request may by chance be at one or two endpoints that crash.
constexpr int CrashesToBlock = 3;
// One that is sent all the time is at most of them, whatever their cause.
constexpr int CrashesToBlockAnswered = 6;
// Of a request that keeps being answered, the others are told no more often.
constexpr Millis AnswerNewsInterval = std::chrono::seconds(1);
// Endpoints that crash within this time, with a request at each of them that was sent before the
// first crash, may have a common cause that is no request.
constexpr Millis MinTimeBetweenCrashes{250};
// Copies of one request that were lost together count at most so often.
constexpr int MaxCountTogether = 2;
// Each trial may crash an endpoint, so that a request is tried only this often. Its block lasts
// long, since a request that comes again crashes as many endpoints as before.
constexpr int MaxTrials = 2;
constexpr Millis BlockLifetime = std::chrono::hours(12);
constexpr std::size_t MaxSuspects = 4096;
// Endpoints that had crashed before this instance was started are still listed for this time. A
// proxy that accepts connections for them resets each at once, while a request that crashes an
// endpoint runs for a moment.
constexpr Millis UnknownCrashesTime{3000};
constexpr Millis MinTimeToCrash{10};
constexpr Millis ForgetInterval = std::chrono::seconds(1);

} // namespace

CrashingRequests::CrashingRequests(MonoTime startedAt)
    : blocks(BlockLifetime, MaxTrials)
    , startedAt(startedAt)
{ }

// One with the oldest losses is dropped.
void CrashingRequests::makeRoom()
{
    if (this->suspects.size() < MaxSuspects)
        return;
    this->suspects.erase(std::min_element(
        this->suspects.begin(), this->suspects.end(), [this](const auto &left, const auto &right) {
            return this->lastCrash(left.second) < this->lastCrash(right.second);
        }));
}

MonoTime CrashingRequests::lastCrash(const Losses &losses) const
{
    MonoTime last{};
    for (const auto &[endpoint, sentAt] : losses)
        last = std::max(last, this->crashedEndpoints.crashTime(endpoint).value_or(MonoTime{}));
    return last;
}

// What was sent to an endpoint after its crash, as behind a proxy that still accepts connections,
// did not cause it.
std::optional<AnsweredRequest> CrashingRequests::onLost(const LostRequest &lost)
{
    const MonoTime crashedAt = this->crashedEndpoints.onCrash(lost.endpoint, lost.lostAt);
    const bool mayBeAfterUnknownCrash = crashedAt < this->startedAt + UnknownCrashesTime
        && lost.lostAt - lost.sentAt < MinTimeToCrash;
    const bool isAfterCrash = lost.sentAt > crashedAt + CrashedEndpoints::MaxTimeToSeeCrash;
    if (isAfterCrash || mayBeAfterUnknownCrash)
        return std::nullopt;
    const auto answeredAt = this->answered.lastAnswer(lost.request);
    if (!answeredAt || *answeredAt < crashedAt) {
        this->blocks.onCrash(lost.request, crashedAt);
        if (!this->suspects.contains(lost.request))
            this->makeRoom();
        this->suspects[lost.request].emplace(lost.endpoint, lost.sentAt);
    }
    if (!answeredAt)
        return std::nullopt;
    const auto [told, isNew] = this->toldAnswers.emplace(lost.request, *answeredAt);
    if (!isNew && *answeredAt - told->second <= AnswerNewsInterval)
        return std::nullopt;
    told->second = *answeredAt;
    return AnsweredRequest{lost.request, *answeredAt};
}

void CrashingRequests::onAnsweredElsewhere(const AnsweredRequest &news)
{
    this->onAnswered(news.request, news.answeredAt);
    MonoTime &told = this->toldAnswers[news.request];
    told = std::max(told, news.answeredAt);
}

bool CrashingRequests::onAnswered(const RequestFingerprint &request, MonoTime begunAt)
{
    this->answered.onAnswered(request, begunAt);
    const bool wasBlocked = this->blocks.clear(request, begunAt);
    const auto suspect = this->suspects.find(request);
    if (suspect == this->suspects.end())
        return wasBlocked;
    const std::size_t cleared = std::erase_if(suspect->second, [&](const auto &loss) {
        return this->crashedEndpoints.crashTime(loss.first) <= begunAt;
    });
    if (suspect->second.empty())
        this->suspects.erase(suspect);
    return wasBlocked || cleared > 0;
}

bool CrashingRequests::onEndpointAlive(const Incarnation &endpoint, MonoTime at)
{
    if (!this->crashedEndpoints.onAlive(endpoint, at))
        return false;
    bool wasSuspected = false;
    for (auto &[request, losses] : this->suspects)
        wasSuspected = losses.erase(endpoint) > 0 || wasSuspected;
    std::erase_if(this->suspects, [](const auto &suspect) { return suspect.second.empty(); });
    return wasSuspected;
}

bool CrashingRequests::onBlocked(const CrashBlock &block)
{
    const auto answeredAt = this->answered.lastAnswer(block.subject);
    if (answeredAt && *answeredAt >= block.crashedAt)
        return false;
    const bool isNew = this->blocks.merge(block);
    if (isNew)
        this->forgetBystanders({block.subject});
    return isNew;
}

// A request that is sent to the next endpoint after the last one crashed is there for each crash
// anew, however short the time between them. Its copies that are lost at the same moment count
// little, as when a rack fails under requests that are often the same.
int CrashingRequests::countCrashes(const Losses &losses, MonoTime now) const
{
    struct Crash
    {
        MonoTime at{};
        MonoTime sentAt{};

        auto operator<=>(const Crash &) const = default;
    };
    std::vector<Crash> confirmed;
    for (const auto &[endpoint, sentAt] : losses) {
        const auto crashedAt = this->crashedEndpoints.crashTime(endpoint);
        if (crashedAt && now - *crashedAt >= CrashedEndpoints::ConfirmationTime)
            confirmed.push_back({*crashedAt, sentAt});
    }
    std::sort(confirmed.begin(), confirmed.end());
    int count = 0;
    int together = 0;
    std::optional<MonoTime> last;
    for (const Crash &crash : confirmed) {
        const bool isApart
            = !last || crash.sentAt >= *last || crash.at - *last >= MinTimeBetweenCrashes;
        together = isApart ? 1 : together + 1;
        last = crash.at;
        if (together <= MaxCountTogether)
            ++count;
    }
    return count;
}

std::vector<RequestFingerprint> CrashingRequests::mostSuspected(MonoTime now) const
{
    struct Rank
    {
        bool wasNeverAnswered = false;
        int crashes = 0;

        auto operator<=>(const Rank &) const = default;
    };
    Rank highest;
    std::vector<RequestFingerprint> found;
    for (const auto &[request, losses] : this->suspects) {
        if (this->blocks.find(request))
            continue;
        const Rank rank{!this->answered.lastAnswer(request), this->countCrashes(losses, now)};
        const int needed = rank.wasNeverAnswered ? CrashesToBlock : CrashesToBlockAnswered;
        if (rank.crashes < needed || rank < highest)
            continue;
        if (rank > highest)
            found.clear();
        highest = rank;
        found.push_back(request);
    }
    return found;
}

void CrashingRequests::forgetBystanders(const std::vector<RequestFingerprint> &blocked)
{
    std::set<Incarnation> explained;
    for (const RequestFingerprint &request : blocked) {
        const auto suspect = this->suspects.find(request);
        if (suspect == this->suspects.end())
            continue;
        for (const auto &[endpoint, sentAt] : suspect->second)
            explained.insert(endpoint);
    }
    for (auto &[request, losses] : this->suspects) {
        if (this->blocks.find(request))
            continue;
        std::erase_if(losses,
                      [&explained](const auto &loss) { return explained.contains(loss.first); });
    }
    std::erase_if(this->suspects, [](const auto &suspect) { return suspect.second.empty(); });
}

std::vector<CrashBlock> CrashingRequests::blockNewRequests(MonoTime now)
{
    this->forgetOld(now);
    std::vector<CrashBlock> newlyBlocked;
    const std::vector<RequestFingerprint> found = this->mostSuspected(now);
    for (const RequestFingerprint &request : found) {
        const MonoTime crashedAt = this->lastCrash(this->suspects[request]);
        newlyBlocked.push_back(this->blocks.add(request, crashedAt, now));
    }
    this->forgetBystanders(found);
    return newlyBlocked;
}

std::optional<CrashBlock> CrashingRequests::onTrial(const RequestFingerprint &request, MonoTime now)
{
    return this->blocks.onTrial(request, now);
}

bool CrashingRequests::isOneRequestLostAtAll(const std::set<Incarnation> &endpoints) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto &suspect) {
        const Losses &losses = suspect.second;
        return std::all_of(endpoints.begin(), endpoints.end(),
                           [&losses](const auto &endpoint) { return losses.contains(endpoint); });
    });
}

void CrashingRequests::forgetOld(MonoTime now)
{
    if (now - this->forgottenAt < ForgetInterval)
        return;
    this->forgottenAt = now;
    this->crashedEndpoints.forgetOld(now);
    this->blocks.forgetOld(now);
    this->answered.forgetOld(now);
    std::erase_if(this->toldAnswers,
                  [this](const auto &told) { return !this->suspects.contains(told.first); });
    for (auto &[request, losses] : this->suspects)
        std::erase_if(losses, [this](const auto &loss) {
            return !this->crashedEndpoints.crashTime(loss.first);
        });
    std::erase_if(this->suspects, [](const auto &suspect) { return suspect.second.empty(); });
}

} // namespace lavenderhall
