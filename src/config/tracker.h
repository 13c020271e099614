#pragma once

#include "config/chunks.h"

#include <memory>
#include <optional>

/// Which configuration an instance has in force.
namespace lavenderhall {

/// A configuration in force, shared by all that use it.
struct ActiveConfig
{
    ConfigRoot root;
    Document document;
};

using ActiveConfigPtr = std::shared_ptr<const ActiveConfig>;

/// Takes roots and chunks in any order, from the store and from peers, and decides what is in
/// force. A root is taken only if its version is higher than each seen before, and only whole.
class ConfigTracker
{
public:
    /// Offers a root. Returns whether it is newer than what is in force or on its way.
    bool offerRoot(const ConfigRoot &root);
    /// Offers a chunk's text; one that no wanted root names is left out.
    void offerChunk(std::string text);
    /// Digests still missing for the newest root.
    std::vector<std::string> missingChunks() const;
    /// Puts the newest root in force if it is complete and valid. Returns whether it did.
    bool activatePending();

    const ActiveConfigPtr &active() const { return this->current; }
    std::int64_t activeVersion() const { return this->current ? this->current->root.version : 0; }
    /// Newest version heard of, in force or not.
    std::int64_t newestVersion() const;
    /// Chunks in force, to be handed to peers.
    const ChunkMap &chunks() const { return this->known; }
    /// Why the newest root was refused, "" if it was not.
    const std::string &refusal() const { return this->refused; }

private:
    void forgetUnused();

    ActiveConfigPtr current;
    std::optional<ConfigRoot> wanted;
    std::int64_t refusedVersion = 0;
    ChunkMap known;
    std::string refused;
};

} // namespace lavenderhall
