#pragma once

#include "base/json.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// Reads lists that contain entries of several writers, of which some may not be readable.
namespace lavenderhall {

/// Where the entries of a list are in a JSON object.
struct JsonListShape
{
    std::string_view list; ///< name of the field with the list
    std::string_view member; ///< name of an object that each entry has
    std::string_view id{}; ///< name of a text in that object that identifies the entry, if any
};

/// A JSON object with a list, read as far as possible.
struct JsonList
{
    Json rest; ///< the object with an empty list; a discarded value if it cannot be read
    std::vector<Json> entries; ///< those that can be read, in their order
    std::size_t unreadable = 0; ///< number of the other entries, as far as they can be counted
    std::string firstUnreadable; ///< the beginning of the first of them, as UTF-8
    /// Id of the last entry whose id can be read, as the bytes that it has there, whether or not
    /// the rest of that entry can be read; "" if there is none.
    std::string lastId;
};

/// Reads the object \a text of another process. An entry that cannot be read, because it has bytes
/// that are not UTF-8, numbers out of range or damaged syntax, costs no other entry. Never throws.
JsonList readJsonList(std::string_view text, const JsonListShape &shape);

} // namespace lavenderhall
