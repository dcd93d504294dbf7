#pragma once

#include "cassiahollow/process/Types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace cassiahollow {

/// Times of one class of statements at one endpoint.
struct ClassTimes {
    double responseSeconds_ { 0 }; ///< Smoothed response time.
    double unloadedSeconds_ { 0 }; ///< Lowest recent value of responseSeconds_.
    std::uint32_t samples_ { 0 };
};

/// How many statements in flight from this instance an endpoint handles well, learned from response times.
///
/// Covers these load patterns: endpoints of one group that differ in speed, an endpoint that slows down long before its
/// slots are full, routes whose statements differ by a factor of five, and a mix of them that changes. Times are
/// compared by class, so that long statements do not count as slow ones.
struct EndpointCapacity {
    double limit_ { 2 };
    /// This instance's equal share of the slots that the endpoint announces, rounded up. It is a hint that keeps the
    /// slots in use while an endpoint as a whole is slower than it was: from the response times alone, that cannot be
    /// told apart from a queue of other instances' statements.
    double slotShare_ { 1 };
    double waitSeconds_ { 0 }; ///< Smoothed time by which responses exceed the unloaded time of their class.
    double workSeconds_ { 0 }; ///< Smoothed unloaded time of the same statements.
    double busySlots_ { 0 }; ///< Slots that this instance's statements used lately, from their unloaded times.
    TimePoint learnedAt_; ///< Time of the last response; the epoch before the first one.
    double reportedLimit_ { 0 }; ///< The limit when it was last logged.
    TimePoint reportedAt_;
    std::map<ClassId, ClassTimes> classes_;
};

/// Smallest limit: with fewer statements in flight, an instance could not notice a recovery.
inline constexpr double smallestLimit = 1;
/// Largest limit: more than the slots of any endpoint, and small enough to shrink within a few responses.
inline constexpr double largestLimit = 16;
/// The limit of an endpoint without responses. Statements that take several times their unloaded time do not reduce a
/// limit below this, because a few of them also occur by chance; shed statements do.
inline constexpr double startLimit = 2;
/// The limit grows while responses take less than this multiple of their unloaded time.
inline constexpr double growBelow = 1.5;
/// The limit shrinks while responses take more than this multiple of their unloaded time: half of the time is a wait,
/// which is better spent at the instance, where the most valuable statement starts first.
inline constexpr double shrinkAbove = 2;
/// Largest number of classes whose times are kept for one endpoint.
inline constexpr std::size_t largestClassCount = 64;

/// Learns from a response.
void learnResponse(EndpointCapacity&, const ClassId&, Duration response, TimePoint now);
/// Learns that the endpoint shed a statement because its queue was full.
void learnShed(EndpointCapacity&);
/// Learns that the endpoint lost a connection or did not respond.
void learnFailure(EndpointCapacity&);

/// Response time relative to the unloaded time; 1 if nothing waits. Old estimates approach 1.
double slowdown(const EndpointCapacity&, TimePoint now);
/// The unloaded time of a class, or 0 if it is not known.
double unloadedTime(const EndpointCapacity&, const ClassId&);
/// The value of slotShare_ for an endpoint that announces this many slots to this many instances.
double slotShare(std::size_t slots, std::size_t sharers);
/// Time between two reports of a changed limit. An endpoint's limit grows from 2 to 16 within a second of its first
/// responses; a report of each step would use up the log's budget for other changes.
inline constexpr Duration limitReportInterval = std::chrono::seconds(5);
/// Whether the limit has changed by more than half since this function last returned true, at least
/// limitReportInterval ago.
bool takeLimitChange(EndpointCapacity&, TimePoint now);

} // namespace cassiahollow
