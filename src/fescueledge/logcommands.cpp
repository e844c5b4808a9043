#include "commands_pvt.h"

#include "jobsummary_pvt.h"
#include "jobtimeline_pvt.h"
#include "timelineprinter_pvt.h"

#include "fescueledge/error.h"

#include <algorithm>
#include <ostream>
#include <set>

namespace fescueledge {

namespace {

constexpr std::size_t jobIdLength = 16; ///< Hex digits, as callers pass it.

bool isJobId(const std::string &text)
{
    return text.size() == jobIdLength && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

} // namespace

ExitCode Commands::explainLog()
{
    const std::string &job = m_arguments.words[0];
    if (!isJobId(job)) {
        throw Error(ErrorKind::InvalidArgument, job + " is not a job id, which has 16 hex digits");
    }
    const std::vector<std::string> files(m_arguments.words.begin() + 1, m_arguments.words.end());
    if (std::set<std::string>(files.begin(), files.end()).size() != files.size()) {
        throw Error(ErrorKind::InvalidArgument, "a log is named twice");
    }
    JobTimeline timeline(job);
    timeline.read(files);
    const JobSummary summary = summarize(timeline);
    const TimelinePrinter printer(timeline, summary);
    return print(m_arguments.has("json") ? printer.json() : nlohmann::json(), [&] {
        printer.printText(m_environment.out);
    });
}

} // namespace fescueledge
