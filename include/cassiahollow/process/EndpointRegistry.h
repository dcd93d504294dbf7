#pragma once

#include "cassiahollow/process/Types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassiahollow {

/// The last report of an endpoint about itself.
struct RegisteredEndpoint {
    EndpointId id_;
    GroupId group_;
    std::string address_; ///< ip:port
    DataCentre dataCentre_;
    std::uint64_t startedAtMs_ { 0 }; ///< Start of its process, Unix milliseconds by its own clock.
    std::uint64_t sequence_ { 0 }; ///< Increases with each report of one process.
    std::size_t slots_ { 1 };
    EndpointRole role_ { EndpointRole::Replica };
    bool leaving_ { false };
    bool removed_ { false }; ///< It has deregistered, or another endpoint has taken its address.
    bool displaced_ { false }; ///< Removed because another endpoint has taken its address.
    /// It has reported again after its first report, or after one that does not continue the earlier ones.
    bool confirmed_ { false };
    Duration warmUpLeft_ { 0 }; ///< Remaining warm-up time, during which it is slow, as of the report.
    TimePoint receivedAt_; ///< When the first instance received the report.
    TimePoint roleSince_; ///< When the role was first reported.
};

/// The endpoints that have reported. Replicas of the registry converge because records are ordered by process start
/// and sequence, independent of the order of arrival.
struct EndpointRegistry {
    std::map<EndpointId, RegisteredEndpoint> records_;
    std::uint64_t revision_ { 0 }; ///< Incremented by every change that affects routing.
};

/// Effect of a report on the registry.
enum class RegistryMerge : std::uint8_t {
    Stale, ///< Older than the stored record; ignored.
    Refreshed, ///< The record was replaced without an effect on routing.
    Changed, ///< Routing may be affected.
};

/// A record without a report for this long is removed. Well above the time for which endpoints keep reporting to a
/// failed member, and above the length of any expected partition.
inline constexpr Duration registryLifetime = std::chrono::seconds(60);

/// A report that is not confirmed by another one within this time, three intervals of the reports, gives way to older
/// ones that continue: it came from another writer.
inline constexpr Duration unconfirmedLifetime = std::chrono::seconds(4);
/// Reports whose sequence is further ahead than this do not continue the earlier ones.
inline constexpr std::uint64_t maximumSequenceGap = 1000;

/// Merges a report. It is stale if its process start or sequence is older, or if a newer endpoint has taken its
/// address, unless the newer report stayed alone for unconfirmedLifetime.
RegistryMerge mergeRecord(EndpointRegistry&, RegisteredEndpoint);

/// Marks an endpoint as removed. Reports of a later process with the same id are accepted again.
RegistryMerge removeRecord(EndpointRegistry&, const EndpointId&, TimePoint now);

/// Removes records without a report for registryLifetime.
void expireRecords(EndpointRegistry&, TimePoint now);

/// Returns the endpoint that last became primary of a group, or null. One that has reported only once, as the primary,
/// counts only if there is no other. Valid until the registry changes.
const RegisteredEndpoint* primaryOf(const EndpointRegistry&, const GroupId&);

/// Returns the endpoints of a group that are not removed. Valid until the registry changes.
std::vector<const RegisteredEndpoint*> endpointsOf(const EndpointRegistry&, const GroupId&);

} // namespace cassiahollow
