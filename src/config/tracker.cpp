#include "config/tracker.h"

#include "base/digest.h"

#include <algorithm>
#include <set>

namespace lavenderhall {

bool ConfigTracker::offerRoot(const ConfigRoot &root)
{
    if (root.version <= this->newestVersion())
        return false;
    this->wanted = root;
    return true;
}

std::int64_t ConfigTracker::newestVersion() const
{
    const std::int64_t pending = this->wanted ? this->wanted->version : 0;
    return std::max({this->activeVersion(), this->refusedVersion, pending});
}

void ConfigTracker::offerChunk(std::string text)
{
    if (!this->wanted)
        return;
    std::string digest = sha256Hex(text);
    const auto &names = this->wanted->chunks;
    if (std::find(names.begin(), names.end(), digest) == names.end())
        return;
    this->known.emplace(std::move(digest), std::move(text));
}

std::vector<std::string> ConfigTracker::missingChunks() const
{
    std::vector<std::string> missing;
    if (!this->wanted)
        return missing;
    for (const std::string &digest : this->wanted->chunks) {
        if (!this->known.contains(digest))
            missing.push_back(digest);
    }
    return missing;
}

bool ConfigTracker::activatePending()
{
    if (!this->wanted || !this->missingChunks().empty())
        return false;
    const ConfigRoot root = *this->wanted;
    this->wanted.reset();
    const auto joined = attempt([&] { return joinDocument(root.chunks, this->known); });
    if (const auto *error = std::get_if<Error>(&joined)) {
        this->refusedVersion = root.version;
        this->refused = "version " + std::to_string(root.version) + ": " + error->message();
        this->forgetUnused();
        return false;
    }
    this->current
        = std::make_shared<const ActiveConfig>(ActiveConfig{root, std::get<Document>(joined)});
    this->refused.clear();
    this->forgetUnused();
    return true;
}

void ConfigTracker::forgetUnused()
{
    std::set<std::string> used;
    if (this->current)
        used.insert(this->current->root.chunks.begin(), this->current->root.chunks.end());
    std::erase_if(this->known, [&](const auto &entry) { return !used.contains(entry.first); });
}

} // namespace lavenderhall
