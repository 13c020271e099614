#pragma once

#include "config/document.h"

#include <map>
#include <string>
#include <vector>

/// How a configuration lies in the platform's store: content-addressed chunks and one root.
///
/// The conditional update of the root is the acceptance of a change, and gives all changes
/// one order. A chunk never changes once written.
namespace lavenderhall {

inline constexpr const char *RootObject = "config/root";
inline constexpr const char *ChunkPrefix = "config/chunk/";

/// The one object that says which configuration is in force.
struct ConfigRoot
{
    std::int64_t version = 0; ///< 1 for the first configuration, then one more each
    std::string changeId; ///< random id of the change, to recognise it later
    std::string author; ///< who applied it
    std::vector<std::string> history; ///< ids of the latest changes before, newest first
    std::vector<std::string> chunks; ///< SHA-256 of each chunk, in order

    bool operator==(const ConfigRoot &) const = default;
    /// Whether the change \a id is this one or one of the latest before it.
    bool includes(const std::string &id) const;
};

std::string toText(const ConfigRoot &root);
Result<ConfigRoot> parseRoot(std::string_view text);

/// Chunk texts by their SHA-256.
using ChunkMap = std::map<std::string, std::string>;

/// A configuration cut for the store.
struct ChunkedDocument
{
    std::vector<std::string> order; ///< digests
    ChunkMap chunks;
};

/// Cuts \a document so that changing one organisation changes one chunk.
ChunkedDocument splitDocument(const Document &document);

/// Puts a configuration together again and checks it. Each chunk must be in \a chunks.
Result<Document> joinDocument(const std::vector<std::string> &order, const ChunkMap &chunks);

} // namespace lavenderhall
