#pragma once

#include "process/ProcessSettings.h"

#include <chrono>
#include <string>
#include <vector>

namespace cassiahollow {

/// What one process of the line protocol's roles reads from its settings file. Documented in docs/settings.md.
struct NodeSettings {
    std::string name_; ///< The name of the machine.
    DataCentre dataCentre_;
    std::string statements_; ///< Where clients connect, ip:port. Empty on a control member.
    std::string readiness_; ///< Where the platform asks for readiness, ip:port.
    std::string operators_; ///< Where operators and endpoints call, ip:port. Empty on an entry instance.
    std::string metrics_; ///< Where metrics are read, ip:port, or empty.
    std::string peers_; ///< Where other instances connect, ip:port. Also the id among them.
    std::vector<std::string> seeds_; ///< Addresses of control members' operators listeners, ip:port.
    std::string forward_; ///< Where other entry instances send statements, ip:port, or empty.
    std::string deploymentKey_;
    std::string dataFolder_; ///< Empty on an entry instance.
    bool mayFound_ { false }; ///< The deployment starts for the first time, with empty disks.
    std::size_t toleratedLosses_ { 1 }; ///< Control members that may be lost at once.
    std::chrono::milliseconds catchUp_ { 4000 }; ///< After its start, a control member counts as available.
    std::string authority_; ///< Where promotions are ordered, ip:port, or empty.
    bool authorityChecksFences_ { true }; ///< If not, primaries are used only while a lease on them is valid.
    std::chrono::milliseconds heartbeat_ { 1200 }; ///< The interval at which endpoints report.
    std::chrono::milliseconds shutdown_ { 6000 }; ///< From the signal to the forced end.
    std::size_t maximumFiles_ { 1024 };
    std::vector<DataCentre> dataCentres_; ///< All of the deployment; empty if control members are to count them.
    std::chrono::milliseconds quotaWindow_ { 5000 }; ///< Quotas hold in every sliding window of this length.
    double quotaOverage_ { 0.1 }; ///< The part of a quota by which a window may exceed it.
    double quotaSlack_ { 20 }; ///< Operations by which a window may exceed the quota and its overage.
    bool failClosed_ { false }; ///< Without contact to control members, refuse what needs a key.
    std::chrono::milliseconds revokeTime_ { 5000 }; ///< How old the last contact may be then.
    std::size_t memoryMb_ { 0 }; ///< MiB of the machine; 0: not known, and nothing is bounded by it.
};

struct NodeSettingsFile {
    NodeSettings settings_;
    std::vector<SettingsError> errors_; ///< All errors at once; empty if the file can be used.
};

/// Reads and checks a settings file of these roles.
NodeSettingsFile loadNodeSettings(const std::string& fileName);

/// The peer address of a seed: its host with this process's peer port, which is the same on all machines.
std::string peerAddressOf(const NodeSettings&, const std::string& seed);

/// The seeds as instances, which are named by their peer addresses.
std::vector<InstanceId> seedInstances(const NodeSettings&);

} // namespace cassiahollow
