#pragma once

#include "config/chunks.h"
#include "store/store.h"

#include <optional>
#include <string>
#include <vector>

/// Applies a configuration change to the store.
namespace lavenderhall {

/// The configuration in force, as read from the store.
struct StoredConfig
{
    ConfigRoot root;
    std::int64_t objectVersion = CreateVersion; ///< of the root object
    Document document;
};

/// A change that the store has accepted.
struct AcceptedChange
{
    std::int64_t version = 0; ///< of the configuration
    std::string changeId;

    bool operator==(const AcceptedChange &) const = default;
};

/// Reads the configuration in force; an empty one of version 0 if there is none yet.
template <typename Store> Result<StoredConfig> readStoredConfig(const Store &store);

/// Replaces \a base by \a document as the configuration in force. After a lost answer the root is
/// searched for the change's id, so the change is applied once or not at all, and its outcome is
/// known unless the store remains unreachable. Errors: Conflict if \a base is outdated, Timeout if
/// the outcome is unknown, or that of the store.
template <typename Store>
Result<AcceptedChange> publish(const Store &store, const StoredConfig &base,
                               const Document &document, const std::string &author);

/// Returns \a document, which operators write without keys, with the organisations' keys from
/// \a current.
Document withKeysOf(Document document, const Document &current);

/// Returns one line per difference, which starts with "+" (added), "-" (removed) or "~" (changed).
std::vector<std::string> describeChange(const Document &before, const Document &after);

/// Returns the root of the change that follows \a base.
ConfigRoot nextRoot(const ConfigRoot &base, const std::vector<std::string> &chunks,
                    const std::string &author);

/// Creates the error for a reply of the store that is not Ok.
leaf::error_id storeError(const StoreReply &reply, const std::string &step,
                          const std::string &object);

/// Maximum number of writes of the root by publish().
inline constexpr int PublishTries = 5;

template <typename Store> Result<StoredConfig> readStoredConfig(const Store &store)
{
    const StoreReply reply = store.read(RootObject);
    if (reply.status == StoreStatus::NotFound)
        return StoredConfig{};
    if (reply.status != StoreStatus::Ok)
        return storeError(reply, "read configuration", RootObject);
    StoredConfig stored;
    BOOST_LEAF_ASSIGN(stored.root, parseRoot(reply.body));
    stored.objectVersion = reply.version;
    ChunkMap chunks;
    for (const std::string &digest : stored.root.chunks) {
        const StoreReply chunk = store.read(ChunkPrefix + digest);
        if (chunk.status != StoreStatus::Ok)
            return storeError(chunk, "read configuration", ChunkPrefix + digest);
        chunks.emplace(digest, chunk.body);
    }
    BOOST_LEAF_ASSIGN(stored.document, joinDocument(stored.root.chunks, chunks));
    return stored;
}

template <typename Store>
Result<AcceptedChange> publish(const Store &store, const StoredConfig &base,
                               const Document &document, const std::string &author)
{
    const ChunkedDocument chunked = splitDocument(document);
    for (const auto &[digest, text] : chunked.chunks) {
        const auto &storedChunks = base.root.chunks;
        if (std::find(storedChunks.begin(), storedChunks.end(), digest) != storedChunks.end())
            continue;
        // Chunks are content-addressed, so a conflict means that the chunk is already stored.
        const StoreReply reply = store.write(ChunkPrefix + digest, text, CreateVersion);
        if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::Conflict
            && store.read(ChunkPrefix + digest).status != StoreStatus::Ok)
            return storeError(reply, "write configuration chunk", ChunkPrefix + digest);
    }

    const ConfigRoot root = nextRoot(base.root, chunked.order, author);
    StoreReply reply;
    bool mayBeWritten = false;
    for (int tries = 0; tries < PublishTries; ++tries) {
        reply = store.write(RootObject, toText(root), base.objectVersion);
        if (reply.status == StoreStatus::Ok)
            return AcceptedChange{root.version, root.changeId};
        mayBeWritten = mayBeWritten || reply.status == StoreStatus::Unknown;
        if (reply.status != StoreStatus::Unknown && reply.status != StoreStatus::Conflict)
            continue;
        const StoreReply found = store.read(RootObject);
        if (found.status != StoreStatus::Ok)
            continue;
        BOOST_LEAF_AUTO(current, parseRoot(found.body));
        if (current.includesChange(root.changeId))
            return AcceptedChange{root.version, root.changeId};
        if (found.version != base.objectVersion)
            return fail(ErrorCode::Conflict, "apply configuration",
                        "the configuration has changed to version "
                            + std::to_string(current.version) + " by " + current.author
                            + " since version " + std::to_string(base.root.version)
                            + ", on which this change is based; nothing was applied");
    }
    if (mayBeWritten)
        return fail(ErrorCode::Timeout, "apply configuration",
                    "the store's answer was lost and the store cannot be read now; whether change "
                        + root.changeId + " took effect is unknown");
    return storeError(reply, "apply configuration", RootObject);
}

} // namespace lavenderhall
