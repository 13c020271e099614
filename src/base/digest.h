#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Hashes and random numbers: SHA-256 for keys and stored content, BLAKE2b for requests, XXH3 for
/// placement and signatures.
namespace lavenderhall {

/// Returns the SHA-256 of \a data as 64 lower-case hex digits.
std::string sha256Hex(std::string_view data);

/// Returns 128 bits of the BLAKE2b hash of \a data as 32 lower-case hex digits: a digest that no
/// caller can make equal to another's, and faster than SHA-256.
std::string blake2bHex(std::string_view data);

/// Returns the 64-bit XXH3 hash of \a data with \a seed, which may be the hash of preceding data.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns the 64-bit XXH3 hash of the bytes of \a value with \a seed, to hash several numbers one
/// after the other.
std::uint64_t hashCombine(std::uint64_t seed, std::uint64_t value);

/// Returns \a bytes random bytes as lower-case hex digits, from the system's random generator.
std::string randomHex(std::size_t bytes);

/// Returns 64 random bits from the system's random generator, to seed a deterministic one.
std::uint64_t randomSeed();

/// Returns \a value as 16 lower-case hex digits.
std::string hex64(std::uint64_t value);

} // namespace lavenderhall
