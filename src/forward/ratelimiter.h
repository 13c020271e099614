#pragma once

#include "forward/forwarder.h"
#include "limits/allowance.h"
#include "router/fleet.h"
#include "store/objects.h"

#include <string>

/// Limits organisations' token rates in the forward dialect. The fleet's accounts decide; where an
/// account does not grant the tokens or cannot be reached, this instance may grant its small share
/// of the tolerated overage.
namespace lavenderhall {

/// Returns a store that keeps the records of seats as objects of \a kind, each named after its
/// region and seat. \a outageDuration returns how long the store has not answered.
SeatStore objectSeatStore(http::Loop &loop, ObjectClient &store, const std::string &kind,
                          std::function<Millis()> outageDuration);

class RateLimiter
{
public:
    explicit RateLimiter(Fleet &fleet)
        : fleet(fleet)
    { }

    /// Sets the tolerated overage of the organisations' rates. The accounts use it from the next
    /// configuration on.
    void setTolerance(const AllowanceSettings &settings);
    /// Handles a new configuration in force; \a regions has the region of each zone.
    void onConfig(const TableContent &content, const std::map<std::string, std::string> &regions);
    /// Returns the functions by which requests are admitted.
    TokenAdmission admission();

private:
    std::uint64_t requestTokens(const OrganisationSpec &organisation, double tokens, Millis maxWait,
                                const TokenAdmission::Handler &handler);

    Fleet &fleet;
    AllowanceSettings tolerance;
    Allowance allowance{monoNow()};
};

} // namespace lavenderhall
