#include "base/digest.h"
#include "config/publish.h"
#include "config/tracker.h"
#include "identity/keyring.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

Json sampleJson()
{
    return Json::parse(R"({
        "format": 1,
        "regions": [{"name": "erie"}],
        "organisations": [{"name": "mill", "tokens_per_second": 10, "burst_tokens": 20}],
        "models": [{"name": "loom", "version": "v1", "adapters": []}],
        "endpoints": [
            {"name": "gpu", "kind": "engine", "host": "127.0.0.1", "port": 1, "region": "erie",
             "zone": "a", "models": ["loom"]},
            {"name": "desk", "kind": "service", "host": "127.0.0.1", "port": 2, "region": "erie",
             "zone": "a"}],
        "routes": [
            {"name": "review", "kind": "model", "model": "loom"},
            {"name": "orders", "kind": "service", "endpoints": ["desk"], "repeatable": false}]
    })");
}

Document parseOrAbort(const Json &json)
{
    const auto result = toOutcome([&] { return parseDocument(json, "test.json"); });
    if (const auto *error = std::get_if<Error>(&result))
        cr_fatal("%s", error->detail.c_str());
    return std::get<Document>(result);
}

std::string errorOf(const Json &json)
{
    const auto result = toOutcome([&] { return parseDocument(json, "test.json"); });
    const auto *error = std::get_if<Error>(&result);
    return error ? error->detail : "";
}

/// In-memory store in which scripted writes of the root fail or lose their answer.
struct MemoryStore
{
    struct Object
    {
        std::int64_t version;
        std::string body;
    };
    enum class Fault { None, LoseAnswer, NotSent };

    mutable std::map<std::string, Object> objects;
    mutable std::vector<Fault> rootWriteFaults;
    mutable std::int64_t lastVersion = 0;
    mutable int rootWrites = 0;
    mutable std::function<void()> beforeRootWrite;

    StoreReply read(const std::string &name) const
    {
        const auto found = this->objects.find(name);
        if (found == this->objects.end())
            return {StoreStatus::NotFound, 0, ""};
        return {StoreStatus::Ok, found->second.version, found->second.body};
    }

    StoreReply write(const std::string &name, std::string body, std::int64_t expected) const
    {
        Fault fault = Fault::None;
        if (name == RootObject) {
            if (this->beforeRootWrite)
                std::exchange(this->beforeRootWrite, nullptr)();
            if (!this->rootWriteFaults.empty()) {
                fault = this->rootWriteFaults.front();
                this->rootWriteFaults.erase(this->rootWriteFaults.begin());
            }
        }
        if (fault == Fault::NotSent)
            return {StoreStatus::Down, 0, ""};
        const auto found = this->objects.find(name);
        const std::int64_t version = found == this->objects.end() ? 0 : found->second.version;
        if (version != expected)
            return {StoreStatus::Conflict, version, ""};
        this->objects[name] = {++this->lastVersion, std::move(body)};
        if (name == RootObject)
            ++this->rootWrites;
        if (fault == Fault::LoseAnswer)
            return {StoreStatus::Unknown, 0, ""};
        return {StoreStatus::Ok, this->lastVersion, ""};
    }
};

StoredConfig readOrAbort(const MemoryStore &store)
{
    const auto result = toOutcome([&] { return readStoredConfig(store); });
    cr_assert(std::holds_alternative<StoredConfig>(result));
    return std::get<StoredConfig>(result);
}

Outcome<AcceptedChange> tryPublish(const MemoryStore &store, const StoredConfig &base,
                                   const Document &document)
{
    return toOutcome([&] { return publish(store, base, document, "tester"); });
}

Document withRate(std::int64_t rate)
{
    Json json = sampleJson();
    json["organisations"][0]["tokens_per_second"] = rate;
    return parseOrAbort(json);
}

} // namespace

Test(document, canonical_form_parses_to_the_same_document)
{
    const Document document = parseOrAbort(sampleJson());
    cr_assert(parseOrAbort(toJson(document)) == document);
}

Test(document, errors_name_the_file_the_path_and_the_found_and_expected_value)
{
    Json wrongType = sampleJson();
    wrongType["organisations"][0]["burst_tokens"] = "many";
    cr_assert(errorOf(wrongType)
              == "test.json: organisations[0].burst_tokens: found \"many\", expected a whole "
                 "number from 0 to 1000000000");
    Json unknownField = sampleJson();
    unknownField["routes"][0]["modle"] = "loom";
    cr_assert(errorOf(unknownField)
              == "test.json: routes[0].modle: found \"loom\", expected no field of this name");
    Json badReference = sampleJson();
    badReference["routes"][0]["model"] = "lost";
    cr_assert(errorOf(badReference)
              == "test.json: routes.review.model: found \"lost\", expected the name of a model");
    Json duplicate = sampleJson();
    duplicate["models"].push_back(duplicate["models"][0]);
    cr_assert(errorOf(duplicate).find("twice") != std::string::npos);
    Json engineAsService = sampleJson();
    engineAsService["routes"][1]["endpoints"] = {"gpu"};
    cr_assert(errorOf(engineAsService).find("service") != std::string::npos);
    cr_assert(errorOf(Json::array()).find("expected an object") != std::string::npos);
}

Test(document, wrong_values_of_every_field_are_refused_and_never_crash)
{
    const std::vector<Json> values{
        nullptr, true, -1, 1e30, "", "x y", Json::array({1}), Json::object({{"a", 1}})};
    const Json flat = sampleJson().flatten();
    for (const auto &[pointer, original] : flat.items()) {
        for (const Json &value : values) {
            Json changed = sampleJson();
            changed[Json::json_pointer(pointer)] = value;
            const std::string error = errorOf(changed);
            cr_assert(value == original || !error.empty() || value.is_boolean(), "%s: accepted %s",
                      pointer.c_str(), value.dump().c_str());
        }
    }
}

Test(chunks, a_changed_organisation_changes_one_chunk_and_all_fit_the_store)
{
    Json json = sampleJson();
    for (int index = 0; index < 23'000; ++index)
        json["organisations"].push_back({{"name", "org-" + std::to_string(index)},
                                         {"tokens_per_second", 100},
                                         {"burst_tokens", 1000},
                                         {"keys",
                                          {{{"id", "k" + std::to_string(index)},
                                            {"digest", sha256Hex(std::to_string(index))}}}}});
    const Document before = parseOrAbort(json);
    json["organisations"][5]["burst_tokens"] = 7;
    const Document after = parseOrAbort(json);
    const ChunkedDocument chunksBefore = splitDocument(before);
    const ChunkedDocument chunksAfter = splitDocument(after);
    std::size_t changed = 0;
    for (const auto &[digest, text] : chunksAfter.chunks) {
        cr_assert(text.size() < 1U << 20U);
        changed += chunksBefore.chunks.contains(digest) ? 0 : 1;
    }
    cr_assert(changed == 1);
    ConfigRoot root = nextRoot({}, chunksAfter.order, "x");
    cr_assert(toText(root).size() < 1U << 20U);
    const auto joined
        = toOutcome([&] { return joinDocument(chunksAfter.order, chunksAfter.chunks); });
    cr_assert(std::get<Document>(joined) == after);
}

Test(publish, of_two_concurrent_changes_one_succeeds_and_the_other_conflicts)
{
    const MemoryStore store;
    cr_assert(std::holds_alternative<AcceptedChange>(tryPublish(store, {}, withRate(1))));
    const StoredConfig base = readOrAbort(store);
    const auto winner = tryPublish(store, base, withRate(2));
    const auto loser = tryPublish(store, base, withRate(3));
    cr_assert(std::get<AcceptedChange>(winner).version == 2);
    cr_assert(std::get<Error>(loser).code == ErrorCode::Conflict);
    cr_assert(readOrAbort(store).document == withRate(2));
}

Test(publish, a_lost_answer_neither_repeats_nor_loses_the_change)
{
    const MemoryStore store;
    store.rootWriteFaults = {MemoryStore::Fault::LoseAnswer};
    const auto accepted = tryPublish(store, {}, withRate(1));
    cr_assert(std::get<AcceptedChange>(accepted).version == 1);
    cr_assert(store.rootWrites == 1);
    cr_assert(readOrAbort(store).root.version == 1);
}

Test(publish, a_change_with_a_lost_answer_is_found_in_the_history_of_a_later_one)
{
    const MemoryStore store;
    tryPublish(store, {}, withRate(1));
    const StoredConfig base = readOrAbort(store);
    // The answer to the write is lost, and before the writer reads the root again, another writer
    // applies a change on top.
    struct RacingStore : MemoryStore
    {
        mutable bool hasRaced = false;
        StoreReply read(const std::string &name) const
        {
            if (name == RootObject && !this->hasRaced) {
                this->hasRaced = true;
                const StoredConfig latest = readOrAbort(*this);
                const ChunkedDocument chunked = splitDocument(withRate(9));
                for (const auto &[digest, text] : chunked.chunks)
                    this->write(ChunkPrefix + digest, text, CreateVersion);
                this->write(RootObject, toText(nextRoot(latest.root, chunked.order, "other")),
                            latest.objectVersion);
            }
            return MemoryStore::read(name);
        }
    };
    RacingStore racing;
    racing.objects = store.objects;
    racing.lastVersion = store.lastVersion;
    racing.rootWriteFaults = {MemoryStore::Fault::LoseAnswer};
    const auto accepted = toOutcome([&] { return publish(racing, base, withRate(2), "tester"); });
    cr_assert(std::get<AcceptedChange>(accepted).version == 2);
    cr_assert(readOrAbort(racing).root.version == 3);
}

Test(publish, an_unreachable_store_is_reported_as_unavailable_not_unknown)
{
    const MemoryStore store;
    store.rootWriteFaults.assign(PublishTries, MemoryStore::Fault::NotSent);
    const auto outcome = tryPublish(store, {}, withRate(1));
    cr_assert(std::get<Error>(outcome).code == ErrorCode::Unavailable);
    cr_assert(not(store.objects.contains(RootObject)));
}

Test(tracker, the_active_version_never_decreases_in_any_order_of_arrival)
{
    struct Version
    {
        ConfigRoot root;
        ChunkedDocument chunked;
        Document document;
    };
    std::vector<Version> versions;
    ConfigRoot last;
    for (int rate = 1; rate <= 8; ++rate) {
        Version version;
        version.document = withRate(rate);
        version.chunked = splitDocument(version.document);
        version.root = nextRoot(last, version.chunked.order, "x");
        last = version.root;
        versions.push_back(version);
    }
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        pcg32 random(seed);
        ConfigTracker tracker;
        std::int64_t activeVersion = 0;
        for (int step = 0; step < 60; ++step) {
            const Version &version = versions[random(versions.size())];
            if (random(2) == 0) {
                tracker.offerRoot(version.root);
            } else {
                for (const auto &[digest, text] : version.chunked.chunks) {
                    if (random(3) != 0)
                        tracker.offerChunk(text);
                }
            }
            tracker.activatePending();
            cr_assert(tracker.activeVersion() >= activeVersion,
                      "seed %lu: the active version decreased", static_cast<unsigned long>(seed));
            activeVersion = tracker.activeVersion();
            if (activeVersion > 0)
                cr_assert(tracker.active()->document
                          == versions[static_cast<std::size_t>(activeVersion) - 1].document);
        }
    }
}

Test(tracker, an_invalid_configuration_leaves_the_old_one_active)
{
    ConfigTracker tracker;
    const ChunkedDocument good = splitDocument(withRate(1));
    const ConfigRoot first = nextRoot({}, good.order, "x");
    tracker.offerRoot(first);
    for (const auto &[digest, text] : good.chunks)
        tracker.offerChunk(text);
    cr_assert(tracker.activatePending());

    const std::string bad = R"({"format":1,"routes":"none"})";
    const ConfigRoot second = nextRoot(first, {sha256Hex(bad)}, "x");
    cr_assert(tracker.offerRoot(second));
    tracker.offerChunk(bad);
    cr_assert(not(tracker.activatePending()));
    cr_assert(tracker.activeVersion() == 1);
    cr_assert(tracker.refusal().find("version 2") != std::string::npos);

    const ConfigRoot third = nextRoot(second, good.order, "x");
    cr_assert(tracker.offerRoot(third));
    for (const auto &[digest, text] : good.chunks)
        tracker.offerChunk(text);
    cr_assert(tracker.activatePending());
    cr_assert(tracker.activeVersion() == 3);
    cr_assert(tracker.refusal().empty());
}

Test(keyring, finds_the_organisation_of_a_key_by_its_digest_only)
{
    const IssuedKey key = issueKey("mill");
    Document document = withRate(1);
    document.organisations[0].keys = {key.record};
    const Keyring keyring(document);
    cr_assert(keyring.find(key.secret)->organisation == "mill");
    cr_assert(keyring.find(key.secret + "x") == nullptr);
    cr_assert(keyring.find("") == nullptr);
    cr_assert(keyring.containsId(key.record.id));
    cr_assert(toJson(document).dump().find(key.secret) == std::string::npos);
    cr_assert(bearerSecret("Bearer abc") == "abc");
    cr_assert(bearerSecret("bearer abc") == "abc");
    cr_assert(bearerSecret("Basic abc").empty());
}
