#pragma once

#include "cassiahollow/process/Types.h"
#include "cassiahollow/version/ControlState.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cassiahollow {

/// A control member. The instance id is where messages go; the identity is that of its data folder. Votes and
/// confirmations count by identity, so an instance whose disk came back empty has neither until it is admitted again.
struct ControlMember {
    InstanceId instance_;
    std::string identity_;
    bool voter_ { false }; ///< A member that does not vote is a learner.

    bool operator==(const ControlMember&) const = default;
};

/// The members, in force from the moment the entry is in the log. Consecutive configurations differ by one voter.
struct ControlConfiguration {
    /// Random, made at founding. Messages of another cluster are dropped, so that two foundings never mix their logs.
    std::string cluster_;
    std::vector<ControlMember> members_;

    bool operator==(const ControlConfiguration&) const = default;
};

/// At most this many control members vote.
inline constexpr std::size_t maximumControlVoters = 7;

/// Written by a new leader: its commit proves that all earlier entries are committed.
struct EmptyEntry {
    bool operator==(const EmptyEntry&) const = default;
};

/// The start values of the leader. Applied only while the settings have revision 0; they become revision 1.
struct StartSettings {
    SettingsTree tree_;

    bool operator==(const StartSettings&) const = default;
};

struct ControlEntry {
    LogPosition position_;
    std::variant<EmptyEntry, StartSettings, ControlChange, ControlConfiguration> body_;

    bool operator==(const ControlEntry&) const = default;
};

/// The state after all entries up to a position, and the configuration there.
struct ControlSnapshot {
    LogPosition last_;
    ControlConfiguration configuration_;
    ControlState state_;

    bool operator==(const ControlSnapshot&) const = default;
};

/// What a member has promised in its current term.
struct ControlPromise {
    Term term_ { 0 };
    std::string vote_; ///< The identity voted for in the term, or empty.

    bool operator==(const ControlPromise&) const = default;
};

/// What has to be on disk before any later action of the same step is carried out. The parts apply in the order of the
/// members.
struct PersistAction {
    std::shared_ptr<const ControlSnapshot> snapshot_;
    std::uint64_t keepFrom_ { 0 }; ///< With a snapshot: entries below this index are dropped.
    std::optional<std::uint64_t> truncateFrom_; ///< Drops the entries from this index on.
    std::vector<ControlEntry> entries_;
    std::optional<ControlPromise> promise_;
};

/// What a member's files hold.
struct ControlStored {
    ControlPromise promise_;
    std::shared_ptr<const ControlSnapshot> snapshot_; ///< Null before the first one.
    /// Consecutive. The first index is at most one past the snapshot.
    std::deque<ControlEntry> entries_;
};

/// Applies an action to a copy of the files' contents. Storage uses it at start, the log while running.
void applyPersist(ControlStored&, const PersistAction&);

/// The position of the last entry, or of the snapshot when there is no entry.
LogPosition lastPosition(const ControlStored&);

/// The configuration that the contents put in force, or null before founding. Valid until the contents change.
const ControlConfiguration* configurationOf(const ControlStored&);

/// The messages between control members, and between instances and control members.

/// Sent by a member that has no configuration, is not in it, or hears no leader; and sent back in answer.
struct ControlHello {
    bool founded_ { false }; ///< The sender has a configuration.
    bool responseRequested_ { false };
};
struct PreVoteRequest {
    LogPosition last_; ///< The message's term is the one that the sender would campaign in.
};
struct PreVoteResponse {
    bool granted_ { false };
};
struct VoteRequest {
    LogPosition last_;
};
struct VoteResponse {
    bool granted_ { false };
};
struct AppendRequest {
    LogPosition previous_;
    std::uint64_t commit_ { 0 };
    std::uint64_t round_ { 0 }; ///< Repeated in the answer; confirms reads.
    std::vector<ControlEntry> entries_;
};
struct SnapshotRequest {
    std::shared_ptr<const ControlSnapshot> snapshot_; ///< Never null.
    std::uint64_t round_ { 0 };
};
struct AppendResponse {
    bool matched_ { false };
    std::uint64_t index_ { 0 }; ///< Matched: the logs are equal up to here. Else: try again from here.
    std::uint64_t round_ { 0 };
};

/// An operator adds or removes a control member. An added member has to be running with an empty data folder.
struct ControlMemberChange {
    bool add_ { true };
    InstanceId instance_;
};
/// Reads the settings in force, confirmed by a majority.
struct ControlRead { };

using ControlRequest = std::variant<ControlChange, ControlMemberChange, ControlRead>;

/// A request of another instance. The number is chosen by the sender and repeated in the answer.
struct RequestMessage {
    std::uint64_t number_ { 0 };
    ControlRequest request_;
};
struct ResponseMessage {
    std::uint64_t number_ { 0 };
    ChangeOutcome outcome_;
    std::shared_ptr<const SettingsTree> settings_; ///< For a successful read, else null.
};

struct ControlMessage {
    std::string cluster_; ///< Empty before founding, and in messages from other instances.
    InstanceId sender_;
    std::string senderIdentity_; ///< Empty for instances that are not control members.
    std::string recipientIdentity_; ///< Empty: for whoever runs as the instance.
    Term term_ { 0 };
    std::variant<ControlHello, PreVoteRequest, PreVoteResponse, VoteRequest, VoteResponse, AppendRequest,
        SnapshotRequest, AppendResponse, RequestMessage, ResponseMessage>
        body_;
};

/// Events.

/// Time has passed. Needed at least every heartbeat interval.
struct ControlTick { };
/// A request from the own process. The token is repeated in the answer.
struct LocalRequest {
    std::uint64_t token_ { 0 };
    ControlRequest request_;
};

using ControlEvent = std::variant<ControlTick, ControlMessage, LocalRequest>;

/// Actions besides PersistAction.

struct SendAction {
    InstanceId recipient_;
    ControlMessage message_;
};
/// The settings have a new revision.
struct ApplySettingsAction {
    std::shared_ptr<const SettingsTree> settings_;
};
/// A group has a new member list.
struct ApplyGroupAction {
    GroupId group_;
    GroupMembers members_;
};
/// The answer to a local request.
struct ResponseAction {
    std::uint64_t token_ { 0 };
    ChangeOutcome outcome_;
    std::shared_ptr<const SettingsTree> settings_;
};

/// A newer catalog is in force.
struct ApplyCatalogAction {
    std::shared_ptr<const CatalogDocument> catalog_;
};

using ControlAction = std::variant<PersistAction, SendAction, ApplySettingsAction, ApplyGroupAction, ApplyCatalogAction,
    ResponseAction>;

/// Deviations from the rules of the log. Tests set one to show that the fault matrix detects it; the daemon sets none.
struct ControlInjectedFaults {
    bool respondAtAppend_ { false };
    bool applyUncommitted_ { false };
    bool ignoreExpectedRevision_ { false };
    bool rejectPendingOnStepDown_ { false };
    bool discardKeys_ { false };
    bool readWithoutRound_ { false };
};

struct ControlLogOptions {
    /// An election starts after a silence between this and twice this; after a start, before any leader is known,
    /// between a third of this and twice that. A leader that has not heard from a majority for this long steps down.
    Duration electionTimeout_ { std::chrono::milliseconds(400) };
    /// Three heartbeats fit into an election timeout, so that one lost message starts no election. With seven members,
    /// the leader sends about 9 KB/s of them.
    Duration heartbeatInterval_ { std::chrono::milliseconds(130) };
    /// A forwarded request without an answer is Unknown after this time.
    Duration requestTimeout_ { std::chrono::seconds(3) };
    Duration helloInterval_ { std::chrono::milliseconds(500) };
    /// The number of applied entries after which a snapshot is written.
    std::uint64_t snapshotAfter_ { 1000 };
    /// Entries kept behind a snapshot, so that a member that was away for a moment needs no snapshot.
    std::uint64_t keptEntries_ { 200 };
    /// Requests that may wait for their entries to be committed.
    std::size_t maximumPending_ { 1000 };
    /// Whether this member may found the cluster. False on a member that starts again: its empty disk proves nothing
    /// about those of the others.
    bool mayFound_ { true };
    /// Whether a leader admits members that no operator added. For deployments whose control machines come and go.
    bool admitsUnlisted_ { false };
    /// With admitsUnlisted_: a voter that was not heard for this long is removed while enough others remain. Longer
    /// than a restart, so that a member that was only restarted keeps its place.
    Duration removeUnreachableAfter_ { std::chrono::seconds(8) };
    /// With admitsUnlisted_: the number of voters that are kept although they are silent. Two of three are a majority.
    std::size_t minimumVoters_ { 3 };
    ControlInjectedFaults injectedFaults_;
};

enum class ControlRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Where the answer to a request goes: to the own process when the instance is empty.
struct RequestOrigin {
    InstanceId instance_;
    std::uint64_t number_ { 0 };
};

/// What a leader knows about another member.
struct MemberProgress {
    std::uint64_t next_ { 1 }; ///< The index of the next entry to send.
    std::uint64_t match_ { 0 }; ///< The logs are known to be equal up to here.
    std::uint64_t round_ { 0 }; ///< The highest round that the member answered.
    TimePoint lastReceivedAt_;
    TimePoint snapshotSentAt_; ///< When the last snapshot was sent; the epoch when none is under way.
};

struct PendingRead {
    RequestOrigin origin_;
    std::uint64_t round_ { 0 }; ///< 0: not yet started, because the leader has not committed an entry of its term.
};

struct ForwardedRequest {
    ControlRequest request_; ///< Sent again when another member leads; its key makes that safe.
    std::uint64_t token_ { 0 };
    TimePoint deadline_;
    bool isRead_ { false };
};

struct ReceivedHello {
    std::string identity_;
    std::string cluster_; ///< Empty before founding.
    bool founded_ { false };
    TimePoint receivedAt_;
};

/// The state of one control member. Only step() changes it; other code may read it.
struct ControlLogState {
    // Fixed at start.
    InstanceId instance_;
    std::string identity_;
    std::vector<InstanceId> listed_; ///< control.members of the process settings, with this instance.
    SettingsTree start_; ///< The start values of the process settings.
    ControlLogOptions options_;

    // Equal to the files once the step's PersistActions are carried out.
    ControlStored stored_;
    std::optional<ControlConfiguration> configuration_;
    std::uint64_t configurationIndex_ { 0 };

    std::mt19937_64 random_;
    ControlRole role_ { ControlRole::Follower };
    std::optional<ControlMember> leader_; ///< The leader of the current term, when known.
    TimePoint leaderReceivedAt_;
    bool hasLeaderContact_ { false };
    TimePoint electionDeadline_;
    TimePoint nextHelloAt_;
    bool hadLeader_ { false }; ///< A leader was known since the start.
    std::set<std::string> votes_;
    std::map<InstanceId, ReceivedHello> hellos_;

    // The replicated state, up to applied_.
    std::uint64_t commit_ { 0 };
    std::uint64_t applied_ { 0 };
    ControlState control_;

    // Only while leading.
    std::map<std::string, MemberProgress> progress_; ///< By identity; without this member.
    std::map<std::uint64_t, RequestOrigin> pending_; ///< By index of the entry.
    std::vector<PendingRead> reads_;
    std::uint64_t round_ { 0 };
    TimePoint lastBroadcastAt_;

    // Requests sent to the leader, by number.
    std::map<std::uint64_t, ForwardedRequest> forwarded_;
    std::uint64_t nextNumber_ { 0 };

    std::uint64_t dropped_ { 0 }; ///< Messages for another identity, of another cluster, or against a commit.
};

/// The state of a member that starts with the given files. `seed` feeds its election timeouts and request numbers; it
/// has to differ between members and between starts. control_ holds the state of the snapshot, if there is one.
ControlLogState startControlLog(InstanceId, std::string identity, std::vector<InstanceId> listed, SettingsTree start,
    ControlStored, const ControlLogOptions&, std::uint64_t seed, TimePoint now);

/// Handles one event. The actions have to be carried out in order, and when one fails, the later ones must not be:
/// every PersistAction comes before anything that is sent, applied or answered on the strength of it.
std::vector<ControlAction> step(ControlLogState&, const ControlEvent&, TimePoint now);

/// Whether the identity is a voter of the configuration.
bool isVoter(const ControlConfiguration&, const std::string& identity);

} // namespace cassiahollow

#include "cassiahollow/version/ControlLog-inl.h"
