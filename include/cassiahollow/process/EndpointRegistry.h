#pragma once

#include "cassiahollow/process/Types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassiahollow {

/// What an endpoint last said about itself.
struct RegisteredEndpoint {
    EndpointId id_;
    GroupId group_;
    std::string address_; ///< ip:port
    DataCentre dataCentre_;
    std::uint64_t startedAtMs_ { 0 }; ///< The start of its process, by its own clock in Unix milliseconds.
    std::uint64_t sequence_ { 0 }; ///< Grows with each report of one process.
    std::size_t slots_ { 1 };
    EndpointRole role_ { EndpointRole::Replica };
    bool leaving_ { false };
    bool removed_ { false }; ///< It has signed off, or another endpoint has taken its address.
    Duration warmUpLeft_ { 0 }; ///< How long it stays slow after its start, as of the report.
    TimePoint receivedAt_; ///< When the report reached the first instance.
    TimePoint roleSince_; ///< When the role was first reported.
};

/// The endpoints that have announced themselves. Replicas of it converge because records are ordered by their process
/// and sequence, whatever way they arrive.
struct EndpointRegistry {
    std::map<EndpointId, RegisteredEndpoint> records_;
    std::uint64_t revision_ { 0 }; ///< Grows with every change that matters to routing.
};

/// What a report did.
enum class RegistryMerge : std::uint8_t {
    Stale, ///< Older than what is known; ignored.
    Refreshed, ///< Only the time of the last report moved.
    Changed, ///< Routing may change.
};

/// A record that was not heard of for this long is dropped. Well above the time that endpoints keep reporting to a
/// member that has failed, and above any partition of the announced sizes.
inline constexpr Duration registryLifetime = std::chrono::seconds(60);

/// Merges a report. A report of an older process, or with an older sequence, is stale; so is one whose address a newer
/// endpoint has taken.
RegistryMerge mergeRecord(EndpointRegistry&, RegisteredEndpoint);

/// Marks an endpoint as gone. A later process with the same id is accepted again.
RegistryMerge removeRecord(EndpointRegistry&, const EndpointId&, TimePoint now);

/// Drops records that were not heard of for registryLifetime.
void expireRecords(EndpointRegistry&, TimePoint now);

/// The endpoint that last became the primary of a group, or null. Valid until the registry changes.
const RegisteredEndpoint* primaryOf(const EndpointRegistry&, const GroupId&);

/// The endpoints of a group that have not gone. Valid until the registry changes.
std::vector<const RegisteredEndpoint*> endpointsOf(const EndpointRegistry&, const GroupId&);

} // namespace cassiahollow
