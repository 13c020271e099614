#pragma once

#include "base/clock.h"
#include "membership/membership.h"
#include "proto/peer.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// How objects of the store spread between instances: the few that follow the store for their
/// region push what changes and tell that they are current, and whoever is behind asks.
namespace lavenderhall {

/// The objects that spread, as their keeper shows them. Kinds are numbered in the order of kinds.
struct ObjectSharing
{
    std::vector<std::string> kinds;
    std::function<std::int64_t(std::size_t kind)> revision; ///< newest known here
    std::function<std::int64_t(std::size_t kind)> listed; ///< revision of the last whole list
    std::function<proto::ObjectsOffer(std::size_t kind, std::int64_t after)> answer;
    std::function<proto::ObjectsOffer(std::size_t kind)> answerAll;
    std::function<void(std::size_t kind, const proto::ObjectsOffer &offer)> take;
    std::function<bool()> isCurrent; ///< whether this instance follows the store without doubt
    std::function<void()> onBeat; ///< another instance does so for the region
    std::function<void(bool isOnDuty)> onDuty; ///< told now and then
};

/// What the spread needs of the fleet.
struct SpreadLinks
{
    std::function<void(const proto::ProcessId &to, const proto::Envelope &message)> send;
    std::function<std::vector<proto::ProcessId>()> othersInRegion;
    std::function<bool()> isOnDuty; ///< whether this instance follows the store for its region
};

class ObjectSpread
{
public:
    ObjectSpread(ObjectSharing sharing, SpreadLinks links);

    /// \a heard has what members have told along with pings.
    void onTick(const std::vector<Membership::NewerRevision> &heard, MonoTime now);
    /// This instance has learnt of changes from the store.
    void publish(std::size_t kind);
    void onRequest(const proto::Envelope &message);
    void onOffer(const proto::Envelope &message);
    void onBeat(const proto::Envelope &message, MonoTime now);
    /// Newest known revision of each kind.
    std::vector<std::int64_t> revisions() const;

private:
    std::optional<std::size_t> kindOf(const std::string &name) const;
    void tellRegion(const proto::Envelope &message) const;
    void beat();
    void askForNews();
    void askForAll(std::size_t kind, const proto::ProcessId &from, MonoTime now);

    ObjectSharing sharing;
    SpreadLinks links;
    std::vector<Membership::NewerRevision> news; ///< of others, not asked for yet
    std::vector<std::int64_t> published; ///< newest revision told to the region, by kind
    std::vector<MonoTime> nextListQuestion; ///< by kind
    MonoTime nextQuestion{};
    MonoTime nextBeat{};
};

} // namespace lavenderhall
