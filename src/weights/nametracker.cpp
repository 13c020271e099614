#include "weights/nametracker.h"

#include "base/log.h"
#include "store/storerevision.h"

#include <algorithm>
#include <optional>

namespace lavenderhall {

namespace {

// Weights in the first list may have been named any time before. Unless another instance tells
// when, requests may begin on older ones for this long.
constexpr Millis InitialOldWeightsTime{4000};

std::optional<NamedWeights> readName(const PlatformAdapter &adapter, const StoredObject &object)
{
    const auto read = toOutcome([&] { return adapter.readWeights(object); });
    if (const auto *weights = std::get_if<NamedWeights>(&read))
        return *weights;
    logEvent(LogLevel::Warning, "weights_malformed",
             {{"name", object.name}, {"detail", std::get<Error>(read).detail}});
    return std::nullopt;
}

void logName(const NamedWeights &weights, const StoredObject &object, const char *source,
             Millis age)
{
    logEvent(LogLevel::Info, "weights_named",
             {{"model", weights.model},
              {"version", weights.version},
              {"source", source},
              {"age_ms", age.count()},
              {"revision", counterOf(object.revision)}});
}

} // namespace

bool NameTracker::onObject(const StoredObject &object, NameSource source, Millis allowedTime,
                           MonoTime now)
{
    const auto weights = readName(this->adapter, object);
    if (!weights)
        return false;
    WeightsVersionHistory &history = this->histories[weights->model];
    if (source == NameSource::Change) {
        if (!history.onNamedAfterGap(weights->version, now))
            return false;
        logName(*weights, object, "change", Millis(0));
        return true;
    }
    const Millis age = std::max(Millis(0), allowedTime - InitialOldWeightsTime);
    if (!history.onNamed(weights->version, now, age, true))
        return false;
    logName(*weights, object, "first_list", age);
    return true;
}

void NameTracker::onOwnList(const std::vector<StoredObject> &objects)
{
    this->watched.clear();
    for (const StoredObject &object : objects) {
        if (const auto weights = readName(this->adapter, object))
            this->watched[weights->model] = weights->version;
    }
}

bool NameTracker::onOwnEvents(const std::vector<ObjectEvent> &events, MonoTime now)
{
    bool isChanged = false;
    for (const ObjectEvent &event : events)
        isChanged = this->onOwnEvent(event, now) || isChanged;
    return isChanged;
}

// A store that came back older may name a version again.
bool NameTracker::onOwnEvent(const ObjectEvent &event, MonoTime now)
{
    if (event.isDeleted)
        return false;
    const auto weights = readName(this->adapter, event.object);
    if (!weights)
        return false;
    std::int64_t &previous = this->watched[weights->model];
    if (weights->version <= previous)
        return false;
    WeightsVersionHistory &history = this->histories[weights->model];
    const bool isNew = weights->version > history.newest();
    const bool isChanged = history.onWatched(weights->version, previous, now);
    previous = weights->version;
    if (isNew)
        logName(*weights, event.object, "watch", Millis(0));
    return isChanged;
}

} // namespace lavenderhall
