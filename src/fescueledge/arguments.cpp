#include "arguments_pvt.h"

#include "exitcode_pvt.h"

#include <getopt.h>

namespace fescueledge {

namespace {

constexpr int firstOptionCode = 256; ///< Above all character codes that getopt_long returns.

std::vector<option> longOptions()
{
    std::vector<option> options;
    int code = firstOptionCode;
    for (const OptionSpec &spec : optionSpecs()) {
        options.push_back({spec.name, spec.valueName == nullptr ? no_argument : required_argument, nullptr, code++});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

void storeOption(Arguments &arguments, const OptionSpec &spec, const char *value)
{
    std::string text = value == nullptr ? std::string("yes") : value;
    std::string &stored = arguments.options[spec.name];
    bool repeatable = std::string(spec.name) == "node";
    if (!stored.empty() && spec.valueName != nullptr && !repeatable) {
        throw CommandFailure(ExitCode::Usage, "--" + std::string(spec.name) + " is given twice");
    }
    stored = stored.empty() || !repeatable ? text : stored + "," + text;
}

} // namespace

const std::vector<OptionSpec> &optionSpecs()
{
    static const std::vector<OptionSpec> specs{
        {"node", "IP:PORT", true, "operators' listener of a node; repeatable, or a comma-separated list"},
        {"token-file", "FILE", true, "file with the operators' token on its first line"},
        {"timeout", "TIME", true, "time limit of the command, such as 30s"},
        {"json", nullptr, true, "print the answer as JSON"},
        {"help", nullptr, true, "print help on the command"},
        {"version", nullptr, true, "print the version"},
        {"who", "NAME", false, "name of the operator; default: the current user"},
        {"why", "TEXT", false, "reason for the change, recorded in the audit trail"},
        {"expected-version", "N", false, "version that the change was reviewed against; default: the current one"},
        {"digest", "HEX", false, "reviewed digest; the change is refused if the files have another"},
        {"limit", "N", false, "maximum number of entries"},
        {"customer", "NAME", false, "customer of the job"},
        {"team", "NAME", false, "team of the job"},
        {"state", "NAME", false, "all: also jobs that have ended; default: open jobs"},
        {"key", "TEXT", false, "idempotency key; default: a new one"},
        {"name", "TEXT", false, "display name of the job"},
        {"class", "NAME", false, "latency-critical or batch; default: batch"},
        {"pool", "NAME", false, "pool to run in; default: any"},
        {"tasks", "N", false, "number of tasks; default: 1"},
        {"cores", "N", false, "cores of each task, such as 1.5"},
        {"memory", "SIZE", false, "memory of each task, such as 512MB"},
        {"accelerators", "N", false, "accelerators of each task"},
        {"payload", "TEXT", false, "description of the work, passed to the worker"},
        {"host", "NAME", false, "host that callers send the job to"},
        {"path", "PATH", false, "path that callers send the job to"},
        {"account", "NAME", false, "client account of the job; default: none"},
        {"markdown", nullptr, false, "print Markdown tables"},
    };
    return specs;
}

const OptionSpec *findOption(const std::string &name)
{
    for (const OptionSpec &spec : optionSpecs()) {
        if (name == spec.name) {
            return &spec;
        }
    }
    return nullptr;
}

bool Arguments::has(const std::string &option) const
{
    return options.count(option) != 0;
}

std::string Arguments::value(const std::string &option, const std::string &fallback) const
{
    std::map<std::string, std::string>::const_iterator it = options.find(option);
    return it == options.end() ? fallback : it->second;
}

Arguments parseArguments(int argc, char **argv)
{
    Arguments arguments;
    std::vector<option> options = longOptions();
    optind = 0; // Resets getopt_long, so that it can parse more than one command line.
    opterr = 0;
    while (true) {
        int code = getopt_long(argc, argv, ":", options.data(), nullptr);
        if (code == -1) {
            break;
        }
        if (code == ':') {
            throw CommandFailure(ExitCode::Usage, std::string(argv[optind - 1]) + " needs a value");
        }
        if (code < firstOptionCode) {
            throw CommandFailure(ExitCode::Usage, "unknown or ambiguous option " + std::string(argv[optind - 1]));
        }
        storeOption(arguments, optionSpecs()[static_cast<std::size_t>(code - firstOptionCode)], optarg);
    }
    arguments.words.assign(argv + optind, argv + argc);
    return arguments;
}

} // namespace fescueledge
