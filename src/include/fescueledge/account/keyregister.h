#pragma once

#include "fescueledge/account/accountpolicy.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescueledge::account {

/// What is wrong with the keys of an account.
enum class KeyProblem {
    NoKeys, ///< The account has no key, so none of its requests is authorised.
    Empty, ///< A key is empty and is left out.
    TooLong, ///< A key has more than maxKeyBytes and is left out.
    Repeated, ///< A key stands twice in the account; it counts once.
    Shared, ///< A key stands in another account too and authorises neither.
};

/// The name of @p problem in logs.
const char *keyProblemName(KeyProblem problem);

constexpr std::size_t maxKeyBytes = 1024;

/// A fault in the configuration of an account's keys. It never holds the key.
struct KeyFinding
{
    std::string account;
    KeyProblem problem = KeyProblem::NoKeys;
};

/// The keys of one configuration. It keeps digests, so a dump of the process has no key from here.
class KeyRegister
{
public:
    KeyRegister() = default;
    explicit KeyRegister(const std::map<std::string, AccountPolicy> &accounts);

    /// The account that @p key belongs to; nullptr if it belongs to none.
    const std::string *accountOf(const std::string &key) const;
    const std::vector<KeyFinding> &findings() const
    {
        return m_findings;
    }

private:
    void add(const AccountPolicy &account);

    std::unordered_map<std::string, std::string> m_accounts; ///< By digest; empty for a shared key.
    std::vector<KeyFinding> m_findings;
};

} // namespace fescueledge::account
