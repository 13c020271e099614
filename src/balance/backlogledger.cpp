#include "balance/backlogledger.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace lavenderhall {

namespace {

double millisBetween(MonoTime from, MonoTime to)
{
    return std::max(0.0, std::chrono::duration<double, std::milli>(to - from).count());
}

} // namespace

BacklogLedger::Engine *BacklogLedger::engineOf(const Incarnation &id)
{
    Engine &engine = this->engines[id.endpointId];
    if (id.startMillis < engine.startMillis)
        return nullptr;
    if (id.startMillis > engine.startMillis) {
        engine = Engine{};
        engine.startMillis = id.startMillis;
    }
    return &engine;
}

double BacklogLedger::speedOf(const Engine &engine) const
{
    return engine.speed.announced().value_or(this->settings.unknownSpeed);
}

void BacklogLedger::decay(Engine &engine, MonoTime now) const
{
    engine.arrivedTokens *= std::exp(-millisBetween(engine.decayedAt, now)
                                     / static_cast<double>(this->settings.rateWindow.count()));
    engine.decayedAt = std::max(engine.decayedAt, now);
}

// The counts only grow, so the greater ones are the later ones. A sender that is new here may have
// sent its tokens long ago: only what still waits counts as having arrived.
void BacklogLedger::onCounts(const Incarnation &engineId, const std::string &sender,
                             WorkCounts counts, MonoTime now)
{
    Engine *engine = this->engineOf(engineId);
    if (!engine || counts.sentTokens < 0 || counts.readTokens < 0)
        return;
    const auto [entry, isNew] = engine->senders.try_emplace(sender);
    WorkCounts &known = entry->second.counts;
    const std::int64_t arrived
        = isNew ? counts.sentTokens - counts.readTokens : counts.sentTokens - known.sentTokens;
    this->decay(*engine, now);
    engine->arrivedTokens += static_cast<double>(std::max<std::int64_t>(0, arrived));
    known.sentTokens = std::max(known.sentTokens, counts.sentTokens);
    known.readTokens = std::max(known.readTokens, counts.readTokens);
    entry->second.heardAt = now;
}

void BacklogLedger::onSample(const Incarnation &engineId, const ReadSample &sample)
{
    if (Engine *engine = this->engineOf(engineId))
        engine->speed.onSample(sample);
}

void BacklogLedger::onSpeedKnown(const Incarnation &engineId, double tokensPerMilli)
{
    if (Engine *engine = this->engineOf(engineId))
        engine->speed.setAnnounced(tokensPerMilli);
}

std::int64_t BacklogLedger::waitingTokens(const Incarnation &engineId, MonoTime now) const
{
    const auto found = this->engines.find(engineId.endpointId);
    if (found == this->engines.end() || found->second.startMillis != engineId.startMillis)
        return 0;
    return this->waitingTokens(found->second, now);
}

std::int64_t BacklogLedger::waitingTokens(const Engine &engine, MonoTime now) const
{
    double waiting = 0;
    for (const auto &[name, sender] : engine.senders) {
        const auto unread
            = static_cast<double>(sender.counts.sentTokens - sender.counts.readTokens);
        const double silence = millisBetween(sender.heardAt + this->settings.repeatTimeout, now);
        waiting += std::max(0.0, unread - silence * this->speedOf(engine));
    }
    return std::llround(waiting);
}

// The others let the announced tokens drain at the engine's speed. Only what differs from their
// estimate is news.
bool BacklogLedger::isNews(const Engine &engine, const Backlog &backlog, MonoTime now) const
{
    const double age = millisBetween(engine.announcedAt, now);
    if (backlog.speed != engine.announced.speed
        || age >= static_cast<double>(this->settings.reannounceInterval.count()))
        return true;
    const double expected = std::max(
        0.0, static_cast<double>(engine.announced.waitingTokens) - age * this->speedOf(engine));
    const auto waiting = static_cast<double>(backlog.waitingTokens);
    return std::abs(waiting - expected) > static_cast<double>(this->settings.minChange)
        + this->settings.minChangeShare * std::max(waiting, expected);
}

// An engine of which no sender is left is announced once more, as having no backlog.
std::vector<std::pair<Incarnation, Backlog>> BacklogLedger::takeNews(MonoTime now)
{
    std::vector<std::pair<Incarnation, Backlog>> news;
    for (auto &[id, engine] : this->engines) {
        if (engine.senders.empty())
            continue;
        std::erase_if(engine.senders, [&](const auto &entry) {
            return now - entry.second.heardAt > this->settings.senderLifetime;
        });
        this->decay(engine, now);
        Backlog backlog;
        backlog.waitingTokens = this->waitingTokens(engine, now);
        backlog.arrivingPerMilli
            = engine.arrivedTokens / static_cast<double>(this->settings.rateWindow.count());
        backlog.speed = engine.speed.announced().value_or(0);
        if (!engine.senders.empty() && !this->isNews(engine, backlog, now))
            continue;
        engine.announced = backlog;
        engine.announcedAt = now;
        news.emplace_back(Incarnation{id, engine.startMillis}, backlog);
    }
    return news;
}

} // namespace lavenderhall
