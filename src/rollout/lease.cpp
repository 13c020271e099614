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
    return this->known && this->isOwn(*this->known) && now < this->heldUntil;
}

bool Lease::wasLastHolder() const
{
    return this->known && this->known->holder == this->holder;
}

void Lease::onFenced(MonoTime now)
{
    this->heldUntil = {};
    this->hasRead = false;
    this->unchangedSince = now;
}

std::optional<LeaseAction> Lease::onTick(MonoTime now)
{
    if (!this->wanted || this->isBusy)
        return std::nullopt;
    if (this->isHeld(now)) {
        if (now - this->lastWrite < this->timings.renewInterval)
            return std::nullopt;
        return this->write(this->known->fence, now);
    }
    const bool isFresh
        = this->hasRead && !this->unanswered && now - this->lastRead < this->timings.readInterval;
    if (!isFresh) {
        this->isBusy = true;
        this->lastRead = now;
        return LeaseAction{LeaseAction::Kind::Read, {}, 0, now};
    }
    // The process that held the lease under this name before is dead, since this one lives.
    const bool isFree = !this->known || this->known->holder == this->holder
        || now - this->unchangedSince > this->timings.lease + this->timings.margin;
    if (!isFree)
        return std::nullopt;
    return this->write(this->fence() + 1, now);
}

// Each write has a number of its own, so that one which is carried out late is never taken for a
// later one.
LeaseAction Lease::write(std::int64_t number, MonoTime now)
{
    LeaseAction action;
    action.kind = this->revision > 0 ? LeaseAction::Kind::Replace : LeaseAction::Kind::Create;
    action.record = {this->holder, this->incarnation, number, ++this->writes};
    action.revision = this->revision;
    action.askedAt = now;
    this->isBusy = true;
    this->lastWrite = now;
    return action;
}

void Lease::learn(const ObjectReply &reply, MonoTime now)
{
    this->hasRead = true;
    if (!reply.object) {
        this->known.reset();
        this->revision = 0;
        return;
    }
    if (reply.object->revision == this->revision)
        return;
    this->revision = reply.object->revision;
    this->known = parseLease(reply.object->content);
    if (this->known)
        this->highestFence = std::max(this->highestFence, this->known->fence);
    this->unchangedSince = now;
}

// A write without an answer may still have been made: the object tells, and shows our own
// record if so. Whatever it shows, the lease counts from before that write was sent.
void Lease::onReply(const LeaseAction &asked, const ObjectReply &reply, MonoTime now)
{
    this->isBusy = false;
    const bool isWrite = asked.kind != LeaseAction::Kind::Read;
    const bool isKnown = reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict
        || reply.status == StoreStatus::NotFound;
    if (!isKnown) {
        const bool mayBeWritten = isWrite && reply.status == StoreStatus::Unknown;
        if (mayBeWritten)
            this->unanswered = asked;
        return;
    }
    this->learn(reply, now);
    const LeaseAction *written = nullptr;
    if (isWrite)
        written = &asked;
    else if (this->unanswered)
        written = &*this->unanswered;
    if (written && this->known && *this->known == written->record)
        this->heldUntil = written->askedAt + this->timings.lease - this->timings.margin;
    this->unanswered.reset();
}

} // namespace lavenderhall
