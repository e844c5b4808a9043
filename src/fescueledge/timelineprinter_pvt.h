#pragma once

#include "jobsummary_pvt.h"
#include "jobtimeline_pvt.h"

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>

namespace fescueledge {

/// Prints a timeline and its summary as text or JSON.
class TimelinePrinter
{
public:
    /// Both must outlive the printer.
    TimelinePrinter(const JobTimeline &timeline, const JobSummary &summary);

    void printText(std::ostream &out) const;
    nlohmann::json json() const;

private:
    void printLine(std::ostream &out, const TimelineLine &line) const;
    void printIdle(std::ostream &out, const char *name, const IdleSpan &idle) const;
    void printEnd(std::ostream &out) const;
    void printCaveats(std::ostream &out) const;
    Milliseconds sinceOrigin(LogTime time) const;

    const JobTimeline &m_timeline;
    const JobSummary &m_summary;
};

} // namespace fescueledge
