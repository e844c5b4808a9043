#pragma once

#include "fescueledge/leasetimings.h"

#include <functional>

namespace fescueledge {

class Loop;
class NodeTable;
class TableService;
struct ReadResult;

/// Periodically scans the rows of shards and then the rows of nodes.
///
/// The order matters: a node registers before it claims a shard, so an owner that is missing from the later scan of the
/// nodes has certainly deregistered or been removed.
class DirectorySystem
{
public:
    struct Listener
    {
        std::function<void(const ReadResult &)> onShardsScanned;
        std::function<void()> onRefreshed; ///< Both scans have been applied.
    };

    DirectorySystem(Loop *loop, TableService *table, NodeTable *nodes, const LeaseTimings &timings, Listener listener);

    void start();
    void stop();
    /// Scans now, or again after the scan in progress.
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
