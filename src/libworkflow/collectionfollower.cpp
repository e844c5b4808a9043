#include "fescueledge/workflow/collectionfollower.h"

#include "fescueledge/loop.h"

#include <utility>

namespace fescueledge::workflow {

namespace {

/// Delay between retries while the service does not answer, which keeps six nodes below 50 calls a second.
constexpr Milliseconds retryDelay{250};

} // namespace

struct CollectionFollower::State
{
    Loop *loop = nullptr;
    WatchableTable *table = nullptr;
    std::string collection;
    Milliseconds wait{0};
    Milliseconds pause{0};
    bool stopped = false;
    RowVersion since = 0;
    TimePoint confirmedAt{};
    SnapshotHandler snapshot;
    ChangesHandler changes;
    std::function<void(bool)> contact;

    void reportContact(bool answered) const
    {
        if (contact) {
            contact(answered);
        }
    }
};

CollectionFollower::CollectionFollower(Loop *loop, WatchableTable *table, std::string collection, Milliseconds wait)
    : m_state(std::make_shared<State>())
{
    m_state->loop = loop;
    m_state->table = table;
    m_state->collection = std::move(collection);
    m_state->wait = wait;
}

CollectionFollower::~CollectionFollower()
{
    m_state->stopped = true;
}

void CollectionFollower::setWatchDelay(Milliseconds pause)
{
    m_state->pause = pause;
}

void CollectionFollower::setContactHandler(std::function<void(bool)> handler)
{
    m_state->contact = std::move(handler);
}

RowVersion CollectionFollower::seenUpTo() const
{
    return m_state->since;
}

TimePoint CollectionFollower::confirmedAt() const
{
    return m_state->confirmedAt;
}

void CollectionFollower::start(SnapshotHandler snapshot, ChangesHandler changes)
{
    m_state->snapshot = std::move(snapshot);
    m_state->changes = std::move(changes);
    scan(m_state);
}

void CollectionFollower::later(const std::shared_ptr<State> &state, void (*step)(const std::shared_ptr<State> &),
                               Milliseconds delay)
{
    state->loop->postAfter(delay, [state, step] {
        if (!state->stopped) {
            step(state);
        }
    });
}

void CollectionFollower::scan(const std::shared_ptr<State> &state)
{
    const TimePoint sentAt = state->loop->now();
    state->table->scan(state->collection + "/", [state, sentAt](const ReadResult &result) {
        if (state->stopped) {
            return;
        }
        state->reportContact(result.available);
        if (!result.available) {
            later(state, &CollectionFollower::scan, retryDelay);
            return;
        }
        state->since = result.asOf;
        state->confirmedAt = sentAt;
        state->snapshot(result.rows);
        if (!state->stopped) {
            watch(state);
        }
    });
}

void CollectionFollower::watch(const std::shared_ptr<State> &state)
{
    const TimePoint sentAt = state->loop->now();
    state->table->watch(state->collection, state->since, state->wait, [state, sentAt](const WatchResult &result) {
        if (state->stopped) {
            return;
        }
        state->reportContact(result.available);
        if (!result.available) {
            later(state, &CollectionFollower::watch, retryDelay);
            return;
        }
        if (result.historyLost) {
            scan(state);
            return;
        }
        state->since = result.asOf;
        if (!result.truncated) {
            state->confirmedAt = sentAt;
        }
        if (!result.changes.empty()) {
            state->changes(result.changes);
        }
        if (!state->stopped) {
            later(state, &CollectionFollower::watch, result.changes.empty() ? Milliseconds(0) : state->pause);
        }
    });
}

} // namespace fescueledge::workflow
