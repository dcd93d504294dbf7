#include "Server.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/log/trivial.hpp>
#include <cstring>
#include <nlohmann/json.hpp>

namespace cassiahollow::standin {

namespace {

    constexpr std::chrono::seconds longestLeave { 10 };
    constexpr std::chrono::seconds announceInterval { 1 };
    /// Two attempts fit into one interval when an instance is silent.
    constexpr std::chrono::milliseconds announceTimeout { 450 };
    constexpr std::chrono::milliseconds emptyPullInterval { 200 };
    /// A primary answers each pull within emptyPullInterval; five times that is silence.
    constexpr std::chrono::milliseconds pullTimeout { 1'000 };
    constexpr std::chrono::milliseconds pullRetry { 50 };
    /// Received batches that a lagging replica keeps, so that a long lag does not fill the memory.
    constexpr std::size_t maxReceivedBatches = 1'000;
    /// Requests that may wait on one connection; the protocol allows one, and a watch connection some orders.
    constexpr std::size_t maxQueuedRequests = 16;
    /// Pull answers are larger than other messages by the encoding of their entries.
    constexpr std::size_t maxMessageBytes = 2 * maxEndpointMessageBytes;

    int writeText(lws* socket, const std::string& text)
    {
        std::vector<unsigned char> buffer(LWS_PRE + text.size());
        std::memcpy(buffer.data() + LWS_PRE, text.data(), text.size());
        const auto written = lws_write(socket, buffer.data() + LWS_PRE, text.size(), LWS_WRITE_TEXT);
        return written < static_cast<int>(text.size()) ? -1 : 0;
    }

    /// Adds a fragment to a message. Returns false if the message is too large.
    bool assemble(std::string& message, std::string_view fragment)
    {
        if (message.size() + fragment.size() > maxMessageBytes)
            return false;
        message.append(fragment);
        return true;
    }

    bool isWholeMessage(lws* socket)
    {
        return lws_is_final_fragment(socket) != 0 && lws_remaining_packet_payload(socket) == 0;
    }

    Server& serverOf(lws* socket)
    {
        return *static_cast<Server*>(lws_context_user(lws_get_context(socket)));
    }

    /// The value of a result, or nothing if it failed.
    template <typename Decode> auto valueOf(Decode&& decode) -> std::optional<std::decay_t<decltype(decode().value())>>
    {
        using Value = std::decay_t<decltype(decode().value())>;
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<Value>> {
                BOOST_LEAF_AUTO(value, decode());
                return std::optional<Value>(std::move(value));
            },
            [] { return std::optional<Value>(); });
    }

} // namespace

Server::Server(ServerSettings settings, Database database, std::unique_ptr<Journal> journal)
    : settings_(std::move(settings))
    , database_(std::move(database))
    , journal_(std::move(journal))
    , now_(Clock::now())
{
    announcer_.started_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

Server::~Server()
{
    if (context_ != nullptr)
        lws_context_destroy(context_);
}

int Server::run()
{
    // The first protocol is the one of clients that name none.
    static const lws_protocols protocols[] = {
        { "endpoint", &Server::serveEndpoint, sizeof(ConnectionNumber), 0, 0, nullptr, 0 },
        { "replication", &Server::serveReplication, sizeof(ConnectionNumber), 0, 0, nullptr, 0 },
        { "announce", &Server::serveAnnouncement, 0, 0, 0, nullptr, 0 },
        { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
    };
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info {};
    wakeUp_.server_ = this;
    info.port = settings_.port_;
    info.iface = settings_.listenAddress_.c_str();
    info.protocols = protocols;
    info.user = this;
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    info.pt_serv_buf_size = 64U << 10U;
    // Room for connections that are being refused, replicas, and the stand-in's own clients.
    info.fd_limit_per_thread = settings_.connections_ + 256;
    context_ = lws_create_context(&info);
    if (context_ == nullptr) {
        BOOST_LOG_TRIVIAL(error) << "cannot listen on " << settings_.listenAddress_ << ':' << settings_.port_
                                 << "; choose a free port";
        return 1;
    }
    BOOST_LOG_TRIVIAL(info) << settings_.id_ << " listens on " << settings_.listenAddress_ << ':' << settings_.port_
                            << ", last position " << lastPosition(database_);
    announce();
    finishRound();
    while (!mayExit()) {
        if (lws_service(context_, 0) < 0)
            return 1;
        finishRound();
    }
    BOOST_LOG_TRIVIAL(info) << settings_.id_ << " exits";
    return 0;
}

void Server::leave()
{
    isLeaveRequested_ = true;
    if (context_ != nullptr)
        lws_cancel_service(context_);
}

bool Server::mayExit() const
{
    if (!database_.isLeaving_ || now_ < leaveTime_ + settings_.leaveDelay_)
        return false;
    if (now_ >= leaveTime_ + longestLeave)
        return true;
    return database_.transactions_.empty() && running_ == 0 && waiting_.empty()
        && std::ranges::all_of(connections_, [](const auto& item) { return item.second.output_.empty(); });
}

void Server::at(TimePoint time, std::function<void()> action)
{
    timers_.emplace(time, std::move(action));
}

// Called after each round of socket events.
void Server::finishRound()
{
    now_ = Clock::now();
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        const auto action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
    }
    if (isLeaveRequested_ && !database_.isLeaving_) {
        BOOST_LOG_TRIVIAL(info) << settings_.id_ << " is leaving";
        database_.isLeaving_ = true;
        leaveTime_ = now_;
        at(now_ + settings_.leaveDelay_, [] {});
        at(now_ + longestLeave, [] {});
        announce();
    }
    useEntries();
    supervisePuller();
    answerPulls();
    sendReports();
    releaseHeld();
    if (!timers_.empty()) {
        const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(timers_.begin()->first - now_);
        // The round is finished within the timer's callback: lws_service() runs due timers before it waits for socket
        // events and would wait on.
        lws_sul_schedule(
            context_, 0, &wakeUp_.timer_,
            [](lws_sorted_usec_list_t* timer) { reinterpret_cast<WakeUp*>(timer)->server_->finishRound(); },
            std::max<lws_usec_t>(wait.count(), 1));
    }
    if (mayExit())
        lws_cancel_service(context_);
}

void Server::releaseHeld()
{
    if (!database_.journal_.empty()) {
        if (journal_) {
            boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void> { return journal_->append(database_.journal_); },
                [](const JournalError& error) {
                    // The state in memory is ahead of the disk, so nothing may be answered any more.
                    BOOST_LOG_TRIVIAL(fatal) << error.message_;
                    std::_Exit(2);
                },
                [] { std::_Exit(2); });
        }
        database_.journal_.clear();
    }
    for (auto& [number, text] : held_) {
        const auto found = connections_.find(number);
        if (found == connections_.end())
            continue;
        found->second.output_.push_back(std::move(text));
        lws_callback_on_writable(found->second.socket_);
    }
    held_.clear();
}

// ---- Accepted connections ----

int Server::serveEndpoint(lws* socket, lws_callback_reasons reason, void* user, void* data, std::size_t size)
{
    if (reason == LWS_CALLBACK_HTTP)
        return -1;
    return serverOf(socket).acceptEvent(socket, reason, static_cast<ConnectionNumber*>(user),
        { static_cast<const char*>(data), data == nullptr ? 0 : size }, false);
}

int Server::serveReplication(lws* socket, lws_callback_reasons reason, void* user, void* data, std::size_t size)
{
    const std::string_view content { static_cast<const char*>(data), data == nullptr ? 0 : size };
    auto& server = serverOf(socket);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
    case LWS_CALLBACK_CLIENT_RECEIVE:
    case LWS_CALLBACK_CLIENT_WRITEABLE:
    case LWS_CALLBACK_CLIENT_CLOSED:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        return server.pullEvent(socket, reason, content);
    default:
        return server.acceptEvent(socket, reason, static_cast<ConnectionNumber*>(user), content, true);
    }
}

int Server::acceptEvent(
    lws* socket, lws_callback_reasons reason, ConnectionNumber* number, std::string_view data, bool isReplica)
{
    // Events of the listener and of handshakes have no connection.
    if (number == nullptr)
        return 0;
    switch (reason) {
    case LWS_CALLBACK_ESTABLISHED:
        *number = ++lastConnection_;
        openConnection(socket, *number, isReplica);
        return 0;
    case LWS_CALLBACK_RECEIVE: {
        auto& connection = connections_.at(*number);
        if (connection.isClosing_)
            return 0;
        if (!assemble(connection.received_, data))
            return -1;
        if (isWholeMessage(socket))
            receive(*number, std::exchange(connection.received_, {}));
        return 0;
    }
    case LWS_CALLBACK_SERVER_WRITEABLE:
        return writeNext(connections_.at(*number));
    case LWS_CALLBACK_CLOSED:
        closeConnection(*number);
        return 0;
    default:
        return 0;
    }
}

void Server::openConnection(lws* socket, ConnectionNumber number, bool isReplica)
{
    auto& connection = connections_[number];
    connection.socket_ = socket;
    connection.isReplica_ = isReplica;
    if (!isReplica && ++connectionCount_ > settings_.connections_) {
        answer(number, 0, NotRunResponse { EndpointRefusal::ConnectionLimit, database_.role_.promisedTerm_, {} });
        connection.isClosing_ = true;
        return;
    }
    if (isReplica) {
        connection.isReady_ = true;
        return;
    }
    at(Clock::now() + settings_.connectDelay_, [this, number] {
        const auto found = connections_.find(number);
        if (found == connections_.end())
            return;
        found->second.isReady_ = true;
        pump(number);
    });
}

void Server::closeConnection(ConnectionNumber number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return;
    if (!found->second.isReplica_)
        --connectionCount_;
    connections_.erase(found);
    std::erase_if(waiting_, [&](const WaitingRun& run) { return run.connection_ == number; });
    endConnection(database_, number);
}

int Server::writeNext(Connection& connection)
{
    if (!connection.output_.empty()) {
        if (writeText(connection.socket_, connection.output_.front()) != 0)
            return -1;
        connection.output_.pop_front();
        if (!connection.output_.empty() || connection.isClosing_)
            lws_callback_on_writable(connection.socket_);
        return 0;
    }
    if (!connection.isClosing_)
        return 0;
    lws_close_reason(connection.socket_, LWS_CLOSE_STATUS_POLICY_VIOLATION, nullptr, 0);
    return -1;
}

void Server::receive(ConnectionNumber number, std::string_view message)
{
    auto& connection = connections_.at(number);
    if (connection.isReplica_) {
        const auto request = valueOf([&] { return decodePullRequest(message); });
        if (request)
            connection.pull_ = ParkedPull { *request, Clock::now() + emptyPullInterval };
        return;
    }
    auto request = valueOf([&] { return decodeEndpointRequest(message); });
    if (!request || connection.requests_.size() >= maxQueuedRequests) {
        answer(number, 0, NotRunResponse { EndpointRefusal::Malformed, database_.role_.promisedTerm_, {} });
        connection.isClosing_ = true;
        return;
    }
    connection.requests_.push_back(std::move(*request));
    pump(number);
}

void Server::answer(ConnectionNumber number, ExchangeNumber exchange, EndpointResult result)
{
    held_.emplace_back(number, encodeEndpointResponse({ exchange, std::move(result) }));
}

// Carries out the requests of a connection in their order.
void Server::pump(ConnectionNumber number)
{
    auto& connection = connections_.at(number);
    while (connection.isReady_ && !connection.isBusy_ && !connection.requests_.empty()) {
        const auto request = std::move(connection.requests_.front());
        connection.requests_.pop_front();
        if (std::holds_alternative<HelloRequest>(request.operation_)) {
            answer(number, request.exchange_, HelloResponse { settings_.id_, number });
        } else if (const auto* watch = std::get_if<WatchRequest>(&request.operation_)) {
            connection.watch_ = Watch { request.exchange_, watch->interval_, {}, {} };
        } else if (const auto* run = std::get_if<RunRequest>(&request.operation_)) {
            connection.isBusy_ = true;
            waiting_.push_back({ number, request.exchange_, *run });
            startRuns();
        } else {
            answer(number, request.exchange_, execute(database_, number, request.operation_));
        }
    }
}

void Server::startRuns()
{
    while (running_ < settings_.slots_ && !waiting_.empty()) {
        auto run = std::move(waiting_.front());
        waiting_.pop_front();
        ++running_;
        const auto time = settings_.serviceTime_ * static_cast<int>(run.request_.statements_.size());
        at(Clock::now() + time, [this, run = std::move(run)] { finishRun(run); });
    }
}

// The statements take effect at the end of the service time, all at once. A run whose connection has ended in the
// meantime takes effect too, as in a database that does not notice the loss of the client.
void Server::finishRun(const WaitingRun& run)
{
    --running_;
    auto result = execute(database_, run.connection_, run.request_);
    const auto found = connections_.find(run.connection_);
    if (found != connections_.end()) {
        answer(run.connection_, run.exchange_, std::move(result));
        found->second.isBusy_ = false;
        pump(run.connection_);
    }
    startRuns();
}

void Server::sendReports()
{
    std::optional<TimePoint> next;
    const auto report = makeReport(database_);
    for (auto& [number, connection] : connections_) {
        if (!connection.watch_)
            continue;
        auto& watch = *connection.watch_;
        // Reports do not pile up behind a connection that takes none; the current one follows when it does.
        if (connection.output_.empty() && (watch.sent_ != report || watch.due_ <= now_)) {
            answer(number, watch.exchange_, report);
            watch.sent_ = report;
            watch.due_ = now_ + watch.interval_;
            at(watch.due_, [] {});
        }
    }
}

void Server::answerPulls()
{
    for (auto& [number, connection] : connections_) {
        if (!connection.pull_)
            continue;
        auto& pull = *connection.pull_;
        auto found = answerPull(database_, pull.request_);
        if (!found && pull.due_ <= now_)
            found = PullAnswer { pull.request_.term_, true, pull.request_.position_, lastPosition(database_), {} };
        if (found) {
            held_.emplace_back(number, encodePullAnswer(*found));
            connection.pull_.reset();
        } else {
            at(pull.due_, [] {});
        }
    }
}

// ---- Pulling from the primary ----

lws* Server::connect(const std::string& address, const char* protocol, const char* method, lws** socket)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return nullptr;
    const auto host = address.substr(0, colon);
    lws_client_connect_info info {};
    info.context = context_;
    info.address = host.c_str();
    info.port = std::atoi(address.c_str() + colon + 1);
    info.path = method == nullptr ? "/" : "/v1/announce";
    info.host = address.c_str();
    info.origin = address.c_str();
    info.method = method;
    info.protocol = method == nullptr ? protocol : nullptr;
    info.local_protocol_name = protocol;
    info.pwsi = socket;
    return lws_client_connect_via_info(&info);
}

int Server::pullEvent(lws* socket, lws_callback_reasons reason, std::string_view data)
{
    // Events of a connection that was given up.
    if (socket != puller_.socket_)
        return reason == LWS_CALLBACK_CLIENT_CLOSED || reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR ? 0 : -1;
    switch (reason) {
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
        puller_.isOpen_ = true;
        return 0;
    case LWS_CALLBACK_CLIENT_RECEIVE:
        if (!assemble(puller_.received_, data))
            return -1;
        if (isWholeMessage(socket))
            receiveEntries(std::exchange(puller_.received_, {}));
        return 0;
    case LWS_CALLBACK_CLIENT_WRITEABLE:
        return puller_.output_.empty() ? 0 : writeText(socket, std::exchange(puller_.output_, {}));
    default:
        puller_.socket_ = nullptr;
        closePuller();
        puller_.retry_ = Clock::now() + pullRetry;
        return 0;
    }
}

void Server::closePuller()
{
    if (puller_.socket_ != nullptr)
        lws_set_timeout(std::exchange(puller_.socket_, nullptr), PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    puller_.isOpen_ = false;
    puller_.isWaiting_ = false;
    puller_.received_.clear();
    puller_.output_.clear();
}

void Server::connectPuller()
{
    puller_.sent_ = now_;
    puller_.retry_ = now_ + pullRetry;
    if (connect(puller_.source_.primaryAddress_, "replication", nullptr, &puller_.socket_) == nullptr)
        puller_.socket_ = nullptr;
}

void Server::supervisePuller()
{
    if (puller_.source_ != database_.role_) {
        closePuller();
        puller_.entries_.clear();
        puller_.next_.reset();
        puller_.source_ = database_.role_;
        puller_.retry_ = now_;
        BOOST_LOG_TRIVIAL(info) << settings_.id_ << " promised term " << database_.role_.promisedTerm_ << ", primary '"
                                << database_.role_.primary_ << '\'';
    }
    auto pull = nextPull(database_);
    if (!pull)
        return;
    const bool isUnanswered = puller_.isWaiting_ || (puller_.socket_ != nullptr && !puller_.isOpen_);
    if (isUnanswered && now_ >= puller_.sent_ + pullTimeout)
        closePuller();
    if (now_ < puller_.retry_) {
        at(puller_.retry_, [] {});
        return;
    }
    if (puller_.socket_ == nullptr) {
        connectPuller();
    } else if (puller_.isOpen_ && !puller_.isWaiting_ && puller_.entries_.size() < maxReceivedBatches) {
        pull->position_ = puller_.next_.value_or(pull->position_);
        puller_.output_ = encodePullRequest(*pull);
        puller_.isWaiting_ = true;
        puller_.sent_ = now_;
        lws_callback_on_writable(puller_.socket_);
    } else {
        return;
    }
    at(now_ + pullTimeout, [] {});
}

void Server::receiveEntries(std::string_view message)
{
    puller_.isWaiting_ = false;
    auto answer = valueOf([&] { return decodePullAnswer(message); });
    if (!answer) {
        closePuller();
        return;
    }
    const auto now = Clock::now();
    if (answer->term_ != puller_.source_.promisedTerm_) {
        puller_.retry_ = now + pullRetry;
        return;
    }
    if (answer->isMatch_)
        puller_.next_ = answer->entries_.empty() ? answer->position_ : answer->entries_.back().position_;
    // Only entries lag; the search for the common position does not.
    const auto due = answer->entries_.empty() ? now : now + settings_.lag_;
    puller_.entries_.push_back({ due, std::move(*answer) });
    at(due, [] {});
}

void Server::useEntries()
{
    if (puller_.source_ != database_.role_)
        return;
    while (!puller_.entries_.empty() && puller_.entries_.front().due_ <= now_) {
        const auto received = std::move(puller_.entries_.front());
        puller_.entries_.pop_front();
        if (!takeEntries(database_, received.answer_)) {
            puller_.entries_.clear();
            puller_.next_.reset();
        }
    }
}

// ---- Announcements ----

void Server::announce()
{
    if (settings_.announceAddresses_.empty())
        return;
    const auto report = makeReport(database_);
    announcer_.body_ = encodeEndpointAnnouncement({ settings_.id_, settings_.group_,
        settings_.announcedAddress_.empty() ? settings_.listenAddress_ + ':' + std::to_string(settings_.port_)
                                            : settings_.announcedAddress_,
        settings_.dataCentre_, settings_.slots_, settings_.connections_, report.role_, report.promisedTerm_,
        report.leaving_, announcer_.started_, ++announcer_.sequence_ });
    announcer_.attempts_ = settings_.announceAddresses_.size();
    const auto sequence = announcer_.sequence_;
    at(Clock::now() + announceInterval, [this, sequence] {
        // The announcement of the exit has started a series of its own.
        if (sequence == announcer_.sequence_)
            announce();
    });
    tryAnnounce();
}

void Server::tryAnnounce()
{
    if (announcer_.socket_ != nullptr)
        lws_set_timeout(std::exchange(announcer_.socket_, nullptr), PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    if (announcer_.attempts_ == 0)
        return;
    --announcer_.attempts_;
    const auto& address = settings_.announceAddresses_[announcer_.next_];
    announcer_.next_ = (announcer_.next_ + 1) % settings_.announceAddresses_.size();
    const auto attempt = ++announcer_.attempt_;
    at(Clock::now() + announceTimeout, [this, attempt] {
        if (attempt == announcer_.attempt_ && announcer_.socket_ != nullptr)
            endAnnounce(false);
    });
    if (connect(address, "announce", "POST", &announcer_.socket_) == nullptr)
        announcer_.socket_ = nullptr;
}

void Server::endAnnounce(bool isDone)
{
    if (isDone)
        announcer_.attempts_ = 0;
    // Not within the callback of the socket that ends.
    at(Clock::now(), [this, attempt = announcer_.attempt_] {
        if (attempt == announcer_.attempt_)
            tryAnnounce();
    });
}

int Server::serveAnnouncement(lws* socket, lws_callback_reasons reason, void*, void* data, std::size_t size)
{
    return serverOf(socket).announceEvent(socket, reason, data, size);
}

int Server::announceEvent(lws* socket, lws_callback_reasons reason, void* data, std::size_t size)
{
    if (socket != announcer_.socket_)
        return 0;
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
        auto** place = static_cast<unsigned char**>(data);
        auto* end = *place + size;
        const auto add = [&](const char* name, const std::string& value) {
            return lws_add_http_header_by_name(socket, reinterpret_cast<const unsigned char*>(name),
                       reinterpret_cast<const unsigned char*>(value.data()), static_cast<int>(value.size()), place, end)
                == 0;
        };
        if (!add("content-type:", "application/json")
            || !add("content-length:", std::to_string(announcer_.body_.size()))
            || (!settings_.credential_.empty() && !add("authorization:", "Bearer " + settings_.credential_)))
            return -1;
        lws_client_http_body_pending(socket, 1);
        lws_callback_on_writable(socket);
        return 0;
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE: {
        std::vector<unsigned char> buffer(LWS_PRE + announcer_.body_.size());
        std::memcpy(buffer.data() + LWS_PRE, announcer_.body_.data(), announcer_.body_.size());
        lws_client_http_body_pending(socket, 0);
        const auto written = lws_write(socket, buffer.data() + LWS_PRE, announcer_.body_.size(), LWS_WRITE_HTTP_FINAL);
        return written < static_cast<int>(announcer_.body_.size()) ? -1 : 0;
    }
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP: {
        const auto status = lws_http_client_http_response(socket);
        endAnnounce(status >= 200 && status < 300);
        return 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
        char buffer[LWS_PRE + 1024];
        char* place = buffer + LWS_PRE;
        int length = 1024;
        return lws_http_client_read(socket, &place, &length) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        announcer_.socket_ = nullptr;
        endAnnounce(false);
        return 0;
    default:
        return 0;
    }
}

} // namespace cassiahollow::standin
