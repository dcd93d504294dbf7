#include "cassiahollow/version/PromotionDuty.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };
const GroupId group("returns");

/// One group of three endpoints behind a simulated authority.
struct World {
    PromotionDuty duty_;
    EndpointRegistry registry_;
    RouteCatalog catalog_;
    PromotionOptions options_;
    TimePoint now_ { start };
    std::uint64_t sequence_ { 1 };
    std::vector<OrderAction> orders_;
    TimePoint orderedAt_; ///< The last one.
    std::vector<PromotionAction> all_;
    std::map<EndpointId, LogPosition> positions_ { { EndpointId("i1"), { 1, 100 } }, { EndpointId("i2"), { 1, 98 } },
        { EndpointId("i3"), { 1, 99 } } };
    std::map<EndpointId, Duration> lags_;
    std::optional<LogPosition> stopsAt_; ///< Where i1 stops, if not at its surveyed position.
    std::set<EndpointId> dark_;
    bool losesStepDown_ { false }; ///< The primary does not answer the order to step down.
    std::optional<EndpointId> pauseUnanswered_;
    std::size_t pausedBeforeOrder_ { 0 }; ///< Pauses before the last order.
    std::optional<OrderOutcome> orderOutcome_ { OrderOutcome::Accepted };
    std::uint64_t fence_ { 0 };
    bool grants_ { true };
    std::optional<PromotionGate> gate_; ///< Set where the authority checks no fences.

    explicit World(std::size_t synchronous = 0)
    {
        catalog_.version_ = 1;
        catalog_.groups_ = { { group, 34, synchronous } };
        duty_.latestGrants_.emplace();
        for (const auto* id : { "i1", "i2", "i3" })
            report(id, id == std::string("i1") ? EndpointRole::Primary : EndpointRole::Replica);
    }

    void report(const std::string& id, EndpointRole role, bool leaving = false)
    {
        RegisteredEndpoint record;
        record.id_ = EndpointId(id);
        record.group_ = group;
        record.address_ = id + ":80";
        record.startedAtMs_ = 1;
        record.sequence_ = sequence_++;
        record.role_ = role;
        record.leaving_ = leaving;
        record.receivedAt_ = now_;
        record.roleSince_ = now_;
        mergeRecord(registry_, record);
    }

    void seen(const std::string& instance, Duration answeredAgo, Duration failingFor)
    {
        handleReports(duty_, InstanceId(instance), { { EndpointId("i1"), answeredAgo, failingFor } }, now_);
    }

    void answer(const PromotionAction& action)
    {
        all_.push_back(action);
        if (const auto* probe = std::get_if<ProbeAction>(&action)) {
            handleResult(duty_, ProbeResult { probe->endpoint_, !dark_.contains(probe->endpoint_) });
        } else if (const auto* survey = std::get_if<SurveyAction>(&action)) {
            const bool answers = !dark_.contains(survey->endpoint_)
                && !(survey->pauseTerm_ > 0 && survey->endpoint_ == pauseUnanswered_);
            const bool leads = registry_.records_.at(survey->endpoint_).role_ == EndpointRole::Primary;
            handleResult(duty_,
                SurveyResult { survey->endpoint_,
                    answers ? std::optional(positions_.at(survey->endpoint_)) : std::nullopt,
                    answers ? Term(1) : Term(0), lags_[survey->endpoint_], survey->request_,
                    leads ? EndpointRole::Primary : EndpointRole::Replica, 1 });
        } else if (const auto* stepDown = std::get_if<StepDownAction>(&action)) {
            CHECK(stepDown->term_ == 2);
            if (!dark_.contains(stepDown->endpoint_) && !losesStepDown_)
                handleResult(duty_,
                    SurveyResult { stepDown->endpoint_, stopsAt_.value_or(positions_.at(stepDown->endpoint_)), 1, 0ms,
                        stepDown->request_, EndpointRole::Replica, 1 });
        } else if (const auto* resume = std::get_if<ResumeAction>(&action)) {
            if (!dark_.contains(resume->endpoint_))
                handleResult(duty_,
                    SurveyResult { resume->endpoint_, positions_.at(resume->endpoint_), 1, 0ms, resume->request_,
                        EndpointRole::Replica, 1 });
        } else if (const auto* grant = std::get_if<GrantAction>(&action)) {
            (*duty_.latestGrants_)[group] = grant->endpoint_;
            handleResult(duty_, GrantResult { grant->group_, grants_ ? std::optional(++fence_) : std::nullopt });
        } else if (const auto* order = std::get_if<OrderAction>(&action)) {
            orders_.push_back(*order);
            orderedAt_ = now_;
            pausedBeforeOrder_ = pauses();
            if (orderOutcome_)
                handleResult(duty_, OrderResult { group, *orderOutcome_ });
        }
    }

    void run(Duration time, Duration step = 10ms)
    {
        for (const auto end = now_ + time; now_ < end; now_ += step) {
            for (const auto& action : tickDuty(duty_, registry_, catalog_, options_, now_, gate_ ? &*gate_ : nullptr))
                answer(action);
        }
    }

    /// The instances that use the primary see it fail, and it answers nobody.
    void loseThePrimary(Duration time)
    {
        dark_.insert(EndpointId("i1"));
        for (const auto end = now_ + time; now_ < end;) {
            seen("front-1", 5s, 200ms);
            seen("front-2", 5s, 200ms);
            run(100ms);
        }
    }

    /// All replicas hold the log and have not applied it; one of four instances turns reads away.
    void strain(Duration time)
    {
        catalog_.routes_ = { { .name_ = "audits", .group_ = group, .maxAge_ = 2500ms } };
        for (const auto end = now_ + time; now_ < end; run(250ms)) {
            handleReports(duty_, InstanceId("front-1"), { { EndpointId("i1"), 10ms, 0ms, true } }, now_);
            for (const auto* front : { "front-2", "front-3", "front-4" })
                seen(front, 10ms, 0ms);
        }
    }

    std::size_t pauses() const
    {
        return static_cast<std::size_t>(std::count_if(all_.begin(), all_.end(), [](const auto& action) {
            const auto* survey = std::get_if<SurveyAction>(&action);
            return survey && survey->pauseTerm_ == 2;
        }));
    }

    template <typename Action> bool did() const
    {
        return std::any_of(
            all_.begin(), all_.end(), [](const auto& action) { return std::holds_alternative<Action>(action); });
    }
};

} // namespace

// Guards against a slow or wrong change of primary; the bound is that of a change of primary less the promotion itself.
TEST_CASE("a primary that is dark for all is replaced by the replica that holds most")
{
    World world;
    world.loseThePrimary(800ms);
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i3"));
    CHECK(world.orders_[0].fence_ == 1);
    world.report("i3", EndpointRole::Primary);
    world.run(3s);
    CHECK(world.orders_.size() == 1);
    CHECK(world.duty_.groups_.at(group).phase_ == PromotionPhase::Watching);
}

// Guards against a promotion because of one instance's connections.
TEST_CASE("a primary that answers the leader is kept, whatever an instance reports")
{
    World world;
    for (int i = 0; i < 20; ++i) {
        world.seen("front-1", 5s, 2s);
        world.run(100ms);
    }
    CHECK(world.did<ProbeAction>());
    CHECK(world.orders_.empty());
}

// Guards against a leader that is cut off from a primary that serves everybody else.
TEST_CASE("a primary that the leader alone does not reach is kept")
{
    World world;
    world.dark_.insert(EndpointId("i1"));
    for (int i = 0; i < 30; ++i) {
        world.seen("front-1", 5s, 2s);
        world.seen("front-2", 10ms, 0ms);
        world.seen("front-3", 10ms, 0ms);
        world.run(100ms);
    }
    CHECK(world.orders_.empty());
}

// Replays "a data centre is cut off": the last reports of most instances were sent just before it. A statement with the
// shortest time limit, 800 ms, has to outlive the decision and the 300 ms of a promotion.
TEST_CASE("answers from before a failure do not delay the change of primary")
{
    World world;
    const auto cut = world.now_;
    for (const auto* front : { "front-1", "front-2", "front-3", "front-4", "front-5" })
        world.seen(front, 10ms, 0ms);
    world.dark_.insert(EndpointId("i1"));
    world.run(20ms);
    for (; world.orders_.empty() && world.now_ - cut < 2s; world.run(250ms)) {
        world.seen("front-1", world.now_ - cut, world.now_ - cut - 5ms);
        world.seen("front-2", world.now_ - cut, world.now_ - cut - 5ms);
        // These have had no statement for the primary since.
        for (const auto* front : { "front-3", "front-4", "front-5" })
            world.seen(front, world.now_ - cut + 10ms, 0ms);
    }
    REQUIRE_FALSE(world.orders_.empty());
    CHECK(world.orderedAt_ - cut <= 500ms);
}

// Guards against a decision before the instances that reach the primary had the time to say so.
TEST_CASE("a primary that one instance and the leader do not reach is kept while reports of the others are on the way")
{
    World world;
    for (const auto* front : { "front-1", "front-2", "front-3" })
        world.seen(front, 10ms, 0ms);
    world.run(10ms);
    world.dark_.insert(EndpointId("i1"));
    for (int i = 1; i < 12; ++i) {
        world.seen("front-1", i * 240ms, i * 240ms - 5ms);
        world.run(240ms);
        world.seen("front-2", 10ms, 0ms);
        world.seen("front-3", 10ms, 0ms);
    }
    CHECK(world.did<ProbeAction>());
    CHECK(world.orders_.empty());
}

// Replays "all replicas far behind": one endpoint of three serves all reads, for as long as the others apply their log.
TEST_CASE("a strained primary whose replicas have only not applied the log is replaced, and not again at once")
{
    World world;
    world.positions_
        = { { EndpointId("i1"), { 1, 100 } }, { EndpointId("i2"), { 1, 100 } }, { EndpointId("i3"), { 1, 100 } } };
    world.lags_ = { { EndpointId("i2"), 8s }, { EndpointId("i3"), 6s } };
    const auto begun = world.now_;
    world.strain(2s);
    CHECK(world.did<StepDownAction>());
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ != EndpointId("i1"));
    // Statements are turned away for no longer than the objectives of two of their attempts, 1 s.
    CHECK(world.orderedAt_ - begun <= 1s);
    world.report(world.orders_[0].endpoint_.value_, EndpointRole::Primary);
    world.report("i1", EndpointRole::Replica);
    world.strain(5s);
    CHECK(world.orders_.size() == 1);
}

// Guards against a change of primary that helps nobody or loses commits.
TEST_CASE("a strained primary is kept while a replica serves reads, or none receives")
{
    World near;
    near.positions_
        = { { EndpointId("i1"), { 1, 100 } }, { EndpointId("i2"), { 1, 100 } }, { EndpointId("i3"), { 1, 100 } } };
    near.lags_ = { { EndpointId("i2"), 8s }, { EndpointId("i3"), 2s } };
    near.strain(4s);
    CHECK_FALSE(near.did<StepDownAction>());

    World deaf;
    deaf.lags_ = { { EndpointId("i2"), 8s }, { EndpointId("i3"), 6s } };
    deaf.strain(4s);
    CHECK_FALSE(deaf.did<StepDownAction>());
    CHECK(deaf.orders_.empty());

    World silent;
    silent.positions_ = near.positions_;
    silent.lags_ = { { EndpointId("i2"), 8s }, { EndpointId("i3"), 6s } };
    silent.dark_.insert(EndpointId("i3"));
    silent.strain(4s);
    CHECK_FALSE(silent.did<StepDownAction>());
}

// Guards against commits that are lost when the chosen replica ceases to receive between survey and stop.
TEST_CASE("a strained primary leads again when the target does not catch up")
{
    World world;
    world.positions_
        = { { EndpointId("i1"), { 1, 100 } }, { EndpointId("i2"), { 1, 100 } }, { EndpointId("i3"), { 1, 100 } } };
    world.lags_ = { { EndpointId("i2"), 8s }, { EndpointId("i3"), 6s } };
    world.stopsAt_ = LogPosition { 1, 120 };
    world.strain(3s);
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i1"));
}

// Guards against a commit that the old primary acknowledged last and the new one lacks.
TEST_CASE("a primary that leaves stops first, and the target catches up")
{
    World world;
    world.report("i1", EndpointRole::Primary, true);
    world.run(200ms);
    CHECK(world.did<StepDownAction>());
    CHECK(world.orders_.empty()); // i3 lacks 100.
    world.positions_[EndpointId("i3")] = { 1, 100 };
    world.run(200ms);
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i3"));
}

TEST_CASE("a primary that leaves is replaced although the target does not catch up, unless replicas confirm commits")
{
    World world;
    world.report("i1", EndpointRole::Primary, true);
    world.run(1s);
    CHECK(world.orders_.size() == 1);
    // The last commits have reached no replica, so they were not acknowledged. No later one can be: both are paused.
    World confirmed(1);
    confirmed.report("i1", EndpointRole::Primary, true);
    confirmed.run(1s);
    REQUIRE(confirmed.orders_.size() == 1);
    CHECK(confirmed.orders_[0].endpoint_ == EndpointId("i3"));
    CHECK(confirmed.pausedBeforeOrder_ == 2);
    // A replica that does not answer may have confirmed what the target lacks.
    World unsure(1);
    unsure.report("i1", EndpointRole::Primary, true);
    unsure.dark_.insert(EndpointId("i2"));
    unsure.run(3s);
    CHECK(unsure.orders_.empty());
}

// Guards against a planned replacement that loses what a primary acknowledges that control does not reach, or that does
// not confirm that it has stopped.
TEST_CASE(
    "with synchronous replicas, a leaving primary that cannot be stopped is replaced after a pause of the replicas")
{
    World unreachable(1);
    unreachable.report("i1", EndpointRole::Primary, true);
    unreachable.dark_.insert(EndpointId("i1"));
    unreachable.run(1s);
    REQUIRE(unreachable.orders_.size() == 1);
    CHECK(unreachable.orders_[0].endpoint_ == EndpointId("i3"));
    CHECK(unreachable.pausedBeforeOrder_ == 2);

    World unconfirmed(1);
    unconfirmed.report("i1", EndpointRole::Primary, true);
    unconfirmed.losesStepDown_ = true;
    unconfirmed.run(1s);
    CHECK(unconfirmed.did<StepDownAction>());
    REQUIRE(unconfirmed.orders_.size() == 1);
    CHECK(unconfirmed.pausedBeforeOrder_ == 2);

    // Without synchronous replicas neither waits for anything else.
    World plain;
    plain.report("i1", EndpointRole::Primary, true);
    plain.dark_.insert(EndpointId("i1"));
    plain.run(400ms);
    CHECK(plain.orders_.size() == 1);
    CHECK(plain.pausedBeforeOrder_ == 0);
}

// Guards against the response to an earlier question that is taken for the confirmation of a later order.
TEST_CASE("a late response confirms neither a stop nor a pause")
{
    World world(1);
    world.report("i1", EndpointRole::Primary, true);
    world.losesStepDown_ = true;
    world.run(50ms);
    REQUIRE(world.duty_.groups_.at(group).phase_ == PromotionPhase::SteppingDown);
    handleResult(
        world.duty_, SurveyResult { EndpointId("i1"), LogPosition { 1, 99 }, 1, 0ms, 1, EndpointRole::Replica, 1 });
    world.run(50ms);
    CHECK(world.duty_.groups_.at(group).phase_ == PromotionPhase::SteppingDown);
    CHECK_FALSE(world.duty_.groups_.at(group).hasStopped_);
}

// Guards against replicas that stay paused when the leader that paused them ends: the primary waits for them.
TEST_CASE("a new leader ends the pauses of an earlier one, after orders that may still be executed")
{
    World world(1);
    beginDuty(world.duty_, world.now_);
    world.run(200ms);
    CHECK_FALSE(world.did<ResumeAction>()); // The grants of earlier leaders are not known yet.
    world.duty_.latestGrants_ = { { group, EndpointId("i2") } };
    world.run(1s);
    CHECK_FALSE(world.did<ResumeAction>());
    for (int i = 0; i < 20; ++i) {
        world.report("i1", EndpointRole::Primary);
        world.report("i2", EndpointRole::Replica);
        world.report("i3", EndpointRole::Replica);
        world.run(250ms);
    }
    std::set<EndpointId> resumed;
    for (const auto& action : world.all_) {
        if (const auto* resume = std::get_if<ResumeAction>(&action))
            resumed.insert(resume->endpoint_);
    }
    CHECK(resumed == std::set { EndpointId("i2"), EndpointId("i3") });
}

// Guards against a promotion that loses a commit that one replica confirmed and the target does not hold.
TEST_CASE("where replicas confirm commits, all that could hold one are asked and stop first")
{
    World world(1);
    world.loseThePrimary(1s);
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i3"));
    CHECK(world.pauses() == 2);

    World unsure(1);
    unsure.dark_.insert(EndpointId("i2"));
    unsure.loseThePrimary(3s);
    CHECK(unsure.orders_.empty()); // i2 may hold a commit that i3 lacks.
    CHECK(unsure.pauses() == 0); // A pause could not have led to a promotion.

    World interrupted(1);
    interrupted.pauseUnanswered_ = EndpointId("i2");
    interrupted.loseThePrimary(700ms);
    CHECK(interrupted.orders_.empty());
    CHECK(interrupted.pauses() >= 2);
    interrupted.dark_.clear();
    for (int i = 0; i < 20; ++i) {
        interrupted.report("i1", EndpointRole::Primary);
        interrupted.seen("front-1", 10ms, 0ms);
        interrupted.seen("front-2", 10ms, 0ms);
        interrupted.run(100ms);
    }
    CHECK(interrupted.did<ResumeAction>());
    CHECK(interrupted.duty_.groups_.at(group).paused_.empty());

    // So may a replica that has not been heard of for long.
    World silent(1);
    silent.dark_.insert(EndpointId("i2"));
    for (int i = 0; i < 50; ++i) {
        silent.report("i3", EndpointRole::Replica);
        silent.loseThePrimary(100ms);
    }
    CHECK(silent.orders_.empty());
}

// Guards against two orders with one fence: the older may be carried out after newer ones.
TEST_CASE("an order without an answer is repeated with a higher fence")
{
    World world;
    world.orderOutcome_ = OrderOutcome::Unknown;
    world.loseThePrimary(3s);
    REQUIRE(world.orders_.size() >= 2);
    for (std::size_t i = 1; i < world.orders_.size(); ++i) {
        CHECK(world.orders_[i].fence_ > world.orders_[i - 1].fence_);
        CHECK(world.orders_[i].endpoint_ == world.orders_[0].endpoint_);
    }
}

// Guards against repeating what the authority has refused: the target may not be running.
TEST_CASE("after a refusal another target is ordered, with a new fence")
{
    World world;
    world.orderOutcome_ = OrderOutcome::Refused;
    world.loseThePrimary(1s);
    REQUIRE(world.orders_.size() >= 2);
    CHECK(world.orders_[1].endpoint_ == EndpointId("i2"));
    CHECK(world.orders_[1].fence_ > world.orders_[0].fence_);
}

// Guards against a leader without a majority that orders with a fence it does not have.
TEST_CASE("without a grant nothing is ordered")
{
    World world;
    world.grants_ = false;
    world.loseThePrimary(3s);
    CHECK(world.orders_.empty());
}

TEST_CASE("a group in which nobody claims to lead gets a primary")
{
    World world;
    world.report("i1", EndpointRole::Replica);
    world.run(world.options_.missingPrimaryTimeout_ + 1s);
    CHECK_FALSE(world.orders_.empty());
}

// Guards against a choice among endpoints that are leaving or were not heard of.
TEST_CASE("endpoints that leave or are silent are no targets")
{
    World world;
    world.report("i3", EndpointRole::Replica, true);
    world.loseThePrimary(1s);
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i2"));
}

// Guards against results of an earlier question that move a later state.
TEST_CASE("answers that nobody waits for change nothing")
{
    World world;
    world.run(100ms);
    handleResult(world.duty_, ProbeResult { EndpointId("i1"), false });
    handleResult(world.duty_, SurveyResult { EndpointId("i3"), LogPosition { 9, 9 }, 9 });
    handleResult(world.duty_, GrantResult { group, 7 });
    handleResult(world.duty_, OrderResult { group, OrderOutcome::Accepted });
    world.run(100ms);
    CHECK(world.duty_.groups_.at(group).phase_ == PromotionPhase::Watching);
    CHECK(world.all_.empty());
}

// Guards against a second primary: the authority does not stop the old one, so nobody may use it any more.
TEST_CASE("without fences a promotion waits until the leases on the old primary have ended")
{
    World world;
    world.gate_ = PromotionGate { .mayOrder_ = true };
    const auto leases = [&] { return usablePrimaries(world.duty_, world.registry_, world.catalog_); };
    world.run(100ms);
    CHECK(leases() == std::vector { PrimaryLease { group, EndpointId("i1") } });
    world.loseThePrimary(1s);
    CHECK(leases().empty());
    CHECK(world.orders_.empty());
    CHECK(world.duty_.groups_.at(group).phase_ == PromotionPhase::EndingLeases);
    world.gate_->endedLeases_.insert(group);
    world.gate_->mayOrder_ = false; // Another leader may still order.
    world.run(100ms);
    CHECK(world.orders_.empty());
    world.gate_->mayOrder_ = true;
    world.run(100ms);
    REQUIRE(world.orders_.size() == 1);
    world.report("i3", EndpointRole::Primary);
    world.run(50ms);
    CHECK(leases() == std::vector { PrimaryLease { group, EndpointId("i3") } });
}

// Guards against positions that are taken while instances may still be told of commits: the pause of a replica may end
// by itself at any time, for instance with a restart or with a resumption that is executed late.
TEST_CASE("with synchronous replicas positions are taken after the leases on the primary have ended")
{
    World world(1);
    world.gate_ = PromotionGate { .mayOrder_ = true, .checksFences_ = true };
    const auto leases = [&] { return usablePrimaries(world.duty_, world.registry_, world.catalog_, true); };
    world.run(100ms);
    CHECK(leases() == std::vector { PrimaryLease { group, EndpointId("i1") } });
    world.loseThePrimary(1s);
    CHECK(leases().empty());
    CHECK(world.pauses() == 2);
    CHECK_FALSE(world.did<GrantAction>());
    // i2 receives again, and confirms commits that i3 lacks.
    world.positions_[EndpointId("i2")] = { 1, 104 };
    world.run(300ms);
    CHECK_FALSE(world.did<GrantAction>());
    world.gate_->endedLeases_.insert(group);
    world.run(200ms);
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i2"));
    world.report("i2", EndpointRole::Primary);
    world.run(50ms);
    CHECK(leases() == std::vector { PrimaryLease { group, EndpointId("i2") } });
}

// Guards against a lease on a primary whose replacement an earlier leader may have ordered, and against leases that
// stay withdrawn after a replacement that was given up before its order.
TEST_CASE("with synchronous replicas an order that may be open withdraws the lease, a grant alone does not")
{
    World world(1);
    world.gate_ = PromotionGate { .mayOrder_ = false, .checksFences_ = true };
    const auto leases = [&] { return usablePrimaries(world.duty_, world.registry_, world.catalog_, true); };
    world.duty_.latestGrants_.reset();
    CHECK(leases().empty());
    world.duty_.latestGrants_ = { { group, EndpointId("i3") } };
    CHECK(leases().empty());
    world.duty_.latestGrants_.emplace();
    CHECK(leases().size() == 1);
    // The primary leaves, and does not answer the order to step down: nothing was ordered.
    world.losesStepDown_ = true;
    world.gate_->endedLeases_ = {};
    world.report("i1", EndpointRole::Primary, true);
    world.run(400ms);
    CHECK(world.did<GrantAction>());
    CHECK(world.orders_.empty());
    world.report("i1", EndpointRole::Primary);
    world.run(4s);
    CHECK(world.orders_.empty());
    world.report("i1", EndpointRole::Primary);
    world.duty_.groups_.at(group).phase_ = PromotionPhase::Watching;
    CHECK(leases().size() == 1);
}

// Guards against promotions and leases that change where no replica confirms commits.
TEST_CASE("with fences and without synchronous replicas nothing is leased")
{
    World world;
    world.gate_ = PromotionGate { .checksFences_ = true };
    world.loseThePrimary(500ms);
    CHECK(usablePrimaries(world.duty_, world.registry_, world.catalog_, true).empty());
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i3"));
}

TEST_CASE("a primary that has stepped down itself needs no end of leases")
{
    World world;
    world.gate_ = PromotionGate { .mayOrder_ = true };
    world.report("i1", EndpointRole::Primary, true);
    world.positions_[EndpointId("i3")] = { 1, 100 };
    world.run(1s);
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i3"));
}

// Guards against an order that is executed after one for another endpoint, and takes the lead from it.
TEST_CASE("without fences no other endpoint is ordered while an order may be executed late")
{
    World world;
    world.gate_ = PromotionGate { .mayOrder_ = true, .endedLeases_ = { group } };
    world.orderOutcome_ = OrderOutcome::Unknown;
    world.loseThePrimary(1s);
    REQUIRE_FALSE(world.orders_.empty());
    const auto target = world.orders_[0].endpoint_;
    world.dark_.insert(target);
    world.orderOutcome_ = OrderOutcome::Refused; // It is not running now, and may run when the first order is executed.
    const auto unanswered = world.orders_.size();
    world.loseThePrimary(2s);
    world.report("i2", EndpointRole::Replica);
    world.loseThePrimary(world.options_.lateOrderTimeout_ - 3500ms);
    for (const auto& order : world.orders_)
        CHECK(order.endpoint_ == target);
    CHECK(world.orders_.size() > unanswered);
    world.report("i2", EndpointRole::Replica);
    world.loseThePrimary(3s);
    CHECK(world.orders_.back().endpoint_ != target);
}

// Guards against a lease on a primary whose successor an earlier leader has already ordered.
TEST_CASE("a new leader completes the promotion that an earlier one was granted")
{
    World world;
    beginDuty(world.duty_, world.now_);
    world.gate_ = PromotionGate { .mayOrder_ = false, .endedLeases_ = { group } };
    world.duty_.latestGrants_ = { { group, EndpointId("i2") } };
    world.run(300ms);
    CHECK(usablePrimaries(world.duty_, world.registry_, world.catalog_).empty());
    CHECK(world.orders_.empty());
    world.gate_->mayOrder_ = true;
    world.run(300ms);
    REQUIRE(world.orders_.size() == 1);
    CHECK(world.orders_[0].endpoint_ == EndpointId("i2"));
    CHECK(world.duty_.groups_.at(group).cause_ == PromotionCause::Unfinished);
}
