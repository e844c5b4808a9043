#include "fescueledge/account/keyregister.h"

#include "fescueledge/digest.h"

#include <array>
#include <set>

namespace fescueledge::account {

const char *keyProblemName(KeyProblem problem)
{
    static constexpr std::array<const char *, 5> names{"no_keys", "empty_key", "key_too_long", "key_repeated",
                                                       "key_shared"};
    return names.at(static_cast<std::size_t>(problem));
}

KeyRegister::KeyRegister(const std::map<std::string, AccountPolicy> &accounts)
{
    for (const auto &[name, account] : accounts) {
        add(account);
    }
}

void KeyRegister::add(const AccountPolicy &account)
{
    if (account.keys.empty()) {
        m_findings.push_back(KeyFinding{account.name, KeyProblem::NoKeys});
    }
    std::set<std::string> own;
    for (const std::string &key : account.keys) {
        if (key.empty() || key.size() > maxKeyBytes) {
            m_findings.push_back(KeyFinding{account.name, key.empty() ? KeyProblem::Empty : KeyProblem::TooLong});
            continue;
        }
        const std::string digest = sha256Hex(key);
        if (!own.insert(digest).second) {
            m_findings.push_back(KeyFinding{account.name, KeyProblem::Repeated});
            continue;
        }
        const auto [it, isNew] = m_accounts.emplace(digest, account.name);
        if (!isNew) {
            // Which of the accounts a request is for can't be told.
            it->second.clear();
            m_findings.push_back(KeyFinding{account.name, KeyProblem::Shared});
        }
    }
}

const std::string *KeyRegister::accountOf(const std::string &key) const
{
    if (key.empty() || key.size() > maxKeyBytes) {
        return nullptr;
    }
    const auto it = m_accounts.find(sha256Hex(key));
    return it == m_accounts.end() || it->second.empty() ? nullptr : &it->second;
}

} // namespace fescueledge::account
