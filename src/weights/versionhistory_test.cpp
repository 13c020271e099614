#include "weights/versionhistory.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr Millis AllowedTime{10'000};

/// Tells all that \a teller knows.
void tell(WeightsVersionHistory &receiver, const WeightsVersionHistory &teller)
{
    for (const NamedVersion &named : teller.namedAtKnownTimes())
        receiver.onTold(named);
}

/// Returns what is told of a version that was named right after \a previous.
NamedVersion told(std::int64_t version, MonoTime namedAt, std::int64_t previous)
{
    return {version, namedAt, false, previous, {}};
}

} // namespace

Test(weightsversionhistory, each_old_version_has_its_own_limit)
{
    WeightsVersionHistory history;
    history.onNamed(2, Start);
    history.onNamed(5, Start + Millis(1000));
    const OldWeightsLimits limits = history.limits(AllowedTime);
    cr_assert(limits.limitOf(1) == Start + Millis(10'000));
    cr_assert(limits.limitOf(2) == Start + Millis(11'000));
    cr_assert(limits.limitOf(4) == Start + Millis(11'000));
    cr_assert(not(limits.limitOf(5).has_value()));
}

// An instance that has just started assumes a time, until another one tells the true one. What was
// learnt late from the store is corrected too.
Test(weightsversionhistory, a_known_time_replaces_an_assumed_or_a_later_one)
{
    WeightsVersionHistory history;
    history.onNamed(5, Start, Millis(6000), true);
    cr_assert(history.namedAtKnownTimes().empty());
    cr_assert(history.isIncomplete());
    cr_assert(history.onTold(told(5, Start - Millis(2000), 3)));
    cr_assert(not(history.onTold(told(5, Start - Millis(1000), 3))));
    cr_assert(history.onTold(told(3, Start - Millis(5000), 2)));
    cr_assert(not(history.onTold(told(6, Start, 5))));
    cr_assert(not(history.isIncomplete()));
    cr_assert(history.newest() == 5);
    const OldWeightsLimits limits = history.limits(AllowedTime);
    cr_assert(limits.limitOf(1) == Start + Millis(4000));
    cr_assert(limits.limitOf(2) == Start + Millis(5000));
    cr_assert(limits.limitOf(4) == Start + Millis(8000));
    cr_assert(history.onTold(told(5, Start - Millis(3000), 3)));
    cr_assert(history.limits(AllowedTime).limitOf(4) == Start + Millis(7000));
    cr_assert(history.namedAtKnownTimes().size() == 2U);
}

// Guards against requests that begin on a version for long after it was replaced, as the names that
// a restarted instance has missed bound nothing once it is told when the newest one was named
// (review/10).
Test(weightsversionhistory, the_time_of_the_newest_version_moves_no_limit_of_missed_ones)
{
    WeightsVersionHistory restarted;
    restarted.onNamed(6, Start, Millis(6000), true);
    WeightsVersionHistory teller = restarted;
    cr_assert(teller.onTold({6, Start - Millis(200), false, std::nullopt, {}}));
    tell(restarted, teller);
    cr_assert(restarted.isIncomplete());
    cr_assert(restarted.limits(AllowedTime).limitOf(2) == Start + Millis(4000));
    cr_assert(restarted.limits(AllowedTime).limitOf(5) == Start + Millis(4000));
    // Only the names between settle it.
    cr_assert(restarted.onTold(told(6, Start - Millis(200), 5)));
    cr_assert(restarted.limits(AllowedTime).limitOf(5) == Start + Millis(9800));
    cr_assert(restarted.limits(AllowedTime).limitOf(4) == Start + Millis(4000));
    cr_assert(restarted.onTold(told(5, Start - Millis(3000), 2)));
    cr_assert(restarted.limits(AllowedTime).limitOf(2) == Start + Millis(7000));
    cr_assert(restarted.limits(AllowedTime).limitOf(1) == Start + Millis(4000));
}

// An instance that has just started learns the times of all versions, also of those whose time is
// over: a time of the newest alone would allow the oldest for as long as the others.
Test(weightsversionhistory, told_times_keep_each_old_version_at_its_own_limit)
{
    WeightsVersionHistory teller;
    teller.onNamed(1, Start);
    teller.onNamed(2, Start + Millis(2000));
    teller.onNamed(3, Start + Millis(10'000));
    const MonoTime restartedAt = Start + Millis(19'000);
    WeightsVersionHistory restarted;
    restarted.onNamed(3, restartedAt, Millis(11'000), true);
    tell(restarted, teller);
    cr_assert(restarted.limits(AllowedTime) == teller.limits(AllowedTime));
    cr_assert(restarted.oldestAllowed(restartedAt, Millis(15'000)) == 2);
}

// The instance that tells lists 2 and 5, as it has not seen 3 and 4 either.
Test(weightsversionhistory, names_that_were_missed_before_a_found_one_bound_older_versions)
{
    WeightsVersionHistory history;
    history.onNamed(2, Start);
    history.onNamedAfterGap(5, Start + Millis(5000));
    cr_assert(history.limits(AllowedTime).limitOf(2) == Start + Millis(14'000));
    cr_assert(history.limits(AllowedTime).limitOf(1) == Start + Millis(10'000));
    // The own watch reports late what came between.
    cr_assert(history.onWatched(4, 2, Start + Millis(5100)));
    cr_assert(history.onWatched(5, 4, Start + Millis(5100)));
    cr_assert(history.limits(AllowedTime).limitOf(2) == Start + Millis(15'000));
    cr_assert(history.limits(AllowedTime).limitOf(4) == Start + Millis(15'000));
    cr_assert(not(history.isIncomplete()));
}

// Guards against versions that get more time because their names are no longer kept.
Test(weightsversionhistory, versions_older_than_all_that_are_kept_are_too_old)
{
    constexpr int Names = 200;
    WeightsVersionHistory history;
    for (int number = 1; number <= Names; ++number)
        history.onNamed(number, Start + Millis(number));
    const MonoTime now = Start + Millis(Names);
    cr_assert(history.namedAtKnownTimes().size() == 64U);
    cr_assert(history.limits(AllowedTime).limitOf(100).value() < now);
    cr_assert(history.oldestAllowed(now, AllowedTime) == Names - 64);
    cr_assert(history.limits(AllowedTime).limitOf(Names - 64).value() > now);
}
