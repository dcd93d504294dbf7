#include "MembershipGroup.h"

#include "cassiahollow/process/MembershipCodec.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <google/protobuf/stubs/logging.h>

using namespace membershiptest;

namespace {

std::optional<MembershipMessage> decode(std::string_view bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<MembershipMessage>> {
            BOOST_LEAF_AUTO(message, decodeMembershipMessage(bytes));
            return std::optional(std::move(message));
        },
        [](const Failure& failure) -> std::optional<MembershipMessage> {
            CHECK(failure.reason_ == Reason::MessageMalformed);
            return std::nullopt;
        },
        []() -> std::optional<MembershipMessage> {
            FAIL("a failure without a reason");
            return std::nullopt;
        });
}

InstanceStatus statusOf(Group& group, std::size_t at, std::size_t of)
{
    return group.state(at).directory_.instances_.at(Group::idOf(of)).status_;
}

MembershipMessage sampleMessage()
{
    MembershipMessage message;
    message.kind_ = MembershipMessageKind::Repair;
    message.number_ = 77;
    message.sender_ = { InstanceId("i1"), "127.0.0.1:7001", DataCentre("dc1"), 3, 4, InstanceStatus::Leaving, true, 5 };
    message.target_ = InstanceId("i2");
    message.targetAddress_ = "127.0.0.1:7002";
    EndpointRecord endpoint { EndpointId("e"), GroupId("g"), "127.0.0.1:1", DataCentre("dc"), 2, 35,
        EndpointRole::Primary, 9, true, 1000, 7, true, true };
    message.records_ = { message.sender_, endpoint, DrainRecord { EndpointId("e"), 1000 },
        RouteRecord { GroupId("g"), 8, EndpointId("e") },
        GroupMembersRecord { GroupId("g"), 2, { EndpointId("e"), EndpointId("f") } } };
    message.appliedRevisions_ = { { 6, { 1, 2, 3 } } };
    message.digest_.assign(digestBuckets, 0xabcdef01U);
    message.incomplete_ = true;
    return message;
}

} // namespace

// Guards against an instance that never joins, or two halves that each know only their seed.
TEST_CASE("instances join through the seeds and agree")
{
    Group group(7, 6, 1);
    group.run(10s);
    REQUIRE(group.disagreement().empty());
    for (std::size_t i = 0; i < 7; ++i)
        REQUIRE(group.state(i).synced_);
    REQUIRE(group.violation_.empty());
}

// Guards against dead instances that keep holder roles: their endpoints would get no work.
TEST_CASE("a crashed instance is dead everywhere and its roles move")
{
    Group group(6, 6, 2);
    group.run(10s);
    group.crash(3);
    group.run(12s);
    REQUIRE(group.disagreement().empty());
    for (const auto& endpoint : group.endpoints_) {
        const auto holder = holderOf(group.state(0).holders_, endpoint.record_.id_);
        REQUIRE(holder);
        REQUIRE(*holder != Group::idOf(3));
        for (std::size_t i = 1; i < 6; ++i) {
            if (group.isUp(i))
                REQUIRE(holderOf(group.state(i).holders_, endpoint.record_.id_) == holder);
        }
    }
    group.start(3);
    group.run(5s);
    REQUIRE(group.disagreement().empty());
    REQUIRE(group.state(0).directory_.instances_.at(Group::idOf(3)).incarnation_ == 2);
}

// Guards against messages of the process before a restart that take effect after it.
TEST_CASE("messages of an older incarnation are dropped and reported")
{
    Group group(3, 0, 3);
    group.run(5s);
    auto old = sampleMessage();
    old.kind_ = MembershipMessageKind::Ping;
    old.sender_ = group.state(1).self_;
    old.records_ = { RouteRecord { GroupId("g"), 1, EndpointId("e") } };
    group.crash(1);
    group.start(1);
    group.run(3s);
    const auto actions = step(group.state(0), MembershipReceived { old }, group.now_);
    REQUIRE(!routeOf(group.state(0).directory_, GroupId("g")));
    bool reported = false;
    for (const auto& action : actions) {
        if (const auto* dropped = std::get_if<MembershipMessageDropped>(&action))
            reported = dropped->reason_ == Reason::MessageStaleIncarnation;
        // Other messages may be due by the timers.
        if (const auto* sent = std::get_if<SendMembershipMessage>(&action))
            REQUIRE(sent->message_.kind_ != MembershipMessageKind::Ack);
    }
    REQUIRE(reported);
}

// Guards against an instance that starts with a lower incarnation (clock set back) and is ignored for ever.
TEST_CASE("an instance whose incarnation is too low raises it")
{
    Group group(4, 0, 4);
    group.nodes_[2].incarnation_ = 50;
    group.crash(2);
    group.start(2);
    group.run(5s);
    group.crash(2);
    group.nodes_[2].incarnation_ = 7;
    group.run(8s);
    group.start(2);
    group.run(12s);
    REQUIRE(group.disagreement().empty());
    REQUIRE(group.state(2).self_.incarnation_ > 50);
}

// Guards against a leaving instance that is taken for failed, and against roles that stay with it.
TEST_CASE("a leaving instance is known as leaving at once")
{
    Group group(6, 6, 5);
    group.run(10s);
    group.handle(4, InstanceLeaveRequested {});
    group.run(500ms);
    for (std::size_t i = 0; i < 6; ++i) {
        REQUIRE(statusOf(group, i, 4) == InstanceStatus::Leaving);
        for (const auto& endpoint : group.endpoints_)
            REQUIRE(holderOf(group.state(i).holders_, endpoint.record_.id_) != Group::idOf(4));
    }
    group.crash(4);
    group.run(10s);
    REQUIRE(statusOf(group, 0, 4) == InstanceStatus::Leaving);
    group.start(4);
    group.run(5s);
    REQUIRE(group.disagreement().empty());
}

// Guards against a draining instance that gets new roles, and one that never gets them back.
TEST_CASE("a draining instance holds no endpoints")
{
    Group group(3, 6, 6);
    group.run(10s);
    REQUIRE(!group.state(1).holders_.held_.empty());
    group.handle(1, InstanceDrainRequested { true });
    group.run(500ms);
    for (std::size_t i = 0; i < 3; ++i) {
        REQUIRE(statusOf(group, i, 1) == InstanceStatus::Alive);
        REQUIRE(!group.state(i).holders_.dataCentres_.contains(Group::idOf(1)));
    }
    REQUIRE(group.state(1).holders_.held_.empty());
    group.handle(1, InstanceDrainRequested { false });
    group.run(500ms);
    REQUIRE(!group.state(1).holders_.held_.empty());
}

// Guards against two halves that stay apart for good after regions lost contact for an hour, and against settings or
// routes of one side that never reach the other.
TEST_CASE("both sides of a partition of an hour find each other again")
{
    Group group(6, 6, 7);
    group.run(10s);
    group.cutBetween({ 2, 5 }, true, true);
    group.run(60s);
    REQUIRE(statusOf(group, 0, 2) == InstanceStatus::Dead);
    REQUIRE(statusOf(group, 2, 0) == InstanceStatus::Dead);
    // The side that is cut off goes on with its own endpoints.
    REQUIRE(findEndpoint(group.state(2).directory_, EndpointId("e2")));
    REQUIRE(!findEndpoint(group.state(0).directory_, EndpointId("e2")));
    group.handle(2, RoutePublished { { GroupId("g0"), 4, EndpointId("e2") } });
    group.handle(0, SettingsApplied { 12, true });
    group.run(1h - 60s);
    // The holders inside must not lose their roles because the other side lets their endpoints expire.
    const auto since = holderSince(group.state(2).holders_, EndpointId("e2"));
    const auto otherSince = holderSince(group.state(5).holders_, EndpointId("e2"));
    REQUIRE(since.has_value() != otherSince.has_value());
    group.cut_.clear();
    group.run(30s);
    REQUIRE_THAT(group.disagreement(), Catch::Equals(""));
    REQUIRE(holderSince(group.state(2).holders_, EndpointId("e2")) == since);
    REQUIRE(holderSince(group.state(5).holders_, EndpointId("e2")) == otherSince);
    REQUIRE(routeOf(group.state(0).directory_, GroupId("g0"))->term_ == 4);
    for (std::size_t i = 0; i < 6; ++i)
        REQUIRE(group.state(i).self_.appliedRevision_ == 12);
}

// Guards against a frozen process that wakes up and declares all others dead or their endpoints expired.
TEST_CASE("a process that was frozen does not blame the others")
{
    Group group(5, 6, 8);
    group.run(10s);
    group.freeze(1, 20s);
    group.run(15s);
    REQUIRE(statusOf(group, 0, 1) == InstanceStatus::Dead);
    group.run(5s);
    for (int i = 0; i < 100; ++i) {
        group.run(100ms);
        for (std::size_t j = 0; j < 5; ++j) {
            if (j != 1)
                REQUIRE(statusOf(group, 0, j) == InstanceStatus::Alive);
        }
    }
    REQUIRE(group.disagreement().empty());
}

// Guards against a one-way cut between two instances that makes one of them dead although all others reach it.
TEST_CASE("a one-way cut between two instances is bridged by indirect probes")
{
    Group group(6, 0, 9);
    group.run(10s);
    group.cut_.insert({ 0, 1 });
    for (int i = 0; i < 60; ++i) {
        group.run(1s);
        REQUIRE(statusOf(group, 0, 1) != InstanceStatus::Dead);
        REQUIRE(statusOf(group, 1, 0) != InstanceStatus::Dead);
    }
}

// Guards against endpoints that stay listed after they died, and against announcements that arrive late and revive
// them.
TEST_CASE("an announcement expires after its lifetime and a newer one revives it")
{
    Group group(4, 3, 10);
    group.run(5s);
    auto& endpoint = group.endpoints_[1];
    endpoint.announces_ = false;
    const auto last = endpoint.record_;
    group.run(8s);
    REQUIRE(findEndpoint(group.state(0).directory_, last.id_));
    group.run(5s);
    REQUIRE(group.disagreement().empty());
    group.handle(0, EndpointAnnounced { last });
    REQUIRE(!findEndpoint(group.state(0).directory_, last.id_));
    endpoint.announces_ = true;
    group.run(5s);
    REQUIRE(group.disagreement().empty());
}

// Guards against endpoints that are lost because all instances of their data centre failed, although they announce
// themselves elsewhere, and against holders elsewhere that keep them afterwards.
TEST_CASE("endpoints without an instance in their data centre are held elsewhere")
{
    Group group(6, 6, 15);
    group.run(10s);
    group.crash(2);
    group.crash(5);
    const auto heldAt = [&](std::size_t at, const EndpointId& id) {
        REQUIRE(findEndpoint(group.state(at).directory_, id));
        const auto holder = holderOf(group.state(at).holders_, id);
        REQUIRE(holder);
        return group.state(at).directory_.instances_.at(*holder).dataCentre_;
    };
    group.run(60s);
    for (const std::size_t i : { 0, 1, 3, 4 })
        REQUIRE(heldAt(i, EndpointId("e2")) != Group::place(2));
    group.endpoints_[5].announces_ = false;
    group.run(15s);
    REQUIRE_THAT(group.disagreement(), Catch::Equals(""));
    group.start(2);
    group.run(20s);
    for (const std::size_t i : { 0, 1, 2, 3, 4 })
        REQUIRE(heldAt(i, EndpointId("e2")) == Group::place(2));
    REQUIRE_THAT(group.disagreement(), Catch::Equals(""));
}

// Guards against orders to drain that a later announcement of the same start cancels.
TEST_CASE("an endpoint drained by an operator stays so until it restarts")
{
    Group group(4, 3, 11);
    group.run(5s);
    group.handle(3, EndpointDrainRequested { EndpointId("e1") });
    group.run(4s);
    for (std::size_t i = 0; i < 4; ++i)
        REQUIRE(isLeaving(group.state(i).directory_, EndpointId("e1")));
    group.endpoints_[1].record_.started_ = 2000;
    group.run(4s);
    for (std::size_t i = 0; i < 4; ++i)
        REQUIRE(!isLeaving(group.state(i).directory_, EndpointId("e1")));
}

// Guards against operators who see an instance lag that does not, or the reverse.
TEST_CASE("the applied revision of every instance is known everywhere")
{
    Group group(7, 0, 12);
    group.run(10s);
    group.handle(0, SettingsApplied { 3, true });
    group.run(8s);
    for (std::size_t i = 0; i < 7; ++i) {
        REQUIRE(group.state(i).self_.appliedRevision_ == 3);
        REQUIRE(laggingInstances(group.state(i).directory_, 3).empty());
        REQUIRE(laggingInstances(group.state(i).directory_, 4).size() == 7);
    }
}

// Guards against a process that does not wake up in time, or that wakes up without end.
TEST_CASE("the next wakeup is after now and at most one probe interval away")
{
    Group group(5, 6, 13);
    for (int i = 0; i < 3000; ++i) {
        group.run(10ms);
        for (std::size_t j = 0; j < 5; ++j) {
            const auto next = nextWakeup(group.state(j));
            REQUIRE(next > group.state(j).lastStep_);
            REQUIRE(next <= group.state(j).lastStep_ + 1s);
        }
    }
}

// Guards against messages above the limit, which would let the cost of a node grow with the number of changes.
TEST_CASE("the records of a message stay within the limit")
{
    Group group(5, 60, 14);
    std::size_t largest = 0;
    group.fault_ = [&](Group&, std::size_t, std::size_t, MembershipMessage& message, std::vector<TimePoint>&) {
        std::size_t bound = 0;
        for (const auto& record : message.records_)
            bound += recordSizeBound(record);
        REQUIRE(bound <= 1200);
        largest = std::max(largest, encodeMembershipMessage(message).size());
    };
    group.run(20s);
    REQUIRE(group.disagreement().empty());
    // A repair has the records and a digest of 1 KB.
    REQUIRE(largest < 1200 + 1024 + 200);
}

// Guards against fields that are lost on the way, and against a size bound that is too low.
TEST_CASE("a message survives encoding and decoding")
{
    const auto message = sampleMessage();
    const auto decoded = decode(encodeMembershipMessage(message));
    REQUIRE(decoded);
    CHECK(decoded->kind_ == message.kind_);
    CHECK(decoded->sender_ == message.sender_);
    for (std::size_t i = 0; i < message.records_.size(); ++i)
        CHECK((decoded->records_.at(i) == message.records_[i]));
    CHECK((decoded->appliedRevisions_ == message.appliedRevisions_));
    CHECK(decoded->digest_ == message.digest_);
    REQUIRE((*decoded == message));

    std::mt19937_64 random(5);
    for (int i = 0; i < 2000; ++i) {
        const auto text = [&] { return std::string(1 + random() % 200, 'x'); };
        const auto number = [&] { return random() >> (random() % 63 + 1); };
        std::vector<Record> records {
            InstanceRecord { InstanceId(text()), text(), DataCentre(text()), number(), number(), InstanceStatus::Dead,
                true, number() },
            EndpointRecord { EndpointId(text()), GroupId(text()), text(), DataCentre(text()),
                static_cast<std::uint32_t>(number()), static_cast<std::uint32_t>(number()), EndpointRole::Primary,
                number(), true, number(), number(), true, true },
            DrainRecord { EndpointId(text()), number() },
            RouteRecord { GroupId(text()), number(), EndpointId(text()) },
            GroupMembersRecord { GroupId(text()), number(), { EndpointId(text()), EndpointId(text()) } },
        };
        MembershipMessage one;
        one.sender_ = message.sender_;
        const auto empty = encodeMembershipMessage(one).size();
        for (const auto& record : records) {
            one.records_ = { record };
            REQUIRE(encodeMembershipMessage(one).size() - empty <= recordSizeBound(record));
        }
    }
}

// Guards against a crash or a wrong value from bytes that are damaged, cut off or hostile.
TEST_CASE("malformed messages give an error")
{
    const google::protobuf::LogSilencer noLines;
    const auto bytes = encodeMembershipMessage(sampleMessage());
    REQUIRE(!decode(""));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        decode(std::string_view(bytes).substr(0, length));
    std::mt19937_64 random(6);
    for (int i = 0; i < 20000; ++i) {
        auto damaged = bytes;
        for (std::uint64_t n = 0; n <= random() % 3; ++n)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        decode(damaged);
    }
    const auto rejects = [](auto change) {
        auto message = sampleMessage();
        change(message);
        return !decode(encodeMembershipMessage(message));
    };
    REQUIRE(rejects([](auto& message) { message.sender_.id_ = {}; }));
    REQUIRE(rejects([](auto& message) { message.digest_.resize(5); }));
    REQUIRE(rejects([](auto& message) { message.kind_ = static_cast<MembershipMessageKind>(40); }));
    REQUIRE(rejects([](auto& message) { message.sender_.status_ = static_cast<InstanceStatus>(9); }));
    REQUIRE(rejects([](auto& message) { message.sender_.sequence_ = ~std::uint64_t { 0 }; }));
    REQUIRE(rejects([](auto& message) { message.sender_.address_.assign(300, 'x'); }));
    REQUIRE(rejects([](auto& message) {
        message.kind_ = MembershipMessageKind::Digest;
        message.digest_.clear();
    }));
    REQUIRE(rejects([](auto& message) {
        message.kind_ = MembershipMessageKind::PingRequest;
        message.target_ = {};
    }));
}
