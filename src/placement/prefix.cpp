#include "placement/prefix.h"

#include "base/digest.h"

namespace lavenderhall {

namespace {

constexpr std::size_t SaltDigits = 32;

// Hashes the length first, so that two different lists of texts never yield the same bytes.
std::uint64_t chainText(std::uint64_t seed, std::string_view text)
{
    return hash64(text, hashCombine(seed, text.size()));
}

} // namespace

std::string cacheSaltOf(std::string_view organisation)
{
    return sha256Hex("lavenderhall cache salt " + std::string(organisation)).substr(0, SaltDigits);
}

std::vector<BlockHash> hashBlocks(const PrefixScope &scope, std::string_view text,
                                  std::size_t blockBytes)
{
    std::uint64_t chain = chainText(0, scope.cacheSalt);
    chain = chainText(chain, scope.model);
    chain = chainText(chain, scope.adapter);
    chain = chainText(chain, scope.version);
    std::vector<BlockHash> hashes;
    hashes.reserve(text.size() / blockBytes);
    for (std::size_t offset = 0; offset + blockBytes <= text.size(); offset += blockBytes) {
        chain = chainText(chain, text.substr(offset, blockBytes));
        hashes.push_back(chain);
    }
    return hashes;
}

std::string promptTextOf(const Json &body)
{
    if (!body.is_object())
        return {};
    const auto prompt = body.find("prompt");
    if (prompt != body.end())
        return prompt->is_string() ? prompt->get<std::string>() : prompt->dump();
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array())
        return {};
    std::string text;
    for (const Json &message : *messages)
        text += writeJson(message) + "\n";
    return text;
}

} // namespace lavenderhall
