#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

/// Bound on the bytes that a process holds of its callers' requests.
namespace lavenderhall::http {

/// Counts the bytes of all shares. Large shares take at most half of the budget, so that a few of
/// them cannot keep out the many small ones.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t limitBytes = SIZE_MAX)
        : limit(limitBytes)
    { }

    void setLimit(std::size_t bytes) { this->limit = bytes; }
    std::size_t limitBytes() const { return this->limit; }
    std::size_t usedBytes() const { return this->used; }

    /// Returns whether a share of \a heldBytes may grow to \a bytes.
    bool hasRoom(std::size_t heldBytes, std::size_t bytes) const
    {
        const bool isLarge = bytes > this->limit / LargeDivisor;
        const std::size_t available = isLarge ? this->limit / 2 : this->limit;
        const std::size_t others = this->used - heldBytes;
        return others <= available && bytes <= available - others;
    }

private:
    friend class MemoryShare;

    /// A share is large if it is over this part of the budget.
    static constexpr std::size_t LargeDivisor = 16;

    std::size_t limit = 0;
    std::size_t used = 0;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/// Bytes that belong to one owner, returned to the budget when the share is destroyed. Without a
/// budget, it has no limit.
class MemoryShare
{
public:
    MemoryShare() = default;
    explicit MemoryShare(MemoryBudgetPtr budget)
        : budget(std::move(budget))
    { }
    MemoryShare(MemoryShare &&other) noexcept
        : budget(std::move(other.budget))
        , held(std::exchange(other.held, 0))
    { }
    MemoryShare &operator=(MemoryShare &&other) noexcept
    {
        this->release();
        this->budget = std::move(other.budget);
        this->held = std::exchange(other.held, 0);
        return *this;
    }
    ~MemoryShare() { this->release(); }

    /// Returns whether the share may grow to \a bytes.
    bool hasRoom(std::size_t bytes) const
    {
        return !this->budget || this->budget->hasRoom(this->held, bytes);
    }

    /// Grows the share to \a bytes. Returns false, and changes nothing, if there is no room.
    bool grow(std::size_t bytes)
    {
        if (!this->hasRoom(bytes))
            return false;
        if (this->budget)
            this->budget->used += bytes - this->held;
        this->held = bytes;
        return true;
    }

    std::size_t heldBytes() const { return this->held; }

    void release()
    {
        if (this->budget)
            this->budget->used -= this->held;
        this->held = 0;
    }

private:
    MemoryBudgetPtr budget;
    std::size_t held = 0;
};

} // namespace lavenderhall::http
