#include "faultdriver_pvt.h"

#include <utility>

namespace fescueledge {

namespace {

using std::chrono::seconds;

constexpr Milliseconds maxFaultInterval{6000};

} // namespace

const std::vector<FaultDriver::NamedFault> &FaultDriver::faults()
{
    static const std::vector<NamedFault> table = {
        {"kill", &FaultDriver::killNode},
        {"replace", &FaultDriver::replaceNode},
        {"pause", &FaultDriver::pauseNode},
        {"cut-links", &FaultDriver::cutLinks},
        {"isolate-data-centre", &FaultDriver::isolateDataCentre},
        {"store-down", &FaultDriver::stopStore},
        {"store-down-for-node", &FaultDriver::stopStoreOfNode},
        {"store-loses-answers", &FaultDriver::loseAnswers},
        {"store-slow", &FaultDriver::slowStore},
        {"message-loss", &FaultDriver::loseMessages},
        {"vm-list-lag", &FaultDriver::freezeVmList},
        {"restart-all", &FaultDriver::restartAll},
        {"drain", &FaultDriver::drainNode},
    };
    return table;
}

FaultDriver::FaultDriver(ClusterFixture *cluster, std::uint64_t seed)
    : m_cluster(cluster)
    , m_random(seed)
{
}

void FaultDriver::run(Duration span)
{
    m_active = true;
    injectNext();
    m_cluster->run(span);
    m_active = false;
    m_cluster->heal();
}

void FaultDriver::injectNext()
{
    if (!m_active) {
        return;
    }
    const int faultCount = 1 + static_cast<int>(m_random.below(2));
    for (int i = 0; i < faultCount; ++i) {
        const NamedFault &fault = faults()[m_random.below(faults().size())];
        ++counts[fault.name];
        (this->*fault.inject)();
    }
    const Milliseconds gap(m_random.below(static_cast<std::size_t>(maxFaultInterval.count())));
    m_cluster->world.after(gap, [this] {
        injectNext();
    });
}

void FaultDriver::endAfter(Milliseconds shortest, Milliseconds longest, std::function<void()> fn)
{
    const auto span = static_cast<std::size_t>((longest - shortest).count());
    const Milliseconds delay = shortest + Milliseconds(m_random.below(span));
    m_cluster->world.after(delay, [this, fn = std::move(fn)] {
        if (m_active) {
            fn();
        }
    });
}

int FaultDriver::randomNode()
{
    return static_cast<int>(m_random.below(static_cast<std::size_t>(m_cluster->size())));
}

void FaultDriver::bootIfDown(int index)
{
    if (!m_cluster->node(index).isAlive()) {
        m_cluster->boot(index);
    }
}

void FaultDriver::killNode()
{
    const int index = randomNode();
    m_cluster->kill(index);
    endAfter(Milliseconds(50), seconds(12), [this, index] {
        bootIfDown(index);
    });
}

void FaultDriver::replaceNode()
{
    m_cluster->replace(randomNode());
}

void FaultDriver::pauseNode()
{
    const int index = randomNode();
    ClusterProcess *process = &m_cluster->node(index);
    if (process->paused || !process->isAlive()) {
        return;
    }
    m_cluster->pause(index, true);
    endAfter(Milliseconds(500), seconds(60), [this, index, process] {
        if (&m_cluster->node(index) == process && process->paused && process->isAlive()) {
            m_cluster->pause(index, false);
        }
    });
}

void FaultDriver::cutLinks()
{
    const NodeId from = m_cluster->node(randomNode()).identity.id;
    for (int i = 0; i < m_cluster->size(); ++i) {
        const NodeId to = m_cluster->node(i).identity.id;
        if (m_random.chance(0.5)) {
            continue;
        }
        m_cluster->network.setCut(from, to, true);
        endAfter(seconds(1), seconds(20), [this, from, to] {
            m_cluster->network.setCut(from, to, false);
        });
    }
}

void FaultDriver::isolateDataCentre()
{
    const DataCentreId dataCentre = m_cluster->node(randomNode()).identity.dataCentre;
    m_cluster->isolateDataCentre(dataCentre, true);
    endAfter(seconds(1), seconds(30), [this, dataCentre] {
        m_cluster->isolateDataCentre(dataCentre, false);
    });
}

void FaultDriver::stopStore()
{
    m_cluster->setStoreDown(true);
    endAfter(seconds(1), seconds(40), [this] {
        m_cluster->setStoreDown(false);
    });
}

void FaultDriver::stopStoreOfNode()
{
    const int index = randomNode();
    m_cluster->node(index).table.faults.down = true;
    endAfter(seconds(1), seconds(20), [this, index] {
        m_cluster->node(index).table.faults.down = false;
    });
}

void FaultDriver::loseAnswers()
{
    FakeTableService::Faults faults;
    faults.loseAnswer = 0.3;
    faults.loseRequest = 0.2;
    m_cluster->setStoreFaults(faults);
    endAfter(seconds(1), seconds(20), [this] {
        m_cluster->setStoreFaults(FakeTableService::Faults());
    });
}

void FaultDriver::slowStore()
{
    FakeTableService::Faults faults;
    faults.latency = Milliseconds(400 + m_random.below(3000));
    m_cluster->setStoreFaults(faults);
    endAfter(seconds(1), seconds(20), [this] {
        m_cluster->setStoreFaults(FakeTableService::Faults());
    });
}

void FaultDriver::loseMessages()
{
    m_cluster->network.loss = 0.3;
    endAfter(seconds(1), seconds(20), [this] {
        m_cluster->network.loss = 0;
    });
}

void FaultDriver::freezeVmList()
{
    m_cluster->freezeVmList(true);
    endAfter(seconds(1), seconds(8), [this] {
        m_cluster->freezeVmList(false);
    });
}

void FaultDriver::restartAll()
{
    for (int i = 0; i < m_cluster->size(); ++i) {
        m_cluster->kill(i);
        m_cluster->boot(i);
    }
}

void FaultDriver::drainNode()
{
    const int index = randomNode();
    ClusterProcess *process = &m_cluster->node(index);
    if (!m_cluster->isUp(index) || process->authority.isDraining()) {
        return;
    }
    process->authority.drain([this, index, process] {
        if (m_active && &m_cluster->node(index) == process) {
            m_cluster->kill(index);
            m_cluster->boot(index);
        }
    });
}

} // namespace fescueledge
