#pragma once

#include "ChildProcess.h"
#include "Clients.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cassiahollow::testing {

/// The answer to one settings change or member change, as an operator sees it.
struct OperatorOutcome {
    std::string outcome_; ///< "done", "not_run" or "unknown"; "unknown" too if no answer arrived.
    std::string reason_;
    std::string detail_;
    std::uint64_t revision_ { 0 };

    bool operator==(const OperatorOutcome&) const = default;
};

/// Instances without databases; the first three are control members and have data folders. The functions that only
/// ask instances may be called from several threads at once.
class ControlDeployment {
public:
    static constexpr std::size_t controlMembers = 3;

    struct Instance {
        std::string id_;
        std::string operators_;
        std::filesystem::path dataFolder_; ///< Empty on instances that are not control members.
        std::unique_ptr<ChildProcess> process_;
    };

    explicit ControlDeployment(std::size_t instances);

    std::vector<Instance>& instances() { return instances_; }
    std::size_t size() const { return instances_.size(); }

    bool isReady(std::size_t instance) const;
    /// Waits until all instances are ready and a control member leads.
    bool waitUntilReady();

    /// What /v1/settings of an instance shows; nothing without an answer.
    std::optional<nlohmann::json> settings(std::size_t instance) const;
    std::optional<std::uint64_t> revision(std::size_t instance) const;
    /// Whether all instances apply this revision or a higher one.
    bool isInForce(std::uint64_t revision) const;

    /// Creates the group node of the name `key`, so that each accepted change leaves a trace of its own in the tree.
    OperatorOutcome change(std::size_t instance, const std::string& key, std::uint64_t seenRevision,
        std::chrono::milliseconds limit = clientLimit) const;
    static bool contains(const nlohmann::json& settings, const std::string& key);

    /// Adds or removes a control member.
    OperatorOutcome changeMember(std::size_t instance, const std::string& member, bool add) const;
    /// What /v1/control of an instance shows; nothing without an answer.
    std::optional<nlohmann::json> control(std::size_t instance) const;
    /// The control member that leads the highest term.
    std::optional<std::size_t> leader() const;

    /// The end of the log of each process, for failed checks.
    std::string logs() const;

private:
    OperatorOutcome post(std::size_t instance, const std::string& path, const nlohmann::json& body,
        std::chrono::milliseconds limit) const;

    TemporaryFolder folder_;
    std::vector<Instance> instances_;
};

} // namespace cassiahollow::testing
