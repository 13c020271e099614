#include "base/digest.h"
#include "forward/prefixcacheestimate.h"
#include "forward/reportschedule.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

} // namespace

Test(prefixcacheestimate, counts_a_prompt_up_to_the_first_part_that_was_not_sent)
{
    PrefixCacheEstimate estimate(10'000);
    const PromptChain chain
        = buildPromptChain(hash64("w"), {{"system", 500}, {"document", 3000}, {"own", 200}});
    estimate.onSent(chain, Start);
    cr_assert(estimate.cachedTokens(chain, Start) == 3700);
    const PromptChain other
        = buildPromptChain(hash64("w"), {{"system", 500}, {"another", 3000}, {"own", 200}});
    cr_assert(estimate.cachedTokens(other, Start) == 500);
    cr_assert(estimate.cachedTokens(buildPromptChain(hash64("v"), {{"system", 500}}), Start) == 0);
    cr_assert(estimate.cachedTokens(chain, Start + Millis(60'000)) == 0);
}

Test(prefixcacheestimate, evicts_the_least_recently_used_parts_first)
{
    PrefixCacheEstimate estimate(5000);
    const PromptChain first = buildPromptChain(hash64("w"), {{"one", 3000}});
    const PromptChain second = buildPromptChain(hash64("w"), {{"two", 3000}});
    estimate.onSent(first, Start);
    estimate.onSent(second, Start);
    cr_assert(estimate.cachedTokens(first, Start) == 0);
    cr_assert(estimate.cachedTokens(second, Start) == 3000);
}

// A busy engine is asked often, an idle one rarely. A relevant report is announced, and again
// before it expires at the others. An engine without an answer is announced as unreachable at the
// second failure, or at once if it refuses the connection.
Test(reportschedule, requests_and_announces_reports_as_needed)
{
    ReportSchedule schedule;
    const auto sendRequests = [&](std::int64_t running, int millis) {
        std::pair<int, int> counts;
        for (int now = 0; now < millis; now += 50) {
            const MonoTime at = Start + Millis(now);
            if (!schedule.isDue("e", at))
                continue;
            schedule.onRequested("e", at);
            ++counts.first;
            EngineReport report;
            report.running = running;
            counts.second += schedule.onReport("e", report, at) ? 1 : 0;
        }
        schedule.forgetBefore(Start + Millis(millis));
        return counts;
    };
    cr_assert(sendRequests(1, 10'000) == std::pair(5, 0));
    const auto busy = sendRequests(50, 10'000);
    cr_assert(busy.first >= 25 && busy.second >= 6 && busy.second <= 10);
    const auto heard = [](const std::string &) { return Start + Millis(1); };
    const std::vector<std::string> engine{"e"};
    schedule.onFailure("e", true, Start);
    cr_assert(schedule.takeUnreachable(heard).empty());
    schedule.onFailure("e", true, Start);
    cr_assert(schedule.takeUnreachable(heard) == engine);
    cr_assert(schedule.takeUnreachable(heard).empty());
    cr_assert(schedule.onReport("e", {}, Start));
    schedule.onFailure("e", false, Start);
    cr_assert(schedule.takeUnreachable(heard) == engine);
}

// An instance that asks for the loads is cut off from all endpoints, and some seconds later one
// engine is gone. Guards against news that make all other instances avoid sound endpoints.
Test(forward, an_instance_that_is_cut_off_announces_no_engine_as_unreachable)
{
    constexpr MonoTime Start{std::chrono::seconds(1000)};
    ReportSchedule schedule;
    MonoTime now = Start;
    const auto failAll = [&](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            now += Millis(350);
            for (const char *engine : {"a", "b", "c"})
                schedule.onFailure(engine, round % 2 == 0, now);
            cr_assert(schedule.takeUnreachable([&](const auto &) { return Start; }).empty());
        }
    };
    failAll(20);
    for (const char *engine : {"a", "b"})
        schedule.onReport(engine, {}, now + Millis(10));
    const auto unreachable
        = schedule.takeUnreachable([&](const auto &) { return now + Millis(10); });
    cr_assert(unreachable == std::vector<std::string>{"c"});
}
