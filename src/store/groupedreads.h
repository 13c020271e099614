#pragma once

#include "store/objects.h"
#include "store/pagedlist.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Reads of single objects of one kind, combined into few calls to the store.
namespace lavenderhall {

/// Answers reads that are requested in the same turn of the event loop from one list of the kind.
/// A process that starts reads the records of all seats of its region; each call to the store has
/// its price, and all instances of a fleet may start at once. \a Client is an ObjectClient.
template <typename Client> class GroupedReads
{
public:
    /// Runs its argument after the current turn of the event loop.
    using Post = std::function<void(std::function<void()>)>;

    GroupedReads(Client &client, std::string kind, Post post)
        : client(client)
        , kind(std::move(kind))
        , post(std::move(post))
    { }
    ~GroupedReads() { *this->alive = false; }
    GroupedReads(const GroupedReads &) = delete;
    GroupedReads &operator=(const GroupedReads &) = delete;

    /// Reads the object \a name; \a handler is called once, unless this object is destroyed before.
    void read(const std::string &name, ObjectClient::ReplyHandler handler)
    {
        this->requested.push_back({name, std::move(handler)});
        if (this->requested.size() > 1)
            return;
        this->post([this, isAlive = this->alive] {
            if (*isAlive)
                this->send();
        });
    }

private:
    // A list contains the records of all regions, so fewer objects are read one by one.
    static constexpr std::size_t MinReadsPerList = 3;

    struct Read
    {
        std::string name;
        ObjectClient::ReplyHandler handler;
    };

    /// Reads that wait for the pages of one list.
    struct Group
    {
        std::vector<Read> reads;
        PagedList pages;
    };

    void send()
    {
        auto group = std::make_shared<Group>();
        group->reads = std::exchange(this->requested, {});
        if (group->reads.size() >= MinReadsPerList)
            return this->list(group);
        this->readOneByOne(*group);
    }

    void readOneByOne(const Group &group)
    {
        for (const Read &read : group.reads)
            this->client.read(this->kind, read.name, read.handler);
    }

    void list(const std::shared_ptr<Group> &group)
    {
        const auto onPage = [this, isAlive = this->alive, group](const ObjectPage &page) {
            if (*isAlive)
                this->onPage(group, page);
        };
        this->client.list(this->kind, group->pages.after(), onPage);
    }

    // An object that an incomplete list lacks may exist.
    void onPage(const std::shared_ptr<Group> &group, const ObjectPage &page)
    {
        const ListStep step = group->pages.add(page);
        if (step == ListStep::NextPage)
            return this->list(group);
        if (step == ListStep::Incomplete)
            return this->readOneByOne(*group);
        for (const Read &read : group->reads)
            read.handler(replyFor(read.name, *group, page));
    }

    /// Returns what a read of \a name would have been answered; \a last is the last page.
    static ObjectReply replyFor(const std::string &name, const Group &group, const ObjectPage &last)
    {
        ObjectReply reply;
        reply.status = last.status;
        reply.era = eraOf(last.revision);
        if (last.status != StoreStatus::Ok)
            return reply;
        const std::vector<StoredObject> &objects = group.pages.objects();
        const auto found
            = std::find_if(objects.begin(), objects.end(),
                           [&](const StoredObject &object) { return object.name == name; });
        if (found == objects.end())
            reply.status = StoreStatus::NotFound;
        else
            reply.object = *found;
        return reply;
    }

    Client &client;
    const std::string kind;
    const Post post;
    std::vector<Read> requested; ///< in this turn of the event loop
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
