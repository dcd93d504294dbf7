#include "connection/ClientConnection.h"

#include "connection/HttpListener.h"

namespace cassiahollow {

namespace {

    // Returns null if the connection could not be started.
    lws* connect(EventLoop& loop, lws_vhost* vhost, const ConnectTarget& target, void* user)
    {
        const auto parts = splitAddress(target.address_);
        if (!parts)
            return nullptr;
        const auto& [host, port] = *parts;
        lws* wsi = nullptr;
        lws_client_connect_info info {};
        info.context = loop.context();
        info.vhost = vhost;
        info.address = host.c_str();
        info.port = port;
        info.path = target.path_.c_str();
        info.host = host.c_str();
        info.origin = host.c_str();
        info.method = target.method_;
        info.protocol = target.protocol_;
        info.local_protocol_name = target.protocol_;
        info.alpn = target.alpn_;
        info.userdata = user;
        info.pwsi = &wsi;
        lws_client_connect_via_info(&info);
        return wsi;
    }

} // namespace

void startConnecting(EventLoop& loop, lws_vhost* vhost, ClientConnection& connection, const ConnectTarget& target,
    void* user, ConnectHandlers handlers)
{
    connection.isStarting_ = true;
    auto* wsi = connect(loop, vhost, target, user);
    connection.isStarting_ = false;
    const bool hasEnded = !wsi || connection.endedEarly_;
    connection.wsi_ = hasEnded ? nullptr : wsi;
    if (hasEnded)
        loop.schedule(Clock::now(), std::move(handlers.ended_));
    else if (connection.openedEarly_)
        loop.schedule(Clock::now(), std::move(handlers.opened_));
}

bool holdBackOpened(ClientConnection& connection, lws* wsi)
{
    connection.wsi_ = wsi;
    connection.openedEarly_ = connection.isStarting_;
    return connection.isStarting_;
}

bool holdBackEnded(ClientConnection& connection, lws* wsi)
{
    lws_set_wsi_user(wsi, nullptr);
    connection.wsi_ = nullptr;
    connection.endedEarly_ |= connection.isStarting_;
    return connection.isStarting_;
}

void killConnection(const ClientConnection& connection)
{
    if (connection.wsi_)
        lws_set_timeout(connection.wsi_, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

} // namespace cassiahollow
