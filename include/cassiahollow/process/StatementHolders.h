#pragma once

#include "cassiahollow/process/Types.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cassiahollow {

/// Which instances of a data centre hold the connections to a group's endpoints, for deployments with more instances
/// than an endpoint accepts connections. The other instances send their statements to the holders, which see the load
/// of the whole data centre in one queue.
///
/// Covers the load pattern of hundreds of instances in front of dozens of endpoints: with connections opened by every
/// instance on demand, most attempts are refused for the limit, and each takes slot time that statements need.

/// Connections that each holder of a group may have to one endpoint at least.
inline constexpr std::size_t minimumHolderConnections = 2;
/// Holders for one group in one data centre at most. More would know less of the load.
inline constexpr std::size_t maximumHoldersPerGroup = 3;

/// The instances and groups of one data centre.
struct HolderInputs {
    std::vector<GroupId> groups_;
    std::vector<InstanceId> instances_; ///< Instances of the data centre that take requests.
    std::size_t dataCentres_ { 1 }; ///< Data centres that have instances.
    std::size_t connectionLimit_ { 0 }; ///< Of one endpoint, for all data centres; 0 if there is none.
};

/// The holders of the groups in one data centre.
struct StatementHolders {
    /// The instances in the order in which they are asked: the first holdersPerGroup_ hold the group, the others stand
    /// in for them.
    std::map<GroupId, std::vector<InstanceId>> order_;
    std::size_t holdersPerGroup_ { 0 };
    /// Connections that one holder may have to one endpoint. Half of the limit, so that the holders of two assignments
    /// stay below it together while instances disagree on who takes requests.
    std::size_t connectionsPerHolder_ { 1 };
};

/// Assigns holders by rendezvous hashing. No instance holds more groups than an equal share, rounded up. Every instance
/// computes the same assignment from the same inputs, and few groups change their holder with one instance.
StatementHolders assignHolders(const HolderInputs&);

/// The order in which an instance tries the instances for a group. It begins with one of the holders, so that the
/// holders share the load.
std::vector<InstanceId> holderOrder(const StatementHolders&, const GroupId&, const InstanceId& self);

/// The order in which every instance of the data centre tries the instances for the statements of one account: all use
/// the same holder, which keeps the account's connections in one place.
std::vector<InstanceId> holderOrder(const StatementHolders&, const GroupId&, const AccountId&);

/// Whether the instance is one of the holders of the group.
bool isHolder(const StatementHolders&, const GroupId&, const InstanceId&);

} // namespace cassiahollow
