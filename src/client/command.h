#pragma once

#include "base/address.h"
#include "base/errors.h"
#include "forward/adapter.h"

#include <string>
#include <vector>

/// The command line, with one function for each subcommand.
namespace lavenderhall {

/// Exit codes of all subcommands.
enum ExitCode {
    ExitDone = 0,
    ExitFailed = 1, ///< a process could not be reached, or an operation failed
    ExitUsage = 2, ///< the command line or an input file is wrong
    ExitConflict = 3, ///< another change was accepted first
    ExitUnknown = 4, ///< an answer was lost, so the outcome is unknown
};

/// Parsed arguments of a subcommand. Fields of options that were not given keep their defaults.
struct Arguments
{
    std::vector<std::string> positionals; ///< after the subcommand's name
    Address storeAddress; ///< port 0 if there is none
    std::vector<Address> adminAddresses;
    std::string settingsFile;
    std::string author; ///< recorded with a change of the configuration
    std::string requestId; ///< filter of the time line; "" for all
    std::string organisation; ///< filter of the time line; "" for all
    std::string eventKind; ///< filter of the time line; "" for all
    std::string traceFile; ///< replaces the generated traces
    std::string policy; ///< the only one to replay; "" for all
    std::int64_t seed = 1; ///< of generated traces
    std::int64_t traceInstances = 0; ///< router instances in generated traces; 0 for the default
    std::int64_t baseVersion = -1; ///< configuration version that a change is based on; -1: none
    bool printsJson = false;
    bool printsProgram = false; ///< the configuration as a Python program
    bool isCheckOnly = false; ///< checks the settings and starts nothing
    bool printsTrace = false; ///< the trace instead of its replay
    const PlatformAdapter *adapter = nullptr;
};

/// Parses the command line and runs the subcommand. Returns the exit code. Instances with the
/// forward dialect use \a adapter.
int runCommandLine(int argc, const char **argv, const PlatformAdapter &adapter);

// Subcommands for the configuration and its keys, which are in the platform's store. All
// subcommands return the exit code; errors are printed by runCommandLine().
Result<int> runCheck(const Arguments &arguments);
Result<int> runPlan(const Arguments &arguments);
Result<int> runApply(const Arguments &arguments);
Result<int> runShow(const Arguments &arguments);
Result<int> runKey(const Arguments &arguments);

// Subcommands for running instances, which are called at their admin addresses.
Result<int> runStatus(const Arguments &arguments);
Result<int> runDrain(const Arguments &arguments);
Result<int> runTimeline(const Arguments &arguments);

// Other subcommands.
Result<int> runRouter(const Arguments &arguments);
Result<int> runBench(const Arguments &arguments);
Result<int> runLibrary(const Arguments &arguments);
Result<int> runFleetKeys(const Arguments &arguments);

} // namespace lavenderhall
