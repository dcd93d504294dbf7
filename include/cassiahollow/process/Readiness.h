#pragma once

#include "cassiahollow/process/Types.h"

#include <chrono>
#include <cstddef>
#include <string_view>

namespace cassiahollow {

/// What an entry instance knows of its own ability to serve.
struct ReadinessInputs {
    bool hasCatalog_ { false };
    bool hasEndpoints_ { false };
    bool isStopping_ { false };
    Duration confirmedAge_ { Duration::max() }; ///< Since a control member that has a majority last answered.
    std::size_t groups_ { 0 };
    std::size_t unreachableGroups_ { 0 }; ///< Groups whose primary does not answer this instance.
};

enum class Readiness : std::uint8_t {
    Ready,
    Starting, ///< Nothing can be served yet.
    Isolated, ///< Cut off with its data centre; clients are served better elsewhere.
    Stopping,
};

/// How long control may be silent before an instance that also lost most primaries takes itself for isolated: two
/// questions, and half of an election. Longer would keep clients at an instance that can serve few of them.
inline constexpr Duration isolationTime = std::chrono::milliseconds(600);

/// Answers the load pattern "a data centre is cut off while its clients still come". An instance without control goes
/// on serving as long as it reaches most primaries: then control is down, and no other instance could do more. When
/// both are gone, the cut is around this instance, and the platform should send its clients to other data centres.
Readiness readinessOf(const ReadinessInputs&);

std::string_view readinessName(Readiness);

} // namespace cassiahollow
