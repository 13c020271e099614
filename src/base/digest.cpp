#include "base/digest.h"

#include <array>
#include <cstdio>
#include <sodium.h>
#include <vector>
#include <xxhash.h>

namespace lavenderhall {

namespace {

std::string toHex(const unsigned char *data, std::size_t size)
{
    std::string text(2 * size + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), data, size);
    text.pop_back();
    return text;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(data.data()),
                       data.size());
    return toHex(digest.data(), digest.size());
}

std::string blake2bHex(std::string_view data)
{
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(data.data()), data.size(), nullptr,
                       0);
    return toHex(digest.data(), digest.size());
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t hashCombine(std::uint64_t seed, std::uint64_t value)
{
    return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    randombytes_buf(buffer.data(), buffer.size());
    return toHex(buffer.data(), buffer.size());
}

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

std::string hex64(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace lavenderhall
