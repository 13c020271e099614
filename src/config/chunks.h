#pragma once

#include "config/document.h"

#include <map>
#include <string>
#include <vector>

/// Storage format of a configuration in the platform's store: content-addressed, immutable chunks
/// and one root that refers to them.
///
/// A change is accepted by the conditional update of the root, which gives all changes one order.
namespace lavenderhall {

/// Names of the store's objects; a chunk's name ends in its digest.
inline constexpr const char *RootObject = "config/root";
inline constexpr const char *ChunkPrefix = "config/chunk/";

/// Content of the root object, which determines the configuration in force.
struct ConfigRoot
{
    std::int64_t version = 0; ///< 1 for the first configuration, increased by 1 with each change
    std::string changeId; ///< random, to recognise the change after a lost answer
    std::string author; ///< who applied the change
    std::vector<std::string> history; ///< ids of the latest earlier changes, newest first
    std::vector<std::string> chunks; ///< SHA-256 of each chunk, in order

    bool operator==(const ConfigRoot &) const = default;
    /// Whether \a id is the id of this change or of one in its history.
    bool includesChange(const std::string &id) const;
};

/// Returns the JSON text that is stored.
std::string toText(const ConfigRoot &root);
/// Parses a stored root; malformed text is a BadInput error.
Result<ConfigRoot> parseRoot(std::string_view text);

/// Chunk texts by their SHA-256 in hex.
using ChunkMap = std::map<std::string, std::string>;

/// A configuration split into chunks.
struct ChunkedDocument
{
    std::vector<std::string> order; ///< digests of the chunks, in the order for the root
    ChunkMap chunks;
};

/// Splits \a document so that a change of one organisation changes one chunk.
ChunkedDocument splitDocument(const Document &document);

/// Joins the chunks named in \a order and checks the configuration. A chunk that is not in
/// \a chunks is a NotFound error, an invalid configuration a BadInput error.
Result<Document> joinDocument(const std::vector<std::string> &order, const ChunkMap &chunks);

} // namespace lavenderhall
