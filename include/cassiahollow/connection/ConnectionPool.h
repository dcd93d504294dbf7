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

/// The number of a connection within its pool; never used twice, so that late events of a closed connection cannot
/// touch another one.
using ConnectionNumber = std::uint64_t;

/// The right to use a connection. The generation differs for each lease, so that a late or repeated return cannot end
/// the lease of another caller.
struct ConnectionLease {
    ConnectionNumber connection_ { 0 };
    std::uint64_t generation_ { 0 };

    auto operator<=>(const ConnectionLease&) const = default;
};

/// On whose behalf a connection is leased.
struct LeaseOwner {
    InstanceId instance_; ///< The caller's instance.
    std::uint64_t caller_ { 0 }; ///< The caller connection at that instance.

    auto operator<=>(const LeaseOwner&) const = default;
};

/// Limits of one pool.
struct PoolSettings {
    std::size_t connectionLimit_ { 1 }; ///< Of the endpoint, from its announcement.
    double newHolderShare_ { 0.10 }; ///< Until settleTime_. Together with settledShare_ it stays below 1, so that
                                     ///< two holders in a hand-over stay below the limit.
    double settledShare_ { 0.85 };
    Duration settleTime_ { std::chrono::seconds(10) };
    std::size_t warmConnections_ { 1 }; ///< Kept open without demand; saves the connect time of the first requests.
    Duration idleCloseTime_ { std::chrono::seconds(30) }; ///< Free connections above the warm ones close after this.
    Duration transactionIdleLimit_ { std::chrono::seconds(5) };
    Duration connectTimeout_ { std::chrono::seconds(1) };
    Duration initialBackoff_ { std::chrono::milliseconds(20) };
    Duration maximumBackoff_ { std::chrono::seconds(2) };
};

/// One connection in the pool.
struct PooledConnection {
    enum class State : std::uint8_t { Opening, Free, Leased };

    State state_ { State::Opening };
    TimePoint stateSince_; ///< Since when it has been opening or free.
    std::uint64_t generation_ { 0 }; ///< Of the current or last lease.
    LeaseOwner owner_;
    bool transaction_ { false }; ///< An unfinished transaction is on it.
    bool statementRunning_ { false };
    TimePoint lastStatementAt_; ///< End of the last statement of the transaction.
};

/// The connections of one endpoint, in its holder or, during a hand-over, its former holder.
struct ConnectionPool {
    PoolSettings settings_;
    std::optional<TimePoint> holderSince_; ///< Absent while another instance is the holder.
    std::map<ConnectionNumber, PooledConnection> connections_;
    std::size_t waitingRequests_ { 0 }; ///< Leases that wait for a connection.
    ConnectionNumber lastConnectionNumber_ { 0 };
    std::uint64_t lastGeneration_ { 0 };
    std::uint32_t connectFailures_ { 0 }; ///< Since the last success.
    TimePoint nextConnectAt_ {};
    std::optional<TimePoint> lastConnectFailureAt_;
    std::mt19937_64 random_ { 1 }; ///< For jitter; seeded by the owner.
};

/// What the owner of the sockets has to do.
struct PoolAction {
    enum class Kind : std::uint8_t {
        Open, ///< Open a connection and report connected() or connectFailed() with its number.
        Close ///< Close it; no event about it is needed any more.
    };

    Kind kind_ { Kind::Open };
    ConnectionNumber connection_ { 0 };
    /// For Close: why, if the connection was leased. Its owner has to be told; a statement that was running on it is
    /// lost.
    std::optional<Reason> reason_;
    LeaseOwner owner_;
};

using PoolActions = std::vector<PoolAction>;

/// The most connections, opening ones included, that the instance may have to the endpoint now. 0 if it is not the
/// holder.
std::size_t connectionAllowance(const ConnectionPool&, TimePoint now);

/// Free connections, for next() of the AdmissionQueue.
std::size_t freeConnections(const ConnectionPool&);

/// The instance is the holder of the endpoint from now on. No effect if it already is.
PoolActions becomeHolder(ConnectionPool&, TimePoint now);

/// Another instance is the holder: closes free and opening connections, and the leased ones when they are returned.
PoolActions ceaseHolder(ConnectionPool&, TimePoint now);

/// Says how many requests wait for a connection, so that the pool opens as many within its allowance.
PoolActions setWaitingRequests(ConnectionPool&, std::size_t wanted, TimePoint now);

/// Leases a free connection, the most recently used first; none if there is no free one.
std::optional<ConnectionLease> lease(ConnectionPool&, const LeaseOwner&, TimePoint now);

/// A statement starts on the leased connection. Returns false if the lease has ended; nothing may be sent then.
/// transactionOpen: whether a transaction is unfinished from this statement on, until statementFinished() says
/// otherwise.
bool statementStarted(ConnectionPool&, const ConnectionLease&, bool transactionOpen, TimePoint now);

/// The whole answer of the statement has arrived. transactionOpen: whether a transaction is unfinished after it. A
/// `not_run` answer to a statement or a commit inside a transaction leaves the transaction unfinished.
void statementFinished(ConnectionPool&, const ConnectionLease&, bool transactionOpen, TimePoint now);

/// Returns the connection. It is closed rather than reused if a transaction is unfinished, a statement is still
/// running, or the instance is no longer the holder. No effect if the lease has ended.
PoolActions returnConnection(ConnectionPool&, const ConnectionLease&, TimePoint now);

/// Closes the connections that a caller holds, because the caller's connection has ended.
PoolActions closeOwner(ConnectionPool&, const LeaseOwner&, TimePoint now);

/// Closes the connections that callers of an instance hold, because membership declared the instance dead.
PoolActions closeInstance(ConnectionPool&, const InstanceId&, TimePoint now);

/// The connection is open and has answered `hello`.
PoolActions connected(ConnectionPool&, ConnectionNumber, TimePoint now);

/// The connection could not be opened. The next attempt is made after an exponential delay with jitter.
PoolActions connectFailed(ConnectionPool&, ConnectionNumber, TimePoint now);

/// An open connection ended or has to be given up, for example because its answer did not match.
PoolActions connectionLost(ConnectionPool&, ConnectionNumber, TimePoint now);

/// Does what is due: opens connections, closes idle ones, idle transactions and attempts that take too long.
PoolActions poolTimer(ConnectionPool&, TimePoint now);

/// When poolTimer() has something to do next; absent if only events can change that.
std::optional<TimePoint> nextPoolTimer(const ConnectionPool&, TimePoint now);

} // namespace cassiahollow
