#include "cassiahollow/version/RouteCatalog.h"

#include "cassiahollow/process/Reasons.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace cassiahollow {

namespace leaf = boost::leaf;

namespace {

    auto invalid(std::string detail)
    {
        return leaf::new_error(Failure { Reason::SettingsInvalid, std::move(detail) });
    }

} // namespace

leaf::result<void> checkCatalog(const RouteCatalog& catalog)
{
    if (catalog.version_ == 0)
        return invalid("the version is 0");
    std::set<std::pair<std::string, std::string>> places;
    for (const auto& route : catalog.routes_) {
        if (route.database_.empty())
            return invalid("route " + route.name_ + " names no database");
        if (!findGroup(catalog, route.group_))
            return invalid("route " + route.name_ + " names the unknown group " + route.group_.value_);
        if (route.statementTimeout_ <= std::chrono::milliseconds::zero())
            return invalid("route " + route.name_ + " has a time limit of 0");
        if (!places.emplace(route.database_, route.prefix_).second)
            return invalid("route " + route.name_ + " repeats the database and prefix of another route");
    }
    return {};
}

const Route* findRoute(const RouteCatalog& catalog, const std::string& database)
{
    const auto found = std::find_if(catalog.routes_.begin(), catalog.routes_.end(),
        [&](const Route& route) { return route.database_ == database; });
    return found == catalog.routes_.end() ? nullptr : &*found;
}

const GroupRules* findGroup(const RouteCatalog& catalog, const GroupId& group)
{
    const auto found = std::find_if(
        catalog.groups_.begin(), catalog.groups_.end(), [&](const GroupRules& rules) { return rules.group_ == group; });
    return found == catalog.groups_.end() ? nullptr : &*found;
}

} // namespace cassiahollow
