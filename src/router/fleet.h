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
#include "router/objectspread.h"
#include "router/settings.h"
#include "timeline/ring.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/// This instance among the others: membership, limits and the spread of configurations, carried
/// out over the peer link and the platform's store.
namespace lavenderhall {

/// Where configurations spread between instances come from and go to.
struct ConfigSharing
{
    std::function<std::int64_t()> version; ///< in force here
    std::function<proto::ConfigRequest()> request; ///< what to ask a newer peer for
    std::function<std::optional<proto::ConfigOffer>(const proto::ConfigRequest &request)> answer;
    std::function<void(const proto::ConfigOffer &offer)> take;
};

/// What instances tell each other about engines.
struct EngineNews
{
    std::function<void(const proto::WeightsNotice &notice)> onWeights;
    std::function<void(const proto::LoadNews &news)> onLoad;
};

/// Where the records of seats lie.
struct SeatStore
{
    std::function<Millis()> silence; ///< how long the store has not answered
    std::function<void(const std::string &object, const StoreHandler &handler)> read;
    std::function<void(const std::string &object, std::string text, std::int64_t expected,
                       const StoreHandler &handler)>
        write;
};

/// Answer to a request for tokens.
using TokensHandler = std::function<void(const BorrowResult &result)>;

class Fleet
{
public:
    Fleet(http::Loop &loop, const Settings &settings, SeatStore store,
          std::optional<ConfigSharing> configs, TimelineRing &timeline, Metrics &metrics,
          SeatTimings timings = {});
    ~Fleet();

    /// Binds the peer address and begins; throws std::runtime_error if it is taken.
    void start();
    /// Takes in what a configuration says of regions and organisations.
    void onConfig(std::int64_t version, const std::vector<Region> &regions,
                  const std::vector<Organisation> &organisations,
                  const RestartTokens &restart = {});
    void shareObjects(ObjectSharing how, EngineNews onNews);
    /// This instance has learnt of changes from the store: tells the region, if that is its duty.
    void publishObjects(std::size_t kind);
    /// Whether \a task falls to this instance, as one of \a count in its region.
    bool isOnDuty(std::string_view task, std::size_t count) const;
    /// How many instances there may be.
    std::size_t sizeAtMost() const { return this->size.upperBound(monoNow()); }
    /// Tells all other instances.
    void announce(const proto::WeightsNotice &notice);
    void announce(const proto::LoadNews &news);
    /// Takes in more addresses under which members may be found.
    void addSeeds(const std::vector<Address> &seeds) { this->members->addSeeds(seeds); }

    /// Asks for \a tokens of \a organisation; the handler is called exactly once unless the
    /// request is cancelled. Returns the request's number.
    std::uint64_t requestTokens(const std::string &organisation, double tokens, Millis patience,
                                TokensHandler handler);
    void cancelTokens(std::uint64_t request);
    /// Ends a granted request of which \a unused tokens were not needed.
    void returnTokens(std::uint64_t request, double unused);

    /// Passes on what this instance holds; hasLeft() tells when that is done.
    void leave();
    bool hasLeft() const;

    /// Whether this instance has been alone for longer than the settings allow: it knows of
    /// others, reaches none of them, and does not reach the store either. A withdrawal that the
    /// others know of would not arrive.
    bool isCutOff() const;
    std::size_t peerCount() const { return this->members ? this->members->alive().size() : 0; }
    Json status() const;
    void updateMetrics();

private:
    void tick();
    void receive(const proto::Envelope &message);
    void receiveBorrow(const proto::Envelope &message);
    void receiveConfigRequest(const proto::Envelope &message);
    void carryOut(const std::vector<PeerMessage> &actions);
    void carryOut(const std::vector<SeatAction> &actions);
    void carryOut(const BorrowStep &step);
    void carryOut(const BorrowAction &action);
    void callStore(const SeatAction &action);
    void send(const proto::ProcessId &to, proto::Envelope message);
    void sendTo(const Address &to, proto::Envelope message);
    void takeMemberChanges();
    void takeSeatChanges();
    void askForSeats();
    void askForConfig();
    void askForObjects();
    std::vector<proto::ProcessId> othersInRegion() const;
    void announce(const proto::Envelope &message);
    void receiveObjects(const proto::Envelope &message);

    http::Loop &loop;
    const Settings &settings;
    SeatStore store;
    std::optional<ConfigSharing> configs; ///< not where they spread as objects
    std::optional<ObjectSpread> objects;
    EngineNews engineNews;
    TimelineRing &timeline;
    Metrics &metrics;
    SeatTimings timings;
    proto::ProcessId self;
    std::unique_ptr<Membership> members;
    std::unique_ptr<SeatKeeper> seats;
    std::unique_ptr<Lender> lender;
    std::unique_ptr<Borrower> borrower;
    std::unordered_map<std::uint64_t, TokensHandler> waiting;
    std::uint64_t nextRequest = 1;
    pcg32 random;
    MonoTime nextSeatQuestion{};
    MonoTime nextConfigQuestion{};
    FleetSize size{monoNow()};
    MonoTime lastCompany{}; ///< when a peer or the store was last in reach
    bool isLeaving = false;
    http::Timer timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<PeerLink> link;
};

} // namespace lavenderhall
