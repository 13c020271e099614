#include "router/fleet.h"

#include "base/digest.h"

namespace lavenderhall {

namespace {

constexpr Millis TickInterval{50};
constexpr Millis SeatQuestionInterval{300};
constexpr Millis ConfigQuestionInterval{200};
constexpr std::size_t ConfigFanOut = 4;
constexpr const char *BootIdFile = "/proc/sys/kernel/random/boot_id";

std::string readBootId()
{
    const auto text = attempt([] { return readFile(BootIdFile); });
    if (const auto *id = std::get_if<std::string>(&text))
        return id->substr(0, id->find('\n'));
    // Without it no process counts as the successor of another on the same machine.
    return randomHex(8);
}

} // namespace

Fleet::Fleet(http::Loop &loop, const Settings &settings, StoreClient &store, ConfigFeed &feed,
             TimelineRing &timeline, Metrics &metrics)
    : loop(loop)
    , settings(settings)
    , store(store)
    , feed(feed)
    , timeline(timeline)
    , metrics(metrics)
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
    const SeatSelf seatSelf{this->self, settings.region, settings.peer.host, settings.peer.port,
                            readBootId()};
    this->seats = std::make_unique<SeatKeeper>(seatSelf, this->timings);
    this->lender = std::make_unique<Lender>(settings.region, this->timings);
    this->seats->setLevelsSource(
        [this](std::uint32_t index) { return this->lender->levels(index, monoNow()); });
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

void Fleet::onConfig(const ActiveConfigPtr &config)
{
    const MonoTime now = monoNow();
    this->lender->configure(config->document, now);
    std::vector<std::string> regions{this->settings.region};
    for (const Region &region : config->document.regions) {
        if (region.name != this->settings.region)
            regions.push_back(region.name);
    }
    this->borrower->setRegions(std::move(regions));
    this->members->setConfigVersion(config->root.version);
    this->carryOut(this->members->pingSome(ConfigFanOut, now));
}

void Fleet::tick()
{
    const MonoTime now = monoNow();
    this->carryOut(this->members->onTick(now));
    this->takeMemberChanges();
    std::vector<SeatMember> alive;
    for (const proto::Member &member : this->members->alive())
        alive.push_back({member.id(), member.region(), member.zone()});
    if (!alive.empty() || this->feed.storeSilence() == Millis(0))
        this->lastCompany = now;
    this->seats->setMembers(std::move(alive), now);
    this->carryOut(this->seats->onTick(now));
    this->carryOut(this->borrower->onTick(now));
    this->askForConfig();
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
        this->timeline.add(
            change.gained ? EventKind::RightsGained : EventKind::RightsLost, "", "",
            {{"region", this->settings.region}, {"seat", change.index}, {"term", change.term}});
    }
}

void Fleet::sendTo(const http::Address &to, proto::Envelope message)
{
    if (!this->link)
        return;
    *message.mutable_from() = this->self;
    const HlcStamp stamp = this->timeline.latest();
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
    const std::string object = seatObject(action.region, action.index);
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
    this->carryOut(this->borrower->giveBack(request, unused, monoNow()));
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
        return this->receiveConfigOffer(message.config_offer());
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
    if (now < this->nextConfigQuestion)
        return;
    const auto news = this->members->takeConfigNews();
    if (!news || news->version <= this->feed.tracker().activeVersion())
        return;
    this->nextConfigQuestion = now + ConfigQuestionInterval;
    proto::Envelope question;
    proto::ConfigRequest &request = *question.mutable_config_request();
    request.set_known_version(this->feed.tracker().activeVersion());
    for (const auto &[digest, text] : this->feed.tracker().chunks())
        request.add_known_chunks(digest);
    this->send(news->from, std::move(question));
}

void Fleet::receiveConfigRequest(const proto::Envelope &message)
{
    const ConfigTracker &tracker = this->feed.tracker();
    if (tracker.activeVersion() <= message.config_request().known_version())
        return;
    const auto &known = message.config_request().known_chunks();
    proto::Envelope answer;
    proto::ConfigOffer &offer = *answer.mutable_config_offer();
    offer.set_root(toText(tracker.active()->root));
    for (const std::string &digest : tracker.active()->root.chunks) {
        if (std::find(known.begin(), known.end(), digest) == known.end())
            offer.add_chunks(tracker.chunks().at(digest));
    }
    this->send(message.from(), std::move(answer));
}

void Fleet::receiveConfigOffer(const proto::ConfigOffer &offer)
{
    const auto root = attempt([&] { return parseRoot(offer.root()); });
    if (const auto *good = std::get_if<ConfigRoot>(&root))
        this->feed.offer(*good, {offer.chunks().begin(), offer.chunks().end()});
}

void Fleet::leave()
{
    this->isLeaving = true;
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
    this->metrics.setSeatsHeld(static_cast<double>(this->seats->heldCount(monoNow())));
    this->metrics.setPeerTraffic(counts);
}

} // namespace lavenderhall
