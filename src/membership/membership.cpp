#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxRumours = 8;
constexpr std::size_t HelpersPerProbe = 3;
constexpr std::ptrdiff_t MaxSeeds = 64;
constexpr int RumourFactor = 3;
constexpr std::uint32_t IncarnationRandomBits = 20;
constexpr Millis SeedPingInterval{5000};
constexpr Millis JoinPingInterval{300};

Address addressIn(const proto::Member &member)
{
    return {member.host(), static_cast<std::uint16_t>(member.port())};
}

} // namespace

std::uint64_t newIncarnation(std::int64_t wallMillis, std::uint64_t random)
{
    const std::uint64_t mask = (1U << IncarnationRandomBits) - 1;
    return (static_cast<std::uint64_t>(wallMillis) << IncarnationRandomBits) | (random & mask);
}

Membership::Membership(proto::Member self, std::vector<Address> seeds, MemberTimings timings,
                       std::uint64_t seed)
    : own(std::move(self))
    , seeds(std::move(seeds))
    , timings(timings)
    , random(seed)
{
    std::erase(this->seeds, addressIn(this->own));
    this->ownRumoursLeft = RumourFactor;
}

void Membership::addSeeds(const std::vector<Address> &more)
{
    for (const Address &seed : more) {
        const bool isKnown
            = std::find(this->seeds.begin(), this->seeds.end(), seed) != this->seeds.end();
        if (!isKnown && seed != addressIn(this->own))
            this->seeds.push_back(seed);
    }
    if (std::ssize(this->seeds) > MaxSeeds)
        this->seeds.erase(this->seeds.begin(), this->seeds.end() - MaxSeeds);
}

bool Membership::isUsable(const Entry &entry) const
{
    return entry.member.state() == proto::ALIVE || entry.member.state() == proto::SUSPECT;
}

int Membership::rumourBudget() const
{
    return RumourFactor
        * static_cast<int>(std::ceil(std::log2(static_cast<double>(this->table.size()) + 2)));
}

void Membership::setState(Entry &entry, proto::MemberState state, MonoTime now)
{
    const bool wasUp = this->isUsable(entry);
    entry.member.set_state(state);
    entry.since = now;
    entry.rumoursLeft = this->rumourBudget();
    if (wasUp != this->isUsable(entry))
        this->changes.push_back({entry.member, !wasUp});
}

void Membership::learn(const proto::Member &member, MonoTime now)
{
    const std::string &name = member.id().name();
    if (name.empty())
        return;
    if (name == this->own.id().name()) {
        const bool isAboutMe = member.id().incarnation() == this->own.id().incarnation();
        const bool isWrong = member.state() == proto::SUSPECT || member.state() == proto::DEAD;
        // Only this process may raise its sequence, which refutes the rumour.
        if (isAboutMe && isWrong && member.sequence() >= this->own.sequence()) {
            this->own.set_sequence(member.sequence() + 1);
            this->ownRumoursLeft = this->rumourBudget();
        }
        return;
    }
    const auto found = this->table.find(name);
    if (found == this->table.end()) {
        if (member.state() == proto::DEAD || member.state() == proto::LEFT)
            return;
        Entry &entry = this->table[name];
        entry.member = member;
        entry.member.set_state(proto::DEAD);
        return this->setState(entry, member.state(), now);
    }
    Entry &entry = found->second;
    const auto rank = [](const proto::Member &known) {
        return std::tuple(known.id().incarnation(), known.sequence(),
                          static_cast<int>(known.state()));
    };
    if (rank(member) <= rank(entry.member))
        return;
    const bool isNewProcess = member.id().incarnation() != entry.member.id().incarnation();
    if (isNewProcess && this->isUsable(entry))
        this->setState(entry, proto::DEAD, now);
    const proto::MemberState before = entry.member.state();
    const proto::MemberState state = member.state();
    entry.member = member;
    entry.member.set_state(before);
    if (before != state || isNewProcess)
        this->setState(entry, state, now);
}

void Membership::learnSender(const proto::ProcessId &from, MonoTime now)
{
    const auto found = this->table.find(from.name());
    if (found == this->table.end() || found->second.member.id().incarnation() != from.incarnation())
        return;
    // It speaks, so it lives; others are told when it refutes the rumour itself.
    const proto::MemberState state = found->second.member.state();
    if (state != proto::ALIVE && state != proto::LEFT)
        this->setState(found->second, proto::ALIVE, now);
}

void Membership::fillRumours(google::protobuf::RepeatedPtrField<proto::Member> &rumours, bool all)
{
    *rumours.Add() = this->own;
    if (this->ownRumoursLeft > 0)
        --this->ownRumoursLeft;
    if (all) {
        for (const auto &[name, entry] : this->table) {
            if (this->isUsable(entry))
                *rumours.Add() = entry.member;
        }
        return;
    }
    std::vector<Entry *> waiting;
    for (auto &[name, entry] : this->table) {
        if (entry.rumoursLeft > 0)
            waiting.push_back(&entry);
    }
    std::sort(waiting.begin(), waiting.end(), [](const Entry *one, const Entry *other) {
        return one->rumoursLeft > other->rumoursLeft;
    });
    for (Entry *entry : waiting) {
        if (rumours.size() > static_cast<int>(MaxRumours))
            break;
        *rumours.Add() = entry->member;
        --entry->rumoursLeft;
    }
}

PeerMessage Membership::ping(const Address &to, std::uint64_t number)
{
    PeerMessage action;
    action.to = to;
    *action.message.mutable_from() = this->own.id();
    proto::Ping &ping = *action.message.mutable_ping();
    ping.set_number(number);
    ping.set_config_version(this->configVersion);
    ping.mutable_revisions()->Add(this->revisions.begin(), this->revisions.end());
    ping.set_wants_all(!this->hasJoined);
    this->fillRumours(*ping.mutable_rumours(), false);
    return action;
}

void Membership::probe(Entry &entry, MonoTime now, std::vector<PeerMessage> &actions)
{
    Probe probe;
    probe.number = this->nextNumber++;
    probe.name = entry.member.id().name();
    probe.sentAt = now;
    actions.push_back(this->ping(addressIn(entry.member), probe.number));
    this->probes.push_back(std::move(probe));
}

std::vector<std::string> Membership::usableNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : this->table) {
        if (this->isUsable(entry))
            names.push_back(name);
    }
    return names;
}

// Each member comes up once in a round, in random order, so none waits long by bad luck.
void Membership::probeNext(MonoTime now, std::vector<PeerMessage> &actions)
{
    if (this->order.empty()) {
        this->order = this->usableNames();
        std::shuffle(this->order.begin(), this->order.end(), this->random);
    }
    while (!this->order.empty()) {
        const std::string name = this->order.back();
        this->order.pop_back();
        const auto found = this->table.find(name);
        if (found == this->table.end() || !this->isUsable(found->second))
            continue;
        return this->probe(found->second, now, actions);
    }
}

void Membership::probeDead(std::vector<PeerMessage> &actions)
{
    std::vector<Entry *> dead;
    for (auto &[name, entry] : this->table) {
        if (entry.member.state() == proto::DEAD)
            dead.push_back(&entry);
    }
    if (dead.empty())
        return;
    Entry *const entry = dead[this->random(static_cast<std::uint32_t>(dead.size()))];
    // It learns of its supposed death and refutes it.
    PeerMessage action = this->ping(addressIn(entry->member), this->nextNumber++);
    *action.message.mutable_ping()->add_rumours() = entry->member;
    actions.push_back(std::move(action));
}

void Membership::probeSeed(MonoTime now, std::vector<PeerMessage> &actions)
{
    this->nextSeedPing = now + (this->hasJoined ? SeedPingInterval : JoinPingInterval);
    std::vector<Address> unknown;
    for (const Address &seed : this->seeds) {
        const bool isKnown
            = std::any_of(this->table.begin(), this->table.end(), [&](const auto &entry) {
                  return addressIn(entry.second.member) == seed && this->isUsable(entry.second);
              });
        if (!isKnown)
            unknown.push_back(seed);
    }
    if (unknown.empty())
        return;
    const auto index = this->random(static_cast<std::uint32_t>(unknown.size()));
    actions.push_back(this->ping(unknown[index], this->nextNumber++));
}

std::vector<PeerMessage> Membership::onTick(MonoTime now)
{
    std::vector<PeerMessage> actions;
    this->checkProbes(now, actions);
    this->checkStates(now);
    if (now >= this->nextSeedPing)
        this->probeSeed(now, actions);
    if (now >= this->nextPing) {
        this->nextPing = now + this->timings.pingInterval;
        this->probeNext(now, actions);
    }
    if (now >= this->nextDeadPing) {
        this->nextDeadPing = now + this->timings.deadPingInterval;
        this->probeDead(actions);
    }
    return actions;
}

void Membership::checkProbes(MonoTime now, std::vector<PeerMessage> &actions)
{
    for (Probe &probe : this->probes) {
        if (probe.onBehalfOf || probe.askedOthers || now - probe.sentAt < this->timings.ackTimeout)
            continue;
        probe.askedOthers = true;
        const auto target = this->table.find(probe.name);
        if (target == this->table.end())
            continue;
        std::vector<std::string> helpers = this->usableNames();
        std::erase(helpers, probe.name);
        std::shuffle(helpers.begin(), helpers.end(), this->random);
        helpers.resize(std::min(helpers.size(), HelpersPerProbe));
        for (const std::string &helper : helpers) {
            PeerMessage action;
            action.to = addressIn(this->table.at(helper).member);
            *action.message.mutable_from() = this->own.id();
            proto::PingRequest &request = *action.message.mutable_ping_request();
            request.set_number(probe.number);
            *request.mutable_target() = target->second.member.id();
            request.set_host(target->second.member.host());
            request.set_port(target->second.member.port());
            actions.push_back(std::move(action));
        }
    }
    for (const Probe &probe : this->probes) {
        const auto target = this->table.find(probe.name);
        const bool isOver = now - probe.sentAt >= this->timings.suspectAfter;
        if (!isOver || probe.onBehalfOf || target == this->table.end())
            continue;
        if (target->second.member.state() == proto::ALIVE)
            this->setState(target->second, proto::SUSPECT, now);
    }
    std::erase_if(this->probes, [&](const Probe &probe) {
        return now - probe.sentAt >= this->timings.suspectAfter;
    });
}

void Membership::checkStates(MonoTime now)
{
    for (auto &[name, entry] : this->table) {
        if (entry.member.state() == proto::SUSPECT && now - entry.since > this->timings.deadAfter)
            this->setState(entry, proto::DEAD, now);
    }
    std::erase_if(this->table, [&](const auto &entry) {
        return !this->isUsable(entry.second)
            && now - entry.second.since > this->timings.forgetAfter;
    });
}

void Membership::hearConfig(const proto::ProcessId &from, std::int64_t version)
{
    if (version <= this->configVersion || version < this->news.version)
        return;
    this->news = {version, from};
}

template <typename Message>
void Membership::hearRevisions(const proto::ProcessId &from, const Message &message)
{
    const std::size_t kinds
        = std::min(this->revisions.size(), static_cast<std::size_t>(message.revisions_size()));
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        const std::int64_t revision = message.revisions(static_cast<int>(kind));
        if (revision > this->revisions[kind])
            this->revisionNews.push_back({kind, revision, from});
    }
}

std::vector<Membership::NewerRevision> Membership::takeNewerRevisions()
{
    return std::exchange(this->revisionNews, {});
}

std::optional<Membership::NewerConfig> Membership::takeNewerConfig()
{
    if (this->news.version <= this->configVersion)
        return std::nullopt;
    return std::exchange(this->news, {});
}

std::vector<PeerMessage> Membership::onMessage(const proto::Envelope &message, MonoTime now)
{
    std::vector<PeerMessage> actions;
    if (message.has_ping()) {
        const proto::Ping &ping = message.ping();
        for (const proto::Member &rumour : ping.rumours())
            this->learn(rumour, now);
        this->learnSender(message.from(), now);
        this->hearConfig(message.from(), ping.config_version());
        this->hearRevisions(message.from(), ping);
        const auto address = this->addressOf(message.from());
        if (!address)
            return actions;
        PeerMessage action;
        action.to = *address;
        *action.message.mutable_from() = this->own.id();
        proto::Ack &ack = *action.message.mutable_ack();
        ack.set_number(ping.number());
        ack.set_config_version(this->configVersion);
        ack.mutable_revisions()->Add(this->revisions.begin(), this->revisions.end());
        this->fillRumours(*ack.mutable_rumours(), ping.wants_all());
        actions.push_back(std::move(action));
    } else if (message.has_ack()) {
        this->onAck(message, now, actions);
    } else if (message.has_ping_request()) {
        this->onPingRequest(message, now, actions);
    }
    return actions;
}

void Membership::onAck(const proto::Envelope &message, MonoTime now,
                       std::vector<PeerMessage> &actions)
{
    const proto::Ack &ack = message.ack();
    for (const proto::Member &rumour : ack.rumours())
        this->learn(rumour, now);
    this->hasJoined = true;
    this->hearConfig(message.from(), ack.config_version());
    this->hearRevisions(message.from(), ack);
    const auto found
        = std::find_if(this->probes.begin(), this->probes.end(),
                       [&ack](const Probe &probe) { return probe.number == ack.number(); });
    if (found == this->probes.end())
        return this->learnSender(message.from(), now);
    if (found->onBehalfOf) {
        PeerMessage action;
        action.to = *found->onBehalfOf;
        *action.message.mutable_from() = this->own.id();
        proto::Ack &relayed = *action.message.mutable_ack();
        relayed.set_number(found->askersNumber);
        const auto target = this->table.find(found->name);
        if (target != this->table.end())
            *relayed.add_rumours() = target->second.member;
        actions.push_back(std::move(action));
    } else {
        // The answer may have come through a helper; the one that was asked about lives.
        const auto target = this->table.find(found->name);
        if (target != this->table.end())
            this->learnSender(target->second.member.id(), now);
    }
    this->probes.erase(found);
}

void Membership::onPingRequest(const proto::Envelope &message, MonoTime now,
                               std::vector<PeerMessage> &actions)
{
    const auto asker = this->addressOf(message.from());
    if (!asker)
        return;
    const proto::PingRequest &request = message.ping_request();
    Probe probe;
    probe.number = this->nextNumber++;
    probe.name = request.target().name();
    probe.sentAt = now;
    probe.onBehalfOf = asker;
    probe.askersNumber = request.number();
    const Address target{request.host(), static_cast<std::uint16_t>(request.port())};
    actions.push_back(this->ping(target, probe.number));
    this->probes.push_back(std::move(probe));
}

std::vector<PeerMessage> Membership::beginLeaving()
{
    this->own.set_leaving(true);
    this->own.set_sequence(this->own.sequence() + 1);
    this->ownRumoursLeft = this->rumourBudget();
    return this->pingRandomMembers(MaxRumours);
}

std::vector<PeerMessage> Membership::leave()
{
    this->own.set_state(proto::LEFT);
    this->own.set_sequence(this->own.sequence() + 1);
    return this->pingRandomMembers(MaxRumours);
}

std::vector<PeerMessage> Membership::pingRandomMembers(std::size_t count)
{
    std::vector<PeerMessage> actions;
    std::vector<std::string> names = this->usableNames();
    std::shuffle(names.begin(), names.end(), this->random);
    names.resize(std::min(names.size(), count));
    for (const std::string &name : names)
        actions.push_back(this->ping(addressIn(this->table.at(name).member), this->nextNumber++));
    return actions;
}

std::vector<proto::Member> Membership::alive() const
{
    std::vector<proto::Member> members;
    for (const auto &[name, entry] : this->table) {
        if (this->isUsable(entry))
            members.push_back(entry.member);
    }
    return members;
}

std::size_t Membership::knownCount() const
{
    return static_cast<std::size_t>(
        std::count_if(this->table.begin(), this->table.end(), [](const auto &entry) {
            return entry.second.member.state() != proto::LEFT;
        }));
}

std::optional<Address> Membership::addressOf(const proto::ProcessId &id) const
{
    const auto found = this->table.find(id.name());
    if (found == this->table.end())
        return std::nullopt;
    const proto::Member &member = found->second.member;
    if (member.id().incarnation() != id.incarnation())
        return std::nullopt;
    return addressIn(member);
}

std::vector<MemberChange> Membership::takeChanges()
{
    return std::exchange(this->changes, {});
}

} // namespace lavenderhall
