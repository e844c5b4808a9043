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
    /// The metrics of the lines written so far. A look-up in the registry builds and hashes a map of labels.
    std::map<std::string, std::map<std::string, prometheus::Counter *>, std::less<>> counters; ///< By event, outcome.
    std::map<std::string, prometheus::Histogram *, std::less<>> histograms; ///< By event.

    prometheus::Counter &counter(std::string_view event, const std::string &outcome)
    {
        auto it = counters.find(event);
        if (it == counters.end()) {
            it = counters.try_emplace(std::string(event)).first;
        }
        prometheus::Counter *&counter = it->second[outcome];
        if (counter == nullptr) {
            counter = &events.Add({{"event", std::string(event)}, {"outcome", outcome}});
        }
        return *counter;
    }

    prometheus::Histogram &histogram(std::string_view event)
    {
        auto it = histograms.find(event);
        if (it == histograms.end()) {
            const std::string name(event);
            it = histograms.emplace(name, &times.Add({{"event", name}}, bucketBoundaries)).first;
        }
        return *it->second;
    }
};

MeteredLog::MeteredLog(EventLog *next)
    : m_next(next)
    , m_state(std::make_unique<State>())
{
}

MeteredLog::~MeteredLog() = default;

void MeteredLog::write(const LogLine &line)
{
    m_state->counter(line.event(), line.outcome()).Increment();
    if (line.took()) {
        m_state->histogram(line.event()).Observe(static_cast<double>(line.took()->count()) / millisecondsPerSecond);
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
