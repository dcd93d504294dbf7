#include "cassiahollow/version/ControlLog.h"

#include "ControlSimulation.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

bool settle(ControlSimulation& simulation, Duration limit = 30s)
{
    return simulation.runUntil([&] { return simulation.isSettled(); }, limit);
}

ChangeOutcome outcomeOf(ControlSimulation& simulation, std::size_t request, Duration limit = 10s)
{
    simulation.runUntil([&] { return simulation.requests()[request].outcome_.has_value(); }, limit);
    return simulation.requests()[request].outcome_.value_or(ChangeOutcome { .detail_ = "no answer" });
}

std::string otherThan(const std::string& leader)
{
    return leader == "a" ? "b" : "a";
}

// One member alone, with a log of its own, for tests of single messages.
struct Alone {
    ControlLogState log_;

    explicit Alone(ControlStored stored = {}, ControlLogOptions options = {})
        : log_(startControlLog(
            InstanceId("a"), "a-1", { InstanceId("a"), InstanceId("b") }, {}, std::move(stored), options, 1, {}))
    {
    }

    std::vector<ControlAction> receive(Term term, decltype(ControlMessage::body_) body, TimePoint now = TimePoint(1h))
    {
        return step(log_, ControlMessage { "x", InstanceId("b"), "b-1", "a-1", term, std::move(body) }, now);
    }
};

template <typename Body> const Body* sent(const std::vector<ControlAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendAction>(&action)) {
            if (const auto* body = std::get_if<Body>(&send->message_.body_))
                return body;
        }
    }
    return nullptr;
}

} // namespace

// Guards against a first start that elects nobody, and start values that do not become revision 1.
TEST_CASE("listed members found a cluster and agree on the start values")
{
    for (const auto& instances :
        { std::vector<std::string> { "a" }, { "a", "b", "c" }, { "a", "b", "c", "d", "e", "f", "g" } }) {
        ControlSimulation simulation({ .instances_ = instances });
        REQUIRE(settle(simulation));
        CHECK(simulation.trees().size() == 1);
        CHECK(simulation.trees().begin()->first == 1);
        CHECK(simulation.violations().empty());
    }
}

// Guards against changes that only work at the leader.
TEST_CASE("every member takes changes and confirmed reads")
{
    ControlSimulation simulation({});
    REQUIRE(settle(simulation));
    std::uint64_t revision = 1;
    for (const auto* name : { "a", "b", "c" }) {
        const auto change
            = simulation.ask(name, deadlineChange(std::string("k-") + name, revision, static_cast<int>(revision) + 5));
        const auto outcome = outcomeOf(simulation, change);
        REQUIRE(outcome.outcome_ == Outcome::Done);
        REQUIRE(outcome.revision_ == ++revision);
        const auto read = simulation.ask(name, ControlRead {});
        REQUIRE(outcomeOf(simulation, read).outcome_ == Outcome::Done);
        REQUIRE(simulation.requests()[read].readRevision_ == revision);
    }
}

// Guards against both of two operators winning one revision, and against a resend that is run again.
TEST_CASE("racing changes have one winner, and a resend gets the first outcome")
{
    ControlSimulation simulation({});
    REQUIRE(settle(simulation));
    const auto first = simulation.ask("a", deadlineChange("alice", 1, 7));
    const auto second = simulation.ask("c", deadlineChange("bob", 1, 8));
    const auto one = outcomeOf(simulation, first);
    const auto two = outcomeOf(simulation, second);
    REQUIRE((one.outcome_ == Outcome::Done) != (two.outcome_ == Outcome::Done));
    const auto& loser = one.outcome_ == Outcome::Done ? two : one;
    CHECK(loser.reason_ == Reason::SettingsRevisionConflict);
    CHECK(loser.detail_.find(one.outcome_ == Outcome::Done ? "alice" : "bob") != std::string::npos);
    CHECK(outcomeOf(simulation, simulation.ask("b", deadlineChange("alice", 1, 7))) == one);
    CHECK(outcomeOf(simulation, simulation.ask("b", deadlineChange("bob", 1, 8))) == two);
}

// Guards against an isolated leader that answers reads from its old state, or confirms changes.
TEST_CASE("an isolated leader answers no read and steps down")
{
    ControlSimulation simulation({});
    REQUIRE(settle(simulation));
    const auto old = simulation.leader();
    simulation.isolate(old, true, true, 10s);
    const auto read = simulation.ask(old, ControlRead {});
    const auto change = simulation.ask(old, deadlineChange("lost", 1, 7));
    CHECK(outcomeOf(simulation, read).outcome_ == Outcome::NotRun);
    CHECK(outcomeOf(simulation, change).outcome_ == Outcome::Unknown);
    CHECK(simulation.now() - TimePoint() < 5s);
    CHECK(simulation.log(old).role_ != ControlRole::Leader);
    REQUIRE(simulation.runUntil([&] { return !simulation.leader().empty(); }, 3s));
    CHECK(outcomeOf(simulation, simulation.ask(old, ControlRead {})).reason_ == Reason::NoControlMajority);
}

// Guards against a member that raises its term while isolated and deposes the leader when it comes back.
TEST_CASE("a member that returns from long isolation does not force an election")
{
    ControlSimulation simulation({});
    REQUIRE(settle(simulation));
    const auto leader = simulation.leader();
    const auto term = simulation.log(leader).stored_.promise_.term_;
    simulation.isolate(otherThan(leader), true, true, 60s);
    simulation.runUntil(simulation.elapsed() + 70s);
    CHECK(simulation.leader() == leader);
    CHECK(simulation.log(leader).stored_.promise_.term_ == term);
}

// Guards against a log that grows without bound, and a member that cannot catch up after compaction.
TEST_CASE("hundreds of changes are compacted, and a member that was away gets a snapshot")
{
    ControlSimulation simulation({ .log_ = { .snapshotAfter_ = 100, .keptEntries_ = 20 } });
    REQUIRE(settle(simulation));
    const auto leader = simulation.leader();
    const auto away = otherThan(leader);
    simulation.isolate(away, true, true, 40s);
    for (std::uint64_t i = 1; i <= 500; ++i) {
        const auto change = simulation.ask(leader, deadlineChange("k" + std::to_string(i), i, int(i % 50) + 1));
        REQUIRE(outcomeOf(simulation, change).revision_ == i + 1);
    }
    CHECK(simulation.log(leader).stored_.entries_.size() < 200);
    simulation.heal();
    REQUIRE(settle(simulation));
    CHECK(simulation.log(away).control_ == simulation.log(leader).control_);
    // All at once restart: the state comes back from snapshots and entries.
    for (const auto* name : { "a", "b", "c" })
        simulation.crash(name, false, 1s);
    REQUIRE(settle(simulation));
    CHECK(simulation.log("a").control_.settings_.revision_ == 501);
    CHECK(outcomeOf(simulation, simulation.ask("b", deadlineChange("k7", 7, 7))).revision_ == 8);
    CHECK(simulation.violations().empty());
}

// Guards against a member with an empty disk that counts before it is admitted, and one that is never admitted.
TEST_CASE("a member with a lost disk is admitted again under a new identity")
{
    ControlSimulation simulation({});
    REQUIRE(settle(simulation));
    const auto leader = simulation.leader();
    const auto lost = otherThan(leader);
    const auto old = simulation.log(lost).identity_;
    REQUIRE(outcomeOf(simulation, simulation.ask(leader, deadlineChange("k", 1, 7))).outcome_ == Outcome::Done);
    simulation.crash(lost, true, 1s);
    REQUIRE(settle(simulation));
    CHECK(simulation.log(lost).identity_ != old);
    CHECK_FALSE(isVoter(*simulation.log(leader).configuration_, old));
    // The loss of another member right after it leaves a majority.
    simulation.crash(leader, true, 1s);
    REQUIRE(settle(simulation));
    CHECK(simulation.log(lost).control_.settings_.revision_ == 2);
    CHECK(simulation.violations().empty());
}

// Guards against two members with lost disks that found a second cluster and lose accepted changes.
TEST_CASE("members with lost disks do not found a second cluster")
{
    ControlSimulation simulation({});
    REQUIRE(settle(simulation));
    simulation.crash("a", true, 1s);
    simulation.crash("b", true, 1s);
    simulation.runUntil(simulation.elapsed() + 30s);
    CHECK_FALSE(simulation.log("a").configuration_);
    CHECK_FALSE(simulation.log("b").configuration_);
}

// Guards against membership changes by operators that do not finish, and a removed leader that goes on leading.
TEST_CASE("an operator adds and removes members")
{
    ControlSimulation simulation({ .instances_ = { "a", "b", "c" } });
    REQUIRE(settle(simulation));
    const auto leader = simulation.leader();
    const auto unknown = outcomeOf(simulation, simulation.ask(leader, ControlMemberChange { true, InstanceId("d") }));
    CHECK(unknown.outcome_ == Outcome::NotRun);
    const auto removal = simulation.ask(leader, ControlMemberChange { false, InstanceId(leader) });
    CHECK(outcomeOf(simulation, removal).outcome_ == Outcome::Done);
    simulation.runUntil(simulation.elapsed() + 5s);
    REQUIRE(!simulation.leader().empty());
    REQUIRE(simulation.leader() != leader);
    const auto addition = simulation.ask(simulation.leader(), ControlMemberChange { true, InstanceId(leader) });
    CHECK(outcomeOf(simulation, addition).outcome_ == Outcome::Done);
    REQUIRE(settle(simulation));
    CHECK(simulation.log("a").configuration_->members_.size() == 3);
}

// Guards against an answer that leaves before its promise or entries are on disk.
TEST_CASE("persist actions come before everything that depends on them")
{
    Alone member;
    const ControlEntry entry { { 3, 1 }, ControlConfiguration { "x", { { InstanceId("b"), "b-1", true } } } };
    for (const auto& actions : { member.receive(3, VoteRequest { { 2, 5 } }),
             member.receive(3, AppendRequest { {}, 0, 1, { entry } }, TimePoint(2h)) }) {
        REQUIRE(actions.size() == 2);
        CHECK(std::holds_alternative<PersistAction>(actions[0]));
        CHECK(std::holds_alternative<SendAction>(actions[1]));
    }
}

// Guards against two leaders of one term, and a candidate that lacks committed entries.
TEST_CASE("a vote is given once a term, and not to a shorter log")
{
    Alone member({ .entries_ = { { { 2, 1 }, EmptyEntry {} }, { { 2, 2 }, EmptyEntry {} } } });
    CHECK_FALSE(sent<VoteResponse>(member.receive(4, VoteRequest { { 2, 1 } }))->granted_);
    CHECK_FALSE(sent<VoteResponse>(member.receive(4, VoteRequest { { 1, 9 } }))->granted_);
    CHECK(sent<VoteResponse>(member.receive(4, VoteRequest { { 2, 2 } }))->granted_);
    CHECK(sent<VoteResponse>(member.receive(4, VoteRequest { { 3, 1 } }))->granted_); // The same candidate again.
    const ControlMessage other { "x", InstanceId("c"), "c-1", "a-1", 4, VoteRequest { { 3, 1 } } };
    CHECK_FALSE(sent<VoteResponse>(step(member.log_, other, TimePoint(1h)))->granted_);
}

// Guards against messages that reach a member by mistake or out of malice and change its log.
TEST_CASE("messages for another identity, with gaps, or against a commit are dropped")
{
    Alone member;
    const auto before = [&] { return std::pair(member.log_.dropped_, lastPosition(member.log_.stored_)); };
    const ControlMessage foreign { "x", InstanceId("b"), "b-1", "a-0", 9, VoteRequest { { 9, 9 } } };
    CHECK(step(member.log_, foreign, TimePoint(1h)).empty());
    member.receive(2, AppendRequest { {}, 1, 1, { { { 2, 1 }, EmptyEntry {} } } });
    REQUIRE(member.log_.commit_ == 1);
    CHECK(member.receive(3, AppendRequest { {}, 1, 1, { { { 3, 1 }, EmptyEntry {} } } }).empty());
    CHECK(member.receive(3, AppendRequest { { 2, 1 }, 1, 1, { { { 3, 3 }, EmptyEntry {} } } }).empty());
    CHECK(member.receive(3, AppendRequest { { 2, 1 }, 1, 1, { { { 9, 2 }, EmptyEntry {} } } }).empty());
    CHECK(member.receive(3, SnapshotRequest {}).empty());
    CHECK(before() == std::pair(std::uint64_t(5), LogPosition { 2, 1 }));
}

// Guards against a forwarded change that is told "not run" while a copy of the message was accepted.
TEST_CASE("an undecided refusal of a forwarded change is unknown")
{
    const auto refusal = undecidedOutcome(Outcome::NotRun, Reason::NotLeader, "");
    CHECK(forwardedOutcome(refusal).outcome_ == Outcome::Unknown);
    auto decided = refusal;
    decided.decided_ = true;
    CHECK(forwardedOutcome(decided).outcome_ == Outcome::NotRun);
}

// Guards against group member lists whose majorities do not overlap.
TEST_CASE("a group member list changes by one member")
{
    ControlState state;
    const auto change = [&](std::string key, std::uint64_t seen, std::vector<std::string> names) {
        GroupMembersChange command { GroupId("g"), seen, {} };
        for (auto& name : names)
            command.members_.emplace_back(std::move(name));
        return applyChange(state, { std::move(key), command });
    };
    CHECK(change("1", 0, { "e3", "e1", "e2" }).revision_ == 1);
    CHECK(change("2", 1, { "e1", "e2", "e4" }).reason_ == Reason::SettingsInvalid);
    CHECK(change("3", 1, { "e1", "e1", "e2" }).reason_ == Reason::SettingsInvalid);
    CHECK(change("4", 1, { "e1", "e2" }).revision_ == 2);
    CHECK(change("5", 1, { "e1", "e2", "e4" }).reason_ == Reason::SettingsRevisionConflict);
    CHECK(change("6", 2, { "e1", "e2", "e4" }).revision_ == 3);
    CHECK(change("4", 1, { "e1", "e2" }).revision_ == 2);
    CHECK(state.groups_.at(GroupId("g")).members_.size() == 3);
}

// Guards against keys that are forgotten too early, or kept without bound.
TEST_CASE("the last 10,000 keys are kept")
{
    ControlState state;
    for (std::size_t i = 0; i < maximumChangeKeys + 5; ++i)
        applyChange(state, deadlineChange("k" + std::to_string(i), i, 5));
    CHECK(state.outcomes_.size() == maximumChangeKeys);
    CHECK(state.keys_.size() == maximumChangeKeys);
    CHECK_FALSE(state.outcomes_.contains("k4"));
    CHECK(state.outcomes_.contains("k5"));
}
