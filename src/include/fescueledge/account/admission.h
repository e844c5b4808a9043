#pragma once

#include "fescueledge/account/keyregister.h"
#include "fescueledge/types.h"

#include <optional>

namespace fescueledge::account {

/// Whether a request may be served.
enum class AdmissionOutcome {
    Admitted,
    Unauthorised, ///< It has no key, or one that belongs to no account.
    Unconfirmed, ///< The configuration may have changed since it was last confirmed, so its key may have been revoked.
};

/// The decision on one request.
struct AdmissionDecision
{
    AdmissionOutcome outcome = AdmissionOutcome::Unauthorised;
    std::string account; ///< Account that the request belongs to; empty if it has none.
};

/// Decides whether requests may be served, by their keys.
///
/// Where the revocation of a key has to take effect within a bound, a node that can't know whether a key was revoked
/// admits no request with a key.
class Admission
{
public:
    /// Without @p revocationTimeout, keys are admitted however old the configuration is.
    explicit Admission(std::optional<Milliseconds> revocationTimeout);

    /// Replaces the accounts. Unless @p asksForKeys, all requests are admitted, and none belongs to an account.
    void setAccounts(const std::map<std::string, AccountPolicy> &accounts, bool asksForKeys);
    const KeyRegister &keys() const
    {
        return m_keys;
    }
    /// Decides on a request to a route that is public or not. @p key is its key, empty if it has none, and
    /// @p configurationAge is how long ago the configuration was the newest, on a clock that counts suspensions.
    AdmissionDecision decide(bool isPublic, const std::string &key, Duration configurationAge) const;
    /// Whether keys are admitted while the configuration has age @p configurationAge.
    bool admitsKeys(Duration configurationAge) const;

private:
    std::optional<Milliseconds> m_revocationTimeout;
    KeyRegister m_keys;
    bool m_asksForKeys = false;
};

} // namespace fescueledge::account
