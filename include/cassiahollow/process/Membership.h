#pragma once

#include "cassiahollow/process/Directory.h"
#include "cassiahollow/process/HolderMap.h"
#include "cassiahollow/process/Reasons.h"

#include <deque>
#include <random>

namespace cassiahollow {

/// The fixed settings of the membership of one process.
struct MembershipSettings {
    InstanceId id_;
    std::string address_; ///< ip:port of this instance's peer listener.
    DataCentre dataCentre_;
    Incarnation incarnation_ { 0 }; ///< Higher at each start of the process.
    std::vector<std::string> seeds_; ///< Peer addresses to join through; the own address is skipped.
    std::uint64_t randomSeed_ { 0 };

    Duration probeInterval_ { std::chrono::seconds(1) };
    /// A probe without an answer for this long is repeated through other members. 300 ms is far above the round trip
    /// between regions and leaves 700 ms of the probe interval for the indirect probes.
    Duration ackTimeout_ { std::chrono::milliseconds(300) };
    Duration suspicionTime_ { std::chrono::seconds(3) };
    Duration repairInterval_ { std::chrono::seconds(5) };
    /// How often a seed or a dead instance is contacted, so that a partition heals without an operator.
    Duration contactInterval_ { std::chrono::seconds(5) };
    Duration announcementLifetime_ { std::chrono::seconds(10) };
    /// How long dead and leaving instances and expired endpoints are remembered. Longer than the longest expected
    /// partition (an hour), so that its end finds both sides still contacting each other.
    Duration deadRetention_ { std::chrono::hours(24) };
    std::size_t indirectProbes_ { 3 };
    std::size_t maxRecordBytes_ { 1200 }; ///< Limit of the records in one message.
};

enum class MembershipMessageKind : std::uint8_t {
    Ping, ///< Is answered by an ack with the same number.
    Ack,
    PingRequest, ///< Asks the receiver to ping the target for the sender.
    Update, ///< Records that should be known everywhere quickly; not answered.
    Announcement, ///< The announcement of an endpoint, forwarded to its holder.
    Digest, ///< Opens a repair: the receiver answers with a Repair.
    Repair, ///< Records of buckets that differ; the last one of a batch has the digest if records shall come back.
};

/// The instances that apply a settings revision, by the 32-bit hashes of their ids. After each change of settings all
/// instances tell their revision; with hashes this takes 4 bytes for each instead of a record of 50.
struct AppliedRevision {
    std::uint64_t revision_ { 0 };
    std::vector<std::uint32_t> instances_;

    bool operator==(const AppliedRevision&) const = default;
};

/// One message between the memberships of two instances.
struct MembershipMessage {
    MembershipMessageKind kind_ { MembershipMessageKind::Ping };
    std::uint64_t number_ { 0 }; ///< Of the probe or repair.
    InstanceRecord sender_; ///< The sender's own record.
    InstanceId target_; ///< PingRequest: the instance to ping. Ack: the instance that answered.
    std::string targetAddress_; ///< PingRequest: its address.
    std::vector<Record> records_;
    std::vector<AppliedRevision> appliedRevisions_;
    std::vector<std::uint32_t> digest_; ///< Empty or digestBuckets values.
    bool incomplete_ { false }; ///< Repair: records that differ had to be left out.

    bool operator==(const MembershipMessage&) const = default;
};

/// The process starts: contacts the seeds.
struct MembershipStarted { };
/// The time given by nextWakeup has come.
struct MembershipWakeup { };
/// A message of an authenticated peer arrived.
struct MembershipReceived {
    MembershipMessage message_;
};
/// An endpoint announced itself at this instance. `expired_` is ignored.
struct EndpointAnnounced {
    EndpointRecord record_;
};
/// An operator drains an endpoint, which must be known.
struct EndpointDrainRequested {
    EndpointId endpoint_;
};
/// A promotion at this instance succeeded.
struct RoutePublished {
    RouteRecord record_;
};
/// The control log recorded a member list.
struct GroupMembersPublished {
    GroupMembersRecord record_;
};
/// This instance applies a settings revision.
struct SettingsApplied {
    std::uint64_t revision_ { 0 };
    bool publish_ { false }; ///< On control members: tell 3 random instances of each data centre at once.
};
/// This instance starts or stops draining: a draining instance holds no endpoints.
struct InstanceDrainRequested {
    bool draining_ { true };
};
/// This instance leaves membership because it shuts down.
struct InstanceLeaveRequested { };

using MembershipEvent
    = std::variant<MembershipStarted, MembershipWakeup, MembershipReceived, EndpointAnnounced, EndpointDrainRequested,
        RoutePublished, GroupMembersPublished, SettingsApplied, InstanceDrainRequested, InstanceLeaveRequested>;

/// Send a message to a peer address.
struct SendMembershipMessage {
    std::string address_;
    MembershipMessage message_;
};
/// The status of another instance changed, or a new incarnation of it appeared.
struct InstanceChanged {
    InstanceId id_;
    InstanceStatus status_;
    Incarnation incarnation_;
};
/// A record in the directory changed in more than its version.
struct RecordChanged {
    RecordKey key_;
};
/// Ask an instance for the settings tree; answer with SettingsApplied. Repeated until a revision at or above this
/// one is applied.
struct PullSettings {
    InstanceId from_;
    std::string address_;
    std::uint64_t revision_;
};
/// A message was dropped; count it.
struct MembershipMessageDropped {
    Reason reason_;
    InstanceId sender_;
};

using MembershipAction = std::variant<SendMembershipMessage, InstanceChanged, RecordChanged, PullSettings,
    HolderRoleChange, MembershipMessageDropped>;

/// The membership, directory and holder map of one instance. Changed only by step.
struct MembershipState {
    /// A record that waits to be sent, fewest transmissions first, then the latest change.
    struct QueuePosition {
        std::uint32_t sent_ { 0 };
        std::uint64_t change_ { 0 }; ///< Counts down, so that the latest change comes first.

        // clang-tidy 14 takes the 0 in the rewritten comparison for a null pointer.
        auto operator<=>(const QueuePosition&) const = default; // NOLINT(modernize-use-nullptr)
    };
    struct QueuedRevision {
        InstanceId instance_;
        std::uint64_t revision_ { 0 };
        std::uint32_t sent_ { 0 };
    };
    struct Probe {
        InstanceId target_;
        std::uint64_t number_ { 0 };
        TimePoint indirectAt_ {};
        TimePoint failedAt_ {};
        bool indirect_ { false };
    };
    /// A ping on behalf of another instance.
    struct Relay {
        InstanceId target_;
        std::string origin_; ///< Address of the instance that asked.
        std::uint64_t originNumber_ { 0 };
        TimePoint until_ {};
    };
    struct ReceivedAnnouncement {
        EndpointRecord record_; ///< The latest announcement.
        TimePoint receivedAt_ {};
    };

    explicit MembershipState(MembershipSettings);

    MembershipSettings settings_;
    InstanceRecord self_;
    DirectoryState directory_; ///< Includes the own record.
    HolderMap holders_;
    std::mt19937_64 random_;
    bool started_ { false };
    bool synced_ { false }; ///< A repair with a peer has left no difference since the start.
    TimePoint lastStep_ {};
    TimePoint resumedAt_ {}; ///< When this process last continued after a freeze.

    // Failure detection.
    std::vector<InstanceId> probeOrder_;
    std::size_t probeIndex_ { 0 };
    std::uint64_t nextNumber_ { 1 };
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    std::map<InstanceId, TimePoint> suspicions_; ///< When each suspect is declared dead.
    std::map<RecordKey, TimePoint> endedAt_; ///< When each dead, leaving or expired record ended.

    // Dissemination.
    std::map<QueuePosition, RecordKey> queue_;
    std::map<RecordKey, QueuePosition> queuePositions_;
    std::uint64_t nextChange_ { ~std::uint64_t { 0 } };
    std::deque<QueuedRevision> queuedRevisions_;
    std::unordered_map<std::uint32_t, InstanceId> instancesByHash_;
    bool updateDue_ { false }; ///< An Update message is due.
    std::uint64_t repairCount_ { 0 };
    std::unordered_map<EndpointId, ReceivedAnnouncement> announcements_;
    /// Since when a data centre has had no instance that could hold its endpoints.
    std::map<DataCentre, TimePoint> emptySince_;
    std::uint64_t pulledRevision_ { 0 }; ///< The revision of the last PullSettings.

    // Timers.
    TimePoint probeAt_ {};
    TimePoint contactAt_ {};
    TimePoint repairAt_ {};
    TimePoint returnRepairAt_ {}; ///< Earliest next repair with an instance that returned.
    TimePoint nextUpdateAt_ {};
    TimePoint pullAt_ {};
    TimePoint purgeAt_ {};
};

/// Handles one event and returns what to do, in order. Does no I/O; all random numbers come from the state.
std::vector<MembershipAction> step(MembershipState&, const MembershipEvent&, TimePoint now);
/// Returns when MembershipWakeup is due next, at the latest one probe interval after the last step.
TimePoint nextWakeup(const MembershipState&);

/// Returns the members of a group: the recorded list, or the announced endpoints while none is recorded.
std::vector<EndpointId> groupMemberIds(const MembershipState&, const GroupId&);
/// Returns the watchers of a group in rank order.
std::vector<InstanceId> groupWatchers(const MembershipState&, const GroupId&);

} // namespace cassiahollow
