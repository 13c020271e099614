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

/// Membership and failure detection after SWIM: each instance pings random members, and the
/// messages carry rumours about the states of other members.
///
/// The traffic of an instance does not grow with the fleet: it sends one ping a second, and each
/// message carries a bounded number of rumours.
namespace lavenderhall {

/// Intervals and time limits of the protocol.
struct MemberTimings
{
    Millis pingInterval{1000};
    Millis ackTimeout{500}; ///< without an ack, until other members are asked to ping too
    Millis suspectAfter{1200}; ///< from a ping without any ack, until its target is suspected
    Millis deadAfter{3000}; ///< from the suspicion, until the member is declared dead
    Millis deadPingInterval{5000}; ///< between pings to members that are declared dead
    /// From the time when a member died or left, until its entry is deleted.
    Millis forgetAfter = std::chrono::hours(3);
};

/// A message to send to a peer.
struct PeerMessage
{
    Address to;
    proto::Envelope message;
};

/// A member that came up or went down.
struct MemberChange
{
    proto::Member member;
    bool isUp = false;
};

/// The members that this process knows, and its side of the protocol. It does no input or output:
/// its functions return the messages to send.
class Membership
{
public:
    /// Contacts \a seeds to join the fleet; \a seed initialises the random generator.
    Membership(proto::Member self, std::vector<Address> seeds, MemberTimings timings,
               std::uint64_t seed);

    /// Checks the time limits and returns the pings that are due.
    std::vector<PeerMessage> onTick(MonoTime now);
    /// Handles a message of a peer and returns the replies.
    std::vector<PeerMessage> onMessage(const proto::Envelope &message, MonoTime now);
    /// Announces that this process will leave, so that no more tasks are assigned to it.
    std::vector<PeerMessage> beginLeaving();
    /// Announces that this process leaves now.
    std::vector<PeerMessage> leave();
    /// Pings \a count random members now, to spread a new configuration version.
    std::vector<PeerMessage> pingRandomMembers(std::size_t count);

    /// Adds addresses that are pinged as long as no live member is known there.
    void addSeeds(const std::vector<Address> &more);
    void setConfigVersion(std::int64_t version) { this->configVersion = version; }
    /// A configuration version newer than this process has, and the member that announced it.
    struct NewerConfig
    {
        std::int64_t version = 0;
        proto::ProcessId from;
    };
    /// Returns the highest newer version since the last call; empty if there is none.
    std::optional<NewerConfig> takeNewerConfig();
    /// Sets the newest revision that this process has of each shared kind of object. Pings and acks
    /// carry them.
    void setRevisions(std::vector<std::int64_t> revisions)
    {
        this->revisions = std::move(revisions);
    }
    /// A revision newer than this process has, and the member that announced it.
    struct NewerRevision
    {
        std::size_t kind = 0; ///< index into the revisions
        std::int64_t revision = 0;
        proto::ProcessId from;
    };
    /// Returns the newer revisions since the last call.
    std::vector<NewerRevision> takeNewerRevisions();

    /// Returns the members that are alive or only suspected, without this process.
    std::vector<proto::Member> alive() const;
    /// Returns the number of members that have not announced that they left, alive or dead.
    std::size_t knownCount() const;
    /// Returns the address of the process \a id; empty if it is not known.
    std::optional<Address> addressOf(const proto::ProcessId &id) const;
    /// Returns the members that came up or went down since the last call.
    std::vector<MemberChange> takeChanges();
    const proto::Member &self() const { return this->own; }

private:
    struct Entry
    {
        proto::Member member;
        MonoTime since{}; ///< when it entered its state
        int rumoursLeft = 0; ///< messages that are still to carry this entry
    };
    /// A ping that has not been answered.
    struct Probe
    {
        std::uint64_t number = 0;
        std::string name; ///< of the pinged member
        MonoTime sentAt{};
        bool hasAskedHelpers = false;
        std::optional<Address> requester; ///< asked for this ping, and gets the ack
        std::uint64_t requesterNumber = 0; ///< number of the requester's own probe
    };

    bool isUp(const Entry &entry) const;
    /// Updates the member's entry if \a member is newer; refutes a wrong rumour about this process.
    void applyRumour(const proto::Member &member, MonoTime now);
    void markSenderAlive(const proto::ProcessId &from, MonoTime now);
    void setState(Entry &entry, proto::MemberState state, MonoTime now);
    /// Adds this process's own entry and the rumours that are still to be sent; all live members if
    /// \a wantsAll.
    void fillRumours(google::protobuf::RepeatedPtrField<proto::Member> &rumours, bool wantsAll);
    PeerMessage ping(const Address &to, std::uint64_t number);
    void probe(Entry &entry, MonoTime now, std::vector<PeerMessage> &outbox);
    void probeNext(MonoTime now, std::vector<PeerMessage> &outbox);
    void probeDead(std::vector<PeerMessage> &outbox);
    void probeSeed(MonoTime now, std::vector<PeerMessage> &outbox);
    void checkProbes(MonoTime now, std::vector<PeerMessage> &outbox);
    void checkStates(MonoTime now);
    void onAck(const proto::Envelope &message, MonoTime now, std::vector<PeerMessage> &outbox);
    void onPingRequest(const proto::Envelope &message, MonoTime now,
                       std::vector<PeerMessage> &outbox);
    void noteConfigVersion(const proto::ProcessId &from, std::int64_t version);
    template <typename Message>
    void noteRevisions(const proto::ProcessId &from, const Message &message);
    /// Returns how many messages carry a new rumour.
    int rumourBudget() const;
    std::vector<std::string> upMemberNames() const;

    proto::Member own;
    std::vector<Address> seeds;
    MemberTimings timings;
    pcg32 random;
    std::map<std::string, Entry> entries;
    std::vector<Probe> probes;
    std::vector<std::string>
        pingOrder; ///< shuffled names of the next ones to ping, taken from the back
    std::uint64_t nextProbeNumber = 1;
    MonoTime nextPing{};
    MonoTime nextDeadPing{};
    MonoTime nextSeedPing{};
    bool hasJoined = false; ///< an ack of any member has arrived
    int ownRumoursLeft = 0; ///< like Entry::rumoursLeft; its entry is always sent
    std::int64_t configVersion = 0;
    NewerConfig newerConfig;
    std::vector<std::int64_t> revisions;
    std::vector<NewerRevision> newerRevisions;
    std::vector<MemberChange> changes;
};

/// Returns the incarnation of a process that starts now, at \a wallMillis of Unix time. Later
/// starts get higher numbers; \a random tells apart starts in the same millisecond.
std::uint64_t newIncarnation(std::int64_t wallMillis, std::uint64_t random);

} // namespace lavenderhall
