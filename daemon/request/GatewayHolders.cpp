#include "cassiahollow/process/PeerMessage.h"
#include "process/EventLog.h"
#include "request/GatewayState.h"

// Statements of the gateway's clients that run at another instance, which holds the connections to their group.
namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // A live instance of the same data centre accepts a connection within a few milliseconds.
    constexpr auto holderConnectTime = 200ms;
    // Sent bytes that the holder's machine has not acknowledged for this long are lost.
    constexpr auto holderSilence = 1000ms;
    // A holder that cannot be reached is left out for this long, and twice as long after each further failure.
    constexpr auto holderPause = 250ms;
    constexpr int maximumPauseDoublings = 3;
    // A holder that owes a reply for this long is asked whether it is alive.
    constexpr auto holderReplyTime = 150ms;
    // Instances that start together know each other after two exchanges between control members. Until then, they open
    // only the connections that statements wait for: each takes itself for one of few.
    constexpr auto settleTime = 2500ms;
    // Statements that wait for a holder to read them. Above, further ones are refused.
    constexpr std::size_t maximumAheadBytes = 8 << 20;
    // Attempts of one statement at holders.
    constexpr int maximumForwards = 4;
    // Time between two questions to a holder whether it reaches the primaries, while this instance may be cut off.
    constexpr auto holderProbeInterval = 100ms;

    std::string hostOf(const InstanceId& instance)
    {
        return instance.value_.substr(0, instance.value_.rfind(':'));
    }

} // namespace

void StatementGateway::setNeighbours(std::vector<InstanceId> neighbours, std::size_t dataCentres)
{
    if (neighbours == neighbours_ && dataCentres == dataCentres_)
        return;
    neighbours_ = std::move(neighbours);
    dataCentres_ = dataCentres;
    neighboursSince_ = suspendAwareNow();
    updateHolders();
    updateQuotaView();
}

// The groups whose connections do not suffice for all instances, and the instances that may hold them.
HolderInputs StatementGateway::holderInputs() const
{
    HolderInputs inputs { .groups_ = {}, .instances_ = neighbours_, .dataCentres_ = dataCentres_ };
    for (const auto& rules : catalog_->groups_) {
        if (!areConnectionsScarce(rules.connectionLimit_, instances_))
            continue;
        inputs.groups_.push_back(rules.group_);
        const auto limit = inputs.connectionLimit_;
        inputs.connectionLimit_ = limit == 0 ? rules.connectionLimit_ : std::min(limit, rules.connectionLimit_);
    }
    return inputs;
}

void StatementGateway::updateHolders()
{
    if (options_.self_.empty() || !catalog_)
        return;
    assignment_ = assignHolders(holderInputs());
    std::erase_if(holders_, [&](const auto& item) {
        const bool isGone = std::find(neighbours_.begin(), neighbours_.end(), item.first) == neighbours_.end();
        return isGone && !item.second->channel_ && item.second->pending_.empty();
    });
    const auto heldBefore = heldGroups();
    for (const auto& [id, group] : groups_) {
        group->holders_ = holderOrder(assignment_, id, options_.self_);
        const bool isHeld = isHolder(assignment_, id, options_.self_);
        if (!group->holders_.empty() && !isHeld)
            openHolder(holderOf(group->holders_.front()));
        const bool wasHeld = std::exchange(group->isHeld_, isHeld);
        const bool usedHolders = std::exchange(group->usedHolders_, usesHolders(*group));
        if (group->usedHolders_ && !usedHolders)
            rerouteWaiting(*group);
        if (isHeld != wasHeld)
            dispatch(*group);
    }
    if (heldBefore != heldGroups()) {
        LogLine(LogKind::Belief, "held_groups")
            .with("groups", static_cast<std::uint64_t>(heldGroups()))
            .with("neighbours", static_cast<std::uint64_t>(neighbours_.size()))
            .with("connections", static_cast<std::uint64_t>(assignment_.connectionsPerHolder_));
    }
}

// Sends what waits here to the holder, because this instance opens no connections for it any more.
void StatementGateway::rerouteWaiting(Group& group)
{
    std::vector<JobPtr> waiting;
    for (const auto& job : group.jobs_) {
        if (job->item_.state_ == AdmissionItem::State::Waiting || group.isBlocked(job))
            waiting.push_back(job);
    }
    for (const auto& job : waiting) {
        if (job->isDone_)
            continue;
        group.unblock(job);
        if (job->item_.state_ == AdmissionItem::State::Waiting)
            cancel(*job->queue_, job->item_);
        enqueueJob(job);
    }
}

std::size_t StatementGateway::heldGroups() const
{
    return static_cast<std::size_t>(
        std::count_if(groups_.begin(), groups_.end(), [](const auto& item) { return item.second->isHeld_; }));
}

std::size_t StatementGateway::forwardedStatements() const
{
    std::size_t count = 0;
    for (const auto& [id, holder] : holders_)
        count += holder->pending_.size();
    return count;
}

StatementGateway::HolderPtr StatementGateway::holderOf(const InstanceId& id)
{
    auto& holder = holders_[id];
    if (!holder) {
        holder = new Holder;
        holder->id_ = id;
    }
    return holder;
}

// The instance that a statement is sent to; null if it has to run here.
StatementGateway::HolderPtr StatementGateway::holderFor(Group& group, const Job& job)
{
    const auto& account = job.session_->account_;
    // A holder runs its clients' statements itself, but those of an account at the account's holder.
    const bool mayForward = usesHolders(group) || (group.isHeld_ && !account.empty());
    if (job.session_->peer_ || !mayForward || job.triedHolders_.size() >= maximumForwards)
        return nullptr;
    const auto now = suspendAwareNow();
    std::vector<InstanceId> ofAccount;
    if (!account.empty())
        ofAccount = holderOrder(assignment_, group.id_, account);
    for (const auto& id : account.empty() ? group.holders_ : ofAccount) {
        if (id == options_.self_ && group.isHeld_)
            return nullptr;
        if (id == options_.self_ || job.triedHolders_.contains(id))
            continue;
        const auto holder = holderOf(id);
        if (!holder->isLeaving_ && now >= holder->avoidUntil_)
            return holder;
    }
    return nullptr;
}

void StatementGateway::openHolder(const HolderPtr& holder)
{
    if (holder->channel_ || suspendAwareNow() < holder->avoidUntil_)
        return;
    holder->isOpen_ = false;
    holder->isLeaving_ = false;
    holder->receivedAt_ = suspendAwareNow();
    holder->channel_ = sockets_.open(hostOf(holder->id_) + options_.forwardPort_, holderConnectTime, holderSilence,
        { .opened_ = [holder] { holder->isOpen_ = true; },
            .received_ = [this, holder](std::string_view bytes) { return receiveFromHolder(holder, bytes); },
            .closed_ = [this, holder] { holderLost(holder); } });
    const PeerMessage hello { options_.self_, options_.incarnation_, options_.self_.value_, PeerMessageKind::Forward,
        {} };
    holder->channel_->send(encodeFrame(encodePeerMessage(hello, options_.deploymentKey_)));
}

bool StatementGateway::forwardJob(const JobPtr& job)
{
    const auto holder = holderFor(groupOf(job->group_), *job);
    if (!holder)
        return false;
    if (loop_.memory().isLimited() && holder->channel_ && holder->channel_->queuedBytes() > maximumAheadBytes)
        refuseJob(job, Reason::MemoryFull);
    else
        sendForward(holder, job, 0);
    return true;
}

// The next statement of a transaction that is open at a holder.
void StatementGateway::forwardNext(const JobPtr& job)
{
    const auto& remote = *job->session_->remote_;
    if (!remote.holder_->channel_)
        return lost(job, false);
    const auto holder = remote.holder_;
    sendForward(holder, job, remote.operation_);
}

// A statement as its holder needs it, without the numbers that the connection gives it.
StatementRequest StatementGateway::requestFor(const Job& job, TimePoint now)
{
    const auto& sql = job.session_->sql_;
    StatementRequest request;
    request.id_ = job.id_;
    request.text_ = job.text_;
    request.kind_ = job.kind_;
    request.opensTransaction_ = job.opensTransaction_;
    request.readOnly_ = sql.readOnly_;
    request.age_ = now - job.arrived_;
    request.operationAge_ = now - job.ageFrom_;
    request.shape_ = job.shape_;
    request.route_ = *job.route_;
    request.catalogVersion_ = job.catalog_->version_;
    request.idleTransaction_ = job.catalog_->idleTransaction_;
    const auto ownCommit = lastCommit(sql.ownCommits_, job.group_);
    request.ownCommit_ = ownCommit.position_;
    request.ownCommitAge_ = now - ownCommit.acknowledgedAt_;
    request.values_ = sql.values_;
    request.account_ = job.session_->account_;
    return request;
}

void StatementGateway::sendForward(const HolderPtr& holder, const JobPtr& job, std::uint64_t operation)
{
    openHolder(holder);
    const auto now = suspendAwareNow();
    auto request = requestFor(*job, now);
    request.number_ = ++holder->lastNumber_;
    request.operation_ = operation > 0 ? operation : request.number_;
    holder->pending_.emplace(request.number_, job);
    job->forwards_.emplace_back(holder, request.number_);
    job->triedHolders_.insert(holder->id_);
    job->sent_ = now;
    ++job->outstanding_;
    ++job->attempts_;
    job->session_->wrote_ |= operation > 0 && job->kind_ == StatementKind::Write;
    metrics_.add(CounterId::Forwarded);
    LogLine(LogKind::Placement, "forwarded")
        .with("request", job->id_)
        .with("group", job->group_.value_)
        .with("holder", holder->id_.value_)
        .with("waited", now - job->arrived_)
        .with("attempt", static_cast<std::uint64_t>(job->attempts_));
    holder->channel_->send(encodeHolderMessage(request));
}

std::size_t StatementGateway::receiveFromHolder(const HolderPtr& holder, std::string_view bytes)
{
    std::size_t taken = 0;
    const auto channel = holder->channel_;
    const bool isValid = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            while (holder->channel_ == channel) {
                BOOST_LEAF_AUTO(frame, takeFrame(bytes, taken));
                if (!frame)
                    break;
                BOOST_LEAF_AUTO(message, decodeHolderMessage(*frame));
                holder->receivedAt_ = suspendAwareNow();
                holder->failures_ = 0;
                std::visit([&](const auto& body) { handle(holder, body); }, message);
            }
            return true;
        },
        [&](const Failure& failure) {
            metrics_.count(failure.reason_);
            return false;
        },
        [] { return false; });
    if (!isValid && holder->channel_ == channel) {
        channel->close();
        holderLost(holder);
    }
    return taken;
}

template <typename Message> void StatementGateway::handle(const HolderPtr&, const Message&)
{
    metrics_.count(Reason::MessageMalformed); // Only instances that serve clients send these.
}

void StatementGateway::handle(const HolderPtr& holder, const StatementReply& reply)
{
    const auto found = holder->pending_.find(reply.number_);
    if (found == holder->pending_.end())
        return;
    const auto job = found->second;
    holder->pending_.erase(found);
    --job->outstanding_;
    auto& group = groupOf(job->group_);
    group.isUnreachableAtHolder_ = reply.isPrimaryUnreachable_;
    const auto& session = job->session_;
    if (job->isDone_ || session->closed_) {
        // The client is gone or was answered by another holder.
        if (reply.isTransactionOpen_ && job->opensTransaction_)
            holder->channel_->send(encodeHolderMessage(OperationEnd { reply.number_ }));
        return jobDone(job);
    }
    if (reply.error_ && job->outstanding_ > 0)
        return;
    if (job->opensTransaction_ && reply.isTransactionOpen_) {
        session->remote_ = { holder, reply.number_ };
        session->sql_.transaction_ = TransactionState::Open;
        session->wrote_ |= job->kind_ == StatementKind::Write;
    }
    answerForwarded(job, reply);
}

void StatementGateway::handle(const HolderPtr& holder, const HolderLeaving&)
{
    holder->isLeaving_ = true;
    quotaInstanceLeft(holder->id_);
}

void StatementGateway::handle(const HolderPtr&, const HolderProbeReply& reply)
{
    groupOf(reply.group_).isUnreachableAtHolder_ = reply.isPrimaryUnreachable_;
}

void StatementGateway::answerForwarded(const JobPtr& job, const StatementReply& reply)
{
    const auto& session = job->session_;
    jobDone(job);
    const bool commits = job->kind_ == StatementKind::Commit;
    if (commits)
        session->remote_.reset();
    if (!reply.error_)
        return completeStatement(job, { reply.rows_, reply.signature_, {}, {}, reply.position_ });
    LogLine(LogKind::Refusal, "holder_error")
        .with("request", job->id_)
        .with("holder", job->forwards_.back().first->id_.value_)
        .with("detail", reply.errorText_)
        .with("sent_ago", suspendAwareNow() - job->sent_);
    metrics_.count(Reason::StatementFailed);
    if (commits)
        session->sql_.transaction_ = TransactionState::None;
    if (!reply.isTransactionOpen_)
        session->remote_.reset();
    failStatement(session, *reply.error_, reply.errorText_);
}

// The connection to a holder has ended: what was sent and not answered may have run.
void StatementGateway::holderLost(const HolderPtr& holder)
{
    const bool wasOpen = std::exchange(holder->isOpen_, false);
    holder->channel_ = nullptr;
    const auto now = suspendAwareNow();
    if (!holder->isLeaving_) {
        const auto pause = holderPause * (1 << std::min(holder->failures_, maximumPauseDoublings));
        // One that was connected may have been restarted, and accepts the next connection.
        holder->avoidUntil_ = wasOpen && holder->failures_ == 0 ? now : now + pause;
        ++holder->failures_;
        LogLine(LogKind::Dependency, "holder_lost")
            .with("holder", holder->id_.value_)
            .with("open", static_cast<std::uint64_t>(wasOpen ? 1 : 0))
            .with("pending", static_cast<std::uint64_t>(holder->pending_.size()));
    }
    holder->isLeaving_ = false;
    for (const auto& [number, job] : std::exchange(holder->pending_, {})) {
        --job->outstanding_;
        if (job->isDone_ || job->session_->closed_)
            jobDone(job);
        else if (job->outstanding_ == 0)
            forwardLost(job, wasOpen);
    }
    quotaInstanceLost(holder);
}

void StatementGateway::forwardLost(const JobPtr& job, bool wasSent)
{
    const auto& session = job->session_;
    if (session->remote_) {
        session->remote_.reset();
        return lost(job, wasSent);
    }
    // A read keeps nothing, and neither does a transaction whose connection has ended.
    const bool keepsNothing = job->kind_ == StatementKind::Read || job->opensTransaction_;
    const auto now = suspendAwareNow();
    const auto limits = waitLimits(*job->route_, job->arrived_, true);
    const bool mayRepeat = (keepsNothing || !wasSent) && now <= limits.latestStart_;
    if (!mayRepeat || !takeRetry(retryBudget_, now))
        return lost(job, wasSent);
    metrics_.count(Reason::RetryConnectionLost);
    job->forwards_.clear();
    enqueueJob(job);
}

// Ends the operations of a statement whose result is not needed any more.
void StatementGateway::endForwards(const JobPtr& job)
{
    for (const auto& [holder, number] : job->forwards_) {
        const bool isOperation = !job->session_->remote_;
        if (isOperation && holder->channel_ && holder->pending_.contains(number))
            holder->channel_->send(encodeHolderMessage(OperationEnd { number }));
    }
}

// Ends the transaction that is open at a holder.
void StatementGateway::endRemote(const SessionPtr& session)
{
    const auto remote = std::exchange(session->remote_, std::nullopt);
    if (remote && remote->holder_->channel_)
        remote->holder_->channel_->send(encodeHolderMessage(OperationEnd { remote->operation_ }));
}

void StatementGateway::forwardTimedOut(const JobPtr& job)
{
    const auto& session = job->session_;
    LogLine(LogKind::Uncertain, "timed_out")
        .with("request", job->id_)
        .with("holder", job->forwards_.back().first->id_.value_)
        .with("sent_ago", suspendAwareNow() - job->sent_);
    metrics_.count(Reason::DeadlinePassed);
    endForwards(job);
    const bool isSingleRead = job->kind_ == StatementKind::Read && !job->opensTransaction_ && !session->remote_;
    if (!isSingleRead) {
        endRemote(session);
        return lost(job, true);
    }
    jobDone(job);
    if (!session->closed_)
        failStatement(session, StatementError::TimedOut, "no answer within the time limit");
}

// Asks holders that owe replies whether they are alive, and has single reads run elsewhere as well. What else was sent
// goes on: a holder that is only slow still answers it.
void StatementGateway::watchHolders()
{
    const auto now = suspendAwareNow();
    if (!hasSettled_ && !neighbours_.empty() && now - neighboursSince_ > settleTime) {
        hasSettled_ = true;
        for (const auto& [id, group] : groups_)
            dispatch(*group);
    }
    std::vector<JobPtr> late;
    for (const auto& [id, holder] : holders_) {
        if (!holder->channel_ || holder->pending_.empty())
            continue;
        const auto& oldest = holder->pending_.begin()->second;
        const auto heardAt = std::max(oldest->sent_, holder->receivedAt_);
        const bool isProbed = holder->probedAt_ > holder->receivedAt_;
        if (now - heardAt > holderReplyTime && !isProbed) {
            holder->probedAt_ = now;
            holder->channel_->send(encodeHolderMessage(HolderProbe { oldest->group_ }));
        } else if (isProbed && now - holder->probedAt_ > holderReplyTime && now >= holder->avoidUntil_) {
            holder->avoidUntil_ = now + holderPause;
            LogLine(LogKind::Dependency, "holder_silent")
                .with("holder", id.value_)
                .with("pending", static_cast<std::uint64_t>(holder->pending_.size()));
        }
        for (const auto& [number, job] : holder->pending_) {
            const bool isSingleRead
                = job->kind_ == StatementKind::Read && !job->opensTransaction_ && !job->session_->remote_;
            const auto patience = std::chrono::duration_cast<Duration>(job->route_->objective_ * hedgeShare);
            if (isSingleRead && !job->isDone_ && !job->hedged_ && now < holder->avoidUntil_
                && now - job->sent_ > patience)
                late.push_back(job);
        }
    }
    for (const auto& job : late) {
        if (job->isDone_ || job->hedged_ || !takeRetry(retryBudget_, now))
            continue;
        job->hedged_ = true;
        metrics_.count(Reason::RetryResponseLate);
        forwardJob(job);
    }
}

// Asks the holders whether they reach the primaries, for an instance that may be cut off with them.
void StatementGateway::probeHolders()
{
    const auto now = suspendAwareNow();
    for (const auto& [id, group] : groups_) {
        if (!usesHolders(*group) || group->holders_.empty())
            continue;
        const auto holder = holderOf(group->holders_.front());
        if (now - holder->probedAt_ < holderProbeInterval)
            continue;
        openHolder(holder);
        if (!holder->channel_)
            continue;
        holder->probedAt_ = now;
        for (const auto& [other, asked] : groups_) {
            if (!asked->holders_.empty() && asked->holders_.front() == holder->id_)
                holder->channel_->send(encodeHolderMessage(HolderProbe { other }));
        }
    }
}

} // namespace cassiahollow
