#pragma once

#include "coordinator_pvt.h"
#include "fescueledge/commitresolver.h"
#include "fescueledge/peertransport.h"
#include "fescueledge/random.h"
#include "fescueledge/workflow/collectionfollower.h"
#include "fescueledge/workflow/workflownode.h"

#include <map>
#include <memory>
#include <optional>

namespace fescueledge::workflow {

class StoreMonitor;

/// Elects the coordinator through the store, and monitors it.
///
/// The coordinator's row names the node of the newest term; a term begins with a conditional write of that row. A false
/// suspicion is safe: workers refuse orders of earlier terms, and the store refuses their writes.
class Election
{
public:
    /// @p store is told of the answers of the store, and of what other nodes report of it.
    Election(NodeDependencies parts, WorkflowNodeIdentity self, CoordinatorSettings settings,
             std::shared_ptr<StoreMonitor> store);
    ~Election();
    Election(const Election &) = delete;
    Election &operator=(const Election &) = delete;

    void start();
    void resign();
    /// Cancels all pending work; the parts passed to the constructor may be destroyed afterwards.
    void close();
    void setCatalog(std::shared_ptr<const Catalog> catalog);

    /// The coordinator known to this node; empty if none is known.
    const NodeId &coordinator() const
    {
        return m_coordinator;
    }
    /// The coordinator that runs in this node, or nullptr.
    Coordinator *localCoordinator() const
    {
        return m_localCoordinator.get();
    }
    /// Whether the store has confirmed the newest term of the local coordinator within @p span.
    bool isTermConfirmedSince(Duration span) const
    {
        return m_localCoordinator != nullptr && m_parts.sinceBoot() < m_confirmedByStore + span;
    }
    /// Peer address of @p node; empty if it is not known.
    std::string addressOf(const NodeId &node) const;

private:
    /// A node that has registered.
    struct Member
    {
        std::string address;
        double cores = 0;
        RowVersion registeredVersion = 0; ///< Row version; increases with each start of the node.
    };
    /// Content of the coordinator's row.
    struct CoordinatorRow
    {
        Term term = 0;
        NodeId node;
        std::string address;
        bool resigned = false;
    };

    static std::string encode(const CoordinatorRow &row);
    /// Empty if @p value can't be read.
    static std::optional<CoordinatorRow> decode(const std::string &value);

    void registerSelf();
    void applyMemberRows(const std::vector<Row> &rows);
    void monitorCoordinator();
    void ping();
    void announceTerm();
    nlohmann::json pingBody() const;
    void onPong(const PeerResult &result);
    PeerMessage answerPing(const NodeId &from, const nlohmann::json &body);
    bool suspectsCoordinator() const;
    Milliseconds pingTimeout() const;
    Duration suspicionTimeout() const;
    /// Tells all nodes that the coordinator of @p term was working when it was replaced, so they suspect later ones
    /// less soon. Otherwise nodes that all answer slowly would replace each other without end.
    void reportFalseSuspicion(Term term);
    void recordFalseSuspicion(Term term);
    void forgetFalseSuspicions();
    /// Called before @p next replaces the newest known term, with how long that one lasted as this node has seen it.
    void considerReplacedTerm(Term next);
    /// Whether the newest known term began so recently that its coordinator may still be loading.
    bool isTermYoung() const;
    /// Whether the local coordinator, which has just learnt that it was replaced, had not failed.
    bool wasReplacedInError() const;
    /// Whether the coordinator answers, but has reported for a while that the store does not answer it.
    bool coordinatorReportsStoreLoss() const;
    bool isStoreResponsive() const;
    void readCoordinator();
    void onCoordinatorRow(const ReadResult &result);
    /// Replaces the unreadable coordinator's row of @p version by one with the term of the marker among the jobs.
    void recoverCoordinatorRow(RowVersion version);
    /// Takes over from @p current, or adopts it. @p version is that of its row, 0 if there is none.
    void handleCoordinator(const CoordinatorRow &current, RowVersion version);
    void takeOver(const CoordinatorRow &current, RowVersion version);
    /// @p confirmedAt is when the write that began the term was sent, since boot.
    void beginTerm(const CoordinatorRow &row, RowVersion version, Duration confirmedAt);
    void stepDown(const char *reason);
    bool maySendOrders() const;
    void recordStoreContact(bool answered);
    /// Number of other nodes that are better suited to coordinate; the present coordinator does not count.
    int betterNodes() const;
    Duration takeoverDelay() const;
    Milliseconds pingIntervalOfSelf() const;
    void adoptCoordinator(const CoordinatorRow &row);

    NodeDependencies m_parts;
    WorkflowNodeIdentity m_self;
    CoordinatorSettings m_settings;
    std::shared_ptr<StoreMonitor> m_store;
    CommitResolver m_resolver;
    Random m_random;
    std::shared_ptr<bool> m_alive;
    std::unique_ptr<CollectionFollower> m_memberFollower;
    std::map<NodeId, Member> m_members;
    std::shared_ptr<const Catalog> m_catalog;

    Term m_term = 0; ///< Newest known term.
    TimePoint m_termSeenAt{}; ///< When this node learnt of it.
    NodeId m_coordinator;
    std::string m_coordinatorAddress;
    TimePoint m_coordinatorSeenAt{}; ///< When the coordinator last answered without reporting a loss of the store.
    /// Since when the coordinator has reported that the store does not answer it; the epoch if it has not.
    TimePoint m_storeLossSince{};
    TimePoint m_pingedAt{}; ///< When the coordinator was last pinged.
    TimePoint m_readStartedAt{}; ///< When the last read of the coordinator's row began.
    bool m_reading = false;
    int m_falseSuspicions = 0; ///< Recent ones; each doubles the timeouts.
    Term m_falselySuspectedTerm = 0; ///< Term of the last one.
    TimePoint m_falseSuspicionAt{}; ///< When the last one was recorded or forgotten.
    bool m_resigned = false; ///< This node no longer takes part in elections.

    std::unique_ptr<Coordinator> m_localCoordinator;
    Duration m_storeAnsweredAt{}; ///< Time since boot at the last answer of the store.
    int m_storeFailures = 0;
    /// Times since boot at which this coordinator's term was the latest: evidence counts from when the question that it
    /// answers was sent, because an answer may have been held up on its way.
    Duration m_confirmedByStore{};
    std::map<NodeId, Duration> m_confirmedByPing; ///< By the node whose ping answered a pong of that time.
    /// The coordinator's time in its last pong, to be returned with the next ping; zero if there is none.
    Milliseconds m_coordinatorStamp{0};
};

} // namespace fescueledge::workflow
