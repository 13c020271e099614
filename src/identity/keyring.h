#pragma once

#include "config/document.h"

#include <string>
#include <string_view>
#include <unordered_map>

/// Callers' API keys: issue and look-up. Only their digests are stored.
namespace lavenderhall {

/// A newly issued key. The secret is shown to the operator once and is not stored.
struct IssuedKey
{
    std::string secret;
    KeyRecord record; ///< for the configuration
};

/// Generates a key for \a organisation with the system's random generator.
IssuedKey issueKey(const std::string &organisation);

/// Organisation that a key belongs to, and the key's id.
struct KeyOwner
{
    std::string organisation;
    std::string keyId;

    bool operator==(const KeyOwner &) const = default;
};

/// Index of the keys of one configuration, by digest and by id.
class Keyring
{
public:
    Keyring() = default;
    explicit Keyring(const Document &document);

    /// Returns the owner of the key with the secret \a secret, or nullptr if the configuration has
    /// no such key: it is unknown or has been withdrawn.
    const KeyOwner *find(std::string_view secret) const;
    /// Returns whether the configuration has the key with the id \a keyId.
    bool containsId(std::string_view keyId) const;
    /// Returns the number of keys.
    std::size_t size() const { return this->ownerByDigest.size(); }

private:
    std::unordered_map<std::string, KeyOwner> ownerByDigest;
    std::unordered_map<std::string, std::string> digestById;
};

/// Returns the secret in the value of an "Authorization" header with the scheme "Bearer", or "" if
/// the header has another form.
std::string_view bearerSecret(std::string_view authorization);

} // namespace lavenderhall
