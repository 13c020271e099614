#include "base/logbudget.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

bool LogBudget::take(MonoTime now)
{
    const double elapsed = std::chrono::duration<double>(now - this->filledAt).count();
    this->level = std::min(this->burstLines, this->level + elapsed * this->linesPerSecond);
    this->filledAt = now;
    if (this->level < 1) {
        ++this->lost;
        return false;
    }
    this->level -= 1;
    return true;
}

std::uint64_t LogBudget::takeLost()
{
    return std::exchange(this->lost, 0);
}

} // namespace lavenderhall
