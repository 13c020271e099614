#include "limits/allowance.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr TokenLimits Limits{10'000, 20'000};
constexpr double Overage = 0.1;
constexpr double Slack = 140'000;
constexpr Millis Window{8000};

AllowanceSettings settingsOf(std::size_t instances)
{
    AllowanceSettings settings;
    settings.overage = Overage;
    settings.slack = Slack;
    settings.window = Window;
    settings.instances = instances;
    return settings;
}

struct Grant
{
    MonoTime at{};
    double tokens = 0;
};

} // namespace

// Guards against instances that together grant more than the tolerated excess, by granting at the
// same time or by restarting with a full bucket. All instances grant as much as they can and
// restart at random; each window is checked.
Test(allowance, grants_of_all_instances_and_the_account_stay_within_the_tolerated_excess)
{
    constexpr std::size_t Instances = 8;
    constexpr double WindowSeconds = 8;
    const double tolerated = (Limits.perSecond * WindowSeconds + Limits.burst) * 1.1 + Slack;
    const TokenLimits account = accountLimits(Limits, settingsOf(Instances));
    cr_assert(account.perSecond > Limits.perSecond);
    cr_assert(account.burst > Limits.burst);
    const double available = tolerated - account.perSecond * WindowSeconds - account.burst
        - restartTokens(Limits, settingsOf(Instances));
    cr_assert(available > 0);
    for (unsigned seed = 1; seed <= 20; ++seed) {
        pcg32 random(seed);
        std::vector<Allowance> instances(Instances, Allowance(Start, settingsOf(Instances)));
        std::vector<Grant> grants;
        for (MonoTime now = Start; now < Start + Millis(40'000); now += Millis(20)) {
            Allowance &instance = instances.at(random(Instances));
            if (random(400) == 0)
                instance = Allowance(now, settingsOf(Instances));
            const double tokens = 100 + random(3000);
            if (instance.tryConsume("mill", Limits, tokens, now))
                grants.push_back({now, tokens});
        }
        cr_assert(not(grants.empty()));
        for (MonoTime from = Start; from < Start + Millis(32'000); from += Millis(100)) {
            double sum = 0;
            for (const Grant &grant : grants) {
                if (grant.at >= from && grant.at < from + Window)
                    sum += grant.tokens;
            }
            cr_assert(sum <= available, "seed %u: %f of %f", seed, sum, available);
        }
    }
}

Test(allowance, starts_empty_and_keeps_organisations_apart)
{
    Allowance allowance(Start, settingsOf(1));
    cr_assert(not(allowance.tryConsume("mill", Limits, 1000, Start)));
    cr_assert(allowance.tryConsume("mill", Limits, 1000, Start + Millis(8000)));
    cr_assert(allowance.tryConsume("rival", Limits, 20'000, Start + Millis(8000)));
    cr_assert(not(allowance.tryConsume("rival", Limits, 20'000, Start + Millis(8000))));
}
