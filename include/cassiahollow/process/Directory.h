#pragma once

#include "cassiahollow/process/Types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cassiahollow {

/// Lifecycle status of an instance. At the same (incarnation, sequence) a later value of the enumeration overrides an
/// earlier one.
enum class InstanceStatus : std::uint8_t {
    Alive,
    Suspect, ///< Did not acknowledge a probe; counts as live until the suspicion time has passed.
    Leaving, ///< Shuts down by its own decision; final for its incarnation.
    Dead,
};

/// The text of a status: "alive", "suspect", "leaving", "dead".
std::string_view instanceStatusName(InstanceStatus);

/// One instance. Versions are ordered by (incarnation, sequence, status).
struct InstanceRecord {
    InstanceId id_;
    std::string address_; ///< ip:port of the peer listener.
    DataCentre dataCentre_;
    Incarnation incarnation_ { 0 };
    /// Incremented by the instance itself when its record changes and when it refutes a suspicion.
    std::uint64_t sequence_ { 0 };
    InstanceStatus status_ { InstanceStatus::Alive };
    bool draining_ { false };
    /// The settings revision that the instance applies. Not part of the version: an instance never applies a revision
    /// below one that it has applied, so the highest value received is the latest.
    std::uint64_t appliedRevision_ { 0 };

    bool operator==(const InstanceRecord&) const = default;
};

/// The last announcement of an endpoint. Versions are ordered by (started, sequence, expired).
struct EndpointRecord {
    EndpointId id_;
    GroupId group_;
    std::string address_; ///< ip:port of the endpoint's listener.
    DataCentre dataCentre_;
    std::uint32_t slots_ { 0 };
    std::uint32_t connections_ { 0 };
    EndpointRole role_ { EndpointRole::Replica };
    Term promisedTerm_ { 0 };
    bool leaving_ { false };
    std::uint64_t started_ { 0 }; ///< Start time of the endpoint, ms since the Unix epoch by the endpoint's clock.
    std::uint64_t sequence_ { 0 }; ///< Number of the announcement, counted from that start.
    bool expired_ { false }; ///< No announcement arrived within the announcement lifetime.
    /// Instances in other data centres receive the announcements, because the data centre of the endpoint has no
    /// eligible holder.
    bool announcedOutside_ { false };

    bool operator==(const EndpointRecord&) const = default;
};

/// A request by an operator to drain an endpoint. It applies to one start of the endpoint, so that a restarted endpoint
/// receives work again. Versions are ordered by the start time. Stored only while the endpoint's record is.
struct DrainRecord {
    EndpointId endpoint_;
    std::uint64_t started_ { 0 };

    bool operator==(const DrainRecord&) const = default;
};

/// The primary of a group. Versions are ordered by the term; there is at most one primary in a term.
struct RouteRecord {
    GroupId group_;
    Term term_ { 0 };
    EndpointId primary_;

    bool operator==(const RouteRecord&) const = default;
};

/// The member list of a group from the control log. Versions are ordered by the epoch.
struct GroupMembersRecord {
    GroupId group_;
    std::uint64_t epoch_ { 0 };
    std::vector<EndpointId> members_;

    bool operator==(const GroupMembersRecord&) const = default;
};

using Record = std::variant<InstanceRecord, EndpointRecord, DrainRecord, RouteRecord, GroupMembersRecord>;

/// The kind of a record; its value equals the index in Record.
enum class RecordKind : std::uint8_t { Instance, Endpoint, Drain, Route, GroupMembers };

/// Identifies a record in the directory.
struct RecordKey {
    RecordKind kind_;
    std::string id_; ///< The instance, endpoint or group id.

    // clang-tidy 14 takes the 0 in the rewritten comparison for a null pointer.
    auto operator<=>(const RecordKey&) const = default; // NOLINT(modernize-use-nullptr)
};

RecordKey recordKey(const Record&);

/// Returns an upper bound of the encoded size of a record in a message, in bytes.
std::size_t recordSizeBound(const Record&);

/// Number of buckets of a digest. It is fixed, so that the size of a digest does not grow with the number of records.
/// With 256 buckets a digest takes 1 KB, and with 2,200 records a bucket holds about 9 of them, which fit in one
/// message.
constexpr std::size_t digestBuckets = 256;
using Digest = std::array<std::uint32_t, digestBuckets>;

/// All records that this instance stores.
struct DirectoryState {
    std::map<InstanceId, InstanceRecord> instances_;
    std::map<EndpointId, EndpointRecord> endpoints_;
    std::map<EndpointId, DrainRecord> drains_;
    std::map<GroupId, RouteRecord> routes_;
    std::map<GroupId, GroupMembersRecord> groupMembers_;
    std::uint64_t settingsRevision_ { 0 }; ///< The highest settings revision that any instance reported.
    /// Data centres that have had no eligible holder for longer than the announcement lifetime. Their endpoints count
    /// as expired unless instances in other data centres receive the announcements.
    std::set<DataCentre> unreachable_;

    // Derived from the records.
    std::map<GroupId, std::set<EndpointId>> byGroup_; ///< Endpoints that are not expired.
    Digest digest_ {}; ///< For each bucket the XOR of the hashes of its live records and their versions.
    std::array<std::set<RecordKey>, digestBuckets> buckets_; ///< All records, dead and expired ones included.
};

/// Result of merging a record into the directory.
enum class MergeResult : std::uint8_t {
    Newer, ///< The record was stored: the directory had none or an older version.
    Same, ///< The stored record has the same version.
    Older, ///< The stored record is newer and was kept.
    Ignored, ///< The record ends something, or drains an endpoint, that has no record here; it was not stored.
};

/// Stores a record if its version is above that of the stored one. A record never reverts to an older version.
MergeResult mergeRecord(DirectoryState&, const Record&);
/// Raises the applied settings revision of an instance. Returns false if the stored one was not lower.
bool mergeAppliedRevision(DirectoryState&, const InstanceId&, std::uint64_t revision);
/// Removes a dead or expired record after its retention time. The drain record of an endpoint is removed with it.
void purgeRecord(DirectoryState&, const RecordKey&);
/// Returns a copy of a record, or nullopt if it is not stored.
std::optional<Record> findRecord(const DirectoryState&, const RecordKey&);
/// Returns true if the endpoint has not expired, and its announcements reach an instance that this one can reach.
bool isAnnounced(const DirectoryState&, const EndpointRecord&);
/// Returns true if two announcements differ in more than their sequence, so that the new one has to be disseminated.
bool differsBeyondSequence(const EndpointRecord& known, const EndpointRecord& announced);
/// Returns the buckets in which two digests differ.
std::vector<std::size_t> differingBuckets(const Digest&, const Digest&);
/// Returns the records of a bucket, dead and expired ones included.
std::vector<Record> recordsOfBucket(const DirectoryState&, std::size_t bucket);

/// Returns the announced endpoints of a group in the order of their ids, leaving ones included.
std::vector<EndpointRecord> endpointsOfGroup(const DirectoryState&, const GroupId&);
/// Returns an announced endpoint, or nullopt.
std::optional<EndpointRecord> findEndpoint(const DirectoryState&, const EndpointId&);
/// Returns true if the endpoint receives no new work: it announces that it is leaving, or an operator drains it.
bool isLeaving(const DirectoryState&, const EndpointId&);
/// Returns the route of a group, or nullopt if no promotion is recorded.
std::optional<RouteRecord> routeOf(const DirectoryState&, const GroupId&);
/// Returns the recorded members of a group, or nullopt if the control log has recorded none.
std::optional<GroupMembersRecord> membersOf(const DirectoryState&, const GroupId&);
/// Returns the live (alive or suspect) instances of a data centre, or of all data centres if none is given.
std::vector<InstanceRecord> liveInstances(const DirectoryState&, const std::optional<DataCentre>& = std::nullopt);
/// Returns the live instances that apply a revision below the given one.
std::vector<InstanceRecord> laggingInstances(const DirectoryState&, std::uint64_t revision);

} // namespace cassiahollow
