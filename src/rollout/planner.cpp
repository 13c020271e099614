#include "rollout/planner.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

std::int64_t versionIn(const std::map<std::string, std::int64_t> &weights, const std::string &model)
{
    const auto found = weights.find(model);
    return found == weights.end() ? 0 : found->second;
}

} // namespace

// An engine's own report takes precedence over its entry in the store, which lags behind.
std::int64_t RolloutPlanner::versionOf(const RegisteredEndpoint &entry,
                                       const std::string &model) const
{
    const std::int64_t storedVersion = versionIn(entry.weights, model);
    const auto reportedWeights = this->reported.find(entry.id);
    if (reportedWeights == this->reported.end()
        || reportedWeights->second.startMillis != entry.startMillis)
        return storedVersion;
    return std::max(storedVersion, versionIn(reportedWeights->second.weights, model));
}

std::string RolloutPlanner::outdatedModel(const RegisteredEndpoint &entry) const
{
    for (const auto &[model, storedVersion] : entry.weights) {
        if (this->versionOf(entry, model) < versionIn(this->targetVersions, model))
            return model;
    }
    return {};
}

void RolloutPlanner::setNamedWeights(const WeightsHistories &histories)
{
    const auto planned
        = std::chrono::duration_cast<Millis>(this->timings.bound * this->timings.plannedFraction);
    for (const auto &[model, history] : histories) {
        this->targetVersions[model] = history.newest();
        this->plannedLimits[model] = history.limits(planned);
    }
}

std::vector<const RegisteredEndpoint *>
RolloutPlanner::outdated(const EndpointDirectory &directory) const
{
    std::vector<const RegisteredEndpoint *> found;
    for (const auto &[id, entry] : directory.entries()) {
        if (!entry.isLeaving && !this->isSuspended(entry) && !this->outdatedModel(entry).empty())
            found.push_back(&entry);
    }
    return found;
}

bool RolloutPlanner::isSuspended(const RegisteredEndpoint &entry) const
{
    const auto found = this->suspensions.find(entry.id);
    return found != this->suspensions.end() && found->second.startMillis == entry.startMillis
        && this->lastTick < found->second.until;
}

// Suspends an engine. The entry of a crashed engine stays in the store for some seconds, and in
// that time it must not take the place of an engine that could load.
void RolloutPlanner::suspend(const std::string &engineId, Millis duration, MonoTime now)
{
    const auto found = this->updating.find(engineId);
    this->suspensions[engineId] = {found->second.startMillis, now + duration};
    this->updating.erase(found);
}

std::vector<RolloutAction> RolloutPlanner::onTick(const EndpointDirectory &directory,
                                                  bool isLeaseHeld, MonoTime now)
{
    this->lastTick = now;
    std::erase_if(this->suspensions,
                  [&](const auto &suspension) { return now >= suspension.second.until; });
    std::vector<RolloutAction> actions;
    std::erase_if(this->updating, [&](const auto &update) {
        const RegisteredEndpoint *entry = directory.find(update.first);
        return !entry || entry->isLeaving || entry->startMillis != update.second.startMillis
            || update.second.isLoaded;
    });
    if (!isLeaseHeld) {
        this->updating.clear();
        return actions;
    }
    this->startUpdates(directory, now, actions);
    for (auto &[id, engine] : this->updating)
        this->advanceUpdate(*directory.find(id), engine, now, actions);
    this->planOrders(directory, actions);
    return actions;
}

// Returns the time by which an engine is planned to have replaced the version that it has loaded.
MonoTime RolloutPlanner::dueTime(const RegisteredEndpoint &entry) const
{
    const std::string model = this->outdatedModel(entry);
    const std::int64_t version = this->versionOf(entry, model);
    const auto limits = this->plannedLimits.find(model);
    if (limits == this->plannedLimits.end())
        return MonoTime::max();
    return limits->second.limitOf(version).value_or(MonoTime::max());
}

// Returns how many engines may load at a time. An engine does not serve requests while it loads, so
// this is the smallest number with which every engine, in the order of due times, is done in time.
std::size_t RolloutPlanner::allowedLoads(const EndpointDirectory &directory, MonoTime now) const
{
    std::size_t engines = 0;
    for (const auto &[id, entry] : directory.entries())
        engines += entry.weights.empty() || this->isSuspended(entry) ? 0 : 1;
    std::vector<MonoTime> due;
    for (const RegisteredEndpoint *entry : this->outdated(directory))
        due.push_back(this->dueTime(*entry));
    std::sort(due.begin(), due.end());
    const auto roundUp = [](double value) { return static_cast<std::size_t>(std::ceil(value)); };
    const auto engineCount = static_cast<double>(engines);
    std::size_t needed = roundUp(engineCount / static_cast<double>(this->timings.enginesPerLoad));
    const std::size_t maxAllowed = roundUp(engineCount * this->timings.maxLoadingFraction);
    const double turnSeconds = std::chrono::duration<double>(this->timings.turnTime).count();
    for (std::size_t index = 0; index < due.size(); ++index) {
        const double timeLeft = std::chrono::duration<double>(due[index] - now).count();
        const double turns = std::max(1.0, timeLeft / turnSeconds);
        needed = std::max(needed, roundUp(static_cast<double>(index + 1) / turns));
    }
    return std::clamp<std::size_t>(needed, 1, std::max<std::size_t>(1, maxAllowed));
}

// Starts to update further engines. Those with the oldest weights come first, so that no engine
// stays outdated when the target changes faster than all engines can load it. Among equals,
// those in the zone with the fewest loading engines come first, so that every zone keeps serving.
void RolloutPlanner::startUpdates(const EndpointDirectory &directory, MonoTime now,
                                  std::vector<RolloutAction> &actions)
{
    std::map<std::string, std::size_t> loadingInZone;
    for (const auto &[id, entry] : directory.entries())
        loadingInZone[entry.zone] += this->updating.contains(id) ? 1 : 0;
    this->maxLoading = this->allowedLoads(directory, now);
    std::vector<const RegisteredEndpoint *> candidates = this->outdated(directory);
    std::erase_if(candidates, [this](const RegisteredEndpoint *entry) {
        return this->updating.contains(entry->id);
    });
    while (this->updating.size() < this->maxLoading && !candidates.empty()) {
        const auto next = std::min_element(
            candidates.begin(), candidates.end(), [&](const auto *left, const auto *right) {
                const auto rank = [&](const RegisteredEndpoint *entry) {
                    return std::pair(this->versionOf(*entry, this->outdatedModel(*entry)),
                                     loadingInZone[entry->zone]);
                };
                return rank(left) < rank(right);
            });
        const RegisteredEndpoint &entry = **next;
        Engine engine;
        engine.startMillis = entry.startMillis;
        engine.model = this->outdatedModel(entry);
        engine.since = now;
        this->updating.emplace(entry.id, engine);
        ++loadingInZone[entry.zone];
        actions.push_back({RolloutAction::Kind::Announce, entry, {}});
        candidates.erase(next);
    }
}

void RolloutPlanner::advanceUpdate(const RegisteredEndpoint &entry, Engine &engine, MonoTime now,
                                   std::vector<RolloutAction> &actions)
{
    if (engine.awaitsAnswer)
        return;
    switch (engine.step) {
    case Step::Draining:
        if (now - engine.since < this->timings.drainTime)
            return;
        engine.step = Step::AwaitingReport;
        engine.awaitsAnswer = true;
        actions.push_back({RolloutAction::Kind::RequestReport, entry, {}});
        return;
    case Step::ReadyForOrder:
        return;
    case Step::AwaitingReport:
    case Step::Loading:
        if (now < engine.nextReport)
            return;
        engine.awaitsAnswer = true;
        actions.push_back({RolloutAction::Kind::RequestReport, entry, {}});
        return;
    }
}

// Adds orders for the engines that are ready for one. The engine that has gone without new requests
// for the longest time comes first.
void RolloutPlanner::planOrders(const EndpointDirectory &directory,
                                std::vector<RolloutAction> &actions)
{
    std::vector<std::pair<MonoTime, std::string>> ready;
    std::size_t loading = 0;
    for (const auto &[id, engine] : this->updating) {
        if (engine.step == Step::Loading || engine.hasOpenOrder)
            ++loading;
        else if (engine.step == Step::ReadyForOrder && !engine.awaitsAnswer)
            ready.emplace_back(engine.since, id);
    }
    std::sort(ready.begin(), ready.end());
    for (const auto &[since, id] : ready) {
        if (loading++ >= this->maxLoading)
            return;
        Engine &engine = this->updating.at(id);
        engine.version = versionIn(this->targetVersions, engine.model);
        engine.awaitsAnswer = true;
        engine.hasOpenOrder = true;
        WeightsOrder order;
        order.model = engine.model;
        order.version = engine.version;
        order.expectedAcceptedOrders = engine.acceptedOrders;
        actions.push_back({RolloutAction::Kind::SendOrder, *directory.find(id), order});
    }
}

void RolloutPlanner::onReport(const std::string &engineId, const EngineReport &report, MonoTime now)
{
    const auto found = this->updating.find(engineId);
    if (found == this->updating.end())
        return;
    Engine &engine = found->second;
    engine.awaitsAnswer = false;
    engine.failures = 0;
    engine.nextReport = now + this->timings.reportInterval;
    this->reported[engineId] = {engine.startMillis, report.weights};
    const std::int64_t targetVersion = versionIn(this->targetVersions, engine.model);
    if (!report.isBusy && versionIn(report.weights, engine.model) >= targetVersion) {
        engine.isLoaded = true;
        return;
    }
    engine.acceptedOrders = report.acceptedOrders;
    if (report.isBusy) {
        engine.step = Step::Loading;
        return;
    }
    // Reports lag behind: one may not show an order that the engine has just accepted.
    const bool isLagging = engine.step == Step::Loading
        && now - engine.since < this->timings.answerTimeout && engine.version == targetVersion;
    if (!isLagging)
        engine.step = Step::ReadyForOrder;
}

void RolloutPlanner::onReportFailed(const std::string &engineId, ReportFailure failure,
                                    MonoTime now)
{
    const auto found = this->updating.find(engineId);
    if (found == this->updating.end())
        return;
    if (failure == ReportFailure::OtherEndpoint)
        return this->suspend(engineId, this->timings.replacedSuspension, now);
    if (++found->second.failures >= this->timings.maxReportFailures)
        return this->suspend(engineId, this->timings.unreachableSuspension, now);
    found->second.awaitsAnswer = false;
    found->second.hasOpenOrder = false;
    found->second.nextReport = now + this->timings.reportInterval;
}

void RolloutPlanner::onOrderAnswer(const std::string &engineId, OrderAnswer answer, MonoTime now)
{
    const auto found = this->updating.find(engineId);
    if (found == this->updating.end())
        return;
    if (answer == OrderAnswer::OtherEndpoint)
        return this->suspend(engineId, this->timings.replacedSuspension, now);
    Engine &engine = found->second;
    engine.awaitsAnswer = false;
    engine.since = now;
    engine.nextReport = now + this->timings.reportInterval;
    if (answer == OrderAnswer::AlreadyDone) {
        engine.isLoaded = true;
        Reported &reportedWeights = this->reported[engineId];
        reportedWeights.startMillis = engine.startMillis;
        reportedWeights.weights[engine.model] = engine.version;
        return;
    }
    // After any other answer, the engine's next report shows its true state.
    const bool mayBeAccepted = answer == OrderAnswer::Accepted || answer == OrderAnswer::Unknown;
    engine.step = mayBeAccepted ? Step::Loading : Step::AwaitingReport;
    engine.hasOpenOrder = false;
}

} // namespace lavenderhall
