#include "cassiahollow/version/ControlCodec.h"

#include "ControlSimulation.h"
#include "TestFailure.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;

namespace {

SettingsTree everyValue()
{
    return settingsFromYaml("deadline: 3s\nweight: 4\nurgent: true\nrepeat: forbidden\ngroup: g\n"
                            "services: {s: {classes: {c: {weight: 2}}}}")
        .value();
}

std::vector<ControlEntry> everyEntry()
{
    ControlChange odd { "k2",
        SettingsChange { 4,
            { { SettingsOperation::Kind::Unset, "/\xff\xfe", "weight", "" },
                { SettingsOperation::Kind::Set, "/", "group", std::string("\0\x80", 2) } } } };
    return { { { 1, 1 },
                 ControlConfiguration { "x", { { InstanceId("a"), "a-1", true }, { InstanceId("b"), "b", false } } } },
        { { 1, 2 }, StartSettings { everyValue() } }, { { 2, 3 }, EmptyEntry {} },
        { { 2, 4 }, deadlineChange("k1", 1, 9) }, { { 2, 5 }, std::move(odd) },
        { { 3, 6 },
            ControlChange { "k3", GroupMembersChange { GroupId("g"), 2, { EndpointId("e1"), EndpointId("e2") } } } } };
}

std::shared_ptr<const ControlSnapshot> snapshot()
{
    ControlSnapshot made { { 3, 9 }, { "x", { { InstanceId("a"), "a-1", true } } }, {} };
    made.state_.settings_ = everyValue();
    for (const auto& entry : everyEntry()) {
        if (const auto* change = std::get_if<ControlChange>(&entry.body_))
            applyChange(made.state_, *change);
    }
    made.state_.groups_[GroupId("g")] = { 3, { EndpointId("e1") } };
    return std::make_shared<const ControlSnapshot>(std::move(made));
}

std::vector<ControlMessage> everyMessage()
{
    std::vector<ControlMessage> messages;
    const auto add = [&](auto body) {
        messages.push_back({ "x", InstanceId("a"), "a-1", "b-1", messages.size() + 1, std::move(body) });
    };
    add(ControlHello { true, false, { InstanceId("a"), InstanceId("b") } });
    add(PreVoteRequest { { 2, 5 } });
    add(PreVoteResponse { true });
    add(VoteRequest { { 0, 0 } });
    add(VoteResponse { false });
    add(AppendRequest { { 1, 7 }, 5, 17, everyEntry() });
    add(SnapshotRequest { snapshot(), 18 });
    add(AppendResponse { true, 12, 18 });
    add(RequestMessage { 77, deadlineChange("k", 3, 9) });
    add(RequestMessage { 78, ControlMemberChange { true, InstanceId("d") } });
    add(RequestMessage { 79, ControlMemberChange { false, InstanceId("d"), true } });
    add(RequestMessage { 79, ControlRead {} });
    add(ResponseMessage { 77, undecidedOutcome(Outcome::NotRun, Reason::NotLeader, "the leader is b"), nullptr });
    add(ResponseMessage { 79, { .outcome_ = Outcome::Done, .revision_ = 3, .decided_ = true },
        std::make_shared<const SettingsTree>(everyValue()) });
    return messages;
}

} // namespace

// Guards against a field that is lost on the way to another member or to the disk.
TEST_CASE("messages, records and snapshots read back as they were written")
{
    for (const auto& message : everyMessage()) {
        const auto bytes = encodeControlMessage(message);
        const auto decoded = decodeControlMessage(bytes).value();
        REQUIRE(decoded.body_.index() == message.body_.index());
        CHECK(decoded.term_ == message.term_);
        CHECK(decoded.recipientIdentity_ == "b-1");
        CHECK(encodeControlMessage(decoded) == bytes);
    }
    const PersistAction action { .truncateFrom_ = 1, .entries_ = everyEntry(), .promise_ = ControlPromise { 4, "b" } };
    const auto record = decodeControlRecord(encodeControlRecord(action)).value();
    CHECK(record.entries_ == action.entries_);
    CHECK(record.truncateFrom_ == action.truncateFrom_);
    CHECK(record.promise_ == action.promise_);
    CHECK(*decodeControlSnapshot(encodeControlSnapshot(*snapshot())).value() == *snapshot());
    CHECK(decodeSettings(encodeSettings(everyValue())).value() == everyValue());
}

// Guards against a crash from bytes of other machines.
TEST_CASE("damaged messages give an error or a message that the log survives")
{
    std::mt19937_64 random(11);
    std::size_t refused = 0;
    for (const auto& message : everyMessage()) {
        const auto bytes = encodeControlMessage(message);
        for (int i = 0; i < 3000; ++i) {
            auto damaged = bytes;
            for (auto changes = 1 + random() % 4; changes > 0; --changes)
                damaged[random() % damaged.size()] = static_cast<char>(random());
            if (random() % 4 == 0)
                damaged.resize(random() % damaged.size());
            const auto decoded = decodeControlMessage(damaged);
            if (!decoded) {
                ++refused;
                continue;
            }
            auto log = startControlLog(InstanceId("b"), "b-1", { InstanceId("a"), InstanceId("b") }, {}, {}, {}, 1, {});
            const auto now = TimePoint() + std::chrono::hours(1);
            step(log, *decoded, now);
            step(log, *decoded, now);
            step(log, ControlTick {}, now + std::chrono::seconds(2));
        }
    }
    CHECK(refused > 1000);
    CHECK(failureOf([] { return decodeControlMessage(""); })->reason_ == Reason::MessageMalformed);
}
