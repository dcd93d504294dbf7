#include "Documents.h"

#include "TestFailure.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const std::string configuration = R"({"Version":7,"Routes":[{"Name":"r-1","Host":"verdicts","PathPrefix":"/",
"Type":"read_your_writes","TimeoutMs":800,"TargetLatencyMs":250,"Priority":2,"Service":"returns","MaxAttempts":2,
"MaxStalenessMs":2500}],"Services":[{"Name":"returns","HealthCheck":"/healthz","MaxConns":82,"SyncReplicas":1}],
"Limits":{"IdleTxMs":3000,"MaxHeaderBytes":16384}})";

const std::string heartbeat = R"({"Service":"returns","Address":"10.128.0.9:8080","Zone":"riga-a","Version":"v1",
"Slots":3,"State":"draining","WarmupLeftMs":20,"DbRole":"primary","Seq":4,"born":1700000000000})";

std::string without(std::string text, const std::string& part, const std::string& replacement)
{
    const auto at = text.find(part);
    REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), replacement);
}

} // namespace

TEST_CASE("the operator's configuration is read into routes and groups")
{
    std::optional<RouteCatalog> catalog;
    REQUIRE_FALSE(failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(catalog, platform::decodeCatalog(configuration));
        return {};
    }));
    CHECK(catalog->version_ == 7);
    REQUIRE(catalog->routes_.size() == 1);
    const auto& route = catalog->routes_[0];
    CHECK(route.database_ == "verdicts");
    CHECK(route.consistency_ == Consistency::ReadYourWrites);
    CHECK(route.statementTimeout_ == 800ms);
    CHECK(route.objective_ == 250ms);
    CHECK(route.maxAge_ == 2500ms);
    CHECK(route.group_ == GroupId("returns"));
    REQUIRE(catalog->groups_.size() == 1);
    CHECK(catalog->groups_[0].connectionLimit_ == 82);
    CHECK(catalog->groups_[0].synchronousReplicas_ == 1);
    CHECK(catalog->idleTransaction_ == 3s);
}

// Guards against a configuration that is half read.
TEST_CASE("a configuration that cannot be read in full is refused")
{
    const std::vector<std::string> broken { "", "{", configuration.substr(0, configuration.size() / 2), "[]",
        without(configuration, "\"Version\":7", "\"Version\":\"7\""), without(configuration, "\"Version\":7,", ""),
        without(configuration, "read_your_writes", "eventually"), without(configuration, "\"TimeoutMs\":800,", ""),
        without(configuration, "\"Host\":\"verdicts\",", ""), without(configuration, "800", "-800") };
    for (const auto& document : broken) {
        INFO(document);
        const auto failure = failureOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(platform::decodeCatalog(document));
            return {};
        });
        REQUIRE(failure);
        CHECK(failure->reason_ == Reason::SettingsInvalid);
    }
}

TEST_CASE("a heartbeat is read into a record")
{
    std::optional<RegisteredEndpoint> record;
    REQUIRE_FALSE(failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(record, platform::decodeHeartbeat("i-7", heartbeat, TimePoint(1h)));
        return {};
    }));
    CHECK(record->id_ == EndpointId("i-7"));
    CHECK(record->group_ == GroupId("returns"));
    CHECK(record->slots_ == 3);
    CHECK(record->leaving_);
    CHECK(record->role_ == EndpointRole::Primary);
    CHECK(record->startedAtMs_ == 1700000000000);
    CHECK(record->warmUpLeft_ == 20ms);
    CHECK(record->receivedAt_ == TimePoint(1h));
}

// Guards against another writer's heartbeat becoming an endpoint to use.
TEST_CASE("a heartbeat with missing or mistyped fields names no endpoint")
{
    const std::vector<std::string> broken { "", "\xff\xfe", "{}", without(heartbeat, "\"Seq\":4", "\"Seq\":\"4\""),
        without(heartbeat, "draining", "sleeping"), without(heartbeat, "\"DbRole\":\"primary\",", ""),
        without(heartbeat, "\"Slots\":3", "\"Slots\":0"), without(heartbeat, "\"Slots\":3", "\"Slots\":2.5"),
        without(heartbeat, "\"Service\":\"returns\"", "\"Service\":null"), without(heartbeat, "1700000000000", "1.5") };
    for (const auto& body : broken) {
        INFO(body);
        const auto failure = failureOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(platform::decodeHeartbeat("i-7", body, TimePoint(1h)));
            return {};
        });
        REQUIRE(failure);
        CHECK(failure->reason_ == Reason::MalformedRequest);
    }
}

TEST_CASE("a promotion is ordered with holder and fence")
{
    const auto call = platform::encodePromote(GroupId("returns"), EndpointId("i-7"), "core-1", 12);
    CHECK(call.holderHeader_ == "core-1");
    CHECK(call.fenceHeader_ == "12");
    CHECK(call.body_ == R"({"Id":"i-7","Service":"returns"})");
    CHECK(platform::decodePromoteStatus(200) == platform::PromoteAnswer::Accepted);
    CHECK(platform::decodePromoteStatus(409) == platform::PromoteAnswer::Refused);
    CHECK(platform::decodePromoteStatus(429) == platform::PromoteAnswer::Limited);
    CHECK(platform::decodePromoteStatus(503) == platform::PromoteAnswer::Unknown);
    CHECK(platform::decodePromoteStatus(0) == platform::PromoteAnswer::Unknown);
}
