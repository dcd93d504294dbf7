#include "cassiahollow/version/GroupMessages.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace cassiahollow;

namespace {

/// The decoded vote, or nothing with the reason left in `reason`.
std::optional<GroupVote> decode(std::string_view bytes, Reason& reason)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<GroupVote>> {
            BOOST_LEAF_AUTO(vote, decodeGroupVote(bytes));
            return std::optional(vote);
        },
        [&](const Failure& failure) -> std::optional<GroupVote> {
            reason = failure.reason_;
            return {};
        },
        []() -> std::optional<GroupVote> { return {}; });
}

const GroupVote example { GroupId("g"), InstanceId("w1"), EndpointId("a"), 7, true, 9 };

} // namespace

// Guards against a field that is lost between watchers.
TEST_CASE("a vote survives encoding")
{
    auto reason = Reason::Count;
    const auto vote = decode(encodeGroupVote(example), reason);
    REQUIRE(vote);
    REQUIRE(vote->group_ == example.group_);
    REQUIRE(vote->voter_ == example.voter_);
    REQUIRE(vote->endpoint_ == example.endpoint_);
    REQUIRE(vote->term_ == 7);
    REQUIRE(vote->suspects_);
    REQUIRE(vote->highestPromised_ == 9);
}

// Guards against votes that cannot be counted for a group or a watcher.
TEST_CASE("a message without group or voter is malformed")
{
    for (const auto& vote : { GroupVote { {}, InstanceId("w1") }, GroupVote { GroupId("g"), {} } }) {
        auto reason = Reason::Count;
        REQUIRE_FALSE(decode(encodeGroupVote(vote), reason));
        REQUIRE(reason == Reason::MessageMalformed);
    }
    auto reason = Reason::Count;
    REQUIRE_FALSE(decode("", reason));
    REQUIRE(reason == Reason::MessageMalformed);
}

// Guards against a crash or an unnamed error on damaged bytes.
TEST_CASE("damaged bytes give an error or a vote, never a crash")
{
    std::mt19937 random(7);
    const auto good = encodeGroupVote(example);
    std::size_t refused = 0;
    for (int i = 0; i < 20000; ++i) {
        auto bytes = good;
        for (int change = 0; change <= i % 4; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        auto reason = Reason::Count;
        if (!decode(bytes, reason)) {
            ++refused;
            REQUIRE(reason == Reason::MessageMalformed);
        }
    }
    REQUIRE(refused > 0);
}
