#include "rollout/planner.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxNamings = 50;

std::int64_t versionIn(const std::map<std::string, std::int64_t> &weights, const std::string &model)
{
    const auto found = weights.find(model);
    return found == weights.end() ? 0 : found->second;
}

} // namespace

// What an engine has said of itself goes before the registry, which lags.
std::int64_t RolloutPlanner::versionOf(const RegisteredEndpoint &entry,
                                       const std::string &model) const
{
    const std::int64_t listed = versionIn(entry.weights, model);
    const auto seen = this->reported.find(entry.id);
    if (seen == this->reported.end() || seen->second.startMillis != entry.startMillis)
        return listed;
    return std::max(listed, versionIn(seen->second.weights, model));
}

std::string RolloutPlanner::outdatedModel(const RegisteredEndpoint &entry) const
{
    for (const auto &[model, listed] : entry.weights) {
        if (this->versionOf(entry, model) < versionIn(this->wanted, model))
            return model;
    }
    return {};
}

std::vector<const RegisteredEndpoint *>
RolloutPlanner::outdated(const EndpointDirectory &directory) const
{
    std::vector<const RegisteredEndpoint *> found;
    for (const auto &[id, entry] : directory.entries()) {
        if (!entry.isLeaving && !this->isAbsent(entry) && !this->outdatedModel(entry).empty())
            found.push_back(&entry);
    }
    return found;
}

bool RolloutPlanner::isAbsent(const RegisteredEndpoint &entry) const
{
    const auto found = this->absences.find(entry.id);
    return found != this->absences.end() && found->second.startMillis == entry.startMillis
        && this->tickAt < found->second.until;
}

// An engine that has crashed stays listed for seconds: it must not keep others from loading.
void RolloutPlanner::leave(const std::string &engineId, Millis pause, MonoTime now)
{
    const auto found = this->working.find(engineId);
    this->absences[engineId] = {found->second.startMillis, now + pause};
    this->working.erase(found);
}

std::vector<RolloutAction> RolloutPlanner::onTick(const EndpointDirectory &directory, bool mayOrder,
                                                  MonoTime now)
{
    this->tickAt = now;
    std::erase_if(this->absences, [&](const auto &absence) { return now >= absence.second.until; });
    std::vector<RolloutAction> actions;
    std::erase_if(this->working, [&](const auto &work) {
        const RegisteredEndpoint *entry = directory.find(work.first);
        return !entry || entry->isLeaving || entry->startMillis != work.second.startMillis
            || work.second.isLoaded;
    });
    for (const auto &[model, version] : this->wanted) {
        std::vector<Naming> &history = this->namings[model];
        if (history.empty() || history.back().version < version)
            history.push_back({version, now});
        if (history.size() > MaxNamings)
            history.erase(history.begin());
    }
    if (!mayOrder) {
        this->working.clear();
        return actions;
    }
    this->begin(directory, now, actions);
    for (auto &[id, engine] : this->working)
        this->advance(*directory.find(id), engine, now, actions);
    this->orderNext(directory, actions);
    return actions;
}

// When an engine must have got beyond the version that it has.
MonoTime RolloutPlanner::dueTime(const RegisteredEndpoint &entry) const
{
    const std::string model = this->outdatedModel(entry);
    const std::int64_t version = this->versionOf(entry, model);
    const auto history = this->namings.find(model);
    const auto planned = std::chrono::duration_cast<MonoTime::duration>(
        this->timings.bound * this->timings.plannedPart);
    if (history == this->namings.end())
        return MonoTime::max();
    for (const Naming &naming : history->second) {
        if (naming.version > version)
            return naming.at + planned;
    }
    return MonoTime::max();
}

// As few as possible load at once, since those do not serve: so many that each engine is done
// when it is due, in the order in which they are due.
std::size_t RolloutPlanner::loadsAtOnce(const EndpointDirectory &directory, MonoTime now) const
{
    std::size_t engines = 0;
    for (const auto &[id, entry] : directory.entries())
        engines += entry.weights.empty() || this->isAbsent(entry) ? 0 : 1;
    std::vector<MonoTime> due;
    for (const RegisteredEndpoint *entry : this->outdated(directory))
        due.push_back(this->dueTime(*entry));
    std::sort(due.begin(), due.end());
    const auto roundUp = [](double value) { return static_cast<std::size_t>(std::ceil(value)); };
    const auto count = static_cast<double>(engines);
    std::size_t needed = roundUp(count / static_cast<double>(this->timings.enginesPerLoad));
    const std::size_t most = roundUp(count * this->timings.mostPart);
    const double turn = std::chrono::duration<double>(this->timings.turnTime).count();
    for (std::size_t index = 0; index < due.size(); ++index) {
        const double left = std::chrono::duration<double>(due[index] - now).count();
        const double turns = std::max(1.0, left / turn);
        needed = std::max(needed, roundUp(static_cast<double>(index + 1) / turns));
    }
    return std::clamp<std::size_t>(needed, 1, std::max<std::size_t>(1, most));
}

// The oldest weights go first, so that no engine is left behind when versions are named faster
// than all engines can load them; then zones where the fewest load, so that each keeps serving.
void RolloutPlanner::begin(const EndpointDirectory &directory, MonoTime now,
                           std::vector<RolloutAction> &actions)
{
    std::map<std::string, std::size_t> loadingInZone;
    for (const auto &[id, entry] : directory.entries())
        loadingInZone[entry.zone] += this->working.contains(id) ? 1 : 0;
    this->mostLoading = this->loadsAtOnce(directory, now);
    std::vector<const RegisteredEndpoint *> waiting = this->outdated(directory);
    std::erase_if(waiting, [this](const RegisteredEndpoint *entry) {
        return this->working.contains(entry->id);
    });
    while (this->working.size() < this->mostLoading && !waiting.empty()) {
        const auto next = std::min_element(
            waiting.begin(), waiting.end(), [&](const auto *one, const auto *other) {
                const auto rank = [&](const RegisteredEndpoint *entry) {
                    return std::pair(this->versionOf(*entry, this->outdatedModel(*entry)),
                                     loadingInZone[entry->zone]);
                };
                return rank(one) < rank(other);
            });
        const RegisteredEndpoint &entry = **next;
        Engine engine;
        engine.startMillis = entry.startMillis;
        engine.model = this->outdatedModel(entry);
        engine.since = now;
        this->working.emplace(entry.id, engine);
        ++loadingInZone[entry.zone];
        actions.push_back({RolloutAction::Kind::Announce, entry, {}});
        waiting.erase(next);
    }
}

void RolloutPlanner::advance(const RegisteredEndpoint &entry, Engine &engine, MonoTime now,
                             std::vector<RolloutAction> &actions)
{
    if (engine.isWaiting)
        return;
    switch (engine.step) {
    case Step::Steering:
        if (now - engine.since < this->timings.steer)
            return;
        engine.step = Step::Asking;
        engine.isWaiting = true;
        actions.push_back({RolloutAction::Kind::AskReport, entry, {}});
        return;
    case Step::Ordering:
        return;
    case Step::Asking:
    case Step::Loading:
        if (now < engine.nextReport)
            return;
        engine.isWaiting = true;
        actions.push_back({RolloutAction::Kind::AskReport, entry, {}});
        return;
    }
}

// Among the engines that are ready for their order, the one that has run empty longest is next.
void RolloutPlanner::orderNext(const EndpointDirectory &directory,
                               std::vector<RolloutAction> &actions)
{
    std::vector<std::pair<MonoTime, std::string>> ready;
    std::size_t loading = 0;
    for (const auto &[id, engine] : this->working) {
        if (engine.step == Step::Loading || engine.isOrdered)
            ++loading;
        else if (engine.step == Step::Ordering && !engine.isWaiting)
            ready.emplace_back(engine.since, id);
    }
    std::sort(ready.begin(), ready.end());
    for (const auto &[since, id] : ready) {
        if (loading++ >= this->mostLoading)
            return;
        Engine &engine = this->working.at(id);
        engine.version = versionIn(this->wanted, engine.model);
        engine.isWaiting = true;
        engine.isOrdered = true;
        WeightsOrder order;
        order.model = engine.model;
        order.version = engine.version;
        order.expectedAcceptedOrders = engine.acceptedOrders;
        actions.push_back({RolloutAction::Kind::GiveOrder, *directory.find(id), order});
    }
}

void RolloutPlanner::onReport(const std::string &engineId, const EngineReport &report, MonoTime now)
{
    const auto found = this->working.find(engineId);
    if (found == this->working.end())
        return;
    Engine &engine = found->second;
    engine.isWaiting = false;
    engine.failures = 0;
    engine.nextReport = now + this->timings.reportInterval;
    this->reported[engineId] = {engine.startMillis, report.weights};
    const std::int64_t wantedVersion = versionIn(this->wanted, engine.model);
    if (!report.isBusy && versionIn(report.weights, engine.model) >= wantedVersion) {
        engine.isLoaded = true;
        return;
    }
    engine.acceptedOrders = report.acceptedOrders;
    if (report.isBusy) {
        engine.step = Step::Loading;
        return;
    }
    // Reports lag: an engine that has just taken an order may not show it yet.
    const bool isLagging = engine.step == Step::Loading
        && now - engine.since < this->timings.answerTimeout && engine.version == wantedVersion;
    if (!isLagging)
        engine.step = Step::Ordering;
}

void RolloutPlanner::onReportFailed(const std::string &engineId, ReportFailure failure,
                                    MonoTime now)
{
    const auto found = this->working.find(engineId);
    if (found == this->working.end())
        return;
    if (failure == ReportFailure::OtherEndpoint)
        return this->leave(engineId, this->timings.replacedTime, now);
    if (++found->second.failures >= this->timings.failuresToLeave)
        return this->leave(engineId, this->timings.unreachableTime, now);
    found->second.isWaiting = false;
    found->second.isOrdered = false;
    found->second.nextReport = now + this->timings.reportInterval;
}

void RolloutPlanner::onOrderAnswer(const std::string &engineId, OrderAnswer answer, MonoTime now)
{
    const auto found = this->working.find(engineId);
    if (found == this->working.end())
        return;
    if (answer == OrderAnswer::OtherEndpoint)
        return this->leave(engineId, this->timings.replacedTime, now);
    Engine &engine = found->second;
    engine.isWaiting = false;
    engine.since = now;
    engine.nextReport = now + this->timings.reportInterval;
    if (answer == OrderAnswer::AlreadyDone) {
        engine.isLoaded = true;
        Reported &seen = this->reported[engineId];
        seen.startMillis = engine.startMillis;
        seen.weights[engine.model] = engine.version;
        return;
    }
    // Whatever else it said, the engine's report tells what is true now.
    const bool mayBeTaken = answer == OrderAnswer::Accepted || answer == OrderAnswer::Unknown;
    engine.step = mayBeTaken ? Step::Loading : Step::Asking;
    engine.isOrdered = false;
}

} // namespace lavenderhall
