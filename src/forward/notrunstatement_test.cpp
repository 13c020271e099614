#include "forward/notrunstatement.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <vector>

using namespace lavenderhall;

namespace {

AnswerHead answerOf(int status, NotRunMark mark = NotRunMark::None, bool isSealed = false)
{
    AnswerHead head;
    head.status = status;
    head.requestId = "r1";
    head.notRunMark = mark;
    head.isSealed = isSealed;
    return head;
}

bool isAmong(int status, const std::vector<int> &statuses)
{
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

} // namespace

// Guards against a request that runs at a second endpoint because some part of an answer was taken
// for the whole statement.
Test(notrunstatement, only_an_unsealed_refusal_with_the_mark_states_that_a_request_has_not_run)
{
    for (int status = 200; status < 600; ++status) {
        const bool mayBeMarked = isAmong(status, {400, 408, 421, 429, 503});
        const RunStatement marked = endpointStatement(answerOf(status, NotRunMark::Present), "r1");
        cr_assert(marked == (mayBeMarked ? RunStatement::NotRun : RunStatement::Contradictory));
        const RunStatement plain = endpointStatement(answerOf(status), "r1");
        cr_assert(plain == (status == 421 ? RunStatement::NotRun : RunStatement::MayHaveRun));
        cr_assert(endpointStatement(answerOf(status, NotRunMark::None, true), "r1")
                  == RunStatement::MayHaveRun);
        for (const bool isSealed : {false, true})
            cr_assert(endpointStatement(answerOf(status, NotRunMark::Malformed, isSealed), "r1")
                      == RunStatement::Contradictory);
        cr_assert(endpointStatement(answerOf(status, NotRunMark::Present, true), "r1")
                  == RunStatement::Contradictory);
    }
}

Test(notrunstatement, an_instance_states_it_by_the_status_of_its_own_answer)
{
    for (int status = 200; status < 600; ++status) {
        const bool isPromise = isAmong(status, {408, 421, 429, 503});
        cr_assert(instanceStatement(answerOf(status), "r1")
                  == (isPromise ? RunStatement::NotRun : RunStatement::MayHaveRun));
        cr_assert(instanceStatement(answerOf(status, NotRunMark::None, true), "r1")
                  == RunStatement::MayHaveRun);
        cr_assert(instanceStatement(answerOf(status, NotRunMark::Present, true), "r1")
                  == RunStatement::Contradictory);
    }
}

Test(notrunstatement, an_answer_to_another_request_states_nothing)
{
    for (const char *id : {"", "r", "r11"}) {
        AnswerHead head = answerOf(503, NotRunMark::Present);
        head.requestId = id;
        cr_assert(endpointStatement(head, "r1") == RunStatement::None);
        cr_assert(instanceStatement(head, "r1") == RunStatement::None);
    }
    cr_assert(endpointStatement({}, "r1") == RunStatement::None);
}

Test(notrunstatement, an_answer_with_a_header_twice_states_nothing)
{
    AnswerHead head = answerOf(503, NotRunMark::Present);
    head.repeatedHeader = "request-id";
    cr_assert(endpointStatement(head, "r1") == RunStatement::Contradictory);
    cr_assert(instanceStatement(head, "r1") == RunStatement::Contradictory);
}
