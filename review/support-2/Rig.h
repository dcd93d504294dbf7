#pragma once

// A small deployment for the review cases: control members and entry instances as processes of the deploy file, and in
// this process one service of three databases, the platform, the operator and clients. The databases and the platform
// follow PROTOCOL.md; where it is silent they behave like sound ones.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Writes what was sent, answered and run, with the time since the start.
class Record {
public:
    explicit Record(const std::string& fileName);
    ~Record();
    void add(const std::string& line);
    Milliseconds now() const;

private:
    std::mutex mutex_;
    TimePoint start_ { Clock::now() };
    std::FILE* file_;
};

struct HttpAnswer {
    int status_ { 0 }; ///< 0 without an answer in time.
    std::string body_;
};
HttpAnswer callHttp(const std::string& method, const std::string& address, const std::string& path,
    const std::string& body, Milliseconds limit);

struct LogRecord {
    std::uint64_t term_ { 0 };
    std::uint64_t number_ { 0 };
    std::string query_; ///< Id of the client's statement.
    TimePoint time_;
};

/// One service. All members are guarded by mutex_.
struct Group;

struct Database {
    std::string id_;
    std::string zone_;
    std::string address_;
    bool leads_ { false };
    std::uint64_t term_ { 1 };
    std::uint64_t held_ { 1 };
    bool isPaused_ { false };
    bool isDark_ { false };
    TimePoint darkSince_; ///< What it had sent before still arrives.
    bool isDraining_ { false };
    std::uint64_t sequence_ { 0 };
    std::uint64_t born_ { 0 };
    std::chrono::microseconds delay_ { 1000 }; ///< Until this database has received what the primary has written.
    Milliseconds lag_ { 0 }; ///< From the receipt of an entry until reads see it.
    std::vector<LogRecord> log_; ///< What it has received.
    TimePoint reported_;
    bool mustReport_ { true };
    std::set<int> connections_;
    std::set<std::string> cutFrom_; ///< Names of callers that it is cut off from.

    /// Number of entries that reads see.
    std::size_t applied() const;
    std::string positionOf(std::size_t size) const;
};

struct Group {
    std::string name_;
    std::size_t synchronous_ { 0 };
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Database> databases_;
    std::uint64_t highestTerm_ { 1 };
    std::uint64_t lastNumber_ { 0 };
    std::uint64_t lastSignature_ { 0 };
    bool isEnding_ { false };

    Database* leader();
    Database* find(const std::string& id);
    /// The named database leads the next term with what it has received; replicas ahead of it are rolled back.
    void promote(const std::string& id);
};

struct Node {
    std::string name_;
    std::string host_;
    std::string address_; ///< Of the operators or of the statements listener.
    std::string settings_; ///< Name of the settings file.
    pid_t process_ { 0 };
    std::string folder_; ///< Of a control member.
};

struct PromoteCall {
    std::string service_;
    std::string id_;
    std::string holder_;
    std::uint64_t fence_ { 0 };
};

class Deployment {
public:
    struct Options {
        std::vector<std::string> services_ { "receipts" };
        std::size_t controls_ { 3 };
        std::size_t entries_ { 2 };
        std::size_t synchronous_ { 0 };
        std::size_t connectionLimit_ { 82 };
        std::string routeType_ { "primary" };
        int heartbeatMs_ { 1200 };
        int timeoutMs_ { 800 };
        Milliseconds promoteTime_ { 300 };
    };
    Deployment(Record&, Options);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Starts all, sends the first configuration, and waits until all entry instances are ready.
    bool start();
    void signalNode(Node&, int signal);
    /// Memory that the process uses, in MB.
    static std::size_t memoryOf(const Node&);
    void startNode(Node&);
    Node* byName(const std::string& name);
    bool configure(std::uint64_t version, const std::string& document, Milliseconds limit);
    struct Route {
        std::string name_;
        std::string database_;
        std::string service_;
    };
    std::string document(std::uint64_t version, const std::vector<Route>&) const;

    Group& group(std::size_t index = 0) { return *groups_[index]; }
    std::vector<Node>& controls() { return controls_; }
    std::vector<Node>& entries() { return entries_; }
    Record& record() { return record_; }
    void darken(const std::string& id, bool isDark);
    /// The database ends; restart() starts it again with its log.
    void crash(const std::string& id);
    void restart(const std::string& id);
    /// Called when a database runs a client's statement, with the group's mutex held.
    std::function<void(const Database&, const std::string& query, const std::string& text)> onRun_;

    void cut(const std::string& id, const std::set<std::string>& callers);

    /// Whether an order to a database is left without an answer for now. Called with the group's mutex held.
    std::function<bool(const std::string& id, const std::string& order, const std::string& caller)> onOrder_;
    /// Carries an order out that was left.
    void carryOutOrder(const std::string& id, const std::string& order);

    /// Decides what becomes of a call to the platform: the status to answer, or 0 for no answer.
    std::function<int(const PromoteCall&)> onPromote_;
    std::vector<Route> firstRoutes_ { { "r-1", "returns", "receipts" } };
    /// Carries a call out: 409 if a higher fence was seen or the database is not running.
    int carryOut(const PromoteCall&);

private:
    Group& groupOf(const std::string& database);
    void writeSettings(Node&, bool isControl, bool mayFound);
    /// With the group's mutex held.
    void runOrder(Database&, const std::string& order);
    void serveDatabase(Group&, Database&, int listener);
    void serveSession(Group&, Database&, int socket);
    void servePlatform(int listener);
    void answerPlatform(int socket);
    void report(Group&, Database&, std::size_t member);
    void replicate(Group&);
    void reap();

    Record& record_;
    const Options options_;
    std::string folder_;
    std::string network_;
    std::string authority_;
    std::map<std::string, int> ports_;
    std::vector<std::unique_ptr<Group>> groups_;
    std::vector<Node> controls_;
    std::vector<Node> entries_;
    std::map<std::string, std::uint64_t> fences_;
    std::vector<int> listeners_;
    std::vector<std::thread> threads_;
    std::mutex sessionsMutex_;
    std::vector<std::thread> sessions_;
    std::atomic<bool> ending_ { false };
};

/// A session of a client. One statement at a time.
class Client {
public:
    Client(const std::string& address, const std::string& database, Milliseconds limit);
    ~Client();
    bool isOpen() const { return socket_ >= 0; }
    struct Answer {
        bool succeeded_ { false };
        std::string error_; ///< First word; "closed" without an answer.
        std::vector<std::string> rows_;
        std::string signature_;
        char state_ { 'I' };
    };
    Answer query(const std::string& id, const std::string& text);
    void close();

private:
    std::optional<std::string> readLine();

    int socket_ { -1 };
    std::string buffer_;
};

std::string newId();

} // namespace rig
