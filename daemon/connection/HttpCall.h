#pragma once

#include "process/EventLoop.h"

#include <functional>
#include <libwebsockets.h>
#include <memory>
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
};

struct HttpCallResult {
    int status_ { 0 }; ///< 0: no response arrived in time.
};

/// Makes HTTP calls, each on a connection of its own: a new connection shows whether the other end works now.
class HttpCalls {
public:
    using Handler = std::function<void(const HttpCallResult&)>;

    explicit HttpCalls(EventLoop&);
    ~HttpCalls();
    HttpCalls(const HttpCalls&) = delete;
    HttpCalls& operator=(const HttpCalls&) = delete;

    /// The handler is called exactly once, on the loop's thread and never inside call(), after `timeout` at the latest;
    /// not after the end of this object.
    void call(HttpCallRequest, std::chrono::milliseconds timeout, Handler);

private:
    struct Call;

    static int callback(lws*, lws_callback_reasons, void* user, void* in, std::size_t length);

    EventLoop& loop_;
    EventLoop::ProtocolSlot& protocol_;
    const std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
    lws_vhost* vhost_ { nullptr };
};

} // namespace cassiahollow
