#pragma once

#include "fescueledge/load/storehealth.h"

#include <functional>
#include <memory>

namespace fescueledge {
class EventLog;
class Loop;
class TableService;
} // namespace fescueledge

namespace fescueledge::workflow {

/// Finds out whether the store is silent, and when it answers again.
///
/// While there is a sign of silence it reads a row at short intervals, so that neither callers nor the watches, which
/// wait for seconds, have to find out.
class StoreMonitor : public std::enable_shared_from_this<StoreMonitor>
{
public:
    /// @p loop, @p table and @p log must live until close(). Unless @p isEnabled, the store never counts as silent.
    StoreMonitor(Loop *loop, TableService *table, EventLog *log, bool isEnabled);

    /// Stops all reads.
    void close();
    /// A write has been sent now.
    void recordSent();
    void recordAnswer();
    /// A write that was sent at @p sentAt was refused, or has ended without an answer.
    void recordFailure(TimePoint sentAt);
    /// A watch has ended, with or without an answer. Without one, its connection alone may be lost.
    void recordWatch(bool answered);
    /// Node @p reporter has reported how many nodes, itself included, find the store silent.
    void recordReport(const std::string &reporter, int silentNodes);

    bool isEnabled() const
    {
        return m_isEnabled;
    }
    bool isSilent() const;
    /// For how long no call has been answered.
    Duration unansweredFor() const;
    /// How many nodes find the store silent, as far as this node knows, without node @p except.
    int silentNodes(const std::string &except) const;
    /// Called when a silent store answers.
    std::function<void()> answersAgain;

private:
    void probe();
    void checkLater();
    void check();

    Loop *m_loop;
    TableService *m_table;
    EventLog *m_log;
    bool m_isEnabled;
    load::StoreHealth m_health;
    bool m_closed = false;
    bool m_checking = false; ///< A check is scheduled.
    bool m_silenceLogged = false;
};

} // namespace fescueledge::workflow
