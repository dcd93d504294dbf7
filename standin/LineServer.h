#pragma once

#include "LineGroup.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cassiahollow::standin {

/// One statement that ran on a database, as the database saw it.
struct RanStatement {
    std::string query_; ///< The id that came with it.
    std::string text_;
    bool inTransaction_ { false };
    std::map<std::string, std::string> values_; ///< The session values of the connection.
    std::string caller_; ///< Who opened the connection.
};

/// Faults of one database. They take effect at once.
struct LineFaults {
    std::atomic<bool> dark_ { false }; ///< Reads nothing and answers nothing; connections stay open.
    std::atomic<int> loseAnswers_ { 0 }; ///< Runs this many statements of clients without an answer.
    std::atomic<int> cutAnswers_ { 0 }; ///< Runs this many statements of clients and closes instead of answering.
    std::atomic<bool> sheds_ { false };
    std::atomic<bool> shedsFirstOrder_ { false }; ///< Of each session: the first question for the status or order.
    std::atomic<int> delayMs_ { 0 }; ///< Before each answer to a client's statement.
    std::atomic<std::size_t> connectionLimit_ { 1000 };
};

/// A database of the line protocol on a loopback address: sessions over TCP in front of a LineGroup. Each has a thread.
class LineServer {
public:
    LineServer(LineGroup&, EndpointId, const std::string& host, std::uint16_t port);
    ~LineServer();
    LineServer(const LineServer&) = delete;
    LineServer& operator=(const LineServer&) = delete;

    const EndpointId& id() const { return id_; }
    std::string address() const { return address_; }
    LineFaults& faults() { return faults_; }
    /// Answers no session of this caller any more, like a machine on the other side of a partition.
    void cutFrom(const std::string& caller);
    std::vector<RanStatement> ran() const;
    std::size_t connections() const { return connections_; }
    /// Who opened each connection, in order, with those that were refused.
    std::vector<std::string> callers() const;
    /// Looks for a text that must not reach a database in all messages from now on.
    void watchFor(const std::string& text);
    /// Whether a message had one of these texts.
    bool hasReceivedWatched() const { return hasReceivedWatched_; }

private:
    class Session;

    void accept();
    void note(RanStatement);
    void noteCaller(const std::string& caller);
    void checkMessage(const std::string& line);
    bool isCutFrom(const std::string& caller) const;

    LineGroup& group_;
    const EndpointId id_;
    const std::string address_;
    LineFaults faults_;
    std::atomic<std::size_t> connections_ { 0 };
    mutable std::mutex mutex_;
    std::vector<RanStatement> ran_; // guarded by mutex_
    std::vector<std::string> callers_; // guarded by mutex_
    std::set<std::string> watched_; // guarded by mutex_
    std::atomic<bool> hasReceivedWatched_ { false };
    std::set<std::string> cutFrom_; // guarded by mutex_
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace cassiahollow::standin
