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

ClaimRecord claimOf(const std::string &token, const std::string &fingerprint = "same")
{
    ClaimRecord record;
    record.token = token;
    record.fingerprint = fingerprint;
    return record;
}

/// A store whose writes may be refused, lose their answers, or apply late.
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
    std::int64_t last = 0;
    std::vector<std::function<void()>> late;

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
        this->objects[name] = {++this->last, body};
        return {StoreStatus::Ok, this->last, ""};
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
            this->late.push_back(
                [this, name, body, expected] { this->apply(name, body, expected); });
            return {StoreStatus::Unknown, 0, ""};
        default:
            return {StoreStatus::Unknown, 0, ""};
        }
    }

    void runLate()
    {
        if (this->late.empty() || this->random(3) != 0)
            return;
        this->late.front()();
        this->late.erase(this->late.begin());
    }
};

/// One caller's try, advanced a step at a time so that several interleave.
struct Try
{
    ClaimFlow flow;
    ClaimStep step;
    bool isRecording = false;
    bool ran = false;
    bool isOver = false;
    bool saidNotRun = false;

    explicit Try(const std::string &token)
        : flow(Object, claimOf(token))
        , step(this->flow.begin())
    { }

    void advance(FaultyStore &store, int &runs)
    {
        switch (this->step) {
        case ClaimStep::Create: {
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
            // Some sends are known not to have reached the service, some are killed before.
            const auto fate = store.random(10);
            if (fate == 0) {
                this->isOver = true;
                return;
            }
            if (fate < 3) {
                this->saidNotRun = true;
                this->step = this->flow.onNotRun();
                return;
            }
            ++runs;
            this->ran = true;
            this->step = this->flow.onDone(200, "text/plain", "booked");
            return;
        }
        case ClaimStep::Refuse:
            this->saidNotRun = this->flow.refusal() == ClaimRefusal::StoreAway;
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

Test(claims, text_form_parses_back)
{
    ClaimRecord record = claimOf("t");
    record.state = ClaimState::Done;
    record.status = 201;
    record.contentType = "text/plain";
    record.body = std::string("\0\xff binary", 9);
    record.hasBody = true;
    const auto parsed = attempt([&] { return parseClaim(toText(record), Object); });
    cr_assert(std::get<ClaimRecord>(parsed) == record);
}

Test(claims, a_repeat_gets_the_first_answer_and_another_request_is_refused)
{
    FaultyStore store{pcg32(1), 0, {}, 0, {}};
    ClaimFlow first(Object, claimOf("one"));
    cr_assert(first.onWritten(store.write(Object, toText(first.record()), CreateVersion))
              == ClaimStep::Send);

    ClaimFlow early(Object, claimOf("two"));
    cr_assert(early.onWritten(store.write(Object, toText(early.record()), CreateVersion))
              == ClaimStep::Read);
    cr_assert(early.onRead(store.read(Object)) == ClaimStep::Refuse);
    cr_assert(early.refusal() == ClaimRefusal::InProgress);

    cr_assert(first.onDone(200, "text/plain", "booked") == ClaimStep::Create);
    first.onOutcomeWritten(store.write(Object, toText(first.record()), first.expectedVersion()));
    ClaimFlow late(Object, claimOf("three"));
    late.onWritten(store.write(Object, toText(late.record()), CreateVersion));
    cr_assert(late.onRead(store.read(Object)) == ClaimStep::Replay);
    cr_assert(late.record().body == "booked");

    ClaimFlow other(Object, claimOf("four", "different"));
    other.onWritten(store.write(Object, toText(other.record()), CreateVersion));
    cr_assert(other.onRead(store.read(Object)) == ClaimStep::Refuse);
    cr_assert(other.refusal() == ClaimRefusal::KeyReused);
}

Test(claims, a_store_that_is_away_means_not_run)
{
    ClaimFlow flow(Object, claimOf("one"));
    cr_assert(flow.onWritten({StoreStatus::Down, 0, ""}) == ClaimStep::Refuse);
    cr_assert(flow.refusal() == ClaimRefusal::StoreAway);
}

Test(claims, ten_thousand_fault_schedules_run_at_most_once)
{
    int total = 0;
    for (std::uint64_t seed = 1; seed <= 10'000; ++seed) {
        FaultyStore store{pcg32(seed), 35, {}, 0, {}};
        std::vector<std::unique_ptr<Try>> tries;
        int runs = 0;
        for (int step = 0; step < 120; ++step) {
            if (tries.size() < 5 && store.random(8) == 0)
                tries.push_back(std::make_unique<Try>("token-" + std::to_string(tries.size())));
            if (tries.empty())
                continue;
            Try &any = *tries[store.random(static_cast<std::uint32_t>(tries.size()))];
            if (!any.isOver)
                any.advance(store, runs);
            store.runLate();
        }
        cr_assert(runs <= 1, "seed %lu: ran %d times", static_cast<unsigned long>(seed), runs);
        for (const auto &entry : tries)
            cr_assert(not(entry->saidNotRun && entry->ran), "seed %lu: a false \"not run\"",
                      static_cast<unsigned long>(seed));
        total += runs;
    }
    // The schedules are of use only if most of them run the request.
    cr_assert(total > 5000, "%d", total);
}
