#include "connection/HttpListener.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace cassiahollow {

namespace {

    constexpr std::size_t maxQueuedBytes = 8 << 20; // A caller that does not read must not fill the memory.
    constexpr std::size_t maxHeaderBytes = 4096;
    constexpr int replyTimeoutSeconds = 120; // Longer than any request deadline; the deadline answers first.
    constexpr std::size_t writeChunkBytes = 32 * 1024;
    // Buffers up to this size are part of what is counted for each connection.
    constexpr std::size_t uncountedBytes = 4 << 10;
    // Without any progress. A caller waits for its answer.
    constexpr std::chrono::seconds answerTime { 10 };
    // The time limits are checked this often.
    constexpr std::chrono::milliseconds watchInterval { 250 };

    std::string headerValue(lws* wsi, lws_token_indexes token)
    {
        const int length = lws_hdr_total_length(wsi, token);
        if (length <= 0)
            return {};
        std::string value(static_cast<std::size_t>(length) + 1, '\0');
        const int copied = lws_hdr_copy(wsi, value.data(), static_cast<int>(value.size()), token);
        value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
        return value;
    }

    std::string customHeaderValue(lws* wsi, std::string_view name)
    {
        const int length = lws_hdr_custom_length(wsi, name.data(), static_cast<int>(name.size()));
        if (length <= 0)
            return {};
        std::string value(static_cast<std::size_t>(length) + 1, '\0');
        const int copied = lws_hdr_custom_copy(
            wsi, value.data(), static_cast<int>(value.size()), name.data(), static_cast<int>(name.size()));
        value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
        return value;
    }

    const char* methodOf(lws* wsi)
    {
        if (lws_hdr_total_length(wsi, WSI_TOKEN_POST_URI) > 0)
            return "POST";
        if (lws_hdr_total_length(wsi, WSI_TOKEN_PUT_URI) > 0)
            return "PUT";
        return lws_hdr_total_length(wsi, WSI_TOKEN_DELETE_URI) > 0 ? "DELETE" : "GET";
    }

    std::string bufferWithPrefix(std::string_view text)
    {
        std::string buffer(LWS_PRE, '\0');
        buffer.append(text);
        return buffer;
    }

} // namespace

boost::leaf::result<std::pair<std::string, int>> splitAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    int port = 0;
    if (colon != std::string::npos) {
        const char* end = address.data() + address.size();
        const auto [last, error] = std::from_chars(address.data() + colon + 1, end, port);
        if (error == std::errc() && last == end && port > 0 && port < 65536 && colon > 0)
            return std::pair { address.substr(0, colon), port };
    }
    return boost::leaf::new_error(Failure { Reason::SettingsInvalid, "address " + address + " is not ip:port" });
}

void HttpConnection::reply(HttpReply reply)
{
    if (!wsi_ || !requestOpen_ || pending_ || isDropped_)
        return;
    pending_ = std::make_unique<HttpReply>(std::move(reply));
    moved_ = Clock::now();
    count();
    lws_callback_on_writable(wsi_);
}

void HttpConnection::sendText(std::string text)
{
    if (!wsi_ || closing_ || isDropped_)
        return;
    if (outgoing_.empty())
        moved_ = Clock::now();
    outgoingBytes_ += text.size();
    outgoing_.push_back(std::move(text));
    count();
    if (outgoingBytes_ > maxQueuedBytes)
        lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
    else
        lws_callback_on_writable(wsi_);
}

// Counts what this connection holds. Ordinary requests and answers change nothing.
void HttpConnection::count()
{
    if (!share_.isOpen())
        return;
    const auto sum = request_.body_.capacity() + partialMessage_.capacity() + outgoingBytes_ + heldBack_
        + (pending_ ? pending_->body_.capacity() : 0);
    share_.set(sum > uncountedBytes ? sum : 0);
}

void HttpConnection::closeWhenSent()
{
    if (!wsi_)
        return;
    closing_ = true;
    lws_callback_on_writable(wsi_);
}

HttpListener::HttpListener(EventLoop& loop, HttpListenerOptions options, HttpHandlers handlers)
    : loop_(loop)
    , options_(std::move(options))
    , handlers_(std::move(handlers))
    , protocol_(loop.addProtocol("cassiahollow", &HttpListener::callback, this))
{
}

HttpListener::~HttpListener()
{
    if (watching_)
        loop_.cancel(*watching_);
    for (auto& [wsi, connection] : connections_) {
        connection->wsi_ = nullptr;
        connection->share_.close();
    }
    connections_.clear();
    protocol_.owner_ = nullptr;
}

boost::leaf::result<void> HttpListener::start()
{
    BOOST_LEAF_AUTO(address, splitAddress(options_.address_));
    host_ = address.first;
    lws_context_creation_info info {};
    info.port = address.second;
    info.iface = host_.c_str();
    info.protocols = protocol_.protocols_;
    info.vhost_name = options_.name_.c_str();
    info.user = this;
    info.keepalive_timeout = 120;
    info.timeout_secs = static_cast<unsigned>(options_.receiveTimeout_.count());
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND
        | LWS_SERVER_OPTION_DISABLE_IPV6;
    vhost_ = lws_create_vhost(loop_.context(), &info);
    if (!vhost_)
        return boost::leaf::new_error(
            Failure { Reason::SettingsInvalid, "cannot listen on " + options_.address_ + " (" + options_.name_ + ")" });
    if (loop_.memory().isLimited())
        watch();
    return {};
}

int HttpListener::accept(lws* wsi)
{
    if (loop_.memory().isLimited())
        connectionOf(wsi); // Counted from now on, while its headers are awaited.
    return 0;
}

// Closes a client that is outside its limits. Only where the owner is not at work.
void HttpListener::drop(const HttpConnectionPtr& connection, Reason reason)
{
    if (!connection->wsi_ || std::exchange(connection->isDropped_, true))
        return;
    loop_.memory().report({ reason, options_.name_,
        connection->request_.body_.capacity() + connection->partialMessage_.capacity() + connection->outgoingBytes_,
        connection->share_.isStarted() });
    connection->share_.close();
    connection->request_ = {};
    connection->partialMessage_ = {};
    connection->outgoing_.clear();
    connection->outgoingBytes_ = 0;
    connection->pending_.reset();
    lws_set_timeout(connection->wsi_, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

// Closes callers that have passed their time limits.
void HttpListener::watch()
{
    const auto now = Clock::now();
    std::vector<std::pair<HttpConnectionPtr, Reason>> overdue;
    // A process that was stopped for a while has yet to read what its callers have sent.
    const bool wasStopped = now - std::exchange(watched_, now) > 4 * watchInterval;
    for (const auto& [wsi, connection] : connections_) {
        if (wasStopped)
            break;
        if (connection->awaitedSince_ && now - *connection->awaitedSince_ > options_.receiveTimeout_)
            overdue.emplace_back(connection, Reason::RequestTooSlow);
        else if ((connection->pending_ || !connection->outgoing_.empty()) && now - connection->moved_ > answerTime)
            overdue.emplace_back(connection, Reason::AnswersNotRead);
    }
    for (const auto& [connection, reason] : overdue)
        drop(connection, reason);
    loop_.memory().relieve();
    watching_ = loop_.schedule(now + watchInterval, [this] { watch(); });
}

// No owner is at work here, so clients can be closed.
int HttpListener::finishEvent(const HttpConnectionPtr& connection, int result)
{
    if (!connection->share_.isOpen())
        return connection->isDropped_ ? -1 : result;
    connection->count();
    loop_.memory().relieve();
    return connection->isDropped_ ? -1 : result;
}

int HttpListener::receiveBody(const HttpConnectionPtr& connection, std::string_view part)
{
    if (connection->isDropped_)
        return -1;
    auto& body = connection->request_.body_;
    if (body.size() + part.size() > options_.maxRequestBytes_) {
        connection->tooLarge_ = true;
        body = {};
    }
    if (!connection->tooLarge_)
        body.append(part);
    return 0;
}

void HttpListener::stopAccepting()
{
    // Destroying the vhost would close the open connections as well, with the requests on them.
    stopped_ = true;
}

void HttpListener::forEachStream(const std::function<void(const HttpConnectionPtr&)>& function)
{
    const auto connections = connections_; // The function may close connections.
    for (const auto& [wsi, connection] : connections) {
        if (connection->webSocket_)
            function(connection);
    }
}

bool HttpListener::hasUnsentReplies() const
{
    return std::any_of(connections_.begin(), connections_.end(), [](const auto& item) {
        const auto& connection = *item.second;
        return connection.pending_ || !connection.outgoing_.empty() || lws_partial_buffered(item.first);
    });
}

int HttpListener::callback(lws* wsi, lws_callback_reasons reason, void*, void* in, std::size_t length)
{
    auto* self = static_cast<HttpListener*>(EventLoop::ownerOf(wsi));
    if (!self)
        return 0;
    return self->handle(wsi, reason, static_cast<const char*>(in), length);
}

HttpConnectionPtr HttpListener::connectionOf(lws* wsi)
{
    auto& connection = connections_[wsi];
    if (!connection) {
        connection = HttpConnectionPtr(new HttpConnection);
        connection->wsi_ = wsi;
        if (loop_.memory().isLimited()) {
            connection->awaitedSince_ = Clock::now();
            connection->share_.open(loop_.memory(),
                [this, raw = connection.get()](Reason reason) { drop(HttpConnectionPtr(raw), reason); });
        }
    }
    return connection;
}

void HttpListener::closed(lws* wsi)
{
    const auto found = connections_.find(wsi);
    if (found == connections_.end())
        return;
    const HttpConnectionPtr connection = found->second;
    connections_.erase(found);
    connection->wsi_ = nullptr;
    connection->share_.close();
    if (handlers_.closed_)
        handlers_.closed_(connection);
}

int HttpListener::handle(lws* wsi, lws_callback_reasons reason, const char* in, std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
        if (stopped_)
            return -1;
        if (connections_.size() >= options_.maxConnections_) {
            handlers_.count_(Reason::TooManyConnections);
            return -1;
        }
        if (!mayConnect(loop_.memory().budget())) {
            loop_.memory().report({ Reason::TooManyConnections, options_.name_ });
            return -1;
        }
        return 0;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        return accept(wsi);
    case LWS_CALLBACK_HTTP:
        return beginRequest(connectionOf(wsi), in);
    case LWS_CALLBACK_HTTP_BODY: {
        const auto connection = connectionOf(wsi);
        return finishEvent(connection, receiveBody(connection, { in, length }));
    }
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return finishRequest(connectionOf(wsi));
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return writeReply(connectionOf(wsi));
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
        return handlers_.streamOpened_ ? 0 : -1;
    case LWS_CALLBACK_ESTABLISHED: {
        const auto connection = connectionOf(wsi);
        connection->webSocket_ = true;
        connection->awaitedSince_.reset();
        connection->share_.start();
        handlers_.streamOpened_(connection);
        return 0;
    }
    case LWS_CALLBACK_RECEIVE:
    case LWS_CALLBACK_SERVER_WRITEABLE: {
        const auto connection = connectionOf(wsi);
        const bool receives = reason == LWS_CALLBACK_RECEIVE;
        return finishEvent(connection, receives ? receiveText(connection, { in, length }) : writeText(connection));
    }
    case LWS_CALLBACK_CLOSED:
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        closed(wsi);
        return 0;
    default:
        return 0;
    }
}

int HttpListener::beginRequest(const HttpConnectionPtr& connection, const char* path)
{
    lws* wsi = connection->wsi_;
    connection->request_ = HttpRequest {};
    connection->tooLarge_ = false;
    connection->headersSent_ = false;
    connection->bodySent_ = 0;
    connection->requestOpen_ = true;
    if (connection->share_.isOpen() && !connection->awaitedSince_)
        connection->awaitedSince_ = Clock::now();
    HttpRequest& request = connection->request_;
    request.path_ = path;
    request.authorization_ = headerValue(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    request.query_ = headerValue(wsi, WSI_TOKEN_HTTP_URI_ARGS);
    request.session_ = customHeaderValue(wsi, "cassiahollow-session:");
    request.method_ = methodOf(wsi);
    if (request.method_ == "GET" || request.method_ == "DELETE")
        return finishRequest(connection);
    const std::string contentLength = headerValue(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (contentLength.empty() || contentLength == "0")
        return finishRequest(connection);
    return 0;
}

int HttpListener::finishRequest(const HttpConnectionPtr& connection)
{
    if (connection->isDropped_)
        return -1;
    connection->awaitedSince_.reset();
    connection->share_.start();
    lws_set_timeout(connection->wsi_, PENDING_TIMEOUT_HTTP_CONTENT, replyTimeoutSeconds);
    if (connection->tooLarge_) {
        handlers_.count_(Reason::RequestTooLarge);
        const auto& info = reasonInfo(Reason::RequestTooLarge);
        connection->reply({ 413,
            "{\"outcome\":\"not_run\",\"reason\":\"" + std::string(info.name_) + "\",\"remedy\":\""
                + std::string(info.remedy_) + "\"}" });
        return 0;
    }
    handlers_.request_(connection, std::move(connection->request_));
    return 0;
}

int HttpListener::writeReply(const HttpConnectionPtr& connection)
{
    if (!connection->pending_)
        return 0;
    lws* wsi = connection->wsi_;
    const HttpReply& reply = *connection->pending_;
    if (!connection->headersSent_) {
        unsigned char buffer[LWS_PRE + maxHeaderBytes];
        unsigned char* start = buffer + LWS_PRE;
        unsigned char* position = start;
        unsigned char* end = buffer + sizeof(buffer);
        if (lws_add_http_common_headers(wsi, static_cast<unsigned>(reply.status_), reply.contentType_.c_str(),
                reply.body_.size(), &position, end))
            return -1;
        for (const auto& [name, value] : reply.headers_) {
            if (lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
                    reinterpret_cast<const unsigned char*>(value.data()), static_cast<int>(value.size()), &position,
                    end))
                return -1;
        }
        if (lws_finalize_write_http_header(wsi, start, &position, end))
            return -1;
        connection->headersSent_ = true;
        lws_callback_on_writable(wsi);
        return 0;
    }
    const std::size_t left = reply.body_.size() - connection->bodySent_;
    const std::size_t chunk = std::min(left, writeChunkBytes);
    const bool last = chunk == left;
    std::string buffer = bufferWithPrefix(std::string_view(reply.body_).substr(connection->bodySent_, chunk));
    const int written = lws_write(wsi, reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE, chunk,
        last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < 0)
        return -1;
    connection->bodySent_ += chunk;
    connection->moved_ = Clock::now();
    if (!last) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    connection->pending_.reset();
    connection->count();
    connection->requestOpen_ = false;
    return lws_http_transaction_completed(wsi) ? -1 : 0;
}

int HttpListener::receiveText(const HttpConnectionPtr& connection, std::string_view part)
{
    if (connection->isDropped_)
        return -1;
    if (connection->partialMessage_.size() + part.size() > options_.maxRequestBytes_) {
        handlers_.count_(Reason::RequestTooLarge);
        return -1;
    }
    connection->partialMessage_.append(part);
    if (!lws_is_final_fragment(connection->wsi_) || lws_remaining_packet_payload(connection->wsi_) > 0) {
        if (connection->share_.isOpen() && !connection->awaitedSince_)
            connection->awaitedSince_ = Clock::now();
        return 0;
    }
    connection->awaitedSince_.reset();
    handlers_.streamMessage_(connection, std::exchange(connection->partialMessage_, {}));
    return 0;
}

int HttpListener::writeText(const HttpConnectionPtr& connection)
{
    connection->heldBack_ = 0;
    if (connection->outgoing_.empty())
        return connection->closing_ ? -1 : 0;
    const std::string text = std::move(connection->outgoing_.front());
    connection->outgoing_.pop_front();
    connection->outgoingBytes_ -= text.size();
    std::string buffer = bufferWithPrefix(text);
    if (lws_write(
            connection->wsi_, reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE, text.size(), LWS_WRITE_TEXT)
        < 0)
        return -1;
    connection->moved_ = Clock::now();
    if (lws_partial_buffered(connection->wsi_))
        connection->heldBack_ = text.size();
    if (!connection->outgoing_.empty() || connection->closing_)
        lws_callback_on_writable(connection->wsi_);
    return 0;
}

} // namespace cassiahollow
