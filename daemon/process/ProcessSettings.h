#pragma once

#include "cassiahollow/process/Types.h"

#include <string>
#include <vector>

namespace cassiahollow {

struct ListenSettings {
    std::string callers_;
    std::string operators_;
    std::string platform_;
    std::string peers_;
};

struct ControlMemberSettings {
    InstanceId instance_;
    std::string address_; ///< Peer listener, ip:port.
};

struct LimitSettings {
    std::size_t maxCallers_ { 10000 };
    std::size_t maxRequestBytes_ { 1 << 20 };
    std::chrono::milliseconds receiveTimeout_ { 10000 };
    std::size_t maxQueuedRequests_ { 1000 }; ///< Per endpoint held.
};

struct ShutdownSettings {
    std::chrono::milliseconds balancerDelay_ { 2000 };
    std::chrono::milliseconds deadline_ { 30000 };
};

/// What one process reads from its settings file. Documented in docs/settings.md.
struct ProcessSettings {
    InstanceId instance_;
    DataCentre dataCentre_;
    ListenSettings listen_;
    std::vector<std::string> peers_; ///< Peer listeners of a few instances, to join through.
    std::string deploymentKey_;
    std::string operatorCredential_;
    std::string platformCredential_;
    std::string dataFolder_; ///< Empty on an instance without a disk.
    std::vector<ControlMemberSettings> control_;
    LimitSettings limits_;
    ShutdownSettings shutdown_;
    std::string logLevel_ { "info" };
    std::size_t memoryMb_ { 0 }; ///< MiB of the machine; 0: not known, and nothing is bounded by it.
    std::string startTree_; ///< The settings tree used until control answers, as YAML text.
};

/// One error in a settings file.
struct SettingsError {
    int line_ { 0 }; ///< Counted from 1.
    std::string path_; ///< Path in the file, such as "listen.callers".
    std::string message_; ///< What is wrong and what to do.
};

struct SettingsFile {
    ProcessSettings settings_;
    std::vector<SettingsError> errors_; ///< All errors at once; empty if the file can be used.
};

/// Reads and checks a settings file.
SettingsFile loadProcessSettings(const std::string& fileName);

/// "file:line: path: message" for each error.
std::string describeErrors(const std::string& fileName, const std::vector<SettingsError>&);

} // namespace cassiahollow
