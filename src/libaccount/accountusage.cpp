#include "fescueledge/account/accountusage.h"

namespace fescueledge::account {

void AccountUsage::charge(const std::string &account, const Resources &amount)
{
    m_usage[account] += amount;
}

void AccountUsage::release(const std::string &account, const Resources &amount)
{
    const auto it = m_usage.find(account);
    if (it == m_usage.end()) {
        return;
    }
    it->second -= amount;
    if (it->second == Resources{}) {
        m_usage.erase(it);
    }
}

Resources AccountUsage::usage(const std::string &account) const
{
    const auto it = m_usage.find(account);
    return it == m_usage.end() ? Resources{} : it->second;
}

} // namespace fescueledge::account
