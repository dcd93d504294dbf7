#pragma once

#include "Databases.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Writes record.txt: what was sent, answered and run, with the time since the start.
class Record {
public:
    explicit Record(const std::filesystem::path& file);
    void write(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
    const TimePoint start_ { Clock::now() };
};

/// A process of the project with its settings. Restarted, as the platform does, when it ends by itself.
struct Node {
    std::string name_;
    std::string host_;
    std::string listener_; ///< Of clients, or of the operator and the databases.
    std::string readiness_; ///< Empty on a control member.
    std::string metrics_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t process_ { -1 };
    bool isStopped_ { false }; ///< Ended by the test.
    int ownEnds_ { 0 };
    TimePoint endedAt_;
};

struct DeploymentOptions {
    std::size_t controls_ { 3 };
    std::size_t entries_ { 4 };
    std::size_t connectionLimit_ { 34 };
    bool isSynchronous_ { false };
    int slots_ { 2 };
    std::string program_ { "target/cassiahollow" };
};

/// The processes of a small deployment, and stand-ins for its databases, its platform and its operator.
class Deployment {
public:
    Deployment(Record& record, DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Starts everything and waits until the entry instances are ready.
    bool start();
    /// A valid configuration; start() sends version 7.
    std::string configuration(std::uint64_t version) const;
    std::vector<Node>& entries() { return entries_; }
    std::vector<Node>& controls() { return controls_; }
    Group& group() { return *group_; }
    Database& database(const std::string& id);
    std::vector<std::unique_ptr<Database>>& databases() { return databases_; }
    /// Calls control members in turn until one gives a clear answer.
    HttpAnswer callControl(const std::string& method, const std::string& path, const std::string& body,
        const std::string& unreachable = {});
    /// How often processes ended by themselves, by node.
    std::map<std::string, int> ownEnds();
    std::size_t readyEntries() const;
    /// The databases that the platform has promoted.
    std::vector<std::string> promotions();
    /// The database and this control member do not reach each other any more; without a name, the cut ends.
    void cut(const std::string& id, const std::string& control);
    /// The name of the control member that leads, by the members' own metrics.
    std::string leader() const;
    /// The database deregisters and ends; a new one takes its address and its log.
    void replaceDatabase(const std::string& id, const std::string& successor);

    static constexpr const char* service_ = "returns";
    static constexpr const char* database_ = "returns_rw";

private:
    std::string settingsOf(const Node& node, bool isControl, bool isFirstStart) const;
    void spawn(Node& node);
    void watchProcesses();
    void reportAll();
    void report(Database& database, bool& wasPrimary);
    void serveAuthority();
    int promote(const HttpRequest& request);

    Record& record_;
    const DeploymentOptions options_;
    std::filesystem::path folder_;
    std::string seeds_;
    std::string authority_;
    std::string peerPort_;
    std::string forwardPort_;
    std::unique_ptr<Group> group_;
    std::vector<std::unique_ptr<Database>> databases_;
    std::vector<Node> controls_;
    std::vector<Node> entries_;
    std::mutex mutex_;
    std::uint64_t highestFence_ { 0 };
    std::vector<std::string> promotions_;
    std::map<std::string, std::string> cuts_; ///< The control member that a database does not reach.
    std::recursive_mutex databasesMutex_;
    std::atomic<bool> ending_ { false };
    std::vector<std::thread> threads_;
};

/// A client's session at an entry instance.
class Client {
public:
    struct Answer {
        bool isComplete_ { false };
        std::string code_; ///< Of an error; "closed" without an answer.
        std::vector<std::string> rows_;
        std::string signature_;
    };

    /// Connects and starts the session.
    Client(const std::string& address, const std::string& database);
    bool isOpen() const { return stream_.has_value(); }
    Answer query(const std::string& id, const std::string& text);

private:
    std::optional<Stream> stream_;
};

/// A new id of a statement.
std::string newId();

} // namespace review
