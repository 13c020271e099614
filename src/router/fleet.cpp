#include "router/fleet.h"

#include "base/digest.h"
#include "membership/taskassignment.h"

namespace lavenderhall {

namespace {

constexpr Millis TickInterval{50};
constexpr std::size_t ConfigFanOut = 4; ///< members pinged at once with a new version
constexpr const char *StoreTask = "follow the store"; ///< hashed, see membership/taskassignment.h
constexpr std::size_t StoreWatchers = 2; ///< instances per region, so that one may fail
constexpr const char *BootIdFile = "/proc/sys/kernel/random/boot_id";

std::string readBootId()
{
    const auto text = toOutcome([] { return readFile(BootIdFile); });
    if (const auto *id = std::get_if<std::string>(&text))
        return id->substr(0, id->find('\n'));
    // With a random id, no process counts as the successor of another on the same machine.
    return randomHex(8);
}

/// Returns the id by which a process with the same name and address is recognised as the successor
/// of another one: the boot id of the machine, or the address where the platform assigns an address
/// to one machine only.
std::string machineId(const Settings &settings)
{
    return settings.dialect == Dialect::Forward ? settings.peer.host : readBootId();
}

} // namespace

Fleet::Fleet(http::Loop &loop, const Settings &settings, SeatStore store,
             std::optional<ReplicatedConfig> replicatedConfig, TimelineRing &timeline,
             Metrics &metrics, SeatTimings timings)
    : loop(loop)
    , settings(settings)
    , store(std::move(store))
    , replicatedConfig(std::move(replicatedConfig))
    , timeline(timeline)
    , metrics(metrics)
    , timings(timings)
    , self(processId(settings.instance, newIncarnation(wallMillis(), randomSeed())))
    , random(randomSeed())
{
    proto::Member member;
    *member.mutable_id() = this->self;
    member.set_host(settings.peer.host);
    member.set_port(settings.peer.port);
    member.set_region(settings.region);
    member.set_zone(settings.zone);
    this->members
        = std::make_unique<Membership>(member, settings.seeds, MemberTimings{}, randomSeed());
    const LocalProcess localProcess{this->self, settings.region, settings.peer.host,
                                    settings.peer.port, machineId(settings)};
    this->seats = std::make_unique<SeatKeeper>(localProcess, this->timings);
    this->lender = std::make_unique<Lender>(settings.region, this->timings);
    // In the forward dialect, calls to the store are paid for, so seats without accounts are not
    // acquired. Otherwise all seats are acquired before the first configuration arrives, so that it
    // can be served at once.
    if (settings.dialect == Dialect::Forward)
        this->seats->setNeededPredicate(
            [this](std::uint32_t index) { return this->lender->isNeeded(index); });
    this->seats->setLevelsSource(
        [this](std::uint32_t index) { return this->lender->takeLevels(index, monoNow()); });
    BorrowerTimings borrowerTimings;
    borrowerTimings.loanValidity = this->timings.loanValidity;
    this->borrower = std::make_unique<Borrower>(1, borrowerTimings);
}

Fleet::~Fleet()
{
    *this->isAlive = false;
    this->link.reset();
}

void Fleet::start()
{
    const auto onMessage = [this, isAlive = this->isAlive](const proto::Envelope &message) {
        this->loop.post([this, isAlive, message] {
            if (*isAlive)
                this->receive(message);
        });
    };
    this->link = std::make_unique<PeerLink>(
        this->settings.peer,
        LinkKeys{this->settings.fleetKeys.publicKey, this->settings.fleetKeys.secretKey}, onMessage,
        this->maxPeerConnections);
    this->lastContact = monoNow();
    this->tick();
}

void Fleet::onConfig(std::int64_t version, const std::vector<Region> &regions,
                     const std::vector<Organisation> &organisations, const RestartTokens &restart)
{
    const MonoTime now = monoNow();
    this->lender->configure(regions, organisations, now, restart);
    std::vector<std::string> regionsOwnFirst{this->settings.region};
    for (const Region &region : regions) {
        if (region.name != this->settings.region)
            regionsOwnFirst.push_back(region.name);
    }
    this->borrower->setRegions(std::move(regionsOwnFirst));
    if (this->replicatedConfig)
        this->members->setConfigVersion(version);
    this->execute(this->members->pingRandomMembers(ConfigFanOut));
}

void Fleet::tick()
{
    const MonoTime now = monoNow();
    if (this->replicator)
        this->members->setRevisions(this->replicator->revisions());
    this->execute(this->members->onTick(now));
    this->reportMemberChanges();
    std::vector<SeatMember> alive;
    const auto members = this->members->alive();
    for (const proto::Member &member : members) {
        if (!member.leaving())
            alive.push_back({member.id(), member.region(), member.zone()});
    }
    if (!members.empty() || this->store.outageDuration() == Millis(0))
        this->lastContact = now;
    this->seats->setMembers(std::move(alive), now);
    this->execute(this->seats->onTick(now));
    this->execute(this->borrower->onTick(now));
    this->fleetSize.onAliveCount(members.size() + 1);
    this->requestNewerConfig();
    if (this->replicator)
        this->replicator->onTick(this->members->takeNewerRevisions(), now);
    this->tickTimer = this->loop.after(TickInterval, [this] { this->tick(); });
}

bool Fleet::isCutOff() const
{
    return this->members->knownCount() > 0
        && monoNow() - this->lastContact > this->settings.cutOffBound;
}

void Fleet::reportMemberChanges()
{
    for (const MemberChange &change : this->members->takeChanges()) {
        this->timeline.add(change.isUp ? EventKind::PeerUp : EventKind::PeerDown, "", "",
                           {{"peer", change.member.id().name()},
                            {"state", proto::MemberState_Name(change.member.state())}});
        logEvent(LogLevel::Info, change.isUp ? "peer_up" : "peer_down",
                 {{"peer", change.member.id().name()}});
    }
}

void Fleet::applySeatChanges()
{
    const MonoTime now = monoNow();
    for (const SeatChange &change : this->seats->takeChanges()) {
        this->lender->onSeatChange(change, now);
        logEvent(LogLevel::Info, change.isGained ? "seat_gained" : "seat_lost",
                 {{"region", this->settings.region},
                  {"seat", change.index},
                  {"term", change.term},
                  {"handed_over", change.wasHandedOver ? 1 : 0}});
        this->timeline.add(
            change.isGained ? EventKind::RightsGained : EventKind::RightsLost, "", "",
            {{"region", this->settings.region}, {"seat", change.index}, {"term", change.term}});
    }
}

void Fleet::execute(const std::vector<PeerMessage> &actions)
{
    for (const PeerMessage &action : actions)
        this->sendTo(action.to, action.message);
}

void Fleet::execute(const std::vector<SeatAction> &actions)
{
    for (const SeatAction &action : actions) {
        if (action.kind == SeatAction::Kind::Send)
            this->send(action.to, action.message);
        else
            this->callStore(action);
    }
    this->applySeatChanges();
}

void Fleet::callStore(const SeatAction &action)
{
    const std::string object = seatObjectName(action.region, action.index);
    const auto onReply = [this, isAlive = this->isAlive, action](const StoreReply &reply) {
        if (!*isAlive)
            return;
        const MonoTime now = monoNow();
        this->execute(action.kind == SeatAction::Kind::Read
                          ? this->seats->onRead(action, reply, now)
                          : this->seats->onWritten(action, reply, now));
    };
    if (action.kind == SeatAction::Kind::Read)
        this->store.read(object, onReply);
    else
        this->store.write(object, toText(action.record), action.expected, onReply);
}

void Fleet::execute(const BorrowAction &action)
{
    const proto::SeatRecord *record = this->seats->recordOf(action.region, action.seat);
    const bool isReachable = record
        && (isSameProcess(record->holder(), this->self)
            || this->members->addressOf(record->holder()));
    if (isReachable)
        return this->send(record->holder(), action.message);
    this->requestSeatRecords();
    if (!action.message.has_borrow())
        return;
    const std::uint64_t loanId = action.message.borrow().loan();
    this->loop.post([this, isAlive = this->isAlive, loanId] {
        if (*isAlive)
            this->execute(this->borrower->onUnreachable(loanId, monoNow()));
    });
}

void Fleet::execute(const BorrowStep &step)
{
    for (const BorrowAction &action : step.actions)
        this->execute(action);
    for (const BorrowResult &result : step.results) {
        const auto found = this->pendingTokenRequests.find(result.request);
        if (found == this->pendingTokenRequests.end())
            continue;
        const TokenRequestHandler handler = std::move(found->second);
        this->pendingTokenRequests.erase(found);
        handler(result);
    }
}

std::uint64_t Fleet::requestTokens(const std::string &organisation, double tokens, Millis timeout,
                                   TokenRequestHandler handler)
{
    const std::uint64_t request = this->nextTokenRequestId++;
    this->pendingTokenRequests.emplace(request, std::move(handler));
    this->execute(this->borrower->start(request, organisation, tokens, timeout, monoNow()));
    return request;
}

void Fleet::cancelTokenRequest(std::uint64_t request)
{
    this->pendingTokenRequests.erase(request);
    this->execute(this->borrower->cancel(request, monoNow()));
}

void Fleet::returnTokens(std::uint64_t request, double unused)
{
    if (unused <= 0)
        return this->borrower->forget(request);
    this->execute(this->borrower->refund(request, unused, monoNow()));
}

void Fleet::replicateObjects(ReplicatedObjects objects, EngineUpdateHandlers handlers)
{
    ReplicatorHooks hooks;
    hooks.send = [this](const proto::ProcessId &to, const proto::Envelope &message) {
        this->send(to, message);
    };
    hooks.othersInRegion = [this] { return this->others(TaskScope::Region); };
    hooks.isAssigned = [this] { return this->isAssigned(StoreTask, StoreWatchers); };
    this->replicator.emplace(std::move(objects), std::move(hooks));
    this->engineUpdateHandlers = std::move(handlers);
}

std::vector<proto::ProcessId> Fleet::others(TaskScope scope) const
{
    std::vector<proto::ProcessId> found;
    for (const proto::Member &member : this->members->alive()) {
        if (scope == TaskScope::Fleet || member.region() == this->settings.region)
            found.push_back(member.id());
    }
    return found;
}

bool Fleet::isAssigned(std::string_view task, std::size_t count, TaskScope scope) const
{
    if (this->isLeaving)
        return false;
    std::vector<std::string> others;
    for (const proto::Member &member : this->members->alive()) {
        const bool isInScope
            = scope == TaskScope::Fleet || member.region() == this->settings.region;
        if (isInScope && !member.leaving())
            others.push_back(member.id().name());
    }
    return lavenderhall::isAssigned(this->settings.instance, others, task, count);
}

void Fleet::publishObjects(std::size_t kind)
{
    if (this->replicator)
        this->replicator->publish(kind);
}

void Fleet::leave()
{
    this->isLeaving = true;
    this->execute(this->members->beginLeaving());
    this->seats->leave();
    this->execute(this->seats->onTick(monoNow()));
}

bool Fleet::hasLeft() const
{
    return this->seats->hasLeft(monoNow());
}

Json Fleet::status() const
{
    Json peers = Json::array();
    for (const proto::Member &member : this->members->alive())
        peers.push_back({{"name", member.id().name()},
                         {"region", member.region()},
                         {"state", proto::MemberState_Name(member.state())}});
    Json heldSeats = Json::array();
    for (std::uint32_t index = 0; index < SeatsPerRegion; ++index) {
        if (this->seats->isHeld(index, monoNow()))
            heldSeats.push_back(index);
    }
    return {{"peers", std::move(peers)},
            {"seats_held", std::move(heldSeats)},
            {"accounts", this->lender->accountCount()}};
}

std::vector<std::string> Fleet::otherHosts() const
{
    std::vector<std::string> hosts;
    for (const proto::Member &member : this->members->alive()) {
        if (!member.leaving() && member.state() == proto::ALIVE)
            hosts.push_back(member.host());
    }
    return hosts;
}

void Fleet::updateMetrics()
{
    const LinkCounts counts = this->link ? this->link->counts() : LinkCounts{};
    this->metrics.setPeers(static_cast<double>(this->peerCount()));
    this->metrics.setSeatsHeld(static_cast<double>(this->seats->heldSeatCount(monoNow())));
    this->metrics.setPeerTraffic(counts);
}

} // namespace lavenderhall
