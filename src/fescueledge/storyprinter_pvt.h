#pragma once

#include "jobstory_pvt.h"
#include "storysummary_pvt.h"

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>

namespace fescueledge {

/// Shows a story and its summary, to people or to programs.
class StoryPrinter
{
public:
    /// Both must outlive the printer.
    StoryPrinter(const JobStory &story, const StorySummary &summary);

    void printText(std::ostream &out) const;
    nlohmann::json json() const;

private:
    void printLine(std::ostream &out, const StoryLine &line) const;
    void printIdle(std::ostream &out, const char *name, const IdleSpan &idle) const;
    void printEnd(std::ostream &out) const;
    void printDoubts(std::ostream &out) const;
    Milliseconds since(LogTime time) const;

    const JobStory &m_story;
    const StorySummary &m_summary;
};

} // namespace fescueledge
