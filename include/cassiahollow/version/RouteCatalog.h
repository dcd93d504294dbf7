#pragma once

#include "cassiahollow/process/Types.h"
#include "cassiahollow/version/ClientAccounts.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cassiahollow {

/// The consistency level of reads on a route: which commits a read may miss.
enum class Consistency : std::uint8_t {
    Primary, ///< None: the read runs at a primary whose leadership is proven.
    BoundedStaleness, ///< Commits acknowledged less than maxAge_ before the read.
    ReadYourWrites, ///< As BoundedStaleness, but never a commit of its own session.
};

/// A database that client accounts connect to, with the settings for its statements.
struct Route {
    std::string name_;
    std::string database_; ///< The name that clients connect with.
    std::string prefix_; ///< Distinguishes routes with the same database. The pair of both is unique.
    GroupId group_;
    Consistency consistency_ { Consistency::Primary };
    std::chrono::milliseconds statementTimeout_ { 1000 };
    std::chrono::milliseconds objective_ { 1000 }; ///< The latency objective of a whole operation.
    std::chrono::milliseconds maxAge_ { 0 };
    int priority_ { 0 }; ///< 0 is the highest.
    bool isPublic_ { false }; ///< Clients need no key, and belong to no account.

    bool operator==(const Route&) const = default;
};

/// The settings of an endpoint group in the catalog.
struct GroupRules {
    GroupId group_;
    std::size_t connectionLimit_ { 0 }; ///< Maximum of open connections to one endpoint from all instances together.
    std::size_t synchronousReplicas_ {
        0
    }; ///< Number of replicas that have to hold a commit before it is acknowledged.

    bool operator==(const GroupRules&) const = default;
};

/// A complete configuration of routes and groups. Replaced as a whole; within a process, the version never decreases.
struct RouteCatalog {
    std::uint64_t version_ { 0 };
    std::vector<Route> routes_;
    std::vector<GroupRules> groups_;
    /// Nothing if the deployment has no client accounts; no key is checked then.
    std::optional<ClientAccounts> accounts_;
    std::chrono::milliseconds idleTransaction_ { 3000 }; ///< A transaction that is idle for longer may be aborted.

    bool operator==(const RouteCatalog&) const = default;
};

/// Checks that the version is not 0, that every route has a database and a listed group, that no two routes share
/// database and prefix, and that no statement timeout is 0 or less. Fails with SettingsInvalid and the name of the
/// route.
boost::leaf::result<void> checkCatalog(const RouteCatalog&);

/// Returns the first route with this database name, or null. The pointer is valid as long as the catalog.
const Route* findRoute(const RouteCatalog&, const std::string& database);

/// The account that a client with this key uses a route as: empty without accounts and on public routes, nothing if the
/// key is unknown. The route need not be one of the catalog's any more.
std::optional<AccountId> accountFor(const RouteCatalog&, const Route&, const KeyDigest&);

/// Returns the rules of a group, or null. The pointer is valid as long as the catalog.
const GroupRules* findGroup(const RouteCatalog&, const GroupId&);

} // namespace cassiahollow
