#include "limits/seats.h"

#include "base/digest.h"
#include "store/storerevision.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// A holder rewrites its record this many times per abandonTimeout, so that it does so well before
// others may take the seat.
constexpr int WritesPerAbandonTimeout = 3;
// A holder replaces a witness that has been silent for the lease divided by this.
constexpr int WitnessTimeoutsPerLease = 3;
// After its start, a process that does not rank first for a seat waits this many leases for the
// holder or another member to tell the record, before it reads the store.
constexpr int LeasesUntilFirstRead = 2;
constexpr std::size_t MaxRankDoublings = 6;

} // namespace

SeatKeeper::SeatKeeper(LocalProcess self, SeatTimings timings)
    : self(std::move(self))
    , timings(timings)
{
    for (std::uint32_t index = 0; index < timings.seats; ++index)
        this->seats[index];
}

MonoTime::duration SeatKeeper::addDriftMargin(MonoTime::duration time) const
{
    return std::chrono::duration_cast<MonoTime::duration>(time * (1 + this->timings.clockDrift));
}

MonoTime::duration SeatKeeper::subtractDriftMargin(MonoTime::duration time) const
{
    return std::chrono::duration_cast<MonoTime::duration>(time * (1 - this->timings.clockDrift));
}

bool SeatKeeper::isHolder(const Seat &seat) const
{
    return seat.record.term() > 0 && isSameProcess(seat.record.holder(), this->self.id);
}

bool SeatKeeper::isWitness(const Seat &seat) const
{
    return seat.record.term() > 0 && isSameProcess(seat.record.witness(), this->self.id);
}

bool SeatKeeper::isLeaseValid(const Seat &seat, MonoTime now) const
{
    return this->isHolder(seat) && !seat.isFrozen && now < seat.leaseUntil && now >= seat.notBefore;
}

bool SeatKeeper::isHeld(std::uint32_t index, MonoTime now) const
{
    const auto found = this->seats.find(index);
    return found != this->seats.end() && found->second.isAnnounced
        && this->isLeaseValid(found->second, now);
}

std::size_t SeatKeeper::heldSeatCount(MonoTime now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->seats.begin(), this->seats.end(),
                      [&](const auto &entry) { return this->isLeaseValid(entry.second, now); }));
}

bool SeatKeeper::isMember(const proto::ProcessId &id) const
{
    return std::any_of(this->members.begin(), this->members.end(),
                       [&id](const SeatMember &member) { return isSameProcess(member.id, id); });
}

// Rendezvous hashing: each seat ranks the members by a hash, members of the own region first.
const SeatMember *SeatKeeper::chooseMember(std::uint32_t index,
                                           const proto::ProcessId *excluded) const
{
    const SeatMember *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (const SeatMember &member : this->members) {
        if (excluded && isSameProcess(member.id, *excluded))
            continue;
        const std::pair<bool, std::uint64_t> rank{member.region == this->self.region,
                                                  hash64(member.id.name(), index + 1)};
        if (best && rank <= bestRank)
            continue;
        best = &member;
        bestRank = rank;
    }
    return best;
}

std::size_t SeatKeeper::rankOf(std::uint32_t index) const
{
    const std::uint64_t own = hash64(this->self.id.name(), index + 1);
    return static_cast<std::size_t>(
        std::count_if(this->members.begin(), this->members.end(), [&](const SeatMember &member) {
            return member.region == this->self.region && hash64(member.id.name(), index + 1) > own;
        }));
}

proto::SeatRecord SeatKeeper::makeOwnRecord(std::uint32_t index, std::int64_t term,
                                            const proto::ProcessId *excludedWitness) const
{
    proto::SeatRecord record;
    record.set_region(this->self.region);
    record.set_index(index);
    record.set_term(term);
    *record.mutable_holder() = this->self.id;
    record.set_holder_host(this->self.host);
    record.set_holder_port(this->self.port);
    record.set_holder_boot(this->self.boot);
    if (const SeatMember *witness = this->chooseMember(index, excludedWitness))
        *record.mutable_witness() = witness->id;
    return record;
}

void SeatKeeper::setMembers(std::vector<SeatMember> alive, MonoTime now)
{
    const auto isDifferent = [](const SeatMember &one, const SeatMember &other) {
        return !isSameProcess(one.id, other.id);
    };
    const bool isChanged = alive.size() != this->members.size()
        || !std::equal(alive.begin(), alive.end(), this->members.begin(),
                       [&](const auto &one, const auto &other) {
                           return !isDifferent(one, other);
                       });
    if (isChanged)
        this->membersSince = now;
    this->members = std::move(alive);
}

void SeatKeeper::reportLoss(std::uint32_t index, Seat &seat)
{
    if (!seat.isAnnounced)
        return;
    seat.isAnnounced = false;
    SeatChange change;
    change.index = index;
    this->changes.push_back(std::move(change));
}

void SeatKeeper::reportChange(std::uint32_t index, Seat &seat, MonoTime now)
{
    if (!this->isLeaseValid(seat, now))
        return this->reportLoss(index, seat);
    if (seat.isAnnounced)
        return;
    seat.isAnnounced = true;
    SeatChange change;
    change.index = index;
    change.isGained = true;
    change.term = seat.record.term();
    change.isFirst = std::exchange(seat.isCreatedHere, false);
    change.wasHandedOver = std::exchange(seat.wasHandedOver, false);
    change.mayGrantRestartTokens
        = std::exchange(seat.mayGrantRestartTokens, false) && !change.isFirst;
    change.levels = std::exchange(seat.handedOverLevels, {});
    this->changes.push_back(std::move(change));
}

// Terms that the store has lost are below those of its new era.
std::int64_t SeatKeeper::nextTerm(const Seat &seat) const
{
    return std::max(seat.record.term() + 1, firstFenceOf(seat.era));
}

void SeatKeeper::updateRecord(Seat &seat, const proto::SeatRecord &record, MonoTime now)
{
    const bool isNewer = record.term() > seat.record.term()
        || (record.term() == seat.record.term() && record.renewals() > seat.record.renewals());
    if (!isNewer)
        return;
    if (record.term() > seat.record.term()) {
        if (!isSameProcess(record.holder(), this->self.id))
            this->reportLoss(record.index(), seat);
        // The previous holder, whose lease this process renewed as witness, may decide until that
        // lease has expired.
        if (seat.lastAckSent != MonoTime{})
            seat.notBefore = seat.lastAckSent + this->addDriftMargin(this->timings.lease);
        seat.leaseUntil = {};
        seat.lastAckSent = {};
        seat.lastWitnessContact = now;
        seat.lastWrittenAt = {};
        seat.unresolvedWriteSince.reset();
        seat.isFrozen = false;
        seat.isCreatedHere = false;
        seat.mayGrantRestartTokens = false;
        seat.takenAt = now;
        seat.wasHandedOver = false;
        seat.handedOverLevels.clear();
    }
    // A witness waits for a whole lease from now on before it may take the seat.
    seat.recordSeenAt = now;
    seat.record = record;
    seat.version = 0;
    seat.isMissing = false;
    seat.nextRead = now + this->timings.readInterval;
}

void SeatKeeper::adoptIfNewer(const proto::SeatRecord &record, MonoTime now)
{
    const bool isPossible = record.index() < this->timings.seats && record.term() > 0
        && record.term() <= MaxSeatTerm && record.renewals() >= 0
        && record.renewals() <= MaxSeatTerm;
    if (!isPossible)
        return;
    if (record.region() == this->self.region)
        return this->updateRecord(this->seats[record.index()], record, now);
    proto::SeatRecord &known = this->remoteRecords[record.region()][record.index()];
    if (record.term() > known.term())
        known = record;
}

std::vector<proto::SeatRecord> SeatKeeper::allRecords() const
{
    std::vector<proto::SeatRecord> records;
    for (const auto &[index, seat] : this->seats) {
        if (seat.record.term() > 0)
            records.push_back(seat.record);
    }
    for (const auto &[region, known] : this->remoteRecords) {
        for (const auto &[index, record] : known)
            records.push_back(record);
    }
    return records;
}

const proto::SeatRecord *SeatKeeper::recordOf(const std::string &region, std::uint32_t index) const
{
    if (region == this->self.region) {
        const Seat &seat = this->seats.at(index);
        return seat.record.term() > 0 ? &seat.record : nullptr;
    }
    const auto known = this->remoteRecords.find(region);
    if (known == this->remoteRecords.end())
        return nullptr;
    const auto found = known->second.find(index);
    return found == known->second.end() || found->second.term() == 0 ? nullptr : &found->second;
}

std::vector<SeatAction> SeatKeeper::onTick(MonoTime now)
{
    std::vector<SeatAction> actions;
    if (!this->startedAt)
        this->startedAt = now;
    for (auto &[index, seat] : this->seats)
        this->tickSeat(index, seat, now, actions);
    return actions;
}

void SeatKeeper::tickSeat(std::uint32_t index, Seat &seat, MonoTime now,
                          std::vector<SeatAction> &actions)
{
    this->reportChange(index, seat, now);
    if (this->isHolder(seat) && !seat.isFrozen)
        this->sendRenew(seat, now, actions);
    if (seat.hasOpenStoreCall)
        return;
    if (this->isHolder(seat))
        return this->tickHolder(index, seat, now, actions);
    this->tickOther(index, seat, now, actions);
}

void SeatKeeper::sendRenew(Seat &seat, MonoTime now, std::vector<SeatAction> &actions)
{
    if (seat.record.witness().name().empty()
        || now - seat.lastRenewSent < this->timings.renewInterval)
        return;
    seat.lastRenewSent = now;
    SeatAction action;
    action.to = seat.record.witness();
    action.message = makeEnvelope(this->self.id);
    proto::Renew &renew = *action.message.mutable_renew();
    *renew.mutable_record() = seat.record;
    renew.set_sent_us(now.time_since_epoch().count());
    actions.push_back(std::move(action));
}

void SeatKeeper::tickHolder(std::uint32_t index, Seat &seat, MonoTime now,
                            std::vector<SeatAction> &actions)
{
    if (seat.isFrozen) {
        // The write that hands the seat over may still apply. Only a read shows whether it has.
        if (now >= seat.nextStoreCall)
            this->read(index, seat, now, actions);
        return;
    }
    if (const SeatMember *next = this->successor(index, now))
        return this->handOver(index, seat, *next, now, actions);

    const bool hasWitness = !seat.record.witness().name().empty();
    const proto::ProcessId witness = seat.record.witness();
    // If no other member is alive, a slow witness is kept. A dead one is removed, since a holder
    // that is alone decides without a witness.
    const bool isReplaceable = this->chooseMember(index, &witness) || !this->isMember(witness);
    const bool mustReplaceWitness = hasWitness
        && now - seat.lastWitnessContact > this->timings.lease / WitnessTimeoutsPerLease
        && isReplaceable;
    const bool needsWitness = mustReplaceWitness || (!hasWitness && !this->members.empty());
    const bool isRestartIntervalOver
        = now - seat.takenAt > this->addDriftMargin(this->timings.restartGrantInterval);
    const bool needsRecordWrite
        = now - seat.lastWrittenAt > this->timings.abandonTimeout / WritesPerAbandonTimeout
        || (seat.record.fresh() && isRestartIntervalOver) || seat.unresolvedWriteSince
        || seat.record.holder_boot() != this->self.boot;
    if ((!needsWitness && !needsRecordWrite) || !this->mayCallStore(index, seat, now, actions))
        return;
    // A write with an unknown outcome is fenced first by a write without a change of the witness:
    // it must not apply after this process relies on a later one.
    const bool replacesWitness = needsWitness && !seat.unresolvedWriteSince;
    proto::SeatRecord record
        = this->makeOwnRecord(index, replacesWitness ? this->nextTerm(seat) : seat.record.term(),
                              hasWitness ? &witness : nullptr);
    if (!replacesWitness)
        *record.mutable_witness() = seat.record.witness();
    record.set_fresh(seat.record.fresh() && !isRestartIntervalOver);
    record.set_renewals(seat.record.renewals() + 1);
    this->write(index, seat, SeatAction::Purpose::Renew, std::move(record), now, actions);
}

void SeatKeeper::tickOther(std::uint32_t index, Seat &seat, MonoTime now,
                           std::vector<SeatAction> &actions)
{
    if (seat.unresolvedWriteSince) {
        if (!this->mayCallStore(index, seat, now, actions))
            return;
        proto::SeatRecord record = seat.record;
        record.set_renewals(record.renewals() + 1);
        return this->write(index, seat, SeatAction::Purpose::Fence, std::move(record), now,
                           actions);
    }
    const bool isUnused = this->isNeeded && !this->isNeeded(index);
    if (this->isLeaving || isUnused)
        return;
    if (this->mayTake(seat, now)) {
        if (!this->mayCallStore(index, seat, now, actions))
            return;
        const proto::ProcessId previousHolder = seat.record.holder();
        const bool isNew = seat.record.term() == 0;
        proto::SeatRecord record
            = this->makeOwnRecord(index, this->nextTerm(seat), isNew ? nullptr : &previousHolder);
        record.set_renewals(seat.record.renewals() + 1);
        record.set_fresh(!isNew);
        return this->write(index, seat, SeatAction::Purpose::Take, std::move(record), now, actions);
    }
    // Right after the start of a fleet, each process would otherwise read each record.
    const bool mayBeTold = seat.record.term() == 0 && !this->isPreferred(index)
        && now - *this->startedAt < this->timings.lease * LeasesUntilFirstRead;
    if (now >= seat.nextRead && now >= seat.nextStoreCall && !mayBeTold)
        this->read(index, seat, now, actions);
}

bool SeatKeeper::mayTake(const Seat &seat, MonoTime now) const
{
    const proto::SeatRecord &record = seat.record;
    if (record.term() == 0)
        return seat.isMissing && this->isPreferred(record.index());
    // This process has bound the recorded address on the same boot, so the recorded holder, which
    // had bound it before, is dead.
    const bool isPredecessor = record.holder().name() == this->self.id.name()
        && record.holder_boot() == this->self.boot && record.holder_host() == this->self.host
        && record.holder_port() == this->self.port;
    if (isPredecessor)
        return true;
    if (this->isWitness(seat)) {
        const MonoTime quietSince = std::max(seat.lastAckSent, seat.recordSeenAt);
        return now - quietSince > this->addDriftMargin(this->timings.lease);
    }
    const std::size_t doublings = std::min(this->rankOf(record.index()), MaxRankDoublings);
    const auto timeout = this->timings.abandonTimeout * (1 << doublings);
    return now - seat.recordSeenAt > this->addDriftMargin(timeout);
}

const SeatMember *SeatKeeper::successor(std::uint32_t index, MonoTime now) const
{
    const bool mayRebalance = now - this->membersSince > this->timings.rebalanceDelay
        && now >= this->nextRebalance && !this->isPreferred(index);
    if (!this->isLeaving && !mayRebalance)
        return nullptr;
    const SeatMember *next = this->chooseMember(index, nullptr);
    return next && next->region == this->self.region ? next : nullptr;
}

void SeatKeeper::handOver(std::uint32_t index, Seat &seat, const SeatMember &next, MonoTime now,
                          std::vector<SeatAction> &actions)
{
    if (seat.unresolvedWriteSince || !this->mayCallStore(index, seat, now, actions))
        return;
    this->nextRebalance = now + this->timings.lease;
    // A process that has not decided for the seat yet passes on the levels that were handed over to
    // it.
    const bool isDeciding = seat.isAnnounced && this->isLeaseValid(seat, now);
    if (isDeciding && this->levelsOf) {
        seat.handedOverLevels = this->levelsOf(index);
        seat.wasHandedOver = true;
    }
    seat.isFrozen = true;
    this->reportLoss(index, seat);
    proto::SeatRecord record;
    record.set_region(this->self.region);
    record.set_index(index);
    record.set_term(this->nextTerm(seat));
    record.set_renewals(seat.record.renewals() + 1);
    record.set_fresh(seat.record.fresh());
    *record.mutable_holder() = next.id;
    if (const SeatMember *witness = this->chooseMember(index, &next.id))
        *record.mutable_witness() = witness->id;
    else if (!this->isLeaving)
        *record.mutable_witness() = this->self.id;
    this->write(index, seat, SeatAction::Purpose::HandOver, std::move(record), now, actions);
}

std::vector<SeatAction> SeatKeeper::onMessage(const proto::Envelope &message, MonoTime now)
{
    std::vector<SeatAction> actions;
    if (message.has_renew()) {
        this->onRenew(message, now, actions);
    } else if (message.has_renew_ack()) {
        this->onRenewAck(message, now);
    } else if (message.has_handover()) {
        const proto::Handover &handover = message.handover();
        this->adoptIfNewer(handover.record(), now);
        if (handover.record().region() != this->self.region
            || handover.record().index() >= this->timings.seats)
            return actions;
        Seat &seat = this->seats.at(handover.record().index());
        if (this->isHolder(seat) && seat.record.term() == handover.record().term()
            && !seat.isAnnounced) {
            seat.handedOverLevels.assign(handover.levels().begin(), handover.levels().end());
            seat.wasHandedOver = handover.with_levels();
            // The previous holder stopped deciding before it named this process as holder.
            seat.notBefore = {};
        }
    } else if (message.has_seat_hints()) {
        for (const proto::SeatRecord &record : message.seat_hints().records())
            this->adoptIfNewer(record, now);
    }
    return actions;
}

void SeatKeeper::onRenew(const proto::Envelope &message, MonoTime now,
                         std::vector<SeatAction> &actions)
{
    const proto::Renew &renew = message.renew();
    const proto::SeatRecord &record = renew.record();
    if (record.index() >= this->timings.seats || !isSameProcess(record.holder(), message.from()))
        return;
    this->adoptIfNewer(record, now);
    SeatAction action;
    action.to = message.from();
    action.message = makeEnvelope(this->self.id);
    proto::RenewAck &ack = *action.message.mutable_renew_ack();
    ack.set_region(record.region());
    ack.set_index(record.index());
    ack.set_term(record.term());
    ack.set_sent_us(renew.sent_us());
    if (record.region() != this->self.region) {
        // A witness in another region renews the lease but does not take the seat.
        const proto::SeatRecord &known = this->remoteRecords[record.region()][record.index()];
        ack.set_refused(known.term() != record.term()
                        || !isSameProcess(known.witness(), this->self.id));
        if (ack.refused())
            *ack.mutable_newer() = known;
        actions.push_back(std::move(action));
        return;
    }
    Seat &seat = this->seats.at(record.index());
    const bool isCurrent = seat.record.term() == record.term() && this->isWitness(seat);
    // While the outcome of a write by this process is unknown, it may have taken the seat itself,
    // so it must not renew the lease.
    if (isCurrent && seat.unresolvedWriteSince)
        return;
    ack.set_refused(!isCurrent);
    if (isCurrent)
        seat.lastAckSent = now;
    else
        *ack.mutable_newer() = seat.record;
    actions.push_back(std::move(action));
}

void SeatKeeper::onRenewAck(const proto::Envelope &message, MonoTime now)
{
    const proto::RenewAck &ack = message.renew_ack();
    if (ack.region() != this->self.region || ack.index() >= this->timings.seats)
        return;
    Seat &seat = this->seats.at(ack.index());
    if (ack.refused()) {
        if (ack.newer().region() == this->self.region)
            this->adoptIfNewer(ack.newer(), now);
        return;
    }
    if (!this->isHolder(seat) || ack.term() != seat.record.term()
        || !isSameProcess(message.from(), seat.record.witness()))
        return;
    const MonoTime sent{Micros(ack.sent_us())};
    if (sent > now)
        return;
    seat.lastWitnessContact = now;
    MonoTime until
        = std::min(sent + MonoTime::duration(this->timings.lease),
                   seat.lastWrittenAt + this->subtractDriftMargin(this->timings.abandonTimeout));
    // A write that names another witness may still apply. That witness may take the seat a lease
    // after the start of the write, so this lease must end by then.
    if (seat.unresolvedWriteSince)
        until
            = std::min(until, *seat.unresolvedWriteSince + MonoTime::duration(this->timings.lease));
    seat.leaseUntil = std::max(seat.leaseUntil, until);
}

bool SeatKeeper::hasLeft(MonoTime now) const
{
    return std::none_of(this->seats.begin(), this->seats.end(), [&](const auto &entry) {
        const auto &[index, seat] = entry;
        return seat.hasOpenStoreCall
            || (this->isLeaseValid(seat, now) && this->successor(index, now));
    });
}

std::vector<SeatChange> SeatKeeper::takeChanges()
{
    return std::exchange(this->changes, {});
}

} // namespace lavenderhall
