#pragma once

#include "ChildProcess.h"
#include "Clients.h"
#include "FaultRelay.h"

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace cassiahollow::testing {

struct DeploymentOptions {
    std::size_t instances_ { 3 };
    std::size_t groups_ { 1 }; ///< Each with three databases, one in each of three data centres.
    std::chrono::milliseconds lag_ { 0 }; ///< Replication lag of all databases.
    bool relays_ { false }; ///< Puts a FaultRelay in front of each database, also for its replicas.
    bool stored_ { true }; ///< Databases keep their state in a synced journal, so that they can be restarted.
    std::chrono::milliseconds leaveDelay_ { 3000 }; ///< Of databases, from SIGTERM to the exit.
    std::size_t memoryMb_ { 0 }; ///< Of the machine of each instance.
    std::string deploymentKey_ { "integration-deployment-key" };
};

/// Instances and databases as processes on free ports, with all files in a temporary folder. Group i is used by the
/// services "service-i" and "other-i", with the classes "write" and "read"; reads may ask for an age of up to 10 s.
class Deployment {
public:
    struct Database {
        std::string id_;
        std::string address_; ///< Of the database itself, not of its relay.
        std::unique_ptr<FaultRelay> relay_; ///< Null without relays.
        std::unique_ptr<ChildProcess> process_;
    };

    struct Instance {
        std::string id_;
        std::string callers_;
        std::string operators_;
        std::unique_ptr<ChildProcess> process_;
    };

    explicit Deployment(const DeploymentOptions& = {});
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;
    /// Ends all processes. Prints the ends of their logs if the test case is being left by a failed check.
    ~Deployment();

    std::vector<Instance>& instances() { return instances_; }
    std::vector<Database>& databases(std::size_t group = 0) { return groups_.at(group); }
    std::size_t groups() const { return groups_.size(); }
    std::vector<std::string> callerAddresses() const;
    std::vector<std::string> operatorAddresses() const;

    /// Waits until all instances are ready and agree on a primary of each group.
    bool waitUntilServing();

    /// The route of a group as an instance sees it; empty and 0 if it has none or does not answer.
    struct Route {
        std::string primary_;
        std::uint64_t term_ { 0 };
    };
    Route route(std::size_t instance, std::size_t group = 0) const;
    /// The route with the highest term that any running instance sees.
    Route newestRoute(std::size_t group = 0) const;

    Database& database(const std::string& id, std::size_t group = 0);
    Instance& instance(const std::string& id);
    /// The instance that holds an endpoint, as the first running instance sees it.
    std::string holderOf(const std::string& database) const;

    /// POST to the caller listener of an instance. Adds nothing to the body.
    std::optional<HttpAnswer> call(std::size_t instance, const std::string& service, const nlohmann::json& body) const;
    /// Text of /v1/metrics of an instance; empty without an answer.
    std::string metrics(std::size_t instance) const;

private:
    std::string logs() const;
    std::optional<nlohmann::json> operatorGet(std::size_t instance, const std::string& path) const;

    TemporaryFolder folder_;
    std::vector<std::vector<Database>> groups_;
    std::vector<Instance> instances_;
};

} // namespace cassiahollow::testing
