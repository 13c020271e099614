#include "base/digest.h"
#include "config/publish.h"
#include "config/tracker.h"
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

/// Slopes for docs/CAPACITY.md, one JSON object a line: what a duty costs at several sizes. Logic
/// of several instances runs in this one process; bytes are those of the real messages.
using namespace lavenderhall;

namespace {

constexpr int WarmUpSeconds = 60;
constexpr int MeasuredSeconds = 30;
constexpr int Repeats = 2000;

template <typename Work> double microsecondsPer(int repeats, Work &&work)
{
    const auto began = std::chrono::steady_clock::now();
    for (int index = 0; index < repeats; ++index)
        work(index);
    const auto spent = std::chrono::steady_clock::now() - began;
    return std::chrono::duration<double, std::micro>(spent).count() / repeats;
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

/// Membership of \a count instances on a virtual clock.
void measureMembership(int count)
{
    std::map<std::string, std::unique_ptr<Membership>> nodes;
    for (int index = 0; index < count; ++index) {
        proto::Member member;
        member.mutable_id()->set_name("instance-" + std::to_string(index));
        member.mutable_id()->set_incarnation(newIncarnation(1'790'000'000'000, 1));
        member.set_host("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250));
        member.set_port(8221);
        member.set_region(index % 2 == 0 ? "region-one" : "region-two");
        member.set_zone("zone-" + std::to_string(index % 6));
        const std::string address = Address{member.host(), 8221}.toString();
        nodes[address]
            = std::make_unique<Membership>(member, std::vector<Address>{{"10.0.0.0", 8221}},
                                           MemberTimings{}, static_cast<std::uint64_t>(index) + 1);
    }
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    MonoTime now{std::chrono::seconds(1000)};
    std::vector<PeerMessage> flying;
    const auto run = [&](int seconds) {
        for (int step = 0; step < seconds * 10; ++step, now += Millis(100)) {
            std::vector<PeerMessage> next;
            const auto take = [&](std::vector<PeerMessage> actions) {
                for (PeerMessage &action : actions) {
                    bytes += action.message.ByteSizeLong();
                    ++messages;
                    next.push_back(std::move(action));
                }
            };
            for (const PeerMessage &action : flying) {
                const auto node = nodes.find(action.to.toString());
                if (node != nodes.end())
                    take(node->second->onMessage(action.message, now));
            }
            for (auto &[address, node] : nodes)
                take(node->onTick(now));
            flying = std::move(next);
        }
    };
    run(WarmUpSeconds);
    bytes = 0;
    messages = 0;
    const auto began = std::chrono::steady_clock::now();
    run(MeasuredSeconds);
    const double spent
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    const double nodeSeconds = static_cast<double>(count) * MeasuredSeconds;
    // Each message is sent by one instance and received by another: both directions count.
    print("membership", count, "B/s a node", 2 * static_cast<double>(bytes) / nodeSeconds);
    print("membership", count, "messages/s a node",
          2 * static_cast<double>(messages) / nodeSeconds);
    print("membership", count, "% of a core a node", 100 * spent / nodeSeconds);
}

Document organisationsDocument(int count)
{
    Document document;
    document.regions = {{"region-one", 1}, {"region-two", 1}};
    for (int index = 0; index < count; ++index) {
        const std::string name = "organisation-" + std::to_string(100'000 + index);
        document.organisations.push_back({name, 1000, 20'000, {{name + "-key", sha256Hex(name)}}});
    }
    return document;
}

void measureConfiguration(int organisations)
{
    const double before = heapMegabytes();
    ConfigTracker tracker;
    const ChunkedDocument cut = splitDocument(organisationsDocument(organisations));
    tracker.offerRoot(nextRoot({}, cut.order, "bench"));
    for (const auto &[digest, text] : cut.chunks)
        tracker.offerChunk(text);
    const double micros = microsecondsPer(1, [&](int) { tracker.activatePending(); });
    const Keyring keyring(tracker.active()->document);
    Lender lender("region-one", {});
    const Document &active = tracker.active()->document;
    lender.configure(active.regions, active.organisations, MonoTime{});
    print("configuration", organisations, "MB of heap", heapMegabytes() - before);
    print("configuration", organisations, "ms to put in force", micros / 1000);
    std::size_t largest = 0;
    std::size_t total = 0;
    for (const auto &[digest, text] : cut.chunks) {
        largest = std::max(largest, text.size());
        total += text.size();
    }
    print("configuration", organisations, "KB of the largest chunk",
          static_cast<double>(largest) / 1e3);
    print("configuration", organisations, "KB a change of one organisation",
          static_cast<double>(total) / static_cast<double>(cut.order.size()) / 1e3);
}

void measureLending(int inMemory)
{
    Account account(1e9, 1e9, 1e9, MonoTime{});
    MonoTime now{std::chrono::seconds(1)};
    std::uint64_t number = 0;
    const auto lend = [&](int) {
        now += Micros(10);
        ++number;
        account.lend({1, number}, 100, now + Millis(1000), now);
        account.settle({1, number}, 100, now);
    };
    for (int index = 0; index < inMemory; ++index)
        lend(index);
    print("limits", inMemory, "us a loan and its end", microsecondsPer(Repeats, lend));
}

void measureLimitMessages()
{
    proto::Envelope envelope;
    *envelope.mutable_from() = processId("instance-100", newIncarnation(1'790'000'000'000, 1));
    envelope.set_wall_ms(1'790'000'000'000);
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
    // Question, answer, end, and what goes back: four messages of like size.
    const auto bytes = borrow.ByteSizeLong() + loan.ByteSizeLong() + 2 * settle.ByteSizeLong();
    print("limits", 1, "B a request", static_cast<double>(bytes));
}

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
    const double micros = microsecondsPer(Repeats, [&](int round) {
        input.prefix.assign(12, 0);
        for (std::size_t depth = 0; depth < input.prefix.size(); ++depth)
            input.prefix[depth]
                = hashCombine(depth < 8 ? 1 : static_cast<std::uint64_t>(round), depth);
        input.promptTokens = 25'000;
        const auto candidates = endpointTable.candidates(route, &model, input.now);
        const auto ranked = rankEndpoints(candidates, input, document.placement, history);
        history.onSent(ranked.front().endpoint, input.prefix, input.now);
    });
    print("placement", engines, "us a choice", micros);
}

void measureHistory(int blocks)
{
    const double before = heapMegabytes();
    PrefixHistory history(static_cast<std::size_t>(blocks), Millis(30'000));
    for (int index = 0; index < blocks; ++index)
        history.onSent("engine-" + std::to_string(index % 800),
                       {hashCombine(1, static_cast<std::uint64_t>(index))},
                       MonoTime{std::chrono::seconds(1)});
    print("placement", blocks, "B a remembered block", 1e6 * (heapMegabytes() - before) / blocks);
}

void measureRelay()
{
    StreamRelay relay("request");
    std::int64_t number = 0;
    const std::string data(200, 'x');
    const double micros = microsecondsPer(100'000, [&](int) {
        relay.onBytes("id: request:" + std::to_string(++number) + "\ndata: " + data + "\n\n");
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
    for (const int count : {18, 200, 810})
        measureChoice(count);
    for (const int count : {10'000, 50'000})
        measureHistory(count);
    measureRelay();
    return 0;
}
