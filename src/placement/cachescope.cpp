#include "placement/cachescope.h"

#include "base/digest.h"
#include "base/joinfields.h"

namespace lavenderhall {

namespace {

constexpr std::size_t UniqueSaltBytes = 16;

// As builds without this type have it, so that an upgrade moves no prompt to another home. Two
// owners whose names give one text have the same homes, and no cached part in common.
std::uint64_t homeSeedOf(std::string_view owner, std::string_view model)
{
    return hash64(std::string(owner) + "/" + std::string(model));
}

} // namespace

CacheScope CacheScope::isolated(std::string_view organisation, std::string_view model)
{
    return {joinFields({"isolated", organisation, model}), homeSeedOf(organisation, model)};
}

// An organisation may have made parts before it became isolated, and engines keep them. So there is
// a new scope whenever other organisations are isolated, and what it holds was made by
// organisations that are not. All instances get the same scope from the configuration alone.
CacheScope CacheScope::shared(std::string_view isolatedDigest, std::string_view model)
{
    return {joinFields({"shared", isolatedDigest, model}), homeSeedOf("shared", model)};
}

// The salts are digests, as the names in them may have characters that a header can't carry.
std::string CacheScope::saltFor(std::int64_t weights) const
{
    return blake2bHex(joinFields({this->key, std::to_string(weights)}));
}

std::string CacheScope::uniqueSalt()
{
    return randomHex(UniqueSaltBytes);
}

} // namespace lavenderhall
