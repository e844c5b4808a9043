#include "placementexperiment_pvt.h"

#include "../../libworker/workertestworld_pvt.h"
#include "fescueledge/random.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace fescueledge {

namespace {

constexpr int runSeconds = 1800;
constexpr int outageStart = 800;
constexpr int outageEnd = 1100;
constexpr int arrivalsEnd = 1800;
constexpr double requestsPerSample = 20; ///< Requests of one worker at full load in each sample.
constexpr double latencySpread = 0.6; ///< Sigma of the log-normal latency distribution.
constexpr double quantile99 = 2.326; ///< 99% quantile of the standard normal distribution.
constexpr double deadlineMs = 300;
constexpr double pi = 3.14159265358979;

/// A kind of batch task with its declared and its actual resource use.
struct TaskKind
{
    const char *name;
    double declaredCores; ///< Ratio of declared to actual cores.
    double trueCores; ///< Share of a VM that the task actually uses.
    double declaredMemory; ///< Ratio of declared to actual memory.
    double interference;
    int seconds;
    int weight; ///< Share of arrivals.
};

const TaskKind taskKinds[] = {
    {"polish", 1.5, 0.10, 2.0, 2.0, 180, 4},
    {"stub-plan", 2.0, 0.15, 1.5, 8.0, 120, 3},
    {"feed", 1.0, 0.05, 0.8, 1.0, 60, 6},
    {"noisy", 1.2, 0.20, 1.2, 28.0, 90, 2},
};

double loadAt(double second)
{
    return 0.45 + 0.35 * std::sin(2 * pi * second / runSeconds - pi / 2) * 1.0;
}

class Experiment
{
public:
    Experiment(const Deployment &deployment, const WorkerPolicy &policy, std::uint64_t seed)
        : m_deployment(deployment)
        , m_random(seed * 1000 + 7)
        , m_engine(seed)
        , m_world(settings(deployment, policy, seed))
    {
        m_world.fleet.latency = Milliseconds(deployment.latencyMs);
        m_world.network.latency = Milliseconds(deployment.latencyMs);
        m_world.fleet.setFailsAll("w07", true);
        m_world.fleet.setFailsAll("w21", true);
        m_world.fleet.behaviourOf = [this](const TaskCommand &command) {
            return behaviour(command);
        };
        m_world.fleet.loadOf = [this](const WorkerId &worker) {
            return load(worker);
        };
        m_start = m_world.world.now();
    }

    PlacementResult run()
    {
        for (int second = 0; second < runSeconds; ++second) {
            addArrivals(second);
            updateOutage(second);
            m_world.world.runFor(std::chrono::seconds(1));
            sampleRequests();
        }
        return result();
    }

private:
    static WorkerTestSettings settings(const Deployment &deployment, const WorkerPolicy &policy, std::uint64_t seed)
    {
        WorkerTestSettings settings;
        settings.nodes = 6;
        settings.dataCentres = deployment.dataCentres;
        settings.workers = deployment.workers;
        settings.workersPerRack = 8;
        settings.capacity = {deployment.milliCores, deployment.memoryMb, 0};
        settings.serviceReserve = {deployment.milliCores / 4, deployment.memoryMb / 4, 0};
        settings.targetP99 = Milliseconds(30);
        settings.policy = policy;
        settings.seed = seed;
        return settings;
    }

    double second() const
    {
        return std::chrono::duration<double>(m_world.world.now() - m_start).count();
    }

    double load(const WorkerId &worker) const
    {
        const double phase = worker.back() % 5 / 5.0;
        return std::clamp(loadAt(second()) + 0.15 * std::sin(second() / 40 + 2 * pi * phase), 0.05, 1.0);
    }

    const TaskKind &kindOf(const TaskId &task) const
    {
        const std::string name = task.substr(0, task.find(':'));
        for (const TaskKind &kind : taskKinds) {
            if (name == kind.name) {
                return kind;
            }
        }
        return taskKinds[0];
    }

    FakeTaskBehaviour behaviour(const TaskCommand &command) const
    {
        const TaskKind &kind = kindOf(command.task);
        FakeTaskBehaviour behaviour;
        behaviour.duration = std::chrono::seconds(kind.seconds);
        behaviour.use.milliCores =
            static_cast<std::int64_t>(kind.trueCores * static_cast<double>(m_deployment.milliCores));
        behaviour.use.memoryMb =
            static_cast<std::int64_t>(kind.trueCores * 0.8 * static_cast<double>(m_deployment.memoryMb));
        behaviour.interference = kind.interference;
        behaviour.fails = command.task.find("bad") != std::string::npos;
        return behaviour;
    }

    void addArrivals(int second)
    {
        if (second >= arrivalsEnd) {
            return;
        }
        const bool wave = second % 300 >= 200 && second % 300 < 230;
        const double perSecond = 0.018 * m_deployment.workers;
        for (const TaskKind &kind : taskKinds) {
            const bool noisy = kind.interference > 10;
            const double rate = perSecond * kind.weight / 15 * (noisy ? (wave ? 6.0 : 0.3) : 1.0);
            std::poisson_distribution<int> count(rate);
            for (int n = count(m_engine); n > 0; --n) {
                add(kind, m_random.chance(0.01));
            }
        }
    }

    void add(const TaskKind &kind, bool bad)
    {
        TaskOffer offer;
        offer.task = std::string(kind.name) + ":" + (bad ? "bad" : "") + std::to_string(m_added++) + "/0";
        offer.kind = kind.name;
        const double cores = kind.trueCores * static_cast<double>(m_deployment.milliCores);
        const double memory = kind.trueCores * 0.8 * static_cast<double>(m_deployment.memoryMb);
        offer.resources.milliCores = static_cast<std::int64_t>(cores * kind.declaredCores);
        offer.resources.memoryMb = static_cast<std::int64_t>(memory * kind.declaredMemory);
        m_world.queue.add(offer);
    }

    void updateOutage(int second)
    {
        if (second == outageStart) {
            m_world.setDataCentreOut("dc0", true);
            m_workAtOutageStart = usefulWork();
        } else if (second == outageEnd) {
            m_workDuringChange = usefulWork() - m_workAtOutageStart;
            m_world.setDataCentreOut("dc0", false);
        }
    }

    double usefulWork() const
    {
        return m_world.fleet.totals.workDone - m_world.fleet.totals.workLost;
    }

    /// Samples request latencies of each worker: their number is proportional to its load, their spread follows its
    /// p99.
    void sampleRequests()
    {
        std::normal_distribution<double> normal;
        for (const WorkerId &worker : m_world.fleet.names()) {
            const double p99 = m_world.fleet.trueP99Ms(worker);
            const int count = static_cast<int>(requestsPerSample * load(worker));
            for (int i = 0; i < count; ++i) {
                const double latency = p99 * std::exp(latencySpread * (normal(m_engine) - quantile99));
                m_latencies.push_back(static_cast<float>(latency));
            }
        }
    }

    double quantile(double share)
    {
        const auto it =
            m_latencies.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(m_latencies.size() - 1));
        std::nth_element(m_latencies.begin(), it, m_latencies.end());
        return *it;
    }

    PlacementResult result()
    {
        PlacementResult result;
        result.p99Ms = quantile(0.99);
        result.p999Ms = quantile(0.999);
        const auto slow = std::count_if(m_latencies.begin(), m_latencies.end(), [](float latency) {
            return latency > deadlineMs;
        });
        result.failedShare = static_cast<double>(slow) / static_cast<double>(m_latencies.size());
        result.finished = static_cast<int>(m_world.queue.done.size());
        result.evictions = m_world.queue.evicted;
        result.lostSeconds = m_world.fleet.totals.workLost;
        result.workDone = usefulWork();
        result.workDuringChange = m_workDuringChange;
        return result;
    }

    Deployment m_deployment;
    Random m_random;
    std::mt19937_64 m_engine;
    WorkerTestWorld m_world;
    TimePoint m_start;
    int m_added = 0;
    double m_workAtOutageStart = 0;
    double m_workDuringChange = 0;
    std::vector<float> m_latencies;
};

} // namespace

PlacementResult runPlacementExperiment(const Deployment &deployment, const WorkerPolicy &policy, std::uint64_t seed)
{
    return Experiment(deployment, policy, seed).run();
}

} // namespace fescueledge
