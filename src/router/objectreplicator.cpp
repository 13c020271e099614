#include "router/objectreplicator.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

constexpr Millis RequestInterval{200}; ///< between requests for missing changes
constexpr Millis HeartbeatInterval{500};

} // namespace

ObjectReplicator::ObjectReplicator(ReplicatedObjects objects, ReplicatorHooks hooks)
    : objects(std::move(objects))
    , hooks(std::move(hooks))
    , publishedRevisions(this->objects.kinds.size())
    , nextListRequest(this->objects.kinds.size())
{ }

std::vector<std::int64_t> ObjectReplicator::revisions() const
{
    std::vector<std::int64_t> latest;
    for (std::size_t kind = 0; kind < this->objects.kinds.size(); ++kind)
        latest.push_back(this->objects.changeRevision(kind));
    return latest;
}

std::optional<std::size_t> ObjectReplicator::kindOf(const std::string &name) const
{
    const auto found = std::find(this->objects.kinds.begin(), this->objects.kinds.end(), name);
    if (found == this->objects.kinds.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - this->objects.kinds.begin());
}

void ObjectReplicator::sendToRegion(const proto::Envelope &message) const
{
    for (const proto::ProcessId &other : this->hooks.othersInRegion())
        this->hooks.send(other, message);
}

void ObjectReplicator::onTick(const std::vector<Membership::NewerRevision> &announcements,
                              MonoTime now)
{
    this->newerRevisions.insert(this->newerRevisions.end(), announcements.begin(),
                                announcements.end());
    if (now >= this->nextChangesRequest) {
        this->nextChangesRequest = now + RequestInterval;
        this->objects.updateWatch(this->hooks.isAssigned());
        this->requestChanges();
    }
    if (now >= this->nextHeartbeat) {
        this->nextHeartbeat = now + HeartbeatInterval;
        this->sendHeartbeat();
    }
}

// This instance's own watch of the store usually delivers the same changes at nearly the same time,
// so only revisions that are still missing at the next check are requested.
void ObjectReplicator::requestChanges()
{
    std::vector<bool> isRequested(this->objects.kinds.size(), false);
    for (const Membership::NewerRevision &announcement : std::exchange(this->newerRevisions, {})) {
        const std::int64_t known = this->objects.knownRevision(announcement.kind);
        if (announcement.revision <= known || isRequested[announcement.kind])
            continue;
        isRequested[announcement.kind] = true;
        proto::Envelope request;
        request.mutable_objects_request()->set_kind(this->objects.kinds[announcement.kind]);
        request.mutable_objects_request()->set_after(known);
        this->hooks.send(announcement.from, request);
    }
}

void ObjectReplicator::publish(std::size_t kind)
{
    const std::int64_t known = this->objects.knownRevision(kind);
    const std::int64_t after = std::exchange(this->publishedRevisions[kind], known);
    if (known <= after || !this->hooks.isAssigned())
        return;
    proto::Envelope message;
    *message.mutable_objects_offer() = this->objects.offerChanges(kind, after);
    this->sendToRegion(message);
}

// A heartbeat without revisions says that the store does not answer.
void ObjectReplicator::sendHeartbeat()
{
    const StoreContact contact = this->objects.storeContact();
    if (!this->hooks.isAssigned() || contact == StoreContact::Unknown)
        return;
    proto::Envelope message;
    message.mutable_store_beat();
    const std::size_t kinds = contact == StoreContact::Lost ? 0 : this->objects.kinds.size();
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        message.mutable_store_beat()->add_revisions(this->objects.changeRevision(kind));
        message.mutable_store_beat()->add_listed(this->objects.listedRevision(kind));
    }
    this->sendToRegion(message);
}

void ObjectReplicator::onRequest(const proto::Envelope &message)
{
    const proto::ObjectsRequest &request = message.objects_request();
    const auto kind = this->kindOf(request.kind());
    if (!kind)
        return;
    proto::Envelope answer;
    *answer.mutable_objects_offer() = request.wants_all()
        ? this->objects.offerAll(*kind)
        : this->objects.offerChanges(*kind, request.after());
    this->hooks.send(message.from(), answer);
}

// An offer that starts after the latest revision known here would leave a gap. It is not applied;
// the missing changes are requested instead.
void ObjectReplicator::onOffer(const proto::Envelope &message)
{
    const proto::ObjectsOffer &offer = message.objects_offer();
    const auto kind = this->kindOf(offer.kind());
    if (!kind)
        return;
    if (offer.is_whole() || offer.after() <= this->objects.knownRevision(*kind))
        return this->objects.applyOffer(*kind, offer);
    this->newerRevisions.push_back({*kind, offer.after(), message.from()});
}

void ObjectReplicator::onHeartbeat(const proto::Envelope &message, MonoTime now)
{
    const proto::StoreBeat &heartbeat = message.store_beat();
    const std::string &sender = message.from().name();
    if (heartbeat.revisions().empty() && heartbeat.listed().empty())
        return this->objects.onHeartbeat({sender, true, false});
    const auto kinds = static_cast<int>(this->objects.kinds.size());
    if (heartbeat.revisions_size() != kinds || heartbeat.listed_size() != kinds)
        return;
    bool isInSync = true;
    for (int index = 0; index < kinds; ++index) {
        const auto kind = static_cast<std::size_t>(index);
        const bool lacksList = heartbeat.listed(index) > this->objects.listedRevision(kind);
        const bool lacksChange = heartbeat.revisions(index) > this->objects.knownRevision(kind);
        isInSync = isInSync && !lacksList && !lacksChange;
        this->newerRevisions.push_back({kind, heartbeat.revisions(index), message.from()});
        if (lacksList)
            this->requestAll(kind, message.from(), now);
    }
    this->objects.onHeartbeat({sender, false, isInSync});
}

void ObjectReplicator::requestAll(std::size_t kind, const proto::ProcessId &from, MonoTime now)
{
    if (now < this->nextListRequest[kind])
        return;
    this->nextListRequest[kind] = now + RequestInterval;
    proto::Envelope request;
    request.mutable_objects_request()->set_kind(this->objects.kinds[kind]);
    request.mutable_objects_request()->set_wants_all(true);
    this->hooks.send(from, request);
}

} // namespace lavenderhall
