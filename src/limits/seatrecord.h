#pragma once

#include "base/errors.h"
#include "proto/peer.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

/// The record of a seat in the store, and the assignment of organisations to seats.
namespace lavenderhall {

inline constexpr std::uint32_t SeatsPerRegion = 16;
/// Bound for terms and renewals of records from outside, so that they can be increased.
inline constexpr std::int64_t MaxSeatTerm = std::int64_t{1} << 62;

/// Returns the index of the seat that the accounts of \a organisation belong to, from a hash of the
/// name. It is the same in each region.
std::uint32_t seatOf(std::string_view organisation);

/// Returns the name of the object in the store that holds the record of a seat.
std::string seatObjectName(const std::string &region, std::uint32_t index);

/// Returns the record as JSON, as it is written to the store.
std::string toText(const proto::SeatRecord &record);
/// Parses the text of \a object, whose name appears in the message of an error (BadInput).
Result<proto::SeatRecord> parseSeatRecord(std::string_view text, const std::string &object);

/// Whether both are the same process: the same name and the same incarnation.
bool isSameProcess(const proto::ProcessId &one, const proto::ProcessId &other);
proto::ProcessId processId(std::string name, std::uint64_t incarnation);

/// Returns a message without content that names \a from as its sender.
proto::Envelope makeEnvelope(const proto::ProcessId &from);

} // namespace lavenderhall
