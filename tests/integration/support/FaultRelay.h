#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>

namespace cassiahollow::testing {

enum class Direction : std::uint8_t {
    ToTarget,
    ToClient,
};

/// What happens to bytes of one direction.
enum class RelayMode : std::uint8_t {
    Pass,
    /// Bytes and ends of connections are discarded. A connection that has lost bytes stays silent in this direction for
    /// good, because its stream has a gap.
    Drop,
    /// Bytes are kept and passed on after the mode is Pass again, as TCP does after a short cut.
    Hold,
};

/// A TCP relay in front of a loopback port that injects network faults. It runs on a thread of its own; all functions
/// return after the change is in force.
class FaultRelay {
public:
    explicit FaultRelay(std::uint16_t targetPort);
    FaultRelay(const FaultRelay&) = delete;
    FaultRelay& operator=(const FaultRelay&) = delete;
    ~FaultRelay();

    std::uint16_t port() const { return port_; }
    std::string address() const;

    /// Sets the mode of one direction of all connections, open and new. Drop in one direction is a one-way cut.
    void setMode(Direction, RelayMode);
    /// Delays all bytes of one direction that arrive from now on.
    void setDelay(Direction, std::chrono::milliseconds);
    /// Silences the open connections in both directions for good; new connections are not affected.
    void silenceOpenConnections();
    /// Refuses new connections, or accepts them again.
    void setRefusing(bool);
    /// Resets all open connections.
    void cut();

    /// Connections that are open on the client's side.
    std::size_t openConnections();
    /// Connections accepted since the start.
    std::size_t acceptedConnections();

private:
    struct Connection;
    struct Stream;

    void call(const std::function<void()>&);
    void startAccepting();
    void accept();
    void serve(boost::asio::ip::tcp::socket);
    void startReading(const std::shared_ptr<Connection>&, Stream&);
    void wakeWriter(const std::shared_ptr<Connection>&, Stream&);
    void writeNext(const std::shared_ptr<Connection>&, Stream&);

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t targetPort_;
    std::uint16_t port_;
    RelayMode modes_[2] { RelayMode::Pass, RelayMode::Pass };
    std::chrono::milliseconds delays_[2] {};
    std::size_t accepted_ { 0 };
    std::list<std::weak_ptr<Connection>> connections_;
    std::thread thread_;
};

} // namespace cassiahollow::testing
