#pragma once

#include "canary/rollout.h"
#include "proto/peer.pb.h"

/// The messages in which instances tell one another about rollouts of services.
namespace lavenderhall {

proto::RolloutNews writeNews(const ServiceOrder &order, const RolloutReport &report, MonoTime now);
/// Reads news. Times, the share and the fence are clamped to their ranges; an unknown phase is read
/// as Stopped.
RolloutReport readNews(const proto::ProcessId &from, const proto::RolloutNews &news, MonoTime now);

} // namespace lavenderhall
