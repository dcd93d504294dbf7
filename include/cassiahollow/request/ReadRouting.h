#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace cassiahollow {

/// A position report of a member, pushed on its watch connection or sent in response to a request.
struct PositionReport {
    EndpointId endpoint_;
    LogPosition position_; ///< The member's last log entry.
    Term promisedTerm_ { 0 };
    bool leaving_ { false };
    /// Local time at which the request for this report was sent. Absent for a report without a request: it may have
    /// been delayed for any time, so it proves no age.
    std::optional<TimePoint> requestedAt_;
};

/// An instance's view of one member of a group.
struct MemberView {
    EndpointId endpoint_;
    LogPosition position_;
    Term promisedTerm_ { 0 };
    bool leaving_ { false };
    std::optional<TimePoint> reportedAt_; ///< Arrival of the last report; absent before the first one.
    std::optional<TimePoint> requestedAt_; ///< When the latest request was sent that has a response.
    std::optional<Duration> lag_; ///< Estimated replication lag; absent until measured.
    std::size_t queueLength_ { 0 }; ///< Requests waiting for this endpoint, from its AdmissionQueue.
};

/// A position that the primary held at a local time.
struct PrimaryPosition {
    LogPosition position_;
    TimePoint heldAt_;
};

/// Limits of read routing, from the settings.
struct ReadSettings {
    Duration suspicionTime_ { std::chrono::milliseconds(400) }; ///< Members with older reports count as unreachable.
    Duration waitLimit_ { std::chrono::milliseconds(20) }; ///< The longest wait for a replica to catch up.
};

/// An instance's view of a group. Updated by applyReport() and setRoute(); the owner sets the queue lengths.
struct GroupView {
    GroupId group_;
    Term term_ { 0 }; ///< The term of the newest known route.
    std::optional<EndpointId> primary_; ///< The primary of term_; absent before the first route.
    std::vector<MemberView> members_; ///< The whole member list, including members that have not reported.
    ReadSettings settings_;

    /// When each position of the primary was first reported, oldest first. Lags are estimated from it.
    std::deque<PrimaryPosition> primaryHistory_;
    /// Positions of the primary that prove an age, with the time of their request, oldest first.
    std::deque<PrimaryPosition> ageProofs_;
    /// Position and request time of the primary's latest response; an age proof once a majority has responded too.
    std::optional<PrimaryPosition> primaryResponse_;
};

/// Requirements of a read.
struct ReadRequirements {
    LogPosition position_; ///< From the session: requiredPosition().
    std::optional<Duration> maxAge_; ///< Requested maximum age of the data; absent for no limit.
    TimePoint receivedAt_; ///< Start of the wait limit.
    TimePoint deadline_;
    bool primaryOnly_ { false }; ///< Set after a response of a replica failed checkReadResponse().
    std::uint64_t spread_ { 0 }; ///< Varies between requests; spreads reads over equal replicas.
};

/// The read runs at the endpoint now.
struct ReadAt {
    EndpointId endpoint_;
    bool primary_ { false };
    LogPosition required_; ///< Minimum position, for the endpoint and for checkReadResponse().
};

/// The read waits for the endpoint. Choose again on its next report, on a new route or at until_, whichever comes
/// first.
struct ReadWait {
    EndpointId endpoint_;
    TimePoint until_;
};

/// The caller receives the outcome "not run" with the reason.
struct ReadRefused {
    Reason reason_;
};

using ReadChoice = std::variant<ReadAt, ReadWait, ReadRefused>;

/// Chooses where a read runs. Replicas are preferred to the primary, and among them the one with the shortest queue.
/// Refuses with GroupUnknown, DeadlinePassed, GroupWithoutPrimary or GroupWithoutMajority. A read that needs the
/// primary waits while a promotion is possible.
ReadChoice chooseRead(const GroupView&, const ReadRequirements&, TimePoint now);

/// Checks the position of a response against ReadAt::required_. On RetryReplicaBehind, discard the response and choose
/// again with primaryOnly_ set.
std::optional<Reason> checkReadResponse(LogPosition required, LogPosition actual);

/// Whether data read at the position is proved to be no older than maxAge. Has to be checked again for the response of
/// a read with a maximum age, because the read may have waited in a queue after it was routed.
bool provesAge(const GroupView&, LogPosition, Duration maxAge, TimePoint now);

/// Applies a report that arrived at `now`: updates positions, estimated lag and age proofs. Ignores reports of
/// endpoints that are not members.
void applyReport(GroupView&, const PositionReport&, TimePoint now);

/// Sets the route. Ignores a route of a term at or below that of the current one.
void setRoute(GroupView&, const EndpointId& primary, Term);

/// Whether a majority of the members has reported, within the suspicion time, a promised term that is not above the
/// route's term. Reads and writes at the primary need this.
bool primaryHasMajority(const GroupView&, TimePoint now);

} // namespace cassiahollow
