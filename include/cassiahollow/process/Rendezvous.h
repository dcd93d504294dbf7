#pragma once

#include "cassiahollow/process/Types.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cassiahollow {

/// The weight of an instance for a key. All instances compute the same one.
std::uint64_t rendezvousWeight(const InstanceId&, std::string_view key);

/// The instances by descending weight for a key. An instance that is added or removed leaves the order of the others
/// as it is.
std::vector<InstanceId> rendezvousOrder(const std::vector<InstanceId>&, std::string_view key);

} // namespace cassiahollow
