#pragma once

#include "config/tracker.h"
#include "drain/drain.h"
#include "http/client.h"
#include "http/server.h"
#include "identity/keyring.h"
#include "placement/endpointtable.h"
#include "placement/history.h"
#include "router/errorresponse.h"
#include "router/fleet.h"
#include "router/metrics.h"
#include "router/settings.h"
#include "routing/retrybudget.h"
#include "timeline/ring.h"

#include <string>

/// State that all calls of one instance share.
namespace lavenderhall {

/// Services and state that calls use; owned by the daemon.
struct RouterContext
{
    http::Loop &loop;
    http::Client &endpointClient;
    const Settings &settings;
    TimelineRing &timeline;
    Metrics &metrics;
    Fleet &fleet;
    StoreClient &store;
    EndpointTable endpointTable;
    PrefixHistory history;
    RetryBudget retryBudget;
    ActiveConfigPtr config; ///< null before the first configuration
    Keyring keyring;
    Drain drain;
};

/// A caller's request with what the gateway has found out about it.
struct CallerRequest
{
    http::ExchangePtr exchange;
    std::string id; ///< request id, assigned here
    std::string organisation;
    std::string keyId; ///< "" for a request without a key on an open route
    std::string secret; ///< the key as sent, to check that it is not forwarded
    Route route;
    MonoTime arrivedAt{};
    std::uint64_t tokenRequestId = 0; ///< id of the request for tokens of the organisation's rate
};

} // namespace lavenderhall
