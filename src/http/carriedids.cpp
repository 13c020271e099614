#include "http/carriedids.h"

#include "base/digest.h"

#include <algorithm>

namespace lavenderhall::http {

namespace {

std::uint32_t hashOf(std::string_view id)
{
    return static_cast<std::uint32_t>(hash64(id));
}

} // namespace

bool CarriedIds::contains(std::string_view id) const
{
    return !id.empty()
        && std::find(this->hashes.begin(), this->hashes.end(), hashOf(id)) != this->hashes.end();
}

void CarriedIds::add(std::string_view id)
{
    if (!id.empty() && !this->isFull())
        this->hashes.push_back(hashOf(id));
}

} // namespace lavenderhall::http
