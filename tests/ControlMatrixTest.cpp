// The fault matrix of the control log: every fault at every step of each scenario, once, and in seeded pairs.
// After each run the guarantees are checked over everything that operators were told and all members applied.

#include "ControlSimulation.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>

using namespace cassiahollow;
using namespace std::chrono_literals;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Sanitizers slow the runs down about tenfold; every sixteenth step keeps the program within its time.
constexpr std::size_t thinning = 16;
#else
constexpr std::size_t thinning = 1;
#endif

namespace {

// An operator who reads the settings and changes them, again and again, and resends a change whose fate is unknown
// through the next member, with the same key.
struct Operator {
    std::string name_;
    std::size_t member_; // where to ask first
    int changes_; // still to do
    int made_ { 0 };
    std::uint64_t seen_ { 0 };
    bool isChanging_ { false };
    int attempts_ { 0 };
    std::optional<std::size_t> request_;
    TimePoint asked_;
};

class Operators {
public:
    Operators(ControlSimulation& simulation, std::vector<std::string> members)
        : simulation_(simulation)
        , members_(std::move(members))
    {
    }

    void add(std::string name, std::size_t member, int changes)
    {
        all_.push_back({ std::move(name), member, changes });
    }

    void start(Duration time)
    {
        simulation_.at(time, [this] { poll(); });
    }
    void stop() { isStopped_ = true; }
    bool areDone() const
    {
        return std::all_of(all_.begin(), all_.end(), [](const Operator& one) { return one.changes_ == 0; });
    }

private:
    void poll()
    {
        if (isStopped_ || areDone())
            return;
        for (auto& one : all_) {
            if (one.changes_ > 0)
                advance(one);
        }
        simulation_.at(simulation_.elapsed() + 100ms, [this] { poll(); });
    }

    void advance(Operator& one)
    {
        if (one.request_) {
            const auto& request = simulation_.requests()[*one.request_];
            if (!request.outcome_ && simulation_.now() - one.asked_ < 4s)
                return;
            const auto outcome = request.outcome_.value_or(ChangeOutcome {});
            if (!one.isChanging_ && outcome.outcome_ == Outcome::Done) {
                one.seen_ = request.readRevision_;
                one.isChanging_ = true;
                one.attempts_ = 0;
                ++one.made_;
            } else if (one.isChanging_) {
                // "Not run" ends a change that was sent once. After a resend only the log's decision does.
                const bool isOver = outcome.decided_ || (outcome.outcome_ == Outcome::NotRun && one.attempts_ == 1);
                if (isOver) {
                    one.isChanging_ = false;
                    if (--one.changes_ == 0)
                        return;
                } else {
                    ++one.member_;
                }
            } else {
                ++one.member_;
            }
        }
        const auto& member = members_[one.member_ % members_.size()];
        one.asked_ = simulation_.now();
        ++one.attempts_;
        if (!one.isChanging_) {
            one.request_ = simulation_.ask(member, ControlRead {});
            return;
        }
        const auto key = one.name_ + "-" + std::to_string(one.made_);
        one.request_ = simulation_.ask(member, deadlineChange(key, one.seen_, one.made_));
    }

    ControlSimulation& simulation_;
    std::vector<std::string> members_;
    std::vector<Operator> all_;
    bool isStopped_ { false };
};

struct Scenario {
    const char* name_;
    std::vector<std::string> members_;
    std::size_t stride_; // Of the steps where faults are injected; above 1 where a run is long.
    bool isCompacting_;
    bool isShrinking_; // An operator removes a member.
    void (*script_)(ControlSimulation&, Operators&);
};

std::string nextMember(const ControlSimulation& simulation, const std::string& member)
{
    const auto& members = simulation.instances();
    const auto found = std::find(members.begin(), members.end(), member) - members.begin();
    return members[(static_cast<std::size_t>(found) + 1) % members.size()];
}

// Runs an action on the leader, or on the first member when there is none.
void onLeader(ControlSimulation& simulation, Duration time, std::function<void(const std::string&)> action)
{
    simulation.at(time, [&simulation, action] {
        const auto leader = simulation.leader();
        action(leader.empty() ? "a" : leader);
    });
}

const std::vector<Scenario> scenarios {
    { "settings change", { "a", "b", "c" }, 1, false, false,
        [](ControlSimulation&, Operators& operators) {
            operators.add("alice", 0, 3);
            operators.start(2s);
        } },
    { "racing operators", { "a", "b", "c" }, 1, false, false,
        [](ControlSimulation& simulation, Operators& operators) {
            operators.add("alice", 0, 2);
            operators.add("bob", 1, 2);
            operators.add("carol", 2, 2);
            operators.start(2s);
            for (auto time = 2s + 30ms; time < 8s; time += 370ms) {
                for (const auto* member : { "a", "b", "c" })
                    simulation.at(time, [&simulation, member] { simulation.ask(member, ControlRead {}); });
            }
        } },
    { "restart after hundreds of changes", { "a", "b", "c" }, 7, true, false,
        [](ControlSimulation& simulation, Operators& operators) {
            for (std::uint64_t i = 1; i <= 300; ++i) {
                onLeader(simulation, 2s + i * 5ms, [&simulation, i](const std::string& leader) {
                    simulation.ask(leader, deadlineChange("bulk-" + std::to_string(i), i, int(i % 60) + 1));
                });
            }
            for (const auto* member : { "a", "b", "c" })
                simulation.at(4s, [&simulation, member] { simulation.crash(member, false, 500ms); });
            operators.add("alice", 0, 2);
            operators.start(3900ms);
        } },
    { "lost disk, and a second loss after the repair", { "a", "b", "c" }, 1, true, false,
        [](ControlSimulation& simulation, Operators& operators) {
            operators.add("alice", 0, 4);
            operators.start(2s);
            onLeader(simulation, 2500ms, [&simulation](const std::string& leader) {
                simulation.crash(nextMember(simulation, leader), true, 500ms);
            });
            onLeader(
                simulation, 6s, [&simulation](const std::string& leader) { simulation.crash(leader, true, 500ms); });
        } },
    { "long isolation of a leader", { "a", "b", "c" }, 1, false, false,
        [](ControlSimulation& simulation, Operators& operators) {
            operators.add("alice", 0, 2);
            operators.add("bob", 1, 2);
            operators.start(2s);
            onLeader(simulation, 2050ms,
                [&simulation](const std::string& leader) { simulation.isolate(leader, true, true, 8s); });
        } },
    { "member replaced by an operator", { "a", "b", "c" }, 1, false, true,
        [](ControlSimulation& simulation, Operators& operators) {
            operators.add("alice", 0, 3);
            operators.start(2s);
            onLeader(simulation, 2500ms, [&simulation](const std::string& leader) {
                simulation.ask(leader, ControlMemberChange { false, InstanceId(nextMember(simulation, leader)) });
            });
            for (auto time = 4s; time < 9s; time += 1s) {
                onLeader(simulation, time, [&simulation](const std::string& leader) {
                    for (const auto* member : { "a", "b", "c" })
                        simulation.ask(leader, ControlMemberChange { true, InstanceId(member) });
                });
            }
        } },
    { "lost disk while another member is behind", { "a", "b", "c" }, 2, false, false,
        [](ControlSimulation& simulation, Operators& operators) {
            operators.add("alice", 0, 3);
            operators.start(2s);
            onLeader(simulation, 1900ms, [&simulation](const std::string& leader) {
                const auto behind = nextMember(simulation, leader);
                const auto lost = nextMember(simulation, behind);
                simulation.isolate(behind, true, true, 3s);
                simulation.at(3s, [&simulation, lost] { simulation.crash(lost, true, 200ms); });
                simulation.at(3100ms, [&simulation, leader] { simulation.isolate(leader, true, true, 6s); });
            });
        } },
    { "five members, lost disk of the leader", { "a", "b", "c", "d", "e" }, 5, false, false,
        [](ControlSimulation& simulation, Operators& operators) {
            operators.add("alice", 0, 2);
            operators.add("bob", 3, 2);
            operators.start(2s);
            onLeader(simulation, 2500ms,
                [&simulation](const std::string& leader) { simulation.crash(leader, true, 500ms); });
        } },
};

struct Result {
    std::size_t steps_ { 0 };
    bool isBeyondGuarantee_ { false };
    std::vector<std::string> violations_;
};

// The guarantees, over the whole history of a run that has settled.
void checkHistory(const ControlSimulation& simulation, std::vector<std::string>& violations)
{
    const auto& final = simulation.log(simulation.leader()).control_;
    const auto keyOf = [](const ObservedRequest& request) -> const std::string* {
        const auto* change = std::get_if<ControlChange>(&request.request_);
        return change ? &change->key_ : nullptr;
    };
    std::map<std::string, std::uint64_t> applied;
    for (const auto& [revision, tree] : simulation.trees()) {
        if (!tree.changeKey_.empty() && !applied.emplace(tree.changeKey_, revision).second)
            violations.push_back("change applied twice: " + tree.changeKey_);
    }
    std::map<std::uint64_t, std::string> winners; // By the revision that the change was made on.
    std::map<std::string, bool> mayHaveRun; // Whether any request of the key was answered other than "not run".
    std::map<std::string, ChangeOutcome> decided;
    for (const auto& request : simulation.requests()) {
        const auto* key = keyOf(request);
        if (!key)
            continue;
        const auto outcome = request.outcome_.value_or(ChangeOutcome {});
        mayHaveRun[*key] |= outcome.outcome_ != Outcome::NotRun;
        if (!outcome.decided_)
            continue;
        if (!decided.emplace(*key, outcome).second && decided[*key] != outcome)
            violations.push_back("two outcomes for one key: " + *key);
        const auto last = final.outcomes_.find(*key);
        if (outcome.outcome_ == Outcome::NotRun) {
            if (applied.contains(*key) || last == final.outcomes_.end() || last->second.outcome_ == Outcome::Done)
                violations.push_back("refused change applied: " + *key);
            continue;
        }
        const auto seen
            = std::get<SettingsChange>(std::get<ControlChange>(request.request_).command_).expectedRevision_;
        const auto [winner, isNew] = winners.emplace(seen, *key);
        if (!isNew && winner->second != *key)
            violations.push_back("two winners of one revision: " + *key + ", " + winner->second);
        const auto tree = simulation.trees().find(outcome.revision_);
        const bool isGone = last == final.outcomes_.end() || last->second != outcome
            || final.settings_.revision_ < outcome.revision_
            || (tree != simulation.trees().end() && tree->second.changeKey_ != *key);
        if (isGone)
            violations.push_back("accepted change gone: " + *key);
    }
    for (const auto& [key, may] : mayHaveRun) {
        const auto last = final.outcomes_.find(key);
        if (!may
            && (applied.contains(key) || (last != final.outcomes_.end() && last->second.outcome_ == Outcome::Done)))
            violations.push_back("refused change applied: " + key);
    }
    // A read shows every change that was accepted before it was asked.
    for (const auto& read : simulation.requests()) {
        if (!std::holds_alternative<ControlRead>(read.request_) || !read.outcome_
            || read.outcome_->outcome_ != Outcome::Done)
            continue;
        for (const auto& change : simulation.requests()) {
            if (keyOf(change) && change.outcome_ && change.outcome_->outcome_ == Outcome::Done
                && change.answered_ < read.asked_ && change.outcome_->revision_ > read.readRevision_)
                violations.push_back("read reverts behind " + *keyOf(change));
        }
    }
}

Result run(const Scenario& scenario, const std::vector<ControlInjection>& injections,
    const ControlInjectedFaults& wrong = {}, bool keepIdentity = false, std::uint64_t seed = 1)
{
    ControlLogOptions log { .injectedFaults_ = wrong };
    if (scenario.isCompacting_) {
        log.snapshotAfter_ = 40;
        log.keptEntries_ = 10;
    }
    ControlSimulation simulation({ .seed_ = seed,
        .instances_ = scenario.members_,
        .log_ = log,
        .injections_ = injections,
        .keepIdentity_ = keepIdentity });
    Operators operators(simulation, scenario.members_);
    scenario.script_(simulation, operators);
    simulation.runUntil(11s);
    simulation.runUntil([&] { return operators.areDone(); }, 20s);
    Result result { .steps_ = simulation.steps() };
    const bool isLong = std::any_of(injections.begin(), injections.end(),
        [](const ControlInjection& injection) { return injection.fault_ == ControlFault::IsolateLong; });
    if (isLong)
        simulation.runUntil(simulation.elapsed() + 15s);
    operators.stop();
    simulation.heal();
    result.isBeyondGuarantee_ = simulation.isBeyondGuarantee();
    if (result.isBeyondGuarantee_)
        return result;
    result.violations_ = simulation.violations();
    // An operator has to repeat a member change that a fault lost.
    for (int i = 0; i < 20 && !simulation.isSettled(); ++i) {
        simulation.runUntil([&] { return simulation.isSettled(); }, 3s);
        if (simulation.isSettled() || simulation.leader().empty())
            continue;
        for (const auto& member : scenario.members_)
            simulation.ask(simulation.leader(), ControlMemberChange { true, InstanceId(member) });
    }
    // An operator who removes a member within an election timeout after another one lost its disk takes the majority
    // away: the leader does not know of the loss yet.
    if (!simulation.isSettled() && scenario.isShrinking_ && simulation.lostDisks() > 0) {
        result.isBeyondGuarantee_ = true;
        return result;
    }
    if (!simulation.isSettled()) {
        result.violations_.emplace_back("the members do not settle after all faults are over");
        return result;
    }
    // A change that was still under way may take the revision, so a conflict is answered by another attempt.
    bool isAccepted = false;
    for (int i = 0; i < 3 && !isAccepted; ++i) {
        if (!simulation.runUntil([&] { return !simulation.leader().empty(); }, 5s))
            break;
        const auto leader = simulation.leader();
        const auto last = simulation.ask(leader,
            deadlineChange("last-" + std::to_string(i), simulation.log(leader).control_.settings_.revision_, 59));
        simulation.runUntil(simulation.elapsed() + 2s);
        const auto& outcome = simulation.requests()[last].outcome_;
        isAccepted = outcome && outcome->outcome_ == Outcome::Done;
    }
    if (!isAccepted)
        result.violations_.emplace_back("no change is accepted after all faults are over");
    for (const auto& violation : simulation.violations()) {
        if (std::find(result.violations_.begin(), result.violations_.end(), violation) == result.violations_.end())
            result.violations_.push_back(violation);
    }
    if (!simulation.runUntil([&] { return simulation.isSettled(); }, 10s))
        result.violations_.emplace_back("the members do not settle after the last change");
    else
        checkHistory(simulation, result.violations_);
    return result;
}

std::string describe(const Scenario& scenario, const std::vector<ControlInjection>& injections, std::uint64_t seed)
{
    std::string text = std::string(scenario.name_) + ", seed " + std::to_string(seed);
    for (const auto& injection : injections)
        text += ", fault " + std::to_string(int(injection.fault_)) + " at step " + std::to_string(injection.step_);
    return text;
}

constexpr auto faultCount = static_cast<std::size_t>(ControlFault::Count);

struct Cell {
    const Scenario& scenario_;
    std::vector<ControlInjection> injections_;
    std::uint64_t seed_;
};

// Runs the cells on a few threads, requires that none shows a violation, and prints their number and rate.
void runCells(const char* name, const std::vector<Cell>& cells)
{
    std::vector<Result> results(cells.size());
    std::atomic<std::size_t> next { 0 };
    const auto work = [&] {
        for (auto cell = next++; cell < cells.size(); cell = next++)
            results[cell] = run(cells[cell].scenario_, cells[cell].injections_, {}, false, cells[cell].seed_);
    };
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i)
        threads.emplace_back(work);
    for (auto& thread : threads)
        thread.join();
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
    std::size_t beyond = 0;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        INFO(describe(cells[i].scenario_, cells[i].injections_, cells[i].seed_));
        CAPTURE(results[i].violations_);
        REQUIRE(results[i].violations_.empty());
        beyond += results[i].isBeyondGuarantee_ ? 1 : 0;
    }
    std::cout << name << ": " << cells.size() << " cells, " << std::size_t(double(cells.size()) / time.count())
              << " cells/s, " << beyond << " of them lost the disks of a majority\n";
}

// A wrong rule, the guarantee that it breaks, and the scenario and fault that are most likely to show it.
struct WrongRule {
    const char* name_;
    const char* violation_;
    const char* scenario_;
    ControlFault fault_;
    ControlInjectedFaults wrong_;
    bool keepIdentity_ { false };
};

// Runs cells with one or two faults until one shows the violation. Returns the number of cells, or 0 when none does.
std::size_t cellsUntilFound(const WrongRule& rule, std::size_t limit)
{
    const auto scenario = std::find_if(scenarios.begin(), scenarios.end(),
        [&](const Scenario& one) { return std::string(one.name_) == rule.scenario_; });
    std::mt19937_64 random(3);
    for (std::size_t cell = 1; cell <= limit; ++cell) {
        std::vector<ControlInjection> injections { { 30 + random() % 200, rule.fault_ } };
        if (cell % 2 == 0)
            injections.push_back({ 30 + random() % 200, static_cast<ControlFault>(random() % faultCount) });
        const auto violations = run(*scenario, injections, rule.wrong_, rule.keepIdentity_, random()).violations_;
        const bool isFound = std::any_of(violations.begin(), violations.end(),
            [&](const std::string& found) { return found.find(rule.violation_) != std::string::npos; });
        if (isFound)
            return cell;
    }
    return 0;
}

} // namespace

// Guards each guarantee of the control log against every single fault at every step.
TEST_CASE("every fault at every step")
{
    std::vector<Cell> cells;
    for (const auto& scenario : scenarios) {
        INFO(scenario.name_);
        const auto plain = run(scenario, {});
        CAPTURE(plain.violations_);
        REQUIRE(plain.violations_.empty());
        const auto first = scenario.stride_ == 7 ? plain.steps_ / 2 : 1; // Skips the bulk of the hundreds of changes.
        for (auto step = first; step <= plain.steps_; step += scenario.stride_ * thinning) {
            for (std::size_t fault = 0; fault < faultCount; ++fault)
                cells.push_back({ scenario, { { step, static_cast<ControlFault>(fault) } }, 1 });
        }
    }
    runCells("single faults", cells);
}

// Guards against faults that only break a guarantee together, or when they strike twice.
TEST_CASE("seeded pairs of faults")
{
    std::vector<Cell> cells;
    std::mt19937_64 random(2);
    while (cells.size() < 6000 / thinning) {
        const auto seed = random() % 1000;
        const auto first = 1 + random() % 500;
        cells.push_back({ scenarios[cells.size() % scenarios.size()],
            { { first, static_cast<ControlFault>(random() % faultCount) },
                { first + 1 + random() % 80, static_cast<ControlFault>(random() % faultCount) } },
            seed });
    }
    runCells("pairs of faults", cells);
}

// Guards against a matrix that is blind: each wrong rule has to show as a violation of its guarantee.
TEST_CASE("the matrix finds each wrong rule")
{
    const WrongRule rules[] {
        { "answer before commit", "accepted change gone", "settings change", ControlFault::CrashAfterSend,
            { .respondAtAppend_ = true } },
        { "empty disk votes with its old identity", "accepted change gone", "lost disk while another member is behind",
            ControlFault::DelayMessages, {}, true },
        { "apply before commit", "another tree for revision", "long isolation of a leader", ControlFault::Freeze,
            { .applyUncommitted_ = true } },
        { "seen revision ignored", "two winners of one revision", "racing operators", ControlFault::DelayMessages,
            { .ignoreExpectedRevision_ = true } },
        { "pending changes refused on step-down", "refused change applied", "long isolation of a leader",
            ControlFault::CutIn, { .rejectPendingOnStepDown_ = true } },
        { "change keys forgotten", "refused change applied", "settings change", ControlFault::CrashAfterSend,
            { .discardKeys_ = true } },
        { "read without a round", "read reverts", "racing operators", ControlFault::Freeze,
            { .readWithoutRound_ = true } },
    };
    for (const auto& rule : rules) {
        INFO(rule.name_);
        const auto cells = cellsUntilFound(rule, 1000);
        CHECK(cells > 0);
        std::cout << "wrong rule '" << rule.name_ << "': found after " << cells << " cells\n";
    }
}
