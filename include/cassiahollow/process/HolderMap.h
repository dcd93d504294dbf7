#pragma once

#include "cassiahollow/process/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cassiahollow {

/// This instance started or stopped being the holder of an endpoint.
struct HolderRoleChange {
    EndpointId endpoint_;
    bool began_; ///< False if it stopped.
    TimePoint changedAt_;
};

/// Assigns each endpoint to one instance by rendezvous hashing: the eligible instance of the endpoint's data centre
/// with the highest hash of (instance, endpoint), or of all eligible instances if that data centre has none. Every
/// instance computes the same assignment from the same members. Updates are incremental: adding an instance takes one
/// hash per endpoint of its data centre, removing one recomputes only the endpoints that it held.
struct HolderMap {
    struct Entry {
        DataCentre dataCentre_;
        InstanceId holder_; ///< Empty if no instance is eligible.
        std::uint64_t weight_ { 0 }; ///< Rendezvous weight of the holder.
        TimePoint since_ {}; ///< When this instance computed the current holder first.
    };

    InstanceId self_;
    /// Instances that are live and not draining, with the hash of their id, by data centre.
    std::map<DataCentre, std::map<InstanceId, std::uint64_t>> eligible_;
    std::unordered_map<InstanceId, DataCentre> dataCentres_; ///< Data centre of each eligible instance.
    std::unordered_map<EndpointId, Entry> endpoints_;
    std::map<DataCentre, std::set<EndpointId>> byDataCentre_;
    std::set<EndpointId> held_; ///< The endpoints that this instance holds.
    std::vector<HolderRoleChange> changes_; ///< Not yet returned by takeRoleChanges.
};

/// Adds an instance that is live and not draining, or moves it to another data centre. Idempotent.
void addEligible(HolderMap&, const InstanceId&, const DataCentre&, TimePoint now);
/// Removes an instance that died, is leaving or is draining. Does nothing if the instance is unknown.
void removeEligible(HolderMap&, const InstanceId&, TimePoint now);
/// Adds an announced endpoint, or moves it to another data centre.
void addEndpoint(HolderMap&, const EndpointId&, const DataCentre&, TimePoint now);
/// Removes an endpoint whose announcement expired.
void removeEndpoint(HolderMap&, const EndpointId&, TimePoint now);

/// Returns the holder of an endpoint, or nullopt if the endpoint is unknown or no instance is eligible.
std::optional<InstanceId> holderOf(const HolderMap&, const EndpointId&);
/// Returns since when this instance has held an endpoint, or nullopt if it does not hold it. Connection limits depend
/// on this time.
std::optional<TimePoint> holderSince(const HolderMap&, const EndpointId&);
/// Returns the distinct holders of the members of a group, in the order of their ids; the position is the rank.
std::vector<InstanceId> watchersOf(const HolderMap&, const std::vector<EndpointId>& members);
/// Returns the zero-based position of an instance among the watchers, or nullopt if it is not one of them.
std::optional<std::size_t> watcherRank(const HolderMap&, const std::vector<EndpointId>& members, const InstanceId&);
/// Returns and clears the role changes of this instance since the last call, in order. A role that began and ended in
/// between appears twice.
std::vector<HolderRoleChange> takeRoleChanges(HolderMap&);

} // namespace cassiahollow
