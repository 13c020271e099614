#include "router/settings.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

/// Returns settings of the forward dialect with \a entries; nothing if they are refused.
std::optional<Settings> settingsWith(const std::string &entries)
{
    const std::string text = R"({"dialect":"forward","instance":"a","region":"r","zone":"z",
        "listen":"10.0.0.1:1","admin":"10.0.0.1:2","peer":"10.0.0.1:3","store":"10.0.0.2:4",
        "metrics":"10.0.0.1:5","seeds":[],"zones":{"z":"r"},)"
        + entries + "}";
    const Result<Settings> read = parseSettings(text, "test");
    if (!read)
        return std::nullopt;
    return read.value();
}

/// Returns the settings with \a bounds; nothing if they are refused.
std::optional<ForwardBounds> boundsOf(const std::string &bounds)
{
    const auto settings = settingsWith("\"bounds\":" + bounds);
    if (!settings)
        return std::nullopt;
    return settings->bounds;
}

} // namespace

// A platform that scales its bounds with the fleet states fractions. An instance that refused them
// would not start.
Test(settings, bounds_may_be_fractions)
{
    const auto bounds = boundsOf(
        R"({"retry_slack":37.096774193548384,"grace_s":7.5,"lease_ms":2999.9,"retry_ratio":0.25})");
    cr_assert(bounds.has_value());
    cr_assert(bounds->retrySlack == 37);
    cr_assert(bounds->grace == Millis(7500));
    cr_assert(bounds->lease == Millis(2999));
    cr_assert(bounds->retryWindow == ForwardBounds{}.retryWindow);
}

Test(settings, bounds_out_of_range_are_refused)
{
    for (const char *refused : {R"({"retry_slack":-1})", R"({"lease_ms":0.5})", R"({"grace_s":0})",
                                R"({"rate_overage":1.5})", R"({"retry_slack":"1"})",
                                R"({"weights_ms":1e300})", R"({"unknown":1})"})
        cr_assert(not(boundsOf(refused).has_value()), "%s", refused);
}

// A deployment whose settings do not ask for a part must not get it by default.
Test(settings, optional_parts_are_off_unless_they_are_stated)
{
    const auto plain = settingsWith(R"("bounds":{})");
    cr_assert(plain.has_value());
    cr_assert(not(plain->rollouts.has_value()));
    cr_assert(not(plain->balancesLoad));
    cr_assert(plain->features.empty());
    const auto full = settingsWith(
        R"("rollouts":{"exposure_share":0.2,"exposure_slack":7,"rollback_ms":900},"balance":{},
        "features":["base","pressure"])");
    cr_assert(full.has_value());
    const RolloutBounds expected{0.2, 7, Millis(900)};
    cr_assert(full->rollouts == expected);
    cr_assert(full->balancesLoad);
    const std::vector<std::string> features{"base", "pressure"};
    cr_assert(full->features == features);
    cr_assert(not(settingsWith(R"("rollouts":{"exposure_share":2})").has_value()));
    cr_assert(not(settingsWith(R"("balance":{"unknown":1})").has_value()));
}

// The template of the settings writes null for what a platform does not state. Guards against an
// instance that does not start there.
Test(settings, a_platform_that_states_no_features_has_none)
{
    const auto settings = settingsWith(R"("features":null)");
    cr_assert(settings.has_value());
    cr_assert(settings->features.empty());
    for (const char *refused : {"{}", "\"base\"", "[null]", "0"})
        cr_assert(not(settingsWith("\"features\":" + std::string(refused)).has_value()), "%s",
                  refused);
}
