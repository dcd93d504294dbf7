#pragma once

#include "cassiahollow/process/Types.h"

#include <chrono>
#include <ctime>

namespace cassiahollow {

/// The time of decisions about ages. It goes on while the machine is suspended, which the steady clock does not. The
/// two are not comparable.
inline TimePoint suspendAwareNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace cassiahollow
