#include "store/pagedlist.h"

namespace lavenderhall {

// Where the next page begins must not depend on whether an object can be read. A page may have no
// name at all, and a store that misreads a name may send a page again: the list could then be read
// without end, or without the objects behind.
ListStep PagedList::add(const ObjectPage &page)
{
    if (page.status != StoreStatus::Ok)
        return ListStep::Failed;
    if (this->pages++ == 0)
        this->firstRevision = page.revision;
    this->found.insert(this->found.end(), page.objects.begin(), page.objects.end());
    if (!page.hasMore)
        return ListStep::Complete;
    if (page.lastName.empty() || !this->beginnings.insert(page.lastName).second)
        return ListStep::Incomplete;
    this->nextAfter = page.lastName;
    return ListStep::NextPage;
}

} // namespace lavenderhall
