#include "store/objectwatcher.h"

#include "base/log.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// Bounds the time until a dead watch connection is noticed. Changes missed meanwhile arrive
// earlier from other instances.
constexpr Millis WatchWait{3000};
constexpr Millis OverdueMargin{600}; ///< beyond WatchWait, until a call counts as overdue
constexpr Millis MinWatchInterval{500}; ///< between the starts of two watch calls
constexpr Millis InitialRetryDelay{80};
constexpr int MaxRetryDoublings = 3;

} // namespace

ObjectWatcher::ObjectWatcher(http::Loop &loop, ObjectClient &client, std::string kind,
                             ObjectWatchHandlers handlers, std::uint64_t seed)
    : loop(loop)
    , client(client)
    , kind(std::move(kind))
    , handlers(std::move(handlers))
    , random(seed)
{ }

Millis ObjectWatcher::age() const
{
    return std::chrono::duration_cast<Millis>(monoNow() - this->lastConfirmedAt);
}

void ObjectWatcher::start(bool mayHaveBeenUnreachable)
{
    if (this->active)
        return;
    this->active = true;
    this->wasUnreachable = mayHaveBeenUnreachable;
    this->hasListed = false;
    this->consecutiveFailures = 0;
    this->startList();
}

bool ObjectWatcher::isCurrent() const
{
    return this->active && this->hasListed && this->consecutiveFailures == 0 && !this->isOverdue();
}

bool ObjectWatcher::hasLostStore() const
{
    return this->active && (this->consecutiveFailures > 0 || this->isOverdue());
}

bool ObjectWatcher::isOverdue() const
{
    return monoNow() - this->callStartedAt >= WatchWait + OverdueMargin;
}

void ObjectWatcher::stop()
{
    this->active = false;
    this->timer.cancel();
    *this->alive = false;
    this->alive = std::make_shared<bool>(true);
}

void ObjectWatcher::startList()
{
    this->pages = {};
    this->readPage();
}

void ObjectWatcher::readPage()
{
    this->callStartedAt = monoNow();
    this->client.list(this->kind, this->pages.after(),
                      [this, isAlive = this->alive](const ObjectPage &page) {
                          if (*isAlive)
                              this->onPage(page);
                      });
}

void ObjectWatcher::onPage(const ObjectPage &page)
{
    this->reportUnreadable(page.unreadable);
    switch (this->pages.add(page)) {
    case ListStep::NextPage:
        return this->readPage();
    case ListStep::Complete:
        return this->onCompleteList();
    case ListStep::Incomplete:
        this->onIncompleteList(page.status);
        return this->retryLater();
    case ListStep::Failed:
        this->onIncompleteList(page.status);
        return this->onFailure("list", page.status);
    }
}

// The watch continues from the revision of the first page, so objects that change while further
// pages are read are reported again as events.
void ObjectWatcher::onCompleteList()
{
    const std::int64_t listed = this->pages.revision();
    if (this->consecutiveFailures > 0)
        logEvent(LogLevel::Info, "store_back",
                 {{"kind", this->kind}, {"revision", counterOf(listed)}, {"era", eraOf(listed)}});
    this->consecutiveFailures = 0;
    this->hasListed = true;
    this->lastConfirmedAt = this->callStartedAt;
    if (listed >= this->revision) {
        const bool isNewEra = eraOf(listed) > eraOf(this->revision);
        this->wasUnreachable = this->wasUnreachable || (isNewEra && this->revision > 0);
        this->revision = listed;
        this->handlers.onListed(this->pages.objects(), this->revision, this->wasUnreachable);
    }
    this->wasUnreachable = false;
    this->pages = {};
    this->watch();
}

// What has been read counts, and nothing counts as gone. Otherwise one page that is never read
// would keep a process that has just started from all objects.
void ObjectWatcher::onIncompleteList(StoreStatus status)
{
    if (this->pages.pageCount() == 0)
        return;
    logEvent(LogLevel::Warning, "list_incomplete",
             {{"kind", this->kind},
              {"status", toString(status)},
              {"pages", this->pages.pageCount()},
              {"objects", this->pages.objects().size()},
              {"after", this->pages.after()}});
    if (this->pages.revision() >= this->revision && this->handlers.onIncompleteList)
        this->handlers.onIncompleteList(this->pages.objects());
}

void ObjectWatcher::watch()
{
    this->callStartedAt = monoNow();
    this->client.watch(this->kind, this->revision, WatchWait,
                       [this, isAlive = this->alive](const ObjectChanges &changes) {
                           if (*isAlive)
                               this->onChanges(changes);
                       });
}

void ObjectWatcher::onChanges(const ObjectChanges &changes)
{
    // In a new era, changes since the revision of the watch may have been lost or replaced, and
    // endpoints may not yet have written again what was lost.
    if (changes.era > eraOf(this->revision)) {
        logEvent(
            LogLevel::Warning, "store_came_back_older",
            {{"kind", this->kind}, {"era", changes.era}, {"known_era", eraOf(this->revision)}});
        this->wasUnreachable = true;
        return this->startList();
    }
    // A compacted history is no sign of an outage, so this does not count as a failure.
    if (changes.status == StoreStatus::Compacted) {
        logEvent(LogLevel::Info, "watch_restarted", {{"kind", this->kind}});
        return this->startList();
    }
    if (changes.status != StoreStatus::Ok)
        return this->onFailure("watch", changes.status);
    this->reportUnreadable(changes.unreadable);
    this->lastConfirmedAt = this->callStartedAt;
    this->revision = std::max(this->revision, changes.revision);
    if (!changes.events.empty())
        this->handlers.onEvents(changes.events);
    // Batches changes that follow each other quickly, to reduce the calls to the store.
    const Millis remaining
        = MinWatchInterval - std::chrono::duration_cast<Millis>(monoNow() - this->callStartedAt);
    if (remaining <= Millis(0))
        return this->watch();
    this->timer = this->loop.after(remaining, [this] { this->watch(); });
}

void ObjectWatcher::reportUnreadable(const UnreadableObjects &unreadable) const
{
    if (unreadable.count == 0)
        return;
    logEvent(LogLevel::Warning, "objects_unreadable",
             {{"kind", this->kind}, {"count", unreadable.count}, {"first", unreadable.first}});
    if (this->handlers.onUnreadable)
        this->handlers.onUnreadable(unreadable);
}

void ObjectWatcher::onFailure(const char *step, StoreStatus status)
{
    if (this->consecutiveFailures == 0)
        logEvent(LogLevel::Warning, "store_lost",
                 {{"kind", this->kind}, {"step", step}, {"status", toString(status)}});
    this->retryLater();
}

// Exponential backoff with jitter, so that the instances of a fleet do not retry all at once.
void ObjectWatcher::retryLater()
{
    this->wasUnreachable = true;
    const int doublings = std::min(this->consecutiveFailures++, MaxRetryDoublings);
    const Millis meanDelay = InitialRetryDelay * (1 << doublings);
    const Millis delay
        = meanDelay / 2 + Millis(this->random(static_cast<unsigned>(meanDelay.count())));
    this->timer = this->loop.after(delay, [this] { this->startList(); });
}

} // namespace lavenderhall
