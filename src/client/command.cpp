#include "client/command.h"

#include "base/failurereport.h"
#include "base/json.h"
#include "base/log.h"
#include "client/librarytext.h"
#include "forward/forwarddaemon.h"
#include "router/daemon.h"

#include <array>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <popt.h>
#include <sodium.h>
#include <stdexcept>
#include <zmq.h>

namespace lavenderhall {

namespace {

constexpr std::size_t HelpColumn = 46; // where the descriptions of the subcommands start
constexpr std::size_t KeyTextBytes = 41; // a CURVE key in Z85 and the terminating zero
constexpr Millis MaxSettingsWait{5000}; // for a settings file that is missing or incomplete
constexpr Millis SettingsRetryInterval{100};
constexpr Millis SettingsLogInterval{1000}; // between two lines about the wait

using Handler = std::function<Result<int>(const Arguments &)>;

struct Subcommand
{
    const char *name;
    const char *positionals; ///< as shown in the help
    const char *help;
    Handler handler;
};

const std::array<Subcommand, 12> &subcommands()
{
    static const std::array<Subcommand, 12> Subcommands{{
        {"router", "", "run an instance (--settings FILE, with --check only check it)", runRouter},
        {"check", "FILE", "check a configuration; \"-\" reads standard input", runCheck},
        {"plan", "FILE", "show what applying FILE would change, and the base version", runPlan},
        {"apply", "FILE", "apply FILE as the new configuration (--base VERSION as plan printed it)",
         runApply},
        {"show", "", "print the configuration in force as JSON (or --as-program)", runShow},
        {"key", "issue ORGANISATION | withdraw ID", "issue or withdraw a caller's key", runKey},
        {"status", "", "show the state of all instances (--json)", runStatus},
        {"drain", "", "stop the instances at --admin gracefully", runDrain},
        {"timeline", "",
         "print the events of all instances, merged (--request, --organisation, --kind)",
         runTimeline},
        {"bench", "[TRACE...]", "replay traces through the placement decisions (--trace, --policy)",
         runBench},
        {"library", "", "print the Python module that configurations are written with", runLibrary},
        {"fleet-keys", "", "generate a key pair for the settings of a fleet's instances",
         runFleetKeys},
    }};
    return Subcommands;
}

void printHelp()
{
    std::cout << "usage: lavenderhall SUBCOMMAND [ARGUMENTS] [OPTIONS]\n\n";
    for (const Subcommand &subcommand : subcommands()) {
        std::string synopsis = std::string("  ") + subcommand.name + " " + subcommand.positionals;
        synopsis.resize(std::max<std::size_t>(synopsis.size() + 2, HelpColumn), ' ');
        std::cout << synopsis << subcommand.help << "\n";
    }
    std::cout << "\nlavenderhall SUBCOMMAND --help lists the options. The store and the instances\n"
                 "are found by --store and --admin, or the environment's LAVENDERHALL_STORE and\n"
                 "LAVENDERHALL_ADMINS.\n"
                 "Exit codes: 0 done, 1 failed, 2 wrong usage or input, 3 conflict, 4 unknown.\n";
}

Result<Address> parseAddressArgument(const std::string &text)
{
    if (const auto address = parseAddress(text))
        return *address;
    return fail(ErrorCode::BadInput, "read command line",
                "found address \"" + text + "\", expected IP:PORT");
}

Result<std::vector<Address>> parseAddressList(std::string_view text)
{
    std::vector<Address> addresses;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        BOOST_LEAF_AUTO(address, parseAddressArgument(std::string(text.substr(0, comma))));
        addresses.push_back(address);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return addresses;
}

/// Returns the value of an option or, if it was not \a given, that of the environment \a variable;
/// "" if neither is set.
std::string optionOrEnvironment(char *given, const char *variable)
{
    if (given)
        return given;
    const char *value = std::getenv(variable);
    return value ? value : "";
}

/// Options as popt stores them. Frees the strings, which popt allocates.
struct RawOptions
{
    char *store = nullptr;
    char *admins = nullptr;
    char *settings = nullptr;
    char *author = nullptr;
    char *request = nullptr;
    char *organisation = nullptr;
    char *kind = nullptr;
    char *trace = nullptr;
    char *policy = nullptr;
    long seed = 1;
    long instances = 0;
    int printTrace = 0;
    long base = -1;
    int json = 0;
    int program = 0;
    int check = 0;

    RawOptions() = default;
    RawOptions(const RawOptions &) = delete;
    RawOptions &operator=(const RawOptions &) = delete;
    ~RawOptions()
    {
        for (char *text : {this->store, this->admins, this->settings, this->author, this->request,
                           this->organisation, this->kind, this->trace, this->policy})
            std::free(text);
    }
};

Result<Arguments> parseArguments(const Subcommand &subcommand, int argc, const char **argv)
{
    RawOptions raw;
    const poptOption options[] = {
        {"store", 's', POPT_ARG_STRING, &raw.store, 0, "the platform's object service", "IP:PORT"},
        {"admin", 'a', POPT_ARG_STRING, &raw.admins, 0, "admin addresses of instances",
         "IP:PORT,..."},
        {"settings", 0, POPT_ARG_STRING, &raw.settings, 0, "settings of an instance", "FILE"},
        {"check", 0, POPT_ARG_NONE, &raw.check, 0, "only check the settings", nullptr},
        {"author", 0, POPT_ARG_STRING, &raw.author, 0, "name to record with a change", "NAME"},
        {"base", 0, POPT_ARG_LONG, &raw.base, 0, "version that a change is based on", "VERSION"},
        {"json", 0, POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr},
        {"as-program", 0, POPT_ARG_NONE, &raw.program, 0, "print a Python program", nullptr},
        {"request", 0, POPT_ARG_STRING, &raw.request, 0, "only events of this request", "ID"},
        {"organisation", 0, POPT_ARG_STRING, &raw.organisation, 0,
         "only events of this organisation", "NAME"},
        {"kind", 0, POPT_ARG_STRING, &raw.kind, 0, "only events of this kind", "KIND"},
        {"trace", 0, POPT_ARG_STRING, &raw.trace, 0, "a trace file, see docs/TRACES.md", "FILE"},
        {"policy", 0, POPT_ARG_STRING, &raw.policy, 0, "only this policy", "NAME"},
        {"seed", 0, POPT_ARG_LONG, &raw.seed, 0, "seed of generated traces", "N"},
        {"instances", 0, POPT_ARG_LONG, &raw.instances, 0, "instances in generated traces", "N"},
        {"print-trace", 0, POPT_ARG_NONE, &raw.printTrace, 0, "print the trace itself", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<std::remove_pointer_t<poptContext>, decltype(&poptFreeContext)> context(
        poptGetContext("lavenderhall", argc, argv, options, 0), poptFreeContext);
    const std::string usage = std::string("lavenderhall ") + subcommand.name + " "
        + subcommand.positionals + " [OPTIONS]";
    poptSetOtherOptionHelp(context.get(), usage.c_str());
    const int code = poptGetNextOpt(context.get());
    if (code < -1)
        return fail(ErrorCode::BadInput, "read command line",
                    std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code));

    Arguments arguments;
    while (const char *positional = poptGetArg(context.get()))
        arguments.positionals.emplace_back(positional);
    const std::string storeAddress = optionOrEnvironment(raw.store, "LAVENDERHALL_STORE");
    if (!storeAddress.empty()) {
        BOOST_LEAF_ASSIGN(arguments.storeAddress, parseAddressArgument(storeAddress));
    }
    BOOST_LEAF_ASSIGN(arguments.adminAddresses,
                      parseAddressList(optionOrEnvironment(raw.admins, "LAVENDERHALL_ADMINS")));
    arguments.settingsFile = raw.settings ? raw.settings : "";
    arguments.author = optionOrEnvironment(raw.author, "USER");
    arguments.requestId = raw.request ? raw.request : "";
    arguments.organisation = raw.organisation ? raw.organisation : "";
    arguments.eventKind = raw.kind ? raw.kind : "";
    arguments.traceFile = raw.trace ? raw.trace : "";
    arguments.policy = raw.policy ? raw.policy : "";
    arguments.seed = raw.seed;
    arguments.traceInstances = raw.instances;
    arguments.printsTrace = raw.printTrace != 0;
    arguments.baseVersion = raw.base;
    arguments.printsJson = raw.json != 0;
    arguments.printsProgram = raw.program != 0;
    arguments.isCheckOnly = raw.check != 0;
    return arguments;
}

int exitCodeOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadInput:
    case ErrorCode::NotFound:
        return ExitUsage;
    case ErrorCode::Conflict:
        return ExitConflict;
    case ErrorCode::Timeout: // the operation may have taken effect
        return ExitUnknown;
    default:
        return ExitFailed;
    }
}

/// Returns the text of the settings file, which fails if it is missing or is no JSON text.
Result<std::string> readCompleteSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    BOOST_LEAF_CHECK(parseJson(text, file));
    return text;
}

/// Returns the text of the settings at the start of an instance, "" if it was stopped meanwhile.
/// The file may just be about to be replaced, so one that is not complete is read again for a
/// while.
Result<std::string> awaitSettings(const std::string &file)
{
    http::Loop loop;
    bool isStopped = false;
    const auto onStopSignal = [&](int) {
        isStopped = true;
        loop.stop();
    };
    loop.onStopSignals(onStopSignal);
    const MonoTime startedAt = monoNow();
    MonoTime nextLine = startedAt;
    for (;;) {
        const auto text = toOutcome([&] { return readCompleteSettings(file); });
        if (const auto *complete = std::get_if<std::string>(&text)) {
            // A signal that this loop has caught is not passed on to the next one.
            http::holdSignals();
            loop.runFor(Millis(0));
            return isStopped ? std::string() : *complete;
        }
        const Error &error = std::get<Error>(text);
        const MonoTime now = monoNow();
        const auto waited = std::chrono::duration_cast<Millis>(now - startedAt);
        if (waited > MaxSettingsWait)
            return leaf::new_error(error);
        if (now >= nextLine) {
            nextLine = now + SettingsLogInterval;
            logEvent(
                LogLevel::Warning, "start_delayed",
                {{"settings", file}, {"detail", error.message()}, {"waited_ms", waited.count()}});
        }
        loop.runFor(SettingsRetryInterval);
        if (isStopped)
            return std::string();
    }
}

int runSubcommand(const Subcommand &subcommand, int argc, const char **argv,
                  const PlatformAdapter &adapter)
{
    const auto outcome = toOutcome([&]() -> Result<int> {
        BOOST_LEAF_AUTO(arguments, parseArguments(subcommand, argc, argv));
        arguments.adapter = &adapter;
        return subcommand.handler(arguments);
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        // Only a router has opened the log.
        logEvent(LogLevel::Error, "start_failed", {{"detail", error->message()}});
        std::cerr << "lavenderhall " << subcommand.name << ": " << error->message() << std::endl;
        return exitCodeOf(error->code);
    }
    return std::get<int>(outcome);
}

} // namespace

int runCommandLine(int argc, const char **argv, const PlatformAdapter &adapter)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "router") {
        http::holdSignals();
        // Otherwise each thread may reserve 64 MB of addresses, which a limit on them counts. One
        // thread does nearly all the work, so a shared heap costs little.
        mallopt(M_ARENA_MAX, 1);
    }
    if (sodium_init() < 0) {
        std::cerr << "lavenderhall: the random number generator cannot be initialised" << std::endl;
        return ExitFailed;
    }
    if (name == "--version") {
        std::cout << "lavenderhall " << LAVENDERHALL_VERSION << std::endl;
        return ExitDone;
    }
    if (name == "--help" || name == "help") {
        printHelp();
        return ExitDone;
    }
    for (const Subcommand &subcommand : subcommands()) {
        if (name == subcommand.name)
            return runSubcommand(subcommand, argc - 1, argv + 1, adapter);
    }
    std::cerr << "lavenderhall: found \"" << name << "\", expected a subcommand\n" << std::endl;
    printHelp();
    return ExitUsage;
}

Result<int> runRouter(const Arguments &arguments)
{
    if (arguments.settingsFile.empty())
        return fail(ErrorCode::BadInput, "start", "--settings FILE is missing");
    if (arguments.isCheckOnly) {
        BOOST_LEAF_CHECK(loadSettings(arguments.settingsFile));
        std::cout << arguments.settingsFile << ": good" << std::endl;
        return ExitDone;
    }
    openLog(LogLevel::Info, "");
    BOOST_LEAF_AUTO(settingsText, awaitSettings(arguments.settingsFile));
    if (settingsText.empty())
        return ExitDone;
    BOOST_LEAF_AUTO(settings, parseSettings(settingsText, arguments.settingsFile));
    openLog(settings.logLevel, settings.instance);
    reportFailures(settings.instance);
    try {
        http::Loop loop;
        if (settings.dialect == Dialect::Forward) {
            ForwardDaemon daemon(loop, settings, arguments.settingsFile, *arguments.adapter);
            return daemon.run();
        }
        Daemon daemon(loop, settings);
        return daemon.run();
    } catch (const std::runtime_error &error) {
        return fail(ErrorCode::Unavailable, "start", error.what());
    }
}

Result<int> runLibrary(const Arguments &)
{
    std::cout << libraryText() << std::flush;
    return ExitDone;
}

Result<int> runFleetKeys(const Arguments &)
{
    std::array<char, KeyTextBytes> publicKey{};
    std::array<char, KeyTextBytes> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
        return fail(ErrorCode::Internal, "generate fleet keys", "ZeroMQ was built without CURVE");
    const Json keys{{"public", publicKey.data()}, {"secret", secretKey.data()}};
    std::cout << keys.dump() << std::endl;
    return ExitDone;
}

} // namespace lavenderhall
