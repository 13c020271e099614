#include "routing/streamorigins.h"

namespace lavenderhall {

namespace {

// Streams take longer than this from their sending until they begin, and the loss of all instances
// leaves those unknown that were sent since the last write.
constexpr Millis WriteInterval{250};
constexpr Millis FailedCallInterval{200};
/// After this time, the instance that has sent a stream has learnt that the service has several
/// builds and has written the stream.
constexpr Millis RecordTime = WriteInterval + Millis(350);
constexpr Millis MaxStartTime{1000}; ///< without an answer of the store, until streams are sent
constexpr Millis MaxLookupTime{1000}; ///< then the store counts as unavailable

} // namespace

const char *toString(StreamOrigin::Kind kind)
{
    switch (kind) {
    case StreamOrigin::Kind::Known:
        return "known";
    case StreamOrigin::Kind::Unknown:
        return "unknown";
    case StreamOrigin::Kind::Pending:
        return "pending";
    case StreamOrigin::Kind::Unavailable:
        return "unavailable";
    }
    return "unknown";
}

void StreamOrigins::setServices(const std::set<std::string> &names, Millis streamLifetime)
{
    this->records.setStreamLifetime(streamLifetime);
    std::erase_if(this->services,
                  [&names](const auto &entry) { return !names.contains(entry.first); });
    for (const std::string &name : names)
        this->services[name].setStreamLifetime(streamLifetime);
}

bool StreamOrigins::isReady(const std::string &service, MonoTime now) const
{
    const auto found = this->services.find(service);
    const bool hasWaited = this->firstAskedAt && now - *this->firstAskedAt >= MaxStartTime;
    return found == this->services.end() || found->second.isKnown() || hasWaited;
}

void StreamOrigins::onEndpoints(const std::string &service, const std::set<std::string> &builds,
                                MonoTime now)
{
    const auto found = this->services.find(service);
    if (found != this->services.end())
        found->second.onEndpoints(builds, now);
}

void StreamOrigins::onSent(const std::string &stream, const std::string &service,
                           const std::string &build, MonoTime now)
{
    if (this->services.contains(service))
        this->records.onSent(stream, service, build, now);
}

// Until the store no longer has the stream, others may believe that it began at this build.
void StreamOrigins::onNotBegun(const std::string &stream)
{
    if (this->records.onNotBegun(stream))
        this->nextWrite = {};
}

// A list that started after the caller had asked shows the builds and the streams as they were then
// or later. A build that is not in it cannot have begun the stream, and an earlier list may show a
// stream at an endpoint that has not begun it.
StreamOrigin StreamOrigins::find(const std::string &stream, const std::string &service,
                                 MonoTime since, MonoTime now)
{
    if (const auto build = this->records.findOwn(stream))
        return {StreamOrigin::Kind::Known, *build};
    const auto builds = this->services.find(service);
    if (builds == this->services.end())
        return {};
    if (const auto build = builds->second.onlyBuild())
        return {StreamOrigin::Kind::Known, *build};
    const bool isListed = this->listedFrom >= since;
    if (isListed) {
        if (const auto build = this->records.findListed(stream))
            return {StreamOrigin::Kind::Known, *build};
        if (const auto build = builds->second.onlyRegistered())
            return {StreamOrigin::Kind::Known, *build};
        if (this->listedFrom >= since + RecordTime)
            return {};
    }
    if (now - since >= MaxLookupTime)
        return {StreamOrigin::Kind::Unavailable, {}};
    const MonoTime listTime = isListed ? since + RecordTime : since;
    const bool isUnderWay = this->isListing && this->listStartedAt >= listTime;
    if (now >= listTime && !isUnderWay)
        this->isListWanted = true;
    return {StreamOrigin::Kind::Pending, {}};
}

std::set<std::string> StreamOrigins::unregistered(const std::string &service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? std::set<std::string>() : found->second.unregistered();
}

std::vector<OriginsAction> StreamOrigins::onTick(bool isAssigned, MonoTime now)
{
    std::vector<OriginsAction> actions;
    if (!this->firstAskedAt && !this->services.empty())
        this->firstAskedAt = now;
    for (auto &[name, builds] : this->services) {
        if (const auto action = builds.onTick(isAssigned, now))
            actions.push_back({OriginsAction::Kind::Builds, name, *action, {}, now});
    }
    if (const auto action = this->writeStreams(now))
        actions.push_back(*action);
    if (const auto action = this->listIfAsked(now))
        actions.push_back(*action);
    return actions;
}

std::optional<OriginsAction> StreamOrigins::writeStreams(MonoTime now)
{
    std::set<std::string> mixed;
    for (const auto &[name, builds] : this->services) {
        if (builds.isMixed())
            mixed.insert(name);
    }
    const std::size_t changeCount = this->records.changeCount(mixed);
    const bool isWritten
        = changeCount == this->writtenChangeCount && mixed == this->writtenServices;
    if (mixed.empty() || isWritten || this->isWriting || now < this->nextWrite)
        return std::nullopt;
    this->isWriting = true;
    this->nextWrite = now + WriteInterval;
    this->writtenChangeCount = changeCount;
    this->writtenServices = mixed;
    return OriginsAction{OriginsAction::Kind::WriteStreams,
                         {},
                         {},
                         {this->records.ownStreams(mixed, now), this->ownRevision},
                         now};
}

std::optional<OriginsAction> StreamOrigins::listIfAsked(MonoTime now)
{
    if (!this->isListWanted || this->isListing || now < this->nextList)
        return std::nullopt;
    this->isListWanted = false;
    this->isListing = true;
    this->listStartedAt = now;
    return OriginsAction{OriginsAction::Kind::List, {}, {}, {}, now};
}

void StreamOrigins::onBuildsReply(const OriginsAction &action, StoreStatus status,
                                  const std::optional<StoredBuilds> &object, MonoTime now)
{
    const auto found = this->services.find(action.service);
    if (found != this->services.end())
        found->second.onReply(action.builds, status, object, now);
}

// The first object that is found is that of an earlier process, and its streams are kept until they
// can no longer be resumed. That of an own write whose answer was lost may have streams that have
// not begun.
void StreamOrigins::onStreamsReply(const OriginsAction &action, StoreStatus status,
                                   const std::optional<StoredStreams> &object, MonoTime now)
{
    this->isWriting = false;
    if (object)
        this->ownRevision = object->revision;
    if (status == StoreStatus::Unknown)
        this->unconfirmed = action.streams.streams;
    const bool isOwnWrite = this->hasReadObject || (object && object->streams == this->unconfirmed);
    this->hasReadObject = this->hasReadObject || object;
    if (status == StoreStatus::Ok && object)
        return;
    this->writtenServices.clear();
    this->nextWrite = now + (status == StoreStatus::Conflict ? Millis(0) : FailedCallInterval);
    if (status == StoreStatus::NotFound)
        this->ownRevision = 0;
    if (status == StoreStatus::Conflict && object && !isOwnWrite)
        this->records.onEarlierProcess(object->streams, now);
}

void StreamOrigins::onListed(const OriginsAction &action, const std::optional<OriginsList> &list,
                             MonoTime now)
{
    this->isListing = false;
    this->nextList = now + (list ? Millis(0) : FailedCallInterval);
    if (!list)
        return;
    this->listedFrom = action.startedAt;
    for (auto &[name, builds] : this->services) {
        const auto object = list->builds.find(name);
        builds.onListed(object == list->builds.end() ? std::nullopt : std::optional(object->second),
                        now);
    }
    std::vector<StreamsByBuild> streams;
    for (const auto &[name, stored] : list->streams)
        streams.push_back(stored.streams);
    this->records.onListed(streams);
}

} // namespace lavenderhall
