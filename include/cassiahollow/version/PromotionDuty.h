#pragma once

#include "cassiahollow/process/DirectoryFeed.h"
#include "cassiahollow/process/EndpointRegistry.h"
#include "cassiahollow/version/PrimaryLease.h"
#include "cassiahollow/version/RouteCatalog.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// Replacement of primaries by the control leader through an external authority. The authority executes an order,
/// possibly seconds later, if its fence is not below the highest fence that it has seen. Every order therefore has a
/// unique fence from the control log, so it stays valid even if an older order is executed first.
///
/// The functions do no I/O and read no clock: they change the state that is passed in and return the actions to
/// execute.

/// The reason for the replacement of a primary.
enum class PromotionCause : std::uint8_t {
    Failed, ///< Neither the leader nor most of the instances that use it can reach it.
    Leaving, ///< It has announced its shutdown.
    Missing, ///< No endpoint of the group reports the primary role.
    Strained, ///< It rejects reads that no replica can serve, because all replicas lag too far behind.
    Unfinished, ///< The last grant names another endpoint, whose promotion may still be executed.
};

/// Checks over a new connection whether an endpoint is alive. Completed by a ProbeResult.
struct ProbeAction {
    EndpointId endpoint_;
};
/// Identifies a request to an endpoint. Responses to earlier requests prove nothing about later ones.
using EndpointRequestNumber = std::uint64_t;

/// Requests the position of an endpoint. If `pauseTerm_` is not 0, the endpoint also stops receiving log entries, so
/// that it cannot confirm any later commit. Completed by a SurveyResult.
struct SurveyAction {
    EndpointId endpoint_;
    Term pauseTerm_ { 0 };
    EndpointRequestNumber request_ { 0 };
};
/// Resumes log reception on a replica that may have been paused for an abandoned promotion. Completed by a
/// SurveyResult.
struct ResumeAction {
    EndpointId endpoint_;
    EndpointRequestNumber request_ { 0 };
};
/// Makes the primary stop accepting writes in terms below `term_`. Sent to a primary that is shutting down or strained.
/// Completed by a SurveyResult.
struct StepDownAction {
    EndpointId endpoint_;
    Term term_ { 0 };
    EndpointRequestNumber request_ { 0 };
};
/// Requests a fence from the control log. Completed by a GrantResult.
struct GrantAction {
    GroupId group_;
    EndpointId endpoint_;
};
/// Requests the promotion from the external authority. Completed by an OrderResult.
struct OrderAction {
    GroupId group_;
    EndpointId endpoint_;
    std::uint64_t fence_ { 0 };
};
using PromotionAction = std::variant<ProbeAction, SurveyAction, ResumeAction, StepDownAction, GrantAction, OrderAction>;

struct ProbeResult {
    EndpointId endpoint_;
    bool alive_ { false };
};
struct SurveyResult {
    EndpointId endpoint_;
    std::optional<LogPosition> received_; ///< Empty if the endpoint did not respond.
    Term highestTerm_ { 0 }; ///< The highest term that the endpoint has seen.
    Duration lag_ { 0 }; ///< How far its applied state lags behind the received entries.
    EndpointRequestNumber request_ { 0 }; ///< Of the action.
    EndpointRole role_ { EndpointRole::Replica }; ///< After the request was executed.
    Term term_ { 0 }; ///< The term in which it holds that role.
};
struct GrantResult {
    GroupId group_;
    std::optional<std::uint64_t> fence_; ///< Empty if the fence was not granted or the outcome is unknown.
};
enum class OrderOutcome : std::uint8_t {
    Accepted,
    Refused, ///< Not executed: the fence was too low, or the endpoint is not running.
    Limited, ///< Not executed: the rate limit of the authority was exceeded.
    Unknown, ///< No response; the order may still be executed later.
};
struct OrderResult {
    GroupId group_;
    OrderOutcome outcome_ { OrderOutcome::Unknown };
};

/// The current phase in the replacement of a group's primary.
enum class PromotionPhase : std::uint8_t {
    Watching, ///< No replacement is in progress.
    Probing, ///< The primary is suspected to have failed.
    Surveying, ///< Positions of the replicas are collected to choose the target.
    Granting, ///< A fence has been requested.
    SteppingDown, ///< A primary that is shutting down or strained has been requested to stop accepting writes.
    CatchingUp, ///< The target receives the remaining writes that the primary had acknowledged.
    EndingLeases, ///< Instances may still use the primary, and the authority would not stop them.
    Ordering, ///< The promotion has been requested.
    Settling, ///< The order was accepted or its outcome is unknown; the registry does not show it yet.
};

/// A pause or a resumption that has been sent to a replica.
struct OpenReplicaOrder {
    EndpointRequestNumber request_ { 0 };
    TimePoint sentAt_;
    bool isPause_ { false };
};

/// The state of the replacement of one group's primary.
struct GroupPromotion {
    PromotionPhase phase_ { PromotionPhase::Watching };
    PromotionCause cause_ { PromotionCause::Failed };
    EndpointId primary_; ///< The primary that is to be replaced; empty if there is none.
    EndpointId target_;
    TimePoint phaseSince_;
    TimePoint chosenAt_; ///< When the grant for the target was requested.
    TimePoint lastProbeAt_;
    int failedProbes_ { 0 };
    std::map<EndpointId, EndpointRequestNumber> pendingResponses_; ///< Outstanding survey or step-down requests.
    std::map<EndpointId, LogPosition> positions_;
    std::map<EndpointId, Duration> lags_;
    /// Replicas confirm commits, and the primary does not confirm that it has stopped. The target is chosen among
    /// paused replicas, enough of them that one has every acknowledged commit.
    bool usesPauses_ { false };
    Term pauseTerm_ { 0 }; ///< Of the current survey; 0 if it pauses nothing.
    /// Endpoints that may be paused, with the start of the process that was asked to: a restart ends the pause.
    std::map<EndpointId, std::uint64_t> paused_;
    std::set<EndpointId> confirmedPauses_; ///< Endpoints that have confirmed the pause of the current survey.
    std::optional<TimePoint> pausedSince_; ///< When enough endpoints had confirmed it.
    int surveyRepetitions_ { 0 }; ///< How often endpoints that had not responded in time were asked again.
    bool isFinalSurvey_ { false }; ///< The paused endpoints are asked for the positions that they stay at.
    /// Pauses and resumptions without a response, which may still be executed.
    std::map<EndpointId, OpenReplicaOrder> openReplicaOrders_;
    std::map<EndpointId, TimePoint> resumeAgainAt_; ///< No pause without a response can be executed after this time.
    int resumedAll_ { 0 }; ///< How often all replicas were resumed, because an earlier leader may have paused them.
    EndpointId lastPrimary_; ///< The last known primary.
    std::uint64_t fence_ { 0 };
    bool isOrderUnknown_ { false }; ///< The last order got no response or was rate limited.
    LogPosition stoppedPosition_; ///< Last position of a primary that stepped down.
    bool hasStopped_ { false }; ///< The primary has confirmed that it accepts no more writes in its term.
    EndpointId unorderedGrant_; ///< Target of a grant of this leader for which it has sent no order.
    EndpointId openOrderTarget_; ///< Target of the last order that may have been or may still be executed.
    TimePoint openOrderAt_; ///< When that order was answered or given up.
    bool wasOrderUnanswered_ { false }; ///< An order for that target has had no answer.
    std::optional<LogPosition> firstSurveyPosition_; ///< Position of a strained primary at the first survey.
    std::optional<TimePoint> strainedSince_;
    TimePoint nextStrainedReplacementAt_; ///< Earliest time to replace a strained primary.
    Term highestTerm_ { 0 };
    std::optional<bool> granted_; ///< The result of the last GrantAction.
    std::optional<OrderOutcome> orderOutcome_; ///< The result of the last OrderAction.
    std::set<EndpointId> refusedTargets_; ///< Targets whose promotion was refused in this attempt.
    TimePoint missingSince_; ///< Start of the time without a primary.
    bool isMissing_ { false };
};

/// The latest report of one instance about an endpoint.
struct InstanceReport {
    TimePoint receivedAt_;
    Duration lastResponseAge_ { Duration::max() };
    Duration failureAge_ { 0 };
    bool strained_ { false };
};

/// The promotion state of all groups, kept by the control leader.
struct PromotionDuty {
    std::map<GroupId, GroupPromotion> groups_;
    std::map<EndpointId, std::map<InstanceId, InstanceReport>> reports_;
    TimePoint beganAt_; ///< When this instance became the control leader.
    /// The endpoint of the latest grant of each group, of any control leader. Empty while the grants of earlier
    /// leaders are not known.
    std::optional<std::map<GroupId, EndpointId>> latestGrants_;
    EndpointRequestNumber lastRequest_ { 0 };
};

/// What limits promotions of groups whose primaries are leased: all groups where the authority executes orders without
/// checking fences, otherwise those with synchronous replicas.
struct PromotionGate {
    bool mayOrder_ { false }; ///< No other control leader can order promotions now.
    std::set<GroupId> endedLeases_; ///< Groups whose primary no instance uses.
    bool checksFences_ { false }; ///< Whether the authority checks fences.
};

/// Time limits and thresholds, derived from the guaranteed duration of a change of primary.
struct PromotionOptions {
    Duration heartbeatInterval_ { std::chrono::milliseconds(1200) };
    /// Time for which a report of an instance is valid: two intervals of the feed.
    Duration reportLifetime_ { std::chrono::milliseconds(800) };
    /// Time after the first failure to wait for instances that have not reported since: one interval of the feed plus
    /// the network delay.
    Duration evidenceTimeout_ { std::chrono::milliseconds(300) };
    /// Time between two probes of a suspected primary.
    Duration probeInterval_ { std::chrono::milliseconds(150) };
    /// Consecutive failed probes after which the leader considers an endpoint unreachable.
    int requiredProbeFailures_ { 2 };
    /// Timeout for the responses to a survey.
    Duration surveyTimeout_ { std::chrono::milliseconds(300) };
    /// Timeout for the responses to a survey of a group with a strained primary. The primary keeps serving during the
    /// survey, may shed some of the requests, and queues the accepted one behind a full queue.
    Duration strainedSurveyTimeout_ { std::chrono::milliseconds(500) };
    /// Time limit for the target to catch up with a primary that has stepped down.
    Duration catchUpTimeout_ { std::chrono::milliseconds(500) };
    /// Time limit for an accepted or unanswered order to become visible in the registry.
    Duration settleTimeout_ { std::chrono::milliseconds(2500) };
    /// Time after which an order without a response is repeated for the same target with a higher fence.
    Duration orderRetryDelay_ { std::chrono::milliseconds(600) };
    /// Time for which a primary has to be strained before it is replaced. Longer than a change of primary delays reads.
    Duration minimumStrainedTime_ { std::chrono::milliseconds(700) };
    /// At least one in this many instances that use a primary has to report it as strained. The required share is low
    /// because each instance has few reads for one group.
    std::size_t strainedReportDivisor_ { 4 };
    /// Time until the next attempt to replace a strained primary if no replica was suitable.
    Duration strainedRetryDelay_ { std::chrono::seconds(1) };
    /// Minimum time between two replacements of a strained primary in a group, as each one aborts transactions.
    Duration strainedReplacementInterval_ { std::chrono::seconds(10) };
    /// Time for which a group may have no primary before a replica is promoted.
    Duration missingPrimaryTimeout_ { std::chrono::seconds(3) };
    /// Without fences: time after an order without a response in which no other endpoint is promoted, because the order
    /// may be executed late.
    Duration lateOrderTimeout_ { std::chrono::seconds(5) };
    /// The same with synchronous replicas, and the time within which an endpoint executes a pause without a response.
    /// Calls without a response are executed up to 12 s later.
    Duration longestExecutionDelay_ { std::chrono::milliseconds(12'500) };
    /// With synchronous replicas: time after the choice of a target within which its promotion has to be ordered. A
    /// leader that was frozen for longer may have been replaced, and the replicas resumed. The order is executed before
    /// lateOrderTimeout_ has passed since the choice.
    Duration orderDeadline_ { std::chrono::milliseconds(2500) };
    /// Time after the confirmation of a pause until the position of a replica is final: it may take over entries that
    /// had been sent to it before.
    Duration pauseSettleTime_ { std::chrono::milliseconds(30) };
    /// Time after which a pause or a resumption without a response is sent again, although it may still be executed.
    Duration replicaOrderTimeout_ { std::chrono::seconds(1) };
};

/// Resets the state when this instance becomes the control leader. Orders of an earlier leader may still be executed.
void beginDuty(PromotionDuty&, TimePoint now);

/// Stores the reports of an instance.
void handleReports(PromotionDuty&, const InstanceId&, const std::vector<EndpointObservation>&, TimePoint now);

/// Advances all groups and returns the actions to execute. Must be called several times a second and after each
/// handleReports().
/// `gate` is null if no primary is leased.
std::vector<PromotionAction> tickDuty(PromotionDuty&, const EndpointRegistry&, const RouteCatalog&,
    const PromotionOptions&, TimePoint now, const PromotionGate* gate = nullptr);

/// The primaries that instances may use: those of the groups in which no promotion is about to be ordered or may still
/// be executed. If the authority checks fences, only of groups with synchronous replicas; the others need no lease.
std::vector<PrimaryLease> usablePrimaries(
    const PromotionDuty&, const EndpointRegistry&, const RouteCatalog&, bool checksFences = false);

/// Store the results of actions. Results that are no longer expected are ignored. The next tickDuty() acts on them;
/// call it immediately.
void handleResult(PromotionDuty&, const ProbeResult&);
void handleResult(PromotionDuty&, const SurveyResult&);
void handleResult(PromotionDuty&, const GrantResult&);
void handleResult(PromotionDuty&, const OrderResult&);

/// The names of a phase and a cause in log lines.
std::string_view phaseName(PromotionPhase);
std::string_view causeName(PromotionCause);

} // namespace cassiahollow
