#include "fescueledge/testing/faketableservice.h"

#include "fescueledge/loop.h"
#include "fescueledge/testing/memorytable.h"
#include "fescueledge/testing/simworld.h"

#include <utility>

namespace fescueledge {

namespace {

Milliseconds serviceTimeOf(const SimWorld &world)
{
    return std::chrono::duration_cast<Milliseconds>(world.now().time_since_epoch());
}

} // namespace

FakeTableService::FakeTableService(SimWorld *world, Loop *loop, MemoryTable *table, std::uint64_t seed)
    : m_world(world)
    , m_loop(loop)
    , m_table(table)
    , m_random(seed)
{
}

void FakeTableService::read(const std::vector<std::string> &keys, ReadHandler handler)
{
    MemoryTable *table = m_table;
    answerRead(
        [table, keys] {
            return table->read(keys);
        },
        faults.latency, handler);
}

void FakeTableService::scan(const std::string &prefix, ReadHandler handler)
{
    MemoryTable *table = m_table;
    const bool wholeCollection = prefix.find('/') + 1 == prefix.size();
    answerRead(
        [table, prefix] {
            return table->scan(prefix);
        },
        wholeCollection ? faults.latency * faults.scanRounds : faults.latency, handler);
}

void FakeTableService::answerRead(const std::function<ReadResult()> &query, Duration latency,
                                  const ReadHandler &handler)
{
    Loop *loop = m_loop;
    if (faults.refuses) {
        loop->postAfter(faults.latency, [handler] {
            handler(ReadResult());
        });
        return;
    }
    if (faults.down) {
        loop->postAfter(faults.timeout, [handler] {
            handler(ReadResult());
        });
        return;
    }
    const Duration half = latency / 2;
    m_world->after(half, [loop, half, query, handler, world = m_world] {
        ReadResult result = query();
        result.serviceTime = serviceTimeOf(*world);
        loop->postAfter(half, [handler, result] {
            handler(result);
        });
    });
}

void FakeTableService::commit(const Transaction &transaction, CommitHandler handler)
{
    Loop *loop = m_loop;
    const Milliseconds timeout = faults.timeout;
    if (faults.refuses) {
        loop->postAfter(faults.latency, [handler] {
            handler(CommitResult{CommitStatus::Unavailable, 0});
        });
        return;
    }
    if (faults.down || m_random.chance(faults.loseRequest)) {
        loop->postAfter(timeout, [handler] {
            handler(CommitResult{CommitStatus::Unknown, 0});
        });
        return;
    }
    const bool answerLost = faults.requestDelay.count() > 0 || m_random.chance(faults.loseAnswer);
    const Duration half = faults.latency / 2;
    MemoryTable *table = m_table;
    if (answerLost) {
        loop->postAfter(half + timeout, [handler] {
            handler(CommitResult{CommitStatus::Unknown, 0});
        });
    }
    m_world->after(half + faults.requestDelay, [loop, half, table, transaction, handler, answerLost, world = m_world] {
        CommitResult result = table->commit(transaction);
        result.serviceTime = serviceTimeOf(*world);
        if (answerLost) {
            return;
        }
        loop->postAfter(half, [handler, result] {
            handler(result);
        });
    });
}

void FakeTableService::watch(const std::string &collection, RowVersion since, Milliseconds wait, WatchHandler handler)
{
    if (faults.watchesSilent) {
        m_loop->postAfter(wait + faults.timeout, [handler] {
            handler(WatchResult());
        });
        return;
    }
    pollChanges(collection, since, m_loop->now() + wait, handler);
}

void FakeTableService::pollChanges(const std::string &collection, RowVersion since, TimePoint until,
                                   const WatchHandler &handler)
{
    if (faults.down || faults.refuses) {
        m_loop->postAfter(faults.refuses ? faults.latency : faults.timeout, [handler] {
            handler(WatchResult());
        });
        return;
    }
    const WatchResult result = m_table->changes(collection, since);
    const bool answers = result.historyLost || !result.changes.empty() || m_loop->now() >= until;
    m_loop->postAfter(faults.latency, [this, collection, since, until, handler, answers, result] {
        if (answers) {
            handler(result);
        } else {
            pollChanges(collection, since, until, handler);
        }
    });
}

} // namespace fescueledge
