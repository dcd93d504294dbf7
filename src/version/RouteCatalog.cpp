#include "cassiahollow/version/RouteCatalog.h"

#include "cassiahollow/process/Reasons.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace cassiahollow {

namespace leaf = boost::leaf;

namespace {

    auto settingsError(std::string detail)
    {
        return leaf::new_error(Failure { Reason::SettingsInvalid, std::move(detail) });
    }

} // namespace

leaf::result<void> checkCatalog(const RouteCatalog& catalog)
{
    if (catalog.version_ == 0)
        return settingsError("the catalog version is 0");
    std::set<std::pair<std::string, std::string>> databasePrefixes;
    for (const auto& route : catalog.routes_) {
        if (route.database_.empty())
            return settingsError("route " + route.name_ + " has no database");
        if (!findGroup(catalog, route.group_))
            return settingsError("route " + route.name_ + " refers to the unknown group " + route.group_.value_);
        if (route.statementTimeout_ <= std::chrono::milliseconds::zero())
            return settingsError("route " + route.name_ + " has a statement timeout of 0 or less");
        if (!databasePrefixes.emplace(route.database_, route.prefix_).second)
            return settingsError("route " + route.name_ + " has the same database and prefix as another route");
    }
    return {};
}

const Route* findRoute(const RouteCatalog& catalog, const std::string& database)
{
    const auto found = std::find_if(catalog.routes_.begin(), catalog.routes_.end(),
        [&](const Route& route) { return route.database_ == database; });
    return found == catalog.routes_.end() ? nullptr : &*found;
}

std::optional<AccountId> accountFor(const RouteCatalog& catalog, const Route& route, const KeyDigest& key)
{
    if (!catalog.accounts_ || route.isPublic_)
        return AccountId();
    const auto* account = findAccount(*catalog.accounts_, key);
    return account ? std::optional(account->name_) : std::nullopt;
}

const GroupRules* findGroup(const RouteCatalog& catalog, const GroupId& group)
{
    const auto found = std::find_if(
        catalog.groups_.begin(), catalog.groups_.end(), [&](const GroupRules& rules) { return rules.group_ == group; });
    return found == catalog.groups_.end() ? nullptr : &*found;
}

} // namespace cassiahollow
