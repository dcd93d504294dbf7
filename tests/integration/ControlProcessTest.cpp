#include "support/ControlDeployment.h"
#include "support/Waiting.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

using namespace cassiahollow::testing;
using namespace std::chrono_literals;

namespace {

using SteadyClock = std::chrono::steady_clock;

std::int64_t millisecondsSince(SteadyClock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - start).count();
}

// Ends a test that has failed anyway.
constexpr auto decisionLimit = 30s;

/// Sends a change, with the same key, through the instances in turn until the log has decided it. The outcome stays
/// "unknown" if that takes longer than the limit.
OperatorOutcome decidedChange(const ControlDeployment& deployment, const std::vector<std::size_t>& through,
    const std::string& key, std::uint64_t seen, std::chrono::milliseconds limit)
{
    OperatorOutcome outcome { "unknown", {}, {}, 0 };
    std::size_t tries = 0;
    waitUntil(
        [&] {
            outcome = deployment.change(through[tries++ % through.size()], key, seen, 4s);
            return outcome.outcome_ == "done" || outcome.reason_ == "settings_revision_conflict";
        },
        limit);
    return outcome;
}

/// Operators who change the settings through all instances without a pause, and a reader that checks that no instance
/// goes back to a lower revision.
class ChangeHistory {
public:
    ChangeHistory(const ControlDeployment& deployment, std::size_t writers)
        : deployment_(deployment)
        , highest_(deployment.size(), 0)
    {
        for (std::size_t writer = 0; writer < writers; ++writer)
            threads_.emplace_back([this, writer] { write(writer); });
        threads_.emplace_back([this] { watch(); });
    }

    ChangeHistory(const ChangeHistory&) = delete;
    ChangeHistory& operator=(const ChangeHistory&) = delete;
    ~ChangeHistory() { stop(); }

    void stop()
    {
        isStopping_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
    }

    std::size_t accepted() const
    {
        const std::lock_guard lock(mutex_);
        return accepted_.size();
    }

    /// Waits for changes that are accepted from now on.
    bool waitForChanges(std::size_t count) const
    {
        const auto before = accepted();
        return waitUntil([&] { return accepted() >= before + count; });
    }

    std::map<std::uint64_t, std::string> acceptedByRevision() const
    {
        const std::lock_guard lock(mutex_);
        return accepted_;
    }

    /// Keys that the log refused.
    std::vector<std::string> refused() const
    {
        const std::lock_guard lock(mutex_);
        return refused_;
    }

    /// Violations seen so far, one line each; empty if there are none.
    std::string violations() const
    {
        const std::lock_guard lock(mutex_);
        return violations_;
    }

    /// Tells that an instance loses its data folder, which has to happen while it is stopped.
    void loseDisk(std::size_t instance) { withoutDisk_ = instance; }

    std::size_t undecided() const { return undecided_; }
    std::size_t polls() const { return polls_; }

private:
    void write(std::size_t writer)
    {
        for (std::size_t number = 0; !isStopping_; ++number) {
            const auto key = "writer-" + std::to_string(writer) + "-" + std::to_string(number);
            std::vector<std::size_t> through;
            for (std::size_t i = 0; i < deployment_.size(); ++i)
                through.push_back((writer + number + i) % deployment_.size());
            const auto seen = newest_.load();
            const auto outcome = decidedChange(deployment_, through, key, seen, decisionLimit);
            const std::lock_guard lock(mutex_);
            if (outcome.outcome_ == "done") {
                if (!accepted_.emplace(outcome.revision_, key).second)
                    violations_ += "revision " + std::to_string(outcome.revision_) + " was given twice\n";
                raise(outcome.revision_);
            } else if (outcome.reason_ == "settings_revision_conflict") {
                refused_.push_back(key);
            } else {
                ++undecided_;
            }
        }
    }

    void watch()
    {
        while (!isStopping_) {
            for (std::size_t i = 0; i < deployment_.size(); ++i) {
                // An instance whose disk was lost may show start values until it is ready.
                const bool counts = i != withoutDisk_ || deployment_.isReady(i);
                const auto seen = deployment_.revision(i);
                if (!seen || !counts)
                    continue;
                ++polls_;
                const std::lock_guard lock(mutex_);
                if (*seen < highest_[i]) {
                    violations_ += "instance " + std::to_string(i + 1) + " went back from revision "
                        + std::to_string(highest_[i]) + " to " + std::to_string(*seen) + "\n";
                }
                highest_[i] = std::max(highest_[i], *seen);
                raise(*seen);
            }
        }
    }

    void raise(std::uint64_t revision)
    {
        auto newest = newest_.load();
        while (newest < revision && !newest_.compare_exchange_weak(newest, revision)) { }
    }

    const ControlDeployment& deployment_;
    mutable std::mutex mutex_;
    std::map<std::uint64_t, std::string> accepted_;
    std::vector<std::string> refused_;
    std::vector<std::uint64_t> highest_; ///< Per instance.
    std::string violations_;
    std::atomic<std::uint64_t> newest_ { 0 };
    std::atomic<std::size_t> undecided_ { 0 };
    std::atomic<std::size_t> polls_ { 0 };
    static constexpr std::size_t none = static_cast<std::size_t>(-1);
    std::atomic<std::size_t> withoutDisk_ { none };
    std::atomic<bool> isStopping_ { false };
    std::vector<std::thread> threads_;
};

/// Requires that all instances apply the same tree, with the trace of every accepted change and of no refused one.
void requireNothingLost(ControlDeployment& deployment, ChangeHistory& history)
{
    history.stop();
    INFO(deployment.logs());
    INFO(history.violations());
    REQUIRE(history.violations().empty());
    REQUIRE(history.undecided() == 0);
    const auto accepted = history.acceptedByRevision();
    REQUIRE(!accepted.empty());
    REQUIRE(waitUntil([&] { return deployment.isInForce(accepted.rbegin()->first); }));
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        const auto tree = deployment.settings(i);
        REQUIRE(tree);
        CAPTURE(i);
        REQUIRE(tree->value("revision", std::uint64_t(0)) == accepted.rbegin()->first);
        for (const auto& [revision, key] : accepted) {
            CAPTURE(revision, key);
            REQUIRE(ControlDeployment::contains(*tree, key));
        }
        for (const auto& key : history.refused()) {
            CAPTURE(key);
            REQUIRE(!ControlDeployment::contains(*tree, key));
        }
    }
}

} // namespace

// Guards against a change that reaches some instances too late or never (guarantee 9), at the sizes of today.
TEST_CASE("a change through an instance without control is in force everywhere within 8 s")
{
    const std::size_t instances = GENERATE(13, 17);
    ControlDeployment deployment(instances);
    REQUIRE(deployment.waitUntilReady());
    std::vector<std::int64_t> times;
    std::uint64_t seen = deployment.revision(instances - 1).value();
    for (int round = 0; round < 5; ++round) {
        CAPTURE(instances, round, seen);
        const auto through = instances - 1 - static_cast<std::size_t>(round);
        const auto start = SteadyClock::now();
        const auto outcome = deployment.change(through, "spread-" + std::to_string(round), seen);
        CAPTURE(outcome.reason_, outcome.detail_);
        REQUIRE(outcome.outcome_ == "done");
        REQUIRE(outcome.revision_ > seen);
        seen = outcome.revision_;
        REQUIRE(waitUntil([&] { return deployment.isInForce(seen); }));
        times.push_back(millisecondsSince(start));
        REQUIRE(times.back() <= 8000);
    }
    std::sort(times.begin(), times.end());
    std::cout << "change in force on " << instances << " instances after, in ms: shortest " << times.front()
              << ", median " << times[times.size() / 2] << ", longest " << times.back() << std::endl;
}

// Guards against two operators who both win a revision, and against a resend that runs a change twice or that gets
// another outcome than the first attempt.
TEST_CASE("of two changes of one revision exactly one wins and resends get the first outcome")
{
    constexpr int rounds = 20;
    ControlDeployment deployment(5);
    REQUIRE(deployment.waitUntilReady());
    std::uint64_t seen = deployment.revision(0).value();
    for (int round = 0; round < rounds; ++round) {
        const auto first = static_cast<std::size_t>(round) % deployment.size();
        const auto second = (first + 1 + static_cast<std::size_t>(round) / deployment.size()) % deployment.size();
        const auto name = std::to_string(round);
        CAPTURE(round, first, second, seen);
        auto other = std::async(std::launch::async,
            [&] { return decidedChange(deployment, { second }, "second-" + name, seen, decisionLimit); });
        const auto ofFirst = decidedChange(deployment, { first }, "first-" + name, seen, decisionLimit);
        const auto ofSecond = other.get();
        CAPTURE(ofFirst.outcome_, ofFirst.detail_, ofSecond.outcome_, ofSecond.detail_);
        REQUIRE((ofFirst.outcome_ == "done") != (ofSecond.outcome_ == "done"));
        const auto& winner = ofFirst.outcome_ == "done" ? ofFirst : ofSecond;
        const auto& loser = ofFirst.outcome_ == "done" ? ofSecond : ofFirst;
        REQUIRE(winner.revision_ == seen + 1);
        REQUIRE(loser.outcome_ == "not_run");
        REQUIRE(loser.reason_ == "settings_revision_conflict");
        for (const auto through : { first, second, (second + 1) % deployment.size() }) {
            CAPTURE(through);
            REQUIRE(decidedChange(deployment, { through }, "first-" + name, seen, decisionLimit) == ofFirst);
            REQUIRE(decidedChange(deployment, { through }, "second-" + name, seen, decisionLimit) == ofSecond);
        }
        seen = winner.revision_;
    }
    REQUIRE(waitUntil([&] { return deployment.isInForce(seen); }));
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        const auto tree = deployment.settings(i);
        REQUIRE(tree);
        REQUIRE(tree->value("revision", std::uint64_t(0)) == seen);
        for (int round = 0; round < rounds; ++round) {
            const auto name = std::to_string(round);
            CAPTURE(i, name);
            REQUIRE(ControlDeployment::contains(*tree, "first-" + name)
                != ControlDeployment::contains(*tree, "second-" + name));
        }
    }
}

// Guards against an accepted change that is lost with its leader, and against an instance that goes back to a lower
// revision, when the leader dies during changes and when it is frozen and then continues in an old term.
TEST_CASE("no accepted change is lost when the control leader is killed or frozen")
{
    ControlDeployment deployment(5);
    REQUIRE(deployment.waitUntilReady());
    ChangeHistory history(deployment, 4);
    std::string gaps;
    for (int kill = 0; kill < 2; ++kill) {
        CAPTURE(kill);
        REQUIRE(history.waitForChanges(5));
        std::optional<std::size_t> leader;
        REQUIRE(waitUntil([&] { return (leader = deployment.leader()).has_value(); }));
        deployment.instances()[*leader].process_->kill();
        const auto start = SteadyClock::now();
        REQUIRE(history.waitForChanges(1));
        gaps += " " + std::to_string(millisecondsSince(start));
        REQUIRE(history.waitForChanges(5));
        deployment.instances()[*leader].process_->restart();
        REQUIRE(waitUntil([&] { return deployment.isReady(*leader); }));
    }
    std::optional<std::size_t> frozen;
    REQUIRE(waitUntil([&] { return (frozen = deployment.leader()).has_value(); }));
    const auto before = history.accepted();
    deployment.instances()[*frozen].process_->stop();
    const auto start = SteadyClock::now();
    REQUIRE(waitUntil([&] { return SteadyClock::now() - start >= 5s; }));
    const auto whileFrozen = history.accepted() - before;
    deployment.instances()[*frozen].process_->resume();
    CHECK(whileFrozen > 0);
    REQUIRE(history.waitForChanges(10));
    requireNothingLost(deployment, history);
    std::cout << "control leader killed twice: next change accepted after, in ms:" << gaps
              << "; frozen for 5 s: " << whileFrozen << " changes accepted meanwhile; " << history.accepted()
              << " accepted and " << history.refused().size() << " refused changes all accounted for, "
              << history.polls() << " revisions polled" << std::endl;
}

// Guards against a restart that brings an old revision or the start values back after many changes.
TEST_CASE("the last accepted revision is in force again after a restart of all instances")
{
    constexpr int changes = 300;
    ControlDeployment deployment(5);
    REQUIRE(deployment.waitUntilReady());
    INFO(deployment.logs());
    std::uint64_t seen = deployment.revision(0).value();
    const auto changing = SteadyClock::now();
    for (int i = 0; i < changes; ++i) {
        const auto through = static_cast<std::size_t>(i) % deployment.size();
        const auto outcome = decidedChange(deployment, { through }, "change-" + std::to_string(i), seen, decisionLimit);
        CAPTURE(i, seen, outcome.reason_, outcome.detail_);
        REQUIRE(outcome.outcome_ == "done");
        REQUIRE(outcome.revision_ == seen + 1);
        seen = outcome.revision_;
    }
    const auto changed = millisecondsSince(changing);
    // The last change is accepted, but not every instance has to apply it before the kill. No instance may show less
    // than before; one without a data folder may fetch the settings of the member that is furthest behind.
    std::vector<std::uint64_t> floors;
    for (std::size_t i = 0; i < ControlDeployment::controlMembers; ++i) {
        const auto shown = deployment.revision(i);
        REQUIRE(shown);
        floors.push_back(*shown);
    }
    floors.resize(deployment.size(), *std::min_element(floors.begin(), floors.end()));
    for (auto& instance : deployment.instances())
        instance.process_->kill();
    const auto restarting = SteadyClock::now();
    for (auto& instance : deployment.instances())
        instance.process_->restart();
    std::string reverted;
    REQUIRE(waitUntil([&] {
        bool isInForce = true;
        for (std::size_t i = 0; i < deployment.size(); ++i) {
            // Without a data folder an instance fetches the settings before it reports ready.
            const bool counts = i < ControlDeployment::controlMembers || deployment.isReady(i);
            const auto after = deployment.revision(i);
            isInForce = isInForce && after == seen;
            if (counts && after && *after < floors[i] && reverted.empty())
                reverted = deployment.instances()[i].id_ + " shows revision " + std::to_string(*after) + " after "
                    + std::to_string(floors[i]);
        }
        return isInForce;
    }));
    const auto restarted = millisecondsSince(restarting);
    for (std::size_t i = 0; i < deployment.size(); ++i) {
        const auto tree = deployment.settings(i);
        REQUIRE(tree);
        REQUIRE(tree->value("revision", std::uint64_t(0)) == seen);
        for (int number = 0; number < changes; ++number) {
            CAPTURE(i, number);
            REQUIRE(ControlDeployment::contains(*tree, "change-" + std::to_string(number)));
        }
    }
    INFO(reverted);
    CHECK(reverted.empty());
    REQUIRE(deployment.waitUntilReady());
    const auto next = decidedChange(deployment, { 4 }, "after-restart", seen, decisionLimit);
    REQUIRE(next.outcome_ == "done");
    REQUIRE(next.revision_ == seen + 1);
    std::cout << changes << " changes took " << changed << " ms; revision " << seen
              << " was in force again on all 5 instances " << restarted << " ms after the restart of all" << std::endl;
}

// Guards against an admission of a member without its former disk that makes a majority of members who do not hold
// every accepted change: the loss of another member right after it would then lose changes.
TEST_CASE("no accepted change is lost when a member loses its disk and another one dies after the repair")
{
    ControlDeployment deployment(5);
    REQUIRE(deployment.waitUntilReady());
    ChangeHistory history(deployment, 2);
    REQUIRE(history.waitForChanges(10));
    std::optional<std::size_t> leader;
    REQUIRE(waitUntil([&] { return (leader = deployment.leader()).has_value(); }));
    const auto repaired = (*leader + 1) % ControlDeployment::controlMembers;
    auto& member = deployment.instances()[repaired];
    member.process_->kill();
    history.loseDisk(repaired);
    std::filesystem::remove_all(member.dataFolder_);
    REQUIRE(history.waitForChanges(5));
    member.process_->restart();
    const auto start = SteadyClock::now();
    // The former identity leaves first; the new one is added as a learner and votes once it has caught up.
    REQUIRE(waitUntil([&] { return deployment.changeMember(4, member.id_, false).outcome_ == "done"; }));
    OperatorOutcome added;
    const bool isAdded
        = waitUntil([&] { return (added = deployment.changeMember(4, member.id_, true)).outcome_ == "done"; });
    INFO(deployment.logs());
    CAPTURE(added.outcome_, added.reason_, added.detail_);
    REQUIRE(isAdded);
    const auto votes = [&](std::size_t asked) {
        const auto status = deployment.control(asked);
        if (!status)
            return false;
        const auto& members = status->at("members");
        return members.size() == ControlDeployment::controlMembers
            && std::all_of(
                members.begin(), members.end(), [](const auto& entry) { return entry.value("voter", false); });
    };
    REQUIRE(waitUntil([&] { return votes(0) && votes(1) && votes(2); }));
    const auto admitted = millisecondsSince(start);

    REQUIRE(waitUntil([&] { return (leader = deployment.leader()).has_value(); }));
    const auto killed = *leader == repaired ? (repaired + 1) % ControlDeployment::controlMembers : *leader;
    deployment.instances()[killed].process_->kill();
    const auto before = history.accepted();
    const auto killing = SteadyClock::now();
    REQUIRE(history.waitForChanges(1));
    const auto gap = millisecondsSince(killing);
    REQUIRE(history.waitForChanges(9));
    const auto afterKill = history.accepted() - before;
    deployment.instances()[killed].process_->restart();
    REQUIRE(waitUntil([&] { return deployment.isReady(killed); }));
    requireNothingLost(deployment, history);
    std::cout << "member without its disk: votes again " << admitted << " ms after its restart; another member killed: "
              << "next change accepted after " << gap << " ms, " << afterKill << " accepted before its restart; "
              << history.accepted() << " accepted and " << history.refused().size() << " refused changes accounted for"
              << std::endl;
}
