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
    std::function<Duration()> clock;
    Duration confirmedAt{0};
    Duration askedAt{0};
    SnapshotHandler snapshot;
    ChangesHandler changes;
    std::function<void(bool)> contact;

    /// Whether an answer to the watch shows all changes up to the time at which it was sent.
    static bool isWhole(const WatchResult &result)
    {
        return result.available && !result.historyLost && !result.truncated;
    }

    /// The time up to which an answer to the watch that was sent at @p sentAt shows all changes.
    Duration confirmedBy(const WatchResult &result, Duration sentAt) const
    {
        if (!isWhole(result)) {
            return confirmedAt;
        }
        const bool waited = result.changes.empty() && clock() >= sentAt + wait;
        return waited ? sentAt + Duration(wait) : sentAt;
    }

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
    m_state->clock = [loop] {
        return loop->now().time_since_epoch();
    };
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

void CollectionFollower::setClock(std::function<Duration()> clock)
{
    m_state->clock = std::move(clock);
}

Duration CollectionFollower::confirmedAt() const
{
    return m_state->confirmedAt;
}

Duration CollectionFollower::askedAt() const
{
    return m_state->askedAt;
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
    const Duration sentAt = state->clock();
    state->table->scan(state->collection + "/", [state, sentAt](const ReadResult &result) {
        if (state->stopped) {
            return;
        }
        state->confirmedAt = result.available ? sentAt : state->confirmedAt;
        state->askedAt = result.available ? sentAt : state->askedAt;
        state->reportContact(result.available);
        if (!result.available) {
            later(state, &CollectionFollower::scan, retryDelay);
            return;
        }
        state->since = result.asOf;
        state->snapshot(result.rows);
        if (!state->stopped) {
            watch(state);
        }
    });
}

void CollectionFollower::watch(const std::shared_ptr<State> &state)
{
    const Duration sentAt = state->clock();
    state->table->watch(state->collection, state->since, state->wait, [state, sentAt](const WatchResult &result) {
        if (state->stopped) {
            return;
        }
        state->confirmedAt = state->confirmedBy(result, sentAt);
        state->askedAt = State::isWhole(result) ? sentAt : state->askedAt;
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
        if (!result.changes.empty()) {
            state->changes(result.changes);
        }
        if (!state->stopped) {
            later(state, &CollectionFollower::watch, result.changes.empty() ? Milliseconds(0) : state->pause);
        }
    });
}

} // namespace fescueledge::workflow
