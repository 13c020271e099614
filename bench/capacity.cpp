#include "admission/controller.h"
#include "base/digest.h"
#include "config/publish.h"
#include "config/tracker.h"
#include "forward/endpointselector.h"
#include "identity/keyring.h"
#include "limits/lender.h"
#include "membership/membership.h"
#include "placement/endpointranking.h"
#include "streams/relay.h"

#include <fstream>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <queue>

/// Measures for docs/CAPACITY.md what each part of the router costs at several sizes, and prints
/// one JSON object a line. The code of several instances runs in this one process without sockets;
/// bytes are those of the serialised messages.
using namespace lavenderhall;

namespace {

constexpr int WarmUpSeconds = 60; // on the virtual clock
constexpr int MeasuredSeconds = 30; // on the virtual clock
constexpr int Repeats = 2000;
constexpr std::int64_t WallMillis = 1'790'000'000'000; // an arbitrary present-day time

/// Returns the mean duration of work(index) over \a repeats calls.
template <typename Work> double microsecondsPer(int repeats, Work &&work)
{
    const auto startedAt = std::chrono::steady_clock::now();
    for (int index = 0; index < repeats; ++index)
        work(index);
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    return std::chrono::duration<double, std::micro>(elapsed).count() / repeats;
}

double heapMegabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

void print(const std::string &what, std::int64_t size, const std::string &unit, double value)
{
    std::cout << Json{{"what", what}, {"size", size}, {"unit", unit}, {"value", value}}.dump()
              << std::endl;
}

/// Measures the failure detection among \a count instances on a virtual clock, with message delays
/// of one tick of 100 ms.
void measureMembership(int count)
{
    std::map<std::string, std::unique_ptr<Membership>> instances;
    for (int index = 0; index < count; ++index) {
        proto::Member member;
        member.mutable_id()->set_name("instance-" + std::to_string(index));
        member.mutable_id()->set_incarnation(newIncarnation(WallMillis, 1));
        member.set_host("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250));
        member.set_port(8221);
        member.set_region(index % 2 == 0 ? "region-one" : "region-two");
        member.set_zone("zone-" + std::to_string(index % 6));
        const std::string address = Address{member.host(), 8221}.toString();
        instances[address]
            = std::make_unique<Membership>(member, std::vector<Address>{{"10.0.0.0", 8221}},
                                           MemberTimings{}, static_cast<std::uint64_t>(index) + 1);
    }
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    MonoTime now{std::chrono::seconds(1000)};
    std::vector<PeerMessage> inTransit;
    const auto run = [&](int seconds) {
        for (int step = 0; step < seconds * 10; ++step, now += Millis(100)) {
            std::vector<PeerMessage> nextInTransit;
            const auto enqueue = [&](std::vector<PeerMessage> actions) {
                for (PeerMessage &action : actions) {
                    bytes += action.message.ByteSizeLong();
                    ++messages;
                    nextInTransit.push_back(std::move(action));
                }
            };
            for (const PeerMessage &action : inTransit) {
                const auto instance = instances.find(action.to.toString());
                if (instance != instances.end())
                    enqueue(instance->second->onMessage(action.message, now));
            }
            for (auto &[address, instance] : instances)
                enqueue(instance->onTick(now));
            inTransit = std::move(nextInTransit);
        }
    };
    run(WarmUpSeconds);
    bytes = 0;
    messages = 0;
    const auto startedAt = std::chrono::steady_clock::now();
    run(MeasuredSeconds);
    const double elapsed
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    const double instanceSeconds = static_cast<double>(count) * MeasuredSeconds;
    // Each message is sent by one instance and received by another: both directions count.
    print("membership", count, "B/s a node", 2 * static_cast<double>(bytes) / instanceSeconds);
    print("membership", count, "messages/s a node",
          2 * static_cast<double>(messages) / instanceSeconds);
    print("membership", count, "% of a core a node", 100 * elapsed / instanceSeconds);
}

/// Returns a configuration with \a count organisations of one key each.
Document documentWithOrganisations(int count)
{
    Document document;
    document.regions = {{"region-one", 1}, {"region-two", 1}};
    for (int index = 0; index < count; ++index) {
        const std::string name = "organisation-" + std::to_string(100'000 + index);
        document.organisations.push_back({name, 1000, 20'000, {{name + "-key", sha256Hex(name)}}});
    }
    return document;
}

/// Measures the heap that a configuration needs, the time of its activation and the size of its
/// chunks.
void measureConfiguration(int organisations)
{
    const double heapBefore = heapMegabytes();
    ConfigTracker tracker;
    const ChunkedDocument chunked = splitDocument(documentWithOrganisations(organisations));
    tracker.offerRoot(nextRoot({}, chunked.order, "bench"));
    for (const auto &[digest, text] : chunked.chunks)
        tracker.offerChunk(text);
    const double micros = microsecondsPer(1, [&](int) { tracker.activatePending(); });
    const Keyring keyring(tracker.active()->document);
    Lender lender("region-one", {});
    const Document &active = tracker.active()->document;
    lender.configure(active.regions, active.organisations, MonoTime{});
    print("configuration", organisations, "MB of heap", heapMegabytes() - heapBefore);
    print("configuration", organisations, "ms to put in force", micros / 1000);
    std::size_t largest = 0;
    std::size_t total = 0;
    for (const auto &[digest, text] : chunked.chunks) {
        largest = std::max(largest, text.size());
        total += text.size();
    }
    print("configuration", organisations, "KB of the largest chunk",
          static_cast<double>(largest) / 1e3);
    print("configuration", organisations, "KB a change of one organisation",
          static_cast<double>(total) / static_cast<double>(chunked.order.size()) / 1e3);
}

/// Measures one loan and its settlement in an account that remembers \a settledLoans earlier ones.
void measureLending(int settledLoans)
{
    Account account(1e9, 1e9, 1e9, MonoTime{});
    MonoTime now{std::chrono::seconds(1)};
    std::uint64_t loanNumber = 0;
    const auto lend = [&](int) {
        now += Micros(10);
        ++loanNumber;
        account.lend({1, loanNumber}, 100, now + Millis(1000), now);
        account.settle({1, loanNumber}, 100, now);
    };
    for (int index = 0; index < settledLoans; ++index)
        lend(index);
    print("limits", settledLoans, "us a loan and its end", microsecondsPer(Repeats, lend));
}

/// Measures the bytes of all limit messages for one request.
void measureLimitMessages()
{
    proto::Envelope envelope;
    *envelope.mutable_from() = processId("instance-100", newIncarnation(WallMillis, 1));
    envelope.set_wall_ms(WallMillis);
    proto::Envelope borrow = envelope;
    borrow.mutable_borrow()->set_loan(1'000'000);
    borrow.mutable_borrow()->set_region("region-one");
    borrow.mutable_borrow()->set_organisation("organisation-100000");
    borrow.mutable_borrow()->set_tokens(5000);
    proto::Envelope loan = envelope;
    loan.mutable_loan()->set_loan(1'000'000);
    loan.mutable_loan()->set_region("region-one");
    loan.mutable_loan()->set_tokens(5000);
    proto::Envelope settle = envelope;
    settle.mutable_settle()->set_loan(1'000'000);
    settle.mutable_settle()->set_region("region-one");
    settle.mutable_settle()->set_organisation("organisation-100000");
    settle.mutable_settle()->set_spent(5000);
    // A request sends borrow, settle and refund, and receives a loan. A refund is counted
    // as a settle, which has about the same size.
    const auto bytes = borrow.ByteSizeLong() + loan.ByteSizeLong() + 2 * settle.ByteSizeLong();
    print("limits", 1, "B a request", static_cast<double>(bytes));
}

/// Measures the choice among \a engines engines for a prompt of twelve blocks, eight of them
/// shared.
void measureChoice(int engines)
{
    Document document;
    document.regions = {{"region-one", 1}, {"region-two", 1}};
    document.models.push_back({"model", "v1", {}});
    for (int index = 0; index < engines; ++index) {
        Endpoint endpoint;
        endpoint.name = "engine-" + std::to_string(1000 + index);
        endpoint.region = index % 2 == 0 ? "region-one" : "region-two";
        endpoint.models = {"model"};
        endpoint.slots = 16;
        document.endpoints.push_back(std::move(endpoint));
    }
    Route route;
    route.model = "model";
    EndpointTable endpointTable;
    endpointTable.configure(document);
    PrefixHistory history(50'000, Millis(30'000));
    RankingInput input;
    input.region = "region-one";
    input.now = MonoTime{std::chrono::seconds(1)};
    const Model model = document.models.front();
    const double micros = microsecondsPer(Repeats, [&](int index) {
        input.prefix.assign(12, 0);
        for (std::size_t depth = 0; depth < input.prefix.size(); ++depth)
            input.prefix[depth]
                = hashCombine(depth < 8 ? 1 : static_cast<std::uint64_t>(index), depth);
        input.promptTokens = 25'000;
        const auto candidates = endpointTable.candidates(route, &model, input.now);
        const auto ranked = rankEndpoints(candidates, input, document.placement, history);
        history.onSent(ranked.front().endpoint, input.prefix, input.now);
    });
    print("placement", engines, "us a choice", micros);
}

/// Measures a decision of admission control at \a engines engines, with \a waiting requests that
/// have not begun.
void measureAdmission(int engines, int waiting)
{
    EndpointSelector selector({"zone-0", {{"zone-0", "region-one"}}}, {});
    MonoTime now{std::chrono::seconds(1000)};
    for (int index = 0; index < engines; ++index) {
        RegisteredEndpoint entry;
        entry.id = "engine-" + std::to_string(1000 + index);
        entry.service = "models";
        entry.zone = "zone-0";
        entry.slots = 16;
        selector.onChange({EndpointChange::Kind::Joined, entry});
        selector.onLoadReport(entry.id, {16, 8}, now);
    }
    AdmissionControl control;
    AdmissionSubject subject{"models", "route", "organisation", 0, 12'000};
    for (int index = 0; index < waiting; ++index) {
        subject.rank = index % 4;
        control.onSent(subject);
    }
    const double micros = microsecondsPer(Repeats, [&](int index) {
        subject.rank = index % 4;
        const double draw = static_cast<double>(index) / Repeats;
        control.decide(subject, {4000, Millis(3000), false, selector.load("models", now)}, draw,
                       now);
    });
    print("admission", engines, "us a decision", micros);
}

/// Measures the choice among \a engines engines in the forward dialect, with or without the
/// estimate of their load.
void measureForwardChoice(int engines, bool balances)
{
    EndpointSelector selector({"zone-0", {{"zone-0", "region-one"}, {"zone-1", "region-one"}}}, {});
    if (balances)
        selector.balanceLoad();
    EngineSpec spec;
    spec.cacheTokens = 1'000'000;
    spec.tokenBytes = 35'000;
    spec.linkMbps = 740'000;
    selector.setEngines("models", spec);
    MonoTime now{std::chrono::seconds(1)};
    for (int index = 0; index < engines; ++index) {
        RegisteredEndpoint entry;
        entry.id = "engine-" + std::to_string(1000 + index);
        entry.startMillis = 1;
        entry.service = "models";
        entry.zone = "zone-" + std::to_string(index % 2);
        entry.slots = 16;
        entry.weights = {{"loom", 1}};
        selector.onChange({EndpointChange::Kind::Joined, entry});
        selector.onLoadReport(entry.id, {index % 5, 0}, now);
        if (balances)
            selector.loadEstimate()->onBacklog(
                {entry.id, 1}, "models", {std::int64_t{1000} * (index % 7), 5, 60.0 + index % 60},
                now);
    }
    const double micros = microsecondsPer(Repeats, [&](int index) {
        ChoiceQuery query;
        query.service = "models";
        query.model = "loom";
        query.newestWeights = 1;
        query.randomDraw = static_cast<double>(index % 100) / 100;
        query.chain = buildPromptChain(
            hash64("salt"),
            {{"part-" + std::to_string(index % 50), 6000}, {"own-" + std::to_string(index), 6000}});
        selector.choose(query, now);
    });
    print(balances ? "forward choice, balanced" : "forward choice", engines, "us a choice", micros);
}

/// Measures the heap that a prefix history of \a blocks blocks needs.
void measureHistory(int blocks)
{
    const double heapBefore = heapMegabytes();
    PrefixHistory history(static_cast<std::size_t>(blocks), Millis(30'000));
    for (int index = 0; index < blocks; ++index)
        history.onSent("engine-" + std::to_string(index % 800),
                       {hashCombine(1, static_cast<std::uint64_t>(index))},
                       MonoTime{std::chrono::seconds(1)});
    print("placement", blocks, "B a remembered block",
          1e6 * (heapMegabytes() - heapBefore) / blocks);
}

/// Measures the parsing and relaying of one event of a stream.
void measureRelay()
{
    StreamRelay relay("request");
    std::int64_t eventNumber = 0;
    const std::string data(200, 'x');
    const double micros = microsecondsPer(100'000, [&](int) {
        relay.onBytes("id: request:" + std::to_string(++eventNumber) + "\ndata: " + data + "\n\n");
    });
    print("streams", 1, "us an event, without sockets", micros);
}

} // namespace

int main()
{
    for (const int count : {8, 60, 360})
        measureMembership(count);
    for (const int count : {1000, 5000, 23'000})
        measureConfiguration(count);
    measureLimitMessages();
    for (const int count : {0, 1000, 4000})
        measureLending(count);
    measureAdmission(112, 1000);
    for (const int count : {18, 200, 810})
        measureChoice(count);
    for (const bool balances : {false, true})
        measureForwardChoice(112, balances);
    for (const int count : {10'000, 50'000})
        measureHistory(count);
    measureRelay();
    return 0;
}
