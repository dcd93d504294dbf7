#pragma once

#include "cassiahollow/process/Types.h"

#include <boost/leaf/result.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cassiahollow {

/// SHA-256 digest of a client's key. Instances keep and compare digests only, so that no key can appear in a log line
/// or a metric, and the time of a comparison says nothing about a key.
struct KeyDigest {
    std::array<unsigned char, 32> bytes_ {};

    bool operator==(const KeyDigest&) const = default;
    bool operator<(const KeyDigest& other) const { return bytes_ < other.bytes_; }
};

KeyDigest digestOf(std::string_view key);

/// How many operations an account may run, over all instances together.
struct QuotaLimit {
    double ratePerSecond_ { 0 };
    double burst_ { 0 }; ///< Operations beyond the rate that may run at once.

    bool operator==(const QuotaLimit&) const = default;
};

/// Clients that are identified by the same keys and share connections and a quota.
struct ClientAccount {
    AccountId name_;
    std::vector<KeyDigest> keys_; ///< May be empty: no client can use the account then.
    int priority_ { 0 }; ///< 0 is the highest.
    std::optional<QuotaLimit> quota_; ///< Nothing: not limited.

    bool operator==(const ClientAccount&) const = default;
};

/// The client accounts of a catalog, indexed by the digests of their keys.
struct ClientAccounts {
    std::vector<ClientAccount> accounts_;
    std::map<KeyDigest, std::size_t> byKey_;

    bool operator==(const ClientAccounts&) const = default;
};

/// Indexes accounts. Fails with SettingsInvalid and the names of the accounts if two have the same name or share a key.
boost::leaf::result<ClientAccounts> indexAccounts(std::vector<ClientAccount>);

/// Returns the account that holds a key, or null. The pointer is valid as long as the accounts.
const ClientAccount* findAccount(const ClientAccounts&, const KeyDigest&);

} // namespace cassiahollow
