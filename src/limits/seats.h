#pragma once

#include "base/clock.h"
#include "limits/seatrecord.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Who holds which part of the limits: seats under leases.
///
/// Each region has a fixed number of seats, and each organisation's account in a region belongs
/// to one of them. A seat has one holder and one witness, recorded in one object of the store;
/// every change of either is a conditional write of that object. The holder decides only while
/// its lease runs, and the witness renews the lease, so that an outage of the store stops
/// nobody. The witness alone may take a silent holder's seat, after the lease has surely lapsed.
namespace lavenderhall {

struct SeatTimings
{
    Millis lease{3000}; ///< a holder decides for so long after its witness's word
    Millis renewInterval{500}; ///< between a holder's questions to its witness
    Millis loanValidity{1000}; ///< a borrower may spend for so long after it has asked
    Millis abandoned = std::chrono::minutes(75); ///< unchanged for so long, a record may be taken
    Millis readInterval
        = std::chrono::minutes(10); ///< between looks at the store for seats of others
    Millis rebalanceDelay{30'000}; ///< the members must not have changed for so long
    Millis freshTime{8000}; ///< after a take without levels, the next one gets no grant for so long
    std::uint32_t seats = SeatsPerRegion;
    double clockDrift = 0.001; ///< bound on the difference of two clocks' rates
};

/// This process, as seats see it.
struct SeatSelf
{
    proto::ProcessId id;
    std::string region;
    std::string host;
    std::uint32_t port = 0; ///< of the peer socket, bound already
    std::string boot; ///< id of the machine's boot
};

/// A process that may hold seats or be a witness.
struct SeatMember
{
    proto::ProcessId id;
    std::string region;
    std::string zone;
};

/// What a SeatKeeper wants done.
struct SeatAction
{
    enum class Kind { Send, Read, Write };
    enum class Purpose {
        Take, ///< to become the holder
        Renew, ///< as holder: new witness, or a sign of life
        Fence, ///< same content, so that an earlier write whose answer was lost cannot apply
        Pass, ///< as holder: to name another one
    };

    Kind kind = Kind::Send;
    proto::ProcessId to; ///< Send
    proto::Envelope message; ///< Send
    std::string region; ///< Read, Write
    std::uint32_t index = 0; ///< Read, Write
    Purpose purpose = Purpose::Take; ///< Write
    proto::SeatRecord record; ///< Write
    std::int64_t expected = 0; ///< Write: version of the object
    MonoTime startedAt{}; ///< Read, Write: to be handed back with the reply
};

/// A seat that this process has come to hold, or has ceased to.
struct SeatChange
{
    std::uint32_t index = 0;
    bool gained = false;
    std::int64_t term = 0;
    bool isFirst = false; ///< the seat had never been held before
    std::vector<proto::AccountLevel> levels; ///< handed over by the holder before
    bool wasHandedOver = false;
    /// The levels are lost, and no other holder has lost them for a while: the accounts may begin
    /// with what is set aside for that.
    bool mayGrantAtStart = false;
};

class SeatKeeper
{
public:
    SeatKeeper(SeatSelf self, SeatTimings timings);

    /// Members that seem alive, without this process.
    void setMembers(std::vector<SeatMember> alive, MonoTime now);

    std::vector<SeatAction> onTick(MonoTime now);
    std::vector<SeatAction> onMessage(const proto::Envelope &message, MonoTime now);
    std::vector<SeatAction> onRead(const SeatAction &asked, const StoreReply &reply, MonoTime now);
    std::vector<SeatAction> onWritten(const SeatAction &asked, const StoreReply &reply,
                                      MonoTime now);

    /// Takes no seat that \a isNeeded does not tell to hold accounts; all are needed without it.
    using Needed = std::function<bool(std::uint32_t index)>;
    void setNeeded(Needed isNeeded) { this->needed = std::move(isNeeded); }

    /// Source of the accounts' levels that go along when a seat is passed on.
    using LevelsOf = std::function<std::vector<proto::AccountLevel>(std::uint32_t index)>;
    void setLevelsSource(LevelsOf source) { this->levelsOf = std::move(source); }
    /// Takes no seat any more and passes on those held, from the next tick on.
    void leave() { this->leaving = true; }
    /// Whether all seats that can be passed on have been.
    bool hasLeft(MonoTime now) const;

    /// Whether this process may decide for the seat now. Never before its gain has been reported.
    bool isHeld(std::uint32_t index, MonoTime now) const;
    /// Changes since the last call, in order.
    std::vector<SeatChange> takeChanges();
    /// Who is believed to hold a seat of any region; nullptr if not known.
    const proto::SeatRecord *recordOf(const std::string &region, std::uint32_t index) const;
    /// Takes in what another process knows.
    void learn(const proto::SeatRecord &record, MonoTime now);
    /// All records known, for a process that has just started.
    std::vector<proto::SeatRecord> allRecords() const;
    std::size_t heldCount(MonoTime now) const;

private:
    struct Seat
    {
        proto::SeatRecord record; ///< term 0: not known
        std::int64_t version = 0; ///< of the store's object, 0: not read
        MonoTime recordSince{}; ///< when this record was first seen
        MonoTime leaseUntil{}; ///< as holder
        MonoTime notBefore{}; ///< as holder: the one before may decide until then
        MonoTime lastAck{}; ///< as witness: last word given to the holder
        MonoTime lastHeard{}; ///< as holder: last word of the witness
        MonoTime lastRenew{};
        MonoTime bumpedAt{}; ///< when this process last wrote the record
        MonoTime nextRead{}; ///< background look at the store
        MonoTime nextTry{}; ///< no call to the store before
        std::optional<MonoTime> uncertainSince; ///< a write was started then, its fate is open
        bool isMissing = false; ///< the store has said that there is no record
        bool isBusy = false; ///< a call to the store is on its way
        bool isFrozen = false; ///< being passed on: decides no more
        bool announced = false; ///< its gain has been reported
        bool createdHere = false;
        bool mayGrantAtStart = false;
        MonoTime tookAt{}; ///< as holder without levels
        bool wasHandedOver = false; ///< handedLevels tell of all accounts
        std::vector<proto::AccountLevel> handedLevels; ///< not yet reported
    };

    bool isHolder(const Seat &seat) const;
    bool isWitness(const Seat &seat) const;
    bool leaseRuns(const Seat &seat, MonoTime now) const;
    void adopt(Seat &seat, const proto::SeatRecord &record, MonoTime now);
    void reportLoss(std::uint32_t index, Seat &seat);
    void reportChange(std::uint32_t index, Seat &seat, MonoTime now);
    void tickSeat(std::uint32_t index, Seat &seat, MonoTime now, std::vector<SeatAction> &actions);
    void tickHolder(std::uint32_t index, Seat &seat, MonoTime now,
                    std::vector<SeatAction> &actions);
    void tickOther(std::uint32_t index, Seat &seat, MonoTime now, std::vector<SeatAction> &actions);
    void sendRenew(Seat &seat, MonoTime now, std::vector<SeatAction> &actions);
    bool mayTake(const Seat &seat, MonoTime now) const;
    const SeatMember *successor(std::uint32_t index, MonoTime now) const;
    void passOn(std::uint32_t index, Seat &seat, const SeatMember &next, MonoTime now,
                std::vector<SeatAction> &actions);
    bool mayCallStore(std::uint32_t index, Seat &seat, MonoTime now,
                      std::vector<SeatAction> &actions);
    void write(std::uint32_t index, Seat &seat, SeatAction::Purpose purpose,
               proto::SeatRecord record, MonoTime now, std::vector<SeatAction> &actions);
    void read(std::uint32_t index, Seat &seat, MonoTime now, std::vector<SeatAction> &actions);
    void onRenew(const proto::Envelope &message, MonoTime now, std::vector<SeatAction> &actions);
    void onRenewAck(const proto::Envelope &message, MonoTime now);
    proto::SeatRecord ownRecord(std::uint32_t index, std::int64_t term,
                                const proto::ProcessId *notWitness) const;
    const SeatMember *chooseMember(std::uint32_t index, const proto::ProcessId *excluded) const;
    bool isMember(const proto::ProcessId &id) const;
    bool isPreferred(std::uint32_t index) const;
    MonoTime::duration stretched(MonoTime::duration time) const;
    MonoTime::duration shrunk(MonoTime::duration time) const;

    SeatSelf self;
    SeatTimings timings;
    std::vector<SeatMember> members;
    MonoTime membersSince{};
    MonoTime nextRebalance{};
    LevelsOf levelsOf;
    Needed needed;
    std::map<std::uint32_t, Seat> seats; ///< of the own region
    std::map<std::string, std::map<std::uint32_t, proto::SeatRecord>> elsewhere;
    std::vector<SeatChange> changes;
    bool leaving = false;
};

} // namespace lavenderhall
