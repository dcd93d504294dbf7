#include "cassiahollow/version/GroupTerm.h"

#include "version/GroupRules.h"

#include <algorithm>
#include <functional>
#include <set>

namespace cassiahollow {

namespace group {

    MemberState* find(GroupState& state, const EndpointId& endpoint)
    {
        for (auto& member : state.members_) {
            if (member.endpoint_ == endpoint)
                return &member;
        }
        return nullptr;
    }

    const MemberState* find(const GroupState& state, const EndpointId& endpoint)
    {
        return find(const_cast<GroupState&>(state), endpoint);
    }

    std::size_t majority(const GroupState& state)
    {
        return state.members_.size() / 2 + 1;
    }

    bool isFresh(const GroupState& state, const MemberState& member, TimePoint now)
    {
        return member.lastReceivedAt_ && now - *member.lastReceivedAt_ <= state.timings_.suspicionTimeout_;
    }

    PrimaryStatus primaryStatus(const GroupState& state, TimePoint now)
    {
        if (const auto primary = primaryOf(state))
            return find(state, *primary)->unreachable_ ? PrimaryStatus::Unreachable : PrimaryStatus::Reachable;
        // Without a known primary, any member that does not report may be the primary.
        auto view = PrimaryStatus::Absent;
        for (const auto& member : state.members_) {
            if (member.unreachable_)
                view = PrimaryStatus::Unreachable;
            else if (!isFresh(state, member, now))
                return PrimaryStatus::Undetermined;
        }
        return view;
    }

    std::optional<std::size_t> rankOf(const GroupState& state)
    {
        std::size_t rank = 0;
        bool isWatcher = false;
        for (const auto& watcher : state.watchers_) {
            isWatcher |= watcher.instance_ == state.self_;
            rank += watcher.alive_ && watcher.instance_ < state.self_;
        }
        return isWatcher ? std::optional(rank) : std::nullopt;
    }

    bool hasVoteQuorum(const GroupState& state, TimePoint now)
    {
        std::set<DataCentre> memberCentres;
        for (const auto& member : state.members_)
            memberCentres.insert(member.dataCentre_);
        std::set<DataCentre> liveCentres;
        std::set<DataCentre> votingCentres;
        std::size_t live = 0;
        std::size_t voting = 0;
        for (const auto& watcher : state.watchers_) {
            const bool self = watcher.instance_ == state.self_;
            const auto received = state.votes_.find(watcher.instance_);
            const bool isRecent
                = received != state.votes_.end() && now - received->second.receivedAt_ <= state.timings_.voteLifetime_;
            if (!self && !watcher.alive_ && !isRecent)
                continue;
            ++live;
            liveCentres.insert(watcher.dataCentre_);
            // A term has at most one primary, so the term identifies the primary of a vote. A voter without a primary
            // sends the highest promised term.
            if (!self && !(isRecent && received->second.vote_.suspects_ && received->second.vote_.term_ >= state.term_))
                continue;
            ++voting;
            votingCentres.insert(watcher.dataCentre_);
        }
        if (live <= 1)
            return true;
        // If all other data centres are lost, no watcher in a second one can vote. This is safe because a promotion
        // still needs fence responses from a majority.
        if (memberCentres.size() <= 1 || liveCentres.size() <= 1)
            return voting >= 2;
        return votingCentres.size() >= 2;
    }

    void recordPromisedTerm(GroupState& state, Term term, TimePoint now)
    {
        if (term <= state.highestPromised_)
            return;
        state.highestPromised_ = term;
        state.highestPromisedSince_ = now;
    }

    void recordPrimary(GroupState& state, const MemberReport& report, TimePoint now, Actions& actions)
    {
        if (report.role_ != EndpointRole::Primary)
            return;
        if (report.promisedTerm_ == state.term_ && !state.primary_.empty() && state.primary_ != report.endpoint_) {
            actions.push_back(LogChange { "group " + state.group_.value_ + ": " + report.endpoint_.value_ + " and "
                + state.primary_.value_ + " both report to be primary of term " + std::to_string(state.term_) });
            return;
        }
        if (report.promisedTerm_ <= state.term_)
            return;
        // A state that has seen neither an earlier primary nor the absence of one cannot distinguish a new promotion
        // from an old one.
        const bool own = state.promotion_ && state.promotion_->term_ == report.promisedTerm_;
        state.unconfirmedPromotionAt_.reset();
        if (own)
            state.unconfirmedPromotionAt_ = state.promotion_->startedAt_;
        else if (state.term_ > 0 || state.suspectedSince_)
            state.unconfirmedPromotionAt_
                = state.highestPromised_ == report.promisedTerm_ ? state.highestPromisedSince_ : now;
        state.term_ = report.promisedTerm_;
        state.primary_ = report.endpoint_;
        actions.push_back(PublishRoute { state.group_, state.term_, state.primary_ });
        actions.push_back(LogChange { "group " + state.group_.value_ + ": " + state.primary_.value_
            + " is primary of term " + std::to_string(state.term_) });
        finishPromotion(state, now, actions);
    }

} // namespace group

namespace {

    using namespace group;

    void openProbe(GroupState& state, MemberState& member, TimePoint now, Actions& actions)
    {
        member.probe_ = ++state.lastProbeNumber_;
        member.probeOpenedAt_ = now;
        member.probeDueAt_.reset();
        actions.push_back(OpenProbe { member.endpoint_, member.probe_ });
    }

    void failProbe(GroupState& state, MemberState& member, TimePoint now)
    {
        member.probeOpenedAt_.reset();
        member.probeDueAt_ = now + state.timings_.probeTimeout_;
        member.unreachable_ = true;
    }

    /// Stores a report. Returns false if its promised term is lower than that of the last one: promised terms are
    /// durable, so the report is outdated, or the member has lost its disk and must not be counted.
    bool accept(GroupState& state, const MemberReport& report, TimePoint now, Actions& actions)
    {
        auto* member = find(state, report.endpoint_);
        if (!member || (member->report_ && report.promisedTerm_ < member->report_->promisedTerm_))
            return false;
        if (!member->report_ || member->report_->position_ != report.position_)
            member->lastProgressAt_ = now;
        member->report_ = report;
        member->lastReceivedAt_ = now;
        member->unreachable_ = false;
        member->probeDueAt_.reset();
        if (report.position_.term_ == report.promisedTerm_)
            member->confirmablePosition_ = std::max(member->confirmablePosition_, report.position_);
        recordPromisedTerm(state, report.promisedTerm_, now);
        recordPrimary(state, report, now, actions);
        return true;
    }

    void handle(GroupState& state, const GroupConfigured& event, TimePoint now, Actions& actions)
    {
        std::vector<MemberState> members;
        for (const auto& member : event.members_) {
            MemberState next;
            if (auto* known = find(state, member.endpoint_)) {
                next = *known;
            } else {
                next.endpoint_ = member.endpoint_;
                openProbe(state, next, now, actions);
            }
            next.dataCentre_ = member.dataCentre_;
            members.push_back(std::move(next));
        }
        state.members_.swap(members);
        for (const auto& member : members) {
            if (find(state, member.endpoint_))
                continue;
            actions.push_back(CloseWatch { member.endpoint_ });
            if (state.promotion_)
                state.promotion_->fencedPositions_.erase(member.endpoint_);
        }
        state.watchers_ = event.watchers_;
    }

    void handle(GroupState& state, const MemberReported& event, TimePoint now, Actions& actions)
    {
        accept(state, event.report_, now, actions);
    }

    void handle(GroupState& state, const WatchLost& event, TimePoint now, Actions& actions)
    {
        auto* member = find(state, event.endpoint_);
        if (!member)
            return;
        member->reconnected_ = true;
        if (!member->probeOpenedAt_ && !member->probeDueAt_)
            openProbe(state, *member, now, actions);
    }

    void handle(GroupState& state, const ProbeResponded& event, TimePoint now, Actions& actions)
    {
        auto* member = find(state, event.report_.endpoint_);
        if (!member || member->probe_ != event.probe_)
            return;
        if (!accept(state, event.report_, now, actions)) {
            if (member->probeOpenedAt_)
                failProbe(state, *member, now);
            return;
        }
        member->probeOpenedAt_.reset();
        actions.push_back(ReplaceWatch { member->endpoint_, event.probe_ });
    }

    void handle(GroupState& state, const ProbeFailed& event, TimePoint now, Actions&)
    {
        auto* member = find(state, event.endpoint_);
        if (member && member->probe_ == event.probe_ && member->probeOpenedAt_)
            failProbe(state, *member, now);
    }

    void handle(GroupState& state, const OrderResponded& event, TimePoint now, Actions& actions)
    {
        auto* member = find(state, event.report_.endpoint_);
        if (!member)
            return;
        if (event.kind_ == OrderKind::Follow && event.term_ == state.term_) {
            member->followedTerm_ = event.term_;
            member->reconnected_ = false;
        }
        // The response to `fence` is valid even if a newer report has overtaken it: it contains the position at which
        // the member stopped accepting entries of older terms.
        if (event.kind_ == OrderKind::Fence)
            handleFenceResponse(state, event);
        accept(state, event.report_, now, actions);
    }

    void handle(GroupState& state, const OrderRefused& event, TimePoint, Actions& actions)
    {
        handleRefusal(state, event, actions);
    }

    void handle(GroupState& state, const VoteReceived& event, TimePoint now, Actions&)
    {
        if (event.vote_.group_ != state.group_ || event.vote_.voter_ == state.self_)
            return;
        std::erase_if(state.votes_,
            [&](const auto& vote) { return now - vote.second.receivedAt_ > state.timings_.voteLifetime_; });
        state.votes_[event.vote_.voter_] = { event.vote_, now };
        recordPromisedTerm(state, event.vote_.highestPromised_, now);
    }

    void handle(GroupState& state, const ChangeOrdered& event, TimePoint, Actions& actions)
    {
        startPlannedChange(state, event, actions);
    }

    void handle(GroupState&, const GroupTick&, TimePoint, Actions&) { }

    void advanceProbes(GroupState& state, TimePoint now, Actions& actions)
    {
        for (auto& member : state.members_) {
            if (member.probeOpenedAt_ && now - *member.probeOpenedAt_ >= state.timings_.probeTimeout_) {
                // A report on the old watch since then makes the probe unnecessary.
                if (member.lastReceivedAt_ && *member.lastReceivedAt_ > *member.probeOpenedAt_)
                    member.probeOpenedAt_.reset();
                else
                    failProbe(state, member, now);
            }
            const bool isSilent
                = !member.lastReceivedAt_ || now - *member.lastReceivedAt_ >= state.timings_.suspicionTimeout_;
            if (!member.probeOpenedAt_ && (member.probeDueAt_ ? *member.probeDueAt_ <= now : isSilent))
                openProbe(state, member, now, actions);
        }
    }

    GroupVote makeVote(const GroupState& state, bool suspects)
    {
        const auto primary = primaryOf(state);
        return { state.group_, state.self_, primary.value_or(EndpointId()),
            primary ? state.term_ : std::max(state.term_, state.highestPromised_), suspects, state.highestPromised_ };
    }

    void advanceSuspicion(GroupState& state, TimePoint now, Actions& actions)
    {
        const auto view = primaryStatus(state, now);
        if (view == PrimaryStatus::Reachable || state.members_.empty()) {
            if (state.lastVoteSentAt_)
                actions.push_back(SendVote { makeVote(state, false) });
            if (state.suspectedSince_ && !state.primary_.empty())
                actions.push_back(LogChange {
                    "group " + state.group_.value_ + ": primary " + state.primary_.value_ + " is reporting again" });
            state.lastVoteSentAt_.reset();
            state.suspectedSince_.reset();
            return;
        }
        if (view == PrimaryStatus::Undetermined)
            return;
        if (!state.suspectedSince_) {
            state.suspectedSince_ = now;
            const auto primary = primaryOf(state);
            actions.push_back(LogChange { "group " + state.group_.value_ + ": "
                + (primary ? "primary " + primary->value_ + " does not answer" : "no member is primary") });
        }
        if (!state.lastVoteSentAt_ || now - *state.lastVoteSentAt_ >= state.timings_.probeTimeout_) {
            state.lastVoteSentAt_ = now;
            actions.push_back(SendVote { makeVote(state, true) });
        }
    }

} // namespace

GroupState makeGroupState(GroupId group, InstanceId self, std::string promoter, const GroupTimings& timings)
{
    GroupState state;
    state.group_ = std::move(group);
    state.self_ = std::move(self);
    state.random_.seed(static_cast<std::uint32_t>(std::hash<std::string>()(promoter)));
    state.promoter_ = std::move(promoter);
    state.timings_ = timings;
    return state;
}

std::vector<GroupAction> step(GroupState& state, const GroupEvent& event, TimePoint now)
{
    Actions actions;
    std::visit([&](const auto& value) { handle(state, value, now, actions); }, event);
    advanceProbes(state, now, actions);
    advanceSuspicion(state, now, actions);
    advancePromotion(state, now, actions);
    state.lastStepAt_ = now;
    return actions;
}

std::optional<EndpointId> primaryOf(const GroupState& state)
{
    const auto* member = find(state, state.primary_);
    if (!member || !member->report_ || member->report_->role_ != EndpointRole::Primary
        || member->report_->promisedTerm_ != state.term_)
        return std::nullopt;
    return state.primary_;
}

bool isConfirmed(const GroupState& state, const LogPosition& position)
{
    const auto holds = [&](const MemberState& member) {
        return member.confirmablePosition_.term_ == position.term_
            && member.confirmablePosition_.index_ >= position.index_;
    };
    const auto holders = std::count_if(state.members_.begin(), state.members_.end(), holds);
    return static_cast<std::size_t>(holders) >= majority(state);
}

std::optional<LogPosition> lastConfirmed(const GroupState& state)
{
    std::optional<LogPosition> last;
    for (const auto& member : state.members_) {
        const auto& position = member.confirmablePosition_;
        if (position.term_ == state.term_ && state.term_ > 0 && isConfirmed(state, position)
            && (!last || position > *last))
            last = position;
    }
    return last;
}

bool hasMajority(const GroupState& state, TimePoint now)
{
    const auto fresh = std::count_if(state.members_.begin(), state.members_.end(),
        [&](const MemberState& member) { return isFresh(state, member, now); });
    return static_cast<std::size_t>(fresh) >= majority(state);
}

bool mayReadAtPrimary(const GroupState& state, TimePoint now)
{
    if (!primaryOf(state))
        return false;
    const auto agreeing = std::count_if(state.members_.begin(), state.members_.end(), [&](const MemberState& member) {
        return isFresh(state, member, now) && member.report_->promisedTerm_ <= state.term_;
    });
    return static_cast<std::size_t>(agreeing) >= majority(state);
}

std::optional<LogPosition> positionOf(const GroupState& state, const EndpointId& endpoint)
{
    const auto* member = find(state, endpoint);
    return member && member->report_ ? std::optional(member->report_->position_) : std::nullopt;
}

std::optional<TimePoint> nextWakeup(const GroupState& state)
{
    std::optional<TimePoint> next;
    // The last step has handled everything that was due; an older time is waiting for another condition.
    const auto consider = [&](std::optional<TimePoint> time, Duration delay = {}) {
        if (time && *time + delay > state.lastStepAt_ && (!next || *time + delay < *next))
            next = *time + delay;
    };
    const auto& timings = state.timings_;
    const auto rank = static_cast<int>(rankOf(state).value_or(0));
    for (const auto& member : state.members_) {
        consider(member.probeOpenedAt_, timings.probeTimeout_);
        consider(member.probeDueAt_);
        consider(member.lastReceivedAt_, timings.suspicionTimeout_);
        consider(member.followSentAt_, timings.resendInterval_);
        consider(member.followNeededSince_, timings.resendInterval_ + rank * timings.rankDelay_);
        if (member.report_)
            consider(member.lastProgressAt_, timings.stallTimeout_);
    }
    consider(state.lastVoteSentAt_, timings.probeTimeout_);
    consider(state.suspectedSince_, timings.absentPrimaryDelay_);
    consider(state.decidableSince_, rank * timings.rankDelay_ + state.backoff_);
    consider(state.lastPromotionAt_, timings.promotionInterval_);
    if (state.highestPromised_ > state.term_)
        consider(state.highestPromisedSince_, timings.promotionTimeout_);
    if (state.promotion_) {
        consider(state.promotion_->lastSentAt_, timings.resendInterval_);
        consider(state.promotion_->startedAt_, timings.promotionTimeout_);
        if (state.promotion_->chosen_)
            consider(state.promotion_->chosenAt_, timings.promotionTimeout_);
    }
    if (state.plannedChange_) {
        consider(state.plannedChange_->pausedAt_, timings.catchUpTimeout_);
        consider(state.plannedChange_->caughtUpSince_, timings.caughtUpTime_);
    }
    return next;
}

} // namespace cassiahollow
