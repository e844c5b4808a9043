#pragma once

#include "fescueledge/resources.h"

#include <map>
#include <string>

namespace fescueledge::account {

/// What the tasks of each account reserve on all workers together.
class AccountUsage
{
public:
    void charge(const std::string &account, const Resources &amount);
    /// Undoes an earlier charge().
    void release(const std::string &account, const Resources &amount);
    Resources usage(const std::string &account) const;
    const std::map<std::string, Resources> &all() const
    {
        return m_usage;
    }

private:
    std::map<std::string, Resources> m_usage; ///< Of the accounts that use anything.
};

} // namespace fescueledge::account
