#include "forward/crashmonitor.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <memory>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr Millis TickInterval{100};
constexpr Millis RunTime{60};
constexpr std::size_t Instances = 3;

Incarnation endpoint(int number)
{
    return {"endpoint-" + std::to_string(number), 1};
}

ForwardRequest requestWith(const std::string &body)
{
    ForwardRequest request;
    request.method = http::Method::Post;
    request.host = "h.example";
    request.path = "/read/x";
    request.body = body;
    return request;
}

/// Three instances, the first of which sends trials. What they tell each other arrives at once.
class Group
{
public:
    Group()
    {
        for (std::size_t index = 0; index < Instances; ++index)
            this->monitors.push_back(std::make_unique<CrashMonitor>(this->hooksOf(index)));
        this->run(Millis(2000)); // until nothing of an earlier time may wait to be read
    }

    CrashMonitor &at(std::size_t index) { return *this->monitors[index]; }

    /// Lets time pass.
    void run(Millis duration)
    {
        const MonoTime end = this->now + duration;
        for (; this->now < end; this->now += TickInterval) {
            for (const auto &monitor : this->monitors)
                monitor->onTick(this->now);
        }
    }

    /// The endpoint crashes under a request that came to the instance.
    void crash(int number, std::size_t index, const RequestSignature &request)
    {
        this->at(index).onAttemptLost(endpoint(number), request, this->now - RunTime, this->now);
    }

    MonoTime now = Start;
    int blockCalls = 0; ///< calls of onNewBlocks at all instances

private:
    CrashMonitorHooks hooksOf(std::size_t index)
    {
        CrashMonitorHooks hooks;
        hooks.broadcast = [this, index](const proto::CrashNews &news) {
            for (std::size_t other = 0; other < this->monitors.size(); ++other) {
                if (other != index)
                    this->at(other).onNews(news, this->now);
            }
        };
        hooks.isTeller = [index] { return index == 0; };
        hooks.isTrialInstance = [index](const std::string &) { return index == 0; };
        hooks.onNewBlocks = [this] { ++this->blockCalls; };
        return hooks;
    }

    std::vector<std::unique_ptr<CrashMonitor>> monitors;
};

} // namespace

// The load pattern: the request comes to another instance each time, and each of them sees one
// endpoint crash.
Test(crashmonitor, a_request_is_blocked_on_what_all_instances_have_seen)
{
    const ForwardRequest request = requestWith("deadly");
    const ForwardRequest another = requestWith("sound");
    Group group;
    for (std::size_t index = 0; index < Instances; ++index) {
        group.crash(static_cast<int>(index), index, RequestSignature(request, "org"));
        group.run(Millis(200));
    }
    group.run(Millis(1300));
    for (std::size_t index = 0; index < Instances; ++index) {
        const CrashMonitor &monitor = group.at(index);
        const RequestSignature deadly(request, "org");
        cr_assert(monitor.blockReason(deadly) == std::string("crashing_request"));
        cr_assert(monitor.refusedUntil(deadly, group.now).has_value());
        cr_assert(
            not(monitor.refusedUntil(RequestSignature(another, "org"), group.now).has_value()));
        cr_assert(
            not(monitor.refusedUntil(RequestSignature(request, "another"), group.now).has_value()));
    }
    cr_assert(group.blockCalls == static_cast<int>(Instances));
}

Test(crashmonitor, an_answer_at_one_instance_clears_a_request_at_all)
{
    const ForwardRequest request = requestWith("sound");
    const RequestSignature signature(request, "org");
    Group group;
    group.crash(1, 0, signature);
    group.crash(2, 1, signature);
    group.run(Millis(300));
    group.at(2).onAnswerBegun(endpoint(9), signature, group.now);
    group.run(Millis(300));
    group.crash(3, 0, signature);
    group.run(Millis(3000));
    for (std::size_t index = 0; index < Instances; ++index)
        cr_assert(group.at(index).blockReason(signature) == nullptr);
}

// Guards against each instance trying by itself, and against trials without end.
Test(crashmonitor, one_instance_tries_a_blocked_request_and_all_are_told)
{
    const ForwardRequest request = requestWith("deadly");
    const RequestSignature signature(request, "org");
    Group group;
    for (int number = 0; number < 3; ++number) {
        group.crash(number, 0, signature);
        group.run(Millis(200));
    }
    group.run(Millis(70'000));
    cr_assert(group.at(1).refusedUntil(signature, group.now).has_value());
    cr_assert(not(group.at(0).refusedUntil(signature, group.now).has_value()));
    group.at(0).onSent(signature, group.now);
    group.run(Millis(1500));
    for (std::size_t index = 0; index < Instances; ++index) {
        const auto until = group.at(index).refusedUntil(signature, group.now);
        cr_assert(until > group.now + Millis(60'000));
    }
}

// One request is lost again and again. Guards against other prompts with its parts being refused.
Test(crashmonitor, a_prompt_that_shares_parts_with_a_blocked_request_is_sent)
{
    ForwardRequest request = requestWith("deadly");
    request.model = "loom";
    request.parts = {{"session", 100}, {"own", 10}};
    ForwardRequest beside = requestWith("sound");
    beside.model = "loom";
    beside.parts = {{"session", 100}, {"other", 10}};
    Group group;
    for (int number = 0; number < 3; ++number) {
        group.crash(number, 0, RequestSignature(request, "org"));
        group.run(Millis(400));
    }
    group.run(Millis(1300));
    cr_assert(group.at(1).blockReason(RequestSignature(request, "org")) != nullptr);
    cr_assert(group.at(1).blockReason(RequestSignature(beside, "org")) == nullptr);
}
