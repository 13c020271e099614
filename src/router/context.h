#pragma once

#include "config/tracker.h"
#include "http/client.h"
#include "http/server.h"
#include "identity/keyring.h"
#include "placement/endpointtable.h"
#include "placement/history.h"
#include "router/answers.h"
#include "router/fleet.h"
#include "router/metrics.h"
#include "router/settings.h"
#include "routing/retrybudget.h"
#include "timeline/ring.h"

#include <string>

/// What all calls in progress on one instance share.
namespace lavenderhall {

struct RouterContext
{
    http::Loop &loop;
    http::Client &endpoints;
    const Settings &settings;
    TimelineRing &timeline;
    Metrics &metrics;
    Fleet &fleet;
    StoreClient &store;
    EndpointTable endpointTable;
    PrefixHistory history;
    RetryBudget retryBudget;
    ActiveConfigPtr config;
    Keyring keyring;
};

/// One caller's request after authentication.
struct CallerRequest
{
    http::ExchangePtr exchange;
    std::string id;
    std::string organisation;
    std::string keyId; ///< "" on an open route without a key
    std::string secret; ///< the key as sent, to make sure that it goes no further
    Route route;
    MonoTime arrivedAt{};
    std::uint64_t tokensRequest = 0; ///< number of the granted request for tokens
};

} // namespace lavenderhall
