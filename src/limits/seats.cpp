#include "limits/seats.h"

#include "base/digest.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The record is written anew well before others may take it for abandoned.
constexpr int BumpsPerAbandonment = 4;

} // namespace

SeatKeeper::SeatKeeper(LocalProcess self, SeatTimings timings)
    : self(std::move(self))
    , timings(timings)
{
    for (std::uint32_t index = 0; index < timings.seats; ++index)
        this->seats[index];
}

MonoTime::duration SeatKeeper::stretched(MonoTime::duration time) const
{
    return std::chrono::duration_cast<MonoTime::duration>(time * (1 + this->timings.clockDrift));
}

MonoTime::duration SeatKeeper::shrunk(MonoTime::duration time) const
{
    return std::chrono::duration_cast<MonoTime::duration>(time * (1 - this->timings.clockDrift));
}

bool SeatKeeper::isHolder(const Seat &seat) const
{
    return seat.record.term() > 0 && isSame(seat.record.holder(), this->self.id);
}

bool SeatKeeper::isWitness(const Seat &seat) const
{
    return seat.record.term() > 0 && isSame(seat.record.witness(), this->self.id);
}

bool SeatKeeper::leaseRuns(const Seat &seat, MonoTime now) const
{
    return this->isHolder(seat) && !seat.isFrozen && now < seat.leaseUntil && now >= seat.notBefore;
}

bool SeatKeeper::isHeld(std::uint32_t index, MonoTime now) const
{
    const auto found = this->seats.find(index);
    return found != this->seats.end() && found->second.announced
        && this->leaseRuns(found->second, now);
}

std::size_t SeatKeeper::heldSeatCount(MonoTime now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->seats.begin(), this->seats.end(),
                      [&](const auto &entry) { return this->leaseRuns(entry.second, now); }));
}

bool SeatKeeper::isMember(const proto::ProcessId &id) const
{
    return std::any_of(this->members.begin(), this->members.end(),
                       [&id](const SeatMember &member) { return isSame(member.id, id); });
}

// Rendezvous hashing, members of the own region first: each seat has its own order of members.
const SeatMember *SeatKeeper::chooseMember(std::uint32_t index,
                                           const proto::ProcessId *excluded) const
{
    const SeatMember *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (const SeatMember &member : this->members) {
        if (excluded && isSame(member.id, *excluded))
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

bool SeatKeeper::isPreferred(std::uint32_t index) const
{
    const std::uint64_t own = hash64(this->self.id.name(), index + 1);
    return std::none_of(this->members.begin(), this->members.end(), [&](const SeatMember &member) {
        return member.region == this->self.region && hash64(member.id.name(), index + 1) > own;
    });
}

proto::SeatRecord SeatKeeper::ownRecord(std::uint32_t index, std::int64_t term,
                                        const proto::ProcessId *notWitness) const
{
    proto::SeatRecord record;
    record.set_region(this->self.region);
    record.set_index(index);
    record.set_term(term);
    *record.mutable_holder() = this->self.id;
    record.set_holder_host(this->self.host);
    record.set_holder_port(this->self.port);
    record.set_holder_boot(this->self.boot);
    if (const SeatMember *witness = this->chooseMember(index, notWitness))
        *record.mutable_witness() = witness->id;
    return record;
}

void SeatKeeper::setMembers(std::vector<SeatMember> alive, MonoTime now)
{
    const auto isOther
        = [](const SeatMember &one, const SeatMember &other) { return !isSame(one.id, other.id); };
    const bool isChanged = alive.size() != this->members.size()
        || !std::equal(alive.begin(), alive.end(), this->members.begin(),
                       [&](const auto &one, const auto &other) { return !isOther(one, other); });
    if (isChanged)
        this->membersSince = now;
    this->members = std::move(alive);
}

void SeatKeeper::reportLoss(std::uint32_t index, Seat &seat)
{
    if (!seat.announced)
        return;
    seat.announced = false;
    SeatChange change;
    change.index = index;
    this->changes.push_back(std::move(change));
}

void SeatKeeper::reportChange(std::uint32_t index, Seat &seat, MonoTime now)
{
    if (!this->leaseRuns(seat, now))
        return this->reportLoss(index, seat);
    if (seat.announced)
        return;
    seat.announced = true;
    SeatChange change;
    change.index = index;
    change.isGained = true;
    change.term = seat.record.term();
    change.isFirst = std::exchange(seat.createdHere, false);
    change.wasHandedOver = std::exchange(seat.wasHandedOver, false);
    change.mayGrantAtStart = std::exchange(seat.mayGrantAtStart, false) && !change.isFirst;
    change.levels = std::exchange(seat.handedLevels, {});
    this->changes.push_back(std::move(change));
}

void SeatKeeper::adopt(Seat &seat, const proto::SeatRecord &record, MonoTime now)
{
    const bool isNewer = record.term() > seat.record.term()
        || (record.term() == seat.record.term() && record.renewals() > seat.record.renewals());
    if (!isNewer)
        return;
    if (record.term() > seat.record.term()) {
        if (!isSame(record.holder(), this->self.id))
            this->reportLoss(record.index(), seat);
        // Whoever was told so by this process may decide until its lease is over.
        if (seat.lastAck != MonoTime{})
            seat.notBefore = seat.lastAck + this->stretched(this->timings.lease);
        seat.leaseUntil = {};
        seat.lastAck = {};
        seat.lastHeard = now;
        seat.bumpedAt = {};
        seat.uncertainSince.reset();
        seat.isFrozen = false;
        seat.createdHere = false;
        seat.mayGrantAtStart = false;
        seat.tookAt = now;
        seat.wasHandedOver = false;
        seat.handedLevels.clear();
    }
    // A witness waits a whole lease from here before it may take the seat.
    seat.recordSince = now;
    seat.record = record;
    seat.version = 0;
    seat.isMissing = false;
    seat.nextRead = now + this->timings.readInterval;
}

void SeatKeeper::learn(const proto::SeatRecord &record, MonoTime now)
{
    if (record.index() >= this->timings.seats || record.term() <= 0)
        return;
    if (record.region() == this->self.region)
        return this->adopt(this->seats[record.index()], record, now);
    proto::SeatRecord &known = this->elsewhere[record.region()][record.index()];
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
    for (const auto &[region, known] : this->elsewhere) {
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
    const auto known = this->elsewhere.find(region);
    if (known == this->elsewhere.end())
        return nullptr;
    const auto found = known->second.find(index);
    return found == known->second.end() || found->second.term() == 0 ? nullptr : &found->second;
}

std::vector<SeatAction> SeatKeeper::onTick(MonoTime now)
{
    std::vector<SeatAction> actions;
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
    if (seat.isBusy)
        return;
    if (this->isHolder(seat))
        return this->tickHolder(index, seat, now, actions);
    this->tickOther(index, seat, now, actions);
}

void SeatKeeper::sendRenew(Seat &seat, MonoTime now, std::vector<SeatAction> &actions)
{
    if (seat.record.witness().name().empty() || now - seat.lastRenew < this->timings.renewInterval)
        return;
    seat.lastRenew = now;
    SeatAction action;
    action.to = seat.record.witness();
    action.message = envelopeOf(this->self.id);
    proto::Renew &renew = *action.message.mutable_renew();
    *renew.mutable_record() = seat.record;
    renew.set_sent_us(now.time_since_epoch().count());
    actions.push_back(std::move(action));
}

void SeatKeeper::tickHolder(std::uint32_t index, Seat &seat, MonoTime now,
                            std::vector<SeatAction> &actions)
{
    if (seat.isFrozen) {
        // The write that passes the seat on may still apply, so only a read tells more.
        if (now >= seat.nextTry)
            this->read(index, seat, now, actions);
        return;
    }
    if (const SeatMember *next = this->successor(index, now))
        return this->passOn(index, seat, *next, now, actions);

    const bool hasWitness = !seat.record.witness().name().empty();
    const proto::ProcessId silent = seat.record.witness();
    // With nobody else alive a slow witness stays, but a dead one must not: alone, the holder
    // decides without one.
    const bool isReplaceable = this->chooseMember(index, &silent) || !this->isMember(silent);
    const bool isSilent
        = hasWitness && now - seat.lastHeard > this->timings.lease / 3 && isReplaceable;
    const bool wantsWitness = isSilent || (!hasWitness && !this->members.empty());
    const bool isSettled = now - seat.tookAt > this->stretched(this->timings.restartGrantInterval);
    const bool wantsBump = now - seat.bumpedAt > this->timings.abandonTimeout / BumpsPerAbandonment
        || (seat.record.fresh() && isSettled) || seat.uncertainSince
        || seat.record.holder_boot() != this->self.boot;
    if ((!wantsWitness && !wantsBump) || !this->mayCallStore(index, seat, now, actions))
        return;
    // An open write is fenced first: it must not apply after what follows is relied on.
    const bool swaps = wantsWitness && !seat.uncertainSince;
    proto::SeatRecord record = this->ownRecord(index, seat.record.term() + (swaps ? 1 : 0),
                                               hasWitness ? &silent : nullptr);
    if (!swaps)
        *record.mutable_witness() = seat.record.witness();
    record.set_fresh(seat.record.fresh() && !isSettled);
    record.set_renewals(seat.record.renewals() + 1);
    this->write(index, seat, SeatAction::Purpose::Renew, std::move(record), now, actions);
}

void SeatKeeper::tickOther(std::uint32_t index, Seat &seat, MonoTime now,
                           std::vector<SeatAction> &actions)
{
    if (seat.uncertainSince) {
        if (!this->mayCallStore(index, seat, now, actions))
            return;
        proto::SeatRecord record = seat.record;
        record.set_renewals(record.renewals() + 1);
        return this->write(index, seat, SeatAction::Purpose::Fence, std::move(record), now,
                           actions);
    }
    const bool isUnused = this->needed && !this->needed(index);
    if (this->leaving || isUnused)
        return;
    if (this->mayTake(seat, now)) {
        if (!this->mayCallStore(index, seat, now, actions))
            return;
        const proto::ProcessId before = seat.record.holder();
        const bool isNew = seat.record.term() == 0;
        proto::SeatRecord record
            = this->ownRecord(index, seat.record.term() + 1, isNew ? nullptr : &before);
        record.set_renewals(seat.record.renewals() + 1);
        record.set_fresh(!isNew);
        return this->write(index, seat, SeatAction::Purpose::Take, std::move(record), now, actions);
    }
    if (now >= seat.nextRead && now >= seat.nextTry)
        this->read(index, seat, now, actions);
}

bool SeatKeeper::mayTake(const Seat &seat, MonoTime now) const
{
    const proto::SeatRecord &record = seat.record;
    if (record.term() == 0)
        return seat.isMissing && this->isPreferred(record.index());
    // The same address on the same boot: the process that bound it before is dead.
    const bool isPredecessor = record.holder().name() == this->self.id.name()
        && record.holder_boot() == this->self.boot && record.holder_host() == this->self.host
        && record.holder_port() == this->self.port;
    if (isPredecessor)
        return true;
    if (this->isWitness(seat)) {
        const MonoTime quietSince = std::max(seat.lastAck, seat.recordSince);
        return now - quietSince > this->stretched(this->timings.lease);
    }
    return now - seat.recordSince > this->stretched(this->timings.abandonTimeout);
}

/// Whom the holder is to pass the seat on to, if to anybody: because it leaves, or because the
/// seat's place by rendezvous hashing is elsewhere.
const SeatMember *SeatKeeper::successor(std::uint32_t index, MonoTime now) const
{
    const bool mayRebalance = now - this->membersSince > this->timings.rebalanceDelay
        && now >= this->nextRebalance && !this->isPreferred(index);
    if (!this->leaving && !mayRebalance)
        return nullptr;
    const SeatMember *next = this->chooseMember(index, nullptr);
    return next && next->region == this->self.region ? next : nullptr;
}

void SeatKeeper::passOn(std::uint32_t index, Seat &seat, const SeatMember &next, MonoTime now,
                        std::vector<SeatAction> &actions)
{
    if (seat.uncertainSince || !this->mayCallStore(index, seat, now, actions))
        return;
    this->nextRebalance = now + this->timings.lease;
    // What was handed over but never decided on goes on as it came.
    const bool isDeciding = seat.announced && this->leaseRuns(seat, now);
    if (isDeciding && this->levelsOf) {
        seat.handedLevels = this->levelsOf(index);
        seat.wasHandedOver = true;
    }
    seat.isFrozen = true;
    this->reportLoss(index, seat);
    proto::SeatRecord record;
    record.set_region(this->self.region);
    record.set_index(index);
    record.set_term(seat.record.term() + 1);
    record.set_renewals(seat.record.renewals() + 1);
    record.set_fresh(seat.record.fresh());
    *record.mutable_holder() = next.id;
    if (const SeatMember *witness = this->chooseMember(index, &next.id))
        *record.mutable_witness() = witness->id;
    else if (!this->leaving)
        *record.mutable_witness() = this->self.id;
    this->write(index, seat, SeatAction::Purpose::Pass, std::move(record), now, actions);
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
        this->learn(handover.record(), now);
        if (handover.record().region() != this->self.region
            || handover.record().index() >= this->timings.seats)
            return actions;
        Seat &seat = this->seats.at(handover.record().index());
        if (this->isHolder(seat) && seat.record.term() == handover.record().term()
            && !seat.announced) {
            seat.handedLevels.assign(handover.levels().begin(), handover.levels().end());
            seat.wasHandedOver = handover.with_levels();
            // The holder before has ceased to decide before it named this one.
            seat.notBefore = {};
        }
    } else if (message.has_seat_hints()) {
        for (const proto::SeatRecord &record : message.seat_hints().records())
            this->learn(record, now);
    }
    return actions;
}

void SeatKeeper::onRenew(const proto::Envelope &message, MonoTime now,
                         std::vector<SeatAction> &actions)
{
    const proto::Renew &renew = message.renew();
    const proto::SeatRecord &record = renew.record();
    if (record.index() >= this->timings.seats || !isSame(record.holder(), message.from()))
        return;
    this->learn(record, now);
    SeatAction action;
    action.to = message.from();
    action.message = envelopeOf(this->self.id);
    proto::RenewAck &ack = *action.message.mutable_renew_ack();
    ack.set_region(record.region());
    ack.set_index(record.index());
    ack.set_term(record.term());
    ack.set_sent_us(renew.sent_us());
    if (record.region() != this->self.region) {
        // A witness in another region can attest, but does not take the seat itself.
        const proto::SeatRecord &known = this->elsewhere[record.region()][record.index()];
        ack.set_refused(known.term() != record.term() || !isSame(known.witness(), this->self.id));
        if (ack.refused())
            *ack.mutable_newer() = known;
        actions.push_back(std::move(action));
        return;
    }
    Seat &seat = this->seats.at(record.index());
    const bool isCurrent = seat.record.term() == record.term() && this->isWitness(seat);
    // While the fate of a write of its own is open, the witness may have taken the seat.
    if (isCurrent && seat.uncertainSince)
        return;
    ack.set_refused(!isCurrent);
    if (isCurrent)
        seat.lastAck = now;
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
            this->learn(ack.newer(), now);
        return;
    }
    if (!this->isHolder(seat) || ack.term() != seat.record.term()
        || !isSame(message.from(), seat.record.witness()))
        return;
    seat.lastHeard = now;
    const MonoTime sent{Micros(ack.sent_us())};
    MonoTime until = std::min(sent + MonoTime::duration(this->timings.lease),
                              seat.bumpedAt + this->shrunk(this->timings.abandonTimeout));
    // A write that names another witness may still apply; that one waits a lease from then on.
    if (seat.uncertainSince)
        until = std::min(until, *seat.uncertainSince + MonoTime::duration(this->timings.lease));
    seat.leaseUntil = std::max(seat.leaseUntil, until);
}

bool SeatKeeper::hasLeft(MonoTime now) const
{
    return std::none_of(this->seats.begin(), this->seats.end(), [&](const auto &entry) {
        const auto &[index, seat] = entry;
        return seat.isBusy || (this->leaseRuns(seat, now) && this->successor(index, now));
    });
}

std::vector<SeatChange> SeatKeeper::takeChanges()
{
    return std::exchange(this->changes, {});
}

} // namespace lavenderhall
