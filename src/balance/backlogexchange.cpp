#include "balance/backlogexchange.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lavenderhall {

namespace {

constexpr double PerSecond = 1000; ///< milliseconds in a second
constexpr Millis MinSendInterval{80}; ///< a little under the interval of the ticks
// Minimum time between two messages at the instance that adds up, on average over all senders.
constexpr double MillisPerMessage = 2.5;
// Messages with larger figures are ignored as implausible.
constexpr std::int64_t MaxTokens = 1'000'000'000'000;
constexpr std::int64_t MaxSampleMicros = 60'000'000;

bool isPlausible(std::int64_t tokens)
{
    return tokens >= 0 && tokens <= MaxTokens;
}

std::string nameOf(const proto::ProcessId &process)
{
    return process.name() + "/" + std::to_string(process.incarnation());
}

} // namespace

void BacklogExchange::onTick(MonoTime now)
{
    const Millis interval = std::max(
        MinSendInterval,
        Millis(std::llround(MillisPerMessage * static_cast<double>(this->instanceCount))));
    this->estimate.sent().onTick(now);
    std::map<ExchangeHooks::Task, proto::WorkNews> messages;
    const auto isDue = [&](const std::string &id) {
        const ExchangeHooks::Task task = this->hooks.taskOf(id);
        return !task.region.empty() && now - this->lastSentAt[task] >= interval;
    };
    for (const SentWork::Entry &entry : this->estimate.sent().takeNews(isDue, now)) {
        proto::SentWork &work = *messages[this->hooks.taskOf(entry.engine.endpointId)].add_works();
        work.set_endpoint(entry.engine.endpointId);
        work.set_born_ms(entry.engine.startMillis);
        work.set_sent_tokens(entry.counts.sentTokens);
        work.set_read_tokens(entry.counts.readTokens);
        for (const ReadSample &sample : entry.samples) {
            proto::ReadSample &message = *work.add_samples();
            message.set_tokens(sample.tokens);
            message.set_time_us(sample.time.count());
        }
    }
    for (const auto &[task, news] : messages) {
        this->lastSentAt[task] = now;
        this->hooks.send(task, news);
    }
}

void BacklogExchange::onWorkNews(const proto::ProcessId &from, const proto::WorkNews &news,
                                 MonoTime now)
{
    for (const proto::SentWork &work : news.works()) {
        const Incarnation engine{work.endpoint(), work.born_ms()};
        if (!this->hooks.serviceOf(engine) || !isPlausible(work.sent_tokens())
            || !isPlausible(work.read_tokens()))
            continue;
        this->ledger.onCounts(engine, nameOf(from), {work.sent_tokens(), work.read_tokens()}, now);
        for (const proto::ReadSample &sample : work.samples()) {
            if (isPlausible(sample.tokens()) && sample.time_us() <= MaxSampleMicros)
                this->ledger.onSample(engine, {sample.tokens(), Micros(sample.time_us())});
        }
    }
}

// An instance that another one has replaced hears no more from the senders: its sums would
// contradict those of its successor.
void BacklogExchange::addBacklogs(proto::LoadNews &news, MonoTime now)
{
    for (const auto &[engine, backlog] : this->ledger.takeNews(now)) {
        if (!this->hooks.isOwnTask(engine.endpointId))
            continue;
        proto::EngineBacklog &message = *news.add_backlogs();
        message.set_endpoint(engine.endpointId);
        message.set_born_ms(engine.startMillis);
        message.set_waiting_tokens(backlog.waitingTokens);
        message.set_arriving_tokens_per_s(std::llround(backlog.arrivingPerMilli * PerSecond));
        message.set_speed_tokens_per_s(std::llround(backlog.speed * PerSecond));
        this->apply(message, now);
    }
}

void BacklogExchange::onLoadNews(const proto::LoadNews &news, MonoTime now)
{
    for (const proto::EngineBacklog &message : news.backlogs()) {
        if (isPlausible(message.waiting_tokens()) && isPlausible(message.arriving_tokens_per_s())
            && isPlausible(message.speed_tokens_per_s()))
            this->apply(message, now);
    }
}

// The instance that announces applies its own message too, so that all use the same figures.
void BacklogExchange::apply(const proto::EngineBacklog &message, MonoTime now)
{
    const Incarnation engine{message.endpoint(), message.born_ms()};
    const std::string *service = this->hooks.serviceOf(engine);
    if (!service)
        return;
    Backlog backlog;
    backlog.waitingTokens = message.waiting_tokens();
    backlog.arrivingPerMilli = static_cast<double>(message.arriving_tokens_per_s()) / PerSecond;
    backlog.speed = static_cast<double>(message.speed_tokens_per_s()) / PerSecond;
    this->ledger.onSpeedKnown(engine, backlog.speed);
    this->estimate.onBacklog(engine, *service, backlog, now);
}

} // namespace lavenderhall
