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

/// The time of day of the arrival, two days after the database's start.
const std::chrono::system_clock::time_point noon { 1700172800000ms };

std::string without(std::string text, const std::string& part, const std::string& replacement)
{
    const auto at = text.find(part);
    REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), replacement);
}

/// Why a configuration is refused; empty if it is taken.
std::string catalogRefusal(const std::string& document)
{
    const auto failure = failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(platform::decodeCatalog(document));
        return {};
    });
    return failure ? failure->detail_ : std::string();
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

// Guards against keys that identify the wrong account, and against accounts that are checked where there are none.
TEST_CASE("client accounts are read with the digests of their keys")
{
    const auto decode = [](const std::string& document) {
        std::optional<RouteCatalog> catalog;
        REQUIRE_FALSE(failureOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(catalog, platform::decodeCatalog(document));
            return {};
        }));
        return *catalog;
    };
    CHECK_FALSE(decode(configuration).accounts_);
    CHECK_FALSE(decode(configuration).routes_[0].isPublic_);
    const std::string accounts = R"("Tenants":[{"Name":"grid","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":371,
"Burst":40.5},{"Name":"depot","ApiKeys":[]}],"Limits")";
    auto document = without(configuration, "\"Limits\"", accounts);
    document = without(document, "\"MaxAttempts\":2", "\"MaxAttempts\":2,\"Public\":true");
    const auto catalog = decode(document);
    CHECK(catalog.routes_[0].isPublic_);
    REQUIRE(catalog.accounts_);
    const auto* grid = findAccount(*catalog.accounts_, digestOf("k2"));
    REQUIRE(grid);
    CHECK(grid->name_ == AccountId("grid"));
    CHECK(grid->quota_ == QuotaLimit { 371, 40.5 });
    CHECK_FALSE(findAccount(*catalog.accounts_, digestOf("k3")));
    CHECK_FALSE(findAccount(*catalog.accounts_, digestOf("")));
    CHECK_FALSE(catalog.accounts_->accounts_[1].quota_);
}

// Guards against an ambiguous key, and against an error text that shows a key.
TEST_CASE("client accounts that cannot be told apart or read are refused without showing keys")
{
    for (const std::string accounts : { R"([{"Name":"a","ApiKeys":["secret"]},{"Name":"b","ApiKeys":["secret"]}])",
             R"([{"Name":"a","ApiKeys":[]},{"Name":"a","ApiKeys":["secret"]}])", R"({"a":["secret"]})",
             R"([{"Name":"a","ApiKeys":["secret",7]}])", R"([{"Name":"a","ApiKeys":["secret key"]}])",
             R"([{"Name":"a b","ApiKeys":["secret"]}])", R"([{"Name":"a","ApiKeys":["secret"],"RatePerS":-1}])",
             R"([{"Name":"a","ApiKeys":["secret"],"RatePerS":5,"Burst":"6"}])", R"([{"Name":"a"}])" }) {
        INFO(accounts);
        const auto refusal
            = catalogRefusal(without(configuration, "\"Limits\"", "\"Tenants\":" + accounts + ",\"Limits\""));
        CHECK_FALSE(refusal.empty());
        CHECK(refusal.find("secret") == std::string::npos);
    }
}

TEST_CASE("a heartbeat is read into a record")
{
    std::optional<RegisteredEndpoint> record;
    REQUIRE_FALSE(failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(record, platform::decodeHeartbeat("i-7", heartbeat, TimePoint(1h), noon));
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
        without(heartbeat, "\"Version\":\"v1\",", ""), without(heartbeat, "\"v1\"", "7"),
        without(heartbeat, "\"WarmupLeftMs\":20,", ""), without(heartbeat, "\"Zone\":\"riga-a\",", ""),
        without(heartbeat, "draining", "sleeping"), without(heartbeat, "\"DbRole\":\"primary\",", ""),
        without(heartbeat, "\"Slots\":3", "\"Slots\":0"), without(heartbeat, "\"Slots\":3", "\"Slots\":2.5"),
        without(heartbeat, "\"Service\":\"returns\"", "\"Service\":null"), without(heartbeat, "1700000000000", "1.5") };
    for (const auto& body : broken) {
        INFO(body);
        const auto failure = failureOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(platform::decodeHeartbeat("i-7", body, TimePoint(1h), noon));
            return {};
        });
        REQUIRE(failure);
        CHECK(failure->reason_ == Reason::MalformedRequest);
    }
}

// Guards against an odd entry of another writer: numbers that overflow, an address that cannot be connected to, a start
// that no later report of the real database can outrank, nesting that exhausts a stack.
TEST_CASE("a heartbeat out of range names the field and its range")
{
    const auto refusal = [](const std::string& body) {
        const auto failure = failureOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(platform::decodeHeartbeat("i-7", body, TimePoint(1h), noon));
            return {};
        });
        return failure ? failure->detail_ : std::string();
    };
    CHECK(refusal(heartbeat).empty());
    for (const auto* address : { "10.128.0.9:99999", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9:80x", "10.128.0.9",
             "a:1", ":80", "10.128.0.999:80", "", "0.0.0.0:80", "0.1.2.3:80", "224.0.0.1:80", "239.1.2.3:80",
             "240.0.0.1:80", "255.255.255.255:80" }) {
        CAPTURE(address);
        CHECK(refusal(without(heartbeat, "10.128.0.9:8080", address)).find("Address") != std::string::npos);
    }
    for (const auto* number : { "9223372036854775807", "18446744073709551615", "604800001", "1e30", "1e400" }) {
        CAPTURE(number);
        CHECK_FALSE(
            refusal(without(heartbeat, "\"WarmupLeftMs\":20", std::string("\"WarmupLeftMs\":") + number)).empty());
        CHECK_FALSE(refusal(without(heartbeat, "\"Slots\":3", std::string("\"Slots\":") + number)).empty());
    }
    CHECK(refusal(without(heartbeat, "1700000000000", "18446744073709551615")).find("born") != std::string::npos);
    CHECK(refusal(without(heartbeat, "1700000000000", "1700259200001")).find("born") != std::string::npos);
    CHECK(refusal(without(heartbeat, "1700000000000", "1700259200000")).empty());
    CHECK(refusal(without(heartbeat, "\"Seq\":4", "\"Seq\":9007199254740993")).find("Seq") != std::string::npos);

    const auto nested = [](std::size_t levels) {
        return without(
            heartbeat, "\"Seq\":4", "\"Seq\":4,\"Other\":" + std::string(levels, '[') + std::string(levels, ']'));
    };
    CHECK(refusal(nested(60)).empty());
    CHECK(refusal(nested(200'000)).find("nested") != std::string::npos);
    CHECK(refusal(without(heartbeat, "riga-a", std::string(200, '[') + "\\\"")).empty()); // In a string.
}

// Guards against a configuration that is taken with other values than it states.
TEST_CASE("a configuration out of range is refused, not limited")
{
    CHECK(catalogRefusal(configuration).empty());
    for (const auto* number : { "18446744073709551615", "9223372036854775807", "604800001", "-1", "1.5", "1e30" }) {
        CAPTURE(number);
        const auto with = [&](const std::string& field) {
            return catalogRefusal(without(configuration, field, field.substr(0, field.find(':') + 1) + number));
        };
        CHECK(with("\"TimeoutMs\":800").find("TimeoutMs") != std::string::npos);
        CHECK(with("\"TargetLatencyMs\":250").find("TargetLatencyMs") != std::string::npos);
        CHECK(with("\"MaxStalenessMs\":2500").find("MaxStalenessMs") != std::string::npos);
        CHECK(with("\"IdleTxMs\":3000").find("IdleTxMs") != std::string::npos);
        CHECK(with("\"Priority\":2").find("Priority") != std::string::npos);
        CHECK(with("\"MaxConns\":82").find("MaxConns") != std::string::npos);
        CHECK(with("\"SyncReplicas\":1").find("SyncReplicas") != std::string::npos);
    }
    CHECK(catalogRefusal(without(configuration, "\"Priority\":2", "\"Priority\":9999999999")).find("Priority")
        != std::string::npos);
}

// Guards against a configuration without its routes that is acknowledged and drops every route.
TEST_CASE("a configuration whose lists or limits are of another type is refused")
{
    CHECK(catalogRefusal(R"({"Version":7,"Routes":[],"Services":[],"Limits":{}})").empty());
    for (const auto* value : { "null", "{}", "7", "\"none\"", "true" }) {
        CAPTURE(value);
        const std::string other(value);
        CHECK(catalogRefusal(R"({"Version":7,"Routes":)" + other + R"(,"Services":[]})").find("Routes")
            != std::string::npos);
        CHECK(catalogRefusal(R"({"Version":7,"Routes":[],"Services":)" + other + "}").find("Services")
            != std::string::npos);
    }
    for (const auto* value : { "null", "[]", "1.5", "\"none\"" }) {
        CAPTURE(value);
        const std::string other(value);
        CHECK(catalogRefusal(R"({"Version":7,"Routes":[],"Services":[],"Limits":)" + other + "}").find("Limits")
            != std::string::npos);
    }
    CHECK_FALSE(catalogRefusal(R"({"Version":7,"Routes":[null],"Services":[]})").empty());
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
