#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace cassiahollow {

/// Identifies a connection within its pool. Numbers are never reused, so a late event of a closed connection cannot
/// affect another connection.
using ConnectionNumber = std::uint64_t;

/// Grants exclusive use of a connection. Each lease has its own generation, so a late or repeated return cannot end the
/// lease of another client.
struct ConnectionLease {
    ConnectionNumber connection_ { 0 };
    std::uint64_t generation_ { 0 };

    auto operator<=>(const ConnectionLease&) const = default;
};

/// The client connection for which a pooled connection is leased.
struct LeaseOwner {
    InstanceId instance_; ///< Instance to which the client is connected.
    std::uint64_t caller_ { 0 }; ///< Number of the client connection at that instance.

    auto operator<=>(const LeaseOwner&) const = default;
};

/// Limits and timeouts of one pool.
struct PoolSettings {
    std::size_t connectionLimit_ { 1 }; ///< Connection limit that the endpoint announced.
    /// Share of connectionLimit_ that a new holder may use until settleTime_ has passed. Together with settledShare_ it
    /// stays below 1, so that the old and new holder of a hand-over together stay below the limit.
    double newHolderShare_ { 0.10 };
    double settledShare_ { 0.85 }; ///< Share of connectionLimit_ that a holder may use after settleTime_.
    Duration settleTime_ { std::chrono::seconds(10) }; ///< Counted from holderSince_.
    /// Kept open without demand, so that the first requests need not wait for a connect.
    std::size_t warmConnections_ { 1 };
    /// Free connections above warmConnections_ are closed after this time.
    Duration idleCloseTime_ { std::chrono::seconds(30) };
    Duration transactionIdleLimit_ { std::chrono::seconds(5) }; ///< Longest pause between statements of a transaction.
    Duration connectTimeout_ { std::chrono::seconds(1) }; ///< For opening a connection, `hello` included.
    Duration initialBackoff_ { std::chrono::milliseconds(20) }; ///< Doubled after each failed attempt.
    Duration maximumBackoff_ { std::chrono::seconds(2) };
};

/// State of one connection in the pool.
struct PooledConnection {
    enum class State : std::uint8_t { Opening, Free, Leased };

    State state_ { State::Opening };
    TimePoint stateSince_; ///< When the connection entered its state.
    std::uint64_t generation_ { 0 }; ///< Generation of the current or last lease.
    LeaseOwner owner_;
    bool transaction_ { false }; ///< The connection has an unfinished transaction.
    bool statementRunning_ { false };
    TimePoint lastStatementAt_; ///< End of the last statement, or start of the lease before the first one.
};

/// The connections to one endpoint. Kept by the instance that holds the endpoint and, during a hand-over, by its former
/// holder. The functions below do no I/O: the caller performs the actions that they return.
struct ConnectionPool {
    PoolSettings settings_;
    std::optional<TimePoint> holderSince_; ///< Absent while this instance is not the holder.
    std::map<ConnectionNumber, PooledConnection> connections_;
    std::size_t waitingRequests_ { 0 }; ///< Requests that wait for a connection.
    ConnectionNumber lastConnectionNumber_ { 0 };
    std::uint64_t lastGeneration_ { 0 };
    std::uint32_t connectFailures_ { 0 }; ///< Failed connects since the last success.
    TimePoint nextConnectAt_ {}; ///< Earliest next attempt after a failed connect.
    std::optional<TimePoint> lastConnectFailureAt_;
    std::mt19937_64 random_ { 1 }; ///< Source of the backoff jitter; seeded by the pool's owner.
};

/// An action that the owner of the sockets performs for the pool.
struct PoolAction {
    enum class Kind : std::uint8_t {
        Open, ///< Open a connection, then call connected() or connectFailed() with its number.
        Close ///< Close the connection. The pool needs no further events of it.
    };

    Kind kind_ { Kind::Open };
    ConnectionNumber connection_ { 0 };
    /// Close: why a lease ended early. The owner of the lease must be notified; a statement that was running on the
    /// connection is lost.
    std::optional<Reason> reason_;
    LeaseOwner owner_; ///< Close: owner of the lease, if the connection was leased.
};

using PoolActions = std::vector<PoolAction>;

/// Returns how many connections, opening ones included, the instance may have to the endpoint now. 0 if it is not the
/// holder, else at least 1.
std::size_t connectionAllowance(const ConnectionPool&, TimePoint now);

/// Returns the number of free connections, as input of AdmissionQueue's next().
std::size_t freeConnections(const ConnectionPool&);

/// Records that this instance is the holder of the endpoint, and does what poolTimer() does. The start time is kept if
/// the instance already is the holder.
PoolActions becomeHolder(ConnectionPool&, TimePoint now);

/// Records that this instance is no longer the holder. Closes free and opening connections now, and leased ones when
/// they are returned.
PoolActions ceaseHolder(ConnectionPool&, TimePoint now);

/// Sets how many requests wait for a connection. The pool opens as many connections within its allowance.
PoolActions setWaitingRequests(ConnectionPool&, std::size_t waitingRequests, TimePoint now);

/// Leases the most recently used free connection. Returns nothing if no connection is free.
std::optional<ConnectionLease> lease(ConnectionPool&, const LeaseOwner&, TimePoint now);

/// Records that a statement starts on the leased connection. Returns false if the lease has ended; the statement must
/// not be sent then. transactionOpen: whether a transaction is unfinished from this statement on, until a call of
/// statementFinished() changes it.
bool statementStarted(ConnectionPool&, const ConnectionLease&, bool transactionOpen, TimePoint now);

/// Records that the whole response to the statement was received. transactionOpen: whether a transaction is unfinished
/// after the statement. A `not_run` response to a statement or commit inside a transaction leaves the transaction
/// unfinished. No effect if the lease has ended.
void statementFinished(ConnectionPool&, const ConnectionLease&, bool transactionOpen, TimePoint now);

/// Ends the lease and returns the connection to the pool. The connection is closed rather than reused if a transaction
/// is unfinished, a statement is still running, or the pool exceeds its allowance, as when the instance is no longer
/// the holder. No effect if the lease has ended.
PoolActions returnConnection(ConnectionPool&, const ConnectionLease&, TimePoint now);

/// Closes the connections that are leased to a client, because the client's connection has ended.
PoolActions closeOwner(ConnectionPool&, const LeaseOwner&, TimePoint now);

/// Closes the connections that are leased to clients of an instance, because membership declared the instance dead.
PoolActions closeInstance(ConnectionPool&, const InstanceId&, TimePoint now);

/// Records that the connection is open and that the endpoint has responded to `hello`. A connection that the pool has
/// given up meanwhile is closed.
PoolActions connected(ConnectionPool&, ConnectionNumber, TimePoint now);

/// Records that the connection could not be opened. The next attempt follows after exponential backoff with jitter.
PoolActions connectFailed(ConnectionPool&, ConnectionNumber, TimePoint now);

/// Records that a connection ended or must be given up, for example because a response did not match its request.
PoolActions connectionLost(ConnectionPool&, ConnectionNumber, TimePoint now);

/// Performs the work that is due: opens connections, and closes idle connections, connections with idle transactions
/// and connection attempts that take too long.
PoolActions poolTimer(ConnectionPool&, TimePoint now);

/// Returns when poolTimer() must run next; absent if it has nothing to do before the next event.
std::optional<TimePoint> nextPoolTimer(const ConnectionPool&, TimePoint now);

} // namespace cassiahollow
