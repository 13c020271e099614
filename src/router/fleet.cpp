#include "router/fleet.h"

#include "base/digest.h"
#include "membership/duty.h"

namespace lavenderhall {

namespace {

constexpr Millis TickInterval{50};
constexpr Millis SeatQuestionInterval{300};
constexpr Millis ConfigQuestionInterval{200};
constexpr std::size_t ConfigFanOut = 4;
constexpr const char *StoreTask = "follow the store";
constexpr std::size_t StoreWatchers = 2; ///< in each region, so that one may fail
constexpr const char *BootIdFile = "/proc/sys/kernel/random/boot_id";

std::string readBootId()
{
    const auto text = toOutcome([] { return readFile(BootIdFile); });
    if (const auto *id = std::get_if<std::string>(&text))
        return id->substr(0, id->find('\n'));
    // Without it no process counts as the successor of another on the same machine.
    return randomHex(8);
}

/// What tells that a process with the same name and address succeeds another: the boot of its
/// machine, or the address itself where the platform gives it to one machine only.
std::string machineId(const Settings &settings)
{
    return settings.dialect == Dialect::Forward ? settings.peer.host : readBootId();
}

} // namespace

Fleet::Fleet(http::Loop &loop, const Settings &settings, SeatStore store,
             std::optional<ConfigSharing> configs, TimelineRing &timeline, Metrics &metrics,
             SeatTimings timings)
    : loop(loop)
    , settings(settings)
    , store(std::move(store))
    , configs(std::move(configs))
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
        = std::make_unique<Members>(member, settings.seeds, MemberTimings{}, randomSeed());
    const LocalProcess seatSelf{this->self, settings.region, settings.peer.host, settings.peer.port,
                                machineId(settings)};
    this->seats = std::make_unique<SeatKeeper>(seatSelf, this->timings);
    this->lender = std::make_unique<Lender>(settings.region, this->timings);
    // Where calls to the store are paid for, seats without accounts are left alone; elsewhere all
    // are taken before the first configuration comes, so that it can be served at once.
    if (settings.dialect == Dialect::Forward)
        this->seats->setNeeded(
            [this](std::uint32_t index) { return this->lender->isNeeded(index); });
    this->seats->setLevelsSource(
        [this](std::uint32_t index) { return this->lender->takeLevels(index, monoNow()); });
    BorrowerTimings borrowerTimings;
    borrowerTimings.loanValidity = this->timings.loanValidity;
    this->borrower = std::make_unique<Borrower>(1, borrowerTimings);
}

Fleet::~Fleet()
{
    *this->alive = false;
    this->link.reset();
}

void Fleet::start()
{
    const auto onMessage = [this, held = this->alive](const proto::Envelope &message) {
        this->loop.post([this, held, message] {
            if (*held)
                this->receive(message);
        });
    };
    this->link = std::make_unique<PeerLink>(
        this->settings.peer,
        LinkKeys{this->settings.fleetKeys.publicKey, this->settings.fleetKeys.secretKey},
        onMessage);
    this->lastCompany = monoNow();
    this->tick();
}

void Fleet::onConfig(std::int64_t version, const std::vector<Region> &regions,
                     const std::vector<Organisation> &organisations, const RestartTokens &restart)
{
    const MonoTime now = monoNow();
    this->lender->configure(regions, organisations, now, restart);
    std::vector<std::string> ownFirst{this->settings.region};
    for (const Region &region : regions) {
        if (region.name != this->settings.region)
            ownFirst.push_back(region.name);
    }
    this->borrower->setRegions(std::move(ownFirst));
    if (this->configs)
        this->members->setConfigVersion(version);
    this->carryOut(this->members->pingSome(ConfigFanOut));
}

void Fleet::tick()
{
    const MonoTime now = monoNow();
    if (this->objects)
        this->members->setRevisions(this->objects->revisions());
    this->carryOut(this->members->onTick(now));
    this->takeMemberChanges();
    std::vector<SeatMember> alive;
    const auto members = this->members->alive();
    for (const proto::Member &member : members) {
        if (!member.leaving())
            alive.push_back({member.id(), member.region(), member.zone()});
    }
    if (!members.empty() || this->store.silence() == Millis(0))
        this->lastCompany = now;
    this->seats->setMembers(std::move(alive), now);
    this->carryOut(this->seats->onTick(now));
    this->carryOut(this->borrower->onTick(now));
    this->size.onCount(members.size() + 1);
    this->askForConfig();
    if (this->objects)
        this->objects->onTick(this->members->takeRevisionNews(), now);
    this->timer = this->loop.after(TickInterval, [this] { this->tick(); });
}

bool Fleet::isCutOff() const
{
    return this->members->knownCount() > 0
        && monoNow() - this->lastCompany > this->settings.cutOffBound;
}

void Fleet::takeMemberChanges()
{
    for (const MemberChange &change : this->members->takeChanges()) {
        this->timeline.add(change.isUp ? EventKind::PeerUp : EventKind::PeerDown, "", "",
                           {{"peer", change.member.id().name()},
                            {"state", proto::MemberState_Name(change.member.state())}});
        logEvent(LogLevel::Info, change.isUp ? "peer_up" : "peer_down",
                 {{"peer", change.member.id().name()}});
    }
}

void Fleet::takeSeatChanges()
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

void Fleet::sendTo(const Address &to, proto::Envelope message)
{
    if (!this->link)
        return;
    *message.mutable_from() = this->self;
    const HlcTimestamp stamp = this->timeline.latest();
    message.set_wall_ms(stamp.wallMillis);
    message.set_counter(stamp.counter);
    this->link->send(to, message);
}

void Fleet::send(const proto::ProcessId &to, proto::Envelope message)
{
    if (isSame(to, this->self)) {
        *message.mutable_from() = this->self;
        this->loop.post([this, held = this->alive, message = std::move(message)] {
            if (*held)
                this->receive(message);
        });
        return;
    }
    if (const auto address = this->members->addressOf(to))
        this->sendTo(*address, std::move(message));
}

void Fleet::carryOut(const std::vector<MemberAction> &actions)
{
    for (const MemberAction &action : actions)
        this->sendTo(action.to, action.message);
}

void Fleet::carryOut(const std::vector<SeatAction> &actions)
{
    for (const SeatAction &action : actions) {
        if (action.kind == SeatAction::Kind::Send)
            this->send(action.to, action.message);
        else
            this->callStore(action);
    }
    this->takeSeatChanges();
}

void Fleet::callStore(const SeatAction &action)
{
    const std::string object = seatObjectName(action.region, action.index);
    const auto onReply = [this, held = this->alive, action](const StoreReply &reply) {
        if (!*held)
            return;
        const MonoTime now = monoNow();
        this->carryOut(action.kind == SeatAction::Kind::Read
                           ? this->seats->onRead(action, reply, now)
                           : this->seats->onWritten(action, reply, now));
    };
    if (action.kind == SeatAction::Kind::Read)
        this->store.read(object, onReply);
    else
        this->store.write(object, toText(action.record), action.expected, onReply);
}

void Fleet::carryOut(const BorrowAction &action)
{
    const proto::SeatRecord *record = this->seats->recordOf(action.region, action.seat);
    const bool isReachable = record
        && (isSame(record->holder(), this->self) || this->members->addressOf(record->holder()));
    if (isReachable)
        return this->send(record->holder(), action.message);
    this->askForSeats();
    if (!action.message.has_borrow())
        return;
    const std::uint64_t loan = action.message.borrow().loan();
    this->loop.post([this, held = this->alive, loan] {
        if (*held)
            this->carryOut(this->borrower->onUnreachable(loan, monoNow()));
    });
}

void Fleet::carryOut(const BorrowStep &step)
{
    for (const BorrowAction &action : step.actions)
        this->carryOut(action);
    for (const BorrowResult &result : step.results) {
        const auto found = this->waiting.find(result.request);
        if (found == this->waiting.end())
            continue;
        const TokensHandler handler = std::move(found->second);
        this->waiting.erase(found);
        handler(result);
    }
}

std::uint64_t Fleet::requestTokens(const std::string &organisation, double tokens, Millis patience,
                                   TokensHandler handler)
{
    const std::uint64_t request = this->nextRequest++;
    this->waiting.emplace(request, std::move(handler));
    this->carryOut(this->borrower->start(request, organisation, tokens, patience, monoNow()));
    return request;
}

void Fleet::cancelTokens(std::uint64_t request)
{
    this->waiting.erase(request);
    this->carryOut(this->borrower->cancel(request, monoNow()));
}

void Fleet::returnTokens(std::uint64_t request, double unused)
{
    if (unused <= 0)
        return this->borrower->forget(request);
    this->carryOut(this->borrower->refund(request, unused, monoNow()));
}

void Fleet::receive(const proto::Envelope &message)
{
    const MonoTime now = monoNow();
    this->timeline.observe({message.wall_ms(), message.counter()});
    switch (message.payload_case()) {
    case proto::Envelope::kPing:
    case proto::Envelope::kAck:
    case proto::Envelope::kPingRequest:
        this->carryOut(this->members->onMessage(message, now));
        this->takeMemberChanges();
        return this->askForConfig();
    case proto::Envelope::kBorrow:
        return this->receiveBorrow(message);
    case proto::Envelope::kLoan:
        if (message.loan().not_holder() && message.loan().has_holder())
            this->seats->learn(message.loan().holder(), now);
        return this->carryOut(this->borrower->onLoan(message.loan(), now));
    case proto::Envelope::kSettle:
        return this->lender->settle(message.from(), message.settle(), now);
    case proto::Envelope::kRefund:
        return this->lender->refund(message.from(), message.refund(), now);
    case proto::Envelope::kConfigRequest:
        return this->receiveConfigRequest(message);
    case proto::Envelope::kConfigOffer:
        if (this->configs)
            this->configs->take(message.config_offer());
        return;
    case proto::Envelope::kObjectsRequest:
    case proto::Envelope::kObjectsOffer:
    case proto::Envelope::kStoreBeat:
        return this->receiveObjects(message);
    case proto::Envelope::kWeightsNotice:
        if (this->engineNews.onWeights)
            this->engineNews.onWeights(message.weights_notice());
        return;
    case proto::Envelope::kLoadNews:
        if (this->engineNews.onLoad)
            this->engineNews.onLoad(message.load_news());
        return;
    case proto::Envelope::kSeatHints:
        if (message.seat_hints().wants_all()) {
            proto::Envelope answer;
            for (const proto::SeatRecord &record : this->seats->allRecords())
                *answer.mutable_seat_hints()->add_records() = record;
            answer.mutable_seat_hints();
            this->send(message.from(), std::move(answer));
        }
        return this->carryOut(this->seats->onMessage(message, now));
    default:
        return this->carryOut(this->seats->onMessage(message, now));
    }
}

void Fleet::receiveObjects(const proto::Envelope &message)
{
    if (!this->objects)
        return;
    if (message.has_objects_request())
        return this->objects->onRequest(message);
    if (message.has_objects_offer())
        return this->objects->onOffer(message);
    this->objects->onBeat(message, monoNow());
}

void Fleet::receiveBorrow(const proto::Envelope &message)
{
    const MonoTime now = monoNow();
    const proto::Borrow &borrow = message.borrow();
    const std::uint32_t seat = seatOf(borrow.organisation());
    const bool isHeld = borrow.region() == this->settings.region && this->seats->isHeld(seat, now);
    proto::Envelope answer;
    *answer.mutable_loan() = this->lender->lend(message.from(), borrow, isHeld, now);
    answer.mutable_loan()->set_region(borrow.region());
    if (!isHeld) {
        if (const auto *known = this->seats->recordOf(borrow.region(), seat))
            *answer.mutable_loan()->mutable_holder() = *known;
    }
    this->send(message.from(), std::move(answer));
}

void Fleet::askForSeats()
{
    const MonoTime now = monoNow();
    const auto alive = this->members->alive();
    if (now < this->nextSeatQuestion || alive.empty())
        return;
    this->nextSeatQuestion = now + SeatQuestionInterval;
    // One member of each region knows the seats there.
    std::map<std::string, std::vector<proto::ProcessId>> byRegion;
    for (const proto::Member &member : alive)
        byRegion[member.region()].push_back(member.id());
    for (const auto &[region, ids] : byRegion) {
        proto::Envelope question;
        question.mutable_seat_hints()->set_wants_all(true);
        this->send(ids[this->random(static_cast<std::uint32_t>(ids.size()))], std::move(question));
    }
}

void Fleet::askForConfig()
{
    const MonoTime now = monoNow();
    if (!this->configs || now < this->nextConfigQuestion)
        return;
    const auto news = this->members->takeConfigNews();
    if (!news || news->version <= this->configs->version())
        return;
    this->nextConfigQuestion = now + ConfigQuestionInterval;
    proto::Envelope question;
    *question.mutable_config_request() = this->configs->request();
    this->send(news->from, std::move(question));
}

void Fleet::receiveConfigRequest(const proto::Envelope &message)
{
    if (!this->configs)
        return;
    const auto offer = this->configs->answer(message.config_request());
    if (!offer)
        return;
    proto::Envelope answer;
    *answer.mutable_config_offer() = *offer;
    this->send(message.from(), std::move(answer));
}

void Fleet::shareObjects(ObjectSharing how, EngineNews onNews)
{
    SpreadLinks links;
    links.send = [this](const proto::ProcessId &to, const proto::Envelope &message) {
        this->send(to, message);
    };
    links.othersInRegion = [this] { return this->othersInRegion(); };
    links.isOnDuty = [this] { return this->isOnDuty(StoreTask, StoreWatchers); };
    this->objects.emplace(std::move(how), std::move(links));
    this->engineNews = std::move(onNews);
}

std::vector<proto::ProcessId> Fleet::othersInRegion() const
{
    std::vector<proto::ProcessId> others;
    for (const proto::Member &member : this->members->alive()) {
        if (member.region() == this->settings.region)
            others.push_back(member.id());
    }
    return others;
}

bool Fleet::isOnDuty(std::string_view task, std::size_t count) const
{
    if (this->isLeaving)
        return false;
    std::vector<std::string> others;
    for (const proto::Member &member : this->members->alive()) {
        if (member.region() == this->settings.region && !member.leaving())
            others.push_back(member.id().name());
    }
    return lavenderhall::isOnDuty(this->settings.instance, others, task, count);
}

void Fleet::publishObjects(std::size_t kind)
{
    if (this->objects)
        this->objects->publish(kind);
}

void Fleet::announce(const proto::WeightsNotice &notice)
{
    proto::Envelope message;
    *message.mutable_weights_notice() = notice;
    this->announce(message);
}

void Fleet::announce(const proto::LoadNews &news)
{
    proto::Envelope message;
    *message.mutable_load_news() = news;
    this->announce(message);
}

void Fleet::announce(const proto::Envelope &message)
{
    for (const proto::Member &member : this->members->alive())
        this->send(member.id(), message);
}

void Fleet::leave()
{
    this->isLeaving = true;
    this->carryOut(this->members->beginLeaving());
    this->seats->leave();
    this->carryOut(this->seats->onTick(monoNow()));
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
    Json held = Json::array();
    for (std::uint32_t index = 0; index < SeatsPerRegion; ++index) {
        if (this->seats->isHeld(index, monoNow()))
            held.push_back(index);
    }
    return {{"peers", std::move(peers)},
            {"seats_held", std::move(held)},
            {"accounts", this->lender->accountCount()}};
}

void Fleet::updateMetrics()
{
    const LinkCounts counts = this->link ? this->link->counts() : LinkCounts{};
    this->metrics.setPeers(static_cast<double>(this->peerCount()));
    this->metrics.setSeatsHeld(static_cast<double>(this->seats->heldSeatCount(monoNow())));
    this->metrics.setPeerTraffic(counts);
}

} // namespace lavenderhall
