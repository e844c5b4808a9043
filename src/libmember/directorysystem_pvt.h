#pragma once

#include "fescueledge/leasetimings.h"

#include <functional>

namespace fescueledge {

class Loop;
class NodeTable;
class TableService;
struct ReadResult;

/// Reads the rows of shards, and after them those of nodes, once an interval.
///
/// The order matters: the owner of a shard registered before it claimed the shard, so an owner that is missing from
/// the later read of the nodes is really gone.
class DirectorySystem
{
public:
    struct Listener
    {
        std::function<void(const ReadResult &)> onShardsScanned;
        std::function<void()> onRefreshed; ///< Both reads have been taken in.
    };

    DirectorySystem(Loop *loop, TableService *table, NodeTable *nodes, const LeaseTimings &timings, Listener listener);

    void start();
    void stop();
    /// Reads now, or once more after the read that is under way.
    void refresh();

private:
    void tick();
    void onShardsScanned(const ReadResult &result);
    void scanNodes();
    void finish();

    Loop *m_loop;
    TableService *m_table;
    NodeTable *m_nodes;
    LeaseTimings m_timings;
    Listener m_listener;
    bool m_running = false;
    bool m_refreshing = false;
    bool m_refreshPending = false;
};

} // namespace fescueledge
