#include "cassiahollow/version/SettingsTree.h"

#include "TestFailure.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

constexpr auto set = SettingsOperation::Kind::Set;
constexpr auto unset = SettingsOperation::Kind::Unset;

const std::string startYaml = R"(
deadline: 3s
services:
  verdicts:
    group: returns-db
    weight: 4
    classes:
      hazard: { urgent: true, deadline: 250ms, repeat: forbidden }
      history: { max_age: 5min }
  receipts: { group: returns-db }
groups:
  returns-db: { size: 3, keys: none }
)";

SettingsTree startTree()
{
    return settingsFromYaml(startYaml).value();
}

std::string refusal(const SettingsTree& tree, std::vector<SettingsOperation> operations)
{
    const auto failure = failureOf([&] {
        return applySettingsChange(tree, { tree.revision_, std::move(operations) }, "k");
    });
    REQUIRE(failure);
    REQUIRE(failure->reason_ == Reason::SettingsInvalid);
    return failure->detail_;
}

} // namespace

// Guards against a lower node that does not override, and a higher node that does not reach down.
TEST_CASE("settings are inherited and overridden")
{
    const auto tree = startTree();
    const auto hazard = classSettings(tree, ServiceId("verdicts"), ClassId("hazard")).value();
    CHECK(hazard.deadline_ == 250ms);
    CHECK(hazard.weight_ == 4);
    CHECK(hazard.urgent_);
    CHECK_FALSE(hazard.repeatAllowed_);
    const auto history = classSettings(tree, ServiceId("verdicts"), ClassId("history")).value();
    CHECK(history.deadline_ == 3s);
    CHECK(history.maxAge_ == 5min);
    CHECK(history.repeatAllowed_);
    CHECK(history.readWaitLimit_ == 20ms);
    CHECK(serviceSettings(tree, ServiceId("receipts")).value().group_ == GroupId("returns-db"));
    CHECK_FALSE(groupSettings(tree, GroupId("returns-db")).keysStored_);
    CHECK(groupSettings(tree, GroupId("announced-only")).size_ == 3);
    CHECK(groupSettings(tree, GroupId("announced-only")).keysStored_);
    CHECK(classesOf(tree, ServiceId("verdicts")) == std::vector { ClassId("hazard"), ClassId("history") });
    CHECK(servicesOf(tree).size() == 2);
}

// Guards against a service name that is a prefix of another one taking or removing the other's nodes.
TEST_CASE("removing a node leaves nodes whose names begin alike")
{
    auto tree = startTree();
    const auto made = applySettingsChange(
        tree, { 0, { { set, "/services/verdicts2/classes/a", "", "" }, { set, "/", "group", "g" } } }, "k1")
                          .value();
    const auto removed = applySettingsChange(made, { 1, { { unset, "/services/verdicts", "", "" } } }, "k2").value();
    CHECK(removed.nodes_.contains("/services/verdicts2/classes/a"));
    CHECK_FALSE(removed.nodes_.contains("/services/verdicts/classes/hazard"));
    CHECK(failureOf([&] { return classSettings(removed, ServiceId("verdicts"), ClassId("hazard")); })->reason_
        == Reason::UnknownService);
    CHECK(failureOf([&] { return classSettings(removed, ServiceId("verdicts2"), ClassId("hazard")); })->reason_
        == Reason::UnknownClass);
}

// Guards against two operators who both win one revision, and a refusal that does not name the winner.
TEST_CASE("a change on another revision is refused and names the winner")
{
    const auto tree = startTree();
    const auto first = applySettingsChange(tree, { 0, { { set, "/", "deadline", "1s" } } }, "alice-1").value();
    CHECK(first.revision_ == 1);
    const auto failure = failureOf([&] {
        return applySettingsChange(first, { 0, { { set, "/", "deadline", "4s" } } }, "bob-1");
    });
    REQUIRE(failure);
    CHECK(failure->reason_ == Reason::SettingsRevisionConflict);
    CHECK(failure->detail_.find("alice-1") != std::string::npos);
}

// Guards against values that no instance can use, and against a refusal that does not name the path.
TEST_CASE("wrong types, units, ranges, levels and paths are refused")
{
    const auto tree = startTree();
    const auto at = [&](std::string path, std::string name, std::string value) {
        return refusal(tree, { { set, std::move(path), std::move(name), std::move(value) } });
    };
    CHECK(at("/", "deadline", "250").find("unit") != std::string::npos);
    CHECK(at("/", "deadline", "0ms").find("deadline") != std::string::npos);
    at("/", "deadline", "-5s");
    at("/", "deadline", "9223372036854775807h");
    at("/", "weight", "0");
    at("/", "weight", "1001");
    at("/", "weight", "1.5");
    at("/", "weight", "99999999999999999999");
    at("/", "urgent", "yes");
    at("/", "repeat", "");
    at("/", "repeat", "allowed|forbidden");
    at("/", "colour", "red");
    CHECK(at("/groups/g", "weight", "2").find("/services/NAME/classes/NAME") != std::string::npos);
    at("/services/verdicts/classes/hazard", "group", "g");
    at("/services", "weight", "2");
    at("/services/a b", "weight", "2");
    at("/services/a/classes/", "weight", "2");
    at("/services/" + std::string(65, 'x'), "weight", "2");
    CHECK(at("/services/new", "weight", "2").find("/services/new") != std::string::npos);
    refusal(tree, { { unset, "/services/absent", "", "" } });
    refusal(tree, { { unset, "/", "weight", "" } });
    refusal(tree, { { unset, "/", "", "" } });
    refusal(tree, {});
}

// Guards against a half-applied change.
TEST_CASE("a change with one bad operation changes nothing")
{
    const auto tree = startTree();
    refusal(tree, { { set, "/", "deadline", "1s" }, { set, "/", "weight", "0" } });
    CHECK(effectiveSetting(tree, "/", "deadline") == SettingValue(std::chrono::milliseconds(3s)));
    CHECK(tree.revision_ == 0);
}

// Guards against an instance that reverts to an older configuration.
TEST_CASE("an older or equal revision is not accepted")
{
    auto applied = startTree();
    applied.revision_ = 7;
    auto offered = startTree();
    offered.revision_ = 6;
    offered.changeKey_ = "older";
    CHECK_FALSE(acceptSettings(applied, offered));
    offered.revision_ = 7;
    CHECK_FALSE(acceptSettings(applied, offered));
    CHECK(applied.changeKey_.empty());
    offered.revision_ = 8;
    CHECK(acceptSettings(applied, offered));
    CHECK(applied == offered);
}

// Guards against a tree or change that reads back differently from how it was written.
TEST_CASE("JSON keeps trees and changes")
{
    auto tree = startTree();
    tree.revision_ = 41;
    tree.changeKey_ = "k";
    CHECK(settingsFromJson(settingsToJson(tree)).value() == tree);
    const SettingsChange change { 41,
        { { set, "/", "weight", "3" }, { set, "/groups/g", "", "" }, { unset, "/services/verdicts", "weight", "" } } };
    CHECK(settingsChangeFromJson(settingsChangeToJson(change)).value() == change);
    const auto typed
        = settingsChangeFromJson(R"({"revision":1,"operations":[{"op":"set","path":"/","name":"urgent","value":true},)"
                                 R"({"op":"set","path":"/","name":"weight","value":3}]})")
              .value();
    CHECK(typed.operations_[0].value_ == "true");
    CHECK(typed.operations_[1].value_ == "3");
    for (const auto& spec : knownSettings()) {
        if (!spec.default_.empty())
            CHECK(settingValueText(parseSettingValue(spec, spec.default_).value()) == spec.default_);
    }
}

// Guards against a crash, or an invalid tree, from text that operators or files supply.
TEST_CASE("malformed JSON and YAML give an error")
{
    for (const auto* text : { "", "[]", "{", "{}", R"({"revision":-1})", R"({"revision":1,"operations":[1]})",
             R"({"revision":1,"operations":[{"op":"add","path":"/"}]})",
             R"({"revision":1,"operations":[{"op":"set","path":"/","name":"weight"}]})",
             R"({"revision":1,"operations":[{"op":"set","path":"/","name":"weight","value":[1]}]})" }) {
        INFO(text);
        CHECK(failureOf([&] { return settingsChangeFromJson(text); }));
        CHECK(failureOf([&] { return settingsFromJson(text); }));
    }
    for (const auto* text : { "a: [", "[1]", "weight: {a: 1}", "services: 3", "services: {a: {classes: 3}}",
             "? [a]\n: 1", "services: {a: {weight: 1}}", "services: {'a/classes/b': {group: g}}", "groups: {g: 1}" }) {
        INFO(text);
        CHECK(failureOf([&] { return settingsFromYaml(text); }));
    }
    std::mt19937 random(7);
    const auto json = settingsToJson(startTree());
    for (int i = 0; i < 2000; ++i) {
        auto damagedJson = json;
        auto damagedYaml = startYaml;
        for (int j = 0; j < 3; ++j) {
            damagedJson[random() % damagedJson.size()] = static_cast<char>(random());
            damagedYaml[random() % damagedYaml.size()] = static_cast<char>(random());
        }
        if (const auto tree = settingsFromJson(damagedJson))
            REQUIRE(validateSettings(*tree));
        if (const auto tree = settingsFromYaml(damagedYaml))
            REQUIRE(validateSettings(*tree));
    }
}

// Guards against an exception when a newer instance sends a tree with a setting whose type has changed.
TEST_CASE("a value of another type gives the default")
{
    auto tree = startTree();
    tree.nodes_["/services/verdicts/classes/hazard"]["deadline"] = std::string("soon");
    CHECK_FALSE(validateSettings(tree));
    CHECK(classSettings(tree, ServiceId("verdicts"), ClassId("hazard")).value().deadline_ == 2s);
}
