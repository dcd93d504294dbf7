#pragma once

#include "cassiahollow/process/Types.h"
#include "cassiahollow/request/EndpointCapacity.h"
#include "cassiahollow/version/RouteCatalog.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace cassiahollow {

/// Load and health of one endpoint, as measured by this instance from its own statements.
///
/// Covers three load patterns: one endpoint several times slower than the others, replicas far behind, and an endpoint
/// that sheds load. Statements move to the endpoints that respond. They return without further action, because the
/// estimates decay with age.
struct EndpointLoad {
    std::size_t inFlight_ { 0 };
    double responseSeconds_ { 0.02 }; ///< Smoothed response time, including the wait at the endpoint.
    TimePoint lastRespondedAt_; ///< Time of the last response; the epoch before the first one.
    TimePoint failingSince_; ///< First failure since the last response; the epoch if none.
    TimePoint avoidUntil_; ///< End of the pause after a shed statement or a failure.
    TimePoint connectionLimitUntil_; ///< End of the pause after a refusal for its connection limit.
    EndpointCapacity capacity_; ///< Its limit bounds the statements in flight from this instance.
    Duration lag_ { 0 }; ///< Replication lag at lagMeasuredAt_.
    TimePoint lagMeasuredAt_;
    /// Primaries only: time of the last rejected read that was sent here because all replicas were behind.
    TimePoint lastStrainedAt_;
};

/// Weight of a new response time: smooths over about eight responses.
inline constexpr double responseSmoothing = 0.125;
/// Without new responses, the estimates of response time and lag lose half of their weight in this time.
inline constexpr Duration estimateHalfLife = std::chrono::milliseconds(700);
/// Pause before the next statement to an endpoint that shed one: about the time that it needs to run one statement.
inline constexpr Duration shedPause = std::chrono::milliseconds(25);
/// Pause before the next statement to an endpoint after a lost connection, unless there is no other endpoint.
inline constexpr Duration failurePause = std::chrono::milliseconds(250);
/// Pause before the next connection to an endpoint that refused one because it had too many.
inline constexpr Duration connectionLimitPause = std::chrono::milliseconds(300);
/// A primary counts as strained for this long after each read that it rejected. The time spans a few intervals of the
/// feed, because one instance of many has few reads for one group.
inline constexpr Duration strainDuration = std::chrono::milliseconds(1000);
/// An exchange without a response for this long counts as a failure of the endpoint.
inline constexpr Duration responseTimeout = std::chrono::milliseconds(300);

/// Records a response and adapts the limit. `response` is the time from sending the statement. Statements of
/// one class take about the same time at an unloaded endpoint.
void recordResponse(EndpointLoad&, Duration response, TimePoint now, const ClassId& = {});
/// Records that the endpoint did not have a position that the primary had `floorAge` ago.
void recordBehind(EndpointLoad&, Duration floorAge, TimePoint now);
/// Records that the endpoint had a position that the primary had `floorAge` ago.
void recordCaughtUp(EndpointLoad&, Duration floorAge);
/// Records that the endpoint shed a statement: pauses it and halves the limit.
void recordShed(EndpointLoad&, TimePoint now);
/// Records a lost connection or a missing response.
void recordFailure(EndpointLoad&, TimePoint now);
/// Records that the endpoint refused a connection because of its connection limit.
void recordConnectionLimit(EndpointLoad&, TimePoint now);
/// Records that a primary rejected a read that was sent to it only because all replicas were behind.
void recordStrain(EndpointLoad&, TimePoint now);
/// Whether recordStrain() was called within strainDuration.
bool isStrained(const EndpointLoad&, TimePoint now);
/// Whether the endpoint has failed since its last response.
bool isFailing(const EndpointLoad&);
/// Whether this instance has had any response from the endpoint.
bool hasResponded(const EndpointLoad&);

/// The expected replication lag now.
Duration expectedLag(const EndpointLoad&, TimePoint now);
/// The expected response time in seconds, without the load of this instance's own statements. Of a class that the
/// endpoint has not run, or without a class, it is that of the statements which the endpoint ran lately.
double expectedResponse(const EndpointLoad&, TimePoint now, const ClassId& = {});

/// The number of statements in flight from this instance that the endpoint handles well.
std::size_t sendLimit(const EndpointLoad&);
/// How many more statements may be sent to an endpoint with this many idle connections. Covers the load pattern of many
/// instances that share the few slots of one endpoint: the queue at the endpoint is first come, first served, and sheds
/// load.
std::size_t sendCapacity(const EndpointLoad&, std::size_t idleConnections);

/// An endpoint that may run a read.
struct PlacementCandidate {
    std::size_t index_ { 0 }; ///< Identifies the candidate to the caller.
    const EndpointLoad* load_ { nullptr };
    std::size_t slots_ { 1 };
    bool isPrimary_ { false };
    bool isLocal_ { false }; ///< In the instance's data centre.
    bool wasTried_ { false }; ///< The endpoint has refused this statement.
    /// False for the replicas whose connections are left to other instances while connections are scarce.
    bool isPreferred_ { true };
    bool needsConnection_ { false }; ///< A connection would have to be opened for the read.
};

/// Added to the expected time of a read at the primary, because it delays writes, which can run nowhere else.
inline constexpr double primaryPenaltySeconds = 0.015;
/// Added to the expected time of a statement to another data centre.
inline constexpr double remotePenaltySeconds = 0.003;
/// Added to the expected time of a read that needs a new connection: 12 ms in which it occupies a slot of the endpoint,
/// and a round trip.
inline constexpr double newConnectionSeconds = 0.015;

/// Chooses the endpoint for a read with a floor of the given age: the one with the least expected time among those that
/// are expected to have caught up. A replica that is behind is chosen only when there is no other candidate. Returns
/// the candidate's index_, or nothing if there are no candidates.
std::optional<std::size_t> placeRead(
    const std::vector<PlacementCandidate>&, Duration floorAge, TimePoint now, const ClassId& = {});

/// Whether a replica that has not been tried is expected to have caught up. If none is, a read waits for the primary
/// without trying a replica, because a replica that is behind costs a round trip and a retry.
bool hasCaughtUpReplica(const std::vector<PlacementCandidate>&, Duration floorAge, TimePoint now);

/// How long a read waits for its response before it is also sent to another endpoint. Covers lost responses,
/// unreachable endpoints and connections that receive nothing. The delay is well above the usual response time, so that
/// few reads run twice, and within the route's objective where possible.
Duration hedgeDelay(const EndpointLoad&, const Route&, TimePoint now);

/// Lower bound of the hedge delay as a fraction of the route's objective.
inline constexpr double hedgeShare = 0.4;
/// Lower bound of the hedge delay as a multiple of the expected response time.
inline constexpr double hedgeResponses = 4;

/// How long a statement may wait at this instance for its start.
struct WaitLimits {
    TimePoint latestStart_; ///< A statement that has not started by then is refused as not run.
};

/// Fraction of the objective reserved for the time after the start: the wait for a slot at the endpoint, the execution
/// and the return of the response.
inline constexpr double serviceShare = 0.55;
/// Fraction of the statement timeout for which a statement waits for a change of primary.
inline constexpr double promotionShare = 0.4;

/// Normally a statement waits until a response within the objective can no longer be expected: a later start would take
/// a slot from a statement that is still on time. While the group has no primary that responds, statements wait for
/// the change of primary, or for the first connection of an instance that has just started. They then wait up to
/// promotionShare of their timeout, because a retry could not be served earlier.
WaitLimits waitLimits(const Route&, TimePoint receivedAt, bool waitsForPrimary);

/// The weight of a route's statements in the queues of an overloaded endpoint. Each priority level has half the weight
/// of the one above it. Within a level, a route with a short objective has short statements, so serving it first
/// completes more statements.
double queueWeight(const Route&);
/// The worth of one statement of a route that is answered within the objective. Each priority level has half the worth
/// of the one above it.
double statementValue(const Route&);

/// The delay after which a client should retry a refused statement: the time to run the statements that wait before it,
/// and, without a primary, the expected duration of the change of primary.
std::chrono::milliseconds retryAfter(std::size_t waiting, double responseSeconds, bool waitsForPrimary);

/// Whether an endpoint's connection limit is too low for every instance to hold a connection, also while the endpoint
/// still counts the connections that were lost when all machines restarted. In that case a few instances hold the
/// connections for all, or connections to primaries are opened on demand and closed soon, control members sample the
/// positions, and each instance prefers one replica of a group. A limit of 0 means that no limit is set.
bool areConnectionsScarce(std::size_t limit, std::size_t instances);

/// The index of the replica that an instance of this rank prefers while connections are scarce.
std::size_t preferredReplica(std::size_t rank, std::size_t replicas);

/// Connections that an instance may hold to one endpoint while connections are scarce. This is more than an equal
/// share, because most instances then hold none.
inline constexpr std::size_t scarceConnectionShare = 2;

/// How many connections an instance may hold to one endpoint: scarceConnectionShare while connections are scarce, else
/// an equal share, at least one. The instances of lowest rank share the remainder.
std::size_t connectionShare(std::size_t limit, std::size_t instances, std::size_t rank);

} // namespace cassiahollow
