#include "MembershipGroup.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>

using namespace membershiptest;

namespace {

// A cell is about ten times slower with the address sanitizer and forty times with the thread sanitizer, which finds
// little in code of one thread. Only every n-th step then keeps the program under 90 s on a busy machine.
#if defined(__SANITIZE_THREAD__)
constexpr std::uint64_t stride = 15;
#elif defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t stride = 5;
#else
constexpr std::uint64_t stride = 1;
#endif

enum class FaultKind { Lost, Repeated, Delayed, Reordered, CutIn, CutOut, CutBoth, CutPlace, Freeze, Restart, Count };

constexpr const char* faultNames[] = { "lost", "repeated", "delayed", "reordered", "cut in", "cut out", "cut both",
    "cut data centre", "freeze", "restart" };

bool cutsNothing(FaultKind kind)
{
    return kind <= FaultKind::Reordered;
}

/// A fault at the n-th message that is sent after the start of the operations.
struct PlannedFault {
    FaultKind kind_;
    std::uint64_t at_;
};

constexpr auto faultTime = 6s; ///< Longer than probe, suspicion and the spreading of a death together.

struct Case {
    std::size_t nodes_;
    std::uint64_t seed_;
    std::vector<PlannedFault> faults_;
    Group::Rule wrongRule_;
};

void injectFault(Group& group, FaultKind kind, std::size_t to, std::vector<TimePoint>& arrivals, TimePoint& healed)
{
    const auto cut = [&](std::set<std::size_t> inside, bool in, bool out) {
        group.scheduled_.emplace(group.now_, [=](Group& g) { g.cutBetween(inside, in, out); });
        group.scheduled_.emplace(group.now_ + faultTime, [](Group& g) { g.cut_.clear(); });
        healed = std::max(healed, group.now_ + faultTime);
    };
    std::set<std::size_t> place;
    for (std::size_t i = to % 3; i < group.nodes_.size(); i += 3)
        place.insert(i);
    switch (kind) {
    case FaultKind::Lost:
        arrivals.clear();
        break;
    case FaultKind::Repeated:
        arrivals.push_back(group.now_ + 50ms);
        arrivals.push_back(group.now_ + 7s);
        break;
    case FaultKind::Delayed:
        arrivals = { group.now_ + 5s };
        break;
    case FaultKind::Reordered:
        arrivals = { group.now_ + 20ms };
        break;
    case FaultKind::CutIn:
        return cut({ to }, true, false);
    case FaultKind::CutOut:
        return cut({ to }, false, true);
    case FaultKind::CutBoth:
        return cut({ to }, true, true);
    case FaultKind::CutPlace:
        return cut(place, true, true);
    case FaultKind::Freeze:
        group.freeze(to, faultTime);
        healed = std::max(healed, group.now_ + faultTime);
        break;
    case FaultKind::Restart:
        group.scheduled_.emplace(group.now_, [to](Group& g) { g.crash(to); });
        group.scheduled_.emplace(group.now_ + 500ms, [to](Group& g) {
            if (!g.isUp(to))
                g.start(to);
        });
        healed = std::max(healed, group.now_ + 500ms);
        break;
    case FaultKind::Count:
        break;
    }
}

/// An operation at an instance, or at the next one that runs if that one is down or frozen.
void operate(Group& group, std::size_t preferred, const MembershipEvent& event)
{
    for (std::size_t i = 0; i < group.nodes_.size(); ++i) {
        const auto node = (preferred + i) % group.nodes_.size();
        if (group.isUp(node) && group.nodes_[node].frozenUntil_ <= group.now_)
            return group.handle(node, event);
    }
}

/// Runs the operations of a case with its faults and returns the first violated guarantee, or nothing.
std::string runCase(const Group& warm, const Case& which, std::uint64_t* messages = nullptr)
{
    auto group = warm;
    const auto begin = group.now_;
    const auto firstMessage = group.sent_;
    const auto crashing = which.nodes_ - 1;
    group.wrongRule_ = which.wrongRule_;
    const auto at = [&](Duration time, std::function<void(Group&)> task) {
        group.scheduled_.emplace(begin + time, std::move(task));
    };
    at(0ms, [](Group& g) { operate(g, 0, SettingsApplied { 2, true }); });
    at(400ms, [](Group& g) {
        g.endpoints_[1].record_.leaving_ = true;
        g.announce(1);
    });
    at(800ms, [](Group& g) { operate(g, 2, RoutePublished { { GroupId("g0"), 2, EndpointId("e2") } }); });
    at(1200ms, [](Group& g) {
        operate(g, 1, GroupMembersPublished { { GroupId("g0"), 2, { EndpointId("e0"), EndpointId("e2") } } });
    });
    at(1600ms, [](Group& g) { operate(g, 3, InstanceDrainRequested { true }); });
    at(2000ms, [](Group& g) { operate(g, 0, RoutePublished { { GroupId("g0"), 3, EndpointId("e0") } }); });
    at(2400ms, [=](Group& g) { g.crash(crashing); });
    // Whoever publishes may be cut off and restart before it told anyone. The control log and the reports of the
    // endpoints then tell another instance.
    at(3200ms, [](Group& g) {
        operate(g, 1, RoutePublished { { GroupId("g0"), 3, EndpointId("e0") } });
        operate(g, 2, GroupMembersPublished { { GroupId("g0"), 2, { EndpointId("e0"), EndpointId("e2") } } });
    });
    at(2800ms, [](Group& g) { g.endpoints_[5].announces_ = false; });

    TimePoint healed = begin;
    bool nothingCut = true;
    group.fault_ = [&](Group& g, std::size_t, std::size_t to, MembershipMessage&, std::vector<TimePoint>& arrivals) {
        for (const auto& fault : which.faults_) {
            if (g.sent_ - firstMessage == fault.at_ + 1) {
                nothingCut &= cutsNothing(fault.kind_);
                injectFault(g, fault.kind_, to, arrivals, healed);
            }
        }
    };

    const auto upAndReached = [&](auto check) {
        for (std::size_t i = 0; i < which.nodes_; ++i) {
            if (group.isUp(i) && !check(group.state(i)))
                return Group::idOf(i).value_;
        }
        return std::string();
    };
    const auto leavingUnknown = [&] {
        return upAndReached([](MembershipState& state) { return isLeaving(state.directory_, EndpointId("e1")); });
    };
    const auto settingsMissing
        = [&] { return upAndReached([](MembershipState& state) { return state.self_.appliedRevision_ == 2; }); };

    group.runUntil(begin + 3400ms);
    if (nothingCut) {
        if (const auto where = leavingUnknown(); !where.empty())
            return "leaving endpoint unknown after 3 s at " + where;
    }
    group.runUntil(begin + 6s);
    if (messages)
        *messages = group.sent_ - firstMessage;
    group.runUntil(std::max(begin, healed) + 8s);
    if (const auto where = settingsMissing(); !where.empty())
        return "settings revision not in force after 8 s at " + where;
    group.fault_ = nullptr;
    group.runUntil(std::max(begin + 6s, healed) + 18s);
    if (!group.violation_.empty())
        return group.violation_;
    if (const auto text = group.disagreement(); !text.empty())
        return text;
    if (const auto where = leavingUnknown(); !where.empty())
        return "leaving endpoint unknown at the end at " + where;
    auto where = upAndReached([](MembershipState& state) {
        return routeOf(state.directory_, GroupId("g0"))->term_ == 3
            && membersOf(state.directory_, GroupId("g0"))->epoch_ == 2;
    });
    if (!where.empty())
        return "route or members out of date at " + where;
    where = upAndReached([](MembershipState& state) { return laggingInstances(state.directory_, 2).empty(); });
    return where.empty() ? "" : "applied revisions out of date at " + where;
}

/// A group that agrees, with a route and a member list.
Group warmGroup(std::size_t nodes, std::uint64_t seed)
{
    Group group(nodes, 6, seed);
    group.run(2s);
    group.handle(0, RoutePublished { { GroupId("g0"), 1, EndpointId("e1") } });
    group.handle(
        0, GroupMembersPublished { { GroupId("g0"), 1, { EndpointId("e0"), EndpointId("e1"), EndpointId("e2") } } });
    group.handle(0, SettingsApplied { 1, true });
    group.run(8s);
    return group;
}

std::string describe(const Case& which)
{
    std::ostringstream text;
    text << which.nodes_ << " instances, seed " << which.seed_;
    for (const auto& fault : which.faults_)
        text << ", " << faultNames[static_cast<std::size_t>(fault.kind_)] << " at message " << fault.at_;
    return text.str();
}

std::uint64_t messagesWithoutFault(const Group& warm, std::size_t nodes, std::uint64_t seed)
{
    std::uint64_t messages = 0;
    REQUIRE_THAT(runCase(warm, { nodes, seed, {}, {} }, &messages), Catch::Equals(""));
    return messages;
}

/// Runs cells until one violates a guarantee; returns the number of cells run, and the violation.
std::pair<std::uint64_t, std::string> searchSingleFaults(
    std::size_t nodes, std::uint64_t seed, std::uint64_t step, const Group::Rule& wrongRule)
{
    const auto warm = warmGroup(nodes, seed);
    const auto messages = messagesWithoutFault(warm, nodes, seed);
    std::uint64_t cells = 0;
    for (std::uint64_t at = 0; at < messages; at += step) {
        for (int kind = 0; kind < static_cast<int>(FaultKind::Count); ++kind) {
            const Case which { nodes, seed, { { static_cast<FaultKind>(kind), at } }, wrongRule };
            ++cells;
            if (const auto violation = runCase(warm, which); !violation.empty())
                return { cells, describe(which) + ": " + violation };
        }
    }
    return { cells, "" };
}

class Rate {
public:
    ~Rate()
    {
        const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin_).count();
        std::cout << name_ << ": " << cells_ << " cells, " << static_cast<int>(static_cast<double>(cells_) / seconds)
                  << " cells/s\n";
    }
    explicit Rate(const char* name)
        : name_(name)
    {
    }
    std::uint64_t cells_ { 0 };

private:
    const char* name_;
    std::chrono::steady_clock::time_point begin_ { std::chrono::steady_clock::now() };
};

} // namespace

// Guards against a single fault at any message that leaves a live instance dead, a dead one listed, a record older than
// before, or a leaving mark or settings revision late.
TEST_CASE("no single fault at any step breaks a guarantee")
{
    Rate rate("single faults");
    const auto [cells, violation] = searchSingleFaults(7, 101, stride, {});
    rate.cells_ = cells;
    REQUIRE_THAT(violation, Catch::Equals(""));
}

// Guards against faults that are harmless alone and not together.
TEST_CASE("no two or three faults at random steps break a guarantee")
{
    Rate rate("two or three faults");
    for (std::uint64_t seed = 1; seed <= 800 / stride; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t nodes = 5 + random() % 3;
        const auto warm = warmGroup(nodes, seed);
        Case which { nodes, seed, {}, {} };
        for (std::uint64_t n = 2 + random() % 2; n > 0; --n)
            which.faults_.push_back(
                { static_cast<FaultKind>(random() % static_cast<std::uint64_t>(FaultKind::Count)), random() % 250 });
        ++rate.cells_;
        const auto violation = runCase(warm, which);
        INFO(describe(which));
        REQUIRE_THAT(violation, Catch::Equals(""));
    }
}

namespace {

/// Requires that the matrix finds a wrong rule by the guarantee that it breaks.
void requireFound(const std::string& guarantee, const Group::Rule& rule)
{
    Rate rate(guarantee.c_str());
    const auto warm = warmGroup(7, 101);
    std::string found;
    // The run without faults counts as a cell: some wrong rules need no fault.
    found = runCase(warm, { 7, 101, {}, rule });
    ++rate.cells_;
    for (std::uint64_t at = 0; at < 40 && found.find(guarantee) == std::string::npos; ++at) {
        for (int kind = 0; kind < static_cast<int>(FaultKind::Count); ++kind) {
            ++rate.cells_;
            found = runCase(warm, { 7, 101, { { static_cast<FaultKind>(kind), at } }, rule });
            if (found.find(guarantee) != std::string::npos)
                break;
        }
    }
    INFO(found);
    REQUIRE(found.find(guarantee) != std::string::npos);
}

} // namespace

// Guards against a matrix that would not notice a live instance left dead: here nobody learns of its own suspicion.
TEST_CASE("the matrix finds instances that do not refute")
{
    requireFound("misses live", [](Group& group, std::size_t to, MembershipMessage& message) {
        std::erase_if(message.records_, [&](const Record& record) {
            return recordKey(record) == RecordKey { RecordKind::Instance, group.state(to).self_.id_.value_ };
        });
    });
}

// Guards against a matrix that would not notice a dead instance that stays listed: here relays answer for the target.
TEST_CASE("the matrix finds relays that vouch for the target")
{
    requireFound("keeps dead", [](Group& group, std::size_t to, MembershipMessage& message) {
        if (message.kind_ != MembershipMessageKind::PingRequest)
            return;
        message.kind_ = MembershipMessageKind::Update;
        MembershipMessage ack;
        ack.kind_ = MembershipMessageKind::Ack;
        ack.number_ = message.number_;
        ack.sender_ = group.state(to).self_;
        ack.target_ = message.target_;
        const auto origin = Group::nodeAt(message.sender_.address_);
        group.deliveries_.push({ group.now_ + 1ms, group.order_++, to, origin, MembershipReceived { ack } });
    });
}

// Guards against a matrix that would not notice a record that goes back: here the last arrival wins.
TEST_CASE("the matrix finds records that go back")
{
    requireFound("went back", [](Group& group, std::size_t to, MembershipMessage& message) {
        for (const auto& record : message.records_) {
            if (const auto* route = std::get_if<RouteRecord>(&record)) {
                const auto known = routeOf(group.state(to).directory_, route->group_);
                if (known && known->term_ > route->term_)
                    purgeRecord(group.state(to).directory_, recordKey(record));
            }
        }
    });
}

// Guards against a matrix that would not notice late leaving marks: here only repairs carry endpoints.
TEST_CASE("the matrix finds leaving marks that are late")
{
    requireFound("leaving endpoint unknown after 3 s", [](Group&, std::size_t, MembershipMessage& message) {
        if (message.kind_ == MembershipMessageKind::Repair)
            return;
        std::erase_if(message.records_, [](const Record& r) { return std::holds_alternative<EndpointRecord>(r); });
    });
}

// Guards against a matrix that would not notice settings that do not arrive: here only the publisher tells them.
TEST_CASE("the matrix finds settings that do not spread")
{
    const auto published = warmGroup(7, 101).now_;
    requireFound("settings revision not in force", [=](Group& group, std::size_t, MembershipMessage& message) {
        const bool first = message.sender_.id_ == Group::idOf(0) && group.now_ < published + 50ms;
        message.appliedRevisions_.clear();
        if (!first)
            message.sender_.appliedRevision_ = 0;
        for (auto& record : message.records_) {
            if (auto* instance = std::get_if<InstanceRecord>(&record))
                instance->appliedRevision_ = 0;
        }
    });
}

// Guards against a matrix that would not notice losses that stay: here repairs carry nothing.
TEST_CASE("the matrix finds losses that are not repaired")
{
    requireFound("has other records", [](Group&, std::size_t, MembershipMessage& message) {
        if (message.kind_ == MembershipMessageKind::Repair)
            message.records_.clear();
    });
}
