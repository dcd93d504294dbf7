#include "cassiahollow/version/ClientAccounts.h"

#include "cassiahollow/process/Reasons.h"

#include <boost/leaf/error.hpp>
#include <openssl/sha.h>

#include <set>
#include <string>
#include <utility>

namespace cassiahollow {

namespace leaf = boost::leaf;

KeyDigest digestOf(std::string_view key)
{
    KeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.bytes_.data());
    return digest;
}

leaf::result<ClientAccounts> indexAccounts(std::vector<ClientAccount> accounts)
{
    const auto invalid = [](std::string detail) {
        return leaf::new_error(Failure { Reason::SettingsInvalid, std::move(detail) });
    };
    ClientAccounts indexed;
    std::set<AccountId> names;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const auto& account = accounts[i];
        if (!names.insert(account.name_).second)
            return invalid("two client accounts have the name " + account.name_.value_);
        for (const auto& key : account.keys_) {
            const auto [known, isNew] = indexed.byKey_.emplace(key, i);
            if (!isNew && known->second != i)
                return invalid("the client accounts " + accounts[known->second].name_.value_ + " and "
                    + account.name_.value_ + " share a key");
        }
    }
    indexed.accounts_ = std::move(accounts);
    return indexed;
}

const ClientAccount* findAccount(const ClientAccounts& accounts, const KeyDigest& key)
{
    const auto found = accounts.byKey_.find(key);
    return found == accounts.byKey_.end() ? nullptr : &accounts.accounts_[found->second];
}

} // namespace cassiahollow
