#pragma once

#include "fescueledge/commitresolver.h"
#include "fescueledge/controlchange.h"
#include "fescueledge/leasetimings.h"
#include "fescueledge/peertransport.h"
#include "fescueledge/random.h"
#include "fescueledge/types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescueledge {

class ControlParser;
class InForceTracker;
class Loop;
class TableService;
class VmDirectory;
struct ControlState;
struct ReadResult;
struct Row;

/// The register of the configuration that operators decide: one versioned value, stored in the table service.
///
/// Holds the newest version that this node has loaded, and tracks the newest version that it has observed. All calls on
/// the control loop; the object must outlive the loop's last event.
class ControlRegister
{
public:
    using WallClock = std::function<std::chrono::system_clock::time_point()>;
    using OutcomeHandler = std::function<void(const ControlOutcome &)>;
    using ApplyHook = std::function<void(const std::shared_ptr<const ControlState> &)>;
    /// @p available is false when the store did not answer; then the entries are empty.
    using HistoryHandler = std::function<void(bool available, const std::vector<ControlHistoryEntry> &entries)>;

    ControlRegister(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
                    const ControlParser *parser, const NodeId &self, const LeaseTimings &timings, WallClock wallClock,
                    std::uint64_t seed);
    ~ControlRegister();
    ControlRegister(const ControlRegister &) = delete;
    ControlRegister &operator=(const ControlRegister &) = delete;

    /// Adds a function that applies each new version before this node acknowledges it. It is called immediately with
    /// the current version, if there is one.
    void addApplyHook(ApplyHook hook);

    /// The state that this node has loaded. Never null.
    std::shared_ptr<const ControlState> current() const;
    /// The digest of the loaded content; empty at version 0.
    const std::string &currentDigest() const;
    /// True if the loaded version is the newest known one. A node that is not up to date may not act.
    bool isUpToDate() const;
    /// Records that @p from has @p version. If it is newer than the loaded one, loads it from that node or the store.
    void observeVersion(ControlVersion version, const std::string &digest, const NodeId &from);
    /// Reads the current version from the store. The handler gets true once that version is loaded.
    void refresh(std::function<void(bool loaded)> handler);
    /// Asks the entry VMs of the VM list for the current version, for nodes that start while the store is down.
    void fetchFromPeers();
    /// Sets the incarnation that acknowledgements carry.
    void setIncarnation(Incarnation incarnation);

    /// Proposes a change. The handler runs once: when the change is in force, is rejected, or is not in force in time.
    void propose(const ControlChange &change, OutcomeHandler handler);
    /// Takes a data centre out of service, based on whatever version is current.
    void takeOutOfService(const DataCentreId &dataCentre, const ChangeOrigin &origin, OutcomeHandler handler);
    /// Returns a data centre to service, based on whatever version is current.
    void returnToService(const DataCentreId &dataCentre, const ChangeOrigin &origin, OutcomeHandler handler);
    /// Waits until the accepted version @p version is in force. The handler gets InForce, or Waiting on timeout.
    void awaitInForce(ControlVersion version, OutcomeHandler handler);
    /// Reads the last @p limit accepted changes of the audit trail, newest first.
    void history(std::size_t limit, HistoryHandler handler);

private:
    struct Proposal;
    struct DataCentreChange;

    void setReceivers();
    void onProposalRead(const std::shared_ptr<Proposal> &proposal, const ReadResult &result);
    void commitProposal(const std::shared_ptr<Proposal> &proposal, const Row *currentRow);
    void onProposalCommitted(const std::shared_ptr<Proposal> &proposal, const CommitResult &result);
    void changeDataCentre(const std::shared_ptr<DataCentreChange> &change);
    void onDataCentreRead(const std::shared_ptr<DataCentreChange> &change, const ReadResult &result);
    void onHistoryHead(std::size_t limit, const HistoryHandler &handler, const ReadResult &head);

    bool load(const std::string &rowValue);
    void install(const std::shared_ptr<const ControlState> &state, const std::string &digest,
                 const std::string &rowValue);
    void loadMissing();
    void onFetched(const PeerResult &result);
    void retryLoadLater();

    Loop *m_loop;
    TableService *m_table;
    const VmDirectory *m_vms;
    PeerTransport *m_transport;
    const ControlParser *m_parser;
    NodeId m_self;
    LeaseTimings m_timings;
    WallClock m_wallClock;
    Random m_random;
    CommitResolver m_resolver;
    std::unique_ptr<InForceTracker> m_tracker;
    std::vector<ApplyHook> m_hooks;
    std::shared_ptr<const ControlState> m_state;
    std::string m_digest;
    std::string m_rowValue;
    Incarnation m_incarnation = 0;
    ControlVersion m_knownVersion = 0;
    std::string m_knownDigest;
    NodeId m_knownVersionSource;
    bool m_loading = false;
};

} // namespace fescueledge
