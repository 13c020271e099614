#include "routing/crashingrequests.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr Millis RunTime{60};
constexpr Millis Confirmed{1000};
constexpr const char *Deadly = "deadly";

Incarnation endpoint(int number)
{
    return {"endpoint-" + std::to_string(number), 1};
}

/// A request that was sent to an endpoint and lost when it crashed, RunTime later.
LostRequest lostAt(int number, Millis time, const std::string &request = Deadly)
{
    return {request, endpoint(number), Start + time - RunTime, Start + time};
}

/// The same request is lost at several endpoints, one after the other.
void loseOneAfterTheOther(CrashingRequests &requests, const std::string &request = Deadly)
{
    for (int number = 1; number <= 3; ++number)
        requests.onLost(lostAt(number, Millis(100) * number, request));
}

} // namespace

// The load pattern: the request reaches one endpoint after the other at intervals of its run time,
// through three instances, each of which sees one crash.
Test(crashingrequests, a_request_lost_at_three_endpoints_is_blocked_at_all_instances)
{
    std::vector<CrashingRequests> instances(3);
    for (int number = 1; number <= 3; ++number) {
        for (CrashingRequests &instance : instances) {
            instance.onLost(lostAt(number, Millis(70) * number));
            instance.onLost(lostAt(number, Millis(70) * number, "sound-" + std::to_string(number)));
        }
    }
    for (CrashingRequests &instance : instances) {
        cr_assert(instance.blockNewRequests(Start + Millis(1000)).empty());
        const auto blocked = instance.blockNewRequests(Start + Millis(300) + Confirmed);
        cr_assert(blocked.size() == 1U);
        cr_assert(blocked.front().subject == Deadly);
        cr_assert(instance.findBlock("sound-1") == nullptr);
    }
}

Test(crashingrequests, two_crashes_block_nothing)
{
    CrashingRequests requests;
    requests.onLost(lostAt(1, Millis(100)));
    requests.onLost(lostAt(2, Millis(2000)));
    cr_assert(requests.blockNewRequests(Start + Millis(9000)).empty());
}

// A rack fails under a request that many callers of an organisation send, as one that polls.
Test(crashingrequests, copies_of_a_request_that_are_lost_together_block_nothing)
{
    CrashingRequests requests;
    for (int number = 1; number <= 6; ++number)
        requests.onLost(lostAt(number, Millis(100 + 5 * number), "poll"));
    cr_assert(requests.blockNewRequests(Start + Millis(9000)).empty());
    cr_assert(requests.onAnswered("poll", Start + Millis(3000)));
    cr_assert(not(requests.isSuspected("poll")));
}

// The request comes in several copies at a time, each to another endpoint.
Test(crashingrequests, copies_that_are_lost_together_again_and_again_are_blocked)
{
    CrashingRequests requests;
    for (int number = 1; number <= 3; ++number)
        requests.onLost(lostAt(number, Millis(100 + 5 * number)));
    for (int number = 4; number <= 6; ++number)
        requests.onLost(lostAt(number, Millis(4000 + 5 * number)));
    cr_assert(requests.blockNewRequests(Start + Millis(4100) + Confirmed).size() == 1U);
}

Test(crashingrequests, an_answer_clears_the_request)
{
    CrashingRequests requests;
    requests.onLost(lostAt(1, Millis(100)));
    requests.onLost(lostAt(2, Millis(200)));
    cr_assert(requests.onAnswered(Deadly, Start + Millis(250)));
    requests.onLost(lostAt(3, Millis(300)));
    cr_assert(requests.blockNewRequests(Start + Millis(9000)).empty());
    cr_assert(not(requests.onAnswered("another", Start + Millis(9000))));
}

Test(crashingrequests, an_endpoint_that_lives_on_has_not_crashed)
{
    CrashingRequests requests;
    loseOneAfterTheOther(requests);
    cr_assert(requests.onEndpointAlive(endpoint(2), Start + Millis(900)));
    cr_assert(requests.blockNewRequests(Start + Millis(9000)).empty());
}

Test(crashingrequests, a_request_sent_after_the_crash_is_not_suspected)
{
    CrashingRequests requests;
    for (int number = 1; number <= 3; ++number) {
        requests.onLost(lostAt(number, Millis(1000) * number));
        requests.onLost(lostAt(number, Millis(1000) * number + Millis(300), "late"));
    }
    const auto blocked = requests.blockNewRequests(Start + Millis(9000));
    cr_assert(blocked.size() == 1U);
    cr_assert(blocked.front().subject == Deadly);
}

// An instance under load notices late that its connections are closed.
Test(crashingrequests, a_loss_that_is_noticed_late_counts)
{
    CrashingRequests requests;
    for (int number = 1; number <= 3; ++number) {
        LostRequest lost = lostAt(number, Millis(1000) * number);
        requests.onLost(
            {"sound-" + std::to_string(number), lost.endpoint, lost.sentAt, lost.lostAt});
        lost.lostAt += Millis(400);
        requests.onLost(lost);
    }
    cr_assert(requests.blockNewRequests(Start + Millis(9000)).size() == 1U);
}

// A sound request was at two of the endpoints, each time when the deadly one was there too.
Test(crashingrequests, a_blocked_request_explains_its_crashes)
{
    CrashingRequests requests;
    loseOneAfterTheOther(requests);
    requests.onLost(lostAt(2, Millis(200), "unlucky"));
    requests.onLost(lostAt(3, Millis(300), "unlucky"));
    cr_assert(requests.blockNewRequests(Start + Millis(9000)).size() == 1U);
    requests.onLost(lostAt(7, Millis(9000), "unlucky"));
    cr_assert(requests.blockNewRequests(Start + Millis(12'000)).empty());
}

// Guards against prompts that share a part with the request being refused with it.
Test(crashingrequests, one_request_explains_crashes_under_the_parts_of_its_prompt)
{
    CrashingRequests requests;
    loseOneAfterTheOther(requests);
    requests.onLost(lostAt(4, Millis(900), "another"));
    const std::set<Incarnation> crashed{endpoint(1), endpoint(2), endpoint(3)};
    cr_assert(requests.isOneRequestLostAtAll(crashed));
    requests.blockNewRequests(Start + Millis(9000));
    cr_assert(requests.isOneRequestLostAtAll(crashed));
    cr_assert(not(requests.isOneRequestLostAtAll({endpoint(1), endpoint(4)})));
}

// Guards against a block that is tried again and again: each trial may crash an endpoint.
Test(crashingrequests, a_blocked_request_is_tried_twice_at_most)
{
    CrashingRequests requests;
    loseOneAfterTheOther(requests);
    MonoTime now = Start + Millis(2000);
    cr_assert(requests.blockNewRequests(now).size() == 1U);
    for (int trial = 1; trial <= 2; ++trial) {
        now = requests.findBlock(Deadly)->trialAt;
        cr_assert(requests.onTrial(Deadly, now).has_value());
        requests.onLost({Deadly, endpoint(10 + trial), now, now + RunTime});
    }
    cr_assert(requests.findBlock(Deadly)->trialAt > now + std::chrono::hours(11));
    cr_assert(requests.onAnswered(Deadly, now + Millis(100)));
    cr_assert(requests.findBlock(Deadly) == nullptr);
}

Test(crashingrequests, memory_is_bounded)
{
    CrashingRequests requests;
    for (int number = 0; number < 10'000; ++number)
        requests.onLost(lostAt(number, Millis(number), "request-" + std::to_string(number)));
    cr_assert(not(requests.isOneRequestLostAtAll({endpoint(1)})));
    cr_assert(requests.isOneRequestLostAtAll({endpoint(9999)}));
    for (int number = 20'001; number <= 20'003; ++number)
        requests.onLost(lostAt(number, Millis(300 * (number - 20'000) + 10'000)));
    cr_assert(requests.blockNewRequests(Start + Millis(90'000)).size() == 1U);
    requests.blockNewRequests(Start + std::chrono::hours(13));
    cr_assert(not(requests.isSuspected(Deadly)));
    cr_assert(requests.findBlock(Deadly) == nullptr);
}

// Many callers send the same status poll, so that some of its copies are lost at each crash, and no
// endpoint is left to answer it. Guards against the poll being refused with the deadly request.
Test(crashingrequests, a_request_that_was_answered_before_is_not_blocked_with_a_deadly_one)
{
    CrashingRequests requests;
    requests.onAnsweredElsewhere({"poll", Start - Millis(20'000)});
    loseOneAfterTheOther(requests, "poll");
    loseOneAfterTheOther(requests);
    const auto blocked = requests.blockNewRequests(Start + Millis(3000));
    cr_assert(blocked.size() == 1U);
    cr_assert(blocked.front().subject == Deadly);
    cr_assert(not(requests.isSuspected("poll")));
}

// The instance that sent the deadly request is frozen: only the losses of the poll are known.
Test(crashingrequests, a_request_that_was_answered_before_is_blocked_after_more_crashes)
{
    CrashingRequests requests;
    requests.onAnswered("poll", Start);
    loseOneAfterTheOther(requests, "poll");
    cr_assert(requests.blockNewRequests(Start + Millis(3000)).empty());
    for (int number = 4; number <= 6; ++number)
        requests.onLost(lostAt(number, Millis(1000) * number, "poll"));
    cr_assert(requests.blockNewRequests(Start + Millis(9000)).size() == 1U);
}

Test(crashingrequests, others_are_told_now_and_then_that_a_lost_request_was_answered)
{
    CrashingRequests requests;
    cr_assert(not(requests.onLost(lostAt(1, Millis(100))).has_value()));
    requests.onAnswered("poll", Start);
    cr_assert(requests.onLost(lostAt(2, Millis(200), "poll")) == (AnsweredRequest{"poll", Start}));
    cr_assert(not(requests.onLost(lostAt(3, Millis(300), "poll")).has_value()));
    requests.onAnswered("poll", Start + Millis(2000));
    cr_assert(requests.onLost(lostAt(4, Millis(2500), "poll")).has_value());
}

// News of a loss arrive after an answer that followed the crash.
Test(crashingrequests, a_loss_before_the_last_answer_is_not_held_against_the_request)
{
    CrashingRequests requests;
    requests.onAnswered(Deadly, Start + Millis(350));
    loseOneAfterTheOther(requests);
    cr_assert(not(requests.isSuspected(Deadly)));
}

// Endpoints have crashed before this instance was started, but are still listed, and a proxy
// accepts connections for them. Guards against sound requests being blocked that reach what is left
// of them.
Test(crashingrequests, an_instance_that_has_just_started_blocks_nothing_for_earlier_crashes)
{
    CrashingRequests requests(Start);
    for (int round = 0; round < 2; ++round) {
        for (int number = 1; number <= 3; ++number) {
            const MonoTime sentAt = Start + Millis(100) * number + Millis(4000) * round;
            requests.onLost({"sound", endpoint(number), sentAt, sentAt + Millis(2)});
        }
    }
    cr_assert(requests.blockNewRequests(Start + Millis(9000)).empty());
}

// All instances have started again. Guards against a deadly request that reaches endpoints for much
// longer than at first.
Test(crashingrequests, an_instance_that_has_just_started_blocks_a_request_that_ran_for_a_moment)
{
    CrashingRequests requests(Start);
    loseOneAfterTheOther(requests);
    cr_assert(requests.blockNewRequests(Start + Millis(2000)).size() == 1U);
}

Test(crashingrequests, an_instance_that_has_seen_an_answer_since_does_not_take_over_a_block)
{
    CrashingRequests requests;
    requests.onAnswered("poll", Start + Millis(900));
    cr_assert(not(requests.onBlocked({"poll", Start + Millis(800), Start + Millis(60'000), 0})));
    cr_assert(requests.onBlocked({"poll", Start + Millis(1000), Start + Millis(60'000), 0}));
}

Test(answeredrequests, the_latest_answers_are_known)
{
    AnsweredRequests answered;
    for (int number = 0; number < 20'000; ++number)
        answered.onAnswered(std::to_string(number), Start + Millis(number));
    cr_assert(not(answered.lastAnswer("0").has_value()));
    cr_assert(answered.lastAnswer("19999") == Start + Millis(19'999));
    cr_assert(answered.lastAnswer("17000").has_value());
    answered.forgetOld(Start);
    cr_assert(answered.lastAnswer("19999").has_value());
    answered.forgetOld(Start + std::chrono::minutes(3));
    cr_assert(not(answered.lastAnswer("19999").has_value()));
}
