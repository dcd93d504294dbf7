#include "ControlSimulation.h"
#include "TestFailure.h"
#include "cassiahollow/version/ControlCodec.h"
#include "cassiahollow/version/ControlLog.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

// What the control log does for the roles of the line protocol: catalogs, grants, and members that come and go.

namespace {

ControlChange catalogChange(std::uint64_t version, const std::string& document)
{
    return { "catalog-" + std::to_string(version) + "-" + std::to_string(document.size()),
        CatalogChange { { version, document } } };
}

ControlChange grantChange(const std::string& key, const std::string& holder = "a")
{
    return { key, GrantChange { GroupId("returns"), EndpointId("i-1"), InstanceId(holder) } };
}

ChangeOutcome ask(ControlSimulation& simulation, const std::string& name, ControlRequest request)
{
    const auto number = simulation.ask(name, std::move(request));
    simulation.runUntil([&] { return simulation.requests()[number].outcome_.has_value(); }, 10s);
    return simulation.requests()[number].outcome_.value_or(ChangeOutcome {});
}

// Members by hand, for memberships that the simulation does not know.
struct Members {
    std::map<InstanceId, ControlLogState> logs_;
    std::set<InstanceId> silent_;
    TimePoint now_ { 1h };
    ControlLogOptions options_;
    std::vector<InstanceId> listed_ { InstanceId("a"), InstanceId("b"), InstanceId("c") };
    int starts_ { 0 };
    std::vector<SendAction> mail_;
    std::vector<ResponseAction> answers_;
    std::vector<CatalogCommittedAction> committed_;
    std::size_t committedAtAnswer_ { 0 }; // Reports before the last answer.

    Members() { options_.admitsUnlisted_ = true; }

    void start(const std::string& name, bool mayFound)
    {
        auto options = options_;
        options.mayFound_ = mayFound;
        const auto number = ++starts_;
        logs_[InstanceId(name)] = startControlLog(InstanceId(name), name + "-" + std::to_string(number), listed_, {},
            {}, options, static_cast<std::uint64_t>(number), now_);
    }

    void take(const std::vector<ControlAction>& actions)
    {
        for (const auto& action : actions) {
            if (const auto* send = std::get_if<SendAction>(&action))
                mail_.push_back(*send);
            else if (const auto* answer = std::get_if<ResponseAction>(&action))
                answers_.push_back(*answer);
            else if (const auto* report = std::get_if<CatalogCommittedAction>(&action))
                committed_.push_back(*report);
            if (std::holds_alternative<ResponseAction>(action))
                committedAtAnswer_ = committed_.size();
        }
    }

    void ask(const std::string& name, std::uint64_t token, ControlRequest request)
    {
        take(step(logs_.at(InstanceId(name)), LocalRequest { token, std::move(request) }, now_));
    }

    std::string leader() const
    {
        for (const auto& [name, log] : logs_) {
            if (log.role_ == ControlRole::Leader && !silent_.contains(name))
                return name.value_;
        }
        return {};
    }

    void run(Duration time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += 10ms) {
            const auto arrived = std::exchange(mail_, {});
            for (const auto& message : arrived) {
                const auto recipient = logs_.find(message.recipient_);
                if (recipient != logs_.end() && !silent_.contains(message.recipient_)
                    && !silent_.contains(message.message_.sender_))
                    take(step(recipient->second, message.message_, now_));
            }
            for (auto& [name, log] : logs_) {
                if (!silent_.contains(name))
                    take(step(log, ControlTick {}, now_));
            }
        }
    }

    std::set<std::string> voters() const
    {
        for (const auto& [name, log] : logs_) {
            if (log.role_ != ControlRole::Leader || silent_.contains(name))
                continue;
            std::set<std::string> names;
            for (const auto& member : log.configuration_->members_) {
                if (member.voter_)
                    names.insert(member.instance_.value_);
            }
            return names;
        }
        return {};
    }
};

} // namespace

// Guards against an older catalog replacing a newer one, and against a refusal of one that was overtaken.
TEST_CASE("the highest version is in force, and older ones are acknowledged without effect")
{
    ControlState state;
    CHECK(applyChange(state, catalogChange(5, "five")).outcome_ == Outcome::Done);
    CHECK(applyChange(state, catalogChange(3, "three")).outcome_ == Outcome::Done);
    CHECK(applyChange(state, catalogChange(5, "another")).outcome_ == Outcome::Done);
    CHECK(state.catalog_ == CatalogDocument { 5, "five" });
    CHECK(applyChange(state, catalogChange(9, "nine")).revision_ == 9);
    CHECK(state.catalog_ == CatalogDocument { 9, "nine" });
}

// Guards against two holders with one fence.
TEST_CASE("each grant of a group has a higher fence")
{
    ControlState state;
    CHECK(applyChange(state, grantChange("1")).revision_ == 1);
    CHECK(applyChange(state, grantChange("2", "b")).revision_ == 2);
    CHECK(applyChange(state, grantChange("2", "b")).revision_ == 2); // A repeated request gets its first answer.
    CHECK(applyChange(state, grantChange("3")).revision_ == 3);
    CHECK(state.grants_.at(GroupId("returns")).holder_ == InstanceId("a"));
}

TEST_CASE("malformed catalogs and grants are refused before they enter the log")
{
    CHECK(failureOf([] { return checkChange(catalogChange(0, "x")); }));
    CHECK(failureOf([] { return checkChange(catalogChange(1, std::string(600 * 1024, 'x'))); }));
    CHECK(failureOf([] {
        return checkChange({ "k", GrantChange { GroupId(""), EndpointId("i"), InstanceId("a") } });
    }));
    CHECK_FALSE(failureOf([] { return checkChange(catalogChange(1, "x")); }));
    CHECK_FALSE(failureOf([] { return checkChange(grantChange("1")); }));
}

// Guards against an acknowledged catalog that a crash, a snapshot or a lost disk takes away.
TEST_CASE("an acknowledged catalog and its grants survive crashes, snapshots and a lost disk")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        ControlSimulation::Options options;
        options.seed_ = seed;
        options.log_.snapshotAfter_ = 4;
        options.log_.keptEntries_ = 1;
        ControlSimulation simulation(options);
        std::uint64_t version = 0;
        for (int i = 1; i <= 12; ++i) {
            const auto name = simulation.instances()[static_cast<std::size_t>(i) % 3];
            if (ask(simulation, name, catalogChange(static_cast<std::uint64_t>(i), "document")).outcome_
                == Outcome::Done)
                version = static_cast<std::uint64_t>(i);
            ask(simulation, name, grantChange("grant-" + std::to_string(i)));
            if (i % 4 == 0) {
                simulation.crash(simulation.leader().empty() ? "a" : simulation.leader(), i == 8, 500ms);
                simulation.runUntil([&] { return simulation.isSettled(); }, 30s);
            }
        }
        REQUIRE(version > 0);
        REQUIRE(simulation.runUntil([&] { return simulation.isSettled(); }, 30s));
        for (const auto& name : simulation.instances())
            CHECK(simulation.log(name).control_.catalog_.version_ >= version);
        const auto read = ask(simulation, "b", ControlRead {});
        CHECK(read.outcome_ == Outcome::Done);
        CHECK(read.catalogVersion_ >= version);
    }
}

TEST_CASE("catalogs and grants pass through the codec")
{
    ControlMessage message { "x", InstanceId("a"), "a-1", "b-1", 3, {} };
    AppendRequest append { .previous_ = { 2, 7 } };
    append.entries_.push_back({ { 3, 8 }, catalogChange(4, std::string("any\0bytes", 9)) });
    append.entries_.push_back({ { 3, 9 }, grantChange("g") });
    message.body_ = append;
    std::optional<ControlMessage> decoded;
    REQUIRE_FALSE(failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(decoded, decodeControlMessage(encodeControlMessage(message)));
        return {};
    }));
    CHECK(std::get<AppendRequest>(decoded->body_).entries_ == append.entries_);

    auto snapshot = std::make_shared<ControlSnapshot>();
    snapshot->last_ = { 3, 9 };
    snapshot->configuration_ = { "x", { { InstanceId("a"), "a-1", true } } };
    applyChange(snapshot->state_, catalogChange(4, "document"));
    applyChange(snapshot->state_, grantChange("g"));
    message.body_ = SnapshotRequest { snapshot, 2 };
    REQUIRE_FALSE(failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(decoded, decodeControlMessage(encodeControlMessage(message)));
        return {};
    }));
    CHECK(*std::get<SnapshotRequest>(decoded->body_).snapshot_ == *snapshot);
}

// Guards against a restarted member with an empty disk that founds a second cluster.
TEST_CASE("a member that may not found waits to be admitted")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, false);
    members.run(10s);
    CHECK(members.voters().empty());
}

// Guards against a deployment that stays at the members of its first second.
TEST_CASE("a member that nobody listed is admitted and gets its vote")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    members.start("d", true);
    members.run(5s);
    CHECK(members.voters() == std::set<std::string> { "a", "b", "c", "d" });
}

// Guards against a member that stays outside because its seeds are followers, or were replaced themselves.
TEST_CASE("a member is admitted whose seeds do not lead")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    members.run(5s);
    const auto leader = members.leader();
    const auto* follower = leader == "a" ? "b" : "a";
    members.listed_ = { InstanceId("gone"), InstanceId(follower) };
    members.start("d", false);
    members.run(2s);
    CHECK(members.voters().contains("d"));
    // New seeds of a running member.
    members.listed_ = { InstanceId("gone") };
    members.start("e", false);
    members.run(2s);
    CHECK_FALSE(members.voters().contains("e"));
    members.take(step(members.logs_.at(InstanceId("e")), ControlSeeds { { InstanceId(follower) } }, members.now_));
    members.run(2s);
    CHECK(members.voters().contains("e"));
}

// Guards against a configuration that fills with members that are gone: the leader sends to them, and hellos name them.
TEST_CASE("a learner that is gone is removed, and one that is there stays")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    members.run(5s);
    for (const auto* name : { "d", "e", "f", "g", "h", "i" })
        members.start(name, false);
    members.run(5s);
    REQUIRE(members.voters().size() == maximumControlVoters);
    std::set<std::string> learners;
    for (const auto* name : { "d", "e", "f", "g", "h", "i" }) {
        if (!members.voters().contains(name))
            learners.insert(name);
    }
    REQUIRE(learners.size() == 2);
    const auto gone = *learners.begin();
    members.logs_.erase(InstanceId(gone));
    members.run(members.options_.removeUnreachableAfter_ + 2s);
    std::set<std::string> left;
    for (const auto& member : members.logs_.at(InstanceId("a")).configuration_->members_) {
        if (!member.voter_)
            left.insert(member.instance_.value_);
    }
    CHECK(left == std::set<std::string> { *learners.rbegin() });
}

// Guards against a machine that is gone for good counting for the majority for ever: the next loss would stop control.
TEST_CASE("a machine that is replaced by another loses its vote, and the next loss is borne")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    members.run(5s);
    members.logs_.erase(InstanceId("c"));
    members.run(2s);
    members.start("e", false);
    members.run(members.options_.removeUnreachableAfter_ + 10s);
    CHECK(members.voters() == std::set<std::string> { "a", "b", "e" });
    members.silent_.insert(InstanceId("a"));
    members.run(5s);
    CHECK_FALSE(members.voters().empty());
}

// Guards against a successor that becomes a voter beside the member that it replaces: until that one is removed, the
// loss of one disk leaves no majority.
TEST_CASE("a replaced member is removed within the catch-up time of its successor")
{
    constexpr auto catchUpTime = 4s;
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    members.run(5s);
    members.logs_.erase(InstanceId("c"));
    members.run(300ms);
    members.start("e", false);
    members.run(catchUpTime);
    CHECK(members.voters() == std::set<std::string> { "a", "b", "e" });
}

// Guards against a member that stops for good just before the next loss, and against stops that use up the tolerance.
TEST_CASE("a member that stops leaves the voters if the others bear a loss")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    members.start("d", true);
    members.run(5s);
    REQUIRE(members.voters().size() == 4);
    const auto depart = [&](const std::string& name) {
        members.answers_.clear();
        const InstanceId instance(name);
        members.take(step(members.logs_.at(instance), LocalRequest { 1, ControlMemberChange { false, instance, true } },
            members.now_));
        members.run(100ms);
        REQUIRE(members.answers_.size() == 1);
        return members.answers_[0].outcome_;
    };
    const auto leader = members.leader();
    CHECK(depart(leader).outcome_ == Outcome::Done);
    members.logs_.erase(InstanceId(leader));
    members.run(2s);
    CHECK(members.voters().size() == 3);
    CHECK_FALSE(members.voters().contains(leader));
    const auto refused = depart(members.leader());
    CHECK(refused.outcome_ == Outcome::NotRun);
    CHECK(refused.reason_ == Reason::NoControlMajority);
    CHECK(members.voters().size() == 3);
    // Restarted, it votes again.
    members.start(leader, false);
    members.run(2s);
    CHECK(members.voters().size() == 4);
}

// Guards against the removal of a member that is away for a moment in place of one that is gone.
TEST_CASE("the member that was silent for longer is removed first")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    for (const auto* name : { "d", "e" })
        members.start(name, true);
    members.run(5s);
    const auto leader = members.leader();
    REQUIRE(leader != "e");
    members.silent_.insert(InstanceId("e"));
    members.run(members.options_.removeUnreachableAfter_ / 2);
    REQUIRE(members.voters().size() == 5);
    const std::string other = leader == "b" ? "c" : "b";
    members.silent_.insert(InstanceId(other));
    while (members.voters().size() == 5)
        members.run(10ms);
    CHECK_FALSE(members.voters().contains("e"));
    CHECK(members.voters().contains(other));
}

// Guards against a removal that leaves too few members, and against one because of a short silence.
TEST_CASE("silent members keep their votes while the others are few, or the silence is short")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    for (const auto* name : { "d", "e" })
        members.start(name, true);
    members.run(5s);
    REQUIRE(members.voters().size() == 5);
    // Four of five bear another loss.
    members.silent_.insert(InstanceId("e"));
    members.run(members.options_.removeUnreachableAfter_ - 2s);
    CHECK(members.voters().size() == 5);
    members.run(5s);
    CHECK(members.voters() == std::set<std::string> { "a", "b", "c", "d" });
    // Three of four do not.
    members.silent_.insert(InstanceId("d"));
    members.run(members.options_.restoreToleranceAfter_ - 200ms);
    CHECK(members.voters().size() == 4);
    members.run(1s);
    CHECK(members.voters() == std::set<std::string> { "a", "b", "c" });
    members.silent_.insert(InstanceId("c"));
    members.run(20s);
    CHECK(members.voters().size() == 3);
    // The ones that were removed while they were away come back.
    members.silent_.clear();
    members.run(10s);
    CHECK(members.voters().size() == 5);
}

// Guards against configurations in which a majority can be lost with all its disks.
TEST_CASE("as many voters remain as two losses at once require")
{
    Members members;
    members.options_.toleratedLosses_ = 2;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    for (const auto* name : { "d", "e", "f" })
        members.start(name, true);
    members.run(5s);
    REQUIRE(members.voters().size() == 6);
    members.silent_.insert(InstanceId("f"));
    members.run(3s);
    CHECK(members.voters().size() == 5);
    members.silent_.insert(InstanceId("e"));
    members.run(20s);
    CHECK(members.voters().size() == 5);
}

// Guards against a slow start: all members that lose power together have to elect within the callers' patience.
TEST_CASE("members that start together elect within an election time-out")
{
    for (int seed = 0; seed < 20; ++seed) {
        Members members;
        members.starts_ = seed * 10;
        for (const auto* name : { "a", "b", "c" })
            members.start(name, true);
        members.run(3s);
        REQUIRE_FALSE(members.voters().empty());
        for (const auto* name : { "a", "b", "c" }) {
            auto& log = members.logs_.at(InstanceId(name));
            log = startControlLog(InstanceId(name), log.identity_, members.listed_, {}, log.stored_, members.options_,
                static_cast<std::uint64_t>(seed * 7 + name[0]), members.now_);
        }
        CHECK(members.voters().empty());
        members.run(2 * members.options_.electionTimeout_);
        CHECK_FALSE(members.voters().empty());
    }
}

// Guards against a change that waits for a frozen leader until its time is over: the next leader decides it, within the
// longest election and a few heartbeats.
TEST_CASE("a change that was forwarded to a leader that freezes is decided by the next one")
{
    for (int seed = 0; seed < 20; ++seed) {
        INFO("seed " << seed);
        Members members;
        members.starts_ = seed * 10;
        for (const auto* name : { "a", "b", "c" })
            members.start(name, true);
        members.run(3s);
        const auto leader = members.leader();
        REQUIRE_FALSE(leader.empty());
        const InstanceId asked(leader == "a" ? "b" : "a");
        members.silent_.insert(InstanceId(leader));
        members.answers_.clear();
        members.take(step(members.logs_.at(asked), LocalRequest { 7, catalogChange(5, "five") }, members.now_));
        // At rest the next change is decided within a second of the leader's loss.
        members.run(1s);
        REQUIRE(members.answers_.size() == 1);
        CHECK(members.answers_[0].outcome_.outcome_ == Outcome::Done);
        CHECK(members.logs_.at(asked).control_.catalog_.version_ == 5);
    }
}

// Guards against an acknowledged catalog of which nobody can tell afterwards on which disks it was.
TEST_CASE("the leader reports the members that had an acknowledged catalog synced")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    members.run(3s);
    const auto leader = members.leader();
    REQUIRE_FALSE(leader.empty());
    const std::string silent = leader == "a" ? "b" : "a";
    const std::string other = leader == "c" ? "b" : "c";
    members.silent_.insert(InstanceId(silent));
    // The change is forwarded: the report is the leader's all the same.
    const auto asked = other == silent ? leader : other;
    members.ask(asked, 7, catalogChange(5, "five"));
    members.run(500ms);
    REQUIRE(members.answers_.size() == 1);
    CHECK(members.answers_[0].outcome_.outcome_ == Outcome::Done);
    CHECK(members.committedAtAnswer_ == 1);
    REQUIRE(members.committed_.size() == 1);
    const auto& report = members.committed_[0];
    CHECK(report.version_ == 5);
    CHECK(report.position_.index_ > 0);
    CHECK(report.synced_.size() == 2);
    REQUIRE(report.unsynced_.size() == 1);
    CHECK(report.unsynced_[0].instance_.value_ == silent);
}

// Guards against a refused read whose cause is not known.
TEST_CASE("a read that a leader without a majority refuses names the cause")
{
    Members members;
    for (const auto* name : { "a", "b", "c" })
        members.start(name, true);
    members.run(3s);
    const auto leader = members.leader();
    REQUIRE_FALSE(leader.empty());
    for (const auto* name : { "a", "b", "c" }) {
        if (name != leader)
            members.silent_.insert(InstanceId(name));
    }
    members.ask(leader, 8, ControlRead {});
    members.run(2s);
    REQUIRE(members.answers_.size() == 1);
    CHECK(members.answers_[0].outcome_.outcome_ == Outcome::NotRun);
    CHECK(members.answers_[0].outcome_.detail_ == "the leader lost its majority before the read was confirmed");
}

// Guards against a record of a start that names another version than the disk held.
TEST_CASE("the contents of the files name the newest catalog of the snapshot and of the entries")
{
    CHECK(contentsOf({}) == ControlContents {});
    const ControlConfiguration configuration { "x", { { InstanceId("a"), "a-1", true } } };
    ControlSnapshot snapshot { { 2, 3 }, configuration, {} };
    snapshot.state_.catalog_ = { 4, "four" };
    ControlStored stored { { 6, "a-1" }, std::make_shared<const ControlSnapshot>(snapshot), {} };
    CHECK(contentsOf(stored) == ControlContents { 6, { 2, 3 }, 3, 4, 4, configuration.members_ });
    stored.entries_ = { { { 5, 4 }, catalogChange(7, "seven") }, { { 5, 5 }, catalogChange(6, "six") } };
    CHECK(contentsOf(stored) == ControlContents { 6, { 5, 5 }, 3, 4, 7, configuration.members_ });
}
