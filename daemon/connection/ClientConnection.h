#pragma once

#include "process/EventLoop.h"

#include <functional>
#include <libwebsockets.h>
#include <string>

namespace cassiahollow {

/// Where and how a connection is opened.
struct ConnectTarget {
    std::string address_; ///< ip:port
    const char* protocol_ { nullptr }; ///< The libwebsockets protocol whose callback serves the connection.
    const char* method_ { nullptr }; ///< An HTTP method, "RAW", or null for WebSocket.
    std::string path_ { "/" };
    const char* alpn_ { nullptr };
};

/// The libwebsockets side of a connection that this instance opens.
struct ClientConnection {
    lws* wsi_ { nullptr };
    bool isStarting_ { false }; ///< startConnecting() has not returned yet.
    bool openedEarly_ { false }; ///< libwebsockets reported the open connection while it was starting.
    bool endedEarly_ { false }; ///< libwebsockets reported the end of the connection while it was starting.
};

/// What the owner of a connection is told about its start.
struct ConnectHandlers {
    std::function<void()> opened_;
    std::function<void()> ended_; ///< The connection could not be opened.
};

/// Starts to connect; `user` is passed to the callback of the protocol.
///
/// No handler runs before this function has returned. libwebsockets reports errors that connect() or socket() give at
/// once (no route, not permitted, no descriptor left), and connections that open at once, from inside the call that
/// starts them. The protocol's callback passes these reports to holdBackOpened() and holdBackEnded(); those that come
/// that early are delivered from the loop.
void startConnecting(EventLoop&, lws_vhost*, ClientConnection&, const ConnectTarget&, void* user, ConnectHandlers);

/// Records that the connection is open. Returns true if the opened handler will be called later instead.
bool holdBackOpened(ClientConnection&, lws*);

/// Records that the connection has ended; no further reports about it follow. Returns true if the ended handler will
/// be called later instead.
bool holdBackEnded(ClientConnection&, lws*);

/// Ends the connection without sending what is queued; libwebsockets reports it from the loop. No effect if it has
/// ended.
void killConnection(const ClientConnection&);

} // namespace cassiahollow
