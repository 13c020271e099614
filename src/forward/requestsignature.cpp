#include "forward/requestsignature.h"

#include "base/digest.h"

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

/// Appends \a field with its length, so that no two lists of fields give the same text.
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

RequestSignature::RequestSignature(const ForwardRequest &request, std::string caller)
    : request(&request)
    , caller(std::move(caller))
{
    if (!request.model.empty())
        this->parts = sharedPartIds(request.parts);
}

const RequestFingerprint &RequestSignature::fingerprint() const
{
    if (!this->knownFingerprint.empty() || !this->request)
        return this->knownFingerprint;
    std::string text;
    appendField(text, http::toString(this->request->method));
    appendField(text, this->request->host);
    appendField(text, this->request->path);
    appendField(text, this->caller);
    appendField(text, this->request->body);
    this->knownFingerprint = blake2bHex(text);
    return this->knownFingerprint;
}

} // namespace lavenderhall
