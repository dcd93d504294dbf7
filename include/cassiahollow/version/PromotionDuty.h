#pragma once

#include "cassiahollow/process/DirectoryFeed.h"
#include "cassiahollow/process/EndpointRegistry.h"
#include "cassiahollow/version/RouteCatalog.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// How the control leader replaces primaries through an outside authority. The authority carries an order out if its
/// fence is not below one that it has seen, perhaps seconds later; so every order has a fence of its own from the
/// control log, and is right even when an older one is carried out first.
///
/// All functions are pure: they change the state given and return what has to be done.

/// Why a primary is replaced.
enum class PromotionCause : std::uint8_t {
    Failed, ///< Neither the leader nor most instances that use it reach it.
    Leaving, ///< It has announced that it leaves.
    Missing, ///< No endpoint of the group claims to be the primary.
    Strained, ///< It turns reads away, because all replicas are too far behind to serve them.
};

/// Asks an endpoint on a new connection whether it is alive. Answered by a ProbeResult.
struct ProbeAction {
    EndpointId endpoint_;
};
/// Asks an endpoint for its position. With `pauseTerm_`, it also stops to receive, so that no later commit can be
/// confirmed by it. Answered by a SurveyResult.
struct SurveyAction {
    EndpointId endpoint_;
    Term pauseTerm_ { 0 };
};
/// Lets a replica receive again that an abandoned change of primary had stopped. Needs no answer.
struct ResumeAction {
    EndpointId endpoint_;
};
/// Tells a primary that leaves to take no further writes below the term. Answered by a SurveyResult.
struct StepDownAction {
    EndpointId endpoint_;
    Term term_ { 0 };
};
/// Asks the control log for a fence. Answered by a GrantResult.
struct GrantAction {
    GroupId group_;
    EndpointId endpoint_;
};
/// Orders the promotion. Answered by an OrderResult.
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
    std::optional<LogPosition> received_; ///< Empty: no answer.
    Term highestTerm_ { 0 }; ///< The highest term that the endpoint knows.
    Duration lag_ { 0 }; ///< How far it applies behind what it has received.
};
struct GrantResult {
    GroupId group_;
    std::optional<std::uint64_t> fence_; ///< Empty: not granted, or not known.
};
enum class OrderOutcome : std::uint8_t {
    Accepted,
    Refused, ///< Not carried out: the fence was too low, or the endpoint is not running.
    Limited, ///< Not carried out: too many calls.
    Unknown, ///< It may be carried out later.
};
struct OrderResult {
    GroupId group_;
    OrderOutcome outcome_ { OrderOutcome::Unknown };
};

/// How far the replacement of a group's primary has come.
enum class PromotionPhase : std::uint8_t {
    Watching,
    Probing, ///< The primary is suspected.
    Surveying, ///< Positions are collected to choose the target.
    Granting, ///< A fence is asked for.
    SteppingDown, ///< A primary that leaves is told to stop.
    CatchingUp, ///< The target receives what the primary had acknowledged.
    Ordering,
    Settling, ///< The order was accepted, or may be carried out late.
};

struct GroupPromotion {
    PromotionPhase phase_ { PromotionPhase::Watching };
    PromotionCause cause_ { PromotionCause::Failed };
    EndpointId primary_; ///< The primary that is replaced, or empty.
    EndpointId target_;
    TimePoint phaseSince_;
    TimePoint lastProbeAt_;
    int failedProbes_ { 0 };
    std::set<EndpointId> pendingResponses_; ///< Surveyed and not yet answered.
    std::map<EndpointId, LogPosition> positions_;
    std::map<EndpointId, Duration> lags_;
    std::size_t requiredResponses_ { 1 }; ///< Positions without which no target may be chosen.
    bool needsPause_ { false }; ///< Commits are confirmed by replicas, so those that are asked have to stop first.
    std::set<EndpointId> paused_;
    std::uint64_t fence_ { 0 };
    bool isOrderUnknown_ { false }; ///< The last order got no answer.
    LogPosition stoppedPosition_; ///< Where a primary that leaves, or is relieved, has stopped.
    std::optional<LogPosition> firstSurveyPosition_; ///< Strained: where the primary was at the first survey.
    std::optional<TimePoint> strainedSince_;
    TimePoint nextStrainedReplacementAt_; ///< A strained primary is not replaced before.
    Term highestTerm_ { 0 };
    std::optional<bool> granted_; ///< The answer to the last GrantAction.
    std::optional<OrderOutcome> orderOutcome_; ///< The answer to the last OrderAction.
    std::set<EndpointId> refusedTargets_; ///< Targets for which the last orders were refused.
    TimePoint missingSince_; ///< When the group was first seen without a primary.
    bool isMissing_ { false };
};

/// What one instance has last reported about an endpoint.
struct InstanceReport {
    TimePoint receivedAt_;
    Duration lastResponseAge_ { Duration::max() };
    Duration failureAge_ { 0 };
    bool strained_ { false };
};

struct PromotionDuty {
    std::map<GroupId, GroupPromotion> groups_;
    std::map<EndpointId, std::map<InstanceId, InstanceReport>> reports_;
};

/// Limits, from the promised time of a change of primary.
struct PromotionOptions {
    Duration heartbeatInterval_ { std::chrono::milliseconds(1200) };
    /// Reports of instances count for this long: two intervals of the feed.
    Duration reportLifetime_ { std::chrono::milliseconds(800) };
    /// How long after the first failure the decision waits for instances that have not reported since: the interval of
    /// the feed, and the way.
    Duration evidenceTimeout_ { std::chrono::milliseconds(300) };
    /// Time between two probes of a suspect.
    Duration probeInterval_ { std::chrono::milliseconds(150) };
    /// Failed probes in a row after which the leader itself takes an endpoint for unreachable.
    int requiredProbeFailures_ { 2 };
    /// How long replicas are waited for that do not answer a survey.
    Duration surveyTimeout_ { std::chrono::milliseconds(300) };
    /// The same for a strained primary, which serves on meanwhile: it may shed some of the questions, and the one that
    /// it takes waits behind a full queue.
    Duration strainedSurveyTimeout_ { std::chrono::milliseconds(500) };
    /// How long a replica may take to catch up with a primary that has stopped.
    Duration catchUpTimeout_ { std::chrono::milliseconds(500) };
    /// How long an accepted or unanswered order may take to show in the registry.
    Duration settleTimeout_ { std::chrono::milliseconds(2500) };
    /// How long an order without an answer is waited for before the same target is ordered with a higher fence.
    Duration orderRetryDelay_ { std::chrono::milliseconds(600) };
    /// How long a primary is strained before it is replaced: longer than a change of primary keeps its reads waiting.
    Duration minimumStrainedTime_ { std::chrono::milliseconds(700) };
    /// One of this many instances that use a primary has to see it strained: each has few reads for one group.
    std::size_t strainedReportDivisor_ { 4 };
    /// Time after which a strained primary is looked at again, when the replicas could not help.
    Duration strainedRetryDelay_ { std::chrono::seconds(1) };
    /// Least time between two changes of a group's primary for strain, each of which ends transactions.
    Duration strainedReplacementInterval_ { std::chrono::seconds(10) };
    /// How long a new group may be without a primary before one is promoted.
    Duration missingPrimaryTimeout_ { std::chrono::seconds(3) };
};

/// The leader has just got the duty: whatever an earlier leader did may still be carried out.
void beginDuty(PromotionDuty&);

/// Takes in an instance's reports.
void handleReports(PromotionDuty&, const InstanceId&, const std::vector<EndpointObservation>&, TimePoint now);

/// Has to be called several times a second, and after each handleReports().
std::vector<PromotionAction> tickDuty(
    PromotionDuty&, const EndpointRegistry&, const RouteCatalog&, const PromotionOptions&, TimePoint now);

/// Take in the answers to actions. Answers that nobody waits for any more are ignored. The next step follows at the
/// next tick, which should come at once.
void handleResult(PromotionDuty&, const ProbeResult&);
void handleResult(PromotionDuty&, const SurveyResult&);
void handleResult(PromotionDuty&, const GrantResult&);
void handleResult(PromotionDuty&, const OrderResult&);

/// For log lines.
std::string_view phaseName(PromotionPhase);
std::string_view causeName(PromotionCause);

} // namespace cassiahollow
