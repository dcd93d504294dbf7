#pragma once

#include "process/EventLoop.h"

#include <functional>
#include <libwebsockets.h>
#include <string>
#include <utility>
#include <vector>

namespace cassiahollow {

struct HttpCallRequest {
    std::string method_ { "GET" };
    std::string address_; ///< ip:port
    std::string path_;
    std::vector<std::pair<std::string, std::string>> headers_; ///< Names in lower case with a colon.
    std::string body_;
    std::string wantedHeader_; ///< The response header to return, in lower case with a colon, or empty.
};

struct HttpCallResult {
    int status_ { 0 }; ///< 0: no response arrived in time.
    std::string wantedHeader_;
};

/// Makes HTTP calls, each on a connection of its own: a new connection shows whether the other end works now.
class HttpCalls {
public:
    using Handler = std::function<void(const HttpCallResult&)>;

    explicit HttpCalls(EventLoop&);
    HttpCalls(const HttpCalls&) = delete;
    HttpCalls& operator=(const HttpCalls&) = delete;

    /// The handler is called exactly once, on the loop's thread, after `timeout` at the latest.
    void call(HttpCallRequest, std::chrono::milliseconds timeout, Handler);

private:
    struct Call;

    static int callback(lws*, lws_callback_reasons, void* user, void* in, std::size_t length);

    EventLoop& loop_;
    lws_protocols protocols_[2] {};
    lws_vhost* vhost_ { nullptr };
};

} // namespace cassiahollow
