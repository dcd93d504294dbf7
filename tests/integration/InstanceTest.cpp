#include "support/Deployment.h"
#include "support/HistoryClient.h"
#include "support/StreamClient.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <sstream>

using namespace cassiahollow::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t writesBetweenFaults = 30;
// One more than the data centres, so that one data centre has two instances and the others have one.
constexpr std::size_t instanceCount = 4;

HistoryClient::Options loadOn(const Deployment& deployment)
{
    HistoryClient::Options options;
    options.addresses_ = deployment.callerAddresses();
    options.service_ = "service-0";
    return options;
}

/// A frozen instance keeps connections open without an answer, so a caller that chose it blindly would mostly wait.
HistoryClient::Options balancedLoadOn(const Deployment& deployment)
{
    auto options = loadOn(deployment);
    options.readiness_ = deployment.operatorAddresses();
    return options;
}

/// Stops the load and checks the guarantees over the whole history.
void requireCorrect(HistoryClient& client)
{
    client.stop();
    const auto violations = client.check();
    std::ostringstream text;
    for (const auto& violation : violations)
        text << violation << '\n';
    std::printf("  %s\n", client.summary().c_str());
    INFO(client.summary() << "\nviolations:\n" << text.str());
    REQUIRE(violations.empty());
}

std::string holderOfPrimary(const Deployment& deployment)
{
    std::string holder;
    REQUIRE(waitUntil([&] {
        const auto route = deployment.newestRoute();
        holder = route.primary_.empty() ? std::string() : deployment.holderOf(route.primary_);
        return !holder.empty();
    }));
    return holder;
}

} // namespace

// Guards against the loss of acknowledged writes and repeated writes when the instance through which all writes pass
// ends without notice (guarantees 1, 2 and 6).
TEST_CASE("kill -9 of the instance that holds the primary")
{
    DeploymentOptions options;
    options.instances_ = instanceCount;
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    HistoryClient client(loadOn(deployment));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    const auto holder = holderOfPrimary(deployment);
    deployment.instance(holder).process_->kill();
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    deployment.instance(holder).process_->restart();
    REQUIRE(deployment.waitUntilServing());
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    requireCorrect(client);
}

// Guards against an instance that was frozen for longer than membership waits, and then goes on as the holder: answers
// to callers of the time before must still be true, and the primary must not have two holders for long.
TEST_CASE("a frozen instance that holds the primary and is thawed")
{
    DeploymentOptions options;
    options.instances_ = instanceCount;
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    HistoryClient client(balancedLoadOn(deployment));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    const auto frozen = holderOfPrimary(deployment);
    deployment.instance(frozen).process_->stop();
    REQUIRE(waitUntil([&] { return holderOfPrimary(deployment) != frozen; }));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    deployment.instance(frozen).process_->resume();
    REQUIRE(deployment.waitUntilServing());
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    requireCorrect(client);
}

// Guards against a transaction that takes effect in part, or holds its connection for good, after the instance that
// its caller is connected to has ended in the middle of it (guarantee 3).
TEST_CASE("kill -9 of an instance in the middle of a transaction")
{
    DeploymentOptions options;
    options.instances_ = instanceCount;
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    const auto holder = holderOfPrimary(deployment);
    // Once the holder itself, once an instance that forwards to the holder.
    const bool endsHolder = GENERATE(true, false);
    std::size_t ended = 0;
    while ((deployment.instances()[ended].id_ == holder) != endsHolder)
        ++ended;
    StreamClient stream;
    REQUIRE(stream.connect(deployment.instances()[ended].callers_));
    const auto begun = stream.exchange({ { "op", "begin" }, { "service", "service-0" }, { "class", "write" } });
    REQUIRE(begun);
    INFO(begun->dump());
    REQUIRE(begun->value("outcome", "") == "done");
    const auto transaction = begun->at("key");
    for (const std::string statement : { "SET a 1x", "SET b 1x" }) {
        const auto ran = stream.exchange({ { "op", "run" }, { "transaction", transaction }, { "service", "service-0" },
            { "class", "write" }, { "statements", { statement } } });
        REQUIRE(ran);
        INFO(ran->dump());
        REQUIRE(ran->value("outcome", "") == "done");
    }
    deployment.instances()[ended].process_->kill();
    const std::size_t other = (ended + 1) % instanceCount;
    // A write of the same keys is done, so the transaction does not hold them; none of its statements is seen.
    std::optional<HttpAnswer> answer;
    REQUIRE(waitUntil([&] {
        answer = deployment.call(other, "service-0",
            { { "class", "write" }, { "statements", { "APPEND a 2x", "APPEND b 2x" } }, { "key", "after" },
                { "deadline_ms", 10000 } });
        return answer && answer->json_.value("outcome", "") == "done";
    }));
    const auto read = deployment.call(other, "service-0",
        { { "class", "read" }, { "statements", { "GET a", "GET b" } }, { "read_only", true },
            { "session", answer->json_.at("session") }, { "deadline_ms", 10000 } });
    REQUIRE(read);
    INFO(read->body_);
    REQUIRE(read->json_.value("outcome", "") == "done");
    REQUIRE(read->json_.at("answers") == json({ "2x", "2x" }));
}

// Guards against requests that a graceful shutdown cuts off or leaves without a known outcome (guarantee 8), and
// against a process that does not end with status 0.
TEST_CASE("rolling restart of all instances under load")
{
    DeploymentOptions options;
    options.lag_ = 50ms; // Writes then wait for their majority at any moment, also when the holder role moves.
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    HistoryClient client(balancedLoadOn(deployment));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    for (auto& instance : deployment.instances()) {
        instance.process_->terminate();
        REQUIRE(waitUntil([&] { return !instance.process_->isRunning(); }, 60s));
        REQUIRE(instance.process_->exitStatus() == 0);
        instance.process_->restart();
        REQUIRE(deployment.waitUntilServing());
        REQUIRE(client.waitForWrites(writesBetweenFaults));
    }
    client.stop();
    CHECK(client.lostAnswers() == 0);
    CHECK(client.unknownAnswers() == 0);
    requireCorrect(client);
}
