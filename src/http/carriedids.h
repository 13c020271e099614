#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

/// Which requests a connection has carried, by their ids.
namespace lavenderhall::http {

/// Remembers the ids of a connection's requests. It never forgets one, so it holds a limited number
/// of them.
class CarriedIds
{
public:
    /// Returns whether \a id has been added. With a probability of about one in ten million it also
    /// does so for an id that has not.
    bool contains(std::string_view id) const;
    /// Remembers \a id unless it is empty.
    void add(std::string_view id);
    /// Returns whether no further id can be remembered.
    bool isFull() const { return this->hashes.size() >= MaxIds; }

private:
    static constexpr std::size_t MaxIds = 512; ///< 2 KB of memory

    std::vector<std::uint32_t> hashes;
};

} // namespace lavenderhall::http
