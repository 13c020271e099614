#pragma once

#include "canary/rollout.h"
#include "proto/peer.pb.h"

/// The messages in which instances tell one another about rollouts of services.
namespace lavenderhall {

proto::RolloutNews writeNews(const ServiceOrder &order, const RolloutReport &report, MonoTime now);
/// Reads news; values that make no sense are replaced by harmless ones.
RolloutReport readNews(const proto::ProcessId &from, const proto::RolloutNews &news, MonoTime now);

} // namespace lavenderhall
