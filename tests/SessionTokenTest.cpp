#include "cassiahollow/request/SessionToken.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace cassiahollow;

namespace {

const SessionKey oldKey { 1, "an old deployment key" };
const SessionKey newKey { 2, "a new deployment key!" };
const ServiceId returns("returns");

SessionState sampleState()
{
    SessionState state { returns, {} };
    recordWrite(state, GroupId("g1"), { 3, 41 });
    recordRead(state, GroupId("g1"), { 3, 44 });
    recordWrite(state, GroupId("g2"), { ~0ULL, ~0ULL });
    return state;
}

std::string encode(const SessionState& state, const SessionKeys& keys)
{
    return boost::leaf::try_handle_all(
        [&] { return encodeSessionToken(state, keys); }, []() -> std::string { return "failed"; });
}

// The reason for which a token is refused, or Count if it is accepted.
Reason refusal(std::string_view text, const SessionKeys& keys, const ServiceId& service = returns)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Reason> {
            BOOST_LEAF_CHECK(decodeSessionToken(text, keys, service));
            return Reason::Count;
        },
        [](const Failure& failure) { return failure.reason_; }, [] { return Reason::NotLeader; });
}

} // namespace

// Guards against a session that loses its positions when it moves to another instance.
TEST_CASE("a token carries the whole state")
{
    const auto text = encode(sampleState(), { newKey });
    REQUIRE(text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_")
        == std::string::npos);
    REQUIRE(decodeSessionToken(text, { newKey }, returns).value() == sampleState());
    REQUIRE(requiredPosition(sampleState(), GroupId("g1")) == LogPosition { 3, 44 });
    REQUIRE(requiredPosition(sampleState(), GroupId("g3")) == LogPosition {});
}

// Guards against a retried or late answer that takes the session's position back.
TEST_CASE("positions never go back")
{
    auto state = sampleState();
    recordWrite(state, GroupId("g1"), { 2, 99 });
    recordRead(state, GroupId("g1"), { 3, 43 });
    REQUIRE(state == sampleState());
}

// Guards against sessions that break off while keys are rotated.
TEST_CASE("tokens of an older key stay valid until the key is removed")
{
    const auto text = encode(sampleState(), { oldKey, newKey });
    REQUIRE(refusal(text, { newKey, oldKey }) == Reason::Count);
    REQUIRE(refusal(text, { newKey }) == Reason::SessionTokenInvalid);
    // The same id with another secret: another deployment.
    REQUIRE(refusal(text, { { oldKey.id_, newKey.secret_ } }) == Reason::SessionTokenInvalid);
}

// Guards against a token that reads another service's positions.
TEST_CASE("a token of another service is refused")
{
    const auto text = encode(sampleState(), { newKey });
    REQUIRE(refusal(text, { newKey }, ServiceId("bookings")) == Reason::SessionTokenInvalid);
}

// Guards against a changed token that is accepted, in any character and at any length.
TEST_CASE("every damaged token is refused")
{
    const auto text = encode(sampleState(), { newKey });
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (const char character : { 'A', 'B', '-', '_', '=', ' ', '\n', '\0', '\xff' }) {
            auto damaged = text;
            damaged[i] = character;
            if (damaged != text)
                REQUIRE(refusal(damaged, { newKey }) == Reason::SessionTokenInvalid);
        }
        REQUIRE(refusal(text.substr(0, i), { newKey }) == Reason::SessionTokenInvalid);
    }
    for (const auto* extra : { "A", "=", "==", " ", "\n", "AAAA" })
        REQUIRE(refusal(text + extra, { newKey }) == Reason::SessionTokenInvalid);
    std::mt19937 random(7);
    for (int i = 0; i < 20000; ++i) {
        std::string noise(random() % 200, '\0');
        for (auto& character : noise)
            character = static_cast<char>(random());
        REQUIRE(refusal(noise, { newKey }) == Reason::SessionTokenInvalid);
    }
}

// Guards against tokens without bound and against signing without a usable key.
TEST_CASE("oversized tokens and short secrets are refused")
{
    auto state = sampleState();
    for (int i = 0; i < 400; ++i)
        recordRead(state, GroupId("group-" + std::to_string(i)), { 1, 1 });
    REQUIRE(encode(state, { newKey }) == "failed");
    REQUIRE(refusal(std::string(maximumSessionTokenLength + 1, 'A'), { newKey }) == Reason::SessionTokenInvalid);
    REQUIRE(encode(sampleState(), {}) == "failed");
    REQUIRE(encode(sampleState(), { { 1, "short" } }) == "failed");
}
