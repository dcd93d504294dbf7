#pragma once

#include "cassiahollow/process/Reasons.h"
#include "connection/ClientMemory.h"
#include "process/EventLoop.h"

#include <boost/leaf.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiahollow {

struct HttpRequest {
    std::string method_; ///< "GET", "POST", "PUT" or "DELETE".
    std::string path_; ///< Without the query.
    std::string query_;
    std::string authorization_; ///< The Authorization header, empty if there is none.
    std::string session_; ///< The Cassiahollow-Session header, empty if there is none.
    std::string body_;
};

struct HttpReply {
    int status_ { 200 };
    std::string body_;
    std::string contentType_ { "application/json" };
    std::vector<std::pair<std::string, std::string>> headers_ {}; ///< Names in lower case with a colon.
};

class HttpListener;

/// One connection of a caller, operator or endpoint. Alive as long as somebody holds a pointer; after the socket is
/// closed, replies go nowhere.
class HttpConnection : public boost::intrusive_ref_counter<HttpConnection, boost::thread_unsafe_counter> {
public:
    /// Answers the HTTP request that is open on this connection.
    void reply(HttpReply);
    /// Sends a WebSocket text message. Closes the connection when too many bytes are queued.
    void sendText(std::string);
    /// Ends a WebSocket connection after the queued messages are sent.
    void closeWhenSent();

    bool isOpen() const { return wsi_ != nullptr; }
    bool isWebSocket() const { return webSocket_; }

private:
    friend class HttpListener;

    void count();

    lws* wsi_ { nullptr };
    bool webSocket_ { false };
    bool closing_ { false };
    bool requestOpen_ { false };
    bool tooLarge_ { false };
    HttpRequest request_;
    std::string partialMessage_;
    std::unique_ptr<HttpReply> pending_;
    std::size_t bodySent_ { 0 };
    bool headersSent_ { false };
    std::deque<std::string> outgoing_;
    std::size_t outgoingBytes_ { 0 };
    std::size_t heldBack_ { 0 }; ///< Of the last message, what libwebsockets may hold because the socket is full.
    bool isDropped_ { false };
    ClientShare share_;
    std::optional<TimePoint> awaitedSince_; ///< Since when the headers or the body of a request are awaited.
    TimePoint moved_; ///< The last time that bytes were sent, or the first ones after all had been sent.
};

using HttpConnectionPtr = boost::intrusive_ptr<HttpConnection>;

/// What a listener does with requests; all are called on the loop's thread.
struct HttpHandlers {
    std::function<void(const HttpConnectionPtr&, HttpRequest)> request_;
    std::function<void(const HttpConnectionPtr&)> streamOpened_; ///< Empty when WebSocket is not served here.
    std::function<void(const HttpConnectionPtr&, std::string)> streamMessage_;
    std::function<void(const HttpConnectionPtr&)> closed_;
    std::function<void(Reason)> count_;
};

struct HttpListenerOptions {
    std::string name_;
    std::string address_; ///< ip:port
    std::size_t maxConnections_ { 10000 };
    std::size_t maxRequestBytes_ { 1 << 20 };
    std::chrono::seconds receiveTimeout_ { 10 };
};

/// One listening address with HTTP/1.1 and, if wanted, WebSocket.
class HttpListener {
public:
    HttpListener(EventLoop&, HttpListenerOptions, HttpHandlers);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// Errors: the address is not free or not valid.
    boost::leaf::result<void> start();
    /// Closes new connections at once; open ones go on.
    void stopAccepting();
    /// Calls a function for each open WebSocket connection.
    void forEachStream(const std::function<void(const HttpConnectionPtr&)>&);
    std::size_t openConnections() const { return connections_.size(); }
    /// A reply or a message waits for its socket.
    bool hasUnsentReplies() const;

private:
    static int callback(lws*, lws_callback_reasons, void* user, void* in, std::size_t length);
    int accept(lws*);
    int receiveBody(const HttpConnectionPtr&, std::string_view);
    int finishEvent(const HttpConnectionPtr&, int result);
    void drop(const HttpConnectionPtr&, Reason);
    void watch();
    int handle(lws*, lws_callback_reasons, const char* in, std::size_t length);
    int beginRequest(const HttpConnectionPtr&, const char* path);
    int finishRequest(const HttpConnectionPtr&);
    int writeReply(const HttpConnectionPtr&);
    int writeText(const HttpConnectionPtr&);
    int receiveText(const HttpConnectionPtr&, std::string_view);
    HttpConnectionPtr connectionOf(lws*);
    void closed(lws*);

    EventLoop& loop_;
    const HttpListenerOptions options_;
    const HttpHandlers handlers_;
    EventLoop::ProtocolSlot& protocol_;
    lws_vhost* vhost_ { nullptr };
    std::string host_;
    bool stopped_ { false };
    std::unordered_map<lws*, HttpConnectionPtr> connections_;
    std::optional<EventLoop::TimerId> watching_;
    TimePoint watched_;
};

/// Splits "ip:port". Errors: Reason::SettingsInvalid.
boost::leaf::result<std::pair<std::string, int>> splitAddress(const std::string&);

} // namespace cassiahollow
