#include "cassiahollow/connection/ConnectionPool.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cassiahollow {

namespace {

    using State = PooledConnection::State;

    // Keeps the shift of the backoff in range. The maximum delay is reached at far fewer doublings.
    constexpr std::uint32_t maximumBackoffDoublings = 20;

    std::size_t countInState(const ConnectionPool& pool, State state)
    {
        return static_cast<std::size_t>(std::count_if(pool.connections_.begin(), pool.connections_.end(),
            [&](const auto& entry) { return entry.second.state_ == state; }));
    }

    PooledConnection* findLeased(ConnectionPool& pool, const ConnectionLease& lease)
    {
        const auto entry = pool.connections_.find(lease.connection_);
        if (entry == pool.connections_.end() || entry->second.state_ != State::Leased
            || entry->second.generation_ != lease.generation_)
            return nullptr;
        return &entry->second;
    }

    // Returns how many connections to open for the waiting requests and the warm connections, regardless of limits.
    std::size_t missingConnections(const ConnectionPool& pool)
    {
        const auto total = pool.connections_.size();
        const auto available = total - countInState(pool, State::Leased);
        const auto forWaiting = pool.waitingRequests_ > available ? pool.waitingRequests_ - available : 0;
        const auto forWarm = pool.settings_.warmConnections_ > total ? pool.settings_.warmConnections_ - total : 0;
        return std::max(forWaiting, forWarm);
    }

    void openMissingConnections(ConnectionPool& pool, PoolActions& actions, TimePoint now)
    {
        const auto allowance = connectionAllowance(pool, now);
        const auto total = pool.connections_.size();
        auto count = std::min(missingConnections(pool), allowance > total ? allowance - total : 0);
        if (pool.connectFailures_ > 0) {
            // Attempts run one at a time until one succeeds, so that a failing endpoint is not flooded with them.
            const auto mayConnect = now >= pool.nextConnectAt_ && countInState(pool, State::Opening) == 0;
            count = std::min<std::size_t>(count, mayConnect ? 1 : 0);
        }
        for (; count > 0; --count) {
            const auto number = ++pool.lastConnectionNumber_;
            pool.connections_[number].stateSince_ = now;
            actions.push_back({ PoolAction::Kind::Open, number, std::nullopt, {} });
        }
    }

    using Connections = std::map<ConnectionNumber, PooledConnection>;

    Connections::iterator close(
        ConnectionPool& pool, Connections::iterator entry, PoolActions& actions, std::optional<Reason> reason)
    {
        actions.push_back({ PoolAction::Kind::Close, entry->first, reason, entry->second.owner_ });
        return pool.connections_.erase(entry);
    }

    template <typename Predicate>
    void closeIf(ConnectionPool& pool, PoolActions& actions, std::optional<Reason> reason, Predicate predicate)
    {
        for (auto entry = pool.connections_.begin(); entry != pool.connections_.end();) {
            if (predicate(entry->second))
                entry = close(pool, entry, actions, reason);
            else
                ++entry;
        }
    }

    // Closes free connections, longest unused first, until mustClose returns false or none is left.
    template <typename Predicate>
    void closeFreeConnections(ConnectionPool& pool, PoolActions& actions, Predicate mustClose)
    {
        for (;;) {
            auto oldest = pool.connections_.end();
            for (auto entry = pool.connections_.begin(); entry != pool.connections_.end(); ++entry) {
                if (entry->second.state_ == State::Free
                    && (oldest == pool.connections_.end() || entry->second.stateSince_ < oldest->second.stateSince_))
                    oldest = entry;
            }
            if (oldest == pool.connections_.end() || !mustClose(oldest->second))
                return;
            close(pool, oldest, actions, std::nullopt);
        }
    }

    void recordConnectFailure(ConnectionPool& pool, TimePoint attemptedAt, TimePoint now)
    {
        // Concurrent attempts count as one failure; else a burst of failures would raise the delay to its maximum.
        if (pool.lastConnectFailureAt_ && attemptedAt <= *pool.lastConnectFailureAt_)
            return;
        pool.lastConnectFailureAt_ = now;
        const auto doublings = std::min(pool.connectFailures_, maximumBackoffDoublings);
        ++pool.connectFailures_;
        const auto delay
            = std::min<Duration>(pool.settings_.initialBackoff_ * (1L << doublings), pool.settings_.maximumBackoff_);
        // Up to half of the delay is random, so that holders of many endpoints do not reconnect at the same time.
        std::uniform_int_distribution<Duration::rep> jitter(0, delay.count() / 2);
        pool.nextConnectAt_ = now + delay / 2 + Duration(jitter(pool.random_));
    }

    bool isIdleTransaction(const ConnectionPool& pool, const PooledConnection& connection, TimePoint now)
    {
        return connection.state_ == State::Leased && connection.transaction_ && !connection.statementRunning_
            && now - connection.lastStatementAt_ >= pool.settings_.transactionIdleLimit_;
    }

} // namespace

std::size_t connectionAllowance(const ConnectionPool& pool, TimePoint now)
{
    if (!pool.holderSince_)
        return 0;
    const auto& settings = pool.settings_;
    const auto isSettled = now - *pool.holderSince_ >= settings.settleTime_;
    const auto share = isSettled ? settings.settledShare_ : settings.newHolderShare_;
    // The tolerance prevents a rounding error from taking a product such as 80 * 0.10 below its whole number.
    const auto allowance = std::floor(static_cast<double>(settings.connectionLimit_) * share + 1e-9);
    return std::max<std::size_t>(1, static_cast<std::size_t>(allowance));
}

std::size_t freeConnections(const ConnectionPool& pool)
{
    return countInState(pool, State::Free);
}

PoolActions becomeHolder(ConnectionPool& pool, TimePoint now)
{
    if (!pool.holderSince_)
        pool.holderSince_ = now;
    return poolTimer(pool, now);
}

PoolActions ceaseHolder(ConnectionPool& pool, TimePoint)
{
    PoolActions actions;
    pool.holderSince_.reset();
    pool.waitingRequests_ = 0;
    closeIf(pool, actions, std::nullopt,
        [](const PooledConnection& connection) { return connection.state_ != State::Leased; });
    return actions;
}

PoolActions setWaitingRequests(ConnectionPool& pool, std::size_t waitingRequests, TimePoint now)
{
    PoolActions actions;
    pool.waitingRequests_ = waitingRequests;
    openMissingConnections(pool, actions, now);
    return actions;
}

std::optional<ConnectionLease> lease(ConnectionPool& pool, const LeaseOwner& owner, TimePoint now)
{
    PooledConnection* best = nullptr;
    ConnectionNumber number = 0;
    for (auto& [candidate, connection] : pool.connections_) {
        if (connection.state_ == State::Free && (!best || connection.stateSince_ >= best->stateSince_)) {
            best = &connection;
            number = candidate;
        }
    }
    if (!best)
        return std::nullopt;
    best->state_ = State::Leased;
    best->stateSince_ = now;
    best->generation_ = ++pool.lastGeneration_;
    best->owner_ = owner;
    best->transaction_ = false;
    best->statementRunning_ = false;
    best->lastStatementAt_ = now;
    return ConnectionLease { number, best->generation_ };
}

bool statementStarted(ConnectionPool& pool, const ConnectionLease& lease, bool transactionOpen, TimePoint)
{
    auto* connection = findLeased(pool, lease);
    if (!connection)
        return false;
    connection->statementRunning_ = true;
    connection->transaction_ = connection->transaction_ || transactionOpen;
    return true;
}

void statementFinished(ConnectionPool& pool, const ConnectionLease& lease, bool transactionOpen, TimePoint now)
{
    auto* connection = findLeased(pool, lease);
    if (!connection)
        return;
    connection->statementRunning_ = false;
    connection->transaction_ = transactionOpen;
    connection->lastStatementAt_ = now;
}

PoolActions returnConnection(ConnectionPool& pool, const ConnectionLease& lease, TimePoint now)
{
    PoolActions actions;
    auto* connection = findLeased(pool, lease);
    if (!connection)
        return actions;
    if (connection->transaction_ || connection->statementRunning_
        || pool.connections_.size() > connectionAllowance(pool, now)) {
        close(pool, pool.connections_.find(lease.connection_), actions, std::nullopt);
        openMissingConnections(pool, actions, now);
    } else {
        connection->state_ = State::Free;
        connection->stateSince_ = now;
        connection->owner_ = {};
    }
    return actions;
}

PoolActions closeOwner(ConnectionPool& pool, const LeaseOwner& owner, TimePoint now)
{
    PoolActions actions;
    closeIf(pool, actions, Reason::TransactionAborted, [&](const PooledConnection& connection) {
        return connection.state_ == State::Leased && connection.owner_ == owner;
    });
    openMissingConnections(pool, actions, now);
    return actions;
}

PoolActions closeInstance(ConnectionPool& pool, const InstanceId& instance, TimePoint now)
{
    PoolActions actions;
    closeIf(pool, actions, Reason::TransactionAborted, [&](const PooledConnection& connection) {
        return connection.state_ == State::Leased && connection.owner_.instance_ == instance;
    });
    openMissingConnections(pool, actions, now);
    return actions;
}

PoolActions connected(ConnectionPool& pool, ConnectionNumber number, TimePoint now)
{
    PoolActions actions;
    const auto entry = pool.connections_.find(number);
    if (entry == pool.connections_.end()) {
        // The attempt was given up before the connection opened.
        actions.push_back({ PoolAction::Kind::Close, number, std::nullopt, {} });
        return actions;
    }
    if (entry->second.state_ != State::Opening)
        return actions;
    entry->second.state_ = State::Free;
    entry->second.stateSince_ = now;
    pool.connectFailures_ = 0;
    openMissingConnections(pool, actions, now);
    return actions;
}

PoolActions connectFailed(ConnectionPool& pool, ConnectionNumber number, TimePoint now)
{
    PoolActions actions;
    const auto entry = pool.connections_.find(number);
    if (entry == pool.connections_.end() || entry->second.state_ != State::Opening)
        return actions;
    const auto attemptedAt = entry->second.stateSince_;
    pool.connections_.erase(entry);
    recordConnectFailure(pool, attemptedAt, now);
    openMissingConnections(pool, actions, now);
    return actions;
}

PoolActions connectionLost(ConnectionPool& pool, ConnectionNumber number, TimePoint now)
{
    PoolActions actions;
    const auto entry = pool.connections_.find(number);
    if (entry == pool.connections_.end())
        return actions;
    if (entry->second.state_ == State::Opening)
        return connectFailed(pool, number, now);
    const auto reason = entry->second.state_ == State::Leased ? std::optional(Reason::ResponseLost) : std::nullopt;
    close(pool, entry, actions, reason);
    openMissingConnections(pool, actions, now);
    return actions;
}

PoolActions poolTimer(ConnectionPool& pool, TimePoint now)
{
    PoolActions actions;
    closeIf(pool, actions, std::nullopt, [&](const PooledConnection& connection) {
        if (connection.state_ != State::Opening || now - connection.stateSince_ < pool.settings_.connectTimeout_)
            return false;
        recordConnectFailure(pool, connection.stateSince_, now);
        return true;
    });
    closeIf(pool, actions, Reason::TransactionIdle,
        [&](const PooledConnection& connection) { return isIdleTransaction(pool, connection, now); });
    const auto allowance = connectionAllowance(pool, now);
    closeFreeConnections(pool, actions, [&](const PooledConnection& connection) {
        return pool.connections_.size() > allowance
            || (pool.connections_.size() > pool.settings_.warmConnections_
                && now - connection.stateSince_ >= pool.settings_.idleCloseTime_);
    });
    openMissingConnections(pool, actions, now);
    return actions;
}

std::optional<TimePoint> nextPoolTimer(const ConnectionPool& pool, TimePoint now)
{
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint at) { next = std::min(next.value_or(at), at); };
    for (const auto& [number, connection] : pool.connections_) {
        if (connection.state_ == State::Opening)
            consider(connection.stateSince_ + pool.settings_.connectTimeout_);
        else if (connection.state_ == State::Free && pool.connections_.size() > pool.settings_.warmConnections_)
            consider(connection.stateSince_ + pool.settings_.idleCloseTime_);
        else if (connection.state_ == State::Leased && connection.transaction_ && !connection.statementRunning_)
            consider(connection.lastStatementAt_ + pool.settings_.transactionIdleLimit_);
    }
    if (pool.holderSince_ && missingConnections(pool) > 0) {
        if (pool.connectFailures_ > 0 && pool.nextConnectAt_ > now)
            consider(pool.nextConnectAt_);
        if (const auto settled = *pool.holderSince_ + pool.settings_.settleTime_; settled > now)
            consider(settled);
    }
    return next;
}

} // namespace cassiahollow
