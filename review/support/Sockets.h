#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

/// Owns a file descriptor.
class Descriptor {
public:
    explicit Descriptor(int value = -1)
        : value_(value)
    {
    }
    ~Descriptor();
    Descriptor(Descriptor&& other) noexcept;
    Descriptor& operator=(Descriptor&& other) noexcept;
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;

    int get() const { return value_; }
    bool isOpen() const { return value_ >= 0; }

private:
    int value_;
};

/// A blocking TCP connection with a time limit for each read and write.
class Stream {
public:
    explicit Stream(Descriptor descriptor);

    /// Connects to ip:port within the limit that is set.
    bool connect(const std::string& address);
    bool send(const std::string& bytes);
    /// Returns the next line without its end, CR LF, or nothing when the connection has ended or the limit has passed.
    std::optional<std::string> readLine();
    /// Returns exactly this many bytes, or nothing.
    std::optional<std::string> readBytes(std::size_t count);
    /// Returns all bytes up to the end of the connection.
    std::string readAll();
    void setLimit(std::chrono::milliseconds limit);

private:
    bool fill();

    Descriptor descriptor_;
    std::string buffer_;
};

/// Connects to ip:port; nothing on failure.
std::optional<Stream> connectTo(const std::string& address, std::chrono::milliseconds limit);
/// Listens on ip:port.
Descriptor listenOn(const std::string& address);
/// Accepts one connection, or nothing within the limit.
std::optional<Stream> acceptFrom(const Descriptor& listener, std::chrono::milliseconds limit);
/// Returns a port that is free on 127.0.0.1 now.
int freePort();

/// The answer to an HTTP call; status 0 without an answer.
struct HttpAnswer {
    int status_ { 0 };
    std::string body_;
};
HttpAnswer callHttp(const std::string& address, const std::string& method, const std::string& path,
    const std::string& body, std::chrono::milliseconds limit);

/// A request that an HTTP server has received.
struct HttpRequest {
    std::string method_;
    std::string path_;
    std::map<std::string, std::string> headers_; ///< Names in lower case.
    std::string body_;
};
/// Reads one request, and answers it with the status that the handler returns.
void serveHttp(Stream& stream, const std::function<int(const HttpRequest&)>& handler);

} // namespace review
