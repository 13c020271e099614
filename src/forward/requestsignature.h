#pragma once

#include "forward/request.h"
#include "routing/crashattribution.h"

#include <optional>
#include <string>
#include <vector>

/// What requests that crash endpoints have in common, at whichever instance they come.
namespace lavenderhall {

/// The fingerprint of one request, and the parts of its prompt that other requests may share.
class RequestSignature
{
public:
    RequestSignature() = default;
    /// \a request must live longer than this. \a organisation is that of its caller, who is known
    /// by the key alone without one.
    RequestSignature(const ForwardRequest &request, std::optional<std::string> organisation);

    const std::vector<PartId> &sharedParts() const { return this->parts; }
    /// Returns the fingerprint. The first call reads the whole body.
    const RequestFingerprint &fingerprint() const;

private:
    const ForwardRequest *request = nullptr;
    std::optional<std::string> organisation;
    std::vector<PartId> parts;
    mutable RequestFingerprint knownFingerprint; ///< "" until it is needed
};

} // namespace lavenderhall
