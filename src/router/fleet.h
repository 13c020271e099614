#pragma once

#include "limits/borrower.h"
#include "limits/lender.h"
#include "limits/seats.h"
#include "membership/members.h"
#include "membership/peerlink.h"
#include "router/configfeed.h"
#include "router/metrics.h"
#include "router/settings.h"
#include "timeline/ring.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

/// This instance among the others: membership, limits and the spread of configurations, carried
/// out over the peer link and the platform's store.
namespace lavenderhall {

/// Answer to a request for tokens.
using TokensHandler = std::function<void(const BorrowResult &result)>;

class Fleet
{
public:
    Fleet(http::Loop &loop, const Settings &settings, StoreClient &store, ConfigFeed &feed,
          TimelineRing &timeline, Metrics &metrics);
    ~Fleet();

    /// Binds the peer address and begins; throws std::runtime_error if it is taken.
    void start();
    void onConfig(const ActiveConfigPtr &config);
    /// Takes in more addresses under which members may be found.
    void addSeeds(const std::vector<http::Address> &seeds) { this->members->addSeeds(seeds); }

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
    void receiveConfigOffer(const proto::ConfigOffer &offer);
    void carryOut(const std::vector<MemberAction> &actions);
    void carryOut(const std::vector<SeatAction> &actions);
    void carryOut(const BorrowStep &step);
    void carryOut(const BorrowAction &action);
    void callStore(const SeatAction &action);
    void send(const proto::ProcessId &to, proto::Envelope message);
    void sendTo(const http::Address &to, proto::Envelope message);
    void takeMemberChanges();
    void takeSeatChanges();
    void askForSeats();
    void askForConfig();

    http::Loop &loop;
    const Settings &settings;
    StoreClient &store;
    ConfigFeed &feed;
    TimelineRing &timeline;
    Metrics &metrics;
    SeatTimings timings;
    proto::ProcessId self;
    std::unique_ptr<Members> members;
    std::unique_ptr<SeatKeeper> seats;
    std::unique_ptr<Lender> lender;
    std::unique_ptr<Borrower> borrower;
    std::unordered_map<std::uint64_t, TokensHandler> waiting;
    std::uint64_t nextRequest = 1;
    pcg32 random;
    MonoTime nextSeatQuestion{};
    MonoTime nextConfigQuestion{};
    MonoTime lastCompany{}; ///< when a peer or the store was last in reach
    bool isLeaving = false;
    http::Timer timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<PeerLink> link;
};

} // namespace lavenderhall
