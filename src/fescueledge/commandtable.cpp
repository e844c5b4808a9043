#include "commandtable_pvt.h"

#include <sstream>

namespace fescueledge {

namespace {

constexpr const char *exitCodeHelp = "Exit codes:\n"
                                     "  0  done; a change is in force everywhere\n"
                                     "  1  refused with a typed error; nothing was changed\n"
                                     "  2  wrong command line\n"
                                     "  3  conflict: the change was made against a version that is no longer current\n"
                                     "  4  no node could be reached; nothing was changed\n"
                                     "  5  outcome unknown: the answer was lost and the change was not found\n"
                                     "  6  accepted, but not yet in force everywhere\n";

constexpr std::size_t maxLogFiles = 1000; ///< Per call; a node has only a few log files.

constexpr const char *environmentHelp = "Environment:\n"
                                        "  FESCUELEDGE_NODES       used without --node\n"
                                        "  FESCUELEDGE_TOKEN_FILE  used without --token-file\n"
                                        "  USER                    used without --who\n";

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream in(text);
    std::vector<std::string> words;
    std::string word;
    while (in >> word) {
        words.push_back(word);
    }
    return words;
}

/// True if one of @p words and @p prefix is a prefix of the other.
bool eitherIsPrefix(const std::vector<std::string> &words, const std::vector<std::string> &prefix)
{
    for (std::size_t i = 0; i < words.size() && i < prefix.size(); ++i) {
        if (words[i] != prefix[i]) {
            return false;
        }
    }
    return true;
}

std::string optionHelp(const OptionSpec &spec)
{
    std::string text =
        "  --" + std::string(spec.name) + (spec.valueName == nullptr ? "" : std::string(" ") + spec.valueName);
    constexpr std::size_t helpColumn = 28;
    text.resize(std::max(text.size() + 1, helpColumn), ' ');
    return text + spec.help + "\n";
}

std::string commandHelp(const CommandEntry &entry, bool withOptions)
{
    std::string text = "  fescueledge " + std::string(entry.name);
    text += *entry.operands == '\0' ? "" : std::string(" ") + entry.operands;
    text += "\n      " + std::string(entry.help) + "\n";
    if (withOptions) {
        for (const char *option : entry.options) {
            text += "    " + optionHelp(*findOption(option));
        }
    }
    return text;
}

} // namespace

const std::vector<CommandEntry> &commandTable()
{
    static const std::vector<CommandEntry> table{
        {"config check",
         &Commands::configCheck,
         "ROUTES POOLS",
         2,
         2,
         {},
         "Check both tables locally, and on a node too if --node is given. Prints all findings."},
        {"config diff",
         &Commands::configDiff,
         "ROUTES POOLS",
         2,
         2,
         {},
         "Show what applying the tables would change, with the version and the digest to review."},
        {"config apply",
         &Commands::configApply,
         "ROUTES POOLS",
         2,
         2,
         {"who", "why", "expected-version", "digest"},
         "Apply both tables as one change and wait until it is in force everywhere."},
        {"config show",
         &Commands::configShow,
         "[routes|pools]",
         0,
         1,
         {},
         "Show the configuration in force; with routes or pools, that table byte for byte."},
        {"config history", &Commands::configHistory, "", 0, 0, {"limit"}, "List accepted changes, the latest first."},
        {"datacentre out",
         &Commands::dataCentreOut,
         "NAME",
         1,
         1,
         {"who", "why"},
         "Take a data centre out of service and wait until nothing starts there any more."},
        {"datacentre in", &Commands::dataCentreIn, "NAME", 1, 1, {"who", "why"}, "Bring a data centre back."},
        {"datacentre list", &Commands::dataCentreList, "", 0, 0, {}, "List the data centres."},
        {"status", &Commands::status, "", 0, 0, {}, "Show the node that answers, and nodes, shards and workers."},
        {"jobs submit",
         &Commands::jobsSubmit,
         "[FILE]",
         0,
         1,
         {"customer", "team", "key", "name", "class", "pool", "tasks", "cores", "memory", "accelerators", "payload"},
         "Submit a job from options, or from a JSON file that the options extend or override. Exit code 0 means that "
         "the job is stored durably."},
        {"jobs show", &Commands::jobsShow, "JOB", 1, 1, {}, "Show one job."},
        {"jobs list", &Commands::jobsList, "", 0, 0, {"customer", "state", "limit"}, "List jobs."},
        {"jobs cancel", &Commands::jobsCancel, "JOB", 1, 1, {"who"}, "Cancel a job."},
        {"explain task", &Commands::explainTask, "JOB/INDEX", 1, 1, {}, "Explain why a task waits, or how it ended."},
        {"explain request", &Commands::explainRequest, "ID", 1, 1, {}, "Explain how a request was handled."},
        {"explain log",
         &Commands::explainLog,
         "JOB FILE...",
         2,
         1 + maxLogFiles,
         {},
         "Reconstruct a job's timeline from saved logs of nodes, without contacting a node."},
        {"explain place",
         &Commands::explainPlace,
         "FILE",
         1,
         1,
         {"host", "path", "account"},
         "Show where the job in FILE, as callers send it, would go now and why. Nothing is sent to a worker. --node is "
         "the metrics listener of a node, which asks for no token."},
        {"audit", &Commands::audit, "", 0, 0, {"limit"}, "Print the audit trail of changes."},
        {"settings",
         &Commands::settings,
         "[daemon|routes|pools]",
         0,
         1,
         {"markdown"},
         "Print every key of the settings and tables."},
    };
    return table;
}

const CommandEntry *findCommand(const std::vector<std::string> &words)
{
    for (const CommandEntry &entry : commandTable()) {
        std::vector<std::string> name = splitWords(entry.name);
        if (words.size() >= name.size() && eitherIsPrefix(name, words)) {
            return &entry;
        }
    }
    return nullptr;
}

std::string helpText(const std::vector<std::string> &words)
{
    std::string commands;
    for (const CommandEntry &entry : commandTable()) {
        if (!words.empty() && eitherIsPrefix(splitWords(entry.name), words)) {
            commands += commandHelp(entry, true);
        }
    }
    if (commands.empty()) {
        for (const CommandEntry &entry : commandTable()) {
            commands += commandHelp(entry, false);
        }
    }
    std::string text = "Usage:\n" + commands + "\nOptions of every command:\n";
    for (const OptionSpec &spec : optionSpecs()) {
        if (spec.global) {
            text += optionHelp(spec);
        }
    }
    return text + "\n" + environmentHelp + "\n" + exitCodeHelp;
}

} // namespace fescueledge
