#pragma once

#include "cassiahollow/process/PeerMessage.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace cassiahollow {

/// What a peer task needs; all of it is fixed for the life of the process.
struct PeerTaskOptions {
    InstanceId self_;
    Incarnation incarnation_ { 0 };
    std::string listenAddress_; ///< ip:port
    std::string deploymentKey_;
    std::size_t maxPeers_ { 1024 }; ///< Dialers kept open; the least recently used one is closed above it.
};

/// Owns the nng sockets: one pull socket that receives from all instances, one push socket for each peer that this
/// instance sends to. Sending never blocks; a message to a peer whose queue is full is dropped and counted.
class PeerTask {
public:
    using Receive = std::function<void(PeerMessage)>;
    using Count = std::function<void(Reason)>;

    /// \param receive called on a thread of nng for each authentic message; may only post.
    /// \param count called on any thread for each message that is dropped.
    PeerTask(PeerTaskOptions, Receive receive, Count count);
    ~PeerTask();
    PeerTask(const PeerTask&) = delete;
    PeerTask& operator=(const PeerTask&) = delete;

    /// Opens the listener. Errors: the address is not free or not valid.
    boost::leaf::result<void> start();

    /// Sends to the peer listener at an address (ip:port). Delivery is not assured. Call on one thread only.
    void send(const std::string& address, PeerMessageKind, std::string body);

    /// Raises the incarnation that messages carry. Call on the sending thread.
    void setIncarnation(Incarnation incarnation) { incarnation_ = incarnation; }

    /// Closes the connection to a peer, if there is one, so that the next message opens a new one. For a peer that
    /// does not answer: its connection may have gone silent while a new one works.
    void reconnect(const std::string& address);

    /// Bytes sent and received since the start, for the control cost of the node.
    std::uint64_t bytesSent() const { return bytesSent_.load(std::memory_order_relaxed); }
    std::uint64_t bytesReceived() const { return bytesReceived_.load(std::memory_order_relaxed); }

private:
    struct Sockets;

    void receiveNext();
    static void received(void* self);

    const PeerTaskOptions options_;
    Incarnation incarnation_;
    const Receive receive_;
    const Count count_;
    std::unique_ptr<Sockets> sockets_;
    std::atomic<std::uint64_t> bytesSent_ { 0 };
    std::atomic<std::uint64_t> bytesReceived_ { 0 };
};

} // namespace cassiahollow
