#pragma once

#include "base/errors.h"
#include "proto/peer.pb.h"

#include <string>
#include <string_view>

/// The record of a seat as it lies in the store, and which seat an organisation belongs to.
namespace lavenderhall {

inline constexpr std::uint32_t SeatsPerRegion = 16;

/// Returns the seat of \a organisation's account, the same in each region.
std::uint32_t seatOf(std::string_view organisation);

/// Returns the name of the store's object for a seat.
std::string seatObjectName(const std::string &region, std::uint32_t index);

std::string toText(const proto::SeatRecord &record);
Result<proto::SeatRecord> parseSeat(std::string_view text, const std::string &object);

bool isSame(const proto::ProcessId &one, const proto::ProcessId &other);
proto::ProcessId processId(std::string name, std::uint64_t incarnation);

/// Returns an empty message of \a from.
proto::Envelope envelopeOf(const proto::ProcessId &from);

} // namespace lavenderhall
