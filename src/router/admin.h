#pragma once

#include "http/server.h"
#include "router/context.h"

#include <functional>

/// HTTP interface for operators: health, metrics, status, time line and drain.
namespace lavenderhall {

/// Callbacks from the admin server into the instance.
struct AdminHooks
{
    std::function<bool()> isReady; ///< whether the instance accepts requests
    std::function<Json()> status; ///< body of the answer to /status
    std::function<void()> drain; ///< starts a graceful stop
    std::function<void()> updateGauges; ///< called before metrics are serialized
};

/// Serves /healthz, /readyz, /metrics, /status, /timeline and /drain.
class Admin
{
public:
    Admin(http::Loop &loop, const Address &listen, TimelineRing &timeline, Metrics &metrics,
          AdminHooks hooks, std::size_t maxConnections);

private:
    void serve(const http::ExchangePtr &exchange);

    TimelineRing &timeline;
    Metrics &metrics;
    AdminHooks hooks;
    http::Server server;
};

} // namespace lavenderhall
