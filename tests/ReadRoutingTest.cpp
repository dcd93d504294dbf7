#include "cassiahollow/request/ReadRouting.h"

#include <catch2/catch.hpp>
#include <set>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const EndpointId a("a");
const EndpointId b("b");
const EndpointId c("c");
const TimePoint start = TimePoint() + 1h;

// Group of three in term 1 with primary a; all members hold 1:10 and were asked at `start`.
GroupView sampleGroup()
{
    GroupView group;
    group.group_ = GroupId("g");
    for (const auto& endpoint : { a, b, c })
        group.members_.push_back({ endpoint });
    setRoute(group, a, 1);
    for (const auto& endpoint : { a, b, c })
        applyReport(group, { endpoint, { 1, 10 }, 1, false, start }, start);
    return group;
}

ReadRequirements needAt(LogPosition position)
{
    ReadRequirements need;
    need.position_ = position;
    need.receivedAt_ = start;
    need.deadline_ = start + 1s;
    return need;
}

// The choice in one word: the endpoint, "wait" with the endpoint, or the reason.
std::string chosen(const GroupView& group, const ReadRequirements& need, TimePoint now = start)
{
    const auto choice = chooseRead(group, need, now);
    if (const auto* at = std::get_if<ReadAt>(&choice))
        return at->endpoint_.value_;
    if (const auto* wait = std::get_if<ReadWait>(&choice))
        return "wait " + wait->endpoint_.value_;
    return std::string(reasonInfo(std::get<ReadRefused>(choice).reason_).name_);
}

} // namespace

// Guards against replicas that stay idle while the primary answers reads.
TEST_CASE("replicas at the position share the reads")
{
    const auto group = sampleGroup();
    auto need = needAt({ 1, 10 });
    std::set<std::string> used;
    for (need.spread_ = 0; need.spread_ < 6; ++need.spread_)
        used.insert(chosen(group, need));
    REQUIRE(used == std::set<std::string> { "b", "c" });
}

// Guards against reads that queue at one replica while another is free.
TEST_CASE("the shorter queue is preferred")
{
    auto group = sampleGroup();
    group.members_[1].queueLength_ = 3;
    auto need = needAt({ 1, 10 });
    for (need.spread_ = 0; need.spread_ < 6; ++need.spread_)
        REQUIRE(chosen(group, need) == "c");
}

// Guards against a read older than the session's own write, when terms and indexes disagree.
TEST_CASE("positions are compared by term first")
{
    auto group = sampleGroup();
    applyReport(group, { b, { 1, 99 }, 1, false, {} }, start);
    applyReport(group, { c, { 2, 3 }, 2, false, {} }, start);
    REQUIRE(chosen(group, needAt({ 2, 3 })) == "c");
    REQUIRE(checkReadResponse({ 2, 3 }, { 1, 99 }) == Reason::RetryReplicaBehind);
    REQUIRE_FALSE(checkReadResponse({ 2, 3 }, { 2, 3 }).has_value());
    auto need = needAt({ 1, 10 });
    need.primaryOnly_ = true;
    REQUIRE(chosen(sampleGroup(), need) == "a");
}

// Guards against waits that take longer than going to the primary.
TEST_CASE("a read waits for a replica only within the wait limit and the deadline")
{
    auto group = sampleGroup();
    const auto written = start + 100ms;
    applyReport(group, { a, { 1, 11 }, 1, false, {} }, written);
    applyReport(group, { b, { 1, 11 }, 1, false, {} }, written + 8ms); // b lags by 8 ms.
    applyReport(group, { c, { 1, 11 }, 1, false, {} }, written + 60ms); // c lags by 60 ms.
    const auto next = written + 70ms;
    applyReport(group, { a, { 1, 12 }, 1, false, {} }, next);
    auto need = needAt({ 1, 12 });
    need.receivedAt_ = next;
    REQUIRE(chosen(group, need, next) == "wait b");
    REQUIRE(chosen(group, need, next + 21ms) == "a");
    need.deadline_ = next + 5ms;
    REQUIRE(chosen(group, need, next) == "a");
    need.deadline_ = next + 1s;
    applyReport(group, { b, { 1, 11 }, 1, false, {} }, next + 25ms); // b has proved slower than learned.
    applyReport(group, { a, { 1, 13 }, 1, false, {} }, next + 25ms);
    need = needAt({ 1, 13 });
    need.receivedAt_ = next + 25ms;
    REQUIRE(chosen(group, need, next + 25ms) == "a");
}

// Guards against work for an endpoint that is leaving or silent.
TEST_CASE("leaving and silent endpoints are not chosen")
{
    auto group = sampleGroup();
    applyReport(group, { b, { 1, 10 }, 1, true, {} }, start);
    REQUIRE(chosen(group, needAt({ 1, 10 })) == "c");
    applyReport(group, { a, { 1, 10 }, 1, false, {} }, start + 401ms);
    applyReport(group, { b, { 1, 10 }, 1, true, {} }, start + 401ms);
    REQUIRE(chosen(group, needAt({ 1, 10 }), start + 401ms) == "a");
    applyReport(group, { a, { 1, 10 }, 1, true, {} }, start + 401ms);
    REQUIRE(chosen(group, needAt({ 1, 10 }), start + 401ms) == "wait a"); // Until the planned change is over.
}

// Guards against answers of an old primary that is cut off from the others.
TEST_CASE("the primary answers only with a majority behind its term")
{
    auto group = sampleGroup();
    const auto need = needAt({ 1, 11 });
    group.members_[1].lag_ = group.members_[2].lag_ = 1s;
    REQUIRE(chosen(group, need) == "a");
    applyReport(group, { b, { 1, 10 }, 2, false, {} }, start);
    REQUIRE(chosen(group, need) == "a");
    applyReport(group, { c, { 1, 10 }, 2, false, {} }, start); // A majority is fenced; a promotion is under way.
    REQUIRE(chosen(group, need) == "wait a");
    applyReport(group, { a, { 1, 10 }, 1, false, {} }, start + 500ms); // The others have been silent too long.
    REQUIRE(chosen(group, need, start + 500ms) == "group_without_majority");
    applyReport(group, { b, { 1, 11 }, 1, false, {} }, start + 500ms); // A position is proof without a majority.
    REQUIRE(chosen(group, need, start + 500ms) == "b");
    REQUIRE(chosen(group, need, start + 1s) == "deadline_passed");
    REQUIRE(chosen(GroupView {}, need) == "group_unknown");
}

// Guards against data older than the stated age: from a delayed report, an unconfirmed primary or a late clock.
TEST_CASE("a stated age is proved by the time of the question")
{
    auto group = sampleGroup();
    auto need = needAt({});
    need.maxAge_ = 100ms;
    // b and c hold what the primary held at the time of the question.
    REQUIRE(chosen(group, need, start + 100ms) == "b");
    REQUIRE(chosen(group, need, start + 101ms) == "a");
    // Unasked reports prove nothing, however recent.
    for (const auto& endpoint : { a, b, c })
        applyReport(group, { endpoint, { 1, 10 }, 1, false, {} }, start + 101ms);
    REQUIRE(chosen(group, need, start + 101ms) == "a");
    // The primary's answer alone proves nothing, because it may be cut off and old.
    applyReport(group, { a, { 1, 20 }, 1, false, start + 110ms }, start + 112ms);
    REQUIRE(chosen(group, need, start + 112ms) == "a");
    // The proof is as old as the older question.
    applyReport(group, { b, { 1, 20 }, 1, false, start + 50ms }, start + 113ms);
    REQUIRE(chosen(group, need, start + 150ms) == "b");
    REQUIRE(chosen(group, need, start + 151ms) == "a");
    // The session's own position applies all the same.
    need.position_ = { 1, 21 };
    REQUIRE(chosen(group, need, start + 150ms) != "b");
    // A member that has promised a later term does not vouch for the primary.
    applyReport(group, { b, { 1, 20 }, 2, false, start + 120ms }, start + 121ms);
    applyReport(group, { c, { 1, 20 }, 2, false, start + 120ms }, start + 121ms);
    need.position_ = {};
    REQUIRE(chosen(group, need, start + 160ms) == "wait a");
}
