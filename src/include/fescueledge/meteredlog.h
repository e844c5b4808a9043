#pragma once

#include "fescueledge/eventlog.h"

#include <memory>
#include <string>

namespace fescueledge {

/// Counts log lines for a metrics page and forwards them to another log.
///
/// `fescueledge_events_total{event,outcome}` counts lines; `fescueledge_event_seconds{event}` is a histogram of the
/// `took_ms` values of the lines. Each counter on the page thus corresponds to lines in the log, including lines that
/// the log suppressed by its rate limit.
class MeteredLog : public EventLog
{
public:
    /// Forwards to @p next, which must outlive this log.
    explicit MeteredLog(EventLog *next);
    ~MeteredLog() override;
    MeteredLog(const MeteredLog &) = delete;
    MeteredLog &operator=(const MeteredLog &) = delete;

    void write(const LogLine &line) override;
    /// Sets gauge `fescueledge_@p name`.
    void setGauge(const std::string &name, double value);
    /// The metrics page, in the text format of Prometheus.
    std::string page() const;

private:
    struct State;
    EventLog *m_next;
    std::unique_ptr<State> m_state;
};

} // namespace fescueledge
