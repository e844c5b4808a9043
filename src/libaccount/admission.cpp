#include "fescueledge/account/admission.h"

namespace fescueledge::account {

namespace {

/// Share of the revocation timeout for which a confirmation holds. The clocks of two VMs differ by 2%; the rest is for
/// requests that wait between their arrival and the decision.
constexpr double confirmationShare = 0.9;

} // namespace

Admission::Admission(std::optional<Milliseconds> revocationTimeout)
    : m_revocationTimeout(revocationTimeout)
{
}

void Admission::setAccounts(const std::map<std::string, AccountPolicy> &accounts, bool asksForKeys)
{
    m_asksForKeys = asksForKeys;
    m_keys = KeyRegister(accounts);
}

bool Admission::admitsKeys(Duration configurationAge) const
{
    return !m_revocationTimeout || configurationAge <= Duration(*m_revocationTimeout) * confirmationShare;
}

AdmissionDecision Admission::decide(bool isPublic, const std::string &key, Duration configurationAge) const
{
    if (!m_asksForKeys) {
        return AdmissionDecision{AdmissionOutcome::Admitted, {}};
    }
    const bool isConfirmed = admitsKeys(configurationAge);
    if (!isPublic && !key.empty() && !isConfirmed) {
        return AdmissionDecision{AdmissionOutcome::Unconfirmed, {}}; // An unknown key may have been added since.
    }
    const std::string *account = isConfirmed ? m_keys.accountOf(key) : nullptr;
    if (account == nullptr) {
        return AdmissionDecision{isPublic ? AdmissionOutcome::Admitted : AdmissionOutcome::Unauthorised, {}};
    }
    return AdmissionDecision{AdmissionOutcome::Admitted, *account};
}

} // namespace fescueledge::account
