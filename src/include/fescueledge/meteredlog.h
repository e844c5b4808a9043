#pragma once

#include "fescueledge/eventlog.h"

#include <memory>
#include <string>

namespace fescueledge {

/// Counts the lines of a log for a metrics page, and passes them on.
///
/// `fescueledge_events_total{event,outcome}` counts lines; `fescueledge_event_seconds{event}` is a histogram of the
/// times that lines carry as `took_ms`. So each counter on the page has its lines in the log, also those that the log
/// left out for their number.
class MeteredLog : public EventLog
{
public:
    /// @p next must outlive this log.
    explicit MeteredLog(EventLog *next);
    ~MeteredLog() override;
    MeteredLog(const MeteredLog &) = delete;
    MeteredLog &operator=(const MeteredLog &) = delete;

    void write(const LogLine &line) override;
    /// Sets gauge `fescueledge_@p name`.
    void setGauge(const std::string &name, double value);
    /// The page, in the text format of Prometheus.
    std::string page() const;

private:
    struct State;
    EventLog *m_next;
    std::unique_ptr<State> m_state;
};

} // namespace fescueledge
