#include "limits/seats.h"

#include "base/log.h"
#include "store/storerevision.h"

/// The part of SeatKeeper that calls the store and handles its replies.
namespace lavenderhall {

namespace {

// The least time between two writes of a seat's record is the lease divided by this.
constexpr int WritesPerLease = 6;
// After the store has failed or limited a call, the next one is made after the lease divided by
// this.
constexpr int StoreRetriesPerLease = 3;

} // namespace

bool SeatKeeper::mayCallStore(std::uint32_t index, Seat &seat, MonoTime now,
                              std::vector<SeatAction> &actions)
{
    if (now < seat.nextStoreCall)
        return false;
    if (seat.version != 0 || seat.isMissing)
        return true;
    this->read(index, seat, now, actions);
    return false;
}

void SeatKeeper::write(std::uint32_t index, Seat &seat, SeatAction::Purpose purpose,
                       proto::SeatRecord record, MonoTime now, std::vector<SeatAction> &actions)
{
    seat.hasOpenStoreCall = true;
    seat.nextStoreCall = now + this->timings.lease / WritesPerLease;
    if (record.term() != seat.record.term() && !seat.unresolvedWriteSince)
        seat.unresolvedWriteSince = now;
    SeatAction action;
    action.kind = SeatAction::Kind::Write;
    action.region = this->self.region;
    action.index = index;
    action.purpose = purpose;
    action.record = std::move(record);
    action.expected = seat.isMissing ? CreateVersion : seat.version;
    action.startedAt = now;
    actions.push_back(std::move(action));
}

void SeatKeeper::read(std::uint32_t index, Seat &seat, MonoTime now,
                      std::vector<SeatAction> &actions)
{
    seat.hasOpenStoreCall = true;
    seat.nextRead = now + this->timings.readInterval;
    SeatAction action;
    action.kind = SeatAction::Kind::Read;
    action.region = this->self.region;
    action.index = index;
    action.startedAt = now;
    actions.push_back(std::move(action));
}

// Another process may have taken the seat and the store may have lost that, so whoever takes the
// seat in the new era waits as if the record had just changed.
void SeatKeeper::applyEra(Seat &seat, std::int64_t era, MonoTime now)
{
    if (era <= seat.era)
        return;
    if (seat.era > 0)
        seat.recordSeenAt = now;
    seat.era = era;
}

std::vector<SeatAction> SeatKeeper::onRead(const SeatAction &call, const StoreReply &reply,
                                           MonoTime now)
{
    std::vector<SeatAction> actions;
    Seat &seat = this->seats.at(call.index);
    seat.hasOpenStoreCall = false;
    if (reply.status == StoreStatus::NotFound) {
        // A store that came back from an older copy may have lost a record that is known here; it
        // is then created again.
        seat.isMissing = true;
        seat.record.set_index(call.index);
        this->tickSeat(call.index, seat, now, actions);
        return actions;
    }
    if (reply.status != StoreStatus::Ok) {
        seat.nextRead = now;
        seat.nextStoreCall = now + this->timings.lease / StoreRetriesPerLease;
        return actions;
    }
    const auto parsed = toOutcome(
        [&] { return parseSeatRecord(reply.body, seatObjectName(call.region, call.index)); });
    if (const auto *error = std::get_if<Error>(&parsed)) {
        logEvent(LogLevel::Warning, "seat_record_malformed",
                 {{"region", call.region}, {"seat", call.index}, {"detail", error->detail}});
        return actions;
    }
    const auto &record = std::get<proto::SeatRecord>(parsed);
    this->applyEra(seat, eraOf(reply.version), now);
    this->updateRecord(seat, record, now);
    // A newer record than the one read may be known here: it was written after the read, and the
    // next write fails, or the store has lost it, and the next write restores it.
    seat.version = reply.version;
    this->tickSeat(call.index, seat, now, actions);
    return actions;
}

void SeatKeeper::announce(const Seat &seat, std::vector<SeatAction> &actions) const
{
    for (const SeatMember &member : this->members) {
        if (member.region != this->self.region)
            continue;
        SeatAction action;
        action.to = member.id;
        action.message = makeEnvelope(this->self.id);
        *action.message.mutable_seat_hints()->add_records() = seat.record;
        actions.push_back(std::move(action));
    }
}

std::vector<SeatAction> SeatKeeper::onWritten(const SeatAction &call, const StoreReply &reply,
                                              MonoTime now)
{
    std::vector<SeatAction> actions;
    Seat &seat = this->seats.at(call.index);
    seat.hasOpenStoreCall = false;
    const bool isSurelyNotApplied = reply.status == StoreStatus::Down
        || reply.status == StoreStatus::Limited || reply.status == StoreStatus::Conflict;
    if (isSurelyNotApplied && seat.unresolvedWriteSince == call.startedAt)
        seat.unresolvedWriteSince.reset();
    if (isSurelyNotApplied && call.purpose == SeatAction::Purpose::HandOver) {
        seat.isFrozen = false;
    }
    if (reply.status == StoreStatus::Down || reply.status == StoreStatus::Limited) {
        seat.nextStoreCall = now + this->timings.lease / StoreRetriesPerLease;
        return actions;
    }
    if (reply.status != StoreStatus::Ok) {
        // The content of the object is unknown now, so it must be read before the next write.
        seat.version = 0;
        seat.isMissing = false;
        seat.nextStoreCall = now;
        return actions;
    }

    const std::int64_t oldTerm = seat.record.term();
    const bool wasFresh = seat.record.fresh();
    const MonoTime oldLease = seat.leaseUntil;
    const bool isFirstRecord = call.expected == CreateVersion && oldTerm == 0;
    // Copies, since updateRecord() resets the seat's state when the term changes.
    const bool withLevels = seat.wasHandedOver;
    const auto levels = seat.handedOverLevels;
    this->updateRecord(seat, call.record, now);
    if (seat.record.term() != call.record.term()
        || seat.record.renewals() != call.record.renewals())
        return actions;
    seat.version = reply.version;
    seat.unresolvedWriteSince.reset();
    if (call.purpose == SeatAction::Purpose::Fence)
        return actions;
    if (call.purpose == SeatAction::Purpose::HandOver) {
        SeatAction action;
        action.to = call.record.holder();
        action.message = makeEnvelope(this->self.id);
        proto::Handover &handover = *action.message.mutable_handover();
        *handover.mutable_record() = call.record;
        handover.set_with_levels(withLevels);
        for (const proto::AccountLevel &level : levels)
            *handover.add_levels() = level;
        actions.push_back(std::move(action));
        return actions;
    }
    seat.isCreatedHere = isFirstRecord;
    if (call.purpose == SeatAction::Purpose::Take) {
        this->announce(seat, actions);
        seat.mayGrantRestartTokens = !isFirstRecord && !wasFresh;
        seat.takenAt = now;
    }
    seat.lastWrittenAt = call.startedAt;
    // A witness named by this write cannot have learnt of it before the write started, and it waits
    // for a whole lease before it may take the seat. Without a witness only the abandonTimeout
    // counts.
    const auto leaseTime = call.record.witness().name().empty()
        ? this->subtractDriftMargin(this->timings.abandonTimeout)
        : MonoTime::duration(this->timings.lease);
    seat.leaseUntil = call.startedAt + leaseTime;
    if (oldTerm == call.record.term())
        seat.leaseUntil = std::max(seat.leaseUntil, oldLease);
    this->tickSeat(call.index, seat, now, actions);
    return actions;
}

} // namespace lavenderhall
