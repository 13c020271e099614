#pragma once

#include "config/document.h"
#include "config/tracker.h"
#include "limits/borrower.h"
#include "limits/lender.h"
#include "limits/seats.h"
#include "membership/fleetsize.h"
#include "membership/membership.h"
#include "membership/peerlink.h"
#include "router/metrics.h"
#include "router/objectreplicator.h"
#include "router/settings.h"
#include "timeline/ring.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/// What this instance does as a member of the fleet: membership, rate limits, and the replication
/// of configurations and store objects, over the peer link and the platform's store.
namespace lavenderhall {

/// Access to the configuration of this instance, which peers exchange with each other.
struct ReplicatedConfig
{
    std::function<std::int64_t()> activeVersion; ///< version in force on this instance
    /// Returns the request to send to a peer with a newer version.
    std::function<proto::ConfigRequest()> createRequest;
    /// Returns the answer to a peer's request, or nothing if this instance has no newer version.
    std::function<std::optional<proto::ConfigOffer>(const proto::ConfigRequest &request)>
        createOffer;
    std::function<void(const proto::ConfigOffer &offer)> applyOffer;
};

/// Handlers of the messages in which other instances report changes of engines.
struct EngineUpdateHandlers
{
    std::function<void(const proto::WeightsNotice &notice)> onWeightsNotice;
    std::function<void(const proto::LoadNews &news)> onLoadNews;
    std::function<void(const proto::CrashNews &news)> onCrashNews;
    std::function<void(const proto::ProcessId &from, const proto::WorkNews &news)> onWorkNews{};
};

/// Handlers of the messages about limits that endpoints name.
struct LimitMessageHandlers
{
    std::function<void(const proto::LimitNews &news)> onNews;
    std::function<void(const proto::ProcessId &from, const proto::PermitRequest &request)>
        onPermitRequest;
    std::function<void(const proto::PermitAnswer &answer)> onPermitAnswer;
};

/// Handlers of the messages about when versions of weights were named.
struct WeightsHistoryHandlers
{
    std::function<void(const proto::ProcessId &from, const proto::WeightsHistoryRequest &request)>
        onRequest;
    std::function<void(const proto::ProcessId &from, const proto::WeightsHistory &answer)> onAnswer;
};

/// Access to the stored seat records. A seat is the right to decide on a part of the limits.
struct SeatStore
{
    std::function<Millis()> outageDuration; ///< how long the store has not answered
    std::function<void(const std::string &object, const StoreHandler &handler)> read;
    /// Writes \a text if the object still has the version \a expected.
    std::function<void(const std::string &object, std::string text, std::int64_t expected,
                       const StoreHandler &handler)>
        write;
};

/// Called with the answer to a request for tokens.
using TokenRequestHandler = std::function<void(const BorrowResult &result)>;

/// The instances among which a task is assigned, or that are asked.
enum class TaskScope { Region, Fleet };

/// Connects the protocol logic of membership and limits, which does no I/O, with the
/// network, the store and the clock.
class Fleet
{
public:
    /// \a replicatedConfig is empty where configurations are replicated as store objects.
    Fleet(http::Loop &loop, const Settings &settings, SeatStore store,
          std::optional<ReplicatedConfig> replicatedConfig, TimelineRing &timeline,
          Metrics &metrics, SeatTimings timings = {});
    ~Fleet();

    /// Binds the peer address and starts; throws ListenError if that fails.
    void start();
    /// Bounds the instances to which connections are kept. Call it before start().
    void setMaxPeerConnections(std::size_t count) { this->maxPeerConnections = count; }
    /// Applies the regions and organisations of a configuration. \a restart has the tokens that an
    /// account of each organisation may grant after its level was lost.
    void onConfig(std::int64_t version, const std::vector<Region> &regions,
                  const std::vector<Organisation> &organisations,
                  const RestartTokens &restart = {});
    /// Starts to replicate store objects with other instances.
    void replicateObjects(ReplicatedObjects objects, EngineUpdateHandlers handlers);
    /// Pushes the changes of one kind that this instance has read from the store to its region, if
    /// it watches the store for the region.
    void publishObjects(std::size_t kind);
    /// Returns whether this instance is one of the \a count in \a scope that do \a task, see
    /// membership/taskassignment.h.
    bool isAssigned(std::string_view task, std::size_t count,
                    TaskScope scope = TaskScope::Region) const;
    /// Returns an upper bound on the number of instances in the fleet.
    std::size_t maxInstanceCount() const { return this->fleetSize.upperBound(monoNow()); }
    /// Sends the message to all other live instances.
    void broadcast(const proto::WeightsNotice &notice);
    void broadcast(const proto::LoadNews &news);
    void broadcast(const proto::CrashNews &news);
    void broadcast(const proto::LimitNews &news);
    void broadcast(const proto::RolloutNews &news);
    /// Sets the handler of what other instances tell about rollouts of services.
    void handleRollouts(
        std::function<void(const proto::ProcessId &from, const proto::RolloutNews &news)> handler)
    {
        this->onRolloutNews = std::move(handler);
    }
    /// Returns the identity of this process among the instances.
    const proto::ProcessId &ownProcess() const { return this->self; }
    /// Sets the handlers of messages about limits.
    void handleLimits(LimitMessageHandlers handlers) { this->limitHandlers = std::move(handlers); }
    /// Sets the handlers of messages about when versions of weights were named.
    void handleWeightsHistories(WeightsHistoryHandlers handlers)
    {
        this->historyHandlers = std::move(handlers);
    }
    void send(const proto::ProcessId &to, const proto::WeightsHistoryRequest &request);
    void send(const proto::ProcessId &to, const proto::WeightsHistory &answer);
    /// Returns the other live instances in \a scope, with those that are leaving.
    std::vector<proto::ProcessId> others(TaskScope scope) const;
    /// Sends the request to the one instance of the fleet that does \a task, possibly this one.
    void sendToAssigned(std::string_view task, const proto::PermitRequest &request);
    void send(const proto::ProcessId &to, const proto::PermitAnswer &answer);
    /// Sends the news to the one instance of \a region that does \a task, possibly this one.
    void sendToAssigned(std::string_view task, const std::string &region,
                        const proto::WorkNews &news);
    /// Adds addresses at which members may be found.
    void addSeeds(const std::vector<Address> &seeds) { this->members->addSeeds(seeds); }

    /// Requests \a tokens from the rate limit of \a organisation, waiting for at most \a timeout.
    /// The handler is called exactly once unless the request is cancelled. Returns the id of the
    /// request.
    std::uint64_t requestTokens(const std::string &organisation, double tokens, Millis timeout,
                                TokenRequestHandler handler);
    /// Cancels a request that has not been answered.
    void cancelTokenRequest(std::uint64_t request);
    /// Ends a granted request and returns the tokens that were not used.
    void returnTokens(std::uint64_t request, double unused);

    /// Hands over the seats of this instance; hasLeft() returns whether that is complete.
    void leave();
    bool hasLeft() const;

    /// Returns whether this instance has been isolated for longer than the settings allow: it knows
    /// other instances, but reaches neither any of them nor the store. The withdrawal of a key,
    /// which the others may know, would not arrive here.
    bool isCutOff() const;
    /// Returns the hosts of the other live instances that take on tasks.
    std::vector<std::string> otherHosts() const;
    std::size_t peerCount() const { return this->members ? this->members->alive().size() : 0; }
    Json status() const;
    void updateMetrics();

private:
    void tick();
    void receive(const proto::Envelope &message);
    void receiveBorrow(const proto::Envelope &message);
    void receiveConfigRequest(const proto::Envelope &message);
    void execute(const std::vector<PeerMessage> &actions);
    void execute(const std::vector<SeatAction> &actions);
    void execute(const BorrowStep &step);
    void execute(const BorrowAction &action);
    void callStore(const SeatAction &action);
    void send(const proto::ProcessId &to, proto::Envelope message);
    void sendTo(const Address &to, proto::Envelope message);
    /// Returns the instance that does \a task among those of \a region, or of the fleet if it is
    /// nullptr; nothing if there are none.
    std::optional<proto::ProcessId> assigneeOf(std::string_view task,
                                               const std::string *region) const;
    void reportMemberChanges();
    void applySeatChanges();
    void requestSeatRecords();
    void requestNewerConfig();
    void broadcast(const proto::Envelope &message);
    void receiveLimits(const proto::Envelope &message);
    void receiveWeightsHistory(const proto::Envelope &message);
    void receiveObjects(const proto::Envelope &message);

    http::Loop &loop;
    const Settings &settings;
    SeatStore store;
    std::optional<ReplicatedConfig> replicatedConfig; ///< empty in the forward dialect
    std::optional<ObjectReplicator> replicator; ///< only in the forward dialect
    EngineUpdateHandlers engineUpdateHandlers;
    LimitMessageHandlers limitHandlers;
    WeightsHistoryHandlers historyHandlers;
    std::function<void(const proto::ProcessId &from, const proto::RolloutNews &news)> onRolloutNews;
    TimelineRing &timeline;
    Metrics &metrics;
    SeatTimings timings;
    proto::ProcessId self;
    std::unique_ptr<Membership> members;
    std::unique_ptr<SeatKeeper> seats;
    std::unique_ptr<Lender> lender;
    std::unique_ptr<Borrower> borrower;
    std::unordered_map<std::uint64_t, TokenRequestHandler> pendingTokenRequests;
    std::uint64_t nextTokenRequestId = 1;
    pcg32 random;
    MonoTime nextSeatRequest{};
    MonoTime nextConfigRequest{};
    FleetSize fleetSize{monoNow()};
    std::size_t maxPeerConnections = PeerLink::DefaultMaxConnections;
    MonoTime lastContact{}; ///< when a peer or the store was last reachable
    bool isLeaving = false;
    http::Timer tickTimer;
    /// Set to false by the destructor, for callbacks that run after it.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
    std::unique_ptr<PeerLink> link;
};

} // namespace lavenderhall
