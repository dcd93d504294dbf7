#include "connection/EndpointChannel.h"

#include <stdexcept>

namespace cassiahollow {

namespace {

    constexpr std::size_t maxAnswerBytes = 16 << 20; // An endpoint that sends without end must not fill the memory.
    constexpr const char* protocolName = "endpoint";

} // namespace

EndpointChannel::~EndpointChannel() = default;

void EndpointChannel::send(std::string text)
{
    if (ended_ || abandoned_)
        return;
    outgoing_.push_back(std::move(text));
    if (open_)
        lws_callback_on_writable(connection_.wsi_);
}

void EndpointChannel::abandon()
{
    if (abandoned_)
        return;
    abandoned_ = true;
    handlers_ = {};
    killConnection(connection_);
}

void EndpointChannel::ended()
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

int EndpointChannel::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    auto* channel = static_cast<EndpointChannel*>(user);
    if (!channel || channel->ended_)
        return 0;
    switch (reason) {
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
        if (holdBackOpened(channel->connection_, wsi))
            return 0;
        [[fallthrough]];
    case LWS_CALLBACK_CLIENT_RECEIVE:
    case LWS_CALLBACK_CLIENT_WRITEABLE: {
        const EndpointChannelPtr keepAlive(channel);
        return channel->handle(reason, static_cast<const char*>(in), length);
    }
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLIENT_CLOSED:
    case LWS_CALLBACK_WSI_DESTROY:
        if (!holdBackEnded(channel->connection_, wsi))
            channel->ended();
        return 0;
    default:
        return 0;
    }
}

int EndpointChannel::opened()
{
    open_ = true;
    if (!outgoing_.empty())
        lws_callback_on_writable(connection_.wsi_);
    if (handlers_.opened_)
        handlers_.opened_();
    return abandoned_ ? -1 : 0;
}

// The report was held back until open() had returned.
void EndpointChannel::openedLate()
{
    if (!ended_ && !abandoned_)
        opened();
}

int EndpointChannel::handle(lws_callback_reasons reason, const char* in, std::size_t length)
{
    if (abandoned_)
        return -1;
    if (reason == LWS_CALLBACK_CLIENT_ESTABLISHED)
        return opened();
    if (reason == LWS_CALLBACK_CLIENT_RECEIVE) {
        if (partialMessage_.size() + length > maxAnswerBytes)
            return -1;
        partialMessage_.append(in, length);
        if (!lws_is_final_fragment(connection_.wsi_) || lws_remaining_packet_payload(connection_.wsi_) > 0)
            return 0;
        const auto message = handlers_.message_; // The handler may abandon the channel and with it itself.
        if (message)
            message(std::exchange(partialMessage_, {}));
        return abandoned_ ? -1 : 0;
    }
    if (outgoing_.empty())
        return 0;
    std::string buffer(LWS_PRE, '\0');
    buffer.append(outgoing_.front());
    const std::size_t size = outgoing_.front().size();
    outgoing_.pop_front();
    sent_ = true;
    if (lws_write(connection_.wsi_, reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE, size, LWS_WRITE_TEXT)
        < 0)
        return -1;
    if (!outgoing_.empty())
        lws_callback_on_writable(connection_.wsi_);
    return 0;
}

ChannelFactory::ChannelFactory(EventLoop& loop)
    : loop_(loop)
{
    protocols_[0].name = protocolName;
    protocols_[0].callback = &EndpointChannel::callback;
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocols_;
    info.vhost_name = "endpoints";
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    vhost_ = lws_create_vhost(loop_.context(), &info);
    if (!vhost_)
        throw std::runtime_error("libwebsockets could not create the client side");
}

ChannelFactory::~ChannelFactory() = default;

EndpointChannelPtr ChannelFactory::open(
    const std::string& address, std::chrono::milliseconds timeout, ChannelHandlers handlers)
{
    EndpointChannelPtr channel(new EndpointChannel);
    channel->handlers_ = std::move(handlers);
    intrusive_ptr_add_ref(channel.get()); // Released by ended().
    startConnecting(loop_, vhost_, channel->connection_, { .address_ = address, .protocol_ = protocolName },
        channel.get(), { .opened_ = [channel] { channel->openedLate(); }, .ended_ = [channel] { channel->ended(); } });
    loop_.schedule(Clock::now() + timeout, [channel] {
        if (!channel->open_)
            killConnection(channel->connection_);
    });
    return channel;
}

} // namespace cassiahollow
