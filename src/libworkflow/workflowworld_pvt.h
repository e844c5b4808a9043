#pragma once

#include "fescueledge/eventlog.h"
#include "fescueledge/testing/fakenetwork.h"
#include "fescueledge/testing/fakepeertransport.h"
#include "fescueledge/testing/faketableservice.h"
#include "fescueledge/testing/memorytable.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"
#include "fescueledge/workflow/catalogsource.h"
#include "fescueledge/workflow/workflownode.h"
#include "simworkers_pvt.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescueledge::workflow {

/// Stores the log lines of a node.
class MemoryLog : public EventLog
{
public:
    void write(const LogLine &line) override
    {
        lines.push_back(line.text());
    }
    /// Number of lines of event @p event.
    std::size_t count(const std::string &event) const;
    /// The sum of @p key over all lines of event @p event after the first @p skipped lines.
    std::int64_t sum(const std::string &event, const std::string &key, std::size_t skipped) const;
    /// Whether @p line is of event @p event.
    static bool isOf(const std::string &line, const std::string &event);

    std::vector<std::string> lines;
};

/// Nodes, a store, and workers in virtual time, without a network.
class WorkflowWorld
{
public:
    /// One simulated process.
    struct Process;

    explicit WorkflowWorld(int nodes, std::uint64_t seed = 1, const CoordinatorSettings &settings = {});
    ~WorkflowWorld();
    WorkflowWorld(const WorkflowWorld &) = delete;
    WorkflowWorld &operator=(const WorkflowWorld &) = delete;

    void run(Duration span);
    /// Runs until @p done holds; false if it does not within @p limit.
    bool runUntil(const std::function<bool()> &done, Duration limit);

    /// Starts the process of node @p index, or restarts it if it was killed.
    void startNode(int index);
    void kill(int index);
    /// Lets node @p index give up coordination, as before a planned end.
    void resign(int index);
    void pause(int index);
    void resume(int index);
    /// The index of the node that coordinates; -1 if there is none.
    int coordinator() const;
    FakeTableService::Faults &storeFaults(int index);
    /// Loses the answer to every @p every-th observation of node @p index; 0 for none.
    void dropObservations(int index, int every);
    /// Makes each following start order of node @p index take effect after @p delay, on whatever incarnation of the
    /// worker is there then (see SimWorkers::bindsDelayedStarts). Its answer is lost, unless @p areAnswered and it
    /// comes before the order's timeout.
    void delayStarts(int index, Duration delay, bool areAnswered = false);

    /// Holds up the answers to the following start orders of node @p index for @p delay.
    void delayStartAnswers(int index, Duration delay);

    /// Makes workers refuse the stop orders of node @p index, as unhealthy ones do, if @p areRefused.
    void refuseStops(int index, bool areRefused);
    /// Number of stop orders that node @p index has sent.
    int stopsSent(int index) const;

    /// Holds up the lists that node @p index gets from workers for @p delay.
    void delayObservationAnswers(int index, Duration delay);

    /// The same as delayStarts() for pace orders.
    void delayPaces(int index, Duration delay);

    /// Makes node @p index spend @p time on each answer of a worker, one after the other; an answer that it gets to
    /// after its timeout is lost.
    void setAnswerTime(int index, Duration time);

    /// Loses the following @p count stop orders of node @p index.
    void loseStops(int index, int count);

    /// Withholds updates of the list of workers from node @p index while @p on.
    void withholdFleetUpdates(int index, bool on);
    /// Withholds newer catalogs from node @p index while @p on.
    void withholdCatalogs(int index, bool on);
    /// Ends a watch of the configuration by node @p index with or without an answer.
    void reportCatalogContact(int index, bool answered);

    /// Submits through node @p index and waits for the answer.
    CallerOutcome submit(int index, const JobId &id, const WorkflowSpec &spec, const std::string &queue = "batch");
    /// Submits without waiting for the answer.
    void submitLater(int index, const JobId &id, const WorkflowSpec &spec, const WorkflowNode::AnswerHandler &handler);
    CallerOutcome cancel(int index, const JobId &id);
    /// Cancels without waiting for the answer.
    void cancelLater(int index, const JobId &id);
    /// The state of job @p id that node @p index reports; empty if it reports none.
    std::string state(int index, const JobId &id);
    std::optional<std::size_t> pending(int index, const std::string &queue);
    /// What node @p index tells of where a job of @p spec would go.
    CallerAnswer explainPlace(int index, const WorkflowSpec &spec, const std::string &queue = "batch");
    /// Restarts node @p index without a catalog, until setCatalog().
    void restartWithoutCatalog(int index);
    /// Sets the catalog on all nodes.
    void setCatalog(const Catalog &catalog);
    MemoryLog &log(int index);
    /// Number of lines of event @p event in the logs of all nodes.
    std::size_t countInLogs(const std::string &event);
    /// The lines of event @p event in the logs of all processes, also of those that were killed.
    std::vector<std::string> linesOf(const std::string &event) const;

    SimWorld world;
    MemoryTable rows;
    FakeNetwork network;
    SimWorkers workers;
    Catalog catalog;
    std::string account; ///< Client account of the following requests.
    std::string publicRoute; ///< Queue of the public route that they are made to; empty if its route needs a key.
    CoordinatorSettings settings; ///< Of processes that are started from now on.

private:
    Caller caller() const;
    CallerAnswer ask(int index, const std::function<void(WorkflowNode *, WorkflowNode::AnswerHandler)> &question);

    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<std::unique_ptr<Process>> m_ended;
    std::uint64_t m_seed;
    bool m_withholdCatalog = false;
};

/// A step of @p count tasks of one core each.
StepSpec simpleStep(std::uint32_t count);
/// A workflow with these steps.
WorkflowSpec workflowOf(std::vector<StepSpec> steps);

} // namespace fescueledge::workflow
