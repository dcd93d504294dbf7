#pragma once

#include <cstdint>
#include <cstdlib>

namespace cassiahollow::testing {

/// A number from an environment variable, or the fallback if it is not set.
inline std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace cassiahollow::testing
