#pragma once

#include <chrono>
#include <thread>

namespace cassiahollow::testing {

/// Waits until a condition holds and returns whether it does. The limit only ends a test that has failed anyway; it is
/// generous because the machine may be busy.
template <typename Condition>
bool waitUntil(Condition&& condition, std::chrono::milliseconds limit = std::chrono::seconds(30))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return condition();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace cassiahollow::testing
