#include "support/Deployment.h"
#include "support/HistoryClient.h"
#include "support/Waiting.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <sstream>

using namespace cassiahollow;
using namespace cassiahollow::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t writesBetweenFaults = 30;

HistoryClient::Options loadOn(const Deployment& deployment, std::size_t group = 0, std::size_t callers = 6)
{
    HistoryClient::Options options;
    options.addresses_ = deployment.callerAddresses();
    options.service_ = "service-" + std::to_string(group);
    options.callers_ = callers;
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

/// Waits until an instance publishes a primary in a term above one, and returns the new route.
Deployment::Route waitForFailover(const Deployment& deployment, const Deployment::Route& old, std::size_t group = 0)
{
    Deployment::Route now;
    REQUIRE(waitUntil([&] {
        now = deployment.newestRoute(group);
        return now.term_ > old.term_;
    }));
    return now;
}

/// Whether a database has given up its old role: it follows in a term at or above one.
bool follows(const Deployment::Database& database, std::uint64_t term)
{
    return waitUntil([&] {
        const auto answer = askEndpoint(database.address_, ReportRequest {}, 2s);
        const auto* report = answer ? std::get_if<EndpointReport>(&*answer) : nullptr;
        return report && report->role_ == EndpointRole::Replica && report->promisedTerm_ >= term;
    });
}

/// The histogram failover_total of all instances: number of failovers by the upper bound of their bin, in seconds.
using FailoverBins = std::map<double, double>;

FailoverBins failoverBins(const Deployment& deployment, std::size_t instances)
{
    const std::string prefix = "cassiahollow_failover_total_seconds_bucket{le=\"";
    FailoverBins bins;
    for (std::size_t i = 0; i < instances; ++i) {
        std::istringstream text(deployment.metrics(i));
        double before = 0;
        for (std::string line; std::getline(text, line);) {
            if (!line.starts_with(prefix) || line.find("+Inf") != std::string::npos)
                continue;
            const auto cumulative = std::stod(line.substr(line.rfind(' ')));
            bins[std::stod(line.substr(prefix.size()))] += cumulative - before;
            before = cumulative;
        }
    }
    return bins;
}

struct FailoverTimes {
    double count_ { 0 };
    double median_ { 0 }; ///< Upper bound of the bin that holds it, in seconds, as is the maximum.
    double max_ { 0 };
};

/// Of the failovers since an earlier state of the histogram. The first promotions of the groups are thus left out.
FailoverTimes failoverTimes(FailoverBins bins, const FailoverBins& earlier)
{
    FailoverTimes times;
    for (const auto& [upper, count] : earlier)
        bins[upper] -= count;
    for (const auto& [upper, count] : bins) {
        times.count_ += count;
        if (count > 0)
            times.max_ = upper;
    }
    double below = 0;
    for (const auto& [upper, count] : bins) {
        below += count;
        if (below * 2 >= times.count_) {
            times.median_ = upper;
            break;
        }
    }
    return times;
}

} // namespace

// Guards against the loss of acknowledged writes, repeated writes and false refusals when the primary dies under load
// (guarantees 1, 2, 5 and 6). Keys are resent through all instances after the failover, also those of writes before it.
TEST_CASE("kill -9 of the primary under load")
{
    Deployment deployment;
    REQUIRE(deployment.waitUntilServing());
    HistoryClient client(loadOn(deployment));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    const auto old = deployment.newestRoute();
    auto& primary = deployment.database(old.primary_);
    primary.process_->kill();
    const auto now = waitForFailover(deployment, old);
    REQUIRE(now.primary_ != old.primary_);
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    primary.process_->restart();
    REQUIRE(follows(primary, now.term_));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    requireCorrect(client);
}

// Guards against an old primary that was frozen, and then runs or acknowledges the requests it still has in its sockets
// although another database is primary (guarantee 2).
TEST_CASE("a frozen primary that is thawed after the failover")
{
    Deployment deployment;
    REQUIRE(deployment.waitUntilServing());
    HistoryClient client(loadOn(deployment));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    const auto old = deployment.newestRoute();
    auto& primary = deployment.database(old.primary_);
    primary.process_->stop();
    const auto now = waitForFailover(deployment, old);
    REQUIRE(now.primary_ != old.primary_);
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    primary.process_->resume();
    REQUIRE(follows(primary, now.term_));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    requireCorrect(client);
}

// Guards against an isolated primary that goes on acknowledging, and against one that never joins again after the cut
// has healed.
TEST_CASE("a primary that is cut off")
{
    DeploymentOptions options;
    options.relays_ = true;
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    const auto mode = GENERATE(RelayMode::Drop, RelayMode::Hold);
    HistoryClient client(loadOn(deployment));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    const auto old = deployment.newestRoute();
    auto& primary = deployment.database(old.primary_);
    primary.relay_->setMode(Direction::ToTarget, mode);
    primary.relay_->setMode(Direction::ToClient, mode);
    const auto now = waitForFailover(deployment, old);
    REQUIRE(now.primary_ != old.primary_);
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    primary.relay_->setMode(Direction::ToTarget, RelayMode::Pass);
    primary.relay_->setMode(Direction::ToClient, RelayMode::Pass);
    REQUIRE(follows(primary, now.term_));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    requireCorrect(client);
}

// Guards against requests that wait for good on connections that have gone silent while new ones work, and against a
// failover in this case, in which the primary still answers.
TEST_CASE("connections to the primary go silent for good while new ones work")
{
    DeploymentOptions options;
    options.relays_ = true;
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    HistoryClient client(loadOn(deployment));
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    const auto old = deployment.newestRoute();
    deployment.database(old.primary_).relay_->silenceOpenConnections();
    REQUIRE(client.waitForWrites(writesBetweenFaults));
    REQUIRE(deployment.newestRoute().term_ == old.term_);
    requireCorrect(client);
}

// Guards against state that is left behind by a failover and spoils a later one, and prints the measured gap.
TEST_CASE("at least twenty failovers in one deployment")
{
    constexpr std::size_t groups = 7;
    constexpr int rounds = 3;
    // Section 5 of the design: a promotion starts at the earliest 5 s after the last one. A failover that has to wait
    // for this would say nothing about the gap.
    constexpr auto promotionInterval = 5s;
    DeploymentOptions options;
    options.groups_ = groups;
    Deployment deployment(options);
    REQUIRE(deployment.waitUntilServing());
    const auto before = failoverBins(deployment, deployment.instances().size());
    std::vector<std::unique_ptr<HistoryClient>> clients;
    for (std::size_t group = 0; group < groups; ++group)
        clients.push_back(std::make_unique<HistoryClient>(loadOn(deployment, group, 2)));
    auto lastPromotion = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(waitUntil([&] { return std::chrono::steady_clock::now() - lastPromotion >= promotionInterval; }));
        std::vector<Deployment::Route> old;
        for (std::size_t group = 0; group < groups; ++group) {
            old.push_back(deployment.newestRoute(group));
            deployment.database(old.back().primary_, group).process_->kill();
        }
        for (std::size_t group = 0; group < groups; ++group) {
            const auto now = waitForFailover(deployment, old[group], group);
            lastPromotion = std::chrono::steady_clock::now();
            auto& primary = deployment.database(old[group].primary_, group);
            primary.process_->restart();
            REQUIRE(follows(primary, now.term_));
        }
        for (auto& client : clients)
            REQUIRE(client->waitForWrites(2));
    }
    const auto times = failoverTimes(failoverBins(deployment, deployment.instances().size()), before);
    std::printf(
        "  %.0f failovers: median at most %.3f s, maximum at most %.3f s\n", times.count_, times.median_, times.max_);
    REQUIRE(times.count_ >= groups * rounds);
    for (auto& client : clients) {
        client->stop();
        std::printf("  %s\n", client->summary().c_str());
    }
    for (auto& client : clients) {
        const auto violations = client->check(3);
        INFO((violations.empty() ? std::string() : violations.front()));
        REQUIRE(violations.empty());
    }
}
