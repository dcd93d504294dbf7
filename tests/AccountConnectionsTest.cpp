#include "cassiahollow/connection/AccountConnections.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

using State = AccountConnection::State;

const TimePoint now { 1h };
const AccountId ovens { "ovens" };
const AccountId mills { "mills" };

AccountConnection idle(const AccountId& account, Duration since, std::size_t syncCost = 0)
{
    return { account, State::Idle, now - since, {}, syncCost };
}

AccountConnection busy(const AccountId& account, TimePoint freeBy)
{
    return { account, State::Busy, now, freeBy, 0 };
}

} // namespace

// Guards against a statement that runs on a connection of another account.
TEST_CASE("a statement uses the cheapest idle connection of its account")
{
    const std::vector connections { idle(mills, 1s), idle(ovens, 1s, 3), idle(ovens, 2s, 1), busy(ovens, now) };
    const auto choice = chooseConnection(connections, { .account_ = ovens, .limit_ = 10 }, now);
    CHECK(choice.action_ == ConnectionAction::Use);
    CHECK(choice.index_ == 2);
    const auto none = chooseConnection(connections, { .account_ = AccountId(), .limit_ = 10 }, now);
    CHECK(none.action_ == ConnectionAction::Open);
    const std::vector opening { AccountConnection { ovens, State::Opening, {}, {}, 0 }, idle(ovens, 1s, 5) };
    CHECK(chooseConnection(opening, { .account_ = ovens, .limit_ = 10 }, now).index_ == 1);
}

// Guards against more connections than the endpoint accepts, and against an account that never gets one.
TEST_CASE("at the limit, the connection of another account that rested longest is replaced")
{
    const std::vector connections { idle(mills, 1s), busy(ovens, TimePoint::max()), idle(mills, 3s), idle({}, 2s) };
    CHECK(chooseConnection(connections, { .account_ = ovens, .limit_ = 5 }, now).action_ == ConnectionAction::Open);
    const auto choice = chooseConnection(connections, { .account_ = ovens, .limit_ = 4 }, now);
    CHECK(choice.action_ == ConnectionAction::Replace);
    CHECK(choice.index_ == 2);
    // The limit was lowered: several make room, but only if they suffice.
    CHECK(chooseConnection(connections, { .account_ = ovens, .limit_ = 2 }, now).action_ == ConnectionAction::Replace);
    CHECK(chooseConnection(connections, { .account_ = ovens, .limit_ = 1 }, now).action_ == ConnectionAction::Wait);
    CHECK(chooseConnection(connections, { .account_ = ovens, .limit_ = 0 }, now).action_ == ConnectionAction::Wait);
    const std::vector allBusy { busy(mills, now + 1s), busy(mills, now + 1s) };
    CHECK(chooseConnection(allBusy, { .account_ = ovens, .limit_ = 2 }, now).action_ == ConnectionAction::Wait);
    const std::vector closed { AccountConnection { mills, State::Closed, {}, {}, 0 }, busy(mills, now + 1s) };
    CHECK(chooseConnection(closed, { .account_ = ovens, .limit_ = 2 }, now).action_ == ConnectionAction::Open);
}

// Guards against connections that are closed for others while the endpoint refuses new ones.
TEST_CASE("nothing is opened or replaced during a pause")
{
    const std::vector connections { idle(mills, 1s) };
    const auto paused = [&](const AccountId& account) {
        return chooseConnection(connections, { .account_ = account, .limit_ = 1, .mayOpen_ = false }, now).action_;
    };
    CHECK(paused(ovens) == ConnectionAction::Wait);
    CHECK(paused(mills) == ConnectionAction::Use);
}

// Replays "an account with short statements": a new connection costs the endpoint more than the wait.
TEST_CASE("a statement waits for an own connection that is free before a new one would be open")
{
    const auto action = [&](TimePoint freeBy, std::size_t waiting) {
        const std::vector connections { busy(ovens, freeBy) };
        return chooseConnection(
            connections, { .account_ = ovens, .limit_ = 9, .waiting_ = waiting, .serviceTime_ = 8ms }, now)
            .action_;
    };
    CHECK(action(now + 5ms, 1) == ConnectionAction::WaitForOwn);
    CHECK(action(now + 5ms, 2) == ConnectionAction::WaitForOwn);
    CHECK(action(now + 5ms, 3) == ConnectionAction::Open);
    CHECK(action(now + 20ms, 1) == ConnectionAction::Open);
    CHECK(action(now - 5ms, 1) == ConnectionAction::WaitForOwn);
    CHECK(action(now - 50ms, 1) == ConnectionAction::Open); // Overdue: the estimate was wrong.
    CHECK(action(TimePoint::max(), 1) == ConnectionAction::Open); // A transaction.
    CHECK(action(now + 5ms, 0) == ConnectionAction::Open);
    const std::vector others { busy(mills, now + 5ms) };
    CHECK(chooseConnection(others, { .account_ = ovens, .limit_ = 9, .waiting_ = 1 }, now).action_
        == ConnectionAction::Open);
}
