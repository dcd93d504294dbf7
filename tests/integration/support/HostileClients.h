#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace cassiahollow::testing {

/// Many connections to one address whose clients keep to no limit. They read no answer unless told to, and stay open
/// until the object is destroyed or the other end closes them.
class HostileClients {
public:
    /// Throws std::system_error if the address cannot be connected to.
    HostileClients(const std::string& address, std::size_t count);
    HostileClients(const HostileClients&) = delete;
    HostileClients& operator=(const HostileClients&) = delete;
    ~HostileClients();

    /// Sends the same bytes on each connection, in pieces of at most `pieceBytes`, until each has sent them all, was
    /// closed, or can send no more because the other end does not read.
    void send(std::string_view bytes, std::size_t pieceBytes = 64 * 1024);
    /// Reads one part of an answer on each connection.
    void readOnce();

private:
    std::vector<int> sockets_; ///< -1 once the other end has closed it.
};

/// What a process has used, from the system's own figures.
struct ProcessUsage {
    std::size_t peakBytes_ { 0 }; ///< VmHWM
    std::size_t files_ { 0 };
};
ProcessUsage usageOf(pid_t);

} // namespace cassiahollow::testing
