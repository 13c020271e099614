#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

/// An engine with four slots that reports so many waiting requests that a new one cannot begin in
/// the time of its caller.
struct OverloadedFixture : Fixture
{
    OverloadedFixture()
    {
        this->first.onRequest = answerStream;
        this->join(this->first, "models");
        this->selector.onLoadReport("first", {4, 400}, monoNow());
        // Other requests have told lately how long they waited, so that no probe is due.
        const AdmissionSubject subject{"models", "stream", "", 0, 100};
        for (int count = 0; count < 3; ++count) {
            this->control.onSent(subject);
            this->control.onNoFirstEvent(subject, 12'000, Millis(0), false, monoNow());
            this->control.onSent(subject);
            this->control.onFirstEvent(subject, 12'000, Millis(12'000), monoNow());
        }
    }

    AdmissionControl control;
};

} // namespace

// Guards against a request that waits in a queue until its caller's time is up.
Test(forwarderadmission, a_request_that_cannot_begin_in_time_is_refused_at_once)
{
    OverloadedFixture fixture;
    fixture.context.admissionControl = &fixture.control;
    const MonoTime startedAt = monoNow();
    int refused = 0;
    for (int count = 0; count < 5; ++count) {
        const auto result = fixture.call("stream");
        refused += result.response.status == 503 ? 1 : 0;
        if (result.response.status != 503)
            continue;
        const std::string text(http::findHeader(result.response.headers, "retry-after"));
        cr_assert(std::stod(text) > 0.0, "%s", text.c_str());
        cr_assert(std::stod(text) < 4.0 / 3, "%s", text.c_str());
    }
    // One in fifty is sent as a probe.
    cr_assert(refused >= 4, "%d", refused);
    cr_assert(monoNow() - startedAt < Millis(900));
}

// Settings without the platform's feature give the behaviour of before.
Test(forwarderadmission, without_admission_control_the_request_is_sent)
{
    OverloadedFixture fixture;
    cr_assert(fixture.call("stream").response.status == 200);
    cr_assert(fixture.first.exchanges.size() == 1U);
}

// Guards against refusals while most slots are free.
Test(forwarderadmission, a_request_is_sent_where_slots_are_free)
{
    OverloadedFixture fixture;
    fixture.context.admissionControl = &fixture.control;
    fixture.selector.onLoadReport("first", {1, 0}, monoNow());
    for (int count = 0; count < 2; ++count)
        cr_assert(fixture.call("stream").response.status == 200);
}

// The only endpoint asks for a pause. Guards against callers that are sent away although it opens
// soon, and against requests during the pause.
Test(forwarderadmission, requests_wait_for_an_endpoint_that_opens_soon)
{
    OverloadedFixture fixture;
    fixture.context.admissionControl = &fixture.control;
    fixture.selector.onLoadReport("first", {0, 0}, monoNow());
    fixture.selector.onPauseRequested("first", Millis(300), monoNow());
    const MonoTime startedAt = monoNow();
    cr_assert(fixture.call("stream").response.status == 200);
    cr_assert(monoNow() - startedAt >= Millis(300));
    cr_assert(fixture.first.exchanges.size() == 1U);
    cr_assert(fixture.control.queue("models").size() == 0U);
}

// Guards against requests that are held until their time is nearly up.
Test(forwarderadmission, requests_do_not_wait_for_an_endpoint_that_stays_closed)
{
    OverloadedFixture fixture;
    fixture.context.admissionControl = &fixture.control;
    fixture.selector.onPauseRequested("first", Millis(3000), monoNow());
    const MonoTime startedAt = monoNow();
    cr_assert(fixture.call("stream").response.status == 503);
    cr_assert(monoNow() - startedAt < Millis(300));
}

// The instance stops, or the callers leave, while requests wait. Guards against answers that do not
// promise that the request has not run, and against entries that stay in the queue.
Test(forwarderadmission, waiting_requests_are_refused_when_the_instance_stops)
{
    OverloadedFixture fixture;
    fixture.context.admissionControl = &fixture.control;
    fixture.selector.onPauseRequested("first", Millis(1000), monoNow());
    const http::Timer stop = fixture.loop.after(Millis(100), [&] { fixture.forwarder.stopAll(); });
    cr_assert(fixture.call("stream").response.status == 503);
    cr_assert(fixture.control.queue("models").size() == 0U);
    cr_assert(fixture.first.exchanges.empty());
}
