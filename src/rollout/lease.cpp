#include "rollout/lease.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr const char *HolderField = "holder";
constexpr const char *IncarnationField = "incarnation";
constexpr const char *FenceField = "number";
constexpr const char *WriteField = "write";

} // namespace

Json toJson(const LeaseRecord &record)
{
    return {{HolderField, record.holder},
            {IncarnationField, std::to_string(record.incarnation)},
            {FenceField, record.fence},
            {WriteField, record.write}};
}

std::optional<LeaseRecord> parseLease(const Json &content)
{
    LeaseRecord record;
    record.holder = findText(content, HolderField);
    record.incarnation = std::strtoull(findText(content, IncarnationField).c_str(), nullptr, 10);
    record.fence = findInteger(content, FenceField);
    record.write = findInteger(content, WriteField);
    if (record.holder.empty() || record.fence <= 0)
        return std::nullopt;
    return record;
}

bool Lease::isOwn(const LeaseRecord &record) const
{
    return record.holder == this->holder && record.incarnation == this->incarnation;
}

bool Lease::isHeld(MonoTime now) const
{
    return this->lastRecord && this->isOwn(*this->lastRecord) && now < this->heldUntil;
}

bool Lease::wasLastHolder() const
{
    return this->lastRecord && this->lastRecord->holder == this->holder;
}

void Lease::onFenced(MonoTime now)
{
    this->heldUntil = {};
    this->hasRead = false;
    this->unchangedSince = now;
}

std::optional<LeaseAction> Lease::onTick(MonoTime now)
{
    if (!this->isWanted || this->isBusy)
        return std::nullopt;
    if (this->isHeld(now)) {
        if (now - this->lastWrite < this->timings.renewInterval)
            return std::nullopt;
        return this->write(this->lastRecord->fence, now);
    }
    const bool hasFreshRecord = this->hasRead && !this->unconfirmedWrite
        && now - this->lastRead < this->timings.readInterval;
    if (!hasFreshRecord) {
        this->isBusy = true;
        this->lastRead = now;
        return LeaseAction{LeaseAction::Kind::Read, {}, 0, now};
    }
    if (!this->isFree(now))
        return std::nullopt;
    return this->write(std::max(this->fence() + 1, firstFenceOf(this->era)), now);
}

// A record with this instance's name comes from this process or an earlier one. The earlier one has
// ended, as only one process runs under a name. Neither that nor a missing record proves anything
// in an era that began while another process may have held the lease.
bool Lease::isFree(MonoTime now) const
{
    const Millis wait = this->timings.lease + this->timings.margin;
    if (now - this->unchangedSince > wait)
        return true;
    if (!this->lastRecord)
        return this->era == 0;
    return this->lastRecord->holder == this->holder
        && (!this->eraChangedAt || now - *this->eraChangedAt > wait);
}

void Lease::applyEra(std::int64_t newEra, MonoTime now)
{
    if (newEra <= this->era)
        return;
    if (this->era > 0) {
        this->heldUntil = {};
        this->unconfirmedWrite.reset();
        this->hasRead = false;
        this->unchangedSince = now;
        this->eraChangedAt = now;
    }
    this->era = newEra;
}

// Each write has its own number, so that a write that the store applies late is never mistaken for
// a later one.
LeaseAction Lease::write(std::int64_t newFence, MonoTime now)
{
    LeaseAction action;
    action.kind = this->revision > 0 ? LeaseAction::Kind::Replace : LeaseAction::Kind::Create;
    action.record = {this->holder, this->incarnation, newFence, ++this->writeCount};
    action.revision = this->revision;
    action.sentAt = now;
    this->isBusy = true;
    this->lastWrite = now;
    return action;
}

void Lease::applyObject(const ObjectReply &reply, MonoTime now)
{
    this->hasRead = true;
    if (!reply.object) {
        if (this->lastRecord || this->unchangedSince == MonoTime{})
            this->unchangedSince = now;
        this->lastRecord.reset();
        this->revision = 0;
        return;
    }
    if (reply.object->revision == this->revision)
        return;
    this->revision = reply.object->revision;
    this->lastRecord = parseLease(reply.object->content);
    if (this->lastRecord)
        this->highestFence = std::max(this->highestFence, this->lastRecord->fence);
    this->unchangedSince = now;
}

// The store may have applied a write that it did not answer. The next read shows it: the object
// then contains the record of that write. The lease's validity starts when the write was sent, not
// when it was confirmed.
void Lease::onReply(const LeaseAction &request, const ObjectReply &reply, MonoTime now)
{
    this->isBusy = false;
    const bool isWrite = request.kind != LeaseAction::Kind::Read;
    const bool isDefinite = reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict
        || reply.status == StoreStatus::NotFound;
    if (!isDefinite) {
        const bool mayBeApplied = isWrite && reply.status == StoreStatus::Unknown;
        if (mayBeApplied)
            this->unconfirmedWrite = request;
        this->hasRead = false;
        return;
    }
    const bool isOtherEra = reply.era > this->era && this->era > 0;
    this->applyEra(reply.era, now);
    this->applyObject(reply, now);
    // The condition of a write that crossed eras says nothing about the holder in the new one.
    if (isOtherEra)
        return;
    const LeaseAction *confirmable = nullptr;
    if (isWrite)
        confirmable = &request;
    else if (this->unconfirmedWrite)
        confirmable = &*this->unconfirmedWrite;
    if (confirmable && this->lastRecord && *this->lastRecord == confirmable->record)
        this->heldUntil = confirmable->sentAt + this->timings.lease - this->timings.margin;
    this->unconfirmedWrite.reset();
}

} // namespace lavenderhall
