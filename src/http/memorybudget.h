#pragma once

#include "base/clock.h"
#include "base/logratelimiter.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

/// Bound on the bytes that a process holds of its callers' requests and of their answers.
namespace lavenderhall::http {

enum class MemoryKind {
    Heads, ///< of requests, and bytes that are not parsed yet
    Bodies, ///< of requests
    Answers, ///< that are collected before they are passed on
    Backlogs, ///< bytes that peers have not taken yet
};

inline constexpr std::size_t MemoryKindCount = 4;

/// Returns the name of \a kind in logs and metrics.
const char *toString(MemoryKind kind);

/// Counts the bytes of all shares. Each kind has a limit, and all together have one. Large shares
/// take a part of their kind's limit only, so that a few of them cannot keep out the many small
/// ones.
class MemoryBudget
{
public:
    /// Limits bodies only.
    explicit MemoryBudget(std::size_t bodyBytes = SIZE_MAX);
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    void setLimit(MemoryKind kind, std::size_t bytes) { this->account(kind).limit = bytes; }
    void setTotalLimit(std::size_t bytes) { this->totalLimit = bytes; }
    std::size_t limitBytes(MemoryKind kind = MemoryKind::Bodies) const
    {
        return this->account(kind).limit;
    }
    std::size_t usedBytes(MemoryKind kind = MemoryKind::Bodies) const
    {
        return this->account(kind).used;
    }
    std::size_t totalUsedBytes() const { return this->totalUsed; }
    /// Returns the number of slow readers whose connections were closed to make room.
    std::uint64_t disconnectedReaders() const { return this->disconnectCount; }
    /// Returns how often there was no room for a share of \a kind.
    std::uint64_t refusals(MemoryKind kind) const { return this->account(kind).refusals; }

    /// Adds the owner of a backlog, unless it is there already. \a unsent returns the bytes that
    /// are left of it, and \a disconnect closes the connection.
    void addReader(const void *reader, std::function<std::size_t()> unsent,
                   std::function<void()> disconnect);
    void removeReader(const void *reader) { this->readers.erase(reader); }
    /// Returns whether shares of \a kind, or all shares, hold more than their limit.
    bool isOver(MemoryKind kind) const
    {
        return this->usedBytes(kind) > this->limitBytes(kind) || this->totalUsed > this->totalLimit;
    }
    /// Closes the connection of the reader that has taken nothing for longest, but at least for \a
    /// minAge. Returns false if there is none.
    bool disconnectSlowestReader(Millis minAge);

private:
    friend class MemoryShare;

    /// What shares of one kind hold.
    struct Account
    {
        /// Returns whether a share of \a heldBytes may grow to \a bytes.
        bool hasRoom(std::size_t heldBytes, std::size_t bytes) const;
        void change(std::size_t heldBytes, std::size_t bytes);

        MemoryBudget *budget = nullptr;
        std::size_t limit = SIZE_MAX;
        std::size_t largeDivisor = 2; ///< large shares leave this part of the limit to others
        std::size_t used = 0;
        std::uint64_t refusals = 0;
    };

    struct Reader
    {
        MonoTime lastProgress;
        std::size_t lastUnsent = 0;
        std::function<std::size_t()> unsent;
        std::function<void()> disconnect;
    };

    /// A share is large if it is over this part of its kind's limit.
    static constexpr std::size_t LargeDivisor = 16;

    Account &account(MemoryKind kind) { return this->accounts[static_cast<std::size_t>(kind)]; }
    const Account &account(MemoryKind kind) const
    {
        return this->accounts[static_cast<std::size_t>(kind)];
    }
    /// Notes which readers have taken bytes since the last call.
    void updateProgress(MonoTime now);

    std::array<Account, MemoryKindCount> accounts;
    std::size_t totalLimit = SIZE_MAX;
    std::size_t totalUsed = 0;
    std::map<const void *, Reader> readers;
    std::uint64_t disconnectCount = 0;
    LogRateLimiter disconnectLines;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/// Bytes that belong to one owner, returned to the budget when the share is destroyed. Without a
/// budget, it has no limit.
class MemoryShare
{
public:
    MemoryShare() = default;
    explicit MemoryShare(const MemoryBudgetPtr &budget, MemoryKind kind = MemoryKind::Bodies)
    {
        if (budget)
            this->account = {budget, &budget->account(kind)};
    }
    MemoryShare(MemoryShare &&other) noexcept
        : account(std::move(other.account))
        , held(std::exchange(other.held, 0))
    { }
    MemoryShare &operator=(MemoryShare &&other) noexcept
    {
        if (this == &other)
            return *this;
        this->release();
        this->account = std::move(other.account);
        this->held = std::exchange(other.held, 0);
        return *this;
    }
    ~MemoryShare() { this->release(); }

    /// Returns whether the share may grow to \a bytes.
    bool hasRoom(std::size_t bytes) const
    {
        return !this->account || this->account->hasRoom(this->held, bytes);
    }

    /// Changes the share to \a bytes. Returns false, and changes nothing, if it would grow and
    /// there is no room.
    bool grow(std::size_t bytes)
    {
        if (bytes > this->held && !this->hasRoom(bytes)) {
            ++this->account->refusals;
            return false;
        }
        this->set(bytes);
        return true;
    }

    /// Changes the share to \a bytes that are held already, whether there is room or not.
    void set(std::size_t bytes)
    {
        if (this->account)
            this->account->change(this->held, bytes);
        this->held = bytes;
    }

    std::size_t heldBytes() const { return this->held; }
    void release() { this->set(0); }

private:
    std::shared_ptr<MemoryBudget::Account> account; ///< keeps the budget
    std::size_t held = 0;
};

} // namespace lavenderhall::http
