#include "http/memorybudget.h"

#include "base/log.h"

#include <algorithm>

namespace lavenderhall::http {

namespace {

constexpr double DisconnectLinesPerSecond = 1;
constexpr double DisconnectLinesBurst = 3;

} // namespace

const char *toString(MemoryKind kind)
{
    switch (kind) {
    case MemoryKind::Heads:
        return "heads";
    case MemoryKind::Bodies:
        return "bodies";
    case MemoryKind::Answers:
        return "answers";
    case MemoryKind::Backlogs:
        return "backlogs";
    }
    return "bodies";
}

// Large answers may take three quarters, as fewer of them would fit otherwise and each of them has
// run already.
MemoryBudget::MemoryBudget(std::size_t bodyBytes)
    : disconnectLines(DisconnectLinesPerSecond, DisconnectLinesBurst)
{
    for (Account &one : this->accounts)
        one.budget = this;
    this->account(MemoryKind::Bodies).limit = bodyBytes;
    this->account(MemoryKind::Answers).largeDivisor = 4;
}

bool MemoryBudget::Account::hasRoom(std::size_t heldBytes, std::size_t bytes) const
{
    const bool isLarge = bytes > this->limit / LargeDivisor;
    const std::size_t available = this->limit - (isLarge ? this->limit / this->largeDivisor : 0);
    const std::size_t others = this->used - heldBytes;
    const std::size_t allOthers = this->budget->totalUsed - heldBytes;
    const std::size_t total = this->budget->totalLimit;
    return others <= available && bytes <= available - others && allOthers <= total
        && bytes <= total - allOthers;
}

void MemoryBudget::Account::change(std::size_t heldBytes, std::size_t bytes)
{
    this->used += bytes - heldBytes;
    this->budget->totalUsed += bytes - heldBytes;
}

void MemoryBudget::addReader(const void *reader, std::function<std::size_t()> unsent,
                             std::function<void()> disconnect)
{
    if (this->readers.contains(reader))
        return;
    const std::size_t bytes = unsent();
    this->readers[reader] = {monoNow(), bytes, std::move(unsent), std::move(disconnect)};
}

// A backlog may be a single large write, whose progress no event tells.
void MemoryBudget::updateProgress(MonoTime now)
{
    for (auto &[owner, reader] : this->readers) {
        const std::size_t bytes = reader.unsent();
        if (bytes < reader.lastUnsent)
            reader.lastProgress = now;
        reader.lastUnsent = bytes;
    }
}

bool MemoryBudget::disconnectSlowestReader(Millis minAge)
{
    const MonoTime now = monoNow();
    this->updateProgress(now);
    const auto slowest = std::min_element(
        this->readers.begin(), this->readers.end(), [](const auto &left, const auto &right) {
            return left.second.lastProgress < right.second.lastProgress;
        });
    if (slowest == this->readers.end())
        return false;
    if (now - slowest->second.lastProgress < minAge)
        return false;
    const auto disconnect = std::move(slowest->second.disconnect);
    this->readers.erase(slowest);
    ++this->disconnectCount;
    if (this->disconnectLines.tryAcquire(now))
        logEvent(LogLevel::Warning, "slow_reader_disconnected",
                 {{"backlog_bytes", this->usedBytes(MemoryKind::Backlogs)},
                  {"answer_bytes", this->usedBytes(MemoryKind::Answers)},
                  {"all_bytes", this->totalUsed},
                  {"disconnected", this->disconnectCount},
                  {"lines_left_out", this->disconnectLines.takeDroppedCount()}});
    disconnect();
    return true;
}

} // namespace lavenderhall::http
