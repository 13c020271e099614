#include "identity/keyring.h"

#include "base/digest.h"

#include <algorithm>
#include <cctype>

namespace lavenderhall {

namespace {

constexpr std::size_t KeyIdBytes = 6;
constexpr std::size_t SecretBytes = 24; ///< 192 random bits
constexpr std::string_view BearerScheme = "bearer "; ///< in lower case

} // namespace

IssuedKey issueKey(const std::string &organisation)
{
    IssuedKey key;
    key.record.id = organisation + "-" + randomHex(KeyIdBytes);
    key.secret = "lh_" + randomHex(SecretBytes);
    key.record.digest = sha256Hex(key.secret);
    return key;
}

Keyring::Keyring(const Document &document)
{
    for (const Organisation &organisation : document.organisations) {
        for (const KeyRecord &key : organisation.keys) {
            this->ownerByDigest.emplace(key.digest, KeyOwner{organisation.name, key.id});
            this->digestById.emplace(key.id, key.digest);
        }
    }
}

const KeyOwner *Keyring::find(std::string_view secret) const
{
    const auto found = this->ownerByDigest.find(sha256Hex(secret));
    return found == this->ownerByDigest.end() ? nullptr : &found->second;
}

bool Keyring::containsId(std::string_view keyId) const
{
    return this->digestById.contains(std::string(keyId));
}

std::string_view bearerSecret(std::string_view authorization)
{
    if (authorization.size() <= BearerScheme.size())
        return {};
    const auto equalsIgnoringCase = [](char expected, char received) {
        return expected == std::tolower(static_cast<unsigned char>(received));
    };
    if (!std::equal(BearerScheme.begin(), BearerScheme.end(), authorization.begin(),
                    equalsIgnoringCase))
        return {};
    return authorization.substr(BearerScheme.size());
}

} // namespace lavenderhall
