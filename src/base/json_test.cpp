#include "base/json.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr std::size_t HostileDepth = 100'000;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string errorOf(const std::string &text)
{
    const auto outcome = toOutcome([&] { return parseJson(text, "file"); });
    const auto *error = std::get_if<Error>(&outcome);
    return error ? error->detail : "";
}

} // namespace

Test(json, a_number_out_of_range_is_an_error_and_no_exception)
{
    cr_assert(errorOf(R"({"seq": 1e999})") == "file: found a number that is out of range");
    cr_assert(not(errorOf("[-1e400]").empty()));
    cr_assert(readJson("[1e999]").is_discarded());
    cr_assert(errorOf("{\n}}") == "file line 2: found text that is not JSON");
}

Test(json, deeply_nested_text_is_refused_without_recursion)
{
    cr_assert(not(errorOf(nested(HostileDepth)).empty()));
    cr_assert(not(errorOf(nested(MaxJsonDepth + 1)).empty()));
    cr_assert(errorOf(nested(MaxJsonDepth)).empty());
    cr_assert(readJson(nested(HostileDepth)).is_discarded());
    cr_assert(readJson(std::string(HostileDepth, '[')).is_discarded());
    std::string objects;
    for (std::size_t depth = 0; depth < HostileDepth; ++depth)
        objects += "{\"a\":";
    cr_assert(readJson(objects + "0" + std::string(HostileDepth, '}')).is_discarded());
}

Test(json, brackets_in_strings_do_not_count_as_nesting)
{
    const std::string text = "[\"" + std::string(HostileDepth, '[') + "\\\"{\\\\\"]";
    cr_assert(not(isDeepJson(text)));
    cr_assert(errorOf(text).empty());
}

Test(json, an_entry_that_is_nested_too_deeply_is_left_out_and_the_others_stay)
{
    const std::string text = R"({"items":[{"name":"a","spec":{"x":1}},{"name":"b","spec":{"deep":)"
        + nested(HostileDepth) + R"(,"y":2}},{"name":"c"}]})";
    const Json json = readJson(text, DeepJson::LeftOut);
    cr_assert(json.is_object());
    cr_assert(json["items"].size() == 3U);
    cr_assert(findInteger(json["items"][0]["spec"], "x") == 1);
    cr_assert(findInteger(json["items"][1]["spec"], "y") == 2);
    cr_assert(findText(json["items"][2], "name") == "c");
    const std::string written = json.dump();
    cr_assert(not(isDeepJson(written)));
    cr_assert(readJson(written).dump() == written);
    cr_assert(not(isDeepJson(readJson(nested(HostileDepth), DeepJson::LeftOut).dump())));
}
