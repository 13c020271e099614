#include "bench/eventqueue.h"

#include <tuple>

namespace lavenderhall::bench {

bool EventQueue::Event::operator<(const Event &other) const
{
    return std::tie(this->when, this->sequence) > std::tie(other.when, other.sequence);
}

void EventQueue::schedule(MonoTime when, std::function<void()> run)
{
    this->events.push({when, ++this->lastSequence, std::move(run)});
}

// A copy, since the event may schedule others.
void EventQueue::runNext()
{
    const Event event = this->events.top();
    this->events.pop();
    this->time = event.when;
    event.run();
}

} // namespace lavenderhall::bench
