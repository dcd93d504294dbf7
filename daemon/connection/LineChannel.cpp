#include "connection/LineChannel.h"

#include "connection/HttpListener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>

namespace cassiahollow {

namespace {

    // Two messages of the longest kind; a peer that does not read must not fill the memory.
    constexpr std::size_t maximumQueuedBytes = 2 << 20;
    constexpr const char* clientProtocol = "line-client";
    constexpr const char* serverProtocol = "line-server";
    // Clients are not probed: the platform tells them where to go when an instance is lost.
    constexpr std::chrono::milliseconds clientSilence { 10000 };

} // namespace

void LineChannel::send(std::string_view bytes)
{
    if (ended_ || abandoned_ || closing_)
        return;
    outgoing_.append(bytes);
    if (open_)
        lws_callback_on_writable(connection_.wsi_);
}

void LineChannel::close()
{
    if (abandoned_)
        return;
    abandoned_ = true;
    handlers_ = {};
    killConnection(connection_);
}

void LineChannel::shutDown()
{
    if (open_ && !ended_ && !abandoned_)
        ::shutdown(lws_get_socket_fd(connection_.wsi_), SHUT_RDWR);
}

void LineChannel::closeWhenSent()
{
    closing_ = true;
    if (connection_.wsi_ && open_ && !ended_)
        lws_callback_on_writable(connection_.wsi_);
}

void LineChannel::ended()
{
    if (std::exchange(ended_, true))
        return;
    open_ = false;
    const auto closed = std::move(handlers_.closed_);
    handlers_ = {};
    if (closed)
        closed();
    intrusive_ptr_release(this); // The reference that the loop held.
}

void LineChannel::setSocketTimeouts()
{
    const int descriptor = lws_get_socket_fd(connection_.wsi_);
    const auto timeout = static_cast<unsigned>(silence_.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int LineChannel::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    auto* channel = static_cast<LineChannel*>(user);
    if (!channel || channel->ended_)
        return 0;
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        if (holdBackOpened(channel->connection_, wsi))
            return 0;
        [[fallthrough]];
    case LWS_CALLBACK_RAW_RX:
    case LWS_CALLBACK_RAW_WRITEABLE: {
        const LineChannelPtr keepAlive(channel);
        return channel->handle(reason, static_cast<const char*>(in), length);
    }
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        if (!holdBackEnded(channel->connection_, wsi))
            channel->ended();
        return 0;
    default:
        return 0;
    }
}

int LineChannel::handle(lws_callback_reasons reason, const char* in, std::size_t length)
{
    if (abandoned_)
        return -1;
    if (reason == LWS_CALLBACK_RAW_CONNECTED)
        return opened();
    if (reason == LWS_CALLBACK_RAW_RX)
        return receive({ in, length });
    return write();
}

int LineChannel::opened()
{
    open_ = true;
    setSocketTimeouts();
    if (!outgoing_.empty())
        lws_callback_on_writable(connection_.wsi_);
    if (handlers_.opened_)
        handlers_.opened_();
    return abandoned_ ? -1 : 0;
}

// The report was held back until open() had returned.
void LineChannel::openedLate()
{
    if (!ended_ && !abandoned_)
        opened();
}

int LineChannel::receive(std::string_view bytes)
{
    const auto received = handlers_.received_; // The handler may close the channel and drop its handlers.
    if (!received)
        return 0;
    offering_ = true;
    if (incoming_.empty()) {
        const auto taken = received(bytes);
        if (!abandoned_)
            incoming_.assign(bytes.substr(taken));
    } else {
        incoming_.append(bytes);
        const auto taken = received(incoming_);
        incoming_.erase(0, taken);
    }
    offering_ = false;
    return abandoned_ ? -1 : 0;
}

void LineChannel::offer()
{
    if (offering_ || abandoned_ || ended_ || incoming_.empty())
        return;
    const LineChannelPtr keepAlive(this);
    receive({});
}

int LineChannel::write()
{
    if (outgoing_.empty())
        return closing_ ? -1 : 0;
    if (outgoing_.size() > maximumQueuedBytes)
        return -1;
    std::string buffer(LWS_PRE, '\0');
    buffer.append(outgoing_);
    const auto size = outgoing_.size();
    outgoing_.clear();
    if (lws_write(connection_.wsi_, reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE, size, LWS_WRITE_RAW) < 0)
        return -1;
    if (closing_)
        lws_callback_on_writable(connection_.wsi_);
    return 0;
}

LineSockets::LineSockets(EventLoop& loop)
    : loop_(loop)
    , protocol_(loop.addProtocol(clientProtocol, &LineChannel::callback, this))
{
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocol_.protocols_;
    info.vhost_name = "line-sockets";
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    vhost_ = lws_create_vhost(loop_.context(), &info);
    if (!vhost_)
        throw std::runtime_error("libwebsockets could not create the client side of the line protocol");
}

LineChannelPtr LineSockets::open(const std::string& address, std::chrono::milliseconds timeout,
    std::chrono::milliseconds silence, LineChannelHandlers handlers)
{
    LineChannelPtr channel(new LineChannel);
    channel->handlers_ = std::move(handlers);
    channel->silence_ = silence;
    intrusive_ptr_add_ref(channel.get()); // Released by ended().
    startConnecting(loop_, vhost_, channel->connection_,
        { .address_ = address, .protocol_ = clientProtocol, .method_ = "RAW" }, channel.get(),
        { .opened_ = [channel] { channel->openedLate(); }, .ended_ = [channel] { channel->ended(); } });
    loop_.schedule(Clock::now() + timeout, [channel] {
        if (!channel->open_)
            killConnection(channel->connection_);
    });
    return channel;
}

LineListener::LineListener(EventLoop& loop, std::string address, std::size_t maxConnections, Accept accept)
    : loop_(loop)
    , address_(std::move(address))
    , maxConnections_(maxConnections)
    , accept_(std::move(accept))
    , vhostName_("line-listener-" + address_)
    , protocol_(loop.addProtocol(serverProtocol, &LineListener::callback, this))
{
}

boost::leaf::result<void> LineListener::start()
{
    BOOST_LEAF_AUTO(address, splitAddress(address_));
    host_ = address.first;
    lws_context_creation_info info {};
    info.port = address.second;
    info.iface = host_.c_str();
    info.protocols = protocol_.protocols_;
    info.vhost_name = vhostName_.c_str();
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = serverProtocol;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG
        | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6;
    vhost_ = lws_create_vhost(loop_.context(), &info);
    if (!vhost_)
        return boost::leaf::new_error(Failure { Reason::SettingsInvalid, "cannot listen on " + address_ });
    return {};
}

int LineListener::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    auto* self = static_cast<LineListener*>(EventLoop::ownerOf(wsi));
    if (reason == LWS_CALLBACK_RAW_ADOPT) {
        if (!self || self->openConnections_ >= self->maxConnections_)
            return -1;
        LineChannelPtr channel(new LineChannel);
        intrusive_ptr_add_ref(channel.get());
        channel->connection_.wsi_ = wsi;
        channel->open_ = true;
        channel->silence_ = clientSilence;
        channel->setSocketTimeouts();
        lws_set_wsi_user(wsi, channel.get());
        lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
        ++self->openConnections_;
        self->accept_(channel);
        return channel->abandoned_ ? -1 : 0;
    }
    const bool ends = reason == LWS_CALLBACK_RAW_CLOSE || reason == LWS_CALLBACK_WSI_DESTROY;
    if (self && ends && lws_wsi_user(wsi))
        --self->openConnections_;
    return LineChannel::callback(wsi, reason, user ? user : lws_wsi_user(wsi), in, length);
}

} // namespace cassiahollow
