#include "base/jsonlist.h"
#include "base/outsidetext.h"

#include <algorithm>
#include <chrono>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

constexpr JsonListShape Shape{"items", "metadata", "name"};

/// Returns objects like those of each kind in the store.
std::vector<std::string> soundEntries()
{
    const std::vector<std::string> specs{
        R"({"version":7,"routes":[{"name":"r","hostname":"h.example"},{"name":"q"}],"limits":{"a":1}})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","models":[{"name":"m","version":1,"adapters":[]}]})",
        R"({"model":"m","version":12})",
        R"({"holder":"node \"7\"","fence":41,"text":"[{,}]"})",
        R"({"streams":{"a":["b","c"]},"share":0.25,"big":9007199254740993})",
        R"({"to":"v2","bytes":"b\u00fc\\","none":null,"is":true})"};
    std::vector<std::string> entries;
    for (const std::string &spec : specs) {
        const std::string name = "n" + std::to_string(entries.size());
        entries.push_back(R"({"metadata":{"name":")" + name
                          + R"(","revision":5,"finalizers":[]},"spec":)" + spec
                          + R"(,"status":null})");
    }
    return entries;
}

std::string listOf(const std::vector<std::string> &entries)
{
    std::string text = R"({"more":false,"items":[)";
    for (const std::string &entry : entries)
        text += (&entry == &entries.front() ? "" : ", ") + entry;
    return text + R"(],"store_revision":530})";
}

/// Whether \a read has all of \a expected, in their order.
bool contains(const std::vector<Json> &read, const std::vector<Json> &expected)
{
    auto from = read.begin();
    for (const Json &entry : expected) {
        from = std::find(from, read.end(), entry);
        if (from == read.end())
            return false;
        ++from;
    }
    return true;
}

} // namespace

// Guards against entries that are lost because of another one.
Test(jsonlist, a_damaged_byte_costs_its_own_entry_alone)
{
    constexpr int Rounds = 30'000;
    const std::vector<std::string> sound = soundEntries();
    pcg32 random(3);
    for (int round = 0; round < Rounds; ++round) {
        std::vector<std::string> entries = sound;
        const std::size_t damaged = random(static_cast<unsigned>(entries.size()));
        std::string &entry = entries[damaged];
        const std::size_t at = random(static_cast<unsigned>(entry.size()));
        if (random(4) == 0)
            entry.erase(at, 1 + random(3));
        else if (random(2) == 0)
            entry[at] = static_cast<char>(random(256));
        else
            entry.insert(at, 1, R"("{}[],:\9)"[random(9)]);
        std::vector<Json> others;
        for (std::size_t index = 0; index < sound.size(); ++index) {
            if (index != damaged)
                others.push_back(Json::parse(sound[index]));
        }
        const JsonList list = readJsonList(listOf(entries), Shape);
        cr_assert(contains(list.entries, others), "round %d: %s", round, entry.c_str());
        cr_assert(findInteger(list.rest, "store_revision") == 530, "round %d: %s", round,
                  entry.c_str());
        cr_assert(isUtf8(list.firstUnreadable));
        const bool isLastDamaged = damaged + 1 == entries.size();
        cr_assert(isLastDamaged || list.lastId == "n5", "round %d: %s", round, entry.c_str());
    }
}

Test(jsonlist, what_is_no_object_with_a_list_is_read_as_such)
{
    cr_assert(readJsonList("", Shape).rest.is_discarded());
    cr_assert(readJsonList("[1]", Shape).rest.is_discarded());
    cr_assert(readJsonList(R"({"items":[{"metadata":{}})", Shape).rest.is_discarded());
    cr_assert(readJsonList(R"({"more":tru})", Shape).rest.is_discarded());
    const JsonList noList = readJsonList(R"({"more":true})", Shape);
    cr_assert(noList.rest.is_object());
    cr_assert(noList.entries.empty());
}

// Guards against a long list of damaged entries that keeps the loop busy.
Test(jsonlist, damage_everywhere_takes_a_bounded_time)
{
    constexpr std::size_t Bytes = 1'000'000;
    std::string text = R"({"items":[)";
    while (text.size() < Bytes)
        text += R"({"metadata":{"name":"a,{,{},)";
    const auto begunAt = std::chrono::steady_clock::now();
    readJsonList(text, Shape);
    std::string quotes = R"({"items":[)";
    while (quotes.size() < Bytes)
        quotes += R"(,{"a)";
    readJsonList(quotes, Shape);
    cr_assert(std::chrono::steady_clock::now() - begunAt < std::chrono::seconds(5));
}
