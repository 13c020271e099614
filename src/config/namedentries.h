#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

/// Lists of entries that are sorted by their names.
namespace lavenderhall {

/// Sorts \a entries by their names.
template <typename Entry> void sortByName(std::vector<Entry> &entries)
{
    std::sort(entries.begin(), entries.end(),
              [](const Entry &left, const Entry &right) { return left.name < right.name; });
}

/// Returns the entry named \a name of a sorted list, nullptr if there is none.
template <typename Entry>
const Entry *findByName(const std::vector<Entry> &entries, std::string_view name)
{
    const auto found = std::lower_bound(
        entries.begin(), entries.end(), name,
        [](const Entry &entry, std::string_view wanted) { return entry.name < wanted; });
    if (found == entries.end() || found->name != name)
        return nullptr;
    return &*found;
}

} // namespace lavenderhall
