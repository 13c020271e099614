#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <queue>

/// The simulated clock of a replay, and what is to happen on it.
namespace lavenderhall::bench {

/// Runs events in the order of their times; those of the same time in the order of scheduling.
class EventQueue
{
public:
    /// The clock starts at \a start.
    explicit EventQueue(MonoTime start)
        : time(start)
    { }

    MonoTime now() const { return this->time; }
    bool isEmpty() const { return this->events.empty(); }
    void schedule(MonoTime when, std::function<void()> run);
    /// Sets the clock to the time of the next event and runs it.
    void runNext();

private:
    struct Event
    {
        MonoTime when;
        std::uint64_t sequence; ///< keeps events of the same time in the order of scheduling
        std::function<void()> run;
        /// Reversed, as std::priority_queue has the greatest element on top.
        bool operator<(const Event &other) const;
    };

    MonoTime time;
    std::priority_queue<Event> events;
    std::uint64_t lastSequence = 0; ///< of the last scheduled event
};

} // namespace lavenderhall::bench
