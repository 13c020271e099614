#include "limits/seats.h"

/// The part of SeatKeeper that calls the store and takes in its answers.
namespace lavenderhall {

/// Whether a conditional write may be made now; asks for a read first if the object's version is
/// not known.
bool SeatKeeper::mayCallStore(std::uint32_t index, Seat &seat, MonoTime now,
                              std::vector<SeatAction> &actions)
{
    if (now < seat.nextTry)
        return false;
    if (seat.version != 0 || seat.isMissing)
        return true;
    this->read(index, seat, now, actions);
    return false;
}

void SeatKeeper::write(std::uint32_t index, Seat &seat, SeatAction::Purpose purpose,
                       proto::SeatRecord record, MonoTime now, std::vector<SeatAction> &actions)
{
    seat.isBusy = true;
    seat.nextTry = now + this->timings.lease / 6;
    if (record.term() != seat.record.term() && !seat.uncertainSince)
        seat.uncertainSince = now;
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
    seat.isBusy = true;
    seat.nextRead = now + this->timings.readInterval;
    SeatAction action;
    action.kind = SeatAction::Kind::Read;
    action.region = this->self.region;
    action.index = index;
    action.startedAt = now;
    actions.push_back(std::move(action));
}

std::vector<SeatAction> SeatKeeper::onRead(const SeatAction &asked, const StoreReply &reply,
                                           MonoTime now)
{
    std::vector<SeatAction> actions;
    Seat &seat = this->seats.at(asked.index);
    seat.isBusy = false;
    if (reply.status == StoreStatus::NotFound) {
        seat.isMissing = seat.record.term() == 0;
        seat.record.set_index(asked.index);
        this->tickSeat(asked.index, seat, now, actions);
        return actions;
    }
    if (reply.status != StoreStatus::Ok) {
        seat.nextRead = now;
        seat.nextTry = now + this->timings.lease / 3;
        return actions;
    }
    const auto parsed
        = attempt([&] { return parseSeat(reply.body, seatObjectName(asked.region, asked.index)); });
    if (!std::holds_alternative<proto::SeatRecord>(parsed))
        return actions;
    const auto &record = std::get<proto::SeatRecord>(parsed);
    this->adopt(seat, record, now);
    // The version goes with the record only if nothing newer has been learnt meanwhile.
    const bool isCurrent
        = record.term() == seat.record.term() && record.renewals() == seat.record.renewals();
    seat.version = isCurrent ? reply.version : 0;
    this->tickSeat(asked.index, seat, now, actions);
    return actions;
}

std::vector<SeatAction> SeatKeeper::onWritten(const SeatAction &asked, const StoreReply &reply,
                                              MonoTime now)
{
    std::vector<SeatAction> actions;
    Seat &seat = this->seats.at(asked.index);
    seat.isBusy = false;
    const bool isKnownUnapplied = reply.status == StoreStatus::Down
        || reply.status == StoreStatus::Limited || reply.status == StoreStatus::Conflict;
    if (isKnownUnapplied && seat.uncertainSince == asked.startedAt)
        seat.uncertainSince.reset();
    if (isKnownUnapplied && asked.purpose == SeatAction::Purpose::Pass) {
        seat.isFrozen = false;
    }
    if (reply.status == StoreStatus::Down || reply.status == StoreStatus::Limited) {
        seat.nextTry = now + this->timings.lease / 3;
        return actions;
    }
    if (reply.status != StoreStatus::Ok) {
        // Whatever the store holds now, it must be read before anything else is decided.
        seat.version = 0;
        seat.isMissing = false;
        seat.nextTry = now;
        return actions;
    }

    const std::int64_t oldTerm = seat.record.term();
    const bool wasFresh = seat.record.fresh();
    const MonoTime oldLease = seat.leaseUntil;
    const bool wasFirst = asked.expected == CreateVersion;
    const bool withLevels = seat.wasHandedOver;
    const auto levels = seat.handedLevels;
    this->adopt(seat, asked.record, now);
    if (seat.record.term() != asked.record.term()
        || seat.record.renewals() != asked.record.renewals())
        return actions;
    seat.version = reply.version;
    seat.uncertainSince.reset();
    if (asked.purpose == SeatAction::Purpose::Fence)
        return actions;
    if (asked.purpose == SeatAction::Purpose::Pass) {
        SeatAction action;
        action.to = asked.record.holder();
        action.message = envelopeOf(this->self.id);
        proto::Handover &handover = *action.message.mutable_handover();
        *handover.mutable_record() = asked.record;
        handover.set_with_levels(withLevels);
        for (const proto::AccountLevel &level : levels)
            *handover.add_levels() = level;
        actions.push_back(std::move(action));
        return actions;
    }
    seat.createdHere = wasFirst;
    if (asked.purpose == SeatAction::Purpose::Take) {
        seat.mayGrantAtStart = !wasFirst && !wasFresh;
        seat.tookAt = now;
    }
    seat.bumpedAt = asked.startedAt;
    // The witness of this very record cannot have known it before it was written.
    const auto term = asked.record.witness().name().empty()
        ? this->shrunk(this->timings.abandonTimeout)
        : MonoTime::duration(this->timings.lease);
    seat.leaseUntil = asked.startedAt + term;
    if (oldTerm == asked.record.term())
        seat.leaseUntil = std::max(seat.leaseUntil, oldLease);
    this->tickSeat(asked.index, seat, now, actions);
    return actions;
}

} // namespace lavenderhall
