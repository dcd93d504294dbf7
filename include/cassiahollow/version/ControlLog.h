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

/// A control member. Messages are addressed to the instance id; the identity belongs to its data folder. Votes and
/// acknowledgements count by identity, so an instance that lost its disk has neither until it is admitted again.
struct ControlMember {
    InstanceId instance_;
    std::string identity_;
    bool voter_ { false }; ///< A non-voting member is a learner.

    bool operator==(const ControlMember&) const = default;
};

/// The cluster membership, effective once its entry is appended. Consecutive configurations differ by one voter.
struct ControlConfiguration {
    /// Random, generated at bootstrap. Messages of another cluster are dropped, so that two clusters never mix logs.
    std::string cluster_;
    std::vector<ControlMember> members_;

    bool operator==(const ControlConfiguration&) const = default;
};

/// The maximum number of voting control members.
inline constexpr std::size_t maximumControlVoters = 7;

/// The no-op entry of a new leader: once it is committed, all earlier entries are committed.
struct EmptyEntry {
    bool operator==(const EmptyEntry&) const = default;
};

/// The leader's initial settings. Applied only while the settings are at revision 0; they become revision 1.
struct StartSettings {
    SettingsTree tree_;

    bool operator==(const StartSettings&) const = default;
};

struct ControlEntry {
    LogPosition position_;
    std::variant<EmptyEntry, StartSettings, ControlChange, ControlConfiguration> body_;

    bool operator==(const ControlEntry&) const = default;
};

/// The state after all entries up to and including `last_`, and the configuration at that position.
struct ControlSnapshot {
    LogPosition last_;
    ControlConfiguration configuration_;
    ControlState state_;

    bool operator==(const ControlSnapshot&) const = default;
};

/// The durable term and vote of a member. A member votes for at most one candidate per term.
struct ControlPromise {
    Term term_ { 0 };
    std::string vote_; ///< The identity voted for in the term, or empty.

    bool operator==(const ControlPromise&) const = default;
};

/// Data that must be durable before any later action of the same step is carried out. The parts apply in member
/// order.
struct PersistAction {
    std::shared_ptr<const ControlSnapshot> snapshot_;
    std::uint64_t keepFrom_ { 0 }; ///< With a snapshot: drops the entries below this index.
    std::optional<std::uint64_t> truncateFrom_; ///< Drops the entries from this index on.
    std::vector<ControlEntry> entries_;
    std::optional<ControlPromise> promise_;
};

/// The durable contents of a member's files.
struct ControlStored {
    ControlPromise promise_;
    std::shared_ptr<const ControlSnapshot> snapshot_; ///< Null before the first snapshot.
    /// Consecutive by index. The first index is at most one past the snapshot.
    std::deque<ControlEntry> entries_;
};

/// Applies an action to the in-memory copy of the files. Storage calls it during recovery, the log while running.
void applyPersist(ControlStored&, const PersistAction&);

/// Returns the position of the last entry, or of the snapshot when there is no entry.
LogPosition lastPosition(const ControlStored&);

/// Returns the latest configuration, or null before bootstrap. The pointer is valid until the contents change.
const ControlConfiguration* configurationOf(const ControlStored&);

/// What a member's files hold, for the record of its start.
struct ControlContents {
    Term term_ { 0 };
    LogPosition last_;
    std::uint64_t snapshotIndex_ { 0 }; ///< 0 before the first snapshot.
    std::uint64_t snapshotCatalog_ { 0 }; ///< Version of the snapshot's catalog, which was committed.
    /// Highest catalog version of the snapshot and of all entries, some of which may not have been committed.
    std::uint64_t lastCatalog_ { 0 };
    std::vector<ControlMember> members_; ///< Of the latest configuration; empty before bootstrap.

    bool operator==(const ControlContents&) const = default;
};

ControlContents contentsOf(const ControlStored&);

/// Messages between control members, and between other instances and control members.

/// Announces a member that has no configuration, is not part of it, or has no contact with a leader. Also the response.
struct ControlHello {
    bool founded_ { false }; ///< The sender has a configuration.
    bool responseRequested_ { false };
    /// The instances of the sender's configuration. Only a leader admits a member, so hellos have to reach all.
    std::vector<InstanceId> members_;
};
struct PreVoteRequest {
    LogPosition last_; ///< The message's term is the one in which the sender would campaign.
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
    std::uint64_t round_ { 0 }; ///< Echoed in the response; confirms reads.
    std::vector<ControlEntry> entries_;
};
struct SnapshotRequest {
    std::shared_ptr<const ControlSnapshot> snapshot_; ///< Never null.
    std::uint64_t round_ { 0 };
};
struct AppendResponse {
    bool matched_ { false };
    std::uint64_t index_ { 0 }; ///< If matched, the logs are equal up to this index. Otherwise, retry from it.
    std::uint64_t round_ { 0 };
};

/// An operator's request to add or remove a control member. An added member must run with an empty data folder.
struct ControlMemberChange {
    bool add_ { true };
    InstanceId instance_;
    /// The removed member stops by itself and may come back. Refused with NoControlMajority if the others would not
    /// bear the tolerated losses.
    bool isDeparture_ { false };
};
/// Reads the current settings, confirmed by a majority.
struct ControlRead { };

using ControlRequest = std::variant<ControlChange, ControlMemberChange, ControlRead>;

/// A request from another instance. The number is chosen by the sender and echoed in the response.
struct RequestMessage {
    std::uint64_t number_ { 0 };
    ControlRequest request_;
};
struct ResponseMessage {
    std::uint64_t number_ { 0 };
    ChangeOutcome outcome_;
    std::shared_ptr<const SettingsTree> settings_; ///< Set for a successful read, otherwise null.
};

struct ControlMessage {
    std::string cluster_; ///< Empty before bootstrap, and in messages from instances that are not members.
    InstanceId sender_;
    std::string senderIdentity_; ///< Empty for instances that are not control members.
    std::string recipientIdentity_; ///< If empty, the message is for any identity of the instance.
    Term term_ { 0 };
    std::variant<ControlHello, PreVoteRequest, PreVoteResponse, VoteRequest, VoteResponse, AppendRequest,
        SnapshotRequest, AppendResponse, RequestMessage, ResponseMessage>
        body_;
};

/// Events that step() handles.

/// Other instances to which hellos are sent as well, such as the seeds of reloaded settings. They do not take part in
/// the bootstrap, which needs the same list at all instances.
struct ControlSeeds {
    std::vector<InstanceId> instances_;
};

/// The timer event. Must be delivered at least once per heartbeat interval.
struct ControlTick { };
/// A request from the local process. The token is echoed in the response.
struct LocalRequest {
    std::uint64_t token_ { 0 };
    ControlRequest request_;
};

using ControlEvent = std::variant<ControlTick, ControlMessage, LocalRequest, ControlSeeds>;

/// Actions other than PersistAction.

struct SendAction {
    InstanceId recipient_;
    ControlMessage message_;
};
/// Reports a new revision of the settings.
struct ApplySettingsAction {
    std::shared_ptr<const SettingsTree> settings_;
};
/// Reports a new member list of a group.
struct ApplyGroupAction {
    GroupId group_;
    GroupMembers members_;
};
/// The response to a local request.
struct ResponseAction {
    std::uint64_t token_ { 0 };
    ChangeOutcome outcome_;
    std::shared_ptr<const SettingsTree> settings_;
};

/// Reports a newer catalog.
struct ApplyCatalogAction {
    std::shared_ptr<const CatalogDocument> catalog_;
};

/// Reports to the leader's process which members had a catalog change on their disks when it was committed. Precedes
/// the response. Only for changes that this leader acknowledges.
struct CatalogCommittedAction {
    std::uint64_t version_ { 0 };
    LogPosition position_;
    std::vector<ControlMember> synced_;
    std::vector<ControlMember> unsynced_; ///< The other members of the configuration.
};

using ControlAction = std::variant<PersistAction, SendAction, ApplySettingsAction, ApplyGroupAction, ApplyCatalogAction,
    CatalogCommittedAction, ResponseAction>;

/// Deliberate protocol violations. Tests set one to show that the fault matrix detects it; the daemon sets none.
struct ControlInjectedFaults {
    bool respondAtAppend_ { false };
    bool applyUncommitted_ { false };
    bool ignoreExpectedRevision_ { false };
    bool rejectPendingOnStepDown_ { false };
    bool discardKeys_ { false };
    bool readWithoutRound_ { false };
};

struct ControlLogOptions {
    /// An election starts when no leader message arrives for one to two of these; after a start, before any leader is
    /// known, one to two thirds. A leader without responses from a majority for this long steps down.
    Duration electionTimeout_ { std::chrono::milliseconds(400) };
    /// Three heartbeats fit into an election timeout, so that one lost message starts no election. With seven members,
    /// the leader sends about 9 KB/s of heartbeats.
    Duration heartbeatInterval_ { std::chrono::milliseconds(130) };
    /// A forwarded change without a response becomes Unknown after this time, a forwarded read NotRun.
    Duration requestTimeout_ { std::chrono::seconds(3) };
    Duration helloInterval_ { std::chrono::milliseconds(500) };
    /// The number of entries applied since the last snapshot after which the next one is written.
    std::uint64_t snapshotAfter_ { 1000 };
    /// Entries retained before a snapshot, so that a briefly disconnected member catches up without a snapshot.
    std::uint64_t keptEntries_ { 200 };
    /// The maximum number of changes and reads that wait for a majority.
    std::size_t maximumPending_ { 1000 };
    /// Whether this member may bootstrap the cluster. False on a member that restarts: its empty disk does not imply
    /// that the disks of the others are empty.
    bool mayFound_ { true };
    /// Whether a leader admits members that no operator added. For deployments whose control instances are replaced.
    bool admitsUnlisted_ { false };
    /// The number of voters that may be lost at once. With admitsUnlisted_, unreachable voters are removed as long as
    /// twice this number plus one remain.
    std::size_t toleratedLosses_ { 1 };
    /// With admitsUnlisted_: a voter that sent no response for this long is removed while enough others remain, and a
    /// learner in any case.
    /// Longer than a restart, so that a restarted member stays in the configuration.
    Duration removeUnreachableAfter_ { std::chrono::seconds(8) };
    /// As removeUnreachableAfter_, while the reachable voters would be no majority after toleratedLosses_ more, or
    /// while a learner waits because there are maximumControlVoters. Short enough that a replaced member is removed
    /// within the catch-up time of its successor.
    Duration restoreToleranceAfter_ { std::chrono::seconds(1) };
    ControlInjectedFaults injectedFaults_;
};

enum class ControlRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// The destination of a response: the local process when the instance is empty.
struct RequestOrigin {
    InstanceId instance_;
    std::uint64_t number_ { 0 };
};

/// The leader's replication progress for another member.
struct MemberProgress {
    std::uint64_t next_ { 1 }; ///< The index of the next entry to send.
    std::uint64_t match_ { 0 }; ///< The highest index up to which the logs are confirmed to be equal.
    std::uint64_t round_ { 0 }; ///< The highest round that the member acknowledged.
    TimePoint lastReceivedAt_; ///< Of its last response; before the first one, when the leader began to send to it.
    TimePoint snapshotSentAt_; ///< When the last snapshot was sent; the epoch if none is in transfer.
};

struct PendingRead {
    RequestOrigin origin_;
    std::uint64_t round_ { 0 }; ///< 0 until the leader has committed an entry of its term and started a round.
};

struct ForwardedRequest {
    ControlRequest request_; ///< Resent to a new leader; its key makes the resend idempotent.
    std::uint64_t token_ { 0 };
    TimePoint deadline_;
    bool isRead_ { false };
};

struct ReceivedHello {
    std::string identity_;
    std::string cluster_; ///< Empty before bootstrap.
    bool founded_ { false };
    TimePoint receivedAt_;
};

/// The state of one control member. Only step() modifies it; other code may read it.
struct ControlLogState {
    // Constant after startControlLog().
    InstanceId instance_;
    std::string identity_;
    std::vector<InstanceId> listed_; ///< control.members of the process settings, including this instance.
    SettingsTree start_; ///< The initial settings from the process settings.
    ControlLogOptions options_;

    // Matches the files once the PersistActions of the step are carried out.
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
    bool hadLeader_ { false }; ///< Whether any leader was known since the start.
    std::set<std::string> votes_;
    std::map<InstanceId, ReceivedHello> hellos_;
    std::set<InstanceId> contacts_; ///< Instances learned from hellos and seeds, which get hellos as well.

    // The replicated state machine, applied up to applied_.
    std::uint64_t commit_ { 0 };
    std::uint64_t applied_ { 0 };
    ControlState control_;

    // Used only by the leader.
    std::map<std::string, MemberProgress> progress_; ///< By identity; excludes this member.
    std::map<std::uint64_t, RequestOrigin> pending_; ///< Changes awaiting commit, by entry index.
    std::vector<PendingRead> reads_;
    std::uint64_t round_ { 0 };
    TimePoint lastBroadcastAt_;

    // Requests forwarded to the leader, by number.
    std::map<std::uint64_t, ForwardedRequest> forwarded_;
    std::uint64_t nextNumber_ { 0 };

    std::uint64_t dropped_ { 0 }; ///< Messages for another identity or cluster, or in conflict with a committed entry.
};

/// Returns the state of a member that starts with the given files. `seed` seeds election timeouts and request numbers;
/// it must differ between members and between starts. control_ holds the state of the snapshot, if there is one.
ControlLogState startControlLog(InstanceId, std::string identity, std::vector<InstanceId> listed, SettingsTree start,
    ControlStored, const ControlLogOptions&, std::uint64_t seed, TimePoint now);

/// Handles one event. The actions must be carried out in order; after a failed action the later ones must be skipped:
/// every PersistAction precedes all messages, state updates and responses that depend on it.
std::vector<ControlAction> step(ControlLogState&, const ControlEvent&, TimePoint now);

/// Returns whether the identity is a voter of the configuration.
bool isVoter(const ControlConfiguration&, const std::string& identity);

/// Returns the number of members with a vote.
std::size_t voterCount(const std::vector<ControlMember>&);

/// Returns the highest round of messages that a majority of the voters has acknowledged to this leader, or 0 if this
/// member does not lead. No other member was elected before that round was sent.
std::uint64_t confirmedRound(const ControlLogState&);

/// Returns whether this member leads and has applied every entry that earlier leaders committed.
bool hasAppliedEarlierTerms(const ControlLogState&);

} // namespace cassiahollow

#include "cassiahollow/version/ControlLog-inl.h"
