#include "routing/crashattribution.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr Millis Confirmed{1000};

Incarnation engine(int number)
{
    return {"engine-" + std::to_string(number), 1};
}

/// Crashes of engines, each of its own, at the given times after the start. The first of them
/// follows engine \a number.
void crashAt(CrashAttribution &attribution, const std::vector<PartId> &parts,
             const std::vector<Millis> &times, int number = 0)
{
    for (const Millis time : times)
        attribution.onCrash({engine(++number), parts, Start + time});
}

bool isBlocked(const CrashAttribution &attribution, const PartId &part)
{
    return !attribution.findBlocked({part}).empty();
}

} // namespace

// The load pattern: requests share the route's first part, one in twenty has the deadly part, and
// each crash takes sound requests along.
Test(crashattribution, the_part_under_which_engines_crash_is_blocked_and_no_other)
{
    CrashAttribution attribution;
    MonoTime now = Start;
    for (int crash = 1; crash <= 5; ++crash) {
        now += Millis(400);
        const PartId bystander = "bystander-" + std::to_string(crash);
        attribution.onCrash({engine(crash), {"route", "deadly", bystander}, now});
        attribution.onAnswerBegun({"route", "sound"}, now + Millis(30));
        attribution.blockNewParts(now + Millis(100));
    }
    attribution.blockNewParts(now + Confirmed);
    cr_assert(isBlocked(attribution, "deadly"));
    cr_assert(not(isBlocked(attribution, "route")));
    cr_assert(not(isBlocked(attribution, "bystander-5")));
    cr_assert(attribution.blockedParts().size() == 1U);
}

Test(crashattribution, two_crashes_block_nothing)
{
    CrashAttribution attribution;
    crashAt(attribution, {"part"}, {Millis(0), Millis(400)});
    cr_assert(attribution.blockNewParts(Start + Millis(5000)).empty());
}

// A rack of engines ends at once. Guards against the part that all requests share being blocked
// while no engine is left to begin an answer.
Test(crashattribution, engines_that_crash_together_block_nothing)
{
    CrashAttribution attribution;
    crashAt(attribution, {"route"},
            {Millis(0), Millis(10), Millis(60), Millis(120), Millis(180), Millis(240)});
    cr_assert(attribution.blockNewParts(Start + Millis(5000)).empty());
}

Test(crashattribution, one_engine_that_loses_connections_blocks_nothing)
{
    CrashAttribution attribution;
    for (int loss = 0; loss < 10; ++loss)
        attribution.onCrash({engine(1), {"part"}, Start + Millis(400) * loss});
    cr_assert(attribution.blockNewParts(Start + Millis(9000)).empty());
}

// A proxy still accepts connections for engines that have crashed. Guards against sound parts being
// blocked whose requests were sent to the remains of several engines.
Test(crashattribution, requests_that_reach_an_engine_after_its_crash_are_not_suspected)
{
    CrashAttribution attribution;
    for (int crash = 1; crash <= 3; ++crash) {
        const MonoTime at = Start + Millis(400) * crash;
        attribution.onCrash({engine(crash), {"deadly"}, at});
        attribution.onCrash({engine(crash), {"late"}, at + Millis(300)});
    }
    const auto blocked = attribution.blockNewParts(Start + Millis(5000));
    cr_assert(blocked.size() == 1U);
    cr_assert(blocked.front().subject == "deadly");
}

// Engines that reset some connections and go on are not crashed.
Test(crashattribution, an_engine_that_lives_on_has_not_crashed)
{
    CrashAttribution attribution;
    crashAt(attribution, {"part"}, {Millis(0), Millis(400), Millis(800)});
    attribution.onEngineAlive(engine(2), Start + Millis(1500));
    cr_assert(attribution.blockNewParts(Start + Millis(5000)).empty());
    // News of a report from before the crash, told afterwards, says nothing.
    crashAt(attribution, {"other"}, {Millis(0), Millis(400), Millis(800)}, 3);
    attribution.onEngineAlive(engine(5), Start + Millis(600));
    cr_assert(attribution.blockNewParts(Start + Millis(5000)).size() == 1U);
}

// The beginning of an answer counts from its own time, in whichever order the news arrive.
Test(crashattribution, an_answer_that_began_after_a_crash_clears_the_part)
{
    CrashAttribution attribution;
    attribution.onAnswerBegun({"part"}, Start + Millis(900));
    crashAt(attribution, {"part"}, {Millis(0), Millis(400), Millis(800)});
    cr_assert(attribution.blockNewParts(Start + Millis(5000)).empty());
    crashAt(attribution, {"part"}, {Millis(1000), Millis(1400), Millis(1800)}, 3);
    cr_assert(attribution.blockNewParts(Start + Millis(5000)).size() == 1U);
    cr_assert(attribution.onAnswerBegun({"part"}, Start + Millis(6000)).size() == 1U);
    cr_assert(not(isBlocked(attribution, "part")));
    // Instances that have not heard of it tell of the block once more.
    cr_assert(
        not(attribution.onBlocked({"part", Start + Millis(1800), Start + Millis(60'000), 0})));
}

// A part that was at each engine by chance has the same crashes as the deadly one, less one.
Test(crashattribution, a_blocked_part_explains_its_crashes)
{
    CrashAttribution attribution;
    crashAt(attribution, {"deadly"}, {Millis(0), Millis(400), Millis(800), Millis(1200)});
    crashAt(attribution, {"unlucky"}, {Millis(0), Millis(400), Millis(800)});
    const auto blocked = attribution.blockNewParts(Start + Millis(3000));
    cr_assert(blocked.size() == 1U);
    cr_assert(blocked.front().subject == "deadly");
    cr_assert(attribution.blockNewParts(Start + Millis(3000)).empty());
}

// The instance that sent a request with the deadly part is frozen: of some crashes only the sound
// requests are known.
Test(crashattribution, a_blocked_part_explains_crashes_that_are_known_in_part)
{
    CrashAttribution attribution;
    crashAt(attribution, {"unlucky"}, {Millis(100), Millis(500), Millis(900)}, 3);
    crashAt(attribution, {"deadly"}, {Millis(0), Millis(400), Millis(800)});
    attribution.onBegunElsewhere({"unlucky", Start - Millis(20'000)});
    const auto blocked = attribution.blockNewParts(Start + Millis(3000));
    cr_assert(blocked.size() == 1U);
    cr_assert(blocked.front().subject == "deadly");
    cr_assert(attribution.blockNewParts(Start + Millis(3500)).empty());
}

// Guards against requests with the part reaching engines again and again while they still come.
Test(crashattribution, a_blocked_part_is_tried_more_and_more_rarely)
{
    CrashAttribution attribution;
    crashAt(attribution, {"part"}, {Millis(0), Millis(400), Millis(800)});
    attribution.blockNewParts(Start + Millis(2000));
    const MonoTime trial = attribution.findBlocked({"part"}).front().trialAt;
    cr_assert(trial == Start + Millis(62'000));
    attribution.onTrial("part", trial);
    attribution.onCrash({engine(9), {"part"}, trial + Millis(300)});
    const CrashBlock blocked = attribution.findBlocked({"part"}).front();
    cr_assert(blocked.crashedAt == trial + Millis(300));
    cr_assert(blocked.trialAt == trial + Millis(120'000));
}

// Instances repeat to each other what they know, and each message takes some time. Guards against
// times that move on by this alone, so that a trial is never due.
Test(crashattribution, repeated_news_do_not_move_the_times_of_a_block)
{
    CrashAttribution attribution;
    const CrashBlock blocked{"part", Start, Start + Millis(60'000), 0};
    cr_assert(attribution.onBlocked(blocked));
    for (int repeat = 1; repeat <= 20; ++repeat)
        attribution.onBlocked({"part", Start + Millis(100), Start + Millis(60'100), 0});
    cr_assert(attribution.findBlocked({"part"}).front() == blocked);
    attribution.onBlocked({"part", Start, Start + Millis(180'000), 1});
    cr_assert(attribution.findBlocked({"part"}).front().trials == 1);
}

// An instance that has lost its connections to engines blocks the part of all its requests.
Test(crashattribution, an_instance_that_has_seen_answers_begin_since_does_not_take_over_a_block)
{
    CrashAttribution attribution;
    attribution.onAnswerBegun({"route"}, Start + Millis(900));
    cr_assert(
        not(attribution.onBlocked({"route", Start + Millis(800), Start + Millis(60'000), 0})));
    cr_assert(not(isBlocked(attribution, "route")));
}

// Parts that stand before the deadly one are in the same requests. Guards against sound requests
// being refused that share only these.
Test(crashattribution, of_parts_that_come_together_the_one_never_answered_is_blocked)
{
    CrashAttribution attribution;
    attribution.onBegunElsewhere({"subject", Start - Millis(20'000)});
    crashAt(attribution, {"subject", "deadly"}, {Millis(0), Millis(400), Millis(800)});
    const auto blocked = attribution.blockNewParts(Start + Millis(3000));
    cr_assert(blocked.size() == 1U);
    cr_assert(blocked.front().subject == "deadly");
}

Test(crashattribution, others_are_told_once_that_a_suspected_part_was_answered_before)
{
    CrashAttribution attribution;
    attribution.onAnswerBegun({"subject"}, Start - Millis(20'000));
    const auto told = attribution.onCrash({engine(1), {"subject", "deadly"}, Start});
    cr_assert(told.size() == 1U);
    cr_assert(told.front() == (BegunPart{"subject", Start - Millis(20'000)}));
    cr_assert(attribution.onCrash({engine(2), {"subject"}, Start + Millis(400)}).empty());
}

// A part that was sound may come to crash engines later, as with other weights.
Test(crashattribution, a_part_that_was_answered_before_is_blocked_if_no_other_explains_the_crashes)
{
    CrashAttribution attribution;
    attribution.onAnswerBegun({"part"}, Start - Millis(20'000));
    crashAt(attribution, {"part"}, {Millis(0), Millis(400), Millis(800)});
    cr_assert(attribution.blockNewParts(Start + Millis(3000)).size() == 1U);
}

// One request comes again and again. Guards against other prompts with the same parts being
// refused.
Test(crashattribution, parts_are_not_blocked_for_one_request_that_crashes_engines)
{
    CrashAttribution attribution;
    CrashingRequests requests;
    for (int crash = 1; crash <= 3; ++crash) {
        const MonoTime at = Start + Millis(400) * crash;
        attribution.onCrash({engine(crash), {"session"}, at});
        requests.onLost({"request", engine(crash), at - Millis(50), at});
    }
    cr_assert(attribution.blockNewParts(Start + Millis(5000), requests).empty());
    // Another request with the same part crashes an engine too, so the part is the cause.
    attribution.onCrash({engine(4), {"session"}, Start + Millis(6000)});
    requests.onLost({"another", engine(4), Start + Millis(5950), Start + Millis(6000)});
    cr_assert(attribution.blockNewParts(Start + Millis(9000), requests).size() == 1U);
}
