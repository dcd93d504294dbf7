#pragma once

#include "ChildProcess.h"
#include "GatewayHarness.h"

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cassiahollow::testing {

/// One HTTP call on a connection of its own: the status, or 0 without an answer within the limit.
struct NodeCall {
    unsigned status_ { 0 };
    std::string body_;
};
NodeCall callNode(const std::string& method, const std::string& address, const std::string& path,
    const std::string& body = {}, std::chrono::milliseconds limit = std::chrono::seconds(1));

/// Control members and entry instances as processes, three databases and the authority over promotions in this process.
/// Each process has a loopback address of its own, because all peers listen on the same port.
class NodeDeployment {
public:
    struct Node {
        std::string host_;
        std::string address_; ///< Of the operators or of the statements listener.
        std::string readiness_;
        std::unique_ptr<ChildProcess> process_;
        std::filesystem::path folder_; ///< The data folder of a control member.
    };
    struct Promotion {
        std::string endpoint_;
        std::string holder_;
        std::uint64_t fence_ { 0 };
    };

    struct Options {
        bool checksFences_ { true }; ///< If not, the authority accepts any order.
        /// Of one database, for all instances. With fewer than there are entry instances, some of them hold the
        /// connections for the others.
        std::size_t connectionLimit_ { 40 };
        /// Names and keys of client accounts; nothing for a configuration without accounts.
        std::optional<std::map<std::string, std::vector<std::string>>> accounts_ {};
        std::size_t memoryMb_ { 0 }; ///< Of the machine of each instance.
        std::chrono::milliseconds shutdown_ { 4000 }; ///< From the signal to the forced end.
        std::chrono::milliseconds statementTimeout_ { 1000 };
    };

    NodeDeployment(std::size_t controls, std::size_t entries);
    NodeDeployment(std::size_t controls, std::size_t entries, Options);
    ~NodeDeployment();
    NodeDeployment(const NodeDeployment&) = delete;
    NodeDeployment& operator=(const NodeDeployment&) = delete;

    std::vector<Node>& controls() { return controls_; }
    std::vector<Node>& entries() { return entries_; }
    standin::LineGroup& group() { return *group_; }
    standin::LineServer& server(std::size_t i) { return *servers_.at(i); }
    /// The database reports no more and answers nobody.
    void darken(std::size_t server);
    void setLeaving(std::size_t server);
    std::vector<Promotion> promotions() const;

    /// Whether a client's statement with this id ran on a database.
    bool hasRun(const std::string& id) const;

    /// A configuration with these databases as routes, as operators send it.
    std::string document(std::uint64_t version, const std::vector<std::string>& databases) const;
    /// Sends a configuration with these databases as routes to all control members in turn until one acknowledges it.
    bool configure(std::uint64_t version, const std::vector<std::string>& databases, std::chrono::milliseconds limit);
    /// The version that a control member reads back, or 0.
    std::uint64_t versionAt(const Node&) const;
    bool waitUntilReady(std::chrono::milliseconds limit);

private:
    void startNodes(std::size_t controls, std::size_t entries);
    void report();
    void serveAuthority();

    const Options options_;
    TemporaryFolder folder_;
    std::unique_ptr<standin::LineGroup> group_;
    std::vector<std::unique_ptr<standin::LineServer>> servers_;
    std::vector<Node> controls_;
    std::vector<Node> entries_;
    std::string authority_;
    std::vector<std::atomic<bool>> dark_;
    std::vector<std::atomic<bool>> leaving_;
    mutable std::mutex mutex_;
    std::vector<Promotion> promotions_; // guarded by mutex_
    std::atomic<bool> ending_ { false };
    std::thread reports_;
    std::thread authorityThread_;
};

} // namespace cassiahollow::testing
