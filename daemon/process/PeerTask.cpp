#include "process/PeerTask.h"

#include <cstring>
#include <list>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <unordered_map>

namespace cassiahollow {

namespace {

    constexpr int sendQueueMessages = 256; // A peer that is gone for long must not hold more than this in memory.
    // A machine without power does not answer, and the system repeats an opening packet only after a second. An attempt
    // that takes longer than this is given up for a new one.
    constexpr auto dialTime = std::chrono::milliseconds(200);
    constexpr nng_duration reconnectMinMs = 50;
    constexpr nng_duration reconnectMaxMs = 200; // A restarted peer has to be heard well within an election.

} // namespace

namespace {

    // Which sockets have a connection. nng reports changes on threads of its own, perhaps after a socket was closed, so
    // the reports name the socket by a number and not by an address.
    class ConnectedSockets {
    public:
        std::uintptr_t add()
        {
            const std::lock_guard lock(mutex_);
            connections_[++last_] = 0;
            return last_;
        }
        void remove(std::uintptr_t number)
        {
            const std::lock_guard lock(mutex_);
            connections_.erase(number);
        }
        void change(std::uintptr_t number, int difference)
        {
            const std::lock_guard lock(mutex_);
            if (const auto found = connections_.find(number); found != connections_.end())
                found->second += difference;
        }
        bool isConnected(std::uintptr_t number) const
        {
            const std::lock_guard lock(mutex_);
            const auto found = connections_.find(number);
            return found != connections_.end() && found->second > 0;
        }

    private:
        mutable std::mutex mutex_;
        std::uintptr_t last_ { 0 };
        std::unordered_map<std::uintptr_t, int> connections_;
    };

    ConnectedSockets& connectedSockets()
    {
        static ConnectedSockets sockets;
        return sockets;
    }

    void connectionChanged(nng_pipe, nng_pipe_ev event, void* argument)
    {
        const auto number = reinterpret_cast<std::uintptr_t>(argument);
        connectedSockets().change(number, event == NNG_PIPE_EV_ADD_POST ? 1 : -1);
    }

} // namespace

struct PeerTask::Sockets {
    struct Peer {
        nng_socket socket_ NNG_SOCKET_INITIALIZER;
        std::uintptr_t number_ { 0 };
        TimePoint dialed_;
        std::list<std::string>::iterator recent_;
    };

    nng_socket listener_ NNG_SOCKET_INITIALIZER;
    nng_aio* aio_ { nullptr };
    std::unordered_map<std::string, Peer> peers_;
    std::list<std::string> recentlyUsed_; // Most recent first.
};

PeerTask::PeerTask(PeerTaskOptions options, Receive receive, Count count)
    : options_(std::move(options))
    , incarnation_(options_.incarnation_)
    , receive_(std::move(receive))
    , count_(std::move(count))
    , sockets_(std::make_unique<Sockets>())
{
}

PeerTask::~PeerTask()
{
    if (sockets_->aio_) {
        nng_aio_stop(sockets_->aio_);
        nng_aio_free(sockets_->aio_);
    }
    nng_close(sockets_->listener_);
    for (auto& [address, peer] : sockets_->peers_)
        nng_close(peer.socket_);
}

boost::leaf::result<void> PeerTask::start()
{
    int error = nng_pull0_open(&sockets_->listener_);
    if (error == 0)
        error = nng_socket_set_size(sockets_->listener_, NNG_OPT_RECVMAXSZ, maxPeerMessageBytes);
    if (error == 0)
        error = nng_listen(sockets_->listener_, ("tcp://" + options_.listenAddress_).c_str(), nullptr, 0);
    if (error == 0)
        error = nng_aio_alloc(&sockets_->aio_, &PeerTask::received, this);
    if (error != 0)
        return boost::leaf::new_error(Failure {
            Reason::SettingsInvalid, "listen.peers " + options_.listenAddress_ + ": " + nng_strerror(error) });
    receiveNext();
    return {};
}

void PeerTask::receiveNext()
{
    nng_recv_aio(sockets_->listener_, sockets_->aio_);
}

void PeerTask::received(void* argument)
{
    auto& self = *static_cast<PeerTask*>(argument);
    const int error = nng_aio_result(self.sockets_->aio_);
    if (error == NNG_ECLOSED || error == NNG_ECANCELED)
        return;
    if (error == 0) {
        nng_msg* message = nng_aio_get_msg(self.sockets_->aio_);
        const std::string_view bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
        self.bytesReceived_.fetch_add(bytes.size(), std::memory_order_relaxed);
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(decoded, decodePeerMessage(bytes, self.options_.deploymentKey_));
                self.receive_(std::move(decoded));
                return {};
            },
            [&](const Failure& failure) { self.count_(failure.reason_); },
            [&] { self.count_(Reason::MessageMalformed); });
        nng_msg_free(message);
    }
    self.receiveNext();
}

void PeerTask::reconnect(const std::string& address)
{
    const auto found = sockets_->peers_.find(address);
    if (found == sockets_->peers_.end())
        return;
    connectedSockets().remove(found->second.number_);
    nng_close(found->second.socket_);
    sockets_->recentlyUsed_.erase(found->second.recent_);
    sockets_->peers_.erase(found);
}

void PeerTask::send(const std::string& address, PeerMessageKind kind, std::string body)
{
    auto found = sockets_->peers_.find(address);
    const bool isStuck = found != sockets_->peers_.end() && Clock::now() - found->second.dialed_ > dialTime
        && !connectedSockets().isConnected(found->second.number_);
    if (isStuck) {
        reconnect(address);
        found = sockets_->peers_.end();
    }
    if (found == sockets_->peers_.end()) {
        Sockets::Peer peer;
        peer.dialed_ = Clock::now();
        peer.number_ = connectedSockets().add();
        if (nng_push0_open(&peer.socket_) != 0) {
            count_(Reason::MessageQueueFull);
            return;
        }
        nng_socket_set_int(peer.socket_, NNG_OPT_SENDBUF, sendQueueMessages);
        nng_socket_set_ms(peer.socket_, NNG_OPT_RECONNMINT, reconnectMinMs);
        nng_socket_set_ms(peer.socket_, NNG_OPT_RECONNMAXT, reconnectMaxMs);
        for (const auto event : { NNG_PIPE_EV_ADD_POST, NNG_PIPE_EV_REM_POST })
            nng_pipe_notify(peer.socket_, event, &connectionChanged, reinterpret_cast<void*>(peer.number_));
        nng_dial(peer.socket_, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        sockets_->recentlyUsed_.push_front(address);
        peer.recent_ = sockets_->recentlyUsed_.begin();
        found = sockets_->peers_.emplace(address, peer).first;
        if (sockets_->peers_.size() > options_.maxPeers_) {
            const auto oldest = sockets_->peers_.find(sockets_->recentlyUsed_.back());
            connectedSockets().remove(oldest->second.number_);
            nng_close(oldest->second.socket_);
            sockets_->peers_.erase(oldest);
            sockets_->recentlyUsed_.pop_back();
        }
    }
    sockets_->recentlyUsed_.splice(sockets_->recentlyUsed_.begin(), sockets_->recentlyUsed_, found->second.recent_);
    const std::string bytes = encodePeerMessage(
        { options_.self_, incarnation_, options_.listenAddress_, kind, std::move(body) }, options_.deploymentKey_);
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, bytes.size()) != 0) {
        count_(Reason::MessageQueueFull);
        return;
    }
    std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
    if (nng_sendmsg(found->second.socket_, message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
        count_(Reason::MessageQueueFull);
        return;
    }
    bytesSent_.fetch_add(bytes.size(), std::memory_order_relaxed);
}

} // namespace cassiahollow
