#include "forward/limitmonitor.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <memory>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
const Incarnation Endpoint{"e", 1};
constexpr std::size_t Issuer = 0;

LimitStatement limitOf(double requestsPerSecond)
{
    return {LimitStatement::Kind::Named, requestsPerSecond, std::to_string(requestsPerSecond)};
}

/// Three instances, the first of which issues the permits. Messages arrive at once unless they are
/// lost.
class Group
{
public:
    Group()
    {
        for (std::size_t index = 0; index < 3; ++index)
            this->instances.push_back(std::make_unique<Instance>(this->hooksOf(index)));
    }

    LimitMonitor &at(std::size_t index) { return this->instances[index]->monitor; }
    EndpointLimits &limitsAt(std::size_t index) { return this->instances[index]->limits; }

    bool losesNews = false;
    bool losesRequests = false;
    MonoTime now = Start;

private:
    struct Instance
    {
        explicit Instance(LimitMonitorHooks hooks)
            : monitor(this->limits, std::move(hooks))
        { }

        EndpointLimits limits;
        LimitMonitor monitor;
    };

    LimitMonitorHooks hooksOf(std::size_t index)
    {
        LimitMonitorHooks hooks;
        hooks.broadcast = [this, index](const proto::LimitNews &news) {
            for (std::size_t other = 0; other < this->instances.size(); ++other) {
                if (other != index && !this->losesNews)
                    this->at(other).onNews(news, this->now);
            }
        };
        hooks.ask = [this, index](const Incarnation &, const proto::PermitRequest &request) {
            proto::ProcessId from;
            from.set_incarnation(index);
            if (!this->losesRequests)
                this->at(Issuer).onPermitRequest(from, request, this->now);
        };
        hooks.answer = [this](const proto::ProcessId &to, const proto::PermitAnswer &answer) {
            this->at(to.incarnation()).onPermitAnswer(answer, this->now);
        };
        return hooks;
    }

    std::vector<std::unique_ptr<Instance>> instances;
};

} // namespace

Test(limitmonitor, all_instances_share_the_permits_of_one_of_them)
{
    Group group;
    group.at(1).onNamed(Endpoint, limitOf(2), group.now);
    int granted = 0;
    for (int step = 0; step < 100; ++step) {
        group.now += Millis(100);
        for (std::size_t index = 0; index < 3; ++index) {
            cr_assert(group.at(index).isLimited(Endpoint));
            if (group.limitsAt(index).closedUntil(Endpoint) > group.now)
                continue;
            const auto count = [&granted](bool isGranted) { granted += isGranted ? 1 : 0; };
            group.at(index).requestPermit(Endpoint, count, group.now);
        }
    }
    cr_assert(granted >= 15, "%d", granted);
    cr_assert(granted <= 22, "%d", granted);
}

// The issuer is frozen. Guards against requests that wait for it until their own time is up.
Test(limitmonitor, a_permit_that_nobody_answers_is_refused_soon)
{
    Group group;
    group.at(1).onNamed(Endpoint, limitOf(2), group.now);
    group.losesRequests = true;
    int refused = 0;
    const auto count = [&refused](bool isGranted) { refused += isGranted ? 0 : 1; };
    group.at(1).requestPermit(Endpoint, count, group.now);
    group.at(1).onTick(group.now + Millis(100));
    cr_assert(refused == 0);
    group.at(1).onTick(group.now + Millis(300));
    cr_assert(refused == 1);
    cr_assert(group.limitsAt(1).closedUntil(Endpoint) > group.now + Millis(300));
    group.at(1).onTick(group.now + Millis(600));
    cr_assert(refused == 1);
}

// News are lost when connections between instances go silent.
Test(limitmonitor, an_instance_that_missed_the_end_of_a_limit_learns_of_it_from_the_issuer)
{
    Group group;
    group.at(1).onNamed(Endpoint, limitOf(0.5), group.now);
    cr_assert(group.at(2).isLimited(Endpoint));
    group.losesNews = true;
    group.now += Millis(1000);
    group.at(Issuer).onNoneNamed(Endpoint, group.now - Millis(10), group.now);
    cr_assert(group.at(2).isLimited(Endpoint));
    bool isGranted = false;
    group.at(2).requestPermit(
        Endpoint, [&isGranted](bool answer) { isGranted = answer; }, group.now);
    cr_assert(isGranted);
    cr_assert(not(group.at(2).isLimited(Endpoint)));
}

Test(limitmonitor, a_malformed_limit_is_told_to_nobody)
{
    Group group;
    group.at(1).onNamed(Endpoint, {LimitStatement::Kind::Malformed, 0, "many"}, group.now);
    for (std::size_t index = 0; index < 3; ++index)
        cr_assert(not(group.at(index).isLimited(Endpoint)));
}

// Guards against a permit of one endpoint that counts for another one, because an answer to an
// earlier process of the instance came late and bore the same number.
Test(limitmonitor, a_late_answer_about_another_endpoint_grants_no_permit)
{
    Group group;
    group.at(1).onNamed(Endpoint, limitOf(10), group.now);
    group.losesRequests = true;
    std::vector<bool> answers;
    group.at(1).requestPermit(
        Endpoint, [&](bool isGranted) { answers.push_back(isGranted); }, group.now);
    proto::PermitAnswer late;
    late.set_number(1);
    late.set_granted(true);
    late.mutable_limit()->set_endpoint("other");
    late.mutable_limit()->set_born_ms(1);
    group.at(1).onPermitAnswer(late, group.now);
    cr_assert(answers.empty());
    late.mutable_limit()->set_endpoint(Endpoint.endpointId);
    late.mutable_limit()->set_born_ms(Endpoint.startMillis);
    group.at(1).onPermitAnswer(late, group.now);
    cr_assert(answers == std::vector<bool>{true});
}
