#include "forward/objectreplica.h"
#include "router/objectreplicator.h"
#include "routing/endpointdirectory.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <memory>
#include <pcg_random.hpp>
#include <set>

using namespace lavenderhall;

/// Instances of one region with copies of a store's endpoints, on simulated time.
namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr Millis Step{10};
constexpr Millis StoreDelay{10};
constexpr Millis WatchBatch{500}; ///< between two watch calls, as in ObjectWatcher
/// A request must not reach an endpoint later than this after its entry was removed.
constexpr Millis RemovalBound{2500};
/// What other instances know of the ends and starts of one, as Membership finds it out.
constexpr Millis DeathNoticed{3000};
constexpr Millis StartNoticed{300};
constexpr std::size_t WatcherCount = 2;
constexpr auto Endpoints = ObjectKind::Endpoints;

/// The store, with all its events.
struct SimulatedStore
{
    std::int64_t revision = 10;
    std::map<std::string, std::int64_t> objects; ///< revisions by name
    std::vector<ObjectEvent> history;
    std::map<std::string, MonoTime> removedAt;

    void put(const std::string &name)
    {
        this->objects[name] = ++this->revision;
        this->history.push_back({{name, this->revision, Json(name)}, false});
    }

    void remove(const std::string &name, MonoTime now)
    {
        if (this->objects.erase(name) == 0)
            return;
        this->history.push_back({{name, ++this->revision, Json(name)}, true});
        this->removedAt[name] = now;
    }

    std::vector<StoredObject> list() const
    {
        std::vector<StoredObject> listed;
        for (const auto &[name, changedAt] : this->objects)
            listed.push_back({name, changedAt, Json(name)});
        return listed;
    }
};

/// A message under way.
struct Mail
{
    MonoTime arrivesAt{};
    std::size_t to = 0;
    proto::Envelope message;
};

/// One process, from its start to its end.
class Process
{
public:
    Process(std::size_t number, std::string name, SimulatedStore &store, ReplicatorHooks hooks,
            MonoTime now)
        : number(number)
        , name(std::move(name))
        , store(store)
        , now(now)
        , policy(now)
        , replica({"config", "servers", "versions"}, this->replicaHandlers())
        , replicator(this->objects(), std::move(hooks))
    {
        this->startWatch(false);
    }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void step(MonoTime at)
    {
        this->now = at;
        if (this->isWatching && at >= this->nextCall)
            this->callStore();
        this->replicator.onTick({}, at);
        this->directory.onTick(at);
    }

    void receive(const proto::Envelope &message)
    {
        if (message.has_objects_request())
            this->replicator.onRequest(message);
        else if (message.has_objects_offer())
            this->replicator.onOffer(message);
        else
            this->replicator.onHeartbeat(message, this->now);
    }

    const EndpointDirectory &endpoints() const { return this->directory; }

    const std::size_t number;
    const std::string name;

private:
    ObjectReplicaHandlers replicaHandlers()
    {
        ObjectReplicaHandlers handlers;
        handlers.onEvent = [this](ObjectKind, const ObjectEvent &event) {
            if (event.isDeleted)
                return this->directory.remove(event.object.name, event.object.revision);
            RegisteredEndpoint entry;
            entry.id = event.object.name;
            this->directory.put(entry, event.object.revision);
        };
        handlers.onListed = [this](ObjectKind kind, const std::vector<std::string> &names,
                                   std::int64_t revision, bool wasUnreachable) {
            if (kind == Endpoints)
                this->directory.onListed(names, revision, wasUnreachable, this->now);
        };
        handlers.onBatchEnd = [] {};
        return handlers;
    }

    // Only endpoints change here.
    ReplicatedObjects objects()
    {
        ReplicatedObjects result;
        result.kinds = {"servers"};
        result.knownRevision
            = [this](std::size_t) { return this->replica.mirror(Endpoints).revision(); };
        result.changeRevision
            = [this](std::size_t) { return this->replica.mirror(Endpoints).changeRevision(); };
        result.listedRevision
            = [this](std::size_t) { return this->replica.mirror(Endpoints).listRevision(); };
        result.offerChanges = [this](std::size_t, std::int64_t after) {
            return this->replica.offerChanges(Endpoints, after, this->now);
        };
        result.offerAll
            = [this](std::size_t) { return this->replica.offerAll(Endpoints, this->now); };
        result.applyOffer = [this](std::size_t, const proto::ObjectsOffer &offer) {
            this->replica.applyOffer(Endpoints, offer, this->now);
        };
        result.storeContact = [this] {
            return this->isWatching && this->hasListed ? StoreContact::Current
                                                       : StoreContact::Unknown;
        };
        result.onHeartbeat = [this](const StoreHeartbeat &heartbeat) {
            this->policy.onHeartbeat(heartbeat, this->now);
        };
        result.updateWatch = [this](bool isAssigned) {
            const bool shouldWatch = this->policy.shouldWatch(isAssigned, this->now);
            if (shouldWatch && !this->isWatching)
                this->startWatch(this->policy.mayStoreHaveBeenLost(this->now));
            this->isWatching = shouldWatch;
        };
        return result;
    }

    void startWatch(bool mayHaveBeenLost)
    {
        this->isWatching = true;
        this->hasListed = false;
        this->wasLost = mayHaveBeenLost;
        this->nextCall = this->now + StoreDelay;
    }

    void callStore()
    {
        this->nextCall = this->now + WatchBatch;
        if (!this->hasListed) {
            this->hasListed = true;
            this->watchedUntil = this->store.history.size();
            this->replica.applyList(Endpoints, this->store.list(), this->store.revision,
                                    this->wasLost, this->now);
            return this->replicator.publish(0);
        }
        const std::vector<ObjectEvent> events(this->store.history.begin()
                                                  + static_cast<long>(this->watchedUntil),
                                              this->store.history.end());
        this->watchedUntil = this->store.history.size();
        if (events.empty())
            this->nextCall = this->now + Step; // the call waits for the next event
        else
            this->replica.applyEvents(Endpoints, events);
        this->replicator.publish(0);
    }

    SimulatedStore &store;
    MonoTime now;
    WatchPolicy policy;
    EndpointDirectory directory;
    ObjectReplica replica;
    ObjectReplicator replicator;
    bool isWatching = false;
    bool hasListed = false;
    bool wasLost = false;
    MonoTime nextCall{};
    std::size_t watchedUntil = 0; ///< position in the store's history
};

/// A region of instances. Those with the lowest numbers that are known to be alive watch the store.
class Region
{
public:
    Region(std::size_t size, std::uint64_t seed)
        : random(seed)
        , slots(size)
    {
        for (const char *name : {"engine-a", "engine-b", "engine-c"})
            this->store.put(name);
        for (std::size_t number = 0; number < size; ++number)
            this->start(number);
    }

    void run(Millis duration)
    {
        for (const MonoTime end = this->now + duration; this->now < end; this->now += Step) {
            this->startDue();
            this->deliver();
            for (Slot &slot : this->slots) {
                if (slot.process && this->now >= slot.frozenUntil)
                    slot.process->step(this->now);
            }
            this->check();
        }
    }

    void kill(std::size_t number, Millis downtime)
    {
        Slot &slot = this->slots.at(number);
        if (!slot.process)
            return;
        slot.process.reset();
        slot.endedAt = this->now;
        slot.startsAt = this->now + downtime;
    }

    // Its messages and the answers of the store wait.
    void freeze(std::size_t number, Millis duration)
    {
        this->slots.at(number).frozenUntil = this->now + duration;
    }

    /// Does one of all things that may happen, at random.
    void disturb()
    {
        const auto any = [this] { return this->random(static_cast<unsigned>(this->slots.size())); };
        const auto millis = [this](unsigned most) { return Millis(this->random(most)); };
        const auto endpoint = [this] { return "engine-" + std::to_string(this->random(4)); };
        switch (this->random(8)) {
        case 0:
        case 1:
            for (std::size_t number = 0; number < WatcherCount; ++number)
                this->kill(number, Millis(300) + millis(2500));
            return;
        case 2:
            return this->kill(any(), Millis(300) + millis(2500));
        case 3:
            return this->freeze(any(), millis(5000));
        case 4:
        case 5:
            return this->store.put(endpoint());
        default:
            return this->store.remove(endpoint(), this->now);
        }
    }

    /// Checks that all instances have just the endpoints of the store, once nothing has happened
    /// for a while.
    void checkEqual() const
    {
        for (const Slot &slot : this->slots) {
            std::set<std::string> known;
            for (const auto &[id, entry] : slot.process->endpoints().entries())
                known.insert(id);
            std::set<std::string> stored;
            for (const auto &[name, changedAt] : this->store.objects)
                stored.insert(name);
            cr_assert(known == stored, "seed %s: instance %s has %zu endpoints of %zu",
                      this->label.c_str(), slot.process->name.c_str(), known.size(), stored.size());
        }
    }

    SimulatedStore store;
    pcg32 random;
    MonoTime now = Start;
    std::string label; ///< for messages

private:
    struct Slot
    {
        std::unique_ptr<Process> process;
        MonoTime startedAt{};
        MonoTime endedAt{};
        MonoTime startsAt{};
        MonoTime frozenUntil{};
    };

    void start(std::size_t number)
    {
        ReplicatorHooks hooks;
        hooks.send = [this, number](const proto::ProcessId &to, const proto::Envelope &message) {
            Mail mail{this->now + Millis(1 + this->random(40)), std::stoul(to.name()), message};
            mail.message.mutable_from()->set_name(std::to_string(number));
            this->mails.push_back(std::move(mail));
        };
        hooks.othersInRegion = [this, number] { return this->knownBy(number); };
        hooks.isAssigned = [this, number] {
            std::size_t before = 0;
            for (const proto::ProcessId &other : this->knownBy(number))
                before += std::stoul(other.name()) < number ? 1 : 0;
            return before < WatcherCount;
        };
        Slot &slot = this->slots.at(number);
        slot.startedAt = this->now;
        slot.process = std::make_unique<Process>(number, std::to_string(number), this->store,
                                                 std::move(hooks), this->now);
    }

    std::vector<proto::ProcessId> knownBy(std::size_t number) const
    {
        std::vector<proto::ProcessId> known;
        const bool isNew = this->now - this->slots.at(number).startedAt < StartNoticed;
        for (std::size_t other = 0; other < this->slots.size() && !isNew; ++other) {
            const Slot &slot = this->slots[other];
            // One that starts again takes the place of its predecessor.
            const bool hasStarted = slot.process && this->now - slot.startedAt >= StartNoticed;
            const bool isAlive = hasStarted || this->now - slot.endedAt < DeathNoticed;
            if (other == number || !isAlive)
                continue;
            known.emplace_back().set_name(std::to_string(other));
        }
        return known;
    }

    void startDue()
    {
        for (std::size_t number = 0; number < this->slots.size(); ++number) {
            const Slot &slot = this->slots[number];
            if (!slot.process && this->now >= slot.startsAt)
                this->start(number);
        }
    }

    // Messages between two instances keep their order. Those to a process that has ended are lost.
    void deliver()
    {
        std::deque<Mail> waiting;
        std::set<std::pair<std::string, std::size_t>> blocked;
        for (Mail &mail : std::exchange(this->mails, {})) {
            const auto path = std::pair(mail.message.from().name(), mail.to);
            const Slot &slot = this->slots.at(mail.to);
            const bool isHeld = mail.arrivesAt > this->now || blocked.contains(path)
                || this->now < slot.frozenUntil;
            if (isHeld && slot.process) {
                blocked.insert(path);
                waiting.push_back(std::move(mail));
                continue;
            }
            if (slot.process)
                slot.process->receive(mail.message);
        }
        waiting.insert(waiting.end(), this->mails.begin(), this->mails.end());
        this->mails = std::move(waiting);
    }

    // Instances that were disturbed within the last four seconds are not bound.
    void check() const
    {
        constexpr Millis ContactTime{4000};
        for (const Slot &slot : this->slots) {
            const bool isBound = slot.process && this->now - slot.startedAt >= ContactTime
                && this->now - slot.frozenUntil >= ContactTime;
            if (!isBound)
                continue;
            for (const auto &[id, entry] : slot.process->endpoints().entries()) {
                const auto removed = this->store.removedAt.find(id);
                const bool isGone = !this->store.objects.contains(id);
                cr_assert(not(isGone && removed != this->store.removedAt.end()
                              && this->now - removed->second > RemovalBound),
                          "seed %s: instance %s has %s %ld ms after its removal",
                          this->label.c_str(), slot.process->name.c_str(), id.c_str(),
                          std::chrono::duration_cast<Millis>(this->now - removed->second).count());
            }
        }
    }

    std::vector<Slot> slots;
    std::deque<Mail> mails;
};

/// When the watchers of a region are killed and what happens then, in milliseconds.
struct RestartMoments
{
    int sinceHeartbeat = 0; ///< from the watchers' last heartbeat to their end
    // From their end:
    int removed = 0; ///< an endpoint leaves
    int started = 0; ///< they start again
    int joined = 0; ///< another endpoint joins

    std::string text() const
    {
        return std::to_string(this->sinceHeartbeat) + "/" + std::to_string(this->removed) + "/"
            + std::to_string(this->started) + "/" + std::to_string(this->joined);
    }

    auto operator<=>(const RestartMoments &) const = default;
};

void playRestart(const RestartMoments &moments)
{
    Region region(4, 7);
    region.label = moments.text();
    region.run(Millis(7500 + moments.sinceHeartbeat));
    const MonoTime killedAt = region.now + Millis(500);
    std::multimap<int, std::function<void()>> happenings;
    happenings.emplace(moments.removed, [&] { region.store.remove("engine-a", region.now); });
    happenings.emplace(0, [&] {
        for (std::size_t number = 0; number < WatcherCount; ++number)
            region.kill(number, Millis(moments.started));
    });
    happenings.emplace(moments.joined, [&] { region.store.put("engine-d"); });
    for (const auto &[millis, happen] : happenings) {
        region.run(std::chrono::duration_cast<Millis>(killedAt + Millis(millis) - region.now));
        happen();
    }
    region.run(Millis(6000));
    region.checkEqual();
}

} // namespace

// The watchers are killed, an endpoint leaves meanwhile, they start again and push one that joins.
// Guards against an instance that never learns of the removal.
Test(objectreplica, an_endpoint_that_leaves_while_the_watchers_start_again_is_gone_in_time)
{
    for (const int sinceHeartbeat : {0, 50, 250, 450}) {
        for (const int removedAfter : {-400, -100, 0, 100, 400, 700, 1000}) {
            for (const int startedAfter : {300, 700, 1200, 1500, 2000, 3500}) {
                for (const int joinedAfter : {0, 300, 1100, 1600})
                    playRestart({sinceHeartbeat, removedAfter, startedAfter, joinedAfter});
            }
        }
    }
}

// The same with anything that happens at any moment: instances that end, one by one or all watchers
// at once, and start again, freeze, and endpoints that come and go.
Test(objectreplica, endpoints_that_leave_are_gone_in_time_whatever_happens)
{
    constexpr std::uint64_t Seeds = 400;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Region region(3 + seed % 4, seed);
        region.label = std::to_string(seed);
        region.run(Millis(6000));
        for (int count = 0; count < 15; ++count) {
            region.disturb();
            region.run(Millis(region.random(1500)));
        }
        region.run(Millis(8000));
        region.checkEqual();
    }
}

// Guards against instances that take the part of a list for all that has changed, and against an
// object of such a list that returns after its removal.
Test(objectreplica, objects_of_an_incomplete_list_are_used_here_and_offered_to_none)
{
    std::vector<std::string> reported;
    ObjectReplica replica(
        {"config", "servers", "versions", "rollouts"},
        {[&](ObjectKind, const ObjectEvent &event) { reported.push_back(event.object.name); },
         [](ObjectKind, const auto &...) {}, [] {}});
    replica.applyIncompleteList(Endpoints, {{"a", 5, Json(1)}, {"b", 6, Json(1)}});
    cr_assert(reported == std::vector<std::string>({"a", "b"}));
    cr_assert(replica.mirror(Endpoints).revision() == 0);
    cr_assert(not(replica.hasList(Endpoints)));
    cr_assert(replica.offerAll(Endpoints, Start).objects().empty());

    replica.applyList(Endpoints, {{"a", 5, Json(1)}}, 9, false, Start);
    reported.clear();
    replica.applyIncompleteList(Endpoints, {{"a", 5, Json(1)}, {"b", 6, Json(1)}});
    cr_assert(reported.empty());
    replica.applyIncompleteList(Endpoints, {{"a", 12, Json(2)}});
    cr_assert(reported == std::vector<std::string>({"a"}));
}
