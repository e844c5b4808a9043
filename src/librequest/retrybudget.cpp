#include "retrybudget_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr double maxTokens = 50;

} // namespace

void RetryBudget::deposit(double share)
{
    m_tokens = std::min(maxTokens, m_tokens + share);
}

bool RetryBudget::tryWithdraw()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace fescueledge
