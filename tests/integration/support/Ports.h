#pragma once

#include <cstdint>
#include <string>

namespace cassiahollow::testing {

/// A TCP port of 127.0.0.1 that was free a moment ago. It is never one that the kernel gives to outgoing connections,
/// and one process does not get the same port twice.
std::uint16_t freePort();

/// "127.0.0.1:port"
std::string loopbackAddress(std::uint16_t port);

} // namespace cassiahollow::testing
