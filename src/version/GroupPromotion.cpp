#include "version/GroupRules.h"

#include <algorithm>
#include <random>

namespace cassiahollow::group {

namespace {

    void recordPhase(Actions& actions, FailoverPhase phase, Duration duration, bool planned)
    {
        actions.push_back(RecordPhase { phase, duration, planned });
    }

    std::string logPrefix(const GroupState& state)
    {
        return "group " + state.group_.value_ + ": ";
    }

    void sendOrders(GroupState& state, TimePoint now, Actions& actions)
    {
        auto& promotion = *state.promotion_;
        promotion.lastSentAt_ = now;
        if (promotion.chosen_) {
            actions.push_back(
                SendOrder { OrderKind::Promote, *promotion.chosen_, promotion.term_, state.promoter_, {} });
            return;
        }
        for (const auto& member : state.members_) {
            if (!promotion.fencedPositions_.contains(member.endpoint_))
                actions.push_back(
                    SendOrder { OrderKind::Fence, member.endpoint_, promotion.term_, state.promoter_, {} });
        }
    }

    /// Starts a promotion whose conditions are all met. `promotion.gapStartedAt_` is the start of the failover gap.
    void startPromotion(GroupState& state, TimePoint now, Promotion promotion, Actions& actions)
    {
        promotion.term_ = std::max({ state.highestPromised_, state.refusedTerm_, state.lastOwnTerm_, state.term_ }) + 1;
        promotion.startedAt_ = now;
        promotion.hadPrimary_ = !state.primary_.empty();
        state.lastOwnTerm_ = promotion.term_;
        state.decidableSince_.reset();
        state.unconfirmedPromotion_.reset();
        if (promotion.fromSuspicion_ && promotion.hadPrimary_ && state.failedAttempts_ == 0) {
            recordPhase(actions, FailoverPhase::Detect, *state.suspectedSince_ - promotion.gapStartedAt_, false);
            recordPhase(actions, FailoverPhase::Decide, now - *state.suspectedSince_, false);
        }
        state.promotion_ = std::move(promotion);
        actions.push_back(
            LogChange { logPrefix(state) + "promotion starts in term " + std::to_string(state.promotion_->term_) });
        sendOrders(state, now, actions);
    }

    std::size_t watchersIn(const GroupState& state, const DataCentre& centre)
    {
        return static_cast<std::size_t>(std::count_if(state.watchers_.begin(), state.watchers_.end(),
            [&](const GroupWatcher& watcher) { return watcher.alive_ && watcher.dataCentre_ == centre; }));
    }

    /// Whether `left` is preferred to `right` as the new primary. Both have responded to `fence`.
    bool isPreferred(
        const GroupState& state, const Promotion& promotion, const MemberState& left, const MemberState& right)
    {
        const auto& leftPosition = promotion.fencedPositions_.at(left.endpoint_);
        const auto& rightPosition = promotion.fencedPositions_.at(right.endpoint_);
        if (leftPosition != rightPosition)
            return leftPosition > rightPosition;
        if (promotion.preferred_
            && (left.endpoint_ == *promotion.preferred_) != (right.endpoint_ == *promotion.preferred_))
            return left.endpoint_ == *promotion.preferred_;
        const bool leftLeaves = left.report_ && left.report_->leaving_;
        const bool rightLeaves = right.report_ && right.report_->leaving_;
        if (leftLeaves != rightLeaves)
            return rightLeaves;
        const auto leftWatchers = watchersIn(state, left.dataCentre_);
        const auto rightWatchers = watchersIn(state, right.dataCentre_);
        if (leftWatchers != rightWatchers)
            return leftWatchers > rightWatchers;
        return left.endpoint_ < right.endpoint_;
    }

    void choosePrimary(GroupState& state, TimePoint now, Actions& actions)
    {
        auto& promotion = *state.promotion_;
        const MemberState* best = nullptr;
        for (const auto& member : state.members_) {
            if (promotion.fencedPositions_.contains(member.endpoint_)
                && (!best || isPreferred(state, promotion, member, *best)))
                best = &member;
        }
        promotion.chosen_ = best->endpoint_;
        promotion.chosenAt_ = now;
        if (promotion.hadPrimary_)
            recordPhase(actions, FailoverPhase::Fence, now - promotion.startedAt_, promotion.planned_);
        sendOrders(state, now, actions);
    }

    void advanceOrders(GroupState& state, TimePoint now, Actions& actions)
    {
        const auto& promotion = *state.promotion_;
        const auto& timings = state.timings_;
        const auto hasNewerPromise
            = std::any_of(state.members_.begin(), state.members_.end(), [&](const MemberState& member) {
                  return member.report_ && member.report_->promisedTerm_ > promotion.term_;
              });
        const auto hasPromise
            = std::any_of(state.members_.begin(), state.members_.end(), [&](const MemberState& member) {
                  return member.report_ && member.report_->promisedTerm_ == promotion.term_;
              });
        if (!promotion.chosen_ && hasNewerPromise) {
            abandonPromotion(state, "a member has promised a newer term", actions);
        } else if (promotion.chosen_ && now - promotion.chosenAt_ >= timings.promotionTimeout_) {
            abandonPromotion(state, promotion.chosen_->value_ + " does not respond to promote", actions);
        } else if (promotion.fencedPositions_.empty() && !hasPromise
            && (promotion.fromSuspicion_ ? primaryStatus(state, now) == PrimaryStatus::Reachable
                                         : now - promotion.startedAt_ >= timings.promotionTimeout_)) {
            // No member is known to be fenced, so nothing has to be repaired.
            abandonPromotion(state, "the primary is reporting", actions);
        } else if (!promotion.chosen_ && promotion.fencedPositions_.size() >= majority(state)) {
            choosePrimary(state, now, actions);
        } else if (now - promotion.lastSentAt_ >= timings.resendInterval_) {
            sendOrders(state, now, actions);
        }
    }

    bool isIntervalElapsed(const GroupState& state, TimePoint now)
    {
        return !state.lastPromotionAt_ || now - *state.lastPromotionAt_ >= state.timings_.promotionInterval_;
    }

    /// Whether a promotion of another watcher may still complete.
    bool isOtherPromotionPending(const GroupState& state, TimePoint now)
    {
        return state.highestPromised_ > state.term_ && state.highestPromised_ != state.lastOwnTerm_
            && now - state.highestPromisedSince_ < state.timings_.promotionTimeout_;
    }

    /// Whether a member has promised a term without a primary, so that it accepts no entries from the current primary.
    bool hasMemberAheadOfPrimary(const GroupState& state)
    {
        return std::any_of(state.members_.begin(), state.members_.end(),
            [&](const MemberState& member) { return member.report_ && member.report_->promisedTerm_ > state.term_; });
    }

    void advanceDecision(GroupState& state, TimePoint now, Actions& actions)
    {
        const auto rank = rankOf(state);
        const auto view = primaryStatus(state, now);
        const bool suspicion = state.suspectedSince_
            && (view == PrimaryStatus::Unreachable ? hasVoteQuorum(state, now)
                                                   : view == PrimaryStatus::Absent
                        && now - *state.suspectedSince_ >= state.timings_.absentPrimaryDelay_);
        const bool repair = view == PrimaryStatus::Reachable && hasMemberAheadOfPrimary(state);
        // Without a majority, a promotion cannot succeed and would only leave promises of terms that a later promotion
        // has to exceed.
        const bool isDecidable = rank && (suspicion || repair) && !isOtherPromotionPending(state, now)
            && isIntervalElapsed(state, now) && hasMajority(state, now);
        if (!isDecidable) {
            state.decidableSince_.reset();
            return;
        }
        if (!state.decidableSince_)
            state.decidableSince_ = now;
        if (now - *state.decidableSince_ < static_cast<int>(*rank) * state.timings_.rankDelay_ + state.backoff_)
            return;
        Promotion promotion;
        promotion.fromSuspicion_ = suspicion;
        const auto* primary = find(state, state.primary_);
        promotion.gapStartedAt_ = suspicion && primary && primary->lastReceivedAt_
            ? std::min(*primary->lastReceivedAt_, *state.suspectedSince_)
            : now;
        if (state.plannedChange_)
            promotion.preferred_ = state.plannedChange_->preferred_;
        else if (repair)
            promotion.preferred_ = state.primary_;
        startPromotion(state, now, std::move(promotion), actions);
    }

    void endChange(GroupState& state, Actions& actions)
    {
        if (!state.plannedChange_)
            return;
        if (state.plannedChange_->pausedAt_)
            actions.push_back(ResumeWrites {});
        state.plannedChange_.reset();
    }

    void advanceChange(GroupState& state, TimePoint now, Actions& actions)
    {
        auto& change = *state.plannedChange_;
        const auto* preferred = find(state, change.preferred_);
        const auto* primary = find(state, state.primary_);
        const bool isReachable = primaryStatus(state, now) == PrimaryStatus::Reachable;
        if (!preferred || !primary || (change.pausedAt_ && now - *change.pausedAt_ >= state.timings_.catchUpTimeout_)) {
            actions.push_back(LogChange { logPrefix(state) + "planned change to " + change.preferred_.value_
                + " is given up; order it again when the replica has caught up" });
            endChange(state, actions);
            return;
        }
        if (!isReachable)
            return;
        if (!change.pausedAt_) {
            if (!isIntervalElapsed(state, now))
                return;
            change.pausedAt_ = now;
            actions.push_back(PauseWrites {});
        }
        const bool isCaughtUp = isFresh(state, *preferred, now) && isFresh(state, *primary, now)
            && preferred->report_->promisedTerm_ == state.term_
            && preferred->report_->position_ >= primary->report_->position_;
        if (!isCaughtUp)
            change.caughtUpSince_.reset();
        else if (!change.caughtUpSince_)
            change.caughtUpSince_ = now;
        if (!isCaughtUp || now - *change.caughtUpSince_ < state.timings_.caughtUpTime_ || !hasMajority(state, now))
            return;
        recordPhase(actions, FailoverPhase::CatchUp, now - *change.pausedAt_, true);
        Promotion promotion;
        promotion.planned_ = true;
        promotion.preferred_ = change.preferred_;
        promotion.gapStartedAt_ = *change.pausedAt_;
        startPromotion(state, now, std::move(promotion), actions);
    }

    /// Whether the member appears not to follow the primary.
    bool needsFollow(const GroupState& state, const MemberState& member, const MemberState& primary, TimePoint now)
    {
        if (!isFresh(state, member, now) || member.report_->promisedTerm_ > state.term_)
            return false;
        if (member.report_->promisedTerm_ < state.term_ || member.reconnected_)
            return true;
        if (member.followedTerm_ != state.term_ && member.report_->position_.term_ < state.term_)
            return true;
        return member.report_->position_ < primary.report_->position_
            && now - member.lastProgressAt_ >= state.timings_.stallTimeout_;
    }

    void advanceFollowers(GroupState& state, TimePoint now, Actions& actions)
    {
        const auto* primary = find(state, state.primary_);
        if (!primaryOf(state) || !isFresh(state, *primary, now))
            return;
        // The promoter sends `follow` immediately; the other watchers wait to give it time to do so.
        const auto rank = static_cast<int>(rankOf(state).value_or(0));
        const auto delay = state.lastOwnTerm_ == state.term_
            ? Duration()
            : state.timings_.resendInterval_ + rank * state.timings_.rankDelay_;
        for (auto& member : state.members_) {
            if (member.endpoint_ == state.primary_)
                continue;
            if (member.report_ && member.report_->position_ >= primary->report_->position_)
                member.lastProgressAt_ = now;
            if (!needsFollow(state, member, *primary, now)) {
                member.followNeededSince_.reset();
                member.followSentAt_.reset();
                continue;
            }
            if (!member.followNeededSince_)
                member.followNeededSince_ = now;
            if (now - *member.followNeededSince_ < delay
                || (member.followSentAt_ && now - *member.followSentAt_ < state.timings_.resendInterval_))
                continue;
            member.followSentAt_ = now;
            actions.push_back(
                SendOrder { OrderKind::Follow, member.endpoint_, state.term_, state.promoter_, state.primary_ });
        }
    }

    /// Whether a majority holds an entry of the primary's term, so that writes can be confirmed.
    bool isEstablished(const GroupState& state)
    {
        return state.term_ > 0 && isConfirmed(state, { state.term_, 0 });
    }

    void confirmPromotion(GroupState& state, TimePoint now, Actions& actions)
    {
        const auto& unconfirmed = *state.unconfirmedPromotion_;
        if (unconfirmed.promotion_.term_ != state.term_) {
            state.unconfirmedPromotion_.reset();
            return;
        }
        if (!isEstablished(state))
            return;
        if (unconfirmed.promotion_.hadPrimary_) {
            recordPhase(actions, FailoverPhase::Route, now - unconfirmed.promotedAt_, unconfirmed.promotion_.planned_);
            recordPhase(actions, FailoverPhase::Total, now - unconfirmed.promotion_.gapStartedAt_,
                unconfirmed.promotion_.planned_);
        }
        state.unconfirmedPromotion_.reset();
    }

} // namespace

void handleFenceResponse(GroupState& state, const OrderResponded& event)
{
    if (state.promotion_ && state.promotion_->term_ == event.term_ && !state.promotion_->chosen_)
        state.promotion_->fencedPositions_[event.report_.endpoint_] = event.report_.position_;
}

void handleRefusal(GroupState& state, const OrderRefused& event, Actions& actions)
{
    const bool own = state.promotion_ && state.promotion_->term_ == event.term_;
    const bool current = own
        && (event.kind_ == OrderKind::Promote ? state.promotion_->chosen_ == event.endpoint_
                                              : event.kind_ == OrderKind::Fence && !state.promotion_->chosen_);
    // The time limit for other promoters starts with a report, not with a refusal: the refusing member may have
    // promised its term long ago, in a promotion that never completed.
    state.refusedTerm_ = std::max(state.refusedTerm_, event.promisedTerm_);
    if (current && event.promisedTerm_ >= event.term_)
        abandonPromotion(
            state, event.endpoint_.value_ + " has promised term " + std::to_string(event.promisedTerm_), actions);
}

void startPlannedChange(GroupState& state, const ChangeOrdered& event, Actions& actions)
{
    const auto primary = primaryOf(state);
    if (!primary || *primary == event.preferred_ || !find(state, event.preferred_) || state.plannedChange_
        || state.promotion_) {
        actions.push_back(LogChange { logPrefix(state) + "planned change to " + event.preferred_.value_
            + " is not possible now; check the group's members and primary, then order it again" });
        return;
    }
    state.plannedChange_ = PlannedChange { event.preferred_, {}, {} };
}

void abandonPromotion(GroupState& state, const std::string& cause, Actions& actions)
{
    actions.push_back(LogChange { logPrefix(state) + "promotion in term " + std::to_string(state.promotion_->term_)
        + " is abandoned: " + cause });
    ++state.failedAttempts_;
    // Watchers that disagree about which watchers are alive can have the same rank and would repeatedly start
    // promotions at the same time. The random delay is added to the rank delay, after all other conditions are met,
    // because those conditions (such as the time limit for other promoters) are met for all watchers at about the same
    // time.
    const auto longest = static_cast<int>(std::min(state.failedAttempts_, 4U)) * state.timings_.backoffUnit_;
    state.backoff_ = Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(state.random_));
    if (state.promotion_->planned_)
        endChange(state, actions);
    state.promotion_.reset();
}

void finishPromotion(GroupState& state, TimePoint now, Actions& actions)
{
    if (state.promotion_ && state.promotion_->term_ <= state.term_) {
        if (state.promotion_->term_ == state.term_) {
            if (state.promotion_->hadPrimary_)
                recordPhase(
                    actions, FailoverPhase::Promote, now - state.promotion_->chosenAt_, state.promotion_->planned_);
            state.unconfirmedPromotion_ = UnconfirmedPromotion { std::move(*state.promotion_), now };
        }
        state.promotion_.reset();
    }
    for (auto& member : state.members_) {
        member.followNeededSince_.reset();
        member.followSentAt_.reset();
    }
    state.failedAttempts_ = 0;
    state.backoff_ = {};
    state.decidableSince_.reset();
    endChange(state, actions);
}

void advancePromotion(GroupState& state, TimePoint now, Actions& actions)
{
    if (state.plannedChange_ && !state.promotion_)
        advanceChange(state, now, actions);
    if (!state.promotion_)
        advanceDecision(state, now, actions);
    if (state.promotion_)
        advanceOrders(state, now, actions);
    // A primary that another promoter fenced before it could confirm a write does not count as a promotion: with the
    // minimum interval, the group would otherwise stay without a primary for 5 s.
    if (state.unconfirmedPromotionAt_ && isEstablished(state)) {
        state.lastPromotionAt_ = state.unconfirmedPromotionAt_;
        state.unconfirmedPromotionAt_.reset();
    }
    if (state.unconfirmedPromotion_)
        confirmPromotion(state, now, actions);
    advanceFollowers(state, now, actions);
}

} // namespace cassiahollow::group
