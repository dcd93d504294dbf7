#pragma once

#include "Database.h"
#include "Journal.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <libwebsockets.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahollow::standin {

/// What a stand-in is told at its start.
struct ServerSettings {
    EndpointId id_;
    GroupId group_;
    DataCentre dataCentre_;
    std::string listenAddress_; ///< IP address without port.
    std::uint16_t port_ { 0 };
    std::vector<std::string> announceAddresses_; ///< "ip:port" of platform listeners; may be empty.
    std::string credential_; ///< Sent as bearer credential with announcements.
    std::uint32_t slots_ { 2 }; ///< Statements run at once; others wait.
    std::uint32_t connections_ { 35 }; ///< Connections accepted, not counting those of replicas.
    std::chrono::microseconds connectDelay_ { 10'000 }; ///< From the handshake to the first answer.
    std::chrono::microseconds serviceTime_ { 0 }; ///< Time that a statement holds its slot.
    std::chrono::microseconds lag_ { 0 }; ///< From the receipt of entries to their use by a replica.
    std::chrono::milliseconds leaveDelay_ { 3'000 }; ///< Shortest time between SIGTERM and the exit.
    std::string announcedAddress_; ///< "ip:port" for others to connect to; empty for that of the listener.
};

/// Serves a database to instances and replicas, and announces it. One thread calls run(), which owns all sockets.
/// No message leaves before the changes that preceded it are synced in the journal.
class Server {
public:
    Server(ServerSettings, Database, std::unique_ptr<Journal>);
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    ~Server();

    /// Serves until leave() was called and no transaction is open, or 10 s after leave(). Returns the exit status.
    int run();

    /// Starts the graceful exit. May be called from a signal handler.
    void leave();

private:
    struct Watch {
        ExchangeNumber exchange_ { 0 };
        Duration interval_ { 0 };
        std::optional<EndpointReport> sent_;
        TimePoint due_;
    };

    struct ParkedPull {
        PullRequest request_;
        TimePoint due_; ///< Time of an answer without entries, which shows that the connection is alive.
    };

    /// One accepted connection.
    struct Connection {
        lws* socket_ { nullptr };
        bool isReplica_ { false };
        bool isReady_ { false }; ///< The connect delay is over.
        bool isBusy_ { false }; ///< A run is waiting for a slot or for its service time.
        bool isClosing_ { false }; ///< Closed when the output is sent.
        std::string received_;
        std::deque<EndpointRequest> requests_;
        std::deque<std::string> output_;
        std::optional<Watch> watch_;
        std::optional<ParkedPull> pull_;
    };

    struct WaitingRun {
        ConnectionNumber connection_ { 0 };
        ExchangeNumber exchange_ { 0 };
        RunRequest request_;
    };

    struct ReceivedEntries {
        TimePoint due_;
        PullAnswer answer_;
    };

    /// The connection on which a replica pulls.
    struct Puller {
        RoleRecord source_; ///< Role under which the connection was opened.
        lws* socket_ { nullptr };
        bool isOpen_ { false };
        bool isWaiting_ { false }; ///< A pull is not answered yet.
        TimePoint sent_;
        TimePoint retry_; ///< Earliest time of the next attempt or pull.
        std::optional<LogPosition> next_; ///< Position after the entries received but not used yet.
        std::string received_;
        std::string output_;
        std::deque<ReceivedEntries> entries_;
    };

    struct Announcer {
        std::size_t next_ { 0 }; ///< Index of the address to try next.
        std::size_t attempts_ { 0 }; ///< Attempts left for this announcement.
        lws* socket_ { nullptr };
        std::string body_;
        std::uint64_t started_ { 0 };
        std::uint64_t sequence_ { 0 };
        std::uint64_t attempt_ { 0 }; ///< Number of the current attempt, so that old time-outs are ignored.
    };

    /// Timer of libwebsockets with the way back to its owner. Standard layout, with the timer first.
    struct WakeUp {
        lws_sorted_usec_list_t timer_ {};
        Server* server_ { nullptr };
    };

    static int serveEndpoint(lws*, lws_callback_reasons, void* user, void* data, std::size_t size);
    static int serveReplication(lws*, lws_callback_reasons, void* user, void* data, std::size_t size);
    static int serveAnnouncement(lws*, lws_callback_reasons, void* user, void* data, std::size_t size);

    int acceptEvent(lws*, lws_callback_reasons, ConnectionNumber*, std::string_view data, bool isReplica);
    int pullEvent(lws*, lws_callback_reasons, std::string_view data);
    int announceEvent(lws*, lws_callback_reasons, void* data, std::size_t size);

    void openConnection(lws*, ConnectionNumber, bool isReplica);
    void closeConnection(ConnectionNumber);
    void receive(ConnectionNumber, std::string_view message);
    void pump(ConnectionNumber);
    void startRuns();
    void finishRun(const WaitingRun&);
    void answer(ConnectionNumber, ExchangeNumber, EndpointResult);
    int writeNext(Connection&);

    void finishRound();
    void releaseHeld();
    void sendReports();
    void answerPulls();
    void supervisePuller();
    void useEntries();
    void closePuller();
    void connectPuller();
    void receiveEntries(std::string_view message);
    void announce();
    void tryAnnounce();
    void endAnnounce(bool isDone);
    bool mayExit() const;
    void at(TimePoint, std::function<void()>);
    lws* connect(const std::string& address, const char* protocol, const char* method, lws** socket);

    ServerSettings settings_;
    Database database_;
    std::unique_ptr<Journal> journal_;
    lws_context* context_ { nullptr };
    WakeUp wakeUp_;
    std::atomic<bool> isLeaveRequested_ { false };
    TimePoint leaveTime_;
    TimePoint now_;
    ConnectionNumber lastConnection_ { 0 };
    std::map<ConnectionNumber, Connection> connections_;
    std::uint32_t connectionCount_ { 0 }; ///< Accepted connections that are not of replicas.
    std::deque<WaitingRun> waiting_;
    std::uint32_t running_ { 0 };
    std::vector<std::pair<ConnectionNumber, std::string>> held_; ///< Messages that wait for the sync.
    std::multimap<TimePoint, std::function<void()>> timers_;
    Puller puller_;
    Announcer announcer_;
};

} // namespace cassiahollow::standin
