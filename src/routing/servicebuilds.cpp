#include "routing/servicebuilds.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavenderhall {

namespace {

constexpr Millis ReadInterval{150}; ///< between reads while another instance is to write
constexpr Millis RetryInterval{300}; ///< after a failed call
/// An instance that is not assigned writes if the assigned one has not done so for this long.
constexpr Millis TakeoverTime{1000};
constexpr Millis SettleTime{1000}; ///< until all instances have seen that an endpoint is gone
constexpr Millis RemovalMargin{2000}; ///< between the end of a build's streams and its removal

} // namespace

// The instances see an endpoint leave at different times. A build is no longer used once its
// streams are over here, and removed from the store only when that is so for all: should it return
// in between, the store is read again before requests go to it.
void ServiceBuilds::onEndpoints(const std::set<std::string> &builds, MonoTime now)
{
    for (const std::string &build : builds) {
        const bool isBack
            = this->stored.builds.contains(build) && this->isOver(build, Millis(0), now);
        if (isBack) {
            this->stored.builds.erase(build);
            this->isRead = false;
        }
        this->lastPresent[build] = now;
    }
    this->present = builds;
    if (!this->unregistered().empty())
        this->lastUnregistered = now;
}

// An endpoint of a new build may leave at once, while other instances still see it.
bool ServiceBuilds::isDoubtful() const
{
    return this->lastUnregistered && this->confirmedAt < *this->lastUnregistered + SettleTime;
}

bool ServiceBuilds::isOver(const std::string &build, Millis margin, MonoTime now) const
{
    const auto last = this->lastPresent.find(build);
    return last != this->lastPresent.end() && !this->present.contains(build)
        && now - last->second >= this->streamLifetime + margin;
}

// The last build is never removed: its endpoints may only be away for a while.
std::set<std::string> ServiceBuilds::wanted(MonoTime now) const
{
    std::set<std::string> builds = this->present;
    for (const std::string &build : this->stored.builds) {
        if (this->present.empty() || !this->isOver(build, RemovalMargin, now))
            builds.insert(build);
    }
    return builds;
}

std::optional<BuildsAction> ServiceBuilds::onTick(bool isAssigned, MonoTime now)
{
    for (const std::string &build : this->present)
        this->lastPresent[build] = now;
    if (this->isCalling)
        return std::nullopt;
    std::set<std::string> builds = this->wanted(now);
    const bool differs = this->isRead && builds != this->stored.builds;
    if (!differs)
        this->differsSince.reset();
    else if (!this->differsSince)
        this->differsSince = now;
    if (now < this->nextCall || (this->isRead && !differs && !this->isDoubtful()))
        return std::nullopt;
    this->isCalling = true;
    this->callStartedAt = now;
    const bool mayWrite = differs && (isAssigned || now - *this->differsSince >= TakeoverTime);
    if (mayWrite)
        return BuildsAction{BuildsAction::Kind::Write, {std::move(builds), this->stored.revision}};
    return BuildsAction{};
}

void ServiceBuilds::onReply(const BuildsAction &action, StoreStatus status,
                            const std::optional<StoredBuilds> &object, MonoTime now)
{
    this->isCalling = false;
    const bool hasAnswer = status == StoreStatus::Ok || status == StoreStatus::Conflict
        || status == StoreStatus::NotFound;
    if (hasAnswer)
        this->confirmedAt = this->callStartedAt;
    this->nextCall = now + (hasAnswer ? ReadInterval : RetryInterval);
    if (object)
        return this->apply(*object, now);
    if (status == StoreStatus::NotFound)
        return this->apply({}, now);
    // Without the object's revision, a further write would fail.
    const bool isWritten = action.kind == BuildsAction::Kind::Write && status == StoreStatus::Ok;
    if (isWritten)
        this->isRead = false;
}

void ServiceBuilds::onListed(const std::optional<StoredBuilds> &object, MonoTime now)
{
    // A read or a write that started later may have been answered before.
    if (object && object->revision >= this->stored.revision)
        this->apply(*object, now);
}

void ServiceBuilds::apply(StoredBuilds object, MonoTime now)
{
    this->isRead = true;
    this->stored = std::move(object);
    for (const std::string &build : this->stored.builds)
        this->lastPresent.try_emplace(build, now);
    std::erase_if(this->lastPresent, [this](const auto &entry) {
        return !this->stored.builds.contains(entry.first) && !this->present.contains(entry.first);
    });
}

bool ServiceBuilds::isMixed() const
{
    const bool isStored = !this->stored.builds.empty();
    return (isStored ? this->stored.builds : this->present).size() > 1;
}

// Requests go to a build only once it is in the store. A build in the directory that is not in the
// set as this instance knows it may have been entered since.
std::optional<std::string> ServiceBuilds::onlyBuild() const
{
    std::set<std::string> builds = this->stored.builds;
    builds.insert(this->present.begin(), this->present.end());
    const bool isCertain = this->isRead && !this->isDoubtful();
    return isCertain && builds.size() == 1 ? std::optional(*builds.begin()) : std::nullopt;
}

std::optional<std::string> ServiceBuilds::onlyRegistered() const
{
    const bool isOne = this->isRead && this->stored.builds.size() == 1;
    return isOne ? std::optional(*this->stored.builds.begin()) : std::nullopt;
}

std::set<std::string> ServiceBuilds::unregistered() const
{
    std::set<std::string> builds;
    if (this->stored.builds.empty())
        return builds;
    std::set_difference(this->present.begin(), this->present.end(), this->stored.builds.begin(),
                        this->stored.builds.end(), std::inserter(builds, builds.end()));
    return builds;
}

} // namespace lavenderhall
