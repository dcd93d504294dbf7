#pragma once

#include "cassiahollow/process/Types.h"
#include "cassiahollow/version/RouteCatalog.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace cassiahollow {

/// What an instance has learned of one endpoint from its own exchanges.
///
/// Answers the load patterns "one endpoint several times slower", "replicas far behind" and "an endpoint that sheds":
/// statements move to the endpoints that answer, and come back by themselves when what was learned grows old.
struct EndpointLoad {
    std::size_t inFlight_ { 0 };
    double responseSeconds_ { 0.02 }; ///< Smoothed time of an answer, with the wait at the endpoint.
    TimePoint lastRespondedAt_; ///< The last answer; the epoch before the first.
    TimePoint failingSince_; ///< The first failure after the last answer, or the epoch.
    TimePoint avoidUntil_; ///< It shed or failed just now.
    TimePoint connectionLimitUntil_; ///< It refused a connection because of its limit.
    double window_ { 2 }; ///< Statements that this instance keeps in flight at most.
    Duration lag_ { 0 }; ///< A replica was that far behind.
    TimePoint lagMeasuredAt_;
    TimePoint lastStrainedAt_; ///< A primary: the last read that was turned away here because all replicas were behind.
};

/// Smooths response times over about eight answers.
inline constexpr double responseSmoothing = 0.125;
/// What was learned of response time and lag loses half of its weight in this time without new answers.
inline constexpr Duration estimateHalfLife = std::chrono::milliseconds(700);
/// After a shed statement an endpoint gets no other for this long: about the time in which it works one off.
inline constexpr Duration shedPause = std::chrono::milliseconds(25);
/// After a lost connection an endpoint gets no new statement for this long, unless there is no other.
inline constexpr Duration failurePause = std::chrono::milliseconds(250);
/// After a refusal for too many connections no other is opened for this long.
inline constexpr Duration connectionLimitPause = std::chrono::milliseconds(300);
/// A primary is strained for this long after each read that it turned away: a few intervals of the feed, because one
/// instance of many has few reads for one group.
inline constexpr Duration strainDuration = std::chrono::milliseconds(1000);
/// An exchange without an answer for this long counts as a failure of the endpoint.
inline constexpr Duration responseTimeout = std::chrono::milliseconds(300);

void recordResponse(EndpointLoad&, Duration response, TimePoint now);
/// The endpoint lacked a position that a primary had `floorAge` ago.
void recordBehind(EndpointLoad&, Duration floorAge, TimePoint now);
/// The endpoint had a position that a primary had `floorAge` ago.
void recordCaughtUp(EndpointLoad&, Duration floorAge);
void recordShed(EndpointLoad&, TimePoint now);
void recordFailure(EndpointLoad&, TimePoint now);
void recordConnectionLimit(EndpointLoad&, TimePoint now);
/// A primary has turned away a read that came to it only because all replicas were behind.
void recordStrain(EndpointLoad&, TimePoint now);
/// It has done so lately.
bool isStrained(const EndpointLoad&, TimePoint now);
bool isFailing(const EndpointLoad&);
/// The endpoint has answered since this instance knows it.
bool hasResponded(const EndpointLoad&);

/// The expected lag now, and the expected time of an answer without this instance's own statements.
Duration expectedLag(const EndpointLoad&, TimePoint now);
double expectedResponse(const EndpointLoad&, TimePoint now);

/// The window grows while answers take less than this, and shrinks above it: a few statements wait at the endpoint, so
/// that its slots are used, and the others wait here, where the most urgent goes first.
inline constexpr double windowResponseSeconds = 0.09;
inline constexpr double smallestWindow = 1;
inline constexpr double largestWindow = 16;

/// How many more statements may be sent to an endpoint with this many idle connections. Answers the load pattern "many
/// instances meet at the few slots of one endpoint": a queue there serves whoever came first, and sheds.
std::size_t sendCapacity(const EndpointLoad&, std::size_t idleConnections);

/// An endpoint that could run a read.
struct PlacementCandidate {
    std::size_t index_ { 0 }; ///< For the caller.
    const EndpointLoad* load_ { nullptr };
    std::size_t slots_ { 1 };
    bool isPrimary_ { false };
    bool isLocal_ { false }; ///< In the instance's data centre.
    bool wasTried_ { false }; ///< It has refused this statement.
    bool isPreferred_ { true }; ///< While connections are scarce, those to other replicas are left to other instances.
};

/// What a read costs at the primary beyond its time: the time that writes, which can go nowhere else, wait for it.
inline constexpr double primaryPenaltySeconds = 0.015;
/// What a statement to another data centre costs beyond its time.
inline constexpr double remotePenaltySeconds = 0.003;

/// Chooses where a read with a floor of the given age runs: the endpoint with the least expected time among those that
/// are expected to have caught up; a replica that is behind only when there is no other. Empty: no candidates.
std::optional<std::size_t> placeRead(const std::vector<PlacementCandidate>&, Duration floorAge, TimePoint now);

/// Whether one of the candidates, other than the primary, is expected to have caught up. When none has, a read waits
/// for the primary at once: a replica that is behind costs a round trip and a retry.
bool hasCaughtUpReplica(const std::vector<PlacementCandidate>&, Duration floorAge, TimePoint now);

/// How long a read waits for its answer before it is also sent elsewhere. Answers the load patterns "answers of an
/// endpoint are lost", "an endpoint has gone dark" and "a connection has gone silent": well above the usual time, so
/// that few reads run twice, and within the objective where it can be.
Duration hedgeDelay(const EndpointLoad&, const Route&, TimePoint now);

/// The part of the objective after which an answer is waited for alone no longer, at the earliest.
inline constexpr double hedgeShare = 0.4;
/// Times the expected response, at the least.
inline constexpr double hedgeResponses = 4;

/// How long a statement may wait at this instance for its start.
struct WaitLimits {
    TimePoint latestStart_; ///< Refused as not run when it has not started by then.
};

/// The part of the objective that an answer may need after its start: the wait for a slot at the endpoint, the run, and
/// the way back.
inline constexpr double serviceShare = 0.55;
/// The part of the time limit for which a statement waits for a change of primary.
inline constexpr double promotionShare = 0.4;

/// A statement that can be served waits until an answer within the objective is no longer to be expected: a later start
/// takes a slot from one that is still on time. While the group has no primary that answers, statements wait for the
/// change of primary instead, or for the first connection of an instance that has just started, up to promotionShare of
/// their time limit, because a retry could not be served earlier.
WaitLimits waitLimits(const Route&, TimePoint arrived, bool waitsForPrimary);

/// The weight of a route's statements in the queues of an overloaded endpoint. Each level of priority counts half of
/// the one above it. Among equals, a route with a short objective has short statements: serving it first serves more.
double queueWeight(const Route&);

/// When a client whose statement was refused should come back: after the time in which the statements before it are
/// worked off, and not before the group has a primary again.
std::chrono::milliseconds retryAfter(std::size_t waiting, double responseSeconds, bool waitsForPrimary);

/// Whether the instances cannot all hold a connection to one endpoint. Answers the load pattern "more instances than
/// connections": then connections to primaries are opened when they are needed and closed soon, positions are sampled
/// by control members, and each instance prefers one replica of a group.
bool areConnectionsScarce(std::size_t limit, std::size_t instances);

/// The replica that an instance of this rank prefers while connections are scarce.
std::size_t preferredReplica(std::size_t rank, std::size_t replicas);

/// How many connections an instance may hold to one endpoint: an equal share, the remainder to the first in rank, and
/// one at least. While connections are scarce it may hold scarceConnectionShare, because most instances hold none.
inline constexpr std::size_t scarceConnectionShare = 2;
std::size_t connectionShare(std::size_t limit, std::size_t instances, std::size_t rank);

} // namespace cassiahollow
