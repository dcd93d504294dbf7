#include "Sockets.h"

#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::size_t readChunkBytes = 16384;
    constexpr int listenBacklog = 256;

    sockaddr_in addressOf(const std::string& address)
    {
        const auto colon = address.rfind(':');
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
        return result;
    }

    bool waitFor(int descriptor, short events, std::chrono::milliseconds limit)
    {
        pollfd entry { descriptor, events, 0 };
        return poll(&entry, 1, static_cast<int>(limit.count())) > 0;
    }

} // namespace

Descriptor::~Descriptor()
{
    if (value_ >= 0)
        close(value_);
}

Descriptor::Descriptor(Descriptor&& other) noexcept
    : value_(std::exchange(other.value_, -1))
{
}

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept
{
    std::swap(value_, other.value_);
    return *this;
}

Stream::Stream(Descriptor descriptor)
    : descriptor_(std::move(descriptor))
{
    const int on = 1;
    setsockopt(descriptor_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void Stream::setLimit(std::chrono::milliseconds limit)
{
    const timeval time { limit.count() / 1000, (limit.count() % 1000) * 1000 };
    setsockopt(descriptor_.get(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    setsockopt(descriptor_.get(), SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

bool Stream::connect(const std::string& address)
{
    const auto target = addressOf(address);
    return ::connect(descriptor_.get(), reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0;
}

bool Stream::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(descriptor_.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Stream::fill()
{
    std::string chunk(readChunkBytes, '\0');
    const auto count = recv(descriptor_.get(), chunk.data(), chunk.size(), 0);
    if (count <= 0)
        return false;
    buffer_.append(chunk, 0, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Stream::readLine()
{
    auto end = buffer_.find(lineEnd);
    while (end == std::string::npos) {
        if (!fill())
            return std::nullopt;
        end = buffer_.find(lineEnd);
    }
    auto line = buffer_.substr(0, end);
    buffer_.erase(0, end + lineEnd.size());
    return line;
}

std::optional<std::string> Stream::readBytes(std::size_t count)
{
    while (buffer_.size() < count) {
        if (!fill())
            return std::nullopt;
    }
    auto bytes = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return bytes;
}

std::string Stream::readAll()
{
    while (fill()) { }
    return std::exchange(buffer_, {});
}

std::optional<Stream> connectTo(const std::string& address, std::chrono::milliseconds limit)
{
    Descriptor descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (!descriptor.isOpen())
        return std::nullopt;
    Stream stream(std::move(descriptor));
    stream.setLimit(limit);
    return stream.connect(address) ? std::optional(std::move(stream)) : std::nullopt;
}

Descriptor listenOn(const std::string& address)
{
    Descriptor listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto target = addressOf(address);
    if (bind(listener.get(), reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0
        || listen(listener.get(), listenBacklog) != 0)
        throw std::runtime_error("cannot listen on " + address);
    return listener;
}

std::optional<Stream> acceptFrom(const Descriptor& listener, std::chrono::milliseconds limit)
{
    if (!waitFor(listener.get(), POLLIN, limit))
        return std::nullopt;
    Descriptor accepted(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    return accepted.isOpen() ? std::optional<Stream>(std::move(accepted)) : std::nullopt;
}

int freePort()
{
    const auto listener = listenOn("127.0.0.1:0");
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(listener.get(), reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

HttpAnswer callHttp(const std::string& address, const std::string& method, const std::string& path,
    const std::string& body, std::chrono::milliseconds limit)
{
    auto stream = connectTo(address, limit);
    if (!stream)
        return {};
    const auto request = method + " " + path + " HTTP/1.1\r\nHost: " + address
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    if (!stream->send(request))
        return {};
    const auto status = stream->readLine();
    if (!status || status->size() < 12)
        return {};
    HttpAnswer answer { std::stoi(status->substr(9, 3)), {} };
    std::size_t length = 0;
    while (const auto line = stream->readLine()) {
        if (line->empty())
            break;
        std::string lower;
        for (const char c : *line)
            lower.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
        if (lower.starts_with("content-length:"))
            length = std::stoul(lower.substr(15));
    }
    const auto content = stream->readBytes(length);
    if (!content)
        return {};
    answer.body_ = *content;
    return answer;
}

void serveHttp(Stream& stream, const std::function<int(const HttpRequest&)>& handler)
{
    const auto first = stream.readLine();
    if (!first)
        return;
    HttpRequest request;
    const auto space = first->find(' ');
    request.method_ = first->substr(0, space);
    request.path_ = first->substr(space + 1, first->rfind(' ') - space - 1);
    while (const auto line = stream.readLine()) {
        if (line->empty())
            break;
        const auto colon = line->find(':');
        std::string name;
        for (const char c : line->substr(0, colon))
            name.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
        const auto start = line->find_first_not_of(' ', colon + 1);
        request.headers_[name] = start == std::string::npos ? std::string() : line->substr(start);
    }
    if (const auto length = request.headers_.find("content-length"); length != request.headers_.end()) {
        const auto content = stream.readBytes(std::stoul(length->second));
        if (!content)
            return;
        request.body_ = *content;
    }
    const int status = handler(request);
    stream.send("HTTP/1.1 " + std::to_string(status)
        + " X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
          "Connection: close\r\n\r\n{}");
}

} // namespace review
