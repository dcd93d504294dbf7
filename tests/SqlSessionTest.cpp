#include "cassiahollow/connection/SqlSession.h"

#include <catch2/catch.hpp>
#include <random>

using namespace cassiahollow;

namespace {

// What an endpoint's connection holds after the steps.
void apply(ConnectionFit& endpoint, const std::vector<FitStep>& steps)
{
    for (const auto& step : steps) {
        switch (step.kind_) {
        case FitStep::Kind::Discard:
            endpoint = {};
            break;
        case FitStep::Kind::Set:
            endpoint.values_[step.name_] = step.value_;
            break;
        case FitStep::Kind::Prepare:
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
    ConnectionFit fit;
    ConnectionFit endpoint;
    for (int i = 0; i < 2000; ++i) {
        auto& session = sessions[random() % sessions.size()];
        if (random() % 3 == 0)
            setValue(session, "n" + std::to_string(random() % 4), std::to_string(random() % 5));
        const std::optional<PreparedShape> needed = random() % 2 == 0
            ? std::optional(PreparedShape { "q" + std::to_string(random() % 5), random() % 2 == 0 })
            : std::nullopt;
        const auto cost = fitCost(fit, session, needed);
        const auto steps = fitConnection(fit, session, needed);
        REQUIRE(steps.size() == cost);
        apply(endpoint, steps);
        REQUIRE(endpoint.values_ == session.values_);
        if (needed)
            REQUIRE(endpoint.prepared_.contains(*needed));
        REQUIRE(fitCost(fit, session, needed) == 0);
    }
}

// Guards against two shapes that share a name at an endpoint.
TEST_CASE("shapes have shared names of their own")
{
    CHECK(sharedName({ "q2c", false }) != sharedName({ "q2c", true }));
    CHECK(sharedName({ "q2c", false }) != sharedName({ "q2d", false }));
    const std::string blanks = "a b";
    CHECK(sharedName({ blanks, false }).find(' ') == std::string::npos);
    CHECK(sharedName({ std::string(5000, 'x'), false }).size() < 32);
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
        CHECK_FALSE(isPromise(error));
    for (const auto error : { StatementError::Overloaded, StatementError::Aborted, StatementError::Behind,
             StatementError::NotPrimary, StatementError::WrongEndpoint, StatementError::ConnectionLimit })
        CHECK(isPromise(error));
}
