#include "connection/LineChannel.h"

#include "connection/HttpListener.h"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <vector>

namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // Two messages of the longest kind. Without a memory limit, nothing else bounds what a peer does not read.
    constexpr std::size_t maximumQueuedBytes = 2 << 20;
    // Read ahead of an owner that does not take bytes: many ordinary messages.
    constexpr std::size_t readAheadBytes = 16 << 10;
    // Answers that wait for a client to read them; the next statement waits until there are fewer.
    constexpr std::size_t unreadBytes = 64 << 10;
    // Buffers that are larger are freed as soon as they are empty.
    constexpr std::size_t keptBytes = 16 << 10;
    // Buffers up to this size are part of what is counted for each connection.
    constexpr std::size_t uncountedBytes = 4 << 10;
    // What the system may hold of a client in each direction; it takes twice as much for its own structures.
    constexpr int socketBufferBytes = 32 << 10;
    constexpr std::size_t socketBytes = 2 * socketBufferBytes;
    // What the system may hold of a connection between instances in each direction.
    constexpr int instanceBufferBytes = 512 << 10;
    // A client opens its session at once; this is some hundred times what the slowest network needs.
    constexpr auto startTime = 10s;
    // Without any progress. A message of 1 MiB arrives within a second.
    constexpr auto messageTime = 30s;
    // Without any progress. A client waits for its answers.
    constexpr auto answerTime = 10s;
    // The time limits are checked this often.
    constexpr auto watchInterval = 250ms;
    constexpr const char* clientProtocol = "line-client";
    constexpr const char* serverProtocol = "line-server";
    // Clients are not probed: the platform tells them where to go when an instance is lost.
    constexpr std::chrono::milliseconds clientSilence { 10000 };

} // namespace

void LineChannel::send(std::string_view bytes)
{
    if (ended_ || abandoned_ || closing_)
        return;
    if (memory_ && outgoing_.empty())
        moved_ = Clock::now();
    outgoing_.append(bytes);
    if (outgoing_.size() > uncountedBytes)
        count();
    if (open_)
        lws_callback_on_writable(connection_.wsi_);
}

bool LineChannel::hasRoom() const
{
    return !share_.isOpen() || queuedBytes() < unreadBytes;
}

void LineChannel::setTrusted()
{
    if (!share_.isOpen())
        return;
    share_.close();
    count();
    // Statements of many clients share the connection.
    const int descriptor = lws_get_socket_fd(connection_.wsi_);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &instanceBufferBytes, sizeof(instanceBufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &instanceBufferBytes, sizeof(instanceBufferBytes));
}

// Counts what this connection holds. Ordinary messages are taken and sent at once and change nothing.
void LineChannel::count()
{
    if (!memory_)
        return;
    // What is queued for endpoints and holders is counted with the statements.
    const auto sum = incoming_.capacity() + (listener_.empty() ? 0 : outgoing_.capacity());
    auto bytes = sum > uncountedBytes ? sum : 0;
    isCounted_ = bytes > 0 || !isReading_ || sent_ > 0;
    if (!share_.isOpen())
        return held_.set(*memory_, bytes);
    // The system holds what arrives while nothing is read, and what a client does not read.
    bytes += (isReading_ ? 0 : socketBytes) + (sent_ > 0 ? socketBytes : 0);
    share_.set(bytes);
}

void LineChannel::updateReading()
{
    if (!memory_ || !open_ || ended_ || !share_.isOpen())
        return;
    const bool isAhead = !isTaking_ && incoming_.size() - taken_ > readAheadBytes;
    const bool reads = !isAhead && !isReadingStopped(memory_->budget());
    if (reads == isReading_)
        return;
    isReading_ = reads;
    lws_rx_flow_control(connection_.wsi_, reads ? 1 : 0);
    count();
}

void LineChannel::dropBytes()
{
    incoming_ = {};
    outgoing_ = {};
    taken_ = 0;
    sent_ = 0;
}

// Closes a client that is outside its limits. Only where the owner is not at work.
void LineChannel::drop(Reason reason)
{
    if (abandoned_ || ended_)
        return;
    const LineChannelPtr keepAlive(this);
    isDropped_ = true;
    memory_->report({ reason, listener_, incoming_.capacity() + outgoing_.capacity(), share_.isStarted() });
    const auto closed = std::move(handlers_.closed_);
    close();
    if (closed)
        closed();
}

std::optional<Reason> LineChannel::overdue(TimePoint now) const
{
    if (!share_.isOpen())
        return std::nullopt;
    if (!share_.isStarted() && now - opened_ > startTime)
        return Reason::StartTooSlow;
    if (!outgoing_.empty() && now - moved_ > answerTime)
        return Reason::AnswersNotRead;
    if (!incoming_.empty() && isTaking_ && isReading_ && now - arrived_ > messageTime)
        return Reason::RequestTooSlow;
    return std::nullopt;
}

void LineChannel::close()
{
    if (abandoned_)
        return;
    abandoned_ = true;
    handlers_ = {};
    share_.close();
    held_.reset();
    if (!offering_)
        dropBytes();
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
    share_.close();
    held_.reset();
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
    if (!share_.isOpen())
        return;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
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
    return finishEvent(reason == LWS_CALLBACK_RAW_RX ? receive({ in, length }) : write());
}

// No owner is at work here, so clients can be closed.
int LineChannel::finishEvent(int result)
{
    if (!memory_)
        return result;
    updateReading();
    memory_->relieve();
    return isDropped_ ? -1 : result;
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
        if (!abandoned_ && taken < bytes.size())
            incoming_.assign(bytes.substr(taken));
    } else {
        // What was taken is moved away only when it is half of the buffer, so that the cost stays linear.
        if (taken_ > incoming_.size() / 2) {
            incoming_.erase(0, taken_);
            taken_ = 0;
        }
        incoming_.append(bytes);
        taken_ += received(std::string_view(incoming_).substr(taken_));
        if (taken_ == incoming_.size()) {
            taken_ = 0;
            incoming_.clear();
            if (incoming_.capacity() > keptBytes)
                incoming_ = {};
        }
    }
    offering_ = false;
    if (abandoned_) {
        dropBytes();
        return -1;
    }
    if (memory_ && (!incoming_.empty() || isCounted_)) {
        arrived_ = bytes.empty() ? arrived_ : Clock::now();
        count();
    }
    return 0;
}

void LineChannel::offer()
{
    if (offering_ || abandoned_ || ended_ || incoming_.empty())
        return;
    const LineChannelPtr keepAlive(this);
    receive({});
    updateReading();
}

// Closing a socket with unread bytes resets the connection: the other end loses what it has sent, and maybe the last
// answer.
int LineChannel::closeUnlessInput()
{
    std::array<char, readAheadBytes> buffer;
    const auto size = ::recv(lws_get_socket_fd(connection_.wsi_), buffer.data(), buffer.size(), MSG_DONTWAIT);
    const std::string_view bytes(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    // The owner may also have waited for room.
    if ((!bytes.empty() || hasInput()) && receive(bytes) != 0)
        return -1;
    return closing_ && outgoing_.empty() ? -1 : 0;
}

int LineChannel::write()
{
    if (outgoing_.empty())
        return closing_ ? closeUnlessInput() : 0;
    const auto left = queuedBytes();
    if (!memory_ && left > maximumQueuedBytes)
        return -1;
    // Not lws_write(), which would keep a copy of what the socket does not take, out of our sight.
    const auto written
        = ::send(lws_get_socket_fd(connection_.wsi_), outgoing_.data() + sent_, left, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written < 0 && errno != EAGAIN && errno != EINTR)
        return -1;
    if (written > 0 && memory_)
        moved_ = Clock::now();
    sent_ += written > 0 ? static_cast<std::size_t>(written) : 0;
    if (sent_ < outgoing_.size()) {
        count();
        lws_callback_on_writable(connection_.wsi_);
        return 0;
    }
    sent_ = 0;
    outgoing_.clear();
    if (outgoing_.capacity() > keptBytes)
        outgoing_ = {};
    if (memory_ && (left > uncountedBytes || isCounted_))
        count();
    if (closing_)
        lws_callback_on_writable(connection_.wsi_);
    else if (!isTaking_)
        offer(); // The owner may have waited for room.
    return abandoned_ ? -1 : 0;
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
    channel->memory_ = loop_.memory().isLimited() ? &loop_.memory() : nullptr;
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

LineListener::LineListener(
    EventLoop& loop, std::string address, std::size_t maxConnections, Accept accept, std::string_view name)
    : loop_(loop)
    , address_(std::move(address))
    , maxConnections_(maxConnections)
    , accept_(std::move(accept))
    , name_(name)
    , vhostName_("line-listener-" + address_)
    , protocol_(loop.addProtocol(serverProtocol, &LineListener::callback, this))
{
}

LineListener::~LineListener()
{
    if (watching_)
        loop_.cancel(*watching_);
    channels_.clear();
    protocol_.owner_ = nullptr;
}

// Closes clients that have passed their time limits.
void LineListener::watch()
{
    const auto now = Clock::now();
    // A process that was stopped for a while has yet to read what its clients have sent.
    const bool wasStopped = now - std::exchange(watched_, now) > 4 * watchInterval;
    std::vector<std::pair<LineChannelPtr, Reason>> overdue;
    for (auto& channel : channels_) {
        if (const auto reason = wasStopped ? std::nullopt : channel.overdue(now))
            overdue.emplace_back(&channel, *reason);
        else
            channel.updateReading();
    }
    for (const auto& [channel, reason] : overdue)
        channel->drop(reason);
    loop_.memory().relieve();
    watching_ = loop_.schedule(now + watchInterval, [this] { watch(); });
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
    if (loop_.memory().isLimited())
        watch();
    return {};
}

std::size_t LineListener::queuedBytes() const
{
    std::size_t bytes = 0;
    for (const auto& channel : channels_)
        bytes += channel.queuedBytes();
    return bytes;
}

int LineListener::adopt(lws* wsi)
{
    auto& memory = loop_.memory();
    if (openConnections_ >= maxConnections_ || !mayConnect(memory.budget())) {
        memory.report({ Reason::TooManyConnections, name_ });
        return -1;
    }
    LineChannelPtr channel(new LineChannel);
    intrusive_ptr_add_ref(channel.get());
    channel->connection_.wsi_ = wsi;
    channel->open_ = true;
    channel->silence_ = clientSilence;
    if (memory.isLimited()) {
        channel->memory_ = &memory;
        channel->listener_ = name_;
        channel->opened_ = Clock::now();
        channel->share_.open(memory, [raw = channel.get()](Reason reason) { raw->drop(reason); });
    }
    channel->setSocketTimeouts();
    lws_set_wsi_user(wsi, channel.get());
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    ++openConnections_;
    channels_.push_back(*channel);
    accept_(channel);
    return channel->abandoned_ ? -1 : 0;
}

int LineListener::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    auto* self = static_cast<LineListener*>(EventLoop::ownerOf(wsi));
    if (reason == LWS_CALLBACK_RAW_ADOPT)
        return self ? self->adopt(wsi) : -1;
    const bool ends = reason == LWS_CALLBACK_RAW_CLOSE || reason == LWS_CALLBACK_WSI_DESTROY;
    if (self && ends && lws_wsi_user(wsi)) {
        --self->openConnections_;
        auto& channel = *static_cast<LineChannel*>(lws_wsi_user(wsi));
        if (channel.is_linked())
            self->channels_.erase(self->channels_.iterator_to(channel));
    }
    return LineChannel::callback(wsi, reason, user ? user : lws_wsi_user(wsi), in, length);
}

} // namespace cassiahollow
