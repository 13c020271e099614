#include "config/publish.h"

#include "base/digest.h"

#include <map>

namespace lavenderhall {

namespace {

constexpr std::size_t ChangeIdBytes = 8;
constexpr std::size_t HistoryLength = 32; ///< changes; older ones are dropped from the root

/// Returns the JSON text of each entry by its path, such as "routes.NAME".
std::map<std::string, std::string> entriesByPath(const Document &document)
{
    std::map<std::string, std::string> lines;
    const Json whole = toJson(document);
    for (const auto &[section, value] : whole.items()) {
        if (!value.is_array()) {
            lines[section] = writeJson(value);
            continue;
        }
        for (const Json &entry : value)
            lines[section + "." + entry.value("name", "")] = writeJson(entry);
    }
    return lines;
}

} // namespace

Document withKeysOf(Document document, const Document &current)
{
    for (Organisation &organisation : document.organisations) {
        const Organisation *existing = current.findOrganisation(organisation.name);
        organisation.keys = existing ? existing->keys : std::vector<KeyRecord>{};
    }
    return document;
}

std::vector<std::string> describeChange(const Document &before, const Document &after)
{
    const auto oldEntries = entriesByPath(before);
    const auto newEntries = entriesByPath(after);
    std::vector<std::string> lines;
    for (const auto &[path, text] : oldEntries) {
        const auto found = newEntries.find(path);
        if (found == newEntries.end())
            lines.push_back("- " + path + " " + text);
        else if (found->second != text)
            lines.push_back("~ " + path + " " + text + " -> " + found->second);
    }
    for (const auto &[path, text] : newEntries) {
        if (!oldEntries.contains(path))
            lines.push_back("+ " + path + " " + text);
    }
    return lines;
}

ConfigRoot nextRoot(const ConfigRoot &base, const std::vector<std::string> &chunks,
                    const std::string &author)
{
    ConfigRoot root;
    root.version = base.version + 1;
    root.changeId = randomHex(ChangeIdBytes);
    root.author = author;
    root.chunks = chunks;
    if (!base.changeId.empty())
        root.history.push_back(base.changeId);
    for (const std::string &change : base.history) {
        if (root.history.size() < HistoryLength)
            root.history.push_back(change);
    }
    return root;
}

leaf::error_id storeError(const StoreReply &reply, const std::string &step,
                          const std::string &object)
{
    const std::string peer = "store object " + object;
    switch (reply.status) {
    case StoreStatus::NotFound:
        return fail(ErrorCode::NotFound, step, "there is no such object", peer);
    case StoreStatus::Conflict:
        return fail(ErrorCode::Conflict, step, "the object has changed meanwhile", peer);
    case StoreStatus::Limited:
        return fail(ErrorCode::LimitExceeded, step, "the store's rate is exceeded", peer);
    case StoreStatus::Unknown:
        return fail(ErrorCode::Timeout, step, "the store's answer was lost", peer);
    default:
        return fail(ErrorCode::Unavailable, step, "the store cannot be reached", peer);
    }
}

} // namespace lavenderhall
