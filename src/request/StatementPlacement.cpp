#include "cassiahollow/request/StatementPlacement.h"

#include <algorithm>
#include <cmath>

namespace cassiahollow {

namespace {

    // Response time assumed for an endpoint without a response, or whose last response is too old to count.
    constexpr double defaultResponseSeconds = 0.02;
    // Connections of an endpoint that are left free for the requests of control members.
    constexpr std::size_t reservedConnections = 1;
    // After a loss of power, an endpoint counts the connections of before for seconds, beside those that the restarted
    // instances open.
    constexpr std::size_t connectionsPerInstance = 2;
    constexpr double minRetryAfterSeconds = 0.05;
    constexpr double maxRetryAfterSeconds = 2;
    // A change of primary takes about this long.
    constexpr double promotionSeconds = 0.5;

    double remainingWeight(Duration age)
    {
        return std::exp2(
            -std::max(0.0, std::chrono::duration<double>(age) / std::chrono::duration<double>(estimateHalfLife)));
    }

    // The expected response time, for an endpoint that is taken to respond in `fallback` without recent evidence.
    double expectedWith(const EndpointLoad& load, TimePoint now, const ClassId& name, double fallback)
    {
        if (!hasResponded(load))
            return fallback;
        const double weight = remainingWeight(now - load.lastRespondedAt_);
        const double unloaded = unloadedTime(load.capacity_, name);
        if (unloaded == 0 && !name.empty() && fallback < defaultResponseSeconds)
            return fallback;
        const double seconds = unloaded > 0 ? unloaded + load.capacity_.waitSeconds_ : load.responseSeconds_;
        return seconds * weight + fallback * (1 - weight);
    }

    // The response time assumed for a candidate without recent evidence for the class: that of the best of the others.
    // Otherwise the first endpoint that has run the class, for example the primary, would keep all its statements.
    double fallbackFor(const std::vector<PlacementCandidate>& candidates, const ClassId& name)
    {
        double seconds = defaultResponseSeconds;
        for (const auto& candidate : candidates) {
            if (const double known = unloadedTime(candidate.load_->capacity_, name); known > 0)
                seconds = std::min(seconds, known);
        }
        return seconds;
    }

} // namespace

void recordResponse(EndpointLoad& load, Duration response, TimePoint now, const ClassId& name)
{
    const double seconds = std::chrono::duration<double>(response).count();
    load.responseSeconds_ = expectedResponse(load, now) * (1 - responseSmoothing) + seconds * responseSmoothing;
    load.lastRespondedAt_ = now;
    load.failingSince_ = {};
    learnResponse(load.capacity_, name, response, now);
}

void recordBehind(EndpointLoad& load, Duration floorAge, TimePoint now)
{
    // The true lag is unknown but above floorAge. The margin keeps the next reads of the same age away from the
    // replica.
    load.lag_ = std::max(expectedLag(load, now), floorAge + floorAge / 4 + std::chrono::milliseconds(5));
    load.lagMeasuredAt_ = now;
}

void recordCaughtUp(EndpointLoad& load, Duration floorAge)
{
    load.lag_ = std::min(load.lag_, std::max(floorAge, Duration::zero()));
}

void recordShed(EndpointLoad& load, TimePoint now)
{
    load.avoidUntil_ = std::max(load.avoidUntil_, now + shedPause);
    learnShed(load.capacity_);
}

void recordFailure(EndpointLoad& load, TimePoint now)
{
    if (load.failingSince_ == TimePoint()) {
        load.failingSince_ = now;
        learnFailure(load.capacity_);
    }
    load.avoidUntil_ = std::max(load.avoidUntil_, now + failurePause);
}

void recordConnectionLimit(EndpointLoad& load, TimePoint now)
{
    load.connectionLimitUntil_ = now + connectionLimitPause;
}

void recordStrain(EndpointLoad& load, TimePoint now)
{
    load.lastStrainedAt_ = now;
}

bool isStrained(const EndpointLoad& load, TimePoint now)
{
    return load.lastStrainedAt_ != TimePoint() && now - load.lastStrainedAt_ < strainDuration;
}

bool isFailing(const EndpointLoad& load)
{
    return load.failingSince_ != TimePoint();
}

bool hasResponded(const EndpointLoad& load)
{
    return load.lastRespondedAt_ != TimePoint();
}

Duration expectedLag(const EndpointLoad& load, TimePoint now)
{
    const auto lag = std::chrono::duration<double>(load.lag_) * remainingWeight(now - load.lagMeasuredAt_);
    return std::chrono::duration_cast<Duration>(lag);
}

double expectedResponse(const EndpointLoad& load, TimePoint now, const ClassId& name)
{
    return expectedWith(load, now, name, defaultResponseSeconds);
}

std::size_t sendLimit(const EndpointLoad& load)
{
    return static_cast<std::size_t>(load.capacity_.limit_);
}

std::size_t sendCapacity(const EndpointLoad& load, std::size_t idleConnections)
{
    const auto limit = sendLimit(load);
    return limit > load.inFlight_ ? std::min(idleConnections, limit - load.inFlight_) : 0;
}

bool hasCaughtUpReplica(const std::vector<PlacementCandidate>& candidates, Duration floorAge, TimePoint now)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const PlacementCandidate& candidate) {
        return !candidate.isPrimary_ && !candidate.wasTried_ && expectedLag(*candidate.load_, now) <= floorAge;
    });
}

std::optional<std::size_t> placeRead(
    const std::vector<PlacementCandidate>& candidates, Duration floorAge, TimePoint now, const ClassId& name)
{
    const PlacementCandidate* best = nullptr;
    double bestSeconds = 0;
    const double fallback = fallbackFor(candidates, name);
    for (const auto& candidate : candidates) {
        const auto& load = *candidate.load_;
        const double share
            = static_cast<double>(load.inFlight_ + 1) / static_cast<double>(std::max<std::size_t>(candidate.slots_, 1));
        double seconds = expectedWith(load, now, name, fallback) * std::max(1.0, share);
        seconds += candidate.isPrimary_ ? primaryPenaltySeconds : 0;
        seconds += candidate.isLocal_ ? 0 : remotePenaltySeconds;
        seconds += candidate.needsConnection_ ? newConnectionSeconds : 0;
        // Each of these penalties exceeds any difference in time, and each the sum of the ones before it.
        const bool isBehind = !candidate.isPrimary_ && expectedLag(load, now) > floorAge;
        seconds += candidate.isPreferred_ || candidate.isPrimary_ ? 0 : 5;
        seconds += isBehind ? 10 : 0;
        seconds += now < load.avoidUntil_ ? 20 : 0;
        seconds += candidate.wasTried_ ? 40 : 0;
        if (!best || seconds < bestSeconds) {
            best = &candidate;
            bestSeconds = seconds;
        }
    }
    return best ? std::optional(best->index_) : std::nullopt;
}

Duration hedgeDelay(const EndpointLoad& load, const Route& route, TimePoint now)
{
    const double objective = std::chrono::duration<double>(route.objective_).count();
    const double seconds = std::max(objective * hedgeShare, expectedResponse(load, now) * hedgeResponses);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

WaitLimits waitLimits(const Route& route, TimePoint receivedAt, bool waitsForPrimary)
{
    const auto onTime = std::chrono::duration_cast<Duration>(route.objective_ * (1 - serviceShare));
    const auto withoutPrimary = std::chrono::duration_cast<Duration>(route.statementTimeout_ * promotionShare);
    return { receivedAt + (waitsForPrimary ? std::max(onTime, withoutPrimary) : onTime) };
}

double queueWeight(const Route& route)
{
    const double perSecond = 1 / std::max(0.01, std::chrono::duration<double>(route.objective_).count());
    return statementValue(route) * perSecond * perSecond;
}

double statementValue(const Route& route)
{
    return std::exp2(-std::clamp(route.priority_, 0, 6));
}

std::chrono::milliseconds retryAfter(std::size_t waiting, double responseSeconds, bool waitsForPrimary)
{
    const double seconds = static_cast<double>(waiting) * responseSeconds + (waitsForPrimary ? promotionSeconds : 0);
    const double bounded = std::clamp(seconds, minRetryAfterSeconds, maxRetryAfterSeconds);
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(bounded));
}

bool areConnectionsScarce(std::size_t limit, std::size_t instances)
{
    return limit > 0 && limit < connectionsPerInstance * instances + reservedConnections; // 0: no limit is set.
}

std::size_t preferredReplica(std::size_t rank, std::size_t replicas)
{
    return replicas == 0 ? 0 : rank % replicas;
}

std::size_t connectionShare(std::size_t limit, std::size_t instances, std::size_t rank)
{
    if (areConnectionsScarce(limit, instances))
        return scarceConnectionShare;
    const std::size_t usable = limit > reservedConnections ? limit - reservedConnections : 1;
    const std::size_t holders = std::max<std::size_t>(instances, 1);
    return std::max<std::size_t>(1, usable / holders + (rank < usable % holders ? 1 : 0));
}

} // namespace cassiahollow
