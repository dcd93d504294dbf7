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

/// One report of a member, from its watch connection or in answer to a question.
struct PositionReport {
    EndpointId endpoint_;
    LogPosition position_; ///< The member's last log entry.
    Term promisedTerm_ { 0 };
    bool leaving_ { false };
    /// The local time at which the question was sent that this report answers. Absent for a report that the member
    /// sent unasked: such a report may have been delayed for any time, so it proves no age.
    std::optional<TimePoint> requestedAt_;
};

/// What an instance knows of one member of a group.
struct MemberView {
    EndpointId endpoint_;
    LogPosition position_;
    Term promisedTerm_ { 0 };
    bool leaving_ { false };
    std::optional<TimePoint> reportedAt_; ///< When the last report arrived; absent before the first one.
    std::optional<TimePoint> requestedAt_; ///< When the last question was sent that the member has answered.
    std::optional<Duration> lag_; ///< Learned replication lag; absent until it has been measured.
    std::size_t queueLength_ { 0 }; ///< Requests waiting for this endpoint, from its AdmissionQueue.
};

/// A position that the primary held at a local time.
struct PrimaryPosition {
    LogPosition position_;
    TimePoint heldAt_;
};

/// Limits of read routing, from the settings.
struct ReadSettings {
    Duration suspicionTime_ { std::chrono::milliseconds(400) }; ///< Older reports count as silence.
    Duration waitLimit_ { std::chrono::milliseconds(20) }; ///< The longest wait for a replica to catch up.
};

/// What an instance knows of a group. Fed by applyReport and setRoute; queue lengths are set by the owner.
struct GroupView {
    GroupId group_;
    Term term_ { 0 }; ///< The term of the newest known route.
    std::optional<EndpointId> primary_; ///< The primary of term_; absent before the first route.
    std::vector<MemberView> members_; ///< The whole member list, including members that have not reported.
    ReadSettings settings_;

    /// When each position of the primary was first seen, oldest first; the source of learned lags.
    std::deque<PrimaryPosition> primaryHistory_;
    /// Answers of the primary that prove an age, by the time of their question, oldest first.
    std::deque<PrimaryPosition> ageProofs_;
    /// The position and question time of the primary's last answer, until a majority has answered too.
    std::optional<PrimaryPosition> primaryResponse_;
};

/// What a read requires.
struct ReadRequirements {
    LogPosition position_; ///< From the session: requiredPosition().
    std::optional<Duration> maxAge_; ///< Stated age; absent if any age will do.
    TimePoint receivedAt_; ///< Start of the wait limit.
    TimePoint deadline_;
    bool primaryOnly_ { false }; ///< Set after an answer of a replica failed checkReadResponse.
    std::uint64_t spread_ { 0 }; ///< Any number that differs between requests; spreads reads over equal replicas.
};

/// Run the read at the endpoint now.
struct ReadAt {
    EndpointId endpoint_;
    bool primary_ { false };
    LogPosition required_; ///< To be given to checkReadResponse, and to the endpoint as the minimum position.
};

/// Hold the read for the endpoint, and choose again on its next report, on a new route or at the time, whichever comes
/// first.
struct ReadWait {
    EndpointId endpoint_;
    TimePoint until_;
};

/// Answer the caller "not run" with the reason.
struct ReadRefused {
    Reason reason_;
};

using ReadChoice = std::variant<ReadAt, ReadWait, ReadRefused>;

/// Chooses where a read runs. Replicas come first, the ones with the shortest queue before others. Refuses with
/// GroupUnknown, DeadlinePassed, GroupWithoutPrimary or GroupWithoutMajority. While a promotion can be expected, a read
/// that needs the primary waits.
ReadChoice chooseRead(const GroupView&, const ReadRequirements&, TimePoint now);

/// Checks the position in an answer against the required position of the choice. RetryReplicaBehind means that the
/// answer has to be dropped and the read chosen again with primaryOnly_ set.
std::optional<Reason> checkReadResponse(LogPosition required, LogPosition answered);

/// Whether a position proves that data read at it is not older than the age. Checked again on the answer of a read
/// with a stated age, because the read may have waited in a queue since it was routed.
bool provesAge(const GroupView&, LogPosition, Duration maxAge, TimePoint now);

/// Records a report that arrived now: positions, learned lag and age proofs. Reports of endpoints that are not
/// members are ignored.
void applyReport(GroupView&, const PositionReport&, TimePoint now);

/// Records a route. A route of a term at or below the known one is ignored.
void setRoute(GroupView&, const EndpointId& primary, Term);

/// Whether a majority of the members has reported, within the suspicion time, a promised term that is not above the
/// route's term. Reads and writes at the primary need this.
bool primaryHasMajority(const GroupView&, TimePoint now);

} // namespace cassiahollow
