#include "cassiahollow/connection/ConnectionPool.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint() + 1h;
const LeaseOwner anna { InstanceId("i1"), 1 };
const LeaseOwner bert { InstanceId("i2"), 1 };

std::size_t count(const PoolActions& actions, PoolAction::Kind kind)
{
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(), [&](const PoolAction& action) { return action.kind_ == kind; }));
}

std::size_t opened(const PoolActions& actions)
{
    return count(actions, PoolAction::Kind::Open);
}

std::size_t closed(const PoolActions& actions)
{
    return count(actions, PoolAction::Kind::Close);
}

void connectAll(ConnectionPool& pool, PoolActions actions, TimePoint now)
{
    for (const auto& action : actions) {
        if (action.kind_ == PoolAction::Kind::Open)
            connected(pool, action.connection_, now);
    }
}

// The settled holder of an endpoint with this many connections open.
ConnectionPool settledPool(std::size_t open, std::size_t limit = 35)
{
    ConnectionPool pool;
    pool.settings_.connectionLimit_ = limit;
    pool.settings_.warmConnections_ = open;
    pool.holderSince_ = start - 10s;
    connectAll(pool, poolTimer(pool, start), start);
    return pool;
}

} // namespace

// Guards against more connections than the endpoint accepts, during and after a hand-over.
TEST_CASE("a new holder opens a tenth and a settled one most of the limit")
{
    for (const std::size_t limit : { 35, 80 }) {
        ConnectionPool pool;
        pool.settings_.connectionLimit_ = limit;
        pool.settings_.warmConnections_ = 0;
        REQUIRE(opened(setWaitingRequests(pool, 1000, start)) == 0);
        auto actions = becomeHolder(pool, start);
        auto openedNow = opened(actions);
        pool.waitingRequests_ = 1000;
        openedNow += opened(poolTimer(pool, start));
        REQUIRE(openedNow == limit / 10);
        REQUIRE(nextPoolTimer(pool, start).has_value());
        pool.settings_.connectTimeout_ = 1h;
        openedNow += opened(poolTimer(pool, start + 10s));
        REQUIRE(openedNow == limit * 85 / 100);
        // A settled holder, a new holder and three watch connections together.
        REQUIRE(openedNow + limit / 10 + 3 <= limit);
    }
}

// Guards against work of two callers on one connection.
TEST_CASE("a lease ends once, and only its own generation ends it")
{
    auto pool = settledPool(1);
    const auto first = lease(pool, anna, start);
    REQUIRE(first.has_value());
    REQUIRE_FALSE(lease(pool, bert, start).has_value());
    returnConnection(pool, *first, start);
    const auto second = lease(pool, bert, start);
    REQUIRE(second->connection_ == first->connection_);
    REQUIRE(closed(returnConnection(pool, *first, start)) == 0); // A late repetition.
    REQUIRE_FALSE(statementStarted(pool, *first, false, start));
    REQUIRE(statementStarted(pool, *second, false, start));
    REQUIRE_FALSE(lease(pool, anna, start).has_value());
}

// Guards against a caller that gets a connection with another caller's unfinished transaction or answer.
TEST_CASE("unfinished connections are closed rather than returned")
{
    auto pool = settledPool(1);
    const auto transaction = lease(pool, anna, start);
    statementStarted(pool, *transaction, true, start);
    statementFinished(pool, *transaction, true, start);
    REQUIRE(closed(returnConnection(pool, *transaction, start)) == 1);
    connectAll(pool, poolTimer(pool, start), start);

    pool = settledPool(1);
    const auto running = lease(pool, anna, start);
    statementStarted(pool, *running, false, start);
    auto actions = returnConnection(pool, *running, start);
    REQUIRE(closed(actions) == 1);
    REQUIRE(opened(actions) == 1); // The warm connection is replaced.

    pool = settledPool(1);
    const auto committed = lease(pool, anna, start);
    statementStarted(pool, *committed, true, start);
    statementFinished(pool, *committed, false, start);
    REQUIRE(closed(returnConnection(pool, *committed, start)) == 0);
    REQUIRE(freeConnections(pool) == 1);
}

// Guards against connections that idle transactions and dead callers keep for good.
TEST_CASE("transactions end at the idle limit and with their caller")
{
    auto pool = settledPool(2);
    const auto idle = lease(pool, anna, start);
    statementStarted(pool, *idle, true, start);
    REQUIRE(closed(poolTimer(pool, start + 6s)) == 0); // A running statement is not idle.
    statementFinished(pool, *idle, true, start + 6s);
    REQUIRE(closed(poolTimer(pool, start + 10999ms)) == 0);
    const auto actions = poolTimer(pool, start + 11s);
    REQUIRE(closed(actions) == 1);
    REQUIRE(actions[0].reason_ == Reason::TransactionIdle);
    REQUIRE(actions[0].owner_ == anna);
    REQUIRE_FALSE(statementStarted(pool, *idle, true, start + 11s));

    pool = settledPool(3);
    lease(pool, anna, start);
    lease(pool, bert, start);
    REQUIRE(closed(closeOwner(pool, { anna.instance_, 2 }, start)) == 0);
    REQUIRE(closed(closeOwner(pool, anna, start)) == 1);
    REQUIRE(closed(closeInstance(pool, bert.instance_, start)) == 1);
}

// Guards against a former holder that keeps connections the new one needs.
TEST_CASE("a former holder closes free connections at once and leased ones when they return")
{
    auto pool = settledPool(3);
    const auto held = lease(pool, anna, start);
    REQUIRE(closed(ceaseHolder(pool, start)) == 2);
    REQUIRE(opened(setWaitingRequests(pool, 5, start)) == 0);
    const auto actions = returnConnection(pool, *held, start);
    REQUIRE(closed(actions) == 1);
    REQUIRE(opened(actions) == 0);
    REQUIRE(pool.connections_.empty());
    // A connection that opens after it was given up is closed.
    REQUIRE(closed(connected(pool, 99, start)) == 1);
}

// Guards against a flood of connection attempts to a failing endpoint.
TEST_CASE("connect failures back off exponentially with jitter")
{
    ConnectionPool pool;
    pool.settings_.connectionLimit_ = 35;
    pool.holderSince_ = start - 10s;
    auto actions = setWaitingRequests(pool, 10, start);
    REQUIRE(opened(actions) == 10);
    for (const auto& action : actions)
        REQUIRE(opened(connectFailed(pool, action.connection_, start)) == 0);
    REQUIRE(pool.connectFailures_ == 1); // One failure of the endpoint, not ten.
    auto now = start;
    Duration longest {};
    for (int i = 0; i < 12; ++i) {
        const auto at = nextPoolTimer(pool, now);
        REQUIRE(at.has_value());
        longest = std::max(longest, *at - now);
        REQUIRE(*at - now <= pool.settings_.maximumBackoff_);
        now = *at;
        actions = poolTimer(pool, now);
        REQUIRE(opened(actions) == 1); // One attempt at a time.
        REQUIRE(opened(connectFailed(pool, actions[0].connection_, now)) == 0);
    }
    REQUIRE(longest >= 1s);
    now = *nextPoolTimer(pool, now);
    actions = poolTimer(pool, now);
    REQUIRE(opened(connected(pool, actions[0].connection_, now)) == 9);
}

// Guards against attempts that never end, and against free connections that are never closed.
TEST_CASE("silent attempts and idle connections are closed")
{
    ConnectionPool pool;
    pool.settings_.connectionLimit_ = 35;
    pool.holderSince_ = start - 10s;
    const auto actions = setWaitingRequests(pool, 3, start);
    connected(pool, actions[0].connection_, start);
    connected(pool, actions[1].connection_, start);
    setWaitingRequests(pool, 0, start);
    REQUIRE(closed(poolTimer(pool, start + 1s)) == 1);
    REQUIRE(closed(poolTimer(pool, start + 30s)) == 1);
    REQUIRE(freeConnections(pool) == pool.settings_.warmConnections_);
    REQUIRE_FALSE(nextPoolTimer(pool, start + 30s).has_value());
}
