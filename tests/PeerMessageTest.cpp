#include "cassiahollow/process/PeerMessage.h"

#include <catch2/catch.hpp>
#include <random>

using namespace cassiahollow;

namespace {

std::optional<Reason> refusalOf(std::string_view bytes, std::string_view key)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Reason>> {
            BOOST_LEAF_CHECK(decodePeerMessage(bytes, key));
            return std::optional<Reason>();
        },
        [](const Failure& failure) { return std::optional<Reason>(failure.reason_); },
        [] { return std::optional<Reason>(); });
}

PeerMessage sample()
{
    return { InstanceId("a"), 7, "127.0.0.1:1", PeerMessageKind::Group, "body" };
}

} // namespace

TEST_CASE("a message survives encoding and decoding")
{
    const auto message = decodePeerMessage(encodePeerMessage(sample(), "key"), "key");
    REQUIRE(message);
    REQUIRE(message->sender_ == InstanceId("a"));
    REQUIRE(message->incarnation_ == 7);
    REQUIRE(message->kind_ == PeerMessageKind::Group);
    REQUIRE(message->body_ == "body");
}

// Guards against instances of another deployment that reach this one.
TEST_CASE("a message under another key is refused")
{
    REQUIRE(refusalOf(encodePeerMessage(sample(), "key"), "other") == Reason::MessageUnauthentic);
}

// Guards against crashes and acceptance on damaged input.
TEST_CASE("a damaged message is refused at every byte")
{
    const std::string bytes = encodePeerMessage(sample(), "key");
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string damaged = bytes;
        damaged[i] ^= 1;
        REQUIRE(refusalOf(damaged, "key") == Reason::MessageUnauthentic);
        REQUIRE(refusalOf(bytes.substr(0, i), "key").has_value());
    }
}
