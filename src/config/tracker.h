#pragma once

#include "config/chunks.h"

#include <memory>
#include <optional>

/// Tracks the configuration in force on an instance.
namespace lavenderhall {

/// A configuration in force, shared by its users.
struct ActiveConfig
{
    ConfigRoot root;
    Document document;
};

using ActiveConfigPtr = std::shared_ptr<const ActiveConfig>;

/// Collects roots and chunks, which arrive in any order from the store and from peers, and decides
/// which configuration is in force. A root is accepted only if its version is higher than all
/// earlier ones, and activated only when all its chunks are there.
class ConfigTracker
{
public:
    /// Offers a root. Returns whether it is newer than the active, pending and refused ones and has
    /// become the pending one.
    bool offerRoot(const ConfigRoot &root);
    /// Offers a chunk's text, which is ignored if the pending root does not refer to it.
    void offerChunk(std::string text);
    /// Digests of the pending root's chunks that are missing.
    std::vector<std::string> missingChunks() const;
    /// Activates the pending root if it is complete and valid; refuses it if it is complete and
    /// invalid. Returns whether it was activated.
    bool activatePending();

    /// The configuration in force, nullptr if there is none yet.
    const ActiveConfigPtr &active() const { return this->activeConfig; }
    std::int64_t activeVersion() const
    {
        return this->activeConfig ? this->activeConfig->root.version : 0;
    }
    /// Newest version known: active, pending or refused.
    std::int64_t newestVersion() const;
    /// Chunks of the active and the pending configuration, to be sent to peers.
    const ChunkMap &chunks() const { return this->availableChunks; }
    /// Why the latest refused root was invalid; "" after a newer one was activated.
    const std::string &refusal() const { return this->refusalReason; }

private:
    void dropUnusedChunks();

    ActiveConfigPtr activeConfig;
    std::optional<ConfigRoot> pendingRoot;
    std::int64_t refusedVersion = 0;
    ChunkMap availableChunks;
    std::string refusalReason;
};

} // namespace lavenderhall
