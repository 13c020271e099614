#include "client/command.h"
#include "client/pythonprogram.h"
#include "config/publish.h"
#include "identity/keyring.h"
#include "router/settings.h"

#include <iostream>
#include <iterator>

namespace lavenderhall {

namespace {

constexpr int MaxEditAttempts = 8; // of editConfig(), if other changes conflict with its own

/// Returns the only positional argument; an error names \a expected.
Result<std::string> singlePositional(const Arguments &arguments, const char *expected)
{
    if (arguments.positionals.size() != 1)
        return fail(ErrorCode::BadInput, "read command line",
                    "found " + std::to_string(arguments.positionals.size())
                        + " arguments, expected " + expected);
    return arguments.positionals.front();
}

Result<SyncStore> openStore(const Arguments &arguments)
{
    if (arguments.storeAddress.port == 0)
        return fail(ErrorCode::BadInput, "read command line",
                    "--store IP:PORT is missing, and LAVENDERHALL_STORE is not set");
    return SyncStore(arguments.storeAddress);
}

/// Reads the configuration in \a file, or standard input if it is "-". Keys in it are an error.
Result<Document> readDocument(const std::string &file)
{
    std::string text;
    if (file == "-")
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
    else {
        BOOST_LEAF_ASSIGN(text, readFile(file));
    }
    BOOST_LEAF_AUTO(json, parseJson(text, file));
    BOOST_LEAF_AUTO(document, parseDocument(json, file));
    for (const Organisation &organisation : document.organisations) {
        if (!organisation.keys.empty())
            return fail(
                ErrorCode::BadInput, "check configuration",
                file + ": organisations." + organisation.name
                    + ".keys: found keys, expected none: \"lavenderhall key\" manages them");
    }
    return document;
}

void printAccepted(const AcceptedChange &accepted)
{
    std::cout << "accepted: version " << accepted.version << ", change " << accepted.changeId
              << std::endl;
}

/// Applies \a edit to the configuration in force. After a conflict with another change, reads the
/// configuration again and repeats the edit.
template <typename Edit>
Result<AcceptedChange> editConfig(const SyncStore &store, const std::string &author, Edit &&edit)
{
    for (int attempt = 1;; ++attempt) {
        BOOST_LEAF_AUTO(stored, readStoredConfig(store));
        Document document = stored.document;
        BOOST_LEAF_CHECK(edit(document));
        const auto outcome = toOutcome([&] { return publish(store, stored, document, author); });
        if (const auto *accepted = std::get_if<AcceptedChange>(&outcome))
            return *accepted;
        const Error &error = std::get<Error>(outcome);
        if (error.code != ErrorCode::Conflict || attempt == MaxEditAttempts)
            return leaf::new_error(error);
    }
}

Result<int> runKeyIssue(const SyncStore &store, const Arguments &arguments,
                        const std::string &organisationName)
{
    const IssuedKey key = issueKey(organisationName);
    const auto add = [&](Document &document) -> Result<void> {
        for (Organisation &organisation : document.organisations) {
            if (organisation.name != organisationName)
                continue;
            organisation.keys.push_back(key.record);
            return {};
        }
        return fail(ErrorCode::NotFound, "issue key",
                    "there is no organisation \"" + organisationName + "\"");
    };
    BOOST_LEAF_AUTO(accepted, editConfig(store, arguments.author, add));
    std::cout << "key " << key.secret << "\nid " << key.record.id << "\nversion "
              << accepted.version << std::endl;
    return ExitDone;
}

Result<int> runKeyWithdraw(const SyncStore &store, const Arguments &arguments,
                           const std::string &id)
{
    const auto remove = [&](Document &document) -> Result<void> {
        std::size_t removed = 0;
        for (Organisation &organisation : document.organisations)
            removed += std::erase_if(organisation.keys,
                                     [&](const KeyRecord &key) { return key.id == id; });
        if (removed > 0)
            return {};
        return fail(ErrorCode::NotFound, "withdraw key", "there is no key \"" + id + "\"");
    };
    BOOST_LEAF_AUTO(accepted, editConfig(store, arguments.author, remove));
    printAccepted(accepted);
    return ExitDone;
}

} // namespace

Result<int> runCheck(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(file, singlePositional(arguments, "one FILE"));
    BOOST_LEAF_AUTO(document, readDocument(file));
    std::cout << file << ": good: " << document.organisations.size() << " organisations, "
              << document.models.size() << " models, " << document.endpoints.size()
              << " endpoints, " << document.routes.size() << " routes" << std::endl;
    return ExitDone;
}

Result<int> runPlan(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(file, singlePositional(arguments, "one FILE"));
    BOOST_LEAF_AUTO(store, openStore(arguments));
    BOOST_LEAF_AUTO(written, readDocument(file));
    BOOST_LEAF_AUTO(stored, readStoredConfig(store));
    const auto lines = describeChange(stored.document, withKeysOf(written, stored.document));
    for (const std::string &line : lines)
        std::cout << line << "\n";
    std::cout << lines.size() << " differences; apply with --base " << stored.root.version
              << std::endl;
    return ExitDone;
}

Result<int> runApply(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(file, singlePositional(arguments, "one FILE"));
    BOOST_LEAF_AUTO(store, openStore(arguments));
    BOOST_LEAF_AUTO(written, readDocument(file));
    BOOST_LEAF_AUTO(stored, readStoredConfig(store));
    if (arguments.baseVersion < 0)
        return fail(ErrorCode::BadInput, "apply configuration",
                    "--base VERSION is missing; \"lavenderhall plan\" prints it");
    if (arguments.baseVersion != stored.root.version)
        return fail(ErrorCode::Conflict, "apply configuration",
                    "version " + std::to_string(stored.root.version) + " by " + stored.root.author
                        + " is in force, not version " + std::to_string(arguments.baseVersion)
                        + "; nothing was applied: plan again");
    const Document document = withKeysOf(written, stored.document);
    BOOST_LEAF_AUTO(accepted, publish(store, stored, document, arguments.author));
    printAccepted(accepted);
    return ExitDone;
}

Result<int> runShow(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(store, openStore(arguments));
    BOOST_LEAF_AUTO(stored, readStoredConfig(store));
    if (arguments.printsProgram)
        std::cout << toPythonProgram(stored.document, stored.root) << std::flush;
    else
        std::cout << toJson(stored.document).dump() << std::endl;
    return ExitDone;
}

Result<int> runKey(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(store, openStore(arguments));
    if (arguments.positionals.size() == 2 && arguments.positionals[0] == "issue")
        return runKeyIssue(store, arguments, arguments.positionals[1]);
    if (arguments.positionals.size() == 2 && arguments.positionals[0] == "withdraw")
        return runKeyWithdraw(store, arguments, arguments.positionals[1]);
    return fail(ErrorCode::BadInput, "read command line",
                "expected \"key issue ORGANISATION\" or \"key withdraw ID\"");
}

} // namespace lavenderhall
