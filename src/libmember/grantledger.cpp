#include "grantledger_pvt.h"

#include <algorithm>

namespace fescueledge {

GrantLedger::GrantLedger(const LeaseTimings &timings)
    : m_timings(timings)
{
}

bool GrantLedger::grant(const Grantor &holder, RowVersion rowVersion, TimePoint now)
{
    Entry &entry = m_entries[holder];
    if (m_closed || rowVersion <= entry.refusedVersion) {
        return false;
    }
    entry.expiresAt = now + m_timings.withDrift(m_timings.grant);
    return true;
}

bool GrantLedger::refuse(const Grantor &holder, RowVersion rowVersion, TimePoint now)
{
    Entry &entry = m_entries[holder];
    if (now < entry.expiresAt) {
        return false;
    }
    entry.refusedVersion = std::max(entry.refusedVersion, rowVersion);
    return true;
}

void GrantLedger::close()
{
    m_closed = true;
}

TimePoint GrantLedger::allExpiredAt() const
{
    TimePoint latest = TimePoint::min();
    for (const auto &[holder, entry] : m_entries) {
        latest = std::max(latest, entry.expiresAt);
    }
    return latest;
}

} // namespace fescueledge
