#pragma once

#include "base/clock.h"
#include "limits/seatrecord.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Assigns the token limits to processes: the accounts of a region are divided into seats, and each
/// seat is held by one process under a lease.
///
/// Each region has a fixed number of seats, and each organisation's account in a region belongs
/// to one of them. A seat has a holder and a witness, both recorded in one object of the store;
/// every change of either is a conditional write of that object. The holder decides only while
/// its lease is valid. The witness, not the store, renews the lease, so that holders continue
/// during an outage of the store. If the holder falls silent, only its witness may take the seat,
/// after the lease has expired on any clock within the drift bound. A process that was restarted at
/// the holder's address on the same boot may take it at once, and a process of the region may take
/// a seat whose record has not changed for SeatTimings::abandonTimeout: the one that ranks first
/// for the seat, and each further one after twice the time. A holder's changes of its own record
/// are not seen by the others, so without the ranks all processes of a large fleet would try to
/// take all seats at once, again and again.
namespace lavenderhall {

struct SeatTimings
{
    Millis lease{3000}; ///< from the time when the holder sent a renewal that was acknowledged
    Millis renewInterval{500}; ///< between the renewals that a holder sends to its witness
    Millis loanValidity{1000}; ///< how long after its request a loan may be spent
    /// The process that ranks first may take a seat whose record has not changed for this long.
    Millis abandonTimeout = std::chrono::minutes(75);
    /// Between reads of the records of seats that other processes hold.
    Millis readInterval = std::chrono::minutes(10);
    Millis rebalanceDelay{30'000}; ///< seats move only if the members are unchanged for this long
    /// After a seat was taken without the levels of its accounts, it gets no restart tokens when
    /// that happens again within this time.
    Millis restartGrantInterval{8000};
    std::uint32_t seats = SeatsPerRegion; ///< seats of each region in use
    double clockDrift = 0.001; ///< bound on the relative difference between the rates of two clocks
};

/// Identity and address of this process, as recorded for the seats that it holds.
struct LocalProcess
{
    proto::ProcessId id;
    std::string region;
    std::string host;
    std::uint32_t port = 0; ///< of the peer socket, which is already bound
    std::string boot; ///< identifies the current boot of the machine
};

/// A process that may hold seats or be a witness.
struct SeatMember
{
    proto::ProcessId id;
    std::string region;
    std::string zone;
};

/// A message or a call to the store that the caller of a SeatKeeper must execute.
struct SeatAction
{
    enum class Kind { Send, Read, Write };
    enum class Purpose {
        Take, ///< to become the holder
        Renew, ///< as holder: to replace the witness or to keep the record from being abandoned
        Fence, ///< same content, so that an earlier write with an unknown outcome cannot apply
        HandOver, ///< as holder: to name another process as holder
    };

    Kind kind = Kind::Send;
    proto::ProcessId to; ///< Send
    proto::Envelope message; ///< Send
    std::string region; ///< Read, Write
    std::uint32_t index = 0; ///< Read, Write
    Purpose purpose = Purpose::Take; ///< Write
    proto::SeatRecord record; ///< Write
    std::int64_t expected = 0; ///< Write: version that the object must have
    MonoTime startedAt{}; ///< Read, Write: returned with the reply, as the whole action is
};

/// Reports that this process has gained or lost a seat. Only a gain sets the members after
/// isGained.
struct SeatChange
{
    std::uint32_t index = 0;
    bool isGained = false;
    std::int64_t term = 0;
    bool isFirst = false; ///< the seat had never been held before
    std::vector<proto::AccountLevel> levels; ///< handed over by the previous holder
    bool wasHandedOver = false; ///< accounts that are not in \a levels are full
    /// The levels are lost, and the seat was not taken without levels within
    /// SeatTimings::restartGrantInterval before: the accounts may start with restart tokens.
    bool mayGrantRestartTokens = false;
};

/// Keeps the seats of one process: takes, renews and hands over seats of its own region, is witness
/// for others, and knows the holders in all regions. It does no I/O: it returns the actions to
/// execute, and replies and messages are passed to it.
class SeatKeeper
{
public:
    SeatKeeper(LocalProcess self, SeatTimings timings);

    /// Sets the members that are believed to be alive, without this process.
    void setMembers(std::vector<SeatMember> alive, MonoTime now);

    /// Handles timers; to be called periodically.
    std::vector<SeatAction> onTick(MonoTime now);
    /// Handles a Renew, RenewAck, Handover or SeatHints message and ignores all others.
    std::vector<SeatAction> onMessage(const proto::Envelope &message, MonoTime now);
    /// Handles the reply to \a call, a Read action.
    std::vector<SeatAction> onRead(const SeatAction &call, const StoreReply &reply, MonoTime now);
    /// Handles the reply to \a call, a Write action.
    std::vector<SeatAction> onWritten(const SeatAction &call, const StoreReply &reply,
                                      MonoTime now);

    /// Sets the predicate that tells whether any account belongs to a seat. Seats without accounts
    /// are not taken. Without a predicate all seats are taken.
    using SeatPredicate = std::function<bool(std::uint32_t index)>;
    void setNeededPredicate(SeatPredicate predicate) { this->isNeeded = std::move(predicate); }

    /// Sets the function that returns the levels of a seat's accounts when the seat is handed over.
    using LevelsOf = std::function<std::vector<proto::AccountLevel>(std::uint32_t index)>;
    void setLevelsSource(LevelsOf source) { this->levelsOf = std::move(source); }
    /// Starts to leave: from the next tick on, takes no seats and hands over those held.
    void leave() { this->isLeaving = true; }
    /// Whether all seats that can be handed over have been handed over.
    bool hasLeft(MonoTime now) const;

    /// Whether this process may decide for the seat now. False until the gain of the seat has been
    /// added to the changes.
    bool isHeld(std::uint32_t index, MonoTime now) const;
    /// Returns the changes since the last call, in order.
    std::vector<SeatChange> takeChanges();
    /// Returns the newest known record of a seat of any region; nullptr if none is known.
    const proto::SeatRecord *recordOf(const std::string &region, std::uint32_t index) const;
    /// Takes over a record from another process if it is newer than the known one.
    void adoptIfNewer(const proto::SeatRecord &record, MonoTime now);
    /// Returns all known records, to be sent to a process that has just started.
    std::vector<proto::SeatRecord> allRecords() const;
    /// Returns the number of seats that this process holds under a valid lease.
    std::size_t heldSeatCount(MonoTime now) const;

private:
    struct Seat
    {
        proto::SeatRecord record; ///< term 0: not known
        std::int64_t version = 0; ///< of the store's object, 0: not read
        std::int64_t era = 0; ///< of the store when the object was read last
        MonoTime recordSeenAt{}; ///< when this record was first seen
        MonoTime leaseUntil{}; ///< as holder
        MonoTime notBefore{}; ///< as holder: the previous holder may decide until then
        MonoTime lastAckSent{}; ///< as witness: when the holder's lease was last renewed
        /// As holder: last answer of the witness, or start of the term.
        MonoTime lastWitnessContact{};
        MonoTime lastRenewSent{};
        MonoTime lastWrittenAt{}; ///< as holder: start of the last successful write of the record
        MonoTime nextRead{}; ///< next periodic read of the record
        MonoTime nextStoreCall{}; ///< no call to the store before
        /// Start of the earliest write whose outcome is unknown and which may still apply.
        std::optional<MonoTime> unresolvedWriteSince;
        bool isMissing = false; ///< the store has reported that there is no record
        bool hasOpenStoreCall = false;
        bool isFrozen = false; ///< being handed over: this process no longer decides
        bool isAnnounced = false; ///< its gain has been added to the changes
        bool isCreatedHere = false; ///< this process wrote the first record
        bool mayGrantRestartTokens = false; ///< see SeatChange
        MonoTime takenAt{}; ///< start of the current term, as known here
        bool wasHandedOver = false; ///< accounts that are not in handedOverLevels are full
        std::vector<proto::AccountLevel> handedOverLevels; ///< not yet reported
    };

    bool isHolder(const Seat &seat) const;
    bool isWitness(const Seat &seat) const;
    bool isLeaseValid(const Seat &seat, MonoTime now) const;
    /// Replaces the known record if \a record is newer, and resets the state of a previous term.
    void updateRecord(Seat &seat, const proto::SeatRecord &record, MonoTime now);
    void reportLoss(std::uint32_t index, Seat &seat);
    void reportChange(std::uint32_t index, Seat &seat, MonoTime now);
    void tickSeat(std::uint32_t index, Seat &seat, MonoTime now, std::vector<SeatAction> &actions);
    void tickHolder(std::uint32_t index, Seat &seat, MonoTime now,
                    std::vector<SeatAction> &actions);
    void tickOther(std::uint32_t index, Seat &seat, MonoTime now, std::vector<SeatAction> &actions);
    void sendRenew(Seat &seat, MonoTime now, std::vector<SeatAction> &actions);
    /// Whether this process may become the holder.
    bool mayTake(const Seat &seat, MonoTime now) const;
    /// Returns the member that a held seat is to be handed over to: because this process leaves, or
    /// because rendezvous hashing prefers another member of the region. Otherwise nullptr.
    const SeatMember *successor(std::uint32_t index, MonoTime now) const;
    void handOver(std::uint32_t index, Seat &seat, const SeatMember &next, MonoTime now,
                  std::vector<SeatAction> &actions);
    /// Whether a conditional write may be made now. Adds a read if the object's version is not
    /// known.
    bool mayCallStore(std::uint32_t index, Seat &seat, MonoTime now,
                      std::vector<SeatAction> &actions);
    void write(std::uint32_t index, Seat &seat, SeatAction::Purpose purpose,
               proto::SeatRecord record, MonoTime now, std::vector<SeatAction> &actions);
    void read(std::uint32_t index, Seat &seat, MonoTime now, std::vector<SeatAction> &actions);
    void applyEra(Seat &seat, std::int64_t era, MonoTime now);
    /// Returns the term for a new holder or witness of the seat.
    std::int64_t nextTerm(const Seat &seat) const;
    void onRenew(const proto::Envelope &message, MonoTime now, std::vector<SeatAction> &actions);
    void onRenewAck(const proto::Envelope &message, MonoTime now);
    /// Returns a record with this process as holder and the preferred witness.
    proto::SeatRecord makeOwnRecord(std::uint32_t index, std::int64_t term,
                                    const proto::ProcessId *excludedWitness) const;
    /// Returns the preferred member for the seat except \a excluded; nullptr if there is none.
    const SeatMember *chooseMember(std::uint32_t index, const proto::ProcessId *excluded) const;
    bool isMember(const proto::ProcessId &id) const;
    /// Returns how many members of the region rank before this process for the seat.
    std::size_t rankOf(std::uint32_t index) const;
    /// Whether this process ranks first for the seat among the members of its region.
    bool isPreferred(std::uint32_t index) const { return this->rankOf(index) == 0; }
    /// Sends the record of a seat that this process has just taken to the members of its region.
    void announce(const Seat &seat, std::vector<SeatAction> &actions) const;
    /// Returns a time on this clock in which \a time has passed on any other clock.
    MonoTime::duration addDriftMargin(MonoTime::duration time) const;
    /// Returns a time on this clock in which at most \a time has passed on any other clock.
    MonoTime::duration subtractDriftMargin(MonoTime::duration time) const;

    LocalProcess self;
    SeatTimings timings;
    std::vector<SeatMember> members;
    MonoTime membersSince{}; ///< when the members last changed
    std::optional<MonoTime> startedAt; ///< time of the first tick
    MonoTime nextRebalance{}; ///< seats are not rebalanced before
    LevelsOf levelsOf;
    SeatPredicate isNeeded; ///< may be empty
    std::map<std::uint32_t, Seat> seats; ///< of the own region
    /// Records of the seats of other regions, by region.
    std::map<std::string, std::map<std::uint32_t, proto::SeatRecord>> remoteRecords;
    std::vector<SeatChange> changes;
    bool isLeaving = false;
};

} // namespace lavenderhall
