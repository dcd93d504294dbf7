#pragma once

#include "cassiahollow/process/Reasons.h"
#include "connection/ClientConnection.h"
#include "connection/ClientMemory.h"
#include "process/EventLoop.h"

#include <boost/intrusive/list.hpp>
#include <boost/leaf.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <libwebsockets.h>
#include <optional>
#include <string>
#include <string_view>

namespace cassiahollow {

/// What the owner of a channel is told; all are called on the loop's thread. The owner may close the channel in any of
/// them.
struct LineChannelHandlers {
    std::function<void()> opened_; ///< Only of channels that this instance opens.
    /// Unread bytes. Returns how many of them were taken; the rest is offered again with what arrives next.
    std::function<std::size_t(std::string_view)> received_;
    std::function<void()> closed_; ///< Last call. Not called after close().
};

/// One TCP connection of the line protocol, in either direction. Alive as long as somebody holds a pointer or the
/// socket is open.
class LineChannel : public boost::intrusive_ref_counter<LineChannel, boost::thread_unsafe_counter>,
                    public boost::intrusive::list_base_hook<> {
public:
    ~LineChannel() = default;

    void setHandlers(LineChannelHandlers handlers) { handlers_ = std::move(handlers); }
    /// Queues bytes. What is queued within one turn of the loop is sent with one call.
    void send(std::string_view bytes);
    /// Closes without sending what is queued. The handlers are not called any more.
    void close();
    /// Tells the other end that nothing more is sent, without waiting for the next turn of the loop as close() does.
    void shutDown();
    /// Closes once all queued bytes are sent. What arrives before is offered to the owner, who may go on.
    void closeWhenSent();
    /// Takes closeWhenSent() back.
    void keepOpen() { closing_ = false; }

    /// Offers again what the owner has not taken. Has no effect within received_, which goes on by itself.
    void offer();
    /// Tells whether the owner takes bytes now. While it does not, no more are read than a few messages.
    void setTaking(bool isTaking) { isTaking_ = isTaking; }
    /// Few enough answers wait to be sent that the owner may go on with the next message.
    bool hasRoom() const;
    /// The client has opened its session; it has only a limited time for it.
    void setStarted() { share_.start(); }
    /// The other end has proved that it is an instance; it is never closed to make room.
    void setTrusted();

    bool isOpen() const { return open_; }
    std::size_t queuedBytes() const { return outgoing_.size() - sent_; }
    /// Bytes were read that the owner has not taken.
    bool hasInput() const { return incoming_.size() > taken_; }
    /// This instance ends the connection: closeWhenSent() was called.
    bool isClosing() const { return closing_; }

private:
    friend class LineSockets;
    friend class LineListener;

    static int callback(lws*, lws_callback_reasons, void* user, void* in, std::size_t length);
    int handle(lws_callback_reasons, const char* in, std::size_t length);
    int finishEvent(int result);
    int receive(std::string_view);
    int write();
    int closeUnlessInput();
    int opened();
    void openedLate();
    void setSocketTimeouts();
    void ended();
    void dropBytes();
    void count();
    void updateReading();
    void drop(Reason);
    std::optional<Reason> overdue(TimePoint now) const;

    ClientConnection connection_; ///< Of a channel in either direction.
    bool open_ { false };
    bool ended_ { false };
    bool abandoned_ { false };
    bool closing_ { false };
    bool offering_ { false }; ///< The owner is looking at bytes now.
    bool isTaking_ { true };
    bool isReading_ { true };
    bool isDropped_ { false };
    bool isCounted_ { false }; ///< More than the least is counted for it.
    std::string incoming_; ///< Bytes that the owner has not taken yet, from taken_ on.
    std::size_t taken_ { 0 };
    std::string outgoing_; ///< Bytes that the socket has not taken yet, from sent_ on.
    std::size_t sent_ { 0 };
    ClientMemory* memory_ { nullptr }; ///< Null when nothing is limited.
    ClientShare share_; ///< Of a client.
    HeldMemory held_; ///< Of a connection of the instance itself.
    std::string_view listener_; ///< For the log; empty if this instance has opened the connection.
    TimePoint opened_;
    TimePoint arrived_; ///< The last bytes of a message that is not whole.
    TimePoint moved_; ///< The last time that the socket took bytes, or the first bytes after it had taken all.
    std::chrono::milliseconds silence_ { 0 };
    LineChannelHandlers handlers_;
};

using LineChannelPtr = boost::intrusive_ptr<LineChannel>;

/// Opens channels to endpoints.
class LineSockets {
public:
    explicit LineSockets(EventLoop&);
    LineSockets(const LineSockets&) = delete;
    LineSockets& operator=(const LineSockets&) = delete;

    /// Starts to connect; no handler runs before it has returned. closed_ is called if the connection is not open
    /// within `timeout`; `silence` is how long sent bytes may stay unacknowledged by the other end before the
    /// connection counts as lost.
    LineChannelPtr open(const std::string& address, std::chrono::milliseconds timeout,
        std::chrono::milliseconds silence, LineChannelHandlers);

private:
    EventLoop& loop_;
    EventLoop::ProtocolSlot& protocol_;
    lws_vhost* vhost_ { nullptr };
};

/// Accepts channels of clients.
class LineListener {
public:
    using Accept = std::function<void(const LineChannelPtr&)>;

    /// `accept` has to set the channel's handlers. The name is for the log.
    LineListener(
        EventLoop&, std::string address, std::size_t maxConnections, Accept, std::string_view name = "statements");
    ~LineListener();
    LineListener(const LineListener&) = delete;
    LineListener& operator=(const LineListener&) = delete;

    /// Errors: the address is not free or not valid.
    boost::leaf::result<void> start();
    std::size_t openConnections() const { return openConnections_; }
    /// Bytes that the sockets of all connections have not taken yet.
    std::size_t queuedBytes() const;

private:
    static int callback(lws*, lws_callback_reasons, void* user, void* in, std::size_t length);
    int adopt(lws*);
    void watch();

    EventLoop& loop_;
    const std::string address_;
    const std::size_t maxConnections_;
    const Accept accept_;
    const std::string_view name_;
    boost::intrusive::list<LineChannel> channels_;
    std::optional<EventLoop::TimerId> watching_;
    TimePoint watched_;
    std::string host_;
    const std::string vhostName_;
    std::size_t openConnections_ { 0 };
    EventLoop::ProtocolSlot& protocol_;
    lws_vhost* vhost_ { nullptr };
};

} // namespace cassiahollow
