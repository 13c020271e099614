#include "limits/allowance.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr double Rate = 10'000;
constexpr double Burst = 20'000;

AllowanceSettings settingsOf(std::size_t instances)
{
    AllowanceSettings settings;
    settings.overage = 0.1;
    settings.slack = 140'000;
    settings.window = Millis(8000);
    settings.instances = instances;
    return settings;
}

struct Grant
{
    MonoTime at{};
    double tokens = 0;
};

} // namespace

// All instances ask as hard as they can, and restart at any moment: in no window do their grants
// exceed what may be granted beyond the rate.
Test(allowance, grants_of_all_instances_stay_within_what_is_beyond_the_rate)
{
    constexpr std::size_t Instances = 8;
    const double beyond = (Rate * 8 + Burst) * 0.1 + 140'000;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        pcg32 random(seed);
        std::vector<Allowance> instances(Instances, Allowance(Start, settingsOf(Instances)));
        std::vector<Grant> grants;
        for (MonoTime now = Start; now < Start + Millis(40'000); now += Millis(20)) {
            Allowance &instance = instances.at(random(Instances));
            if (random(400) == 0)
                instance = Allowance(now, settingsOf(Instances));
            const double tokens = 100 + random(3000);
            if (instance.take("mill", Rate, Burst, tokens, now))
                grants.push_back({now, tokens});
        }
        cr_assert(not(grants.empty()));
        for (MonoTime from = Start; from < Start + Millis(32'000); from += Millis(100)) {
            double sum = 0;
            for (const Grant &grant : grants) {
                if (grant.at >= from && grant.at < from + Millis(8000))
                    sum += grant.tokens;
            }
            cr_assert(sum <= beyond, "seed %u: %f of %f", seed, sum, beyond);
        }
    }
}

Test(allowance, starts_empty_and_keeps_organisations_apart)
{
    Allowance allowance(Start, settingsOf(1));
    cr_assert(not(allowance.take("mill", Rate, Burst, 1000, Start)));
    cr_assert(allowance.take("mill", Rate, Burst, 1000, Start + Millis(8000)));
    cr_assert(allowance.take("rival", Rate, Burst, 70'000, Start + Millis(8000)));
    cr_assert(not(allowance.take("rival", Rate, Burst, 70'000, Start + Millis(8000))));
}
