#include "FaultRelay.h"

#include "Ports.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <future>
#include <vector>

namespace cassiahollow::testing {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

    struct Chunk {
        Clock::time_point due_;
        std::vector<char> bytes_; ///< Empty for the end of the stream.
    };

} // namespace

/// One direction of one connection.
struct FaultRelay::Stream {
    Direction direction_;
    tcp::socket& from_;
    tcp::socket& to_;
    boost::asio::steady_timer timer_;
    bool isSilent_ { false };
    bool isWriting_ { false };
    std::deque<Chunk> chunks_;
    std::array<char, 16384> buffer_;
};

struct FaultRelay::Connection {
    tcp::socket client_;
    tcp::socket target_;
    Stream toTarget_;
    Stream toClient_;

    Connection(tcp::socket client, boost::asio::io_context& context)
        : client_(std::move(client))
        , target_(context)
        , toTarget_ { Direction::ToTarget, client_, target_, boost::asio::steady_timer(context), false, false, {}, {} }
        , toClient_ { Direction::ToClient, target_, client_, boost::asio::steady_timer(context), false, false, {}, {} }
    {
    }

    void close()
    {
        error_code ignored;
        client_.close(ignored);
        target_.close(ignored);
        toTarget_.timer_.cancel();
        toClient_.timer_.cancel();
    }
};

FaultRelay::FaultRelay(std::uint16_t targetPort)
    : work_(boost::asio::make_work_guard(context_))
    , acceptor_(context_)
    , targetPort_(targetPort)
    , port_(freePort())
{
    startAccepting();
    thread_ = std::thread([this] { context_.run(); });
}

FaultRelay::~FaultRelay()
{
    context_.stop();
    thread_.join();
}

std::string FaultRelay::address() const
{
    return loopbackAddress(port_);
}

// Runs a change on the relay's thread and waits for its end.
void FaultRelay::call(const std::function<void()>& change)
{
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        std::erase_if(connections_, [](const auto& connection) { return connection.expired(); });
        change();
        done.set_value();
    });
    done.get_future().wait();
}

void FaultRelay::setMode(Direction direction, RelayMode mode)
{
    call([&] {
        modes_[static_cast<int>(direction)] = mode;
        for (const auto& item : connections_) {
            if (const auto connection = item.lock()) {
                wakeWriter(connection, connection->toTarget_);
                wakeWriter(connection, connection->toClient_);
            }
        }
    });
}

void FaultRelay::setDelay(Direction direction, std::chrono::milliseconds delay)
{
    call([&] { delays_[static_cast<int>(direction)] = delay; });
}

void FaultRelay::silenceOpenConnections()
{
    call([&] {
        for (const auto& item : connections_) {
            if (const auto connection = item.lock()) {
                connection->toTarget_.isSilent_ = true;
                connection->toClient_.isSilent_ = true;
            }
        }
    });
}

void FaultRelay::setRefusing(bool isRefusing)
{
    call([&] {
        if (isRefusing)
            acceptor_.close();
        else if (!acceptor_.is_open())
            startAccepting();
    });
}

void FaultRelay::cut()
{
    call([&] {
        for (const auto& item : connections_) {
            if (const auto connection = item.lock()) {
                error_code ignored;
                // With a linger time of 0, close sends a reset.
                connection->client_.set_option(tcp::socket::linger(true, 0), ignored);
                connection->target_.set_option(tcp::socket::linger(true, 0), ignored);
                connection->close();
            }
        }
    });
}

std::size_t FaultRelay::openConnections()
{
    std::size_t count = 0;
    call([&] {
        for (const auto& item : connections_) {
            const auto connection = item.lock();
            count += connection && connection->client_.is_open() ? 1 : 0;
        }
    });
    return count;
}

std::size_t FaultRelay::acceptedConnections()
{
    std::size_t count = 0;
    call([&] { count = accepted_; });
    return count;
}

void FaultRelay::startAccepting()
{
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind({ boost::asio::ip::address_v4::loopback(), port_ });
    acceptor_.listen();
    accept();
}

void FaultRelay::accept()
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (!error)
            serve(std::move(socket));
        accept();
    });
}

void FaultRelay::serve(tcp::socket socket)
{
    ++accepted_;
    const auto connection = std::make_shared<Connection>(std::move(socket), context_);
    connections_.push_back(connection);
    connection->client_.set_option(tcp::no_delay(true));
    connection->target_.async_connect(
        { boost::asio::ip::address_v4::loopback(), targetPort_ }, [this, connection](error_code error) {
            if (error) {
                connection->close();
                return;
            }
            connection->target_.set_option(tcp::no_delay(true));
            startReading(connection, connection->toTarget_);
            startReading(connection, connection->toClient_);
        });
}

void FaultRelay::startReading(const std::shared_ptr<Connection>& connection, Stream& stream)
{
    stream.from_.async_read_some(
        boost::asio::buffer(stream.buffer_), [this, connection, &stream](error_code error, std::size_t size) {
            if (!stream.from_.is_open())
                return;
            const auto direction = static_cast<int>(stream.direction_);
            if (modes_[direction] == RelayMode::Drop)
                stream.isSilent_ = true;
            if (!stream.isSilent_) {
                const auto bytes = error ? 0 : size;
                stream.chunks_.push_back(
                    { Clock::now() + delays_[direction], { stream.buffer_.data(), stream.buffer_.data() + bytes } });
                wakeWriter(connection, stream);
            }
            if (!error)
                startReading(connection, stream);
        });
}

void FaultRelay::wakeWriter(const std::shared_ptr<Connection>& connection, Stream& stream)
{
    const auto mode = modes_[static_cast<int>(stream.direction_)];
    if (mode == RelayMode::Drop && !stream.chunks_.empty())
        stream.isSilent_ = true;
    if (stream.isWriting_ || stream.isSilent_ || stream.chunks_.empty() || mode == RelayMode::Hold)
        return;
    stream.isWriting_ = true;
    stream.timer_.expires_at(stream.chunks_.front().due_);
    stream.timer_.async_wait([this, connection, &stream](error_code error) {
        stream.isWriting_ = false;
        if (error || stream.chunks_.empty())
            return;
        // The mode may have changed while the bytes were delayed.
        const auto current = modes_[static_cast<int>(stream.direction_)];
        if (current == RelayMode::Pass && !stream.isSilent_)
            writeNext(connection, stream);
        else
            wakeWriter(connection, stream);
    });
}

void FaultRelay::writeNext(const std::shared_ptr<Connection>& connection, Stream& stream)
{
    const auto& bytes = stream.chunks_.front().bytes_;
    if (bytes.empty()) {
        connection->close();
        return;
    }
    stream.isWriting_ = true;
    boost::asio::async_write(
        stream.to_, boost::asio::buffer(bytes), [this, connection, &stream](error_code error, std::size_t) {
            stream.isWriting_ = false;
            stream.chunks_.pop_front();
            if (error)
                connection->close();
            else
                wakeWriter(connection, stream);
        });
}

} // namespace cassiahollow::testing
