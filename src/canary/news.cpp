#include "canary/news.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr std::int64_t MaxMillis = 1'000'000'000;

void writeCounts(const VersionCounts &counts, proto::VersionCounts &message)
{
    message.set_answers(counts.answers);
    message.set_failures(counts.failures);
    std::size_t used = LatencyBuckets;
    while (used > 0 && counts.latency.at(used - 1) == 0)
        --used;
    for (std::size_t bucket = 0; bucket < used; ++bucket)
        message.add_latency(counts.latency.at(bucket));
}

VersionCounts readCounts(const proto::VersionCounts &message)
{
    VersionCounts counts;
    counts.answers = message.answers();
    counts.failures = message.failures();
    const auto size
        = std::min<std::size_t>(LatencyBuckets, static_cast<std::size_t>(message.latency_size()));
    for (std::size_t bucket = 0; bucket < size; ++bucket)
        counts.latency.at(bucket) = message.latency(static_cast<int>(bucket));
    return counts;
}

} // namespace

proto::RolloutNews writeNews(const ServiceOrder &order, const RolloutReport &report, MonoTime now)
{
    proto::RolloutNews news;
    news.set_service(order.service);
    news.set_to(order.to);
    news.set_number(report.number);
    news.set_age_ms(report.age.count());
    news.set_phase(static_cast<int>(report.decision.phase));
    news.set_share(report.decision.share);
    news.set_fence(report.decision.fence);
    news.set_phase_age_ms(std::min<std::int64_t>(
        MaxMillis, std::chrono::duration_cast<Millis>(now - report.decision.confirmedAt).count()));
    news.set_is_bad(report.isBad);
    news.set_old_in_flight(report.oldInFlight);
    news.set_requests(report.requests);
    news.set_exposed(report.exposed);
    for (const auto &[route, counts] : report.counts) {
        proto::RouteCounts &message = *news.add_counts();
        message.set_route(route);
        writeCounts(counts.candidate, *message.mutable_candidate());
        writeCounts(counts.baseline, *message.mutable_baseline());
    }
    return news;
}

RolloutReport readNews(const proto::ProcessId &from, const proto::RolloutNews &news, MonoTime now)
{
    RolloutReport report;
    report.sender = {from.name(), from.incarnation()};
    report.number = news.number();
    report.age = Millis(std::clamp<std::int64_t>(news.age_ms(), 0, MaxMillis));
    const bool isKnownPhase = news.phase() >= static_cast<int>(RolloutPhase::Canary)
        && news.phase() <= static_cast<int>(RolloutPhase::Stopped);
    report.decision.phase
        = isKnownPhase ? static_cast<RolloutPhase>(news.phase()) : RolloutPhase::Stopped;
    report.decision.share = std::clamp(news.share(), 0.0, 1.0);
    report.decision.fence = std::max<std::int64_t>(0, news.fence());
    report.decision.confirmedAt
        = now - Millis(std::clamp<std::int64_t>(news.phase_age_ms(), 0, MaxMillis));
    report.isBad = news.is_bad();
    report.oldInFlight = news.old_in_flight();
    report.requests = news.requests();
    report.exposed = news.exposed();
    for (const proto::RouteCounts &counts : news.counts())
        report.counts[counts.route()]
            = {readCounts(counts.candidate()), readCounts(counts.baseline())};
    return report;
}

} // namespace lavenderhall
