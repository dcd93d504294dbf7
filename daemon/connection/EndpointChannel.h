#pragma once

#include "connection/ClientConnection.h"
#include "process/EventLoop.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <functional>
#include <string>

namespace cassiahollow {

/// What the owner of a channel is told; all are called on the loop's thread.
struct ChannelHandlers {
    std::function<void()> opened_;
    std::function<void(std::string)> message_;
    std::function<void()> closed_; ///< Called once, also when the connection could not be opened.
};

/// One WebSocket connection to an endpoint. The loop holds a reference until the connection is closed.
class EndpointChannel : public boost::intrusive_ref_counter<EndpointChannel, boost::thread_unsafe_counter> {
public:
    ~EndpointChannel();

    /// Sends a text message; it waits until the connection is open.
    void send(std::string);
    /// Closes the connection and calls no handler any more.
    void abandon();
    bool isOpen() const { return open_; }
    /// True if at least one byte of a message was handed to the connection.
    bool hasSent() const { return sent_; }

private:
    friend class ChannelFactory;

    static int callback(lws*, lws_callback_reasons, void* user, void* in, std::size_t length);
    int handle(lws_callback_reasons, const char* in, std::size_t length);
    int opened();
    void openedLate();
    void ended();

    ClientConnection connection_;
    ChannelHandlers handlers_;
    std::deque<std::string> outgoing_;
    std::string partialMessage_;
    bool open_ { false };
    bool sent_ { false };
    bool abandoned_ { false };
    bool ended_ { false };
};

using EndpointChannelPtr = boost::intrusive_ptr<EndpointChannel>;

/// Opens connections to endpoints. Destroy it before the loop.
class ChannelFactory {
public:
    explicit ChannelFactory(EventLoop&);
    ~ChannelFactory();

    /// Begins to open a connection to ip:port; no handler runs before it has returned. Never returns null; a failure
    /// is reported by the closed handler.
    EndpointChannelPtr open(const std::string& address, std::chrono::milliseconds timeout, ChannelHandlers);

private:
    EventLoop& loop_;
    lws_protocols protocols_[2] {};
    lws_vhost* vhost_ { nullptr };
};

} // namespace cassiahollow
