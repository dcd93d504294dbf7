#include "support/Deployment.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace cassiahollow::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json writeOf(const std::string& statement, const std::string& session)
{
    return { { "class", "write" }, { "statements", { statement } }, { "session", session }, { "deadline_ms", 10000 } };
}

json readOf(const std::string& key, const std::string& session)
{
    return { { "class", "read" }, { "statements", { "GET " + key } }, { "read_only", true }, { "session", session },
        { "deadline_ms", 10000 } };
}

/// Runs a request that has to be done, and returns the answer of its only statement.
std::string done(Deployment& deployment, std::size_t instance, const json& body, std::string& session)
{
    const auto answer = deployment.call(instance, "service-0", body);
    REQUIRE(answer);
    INFO(answer->body_);
    REQUIRE(answer->json_.value("outcome", "") == "done");
    session = answer->json_.at("session").get<std::string>();
    return answer->json_.at("answers").at(0).get<std::string>();
}

void requireRefused(const std::optional<HttpAnswer>& answer)
{
    REQUIRE(answer);
    INFO(answer->body_);
    REQUIRE(answer->json_.value("outcome", "") == "not_run");
    REQUIRE(answer->json_.value("reason", "") == "session_token_invalid");
}

} // namespace

// Guards against a session that loses its own write after it has moved to another instance (guarantee 1), for replicas
// that are up to date, slightly behind and far behind.
TEST_CASE("a session reads its own writes through every instance")
{
    DeploymentOptions options;
    options.lag_ = GENERATE(0ms, 50ms, 300ms);
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        const auto value = "value-" + std::to_string(round);
        const auto writer = static_cast<std::size_t>(round) % deployment.instances().size();
        std::string session;
        done(deployment, writer, writeOf("SET k " + value, session), session);
        for (std::size_t reader = 0; reader < deployment.instances().size(); ++reader) {
            CAPTURE(options.lag_.count(), round, writer, reader);
            // Each read takes the token of the write, so that it does not profit from the position of another read.
            auto token = session;
            REQUIRE(done(deployment, reader, readOf("k", token), token) == value);
        }
    }
}

// Guards against tokens that are believed although this deployment did not issue them for this service: a session could
// then name a position at will. A refusal as not run has to be true.
TEST_CASE("damaged, forged and foreign tokens are refused and run nothing")
{
    Deployment deployment;
    DeploymentOptions foreignOptions;
    foreignOptions.deploymentKey_ = "another-deployment-key";
    Deployment foreign(foreignOptions);
    REQUIRE(deployment.waitUntilServing());
    REQUIRE(foreign.waitUntilServing());
    std::string session;
    std::string foreignSession;
    done(deployment, 0, writeOf("SET k first", session), session);
    done(foreign, 0, writeOf("SET k first", foreignSession), foreignSession);

    std::vector<std::string> tokens { "x", session.substr(0, session.size() / 2), foreignSession };
    for (std::size_t position = 0; position < session.size(); position += 7) {
        auto damaged = session;
        damaged[position] = damaged[position] == 'A' ? 'B' : 'A';
        tokens.push_back(damaged);
    }
    for (const auto& token : tokens) {
        CAPTURE(token);
        for (std::size_t instance = 0; instance < deployment.instances().size(); ++instance) {
            requireRefused(deployment.call(instance, "service-0", readOf("k", token)));
            requireRefused(deployment.call(instance, "service-0", writeOf("SET k second", token)));
        }
    }
    requireRefused(deployment.call(1, "other-0", readOf("k", session)));
    REQUIRE(done(deployment, 2, readOf("k", session), session) == "first");
}

// Guards against reads of a stated age that are older than that, that ignore the session's own write, or that go to
// the primary although a replica is fresh enough.
TEST_CASE("a read of a stated age is not older and keeps the session's own write")
{
    DeploymentOptions options;
    options.lag_ = 300ms;
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    constexpr auto age = 1500ms;
    std::vector<std::pair<std::chrono::steady_clock::time_point, int>> acknowledged;
    std::string writerSession;
    for (int round = 0; round < 20; ++round) {
        done(deployment, 0, writeOf("SET k v" + std::to_string(round), writerSession), writerSession);
        acknowledged.emplace_back(std::chrono::steady_clock::now(), round);
        auto read = readOf("k", "");
        read["max_age_ms"] = age.count();
        const auto asked = std::chrono::steady_clock::now();
        std::string session;
        const auto value = done(deployment, 1, read, session);
        const int seen = value.empty() ? -1 : std::stoi(value.substr(1));
        int required = -1;
        for (const auto& [time, number] : acknowledged) {
            if (time + age <= asked)
                required = number;
        }
        CAPTURE(round, value);
        REQUIRE(seen >= required);
        read["session"] = writerSession;
        auto token = writerSession;
        REQUIRE(done(deployment, 2, read, token) == "v" + std::to_string(round));
    }
    std::uint64_t atReplica = 0;
    for (std::size_t i = 0; i < deployment.instances().size(); ++i) {
        const auto text = deployment.metrics(i);
        const std::string name = "\ncassiahollow_reads_at_replica_total ";
        const auto found = text.find(name);
        REQUIRE(found != std::string::npos);
        atReplica += std::stoull(text.substr(found + name.size()));
    }
    REQUIRE(atReplica > 0);
}
