#include "store/objectwatcher.h"

#include "base/log.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// A watch that has fallen silent is noticed after this time at the latest; other instances tell
// of what it misses sooner.
constexpr Millis WatchWait{3000};
constexpr Millis AnswerMargin{600};
constexpr Millis WatchPace{250};
constexpr Millis FirstRetry{80};
constexpr int MaxRetryDoublings = 3;

} // namespace

ObjectWatcher::ObjectWatcher(http::Loop &loop, ObjectClient &client, std::string kind, ObjectWatchHandlers handlers,
                   std::uint64_t seed)
    : loop(loop)
    , client(client)
    , kind(std::move(kind))
    , handlers(std::move(handlers))
    , random(seed)
{ }

Millis ObjectWatcher::age() const
{
    return std::chrono::duration_cast<Millis>(monoNow() - this->lastKnown);
}

void ObjectWatcher::start(bool mayHaveBeenAway)
{
    if (this->active)
        return;
    this->active = true;
    this->wasAway = mayHaveBeenAway;
    this->hasList = false;
    this->failures = 0;
    this->list({});
}

bool ObjectWatcher::isCurrent() const
{
    return this->active && this->hasList && this->failures == 0
        && monoNow() - this->askedAt < WatchWait + AnswerMargin;
}

void ObjectWatcher::stop()
{
    this->active = false;
    this->timer.cancel();
    *this->alive = false;
    this->alive = std::make_shared<bool>(true);
}

void ObjectWatcher::list(const std::string &after)
{
    if (after.empty())
        this->pending.clear();
    this->askedAt = monoNow();
    this->client.list(this->kind, after, [this, held = this->alive](const ObjectPage &page) {
        if (*held)
            this->onPage(page);
    });
}

// Objects that change while further pages are read come again as events, since the watch goes
// on from the revision of the first page.
void ObjectWatcher::onPage(const ObjectPage &page)
{
    if (page.status != StoreStatus::Ok)
        return this->onFailure("list", page.status);
    if (this->pending.empty())
        this->pendingRevision = page.revision;
    this->pending.insert(this->pending.end(), page.objects.begin(), page.objects.end());
    if (page.hasMore && !page.objects.empty())
        return this->list(page.objects.back().name);
    if (this->failures > 0)
        logEvent(LogLevel::Info, "store_back", {{"kind", this->kind}, {"revision", page.revision}});
    this->failures = 0;
    this->hasList = true;
    this->lastKnown = this->askedAt;
    if (this->pendingRevision >= this->revision) {
        this->revision = this->pendingRevision;
        this->handlers.onListed(this->pending, this->revision, this->wasAway);
    }
    this->wasAway = false;
    this->pending.clear();
    this->watch();
}

void ObjectWatcher::watch()
{
    this->askedAt = monoNow();
    this->client.watch(this->kind, this->revision, WatchWait,
                       [this, held = this->alive](const ObjectChanges &changes) {
                           if (*held)
                               this->onChanges(changes);
                       });
}

void ObjectWatcher::onChanges(const ObjectChanges &changes)
{
    // History that is gone says nothing about the store's health.
    if (changes.status == StoreStatus::Compacted) {
        logEvent(LogLevel::Info, "watch_restarted", {{"kind", this->kind}});
        return this->list({});
    }
    if (changes.status != StoreStatus::Ok)
        return this->onFailure("watch", changes.status);
    this->lastKnown = this->askedAt;
    this->revision = std::max(this->revision, changes.revision);
    if (!changes.events.empty())
        this->handlers.onEvents(changes.events);
    // Changes that come in quick succession are taken together, to spare the store calls.
    const Millis left = WatchPace - std::chrono::duration_cast<Millis>(monoNow() - this->askedAt);
    if (left <= Millis(0))
        return this->watch();
    this->timer = this->loop.after(left, [this] { this->watch(); });
}

// Jitter keeps a herd of instances from coming back to the store at the same moment.
void ObjectWatcher::onFailure(const char *step, StoreStatus status)
{
    if (this->failures == 0)
        logEvent(LogLevel::Warning, "store_lost",
                 {{"kind", this->kind}, {"step", step}, {"status", toString(status)}});
    this->wasAway = true;
    const int doublings = std::min(this->failures++, MaxRetryDoublings);
    const Millis span = FirstRetry * (1 << doublings);
    const Millis delay = span / 2 + Millis(this->random(static_cast<unsigned>(span.count())));
    this->timer = this->loop.after(delay, [this] { this->list({}); });
}

} // namespace lavenderhall
