#include "controlcodec_pvt.h"
#include "fescueledge/controlregister.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/error.h"
#include "fescueledge/loop.h"
#include "fescueledge/tableservice.h"
#include "inforcetracker_pvt.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

/// The part of ControlRegister that proposes changes and reads the audit trail.
namespace fescueledge {

/// A proposed change that is being written to the store.
struct ControlRegister::Proposal
{
    ControlChange change;
    OutcomeHandler handler;
    std::string rowValue;

    void reject(ControlOutcome::Status status, ControlVersion version, const std::string &message) const
    {
        handler(ControlOutcome{status, version, {}, message});
    }
};

void ControlRegister::propose(const ControlChange &change, OutcomeHandler handler)
{
    auto proposal = std::make_shared<Proposal>(Proposal{change, std::move(handler), {}});
    if (change.content.digest() != change.expectedDigest) {
        proposal->reject(ControlOutcome::Status::DigestMismatch, 0, "the content is not the one that was reviewed");
        return;
    }
    try {
        parseControl(*m_parser, ControlRow{change.expectedVersion + 1, change.content});
    } catch (const Error &e) {
        proposal->reject(ControlOutcome::Status::Invalid, 0, e.what());
        return;
    }
    m_table->read({currentControlKey}, [this, proposal](const ReadResult &result) {
        onProposalRead(proposal, result);
    });
}

void ControlRegister::onProposalRead(const std::shared_ptr<Proposal> &proposal, const ReadResult &result)
{
    if (!result.available) {
        proposal->reject(ControlOutcome::Status::StoreUnavailable, 0, "the store does not answer");
        return;
    }
    const Row *row = result.find(currentControlKey);
    const ControlVersion current = row == nullptr ? 0 : decodeControlRow(row->value).version;
    if (current != proposal->change.expectedVersion) {
        proposal->reject(ControlOutcome::Status::Conflict, current, "the current version is another");
        return;
    }
    commitProposal(proposal, row);
}

void ControlRegister::commitProposal(const std::shared_ptr<Proposal> &proposal, const Row *currentRow)
{
    const ControlChange &change = proposal->change;
    const ControlVersion version = change.expectedVersion + 1;
    const ControlContent before =
        currentRow == nullptr ? ControlContent() : decodeControlRow(currentRow->value).content;
    const ControlHistoryEntry entry{version, change.origin, m_wallClock(), before, change.content};
    proposal->rowValue = encodeControlRow(ControlRow{version, change.content});
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions = {{historyKey(version), 0},
                              {currentControlKey, currentRow == nullptr ? 0 : currentRow->version}};
    transaction.puts = {{historyKey(version), encodeHistoryEntry(entry)}, {currentControlKey, proposal->rowValue}};
    m_resolver.commit(transaction, m_timings.storeResolveTimeout, [this, proposal](const CommitResult &result) {
        onProposalCommitted(proposal, result);
    });
}

void ControlRegister::onProposalCommitted(const std::shared_ptr<Proposal> &proposal, const CommitResult &result)
{
    const ControlVersion version = proposal->change.expectedVersion + 1;
    switch (result.status) {
    case CommitStatus::Committed:
        LOG(INFO) << "control_accepted version=" << version << " who=" << proposal->change.origin.who;
        load(proposal->rowValue);
        m_tracker->await(version, proposal->handler);
        return;
    case CommitStatus::Conflict:
        proposal->reject(ControlOutcome::Status::Conflict, version, "another change was accepted first");
        return;
    case CommitStatus::Unavailable:
        proposal->reject(ControlOutcome::Status::StoreUnavailable, 0, "the store does not answer");
        return;
    case CommitStatus::Rejected:
        proposal->reject(ControlOutcome::Status::Invalid, 0, "the change is too long to be stored");
        return;
    case CommitStatus::Unknown:
        proposal->reject(ControlOutcome::Status::StoreOutcomeUnknown, version, "the store's answer was lost");
        return;
    }
}

/// A request to take a data centre out of service or to bring it back. Retried after conflicts until the deadline.
struct ControlRegister::DataCentreChange
{
    DataCentreId dataCentre;
    bool out = false;
    ChangeOrigin origin;
    OutcomeHandler handler;
    TimePoint deadline;
};

void ControlRegister::takeOutOfService(const DataCentreId &dataCentre, const ChangeOrigin &origin,
                                       OutcomeHandler handler)
{
    const TimePoint deadline = m_loop->now() + m_timings.storeResolveTimeout;
    changeDataCentre(
        std::make_shared<DataCentreChange>(DataCentreChange{dataCentre, true, origin, std::move(handler), deadline}));
}

void ControlRegister::returnToService(const DataCentreId &dataCentre, const ChangeOrigin &origin,
                                      OutcomeHandler handler)
{
    const TimePoint deadline = m_loop->now() + m_timings.storeResolveTimeout;
    changeDataCentre(
        std::make_shared<DataCentreChange>(DataCentreChange{dataCentre, false, origin, std::move(handler), deadline}));
}

void ControlRegister::changeDataCentre(const std::shared_ptr<DataCentreChange> &change)
{
    m_table->read({currentControlKey}, [this, change](const ReadResult &result) {
        onDataCentreRead(change, result);
    });
}

void ControlRegister::onDataCentreRead(const std::shared_ptr<DataCentreChange> &change, const ReadResult &result)
{
    if (!result.available) {
        change->handler(ControlOutcome{ControlOutcome::Status::StoreUnavailable, 0, {}, "the store does not answer"});
        return;
    }
    const Row *row = result.find(currentControlKey);
    const ControlRow current = row == nullptr ? ControlRow() : decodeControlRow(row->value);
    ControlChange proposal{change->origin, current.version, {}, current.content};
    if (change->out) {
        proposal.content.dataCentresOut.insert(change->dataCentre);
    } else {
        proposal.content.dataCentresOut.erase(change->dataCentre);
    }
    if (proposal.content == current.content) {
        // No change is needed, but the answer still promises that no node acts on an older version.
        awaitInForce(current.version, change->handler);
        return;
    }
    proposal.expectedDigest = proposal.content.digest();
    propose(proposal, [this, change](const ControlOutcome &outcome) {
        const bool isConflict = outcome.status == ControlOutcome::Status::Conflict;
        if (isConflict && m_loop->now() < change->deadline) {
            changeDataCentre(change);
        } else {
            change->handler(outcome);
        }
    });
}

void ControlRegister::awaitInForce(ControlVersion version, OutcomeHandler handler)
{
    if (version <= m_state->version) {
        m_tracker->await(version, std::move(handler));
        return;
    }
    refresh([this, version, handler = std::move(handler)](bool loaded) {
        if (version <= m_state->version) {
            m_tracker->await(version, handler);
            return;
        }
        const auto status = loaded ? ControlOutcome::Status::NotFound : ControlOutcome::Status::StoreUnavailable;
        handler(ControlOutcome{status, m_state->version, {}, "no such version is known to be accepted"});
    });
}

void ControlRegister::history(std::size_t limit, HistoryHandler handler)
{
    m_table->read({currentControlKey}, [this, limit, handler = std::move(handler)](const ReadResult &head) {
        onHistoryHead(limit, handler, head);
    });
}

void ControlRegister::onHistoryHead(std::size_t limit, const HistoryHandler &handler, const ReadResult &head)
{
    const Row *row = head.find(currentControlKey);
    if (!head.available || row == nullptr) {
        handler(head.available, {});
        return;
    }
    const ControlVersion newest = decodeControlRow(row->value).version;
    const ControlVersion oldest = newest > limit ? newest - limit + 1 : 1;
    std::vector<std::string> keys;
    for (ControlVersion version = oldest; version <= newest; ++version) {
        keys.push_back(historyKey(version));
    }
    m_table->read(keys, [handler](const ReadResult &result) {
        std::vector<ControlHistoryEntry> entries;
        for (const Row &it : result.rows) {
            entries.push_back(decodeHistoryEntry(it.value));
        }
        std::sort(entries.begin(), entries.end(), [](const ControlHistoryEntry &a, const ControlHistoryEntry &b) {
            return a.version > b.version;
        });
        handler(result.available, entries);
    });
}

} // namespace fescueledge
