#pragma once

#include "limits/borrower.h"
#include "limits/lender.h"

#include <algorithm>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// Test driver: the limits logic of several instances in one process, on a clock of its own,
/// with messages delayed, lost, doubled and reordered and a store that fails, all by one seed.
namespace lavenderhall::limitstest {

inline constexpr int NodeCount = 5;
inline constexpr double AuditTolerance = 1e-3;

/// Finds whether more than rate * t + burst was spent over any interval: a full bucket from
/// which all that is spent is taken must never go below zero.
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
        if (this->last != MonoTime{})
            this->level = std::min(
                this->burst,
                this->level
                    + this->rate * std::chrono::duration<double>(when - this->last).count());
        this->last = when;
        this->level -= tokens;
        this->worst = std::max(this->worst, -this->level);
    }

    double excess() const { return this->worst; }

private:
    double rate;
    double burst;
    double level;
    double worst = 0;
    MonoTime last{};
};

enum class StoreMode { Up, Down, Hanging };

struct Store
{
    struct Object
    {
        std::int64_t version = 0;
        std::string body;
    };
    StoreMode mode = StoreMode::Up;
    std::map<std::string, Object> objects;
    std::int64_t last = 0;

    StoreReply apply(const SeatAction &action)
    {
        const std::string name = seatObjectName(action.region, action.index);
        const auto found = this->objects.find(name);
        const std::int64_t version = found == this->objects.end() ? 0 : found->second.version;
        if (action.kind == SeatAction::Kind::Read) {
            if (version == 0)
                return {StoreStatus::NotFound, 0, ""};
            return {StoreStatus::Ok, version, found->second.body};
        }
        if (action.expected != version)
            return {StoreStatus::Conflict, version, ""};
        this->objects[name] = {++this->last, toText(action.record)};
        return {StoreStatus::Ok, this->last, ""};
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
    for (int index = 0; document.organisations.size() < 3; ++index) {
        const std::string name = "org-" + std::to_string(1000 + index);
        if (seatOf(name) < testTimings().seats)
            document.organisations.push_back({name, 600, 300, {}});
    }
    return document;
}

class World
{
public:
    explicit World(std::uint64_t seed)
        : random(seed)
        , document(testDocument())
    {
        for (const Organisation &organisation : this->document.organisations)
            this->auditors.emplace(organisation.name,
                                   Auditor(static_cast<double>(organisation.tokensPerSecond),
                                           static_cast<double>(organisation.burstTokens)));
        this->nodes.resize(NodeCount);
        for (int index = 0; index < NodeCount; ++index) {
            this->nodes[index].drift = 1 + (static_cast<double>(this->random(1000)) - 500) * 1e-6;
            this->nodes[index].boot = std::to_string(index);
            this->start(index);
        }
    }

    /// Runs for \a duration; with \a faults on, something goes wrong every now and then.
    void run(Millis duration, bool faults)
    {
        const MonoTime end = this->now + duration;
        this->scheduleOnce(faults);
        while (!this->events.empty() && this->events.top().when <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.when;
            event.run();
        }
        this->now = end;
    }

    void crash(int index, bool inPlace)
    {
        if (!inPlace)
            this->nodes[index].boot = std::to_string(++this->boots + 100);
        this->start(index);
    }

    /// Stops a node for good.
    void stop(int index) { this->nodes[index].pausedUntil = MonoTime::max(); }

    void leave(int index)
    {
        if (this->nodes[index].seats)
            this->nodes[index].seats->leave();
        this->after(Millis(400), [this, index] { this->crash(index, false); });
    }

    double excess() const
    {
        double worst = 0;
        for (const auto &[name, auditor] : this->auditors)
            worst = std::max(worst, auditor.excess());
        return worst;
    }

    Store store;
    double load = 1.5; ///< offered, as a multiple of the rate
    int granted = 0;
    int refused = 0;

private:
    struct Node
    {
        proto::ProcessId id;
        std::string region;
        std::string boot;
        double drift = 1;
        MonoTime pausedUntil{};
        bool isCutOff = false;
        bool canReachStore = true;
        std::unique_ptr<SeatKeeper> seats;
        std::unique_ptr<Lender> lender;
        std::unique_ptr<Borrower> borrower;
        std::map<std::uint64_t, std::pair<std::string, double>> requests;
    };
    struct Event
    {
        MonoTime when;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(this->when, this->order) > std::tie(other.when, other.order);
        }
    };

    void after(MonoTime::duration delay, std::function<void()> run)
    {
        this->events.push({this->now + delay, ++this->order, std::move(run)});
    }

    MonoTime clockOf(const Node &node) const
    {
        return MonoTime(
            std::chrono::duration_cast<Micros>(std::chrono::duration<double, std::micro>(
                static_cast<double>(this->now.time_since_epoch().count()) * node.drift)));
    }

    void start(int index)
    {
        Node &node = this->nodes[index];
        const std::string name = "node-" + std::to_string(index);
        node.id = processId(name, ++this->incarnations);
        node.region = index < 3 ? "east" : "west";
        LocalProcess self{node.id, node.region, "host-" + std::to_string(index), 1, node.boot};
        node.seats = std::make_unique<SeatKeeper>(self, testTimings());
        node.lender = std::make_unique<Lender>(node.region, testTimings());
        node.lender->configure(this->document.regions, this->document.organisations,
                               this->clockOf(node));
        node.seats->setLevelsSource([&node, this](std::uint32_t seat) {
            return node.lender->takeLevels(seat, this->clockOf(node));
        });
        BorrowerTimings timings;
        timings.loanValidity = testTimings().loanValidity;
        timings.answerTimeout = Millis(40);
        timings.retryInterval = Millis(20);
        node.borrower = std::make_unique<Borrower>(1, timings);
        node.borrower->setRegions(node.region == "east" ? std::vector<std::string>{"east", "west"}
                                                        : std::vector<std::string>{"west", "east"});
        node.requests.clear();
    }

    /// Runs \a work on the node unless it restarts before; a paused node does it later.
    void onNode(int index, MonoTime::duration delay, std::function<void(Node &)> work)
    {
        const std::uint64_t incarnation = this->nodes[index].id.incarnation();
        this->after(delay, [this, index, incarnation, work = std::move(work)] {
            Node &node = this->nodes[index];
            if (node.id.incarnation() != incarnation)
                return;
            if (node.pausedUntil == MonoTime::max())
                return;
            if (node.pausedUntil > this->now)
                return this->onNode(index, node.pausedUntil - this->now, work);
            work(node);
        });
    }

    void scheduleOnce(bool faults)
    {
        if (!this->isScheduled) {
            this->isScheduled = true;
            for (int index = 0; index < NodeCount; ++index)
                this->tick(index);
            this->request();
        }
        if (faults)
            this->fault();
    }

    void tick(int index)
    {
        this->after(Millis(15) + Micros(this->random(5000)), [this, index] { this->tick(index); });
        Node &node = this->nodes[index];
        if (node.pausedUntil > this->now)
            return;
        std::vector<SeatMember> members;
        for (const Node &other : this->nodes) {
            const bool isSeen
                = &other != &node && other.pausedUntil <= this->now && !this->isCut(node, other);
            if (isSeen)
                members.push_back({other.id, other.region, ""});
        }
        node.seats->setMembers(std::move(members), this->clockOf(node));
        this->carryOut(index, node.seats->onTick(this->clockOf(node)));
        this->carryOut(index, node.borrower->onTick(this->clockOf(node)));
    }

    bool isCut(const Node &one, const Node &other) const
    {
        if (one.isCutOff || other.isCutOff)
            return true;
        return this->regionsApart && one.region != other.region;
    }

    void request()
    {
        // Mean 60 tokens a request.
        const double perSecond = 600.0 * 3 * this->load / 60.0;
        const auto gap = static_cast<std::uint32_t>(2e6 / perSecond);
        this->after(Micros(this->random(gap)), [this] { this->request(); });
        const int index = static_cast<int>(this->random(NodeCount));
        Node &node = this->nodes[index];
        if (node.pausedUntil > this->now)
            return;
        const std::string &name = this->document.organisations[this->random(3)].name;
        const double tokens = 1 + this->random(119);
        const std::uint64_t id = ++this->requestNumber;
        node.requests[id] = {name, tokens};
        this->carryOut(index,
                       node.borrower->start(id, name, tokens, Millis(150), this->clockOf(node)));
    }

    void carryOut(int index, const std::vector<SeatAction> &actions)
    {
        for (const SeatAction &action : actions) {
            if (action.kind == SeatAction::Kind::Send)
                this->send(index, action.to, action.message);
            else
                this->callStore(index, action);
        }
        Node &node = this->nodes[index];
        for (const SeatChange &change : node.seats->takeChanges())
            node.lender->onSeatChange(change, this->clockOf(node));
    }

    void carryOut(int index, const BorrowStep &step)
    {
        Node &node = this->nodes[index];
        for (const BorrowAction &action : step.actions) {
            const proto::SeatRecord *record = node.seats->recordOf(action.region, action.seat);
            if (record) {
                proto::Envelope message = action.message;
                *message.mutable_from() = node.id;
                this->send(index, record->holder(), message);
                continue;
            }
            this->learnSeats(index);
            if (!action.message.has_borrow())
                continue;
            const std::uint64_t loan = action.message.borrow().loan();
            this->onNode(index, Micros(1), [this, index, loan](Node &own) {
                this->carryOut(index, own.borrower->onUnreachable(loan, this->clockOf(own)));
            });
        }
        for (const BorrowResult &result : step.results) {
            const auto [name, tokens] = node.requests[result.request];
            node.requests.erase(result.request);
            ++(result.granted ? this->granted : this->refused);
            if (!result.granted)
                continue;
            // Some answers use less than was taken for them.
            const double unused = this->random(3) == 0 ? tokens / 2 : 0;
            this->auditors.at(name).spend(this->now, tokens - unused);
            if (unused == 0) {
                node.borrower->forget(result.request);
                continue;
            }
            this->onNode(index, Millis(this->random(300)),
                         [this, index, id = result.request, unused](Node &own) {
                             this->carryOut(index,
                                            own.borrower->refund(id, unused, this->clockOf(own)));
                         });
        }
    }

    /// Stands for the exchange of hints between instances.
    void learnSeats(int index)
    {
        for (const Node &other : this->nodes) {
            if (&other == &this->nodes[index] || this->isCut(other, this->nodes[index]))
                continue;
            for (const proto::SeatRecord &record : other.seats->allRecords())
                this->nodes[index].seats->learn(record, this->clockOf(this->nodes[index]));
        }
    }

    void send(int from, const proto::ProcessId &to, const proto::Envelope &message)
    {
        for (int index = 0; index < NodeCount; ++index) {
            if (!isSame(this->nodes[index].id, to))
                continue;
            if (this->isCut(this->nodes[from], this->nodes[index])
                || this->random(1000) < this->lossPerMille)
                return;
            const int copies = this->random(1000) < this->lossPerMille ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                this->onNode(index, Micros(200 + this->random(this->maxDelayMicros)),
                             [this, index, message](Node &) { this->receive(index, message); });
            return;
        }
    }

    void receive(int index, const proto::Envelope &message)
    {
        Node &node = this->nodes[index];
        const MonoTime clock = this->clockOf(node);
        proto::Envelope answer;
        *answer.mutable_from() = node.id;
        if (message.has_borrow()) {
            const bool isHeld = node.seats->isHeld(seatOf(message.borrow().organisation()), clock);
            *answer.mutable_loan()
                = node.lender->lend(message.from(), message.borrow(), isHeld, clock);
            if (!isHeld) {
                const auto *known
                    = node.seats->recordOf(node.region, seatOf(message.borrow().organisation()));
                if (known)
                    *answer.mutable_loan()->mutable_holder() = *known;
            }
            return this->send(index, message.from(), answer);
        }
        if (message.has_loan()) {
            if (message.loan().not_holder())
                node.seats->learn(message.loan().holder(), clock);
            return this->carryOut(index, node.borrower->onLoan(message.loan(), clock));
        }
        if (message.has_settle())
            return node.lender->settle(message.from(), message.settle(), clock);
        if (message.has_refund())
            return node.lender->refund(message.from(), message.refund(), clock);
        this->carryOut(index, node.seats->onMessage(message, clock));
    }

    void callStore(int index, const SeatAction &action)
    {
        const auto reply
            = [this, index, action](MonoTime::duration delay, const StoreReply &answer) {
                  this->onNode(index, delay, [this, index, action, answer](Node &node) {
                      const MonoTime clock = this->clockOf(node);
                      this->carryOut(index,
                                     action.kind == SeatAction::Kind::Read
                                         ? node.seats->onRead(action, answer, clock)
                                         : node.seats->onWritten(action, answer, clock));
                  });
              };
        if (this->store.mode == StoreMode::Down || !this->nodes[index].canReachStore)
            return reply(Millis(2), {StoreStatus::Down, 0, ""});
        const bool isLost
            = this->store.mode == StoreMode::Hanging || this->random(1000) < this->lossPerMille;
        if (!isLost) {
            this->after(Micros(500 + this->random(4000)), [this, action, reply] {
                reply(Micros(500 + this->random(4000)), this->store.apply(action));
            });
            return;
        }
        // The answer is lost; the write applies now, long after, or never.
        reply(Millis(60), {StoreStatus::Unknown, 0, ""});
        if (action.kind == SeatAction::Kind::Write && this->random(3) != 0)
            this->after(Millis(this->random(500)), [this, action] { this->store.apply(action); });
    }

    void fault()
    {
        this->after(Millis(20 + this->random(250)), [this] { this->fault(); });
        const int index = static_cast<int>(this->random(NodeCount));
        const Millis span(20 + this->random(600));
        switch (this->random(10)) {
        case 0:
            return this->crash(index, true);
        case 1:
            return this->crash(index, false);
        case 2:
            return this->leave(index);
        case 3:
            this->nodes[index].pausedUntil = this->now + span;
            return;
        case 4:
            this->store.mode = StoreMode::Down;
            return this->after(span, [this] { this->store.mode = StoreMode::Up; });
        case 5:
            this->store.mode = StoreMode::Hanging;
            return this->after(span, [this] { this->store.mode = StoreMode::Up; });
        case 6:
            this->regionsApart = true;
            return this->after(span, [this] { this->regionsApart = false; });
        case 7:
            this->nodes[index].isCutOff = true;
            return this->after(span, [this, index] { this->nodes[index].isCutOff = false; });
        case 8:
            this->nodes[index].canReachStore = false;
            return this->after(span, [this, index] { this->nodes[index].canReachStore = true; });
        default:
            this->lossPerMille = 300;
            this->maxDelayMicros = 100'000;
            return this->after(span, [this] {
                this->lossPerMille = 10;
                this->maxDelayMicros = 8000;
            });
        }
    }

    pcg32 random;
    Document document;
    MonoTime now{Millis(100'000)};
    std::uint64_t order = 0;
    std::uint64_t incarnations = 0;
    std::uint64_t requestNumber = 0;
    int boots = 0;
    bool regionsApart = false;
    bool isScheduled = false;
    std::uint32_t lossPerMille = 0;
    std::uint32_t maxDelayMicros = 8000;
    std::vector<Node> nodes;
    std::priority_queue<Event> events;
    std::map<std::string, Auditor> auditors;
};

} // namespace lavenderhall::limitstest
