#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxRumours = 8; // per message, besides the sender's own entry
constexpr std::size_t HelpersPerProbe = 3; // members asked to ping one that does not answer
constexpr std::ptrdiff_t MaxSeeds = 64;
// A rumour is sent this many times the binary logarithm of the number of members.
constexpr int RumourFactor = 3;
constexpr std::uint32_t IncarnationRandomBits = 20;
constexpr Millis SeedPingInterval{5000}; // after the first ack
constexpr Millis JoinPingInterval{300}; // before it

Address addressIn(const proto::Member &member)
{
    return {member.host(), static_cast<std::uint16_t>(member.port())};
}

/// Whether messages can be sent to the address. It comes from other instances, and the transport
/// fails at one that it cannot parse.
bool isUsable(const std::string &host, std::uint32_t port)
{
    return port > 0 && port <= UINT16_MAX && isIpAddress(host);
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

bool Membership::isUp(const Entry &entry) const
{
    return entry.member.state() == proto::ALIVE || entry.member.state() == proto::SUSPECT;
}

int Membership::rumourBudget() const
{
    return RumourFactor
        * static_cast<int>(std::ceil(std::log2(static_cast<double>(this->entries.size()) + 2)));
}

void Membership::setState(Entry &entry, proto::MemberState state, MonoTime now)
{
    const bool wasUp = this->isUp(entry);
    entry.member.set_state(state);
    entry.since = now;
    entry.rumoursLeft = this->rumourBudget();
    if (wasUp != this->isUp(entry))
        this->changes.push_back({entry.member, !wasUp});
}

void Membership::applyRumour(const proto::Member &member, MonoTime now)
{
    const std::string &name = member.id().name();
    if (name.empty())
        return;
    if (name == this->own.id().name()) {
        const bool isAboutSelf = member.id().incarnation() == this->own.id().incarnation();
        const bool claimsFailure
            = member.state() == proto::SUSPECT || member.state() == proto::DEAD;
        // Only this process may raise its sequence number; the higher number refutes the rumour.
        if (isAboutSelf && claimsFailure && member.sequence() >= this->own.sequence()) {
            this->own.set_sequence(member.sequence() + 1);
            this->ownRumoursLeft = this->rumourBudget();
        }
        return;
    }
    if (!isUsable(member.host(), member.port()))
        return;
    const auto found = this->entries.find(name);
    if (found == this->entries.end()) {
        if (member.state() == proto::DEAD || member.state() == proto::LEFT)
            return;
        Entry &entry = this->entries[name];
        entry.member = member;
        entry.member.set_state(proto::DEAD);
        return this->setState(entry, member.state(), now);
    }
    Entry &entry = found->second;
    const auto rank = [](const proto::Member &version) {
        return std::tuple(version.id().incarnation(), version.sequence(),
                          static_cast<int>(version.state()));
    };
    if (rank(member) <= rank(entry.member))
        return;
    const bool isNewIncarnation = member.id().incarnation() != entry.member.id().incarnation();
    if (isNewIncarnation && this->isUp(entry))
        this->setState(entry, proto::DEAD, now);
    const proto::MemberState previousState = entry.member.state();
    const proto::MemberState state = member.state();
    entry.member = member;
    entry.member.set_state(previousState);
    if (previousState != state || isNewIncarnation)
        this->setState(entry, state, now);
}

void Membership::markSenderAlive(const proto::ProcessId &from, MonoTime now)
{
    const auto found = this->entries.find(from.name());
    if (found == this->entries.end()
        || found->second.member.id().incarnation() != from.incarnation())
        return;
    // A member that sends messages is alive. It refutes the rumour of its death to the others
    // itself.
    const proto::MemberState state = found->second.member.state();
    if (state != proto::ALIVE && state != proto::LEFT)
        this->setState(found->second, proto::ALIVE, now);
}

void Membership::fillRumours(google::protobuf::RepeatedPtrField<proto::Member> &rumours,
                             bool wantsAll)
{
    *rumours.Add() = this->own;
    if (this->ownRumoursLeft > 0)
        --this->ownRumoursLeft;
    if (wantsAll) {
        for (const auto &[name, entry] : this->entries) {
            if (this->isUp(entry))
                *rumours.Add() = entry.member;
        }
        return;
    }
    std::vector<Entry *> pending;
    for (auto &[name, entry] : this->entries) {
        if (entry.rumoursLeft > 0)
            pending.push_back(&entry);
    }
    std::sort(pending.begin(), pending.end(), [](const Entry *left, const Entry *right) {
        return left->rumoursLeft > right->rumoursLeft;
    });
    for (Entry *entry : pending) {
        if (rumours.size() > static_cast<int>(MaxRumours))
            break;
        *rumours.Add() = entry->member;
        --entry->rumoursLeft;
    }
}

PeerMessage Membership::ping(const Address &to, std::uint64_t number)
{
    PeerMessage outgoing;
    outgoing.to = to;
    *outgoing.message.mutable_from() = this->own.id();
    proto::Ping &ping = *outgoing.message.mutable_ping();
    ping.set_number(number);
    ping.set_config_version(this->configVersion);
    ping.mutable_revisions()->Add(this->revisions.begin(), this->revisions.end());
    ping.set_wants_all(!this->hasJoined);
    this->fillRumours(*ping.mutable_rumours(), false);
    return outgoing;
}

void Membership::probe(Entry &entry, MonoTime now, std::vector<PeerMessage> &outbox)
{
    Probe probe;
    probe.number = this->nextProbeNumber++;
    probe.name = entry.member.id().name();
    probe.sentAt = now;
    outbox.push_back(this->ping(addressIn(entry.member), probe.number));
    this->probes.push_back(std::move(probe));
}

std::vector<std::string> Membership::upMemberNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : this->entries) {
        if (this->isUp(entry))
            names.push_back(name);
    }
    return names;
}

// Each round pings every member once in random order, which bounds the time between two pings of
// the same member.
void Membership::probeNext(MonoTime now, std::vector<PeerMessage> &outbox)
{
    if (this->pingOrder.empty()) {
        this->pingOrder = this->upMemberNames();
        std::shuffle(this->pingOrder.begin(), this->pingOrder.end(), this->random);
    }
    while (!this->pingOrder.empty()) {
        const std::string name = this->pingOrder.back();
        this->pingOrder.pop_back();
        const auto found = this->entries.find(name);
        if (found == this->entries.end() || !this->isUp(found->second))
            continue;
        return this->probe(found->second, now, outbox);
    }
}

void Membership::probeDead(std::vector<PeerMessage> &outbox)
{
    std::vector<Entry *> dead;
    for (auto &[name, entry] : this->entries) {
        if (entry.member.state() == proto::DEAD)
            dead.push_back(&entry);
    }
    if (dead.empty())
        return;
    Entry *const entry = dead[this->random(static_cast<std::uint32_t>(dead.size()))];
    // The ping carries the member's own entry, so that a live member refutes its death.
    PeerMessage outgoing = this->ping(addressIn(entry->member), this->nextProbeNumber++);
    *outgoing.message.mutable_ping()->add_rumours() = entry->member;
    outbox.push_back(std::move(outgoing));
}

void Membership::probeSeed(MonoTime now, std::vector<PeerMessage> &outbox)
{
    this->nextSeedPing = now + (this->hasJoined ? SeedPingInterval : JoinPingInterval);
    std::vector<Address> unknown;
    for (const Address &seed : this->seeds) {
        const bool isKnown
            = std::any_of(this->entries.begin(), this->entries.end(), [&](const auto &entry) {
                  return addressIn(entry.second.member) == seed && this->isUp(entry.second);
              });
        if (!isKnown)
            unknown.push_back(seed);
    }
    if (unknown.empty())
        return;
    const auto index = this->random(static_cast<std::uint32_t>(unknown.size()));
    outbox.push_back(this->ping(unknown[index], this->nextProbeNumber++));
}

std::vector<PeerMessage> Membership::onTick(MonoTime now)
{
    std::vector<PeerMessage> outbox;
    this->checkProbes(now, outbox);
    this->checkStates(now);
    if (now >= this->nextSeedPing)
        this->probeSeed(now, outbox);
    if (now >= this->nextPing) {
        this->nextPing = now + this->timings.pingInterval;
        this->probeNext(now, outbox);
    }
    if (now >= this->nextDeadPing) {
        this->nextDeadPing = now + this->timings.deadPingInterval;
        this->probeDead(outbox);
    }
    return outbox;
}

void Membership::checkProbes(MonoTime now, std::vector<PeerMessage> &outbox)
{
    for (Probe &probe : this->probes) {
        if (probe.requester || probe.hasAskedHelpers
            || now - probe.sentAt < this->timings.ackTimeout)
            continue;
        probe.hasAskedHelpers = true;
        const auto target = this->entries.find(probe.name);
        if (target == this->entries.end())
            continue;
        std::vector<std::string> helpers = this->upMemberNames();
        std::erase(helpers, probe.name);
        std::shuffle(helpers.begin(), helpers.end(), this->random);
        helpers.resize(std::min(helpers.size(), HelpersPerProbe));
        for (const std::string &helper : helpers) {
            PeerMessage outgoing;
            outgoing.to = addressIn(this->entries.at(helper).member);
            *outgoing.message.mutable_from() = this->own.id();
            proto::PingRequest &request = *outgoing.message.mutable_ping_request();
            request.set_number(probe.number);
            *request.mutable_target() = target->second.member.id();
            request.set_host(target->second.member.host());
            request.set_port(target->second.member.port());
            outbox.push_back(std::move(outgoing));
        }
    }
    for (const Probe &probe : this->probes) {
        const auto target = this->entries.find(probe.name);
        const bool hasTimedOut = now - probe.sentAt >= this->timings.suspectAfter;
        if (!hasTimedOut || probe.requester || target == this->entries.end())
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
    for (auto &[name, entry] : this->entries) {
        if (entry.member.state() == proto::SUSPECT && now - entry.since > this->timings.deadAfter)
            this->setState(entry, proto::DEAD, now);
    }
    std::erase_if(this->entries, [&](const auto &entry) {
        return !this->isUp(entry.second) && now - entry.second.since > this->timings.forgetAfter;
    });
}

void Membership::noteConfigVersion(const proto::ProcessId &from, std::int64_t version)
{
    if (version <= this->configVersion || version < this->newerConfig.version)
        return;
    this->newerConfig = {version, from};
}

template <typename Message>
void Membership::noteRevisions(const proto::ProcessId &from, const Message &message)
{
    const std::size_t kinds
        = std::min(this->revisions.size(), static_cast<std::size_t>(message.revisions_size()));
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        const std::int64_t revision = message.revisions(static_cast<int>(kind));
        if (revision > this->revisions[kind])
            this->newerRevisions.push_back({kind, revision, from});
    }
}

std::vector<Membership::NewerRevision> Membership::takeNewerRevisions()
{
    return std::exchange(this->newerRevisions, {});
}

std::optional<Membership::NewerConfig> Membership::takeNewerConfig()
{
    if (this->newerConfig.version <= this->configVersion)
        return std::nullopt;
    return std::exchange(this->newerConfig, {});
}

std::vector<PeerMessage> Membership::onMessage(const proto::Envelope &message, MonoTime now)
{
    std::vector<PeerMessage> outbox;
    if (message.has_ping()) {
        const proto::Ping &ping = message.ping();
        for (const proto::Member &rumour : ping.rumours())
            this->applyRumour(rumour, now);
        this->markSenderAlive(message.from(), now);
        this->noteConfigVersion(message.from(), ping.config_version());
        this->noteRevisions(message.from(), ping);
        const auto address = this->addressOf(message.from());
        if (!address)
            return outbox;
        PeerMessage outgoing;
        outgoing.to = *address;
        *outgoing.message.mutable_from() = this->own.id();
        proto::Ack &ack = *outgoing.message.mutable_ack();
        ack.set_number(ping.number());
        ack.set_config_version(this->configVersion);
        ack.mutable_revisions()->Add(this->revisions.begin(), this->revisions.end());
        this->fillRumours(*ack.mutable_rumours(), ping.wants_all());
        outbox.push_back(std::move(outgoing));
    } else if (message.has_ack()) {
        this->onAck(message, now, outbox);
    } else if (message.has_ping_request()) {
        this->onPingRequest(message, now, outbox);
    }
    return outbox;
}

void Membership::onAck(const proto::Envelope &message, MonoTime now,
                       std::vector<PeerMessage> &outbox)
{
    const proto::Ack &ack = message.ack();
    for (const proto::Member &rumour : ack.rumours())
        this->applyRumour(rumour, now);
    this->hasJoined = true;
    this->noteConfigVersion(message.from(), ack.config_version());
    this->noteRevisions(message.from(), ack);
    const auto found
        = std::find_if(this->probes.begin(), this->probes.end(),
                       [&ack](const Probe &probe) { return probe.number == ack.number(); });
    if (found == this->probes.end())
        return this->markSenderAlive(message.from(), now);
    if (found->requester) {
        PeerMessage outgoing;
        outgoing.to = *found->requester;
        *outgoing.message.mutable_from() = this->own.id();
        proto::Ack &relayed = *outgoing.message.mutable_ack();
        relayed.set_number(found->requesterNumber);
        const auto target = this->entries.find(found->name);
        if (target != this->entries.end())
            *relayed.add_rumours() = target->second.member;
        outbox.push_back(std::move(outgoing));
    } else {
        // The ack may come from a helper that pinged the target; in both cases the target is alive.
        const auto target = this->entries.find(found->name);
        if (target != this->entries.end())
            this->markSenderAlive(target->second.member.id(), now);
    }
    this->probes.erase(found);
}

void Membership::onPingRequest(const proto::Envelope &message, MonoTime now,
                               std::vector<PeerMessage> &outbox)
{
    const auto requesterAddress = this->addressOf(message.from());
    if (!requesterAddress)
        return;
    const proto::PingRequest &request = message.ping_request();
    if (!isUsable(request.host(), request.port()))
        return;
    Probe probe;
    probe.number = this->nextProbeNumber++;
    probe.name = request.target().name();
    probe.sentAt = now;
    probe.requester = requesterAddress;
    probe.requesterNumber = request.number();
    const Address target{request.host(), static_cast<std::uint16_t>(request.port())};
    outbox.push_back(this->ping(target, probe.number));
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
    std::vector<PeerMessage> outbox;
    std::vector<std::string> names = this->upMemberNames();
    std::shuffle(names.begin(), names.end(), this->random);
    names.resize(std::min(names.size(), count));
    for (const std::string &name : names)
        outbox.push_back(
            this->ping(addressIn(this->entries.at(name).member), this->nextProbeNumber++));
    return outbox;
}

std::vector<proto::Member> Membership::alive() const
{
    std::vector<proto::Member> members;
    for (const auto &[name, entry] : this->entries) {
        if (this->isUp(entry))
            members.push_back(entry.member);
    }
    return members;
}

std::size_t Membership::knownCount() const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), [](const auto &entry) {
            return entry.second.member.state() != proto::LEFT;
        }));
}

std::optional<Address> Membership::addressOf(const proto::ProcessId &id) const
{
    const auto found = this->entries.find(id.name());
    if (found == this->entries.end())
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
