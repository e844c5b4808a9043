#include "metricspage_pvt.h"

#include "apierror_pvt.h"
#include "daemoncontext_pvt.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/jobqueue.h"
#include "fescueledge/nodeauthority.h"
#include "fescueledge/requestdispatcher.h"
#include "fescueledge/websockettransport.h"
#include "fescueledge/workercontroller.h"
#include "looprequest_pvt.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace fescueledge {

namespace {

constexpr Milliseconds scrapeTimeout{2000};

/// The values of one scrape that must be read on the loop.
struct Snapshot
{
    RequestStatistics requests;
    QueueCounters queue;
    std::vector<WorkerStatus> workers;
    std::size_t ownedShards = 0;
    ControlVersion controlVersion = 0;
    double actForSeconds = 0;
};

Snapshot takeSnapshot(DaemonContext *context)
{
    Snapshot snapshot;
    snapshot.requests = context->dispatcher->statistics();
    snapshot.queue = context->queue->counters();
    snapshot.workers = context->workers->status();
    snapshot.ownedShards = context->authority->ownedShards().size();
    snapshot.controlVersion = context->authority->control()->version;
    snapshot.actForSeconds =
        std::chrono::duration<double>(context->authority->actUntil() - context->loop->now()).count();
    return snapshot;
}

/// Collects metric families without labels.
class MetricFamilies
{
public:
    void addCounter(const std::string &name, const std::string &help, std::uint64_t value)
    {
        add(name, help, prometheus::MetricType::Counter).counter.value = static_cast<double>(value);
    }

    void addGauge(const std::string &name, const std::string &help, double value)
    {
        add(name, help, prometheus::MetricType::Gauge).gauge.value = value;
    }

    std::string serialize() const
    {
        return prometheus::TextSerializer().Serialize(m_families);
    }

private:
    prometheus::ClientMetric &add(const std::string &name, const std::string &help, prometheus::MetricType type)
    {
        prometheus::MetricFamily family;
        family.name = "fescueledge_" + name;
        family.help = help;
        family.type = type;
        family.metric.emplace_back();
        m_families.push_back(family);
        return m_families.back().metric.back();
    }

    std::vector<prometheus::MetricFamily> m_families;
};

void addRequestMetrics(MetricFamilies *families, const RequestStatistics &statistics)
{
    families->addCounter("requests_total", "Requests of callers.", statistics.requests);
    families->addCounter("requests_succeeded_total", "Whole answers given to callers.", statistics.succeeded);
    families->addCounter("requests_failed_total", "Typed failures given to callers.", statistics.failed);
    families->addCounter("requests_limited_total", "Requests refused by a customer's limit.",
                         statistics.refusedByLimit);
    families->addCounter("requests_shed_total", "Requests refused as no slot came free in time.", statistics.shed);
    families->addCounter("endpoint_sends_total", "Requests sent to endpoints.", statistics.sends);
    families->addCounter("retries_total", "Further attempts after a failure.", statistics.retries);
    families->addCounter("forwards_total", "Requests handed to other nodes.", statistics.forwardsSent);
    families->addCounter("endpoint_ejections_total", "Endpoints ejected as they failed everything.",
                         statistics.ejections);
    families->addCounter("orders_unknown_total", "Keyed requests answered as possibly run.", statistics.unknownOrders);
    families->addGauge("requests_in_flight", "Requests not answered yet.", static_cast<double>(statistics.inFlight));
    families->addGauge("requests_queued", "Requests that wait for a slot.", static_cast<double>(statistics.queued));
    families->addGauge("endpoints_ejected", "Endpoints ejected now.", static_cast<double>(statistics.ejected));
    families->addGauge("orders_unsettled", "Keyed requests whose final row is not durable yet.",
                       static_cast<double>(statistics.ordersUnsettled));
}

void addQueueMetrics(MetricFamilies *families, const QueueCounters &counters)
{
    families->addCounter("queue_transactions_total", "Transactions of job partitions.", counters.transactions);
    families->addCounter("queue_rows_written_total", "Rows written by job partitions.", counters.rowsWritten);
    families->addCounter("queue_conflicts_total", "Transactions that a condition stopped.", counters.conflicts);
    families->addCounter("task_offers_total", "Attempts offered to nodes.", counters.offers);
    families->addCounter("task_refusals_total", "Offers refused.", counters.refusals);
    families->addCounter("task_claims_total", "Attempts claimed durably.", counters.claims);
    families->addCounter("task_finishes_total", "Finished tasks recorded.", counters.finishes);
    families->addCounter("task_evictions_total", "Attempts ended by a checkpoint.", counters.evictions);
    families->addCounter("task_losses_total", "Attempts lost with their worker.", counters.losses);
    families->addGauge("jobs_open", "Jobs of owned partitions that have not ended.",
                       static_cast<double>(counters.openJobs));
    families->addGauge("tasks_pending", "Tasks that wait.", static_cast<double>(counters.pendingTasks));
    families->addGauge("tasks_claimed", "Tasks claimed now.", static_cast<double>(counters.claimedTasks));
}

void addWorkerMetrics(MetricFamilies *families, const std::vector<WorkerStatus> &workers)
{
    int quarantined = 0;
    int throttled = 0;
    int notAdopted = 0;
    for (const WorkerStatus &worker : workers) {
        quarantined += worker.quarantined ? 1 : 0;
        notAdopted += worker.adopted ? 0 : 1;
        throttled += worker.throttled;
    }
    families->addGauge("workers_owned", "Workers that this node owns.", static_cast<double>(workers.size()));
    families->addGauge("workers_not_adopted", "Owned workers that have not answered yet.", notAdopted);
    families->addGauge("workers_quarantined", "Owned workers that get no work as they fail it.", quarantined);
    families->addGauge("tasks_throttled", "Attempts with less than their processors.", throttled);
}

} // namespace

void addMetricsPage(httplib::Server *server, DaemonContext *context)
{
    server->Get(
        "/metrics", withErrorHandling([context](const httplib::Request &, httplib::Response &response) {
            const Snapshot snapshot = readOnLoop<Snapshot>(context->loop, scrapeTimeout, [context] {
                return takeSnapshot(context);
            });
            MetricFamilies families;
            addRequestMetrics(&families, snapshot.requests);
            addQueueMetrics(&families, snapshot.queue);
            addWorkerMetrics(&families, snapshot.workers);
            families.addGauge("shards_owned", "Shards that this node owns.", static_cast<double>(snapshot.ownedShards));
            families.addGauge("control_version", "Version of the control state in force here.",
                              static_cast<double>(snapshot.controlVersion));
            families.addGauge("act_for_seconds", "Time for which this node may still act; negative if it may not.",
                              snapshot.actForSeconds);
            families.addCounter("peer_bytes_sent_total", "Bytes sent to other nodes.", context->transport->bytesSent());
            families.addCounter("peer_messages_sent_total", "Messages sent to other nodes.",
                                context->transport->messagesSent());
            response.set_content(families.serialize(), "text/plain; version=0.0.4");
        }));
}

} // namespace fescueledge
