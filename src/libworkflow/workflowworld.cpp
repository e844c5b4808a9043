#include "workflowworld_pvt.h"

#include <algorithm>
#include <iterator>

namespace fescueledge::workflow {

namespace {

constexpr Milliseconds latency{1};
constexpr Milliseconds observePoll{5};
constexpr std::int64_t memoryMb = 100;
constexpr Milliseconds callerTimeout{3000};

/// Sends the orders of one process to the simulated workers.
class SimGateway : public WorkerGateway
{
public:
    SimGateway(SimWorld *world, Loop *loop, SimWorkers *workers, NodeId self)
        : m_world(world)
        , m_loop(loop)
        , m_workers(workers)
        , m_self(std::move(self))
    {
    }

    void start(const WorkerRef &worker, const StartOrder &order, Milliseconds timeout, OrderHandler handler) override
    {
        if (startDelay > Duration::zero()) {
            startLater(worker, order, timeout, handler);
            return;
        }
        const Duration heldUp = startAnswerDelay;
        deliver(
            worker, timeout,
            [this, heldUp, handler](const OrderResult &result) {
                m_loop->postAfter(heldUp, [handler, result] {
                    handler(result);
                });
            },
            [this, worker, order] {
                OrderResult notSent;
                notSent.outcome = OrderOutcome::NotSent;
                return isAddressed(worker.id, order) ? m_workers->start(worker.id, order) : notSent;
            });
    }

    void stop(const WorkerRef &worker, const TaskKey &task, RunNumber run, Term term, Milliseconds timeout,
              OrderHandler handler) override
    {
        if (stopsToLose > 0) {
            --stopsToLose;
            answerWithTimeout(timeout, handler);
            return;
        }
        ++stopsSent;
        deliver(worker, timeout, handler, [this, worker, task, run, term] {
            if (refusesStops) {
                OrderResult refused;
                refused.outcome = OrderOutcome::Unhealthy;
                return refused;
            }
            return m_workers->stop(worker.id, task, run, term);
        });
    }

    void pace(const WorkerRef &worker, const TaskKey &task, RunNumber run, int percent, Term term, Milliseconds timeout,
              OrderHandler handler) override
    {
        if (paceDelay > Duration::zero()) {
            m_world->after(paceDelay, [this, worker, task, run, percent, term] {
                if (reaches(worker.id)) {
                    m_workers->pace(worker.id, task, run, percent, term);
                }
            });
            answerWithTimeout(timeout, handler);
            return;
        }
        deliver(worker, timeout, handler, [this, worker, task, run, percent, term] {
            return m_workers->pace(worker.id, task, run, percent, term);
        });
    }

    void observe(const WorkerRef &worker, const ObserveOrder &order, Milliseconds timeout,
                 ObserveHandler handler) override
    {
        ++m_observations;
        if (!connects(worker.id) || (dropEvery > 0 && m_observations % dropEvery == 0)) {
            m_loop->postAfter(timeout, [handler] {
                handler(Observation{});
            });
            return;
        }
        const TimePoint deadline = m_world->now() + timeout;
        m_world->after(latency, [this, worker, order, deadline, handler] {
            observeUntil(worker, order, m_world->now() + order.wait, deadline, handler);
        });
    }

    Duration startDelay{0};
    Duration startAnswerDelay{0}; ///< Starts take effect at once, and their answers come after this.
    Duration observationAnswerDelay{0}; ///< Lists are made at once, and come after this.
    bool answersDelayedStarts = false; ///< Unless the start takes effect after its timeout.
    Duration paceDelay{0};
    Duration answerTime{0}; ///< Processor time that each answer takes; one is handled after the other.
    bool refusesStops = false; ///< Workers answer stop orders as unhealthy ones do.
    int stopsSent = 0; ///< Stop orders that were not lost.
    int stopsToLose = 0; ///< This many following stop orders are not delivered.
    int dropEvery = 0; ///< Every observation with a multiple of this number gets no answer; 0 for none.

private:
    bool reaches(const WorkerId &id) const
    {
        const SimWorkers::SimWorker *worker = m_workers->find(id);
        return worker != nullptr && worker->up && worker->cutFrom.count(m_self) == 0;
    }

    /// Whether the worker is at that address; another one answers there otherwise.
    bool isAt(const WorkerRef &worker) const
    {
        const SimWorkers::SimWorker *known = m_workers->find(worker.id);
        return known == nullptr || known->entry.address == worker.address;
    }

    /// Whether the incarnation of the worker that is there now is the one that @p order is for.
    bool isAddressed(const WorkerId &id, const StartOrder &order) const
    {
        const SimWorkers::SimWorker *worker = m_workers->find(id);
        return order.incarnation == 0 || worker == nullptr || worker->entry.incarnation == order.incarnation;
    }

    /// Whether an order that is sent now reaches the worker; see SimWorkers::connectionsOutliveCrashes.
    bool connects(const WorkerId &id)
    {
        if (!reaches(id)) {
            return false;
        }
        std::int64_t &incarnation = m_connectedTo[id];
        const std::int64_t before = incarnation;
        incarnation = m_workers->find(id)->entry.incarnation;
        return before == 0 || before == incarnation || !m_workers->connectionsOutliveCrashes;
    }

    /// Carries out @p order after startDelay, whatever incarnation of the worker is there then, unless delayed starts
    /// are bound to theirs.
    void startLater(const WorkerRef &worker, const StartOrder &order, Milliseconds timeout, const OrderHandler &handler)
    {
        const bool isAnswered = answersDelayedStarts && startDelay < timeout;
        const Duration left = timeout - startDelay;
        if (!isAnswered) {
            answerWithTimeout(timeout, handler);
        }
        m_world->after(startDelay, [this, worker, order, isAnswered, left, handler] {
            const bool isBarred = m_workers->bindsDelayedStarts && !isAddressed(worker.id, order);
            const bool arrives = reaches(worker.id) && !isBarred;
            const OrderResult result = arrives ? m_workers->start(worker.id, order) : OrderResult{};
            if (isAnswered) {
                m_loop->postAfter(arrives ? Duration(latency) : left, [handler, result] {
                    handler(result);
                });
            }
        });
    }

    void answerWithTimeout(Milliseconds timeout, const OrderHandler &handler)
    {
        m_loop->postAfter(timeout, [handler] {
            handler(OrderResult{});
        });
    }

    void deliver(const WorkerRef &worker, Milliseconds timeout, const OrderHandler &handler,
                 const std::function<OrderResult()> &order)
    {
        if (!connects(worker.id)) {
            answerWithTimeout(timeout, handler);
            return;
        }
        const TimePoint deadline = m_world->now() + timeout;
        m_world->after(latency, [this, worker, timeout, deadline, handler, order] {
            OrderResult result;
            result.outcome = OrderOutcome::OtherIncarnation;
            if (isAt(worker)) {
                result = order();
            }
            if (!reaches(worker.id)) { // It crashed before it answered.
                answerWithTimeout(timeout, handler);
                return;
            }
            answerBy(
                deadline,
                [handler, result] {
                    handler(result);
                },
                [handler] {
                    handler(OrderResult{});
                });
        });
    }

    /// Runs @p answer once the processor has got to it, or @p timeout if that is after @p deadline.
    void answerBy(TimePoint deadline, const std::function<void()> &answer, const std::function<void()> &timeout)
    {
        const TimePoint now = m_world->now();
        m_busyUntil = std::max(m_busyUntil, now + latency) + answerTime;
        if (m_busyUntil > deadline) {
            m_loop->postAfter(std::max<Duration>(deadline - now, Duration::zero()), timeout);
        } else {
            m_loop->postAfter(m_busyUntil - now, answer);
        }
    }

    void observeUntil(const WorkerRef &worker, const ObserveOrder &order, TimePoint until, TimePoint deadline,
                      const ObserveHandler &handler)
    {
        Loop *loop = m_loop;
        if (!reaches(worker.id)) {
            loop->postAfter(latency, [handler] {
                handler(Observation{});
            });
            return;
        }
        Observation seen;
        seen.outcome = OrderOutcome::OtherIncarnation;
        if (isAt(worker)) {
            seen = m_workers->observe(worker.id, order);
        }
        if (seen.outcome != OrderOutcome::Done || !seen.ended.empty() || m_world->now() >= until) {
            const Duration heldUp = observationAnswerDelay;
            answerBy(
                deadline,
                [loop, heldUp, handler, seen] {
                    loop->postAfter(heldUp, [handler, seen] {
                        handler(seen);
                    });
                },
                [handler] {
                    handler(Observation{});
                });
            return;
        }
        m_world->after(observePoll, [this, worker, order, until, deadline, handler] {
            observeUntil(worker, order, until, deadline, handler);
        });
    }

    SimWorld *m_world;
    Loop *m_loop;
    SimWorkers *m_workers;
    NodeId m_self;
    TimePoint m_busyUntil{};
    std::map<WorkerId, std::int64_t> m_connectedTo; ///< Incarnation to which the connection was made.
    int m_observations = 0;
};

/// The list of simulated workers, for one process.
class SimFleetSource : public FleetSource
{
public:
    SimFleetSource(Loop *loop, SimWorkers *workers)
        : m_loop(loop)
        , m_workers(workers)
    {
        workers->listeners.push_back([state = m_state, loop](const FleetUpdate &update) {
            if (state->withheld) {
                return;
            }
            loop->postAfter(latency, [state, update] {
                if (state->handler) {
                    state->handler(update);
                }
            });
        });
    }

    void follow(Handler handler) override
    {
        m_state->handler = std::move(handler);
        publishAll();
    }

    void stop() override
    {
        m_state->handler = nullptr;
    }

    Duration confirmedAt() const override
    {
        return (m_state->withheld ? m_state->withheldSince : m_loop->now()).time_since_epoch();
    }

    /// Withholds updates; afterwards the whole list is published again.
    void withhold(bool on)
    {
        m_state->withheld = on;
        m_state->withheldSince = m_loop->now();
        if (!on && m_state->handler) {
            publishAll();
        }
    }

private:
    struct State
    {
        Handler handler;
        bool withheld = false;
        TimePoint withheldSince{};
    };

    void publishAll()
    {
        FleetUpdate all;
        all.complete = true;
        all.present = m_workers->listed();
        m_loop->postAfter(latency, [state = m_state, all] {
            if (state->handler && !state->withheld) {
                state->handler(all);
            }
        });
    }

    Loop *m_loop;
    SimWorkers *m_workers;
    std::shared_ptr<State> m_state = std::make_shared<State>();
};

/// Publishes the catalogs that a test sets.
class SimCatalogSource : public CatalogSource
{
public:
    explicit SimCatalogSource(Loop *loop)
        : m_loop(loop)
    {
    }

    void follow(Handler handler) override
    {
        m_handler = std::move(handler);
        publish();
    }

    void setContactHandler(std::function<void(bool)> handler) override
    {
        contact = std::move(handler);
    }

    std::function<void(bool)> contact;

    void set(const Catalog &catalog)
    {
        m_catalog = std::make_shared<Catalog>(catalog);
        publish();
    }

    Duration confirmedAt() const override
    {
        return (m_withheld ? m_withheldSince : m_loop->now()).time_since_epoch();
    }

    /// Withholds newer catalogs; afterwards the newest one is published.
    void withhold(bool on)
    {
        m_withheld = on;
        m_withheldSince = m_loop->now();
        publish();
    }

private:
    void publish()
    {
        if (m_handler && m_catalog && !m_withheld) {
            m_handler(m_catalog);
        }
    }

    Loop *m_loop;
    bool m_withheld = false;
    TimePoint m_withheldSince{};
    Handler m_handler;
    std::shared_ptr<const Catalog> m_catalog;
};

Catalog defaultCatalog()
{
    Catalog catalog;
    catalog.version = 1;
    for (const char *name : {"batch", "urgent"}) {
        QueuePolicy queue;
        queue.name = name;
        queue.service = "pool";
        queue.priority = std::string(name) == "urgent" ? 0 : 2;
        queue.maxAttempts = 3;
        queue.slackFactor = 2;
        queue.target = Milliseconds(1000);
        catalog.queues.push_back(queue);
    }
    ServicePolicy service;
    service.name = "pool";
    service.workersEnforceCapacity = true;
    catalog.services.emplace(service.name, service);
    return catalog;
}

} // namespace

bool MemoryLog::isOf(const std::string &line, const std::string &event)
{
    const std::string head = "event=" + event;
    return line == head || line.compare(0, head.size() + 1, head + " ") == 0;
}

std::int64_t MemoryLog::sum(const std::string &event, const std::string &key, std::size_t skipped) const
{
    std::int64_t sum = 0;
    for (std::size_t i = skipped; i < lines.size(); ++i) {
        const std::string &line = lines[i];
        const std::size_t at = line.find(" " + key + "=");
        if (line.find("event=" + event + " ") != std::string::npos && at != std::string::npos) {
            sum += std::stoll(line.substr(at + key.size() + 2));
        }
    }
    return sum;
}

std::size_t MemoryLog::count(const std::string &event) const
{
    return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [&event](const std::string &line) {
        return isOf(line, event);
    }));
}

struct WorkflowWorld::Process
{
    Process(WorkflowWorld *owner, int index, std::uint64_t seed)
        : name("node-" + std::to_string(index))
        , loop(&owner->world)
        , table(&owner->world, &loop, &owner->rows, seed)
        , transport(&owner->network, &loop, name)
        , gateway(&owner->world, &loop, &owner->workers, name)
        , fleet(&loop, &owner->workers)
        , catalogs(&loop)
    {
        NodeDependencies parts;
        parts.loop = &loop;
        parts.table = &table;
        parts.peers = &transport;
        parts.gateway = &gateway;
        parts.fleet = &fleet;
        parts.catalogs = &catalogs;
        parts.log = &log;
        parts.wallClock = [this] {
            return std::chrono::time_point_cast<Milliseconds>(
                WallTime(std::chrono::duration_cast<Milliseconds>(loop.now().time_since_epoch())));
        };
        parts.sinceBoot = [this] {
            return loop.now().time_since_epoch();
        };
        WorkflowNodeIdentity self;
        self.name = name;
        self.peerAddress = name;
        self.seed = seed;
        if (!owner->m_withholdCatalog) {
            catalogs.set(owner->catalog);
        }
        node = std::make_unique<WorkflowNode>(parts, self, owner->settings);
    }

    NodeId name;
    SimLoop loop;
    FakeTableService table;
    FakePeerTransport transport;
    SimGateway gateway;
    SimFleetSource fleet;
    SimCatalogSource catalogs;
    MemoryLog log;
    std::unique_ptr<WorkflowNode> node;
    bool killed = false;
};

WorkflowWorld::WorkflowWorld(int nodes, std::uint64_t seed, const CoordinatorSettings &settings)
    : network(&world, seed)
    , workers(&world)
    , catalog(defaultCatalog())
    , settings(settings)
    , m_seed(seed)
{
    rows.limits = TableLimits{};
    for (int i = 0; i < nodes; ++i) {
        m_processes.push_back(nullptr);
        startNode(i);
    }
}

WorkflowWorld::~WorkflowWorld()
{
    for (const std::unique_ptr<Process> &process : m_processes) {
        process->loop.kill();
    }
}

void WorkflowWorld::startNode(int index)
{
    std::unique_ptr<Process> &slot = m_processes[static_cast<std::size_t>(index)];
    if (slot) {
        m_ended.push_back(std::move(slot)); // Its calls may still be pending.
    }
    slot = std::make_unique<Process>(this, index, ++m_seed * 1000 + static_cast<std::uint64_t>(index));
    Process *process = slot.get();
    network.setIsolated(process->name, false);
    process->loop.post([process] {
        process->node->start();
    });
}

void WorkflowWorld::restartWithoutCatalog(int index)
{
    kill(index);
    m_withholdCatalog = true;
    startNode(index);
    m_withholdCatalog = false;
}

void WorkflowWorld::kill(int index)
{
    Process &process = *m_processes[static_cast<std::size_t>(index)];
    process.loop.kill();
    process.killed = true;
    network.setIsolated(process.name, true);
}

void WorkflowWorld::resign(int index)
{
    Process *process = m_processes[static_cast<std::size_t>(index)].get();
    process->loop.post([process] {
        process->node->resign();
    });
}

void WorkflowWorld::pause(int index)
{
    m_processes[static_cast<std::size_t>(index)]->loop.pause();
}

void WorkflowWorld::resume(int index)
{
    m_processes[static_cast<std::size_t>(index)]->loop.resume();
}

int WorkflowWorld::coordinator() const
{
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        if (!m_processes[i]->killed && m_processes[i]->node->isCoordinator()) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

FakeTableService::Faults &WorkflowWorld::storeFaults(int index)
{
    return m_processes[static_cast<std::size_t>(index)]->table.faults;
}

void WorkflowWorld::dropObservations(int index, int every)
{
    m_processes[static_cast<std::size_t>(index)]->gateway.dropEvery = every;
}

void WorkflowWorld::delayStarts(int index, Duration delay, bool areAnswered)
{
    SimGateway &gateway = m_processes[static_cast<std::size_t>(index)]->gateway;
    gateway.startDelay = delay;
    gateway.answersDelayedStarts = areAnswered;
}

void WorkflowWorld::delayStartAnswers(int index, Duration delay)
{
    m_processes[static_cast<std::size_t>(index)]->gateway.startAnswerDelay = delay;
}

void WorkflowWorld::refuseStops(int index, bool areRefused)
{
    m_processes[static_cast<std::size_t>(index)]->gateway.refusesStops = areRefused;
}

int WorkflowWorld::stopsSent(int index) const
{
    return m_processes[static_cast<std::size_t>(index)]->gateway.stopsSent;
}

void WorkflowWorld::delayObservationAnswers(int index, Duration delay)
{
    m_processes[static_cast<std::size_t>(index)]->gateway.observationAnswerDelay = delay;
}

void WorkflowWorld::setAnswerTime(int index, Duration time)
{
    m_processes[static_cast<std::size_t>(index)]->gateway.answerTime = time;
}

void WorkflowWorld::loseStops(int index, int count)
{
    m_processes[static_cast<std::size_t>(index)]->gateway.stopsToLose = count;
}

void WorkflowWorld::withholdFleetUpdates(int index, bool on)
{
    m_processes[static_cast<std::size_t>(index)]->fleet.withhold(on);
}

void WorkflowWorld::reportCatalogContact(int index, bool answered)
{
    m_processes.at(static_cast<std::size_t>(index))->catalogs.contact(answered);
}

void WorkflowWorld::withholdCatalogs(int index, bool on)
{
    m_processes[static_cast<std::size_t>(index)]->catalogs.withhold(on);
}

MemoryLog &WorkflowWorld::log(int index)
{
    return m_processes[static_cast<std::size_t>(index)]->log;
}

std::size_t WorkflowWorld::countInLogs(const std::string &event)
{
    std::size_t n = 0;
    for (const std::unique_ptr<Process> &process : m_processes) {
        n += process->log.count(event);
    }
    return n;
}

std::vector<std::string> WorkflowWorld::linesOf(const std::string &event) const
{
    std::vector<std::string> out;
    for (const auto *processes : {&m_ended, &m_processes}) {
        for (const std::unique_ptr<Process> &process : *processes) {
            std::copy_if(process->log.lines.begin(), process->log.lines.end(), std::back_inserter(out),
                         [&event](const std::string &line) {
                             return MemoryLog::isOf(line, event);
                         });
        }
    }
    return out;
}

void WorkflowWorld::delayPaces(int index, Duration delay)
{
    m_processes[static_cast<std::size_t>(index)]->gateway.paceDelay = delay;
}

void WorkflowWorld::run(Duration span)
{
    world.runFor(span);
}

bool WorkflowWorld::runUntil(const std::function<bool()> &done, Duration limit)
{
    return world.runUntil(done, limit);
}

CallerAnswer WorkflowWorld::ask(int index,
                                const std::function<void(WorkflowNode *, WorkflowNode::AnswerHandler)> &question)
{
    const std::shared_ptr<std::optional<CallerAnswer>> got = std::make_shared<std::optional<CallerAnswer>>();
    Process *process = m_processes[static_cast<std::size_t>(index)].get();
    process->loop.post([process, question, got] {
        question(process->node.get(), [got](const CallerAnswer &answer) {
            *got = answer;
        });
    });
    runUntil(
        [got] {
            return got->has_value();
        },
        std::chrono::seconds(10));
    return got->value_or(CallerAnswer{});
}

Caller WorkflowWorld::caller() const
{
    return Caller{account, publicRoute.empty(), callerTimeout, publicRoute};
}

CallerOutcome WorkflowWorld::submit(int index, const JobId &id, const WorkflowSpec &spec, const std::string &queue)
{
    const QueuePolicy policy = *catalog.queue(queue);
    return ask(index,
               [&](WorkflowNode *node, const WorkflowNode::AnswerHandler &handler) {
                   node->submit(policy, id, spec, caller(), handler);
               })
        .outcome;
}

void WorkflowWorld::submitLater(int index, const JobId &id, const WorkflowSpec &spec,
                                const WorkflowNode::AnswerHandler &handler)
{
    const QueuePolicy policy = *catalog.queue("batch");
    Process *process = m_processes[static_cast<std::size_t>(index)].get();
    process->loop.post([process, policy, id, spec, caller = caller(), handler] {
        process->node->submit(policy, id, spec, caller, handler);
    });
}

CallerOutcome WorkflowWorld::cancel(int index, const JobId &id)
{
    return ask(index,
               [&](WorkflowNode *node, const WorkflowNode::AnswerHandler &handler) {
                   node->cancel(id, caller(), handler);
               })
        .outcome;
}

void WorkflowWorld::cancelLater(int index, const JobId &id)
{
    Process *process = m_processes[static_cast<std::size_t>(index)].get();
    process->loop.post([process, id, caller = caller()] {
        process->node->cancel(id, caller, [](const CallerAnswer &) {});
    });
}

CallerAnswer WorkflowWorld::explainPlace(int index, const WorkflowSpec &spec, const std::string &queue)
{
    const QueuePolicy policy = *catalog.queue(queue);
    return ask(index, [&](WorkflowNode *node, const WorkflowNode::AnswerHandler &handler) {
        node->explainPlace(policy, account, spec, handler);
    });
}

std::string WorkflowWorld::state(int index, const JobId &id)
{
    return ask(index,
               [&](WorkflowNode *node, const WorkflowNode::AnswerHandler &handler) {
                   node->status(id, caller(), handler);
               })
        .state;
}

std::optional<std::size_t> WorkflowWorld::pending(int index, const std::string &queue)
{
    const QueuePolicy policy = *catalog.queue(queue);
    const CallerAnswer answer = ask(index, [&](WorkflowNode *node, const WorkflowNode::AnswerHandler &handler) {
        node->pending(policy, handler);
    });
    return answer.outcome == CallerOutcome::Ok ? std::optional<std::size_t>(answer.pending) : std::nullopt;
}

void WorkflowWorld::setCatalog(const Catalog &newest)
{
    catalog = newest;
    for (const std::unique_ptr<Process> &process : m_processes) {
        Process *target = process.get();
        process->loop.post([target, newest] {
            target->catalogs.set(newest);
        });
    }
}

StepSpec simpleStep(std::uint32_t count)
{
    StepSpec step;
    step.count = count;
    step.perTask.milliCores = 1000;
    step.perTask.memoryMb = memoryMb;
    step.estimate = Milliseconds(100);
    return step;
}

WorkflowSpec workflowOf(std::vector<StepSpec> steps)
{
    WorkflowSpec spec;
    spec.payload = "work";
    spec.steps = std::move(steps);
    return spec;
}

} // namespace fescueledge::workflow
