#include "routing/endpointlimits.h"
#include "routing/permitissuer.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <pcg_random.hpp>
#include <random>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
const Incarnation Endpoint{"e", 1};

/// Several instances that send requests to one endpoint which names a limit. What they tell and ask
/// each other takes a while.
class Fleet
{
public:
    static constexpr Millis Delay{30};
    static constexpr Millis AnswerTime{50};
    static constexpr Millis Step{10};

    Fleet(std::size_t instances, double wantedPerSecond, double limit)
        : instances(instances)
        , wantedPerSecond(wantedPerSecond)
        , limit(limit)
    { }

    /// Lets requests come for \a seconds.
    void run(int seconds)
    {
        const MonoTime end = this->now + std::chrono::seconds(seconds);
        for (; this->now < end; this->now += Step) {
            this->deliver();
            std::poisson_distribution<int> arrivals(this->wantedPerSecond * 0.01);
            for (int count = arrivals(this->random); count > 0; --count)
                this->onRequest(this->random(static_cast<unsigned>(this->instances.size())));
        }
    }

    /// The limit that the endpoint names from now on; nothing for none.
    void setLimit(std::optional<double> changed) { this->limit = changed; }
    /// Another instance issues the permits from now on.
    void replaceIssuer() { this->issuer = PermitIssuer(); }

    /// Returns the most requests that reached the endpoint in any time of \a window after \a from.
    std::size_t mostArrivals(Millis window, MonoTime from) const
    {
        std::size_t most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            if (*first < from)
                continue;
            const auto last = std::upper_bound(first, this->arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
    std::size_t arrivalsSince(MonoTime from) const
    {
        return static_cast<std::size_t>(
            this->arrivals.end()
            - std::lower_bound(this->arrivals.begin(), this->arrivals.end(), from));
    }
    MonoTime time() const { return this->now; }

private:
    struct Event
    {
        enum class Kind { Ask, Decision, Answer, News };

        MonoTime at{};
        Kind kind{};
        std::size_t instance = 0;
        PermitDecision decision;
        MonoTime sentAt{};
        std::optional<double> limit;
        NamedLimit known;
    };

    void onRequest(std::size_t instance)
    {
        EndpointLimits &limits = this->instances[instance];
        if (limits.closedUntil(Endpoint) > this->now)
            return; // goes elsewhere
        if (limits.isLimited(Endpoint))
            this->add(Event::Kind::Ask, Delay).instance = instance;
        else
            this->send(instance);
    }

    void send(std::size_t instance)
    {
        this->arrivals.push_back(this->now);
        Event &answer = this->add(Event::Kind::Answer, AnswerTime);
        answer.instance = instance;
        answer.sentAt = this->now;
        answer.limit = this->limit;
    }

    Event &add(Event::Kind kind, Millis delay)
    {
        Event event;
        event.at = this->now + delay;
        event.kind = kind;
        this->events.push_back(event);
        return this->events.back();
    }

    void deliver()
    {
        std::vector<Event> due;
        std::copy_if(this->events.begin(), this->events.end(), std::back_inserter(due),
                     [this](const Event &event) { return event.at <= this->now; });
        std::erase_if(this->events, [this](const Event &event) { return event.at <= this->now; });
        for (const Event &event : due)
            this->deliver(event);
    }

    void deliver(const Event &event)
    {
        EndpointLimits &limits = this->instances[event.instance];
        switch (event.kind) {
        case Event::Kind::Ask: {
            const NamedLimit *known = limits.find(Endpoint);
            Event &decision = this->add(Event::Kind::Decision, Delay);
            decision.instance = event.instance;
            decision.decision = known->isInForce()
                ? this->issuer.decide(Endpoint, known->requestsPerSecond, this->now)
                : PermitDecision{true, Millis(0)};
            return;
        }
        case Event::Kind::Decision:
            if (event.decision.isGranted)
                return this->send(event.instance);
            return limits.onUsedUp(Endpoint, this->now + event.decision.wait);
        case Event::Kind::Answer:
            if (event.limit)
                limits.onNamed(Endpoint, *event.limit, this->now);
            else
                limits.onNoneNamed(Endpoint, event.sentAt);
            return this->tell(event.instance);
        case Event::Kind::News:
            limits.onTold(Endpoint, event.known, this->now);
            return this->tell(event.instance);
        }
    }

    void tell(std::size_t instance)
    {
        const auto news = this->instances[instance].takeNews(Endpoint);
        if (!news)
            return;
        for (std::size_t other = 0; other < this->instances.size(); ++other) {
            if (other == instance)
                continue;
            Event &told = this->add(Event::Kind::News, Delay);
            told.instance = other;
            told.known = *news;
        }
    }

    std::vector<EndpointLimits> instances;
    double wantedPerSecond;
    std::optional<double> limit;
    PermitIssuer issuer;
    MonoTime now = Start;
    std::deque<Event> events;
    std::vector<MonoTime> arrivals;
    pcg32 random{7};
};

/// Returns the requests that may reach an endpoint with \a limit in the four seconds that the users
/// count.
double allowedIn4s(double limit)
{
    return 1.5 * limit * 4 + 5;
}

constexpr Millis CountedWindow{4000};
constexpr Millis Settled{500};

} // namespace

// The load pattern: each of many instances sends a few requests a second to an endpoint whose limit
// is lower than their sum.
Test(endpointlimits, all_instances_together_keep_the_limit_and_use_it)
{
    struct Case
    {
        std::size_t instances;
        double wantedPerSecond;
        double limit;
    };
    for (const Case &pattern : {Case{7, 6, 1.3},
                                {7, 6, 2.5},
                                {95, 33, 1.3},
                                {95, 33, 12},
                                {8, 200, 40},
                                {1, 10, 2},
                                {300, 300, 5}}) {
        constexpr int Seconds = 40;
        Fleet fleet(pattern.instances, pattern.wantedPerSecond, pattern.limit);
        fleet.run(Seconds);
        const std::size_t most = fleet.mostArrivals(CountedWindow, Start + Settled);
        cr_assert(static_cast<double>(most) <= allowedIn4s(pattern.limit),
                  "%zu instances, limit %g: %zu", pattern.instances, pattern.limit, most);
        const auto used = static_cast<double>(fleet.arrivalsSince(Start + Settled));
        cr_assert(used >= 0.6 * pattern.limit * Seconds, "%zu instances, limit %g: %g",
                  pattern.instances, pattern.limit, used);
    }
}

// The instance that issues permits fails, and the next one knows nothing of those that were issued.
Test(endpointlimits, a_new_issuer_does_not_issue_permits_twice)
{
    Fleet fleet(7, 20, 3);
    for (int second = 0; second < 30; second += 2) {
        fleet.run(2);
        fleet.replaceIssuer();
    }
    const std::size_t most = fleet.mostArrivals(CountedWindow, Start + Settled);
    cr_assert(static_cast<double>(most) <= allowedIn4s(3), "%zu", most);
}

Test(endpointlimits, an_endpoint_that_names_no_limit_any_more_is_used_again_soon)
{
    for (const double limit : {1.5, 0.0}) {
        Fleet fleet(7, 20, limit);
        fleet.run(20);
        fleet.setLimit(std::nullopt);
        fleet.run(8);
        const MonoTime recovered = fleet.time();
        fleet.run(5);
        cr_assert(fleet.arrivalsSince(recovered) > 70U, "limit %g: %zu", limit,
                  fleet.arrivalsSince(recovered));
    }
}

Test(endpointlimits, a_lower_limit_replaces_a_higher_one_at_all_instances)
{
    Fleet fleet(20, 60, 20);
    fleet.run(10);
    fleet.setLimit(2);
    const MonoTime lowered = fleet.time();
    fleet.run(20);
    const std::size_t most = fleet.mostArrivals(CountedWindow, lowered + CountedWindow);
    cr_assert(static_cast<double>(most) <= allowedIn4s(2), "%zu", most);
}

// Answers overtake each other: one that was begun before the endpoint was overloaded arrives last.
Test(endpointlimits, an_answer_to_an_earlier_request_does_not_end_a_limit)
{
    EndpointLimits limits;
    limits.onNamed(Endpoint, 2, Start);
    limits.onNoneNamed(Endpoint, Start - Millis(5));
    cr_assert(limits.isLimited(Endpoint));
    limits.onNoneNamed(Endpoint, Start + Millis(5));
    cr_assert(not(limits.isLimited(Endpoint)));
    limits.onNamed(Endpoint, 2, Start + Millis(10));
    cr_assert(limits.isLimited(Endpoint));
}

// Instances hear of a limit and of its end in either order.
Test(endpointlimits, news_are_merged_in_any_order)
{
    const NamedLimit named{2, Start, {}};
    const NamedLimit lifted{2, Start, Start + Millis(50)};
    EndpointLimits first;
    first.onTold(Endpoint, named, Start);
    first.onTold(Endpoint, lifted, Start);
    EndpointLimits second;
    second.onTold(Endpoint, lifted, Start);
    second.onTold(Endpoint, named, Start);
    cr_assert(not(first.isLimited(Endpoint)));
    cr_assert(not(second.isLimited(Endpoint)));
    cr_assert(not(first.takeNews(Endpoint).has_value()));
}

// An instance has seen the limit named after the request was sent whose answer another one tells
// of.
Test(endpointlimits, an_instance_that_knows_better_contradicts)
{
    EndpointLimits limits;
    limits.onNamed(Endpoint, 2, Start + Millis(100));
    cr_assert(limits.takeNews(Endpoint).has_value());
    cr_assert(not(limits.takeNews(Endpoint).has_value()));
    EndpointLimits late;
    late.onTold(Endpoint, {2, Start, Start + Millis(50)}, Start);
    late.onNamed(Endpoint, 2, Start + Millis(100));
    cr_assert(late.takeNews(Endpoint) == (NamedLimit{2, Start + Millis(100), Start + Millis(50)}));
}

Test(endpointlimits, a_limit_ends_with_the_incarnation_that_named_it)
{
    EndpointLimits limits;
    limits.onNamed(Endpoint, 0, Start);
    limits.onUsedUp(Endpoint, Start + Millis(2000));
    cr_assert(limits.closedUntil(Endpoint) == Start + Millis(2000));
    cr_assert(limits.closedUntil({"e", 2}) == MonoTime{});
    limits.onNoneNamed(Endpoint, Start + Millis(1));
    cr_assert(limits.closedUntil(Endpoint) == MonoTime{});
}

Test(endpointlimits, memory_is_bounded)
{
    EndpointLimits limits;
    for (int number = 0; number < 20'000; ++number)
        limits.onNamed({"e", number}, 1, Start + Millis(number));
    cr_assert(limits.find({"e", 1}) == nullptr);
    cr_assert(limits.isLimited({"e", 19'999}));
}
