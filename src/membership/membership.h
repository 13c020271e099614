#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "proto/peer.pb.h"

#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

/// Which other instances are alive, by pings to random members with rumours along (as in SWIM).
///
/// The traffic of one instance does not grow with the fleet: one ping a second, each message
/// with a bounded number of rumours.
namespace lavenderhall {

struct MemberTimings
{
    Millis pingInterval{1000};
    Millis ackTimeout{500}; ///< until others are asked to ping as well
    Millis suspectAfter{1200}; ///< without any answer, from the ping on
    Millis deadAfter{3000}; ///< from the suspicion on
    Millis deadPingInterval{5000}; ///< tries to reach one that is taken for dead
    Millis forgetAfter = std::chrono::hours(3); ///< from the death on
};

/// A message to send.
struct PeerMessage
{
    Address to;
    proto::Envelope message;
};

/// A change that others want to know of.
struct MemberChange
{
    proto::Member member;
    bool isUp = false;
};

class Membership
{
public:
    Membership(proto::Member self, std::vector<Address> seeds, MemberTimings timings,
               std::uint64_t seed);

    std::vector<PeerMessage> onTick(MonoTime now);
    std::vector<PeerMessage> onMessage(const proto::Envelope &message, MonoTime now);
    /// Tells the others that this process takes on no duty any more, since it will leave.
    std::vector<PeerMessage> beginLeaving();
    /// Tells the others that this process leaves.
    std::vector<PeerMessage> leave();
    /// Pings \a count random members at once, to spread a new configuration version.
    std::vector<PeerMessage> pingRandomMembers(std::size_t count);

    /// Adds addresses to be asked for as long as no member is known there.
    void addSeeds(const std::vector<Address> &more);
    void setConfigVersion(std::int64_t version) { this->configVersion = version; }
    /// Highest configuration version heard of, and from whom.
    struct NewerConfig
    {
        std::int64_t version = 0;
        proto::ProcessId from;
    };
    std::optional<NewerConfig> takeNewerConfig();
    /// Newest revision known here of each shared kind of object, told along with pings.
    void setRevisions(std::vector<std::int64_t> revisions)
    {
        this->revisions = std::move(revisions);
    }
    /// A member knows of newer objects than this process.
    struct NewerRevision
    {
        std::size_t kind = 0; ///< index into the revisions
        std::int64_t revision = 0;
        proto::ProcessId from;
    };
    std::vector<NewerRevision> takeNewerRevisions();

    /// Membership taken for alive or only suspected, without this process.
    std::vector<proto::Member> alive() const;
    /// Membership that have not said that they left, alive or not.
    std::size_t knownCount() const;
    std::optional<Address> addressOf(const proto::ProcessId &id) const;
    std::vector<MemberChange> takeChanges();
    const proto::Member &self() const { return this->own; }

private:
    struct Entry
    {
        proto::Member member;
        MonoTime since{}; ///< of its state
        int rumoursLeft = 0;
    };
    struct Probe
    {
        std::uint64_t number = 0;
        std::string name;
        MonoTime sentAt{};
        bool askedOthers = false;
        std::optional<Address> onBehalfOf; ///< who is to get the answer
        std::uint64_t askersNumber = 0;
    };

    bool isUsable(const Entry &entry) const;
    void learn(const proto::Member &news, MonoTime now);
    void learnSender(const proto::ProcessId &from, MonoTime now);
    void setState(Entry &entry, proto::MemberState state, MonoTime now);
    void fillRumours(google::protobuf::RepeatedPtrField<proto::Member> &rumours, bool all);
    PeerMessage ping(const Address &to, std::uint64_t number);
    void probe(Entry &entry, MonoTime now, std::vector<PeerMessage> &actions);
    void probeNext(MonoTime now, std::vector<PeerMessage> &actions);
    void probeDead(std::vector<PeerMessage> &actions);
    void probeSeed(MonoTime now, std::vector<PeerMessage> &actions);
    void checkProbes(MonoTime now, std::vector<PeerMessage> &actions);
    void checkStates(MonoTime now);
    void onAck(const proto::Envelope &message, MonoTime now, std::vector<PeerMessage> &actions);
    void onPingRequest(const proto::Envelope &message, MonoTime now,
                       std::vector<PeerMessage> &actions);
    void hearConfig(const proto::ProcessId &from, std::int64_t version);
    template <typename Message>
    void hearRevisions(const proto::ProcessId &from, const Message &message);
    int rumourBudget() const;
    std::vector<std::string> usableNames() const;

    proto::Member own;
    std::vector<Address> seeds;
    MemberTimings timings;
    pcg32 random;
    std::map<std::string, Entry> table;
    std::vector<Probe> probes;
    std::vector<std::string> order; ///< shuffled, taken from the back
    std::uint64_t nextNumber = 1;
    MonoTime nextPing{};
    MonoTime nextDeadPing{};
    MonoTime nextSeedPing{};
    bool hasJoined = false;
    int ownRumoursLeft = 0;
    std::int64_t configVersion = 0;
    NewerConfig news;
    std::vector<std::int64_t> revisions;
    std::vector<NewerRevision> revisionNews;
    std::vector<MemberChange> changes;
};

/// Returns a number for a process that starts now; later starts get higher ones.
std::uint64_t newIncarnation(std::int64_t wallMillis, std::uint64_t random);

} // namespace lavenderhall
