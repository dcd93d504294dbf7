#pragma once

#include "cassiahollow/process/Directory.h"
#include "cassiahollow/process/HolderMap.h"
#include "cassiahollow/process/Reasons.h"

#include <deque>
#include <random>

namespace cassiahollow {

/// Settings of the membership protocol of one process; they do not change while it runs.
struct MembershipSettings {
    InstanceId id_;
    std::string address_; ///< ip:port of this instance's peer listener.
    DataCentre dataCentre_;
    Incarnation incarnation_ { 0 }; ///< Higher at each start of the process.
    std::vector<std::string> seeds_; ///< Peer addresses to join through; the own address is skipped.
    std::uint64_t randomSeed_ { 0 };

    Duration probeInterval_ { std::chrono::seconds(1) };
    /// A probe that is not acknowledged within this time is repeated through other members. 300 ms is far above the
    /// round trip between regions and leaves 700 ms of the probe interval for the indirect probes.
    Duration ackTimeout_ { std::chrono::milliseconds(300) };
    Duration suspicionTime_ { std::chrono::seconds(3) };
    Duration repairInterval_ { std::chrono::seconds(5) };
    /// How often a seed or a dead instance is contacted, so that a partition heals without an operator.
    Duration contactInterval_ { std::chrono::seconds(5) };
    Duration announcementLifetime_ { std::chrono::seconds(10) };
    /// How long the records of dead and leaving instances and of expired endpoints are kept. It exceeds the longest
    /// expected partition (an hour), so that both sides still contact each other when the partition ends.
    Duration deadRetention_ { std::chrono::hours(24) };
    std::size_t indirectProbes_ { 3 };
    std::size_t maxRecordBytes_ { 1200 }; ///< Upper bound of the size of the records in one message, in bytes.
};

enum class MembershipMessageKind : std::uint8_t {
    Ping, ///< The receiver responds with an ack that has the same number.
    Ack,
    PingRequest, ///< Requests that the receiver pings the target on behalf of the sender.
    Update, ///< Records that have to reach all instances quickly; there is no response.
    Announcement, ///< The announcement of an endpoint, forwarded to its holder.
    Digest, ///< Starts a repair: the receiver responds with a Repair.
    Repair, ///< Records of buckets that differ. The last message of a batch has the digest if it requests records.
};

/// A settings revision and the 32-bit hashes of the ids of instances that apply it. After each change of settings all
/// instances report their revision; a hash takes 4 bytes for each of them, a full record would take 50.
struct AppliedRevision {
    std::uint64_t revision_ { 0 };
    std::vector<std::uint32_t> instances_;

    bool operator==(const AppliedRevision&) const = default;
};

/// One message between the memberships of two instances.
struct MembershipMessage {
    MembershipMessageKind kind_ { MembershipMessageKind::Ping };
    std::uint64_t number_ { 0 }; ///< Identifies the probe or repair; repeated in the response.
    InstanceRecord sender_; ///< The sender's own record.
    InstanceId target_; ///< PingRequest: the instance to ping. Ack: the instance that responded.
    std::string targetAddress_; ///< PingRequest: the address of the instance to ping.
    std::vector<Record> records_;
    std::vector<AppliedRevision> appliedRevisions_;
    std::vector<std::uint32_t> digest_; ///< Empty or digestBuckets values.
    bool incomplete_ { false }; ///< Repair: some records that differ did not fit.

    bool operator==(const MembershipMessage&) const = default;
};

/// The process starts: the membership contacts the seeds.
struct MembershipStarted { };
/// The time returned by nextWakeup is reached.
struct MembershipWakeup { };
/// A message of an authenticated peer arrived.
struct MembershipReceived {
    MembershipMessage message_;
};
/// An endpoint announced itself to this instance. `expired_` of the record is ignored.
struct EndpointAnnounced {
    EndpointRecord record_;
};
/// An operator drains an endpoint. Ignored if the directory has no record of the endpoint.
struct EndpointDrainRequested {
    EndpointId endpoint_;
};
/// A promotion run by this instance succeeded.
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
    /// On control members: send the revision to 3 random instances of each data centre at once.
    bool publish_ { false };
};
/// This instance starts or stops draining: a draining instance holds no endpoints.
struct InstanceDrainRequested {
    bool draining_ { true };
};
/// This instance leaves the membership because it shuts down.
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
/// A record in the directory changed in fields other than its version.
struct RecordChanged {
    RecordKey key_;
};
/// Request the settings tree from an instance, and pass in SettingsApplied once it is applied. The action is repeated
/// until a revision at or above this one is applied.
struct PullSettings {
    InstanceId from_;
    std::string address_;
    std::uint64_t revision_;
};
/// A message was dropped; the caller counts the reason.
struct MembershipMessageDropped {
    Reason reason_;
    InstanceId sender_;
};

using MembershipAction = std::variant<SendMembershipMessage, InstanceChanged, RecordChanged, PullSettings,
    HolderRoleChange, MembershipMessageDropped>;

/// The membership, directory and holder map of one instance. Only step modifies it.
struct MembershipState {
    /// Position in the transmission queue: fewest transmissions first, then the latest change.
    struct QueuePosition {
        std::uint32_t sent_ { 0 };
        std::uint64_t change_ { 0 }; ///< Taken from a decreasing counter, so that the latest change sorts first.

        // clang-tidy 14 takes the 0 in the rewritten comparison for a null pointer.
        auto operator<=>(const QueuePosition&) const = default; // NOLINT(modernize-use-nullptr)
    };
    /// The applied revision of an instance that waits to be sent.
    struct QueuedRevision {
        InstanceId instance_;
        std::uint64_t revision_ { 0 };
        std::uint32_t sent_ { 0 };
    };
    /// The ping in progress, direct or through other instances.
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
        std::string origin_; ///< Address of the instance that requested the ping.
        std::uint64_t originNumber_ { 0 };
        TimePoint until_ {};
    };
    /// The latest announcement that this instance received from an endpoint or another instance.
    struct ReceivedAnnouncement {
        EndpointRecord record_;
        TimePoint receivedAt_ {};
    };

    explicit MembershipState(MembershipSettings);

    MembershipSettings settings_;
    InstanceRecord self_;
    DirectoryState directory_; ///< Includes the record of this instance.
    HolderMap holders_;
    std::mt19937_64 random_;
    bool started_ { false };
    bool synced_ { false }; ///< A repair since the start ended without a difference to the peer.
    TimePoint lastStep_ {};
    TimePoint resumedAt_ {}; ///< When this process last resumed after it had been suspended.

    // Failure detection.
    std::vector<InstanceId> probeOrder_;
    std::size_t probeIndex_ { 0 };
    std::uint64_t nextNumber_ { 1 };
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    std::map<InstanceId, TimePoint> suspicions_; ///< When each suspected instance is declared dead.
    std::map<RecordKey, TimePoint> endedAt_; ///< When each instance died or left and each endpoint expired.

    // Dissemination.
    std::map<QueuePosition, RecordKey> queue_;
    std::map<RecordKey, QueuePosition> queuePositions_;
    std::uint64_t nextChange_ { ~std::uint64_t { 0 } };
    std::deque<QueuedRevision> queuedRevisions_;
    std::unordered_map<std::uint32_t, InstanceId> instancesByHash_;
    bool updateDue_ { false }; ///< An Update message is due.
    std::uint64_t repairCount_ { 0 };
    std::unordered_map<EndpointId, ReceivedAnnouncement> announcements_;
    /// Since when a data centre has had no instance that is eligible to hold its endpoints.
    std::map<DataCentre, TimePoint> emptySince_;
    std::uint64_t pulledRevision_ { 0 }; ///< The revision of the last PullSettings.

    // Timers.
    TimePoint probeAt_ {};
    TimePoint contactAt_ {};
    TimePoint repairAt_ {};
    TimePoint returnRepairAt_ {}; ///< Earliest time of the next repair with an instance that returned.
    TimePoint nextUpdateAt_ {};
    TimePoint pullAt_ {};
    TimePoint purgeAt_ {};
};

/// Handles one event and returns the actions to execute, in order. Does no I/O; all random numbers come from the state.
std::vector<MembershipAction> step(MembershipState&, const MembershipEvent&, TimePoint now);
/// Returns when the next MembershipWakeup is due: at most one probe interval after the last step.
TimePoint nextWakeup(const MembershipState&);

/// Returns the members of a group: the recorded list, or the announced endpoints while no list is recorded.
std::vector<EndpointId> groupMemberIds(const MembershipState&, const GroupId&);
/// Returns the watchers of a group, which are the holders of its members, in rank order.
std::vector<InstanceId> groupWatchers(const MembershipState&, const GroupId&);

} // namespace cassiahollow
