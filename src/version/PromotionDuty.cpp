#include "cassiahollow/version/PromotionDuty.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    // Two heartbeats may be lost before silence counts.
    constexpr int silentHeartbeats = 3;

    struct Turn {
        PromotionDuty& duty_;
        const EndpointRegistry& registry_;
        const RouteCatalog& catalog_;
        const PromotionOptions& options_;
        TimePoint now_;
        std::vector<PromotionAction> actions_;
    };

    void enter(Turn& turn, GroupPromotion& group, PromotionPhase phase)
    {
        group.phase_ = phase;
        group.phaseSince_ = turn.now_;
    }

    // How the instances that have lately used an endpoint see it.
    struct Verdict {
        std::size_t failing_ { 0 };
        std::size_t answered_ { 0 }; ///< They have had an answer since it began to fail.
        std::size_t uninformed_ { 0 }; ///< They use it, and know nothing that is newer than the failure.
        std::size_t strained_ { 0 };
        TimePoint failingSince_ { TimePoint::max() }; ///< By the first instance that sees it fail.
    };

    Verdict verdictOf(const Turn& turn, const EndpointId& endpoint)
    {
        Verdict verdict;
        const auto views = turn.duty_.reports_.find(endpoint);
        if (views == turn.duty_.reports_.end())
            return verdict;
        std::vector<const InstanceReport*> answered;
        for (const auto& [instance, view] : views->second) {
            if (turn.now_ - view.receivedAt_ > turn.options_.reportLifetime_)
                continue;
            verdict.strained_ += view.strained_ ? 1 : 0;
            if (view.failureAge_ > Duration::zero()) {
                ++verdict.failing_;
                verdict.failingSince_ = std::min(verdict.failingSince_, view.receivedAt_ - view.failureAge_);
            } else if (view.lastResponseAge_ < turn.options_.reportLifetime_) {
                answered.push_back(&view);
            }
        }
        for (const auto* view : answered) {
            const bool isNewer
                = verdict.failing_ == 0 || view->receivedAt_ - view->lastResponseAge_ > verdict.failingSince_;
            ++(isNewer ? verdict.answered_ : verdict.uninformed_);
        }
        return verdict;
    }

    bool isSilent(const Turn& turn, const RegisteredEndpoint& record)
    {
        return turn.now_ - record.receivedAt_ > silentHeartbeats * turn.options_.heartbeatInterval_;
    }

    std::vector<const RegisteredEndpoint*> candidates(const Turn& turn, const GroupId& id, const GroupPromotion& group)
    {
        auto endpoints = endpointsOf(turn.registry_, id);
        std::erase_if(endpoints, [&](const RegisteredEndpoint* record) {
            return record->leaving_ || record->id_ == group.primary_ || isSilent(turn, *record);
        });
        return endpoints;
    }

    void abandon(Turn& turn, GroupPromotion& group)
    {
        for (const auto& endpoint : group.paused_)
            turn.actions_.emplace_back(ResumeAction { endpoint });
        group.paused_.clear();
        enter(turn, group, PromotionPhase::Watching);
    }

    // The primary itself stops and tells where, before another one leads.
    bool isPlanned(const GroupPromotion& group)
    {
        return group.cause_ == PromotionCause::Leaving || group.cause_ == PromotionCause::Strained;
    }

    Duration surveyTime(const Turn& turn, const GroupPromotion& group)
    {
        return group.cause_ == PromotionCause::Strained ? turn.options_.strainedSurveyTimeout_
                                                        : turn.options_.surveyTimeout_;
    }

    void beginSurvey(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        group.positions_.clear();
        group.lags_.clear();
        group.pendingResponses_.clear();
        group.granted_.reset();
        group.orderOutcome_.reset();
        const auto* rules = findGroup(turn.catalog_, id);
        const auto synchronous = rules ? rules->synchronousReplicas_ : 0;
        const auto replicas = candidates(turn, id, group);
        // With synchronous replicas, each set of this size holds one that has every acknowledged commit. A primary that
        // leaves is stopped and asked itself.
        const bool needsOverlap = synchronous > 0 && !isPlanned(group);
        // Replicas that are silent or leave count as well: each of them may hold a commit that the others lack.
        const auto all = endpointsOf(turn.registry_, id);
        const auto holders = static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const RegisteredEndpoint* record) { return record->id_ != group.primary_; }));
        group.requiredResponses_ = needsOverlap && holders >= synchronous ? holders - synchronous + 1 : 1;
        group.needsPause_ = needsOverlap;
        // The first survey of such a group finds the term above which the second one stops the replicas.
        const Term pauseTerm = needsOverlap && group.highestTerm_ > 0 ? group.highestTerm_ + 1 : 0;
        for (const auto* record : replicas) {
            group.pendingResponses_.insert(record->id_);
            turn.actions_.emplace_back(SurveyAction { record->id_, pauseTerm });
            if (pauseTerm > 0)
                group.paused_.insert(record->id_);
        }
        if (isPlanned(group)) {
            group.pendingResponses_.insert(group.primary_);
            turn.actions_.emplace_back(SurveyAction { group.primary_, 0 });
        }
        enter(turn, group, PromotionPhase::Surveying);
    }

    void begin(Turn& turn, const GroupId& id, GroupPromotion& group, PromotionCause cause)
    {
        group.cause_ = cause;
        group.refusedTargets_.clear();
        group.stoppedPosition_ = {};
        group.firstSurveyPosition_.reset();
        group.highestTerm_ = 0;
        beginSurvey(turn, id, group);
    }

    void recordStrain(const Turn& turn, GroupPromotion& group, const Verdict& verdict)
    {
        const auto users = verdict.failing_ + verdict.answered_ + verdict.uninformed_;
        const bool isStrained = verdict.failing_ == 0 && verdict.strained_ > 0
            && verdict.strained_ * turn.options_.strainedReportDivisor_ >= users;
        if (!isStrained)
            group.strainedSince_.reset();
        else if (!group.strainedSince_)
            group.strainedSince_ = turn.now_;
    }

    // Answers the load pattern "all replicas far behind": they hold the log and have only not applied it, so one that
    // leads serves at once, and the old primary is a replica that has applied everything.
    bool needsRelief(const Turn& turn, const GroupPromotion& group)
    {
        return group.strainedSince_ && turn.now_ - *group.strainedSince_ >= turn.options_.minimumStrainedTime_
            && turn.now_ >= group.nextStrainedReplacementAt_;
    }

    // The largest age that reads of the group accept.
    Duration longestAge(const Turn& turn, const GroupId& id)
    {
        Duration longest { 0 };
        for (const auto& route : turn.catalog_.routes_) {
            if (route.group_ == id)
                longest = std::max<Duration>(longest, route.maxAge_);
        }
        return longest;
    }

    // Whether all replicas are too far behind for any read, and none of them will change that by itself soon.
    bool areAllBehind(const Turn& turn, const GroupId& id, const GroupPromotion& group)
    {
        const auto longest = longestAge(turn, id);
        const auto replicas = candidates(turn, id, group);
        return std::all_of(replicas.begin(), replicas.end(), [&](const RegisteredEndpoint* record) {
            const auto lag = group.lags_.find(record->id_);
            return lag != group.lags_.end() && lag->second > longest;
        });
    }

    // Chooses whether a strained primary is replaced. Nothing has been stopped yet, so any doubt ends the attempt.
    void chooseRelief(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        if (!group.pendingResponses_.empty() || !areAllBehind(turn, id, group)
            || !group.positions_.contains(group.primary_)) {
            group.nextStrainedReplacementAt_ = turn.now_ + turn.options_.strainedRetryDelay_;
            return abandon(turn, group);
        }
        // The target must receive, or what the primary acknowledged meanwhile would be lost: two surveys show that.
        if (!group.firstSurveyPosition_) {
            group.firstSurveyPosition_ = group.positions_.at(group.primary_);
            return beginSurvey(turn, id, group);
        }
        const RegisteredEndpoint* best = nullptr;
        for (const auto* record : candidates(turn, id, group)) {
            const auto position = group.positions_.at(record->id_);
            if (position >= *group.firstSurveyPosition_ && (!best || position > group.positions_.at(best->id_)))
                best = record;
        }
        group.nextStrainedReplacementAt_
            = turn.now_ + (best ? turn.options_.strainedReplacementInterval_ : turn.options_.strainedRetryDelay_);
        if (!best)
            return abandon(turn, group);
        group.target_ = best->id_;
        group.granted_.reset();
        turn.actions_.emplace_back(GrantAction { id, group.target_ });
        enter(turn, group, PromotionPhase::Granting);
    }

    void watch(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        const auto* primary = primaryOf(turn.registry_, id);
        if (!primary) {
            if (!group.isMissing_) {
                group.isMissing_ = true;
                group.missingSince_ = turn.now_;
            }
            group.primary_ = {};
            if (turn.now_ - group.missingSince_ > turn.options_.missingPrimaryTimeout_
                && !candidates(turn, id, group).empty())
                begin(turn, id, group, PromotionCause::Missing);
            return;
        }
        group.isMissing_ = false;
        group.primary_ = primary->id_;
        if (candidates(turn, id, group).empty())
            return;
        if (primary->leaving_)
            return begin(turn, id, group, PromotionCause::Leaving);
        const auto verdict = verdictOf(turn, primary->id_);
        recordStrain(turn, group, verdict);
        if (needsRelief(turn, group))
            return begin(turn, id, group, PromotionCause::Strained);
        const bool isSuspected = verdict.failing_ > 0 || isSilent(turn, *primary);
        if (!isSuspected || turn.now_ - group.lastProbeAt_ < turn.options_.probeInterval_)
            return;
        group.failedProbes_ = 0;
        group.lastProbeAt_ = turn.now_;
        turn.actions_.emplace_back(ProbeAction { primary->id_ });
        enter(turn, group, PromotionPhase::Probing);
    }

    void probe(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        if (group.failedProbes_ < turn.options_.requiredProbeFailures_) {
            if (turn.now_ - group.lastProbeAt_ >= turn.options_.probeInterval_) {
                group.lastProbeAt_ = turn.now_;
                turn.actions_.emplace_back(ProbeAction { group.primary_ });
            }
            return;
        }
        // A leader that is cut off from the primary alone must not replace it.
        const auto verdict = verdictOf(turn, group.primary_);
        if (verdict.answered_ > verdict.failing_) {
            enter(turn, group, PromotionPhase::Watching);
            return;
        }
        const bool mayBeReached = verdict.answered_ + verdict.uninformed_ > verdict.failing_;
        if (verdict.failing_ > 0 && mayBeReached && turn.now_ - verdict.failingSince_ < turn.options_.evidenceTimeout_)
            return;
        begin(turn, id, group, PromotionCause::Failed);
    }

    void chooseTarget(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        const bool isTimeOver = turn.now_ - group.phaseSince_ > surveyTime(turn, group);
        if (!group.pendingResponses_.empty() && !isTimeOver)
            return;
        if (group.cause_ == PromotionCause::Strained)
            return chooseRelief(turn, id, group);
        if (group.needsPause_ && group.paused_.empty() && group.highestTerm_ > 0)
            return beginSurvey(turn, id, group);
        const RegisteredEndpoint* best = nullptr;
        std::size_t answers = 0;
        for (const auto* record : candidates(turn, id, group)) {
            const auto position = group.positions_.find(record->id_);
            if (position == group.positions_.end())
                continue;
            ++answers;
            if (group.refusedTargets_.contains(record->id_))
                continue;
            if (!best || position->second > group.positions_.at(best->id_))
                best = record;
        }
        if (!best || answers < group.requiredResponses_) {
            group.refusedTargets_.clear();
            if (isTimeOver)
                abandon(turn, group);
            return;
        }
        group.target_ = best->id_;
        group.granted_.reset();
        turn.actions_.emplace_back(GrantAction { id, group.target_ });
        enter(turn, group, PromotionPhase::Granting);
    }

    void order(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        group.orderOutcome_.reset();
        group.isOrderUnknown_ = false;
        turn.actions_.emplace_back(OrderAction { id, group.target_, group.fence_ });
        enter(turn, group, PromotionPhase::Ordering);
    }

    void afterGrant(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        if (!group.granted_)
            return;
        if (!*group.granted_)
            return abandon(turn, group);
        const bool canStop = isPlanned(group) && group.target_ != group.primary_
            && group.stoppedPosition_ == LogPosition {} && group.positions_.contains(group.primary_);
        if (!canStop)
            return order(turn, id, group);
        group.pendingResponses_ = { group.primary_ };
        turn.actions_.emplace_back(StepDownAction { group.primary_, group.highestTerm_ + 1 });
        enter(turn, group, PromotionPhase::SteppingDown);
    }

    // The target may lack what the primary has acknowledged. A primary that leaves has to be replaced all the same; one
    // that was only strained leads again.
    void orderAnyway(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        if (group.cause_ == PromotionCause::Strained)
            group.target_ = group.primary_;
        order(turn, id, group);
    }

    void afterStepDown(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        const bool isTimeOver = turn.now_ - group.phaseSince_ > surveyTime(turn, group);
        if (group.pendingResponses_.contains(group.primary_) && !isTimeOver)
            return;
        if (group.pendingResponses_.contains(group.primary_))
            return orderAnyway(turn, id, group);
        group.stoppedPosition_ = group.positions_[group.primary_];
        group.pendingResponses_ = { group.target_ };
        turn.actions_.emplace_back(SurveyAction { group.target_, 0 });
        enter(turn, group, PromotionPhase::CatchingUp);
    }

    void catchUp(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        const bool isTimeOver = turn.now_ - group.phaseSince_ > turn.options_.catchUpTimeout_;
        if (group.positions_[group.target_] >= group.stoppedPosition_)
            return order(turn, id, group);
        // Where replicas confirm commits, none may be lost; the next attempt may find another target.
        if (isTimeOver) {
            const auto* rules = findGroup(turn.catalog_, id);
            const bool mayLose = group.cause_ == PromotionCause::Strained || !rules || rules->synchronousReplicas_ == 0;
            return mayLose ? orderAnyway(turn, id, group) : abandon(turn, group);
        }
        if (group.pendingResponses_.empty()) {
            group.pendingResponses_ = { group.target_ };
            turn.actions_.emplace_back(SurveyAction { group.target_, 0 });
        }
    }

    void afterOrder(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        if (!group.orderOutcome_)
            return;
        switch (*group.orderOutcome_) {
        case OrderOutcome::Accepted:
            return enter(turn, group, PromotionPhase::Settling);
        case OrderOutcome::Unknown:
            group.isOrderUnknown_ = true;
            return enter(turn, group, PromotionPhase::Settling);
        case OrderOutcome::Limited:
            group.isOrderUnknown_ = true; // Waits before the next call, like an order without an answer.
            return enter(turn, group, PromotionPhase::Settling);
        case OrderOutcome::Refused:
            group.refusedTargets_.insert(group.target_);
            if (group.cause_ != PromotionCause::Strained)
                return beginSurvey(turn, id, group);
            if (group.target_ == group.primary_)
                return abandon(turn, group);
            group.target_ = group.primary_;
            group.granted_.reset();
            turn.actions_.emplace_back(GrantAction { id, group.target_ });
            return enter(turn, group, PromotionPhase::Granting);
        }
    }

    void settle(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        const auto* primary = primaryOf(turn.registry_, id);
        if (primary && primary->id_ == group.target_) {
            group.refusedTargets_.clear();
            group.paused_.clear(); // A promotion lets all replicas receive again.
            return enter(turn, group, PromotionPhase::Watching);
        }
        const auto waited = turn.now_ - group.phaseSince_;
        if (group.isOrderUnknown_ && waited > turn.options_.orderRetryDelay_) {
            group.granted_.reset();
            turn.actions_.emplace_back(GrantAction { id, group.target_ });
            return enter(turn, group, PromotionPhase::Granting);
        }
        if (waited > turn.options_.settleTimeout_)
            abandon(turn, group);
    }

    void advance(Turn& turn, const GroupId& id, GroupPromotion& group)
    {
        switch (group.phase_) {
        case PromotionPhase::Watching:
            return watch(turn, id, group);
        case PromotionPhase::Probing:
            return probe(turn, id, group);
        case PromotionPhase::Surveying:
            return chooseTarget(turn, id, group);
        case PromotionPhase::Granting:
            return afterGrant(turn, id, group);
        case PromotionPhase::SteppingDown:
            return afterStepDown(turn, id, group);
        case PromotionPhase::CatchingUp:
            return catchUp(turn, id, group);
        case PromotionPhase::Ordering:
            return afterOrder(turn, id, group);
        case PromotionPhase::Settling:
            return settle(turn, id, group);
        }
    }

} // namespace

void beginDuty(PromotionDuty& duty)
{
    duty.groups_.clear();
    duty.reports_.clear();
}

void handleReports(
    PromotionDuty& duty, const InstanceId& instance, const std::vector<EndpointObservation>& reports, TimePoint now)
{
    for (const auto& report : reports)
        duty.reports_[report.endpoint_][instance]
            = { now, report.lastResponseAge_, report.failureAge_, report.strained_ };
}

std::vector<PromotionAction> tickDuty(PromotionDuty& duty, const EndpointRegistry& registry,
    const RouteCatalog& catalog, const PromotionOptions& options, TimePoint now)
{
    Turn turn { duty, registry, catalog, options, now, {} };
    for (auto& [endpoint, views] : duty.reports_)
        std::erase_if(views, [&](const auto& view) { return now - view.second.receivedAt_ > registryLifetime; });
    std::erase_if(duty.reports_, [](const auto& item) { return item.second.empty(); });
    for (const auto& rules : catalog.groups_)
        advance(turn, rules.group_, duty.groups_[rules.group_]);
    return std::move(turn.actions_);
}

void handleResult(PromotionDuty& duty, const ProbeResult& result)
{
    for (auto& [id, group] : duty.groups_) {
        if (group.phase_ != PromotionPhase::Probing || group.primary_ != result.endpoint_)
            continue;
        if (result.alive_)
            group.phase_ = PromotionPhase::Watching;
        else
            ++group.failedProbes_;
    }
}

void handleResult(PromotionDuty& duty, const SurveyResult& result)
{
    for (auto& [id, group] : duty.groups_) {
        if (!group.pendingResponses_.contains(result.endpoint_))
            continue;
        group.highestTerm_ = std::max(group.highestTerm_, result.highestTerm_);
        // Without an answer, an endpoint that was told to stop may not have stopped.
        if (group.phase_ == PromotionPhase::SteppingDown && !result.received_)
            continue;
        group.pendingResponses_.erase(result.endpoint_);
        if (!result.received_)
            continue;
        group.positions_[result.endpoint_] = *result.received_;
        group.lags_[result.endpoint_] = result.lag_;
    }
}

void handleResult(PromotionDuty& duty, const GrantResult& result)
{
    const auto group = duty.groups_.find(result.group_);
    if (group == duty.groups_.end() || group->second.phase_ != PromotionPhase::Granting)
        return;
    group->second.granted_ = result.fence_.has_value();
    group->second.fence_ = result.fence_.value_or(0);
}

void handleResult(PromotionDuty& duty, const OrderResult& result)
{
    const auto group = duty.groups_.find(result.group_);
    if (group != duty.groups_.end() && group->second.phase_ == PromotionPhase::Ordering)
        group->second.orderOutcome_ = result.outcome_;
}

std::string_view phaseName(PromotionPhase phase)
{
    switch (phase) {
    case PromotionPhase::Watching:
        return "watching";
    case PromotionPhase::Probing:
        return "probing";
    case PromotionPhase::Surveying:
        return "surveying";
    case PromotionPhase::Granting:
        return "granting";
    case PromotionPhase::SteppingDown:
        return "stepping_down";
    case PromotionPhase::CatchingUp:
        return "catching_up";
    case PromotionPhase::Ordering:
        return "ordering";
    case PromotionPhase::Settling:
        return "settling";
    }
    return "unknown";
}

std::string_view causeName(PromotionCause cause)
{
    switch (cause) {
    case PromotionCause::Failed:
        return "failed";
    case PromotionCause::Leaving:
        return "leaving";
    case PromotionCause::Missing:
        return "missing";
    case PromotionCause::Strained:
        return "strained";
    }
    return "unknown";
}

} // namespace cassiahollow
