#pragma once

#include "fescueledge/watchabletable.h"

#include <memory>
#include <string>

namespace fescueledge {
class Loop;
}

namespace fescueledge::workflow {

/// Reads a collection of rows and then follows its changes, for as long as it lives.
///
/// After an outage it goes on where it was; when the service has dropped the history in between, it reads all anew.
class CollectionFollower
{
public:
    using SnapshotHandler = std::function<void(const std::vector<Row> &)>;
    using ChangesHandler = std::function<void(const std::vector<WatchResult::Change> &)>;

    /// @p wait is how long one call waits for a change.
    CollectionFollower(Loop *loop, WatchableTable *table, std::string collection, Milliseconds wait);
    ~CollectionFollower();
    CollectionFollower(const CollectionFollower &) = delete;
    CollectionFollower &operator=(const CollectionFollower &) = delete;

    /// Changes are gathered for at least @p pause between two calls, which bounds their number.
    void setPause(Milliseconds pause);
    /// Called after each call, with whether the service answered.
    void onContact(std::function<void(bool)> handler);
    /// All changes up to this version were handed over.
    RowVersion seenUpTo() const;
    /// Starts; @p snapshot is called with all rows, at first and whenever the history was lost.
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
