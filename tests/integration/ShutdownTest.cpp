#include "support/Deployment.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>
#include <future>

using namespace cassiahollow::testing;
using nlohmann::json;

// Guards against a shutdown that closes the connections of requests that still run.
TEST_CASE("a request that runs when the shutdown begins gets its whole answer")
{
    Deployment deployment;
    REQUIRE(deployment.waitUntilServing());
    auto& instance = deployment.instances()[0];
    auto& primary = *deployment.database(deployment.newestRoute().primary_).process_;
    primary.stop(); // The write waits: first for the primary, then for the failover.
    const json write { { "class", "write" }, { "statements", json::array({ "SET a 1" }) }, { "deadline_ms", 20000 } };
    auto answer = std::async(std::launch::async,
        [&] { return httpPost(instance.callers_, "/v1/services/service-0", write, {}, std::chrono::seconds(25)); });
    REQUIRE(waitUntil([&] {
        return deployment.metrics(0).find("cassiahollow_open_requests 1") != std::string::npos
            || answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }));
    instance.process_->terminate();
    primary.resume();
    const auto result = answer.get();
    REQUIRE(result);
    REQUIRE(result->json_["outcome"] == "done");
    REQUIRE(waitUntil([&] { return !instance.process_->isRunning(); }));
    REQUIRE(instance.process_->exitStatus() == 0);
}

// Guards against a slow answer that is cut off after the listener has stopped accepting.
TEST_CASE("open connections outlive the end of accepting")
{
    Deployment deployment;
    REQUIRE(deployment.waitUntilServing());
    auto& instance = deployment.instances()[0];
    std::vector<ChildProcess*> databases;
    for (auto& database : deployment.databases())
        databases.push_back(database.process_.get());
    // Without a majority that answers, the write can only wait for its confirmation or for a primary.
    for (auto* database : databases)
        database->stop();
    const json write { { "class", "write" }, { "statements", json::array({ "SET b 1" }) }, { "deadline_ms", 9000 } };
    auto answer = std::async(std::launch::async,
        [&] { return httpPost(instance.callers_, "/v1/services/service-0", write, {}, std::chrono::seconds(25)); });
    instance.process_->terminate();
    const auto result = answer.get();
    for (auto* database : databases)
        database->resume();
    REQUIRE(result);
    const std::string outcome = result->json_["outcome"];
    REQUIRE((outcome == "done" || outcome == "not_run" || outcome == "unknown"));
    REQUIRE(waitUntil([&] { return !instance.process_->isRunning(); }, std::chrono::seconds(40)));
    REQUIRE(instance.process_->exitStatus() == 0);
}
