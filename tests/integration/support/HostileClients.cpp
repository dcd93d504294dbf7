#include "HostileClients.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace cassiahollow::testing {

namespace {

    using namespace std::chrono_literals;

    // Nothing moves for this long: the other end does not read, or is done with what it has got.
    constexpr auto stallTime = 1s;
    // A process that reads slowly on purpose is not waited for any longer; the load has arrived by then.
    constexpr auto longestSending = 15s;
    constexpr auto answerTime = 5000;
    // Small, so that unread answers stay at the other end.
    constexpr int receiveBufferBytes = 4096;

    int connectTo(const std::string& address)
    {
        const auto colon = address.rfind(':');
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (descriptor < 0 || ::connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0)
            throw std::system_error(errno, std::generic_category(), "connect to " + address);
        return descriptor;
    }

} // namespace

HostileClients::HostileClients(const std::string& address, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        sockets_.push_back(connectTo(address));
}

HostileClients::~HostileClients()
{
    for (const int socket : sockets_) {
        if (socket >= 0)
            ::close(socket);
    }
}

void HostileClients::send(std::string_view bytes, std::size_t pieceBytes)
{
    std::vector<std::size_t> sent(sockets_.size(), 0);
    const auto begin = std::chrono::steady_clock::now();
    for (auto moved = begin; std::chrono::steady_clock::now() - begin < longestSending;) {
        std::vector<pollfd> waiting;
        std::vector<std::size_t> owners;
        for (std::size_t i = 0; i < sockets_.size(); ++i) {
            if (sockets_[i] < 0 || sent[i] == bytes.size())
                continue;
            waiting.push_back({ sockets_[i], POLLOUT, 0 });
            owners.push_back(i);
        }
        if (waiting.empty() || std::chrono::steady_clock::now() - moved >= stallTime)
            return;
        ::poll(waiting.data(), waiting.size(), 100);
        for (std::size_t k = 0; k < waiting.size(); ++k) {
            if (waiting[k].revents == 0)
                continue;
            const auto i = owners[k];
            const auto piece = bytes.substr(sent[i], pieceBytes);
            const auto count = ::send(sockets_[i], piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0 && (errno == EAGAIN || errno == EINTR))
                continue;
            moved = std::chrono::steady_clock::now();
            if (count >= 0) {
                sent[i] += static_cast<std::size_t>(count);
            } else {
                ::close(sockets_[i]);
                sockets_[i] = -1;
            }
        }
    }
}

void HostileClients::readOnce()
{
    char buffer[4096];
    for (const int socket : sockets_) {
        pollfd waiting { socket, POLLIN, 0 };
        if (socket >= 0 && ::poll(&waiting, 1, answerTime) > 0) [[maybe_unused]]
            const auto count = ::recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
    }
}

ProcessUsage usageOf(pid_t process)
{
    const auto folder = std::filesystem::path("/proc") / std::to_string(process);
    ProcessUsage usage;
    std::ifstream status(folder / "status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            usage.peakBytes_ = std::stoul(line.substr(6)) * 1024;
    }
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(folder / "fd"))
        ++usage.files_;
    return usage;
}

} // namespace cassiahollow::testing
