#include "forward/crashmonitor.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

// Blocked parts are told again this often, for instances that have just started.
constexpr Millis RepeatInterval{1000};
// Of many blocked requests, so many are told again at a time.
constexpr std::size_t MaxRepeatedRequests = 50;
// A request that comes to an instance other than the one that sends trials is told to wait at
// least this long.
constexpr Millis MinRefusal{1000};
constexpr Millis MaxAge = std::chrono::minutes(30);
constexpr Millis MaxTrialDelay = std::chrono::hours(12);
// After a longer pause between two ticks the process may have been frozen, and news that speak
// against a crash wait to be read.
constexpr Millis MaxTickGap{500};
constexpr Millis CatchUpTime{1000};

Millis ageOf(MonoTime time, MonoTime now)
{
    return std::chrono::duration_cast<Millis>(now - time);
}

proto::BegunSubject begunSubject(const PartId &part, Millis age)
{
    proto::BegunSubject news;
    news.set_subject(part);
    news.set_age_ms(age.count());
    return news;
}

/// Returns the time of \a ageMillis before \a now; ages that cannot be are limited.
MonoTime timeOf(std::int64_t ageMillis, MonoTime now)
{
    return now - Millis(std::clamp<std::int64_t>(ageMillis, 0, MaxAge.count()));
}

CrashBlock blockOf(const proto::CrashBlock &told, MonoTime now)
{
    const std::int64_t trialInMillis
        = std::clamp<std::int64_t>(told.trial_in_ms(), 0, MaxTrialDelay.count());
    return {told.subject(), timeOf(told.age_ms(), now), now + Millis(trialInMillis),
            std::max(0, told.trials())};
}

void writeBlock(const CrashBlock &block, MonoTime now, proto::CrashBlock &told)
{
    told.set_subject(block.subject);
    told.set_age_ms(ageOf(block.crashedAt, now).count());
    told.set_trial_in_ms(ageOf(now, block.trialAt).count());
    told.set_trials(block.trials);
}

void logBlock(std::string_view event, const char *subjectName, const CrashBlock &block,
              MonoTime now)
{
    logEvent(LogLevel::Warning, event,
             {{subjectName, block.subject},
              {"crash_age_ms", ageOf(block.crashedAt, now).count()},
              {"trial_in_ms", ageOf(now, block.trialAt).count()}});
}

void logPartBlocked(const CrashBlock &block, MonoTime now)
{
    logBlock("part_blocked", "part", block, now);
}

void logRequestBlocked(const CrashBlock &block, MonoTime now)
{
    logBlock("request_blocked", "fingerprint", block, now);
}

} // namespace

void CrashMonitor::recordPartsCrash(const EngineCrash &crash, MonoTime now)
{
    for (const BegunPart &begun : this->attribution.onCrash(crash))
        *this->pendingNews.add_begun() = begunSubject(begun.part, ageOf(begun.begunAt, now));
}

void CrashMonitor::recordLoss(const LostRequest &lost, MonoTime now)
{
    if (const auto answered = this->requests.onLost(lost))
        *this->pendingNews.add_begun_requests()
            = begunSubject(answered->request, ageOf(answered->answeredAt, now));
}

void CrashMonitor::onAttemptLost(const Incarnation &endpoint, const RequestSignature &request,
                                 MonoTime sentAt, MonoTime now)
{
    const LostRequest lost{request.fingerprint(), endpoint, sentAt, now};
    this->recordLoss(lost, now);
    if (!request.sharedParts().empty())
        this->recordPartsCrash({endpoint, request.sharedParts(), now}, now);
    this->pendingLosses.push_back({lost, request.sharedParts()});
}

void CrashMonitor::onLossElsewhere(const proto::LostRequest &told, MonoTime now)
{
    const Incarnation endpoint{told.endpoint(), told.born_ms()};
    const MonoTime lostAt = timeOf(told.age_ms(), now);
    if (!told.fingerprint().empty())
        this->recordLoss({told.fingerprint(), endpoint, timeOf(told.sent_age_ms(), now), lostAt},
                         now);
    if (!told.parts().empty())
        this->recordPartsCrash({endpoint, {told.parts().begin(), told.parts().end()}, lostAt}, now);
}

void CrashMonitor::onAnswerBegun(const Incarnation &endpoint, const RequestSignature &request,
                                 MonoTime now)
{
    this->onEndpointAlive(endpoint, now);
    if (this->requests.onAnswered(request.fingerprint(), now)) {
        *this->pendingNews.add_begun_requests() = begunSubject(request.fingerprint(), Millis(0));
        logEvent(LogLevel::Info, "request_cleared", {{"fingerprint", request.fingerprint()}});
    }
    for (const PartId &part : this->attribution.onAnswerBegun(request.sharedParts(), now)) {
        *this->pendingNews.add_begun() = begunSubject(part, Millis(0));
        logEvent(LogLevel::Info, "part_cleared",
                 {{"part", part}, {"endpoint", endpoint.endpointId}});
    }
}

void CrashMonitor::onEndpointAlive(const Incarnation &endpoint, MonoTime now)
{
    const bool wasPartSuspected = this->attribution.onEngineAlive(endpoint, now);
    const bool wasRequestSuspected = this->requests.onEndpointAlive(endpoint, now);
    if (!wasPartSuspected && !wasRequestSuspected)
        return;
    proto::EndpointIncarnation &alive = *this->pendingNews.add_alive();
    alive.set_endpoint(endpoint.endpointId);
    alive.set_born_ms(endpoint.startMillis);
}

void CrashMonitor::onNews(const proto::CrashNews &news, MonoTime now)
{
    for (const proto::LostRequest &told : news.lost())
        this->onLossElsewhere(told, now);
    for (const proto::BegunSubject &begun : news.begun())
        this->attribution.onBegunElsewhere({begun.subject(), timeOf(begun.age_ms(), now)});
    for (const proto::BegunSubject &begun : news.begun_requests())
        this->requests.onAnsweredElsewhere({begun.subject(), timeOf(begun.age_ms(), now)});
    for (const proto::EndpointIncarnation &alive : news.alive()) {
        this->attribution.onEngineAlive({alive.endpoint(), alive.born_ms()}, now);
        this->requests.onEndpointAlive({alive.endpoint(), alive.born_ms()}, now);
    }
    bool isAnyNew = false;
    for (const proto::CrashBlock &told : news.blocked()) {
        const CrashBlock block = blockOf(told, now);
        if (!this->attribution.onBlocked(block))
            continue;
        isAnyNew = true;
        logPartBlocked(block, now);
    }
    for (const proto::CrashBlock &told : news.blocked_requests()) {
        const CrashBlock block = blockOf(told, now);
        if (!this->requests.onBlocked(block))
            continue;
        isAnyNew = true;
        logRequestBlocked(block, now);
    }
    if (isAnyNew)
        this->hooks.onNewBlocks();
}

const CrashBlock *CrashMonitor::requestBlock(const RequestSignature &request) const
{
    return this->requests.hasBlocks() ? this->requests.findBlock(request.fingerprint()) : nullptr;
}

const char *CrashMonitor::blockReason(const RequestSignature &request) const
{
    if (!this->attribution.findBlocked(request.sharedParts()).empty())
        return "crashing_part";
    return this->requestBlock(request) ? "crashing_request" : nullptr;
}

std::optional<MonoTime> CrashMonitor::refusedUntil(const RequestSignature &request,
                                                   MonoTime now) const
{
    std::vector<CrashBlock> blocks = this->attribution.findBlocked(request.sharedParts());
    if (const CrashBlock *block = this->requestBlock(request))
        blocks.push_back(*block);
    std::optional<MonoTime> until;
    for (const CrashBlock &block : blocks) {
        if (now >= block.trialAt && this->hooks.isTrialInstance(block.subject))
            continue;
        until = std::max({until.value_or(now), block.trialAt, now + MinRefusal});
    }
    return until;
}

void CrashMonitor::onSent(const RequestSignature &request, MonoTime now)
{
    for (const CrashBlock &block : this->attribution.findBlocked(request.sharedParts())) {
        if (const auto tried = this->attribution.onTrial(block.subject, now))
            this->collectPart(*tried, now);
        logEvent(LogLevel::Info, "part_trial", {{"part", block.subject}});
    }
    if (!this->requestBlock(request))
        return;
    if (const auto tried = this->requests.onTrial(request.fingerprint(), now))
        this->collectRequest(*tried, now);
    logEvent(LogLevel::Info, "request_trial", {{"fingerprint", request.fingerprint()}});
}

void CrashMonitor::onTick(MonoTime now)
{
    if (now - this->tickedAt > MaxTickGap)
        this->blockAfter = now + CatchUpTime;
    this->tickedAt = now;
    if (now >= this->blockAfter)
        this->block(now);
    if (now - this->repeatedAt >= RepeatInterval) {
        this->repeatedAt = now;
        this->repeatBlocks(now);
    }
    this->flush(now);
}

// Requests come first: one that is blocked may explain the crashes under the parts of its prompt.
void CrashMonitor::block(MonoTime now)
{
    const auto blockedRequests = this->requests.blockNewRequests(now);
    for (const CrashBlock &block : blockedRequests) {
        logRequestBlocked(block, now);
        this->collectRequest(block, now);
    }
    const auto blockedParts = this->attribution.blockNewParts(now, this->requests);
    for (const CrashBlock &block : blockedParts) {
        logPartBlocked(block, now);
        this->collectPart(block, now);
    }
    if (!blockedRequests.empty() || !blockedParts.empty())
        this->hooks.onNewBlocks();
}

void CrashMonitor::repeatBlocks(MonoTime now)
{
    const auto blockedParts = this->attribution.blockedParts();
    const auto blockedRequests = this->requests.blockedRequests();
    if ((blockedParts.empty() && blockedRequests.empty()) || !this->hooks.isTeller())
        return;
    for (const CrashBlock &block : blockedParts)
        this->collectPart(block, now);
    for (std::size_t count = std::min(blockedRequests.size(), MaxRepeatedRequests); count > 0;
         --count)
        this->collectRequest(blockedRequests[this->repeatedRequests++ % blockedRequests.size()],
                             now);
}

void CrashMonitor::collectPart(const CrashBlock &block, MonoTime now)
{
    writeBlock(block, now, *this->pendingNews.add_blocked());
}

void CrashMonitor::collectRequest(const CrashBlock &block, MonoTime now)
{
    writeBlock(block, now, *this->pendingNews.add_blocked_requests());
}

void CrashMonitor::flush(MonoTime now)
{
    for (const PendingLoss &loss : std::exchange(this->pendingLosses, {})) {
        proto::LostRequest &told = *this->pendingNews.add_lost();
        told.set_endpoint(loss.lost.endpoint.endpointId);
        told.set_born_ms(loss.lost.endpoint.startMillis);
        told.set_age_ms(ageOf(loss.lost.lostAt, now).count());
        told.set_fingerprint(loss.lost.request);
        told.set_sent_age_ms(ageOf(loss.lost.sentAt, now).count());
        for (const PartId &part : loss.parts)
            told.add_parts(part);
    }
    const proto::CrashNews news = std::exchange(this->pendingNews, {});
    const bool isEmpty = news.lost().empty() && news.blocked().empty() && news.begun().empty()
        && news.alive().empty() && news.blocked_requests().empty() && news.begun_requests().empty();
    if (isEmpty)
        return;
    this->hooks.broadcast(news);
}

} // namespace lavenderhall
