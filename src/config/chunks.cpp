#include "config/chunks.h"

#include "base/digest.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// At about 300 bytes per organisation a chunk stays far below the store's limit of 1 MB per object,
// and a change of one key sends only one such chunk to each instance.
constexpr std::size_t OrganisationsPerChunk = 256;

// A power of two, so that the number of chunks rarely changes when organisations are added.
std::size_t bucketCount(std::size_t organisations)
{
    std::size_t buckets = 1;
    while (buckets * OrganisationsPerChunk < organisations)
        buckets *= 2;
    return buckets;
}

void addChunk(ChunkedDocument &chunked, const Json &content)
{
    std::string text = writeJson(content);
    std::string digest = sha256Hex(text);
    chunked.order.push_back(digest);
    chunked.chunks.emplace(std::move(digest), std::move(text));
}

} // namespace

bool ConfigRoot::includesChange(const std::string &id) const
{
    return this->changeId == id
        || std::find(this->history.begin(), this->history.end(), id) != this->history.end();
}

std::string toText(const ConfigRoot &root)
{
    const Json json{{"version", root.version},
                    {"change", root.changeId},
                    {"author", root.author},
                    {"history", root.history},
                    {"chunks", root.chunks}};
    return writeJson(json);
}

Result<ConfigRoot> parseRoot(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text, RootObject));
    ObjectReader reader(json, RootObject, "");
    ConfigRoot root;
    root.version = reader.integer("version", {1});
    root.changeId = reader.text("change");
    root.author = reader.text("author", "");
    root.history = reader.texts("history");
    root.chunks = reader.texts("chunks");
    reader.finish();
    if (!reader.isGood())
        return fail(ErrorCode::BadInput, "read configuration root", reader.firstError());
    return root;
}

ChunkedDocument splitDocument(const Document &document)
{
    ChunkedDocument chunked;
    Json rest = toJson(document);
    rest.erase("organisations");
    addChunk(chunked, rest);

    std::vector<Json> buckets(bucketCount(document.organisations.size()), Json::array());
    for (const Organisation &organisation : document.organisations) {
        const std::size_t bucket = hash64(organisation.name) % buckets.size();
        buckets[bucket].push_back(toJson(organisation));
    }
    for (const Json &bucket : buckets)
        addChunk(chunked, {{"organisations", bucket}});
    return chunked;
}

Result<Document> joinDocument(const std::vector<std::string> &order, const ChunkMap &chunks)
{
    Json whole = Json::object();
    Json organisations = Json::array();
    for (const std::string &digest : order) {
        const auto found = chunks.find(digest);
        if (found == chunks.end())
            return fail(ErrorCode::NotFound, "join configuration",
                        "chunk " + digest + " is missing");
        BOOST_LEAF_AUTO(json, parseJson(found->second, ChunkPrefix + digest));
        if (!json.is_object())
            return fail(ErrorCode::BadInput, "join configuration",
                        "chunk " + digest + " is not an object");
        for (auto &[name, value] : json.items()) {
            if (name == "organisations" && value.is_array())
                organisations.insert(organisations.end(), value.begin(), value.end());
            else
                whole[name] = std::move(value);
        }
    }
    whole["organisations"] = std::move(organisations);
    return parseDocument(whole, "configuration");
}

} // namespace lavenderhall
