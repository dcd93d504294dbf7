#include "cassiahollow/version/GroupTerm.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const EndpointId a { "a" };
const EndpointId b { "b" };
const EndpointId c { "c" };

/// One watcher in data centre dc1 of a group with one member and one watcher in each of three data centres.
struct Watcher {
    GroupState state_ = makeGroupState(GroupId("g"), InstanceId("w1"), "w1/1/1");
    TimePoint now_ { 1h };
    std::vector<GroupAction> actions_;
    std::map<EndpointId, MemberReport> reports_;

    Watcher()
    {
        feed(GroupConfigured {
            { { a, DataCentre("dc1") }, { b, DataCentre("dc2") }, { c, DataCentre("dc3") } }, watchers(true) });
    }

    static std::vector<GroupWatcher> watchers(bool alive)
    {
        return { { InstanceId("w1"), DataCentre("dc1"), true }, { InstanceId("w2"), DataCentre("dc2"), alive },
            { InstanceId("w3"), DataCentre("dc3"), alive } };
    }

    void feed(const GroupEvent& event)
    {
        for (auto& action : step(state_, event, now_))
            actions_.push_back(std::move(action));
    }

    void set(const EndpointId& endpoint, EndpointRole role, Term promised, LogPosition position)
    {
        reports_[endpoint] = { endpoint, role, promised, position, false };
    }

    /// Group in term 1 with primary a; everything is replicated.
    void warm()
    {
        set(a, EndpointRole::Primary, 1, { 1, 5 });
        set(b, EndpointRole::Replica, 1, { 1, 5 });
        set(c, EndpointRole::Replica, 1, { 1, 5 });
        for (const auto& probe : take<OpenProbe>())
            feed(ProbeResponded { probe.probe_, reports_[probe.endpoint_] });
        actions_.clear();
    }

    /// Time passes; the endpoints in `reports_` report every 50 ms, the others answer nothing.
    void pass(Duration duration)
    {
        const auto end = now_ + duration;
        for (;; now_ += 50ms) {
            for (const auto& [endpoint, report] : reports_)
                feed(MemberReported { report });
            feed(GroupTick {});
            if (now_ >= end)
                return;
        }
    }

    template <typename T> std::vector<T> take()
    {
        std::vector<T> found;
        for (const auto& action : actions_) {
            if (const auto* value = std::get_if<T>(&action))
                found.push_back(*value);
        }
        return found;
    }

    std::size_t orders(OrderKind kind)
    {
        const auto all = take<SendOrder>();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const SendOrder& order) { return order.kind_ == kind; }));
    }

    void vote(const char* voter, Term term, bool suspects = true)
    {
        feed(VoteReceived { { GroupId("g"), InstanceId(voter), a, term, suspects, term } });
    }

    void fenced(const EndpointId& endpoint, Term term, LogPosition position)
    {
        set(endpoint, EndpointRole::Replica, term, position);
        feed(OrderResponded { OrderKind::Fence, term, reports_[endpoint] });
    }

    /// The primary fails and this watcher, with the vote of w2, starts to fence.
    void fail()
    {
        reports_.erase(a);
        pass(750ms);
        vote("w2", 1);
        REQUIRE(orders(OrderKind::Fence) == 3);
    }
};

} // namespace

// Guards against a promotion that competes with a primary that exists, when an instance has just started.
TEST_CASE("a watcher that starts into a running group learns its primary")
{
    Watcher watcher;
    REQUIRE(watcher.take<OpenProbe>().size() == 3);
    watcher.feed(ProbeResponded { 2, { b, EndpointRole::Replica, 4, { 4, 9 }, false } });
    watcher.feed(ProbeResponded { 3, { c, EndpointRole::Replica, 4, { 4, 9 }, false } });
    watcher.feed(ProbeResponded { 1, { a, EndpointRole::Primary, 4, { 4, 9 }, false } });
    REQUIRE(primaryOf(watcher.state_) == a);
    REQUIRE(termOf(watcher.state_) == 4);
    REQUIRE(watcher.take<ReplaceWatch>().size() == 3);
    REQUIRE(watcher.take<PublishRoute>().size() == 1);
    REQUIRE(watcher.orders(OrderKind::Fence) == 0);
}

// Guards against a new group that never gets a primary.
TEST_CASE("the first promotion of a new group runs in term 1")
{
    Watcher watcher;
    for (const auto& endpoint : { a, b, c })
        watcher.set(endpoint, EndpointRole::Replica, 0, {});
    watcher.pass(300ms);
    REQUIRE(watcher.orders(OrderKind::Fence) == 3);
    watcher.fenced(b, 1, {});
    REQUIRE(watcher.orders(OrderKind::Promote) == 0);
    watcher.fenced(a, 1, {});
    REQUIRE(watcher.orders(OrderKind::Promote) == 1);
    watcher.set(a, EndpointRole::Primary, 1, { 1, 1 });
    watcher.feed(OrderResponded { OrderKind::Promote, 1, watcher.reports_[a] });
    REQUIRE(watcher.orders(OrderKind::Follow) == 2);
    REQUIRE(watcher.take<PublishRoute>().at(0).primary_ == a);
}

// Guards against acknowledged writes that only the primary holds.
TEST_CASE("a write is confirmed by a majority that has promised no newer term")
{
    Watcher watcher;
    watcher.warm();
    watcher.set(a, EndpointRole::Primary, 1, { 1, 7 });
    watcher.pass(0ms);
    REQUIRE_FALSE(isConfirmed(watcher.state_, { 1, 6 }));
    SECTION("a replica with the entry confirms")
    {
        watcher.set(b, EndpointRole::Replica, 1, { 1, 6 });
        watcher.pass(0ms);
        REQUIRE(isConfirmed(watcher.state_, { 1, 6 }));
        REQUIRE_FALSE(isConfirmed(watcher.state_, { 1, 7 }));
        REQUIRE_FALSE(isConfirmed(watcher.state_, { 2, 1 }));
    }
    SECTION("a replica that has promised a newer term does not")
    {
        watcher.set(b, EndpointRole::Replica, 2, { 1, 7 });
        watcher.pass(0ms);
        REQUIRE_FALSE(isConfirmed(watcher.state_, { 1, 6 }));
    }
}

// Guards against a replacement that goes on before a majority of the remaining members holds every confirmed write.
TEST_CASE("the last confirmed position is that of a majority in the current term")
{
    Watcher watcher;
    REQUIRE_FALSE(lastConfirmed(watcher.state_));
    watcher.warm();
    watcher.set(a, EndpointRole::Primary, 1, { 1, 9 });
    watcher.set(b, EndpointRole::Replica, 1, { 1, 7 });
    watcher.pass(0ms);
    REQUIRE(lastConfirmed(watcher.state_) == LogPosition { 1, 7 });
    watcher.feed(GroupConfigured { { { a, DataCentre("dc1") }, { c, DataCentre("dc3") } }, Watcher::watchers(true) });
    REQUIRE(lastConfirmed(watcher.state_) == LogPosition { 1, 5 });
    REQUIRE_FALSE(isConfirmed(watcher.state_, { 1, 7 }));
}

// Guards against a failover because one connection hangs.
TEST_CASE("a silent watch is replaced by a new connection that answers")
{
    Watcher watcher;
    watcher.warm();
    watcher.reports_.erase(a);
    watcher.pass(450ms);
    const auto probes = watcher.take<OpenProbe>();
    REQUIRE(probes.size() == 1);
    watcher.feed(ProbeResponded { probes[0].probe_, { a, EndpointRole::Primary, 1, { 1, 5 }, false } });
    REQUIRE(watcher.take<ReplaceWatch>().size() == 1);
    watcher.vote("w2", 1);
    watcher.vote("w3", 1);
    watcher.pass(300ms);
    REQUIRE(watcher.orders(OrderKind::Fence) == 0);
}

// Guards against a failover that one isolated watcher starts alone.
TEST_CASE("a suspicion needs a second data centre")
{
    Watcher watcher;
    watcher.warm();
    watcher.reports_.erase(a);
    watcher.pass(750ms);
    REQUIRE(watcher.take<SendVote>().at(0).vote_.suspects_);
    watcher.pass(1s);
    REQUIRE(watcher.orders(OrderKind::Fence) == 0);
    SECTION("a vote for the term starts the promotion")
    {
        watcher.vote("w3", 1);
        REQUIRE(watcher.orders(OrderKind::Fence) == 3);
    }
    SECTION("a withdrawn vote and a vote for an older term do not count")
    {
        watcher.vote("w3", 1, false);
        watcher.vote("w2", 0);
        REQUIRE(watcher.orders(OrderKind::Fence) == 0);
    }
    SECTION("an old vote does not count")
    {
        watcher.reports_.erase(b);
        watcher.pass(500ms);
        watcher.vote("w3", 1);
        watcher.pass(2s);
        watcher.set(b, EndpointRole::Replica, 1, { 1, 5 });
        watcher.pass(500ms);
        REQUIRE(watcher.orders(OrderKind::Fence) == 0);
    }
    SECTION("the only living watcher decides alone")
    {
        watcher.feed(GroupConfigured { { { a, DataCentre("dc1") }, { b, DataCentre("dc2") }, { c, DataCentre("dc3") } },
            Watcher::watchers(false) });
        REQUIRE(watcher.orders(OrderKind::Fence) == 3);
    }
}

// Guards against promises of a term that cannot get a primary: members would have to be fenced again later.
TEST_CASE("without a majority no promotion starts and no writes are taken")
{
    Watcher watcher;
    watcher.warm();
    watcher.reports_.erase(a);
    watcher.reports_.erase(b);
    watcher.pass(1s);
    watcher.vote("w2", 1);
    watcher.pass(1s);
    REQUIRE(watcher.orders(OrderKind::Fence) == 0);
    REQUIRE_FALSE(hasMajority(watcher.state_, watcher.now_));
    REQUIRE_FALSE(mayReadAtPrimary(watcher.state_, watcher.now_));
}

// Guards against reads at a primary that a majority has left.
TEST_CASE("a majority with a newer promise forbids reads at the primary")
{
    Watcher watcher;
    watcher.warm();
    REQUIRE(mayReadAtPrimary(watcher.state_, watcher.now_));
    watcher.set(b, EndpointRole::Replica, 2, { 1, 5 });
    watcher.set(c, EndpointRole::Replica, 2, { 1, 5 });
    watcher.pass(0ms);
    REQUIRE_FALSE(mayReadAtPrimary(watcher.state_, watcher.now_));
}

// Guards against the loss of acknowledged writes through the choice of the primary.
TEST_CASE("the member with the highest term and index is promoted")
{
    Watcher watcher;
    watcher.warm();
    watcher.fail();
    watcher.fenced(b, 2, { 1, 9 });
    watcher.fenced(c, 2, { 2, 3 });
    const auto orders = watcher.take<SendOrder>();
    REQUIRE(orders.back().kind_ == OrderKind::Promote);
    REQUIRE(orders.back().endpoint_ == c);
    REQUIRE(orders.back().term_ == 2);
    REQUIRE(orders.back().promoter_ == "w1/1/1");
}

// Guards against two primaries in a term: the choice of a term is never changed, and the next attempt takes a new term.
TEST_CASE("an unanswered promotion is resent, then repeated in a higher term")
{
    Watcher watcher;
    watcher.warm();
    watcher.fail();
    watcher.fenced(b, 2, { 1, 5 });
    watcher.fenced(c, 2, { 1, 5 });
    watcher.fenced(a, 2, { 1, 8 });
    watcher.pass(700ms);
    REQUIRE(watcher.orders(OrderKind::Promote) == 3);
    for (const auto& order : watcher.take<SendOrder>()) {
        REQUIRE(order.term_ == 2);
        REQUIRE((order.kind_ == OrderKind::Fence || order.endpoint_ == b));
    }
    watcher.pass(1s);
    REQUIRE(watcher.take<SendOrder>().back().term_ == 3);
}

// Guards against a promotion that hangs because its fences are lost.
TEST_CASE("lost fences are sent again to the members that have not answered")
{
    Watcher watcher;
    watcher.warm();
    watcher.fail();
    watcher.fenced(b, 2, { 1, 5 });
    watcher.pass(350ms);
    REQUIRE(watcher.orders(OrderKind::Fence) == 5);
}

// Guards against two promoters that outbid each other without end.
TEST_CASE("a refused fence restarts the promotion above the promised term")
{
    Watcher watcher;
    watcher.warm();
    watcher.fail();
    watcher.actions_.clear();
    watcher.feed(OrderRefused { OrderKind::Fence, 2, b, 6 });
    watcher.pass(100ms);
    REQUIRE(watcher.take<SendOrder>().back().term_ == 7);
    SECTION("a report of the competing term gives way to that promoter")
    {
        watcher.actions_.clear();
        watcher.set(b, EndpointRole::Replica, 8, { 1, 5 });
        watcher.pass(700ms);
        REQUIRE(watcher.orders(OrderKind::Fence) == 0);
        watcher.vote("w2", 1);
        watcher.pass(400ms);
        REQUIRE(watcher.take<SendOrder>().back().term_ == 9);
    }
}

// Guards against failovers in quick succession, each of which costs a gap.
TEST_CASE("promotions start at least 5 s apart")
{
    Watcher watcher;
    watcher.warm();
    watcher.fail();
    const auto first = watcher.now_;
    watcher.fenced(b, 2, { 1, 5 });
    watcher.fenced(c, 2, { 1, 5 });
    watcher.set(b, EndpointRole::Primary, 2, { 2, 6 });
    watcher.set(c, EndpointRole::Replica, 2, { 2, 6 });
    watcher.pass(100ms);
    REQUIRE(primaryOf(watcher.state_) == b);
    watcher.set(a, EndpointRole::Replica, 2, { 2, 6 });
    watcher.reports_.erase(b);
    watcher.actions_.clear();
    while (watcher.orders(OrderKind::Fence) == 0 && watcher.now_ < first + 10s) {
        watcher.pass(100ms);
        watcher.feed(VoteReceived { { GroupId("g"), InstanceId("w2"), b, 2, true, 2 } });
    }
    REQUIRE(watcher.now_ - first >= 5s);
    REQUIRE(watcher.now_ - first < 6s);
}

// Guards against a group without a primary for 5 s, because another promoter fenced the new one at once.
TEST_CASE("a primary that never had a majority does not delay the next promotion")
{
    Watcher watcher;
    watcher.warm();
    watcher.fail();
    watcher.fenced(b, 2, { 1, 5 });
    watcher.fenced(c, 2, { 1, 5 });
    watcher.set(b, EndpointRole::Primary, 2, { 2, 6 });
    watcher.set(c, EndpointRole::Replica, 2, { 1, 5 });
    watcher.pass(0ms);
    REQUIRE(primaryOf(watcher.state_) == b);
    watcher.actions_.clear();
    watcher.set(a, EndpointRole::Replica, 3, { 1, 5 });
    watcher.set(b, EndpointRole::Replica, 3, { 2, 6 });
    watcher.set(c, EndpointRole::Replica, 3, { 1, 5 });
    watcher.pass(1200ms);
    REQUIRE(watcher.orders(OrderKind::Fence) >= 3);
    REQUIRE(watcher.take<SendOrder>().back().term_ == 4);
}

// Guards against an old primary that stays out of the group, or keeps entries that the group does not have.
TEST_CASE("an old primary that returns is told to follow until it does")
{
    Watcher watcher;
    watcher.warm();
    watcher.set(b, EndpointRole::Primary, 2, { 2, 6 });
    watcher.set(c, EndpointRole::Replica, 2, { 2, 6 });
    watcher.pass(900ms);
    REQUIRE(primaryOf(watcher.state_) == b);
    const auto orders = watcher.take<SendOrder>();
    REQUIRE(orders.size() >= 2);
    for (const auto& order : orders) {
        REQUIRE(order.kind_ == OrderKind::Follow);
        REQUIRE(order.endpoint_ == a);
        REQUIRE(order.primary_ == b);
        REQUIRE(order.term_ == 2);
    }
    watcher.set(a, EndpointRole::Replica, 2, { 2, 6 });
    watcher.feed(OrderResponded { OrderKind::Follow, 2, watcher.reports_[a] });
    watcher.actions_.clear();
    watcher.pass(2s);
    REQUIRE(watcher.orders(OrderKind::Follow) == 0);
}

// Guards against a member that stays fenced by a promoter that died, and so takes no entries any more.
TEST_CASE("a promotion that another watcher does not finish is carried out in a higher term")
{
    Watcher watcher;
    watcher.warm();
    watcher.set(c, EndpointRole::Replica, 2, { 1, 5 });
    watcher.pass(800ms);
    REQUIRE(watcher.orders(OrderKind::Fence) == 0);
    watcher.pass(300ms);
    REQUIRE(watcher.orders(OrderKind::Fence) == 3);
    REQUIRE(watcher.take<SendOrder>().back().term_ == 3);
    watcher.fenced(c, 3, { 1, 5 });
    watcher.fenced(a, 3, { 1, 5 });
    REQUIRE(watcher.take<SendOrder>().back().endpoint_ == a);
}

// Guards against a planned change that loses writes or leaves them paused.
TEST_CASE("a planned change waits for the replica, with new writes paused")
{
    Watcher watcher;
    watcher.warm();
    watcher.set(a, EndpointRole::Primary, 1, { 1, 8 });
    watcher.pass(50ms);
    watcher.feed(ChangeOrdered { c });
    REQUIRE(watcher.take<PauseWrites>().size() == 1);
    REQUIRE(writesPaused(watcher.state_));
    watcher.pass(200ms);
    REQUIRE(watcher.orders(OrderKind::Fence) == 0);
    SECTION("when it has caught up it becomes primary")
    {
        watcher.set(c, EndpointRole::Replica, 1, { 1, 8 });
        watcher.pass(100ms);
        REQUIRE(watcher.orders(OrderKind::Fence) == 3);
        watcher.fenced(a, 2, { 1, 8 });
        watcher.fenced(c, 2, { 1, 8 });
        REQUIRE(watcher.take<SendOrder>().back().endpoint_ == c);
        watcher.set(c, EndpointRole::Primary, 2, { 2, 9 });
        watcher.feed(OrderResponded { OrderKind::Promote, 2, watcher.reports_[c] });
        REQUIRE(watcher.take<ResumeWrites>().size() == 1);
        REQUIRE(watcher.take<RecordPhase>().at(0).phase_ == FailoverPhase::CatchUp);
    }
    SECTION("when it does not catch up the change is given up")
    {
        watcher.pass(3s);
        REQUIRE(watcher.take<ResumeWrites>().size() == 1);
        REQUIRE(watcher.orders(OrderKind::Fence) == 0);
        REQUIRE(primaryOf(watcher.state_) == a);
    }
}

// Guards against watches on databases that left the group, and against their votes in a majority.
TEST_CASE("a removed member is neither watched nor counted")
{
    Watcher watcher;
    watcher.warm();
    watcher.feed(GroupConfigured { { { a, DataCentre("dc1") }, { b, DataCentre("dc2") } }, Watcher::watchers(true) });
    REQUIRE(watcher.take<CloseWatch>().at(0).endpoint_ == c);
    watcher.set(a, EndpointRole::Primary, 1, { 1, 6 });
    watcher.set(c, EndpointRole::Replica, 1, { 1, 6 });
    watcher.pass(0ms);
    REQUIRE_FALSE(isConfirmed(watcher.state_, { 1, 6 }));
    REQUIRE_FALSE(positionOf(watcher.state_, c));
}

// Guards against a task that spins, or sleeps past a due probe.
TEST_CASE("the next wakeup lies after the last step and covers the next probe")
{
    Watcher watcher;
    watcher.warm();
    for (int i = 0; i < 100; ++i) {
        const auto next = nextWakeup(watcher.state_);
        REQUIRE(next);
        REQUIRE(*next > watcher.now_);
        REQUIRE(*next <= watcher.now_ + 400ms);
        watcher.now_ = *next;
        watcher.feed(GroupTick {});
    }
    REQUIRE(watcher.take<OpenProbe>().size() > 3);
}
