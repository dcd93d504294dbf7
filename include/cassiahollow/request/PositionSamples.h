#pragma once

#include "cassiahollow/process/Types.h"

#include <deque>
#include <optional>

namespace cassiahollow {

/// A position of a group's primary, and the time before which every acknowledged commit is at or below it. The time is
/// taken before the question is sent, from a clock that also counts while the machine is suspended. Only an exchange
/// that proves the lead at that moment makes a sample.
struct PositionSample {
    TimePoint requestedAt_;
    LogPosition position_;
};

/// Samples of one group, oldest first, of one term.
struct PositionSamples {
    std::deque<PositionSample> samples_;
};

/// How long samples are kept: above the largest age that reads accept.
inline constexpr Duration sampleLifetime = std::chrono::seconds(4);
/// Samples that are closer together than this are joined, to bound their number.
inline constexpr Duration sampleSpacing = std::chrono::milliseconds(40);

/// Records a sample. One of an older term than the newest is ignored; one of a newer term replaces all others, because
/// positions of a term that has ended may never be reached again.
void addSample(PositionSamples&, PositionSample, TimePoint now);

/// The oldest sample that was asked for at `notBefore` or later: the floor of a read that may miss what was
/// acknowledged after it. The oldest one gives replicas the most time to catch up, which keeps reads off the primary
/// when they lag.
std::optional<PositionSample> floorSample(const PositionSamples&, TimePoint notBefore);

/// The newest sample, if any.
std::optional<PositionSample> newestSample(const PositionSamples&);

/// The position that an endpoint must have to serve a read.
struct ReadFloor {
    LogPosition position_;
    /// The primary was at the position by then. A replica that lags by more than the time since lacks it.
    TimePoint reachedAt_;
};

/// The last acknowledged commit of a session.
struct OwnCommit {
    LogPosition position_;
    TimePoint acknowledgedAt_;
};

/// The floor of a read that must see its session's own commit: the sample's position, raised to that commit. A commit
/// of a term before the sample's is either below the sample or was rolled back.
ReadFloor sessionFloor(const PositionSample&, const OwnCommit&);

} // namespace cassiahollow
