#pragma once

#include "fescueledge/watchabletable.h"

#include <memory>
#include <string>

namespace fescueledge {
class Loop;
}

namespace fescueledge::workflow {

/// Reads a collection of rows and then follows its changes until it is destroyed.
///
/// After an outage it continues from its last version; if the service has dropped that part of the history, it reads
/// all rows again.
class CollectionFollower
{
public:
    using SnapshotHandler = std::function<void(const std::vector<Row> &)>;
    using ChangesHandler = std::function<void(const std::vector<WatchResult::Change> &)>;

    /// @p wait is the maximum time that one watch call waits for a change.
    CollectionFollower(Loop *loop, WatchableTable *table, std::string collection, Milliseconds wait);
    ~CollectionFollower();
    CollectionFollower(const CollectionFollower &) = delete;
    CollectionFollower &operator=(const CollectionFollower &) = delete;

    /// Sets the minimum time between two calls, which limits the number of calls; changes accumulate meanwhile.
    void setWatchDelay(Milliseconds pause);
    /// Sets a handler that is called after each call with whether the service answered.
    void setContactHandler(std::function<void(bool)> handler);
    /// The version up to which all changes were delivered.
    RowVersion seenUpTo() const;
    /// Sets the clock of confirmedAt() and askedAt(), if it is not the loop's.
    void setClock(std::function<Duration()> clock);
    /// The rows are at least as new as this time; zero before the first answer.
    ///
    /// An answer confirms the time at which its call was sent, and one without changes the end of the wait that it
    /// asked for.
    Duration confirmedAt() const;
    /// The same without trust in the wait: when the latest call that showed all changes was sent. An answer without
    /// changes that the service gave before the end of the wait, and that arrives after it, misleads confirmedAt() by
    /// up to the wait.
    Duration askedAt() const;
    /// Starts following. @p snapshot is called with all rows, first and whenever the history was lost; @p changes with
    /// each later batch of changes.
    void start(SnapshotHandler snapshot, ChangesHandler changes);

private:
    struct State;
    static void scan(const std::shared_ptr<State> &state);
    static void watch(const std::shared_ptr<State> &state);
    static void later(const std::shared_ptr<State> &state, void (*step)(const std::shared_ptr<State> &),
                      Milliseconds delay);

    std::shared_ptr<State> m_state;
};

} // namespace fescueledge::workflow
