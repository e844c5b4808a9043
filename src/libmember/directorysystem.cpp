#include "directorysystem_pvt.h"

#include "fescueledge/loop.h"
#include "fescueledge/tableservice.h"
#include "nodetable_pvt.h"
#include "shardrow_pvt.h"

#include <utility>

namespace fescueledge {

DirectorySystem::DirectorySystem(Loop *loop, TableService *table, NodeTable *nodes, const LeaseTimings &timings,
                                 Listener listener)
    : m_loop(loop)
    , m_table(table)
    , m_nodes(nodes)
    , m_timings(timings)
    , m_listener(std::move(listener))
{
}

void DirectorySystem::start()
{
    m_running = true;
    tick();
}

void DirectorySystem::stop()
{
    m_running = false;
}

void DirectorySystem::tick()
{
    if (!m_running) {
        return;
    }
    if (!m_refreshing) {
        refresh();
    }
    m_loop->postAfter(m_timings.directoryInterval, [this] {
        tick();
    });
}

void DirectorySystem::refresh()
{
    m_refreshPending = m_refreshing;
    if (m_refreshing || !m_running) {
        return;
    }
    m_refreshing = true;
    m_table->scan(shardPrefix, [this](const ReadResult &result) {
        onShardsScanned(result);
    });
}

void DirectorySystem::onShardsScanned(const ReadResult &result)
{
    if (!result.available || !m_running) {
        finish();
        return;
    }
    m_listener.onShardsScanned(result);
    scanNodes();
}

void DirectorySystem::scanNodes()
{
    const TimePoint sentAt = m_loop->now();
    m_table->scan(nodePrefix, [this, sentAt](const ReadResult &result) {
        if (result.available && m_running) {
            m_nodes->update(result, sentAt, m_loop->now());
            m_listener.onRefreshed();
        }
        finish();
    });
}

void DirectorySystem::finish()
{
    m_refreshing = false;
    if (m_refreshPending) {
        refresh();
    }
}

} // namespace fescueledge
