#include "membership/fleetsize.h"
#include "membership/membership.h"
#include "membership/peerlink.h"
#include "membership/taskassignment.h"

#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <csignal>
#include <filesystem>
#include <map>
#include <mutex>
#include <queue>
#include <set>
#include <thread>
#include <unistd.h>
#include <zmq.hpp>

using namespace lavenderhall;

namespace {

/// Simulates several members on a simulated clock; messages are delayed and lost at random by a
/// seed.
class Group
{
public:
    Group(int count, std::uint64_t seed)
        : random(seed)
    {
        for (int index = 0; index < count; ++index)
            this->start(index);
    }

    void start(int index)
    {
        proto::Member member;
        member.mutable_id()->set_name("node-" + std::to_string(index));
        member.mutable_id()->set_incarnation(++this->startCount);
        member.set_host("10.0.0." + std::to_string(index));
        member.set_port(1);
        member.set_region(index % 2 == 0 ? "east" : "west");
        this->instances[index] = std::make_unique<Membership>(
            member, std::vector<Address>{{"10.0.0.0", 1}}, MemberTimings{}, this->random());
    }

    void stop(int index) { this->instances.erase(index); }

    void run(Millis duration)
    {
        const MonoTime end = this->now + duration;
        for (; this->now < end; this->now += Millis(50)) {
            while (!this->inFlight.empty() && this->inFlight.top().deliveredAt <= this->now) {
                const DelayedMessage delayed = this->inFlight.top();
                this->inFlight.pop();
                const auto instance = this->instances.find(delayed.to);
                if (instance != this->instances.end() && !this->paused.contains(delayed.to))
                    this->post(delayed.to, instance->second->onMessage(delayed.message, this->now));
            }
            for (auto &[index, instance] : this->instances) {
                if (!this->paused.contains(index))
                    this->post(index, instance->onTick(this->now));
            }
        }
    }

    /// Returns the number of members that the instance sees alive, without itself.
    std::size_t aliveAt(int index) const { return this->instances.at(index)->alive().size(); }
    /// Whether each instance sees \a count others alive.
    bool allSee(std::size_t count) const
    {
        return std::all_of(
            this->instances.begin(), this->instances.end(),
            [count](const auto &entry) { return entry.second->alive().size() == count; });
    }

    std::map<int, std::unique_ptr<Membership>> instances;
    std::set<int> paused;
    bool areRegionsPartitioned = false;
    std::uint32_t lossPerCent = 0;
    std::uint64_t bytes = 0; ///< sent by all instances

private:
    struct DelayedMessage
    {
        MonoTime deliveredAt;
        int to;
        proto::Envelope message;
        bool operator<(const DelayedMessage &other) const
        {
            return this->deliveredAt > other.deliveredAt;
        }
    };

    /// Delivers the messages of an instance after a random delay, or loses them.
    void post(int from, const std::vector<PeerMessage> &outbox)
    {
        for (const PeerMessage &outgoing : outbox) {
            const int to = std::stoi(outgoing.to.host.substr(outgoing.to.host.rfind('.') + 1));
            this->bytes += outgoing.message.ByteSizeLong();
            const bool isPartitioned = this->areRegionsPartitioned && from % 2 != to % 2;
            if (isPartitioned || this->random(100) < this->lossPerCent)
                continue;
            this->inFlight.push({this->now + Millis(1 + this->random(20)), to, outgoing.message});
        }
    }

    pcg32 random;
    std::uint64_t startCount = 0;
    MonoTime now{Millis(1'000'000)};
    std::priority_queue<DelayedMessage> inFlight;
};

} // namespace

Test(membership, all_members_discover_each_other_through_one_seed)
{
    Group group(16, 1);
    group.run(Millis(15'000));
    cr_assert(group.allSee(15));
}

Test(membership, a_stopped_member_is_detected_and_rejoins_after_a_restart)
{
    Group group(8, 2);
    group.run(Millis(10'000));
    group.stop(3);
    group.run(Millis(20'000));
    cr_assert(group.allSee(6));
    group.start(3);
    group.run(Millis(15'000));
    cr_assert(group.allSee(7));
}

Test(membership, no_member_stays_declared_dead_after_lost_messages_and_short_pauses)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Group group(8, seed);
        group.run(Millis(10'000));
        group.lossPerCent = 10;
        group.paused = {static_cast<int>(seed % 8)};
        group.run(Millis(6000));
        group.paused.clear();
        group.lossPerCent = 0;
        group.run(Millis(25'000));
        cr_assert(group.allSee(7), "seed %lu", static_cast<unsigned long>(seed));
    }
}

Test(membership, members_rediscover_each_other_after_a_partition_between_regions)
{
    Group group(8, 3);
    group.run(Millis(10'000));
    group.areRegionsPartitioned = true;
    group.run(Millis(60'000));
    cr_assert(group.allSee(3));
    group.areRegionsPartitioned = false;
    group.run(Millis(60'000));
    cr_assert(group.allSee(7));
}

Test(membership, a_leaving_member_is_dropped_at_once)
{
    Group group(8, 4);
    group.run(Millis(10'000));
    for (const PeerMessage &outgoing : group.instances.at(2)->leave()) {
        const int to = std::stoi(outgoing.to.host.substr(outgoing.to.host.rfind('.') + 1));
        group.instances.at(to)->onMessage(outgoing.message, MonoTime(Millis(1'010'001)));
    }
    group.stop(2);
    cr_assert(group.aliveAt(0) == 6U);
}

Test(membership, a_member_with_an_address_that_cannot_be_used_gets_no_message)
{
    proto::Member self;
    self.mutable_id()->set_name("self");
    self.set_host("10.0.0.1");
    self.set_port(1);
    Membership membership(self, {}, MemberTimings{}, 1);
    const std::vector<Address> unusable{
        {"", 1},       {"no host", 1},  {"example.org", 1},
        {"10.0.0", 1}, {"10.0.0.2", 0}, {std::string("10.0.0.2\0x", 10), 1}};
    std::vector<PeerMessage> sent;
    const auto receive = [&](const proto::Envelope &message) {
        for (PeerMessage &outgoing : membership.onMessage(message, MonoTime(Millis(1000))))
            sent.push_back(std::move(outgoing));
    };
    proto::Envelope known;
    known.mutable_from()->set_name("known");
    proto::Member &sender = *known.mutable_ping()->add_rumours();
    sender.mutable_id()->set_name("known");
    sender.set_host("10.0.0.9");
    sender.set_port(65'536 + 1);
    receive(known);
    cr_assert(sent.empty());
    sender.set_port(1);
    receive(known);
    cr_assert(sent.size() == 1U);
    sent.clear();
    for (const Address &address : unusable) {
        proto::Envelope ping;
        ping.mutable_from()->set_name("n");
        proto::Member &rumour = *ping.mutable_ping()->add_rumours();
        rumour.mutable_id()->set_name("n");
        rumour.set_host(address.host);
        rumour.set_port(address.port);
        receive(ping);
        proto::Envelope request;
        request.mutable_from()->set_name("known");
        request.mutable_ping_request()->mutable_target()->set_name("n");
        request.mutable_ping_request()->set_host(address.host);
        request.mutable_ping_request()->set_port(address.port);
        receive(request);
    }
    cr_assert(sent.empty());
    cr_assert(membership.alive().size() == 1U);
}

Test(membership, traffic_of_an_instance_does_not_grow_with_the_fleet)
{
    constexpr double BudgetBytesPerSecond = 23'000;
    const auto bytesPerInstanceSecond = [](int count) {
        Group group(count, 5);
        group.run(Millis(60'000));
        group.bytes = 0;
        group.run(Millis(20'000));
        return static_cast<double>(group.bytes) / count / 20;
    };
    cr_assert(bytesPerInstanceSecond(128) < BudgetBytesPerSecond / 10);
}

namespace {

constexpr std::size_t CurveKeyTextBytes = 41; // Z85 text of 40 characters and a null byte

struct CurveKeyPair
{
    std::array<char, CurveKeyTextBytes> publicKey{};
    std::array<char, CurveKeyTextBytes> secretKey{};
    CurveKeyPair() { zmq_curve_keypair(this->publicKey.data(), this->secretKey.data()); }
    LinkKeys keys() const { return {this->publicKey.data(), this->secretKey.data()}; }
};

proto::Envelope pingFrom(const std::string &name)
{
    proto::Envelope message;
    message.mutable_from()->set_name(name);
    message.mutable_ping()->set_number(7);
    return message;
}

/// A link that records the senders of the messages that it receives.
struct Listener
{
    std::mutex mutex;
    std::vector<std::string> senders;
    PeerLink link;

    Listener(std::uint16_t port, const LinkKeys &keys)
        : link({"127.0.0.1", port}, keys, [this](const proto::Envelope &message) {
            const std::lock_guard lock(this->mutex);
            this->senders.push_back(message.from().name());
        })
    { }

    /// Waits up to 2 s for \a count messages; false if fewer have arrived by then.
    bool waitFor(std::size_t count)
    {
        for (int round = 0; round < 100; ++round) {
            {
                const std::lock_guard lock(this->mutex);
                if (this->senders.size() >= count)
                    return true;
            }
            std::this_thread::sleep_for(Millis(20));
        }
        return false;
    }
};

} // namespace

// Signals arrive at any thread while it waits or sends. Guards against a process that ends by
// itself when it is continued after a pause, or stopped.
Test(peerlink, signals_do_not_end_the_process)
{
    struct sigaction ignore = {};
    ignore.sa_handler = [](int) {};
    sigaction(SIGUSR1, &ignore, nullptr);
    Listener listener(18701, {});
    Listener sender(18702, {});
    std::atomic<bool> isOver = false;
    std::thread signals([&isOver] {
        for (int round = 0; round < 500; ++round) {
            for (const auto &task : std::filesystem::directory_iterator("/proc/self/task"))
                tgkill(getpid(), std::stoi(task.path().filename().string()), SIGUSR1);
            std::this_thread::sleep_for(Millis(1)); // leaves time for the interrupted calls
        }
        isOver = true;
    });
    while (!isOver)
        sender.link.send({"127.0.0.1", 18701}, pingFrom("friend"));
    signals.join();
    cr_assert(listener.waitFor(1));
}

Test(peerlink, delivers_messages_and_refuses_unknown_keys_and_malformed_messages)
{
    const CurveKeyPair fleet;
    const CurveKeyPair foreign;
    Listener listener(18701, fleet.keys());
    Listener trusted(18702, fleet.keys());
    Listener untrusted(18703, {fleet.publicKey.data(), foreign.secretKey.data()});
    trusted.link.send({"127.0.0.1", 18701}, pingFrom("friend"));
    untrusted.link.send({"127.0.0.1", 18701}, pingFrom("stranger"));
    proto::Envelope nameless;
    nameless.mutable_ping();
    trusted.link.send({"127.0.0.1", 18701}, nameless);
    trusted.link.send({"127.0.0.1", 18701}, pingFrom("friend"));
    cr_assert(listener.waitFor(2));
    cr_assert(listener.senders == std::vector<std::string>({"friend", "friend"}));
    cr_assert(listener.link.counts().malformedRefused == 1U);

    // A client with its own key pair that knows only the fleet's public key.
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::curve_serverkey, fleet.publicKey.data());
    socket.set(zmq::sockopt::curve_publickey, foreign.publicKey.data());
    socket.set(zmq::sockopt::curve_secretkey, foreign.secretKey.data());
    socket.connect("tcp://127.0.0.1:18701");
    socket.send(zmq::buffer(pingFrom("stranger").SerializeAsString()), zmq::send_flags::none);
    for (int round = 0; round < 100 && listener.link.counts().unauthenticatedRefused == 0; ++round)
        std::this_thread::sleep_for(Millis(20));
    cr_assert(listener.link.counts().unauthenticatedRefused > 0U);
    cr_assert(listener.senders.size() == 2U);
}

Test(membership, a_member_that_begins_to_leave_stays_alive_and_is_seen_as_leaving)
{
    Group group(3, 6);
    group.run(Millis(10'000));
    group.instances.at(2)->beginLeaving();
    group.run(Millis(3000));
    for (const int index : {0, 1}) {
        const auto alive = group.instances.at(index)->alive();
        const auto leaving = std::count_if(alive.begin(), alive.end(),
                                           [](const auto &member) { return member.leaving(); });
        cr_assert(alive.size() == 2U);
        cr_assert(leaving == 1);
    }
}

// Each task is assigned to the wanted number of instances, the tasks are spread over the fleet, and
// when an assigned instance leaves, the other one stays assigned.
Test(taskassignment, a_task_is_assigned_to_a_few_instances_that_all_agree_on)
{
    std::vector<std::string> names;
    for (int number = 0; number < 28; ++number)
        names.push_back("front-" + std::to_string(number));
    const auto assignedInstances
        = [](const std::vector<std::string> &alive, const std::string &task) {
              std::vector<std::string> result;
              for (const std::string &name : alive) {
                  std::vector<std::string> others = alive;
                  std::erase(others, name);
                  if (isAssigned(name, others, task, 2))
                      result.push_back(name);
              }
              return result;
          };
    std::set<std::string> assigned;
    for (int task = 0; task < 40; ++task) {
        const std::string name = "task " + std::to_string(task);
        const auto before = assignedInstances(names, name);
        cr_assert(before.size() == 2U);
        assigned.insert(before.begin(), before.end());
        std::vector<std::string> remaining = names;
        std::erase(remaining, before.front());
        const auto after = assignedInstances(remaining, name);
        cr_assert(after.size() == 2U);
        cr_assert(std::find(after.begin(), after.end(), before.back()) != after.end());
    }
    cr_assert(assigned.size() > names.size() / 2);
    cr_assert(isAssigned("alone", {}, "task", 1));
}

// 86 instances that start together must not exceed a budget that each divides by the fleet size:
// neither before they have discovered each other, nor later, nor when some are cut off from the
// rest.
Test(fleetsize, shares_never_add_up_to_more_than_the_budget)
{
    constexpr std::size_t Instances = 86;
    const MonoTime start{};
    std::vector<FleetSize> sizes(Instances, FleetSize(start));
    const auto sum = [&](Millis after) {
        double total = 0;
        for (const FleetSize &size : sizes)
            total += 1.0 / static_cast<double>(size.upperBound(start + after));
        return total;
    };
    cr_assert(sum(Millis(0)) <= 1);
    for (FleetSize &size : sizes)
        size.onAliveCount(Instances);
    cr_assert(sum(Millis(10'000)) <= 1 + 1e-9);
    for (FleetSize &size : sizes)
        size.onAliveCount(3);
    cr_assert(sum(Millis(60'000)) <= 1 + 1e-9);
}
