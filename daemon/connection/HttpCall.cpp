#include "connection/HttpCall.h"

#include "connection/ClientConnection.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <stdexcept>

namespace cassiahollow {

namespace {

    constexpr const char* protocolName = "http-call";

} // namespace

// Alive while the loop or the time limit refers to it.
struct HttpCalls::Call : boost::intrusive_ref_counter<HttpCalls::Call, boost::thread_unsafe_counter> {
    HttpCallRequest request_;
    Handler handler_;
    ClientConnection connection_;
    bool bodySent_ { false };
    HttpCallResult result_;
    std::shared_ptr<bool> alive_; ///< Whether the owner of the handler still is.

    void finish()
    {
        if (const auto handler = std::exchange(handler_, nullptr); handler && *alive_)
            handler(result_);
    }

    // The connection is gone; drops the reference that the loop held.
    void ended()
    {
        finish();
        intrusive_ptr_release(this);
    }

    int addHeaders(void* in, std::size_t length)
    {
        auto** position = static_cast<unsigned char**>(in);
        unsigned char* end = *position + length;
        const auto add = [&](const std::string& name, const std::string& value) {
            return lws_add_http_header_by_name(connection_.wsi_, reinterpret_cast<const unsigned char*>(name.c_str()),
                       reinterpret_cast<const unsigned char*>(value.data()), static_cast<int>(value.size()), position,
                       end)
                != 0;
        };
        for (const auto& [name, value] : request_.headers_) {
            if (add(name, value))
                return -1;
        }
        if (request_.body_.empty())
            return 0;
        if (add("content-type:", "application/json") || add("content-length:", std::to_string(request_.body_.size())))
            return -1;
        lws_client_http_body_pending(connection_.wsi_, 1);
        lws_callback_on_writable(connection_.wsi_);
        return 0;
    }

    int writeBody()
    {
        if (bodySent_ || request_.body_.empty())
            return 0;
        bodySent_ = true;
        std::string buffer(LWS_PRE, '\0');
        buffer.append(request_.body_);
        lws_client_http_body_pending(connection_.wsi_, 0);
        return lws_write(connection_.wsi_, reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE,
                   request_.body_.size(), LWS_WRITE_HTTP_FINAL)
                < 0
            ? -1
            : 0;
    }
};

HttpCalls::HttpCalls(EventLoop& loop)
    : loop_(loop)
    , protocol_(loop.addProtocol(protocolName, &HttpCalls::callback, this))
{
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocol_.protocols_;
    info.vhost_name = "http-calls";
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    vhost_ = lws_create_vhost(loop_.context(), &info);
    if (!vhost_)
        throw std::runtime_error("libwebsockets could not create the client side of HTTP");
}

HttpCalls::~HttpCalls()
{
    *alive_ = false;
}

void HttpCalls::call(HttpCallRequest request, std::chrono::milliseconds timeout, Handler handler)
{
    const boost::intrusive_ptr<Call> call(new Call);
    call->request_ = std::move(request);
    call->handler_ = std::move(handler);
    call->alive_ = alive_;
    intrusive_ptr_add_ref(call.get()); // Released by ended().
    startConnecting(loop_, vhost_, call->connection_,
        { .address_ = call->request_.address_,
            .protocol_ = protocolName,
            .method_ = call->request_.method_.c_str(),
            .path_ = call->request_.path_,
            .alpn_ = "http/1.1" },
        call.get(), { .opened_ = {}, .ended_ = [call] { call->ended(); } });
    loop_.schedule(Clock::now() + timeout, [call] {
        if (!call->handler_)
            return;
        call->finish();
        killConnection(call->connection_);
    });
}

int HttpCalls::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    auto* raw = static_cast<Call*>(user);
    if (!raw)
        return 0;
    const boost::intrusive_ptr<Call> call(raw);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        call->connection_.wsi_ = wsi;
        return call->addHeaders(in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return call->writeBody();
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        call->result_.status_ = static_cast<int>(lws_http_client_http_response(wsi));
        call->finish();
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        if (!holdBackEnded(call->connection_, wsi))
            call->ended();
        return 0;
    default:
        return 0;
    }
}

} // namespace cassiahollow
