#pragma once

#include "cassiahollow/process/Types.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cassiahollow {

/// What a read on a route may miss.
enum class Consistency : std::uint8_t {
    Primary, ///< Nothing: it runs under a proof of the lead.
    BoundedStaleness, ///< Commits acknowledged less than maxAge_ before the read.
    ReadYourWrites, ///< As BoundedStaleness, but no commit of its own session.
};

/// One named database that client accounts connect to, and how its statements are served.
struct Route {
    std::string name_;
    std::string database_; ///< The name that clients connect with.
    std::string prefix_; ///< Distinguishes routes with the same database; two routes may not share both.
    GroupId group_;
    Consistency consistency_ { Consistency::Primary };
    std::chrono::milliseconds statementTimeout_ { 1000 };
    std::chrono::milliseconds objective_ { 1000 }; ///< The latency objective of a whole operation.
    std::chrono::milliseconds maxAge_ { 0 };
    int priority_ { 0 }; ///< 0 is the highest.

    bool operator==(const Route&) const = default;
};

/// What the catalog says about an endpoint group.
struct GroupRules {
    GroupId group_;
    std::size_t connectionLimit_ { 0 }; ///< Open connections that one endpoint accepts from all instances together.
    std::size_t synchronousReplicas_ { 0 }; ///< Replicas that hold a commit before it is acknowledged.

    bool operator==(const GroupRules&) const = default;
};

/// One complete configuration. Replaced as a whole; a version never follows a higher one within a process.
struct RouteCatalog {
    std::uint64_t version_ { 0 };
    std::vector<Route> routes_;
    std::vector<GroupRules> groups_;
    std::chrono::milliseconds idleTransaction_ { 3000 }; ///< A transaction that rests for longer may be ended.

    bool operator==(const RouteCatalog&) const = default;
};

/// Checks that every route names a listed group, that no two routes share database and prefix, and that no time limit
/// is 0. Fails with SettingsInvalid, naming the route.
boost::leaf::result<void> checkCatalog(const RouteCatalog&);

/// The route of a database name, or null. Valid as long as the catalog.
const Route* findRoute(const RouteCatalog&, const std::string& database);

/// The rules of a group, or null. Valid as long as the catalog.
const GroupRules* findGroup(const RouteCatalog&, const GroupId&);

} // namespace cassiahollow
