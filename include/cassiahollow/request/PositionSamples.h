#pragma once

#include "cassiahollow/process/Types.h"

#include <deque>
#include <map>
#include <optional>

namespace cassiahollow {

/// A position of a group's primary. Every commit acknowledged before requestedAt_ is at or below it. requestedAt_ is
/// taken before the request is sent, from a clock that also advances while the machine is suspended. Only an exchange
/// that proves that the endpoint was the primary at that moment yields a sample.
struct PositionSample {
    TimePoint requestedAt_;
    LogPosition position_;
};

/// Samples of one group and one term, oldest first.
struct PositionSamples {
    std::deque<PositionSample> samples_;
};

/// How long samples are kept. Exceeds the largest age that reads accept.
inline constexpr Duration sampleLifetime = std::chrono::seconds(4);
/// Samples closer together than this are merged, to bound their number.
inline constexpr Duration sampleSpacing = std::chrono::milliseconds(40);

/// Adds a sample. A sample of an older term is ignored. A sample of a newer term replaces all others, because positions
/// of an ended term may never be reached again.
void addSample(PositionSamples&, PositionSample, TimePoint now);

/// The oldest sample requested at `notBefore` or later, if any. It is the floor of a read that may miss commits
/// acknowledged after `notBefore`. The oldest one leaves replicas the most time to catch up, so that fewer reads go to
/// the primary when replicas lag.
std::optional<PositionSample> floorSample(const PositionSamples&, TimePoint notBefore);

/// The newest sample, if any.
std::optional<PositionSample> newestSample(const PositionSamples&);

/// The position that an endpoint must have to serve a read.
struct ReadFloor {
    LogPosition position_;
    /// The primary had reached the position by this time. A replica with a lag above the time since then lacks it.
    TimePoint reachedAt_;
};

/// An acknowledged commit of a session.
struct OwnCommit {
    LogPosition position_; ///< 0:0 if it is not known.
    TimePoint acknowledgedAt_;
};

/// The last acknowledged commits of a session, by group: a position has no meaning in the log of another group.
struct OwnCommits {
    std::map<GroupId, OwnCommit> latest_; ///< At most maximumOwnCommits.
    /// The last acknowledgement in the groups that were left out, whose positions are not known any more.
    TimePoint othersAcknowledgedAt_;
};

/// Limit on the groups whose last commit a session keeps, to bound its memory. A session commits in more than one only
/// when its route moves.
inline constexpr std::size_t maximumOwnCommits = 4;

/// Records a commit. Positions and times never decrease. A commit without a position counts for all groups that have no
/// commit with one.
void recordCommit(OwnCommits&, const GroupId&, OwnCommit);

/// Forgets the position of the last commit in a group, but not when it was acknowledged: the group may have another log
/// from now on, or still have this one.
void forgetPosition(OwnCommits&, const GroupId&);

/// The commit that the session's reads in the group must see. Without a position, only a sample that was requested
/// after the acknowledgement covers it.
OwnCommit lastCommit(const OwnCommits&, const GroupId&);

/// The earliest time of a sample that may be the floor of a read that must see the commit.
TimePoint earliestSample(TimePoint notBefore, const OwnCommit&);

/// The floor of a read that must see its session's last commit: the later of the two positions. A sample requested
/// after the acknowledgement covers the commit. A commit of an earlier term than the sample's is either below the
/// sample or was rolled back.
ReadFloor sessionFloor(const PositionSample&, const OwnCommit&);

} // namespace cassiahollow
