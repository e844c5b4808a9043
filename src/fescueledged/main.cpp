// The daemon that every entry VM runs.
#include "daemon_pvt.h"

#include "fescueledge/daemonsettings.h"
#include "fescueledge/settingserror.h"
#include "fescueledge/settingsparser.h"
#include "platform/platformnode.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <sstream>
#include <thread>
#ifdef FESCUELEDGE_MIMALLOC
#include <mimalloc.h>
#else
#include <malloc.h>
#endif

using namespace fescueledge;

namespace {

constexpr int exitOk = 0;
constexpr int exitBadSettings = 1;
constexpr int exitUsage = 2;
constexpr int exitDrainIncomplete = 3;
constexpr Milliseconds signalPollInterval{50};

std::atomic<int> stopSignalCount{0};

void onStopSignal(int)
{
    ++stopSignalCount;
}

bool hasSecondStopSignal()
{
    return stopSignalCount > 1;
}

constexpr const char *helpText =
    "usage: fescueledged --settings FILE [--check-settings]\n"
    "\n"
    "Runs the scheduler daemon of one entry VM.\n"
    "\n"
    "  --settings FILE    read the settings (INI) from FILE\n"
    "  --check-settings   check the settings, print all errors, and exit\n"
    "  --version          print the version and exit\n"
    "  --help             print this help and exit\n"
    "\n"
    "SIGTERM or SIGINT drains the node: it finishes the requests in flight and hands over the work it owns.\n"
    "A second signal ends the process immediately.\n"
    "\n"
    "Exit codes: 0 drained or checked; 1 invalid settings; 2 usage error; 3 stopped before the drain completed.\n";

/// The command line.
struct Arguments
{
    std::string settingsFile;
    bool checkOnly = false;
};

/// Parses the command line. Returns false and sets @p exitCode if the program should exit now.
bool parseArguments(int argc, char **argv, Arguments *arguments, int *exitCode)
{
    const option options[] = {{"settings", required_argument, nullptr, 's'},
                              {"check-settings", no_argument, nullptr, 'c'},
                              {"version", no_argument, nullptr, 'v'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    int opt = 0;
    while ((opt = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (opt == 's') {
            arguments->settingsFile = optarg;
        } else if (opt == 'c') {
            arguments->checkOnly = true;
        } else if (opt == 'v') {
            std::cout << "fescueledged " << FESCUELEDGE_VERSION << "\n";
            *exitCode = exitOk;
            return false;
        } else {
            (opt == 'h' ? std::cout : std::cerr) << helpText;
            *exitCode = opt == 'h' ? exitOk : exitUsage;
            return false;
        }
    }
    if (arguments->settingsFile.empty() || optind < argc) {
        std::cerr << helpText;
        *exitCode = exitUsage;
        return false;
    }
    return true;
}

DaemonSettings readSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        throw Error(ErrorKind::InvalidSettings, "cannot read " + fileName);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), fileName);
}

void initLogging(const LogSettings &settings, const char *program)
{
    FLAGS_logtostderr = settings.toStderr || settings.directory.empty();
    FLAGS_log_dir = settings.directory;
    FLAGS_minloglevel = settings.level == "error" ? 2 : (settings.level == "warning" ? 1 : 0);
    google::InitGoogleLogging(program);
}

/// Gives memory that the process has freed back to the system.
void releaseMemory()
{
#ifdef FESCUELEDGE_MIMALLOC
    mi_collect(true);
#else
    malloc_trim(0);
#endif
}

int runDaemon(const DaemonSettings &settings)
{
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
    Daemon daemon(settings);
    while (stopSignalCount == 0) {
        std::this_thread::sleep_for(signalPollInterval);
    }
    if (daemon.drain(hasSecondStopSignal)) {
        return exitOk;
    }
    // The drain limit was reached or a second signal arrived: exit without waiting for requests still in flight.
    google::FlushLogFiles(google::INFO);
    std::_Exit(exitDrainIncomplete);
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    int exitCode = exitOk;
    if (!parseArguments(argc, argv, &arguments, &exitCode)) {
        return exitCode;
    }
    try {
        const DaemonSettings settings = readSettings(arguments.settingsFile);
        if (arguments.checkOnly) {
            std::cout << arguments.settingsFile << ": settings are valid\n";
            return exitOk;
        }
        initLogging(settings.log, argv[0]);
        if (settings.workflow.enabled) {
            return platform::runNode(settings, releaseMemory);
        }
        return runDaemon(settings);
    } catch (const SettingsError &error) {
        for (const Finding &finding : error.findings()) {
            std::cerr << finding.toString() << "\n";
        }
        return exitBadSettings;
    } catch (const Error &error) {
        std::cerr << errorKindName(error.kind()) << ": " << error.what() << "\n";
        return exitBadSettings;
    }
}
