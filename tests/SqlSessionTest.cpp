#include "cassiahollow/connection/SqlSession.h"

#include <catch2/catch.hpp>
#include <random>

using namespace cassiahollow;

namespace {

// What an endpoint's connection holds after the steps.
void apply(ConnectionSessionState& endpoint, const std::vector<SessionSyncStep>& steps)
{
    for (const auto& step : steps) {
        switch (step.kind_) {
        case SessionSyncStep::Kind::Discard:
            endpoint = {};
            break;
        case SessionSyncStep::Kind::Set:
            endpoint.values_[step.name_] = step.value_;
            break;
        case SessionSyncStep::Kind::Prepare:
            endpoint.prepared_.insert({ step.value_, step.writes_ });
            break;
        }
    }
}

} // namespace

// Guards against a statement that runs with the values of another session, over random sessions on one connection.
TEST_CASE("a fitted connection holds exactly the values of the session, and the shape")
{
    std::mt19937_64 random(7);
    std::vector<SqlSession> sessions(6);
    ConnectionSessionState fit;
    ConnectionSessionState endpoint;
    for (int i = 0; i < 2000; ++i) {
        auto& session = sessions[random() % sessions.size()];
        if (random() % 3 == 0)
            setValue(session, "n" + std::to_string(random() % 4), std::to_string(random() % 5));
        const std::optional<PreparedShape> needed = random() % 2 == 0
            ? std::optional(PreparedShape { "q" + std::to_string(random() % 5), random() % 2 == 0 })
            : std::nullopt;
        const auto cost = syncCost(fit, session, needed);
        const auto steps = syncConnection(fit, session, needed);
        REQUIRE(steps.size() == cost);
        apply(endpoint, steps);
        REQUIRE(endpoint.values_ == session.values_);
        if (needed)
            REQUIRE(endpoint.prepared_.contains(*needed));
        REQUIRE(syncCost(fit, session, needed) == 0);
    }
}

// Guards against two shapes that share a name at an endpoint.
TEST_CASE("shapes have shared names of their own")
{
    CHECK(sharedStatementName({ "q2c", false }) != sharedStatementName({ "q2c", true }));
    CHECK(sharedStatementName({ "q2c", false }) != sharedStatementName({ "q2d", false }));
    const std::string blanks = "a b";
    CHECK(sharedStatementName({ blanks, false }).find(' ') == std::string::npos);
    CHECK(sharedStatementName({ std::string(5000, 'x'), false }).size() < 32);
}

// Guards against a client that fills the memory with names.
TEST_CASE("a session has a bounded number of values and names")
{
    SqlSession session;
    for (std::size_t i = 0; i < maximumSessionNames; ++i) {
        CHECK(setValue(session, std::to_string(i), "x"));
        CHECK(prepare(session, std::to_string(i), { "q", false }));
    }
    CHECK_FALSE(setValue(session, "one more", "x"));
    CHECK_FALSE(prepare(session, "one more", { "q", false }));
    CHECK(setValue(session, "0", "changed"));
    CHECK(preparedShape(session, "0") == PreparedShape { "q", false });
    CHECK_FALSE(preparedShape(session, "none"));
}

// Guards against an error that is told as a promise although something may be kept.
TEST_CASE("only errors that prove it promise that nothing is kept")
{
    for (const auto error : { StatementError::InDoubt, StatementError::TimedOut, StatementError::Failed,
             StatementError::Malformed, StatementError::UnknownName, StatementError::UnknownDatabase })
        CHECK_FALSE(guaranteesNoEffect(error));
    for (const auto error : { StatementError::Overloaded, StatementError::Aborted, StatementError::ReplicaBehind,
             StatementError::NotPrimary, StatementError::WrongEndpoint, StatementError::ConnectionLimit })
        CHECK(guaranteesNoEffect(error));
}
