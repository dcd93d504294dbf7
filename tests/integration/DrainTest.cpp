#include "support/Deployment.h"
#include "support/HistoryClient.h"
#include "support/StreamClient.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace cassiahollow::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

HistoryClient::Options loadOn(const Deployment& deployment)
{
    HistoryClient::Options options;
    options.addresses_ = deployment.callerAddresses();
    options.service_ = "service-0";
    return options;
}

void requireCorrect(HistoryClient& client)
{
    client.stop();
    const auto violations = client.check();
    std::printf("  %s\n", client.summary().c_str());
    INFO((violations.empty() ? std::string() : violations.front()));
    REQUIRE(violations.empty());
}

} // namespace

// Guards against work that is still given to a leaving database 3 s after its SIGTERM (guarantee 7). The database is
// frozen then: a request that is sent to it all the same gets no answer and is counted as lost.
TEST_CASE("a leaving replica gets no new work after 3 s")
{
    constexpr auto drainLimit = 3s;
    DeploymentOptions options;
    options.leaveDelay_ = 60s;
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    HistoryClient client(loadOn(deployment));
    REQUIRE(client.waitForWrites(30));
    const auto route = deployment.newestRoute();
    auto& replica = deployment.databases()[deployment.databases()[0].id_ == route.primary_ ? 1 : 0];
    replica.process_->terminate();
    const auto left = std::chrono::steady_clock::now();
    REQUIRE(waitUntil([&] { return std::chrono::steady_clock::now() - left >= drainLimit; }));
    const auto lostRequests = [&] {
        std::uint64_t count = 0;
        for (std::size_t i = 0; i < deployment.instances().size(); ++i) {
            const auto text = deployment.metrics(i);
            const std::string name = "cassiahollow_reason_total{reason=\"endpoint_silent\"} ";
            const auto found = text.find(name);
            REQUIRE(found != std::string::npos);
            count += std::stoull(text.substr(found + name.size()));
        }
        return count;
    };
    const auto before = lostRequests();
    replica.process_->stop();
    const auto frozen = std::chrono::steady_clock::now();
    // Longer than an instance waits for a silent statement, so that a lost request would have been counted.
    REQUIRE(waitUntil([&] { return std::chrono::steady_clock::now() - frozen >= 5s; }));
    REQUIRE(client.waitForWrites(30));
    CHECK(lostRequests() == before);
    replica.process_->resume();
    requireCorrect(client);
}

// Guards against transactions that end because their database is leaving, and against a leaving primary that takes
// acknowledged writes with it.
TEST_CASE("a transaction at a leaving primary finishes")
{
    Deployment deployment;
    REQUIRE(deployment.waitUntilServing());
    HistoryClient client(loadOn(deployment));
    REQUIRE(client.waitForWrites(30));
    const auto route = deployment.newestRoute();
    auto& primary = deployment.database(route.primary_);
    StreamClient stream;
    REQUIRE(stream.connect(deployment.instances()[0].callers_));
    const json common { { "service", "service-0" }, { "class", "write" } };
    const auto step = [&](json fields) {
        fields.update(common);
        const auto answer = stream.exchange(std::move(fields));
        REQUIRE(answer);
        INFO(answer->dump());
        REQUIRE(answer->value("outcome", "") == "done");
        return *answer;
    };
    const auto transaction = step({ { "op", "begin" } }).at("key");
    step({ { "op", "run" }, { "transaction", transaction }, { "statements", { "SET a 1x" } } });
    primary.process_->terminate();
    REQUIRE(waitUntil([&] {
        const auto answer = askEndpoint(primary.address_, cassiahollow::ReportRequest {}, 2s);
        const auto* report = answer ? std::get_if<cassiahollow::EndpointReport>(&*answer) : nullptr;
        return report && report->leaving_;
    }));
    step({ { "op", "run" }, { "transaction", transaction }, { "statements", { "SET b 1x" } } });
    const auto committed = step({ { "op", "commit" }, { "transaction", transaction } });
    REQUIRE(waitUntil([&] { return !primary.process_->isRunning(); }));
    REQUIRE(primary.process_->exitStatus() == 0);
    REQUIRE(client.waitForWrites(30));
    const auto read = deployment.call(1, "service-0",
        { { "class", "read" }, { "statements", { "GET a", "GET b" } }, { "read_only", true },
            { "session", committed.at("session") }, { "deadline_ms", 10000 } });
    REQUIRE(read);
    INFO(read->body_);
    REQUIRE(read->json_.at("answers") == json({ "1x", "1x" }));
    requireCorrect(client);
}
