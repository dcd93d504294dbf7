#pragma once

#include "cassiahollow/process/Types.h"

#include <deque>
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

/// The last acknowledged commit of a session.
struct OwnCommit {
    LogPosition position_;
    TimePoint acknowledgedAt_;
};

/// The floor of a read that must see its session's last commit: the later of the two positions. A commit of an earlier
/// term than the sample's is either below the sample or was rolled back.
ReadFloor sessionFloor(const PositionSample&, const OwnCommit&);

} // namespace cassiahollow
