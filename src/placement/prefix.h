#pragma once

#include "base/json.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Identifies prompt prefixes by a chain of block hashes. The chain starts from the organisation
/// and the weights, so that prompts of another organisation or weights version never match.
namespace lavenderhall {

using BlockHash = std::uint64_t;

/// What the hash of a block depends on besides the prompt's text.
struct PrefixScope
{
    std::string cacheSalt; ///< differs for each organisation
    std::string model;
    std::string adapter; ///< with its version, "" for none
    std::string version; ///< of the weights

    auto operator<=>(const PrefixScope &) const = default;
};

/// Returns the salt that keeps \a organisation's cached blocks apart from all others'.
std::string cacheSaltOf(std::string_view organisation);

/// Returns one hash for each complete block of \a blockBytes bytes. Each hash also covers all text
/// before the block.
std::vector<BlockHash> hashBlocks(const PrefixScope &scope, std::string_view text,
                                  std::size_t blockBytes);

/// Returns the prompt of an OpenAI request \a body in the form that is hashed: the prompt text or
/// the serialised messages. Returns "" if the body has neither.
std::string promptTextOf(const Json &body);

} // namespace lavenderhall
