#pragma once

#include "fescueledge/error.h"
#include "fescueledge/finding.h"

namespace fescueledge {

/// A settings or table file is not valid. Carries all problems found, not only the first.
class SettingsError : public Error
{
public:
    /// @p findings must not be empty. The kind is ErrorKind::InvalidSettings.
    explicit SettingsError(Findings findings);

    const Findings &findings() const;

private:
    Findings m_findings;
};

} // namespace fescueledge
