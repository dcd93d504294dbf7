#include "cassiahollow/process/PeerMessage.h"
#include "process/EventLog.h"
#include "request/GatewayState.h"

// Statements of other instances' clients, which run here because this instance holds the connections to their group.
namespace cassiahollow {

namespace {

    // Operations of one peer at once; far more than its clients have.
    constexpr std::size_t maximumOperations = 10000;
    // Replies that wait for a peer to read them. Above, its further operations are refused.
    constexpr std::size_t maximumReplyBytes = 8 << 20;

} // namespace

void StatementGateway::acceptPeer(const LineChannelPtr& channel)
{
    const PeerPtr peer(new Peer);
    peer->channel_ = channel;
    peers_.insert(peer);
    channel->setHandlers({ .opened_ = {},
        .received_ = [this, peer](std::string_view bytes) { return receiveFromPeer(peer, bytes); },
        .closed_ = [this, peer] { peerLost(peer); } });
    if (shuttingDown_)
        channel->send(encodeHolderMessage(HolderLeaving {}));
}

std::size_t StatementGateway::receiveFromPeer(const PeerPtr& peer, std::string_view bytes)
{
    std::size_t taken = 0;
    const bool isValid = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            while (peers_.contains(peer)) {
                BOOST_LEAF_AUTO(frame, takeFrame(bytes, taken));
                if (!frame)
                    break;
                if (peer->instance_.empty()) {
                    BOOST_LEAF_AUTO(hello, decodePeerMessage(*frame, options_.deploymentKey_));
                    peer->instance_ = hello.sender_.value_.empty() ? "unnamed" : hello.sender_.value_;
                    peer->channel_->setTrusted();
                    continue;
                }
                BOOST_LEAF_AUTO(message, decodeHolderMessage(*frame));
                std::visit([&](auto& body) { handle(peer, std::move(body)); }, message);
            }
            return true;
        },
        [&](const Failure& failure) {
            metrics_.count(failure.reason_);
            LogLine(LogKind::Refusal, "peer_refused")
                .with("peer", peer->instance_)
                .with("detail", failureMessage(failure));
            return false;
        },
        [] { return false; });
    if (!isValid)
        closePeer(peer);
    return taken;
}

template <typename Message> void StatementGateway::handle(const PeerPtr&, const Message&)
{
    metrics_.count(Reason::MessageMalformed); // Only holders send these.
}

void StatementGateway::handle(const PeerPtr& peer, StatementRequest request)
{
    const auto known = peer->operations_.find(request.operation_);
    const bool isKnown = known != peer->operations_.end();
    const bool begins = request.operation_ == request.number_;
    // A peer waits for each reply of an operation.
    if (isKnown && (begins || known->second->busy_)) {
        metrics_.count(Reason::MessageMalformed);
        return closePeer(peer);
    }
    if (!isKnown && !begins)
        return refusePeer(peer, request.number_, StatementError::Aborted, "the transaction was ended");
    if (!isKnown && isTooLateToBegin(request.route_, request.opensTransaction_)) {
        metrics_.count(Reason::ShuttingDown);
        return refusePeer(peer, request.number_, StatementError::Overloaded, stoppingText);
    }
    if (!isKnown && peer->operations_.size() >= maximumOperations) {
        metrics_.count(Reason::QueueFull);
        return refusePeer(peer, request.number_, StatementError::Overloaded, "not run, too many operations");
    }
    // Refused before it is begun: nothing of it is kept.
    if (!isKnown && loop_.memory().isLimited() && peer->channel_->queuedBytes() > maximumReplyBytes) {
        metrics_.count(Reason::MemoryFull);
        return refusePeer(peer, request.number_, StatementError::Overloaded, "not run, the peer reads too slowly");
    }
    const auto session = isKnown ? known->second : beginOperation(peer, request);
    runForPeer(session, std::move(request));
}

void StatementGateway::refusePeer(
    const PeerPtr& peer, std::uint64_t number, StatementError error, std::string_view text)
{
    peer->channel_->send(
        encodeHolderMessage(StatementReply { .number_ = number, .error_ = error, .errorText_ = std::string(text) }));
}

StatementGateway::SessionPtr StatementGateway::beginOperation(const PeerPtr& peer, const StatementRequest& request)
{
    const SessionPtr session(new Session);
    session->peer_ = peer;
    session->operation_ = request.operation_;
    session->started_ = true;
    session->account_ = request.account_;
    session->sql_.database_ = request.route_.database_;
    session->sql_.transaction_ = request.opensTransaction_ ? TransactionState::Deferred : TransactionState::None;
    session->sql_.readOnly_ = request.readOnly_;
    session->sql_.startedAt_ = suspendAwareNow() - request.operationAge_;
    // The route as the peer knows it, whatever catalog this instance has.
    auto catalog = std::make_shared<RouteCatalog>();
    catalog->version_ = request.catalogVersion_;
    catalog->routes_ = { request.route_ };
    catalog->idleTransaction_ = std::chrono::duration_cast<std::chrono::milliseconds>(request.idleTransaction_);
    session->catalog_ = catalog;
    session->route_ = &catalog->routes_.front();
    sessions_.insert(session);
    peer->operations_.emplace(session->operation_, session);
    return session;
}

void StatementGateway::runForPeer(const SessionPtr& session, StatementRequest request)
{
    const auto now = suspendAwareNow();
    auto& sql = session->sql_;
    session->used_ = now;
    session->number_ = request.number_;
    sql.values_ = std::move(request.values_);
    recordCommit(sql.ownCommits_, session->route_->group_, { request.ownCommit_, now - request.ownCommitAge_ });
    const JobPtr job(new Job);
    job->session_ = session;
    job->id_ = std::move(request.id_);
    job->text_ = std::move(request.text_);
    job->kind_ = request.kind_;
    job->shape_ = std::move(request.shape_);
    job->catalog_ = session->catalog_;
    job->route_ = session->route_;
    job->group_ = session->route_->group_;
    job->arrived_ = now - std::min(request.age_, request.operationAge_);
    job->ageFrom_ = now - request.operationAge_;
    job->opensTransaction_ = sql.transaction_ == TransactionState::Deferred;
    job->needsPrimary_ = needsPrimary(*job);
    session->busy_ = true;
    session->job_ = job;
    submit(job);
}

void StatementGateway::handle(const PeerPtr& peer, const OperationEnd& message)
{
    if (const auto known = peer->operations_.find(message.operation_); known != peer->operations_.end()) {
        const auto session = known->second;
        peer->operations_.erase(known);
        sessionClosed(session);
    }
}

void StatementGateway::handle(const PeerPtr& peer, const HolderProbe& message)
{
    const auto group = groups_.find(message.group_);
    const bool isUnreachable = group == groups_.end() || isPrimaryUnreachable(*group->second);
    peer->channel_->send(encodeHolderMessage(HolderProbeReply { message.group_, isUnreachable }));
}

// Replies to the statement under way; the operation ends unless its transaction is open.
void StatementGateway::replyToPeer(const SessionPtr& session, StatementReply reply)
{
    const auto peer = session->peer_;
    reply.number_ = session->number_;
    reply.isTransactionOpen_ = session->sql_.transaction_ == TransactionState::Open;
    reply.isPrimaryUnreachable_ = isPrimaryUnreachable(groupOf(session->route_->group_));
    session->used_ = suspendAwareNow();
    if (!session->closed_)
        peer->channel_->send(encodeHolderMessage(reply));
    if (reply.isTransactionOpen_)
        return;
    peer->operations_.erase(session->operation_);
    sessionClosed(session);
}

void StatementGateway::closePeer(const PeerPtr& peer)
{
    peer->channel_->close();
    peerLost(peer);
}

// What runs for the peer goes on to its end; open transactions are rolled back.
void StatementGateway::peerLost(const PeerPtr& peer)
{
    if (peers_.erase(peer) == 0)
        return;
    if (const auto known = quotaPeers_.find(InstanceId(peer->instance_));
        known != quotaPeers_.end() && known->second == peer)
        quotaPeers_.erase(known);
    for (const auto& [number, session] : std::exchange(peer->operations_, {}))
        sessionClosed(session);
}

} // namespace cassiahollow
