#pragma once

#include "canary/exposure.h"
#include "canary/observations.h"
#include "canary/order.h"
#include "canary/verdict.h"

#include <optional>

/// One order to move a service's traffic, as one instance carries it out together with the others.
namespace lavenderhall {

/// How the traffic is divided between the versions.
enum class RolloutPhase : int {
    Canary, ///< a share goes to the version under test
    Shift, ///< all goes there, the others finish what they have
    Stopped, ///< nothing goes there
};

/// Returns the name used in log lines.
const char *toString(RolloutPhase phase);

/// What the holder of the lease has decided.
struct PhaseDecision
{
    std::int64_t fence = 0; ///< of its lease; 0 while there is no decision
    RolloutPhase phase = RolloutPhase::Canary;
    double share = 0; ///< of the requests that may go to the version under test
    MonoTime confirmedAt{}; ///< when the holder last repeated it
};

/// What an instance tells the others.
struct RolloutReport
{
    CountSender sender;
    std::uint64_t number = 0;
    Millis age{0}; ///< since the order, as far as the sender knows
    PhaseDecision decision; ///< that the sender applies
    bool isBad = false;
    std::int64_t oldInFlight = 0; ///< requests at endpoints of other versions
    std::int64_t requests = 0; ///< to the service
    std::int64_t exposed = 0; ///< of these, sent to the version under test
    CountsByRoute counts;
};

/// What an instance knows by itself at a moment.
struct RolloutInput
{
    bool isHolder = false;
    std::int64_t fence = 0; ///< of this instance's lease
    std::int64_t oldInFlight = 0; ///< requests at endpoints of other versions
    bool hasCandidates = false; ///< whether endpoints of the version under test are known
};

/// Requests and exposure of all instances, as far as they have told.
struct ExposureSum
{
    std::int64_t requests = 0;
    std::int64_t exposed = 0;
};

/// Merges what instances tell, derives the verdict, and as the holder decides on the phases.
class ServiceRollout
{
public:
    ServiceRollout(CountSender self, ServiceOrder order, double exposureShare, MonoTime now);

    /// Applies the status as the store has it. The first end that is known stays.
    void onStatus(RolloutState state);
    void onReport(const RolloutReport &report, MonoTime now);
    void onTick(const RolloutInput &input, MonoTime now);

    /// Records an attempt of a request of this instance.
    void onSent(const std::string &build, bool isFirst);
    void onAnswered(const std::string &build, const std::string &route, bool isFailure,
                    Micros time);

    /// Whether a request with \a draw (from 0 to 1) goes to the version under test. \a slack is
    /// this instance's part of the additional requests.
    bool mayExpose(double draw, double slack, MonoTime now) const;
    /// Whether all requests go to the version under test.
    bool isShifted(MonoTime now) const;
    /// Returns the status that the holder should write; nothing if the store has it.
    std::optional<RolloutState> wantedStatus() const;
    /// Returns this instance's next message to the others.
    RolloutReport nextReport(MonoTime now);

    const ServiceOrder &order() const { return this->currentOrder; }
    bool isEnded() const { return isEnd(this->end); }
    RolloutState endState() const { return this->end; }
    bool isBad() const { return this->bad; }
    const PhaseDecision &decision() const { return this->current; }
    const Verdict &verdict() const { return this->lastVerdict; }
    /// Returns why the holder has decided on an end; "" before.
    const std::string &reason() const { return this->endReason; }
    const CountsByRoute &total() const { return this->observations.total(); }
    ExposureSum exposureSum() const;
    Millis age(MonoTime now) const;

private:
    struct Peer
    {
        RolloutPhase phase = RolloutPhase::Canary;
        std::int64_t oldInFlight = 0;
        std::int64_t requests = 0;
        std::int64_t exposed = 0;
        MonoTime heardAt{};
    };

    double elapsedPart(MonoTime now) const;
    bool isFresh(MonoTime now) const;
    void decide(const RolloutInput &input, MonoTime now);
    void decideCanary(const RolloutInput &input, double elapsed);
    void stop(std::string reason);
    /// Whether no reachable instance has requests at endpoints of other versions.
    bool isDrained(MonoTime now) const;
    double stepShare(double elapsed) const;

    CountSender self;
    ServiceOrder currentOrder;
    double exposureShare = 0;
    MonoTime startedAt{};
    MonoTime knownSince{};
    Exposure exposure;
    CountsByRoute ownCounts;
    FleetObservations observations;
    std::map<CountSender, Peer> peers;
    PhaseDecision current;
    Verdict lastVerdict;
    std::int64_t ownFence = 0; ///< of the last decision of this instance
    std::int64_t oldInFlight = 0;
    MonoTime shiftedAt{};
    RolloutState stored = RolloutState::None; ///< status in the store
    RolloutState end = RolloutState::None; ///< known to be final
    RolloutState intended = RolloutState::None; ///< end that this instance writes as the holder
    std::string endReason;
    std::uint64_t number = 0;
    bool bad = false;
};

} // namespace lavenderhall
