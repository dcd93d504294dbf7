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

// Guards against a key that is accepted without an account, and against public routes that belong to one.
TEST_CASE("a key gives the account on routes that are not public")
{
    auto catalog = catalogOf({ route("verdicts"), route("notices") });
    catalog.routes_[1].isPublic_ = true;
    const auto account = [&](const Route& used, const std::string& key) {
        return accountFor(catalog, used, digestOf(key));
    };
    CHECK(account(catalog.routes_[0], "any") == AccountId());
    catalog.accounts_ = ClientAccounts { { { AccountId("ovens"), { digestOf("k1") }, 0, {} } }, {} };
    catalog.accounts_->byKey_.emplace(digestOf("k1"), 0);
    CHECK(account(catalog.routes_[0], "k1") == AccountId("ovens"));
    CHECK_FALSE(account(catalog.routes_[0], "k2"));
    CHECK_FALSE(account(catalog.routes_[0], ""));
    CHECK(account(catalog.routes_[1], "k1") == AccountId());
    CHECK(account(catalog.routes_[1], "k2") == AccountId());
}
