#include "balance/backlogexchange.h"
#include "balance/pick.h"
#include "base/digest.h"

#include <cmath>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
const Incarnation Engine{"e", 1};

ReadSample sampleOf(std::int64_t tokens, double tokensPerMilli, Millis waited = Millis(0))
{
    const double micros = 1000 * static_cast<double>(tokens) / tokensPerMilli;
    return {tokens, Micros(std::llround(micros)) + SpeedSettings().firstTokenTime + waited};
}

proto::ProcessId process(const std::string &name)
{
    proto::ProcessId id;
    id.set_name(name);
    id.set_incarnation(1);
    return id;
}

/// One instance's estimate and exchange, whose messages are kept.
struct Member
{
    LoadEstimate estimate{60};
    std::vector<proto::WorkNews> message;
    const std::string service = "models";
    bool isAssigned = true;
    BacklogExchange exchange{this->estimate, this->hooks()};

    ExchangeHooks hooks()
    {
        ExchangeHooks result;
        result.taskOf = [](const std::string &) { return ExchangeHooks::Task{"r", "t"}; };
        result.send = [this](const ExchangeHooks::Task &, const proto::WorkNews &news) {
            this->message.push_back(news);
        };
        result.isOwnTask = [this](const std::string &) { return this->isAssigned; };
        result.serviceOf = [this](const Incarnation &engine) {
            return engine.startMillis == Engine.startMillis ? &this->service : nullptr;
        };
        return result;
    }
};

} // namespace

// Guards against a speed that follows requests behind others, or prompts that were cached.
Test(balance, a_speed_is_learned_in_spite_of_outliers)
{
    EngineSpeed speed;
    for (int index = 0; index < 32; ++index) {
        const bool hasWaited = index % 3 == 0;
        const bool wasCached = index % 10 == 1;
        speed.onSample(sampleOf(2400, wasCached ? 900 : 57, hasWaited ? Millis(300) : Millis(0)));
    }
    cr_assert(speed.announced().has_value());
    cr_assert(std::abs(*speed.announced() - 57) < 57 * 0.15, "%f", *speed.announced());
}

// Homes move when an announced speed does.
Test(balance, an_announced_speed_does_not_follow_small_changes)
{
    EngineSpeed speed;
    for (int index = 0; index < 8; ++index)
        speed.onSample(sampleOf(2400, 100));
    const auto first = speed.announced();
    for (int index = 0; index < 300; ++index) {
        speed.onSample(sampleOf(2400, index / 40 % 2 == 0 ? 96 : 104));
        cr_assert(speed.announced() == first);
    }
}

// Without weights, slow engines would be homes to as many parts as fast ones.
Test(balance, homes_are_shared_by_weight_and_few_move)
{
    const std::map<std::string, double> weights{{"a", 1}, {"b", 1}, {"c", 2}};
    std::map<std::string, int> homes;
    int moved = 0;
    constexpr int Keys = 8000;
    for (std::uint64_t key = 0; key < Keys; ++key) {
        const auto homeWith = [&](double weightOfC) {
            std::string home;
            std::uint64_t best = 0;
            for (const auto &[id, weight] : weights) {
                const auto hash = hash64(id, key);
                const auto score = weightedHomeScore(hash, id == "c" ? weightOfC : weight);
                if (score < best)
                    continue;
                best = score;
                home = id;
            }
            return home;
        };
        ++homes[homeWith(2)];
        moved += homeWith(2) != homeWith(2.2) ? 1 : 0;
    }
    cr_assert(std::abs(homes["c"] - Keys / 2) < Keys / 40, "%d", homes["c"]);
    cr_assert(std::abs(homes["a"] - Keys / 4) < Keys / 40, "%d", homes["a"]);
    cr_assert(moved < Keys / 20, "%d", moved);
}

Test(balance, only_options_near_the_best_are_picked)
{
    const std::vector<PickOption> options{{100, 1}, {120, 3}, {200, 9}};
    std::vector<int> picked(options.size());
    for (int index = 0; index < 1000; ++index)
        ++picked.at(pickNearBest(options, index / 1000.0));
    cr_assert(picked[0] == 250);
    cr_assert(picked[1] == 750);
}

Test(balance, lost_and_repeated_counts_do_no_lasting_harm)
{
    BacklogLedger ledger;
    ledger.onCounts(Engine, "i/1", {5000, 0}, Start);
    ledger.onCounts(Engine, "i/1", {9000, 5000}, Start + Millis(20)); // two messages lost
    ledger.onCounts(Engine, "i/1", {9000, 5000}, Start + Millis(30));
    ledger.onCounts(Engine, "i/1", {5000, 0}, Start + Millis(40));
    cr_assert(ledger.waitingTokens(Engine, Start + Millis(50)) == 4000);
    ledger.onCounts(Engine, "i/2", {100, 0}, Start + Millis(60)); // the sender has restarted
    cr_assert(ledger.waitingTokens(Engine, Start + Millis(70)) == 4100);
}

Test(balance, tokens_of_a_sender_that_has_died_drain)
{
    BacklogLedger ledger;
    ledger.onCounts(Engine, "i/1", {60'000, 0}, Start);
    cr_assert(ledger.waitingTokens(Engine, Start + Millis(1400)) == 60'000);
    cr_assert(ledger.waitingTokens(Engine, Start + Millis(2000)) == 30'000);
    cr_assert(ledger.waitingTokens(Engine, Start + Millis(3000)) == 0);
}

// An engine that has restarted has nothing to read.
Test(balance, a_restarted_engine_starts_without_backlog_and_speed)
{
    const Incarnation restarted{"e", 2};
    BacklogLedger ledger;
    for (int index = 0; index < 8; ++index)
        ledger.onSample(Engine, sampleOf(2400, 120));
    ledger.onCounts(Engine, "i/1", {60'000, 0}, Start);
    ledger.onCounts(restarted, "i/1", {100, 0}, Start + Millis(10));
    ledger.onCounts(Engine, "i/2", {60'000, 0}, Start + Millis(20));
    cr_assert(ledger.waitingTokens(restarted, Start + Millis(20)) == 100);
    const auto news = ledger.takeNews(Start + Millis(20));
    cr_assert(news.size() == 1U);
    cr_assert(news.front().first == restarted);
    cr_assert(news.front().second.speed == 0);
}

// A change that the others expect, as the engine reads on, is not worth a broadcast.
Test(balance, only_unexpected_changes_are_announced)
{
    BacklogLedger ledger;
    ledger.onCounts(Engine, "i/1", {30'000, 0}, Start);
    cr_assert(ledger.takeNews(Start).size() == 1U);
    ledger.onCounts(Engine, "i/1", {30'000, 12'000}, Start + Millis(200));
    cr_assert(ledger.takeNews(Start + Millis(200)).empty());
    ledger.onCounts(Engine, "i/1", {45'000, 12'000}, Start + Millis(400));
    cr_assert(ledger.takeNews(Start + Millis(400)).size() == 1U);
}

// The instance that adds up dies: its successor knows the backlog once the senders repeat it.
Test(balance, a_successor_learns_the_backlog_from_repeated_counts)
{
    Member sender;
    Member successor;
    sender.estimate.sent().onSent(Engine, 50'000, std::nullopt, Start);
    sender.exchange.onTick(Start);
    cr_assert(sender.message.size() == 1U); // lost with the one that died
    sender.exchange.onTick(Start + Millis(1000));
    cr_assert(sender.message.size() == 2U);
    successor.exchange.onWorkNews(process("i"), sender.message.back(), Start + Millis(1000));
    proto::LoadNews news;
    successor.exchange.addBacklogs(news, Start + Millis(1000));
    cr_assert(news.backlogs_size() == 1);
    Member other;
    other.exchange.onLoadNews(news, Start + Millis(1010));
    cr_assert(other.estimate.estimate("e", "models", Start + Millis(1010)).waitingTokens >= 50'000);
}

// Guards against two instances that announce different sums of the same engine.
Test(balance, an_instance_that_is_no_longer_assigned_announces_nothing)
{
    Member sender;
    Member former;
    sender.estimate.sent().onSent(Engine, 50'000, std::nullopt, Start);
    sender.exchange.onTick(Start);
    former.exchange.onWorkNews(process("i"), sender.message.back(), Start);
    former.isAssigned = false;
    proto::LoadNews news;
    former.exchange.addBacklogs(news, Start + Millis(3000));
    cr_assert(news.backlogs().empty());
}

// Without news, an instance knows what it has sent itself, and falls back to that.
Test(balance, old_news_is_ignored)
{
    LoadEstimate estimate(60);
    estimate.onBacklog(Engine, "models", {1'000'000, 0, 0}, Start);
    estimate.sent().onSent(Engine, 700, std::nullopt, Start);
    cr_assert(estimate.estimate("e", "models", Start + Millis(1000)).waitingTokens > 900'000);
    const EngineEstimate late = estimate.estimate("e", "models", Start + Millis(6000));
    cr_assert(late.waitingTokens == 700);
    cr_assert(not(late.newsAge.has_value()));
}

// The answer to a plain request shows nothing before its end. Its prompt must not count as waiting
// all the time.
Test(balance, a_request_without_events_counts_as_read_after_its_expected_time)
{
    Member sender;
    sender.estimate.sent().onSent(Engine, 6000, Start + Millis(100), Start);
    sender.exchange.onTick(Start + Millis(50));
    cr_assert(sender.estimate.sent().unreadTokens("e") == 6000);
    sender.exchange.onTick(Start + Millis(150));
    cr_assert(sender.estimate.sent().unreadTokens("e") == 0);
    sender.estimate.sent().onRead("e", 6000);
    sender.exchange.onTick(Start + Millis(300));
    cr_assert(sender.message.back().works(0).read_tokens() == 6000);
}
