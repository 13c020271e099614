#pragma once

#include "limits/borrower.h"
#include "limits/lender.h"
#include "store/storerevision.h"

#include <algorithm>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// Simulation for tests: runs the token limits of several instances in one process on a simulated
/// clock. Messages are delayed, lost, duplicated and reordered, and the store fails. Each run is
/// determined by its seed.
namespace lavenderhall::limitstest {

inline constexpr int InstanceCount = 5;
inline constexpr int EastInstances = 3; ///< the first ones; the others are in the west
inline constexpr std::uint32_t OrganisationCount = 3;
inline constexpr std::uint32_t TokensPerSecond = 600; ///< of each organisation
inline constexpr std::uint32_t BurstTokens = 300; ///< of each organisation
inline constexpr double AuditTolerance = 1e-3; ///< tokens
/// Of an instance's clock: the rates of two differ by at most SeatTimings::clockDrift.
inline constexpr std::uint32_t MaxClockSkewPpm = 500;
inline constexpr Millis AnswerTimeout{40}; ///< of a borrower
inline constexpr Millis RetryInterval{20}; ///< of a borrower
inline constexpr Millis MaxTokenWait{150}; ///< of a request
inline constexpr std::uint32_t RefundedRequestPeriod = 3; ///< one request in so many is refunded
inline constexpr std::uint32_t MaxRefundDelayMillis = 300;
inline constexpr Millis TickInterval{15}; ///< of an instance, with a jitter
inline constexpr std::uint32_t TickJitterMicros = 5000;
inline constexpr Millis RestartDelay{400}; ///< after an instance has left

// Messages.
inline constexpr std::uint32_t PerMille = 1000;
inline constexpr std::uint32_t MinDelayMicros = 200;
inline constexpr std::uint32_t UsualMaxDelayMicros = 8000;
inline constexpr std::uint32_t SlowMaxDelayMicros = 100'000;
inline constexpr std::uint32_t UsualLossPerMille = 10; ///< after a fault of the network
inline constexpr std::uint32_t HighLossPerMille = 300;

// Calls to the store.
inline constexpr std::uint32_t MinStoreMicros = 500; ///< to the store, and back
inline constexpr std::uint32_t StoreJitterMicros = 4000;
inline constexpr Millis RejectionDelay{2}; ///< of a store that is down
inline constexpr Millis StoreCallTimeout{60};
/// One in so many writes whose answer is lost never applies.
inline constexpr std::uint32_t UnappliedWritePeriod = 3;
inline constexpr std::uint32_t MaxLateWriteMillis = 500;

// Faults.
inline constexpr std::uint32_t FaultKinds = 10;
inline constexpr std::uint32_t MinFaultMillis = 20; ///< duration, and time until the next fault
inline constexpr std::uint32_t FaultJitterMillis = 600; ///< of the duration
inline constexpr std::uint32_t FaultGapJitterMillis = 250; ///< of the time until the next fault

/// Checks that no more than rate * t + burst tokens are spent in any interval t: a token bucket
/// that starts full and from which all spent tokens are taken must never go below zero.
class Auditor
{
public:
    Auditor(double rate, double burst)
        : rate(rate)
        , burst(burst)
        , level(burst)
    { }

    void spend(MonoTime when, double tokens)
    {
        if (this->lastSpent != MonoTime{})
            this->level = std::min(
                this->burst,
                this->level
                    + this->rate * std::chrono::duration<double>(when - this->lastSpent).count());
        this->lastSpent = when;
        this->level -= tokens;
        this->maxDeficit = std::max(this->maxDeficit, -this->level);
    }

    /// Returns the tokens that were spent beyond the limits.
    double excess() const { return this->maxDeficit; }

private:
    double rate;
    double burst;
    double level;
    double maxDeficit = 0;
    MonoTime lastSpent{};
};

enum class StoreMode {
    Up,
    Down, ///< rejects all calls
    Hanging ///< calls time out with an unknown outcome
};

/// An object store with conditional writes, held in memory. It may come back from an older copy.
struct FakeStore
{
    struct Object
    {
        std::int64_t version = 0; ///< the store's counter, without its era
        std::string body;
    };
    StoreMode mode = StoreMode::Up;
    std::map<std::string, Object> objects;
    std::int64_t lastVersion = 0;
    std::int64_t era = 0;

    /// Continues from \a copy in the next era.
    void comeBack(const FakeStore &copy)
    {
        this->objects = copy.objects;
        this->lastVersion = copy.lastVersion;
        ++this->era;
    }

    StoreReply apply(const SeatAction &action)
    {
        const std::string name = seatObjectName(action.region, action.index);
        const auto found = this->objects.find(name);
        const std::int64_t version = found == this->objects.end() ? 0 : found->second.version;
        if (action.kind == SeatAction::Kind::Read) {
            if (version == 0)
                return {StoreStatus::NotFound, 0, ""};
            return {StoreStatus::Ok, storeRevision(this->era, version), found->second.body};
        }
        if (counterOf(action.expected) != version)
            return {StoreStatus::Conflict, storeRevision(this->era, version), ""};
        this->objects[name] = {++this->lastVersion, toText(action.record)};
        return {StoreStatus::Ok, storeRevision(this->era, this->lastVersion), ""};
    }
};

inline SeatTimings testTimings()
{
    SeatTimings timings;
    timings.lease = Millis(200);
    timings.renewInterval = Millis(40);
    timings.loanValidity = Millis(80);
    timings.abandonTimeout = Millis(4000);
    timings.readInterval = Millis(300);
    timings.rebalanceDelay = Millis(500);
    timings.seats = 2;
    return timings;
}

/// Two regions and three organisations whose seats are among the two that the tests use.
inline Document testDocument()
{
    Document document;
    document.regions = {{"east", 2}, {"west", 1}};
    for (int index = 0; document.organisations.size() < OrganisationCount; ++index) {
        const std::string name = "org-" + std::to_string(1000 + index);
        if (seatOf(name) < testTimings().seats)
            document.organisations.push_back({name, TokensPerSecond, BurstTokens, {}});
    }
    return document;
}

/// Instances of two regions that request tokens of three organisations at random.
class LimitsSimulation
{
public:
    explicit LimitsSimulation(std::uint64_t seed)
        : random(seed)
        , document(testDocument())
    {
        for (const Organisation &organisation : this->document.organisations)
            this->auditors.emplace(organisation.name,
                                   Auditor(static_cast<double>(organisation.tokensPerSecond),
                                           static_cast<double>(organisation.burstTokens)));
        this->instances.resize(InstanceCount);
        for (int index = 0; index < InstanceCount; ++index) {
            this->instances[index].clockRate = 1
                + (static_cast<double>(this->random(2 * MaxClockSkewPpm)) - MaxClockSkewPpm) * 1e-6;
            this->instances[index].boot = std::to_string(index);
            this->start(index);
        }
    }

    /// Runs for \a duration; with \a hasFaults, random faults are injected.
    void run(Millis duration, bool hasFaults)
    {
        const MonoTime end = this->now + duration;
        this->scheduleEvents(hasFaults);
        while (!this->events.empty() && this->events.top().when <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.when;
            event.run();
        }
        this->now = end;
    }

    /// Restarts an instance without a handover: on the same boot of its machine if \a inPlace, else
    /// on another one.
    void crashAndRestart(int index, bool inPlace)
    {
        if (!inPlace)
            this->instances[index].boot = std::to_string(++this->lastBoot);
        this->start(index);
    }

    /// Stops an instance permanently, without a handover.
    void stop(int index) { this->instances[index].pausedUntil = MonoTime::max(); }

    /// Lets an instance hand over its seats, and restarts it after a while.
    void leave(int index)
    {
        if (this->instances[index].seats)
            this->instances[index].seats->leave();
        this->after(RestartDelay, [this, index] { this->crashAndRestart(index, false); });
    }

    /// Returns the largest excess over the limits of an organisation, in tokens.
    double excess() const
    {
        double worst = 0;
        for (const auto &[name, auditor] : this->auditors)
            worst = std::max(worst, auditor.excess());
        return worst;
    }

    /// Returns the number of seats that have a holder with a valid lease, in all regions.
    std::size_t heldSeatCount() const
    {
        std::size_t count = 0;
        for (const Instance &instance : this->instances)
            count += instance.seats->heldSeatCount(this->clockOf(instance));
        return count;
    }

    FakeStore store;
    double loadFactor = 1.5; ///< requested tokens as a multiple of the rate
    std::uint32_t maxRequestTokens = 119; ///< a request needs from 1 to this many tokens
    int granted = 0; ///< requests
    int refused = 0;

private:
    struct Instance
    {
        proto::ProcessId id;
        std::string region;
        std::string boot;
        double clockRate = 1; ///< of its own clock, relative to simulated time
        MonoTime pausedUntil{};
        bool isCutOff = false;
        bool canReachStore = true;
        std::unique_ptr<SeatKeeper> seats;
        std::unique_ptr<Lender> lender;
        std::unique_ptr<Borrower> borrower;
        /// Organisation and tokens of each open request, by id.
        std::map<std::uint64_t, std::pair<std::string, double>> requests;
    };
    struct Event
    {
        MonoTime when;
        std::uint64_t order; ///< keeps events of the same time in the order of their creation
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(this->when, this->order) > std::tie(other.when, other.order);
        }
    };

    void after(MonoTime::duration delay, std::function<void()> run)
    {
        this->events.push({this->now + delay, ++this->lastEventOrder, std::move(run)});
    }

    MonoTime clockOf(const Instance &instance) const
    {
        return MonoTime(
            std::chrono::duration_cast<Micros>(std::chrono::duration<double, std::micro>(
                static_cast<double>(this->now.time_since_epoch().count()) * instance.clockRate)));
    }

    void start(int index)
    {
        Instance &instance = this->instances[index];
        const std::string name = "node-" + std::to_string(index);
        instance.id = processId(name, ++this->lastIncarnation);
        instance.region = index < EastInstances ? "east" : "west";
        LocalProcess self{instance.id, instance.region, "host-" + std::to_string(index), 1,
                          instance.boot};
        instance.seats = std::make_unique<SeatKeeper>(self, testTimings());
        instance.lender = std::make_unique<Lender>(instance.region, testTimings());
        instance.lender->configure(this->document.regions, this->document.organisations,
                                   this->clockOf(instance));
        instance.seats->setLevelsSource([&instance, this](std::uint32_t seat) {
            return instance.lender->takeLevels(seat, this->clockOf(instance));
        });
        BorrowerTimings timings;
        timings.loanValidity = testTimings().loanValidity;
        timings.answerTimeout = AnswerTimeout;
        timings.retryInterval = RetryInterval;
        instance.borrower = std::make_unique<Borrower>(1, timings);
        instance.borrower->setRegions(instance.region == "east"
                                          ? std::vector<std::string>{"east", "west"}
                                          : std::vector<std::string>{"west", "east"});
        instance.requests.clear();
    }

    /// Runs \a work on the instance after \a delay, unless it has restarted by then. A paused
    /// instance runs it once it continues.
    void runOnInstance(int index, MonoTime::duration delay, std::function<void(Instance &)> work)
    {
        const std::uint64_t incarnation = this->instances[index].id.incarnation();
        this->after(delay, [this, index, incarnation, work = std::move(work)] {
            Instance &instance = this->instances[index];
            if (instance.id.incarnation() != incarnation)
                return;
            if (instance.pausedUntil == MonoTime::max())
                return;
            if (instance.pausedUntil > this->now)
                return this->runOnInstance(index, instance.pausedUntil - this->now, work);
            work(instance);
        });
    }

    void scheduleEvents(bool hasFaults)
    {
        if (!this->hasScheduledEvents) {
            this->hasScheduledEvents = true;
            for (int index = 0; index < InstanceCount; ++index)
                this->tick(index);
            this->startRequest();
        }
        if (hasFaults)
            this->injectFault();
    }

    /// Runs the timers of the instance, and schedules itself again.
    void tick(int index)
    {
        this->after(TickInterval + Micros(this->random(TickJitterMicros)),
                    [this, index] { this->tick(index); });
        Instance &instance = this->instances[index];
        if (instance.pausedUntil > this->now)
            return;
        std::vector<SeatMember> members;
        for (const Instance &other : this->instances) {
            const bool isVisible = &other != &instance && other.pausedUntil <= this->now
                && !this->isCut(instance, other);
            if (isVisible)
                members.push_back({other.id, other.region, ""});
        }
        instance.seats->setMembers(std::move(members), this->clockOf(instance));
        this->execute(index, instance.seats->onTick(this->clockOf(instance)));
        this->execute(index, instance.borrower->onTick(this->clockOf(instance)));
    }

    bool isCut(const Instance &one, const Instance &other) const
    {
        if (one.isCutOff || other.isCutOff)
            return true;
        return this->isRegionLinkCut && one.region != other.region;
    }

    /// Starts a random request, and schedules the next one.
    void startRequest()
    {
        const double meanTokens = (this->maxRequestTokens + 1) / 2.0;
        constexpr double MicrosPerSecond = 1e6;
        const double requestsPerSecond
            = TokensPerSecond * OrganisationCount * this->loadFactor / meanTokens;
        // Twice the mean time between two requests, in microseconds.
        const auto maxGap = static_cast<std::uint32_t>(2 * MicrosPerSecond / requestsPerSecond);
        this->after(Micros(this->random(maxGap)), [this] { this->startRequest(); });
        const int index = static_cast<int>(this->random(InstanceCount));
        Instance &instance = this->instances[index];
        if (instance.pausedUntil > this->now)
            return;
        const std::string &name
            = this->document.organisations[this->random(OrganisationCount)].name;
        const double tokens = 1 + this->random(this->maxRequestTokens);
        const std::uint64_t id = ++this->lastRequest;
        instance.requests[id] = {name, tokens};
        this->execute(
            index,
            instance.borrower->start(id, name, tokens, MaxTokenWait, this->clockOf(instance)));
    }

    void execute(int index, const std::vector<SeatAction> &actions)
    {
        for (const SeatAction &action : actions) {
            if (action.kind == SeatAction::Kind::Send)
                this->send(index, action.to, action.message);
            else
                this->callStore(index, action);
        }
        Instance &instance = this->instances[index];
        for (const SeatChange &change : instance.seats->takeChanges())
            instance.lender->onSeatChange(change, this->clockOf(instance));
    }

    void execute(int index, const BorrowStep &step)
    {
        Instance &instance = this->instances[index];
        for (const BorrowAction &action : step.actions) {
            const proto::SeatRecord *record = instance.seats->recordOf(action.region, action.seat);
            if (record) {
                proto::Envelope message = action.message;
                *message.mutable_from() = instance.id;
                this->send(index, record->holder(), message);
                continue;
            }
            this->exchangeSeatRecords(index);
            if (!action.message.has_borrow())
                continue;
            const std::uint64_t loan = action.message.borrow().loan();
            this->runOnInstance(index, Micros(1), [this, index, loan](Instance &own) {
                this->execute(index, own.borrower->onUnreachable(loan, this->clockOf(own)));
            });
        }
        for (const BorrowResult &result : step.results) {
            const auto [name, tokens] = instance.requests[result.request];
            instance.requests.erase(result.request);
            ++(result.isGranted ? this->granted : this->refused);
            if (!result.isGranted)
                continue;
            // Some answers use fewer tokens than were granted for them.
            const double unused = this->random(RefundedRequestPeriod) == 0 ? tokens / 2 : 0;
            this->auditors.at(name).spend(this->now, tokens - unused);
            if (unused == 0) {
                instance.borrower->forget(result.request);
                continue;
            }
            this->runOnInstance(
                index, Millis(this->random(MaxRefundDelayMillis)),
                [this, index, id = result.request, unused](Instance &own) {
                    this->execute(index, own.borrower->refund(id, unused, this->clockOf(own)));
                });
        }
    }

    /// Passes the records of all others to the instance, as SeatHints messages do in production.
    void exchangeSeatRecords(int index)
    {
        for (const Instance &other : this->instances) {
            if (&other == &this->instances[index] || this->isCut(other, this->instances[index]))
                continue;
            for (const proto::SeatRecord &record : other.seats->allRecords())
                this->instances[index].seats->adoptIfNewer(record,
                                                           this->clockOf(this->instances[index]));
        }
    }

    void send(int from, const proto::ProcessId &to, const proto::Envelope &message)
    {
        for (int index = 0; index < InstanceCount; ++index) {
            if (!isSameProcess(this->instances[index].id, to))
                continue;
            if (this->isCut(this->instances[from], this->instances[index])
                || this->random(PerMille) < this->lossPerMille)
                return;
            const int copies = this->random(PerMille) < this->lossPerMille ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                this->runOnInstance(
                    index, Micros(MinDelayMicros + this->random(this->maxDelayMicros)),
                    [this, index, message](Instance &) { this->receive(index, message); });
            return;
        }
    }

    void receive(int index, const proto::Envelope &message)
    {
        Instance &instance = this->instances[index];
        const MonoTime clock = this->clockOf(instance);
        proto::Envelope answer;
        *answer.mutable_from() = instance.id;
        if (message.has_borrow()) {
            const bool isHeld
                = instance.seats->isHeld(seatOf(message.borrow().organisation()), clock);
            *answer.mutable_loan()
                = instance.lender->lend(message.from(), message.borrow(), isHeld, clock);
            if (!isHeld) {
                const auto *record = instance.seats->recordOf(
                    instance.region, seatOf(message.borrow().organisation()));
                if (record)
                    *answer.mutable_loan()->mutable_holder() = *record;
            }
            return this->send(index, message.from(), answer);
        }
        if (message.has_loan()) {
            if (message.loan().not_holder())
                instance.seats->adoptIfNewer(message.loan().holder(), clock);
            return this->execute(index, instance.borrower->onLoan(message.loan(), clock));
        }
        if (message.has_settle())
            return instance.lender->settle(message.from(), message.settle(), clock);
        if (message.has_refund())
            return instance.lender->refund(message.from(), message.refund(), clock);
        this->execute(index, instance.seats->onMessage(message, clock));
    }

    void callStore(int index, const SeatAction &action)
    {
        const auto reply = [this, index, action](MonoTime::duration delay,
                                                 const StoreReply &answer) {
            this->runOnInstance(index, delay, [this, index, action, answer](Instance &instance) {
                const MonoTime clock = this->clockOf(instance);
                this->execute(index,
                              action.kind == SeatAction::Kind::Read
                                  ? instance.seats->onRead(action, answer, clock)
                                  : instance.seats->onWritten(action, answer, clock));
            });
        };
        if (this->store.mode == StoreMode::Down || !this->instances[index].canReachStore)
            return reply(RejectionDelay, {StoreStatus::Down, 0, ""});
        const bool isLost
            = this->store.mode == StoreMode::Hanging || this->random(PerMille) < this->lossPerMille;
        if (!isLost) {
            this->after(this->storeDelay(), [this, action, reply] {
                reply(this->storeDelay(), this->store.apply(action));
            });
            return;
        }
        // The reply is lost. The write may apply before the caller gives up, after that, or never.
        reply(StoreCallTimeout, {StoreStatus::Unknown, 0, ""});
        if (action.kind == SeatAction::Kind::Write && this->random(UnappliedWritePeriod) != 0)
            this->after(Millis(this->random(MaxLateWriteMillis)),
                        [this, action] { this->store.apply(action); });
    }

    /// Returns the time that a call to the store, or its reply, is on its way.
    Micros storeDelay() { return Micros(MinStoreMicros + this->random(StoreJitterMicros)); }

    /// Injects a random fault, and schedules the next one.
    void injectFault()
    {
        this->after(Millis(MinFaultMillis + this->random(FaultGapJitterMillis)),
                    [this] { this->injectFault(); });
        const int index = static_cast<int>(this->random(InstanceCount));
        const Millis duration(MinFaultMillis + this->random(FaultJitterMillis));
        switch (this->random(FaultKinds)) {
        case 0:
            return this->crashAndRestart(index, true);
        case 1:
            return this->crashAndRestart(index, false);
        case 2:
            return this->leave(index);
        case 3:
            this->instances[index].pausedUntil = this->now + duration;
            return;
        case 4:
            this->store.mode = StoreMode::Down;
            return this->after(duration, [this] { this->store.mode = StoreMode::Up; });
        case 5:
            this->store.mode = StoreMode::Hanging;
            return this->after(duration, [this] { this->store.mode = StoreMode::Up; });
        case 6:
            this->isRegionLinkCut = true;
            return this->after(duration, [this] { this->isRegionLinkCut = false; });
        case 7:
            this->instances[index].isCutOff = true;
            return this->after(duration,
                               [this, index] { this->instances[index].isCutOff = false; });
        case 8:
            this->instances[index].canReachStore = false;
            return this->after(duration,
                               [this, index] { this->instances[index].canReachStore = true; });
        default:
            this->lossPerMille = HighLossPerMille;
            this->maxDelayMicros = SlowMaxDelayMicros;
            return this->after(duration, [this] {
                this->lossPerMille = UsualLossPerMille;
                this->maxDelayMicros = UsualMaxDelayMicros;
            });
        }
    }

    pcg32 random;
    Document document;
    MonoTime now{Millis(100'000)};
    std::uint64_t lastEventOrder = 0;
    std::uint64_t lastIncarnation = 0;
    std::uint64_t lastRequest = 0;
    int lastBoot = 100; ///< higher than the boots at the start, which are the instances' numbers
    bool isRegionLinkCut = false;
    bool hasScheduledEvents = false;
    std::uint32_t lossPerMille = 0;
    std::uint32_t maxDelayMicros = UsualMaxDelayMicros;
    std::vector<Instance> instances;
    std::priority_queue<Event> events;
    std::map<std::string, Auditor> auditors;
};

} // namespace lavenderhall::limitstest
