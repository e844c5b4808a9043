// Load pattern: a large fleet that is nearly full of serving tasks, fillers and plain tasks, with thousands of starts a
// second. The choice of a worker has to be as good as one that looks at all workers, at a cost that does not grow with
// the fleet.
#include "fescueledge/random.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"
#include "placement_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr int workersPerRack = 12;
constexpr int servingImages = 4;
constexpr int fillerImages = 5;
constexpr std::int64_t workerMilliCores = 32000;
constexpr std::int64_t workerMemoryMb = 128000;

/// A drawn fleet with tasks on it, without a network.
class DrawnFleet
{
public:
    DrawnFleet(int workers, std::uint64_t seed)
        : m_random(seed)
        , m_loop(&m_world)
        , m_context(std::make_shared<Context>())
        , m_placement(m_context)
        , m_racks(static_cast<std::size_t>(workers / workersPerRack))
    {
        m_context->loop = &m_loop;
        m_context->catalog = &m_catalog;
        m_catalog.evacuated.insert("dc-evacuated");
        for (int i = 0; i < workers; ++i) {
            addWorker(i);
        }
        drawModel();
        drawSteps();
    }

    /// Starts and ends tasks at random, until about @p share of the processors is in use.
    void fill(double share, int changes)
    {
        for (int i = 0; i < changes; ++i) {
            if (usedShareOfFleet() < share) {
                startOne();
            } else if (!m_placed.empty()) {
                endOne();
            }
        }
    }

    /// The cost of the cheapest worker for @p step, found by a look at all of them; empty if none fits.
    std::optional<double> lowestCost(const Step &step)
    {
        std::optional<double> lowest;
        for (const auto &[id, worker] : m_context->fleet.all()) {
            if (m_placement.verdict(*worker, step) == PlaceVerdict::Fits) {
                const double cost = m_placement.cost(*worker, step);
                lowest = lowest ? std::min(*lowest, cost) : cost;
            }
        }
        return lowest;
    }

    /// Workers looked at for each start of @p starts.
    double consideredPerStart(int starts)
    {
        m_placement.dropStale();
        const std::uint64_t before = m_placement.considered();
        for (int i = 0; i < starts; ++i) {
            startOne();
            endOne();
        }
        return static_cast<double>(m_placement.considered() - before) / starts;
    }

    std::vector<Step *> steps()
    {
        std::vector<Step *> out;
        for (const auto &[id, job] : m_context->jobs.all()) {
            for (Step &step : job->open.at(0)->steps) {
                out.push_back(&step);
            }
        }
        return out;
    }

    Placement &placement()
    {
        return m_placement;
    }

private:
    void addWorker(int i)
    {
        WorkerEntry entry;
        entry.id = "w" + std::to_string(i);
        entry.service = i % 20 == 0 ? "other" : "pool";
        entry.dataCentre = i % 25 == 0 ? "dc-evacuated" : "dc-a";
        entry.rack = "r" + std::to_string(m_random.below(m_racks));
        entry.labels = {i % 3 == 0 ? "a" : "b"};
        entry.capacity.milliCores = i % 3 == 0 ? workerMilliCores * 3 / 2 : workerMilliCores;
        entry.capacity.memoryMb = workerMemoryMb;
        Worker *worker = m_context->fleet.upsert(entry, m_loop.now());
        worker->contact = i % 30 == 0 ? WorkerContact::Silent : WorkerContact::Adopted;
        worker->recorded = true;
    }

    void drawModel()
    {
        for (int serving = 0; serving < servingImages; ++serving) {
            ServingTrend trend;
            for (int i = 0; i < 40; ++i) {
                const FillerLoad load{{filler(i % fillerImages), 0.2}};
                m_context->interference.learn(image(serving), &trend, 2 + 0.4 * (serving + i % fillerImages), load,
                                              m_loop.now() + i * Milliseconds(500));
            }
        }
    }

    void drawSteps()
    {
        QueuePolicy policy;
        policy.name = "batch";
        policy.service = "pool";
        policy.maxAttempts = 3;
        for (int i = 0; i < 40; ++i) {
            StepSpec step = simpleStep(40);
            step.perTask.milliCores = 1000 + static_cast<std::int64_t>(m_random.below(6000));
            step.perTask.memoryMb = 2000 + static_cast<std::int64_t>(m_random.below(8000));
            switch (i % 5) {
            case 0:
                step.longRunning = true;
                step.image = image(i / 5 % servingImages);
                step.tailTarget = Milliseconds(20);
                break;
            case 1:
            case 2:
                step.filler = true;
                step.image = filler(i / 5 % fillerImages);
                break;
            case 3:
                step.dataRack = "r" + std::to_string(m_random.below(m_racks));
                step.maxPerWorker = 2;
                break;
            default:
                step.rackSensitive = i % 2 == 0;
                step.requiredLabel = i % 3 == 0 ? "a" : "";
                break;
            }
            Job *job = m_context->jobs.add("job" + std::to_string(i), workflowOf({step}), policy, WallTime{},
                                           m_loop.now(), WallTime{});
            REQUIRE(job->open.count(0) == 1);
        }
    }

    void startOne()
    {
        const std::vector<Step *> all = steps();
        Step *step = all[m_random.below(all.size())];
        for (Task &task : step->tasks) {
            if (task.worker == nullptr) {
                const Place place = m_placement.choose(*step, false);
                if (place.worker != nullptr) {
                    FleetTable::place(&task, place.worker);
                    m_placement.invalidateHeadroom(place.worker);
                    m_placed.push_back(&task);
                }
                return;
            }
        }
    }

    void endOne()
    {
        if (m_placed.empty()) {
            return;
        }
        std::swap(m_placed[m_random.below(m_placed.size())], m_placed.back());
        m_placement.invalidateHeadroom(m_placed.back()->worker);
        FleetTable::release(m_placed.back());
        m_placed.pop_back();
    }

    double usedShareOfFleet() const
    {
        double used = 0;
        for (const auto &[id, worker] : m_context->fleet.all()) {
            used += static_cast<double>(worker->used.milliCores);
        }
        return used / static_cast<double>(m_context->fleet.candidates().milliCores());
    }

    static std::string image(int i)
    {
        return "serving" + std::to_string(i);
    }

    static std::string filler(int i)
    {
        return "filler" + std::to_string(i);
    }

    Random m_random;
    SimWorld m_world;
    SimLoop m_loop;
    Catalog m_catalog;
    std::shared_ptr<Context> m_context;
    Placement m_placement;
    std::size_t m_racks;
    std::vector<Task *> m_placed;
};

} // namespace

namespace {

/// Checks for each step that the index finds a worker that costs as little as the best of all. Returns for how many
/// there was none.
int checkChoices(DrawnFleet *fleet)
{
    int withoutPlace = 0;
    for (Step *step : fleet->steps()) {
        fleet->placement().dropStale();
        const std::optional<double> lowest = fleet->lowestCost(*step);
        const Place place = fleet->placement().choose(*step, false);
        CAPTURE(step->creationIndex);
        REQUIRE((place.worker != nullptr) == lowest.has_value());
        if (lowest) {
            REQUIRE(fleet->placement().verdict(*place.worker, *step) == PlaceVerdict::Fits);
            REQUIRE(fleet->placement().cost(*place.worker, *step) == Approx(*lowest).margin(1e-9));
        }
        withoutPlace += lowest ? 0 : 1;
    }
    return withoutPlace;
}

} // namespace

TEST_CASE("the worker found by the index costs as little as the best of all workers")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        DrawnFleet fleet(60, seed);
        for (const double share : {0.1, 0.3, 0.5, 0.9}) {
            fleet.fill(share, 150);
            CAPTURE(seed, share);
            checkChoices(&fleet);
        }
    }
}

// Guards against tasks that wait beside free room: a search that has failed is continued only with what was freed
// since.
TEST_CASE("a search that has failed finds a worker as soon as one fits")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        DrawnFleet fleet(24, seed);
        fleet.fill(1, 900);
        int withoutPlace = 0;
        for (int round = 0; round < 30; ++round) {
            CAPTURE(seed, round);
            withoutPlace += checkChoices(&fleet);
            fleet.fill(0, 2); // Ends two tasks.
            withoutPlace += checkChoices(&fleet);
            fleet.fill(1, 1);
        }
        CHECK(withoutPlace > 100); // Otherwise the test says little.
    }
}

TEST_CASE("a start on 3,000 workers looks at no more than half as many workers again as one on 100")
{
    DrawnFleet small(100, 1);
    DrawnFleet large(3000, 1);
    small.fill(0.3, 600);
    large.fill(0.3, 600);
    const double onSmall = small.consideredPerStart(500);
    const double onLarge = large.consideredPerStart(500);
    CAPTURE(onSmall, onLarge);
    CHECK(onLarge <= 1.5 * onSmall);
}
