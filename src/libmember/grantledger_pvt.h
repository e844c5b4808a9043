#pragma once

#include "fescueledge/leasetimings.h"
#include "grantorgroup_pvt.h"

#include <map>

namespace fescueledge {

/// Records the grants that this node has given and the refusals that it must honour.
class GrantLedger
{
public:
    explicit GrantLedger(const LeaseTimings &timings);

    /// Extends the grant to @p holder, whose row has version @p rowVersion, by one period from @p now. Returns false if
    /// a refusal forbids it or the ledger is closed.
    bool grant(const Grantor &holder, RowVersion rowVersion, TimePoint now);
    /// Refuses @p holder all grants until it presents a row newer than @p rowVersion. Returns false, and records no
    /// refusal, while an earlier grant to it may not have expired.
    bool refuse(const Grantor &holder, RowVersion rowVersion, TimePoint now);
    /// Stops giving grants.
    void close();
    /// The time at which all grants given have expired.
    TimePoint allExpiredAt() const;

private:
    struct Entry
    {
        TimePoint expiresAt = TimePoint::min();
        RowVersion refusedVersion = 0;
    };

    LeaseTimings m_timings;
    std::map<Grantor, Entry> m_entries;
    bool m_closed = false;
};

} // namespace fescueledge
