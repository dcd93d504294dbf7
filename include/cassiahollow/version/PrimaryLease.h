#pragma once

#include "cassiahollow/process/Types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cassiahollow {

/// Leases on primaries, for deployments whose authority executes orders without checking fences. There, a replaced
/// primary keeps accepting commits until it learns of its successor, so the permission to use it has to end by itself.
///
/// The control leader decides which endpoint of each group may be used as the primary (LeaseAuthority). Control members
/// pass its table on (LeaseRelay) to the instances that send statements (LeaseView). A view is valid for leaseDuration
/// from the time at which its holder requested it, less the ages that were added on the way. Before the leader orders a
/// promotion, it withdraws the group's lease and waits until every view that may still contain it was replaced or has
/// expired.
///
/// All times are taken from a clock that also advances while the machine is suspended, and only durations are sent.

/// How long a lease is valid. Covers a change of the control leader and the intervals at which leases are renewed.
inline constexpr Duration leaseDuration = std::chrono::milliseconds(1500);
/// The interval at which control members renew the leases that they pass on.
inline constexpr Duration leaseRenewalInterval = std::chrono::milliseconds(100);

/// Orders the tables of all control leaders.
struct LeaseVersion {
    Term term_ { 0 }; ///< The control term of the leader.
    std::uint64_t number_ { 0 }; ///< Increases with each change in the term.

    auto operator<=>(const LeaseVersion&) const = default; // NOLINT(modernize-use-nullptr)
};

/// The permission to use an endpoint as the primary of its group.
struct PrimaryLease {
    GroupId group_;
    EndpointId primary_;

    bool operator==(const PrimaryLease&) const = default;
};

/// All leases, ordered by group.
struct LeaseTable {
    LeaseVersion version_;
    std::vector<PrimaryLease> leases_;

    bool operator==(const LeaseTable&) const = default;
};

/// Returns the lease of a group, or null. Valid until the table changes.
const PrimaryLease* findLease(const LeaseTable&, const GroupId&);

/// The leases in a response from the leader to a relay, or from a relay to an instance.
struct LeaseGrant {
    LeaseVersion version_;
    /// The leader had this version and the support of a majority this long before the response, or later.
    Duration age_ { Duration::max() };
    std::optional<LeaseTable> table_; ///< Absent if the requester has this version.
};

/// The leases that an instance or a control member may use itself.
struct LeaseView {
    LeaseTable table_;
    TimePoint provenAt_; ///< The leader had this table at this time or later.
};

/// Merges a response to a request sent at `requestedAt`, or a push, which renews nothing but may withdraw leases.
/// Responses of an older version than the view's are ignored. Returns whether the table changed.
bool receiveLeases(LeaseView&, const LeaseGrant&, std::optional<TimePoint> requestedAt);

/// Returns the group's lease if it is valid at `now`, or null. Valid until the view changes.
const PrimaryLease* validLease(const LeaseView&, const GroupId&, TimePoint now);

/// Whether the endpoint may be used as the primary of the group at `now`.
bool isLeased(const LeaseView&, const GroupId&, const EndpointId&, TimePoint now);

/// The last state of a requester that is known to its source.
struct LeaseRequester {
    TimePoint answeredAt_; ///< When the last response was sent to it.
    LeaseVersion confirmed_; ///< It has replaced all tables older than this one.
};

/// The part of a control member that passes leases on.
struct LeaseRelay {
    /// Views that an earlier process of this member passed on are unknown and may be valid until leaseDuration later.
    TimePoint startedAt_;
    LeaseView view_;
    std::map<InstanceId, LeaseRequester> holders_;
};

/// Handles a request of an instance that confirms `confirmed`, and returns the response.
LeaseGrant relayLeases(LeaseRelay&, const InstanceId&, const LeaseVersion& confirmed, TimePoint now);

/// Returns the version up to which no instance can use an older table that this member has passed on.
LeaseVersion confirmedVersion(const LeaseRelay&, TimePoint now);

/// The part of the control leader that decides on leases.
struct LeaseAuthority {
    /// The first version without the lease, and when it was created.
    struct Withdrawal {
        LeaseVersion version_;
        TimePoint since_;
    };

    bool leads_ { false };
    TimePoint leadsSince_;
    LeaseTable table_;
    std::map<GroupId, Withdrawal> withdrawals_; ///< Groups that had a lease in this term and have none now.
    std::map<InstanceId, LeaseRequester> relays_;
};

/// Starts without leases when this member has become the leader of `term`, and has applied every committed entry of
/// earlier terms.
void beginLeases(LeaseAuthority&, Term, TimePoint now);
void endLeases(LeaseAuthority&);

/// Replaces the leases.
void setLeases(LeaseAuthority&, std::vector<PrimaryLease>, TimePoint now);

/// Handles a request of a relay, and returns the response. `provenAt` is the time at which the leader had the support
/// of a majority for the last time. Nothing if this member does not lead.
std::optional<LeaseGrant> grantLeases(LeaseAuthority&, const InstanceId&, const LeaseVersion& confirmed,
    const LeaseVersion& known, TimePoint provenAt, TimePoint now);

/// Whether no instance can use a primary of the group any more: the leases of earlier leaders have expired, the group
/// has none now, and every relay that may have passed one on has confirmed its end, or the lease has expired.
bool areLeasesEnded(const LeaseAuthority&, const GroupId&, TimePoint now);

/// Whether the leader may order promotions: no earlier leader can still do so, and no later one can do so yet.
bool mayOrderPromotions(const LeaseAuthority&, TimePoint provenAt, TimePoint now);

} // namespace cassiahollow
