#pragma once

#include "store/objects.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

/// Reads of lists that the store answers in pages.
namespace lavenderhall {

/// What follows a page of a list.
enum class ListStep {
    NextPage, ///< there are more objects, after PagedList::after()
    Complete, ///< all objects of the list have been read
    Failed, ///< the call for the page failed
    Incomplete, ///< there are more objects, but no name that leads to them
};

/// Collects the pages of one list.
class PagedList
{
public:
    /// Adds the answer to the call for the objects after after().
    ListStep add(const ObjectPage &page);

    /// Returns the name after which the next page begins; "" for the first page.
    const std::string &after() const { return this->nextAfter; }
    /// Returns the objects of all pages so far.
    const std::vector<StoredObject> &objects() const { return this->found; }
    /// Returns the store revision of the first page; 0 without a page.
    std::int64_t revision() const { return this->firstRevision; }
    /// Returns the number of pages so far.
    std::size_t pageCount() const { return this->pages; }

private:
    std::vector<StoredObject> found;
    std::set<std::string> beginnings; ///< the names after which pages have begun
    std::string nextAfter;
    std::int64_t firstRevision = 0;
    std::size_t pages = 0;
};

} // namespace lavenderhall
