#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Which requests may use the same cached parts of prompts in the forward dialect.
namespace lavenderhall {

/// The requests that share cached parts: those of one isolated organisation, or of all others, for
/// one model. Engines find cached parts under the same salt only, and the salts of two scopes
/// differ whatever the names of organisations and models are.
class CacheScope
{
public:
    CacheScope() = default;
    /// The requests of \a organisation alone.
    static CacheScope isolated(std::string_view organisation, std::string_view model);
    /// The requests of all organisations that are not isolated, and of callers without one.
    /// \a isolatedDigest tells which organisations are isolated, see RoutingTable.
    static CacheScope shared(std::string_view isolatedDigest, std::string_view model);

    /// Returns the salt for attempts at engines with the version \a weights.
    std::string saltFor(std::int64_t weights) const;
    /// Returns a new salt for an attempt at an engine whose weights are not known, which shares
    /// cached parts with no other attempt.
    static std::string uniqueSalt();
    /// Returns the hash that the chains of the scope's prompts start from, which decides about
    /// their homes. It is no key: two scopes may have the same one.
    std::uint64_t homeSeed() const { return this->seed; }

    auto operator<=>(const CacheScope &) const = default;

private:
    CacheScope(std::string key, std::uint64_t seed)
        : key(std::move(key))
        , seed(seed)
    { }

    std::string key; ///< tells the scope from all others
    std::uint64_t seed = 0;
};

} // namespace lavenderhall
