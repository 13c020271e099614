#pragma once

#include "base/address.h"
#include "base/errors.h"
#include "forward/adapter.h"

#include <string>
#include <vector>

/// The command line: one function a subcommand.
namespace lavenderhall {

/// Exit codes of all subcommands.
enum ExitCode {
    ExitDone = 0,
    ExitFailed = 1, ///< something could not be reached or did not work
    ExitUsage = 2, ///< the command line or an input file is wrong
    ExitConflict = 3, ///< somebody else's change came first
    ExitUnknown = 4, ///< an answer was lost; the outcome is not known
};

/// What a subcommand was given.
struct Arguments
{
    std::vector<std::string> words; ///< after the subcommand's name
    Address store;
    std::vector<Address> admins;
    std::string settingsFile;
    std::string author;
    std::string request;
    std::string organisation;
    std::string kind;
    std::string trace;
    std::string policy;
    std::int64_t seed = 1;
    std::int64_t instances = 0;
    std::int64_t base = -1; ///< configuration version that a change is based on
    bool asJson = false;
    bool asProgram = false;
    bool checkOnly = false;
    bool printTrace = false;
    const PlatformAdapter *adapter = nullptr;
};

/// Parses the command line and runs the subcommand; returns the exit code. \a adapter translates
/// for instances in the forward dialect.
int runCommandLine(int argc, const char **argv, const PlatformAdapter &adapter);

// Configuration and keys, in the platform's store.
Result<int> runCheck(const Arguments &arguments);
Result<int> runPlan(const Arguments &arguments);
Result<int> runApply(const Arguments &arguments);
Result<int> runShow(const Arguments &arguments);
Result<int> runKey(const Arguments &arguments);

// Instances, over their admin addresses.
Result<int> runStatus(const Arguments &arguments);
Result<int> runDrain(const Arguments &arguments);
Result<int> runTimeline(const Arguments &arguments);

// Others.
Result<int> runRouter(const Arguments &arguments);
Result<int> runBench(const Arguments &arguments);
Result<int> runLibrary(const Arguments &arguments);
Result<int> runFleetKeys(const Arguments &arguments);

} // namespace lavenderhall
