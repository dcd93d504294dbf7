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

/// The decisions of one watcher of one endpoint group: confirmation of writes, detection of a failed primary,
/// promotion, and return of old primaries. No I/O and no clock; see docs/design.md, section 5.
namespace cassiahollow {

/// One entry of the member list of a group. Comes from the group member list of the control state.
struct GroupMember {
    EndpointId endpoint_;
    DataCentre dataCentre_;
};

/// One holder of a member of the group. Comes from the holder map; `alive_` from membership.
struct GroupWatcher {
    InstanceId instance_;
    DataCentre dataCentre_;
    bool alive_ { true };
};

/// What an endpoint says about itself, in a watch stream or as the answer to `report`, `fence`, `promote`, `follow`.
struct MemberReport {
    EndpointId endpoint_;
    EndpointRole role_ { EndpointRole::Replica };
    Term promisedTerm_ { 0 };
    LogPosition position_; ///< The last entry of its log.
    bool leaving_ { false };
};

/// What one watcher tells the others about the primary of a term.
struct GroupVote {
    GroupId group_;
    InstanceId voter_;
    EndpointId endpoint_; ///< The primary in question; empty if the voter knows of no primary in that term.
    Term term_ { 0 }; ///< The term of the primary, or the highest promised term if there is no primary.
    bool suspects_ { false }; ///< False withdraws an earlier vote.
    Term highestPromised_ { 0 }; ///< The highest promised term that the voter has seen.
};

enum class OrderKind : std::uint8_t { Fence, Promote, Follow };

/// The parts of a failover, each recorded as a histogram in the promoter.
enum class FailoverPhase : std::uint8_t {
    Detect, ///< From the last report of the old primary to the own suspicion.
    Decide, ///< From the own suspicion to the first `fence`: votes, rank, and the minimum interval.
    Fence, ///< From the first `fence` to answers from a majority.
    CatchUp, ///< Planned change only: from the order until the preferred replica holds the primary's position.
    Promote, ///< From `promote` to its answer.
    Route, ///< From the answer to `promote` until a majority holds an entry of the new term.
    Total, ///< From the last report of the old primary (planned: from the pause of writes) to the end of Route.
};

/// Times of the group rules. The defaults are those of docs/design.md.
struct GroupTimings {
    Duration suspicionTimeout_ { std::chrono::milliseconds(400) }; ///< Longest silence of a watch without a probe.
    Duration probeTimeout_ { std::chrono::milliseconds(
        300) }; ///< Longest silence of a probe; also the pause before the next.
    Duration resendInterval_ { std::chrono::milliseconds(
        300) }; ///< Interval at which unanswered orders are sent again.
    Duration rankDelay_ { std::chrono::milliseconds(200) }; ///< Distance between watchers of adjacent rank.
    /// The unit of the random delay after failed attempts; longer than fence and promote take, so that one of several
    /// competing promoters gets through.
    Duration backoffUnit_ { std::chrono::milliseconds(50) };
    Duration promotionInterval_ { std::chrono::seconds(5) }; ///< Between the starts of successful promotions.
    /// How long another watcher's promotion may go without a primary before this one fences with a higher term.
    /// Three times the resend interval, so that two lost orders in a row don't lead to a competing promotion.
    Duration promotionTimeout_ { std::chrono::milliseconds(900) };
    Duration voteLifetime_ { std::chrono::milliseconds(
        1500) }; ///< A vote counts so long; it is repeated at each probe.
    Duration catchUpTimeout_ { std::chrono::seconds(3) }; ///< A planned change is given up after this time.
    /// How long the preferred replica has to report the primary's position before a planned change fences. Longer than
    /// the message delay, so that the position covers the writes that ran when the pause began.
    Duration caughtUpTime_ { std::chrono::milliseconds(10) };
    /// How long the members have to report that none of them is primary: two report intervals, because a report can
    /// be overtaken by a newer one on a new connection.
    Duration absentPrimaryDelay_ { std::chrono::milliseconds(200) };
    Duration stallTimeout_ { std::chrono::seconds(
        1) }; ///< A replica behind the primary without progress gets `follow` again.
};

/// The member list or the watchers changed. Also the first event of each state.
struct GroupConfigured {
    std::vector<GroupMember> members_;
    std::vector<GroupWatcher> watchers_; ///< All watchers, this one included.
};

/// A report arrived on the watch connection.
struct MemberReported {
    MemberReport report_;
};

/// The watch connection to a member was closed or refused.
struct WatchLost {
    EndpointId endpoint_;
};

/// The probe connection of that number delivered a report.
struct ProbeResponded {
    std::uint64_t probe_ { 0 };
    MemberReport report_;
};

/// The probe connection of that number was refused or closed. Silence needs no event.
struct ProbeFailed {
    std::uint64_t probe_ { 0 };
    EndpointId endpoint_;
};

/// An endpoint carried out an order. Kind and term are those of the order.
struct OrderResponded {
    OrderKind kind_ { OrderKind::Fence };
    Term term_ { 0 };
    MemberReport report_;
};

/// An endpoint refused an order because of the term that it has promised.
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

/// An operator or a drain wants another primary. Goes to the watcher that holds the primary, because that watcher
/// pauses its own write queue. Ignored, with a log line, if that watcher knows of no primary or the replica is not
/// a member.
struct ChangeOrdered {
    EndpointId preferred_;
};

/// Time has passed; due at `nextWakeup` at the latest.
struct GroupTick { };

using GroupEvent = std::variant<GroupConfigured, MemberReported, WatchLost, ProbeResponded, ProbeFailed, OrderResponded,
    OrderRefused, VoteReceived, ChangeOrdered, GroupTick>;

/// Open a new connection to the member, ask for `watch` on it and hand its first report in as ProbeResponded with this
/// number, or ProbeFailed. An earlier probe of the member that still waits is closed. New members are probed at once,
/// so no other action opens a watch.
struct OpenProbe {
    EndpointId endpoint_;
    std::uint64_t probe_ { 0 };
};

/// The probe connection becomes the watch connection; the old watch connection is closed without a WatchLost.
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

/// Send `fence`, `promote` or `follow` to the member. Orders may be lost or repeated; the module resends them.
struct SendOrder {
    OrderKind kind_ { OrderKind::Fence };
    EndpointId endpoint_;
    Term term_ { 0 };
    std::string promoter_;
    EndpointId primary_; ///< Only for `follow`.
};

/// Hold new writes of the group in the queue. Reads go on.
struct PauseWrites { };

/// Start writes again; the queued ones go to the primary of the route.
struct ResumeWrites { };

/// The group has a new primary. Sent by each watcher that learns of it; the directory orders routes by term.
struct PublishRoute {
    GroupId group_;
    Term term_ { 0 };
    EndpointId primary_;
};

struct RecordPhase {
    FailoverPhase phase_ { FailoverPhase::Total };
    Duration duration_ {};
    bool planned_ { false };
};

/// One line for the log: a change of state.
struct LogChange {
    std::string text_;
};

using GroupAction = std::variant<OpenProbe, ReplaceWatch, CloseWatch, SendVote, SendOrder, PauseWrites, ResumeWrites,
    PublishRoute, RecordPhase, LogChange>;

/// What a watcher knows of one member.
struct MemberState {
    EndpointId endpoint_;
    DataCentre dataCentre_;
    std::optional<MemberReport> report_; ///< The latest report that is not older than its highest promised term.
    std::optional<TimePoint> lastReceivedAt_; ///< Arrival of `report_`.
    /// The highest position reported while the promised term was the term of that position. Only these count for a
    /// confirmation: a member that has promised a newer term may hold the entry through the log of a newer primary
    /// that can itself still be replaced by a primary without the entry.
    LogPosition confirmablePosition_;
    std::uint64_t probe_ { 0 }; ///< Number of the open or last probe.
    std::optional<TimePoint> probeOpenedAt_; ///< Set while a probe waits for its answer.
    std::optional<TimePoint> probeDueAt_; ///< Set while a probe has failed and the next one waits.
    bool unreachable_ { false }; ///< The last probe failed and nothing arrived since.
    TimePoint lastProgressAt_ {}; ///< The last time that its position changed or was that of the primary.
    std::optional<TimePoint>
        followNeededSince_; ///< Since when the member looks like one that doesn't follow the primary.
    std::optional<TimePoint> followSentAt_;
    Term followedTerm_ { 0 }; ///< The last term for which it answered `follow`.
    bool reconnected_ { false }; ///< It may have restarted since it answered `follow`.
};

/// A promotion that this watcher carries out.
struct Promotion {
    Term term_ { 0 };
    TimePoint startedAt_ {};
    TimePoint lastSentAt_ {}; ///< The last time that the order of the current step was sent.
    std::map<EndpointId, LogPosition> fencedPositions_; ///< Answers to `fence`.
    std::optional<EndpointId> chosen_; ///< Fixed once for the term.
    TimePoint chosenAt_ {};
    std::optional<EndpointId> preferred_;
    bool planned_ { false };
    bool fromSuspicion_ { false }; ///< Started because the primary did not answer; cancelled if it does after all.
    bool hadPrimary_ { false };
    TimePoint gapStartedAt_ {}; ///< Last report of the old primary, or the pause of writes.
};

/// A promotion of this watcher whose new primary waits for a majority.
struct UnconfirmedPromotion {
    Promotion promotion_;
    TimePoint promotedAt_ {};
};

/// A planned change that waits for the preferred replica.
struct PlannedChange {
    EndpointId preferred_;
    std::optional<TimePoint> pausedAt_; ///< Unset while the minimum interval between promotions lasts.
    std::optional<TimePoint> caughtUpSince_;
};

struct ReceivedVote {
    GroupVote vote_;
    TimePoint receivedAt_ {};
};

/// The state of one watcher of one group. Make it with `makeGroupState`; read it through the queries below.
struct GroupState {
    GroupId group_;
    InstanceId self_;
    std::string promoter_;
    GroupTimings timings_;
    std::vector<MemberState> members_;
    std::vector<GroupWatcher> watchers_;
    std::map<InstanceId, ReceivedVote> votes_;
    Term term_ { 0 }; ///< The highest term in which a member has reported to be primary.
    EndpointId primary_; ///< The primary of `term_`; empty while there was none.
    Term highestPromised_ { 0 }; ///< From reports and votes.
    TimePoint highestPromisedSince_ {};
    Term refusedTerm_ { 0 }; ///< The highest promised term named in a refusal.
    Term lastOwnTerm_ { 0 }; ///< The highest term in which this watcher has fenced.
    std::optional<TimePoint> suspectedSince_; ///< Set while this watcher sees no working primary.
    std::optional<TimePoint> decidableSince_; ///< Set while nothing but the rank delays a promotion.
    std::optional<TimePoint> lastPromotionAt_; ///< Start of the group's last successful promotion, as far as known.
    std::optional<TimePoint>
        unconfirmedPromotionAt_; ///< Start of the promotion in `term_` until a majority follows it.
    std::optional<TimePoint> lastVoteSentAt_;
    Duration backoff_ {}; ///< Added to the rank delay after a failed attempt.
    std::uint32_t failedAttempts_ { 0 }; ///< Failed attempts since the last primary.
    std::optional<Promotion> promotion_;
    std::optional<UnconfirmedPromotion> unconfirmedPromotion_;
    std::optional<PlannedChange> plannedChange_;
    std::uint64_t lastProbeNumber_ { 0 }; ///< The number of the last probe.
    std::minstd_rand random_;
    TimePoint lastStepAt_ {}; ///< The time of the last step.
};

/// Makes the state of one watcher. `promoter` has to differ from that of every other state ever made for the group,
/// also from those of earlier states of this instance: a state that has lost its memory must not repeat a term of an
/// earlier one with another choice. Instance id, incarnation and a counter of states do.
GroupState makeGroupState(GroupId, InstanceId self, std::string promoter, const GroupTimings& = {});

/// Feeds one event and returns what to do, in this order. Never fails: events about unknown endpoints, old probes or
/// old terms are ignored.
std::vector<GroupAction> step(GroupState&, const GroupEvent&, TimePoint now);

/// The primary of the current term, or nothing while this watcher knows of none or has seen that it is no longer
/// primary. A suspected primary is still returned: the suspicion may be wrong, and an old primary cannot confirm.
std::optional<EndpointId> primaryOf(const GroupState&);

/// The highest term in which a member was seen as primary; 0 before the first promotion.
Term termOf(const GroupState&);

/// Whether a write at this position may be answered as done: a majority of the members has reported a position of the
/// same term at or past it, while they had promised no newer term. Each member counts once.
bool isConfirmed(const GroupState&, const LogPosition&);

/// The highest position of the current term that is confirmed, or nothing while none is. A replacement of a member adds
/// the new one when a majority of the remaining members holds the position that this returned before the removal.
std::optional<LogPosition> lastConfirmed(const GroupState&);

/// Whether a majority of the members was heard from within the suspicion time. Without it writes are refused as
/// `group_without_majority`.
bool hasMajority(const GroupState&, TimePoint now);

/// Whether a read without a provable position may run at the primary: a majority of the members reported within the
/// suspicion time a promised term that is not above the primary's term.
bool mayReadAtPrimary(const GroupState&, TimePoint now);

/// The last position that the member reported, or nothing if it is unknown or not heard from yet.
std::optional<LogPosition> positionOf(const GroupState&, const EndpointId&);

/// Whether a planned change keeps new writes in the queue.
bool writesPaused(const GroupState&);

/// When the next GroupTick is due, or nothing if only other events can change the state.
std::optional<TimePoint> nextWakeup(const GroupState&);

} // namespace cassiahollow

#include "cassiahollow/version/GroupTerm-inl.h"
