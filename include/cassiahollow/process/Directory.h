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

/// What is known about the life of an instance. At the same (incarnation, sequence) a later value overrides an
/// earlier one.
enum class InstanceStatus : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer; counts as live until the suspicion time has passed.
    Leaving, ///< Shuts down on its own decision; final for its incarnation.
    Dead,
};

/// The text of a status: "alive", "suspect", "leaving", "dead".
std::string_view instanceStatusName(InstanceStatus);

/// One instance. Ordered by (incarnation, sequence, status).
struct InstanceRecord {
    InstanceId id_;
    std::string address_; ///< ip:port of the peer listener.
    DataCentre dataCentre_;
    Incarnation incarnation_ { 0 };
    /// Raised by the instance itself when its record changes and when it refutes a suspicion.
    std::uint64_t sequence_ { 0 };
    InstanceStatus status_ { InstanceStatus::Alive };
    bool draining_ { false };
    /// The settings revision that the instance applies. Not part of the order: an instance never applies a revision
    /// below one it has applied, so the highest value seen is the latest.
    std::uint64_t appliedRevision_ { 0 };

    bool operator==(const InstanceRecord&) const = default;
};

/// The last announcement of an endpoint. Ordered by (started, sequence, expired).
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
    std::uint64_t sequence_ { 0 }; ///< Number of the announcement since that start.
    bool expired_ { false }; ///< No announcement arrived for the announcement lifetime.
    /// Instances of other data centres get its announcements, because its own data centre has no instance that could
    /// hold it.
    bool announcedOutside_ { false };

    bool operator==(const EndpointRecord&) const = default;
};

/// An operator's order to drain an endpoint. It holds for the start of the endpoint that is named, so that a restarted
/// endpoint gets work again. Ordered by the start time; stored only with the endpoint's record.
struct DrainRecord {
    EndpointId endpoint_;
    std::uint64_t started_ { 0 };

    bool operator==(const DrainRecord&) const = default;
};

/// The primary of a group. Ordered by the term; there is at most one primary in a term.
struct RouteRecord {
    GroupId group_;
    Term term_ { 0 };
    EndpointId primary_;

    bool operator==(const RouteRecord&) const = default;
};

/// The member list of a group from the control log. Ordered by the epoch.
struct GroupMembersRecord {
    GroupId group_;
    std::uint64_t epoch_ { 0 };
    std::vector<EndpointId> members_;

    bool operator==(const GroupMembersRecord&) const = default;
};

using Record = std::variant<InstanceRecord, EndpointRecord, DrainRecord, RouteRecord, GroupMembersRecord>;

/// The kind of a record; equals its index in Record.
enum class RecordKind : std::uint8_t { Instance, Endpoint, Drain, Route, GroupMembers };

/// Names a record.
struct RecordKey {
    RecordKind kind_;
    std::string id_; ///< The instance, endpoint or group id.

    // clang-tidy 14 takes the 0 in the rewritten comparison for a null pointer.
    auto operator<=>(const RecordKey&) const = default; // NOLINT(modernize-use-nullptr)
};

RecordKey recordKey(const Record&);

/// An upper bound of the bytes that a record takes in a message.
std::size_t recordSizeBound(const Record&);

/// The digest has a fixed number of buckets, so its size does not grow with the number of records. With 256 buckets
/// the digest takes 1 KB, and at 2,200 records a bucket holds about 9 records, which fit one message.
constexpr std::size_t digestBuckets = 256;
using Digest = std::array<std::uint32_t, digestBuckets>;

/// All records that this instance knows.
struct DirectoryState {
    std::map<InstanceId, InstanceRecord> instances_;
    std::map<EndpointId, EndpointRecord> endpoints_;
    std::map<EndpointId, DrainRecord> drains_;
    std::map<GroupId, RouteRecord> routes_;
    std::map<GroupId, GroupMembersRecord> groupMembers_;
    std::uint64_t settingsRevision_ { 0 }; ///< The highest settings revision seen anywhere.
    /// Data centres without an instance that could hold endpoints, for longer than the announcement lifetime. Their
    /// endpoints count as expired unless instances elsewhere hear them.
    std::set<DataCentre> unreachable_;

    // Derived from the records.
    std::map<GroupId, std::set<EndpointId>> byGroup_; ///< Endpoints that are not expired.
    Digest digest_ {}; ///< Per bucket the exclusive or of the hashes of its live records and their versions.
    std::array<std::set<RecordKey>, digestBuckets> buckets_; ///< All records, dead and expired ones included.
};

/// What a merge did.
enum class MergeResult : std::uint8_t {
    Newer, ///< The record was unknown or older and has been replaced.
    Same, ///< The known record has the same version.
    Older, ///< The known record is newer and was kept.
    Ignored, ///< The record tells the end of something unknown here and was not stored.
};

/// Stores a record if its version is above that of the known one. A record never goes back to an older version.
MergeResult mergeRecord(DirectoryState&, const Record&);
/// Raises the applied settings revision of an instance. Returns true if it was raised.
bool mergeAppliedRevision(DirectoryState&, const InstanceId&, std::uint64_t revision);
/// Removes a record, dead or expired, whose retention has passed.
void purgeRecord(DirectoryState&, const RecordKey&);
/// Returns a copy of a record, or nothing.
std::optional<Record> findRecord(const DirectoryState&, const RecordKey&);
/// Returns true if the endpoint announces itself somewhere that this instance can know of.
bool isAnnounced(const DirectoryState&, const EndpointRecord&);
/// Returns true if two announcements differ in more than their sequence, so that the new one has to be spread.
bool differsBeyondSequence(const EndpointRecord& known, const EndpointRecord& announced);
/// Returns the buckets in which two digests differ.
std::vector<std::size_t> differingBuckets(const Digest&, const Digest&);
/// Returns the records of a bucket, dead and expired ones included.
std::vector<Record> recordsOfBucket(const DirectoryState&, std::size_t bucket);

/// Returns the endpoints of a group that announce themselves, leaving ones included, in the order of their ids.
std::vector<EndpointRecord> endpointsOfGroup(const DirectoryState&, const GroupId&);
/// Returns an endpoint that announces itself, or nothing.
std::optional<EndpointRecord> findEndpoint(const DirectoryState&, const EndpointId&);
/// Returns true if the endpoint gets no new work: it announces that it is leaving, or an operator drains it.
bool isLeaving(const DirectoryState&, const EndpointId&);
/// Returns the route of a group, or nothing if no promotion is known.
std::optional<RouteRecord> routeOf(const DirectoryState&, const GroupId&);
/// Returns the recorded members of a group, or nothing if the control log has recorded none.
std::optional<GroupMembersRecord> membersOf(const DirectoryState&, const GroupId&);
/// Returns the live (alive or suspect) instances of a data centre, or of all if none is named.
std::vector<InstanceRecord> liveInstances(const DirectoryState&, const std::optional<DataCentre>& = std::nullopt);
/// Returns the live instances that apply a revision below the given one.
std::vector<InstanceRecord> laggingInstances(const DirectoryState&, std::uint64_t revision);

} // namespace cassiahollow
