#include "forward/requestsignature.h"

#include "base/digest.h"
#include "base/joinfields.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

/// Returns the ids of the parts that other requests may share, each once.
std::vector<PartId> sharedPartIds(const std::vector<PromptPart> &parts)
{
    std::vector<PartId> ids;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        if (std::find(ids.begin(), ids.end(), parts[index].id) == ids.end())
            ids.push_back(parts[index].id);
    }
    return ids;
}

} // namespace

RequestSignature::RequestSignature(const ForwardRequest &request,
                                   std::optional<std::string> organisation)
    : request(&request)
    , organisation(std::move(organisation))
{
    if (!request.model.empty())
        this->parts = sharedPartIds(request.parts);
}

const RequestFingerprint &RequestSignature::fingerprint() const
{
    if (!this->knownFingerprint.empty() || !this->request)
        return this->knownFingerprint;
    const std::string caller = this->organisation
        ? joinFields({"organisation", *this->organisation})
        : joinFields({"key", this->request->key});
    this->knownFingerprint
        = blake2bHex(joinFields({http::toString(this->request->method), this->request->host,
                                 this->request->path, caller, this->request->body}));
    return this->knownFingerprint;
}

} // namespace lavenderhall
