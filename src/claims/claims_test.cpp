#include "claims/claim.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr const char *Object = "claims/mill/1";

ClaimRecord makeRecord(const std::string &token, const std::string &fingerprint = "same")
{
    ClaimRecord record;
    record.token = token;
    record.fingerprint = fingerprint;
    return record;
}

/// A store whose calls may fail and whose writes may lose their answer or be applied later.
struct FaultyStore
{
    struct Object
    {
        std::int64_t version = 0;
        std::string body;
    };
    pcg32 random;
    std::uint32_t faultPerCent;
    std::map<std::string, Object> objects;
    std::int64_t lastVersion = 0;
    std::vector<std::function<void()>> delayedWrites;

    StoreReply read(const std::string &name)
    {
        if (this->random(100) < this->faultPerCent)
            return {this->random(2) == 0 ? StoreStatus::Down : StoreStatus::Unknown, 0, ""};
        const auto found = this->objects.find(name);
        if (found == this->objects.end())
            return {StoreStatus::NotFound, 0, ""};
        return {StoreStatus::Ok, found->second.version, found->second.body};
    }

    StoreReply apply(const std::string &name, const std::string &body, std::int64_t expected)
    {
        const auto found = this->objects.find(name);
        const std::int64_t version = found == this->objects.end() ? 0 : found->second.version;
        if (version != expected)
            return {StoreStatus::Conflict, version, ""};
        this->objects[name] = {++this->lastVersion, body};
        return {StoreStatus::Ok, this->lastVersion, ""};
    }

    StoreReply write(const std::string &name, const std::string &body, std::int64_t expected)
    {
        if (this->random(100) >= this->faultPerCent)
            return this->apply(name, body, expected);
        switch (this->random(4)) {
        case 0:
            return {StoreStatus::Down, 0, ""};
        case 1:
            this->apply(name, body, expected);
            return {StoreStatus::Unknown, 0, ""};
        case 2:
            this->delayedWrites.push_back(
                [this, name, body, expected] { this->apply(name, body, expected); });
            return {StoreStatus::Unknown, 0, ""};
        default:
            return {StoreStatus::Unknown, 0, ""};
        }
    }

    void applyDelayedWrite()
    {
        if (this->delayedWrites.empty() || this->random(3) != 0)
            return;
        this->delayedWrites.front()();
        this->delayedWrites.erase(this->delayedWrites.begin());
    }
};

/// One caller's attempt, advanced step by step so that several attempts interleave.
struct CallerAttempt
{
    ClaimFlow flow;
    ClaimStep step;
    bool isRecording = false;
    bool hasRun = false;
    bool isOver = false;
    bool reportedNotRun = false;

    explicit CallerAttempt(const std::string &token)
        : flow(Object, makeRecord(token))
        , step(this->flow.begin())
    { }

    void advance(FaultyStore &store, int &runs)
    {
        switch (this->step) {
        case ClaimStep::Write: {
            const StoreReply reply
                = store.write(Object, toText(this->flow.record()), this->flow.expectedVersion());
            this->step = this->isRecording ? this->flow.onOutcomeWritten(reply)
                                           : this->flow.onWritten(reply);
            return;
        }
        case ClaimStep::Read: {
            const StoreReply reply = store.read(Object);
            this->step
                = this->isRecording ? this->flow.onOutcomeRead(reply) : this->flow.onRead(reply);
            return;
        }
        case ClaimStep::Send: {
            this->isRecording = true;
            // Some instances end before they send; some sends certainly do not reach the service.
            const auto fault = store.random(10);
            if (fault == 0) {
                this->isOver = true;
                return;
            }
            if (fault < 3) {
                this->reportedNotRun = true;
                this->step = this->flow.onNotRun();
                return;
            }
            ++runs;
            this->hasRun = true;
            this->step = this->flow.onDone(200, "text/plain", "booked");
            return;
        }
        case ClaimStep::Refuse:
            this->reportedNotRun = this->flow.refusal() == ClaimRefusal::StoreUnavailable;
            this->isOver = true;
            return;
        case ClaimStep::Replay:
        case ClaimStep::Stop:
            this->isOver = true;
            return;
        }
    }
};

} // namespace

Test(claims, stored_text_parses_to_the_same_record)
{
    ClaimRecord record = makeRecord("t");
    record.state = ClaimState::Done;
    record.status = 201;
    record.contentType = "text/plain";
    record.body = std::string("\0\xff binary", 9);
    record.hasBody = true;
    const auto parsed = toOutcome([&] { return parseClaim(toText(record), Object); });
    cr_assert(std::get<ClaimRecord>(parsed) == record);
}

Test(claims, an_answers_content_type_that_is_not_utf8_ends_no_process_and_is_replayed_as_it_was)
{
    ClaimRecord record = makeRecord("t");
    record.contentType = "text/plain; x=\xFF\xEF\x9C\x80";
    const auto parsed = toOutcome([&] { return parseClaim(toText(record), Object); });
    cr_assert(std::get<ClaimRecord>(parsed) == record);
}

Test(claims, replays_the_first_answer_and_refuses_a_different_request)
{
    FaultyStore store{pcg32(1), 0, {}, 0, {}};
    ClaimFlow first(Object, makeRecord("one"));
    cr_assert(first.onWritten(store.write(Object, toText(first.record()), CreateVersion))
              == ClaimStep::Send);

    ClaimFlow concurrent(Object, makeRecord("two"));
    cr_assert(concurrent.onWritten(store.write(Object, toText(concurrent.record()), CreateVersion))
              == ClaimStep::Read);
    cr_assert(concurrent.onRead(store.read(Object)) == ClaimStep::Refuse);
    cr_assert(concurrent.refusal() == ClaimRefusal::InProgress);

    cr_assert(first.onDone(200, "text/plain", "booked") == ClaimStep::Write);
    first.onOutcomeWritten(store.write(Object, toText(first.record()), first.expectedVersion()));
    ClaimFlow repeat(Object, makeRecord("three"));
    repeat.onWritten(store.write(Object, toText(repeat.record()), CreateVersion));
    cr_assert(repeat.onRead(store.read(Object)) == ClaimStep::Replay);
    cr_assert(repeat.record().body == "booked");

    ClaimFlow other(Object, makeRecord("four", "different"));
    other.onWritten(store.write(Object, toText(other.record()), CreateVersion));
    cr_assert(other.onRead(store.read(Object)) == ClaimStep::Refuse);
    cr_assert(other.refusal() == ClaimRefusal::KeyReused);
}

Test(claims, an_unreachable_store_means_not_run)
{
    ClaimFlow flow(Object, makeRecord("one"));
    cr_assert(flow.onWritten({StoreStatus::Down, 0, ""}) == ClaimStep::Refuse);
    cr_assert(flow.refusal() == ClaimRefusal::StoreUnavailable);
}

// Up to five callers send the same request with the same key while calls to the store fail, lose
// their answers or take effect late. The request must not run twice, and a caller must not be told
// that its request did not run when it did.
Test(claims, ten_thousand_fault_schedules_run_at_most_once)
{
    int totalRuns = 0;
    for (std::uint64_t seed = 1; seed <= 10'000; ++seed) {
        FaultyStore store{pcg32(seed), 35, {}, 0, {}};
        std::vector<std::unique_ptr<CallerAttempt>> attempts;
        int runs = 0;
        for (int step = 0; step < 120; ++step) {
            if (attempts.size() < 5 && store.random(8) == 0)
                attempts.push_back(
                    std::make_unique<CallerAttempt>("token-" + std::to_string(attempts.size())));
            if (attempts.empty())
                continue;
            CallerAttempt &chosen
                = *attempts[store.random(static_cast<std::uint32_t>(attempts.size()))];
            if (!chosen.isOver)
                chosen.advance(store, runs);
            store.applyDelayedWrite();
        }
        cr_assert(runs <= 1, "seed %lu: ran %d times", static_cast<unsigned long>(seed), runs);
        for (const auto &entry : attempts)
            cr_assert(not(entry->reportedNotRun && entry->hasRun),
                      "seed %lu: a run was reported as \"not run\"",
                      static_cast<unsigned long>(seed));
        totalRuns += runs;
    }
    // Guards against schedules that prove nothing because they rarely run the request.
    cr_assert(totalRuns > 5000, "%d", totalRuns);
}
