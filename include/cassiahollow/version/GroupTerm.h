#pragma once

#include "cassiahollow/process/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

/// The state machine of one watcher of one endpoint group: confirmation of writes, detection of a failed primary,
/// promotion, and reintegration of former primaries. Does no I/O and reads no clock; see docs/design.md, section 5.
namespace cassiahollow {

/// One entry of a group's member list in the control state.
struct GroupMember {
    EndpointId endpoint_;
    DataCentre dataCentre_;
};

/// An instance that holds a member of the group according to the holder map. `alive_` comes from membership.
struct GroupWatcher {
    InstanceId instance_;
    DataCentre dataCentre_;
    bool alive_ { true };
};

/// The status that an endpoint reports in a watch stream or in the response to `report`, `fence`, `promote` or
/// `follow`.
struct MemberReport {
    EndpointId endpoint_;
    EndpointRole role_ { EndpointRole::Replica };
    Term promisedTerm_ { 0 };
    LogPosition position_; ///< The last entry of its log.
    bool leaving_ { false };
};

/// The vote of one watcher on the primary of a term, sent to the other watchers.
struct GroupVote {
    GroupId group_;
    InstanceId voter_;
    EndpointId endpoint_; ///< The primary of that term; empty if the voter has seen none.
    Term term_ { 0 }; ///< The term of the primary, or the highest promised term if there is none.
    bool suspects_ { false }; ///< False withdraws an earlier vote.
    Term highestPromised_ { 0 }; ///< The highest promised term that the voter has seen.
};

/// The commands that a watcher sends to a member.
enum class OrderKind : std::uint8_t { Fence, Promote, Follow };

/// The phases of a failover. The promoter records the duration of each in a histogram.
enum class FailoverPhase : std::uint8_t {
    Detect, ///< From the last report of the old primary until this watcher suspects it.
    Decide, ///< From the suspicion to the first `fence`: votes, rank delay and minimum interval.
    Fence, ///< From the first `fence` until a majority has responded.
    CatchUp, ///< Planned change only: from the pause of writes until the preferred replica has the primary's position.
    Promote, ///< From `promote` to its response.
    Route, ///< From the response to `promote` until a majority holds an entry of the new term.
    Total, ///< From the last report of the old primary (planned: from the pause of writes) to the end of Route.
};

/// Timeouts and intervals of a watcher. The defaults are those of docs/design.md.
struct GroupTimings {
    /// A watch without a report for this long is probed.
    Duration suspicionTimeout_ { std::chrono::milliseconds(400) };
    /// Response timeout of a probe, and delay before the next one.
    Duration probeTimeout_ { std::chrono::milliseconds(300) };
    /// Interval at which orders without a response are resent.
    Duration resendInterval_ { std::chrono::milliseconds(300) };
    Duration rankDelay_ { std::chrono::milliseconds(200) }; ///< Delay between watchers of adjacent rank.
    /// Unit of the random delay after failed attempts. Longer than fence and promote take together, so that one of
    /// several competing promoters succeeds.
    Duration backoffUnit_ { std::chrono::milliseconds(50) };
    /// Minimum time between the starts of successful promotions.
    Duration promotionInterval_ { std::chrono::seconds(5) };
    /// Time limit for another watcher's promotion to produce a primary; after it, this watcher fences with a higher
    /// term. Three resend intervals, so that two lost orders in a row do not cause a competing promotion.
    Duration promotionTimeout_ { std::chrono::milliseconds(900) };
    /// Validity of a vote, which is repeated every `probeTimeout_`.
    Duration voteLifetime_ { std::chrono::milliseconds(1500) };
    Duration catchUpTimeout_ { std::chrono::seconds(3) }; ///< A planned change is aborted after this time.
    /// Time for which the preferred replica has to report the primary's position before a planned change fences. Longer
    /// than the message delay, so that the position covers the writes in flight when the pause began.
    Duration caughtUpTime_ { std::chrono::milliseconds(10) };
    /// Time for which all members have to report that none of them is primary. Two report intervals, because a report
    /// can be overtaken by a newer one on a new connection.
    Duration absentPrimaryDelay_ { std::chrono::milliseconds(200) };
    /// A replica behind the primary without progress gets `follow` again.
    Duration stallTimeout_ { std::chrono::seconds(1) };
};

/// The member list or the list of watchers changed. Must be the first event of each state.
struct GroupConfigured {
    std::vector<GroupMember> members_;
    std::vector<GroupWatcher> watchers_; ///< All watchers, including this one.
};

/// A report arrived on the watch connection.
struct MemberReported {
    MemberReport report_;
};

/// The watch connection to a member was closed or refused.
struct WatchLost {
    EndpointId endpoint_;
};

/// The probe with this number delivered a report.
struct ProbeResponded {
    std::uint64_t probe_ { 0 };
    MemberReport report_;
};

/// The connection of the probe with this number was refused or closed. A timeout is detected without an event.
struct ProbeFailed {
    std::uint64_t probe_ { 0 };
    EndpointId endpoint_;
};

/// An endpoint executed an order. `kind_` and `term_` are those of the order.
struct OrderResponded {
    OrderKind kind_ { OrderKind::Fence };
    Term term_ { 0 };
    MemberReport report_;
};

/// An endpoint refused an order because it has promised a newer term.
struct OrderRefused {
    OrderKind kind_ { OrderKind::Fence };
    Term term_ { 0 };
    EndpointId endpoint_;
    Term promisedTerm_ { 0 };
};

/// A vote of another watcher arrived.
struct VoteReceived {
    GroupVote vote_;
};

/// An operator or a drain requests a planned change of primary. Must be passed to the watcher that holds the primary,
/// because this watcher pauses its own write queue. Ignored, with a log line, if the watcher has no primary or the
/// replica is not a member.
struct ChangeOrdered {
    EndpointId preferred_;
};

/// Only time has passed. Due at the time returned by `nextWakeup` at the latest.
struct GroupTick { };

/// An input of `step`.
using GroupEvent = std::variant<GroupConfigured, MemberReported, WatchLost, ProbeResponded, ProbeFailed, OrderResponded,
    OrderRefused, VoteReceived, ChangeOrdered, GroupTick>;

/// Open a new connection to the member, request `watch` on it and pass its first report as ProbeResponded with this
/// number, or else ProbeFailed. Close an earlier probe of the member that is still pending. New members are probed
/// immediately, so no other action opens a watch.
struct OpenProbe {
    EndpointId endpoint_;
    std::uint64_t probe_ { 0 };
};

/// Make the probe connection the watch connection and close the old watch connection without a WatchLost event.
struct ReplaceWatch {
    EndpointId endpoint_;
    std::uint64_t probe_ { 0 };
};

/// The endpoint is no longer a member: close its watch and probe connections.
struct CloseWatch {
    EndpointId endpoint_;
};

/// Send to all other watchers of the group.
struct SendVote {
    GroupVote vote_;
};

/// Send `fence`, `promote` or `follow` to the member. Orders may be lost or duplicated; `step` resends them.
struct SendOrder {
    OrderKind kind_ { OrderKind::Fence };
    EndpointId endpoint_;
    Term term_ { 0 };
    std::string promoter_;
    EndpointId primary_; ///< Only for `follow`.
};

/// Hold new writes of the group in the queue. Reads continue.
struct PauseWrites { };

/// Resume writes. Send the queued ones to the primary of the route.
struct ResumeWrites { };

/// Publish the new primary of the group. Each watcher publishes it; the directory orders routes by term.
struct PublishRoute {
    GroupId group_;
    Term term_ { 0 };
    EndpointId primary_;
};

/// Record the duration of a failover phase.
struct RecordPhase {
    FailoverPhase phase_ { FailoverPhase::Total };
    Duration duration_ {};
    bool planned_ { false };
};

/// Write a log line about a change of state.
struct LogChange {
    std::string text_;
};

/// An output of `step`, to be executed by the caller.
using GroupAction = std::variant<OpenProbe, ReplaceWatch, CloseWatch, SendVote, SendOrder, PauseWrites, ResumeWrites,
    PublishRoute, RecordPhase, LogChange>;

/// The state of one member as seen by a watcher.
struct MemberState {
    EndpointId endpoint_;
    DataCentre dataCentre_;
    std::optional<MemberReport> report_; ///< The latest report; reports with a lower promised term are ignored.
    std::optional<TimePoint> lastReceivedAt_; ///< When `report_` was received.
    /// The highest position that was reported while the promised term equalled the term of the position. Only such
    /// positions count for a confirmation: a member that has promised a newer term may have received the entry from a
    /// newer primary, which may in turn be replaced by a primary without the entry.
    LogPosition confirmablePosition_;
    std::uint64_t probe_ { 0 }; ///< Number of the pending or last probe.
    std::optional<TimePoint> probeOpenedAt_; ///< Set while a probe is pending.
    std::optional<TimePoint> probeDueAt_; ///< When to probe again after a failed probe.
    bool unreachable_ { false }; ///< The last probe failed and no report was received since.
    TimePoint lastProgressAt_ {}; ///< Last time that its position changed or reached that of the primary.
    std::optional<TimePoint> followNeededSince_; ///< Since when the member appears not to follow the primary.
    std::optional<TimePoint> followSentAt_;
    Term followedTerm_ { 0 }; ///< The last term in which it confirmed `follow`.
    bool reconnected_ { false }; ///< It may have restarted since it confirmed `follow`.
};

/// A promotion run by this watcher.
struct Promotion {
    Term term_ { 0 };
    TimePoint startedAt_ {};
    TimePoint lastSentAt_ {}; ///< Last time that the orders of the current step were sent.
    std::map<EndpointId, LogPosition> fencedPositions_; ///< Positions from the responses to `fence`.
    std::optional<EndpointId> chosen_; ///< The new primary. Never changes within the term.
    TimePoint chosenAt_ {};
    std::optional<EndpointId> preferred_;
    bool planned_ { false };
    bool fromSuspicion_ { false }; ///< Started because the primary did not respond; cancelled if it reports again.
    bool hadPrimary_ { false };
    TimePoint gapStartedAt_ {}; ///< Time of the last report of the old primary, or of the pause of writes.
};

/// A completed promotion of this watcher whose new primary is not yet followed by a majority.
struct UnconfirmedPromotion {
    Promotion promotion_;
    TimePoint promotedAt_ {};
};

/// A planned change that is waiting for the preferred replica to catch up.
struct PlannedChange {
    EndpointId preferred_;
    std::optional<TimePoint> pausedAt_; ///< Unset until the minimum interval between promotions has passed.
    std::optional<TimePoint> caughtUpSince_;
};

/// The latest vote of another watcher.
struct ReceivedVote {
    GroupVote vote_;
    TimePoint receivedAt_ {};
};

/// The state of one watcher of one group. Create it with `makeGroupState` and read it through the functions below.
struct GroupState {
    GroupId group_;
    InstanceId self_;
    std::string promoter_;
    GroupTimings timings_;
    std::vector<MemberState> members_;
    std::vector<GroupWatcher> watchers_;
    std::map<InstanceId, ReceivedVote> votes_;
    Term term_ { 0 }; ///< The highest term in which a member has reported the primary role.
    EndpointId primary_; ///< The primary of `term_`; empty before the first one.
    Term highestPromised_ { 0 }; ///< From reports and votes.
    TimePoint highestPromisedSince_ {};
    Term refusedTerm_ { 0 }; ///< The highest promised term reported in a refusal.
    Term lastOwnTerm_ { 0 }; ///< The highest term in which this watcher has fenced.
    std::optional<TimePoint> suspectedSince_; ///< Set while this watcher has no reachable primary.
    std::optional<TimePoint> decidableSince_; ///< Set while a promotion waits only for the rank delay and the backoff.
    std::optional<TimePoint> lastPromotionAt_; ///< Start of the last successful promotion seen by this watcher.
    std::optional<TimePoint>
        unconfirmedPromotionAt_; ///< Start of the promotion in `term_`, set until a majority follows it.
    std::optional<TimePoint> lastVoteSentAt_;
    Duration backoff_ {}; ///< Added to the rank delay after a failed attempt.
    std::uint32_t failedAttempts_ { 0 }; ///< Failed promotions since the last primary.
    std::optional<Promotion> promotion_;
    std::optional<UnconfirmedPromotion> unconfirmedPromotion_;
    std::optional<PlannedChange> plannedChange_;
    std::uint64_t lastProbeNumber_ { 0 }; ///< The number of the last probe.
    std::minstd_rand random_;
    TimePoint lastStepAt_ {}; ///< The time of the last step.
};

/// Creates the state of one watcher. `promoter` must be unique among all states ever created for the group, including
/// earlier states of this instance: a new state must not reuse a term of an earlier one with a different choice of
/// primary. The instance id, incarnation and a counter of states together are sufficient.
GroupState makeGroupState(GroupId, InstanceId self, std::string promoter, const GroupTimings& = {});

/// Processes one event and returns the actions to execute, in order. Never fails: events for unknown endpoints, old
/// probes or old terms are ignored.
std::vector<GroupAction> step(GroupState&, const GroupEvent&, TimePoint now);

/// Returns the primary of the current term, or nothing if there is none or it has reported that it is no longer
/// primary. A suspected primary is still returned, because the suspicion may be wrong and writes at a replaced primary
/// cannot be confirmed.
std::optional<EndpointId> primaryOf(const GroupState&);

/// Returns the highest term in which a member has reported the primary role; 0 before the first promotion.
Term termOf(const GroupState&);

/// Whether a write at this position may be acknowledged: a majority of the members has reported a position of the same
/// term at or past it while they had promised no newer term. Each member counts once.
bool isConfirmed(const GroupState&, const LogPosition&);

/// Returns the highest confirmed position of the current term, or nothing if there is none. When a member is replaced,
/// the new one is added once a majority of the remaining members holds the position returned before the removal.
std::optional<LogPosition> lastConfirmed(const GroupState&);

/// Whether a majority of the members has reported within the suspicion timeout. If not, writes are refused as
/// `group_without_majority`.
bool hasMajority(const GroupState&, TimePoint now);

/// Whether a read without a provable position may run at the primary: within the suspicion timeout, a majority of the
/// members has reported a promised term that is not above the primary's term.
bool mayReadAtPrimary(const GroupState&, TimePoint now);

/// Returns the last reported position of the member, or nothing if it is not a member or has not reported yet.
std::optional<LogPosition> positionOf(const GroupState&, const EndpointId&);

/// Whether a planned change is holding new writes in the queue.
bool writesPaused(const GroupState&);

/// Returns when the next GroupTick is due, or nothing if only other events can change the state.
std::optional<TimePoint> nextWakeup(const GroupState&);

} // namespace cassiahollow

#include "cassiahollow/version/GroupTerm-inl.h"
