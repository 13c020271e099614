#pragma once

#include "base/clock.h"
#include "proto/peer.pb.h"
#include "weights/versionhistory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <vector>

/// How instances tell each other when versions of weights were named.
///
/// An instance asks for what it lacks, rather than being told. A message has the age of a version,
/// which is out of date once the message has waited in a queue. Who has asked knows how long the
/// answer can have been under way at most, and ignores one that took too long.
namespace lavenderhall {

/// What the exchange needs from the fleet.
struct HistoryExchangeHooks
{
    /// Returns the other instances of this instance's region.
    std::function<std::vector<proto::ProcessId>()> othersInRegion;
    /// Returns the other instances of the fleet.
    std::function<std::vector<proto::ProcessId>()> othersInFleet;
    std::function<void(const proto::ProcessId &to, const proto::WeightsHistoryRequest &request)>
        ask;
    /// Called when an answer has changed a history.
    std::function<void()> onChange;
};

/// Completes the histories of one instance by those of others.
class HistoryExchange
{
public:
    /// \a seed differs for each process, as the numbers of its requests start from it.
    HistoryExchange(WeightsHistories &histories, HistoryExchangeHooks hooks, std::uint64_t seed)
        : histories(histories)
        , hooks(std::move(hooks))
        , random(seed)
        , lastNumber(seed)
    { }

    /// Asks other instances, if it is time to. Requests may begin on old weights for
    /// \a allowedTime.
    void onTick(Millis allowedTime, MonoTime now);
    /// Returns the answer to another instance's request.
    proto::WeightsHistory answer(const proto::WeightsHistoryRequest &request, Millis allowedTime,
                                 MonoTime now) const;
    /// Records what the instance \a from has answered.
    void onAnswer(const proto::ProcessId &from, const proto::WeightsHistory &answer, MonoTime now);

private:
    void askOneOf(const std::vector<proto::ProcessId> &others, MonoTime now);
    bool record(const proto::ProcessId &from, const proto::NamedWeights &told, MonoTime now);

    WeightsHistories &histories;
    HistoryExchangeHooks hooks;
    pcg32 random;
    MonoTime nextRequest{};
    std::uint64_t lastNumber; ///< an answer to the process before has another number
    std::map<std::uint64_t, MonoTime> sentAt; ///< by the number of each unanswered request
};

} // namespace lavenderhall
