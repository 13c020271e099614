#pragma once

#include "forward/forwarder.h"
#include "limits/allowance.h"
#include "router/fleet.h"
#include "store/objects.h"

#include <string>

/// Organisations' token rates in the forward dialect: the fleet's account decides, and while
/// nobody reaches it, this instance's small part of the tolerated excess.
namespace lavenderhall {

/// Keeps the records of seats as objects of \a kind, each named after its region and seat.
/// \a silence tells how long the store has not answered.
SeatStore objectSeatStore(ObjectClient &store, const std::string &kind,
                          std::function<Millis()> silence);

class RateLimiter
{
public:
    explicit RateLimiter(Fleet &fleet)
        : fleet(fleet)
    { }

    /// What the organisations' rates tolerate; accounts follow with the next configuration.
    void setTolerance(const AllowanceSettings &settings);
    /// A configuration has come into force.
    void onConfig(const TableContent &content, const std::map<std::string, std::string> &regions);
    /// How requests are admitted.
    TokenAdmission admission();

private:
    std::uint64_t requestTokens(const OrganisationSpec &organisation, double tokens,
                                const TokenAdmission::Handler &handler);

    Fleet &fleet;
    AllowanceSettings tolerance;
    Allowance allowance{monoNow()};
};

} // namespace lavenderhall
