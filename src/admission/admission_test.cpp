#include "admission/calladmission.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <pcg_random.hpp>
#include <random>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::hours(1)};
constexpr Millis Step{10};

/// A request of the model below.
struct Job
{
    AdmissionSubject subject;
    Millis work{0};
    MonoTime deadline{};
    double predictedMillis = 0;
    MonoTime sentAt{};
};

struct Result
{
    int offered = 0;
    int served = 0;
    int late = 0; ///< sent, and not begun in time
    int refused = 0;

    double share() const
    {
        return this->offered ? static_cast<double>(this->served) / this->offered : 1;
    }
};

/// A service whose endpoints begin the most urgent request first, on a manual clock. It reports its
/// load twice a second. A job occupies a slot for its work.
class Model
{
public:
    explicit Model(std::size_t slots, bool hasAdmission = true)
        : slots(slots)
        , hasAdmission(hasAdmission)
    { }

    void arrive(const AdmissionSubject &subject, Millis work, Millis time)
    {
        Result &result = this->results[subject.kind];
        ++result.offered;
        Job job{subject, work, this->now + time, this->predicted(work), this->now};
        const AdmissionDecision decision = this->control.decide(
            subject, {job.predictedMillis, time, false, this->load()}, this->draw(), this->now);
        if (this->hasAdmission && decision.isRefused()) {
            ++result.refused;
            this->retryAfters.push_back(decision.retryAfter);
            return this->control.onServed(subject, false, this->now);
        }
        this->control.onSent(subject);
        this->waiting.push_back(job);
        ++this->sentSinceReport;
    }

    /// Advances the time by one step.
    void step()
    {
        this->now += Step;
        std::erase_if(this->running, [this](MonoTime end) { return end <= this->now; });
        std::erase_if(this->waiting, [this](const Job &job) {
            if (job.deadline > this->now)
                return false;
            ++this->results[job.subject.kind].late;
            this->control.onNoFirstEvent(job.subject, job.predictedMillis, this->waitedBy(job),
                                         true, this->now);
            this->control.onServed(job.subject, false, this->now);
            return true;
        });
        std::stable_sort(this->waiting.begin(), this->waiting.end(),
                         [](const Job &left, const Job &right) {
                             return left.subject.rank < right.subject.rank;
                         });
        while (this->running.size() < this->slots && !this->waiting.empty()) {
            const Job job = this->waiting.front();
            this->waiting.pop_front();
            this->running.push_back(this->now + job.work);
            ++this->results[job.subject.kind].served;
            this->control.onFirstEvent(job.subject, job.predictedMillis, this->waitedBy(job),
                                       this->now);
            this->control.onServed(job.subject, true, this->now);
        }
        if (this->now - this->reportedAt >= this->reportInterval) {
            this->reportedAt = this->now;
            this->reportedRunning = static_cast<std::int64_t>(this->running.size());
            this->reportedWaiting = static_cast<std::int64_t>(this->waiting.size());
            this->sentSinceReport = 0;
        }
    }

    bool chance(double share) { return this->draw() < share; }

    std::size_t slots;
    Millis reportInterval{500};
    std::map<std::string, Result> results;
    std::vector<Millis> retryAfters;
    MonoTime now = Start;

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    Millis waitedBy(const Job &job) const
    {
        return std::chrono::duration_cast<Millis>(this->now - job.sentAt);
    }
    /// As the selector predicts without speeds that it has learned: 30 ms for each that waits.
    double predicted(Millis work) const
    {
        return static_cast<double>(this->reportedWaiting + this->sentSinceReport) * 30
            / static_cast<double>(std::max<std::size_t>(1, this->slots))
            + static_cast<double>(work.count()) / 10;
    }
    ServiceLoad load() const
    {
        ServiceLoad load;
        load.slots = static_cast<std::int64_t>(this->slots);
        load.taken = this->reportedRunning + this->reportedWaiting + this->sentSinceReport;
        load.waiting = this->reportedWaiting;
        load.newsAge = std::chrono::duration_cast<Millis>(this->now - this->reportedAt);
        load.endpoints = 1;
        return load;
    }

    bool hasAdmission;
    AdmissionControl control;
    pcg32 random{7};
    std::deque<Job> waiting;
    std::vector<MonoTime> running;
    MonoTime reportedAt = Start;
    std::int64_t reportedRunning = 0;
    std::int64_t reportedWaiting = 0;
    std::int64_t sentSinceReport = 0;
};

const AdmissionSubject Urgent{"s", "long", "weavers", 0, 12'000};
const AdmissionSubject Short{"s", "short", "dyers", 2, 2'400};

/// Ten seconds in which twice as many short requests of low priority arrive as the service can run
/// beside the long urgent ones.
Model burst(bool hasAdmission)
{
    Model model(20, hasAdmission);
    for (int step = 0; step < 1000; ++step) {
        if (model.chance(0.2))
            model.arrive(Urgent, Millis(400), Millis(8000));
        if (model.chance(0.95))
            model.arrive(Short, Millis(250), Millis(3000));
        model.step();
    }
    return model;
}

AdmissionInputs saturated()
{
    AdmissionInputs inputs;
    inputs.expectedMillis = 4000;
    inputs.timeLeft = Millis(3000);
    inputs.load = {10, 12, 2, Millis(300), 1, 0};
    return inputs;
}

} // namespace

Test(admission, refuses_only_what_is_known_to_begin_too_late)
{
    cr_assert(startsTooLate(saturated()));
    AdmissionInputs inputs = saturated();
    inputs.expectedMillis = 2000;
    cr_assert(not(startsTooLate(inputs)));
    inputs.backlogMillis = 3500;
    cr_assert(startsTooLate(inputs));
    inputs.backlogMillis = 1500;
    inputs.answerMillis = 1200;
    cr_assert(startsTooLate(inputs));
}

// Guards against refusals while the service has room, on estimates that are too old, and after the
// request may have run, where a refusal would promise that it has not.
Test(admission, sends_with_room_or_with_old_news_or_after_it_may_have_run)
{
    AdmissionInputs roomy = saturated();
    roomy.load.taken = 4;
    roomy.load.waiting = 0;
    cr_assert(not(startsTooLate(roomy)));
    AdmissionInputs old = saturated();
    old.load.newsAge = Millis(2600);
    cr_assert(not(startsTooLate(old)));
    AdmissionInputs unknown = saturated();
    unknown.load.newsAge.reset();
    cr_assert(not(startsTooLate(unknown)));
    AdmissionInputs silent = saturated();
    silent.load.endpoints = 10;
    silent.load.silentEndpoints = 6;
    cr_assert(not(startsTooLate(silent)));
    AdmissionInputs ran = saturated();
    ran.mayHaveRun = true;
    cr_assert(not(startsTooLate(ran)));
}

// The predictions are a tenth of the actual times.
Test(admission, the_estimator_corrects_itself_and_forgets)
{
    StartEstimator estimator;
    MonoTime now = Start;
    for (int count = 0; count < 30; ++count, now += Millis(50)) {
        estimator.onSent(1);
        estimator.onFirstEvent(1, 400, 1600, now);
    }
    cr_assert(estimator.expectedMillis(1, 400, now) > 1300);
    cr_assert(estimator.expectedMillis(1, 400, now) < 1700);
    cr_assert(estimator.expectedMillis(0, 400, now) == 400);
    cr_assert(estimator.expectedMillis(1, 400, now + Millis(10'000)) < 500);
}

// One sent and lost engine's answers must not change what is expected of all others.
Test(admission, an_outlier_moves_the_estimate_little)
{
    StartEstimator estimator;
    estimator.onSent(1);
    estimator.onFirstEvent(1, 100, 30'000, Start);
    cr_assert(estimator.expectedMillis(1, 100, Start) < 120);
}

Test(admission, more_urgent_requests_do_not_wait_for_less_urgent_ones)
{
    StartEstimator estimator;
    MonoTime now = Start;
    for (int count = 0; count < 50; ++count, now += Millis(20)) {
        estimator.onSent(0);
        estimator.onFirstEvent(0, 10, 10, now);
    }
    for (int count = 0; count < 100; ++count)
        estimator.onSent(2);
    cr_assert(estimator.backlogMillis(0, now).value() < 100);
    cr_assert(estimator.backlogMillis(2, now).value() > 1500);
}

// A burst of short requests of low priority beside long urgent ones. Without admission control,
// requests wait until their time is up, and the callers of many get a 504.
Test(admission, a_burst_of_low_priority_is_refused_rather_than_late)
{
    Model without = burst(false);
    Model with = burst(true);
    const Result before = without.results["short"];
    const Result after = with.results["short"];
    cr_assert(before.late > 100, "late %d of %d", before.late, before.offered);
    cr_assert(after.late * 4 < before.late, "late %d, before %d, refused %d", after.late,
              before.late, after.refused);
    cr_assert(after.served * 100 >= before.served * 95, "served %d, before %d", after.served,
              before.served);
    cr_assert(with.results["long"].refused == 0);
    cr_assert(with.results["long"].share() >= without.results["long"].share());
    for (const Millis retryAfter : with.retryAfters)
        cr_assert(retryAfter <= Millis(1000) && retryAfter > Millis(0));
}

// Half of the slots fail and return. Guards against refusals that persist afterwards.
Test(admission, refusals_end_when_capacity_returns)
{
    Model model(40);
    for (int step = 0; step < 3000; ++step) {
        if (step == 500)
            model.slots = 12;
        if (step == 1500)
            model.slots = 40;
        if (step == 1900)
            model.results.clear();
        if (model.chance(0.8))
            model.arrive(Short, Millis(250), Millis(2000));
        model.step();
    }
    const Result after = model.results["short"];
    cr_assert(after.refused == 0, "refused %d of %d", after.refused, after.offered);
    cr_assert(after.share() > 0.98);
}

// Reports stop under overload. Guards against refusals on estimates that nothing renews.
Test(admission, without_news_nothing_is_refused)
{
    Model model(10);
    for (int step = 0; step < 1500; ++step) {
        if (step == 700)
            model.reportInterval = std::chrono::hours(1);
        if (step == 1100)
            model.results.clear();
        if (model.chance(0.95))
            model.arrive(Short, Millis(250), Millis(2000));
        model.step();
    }
    cr_assert(model.results["short"].refused == 0);
}

// All callers of a second are refused at once. Guards against a herd that returns together.
Test(retryafter, returns_are_spread_over_the_room_that_there_is)
{
    ReturnSchedule returns;
    pcg32 random(3);
    std::map<std::int64_t, int> byInterval;
    for (int count = 0; count < 50; ++count) {
        const double draw = std::uniform_real_distribution<double>(0, 1)(random);
        const Millis wait = returns.schedule(10, 100, Millis(2000), draw, Start);
        cr_assert(wait >= Millis(100));
        cr_assert(wait <= Millis(2000));
        ++byInterval[wait / Millis(100)];
    }
    for (const auto &[interval, count] : byInterval)
        cr_assert(count <= 8, "%d callers in interval %d", count, static_cast<int>(interval));
    cr_assert(returns.outstanding(Start) == 50);
    cr_assert(returns.outstanding(Start + Millis(30'000)) == 0);
}

Test(retryafter, without_room_the_time_is_long_and_spread)
{
    ReturnSchedule returns;
    const Millis early = returns.schedule(1000, 10, Millis(900), 0, Start);
    const Millis late = returns.schedule(1000, 10, Millis(900), 1, Start);
    cr_assert(early == Millis(450));
    cr_assert(late == Millis(900));
    cr_assert(returns.schedule(5, 0, Millis(0), 0.5, Start) == Millis(0));
}

// Guards against a kind, an organisation or the large requests of a kind that are always refused.
Test(servedshares, those_that_are_served_too_seldom_are_protected)
{
    ServedShares shares;
    MonoTime now = Start;
    for (int count = 0; count < 200; ++count, now += Millis(20)) {
        const bool isLarge = count % 10 == 0;
        shares.onEnded("all-served", "weavers", 1, isLarge ? 5000 : 100, !isLarge, now);
        shares.onEnded("never-served", "dyers", 1, 100, false, now);
    }
    cr_assert(shares.isProtected("never-served", "", 1, 100, now));
    cr_assert(shares.isProtected("new", "dyers", 1, 100, now));
    cr_assert(shares.isProtected("all-served", "weavers", 1, 6000, now));
    cr_assert(not(shares.isProtected("all-served", "weavers", 1, 100, now)));
    cr_assert(not(shares.isProtected("new", "weavers", 1, 100, now)));
}

// Guards against urgent requests that are served less often than less urgent ones.
Test(servedshares, a_kind_behind_a_less_urgent_one_is_protected)
{
    ServedShares shares;
    MonoTime now = Start;
    for (int count = 0; count < 200; ++count, now += Millis(20)) {
        shares.onEnded("urgent", "", 0, 0, count % 10 < 8, now);
        shares.onEnded("other", "", 1, 0, true, now);
    }
    cr_assert(shares.isProtected("urgent", "", 0, 0, now));
    cr_assert(not(shares.isProtected("other", "", 1, 0, now)));
}
