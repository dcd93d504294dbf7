#include "process/NodeSettings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

NodeSettingsFile load(const std::string& text)
{
    const auto file = std::filesystem::temp_directory_path() / ("node-settings-" + std::to_string(getpid()) + ".yaml");
    std::ofstream(file) << text;
    auto loaded = loadNodeSettings(file.string());
    std::filesystem::remove(file);
    return loaded;
}

const std::string entry = R"(instance: front-1
data_centre: a
listen: {statements: "10.0.0.1:80", readiness: "10.0.0.1:81", peers: "10.0.0.1:7440"}
seeds: ["10.0.0.9:8782"]
tolerated_losses: 2
catch_up_s: 2.5
deployment_key: "0123456789abcdef"
shutdown_ms: 4000
)";

} // namespace

TEST_CASE("the settings of an entry instance are read")
{
    const auto file = load(entry);
    REQUIRE(file.errors_.empty());
    const auto& settings = file.settings_;
    CHECK(settings.name_ == "front-1");
    CHECK(settings.statements_ == "10.0.0.1:80");
    CHECK(settings.operators_.empty());
    CHECK_FALSE(settings.mayFound_);
    CHECK(settings.shutdown_ == 4s);
    CHECK(settings.heartbeat_ == 1200ms);
    CHECK(peerAddressOf(settings, settings.seeds_[0]) == "10.0.0.9:7440");
    CHECK(settings.toleratedLosses_ == 2);
    CHECK(settings.catchUp_ == std::chrono::milliseconds(2500));
    CHECK_FALSE(settings.failClosed_);
    CHECK(settings.revokeTime_ == 5s);
    const auto closed = load(entry + "accounts: {fail_closed: true, revoke_ms: 2000}\n");
    REQUIRE(closed.errors_.empty());
    CHECK(closed.settings_.failClosed_);
    CHECK(closed.settings_.revokeTime_ == 2s);
}

// Guards against a process that starts with a settings file that nobody meant.
TEST_CASE("wrong settings are all named, with their line")
{
    CHECK(load("").errors_.size() >= 4);
    CHECK(load("instance: [").errors_.size() == 1);
    CHECK_FALSE(load(entry + "speed: fast\n").errors_.empty());
    CHECK_FALSE(load(entry + "heartbeat_ms: 0\n").errors_.empty());
    CHECK_FALSE(load(entry + "accounts: {revoke_ms: 0}\n").errors_.empty());
    CHECK_FALSE(load(entry + "accounts: {fail_close: true}\n").errors_.empty());
    CHECK_FALSE(load(entry + "memory_mb: 63\n").errors_.empty());
    CHECK(load(entry + "memory_mb: 112\n").settings_.memoryMb_ == 112);
    CHECK(load(entry).settings_.memoryMb_ == 0);
    const auto control = load(R"(instance: core-1
data_centre: a
listen: {operators: "10.0.0.1:80", peers: "10.0.0.1"}
deployment_key: "0123456789abcdef"
)");
    REQUIRE(control.errors_.size() == 2);
    const auto names = [&](const std::string& path) {
        return std::any_of(control.errors_.begin(), control.errors_.end(),
            [&](const SettingsError& error) { return error.path_ == path && error.line_ > 0; });
    };
    CHECK(names("listen.peers"));
    CHECK(names("data_folder"));
    CHECK_FALSE(loadNodeSettings("/nowhere/node.yaml").errors_.empty());
}

// Guards against quotas that count a data centre twice or not at all.
TEST_CASE("the settings of quotas are read and checked")
{
    CHECK(load(entry).settings_.dataCentres_.empty());
    CHECK(load(entry).settings_.quotaWindow_ == 5s);
    CHECK(load(entry + "data_centres: []\nquota:\n").errors_.empty());
    const auto file = load(entry + "data_centres: [a, \"b\"]\nquota: {window_s: 2.5, overage: 0.2, slack: 7}\n");
    REQUIRE(file.errors_.empty());
    CHECK(file.settings_.dataCentres_ == std::vector { DataCentre("a"), DataCentre("b") });
    CHECK(file.settings_.quotaWindow_ == 2500ms);
    CHECK(file.settings_.quotaOverage_ == 0.2);
    CHECK(file.settings_.quotaSlack_ == 7);
    for (const auto* wrong :
        { "data_centres: [a, a]", "data_centres: [b, c]", "data_centres: [a, \"\"]", "quota: {window_s: 0}",
            "quota: {overage: 2}", "quota: {slack: -1}", "quota: {slack: .nan}", "quota: {rate: 1}" }) {
        CAPTURE(wrong);
        CHECK(load(entry + wrong + "\n").errors_.size() == 1);
    }
}

TEST_CASE("the example of a node can be used")
{
    CHECK(loadNodeSettings(std::string(CASSIAHOLLOW_EXAMPLES) + "/node.yaml").errors_.empty());
}
