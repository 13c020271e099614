#pragma once

#include "http/server.h"
#include "router/context.h"

#include <functional>

/// Operators' side of an instance: health, metrics, status, time line and drain.
namespace lavenderhall {

/// What the admin server asks of the instance.
struct AdminHooks
{
    std::function<bool()> isReady;
    std::function<Json()> status;
    std::function<void()> drain;
    std::function<void()> updateGauges; ///< brings gauges up to date
};

class Admin
{
public:
    Admin(http::Loop &loop, const Address &listen, TimelineRing &timeline, Metrics &metrics,
          AdminHooks hooks);

private:
    void serve(const http::ExchangePtr &exchange);

    TimelineRing &timeline;
    Metrics &metrics;
    AdminHooks hooks;
    http::Server server;
};

} // namespace lavenderhall
