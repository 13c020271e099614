#pragma once

#include "forward/request.h"
#include "routing/crashattribution.h"

#include <string>
#include <vector>

/// What requests that crash endpoints have in common, at whichever instance they come.
namespace lavenderhall {

/// The fingerprint of one request, and the parts of its prompt that other requests may share.
class RequestSignature
{
public:
    RequestSignature() = default;
    /// \a request must live longer than this. \a caller is its organisation, or its key if it
    /// belongs to none.
    RequestSignature(const ForwardRequest &request, std::string caller);

    const std::vector<PartId> &sharedParts() const { return this->parts; }
    /// Returns the fingerprint. The first call reads the whole body.
    const RequestFingerprint &fingerprint() const;

private:
    const ForwardRequest *request = nullptr;
    std::string caller;
    std::vector<PartId> parts;
    mutable RequestFingerprint knownFingerprint; ///< "" until it is needed
};

} // namespace lavenderhall
