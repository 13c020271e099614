#include "membership/duty.h"
#include "membership/fleetsize.h"
#include "membership/membership.h"
#include "membership/peerlink.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <mutex>
#include <queue>
#include <set>
#include <zmq.hpp>

using namespace lavenderhall;

namespace {

/// Several members' logic on one virtual clock, with messages delayed and lost by a seed.
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
        member.mutable_id()->set_incarnation(++this->starts);
        member.set_host("10.0.0." + std::to_string(index));
        member.set_port(1);
        member.set_region(index % 2 == 0 ? "east" : "west");
        this->nodes[index] = std::make_unique<Membership>(
            member, std::vector<Address>{{"10.0.0.0", 1}}, MemberTimings{}, this->random());
    }

    void stop(int index) { this->nodes.erase(index); }

    void run(Millis duration)
    {
        const MonoTime end = this->now + duration;
        for (; this->now < end; this->now += Millis(50)) {
            while (!this->inFlight.empty() && this->inFlight.top().when <= this->now) {
                const Flight flight = this->inFlight.top();
                this->inFlight.pop();
                const auto node = this->nodes.find(flight.to);
                if (node != this->nodes.end() && !this->paused.contains(flight.to))
                    this->post(flight.to, node->second->onMessage(flight.message, this->now));
            }
            for (auto &[index, node] : this->nodes) {
                if (!this->paused.contains(index))
                    this->post(index, node->onTick(this->now));
            }
        }
    }

    std::size_t aliveAt(int index) const { return this->nodes.at(index)->alive().size(); }
    bool everybodySees(std::size_t count) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [count](const auto &entry) {
            return entry.second->alive().size() == count;
        });
    }

    std::map<int, std::unique_ptr<Membership>> nodes;
    std::set<int> paused;
    bool regionsApart = false;
    std::uint32_t lossPerCent = 0;
    std::uint64_t bytes = 0;

private:
    struct Flight
    {
        MonoTime when;
        int to;
        proto::Envelope message;
        bool operator<(const Flight &other) const { return this->when > other.when; }
    };

    void post(int from, const std::vector<PeerMessage> &actions)
    {
        for (const PeerMessage &action : actions) {
            const int to = std::stoi(action.to.host.substr(action.to.host.rfind('.') + 1));
            this->bytes += action.message.ByteSizeLong();
            const bool isCut = this->regionsApart && from % 2 != to % 2;
            if (isCut || this->random(100) < this->lossPerCent)
                continue;
            this->inFlight.push({this->now + Millis(1 + this->random(20)), to, action.message});
        }
    }

    pcg32 random;
    std::uint64_t starts = 0;
    MonoTime now{Millis(1'000'000)};
    std::priority_queue<Flight> inFlight;
};

} // namespace

Test(members, all_find_each_other_through_one_seed)
{
    Group group(16, 1);
    group.run(Millis(15'000));
    cr_assert(group.everybodySees(15));
}

Test(members, a_dead_member_is_found_and_a_restarted_one_comes_back)
{
    Group group(8, 2);
    group.run(Millis(10'000));
    group.stop(3);
    group.run(Millis(20'000));
    cr_assert(group.everybodySees(6));
    group.start(3);
    group.run(Millis(15'000));
    cr_assert(group.everybodySees(7));
}

Test(members, lost_messages_and_short_pauses_leave_nobody_for_dead_in_the_end)
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
        cr_assert(group.everybodySees(7), "seed %lu", static_cast<unsigned long>(seed));
    }
}

Test(members, regions_apart_see_their_own_and_find_each_other_again)
{
    Group group(8, 3);
    group.run(Millis(10'000));
    group.regionsApart = true;
    group.run(Millis(60'000));
    cr_assert(group.everybodySees(3));
    group.regionsApart = false;
    group.run(Millis(60'000));
    cr_assert(group.everybodySees(7));
}

Test(members, a_leaving_member_is_dropped_at_once)
{
    Group group(8, 4);
    group.run(Millis(10'000));
    for (const PeerMessage &action : group.nodes.at(2)->leave()) {
        const int to = std::stoi(action.to.host.substr(action.to.host.rfind('.') + 1));
        group.nodes.at(to)->onMessage(action.message, MonoTime(Millis(1'010'001)));
    }
    group.stop(2);
    cr_assert(group.aliveAt(0) == 6U);
}

Test(members, traffic_of_a_node_does_not_grow_with_the_fleet)
{
    constexpr double BudgetBytesPerSecond = 23'000;
    const auto bytesPerNodeSecond = [](int count) {
        Group group(count, 5);
        group.run(Millis(60'000));
        group.bytes = 0;
        group.run(Millis(20'000));
        return static_cast<double>(group.bytes) / count / 20;
    };
    cr_assert(bytesPerNodeSecond(128) < BudgetBytesPerSecond / 10);
}

namespace {

struct Curve
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    Curve() { zmq_curve_keypair(this->publicKey.data(), this->secretKey.data()); }
    LinkKeys keys() const { return {this->publicKey.data(), this->secretKey.data()}; }
};

proto::Envelope pingFrom(const std::string &name)
{
    proto::Envelope message;
    message.mutable_from()->set_name(name);
    message.mutable_ping()->set_number(7);
    return message;
}

/// A link that keeps the names of those whose messages arrived.
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

Test(peerlink, carries_messages_and_refuses_strangers_and_malformed_ones)
{
    const Curve fleet;
    const Curve foreign;
    Listener listener(18701, fleet.keys());
    Listener friendly(18702, fleet.keys());
    Listener stranger(18703, {fleet.publicKey.data(), foreign.secretKey.data()});
    friendly.link.send({"127.0.0.1", 18701}, pingFrom("friend"));
    stranger.link.send({"127.0.0.1", 18701}, pingFrom("stranger"));
    proto::Envelope nameless;
    nameless.mutable_ping();
    friendly.link.send({"127.0.0.1", 18701}, nameless);
    friendly.link.send({"127.0.0.1", 18701}, pingFrom("friend"));
    cr_assert(listener.waitFor(2));
    cr_assert(listener.senders == std::vector<std::string>({"friend", "friend"}));
    cr_assert(listener.link.counts().malformedRefused == 1U);

    // A client with a key pair of its own, which knows only the fleet's public key.
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

Test(members, one_that_begins_to_leave_stays_alive_and_is_known_to_take_no_duty)
{
    Group group(3, 6);
    group.run(Millis(10'000));
    group.nodes.at(2)->beginLeaving();
    group.run(Millis(3000));
    for (const int index : {0, 1}) {
        const auto alive = group.nodes.at(index)->alive();
        const auto leaving = std::count_if(alive.begin(), alive.end(),
                                           [](const auto &member) { return member.leaving(); });
        cr_assert(alive.size() == 2U);
        cr_assert(leaving == 1);
    }
}

// Each task falls to as many as wanted, the tasks spread over the fleet, and when one on duty
// leaves, only its place is taken by another.
Test(duty, falls_to_a_few_that_all_agree_on)
{
    std::vector<std::string> names;
    for (int number = 0; number < 28; ++number)
        names.push_back("front-" + std::to_string(number));
    const auto onDuty = [](const std::vector<std::string> &alive, const std::string &task) {
        std::vector<std::string> found;
        for (const std::string &name : alive) {
            std::vector<std::string> others = alive;
            std::erase(others, name);
            if (isOnDuty(name, others, task, 2))
                found.push_back(name);
        }
        return found;
    };
    std::set<std::string> all;
    for (int task = 0; task < 40; ++task) {
        const std::string name = "task " + std::to_string(task);
        const auto before = onDuty(names, name);
        cr_assert(before.size() == 2U);
        all.insert(before.begin(), before.end());
        std::vector<std::string> rest = names;
        std::erase(rest, before.front());
        const auto after = onDuty(rest, name);
        cr_assert(after.size() == 2U);
        cr_assert(std::find(after.begin(), after.end(), before.back()) != after.end());
    }
    cr_assert(all.size() > names.size() / 2);
    cr_assert(isOnDuty("alone", {}, "task", 1));
}

// Eighty-six instances that start together: what they may do in all stays within the whole,
// before they have met and after, also when some of them are cut off from the rest.
Test(fleetsize, shares_add_up_to_less_than_the_whole)
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
