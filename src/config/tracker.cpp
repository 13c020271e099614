#include "config/tracker.h"

#include "base/digest.h"

#include <algorithm>
#include <set>

namespace lavenderhall {

bool ConfigTracker::offerRoot(const ConfigRoot &root)
{
    if (root.version <= this->newestVersion())
        return false;
    this->pendingRoot = root;
    return true;
}

std::int64_t ConfigTracker::newestVersion() const
{
    const std::int64_t pendingVersion = this->pendingRoot ? this->pendingRoot->version : 0;
    return std::max({this->activeVersion(), this->refusedVersion, pendingVersion});
}

void ConfigTracker::offerChunk(std::string text)
{
    if (!this->pendingRoot)
        return;
    std::string digest = sha256Hex(text);
    const auto &names = this->pendingRoot->chunks;
    if (std::find(names.begin(), names.end(), digest) == names.end())
        return;
    this->availableChunks.emplace(std::move(digest), std::move(text));
}

std::vector<std::string> ConfigTracker::missingChunks() const
{
    std::vector<std::string> missing;
    if (!this->pendingRoot)
        return missing;
    for (const std::string &digest : this->pendingRoot->chunks) {
        if (!this->availableChunks.contains(digest))
            missing.push_back(digest);
    }
    return missing;
}

bool ConfigTracker::activatePending()
{
    if (!this->pendingRoot || !this->missingChunks().empty())
        return false;
    const ConfigRoot root = *this->pendingRoot;
    this->pendingRoot.reset();
    const auto joined = toOutcome([&] { return joinDocument(root.chunks, this->availableChunks); });
    if (const auto *error = std::get_if<Error>(&joined)) {
        this->refusedVersion = root.version;
        this->refusalReason = "version " + std::to_string(root.version) + ": " + error->message();
        this->dropUnusedChunks();
        return false;
    }
    this->activeConfig
        = std::make_shared<const ActiveConfig>(ActiveConfig{root, std::get<Document>(joined)});
    this->refusalReason.clear();
    this->dropUnusedChunks();
    return true;
}

void ConfigTracker::dropUnusedChunks()
{
    std::set<std::string> used;
    if (this->activeConfig)
        used.insert(this->activeConfig->root.chunks.begin(), this->activeConfig->root.chunks.end());
    std::erase_if(this->availableChunks,
                  [&](const auto &entry) { return !used.contains(entry.first); });
}

} // namespace lavenderhall
