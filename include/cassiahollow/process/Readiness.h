#pragma once

#include "cassiahollow/process/Types.h"

#include <chrono>
#include <cstddef>
#include <string_view>

namespace cassiahollow {

/// State of an entry instance from which its readiness is computed.
struct ReadinessInputs {
    bool hasCatalog_ { false };
    bool hasEndpoints_ { false };
    bool isStopping_ { false };
    Duration confirmedAge_ { Duration::max() }; ///< Since the last response of a control member that has a majority.
    std::size_t groups_ { 0 };
    std::size_t unreachableGroups_ { 0 }; ///< Groups whose primary does not respond to this instance.
};

/// Readiness of an entry instance to receive requests.
enum class Readiness : std::uint8_t {
    Ready,
    Starting, ///< No request can be served yet.
    Isolated, ///< Cut off together with its data centre; other data centres serve clients better.
    Stopping,
};

/// Time without a response of the control members after which an instance that also lost most primaries is isolated.
/// It covers two feed requests and half of an election. A longer time would keep clients at an instance that can serve
/// few of their requests.
inline constexpr Duration isolationTime = std::chrono::milliseconds(600);

/// Computes the readiness for the case that a data centre is cut off while its clients still connect. An instance that
/// reaches no control member keeps serving as long as it reaches most primaries: the control members are down then, and
/// no other instance could do more. If both are unreachable, this instance is cut off, and the platform should route
/// its clients to other data centres.
Readiness readinessOf(const ReadinessInputs&);

std::string_view readinessName(Readiness);

} // namespace cassiahollow
