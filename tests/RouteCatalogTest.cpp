#include "cassiahollow/version/RouteCatalog.h"

#include "TestFailure.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

RouteCatalog catalogOf(std::vector<Route> routes)
{
    RouteCatalog catalog;
    catalog.version_ = 3;
    catalog.routes_ = std::move(routes);
    catalog.groups_ = { { GroupId("returns"), 34, 0 } };
    return catalog;
}

Route route(const std::string& database, const std::string& prefix = "/")
{
    Route route;
    route.name_ = "route-" + database;
    route.database_ = database;
    route.prefix_ = prefix;
    route.group_ = GroupId("returns");
    return route;
}

} // namespace

// Guards against a catalog that is acknowledged although it cannot be served.
TEST_CASE("a catalog with a fault is refused, and the route is named")
{
    CHECK_FALSE(failureOf([] { return checkCatalog(catalogOf({ route("verdicts"), route("audits") })); }));

    auto unknownGroup = route("verdicts");
    unknownGroup.group_ = GroupId("gone");
    auto noTime = route("verdicts");
    noTime.statementTimeout_ = 0ms;
    for (const auto& routes : { std::vector { unknownGroup }, std::vector { noTime },
             std::vector { route("verdicts"), route("verdicts") } }) {
        const auto failure = failureOf([&] { return checkCatalog(catalogOf(routes)); });
        REQUIRE(failure);
        CHECK(failure->reason_ == Reason::SettingsInvalid);
        CHECK(failure->detail_.find("route-verdicts") != std::string::npos);
    }
    auto unnumbered = catalogOf({});
    unnumbered.version_ = 0;
    CHECK(failureOf([&] { return checkCatalog(unnumbered); }));
}

// Guards against two routes of one database that differ by prefix being taken for a repetition.
TEST_CASE("routes of one database may differ by prefix")
{
    CHECK_FALSE(failureOf([] { return checkCatalog(catalogOf({ route("verdicts", "/"), route("verdicts", "/a") })); }));
}

TEST_CASE("routes and groups are found by name")
{
    const auto catalog = catalogOf({ route("verdicts"), route("audits") });
    REQUIRE(findRoute(catalog, "audits"));
    CHECK(findRoute(catalog, "audits")->name_ == "route-audits");
    CHECK_FALSE(findRoute(catalog, "receipts"));
    REQUIRE(findGroup(catalog, GroupId("returns")));
    CHECK_FALSE(findGroup(catalog, GroupId("gone")));
}
