#include "storemonitor_pvt.h"

#include "fescueledge/eventlog.h"
#include "fescueledge/loop.h"
#include "fescueledge/tableservice.h"
#include "rows_pvt.h"

namespace fescueledge::workflow {

namespace {

/// Interval between checks, and between reads in doubt: several have to be sent before a silence is certain.
constexpr Milliseconds checkInterval{100};
/// Interval between reads of a silent store. All nodes send them, so they make up a twentieth of the 6,000 reads that
/// it handles in a second.
constexpr Milliseconds silentReadInterval{200};

} // namespace

StoreMonitor::StoreMonitor(Loop *loop, TableService *table, EventLog *log, bool isEnabled)
    : m_loop(loop)
    , m_table(table)
    , m_log(log)
    , m_isEnabled(isEnabled)
{
}

void StoreMonitor::close()
{
    m_closed = true;
    answersAgain = nullptr;
}

void StoreMonitor::recordSent()
{
    if (!m_isEnabled) {
        return;
    }
    m_health.recordSent(m_loop->now());
    checkLater();
}

void StoreMonitor::recordAnswer()
{
    if (m_closed || !m_isEnabled) {
        return;
    }
    const Duration silentFor = m_health.unansweredFor(m_loop->now());
    const bool wasSilent = isSilent();
    m_health.recordAnswer(m_loop->now());
    if (m_silenceLogged) {
        m_silenceLogged = false;
        m_log->write(LogLine("store_answers").with("silent_ms", std::chrono::duration_cast<Milliseconds>(silentFor)));
    }
    if (wasSilent && answersAgain) {
        answersAgain();
    }
}

void StoreMonitor::recordFailure(TimePoint sentAt)
{
    m_health.recordFailure(sentAt, m_loop->now());
}

void StoreMonitor::recordWatch(bool answered)
{
    if (answered) {
        recordAnswer();
    } else if (m_isEnabled && !m_closed && m_health.unansweredFor(m_loop->now()) == Duration::zero()) {
        probe();
    }
}

void StoreMonitor::recordReport(const std::string &reporter, int silentNodes)
{
    if (!m_isEnabled) {
        return;
    }
    m_health.recordReport(reporter, silentNodes, m_loop->now());
    if (silentNodes > 0) {
        checkLater();
    }
}

bool StoreMonitor::isSilent() const
{
    return m_health.isSilent(m_loop->now());
}

Duration StoreMonitor::unansweredFor() const
{
    return m_health.unansweredFor(m_loop->now());
}

int StoreMonitor::silentNodes(const std::string &except) const
{
    return m_health.othersSilent(m_loop->now(), except) + (isSilent() ? 1 : 0);
}

void StoreMonitor::probe()
{
    const TimePoint sentAt = m_loop->now();
    recordSent();
    const std::weak_ptr<StoreMonitor> weak = weak_from_this();
    m_table->read({rows::coordinator()}, [weak, sentAt](const ReadResult &result) {
        const std::shared_ptr<StoreMonitor> self = weak.lock();
        if (!self || self->m_closed) {
            return;
        }
        if (result.available) {
            self->recordAnswer();
        } else {
            self->recordFailure(sentAt);
        }
    });
}

void StoreMonitor::checkLater()
{
    if (m_checking || m_closed) {
        return;
    }
    m_checking = true;
    const std::weak_ptr<StoreMonitor> weak = weak_from_this();
    m_loop->postAfter(isSilent() ? silentReadInterval : checkInterval, [weak] {
        const std::shared_ptr<StoreMonitor> self = weak.lock();
        if (self && !self->m_closed) {
            self->m_checking = false;
            self->check();
        }
    });
}

void StoreMonitor::check()
{
    const TimePoint now = m_loop->now();
    if (isSilent() && !m_silenceLogged) {
        m_silenceLogged = true;
        m_log->write(LogLine("store_silent")
                         .with("unanswered_ms", std::chrono::duration_cast<Milliseconds>(unansweredFor()))
                         .with("others", static_cast<std::int64_t>(m_health.othersSilent(now))));
    }
    if (m_health.isInDoubt(now)) {
        probe();
    }
    if (unansweredFor() > Duration::zero()) {
        checkLater();
    }
}

} // namespace fescueledge::workflow
