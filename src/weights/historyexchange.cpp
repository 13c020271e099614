#include "weights/historyexchange.h"

#include "base/log.h"

#include <algorithm>
#include <iterator>

namespace lavenderhall {

namespace {

constexpr Millis RequestInterval{250};
// A version counts as named later than it was by the time that the answer was under way. These
// delays add up when a time is passed on from one instance to the next.
constexpr Millis MaxRoundTrip{250};
constexpr Millis MaxNamedAge = std::chrono::hours(24); ///< older names make no difference

NamedVersion readNamed(const proto::NamedWeights &told, MonoTime now)
{
    NamedVersion named;
    named.version = told.version();
    named.namedAt = now - std::clamp(Millis(told.age_ms()), Millis(0), MaxNamedAge);
    if (told.has_previous())
        named.previous = told.previous();
    return named;
}

void addNamed(proto::WeightsHistory &answer, const std::string &model, const NamedVersion &named,
              MonoTime now)
{
    proto::NamedWeights &told = *answer.add_named();
    told.set_model(model);
    told.set_version(named.version);
    told.set_age_ms(std::chrono::duration_cast<Millis>(now - named.namedAt).count());
    if (named.previous)
        told.set_previous(*named.previous);
}

} // namespace

// Once the newest version alone is allowed, the times of all others no longer matter. An instance
// of the same region is cheaper to reach; another one may know more after several have restarted.
void HistoryExchange::onTick(Millis allowedTime, MonoTime now)
{
    if (now < this->nextRequest)
        return;
    this->nextRequest = now + RequestInterval;
    std::erase_if(this->sentAt,
                  [now](const auto &request) { return now - request.second > MaxRoundTrip; });
    bool isNeeded = false;
    bool isIncomplete = false;
    for (const auto &[model, history] : this->histories) {
        if (now - history.newestLearntAt() > allowedTime)
            continue;
        isNeeded = true;
        isIncomplete = isIncomplete || history.isIncomplete();
    }
    if (!isNeeded)
        return;
    const std::vector<proto::ProcessId> inRegion = this->hooks.othersInRegion();
    this->askOneOf(inRegion, now);
    if (isIncomplete || inRegion.empty())
        this->askOneOf(this->hooks.othersInFleet(), now);
}

void HistoryExchange::askOneOf(const std::vector<proto::ProcessId> &others, MonoTime now)
{
    if (others.empty())
        return;
    proto::WeightsHistoryRequest request;
    request.set_number(++this->lastNumber);
    this->sentAt.emplace(this->lastNumber, now);
    this->hooks.ask(others[this->random(static_cast<std::uint32_t>(others.size()))], request);
}

// Of the versions that were named too long ago to matter, the last one is told: it shows that those
// before it don't matter either.
proto::WeightsHistory HistoryExchange::answer(const proto::WeightsHistoryRequest &request,
                                              Millis allowedTime, MonoTime now) const
{
    proto::WeightsHistory answer;
    answer.set_number(request.number());
    for (const auto &[model, history] : this->histories) {
        const std::vector<NamedVersion> named = history.namedAtKnownTimes();
        for (auto told = named.begin(); told != named.end(); ++told) {
            const auto next = std::next(told);
            if (next != named.end() && next->namedAt + allowedTime < now)
                continue;
            addNamed(answer, model, *told, now);
        }
    }
    return answer;
}

void HistoryExchange::onAnswer(const proto::ProcessId &from, const proto::WeightsHistory &answer,
                               MonoTime now)
{
    const auto sent = this->sentAt.find(answer.number());
    if (sent == this->sentAt.end())
        return;
    const auto roundTrip = std::chrono::duration_cast<Millis>(now - sent->second);
    this->sentAt.erase(sent);
    if (roundTrip > MaxRoundTrip)
        return;
    bool isChanged = false;
    for (const proto::NamedWeights &told : answer.named())
        isChanged = this->record(from, told, now) || isChanged;
    if (isChanged)
        this->hooks.onChange();
}

bool HistoryExchange::record(const proto::ProcessId &from, const proto::NamedWeights &told,
                             MonoTime now)
{
    const auto history = this->histories.find(told.model());
    if (history == this->histories.end())
        return false;
    const NamedVersion named = readNamed(told, now);
    if (!history->second.onTold(named))
        return false;
    logEvent(LogLevel::Info, "weights_time_told",
             {{"model", told.model()},
              {"version", told.version()},
              {"age_ms", told.age_ms()},
              {"previous", told.has_previous() ? std::to_string(told.previous()) : std::string()},
              {"from", from.name()}});
    return true;
}

} // namespace lavenderhall
