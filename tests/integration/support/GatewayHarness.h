#pragma once

#include "../../../standin/LineServer.h"
#include "cassiahollow/process/Mailbox.h"
#include "connection/LineChannel.h"
#include "request/StatementGateway.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cassiahollow::testing {

/// What a client got for one statement.
struct ClientAnswer {
    std::vector<std::string> rows_;
    std::string signature_; ///< Empty when there was an error.
    std::string error_; ///< The code, or empty.
    std::string text_; ///< Behind the code.
    char mark_ { '?' }; ///< Of READY; '?' when the connection ended before.
};

/// A client of the line protocol, with blocking calls.
class LineClient {
public:
    /// With `receiveBufferBytes`, answers that the client does not read soon stay at the other end.
    explicit LineClient(const std::string& address, std::optional<int> receiveBufferBytes = {});
    LineClient(const LineClient&) = delete;
    LineClient& operator=(const LineClient&) = delete;
    ~LineClient();

    ClientAnswer start(const std::string& database, const std::string& key = "client");
    /// Sends a statement under the next id and waits for its whole answer.
    ClientAnswer query(const std::string& text);
    /// Sends lines as they are.
    void send(const std::string& bytes);
    ClientAnswer receive(std::chrono::milliseconds limit = std::chrono::seconds(5));
    /// The connection was closed by the other end, within the limit.
    bool isClosed(std::chrono::milliseconds limit);
    /// The id of the last query.
    const std::string& id() const { return id_; }

    /// The next line of what has arrived, without its end; nothing after the limit or the end of the connection.
    std::optional<std::string> readLine(std::chrono::milliseconds limit);

private:
    int socket_ { -1 };
    std::string buffer_;
    std::string id_;
};

/// A gateway in front of one group of three databases, or of two such groups, all in this process on loopback.
class GatewayHarness {
public:
    struct Options {
        std::size_t connectionLimit_ { 40 };
        std::size_t instances_ { 1 };
        std::chrono::milliseconds statementTimeout_ { 800 };
        std::chrono::milliseconds idleTransaction_ { 3000 };
        std::chrono::milliseconds maxAge_ { 2500 };
        bool needsLeases_ { false };
        std::size_t synchronousReplicas_ { 0 };
        /// Names and keys of client accounts; nothing for a catalog without accounts.
        std::optional<std::map<std::string, std::vector<std::string>>> accounts_ {};
        std::set<std::string> publicRoutes_ {};
        std::map<std::string, QuotaLimit> quotas_ {}; ///< Of accounts, by name.
        bool failClosed_ { false };
        bool hasOtherGroup_ { false }; ///< A second group, whose databases are the servers 3 to 5.
        std::set<std::string> movedRoutes_ {}; ///< Routes of the second group.
        Consistency receipts_ { Consistency::ReadYourWrites }; ///< Of the route "receipts".
    };

    GatewayHarness();
    explicit GatewayHarness(Options);
    ~GatewayHarness();
    GatewayHarness(const GatewayHarness&) = delete;
    GatewayHarness& operator=(const GatewayHarness&) = delete;

    /// Databases "verdicts" (primary), "audits" (bounded_staleness) and "receipts" (read_your_writes) are routes.
    const std::string& address() const { return address_; }
    standin::LineGroup& group() { return group_; }
    standin::LineGroup& otherGroup() { return other_; }
    standin::LineServer& server(std::size_t i) { return *servers_.at(i); }
    std::size_t servers() const { return servers_.size(); }
    /// Runs a function on the gateway's thread and waits for it.
    void onGateway(const std::function<void(StatementGateway&)>&);
    /// Applies a newer catalog with these options.
    void configure(const Options&);
    /// Tells the gateway who leads, as control members would.
    void announce();
    /// Gives the gateway a lease on a primary, or withdraws it when the endpoint is empty. With `age`, it was proven
    /// that long ago.
    void lease(const EndpointId&, Duration age = Duration::zero());
    /// Ids of a client's statement that ran, over all databases.
    std::size_t runsOf(const std::string& id) const;
    std::uint64_t counted(Reason);
    /// A client with an open session.
    std::unique_ptr<LineClient> client(const std::string& database, const std::string& key = "client");

private:
    struct Call {
        std::function<void(StatementGateway&)> function_;
        std::shared_ptr<std::atomic<bool>> done_;
    };

    std::vector<RegisteredEndpoint> records();

    standin::LineGroup group_;
    standin::LineGroup other_;
    std::vector<std::unique_ptr<standin::LineServer>> servers_;
    std::uint64_t sequence_ { 1 };
    std::uint64_t catalogVersion_ { 1 };
    std::uint64_t leaseNumber_ { 0 };
    EventLoop loop_;
    Metrics metrics_;
    Mailbox<Call> calls_;
    StatementGateway gateway_;
    std::string address_;
    std::unique_ptr<LineListener> listener_;
    std::thread thread_;
};

} // namespace cassiahollow::testing
