#include "cassiahollow/process/Rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <xxhash.h>

namespace cassiahollow {

std::uint64_t rendezvousWeight(const InstanceId& instance, std::string_view key)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(instance.value_.data(), instance.value_.size()));
}

std::vector<InstanceId> rendezvousOrder(const std::vector<InstanceId>& instances, std::string_view key)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> weighted;
    weighted.reserve(instances.size());
    for (const auto& instance : instances)
        weighted.emplace_back(rendezvousWeight(instance, key), instance);
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<InstanceId> order;
    order.reserve(weighted.size());
    for (auto& [weight, instance] : weighted)
        order.push_back(std::move(instance));
    return order;
}

} // namespace cassiahollow
