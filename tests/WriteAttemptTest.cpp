#include "cassiahollow/request/WriteAttempt.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint() + 1h;
const WriteRoute routeA { EndpointId("a"), 1 };
const WriteRoute routeB { EndpointId("b"), 2 };

// One write and what it decided last, in one word each.
struct Attempt {
    WriteState state_;
    RetryBudget budget_ { 0.1, 10, 200, 10, start };
    TimePoint now_ { start };

    explicit Attempt(bool keysStored = true, WriteKind kind = WriteKind::Statements)
        : state_(startWrite({ "k", kind, keysStored, start + 2s }))
    {
    }

    std::string step(const WriteEvent& event, Duration later = Duration::zero())
    {
        now_ += later;
        const auto action = stepWrite(state_, event, budget_, now_);
        if (const auto* run = std::get_if<WriteRunAt>(&action)) {
            return (run->lookup_ ? "lookup " : "run ") + run->endpoint_.value_ + std::to_string(run->term_)
                + (run->key_.empty() ? " without key" : "");
        }
        if (std::holds_alternative<WriteWait>(action))
            return "wait";
        const auto& answer = std::get<WriteResponse>(action);
        if (answer.reason_)
            REQUIRE(reasonInfo(*answer.reason_).outcome_ == answer.outcome_);
        return std::string(outcomeName(answer.outcome_))
            + (answer.reason_ ? " " + std::string(reasonInfo(*answer.reason_).name_) : "");
    }

    // Gives out and sends an attempt on the route.
    void run(const WriteRoute& route)
    {
        step(WriteRouteChanged { route });
        step(WriteSent { state_.attempts_ });
    }
};

} // namespace

// Guards against an acknowledgement before a majority holds the write, or for a majority in another term.
TEST_CASE("a write is done when its own term confirms its position")
{
    Attempt write;
    REQUIRE(write.step(WriteTimer {}) == "wait"); // No primary yet.
    REQUIRE(write.step(WriteRouteChanged { routeA }) == "run a1");
    REQUIRE(write.step(WriteSent { 1 }) == "wait");
    REQUIRE(write.step(WriteResponded { 1, { 1, 7 } }) == "wait");
    REQUIRE(write.step(WriteConfirmed { { 1, 6 } }) == "wait");
    REQUIRE(write.step(WriteConfirmed { { 2, 9 } }) == "wait");
    REQUIRE(write.step(WriteConfirmed { { 1, 7 } }) == "done");
    REQUIRE(write.step(WriteConfirmed { { 1, 8 } }) == "wait"); // Answered once.
}

// Guards against a second run, or a false "not run", after a lost answer.
TEST_CASE("a lost answer is resent with the key, and unknown at the deadline")
{
    Attempt write;
    write.run(routeA);
    REQUIRE(write.step(WriteConnectionLost { 1 }) == "run a1");
    REQUIRE(write.step(WriteSent { 2 }) == "wait");
    REQUIRE(write.step(WriteNotRun { 2, Reason::QueueFull, 1 }) == "wait"); // Says nothing about the first one.
    REQUIRE(write.step(WriteTimer {}, 10ms) == "run a1");
    REQUIRE(write.step(WriteTimer {}, 2s) == "unknown answer_lost");
}

// Guards against unnecessary "unknown" answers.
TEST_CASE("not run is answered while nothing was sent")
{
    Attempt write;
    REQUIRE(write.step(WriteRouteChanged { routeA }) == "run a1");
    REQUIRE(write.step(WriteConnectionLost { 1, true }) == "run a1");
    REQUIRE(write.step(WriteNotRun { 2, Reason::EndpointConnectFailed }) == "wait");
    REQUIRE(write.step(WriteTimer {}, 2s) == "not_run deadline_passed");
    REQUIRE_FALSE(maySend(write.state_, 2));

    Attempt noPrimary;
    REQUIRE(noPrimary.step(WriteTimer {}, 2s) == "not_run group_without_primary");
    Attempt noMajority;
    REQUIRE(noMajority.step(WriteRefused { Reason::GroupWithoutMajority }) == "not_run group_without_majority");
    Attempt full;
    full.run(routeA);
    REQUIRE(full.step(WriteNotRun { 1, Reason::QueueFull }) == "not_run queue_full");
    Attempt stopping;
    stopping.run(routeA);
    REQUIRE(stopping.step(WriteRefused { Reason::GroupWithoutMajority }) == "wait");
    REQUIRE(stopping.step(WriteRefused { Reason::ShuttingDown }) == "unknown answer_lost");
}

// Guards against an old attempt that is sent after a later one has taken its place.
TEST_CASE("a change of primary replaces an unsent attempt")
{
    Attempt write;
    REQUIRE(write.step(WriteRouteChanged { routeA }) == "run a1");
    REQUIRE(write.step(WriteRouteChanged { routeB }) == "run b2");
    REQUIRE_FALSE(maySend(write.state_, 1));
    REQUIRE(maySend(write.state_, 2));
    REQUIRE(write.step(WriteRouteChanged { routeA }) == "wait"); // An old route.
}

// Guards against a write of an old term that is acknowledged although the new term may lack it.
TEST_CASE("an unconfirmed write is resent in the new term")
{
    Attempt write;
    write.run(routeA);
    REQUIRE(write.step(WriteResponded { 1, { 1, 7 } }) == "wait");
    REQUIRE(write.step(WriteRouteChanged { routeB }) == "run b2");
    REQUIRE(write.step(WriteSent { 2 }) == "wait");
    // The stored answer has its old position; any confirmed position of term 2 is past it.
    REQUIRE(write.step(WriteResponded { 2, { 1, 7 } }) == "wait");
    REQUIRE(write.step(WriteConfirmed { { 2, 8 } }) == "done");
}

// Guards against waiting at an endpoint that has said that its term is over.
TEST_CASE("a stale term waits for the next route")
{
    Attempt write;
    write.run(routeA);
    REQUIRE(write.step(WriteNotRun { 1, Reason::StaleTerm, 2 }) == "wait");
    REQUIRE(write.step(WriteTimer {}, 1s) == "wait");
    REQUIRE(write.step(WriteRouteChanged { routeB }) == "run b2");
}

// Guards against "not run" from an absent key while the write can still run or the absence can still be undone.
TEST_CASE("an absent key proves not run only in a later, confirmed term")
{
    Attempt commit(true, WriteKind::Commit);
    commit.run(routeA);
    REQUIRE(commit.step(WriteConnectionLost { 1 }) == "lookup a1"); // Never sent again.
    REQUIRE(commit.step(WriteLookedUp { 2, false, {} }) == "wait"); // The commit may be on its way.
    REQUIRE(commit.step(WriteConfirmed { { 1, 9 } }) == "wait");
    REQUIRE(commit.step(WriteRouteChanged { routeB }, 20ms) == "lookup b2");
    REQUIRE(commit.step(WriteLookedUp { 3, false, {} }) == "wait"); // Term 2 may still be lost.
    REQUIRE(commit.step(WriteConfirmed { { 2, 9 } }) == "not_run transaction_aborted");

    Attempt found(true, WriteKind::Commit);
    found.run(routeA);
    REQUIRE(found.step(WriteConnectionLost { 1 }) == "lookup a1");
    REQUIRE(found.step(WriteLookedUp { 2, true, { 1, 5 } }) == "wait");
    REQUIRE(found.step(WriteConfirmed { { 1, 5 } }) == "done");

    Attempt unsent(true, WriteKind::Commit);
    REQUIRE(unsent.step(WriteRouteChanged { routeA }) == "run a1");
    REQUIRE(unsent.step(WriteConnectionLost { 1, true }) == "not_run transaction_aborted");

    // A statement that fails is not repeated, but an earlier attempt is cleared up.
    Attempt failed;
    failed.run(routeA);
    REQUIRE(failed.step(WriteRouteChanged { routeB }) == "run b2");
    REQUIRE(failed.step(WriteNotRun { 2, Reason::StatementFailed }) == "lookup b2");
    REQUIRE(failed.step(WriteConfirmed { { 2, 1 } }) == "wait");
    REQUIRE(failed.step(WriteLookedUp { 3, false, {} }) == "not_run statement_failed");
}

// Guards against a second run on endpoints that store no keys.
TEST_CASE("without stored keys nothing is repeated after it may have run")
{
    Attempt lost(false);
    REQUIRE(lost.step(WriteRouteChanged { routeA }) == "run a1 without key");
    REQUIRE(lost.step(WriteSent { 1 }) == "wait");
    REQUIRE(lost.step(WriteRouteChanged { routeB }) == "wait");
    REQUIRE(lost.step(WriteConnectionLost { 1 }) == "unknown answer_lost");
    Attempt unconfirmed(false);
    unconfirmed.run(routeA);
    unconfirmed.step(WriteResponded { 1, { 1, 7 } });
    REQUIRE(unconfirmed.step(WriteRouteChanged { routeB }) == "unknown not_confirmed");
    Attempt refused(false);
    refused.run(routeA);
    REQUIRE(refused.step(WriteNotRun { 1, Reason::StaleTerm, 2 }) == "wait");
    REQUIRE(refused.step(WriteRouteChanged { routeB }) == "run b2 without key");
}

// Guards against retries that multiply the load of a failing endpoint.
TEST_CASE("retries stay within ten percent of the requests plus ten a second")
{
    RetryBudget budget { 0.1, 10, 200, 0, start };
    for (int i = 0; i < 100; ++i)
        recordRequest(budget, start);
    int taken = 0;
    while (takeRetry(budget, start))
        ++taken;
    REQUIRE(taken == 10);
    while (takeRetry(budget, start + 1s))
        ++taken;
    REQUIRE(taken == 20);

    Attempt write;
    write.budget_ = { 0.1, 10, 200, 0, start };
    write.run(routeA);
    REQUIRE(write.step(WriteConnectionLost { 1 }) == "wait");
    REQUIRE(write.step(WriteTimer {}, 100ms) == "run a1");
    write.budget_.perSecond_ = 0;
    REQUIRE(write.step(WriteSent { 2 }) == "wait");
    REQUIRE(write.step(WriteConnectionLost { 2 }, 1s) == "wait");
    REQUIRE(write.step(WriteTimer {}, 10ms) == "wait"); // The budget is empty.
    REQUIRE(write.step(WriteTimer {}, 1s) == "unknown retry_budget_spent");
}

// Guards against a service that gets another service's stored answer, and against generated keys that repeat.
TEST_CASE("keys of different origins differ")
{
    REQUIRE(callerWriteKey(ServiceId("a"), "b:c") != callerWriteKey(ServiceId("a:b"), "c"));
    REQUIRE(callerWriteKey(ServiceId("a"), "1") != generatedWriteKey(InstanceId("a"), 1, 1));
    REQUIRE(generatedWriteKey(InstanceId("i"), 1, 2) != generatedWriteKey(InstanceId("i"), 2, 1));
}
