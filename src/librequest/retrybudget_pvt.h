#pragma once

namespace fescueledge {

/// A token bucket that limits retries and hedges to a share of the first attempts.
class RetryBudget
{
public:
    /// Adds @p share tokens for one first attempt.
    void deposit(double share);
    /// Takes a token for one retry or hedge. Returns false if none is left.
    bool tryWithdraw();

private:
    double m_tokens = 10;
};

} // namespace fescueledge
