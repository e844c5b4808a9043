#pragma once

namespace fescueledge {

/// A token bucket that bounds further sends to a share of the first ones.
class RetryBudget
{
public:
    /// Adds @p share tokens for one first send.
    void deposit(double share);
    /// Takes a token for one retry or hedge; false if there is none.
    bool tryWithdraw();

private:
    double m_tokens = 10;
};

} // namespace fescueledge
