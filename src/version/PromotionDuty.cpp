#include "cassiahollow/version/PromotionDuty.h"

#include "version/PromotionEvidence.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cassiahollow {

namespace {

    // An endpoint is silent after this many heartbeat intervals: two heartbeats may be lost.
    constexpr int silentHeartbeats = 3;

    // Repetitions of one survey where leases have to end first: to begin again would cost more than to ask again.
    constexpr int maximumLeasedRepetitions = 3;

    // The inputs and the resulting actions of one tick.
    struct TickContext {
        PromotionDuty& duty_;
        const EndpointRegistry& registry_;
        const RouteCatalog& catalog_;
        const PromotionOptions& options_;
        TimePoint now_;
        const PromotionGate* gate_;
        std::vector<PromotionAction> actions_;
    };

    // Whether an order may follow without another look at the primary. A planned replacement may still be given up
    // during its survey.
    bool isReplacementDecided(const GroupPromotion& group)
    {
        switch (group.phase_) {
        case PromotionPhase::Watching:
        case PromotionPhase::Probing:
            return false;
        case PromotionPhase::Surveying:
            return group.usesPauses_
                || (group.cause_ != PromotionCause::Leaving && group.cause_ != PromotionCause::Strained);
        default:
            return true;
        }
    }

    void enterPhase(TickContext& context, GroupPromotion& group, PromotionPhase phase)
    {
        group.phase_ = phase;
        group.phaseSince_ = context.now_;
    }

    // The current reports about an endpoint, summed over the instances that use it.
    struct ReportSummary {
        std::size_t failing_ { 0 };
        std::size_t responded_ { 0 }; ///< They received a response after the first failure.
        std::size_t uninformed_ { 0 }; ///< They use it but have no response newer than the first failure.
        std::size_t strained_ { 0 };
        TimePoint failingSince_ { TimePoint::max() }; ///< The earliest failure that an instance reports.
    };

    ReportSummary summarizeReports(const TickContext& context, const EndpointId& endpoint)
    {
        ReportSummary summary;
        const auto reports = context.duty_.reports_.find(endpoint);
        if (reports == context.duty_.reports_.end())
            return summary;
        std::vector<const InstanceReport*> responded;
        for (const auto& [instance, report] : reports->second) {
            if (context.now_ - report.receivedAt_ > context.options_.reportLifetime_)
                continue;
            summary.strained_ += report.strained_ ? 1 : 0;
            if (report.failureAge_ > Duration::zero()) {
                ++summary.failing_;
                summary.failingSince_ = std::min(summary.failingSince_, report.receivedAt_ - report.failureAge_);
            } else if (report.lastResponseAge_ < context.options_.reportLifetime_) {
                responded.push_back(&report);
            }
        }
        for (const auto* report : responded) {
            const bool isNewer
                = summary.failing_ == 0 || report->receivedAt_ - report->lastResponseAge_ > summary.failingSince_;
            ++(isNewer ? summary.responded_ : summary.uninformed_);
        }
        return summary;
    }

    bool isSilent(const TickContext& context, const RegisteredEndpoint& record)
    {
        return context.now_ - record.receivedAt_ > silentHeartbeats * context.options_.heartbeatInterval_;
    }

    std::vector<const RegisteredEndpoint*> findCandidates(
        const TickContext& context, const GroupId& id, const GroupPromotion& group)
    {
        auto endpoints = endpointsOf(context.registry_, id);
        std::erase_if(endpoints, [&](const RegisteredEndpoint* record) {
            const bool isReplaced = record->id_ == group.primary_ && group.cause_ != PromotionCause::Unfinished;
            return record->leaving_ || isReplaced || isSilent(context, *record);
        });
        return endpoints;
    }

    std::size_t synchronousReplicas(const TickContext& context, const GroupId& id)
    {
        const auto* rules = findGroup(context.catalog_, id);
        return rules ? rules->synchronousReplicas_ : 0;
    }

    // Whether a synchronous replica confirms commits, and instances report them as done only under a lease.
    bool isLeasedForCommits(const TickContext& context, const GroupId& id)
    {
        return context.gate_ && synchronousReplicas(context, id) > 0;
    }

    // Whether instances use the group's primary only while a lease on it is valid, for commits or for everything.
    bool isLeased(const TickContext& context, const GroupId& id)
    {
        return (context.gate_ && !context.gate_->checksFences_) || isLeasedForCommits(context, id);
    }

    Duration lateOrderTimeout(const TickContext& context, const GroupId& id)
    {
        return isLeasedForCommits(context, id) ? context.options_.longestExecutionDelay_
                                               : context.options_.lateOrderTimeout_;
    }

    // Replicas stay paused until resumeReplicas().
    void abandon(TickContext& context, GroupPromotion& group)
    {
        enterPhase(context, group, PromotionPhase::Watching);
    }

    // The endpoint of the latest grant if it is not the primary. A control leader may have ordered its promotion, and
    // the authority may execute that order late.
    EndpointId unfinishedTarget(const PromotionDuty& duty, const GroupId& id, const EndpointId& primary)
    {
        if (!duty.latestGrants_)
            return {};
        const auto granted = duty.latestGrants_->find(id);
        if (granted == duty.latestGrants_->end() || granted->second == primary)
            return {};
        const auto group = duty.groups_.find(id);
        const bool isUnordered = group != duty.groups_.end() && group->second.unorderedGrant_ == granted->second;
        return isUnordered ? EndpointId() : granted->second;
    }

    // Requests the fence of an order for the target.
    void requestGrant(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        // No order of an earlier leader for the target can be open if none was for any endpoint.
        const bool mayOrderBeOpen
            = !group.openOrderTarget_.empty() || !unfinishedTarget(context.duty_, id, group.primary_).empty();
        if (synchronousReplicas(context, id) > 0 && !mayOrderBeOpen)
            group.unorderedGrant_ = group.target_;
        group.granted_.reset();
        group.chosenAt_ = context.now_;
        context.actions_.emplace_back(GrantAction { id, group.target_ });
        enterPhase(context, group, PromotionPhase::Granting);
    }

    // Whether the primary itself steps down and reports its last position before another one is promoted.
    bool isPlanned(const GroupPromotion& group)
    {
        return group.cause_ == PromotionCause::Leaving || group.cause_ == PromotionCause::Strained;
    }

    Duration surveyTimeout(const TickContext& context, const GroupPromotion& group)
    {
        return group.cause_ == PromotionCause::Strained ? context.options_.strainedSurveyTimeout_
                                                        : context.options_.surveyTimeout_;
    }

    std::uint64_t processStart(const TickContext& context, const EndpointId& endpoint)
    {
        const auto record = context.registry_.records_.find(endpoint);
        return record == context.registry_.records_.end() ? 0 : record->second.startedAtMs_;
    }

    // A pause without a response is executed at any time until then.
    void resumeAfterDelay(const TickContext& context, GroupPromotion& group, const EndpointId& endpoint)
    {
        const auto order = group.openReplicaOrders_.find(endpoint);
        if (order != group.openReplicaOrders_.end() && order->second.isPause_)
            group.resumeAgainAt_[endpoint] = order->second.sentAt_ + context.options_.longestExecutionDelay_;
    }

    void requestPosition(TickContext& context, GroupPromotion& group, const EndpointId& endpoint, Term pauseTerm)
    {
        const auto request = ++context.duty_.lastRequest_;
        group.pendingResponses_[endpoint] = request;
        context.actions_.emplace_back(SurveyAction { endpoint, pauseTerm, request });
        if (pauseTerm == 0)
            return;
        group.paused_[endpoint] = processStart(context, endpoint);
        resumeAfterDelay(context, group, endpoint);
        group.openReplicaOrders_[endpoint] = { request, context.now_, true };
    }

    // Leaving and silent replicas are no targets, but each of them may have a commit that the others lack. One that may
    // still execute a resumption cannot be paused reliably.
    std::vector<EndpointId> findWitnesses(const TickContext& context, const GroupId& id, const GroupPromotion& group)
    {
        std::vector<EndpointId> witnesses;
        for (const auto* record : endpointsOf(context.registry_, id)) {
            const auto order = group.openReplicaOrders_.find(record->id_);
            const bool mayResume = order != group.openReplicaOrders_.end() && !order->second.isPause_;
            if (record->id_ != group.primary_ && !mayResume)
                witnesses.push_back(record->id_);
        }
        return witnesses;
    }

    void beginSurvey(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        group.positions_.clear();
        group.lags_.clear();
        group.pendingResponses_.clear();
        group.confirmedPauses_.clear();
        group.pausedSince_.reset();
        group.isFinalSurvey_ = false;
        group.surveyRepetitions_ = 0;
        group.granted_.reset();
        group.orderOutcome_.reset();
        if (group.usesPauses_) {
            // The first survey finds the highest term; the second one pauses the replicas above it; the third one takes
            // their positions.
            group.pauseTerm_ = group.highestTerm_ > 0 ? group.highestTerm_ + 1 : 0;
            for (const auto& endpoint : findWitnesses(context, id, group))
                requestPosition(context, group, endpoint, group.pauseTerm_);
        } else {
            group.pauseTerm_ = 0;
            for (const auto* record : findCandidates(context, id, group))
                requestPosition(context, group, record->id_, 0);
            if (isPlanned(group))
                requestPosition(context, group, group.primary_, 0);
        }
        enterPhase(context, group, PromotionPhase::Surveying);
    }

    // Chooses the target among paused replicas from now on, because the primary may go on acknowledging commits.
    void surveyWithPauses(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        if (group.usesPauses_)
            return abandon(context, group);
        group.usesPauses_ = true;
        group.highestTerm_ = 0;
        beginSurvey(context, id, group);
    }

    void beginReplacement(TickContext& context, const GroupId& id, GroupPromotion& group, PromotionCause cause)
    {
        group.cause_ = cause;
        group.refusedTargets_.clear();
        group.stoppedPosition_ = {};
        group.hasStopped_ = false;
        group.firstSurveyPosition_.reset();
        group.highestTerm_ = 0;
        group.usesPauses_ = synchronousReplicas(context, id) > 0 && !isPlanned(group);
        beginSurvey(context, id, group);
    }

    void updateStrainedSince(const TickContext& context, GroupPromotion& group, const ReportSummary& summary)
    {
        const auto users = summary.failing_ + summary.responded_ + summary.uninformed_;
        const bool isStrained = summary.failing_ == 0 && summary.strained_ > 0
            && summary.strained_ * context.options_.strainedReportDivisor_ >= users;
        if (!isStrained)
            group.strainedSince_.reset();
        else if (!group.strainedSince_)
            group.strainedSince_ = context.now_;
    }

    // Handles the load pattern in which all replicas are far behind. They have received the log but not yet applied
    // it, so a promoted replica can serve immediately, and the old primary becomes a replica that has applied
    // everything.
    bool mustReplaceStrained(const TickContext& context, const GroupPromotion& group)
    {
        return group.strainedSince_ && context.now_ - *group.strainedSince_ >= context.options_.minimumStrainedTime_
            && context.now_ >= group.nextStrainedReplacementAt_;
    }

    // The largest staleness that reads of the group accept.
    Duration maximumAge(const TickContext& context, const GroupId& id)
    {
        Duration maximum { 0 };
        for (const auto& route : context.catalog_.routes_) {
            if (route.group_ == id)
                maximum = std::max<Duration>(maximum, route.maxAge_);
        }
        return maximum;
    }

    // Whether all replicas lag too far behind to serve any read, so that none of them will relieve the primary soon.
    bool areAllReplicasBehind(const TickContext& context, const GroupId& id, const GroupPromotion& group)
    {
        const auto maximum = maximumAge(context, id);
        const auto replicas = findCandidates(context, id, group);
        return std::all_of(replicas.begin(), replicas.end(), [&](const RegisteredEndpoint* record) {
            const auto lag = group.lags_.find(record->id_);
            return lag != group.lags_.end() && lag->second > maximum;
        });
    }

    // Decides whether a strained primary is replaced. Nothing has been paused yet, so any missing or contrary result
    // aborts the attempt.
    void chooseStrainedTarget(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        if (!group.pendingResponses_.empty() || !areAllReplicasBehind(context, id, group)
            || !group.positions_.contains(group.primary_)) {
            group.nextStrainedReplacementAt_ = context.now_ + context.options_.strainedRetryDelay_;
            return abandon(context, group);
        }
        // The target must still be receiving the log, or writes that the primary acknowledges meanwhile would be lost.
        // Two successive surveys verify this.
        if (!group.firstSurveyPosition_) {
            group.firstSurveyPosition_ = group.positions_.at(group.primary_);
            return beginSurvey(context, id, group);
        }
        const RegisteredEndpoint* best = nullptr;
        for (const auto* record : findCandidates(context, id, group)) {
            const auto position = group.positions_.at(record->id_);
            if (position >= *group.firstSurveyPosition_ && (!best || position > group.positions_.at(best->id_)))
                best = record;
        }
        group.nextStrainedReplacementAt_ = context.now_
            + (best ? context.options_.strainedReplacementInterval_ : context.options_.strainedRetryDelay_);
        if (!best)
            return abandon(context, group);
        group.target_ = best->id_;
        requestGrant(context, id, group);
    }

    // Whether a promotion that an earlier leader granted has to be completed. A group without a primary waits only for
    // promotions that were granted just before this leader began.
    bool isUnfinished(const TickContext& context, const GroupId& id, const RegisteredEndpoint* primary)
    {
        const auto leading = primary ? primary->id_ : EndpointId();
        if (!isLeased(context, id) || !context.gate_->mayOrder_ || unfinishedTarget(context.duty_, id, leading).empty())
            return false;
        return primary || context.now_ - context.duty_.beganAt_ < lateOrderTimeout(context, id);
    }

    void checkPrimary(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const auto* primary = primaryOf(context.registry_, id);
        if (isUnfinished(context, id, primary)) {
            group.primary_ = primary ? primary->id_ : EndpointId();
            return beginReplacement(context, id, group, PromotionCause::Unfinished);
        }
        if (!primary) {
            if (!group.isMissing_) {
                group.isMissing_ = true;
                group.missingSince_ = context.now_;
            }
            group.primary_ = {};
            if (context.now_ - group.missingSince_ > context.options_.missingPrimaryTimeout_
                && !findCandidates(context, id, group).empty())
                beginReplacement(context, id, group, PromotionCause::Missing);
            return;
        }
        group.isMissing_ = false;
        group.primary_ = primary->id_;
        group.lastPrimary_ = primary->id_;
        if (findCandidates(context, id, group).empty())
            return;
        if (primary->leaving_)
            return beginReplacement(context, id, group, PromotionCause::Leaving);
        const auto summary = summarizeReports(context, primary->id_);
        updateStrainedSince(context, group, summary);
        if (mustReplaceStrained(context, group))
            return beginReplacement(context, id, group, PromotionCause::Strained);
        const bool isSuspected = summary.failing_ > 0 || isSilent(context, *primary);
        if (!isSuspected || context.now_ - group.lastProbeAt_ < context.options_.probeInterval_)
            return;
        group.failedProbes_ = 0;
        group.lastProbeAt_ = context.now_;
        context.actions_.emplace_back(ProbeAction { primary->id_ });
        enterPhase(context, group, PromotionPhase::Probing);
    }

    void advanceProbing(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        if (group.failedProbes_ < context.options_.requiredProbeFailures_) {
            if (context.now_ - group.lastProbeAt_ >= context.options_.probeInterval_) {
                group.lastProbeAt_ = context.now_;
                context.actions_.emplace_back(ProbeAction { group.primary_ });
            }
            return;
        }
        // A leader that is the only one cut off from the primary must not replace it.
        const auto summary = summarizeReports(context, group.primary_);
        if (summary.responded_ > summary.failing_) {
            enterPhase(context, group, PromotionPhase::Watching);
            return;
        }
        const bool mayBeReachable = summary.responded_ + summary.uninformed_ > summary.failing_;
        if (summary.failing_ > 0 && mayBeReachable
            && context.now_ - summary.failingSince_ < context.options_.evidenceTimeout_)
            return;
        beginReplacement(context, id, group, PromotionCause::Failed);
    }

    // The only endpoint that may be promoted, or an empty id: an order for it may still be executed, even after one for
    // another endpoint. Where the authority checks fences it is executed only before that, and then the other endpoint
    // would lack what was acknowledged by the first, which matters with synchronous replicas.
    EndpointId pendingTarget(const TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const bool isSynchronous = synchronousReplicas(context, id) > 0;
        if (!isLeased(context, id) && !isSynchronous)
            return {};
        const auto timeout = lateOrderTimeout(context, id);
        if (context.now_ - group.openOrderAt_ >= timeout) {
            group.openOrderTarget_ = {};
            group.wasOrderUnanswered_ = false;
        }
        if (!group.openOrderTarget_.empty())
            return group.openOrderTarget_;
        // An earlier leader may have sent an order until just before this one began.
        const bool mayBeOpen = (group.cause_ == PromotionCause::Unfinished || isSynchronous)
            && context.now_ - context.duty_.beganAt_ < timeout;
        const auto granted = mayBeOpen ? unfinishedTarget(context.duty_, id, group.primary_) : EndpointId();
        return group.refusedTargets_.contains(granted) ? EndpointId() : granted;
    }

    bool hasAcknowledgedCommits(const TickContext& context, const GroupId& id, const GroupPromotion& group)
    {
        return hasEveryAcknowledgedCommit(context.registry_, id, group, synchronousReplicas(context, id));
    }

    bool areLeasesEnded(const TickContext& context, const GroupId& id)
    {
        return !isLeased(context, id) || context.gate_->endedLeases_.contains(id);
    }

    // Takes the positions of the paused replicas.
    void beginFinalSurvey(TickContext& context, GroupPromotion& group)
    {
        group.positions_.clear();
        for (const auto& endpoint : std::exchange(group.confirmedPauses_, {}))
            requestPosition(context, group, endpoint, 0);
        group.isFinalSurvey_ = true;
        group.surveyRepetitions_ = 0;
        enterPhase(context, group, PromotionPhase::Surveying);
    }

    // Begins the next survey of a group that uses pauses, if there are enough responses. Returns false after the last
    // one.
    bool continueSurveys(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        if (group.isFinalSurvey_)
            return false;
        const auto count = countEndpoints(context.registry_, id, group);
        const auto synchronous = synchronousReplicas(context, id);
        if (group.pauseTerm_ == 0) {
            const bool mayPause = group.highestTerm_ > 0 && group.positions_.size() + synchronous >= count;
            if (mayPause)
                beginSurvey(context, id, group);
            return mayPause;
        }
        if (group.confirmedPauses_.size() + synchronous < count)
            return false;
        if (!group.pausedSince_)
            group.pausedSince_ = context.now_;
        // Pauses may end by themselves at any time. What counts is that no instance reports a commit as done any more
        // once the positions are taken.
        const bool isSettled = context.now_ - *group.pausedSince_ >= context.options_.pauseSettleTime_;
        if (isSettled && areLeasesEnded(context, id))
            beginFinalSurvey(context, group);
        return true;
    }

    // Paused replicas keep their positions, so only those without a response are asked again. Not often, because pauses
    // and leases that have ended hold up the commits of a primary that is alive.
    void repeatSurvey(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const int maximumRepetitions = isLeased(context, id) ? maximumLeasedRepetitions : 1;
        if (!group.usesPauses_ || group.pendingResponses_.empty() || group.surveyRepetitions_ >= maximumRepetitions)
            return abandon(context, group);
        const auto missing = std::exchange(group.pendingResponses_, {});
        for (const auto& [endpoint, request] : missing)
            requestPosition(context, group, endpoint, group.isFinalSurvey_ ? 0 : group.pauseTerm_);
        ++group.surveyRepetitions_;
        enterPhase(context, group, PromotionPhase::Surveying);
    }

    const RegisteredEndpoint* findBestTarget(const TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const auto pending = pendingTarget(context, id, group);
        const RegisteredEndpoint* best = nullptr;
        for (const auto* record : findCandidates(context, id, group)) {
            const auto position = group.positions_.find(record->id_);
            const bool isExcluded = group.refusedTargets_.contains(record->id_)
                || (!pending.empty() && record->id_ != pending)
                || (group.usesPauses_ && !group.confirmedPauses_.contains(record->id_));
            if (position == group.positions_.end() || isExcluded)
                continue;
            if (!best || position->second > group.positions_.at(best->id_))
                best = record;
        }
        return best;
    }

    void chooseTarget(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const bool isTimedOut = context.now_ - group.phaseSince_ > surveyTimeout(context, group);
        if (!group.pendingResponses_.empty() && !isTimedOut)
            return;
        if (group.cause_ == PromotionCause::Strained)
            return chooseStrainedTarget(context, id, group);
        const auto synchronous = synchronousReplicas(context, id);
        // A primary that does not answer will not confirm that it has stopped either.
        if (synchronous > 0 && !group.usesPauses_ && !group.positions_.contains(group.primary_))
            return surveyWithPauses(context, id, group);
        if (group.usesPauses_ && continueSurveys(context, id, group))
            return;
        const auto* best = findBestTarget(context, id, group);
        group.target_ = best ? best->id_ : EndpointId();
        // With synchronous replicas, the grants of earlier leaders say which of their orders may still be executed.
        const bool areOrdersKnown = synchronous == 0 || context.duty_.latestGrants_;
        const bool isProven
            = !group.usesPauses_ || (group.isFinalSurvey_ && hasAcknowledgedCommits(context, id, group));
        if (!best || !areOrdersKnown || !isProven) {
            group.refusedTargets_.clear();
            if (isTimedOut)
                repeatSurvey(context, id, group);
            return;
        }
        requestGrant(context, id, group);
    }

    bool mayOrder(const TickContext& context, const GroupId& id, const GroupPromotion& group)
    {
        if (!isLeased(context, id))
            return true;
        return context.gate_->mayOrder_ && (group.hasStopped_ || areLeasesEnded(context, id));
    }

    // Another control leader may have resumed the replicas since. Without fences, the gate has kept others from it.
    bool isChoiceTooOld(const TickContext& context, const GroupId& id, const GroupPromotion& group)
    {
        const bool checksFences = !context.gate_ || context.gate_->checksFences_;
        return checksFences && synchronousReplicas(context, id) > 0
            && context.now_ - group.chosenAt_ > context.options_.orderDeadline_;
    }

    // All orders are sent here, so that none of them loses a commit that a replica has confirmed.
    void sendOrder(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const auto pending = pendingTarget(context, id, group);
        if ((!pending.empty() && pending != group.target_) || isChoiceTooOld(context, id, group))
            return abandon(context, group);
        if (!hasAcknowledgedCommits(context, id, group))
            return surveyWithPauses(context, id, group);
        if (!mayOrder(context, id, group)) {
            if (group.phase_ != PromotionPhase::EndingLeases)
                enterPhase(context, group, PromotionPhase::EndingLeases);
            return;
        }
        group.orderOutcome_.reset();
        group.isOrderUnknown_ = false;
        group.unorderedGrant_ = {};
        context.actions_.emplace_back(OrderAction { id, group.target_, group.fence_ });
        enterPhase(context, group, PromotionPhase::Ordering);
    }

    void handleGrant(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        if (!group.granted_)
            return;
        if (!*group.granted_)
            return abandon(context, group);
        const bool canStop = isPlanned(group) && group.target_ != group.primary_ && !group.hasStopped_
            && group.positions_.contains(group.primary_);
        if (!canStop)
            return sendOrder(context, id, group);
        const auto request = ++context.duty_.lastRequest_;
        group.pendingResponses_ = { { group.primary_, request } };
        context.actions_.emplace_back(StepDownAction { group.primary_, group.highestTerm_ + 1, request });
        enterPhase(context, group, PromotionPhase::SteppingDown);
    }

    // Orders a promotion although the target has not reached the primary's last position. A leaving primary has to be
    // replaced all the same; a strained one is promoted again itself.
    void orderWithoutCatchUp(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        if (group.cause_ == PromotionCause::Strained && group.target_ != group.primary_) {
            group.target_ = group.primary_;
            // The latest grant has to name the endpoint whose promotion is ordered, for later leaders.
            if (isLeasedForCommits(context, id))
                return requestGrant(context, id, group);
        }
        sendOrder(context, id, group);
    }

    void handleStepDown(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const bool isTimedOut = context.now_ - group.phaseSince_ > surveyTimeout(context, group);
        if (group.pendingResponses_.contains(group.primary_) && !isTimedOut)
            return;
        if (group.pendingResponses_.contains(group.primary_))
            return orderWithoutCatchUp(context, id, group);
        group.stoppedPosition_ = group.positions_[group.primary_];
        group.hasStopped_ = true;
        group.pendingResponses_.clear();
        requestPosition(context, group, group.target_, 0);
        enterPhase(context, group, PromotionPhase::CatchingUp);
    }

    void awaitCatchUp(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const bool isTimedOut = context.now_ - group.phaseSince_ > context.options_.catchUpTimeout_;
        if (group.positions_[group.target_] >= group.stoppedPosition_)
            return sendOrder(context, id, group);
        if (isTimedOut)
            return orderWithoutCatchUp(context, id, group);
        if (group.pendingResponses_.empty())
            requestPosition(context, group, group.target_, 0);
    }

    void handleOrderOutcome(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        if (!group.orderOutcome_)
            return;
        const bool mayBeExecuted
            = group.orderOutcome_ == OrderOutcome::Accepted || group.orderOutcome_ == OrderOutcome::Unknown;
        if (mayBeExecuted) {
            group.openOrderTarget_ = group.target_;
            group.openOrderAt_ = context.now_;
            group.wasOrderUnanswered_ |= group.orderOutcome_ == OrderOutcome::Unknown;
        }
        switch (*group.orderOutcome_) {
        case OrderOutcome::Accepted:
            return enterPhase(context, group, PromotionPhase::Settling);
        case OrderOutcome::Unknown:
            group.isOrderUnknown_ = true;
            return enterPhase(context, group, PromotionPhase::Settling);
        case OrderOutcome::Limited:
            group.isOrderUnknown_ = true; // Delays the next order, as after one without a response.
            return enterPhase(context, group, PromotionPhase::Settling);
        case OrderOutcome::Refused:
            group.refusedTargets_.insert(group.target_);
            if (group.cause_ != PromotionCause::Strained)
                return beginSurvey(context, id, group);
            if (group.target_ == group.primary_)
                return abandon(context, group);
            group.target_ = group.primary_;
            return requestGrant(context, id, group);
        }
    }

    void awaitPromotion(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        const auto* primary = primaryOf(context.registry_, id);
        if (primary && primary->id_ == group.target_) {
            // An unanswered order may still be executed, even if the endpoint leads by another one.
            if (!group.wasOrderUnanswered_)
                group.openOrderTarget_ = {};
            group.refusedTargets_.clear();
            // The promotion ended all pauses, but a late one may have been executed after it: paused_ is kept.
            group.paused_.erase(group.target_);
            return enterPhase(context, group, PromotionPhase::Watching);
        }
        const auto waited = context.now_ - group.phaseSince_;
        if (group.isOrderUnknown_ && waited > context.options_.orderRetryDelay_) {
            return requestGrant(context, id, group);
        }
        if (waited > context.options_.settleTimeout_)
            abandon(context, group);
    }

    void resumeReplica(TickContext& context, GroupPromotion& group, const EndpointId& endpoint)
    {
        const auto request = ++context.duty_.lastRequest_;
        group.openReplicaOrders_[endpoint] = { request, context.now_, false };
        context.actions_.emplace_back(ResumeAction { endpoint, request });
    }

    // An earlier leader may have paused replicas. What it sent just before it ended is executed later, and what it
    // sends before it learns of this leader later still.
    bool mustResumeAll(const TickContext& context, const GroupPromotion& group)
    {
        const std::array times { Duration::zero(), context.options_.replicaOrderTimeout_,
            context.options_.lateOrderTimeout_, context.options_.longestExecutionDelay_ };
        const auto done = static_cast<std::size_t>(group.resumedAll_);
        return done < times.size() && context.now_ - context.duty_.beganAt_ >= times.at(done);
    }

    // Ends the pauses of abandoned replacements, of earlier leaders as well: the primary waits for a replica with each
    // commit. Not while an order may still be executed, whose target would lack what is confirmed from now on.
    void resumeReplicas(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        if (synchronousReplicas(context, id) == 0 || !context.duty_.latestGrants_)
            return;
        const auto pending = pendingTarget(context, id, group);
        if (!pending.empty() && pending != group.primary_)
            return;
        if (mustResumeAll(context, group)) {
            ++group.resumedAll_;
            for (const auto* record : endpointsOf(context.registry_, id))
                group.paused_.emplace(record->id_, record->startedAtMs_);
            group.paused_.erase(group.primary_);
        }
        std::erase_if(group.resumeAgainAt_, [&](const auto& item) {
            const auto record = context.registry_.records_.find(item.first);
            if (context.now_ < item.second || record == context.registry_.records_.end())
                return false;
            if (!record->second.removed_)
                group.paused_.emplace(item.first, record->second.startedAtMs_);
            return true;
        });
        std::erase_if(group.paused_, [&](const auto& item) {
            // A pause without a response may still be executed after the resumption.
            if (group.openReplicaOrders_.contains(item.first))
                return false;
            resumeReplica(context, group, item.first);
            return true;
        });
    }

    void expireReplicaOrders(const TickContext& context, GroupPromotion& group)
    {
        std::erase_if(group.openReplicaOrders_, [&](const auto& item) {
            const auto& [endpoint, order] = item;
            if (context.now_ - order.sentAt_ < context.options_.replicaOrderTimeout_)
                return false;
            const auto record = context.registry_.records_.find(endpoint);
            const bool isRegistered = record != context.registry_.records_.end() && !record->second.removed_;
            if (!order.isPause_ && isRegistered)
                group.paused_.emplace(endpoint, record->second.startedAtMs_); // Resumed again.
            resumeAfterDelay(context, group, endpoint);
            return true;
        });
    }

    void watch(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        checkPrimary(context, id, group);
        if (group.phase_ == PromotionPhase::Watching)
            resumeReplicas(context, id, group);
    }

    void advance(TickContext& context, const GroupId& id, GroupPromotion& group)
    {
        expireReplicaOrders(context, group);
        switch (group.phase_) {
        case PromotionPhase::Watching:
            return watch(context, id, group);
        case PromotionPhase::Probing:
            return advanceProbing(context, id, group);
        case PromotionPhase::Surveying:
            return chooseTarget(context, id, group);
        case PromotionPhase::Granting:
            return handleGrant(context, id, group);
        case PromotionPhase::SteppingDown:
            return handleStepDown(context, id, group);
        case PromotionPhase::CatchingUp:
            return awaitCatchUp(context, id, group);
        case PromotionPhase::EndingLeases:
            return sendOrder(context, id, group);
        case PromotionPhase::Ordering:
            return handleOrderOutcome(context, id, group);
        case PromotionPhase::Settling:
            return awaitPromotion(context, id, group);
        }
    }

} // namespace

void beginDuty(PromotionDuty& duty, TimePoint now)
{
    duty.groups_.clear();
    duty.reports_.clear();
    duty.beganAt_ = now;
    duty.latestGrants_.reset();
}

void handleReports(
    PromotionDuty& duty, const InstanceId& instance, const std::vector<EndpointObservation>& reports, TimePoint now)
{
    for (const auto& report : reports)
        duty.reports_[report.endpoint_][instance]
            = { now, report.lastResponseAge_, report.failureAge_, report.strained_ };
}

std::vector<PromotionAction> tickDuty(PromotionDuty& duty, const EndpointRegistry& registry,
    const RouteCatalog& catalog, const PromotionOptions& options, TimePoint now, const PromotionGate* gate)
{
    TickContext context { duty, registry, catalog, options, now, gate, {} };
    for (auto& [endpoint, reports] : duty.reports_)
        std::erase_if(reports, [&](const auto& report) { return now - report.second.receivedAt_ > registryLifetime; });
    std::erase_if(duty.reports_, [](const auto& item) { return item.second.empty(); });
    for (const auto& rules : catalog.groups_)
        advance(context, rules.group_, duty.groups_[rules.group_]);
    return std::move(context.actions_);
}

std::vector<PrimaryLease> usablePrimaries(
    const PromotionDuty& duty, const EndpointRegistry& registry, const RouteCatalog& catalog, bool checksFences)
{
    std::vector<PrimaryLease> leases;
    for (const auto& rules : catalog.groups_) {
        const bool isSynchronous = rules.synchronousReplicas_ > 0;
        // The latest grant says whether another endpoint may still be promoted.
        if ((checksFences && !isSynchronous) || (isSynchronous && !duty.latestGrants_))
            continue;
        const auto* primary = primaryOf(registry, rules.group_);
        const auto group = duty.groups_.find(rules.group_);
        const bool isReplaced = group != duty.groups_.end() && isReplacementDecided(group->second);
        if (primary && !isReplaced && unfinishedTarget(duty, rules.group_, primary->id_).empty())
            leases.push_back({ rules.group_, primary->id_ });
    }
    return leases;
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
        const auto order = group.openReplicaOrders_.find(result.endpoint_);
        if (order != group.openReplicaOrders_.end() && order->second.request_ == result.request_ && result.received_)
            group.openReplicaOrders_.erase(order);
        const auto pending = group.pendingResponses_.find(result.endpoint_);
        if (pending == group.pendingResponses_.end() || pending->second != result.request_)
            continue;
        group.highestTerm_ = std::max(group.highestTerm_, result.highestTerm_);
        // An endpoint that did not respond to a step-down request, or goes on leading, has not stopped.
        const bool hasStopped = result.received_ && result.role_ == EndpointRole::Replica;
        if (group.phase_ == PromotionPhase::SteppingDown && !hasStopped)
            continue;
        group.pendingResponses_.erase(pending);
        if (!result.received_)
            continue;
        group.positions_[result.endpoint_] = *result.received_;
        group.lags_[result.endpoint_] = result.lag_;
        if (confirmsPause(group, result))
            group.confirmedPauses_.insert(result.endpoint_);
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
    case PromotionPhase::EndingLeases:
        return "ending_leases";
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
    case PromotionCause::Unfinished:
        return "unfinished";
    }
    return "unknown";
}

} // namespace cassiahollow
