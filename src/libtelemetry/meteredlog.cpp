#include "fescueledge/meteredlog.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fescueledge {

namespace {

/// In seconds, from the latency of a response within one data centre to the longest timeout of a caller.
const prometheus::Histogram::BucketBoundaries bucketBoundaries{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
constexpr double millisecondsPerSecond = 1000;

} // namespace

struct MeteredLog::State
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &events =
        prometheus::BuildCounter().Name("fescueledge_events_total").Help("Decisions, as logged.").Register(registry);
    prometheus::Family<prometheus::Histogram> &times = prometheus::BuildHistogram()
                                                           .Name("fescueledge_event_seconds")
                                                           .Help("How long what an event tells of took.")
                                                           .Register(registry);
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
};

MeteredLog::MeteredLog(EventLog *next)
    : m_next(next)
    , m_state(std::make_unique<State>())
{
}

MeteredLog::~MeteredLog() = default;

void MeteredLog::write(const LogLine &line)
{
    const std::string event(line.event());
    m_state->events.Add({{"event", event}, {"outcome", line.outcome()}}).Increment();
    if (line.took()) {
        m_state->times.Add({{"event", event}}, bucketBoundaries)
            .Observe(static_cast<double>(line.took()->count()) / millisecondsPerSecond);
    }
    m_next->write(line);
}

void MeteredLog::setGauge(const std::string &name, double value)
{
    prometheus::Family<prometheus::Gauge> *&family = m_state->gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge()
                      .Name("fescueledge_" + name)
                      .Help("See the operations page.")
                      .Register(m_state->registry);
    }
    family->Add({}).Set(value);
}

std::string MeteredLog::page() const
{
    return prometheus::TextSerializer().Serialize(m_state->registry.Collect());
}

} // namespace fescueledge
