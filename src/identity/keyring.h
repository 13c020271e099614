#pragma once

#include "config/document.h"

#include <string>
#include <string_view>
#include <unordered_map>

/// API keys of callers: issuing and look-up. Only digests of keys are stored.
namespace lavenderhall {

/// A newly issued key. The secret is shown once and never stored.
struct IssuedKey
{
    std::string secret;
    KeyRecord record; ///< to store in the configuration
};

/// Creates a key for \a organisation with the random generator of the system.
IssuedKey issueKey(const std::string &organisation);

/// The organisation that a key belongs to, and the id of the key.
struct KeyOwner
{
    std::string organisation;
    std::string keyId;

    bool operator==(const KeyOwner &) const = default;
};

/// Index of the keys of one configuration.
class Keyring
{
public:
    Keyring() = default;
    explicit Keyring(const Document &document);

    /// Returns the owner of the key with the text \a secret, or nullptr if the key is unknown or
    /// withdrawn.
    const KeyOwner *find(std::string_view secret) const;
    /// Returns whether the key with the id \a keyId is still valid.
    bool isInForce(std::string_view keyId) const;
    std::size_t size() const { return this->byDigest.size(); }

private:
    std::unordered_map<std::string, KeyOwner> byDigest;
    std::unordered_map<std::string, std::string> digestById;
};

/// Returns the secret in the value of an "Authorization" header of the form "Bearer SECRET", or ""
/// if it has another form.
std::string_view bearerSecret(std::string_view authorization);

} // namespace lavenderhall
