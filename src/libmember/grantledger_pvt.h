#pragma once

#include "fescueledge/leasetimings.h"
#include "grantorgroup_pvt.h"

#include <map>

namespace fescueledge {

/// The grants that this node has given, and the refusals that bind it.
class GrantLedger
{
public:
    explicit GrantLedger(const LeaseTimings &timings);

    /// Grants @p holder, whose row has @p rowVersion, one more period if no refusal forbids it.
    bool grant(const Grantor &holder, RowVersion rowVersion, TimePoint now);
    /// Refuses @p holder all grants until it shows a row newer than @p rowVersion. False, and not binding, while a
    /// grant to it may still be in use.
    bool refuse(const Grantor &holder, RowVersion rowVersion, TimePoint now);
    /// Gives no more grants to anyone.
    void close();
    /// The time at which all grants given have lapsed.
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
