#pragma once

#include "cassiahollow/process/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cassiahollow {

/// The beginning or end of a holder role of this instance.
struct HolderRoleChange {
    EndpointId endpoint_;
    bool began_; ///< False if the role ended.
    TimePoint changedAt_;
};

/// Assigns each endpoint to one instance by rendezvous hashing: the eligible instance of the endpoint's data centre
/// with the highest hash of (instance, endpoint), or of all eligible instances if that data centre has none. Every
/// instance computes the same assignment from the same members. Changes are incremental: adding an instance costs one
/// hash per endpoint of its data centre, removing one costs a new choice for the endpoints that it held.
struct HolderMap {
    struct Entry {
        DataCentre dataCentre_;
        InstanceId holder_; ///< Empty if no instance is eligible.
        std::uint64_t weight_ { 0 }; ///< Rendezvous weight of the holder.
        TimePoint since_ {}; ///< When this instance learned that the holder is the holder.
    };

    InstanceId self_;
    /// Live, not draining instances with the hash of their id, by data centre.
    std::map<DataCentre, std::map<InstanceId, std::uint64_t>> eligible_;
    std::unordered_map<InstanceId, DataCentre> dataCentres_; ///< Where each eligible instance is.
    std::unordered_map<EndpointId, Entry> endpoints_;
    std::map<DataCentre, std::set<EndpointId>> byDataCentre_;
    std::set<EndpointId> held_; ///< The endpoints that this instance holds.
    std::vector<HolderRoleChange> changes_; ///< Not yet taken by takeRoleChanges.
};

/// Adds a live, not draining instance, or moves it to another data centre. Adding it again changes nothing.
void addEligible(HolderMap&, const InstanceId&, const DataCentre&, TimePoint now);
/// Removes an instance that died, is leaving or is draining. An unknown instance changes nothing.
void removeEligible(HolderMap&, const InstanceId&, TimePoint now);
/// Adds an announced endpoint, or moves it to another data centre.
void addEndpoint(HolderMap&, const EndpointId&, const DataCentre&, TimePoint now);
/// Removes an endpoint whose announcement expired.
void removeEndpoint(HolderMap&, const EndpointId&, TimePoint now);

/// Returns the holder of an endpoint, or nothing if the endpoint is unknown or no instance is eligible.
std::optional<InstanceId> holderOf(const HolderMap&, const EndpointId&);
/// Returns since when this instance has been the holder of an endpoint, or nothing if it is not. Connection limits
/// depend on it.
std::optional<TimePoint> holderSince(const HolderMap&, const EndpointId&);
/// Returns the distinct holders of the members of a group, in the order of their ids, which is their rank.
std::vector<InstanceId> watchersOf(const HolderMap&, const std::vector<EndpointId>& members);
/// Returns the position of an instance among the watchers, from 0, or nothing if it is not one of them.
std::optional<std::size_t> watcherRank(const HolderMap&, const std::vector<EndpointId>& members, const InstanceId&);
/// Returns the role changes of this instance since the last call, in order; a role that began and ended in between
/// appears twice.
std::vector<HolderRoleChange> takeRoleChanges(HolderMap&);

} // namespace cassiahollow
