#pragma once

#include "clusterfixture_pvt.h"

#include <map>
#include <string>
#include <vector>

namespace fescueledge {

/// Injects random faults into a cluster, often several at once, each for a limited time.
class FaultDriver
{
public:
    FaultDriver(ClusterFixture *cluster, std::uint64_t seed);

    /// Injects faults for @p span, then ends all of them.
    void run(Duration span);

    /// How often each kind of fault was injected.
    std::map<std::string, int> counts;

private:
    using Fault = void (FaultDriver::*)();
    struct NamedFault
    {
        const char *name;
        Fault inject;
    };
    static const std::vector<NamedFault> &faults();

    void injectNext();
    void killNode();
    void replaceNode();
    void pauseNode();
    void cutLinks();
    void isolateDataCentre();
    void stopStore();
    void stopStoreOfNode();
    void loseAnswers();
    void slowStore();
    void loseMessages();
    void freezeVmList();
    void restartAll();
    void drainNode();
    /// Calls @p fn, which ends a fault, after a random delay of at least @p shortest and less than @p longest.
    void endAfter(Milliseconds shortest, Milliseconds longest, std::function<void()> fn);
    int randomNode();
    void bootIfDown(int index);

    ClusterFixture *m_cluster;
    Random m_random;
    bool m_active = false;
};

} // namespace fescueledge
