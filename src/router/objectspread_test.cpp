#include "router/objectspread.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

/// One instance: what it knows of one kind, and the messages that it wants sent.
struct Instance
{
    std::map<std::string, std::int64_t> known; ///< revision by name
    std::int64_t newest = 0;
    std::int64_t listed = 0;
    bool isOnDuty = false;
    int beats = 0;
    std::vector<proto::Envelope> sent;
    ObjectSpread spread;

    Instance()
        : spread(this->sharing(), this->links())
    { }

    ReplicatedObjects sharing()
    {
        ReplicatedObjects made;
        made.kinds = {"kind"};
        made.latestRevision = [this](std::size_t) { return this->newest; };
        made.listedRevision = [this](std::size_t) { return this->listed; };
        made.offerChanges = [this](std::size_t, std::int64_t after) { return this->offer(after); };
        made.offerAll = [this](std::size_t) {
            proto::ObjectsOffer all = this->offer(0);
            all.set_is_whole(true);
            all.set_revision(this->listed);
            return all;
        };
        made.applyOffer
            = [this](std::size_t, const proto::ObjectsOffer &told) { this->take(told); };
        made.isCurrent = [] { return true; };
        made.onHeartbeat = [this] { ++this->beats; };
        made.setOnDuty = [](bool) {};
        return made;
    }

    SpreadLinks links()
    {
        SpreadLinks made;
        made.send = [this](const proto::ProcessId &, const proto::Envelope &message) {
            this->sent.push_back(message);
        };
        made.othersInRegion = [] { return std::vector<proto::ProcessId>(1); };
        made.isOnDuty = [this] { return this->isOnDuty; };
        return made;
    }

    proto::ObjectsOffer offer(std::int64_t after) const
    {
        proto::ObjectsOffer made;
        made.set_kind("kind");
        made.set_after(after);
        for (const auto &[name, revision] : this->known) {
            if (revision <= after)
                continue;
            proto::SharedObject &object = *made.add_objects();
            object.set_name(name);
            object.set_revision(revision);
        }
        return made;
    }

    void take(const proto::ObjectsOffer &told)
    {
        if (told.is_whole()) {
            this->known.clear();
            this->listed = told.revision();
        }
        for (const proto::SharedObject &object : told.objects())
            this->put(object.name(), object.revision());
    }

    void put(const std::string &name, std::int64_t revision)
    {
        std::int64_t &kept = this->known[name];
        kept = std::max(kept, revision);
        this->newest = std::max(this->newest, revision);
    }

    void receive(const proto::Envelope &message, MonoTime now)
    {
        if (message.has_objects_request())
            this->spread.onRequest(message);
        else if (message.has_objects_offer())
            this->spread.onOffer(message);
        else
            this->spread.onBeat(message, now);
    }
};

} // namespace

// Changes come fast and half of all messages are lost: within a second of the last one the other
// instance knows each object at its newest revision, and what a whole list did not name is gone.
Test(objectspread, lost_messages_leave_no_gap)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        pcg32 random(seed);
        Instance reader;
        Instance other;
        reader.isOnDuty = true;
        std::int64_t revision = 10;
        for (int step = 0; step < 200; ++step) {
            const MonoTime now = Start + Millis(50) * step;
            if (step < 180) {
                reader.put("object-" + std::to_string(random(8)), ++revision);
                reader.spread.publish(0);
            }
            if (step == 100) {
                reader.known.erase("object-3");
                reader.listed = ++revision;
                reader.newest = revision;
            }
            reader.spread.onTick({}, now);
            other.spread.onTick({}, now);
            const bool isLossy = step < 180;
            for (const proto::Envelope &message : std::exchange(reader.sent, {})) {
                if (!isLossy || random(2) == 0)
                    other.receive(message, now);
            }
            for (const proto::Envelope &message : std::exchange(other.sent, {})) {
                if (!isLossy || random(2) == 0)
                    reader.receive(message, now);
            }
        }
        cr_assert(other.listed == reader.listed, "seed %u", seed);
        cr_assert(other.known == reader.known, "seed %u", seed);
        cr_assert(other.beats > 3, "seed %u", seed);
    }
}

Test(objectspread, one_that_is_not_on_duty_pushes_and_beats_nothing)
{
    Instance one;
    one.put("a", 5);
    one.spread.publish(0);
    one.spread.onTick({}, Start);
    cr_assert(one.sent.empty());
    // It still answers whoever asks.
    proto::Envelope question;
    question.mutable_objects_request()->set_kind("kind");
    one.spread.onRequest(question);
    cr_assert(one.sent.size() == 1U);
    cr_assert(one.sent.front().objects_offer().objects_size() == 1);
}
