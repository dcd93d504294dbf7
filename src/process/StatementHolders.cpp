#include "cassiahollow/process/StatementHolders.h"

#include "cassiahollow/process/Rendezvous.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    // Connections of an endpoint that are left free for control members.
    constexpr std::size_t reservedConnections = 4;
    // The part of the remaining connections that the holders of one assignment use.
    constexpr std::size_t assignmentDivisor = 2;

    std::size_t usableConnections(const HolderInputs& inputs)
    {
        const auto limit = inputs.connectionLimit_;
        const auto usable = limit > reservedConnections ? limit - reservedConnections : 1;
        return std::max<std::size_t>(1, usable / assignmentDivisor / std::max<std::size_t>(1, inputs.dataCentres_));
    }

} // namespace

StatementHolders assignHolders(const HolderInputs& inputs)
{
    StatementHolders holders;
    if (inputs.groups_.empty() || inputs.instances_.empty())
        return holders;
    const auto usable = usableConnections(inputs);
    const auto instancesPerGroup = std::max<std::size_t>(1, inputs.instances_.size() / inputs.groups_.size());
    holders.holdersPerGroup_ = std::clamp<std::size_t>(
        std::min(instancesPerGroup, usable / minimumHolderConnections), 1, maximumHoldersPerGroup);
    holders.connectionsPerHolder_ = std::max<std::size_t>(1, usable / holders.holdersPerGroup_);
    const auto roles = inputs.groups_.size() * holders.holdersPerGroup_;
    const auto capacity = (roles + inputs.instances_.size() - 1) / inputs.instances_.size();
    std::map<InstanceId, std::size_t> held;
    auto groups = inputs.groups_;
    std::sort(groups.begin(), groups.end());
    for (const auto& group : groups) {
        auto order = rendezvousOrder(inputs.instances_, group.value_);
        std::size_t chosen = 0;
        const auto choose = [&](std::size_t limit) {
            for (auto i = chosen; i < order.size() && chosen < holders.holdersPerGroup_; ++i) {
                if (held[order[i]] >= limit)
                    continue;
                ++held[order[i]];
                // The instances that are passed over keep their order behind the holders.
                std::rotate(order.begin() + static_cast<std::ptrdiff_t>(chosen),
                    order.begin() + static_cast<std::ptrdiff_t>(i), order.begin() + static_cast<std::ptrdiff_t>(i) + 1);
                ++chosen;
            }
        };
        choose(capacity);
        // The last groups may find only instances that hold them already or are full.
        choose(groups.size());
        holders.order_[group] = std::move(order);
    }
    return holders;
}

std::vector<InstanceId> holderOrder(const StatementHolders& holders, const GroupId& group, const InstanceId& self)
{
    const auto found = holders.order_.find(group);
    if (found == holders.order_.end())
        return {};
    auto order = found->second;
    const auto count = static_cast<std::ptrdiff_t>(std::min(holders.holdersPerGroup_, order.size()));
    if (count > 1) {
        const auto first
            = static_cast<std::ptrdiff_t>(rendezvousWeight(self, group.value_) % static_cast<std::uint64_t>(count));
        std::rotate(order.begin(), order.begin() + first, order.begin() + count);
    }
    return order;
}

std::vector<InstanceId> holderOrder(const StatementHolders& holders, const GroupId& group, const AccountId& account)
{
    const auto found = holders.order_.find(group);
    if (found == holders.order_.end())
        return {};
    auto order = found->second;
    const auto key = group.value_ + ' ' + account.value_;
    const auto count = static_cast<std::ptrdiff_t>(std::min(holders.holdersPerGroup_, order.size()));
    std::sort(order.begin(), order.begin() + count, [&](const InstanceId& a, const InstanceId& b) {
        return std::pair(rendezvousWeight(a, key), a) > std::pair(rendezvousWeight(b, key), b);
    });
    return order;
}

bool isHolder(const StatementHolders& holders, const GroupId& group, const InstanceId& instance)
{
    const auto found = holders.order_.find(group);
    if (found == holders.order_.end())
        return false;
    const auto end
        = found->second.begin() + static_cast<std::ptrdiff_t>(std::min(holders.holdersPerGroup_, found->second.size()));
    return std::find(found->second.begin(), end, instance) != end;
}

} // namespace cassiahollow
