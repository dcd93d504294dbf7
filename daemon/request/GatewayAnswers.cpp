#include "process/EventLog.h"
#include "request/GatewayState.h"

// What becomes of the gateway's statements: answers, further attempts, refusals.
namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // Attempts of one statement at endpoints.
    constexpr int maximumAttempts = 4;

    // Statements of one route that take about the same time: a commit waits for replicas, and the first statement of a
    // transaction includes its begin.
    ClassId timeClass(const Route& route, StatementKind kind, bool opensTransaction)
    {
        const auto* suffix = kind == StatementKind::Commit ? "/commit" : opensTransaction ? "/begin" : "";
        return ClassId(route.name_ + suffix);
    }

} // namespace

// Whether what the statement writes stays if it has run.
bool StatementGateway::mayKeep(const Job& job)
{
    const auto& session = *job.session_;
    return (job.kind_ == StatementKind::Commit && session.wrote_)
        || (job.kind_ == StatementKind::Write && session.sql_.transaction_ == TransactionState::None);
}

void StatementGateway::finished(
    const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply* reply, bool beginRefused)
{
    if (auto* endpoint = find(link->endpoint()); endpoint && endpoint->load_.inFlight_ > 0)
        --endpoint->load_.inFlight_;
    --job->outstanding_;
    if (!reply && !link->wasReady())
        return notSent(job, link);
    if (reply)
        learn(job, link, *reply);
    if (!reply || !reply->isUncertain_ || !mayKeep(*job))
        return settle(job, link, reply, beginRefused);
    // The refusal is passed on only when no other answer to the statement is still to come.
    link->prove(reply->mark_, [this, job, link, refusal = *reply](bool isProven) mutable {
        refusal.mark_ = SessionMark::Idle;
        settle(job, link, isProven ? &refusal : nullptr, false);
    });
}

// The endpoint refused the connection, or it ended before it was ready: nothing of the statement was sent, so it waits
// again and may run elsewhere.
void StatementGateway::notSent(const JobPtr& job, const EndpointLinkPtr& link)
{
    if (job->isDone_ || job->session_->closed_)
        return jobDone(job);
    // The other attempt may still be answered.
    if (job->outstanding_ > 0)
        return;
    metrics_.count(Reason::RetryConnectionRefused);
    LogLine(LogKind::Retry, "connection_not_ready")
        .with("request", job->id_)
        .with("endpoint", link->endpoint().value_)
        .with("waited", suspendAwareNow() - job->arrived_);
    if (job->queue_ && job->item_.state_ == AdmissionItem::State::Running)
        cancel(*job->queue_, job->item_);
    --job->attempts_;
    job->tried_.insert(link->endpoint());
    job->link_ = nullptr;
    enqueueJob(job);
}

// What becomes of a statement whose attempt has been answered or lost.
void StatementGateway::settle(
    const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply* reply, bool beginRefused)
{
    const auto& session = job->session_;
    const bool ownsTransaction = session->link_ == link;
    const bool provedLead
        = job->needsPrimary_ && job->kind_ == StatementKind::Read && !job->opensTransaction_ && !ownsTransaction;
    if (job->isDone_ || session->closed_) {
        // The client is gone or was answered; the connection is used again only if nothing is open on it.
        if (!provedLead)
            freeLink(link, reply && reply->mark_ == SessionMark::Idle && !ownsTransaction);
        return jobDone(job);
    }
    const bool failed = !reply || reply->error_ || beginRefused;
    // The other attempt may still be answered.
    if (failed && job->outstanding_ > 0) {
        if (!provedLead)
            freeLink(link, reply && reply->mark_ == SessionMark::Idle);
        return;
    }
    if (failed && !ownsTransaction) {
        if (!provedLead && reply && reply->mark_ != SessionMark::Idle) {
            link->exchange(rollbackStatement(), [this, link](const EndpointReply* ended) {
                freeLink(link, ended && ended->mark_ == SessionMark::Idle);
            });
        } else if (!provedLead) {
            freeLink(link, reply != nullptr);
        }
        if (retry(job, link, reply))
            return;
    }
    if (!reply)
        return lost(job, true);
    return failed ? answerFailure(job, link, *reply) : answerSuccess(job, link, *reply, provedLead);
}

void StatementGateway::answerFailure(const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply& reply)
{
    const auto& session = job->session_;
    const auto error = reply.error_ ? reply.error_->error_ : StatementError::NotPrimary;
    LogLine(LogKind::Refusal, "endpoint_error")
        .with("request", job->id_)
        .with("endpoint", link->endpoint().value_)
        .with("code", reply.error_ ? reply.error_->word_ : "begin_refused")
        .with("attempt", static_cast<std::uint64_t>(job->attempts_));
    metrics_.count(Reason::StatementFailed);
    jobDone(job);
    if (job->kind_ == StatementKind::Commit) {
        release(session, reply.mark_ != SessionMark::Idle);
        session->sql_.transaction_ = TransactionState::None;
    }
    failStatement(session, error, reply.error_ ? std::string_view(reply.error_->text_) : std::string_view());
}

void StatementGateway::answerSuccess(
    const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply& reply, bool provedLead)
{
    const auto& session = job->session_;
    auto& sql = session->sql_;
    const bool keeps = job->kind_ == StatementKind::Write ? sql.transaction_ == TransactionState::None
                                                          : job->kind_ == StatementKind::Commit && session->wrote_;
    if (keeps && !mayAcknowledgeAt(groupOf(job->group_), link->endpoint()))
        return answerInDoubt(job, link, reply);
    jobDone(job);
    if (job->kind_ == StatementKind::Commit)
        release(session, reply.mark_ != SessionMark::Idle);
    else if (sql.transaction_ == TransactionState::None && !provedLead)
        freeLink(link, reply.mark_ == SessionMark::Idle);
    if (keeps && reply.position_.term_ > 0)
        sampled(groupOf(job->group_), { job->sent_, reply.position_ });
    completeStatement(job, reply);
}

// Tells the client that its statement has run, and goes on with what it has sent since.
void StatementGateway::completeStatement(const JobPtr& job, const EndpointReply& reply)
{
    const auto& session = job->session_;
    auto& sql = session->sql_;
    const bool wrote = job->kind_ == StatementKind::Write && sql.transaction_ == TransactionState::None;
    const bool committed = job->kind_ == StatementKind::Commit;
    if (committed)
        sql.transaction_ = TransactionState::None;
    if ((wrote || (committed && session->wrote_)) && reply.position_.term_ > 0) {
        recordCommit(sql.ownCommits_, job->group_, { reply.position_, suspendAwareNow() });
        metrics_.add(CounterId::Writes);
    }
    metrics_.record(HistogramId::RequestTime, suspendAwareNow() - job->arrived_);
    session->busy_ = false;
    answer(session, reply);
    finishOperation(session);
    if (session->channel_)
        session->channel_->offer();
}

// The endpoint has committed, but the lease on it ended meanwhile: it may have had a successor, and the commit is lost
// then.
void StatementGateway::answerInDoubt(const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply& reply)
{
    const auto& session = job->session_;
    LogLine(LogKind::Uncertain, "lease_ended")
        .with("request", job->id_)
        .with("endpoint", link->endpoint().value_)
        .with("version", leases_.table_.version_.number_)
        .with("sent_ago", suspendAwareNow() - job->sent_);
    metrics_.count(Reason::LeaseEnded);
    jobDone(job);
    if (job->kind_ == StatementKind::Commit) {
        release(session, reply.mark_ != SessionMark::Idle);
        session->sql_.transaction_ = TransactionState::None;
    } else {
        freeLink(link, reply.mark_ == SessionMark::Idle);
    }
    failStatement(session, StatementError::InDoubt, "the primary may have been replaced");
}

// Ends a statement with an error and goes on with what the client has sent since.
void StatementGateway::failStatement(const SessionPtr& session, StatementError error, std::string_view text)
{
    session->busy_ = false;
    refuse(session, error, text);
    finishOperation(session);
    if (session->channel_)
        session->channel_->offer();
}

void StatementGateway::learn(const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply& reply)
{
    auto* endpoint = find(link->endpoint());
    if (!endpoint)
        return;
    const auto now = suspendAwareNow();
    auto& load = endpoint->load_;
    endpoint->applied_ = std::max(endpoint->applied_, reply.position_);
    // A statement that waited for a new connection was sent when that was ready.
    const auto sent = std::max(job->sent_, link->readyAt());
    const auto floorAge = job->floor_ ? sent - job->floor_->reachedAt_ : Duration::zero();
    if (!reply.error_) {
        recordResponse(load, now - sent, now, timeClass(*job->route_, job->kind_, job->opensTransaction_));
        tellLimit(*endpoint);
        metrics_.record(HistogramId::RunTime, now - sent);
        if (job->floor_ && endpoint->record_.role_ == EndpointRole::Replica)
            recordCaughtUp(load, floorAge);
        if (job->kind_ == StatementKind::Read)
            metrics_.add(job->needsPrimary_ ? CounterId::ReadsAtPrimary : CounterId::ReadsAtReplica);
        return;
    }
    load.lastRespondedAt_ = now;
    load.failingSince_ = {};
    if (reply.error_->error_ == StatementError::Overloaded) {
        recordShed(load, now);
        tellLimit(*endpoint);
        if (job->atPrimary_ && !job->needsPrimary_)
            recordStrain(load, now);
    }
    if (reply.error_->error_ == StatementError::ReplicaBehind)
        recordBehind(load, floorAge, now);
}

// Whether the statement is tried again, because it is known not to have run or only read.
bool StatementGateway::retry(const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply* reply)
{
    std::optional<Reason> reason;
    if (!reply) {
        // A read keeps nothing, and a transaction whose connection is gone is rolled back.
        if (job->kind_ == StatementKind::Read || (job->opensTransaction_ && job->kind_ == StatementKind::Write))
            reason = Reason::RetryConnectionLost;
    } else if (!reply->error_ || reply->error_->error_ == StatementError::NotPrimary) {
        reason = Reason::RetryStaleRoute;
    } else if (reply->error_->error_ == StatementError::ReplicaBehind) {
        reason = Reason::RetryReplicaBehind;
    } else if (reply->error_->error_ == StatementError::Overloaded) {
        reason = Reason::RetryConnectionRefused;
    } else if (reply->error_->error_ == StatementError::UnknownName) {
        link->fit_ = {};
        reason = Reason::RetryStaleRoute;
    }
    const auto now = suspendAwareNow();
    const auto limits = waitLimits(*job->route_, job->arrived_, reason == Reason::RetryStaleRoute);
    if (!reason || job->attempts_ >= maximumAttempts || now > limits.latestStart_)
        return false;
    if (!takeRetry(retryBudget_, now)) {
        metrics_.count(Reason::RetryBudgetSpent);
        return false;
    }
    metrics_.count(*reason);
    LogLine(LogKind::Retry, reasonInfo(*reason).name_)
        .with("request", job->id_)
        .with("endpoint", link->endpoint().value_)
        .with("attempt", static_cast<std::uint64_t>(job->attempts_));
    if (job->queue_ && job->item_.state_ == AdmissionItem::State::Running)
        cancel(*job->queue_, job->item_);
    job->tried_.insert(link->endpoint());
    job->link_ = nullptr;
    // A database that lost the lead, or one that sheds, needs a moment before the next attempt is worth anything.
    const bool waits = reason == Reason::RetryStaleRoute || reason == Reason::RetryConnectionRefused;
    if (!waits) {
        enqueueJob(job);
        return true;
    }
    loop_.schedule(Clock::now() + shedPause * job->attempts_, [this, job] {
        if (!job->isDone_)
            enqueueJob(job);
    });
    return true;
}

// Sends reads whose answer is late elsewhere as well.
void StatementGateway::hedgeLate(Group& group)
{
    const auto now = suspendAwareNow();
    std::vector<JobPtr> late;
    for (const auto& job : group.jobs_) {
        const bool isSingleRead = job->kind_ == StatementKind::Read && !job->opensTransaction_
            && job->session_->sql_.transaction_ == TransactionState::None;
        if (!isSingleRead || job->hedged_ || !job->link_ || job->outstanding_ != 1)
            continue;
        const auto* endpoint = find(job->link_->endpoint());
        if (endpoint && now - job->sent_ > hedgeDelay(endpoint->load_, *job->route_, now))
            late.push_back(job);
    }
    for (const auto& job : late)
        hedge(group, job);
}

void StatementGateway::hedge(Group& group, const JobPtr& job)
{
    const auto now = suspendAwareNow();
    job->tried_.insert(job->link_->endpoint());
    auto* endpoint = placeJob(group, job);
    if (!endpoint || !takeRetry(retryBudget_, now))
        return;
    const auto link = linkFor(*endpoint, *job);
    if (!link)
        return;
    job->hedged_ = true;
    metrics_.count(Reason::RetryResponseLate);
    LogLine(LogKind::Retry, reasonInfo(Reason::RetryResponseLate).name_)
        .with("request", job->id_)
        .with("from", job->link_->endpoint().value_)
        .with("to", endpoint->record_.id_.value_)
        .with("sent_ago", now - job->sent_);
    start(job, *endpoint, link);
}

// The connection of the statement ended before its answer, or before the statement could be sent.
void StatementGateway::lost(const JobPtr& job, bool wasSent)
{
    const auto& session = job->session_;
    auto& sql = session->sql_;
    const bool commits = job->kind_ == StatementKind::Commit;
    const bool keeps = wasSent && mayKeep(*job);
    const auto error = keeps                         ? StatementError::InDoubt
        : sql.transaction_ == TransactionState::None ? StatementError::Failed
                                                     : StatementError::Aborted;
    LogLine(keeps ? LogKind::Uncertain : LogKind::Refusal, keeps ? "in_doubt" : "aborted")
        .with("request", job->id_)
        .with("endpoint", job->link_ ? job->link_->endpoint().value_ : std::string())
        .with("cause", "connection_lost")
        .with("sent_ago", suspendAwareNow() - job->sent_);
    metrics_.count(keeps ? Reason::ResponseLost : Reason::TransactionAborted);
    jobDone(job);
    if (session->closed_)
        return;
    if (commits) {
        release(session, true);
        sql.transaction_ = TransactionState::None;
    }
    failStatement(session, error, "the answer of the database was lost");
}

void StatementGateway::timedOut(const JobPtr& job)
{
    if (job->isDone_)
        return;
    if (!job->forwards_.empty())
        return forwardTimedOut(job);
    if (!job->link_) {
        refuseJob(job, Reason::DeadlinePassed);
        return;
    }
    const auto link = job->link_;
    if (!link->wasReady() && job->outstanding_ == 1) {
        refuseJob(job, Reason::DeadlinePassed);
        // The statement waits there, and must not be sent any more.
        return link->close();
    }
    const auto& session = job->session_;
    LogLine(LogKind::Uncertain, "timed_out")
        .with("request", job->id_)
        .with("endpoint", link->endpoint().value_)
        .with("sent_ago", suspendAwareNow() - job->sent_);
    metrics_.count(Reason::DeadlinePassed);
    if (session->link_ != link && job->kind_ == StatementKind::Read && !job->opensTransaction_) {
        jobDone(job);
        if (!session->closed_)
            failStatement(session, StatementError::TimedOut, "no answer within the time limit");
        link->close();
        return;
    }
    // An answer that comes later must not reach the next user of the connection.
    job->attempts_ = maximumAttempts;
    link->close();
}

void StatementGateway::refuseJob(const JobPtr& job, Reason reason)
{
    if (job->isDone_)
        return;
    auto& group = groupOf(job->group_);
    const auto* first = primary(group);
    const bool waitsForPrimary = job->needsPrimary_ && (!first || isFailing(first->load_));
    const auto waiting = group.primaryQueue_.waiting_ + group.readQueue_.waiting_;
    const auto comeBack = retryAfter(waiting, first ? first->load_.responseSeconds_ : 0, waitsForPrimary);
    const bool isUnleased = options_.needsLeases_ && waitsForPrimary && !first && primaryOf(registry_, job->group_);
    const auto told = isUnleased ? Reason::PrimaryNotLeased : waitsForPrimary ? Reason::GroupWithoutPrimary : reason;
    metrics_.count(told);
    LogLine(LogKind::Refusal, reasonInfo(told).name_)
        .with("request", job->id_)
        .with("group", job->group_.value_)
        .with("catalog", job->catalog_->version_)
        .with("waited", suspendAwareNow() - job->arrived_)
        .with("waiting", static_cast<std::uint64_t>(waiting))
        .with("come_back", comeBack);
    if (auto* endpoint = primary(group); endpoint && job->atPrimary_ && !job->needsPrimary_)
        recordStrain(endpoint->load_, suspendAwareNow());
    jobDone(job);
    const auto& session = job->session_;
    if (session->closed_)
        return;
    if (job->kind_ == StatementKind::Commit) {
        release(session, true);
        session->sql_.transaction_ = TransactionState::None;
    }
    failStatement(session, StatementError::Overloaded, "not run, retry-after-ms=" + std::to_string(comeBack.count()));
}

void StatementGateway::jobDone(const JobPtr& job)
{
    job->isDone_ = true;
    loop_.cancel(job->timer_);
    releaseToken(job);
    auto& group = groupOf(job->group_);
    group.jobs_.erase(job);
    group.unblock(job);
    if (job->queue_ && job->item_.state_ == AdmissionItem::State::Running)
        cassiahollow::finished(*job->queue_, job->item_, suspendAwareNow());
    else if (job->queue_ && job->item_.state_ == AdmissionItem::State::Waiting)
        cancel(*job->queue_, job->item_);
    if (job->session_->job_ == job)
        job->session_->job_ = nullptr;
}
void StatementGateway::freeLink(const EndpointLinkPtr& link, bool isClean)
{
    if (link->isClosed())
        return;
    if (!isClean) {
        link->close();
        linkClosed(link->endpoint(), link);
        return;
    }
    if (link->needsProof())
        return link->prove(SessionMark::Idle, [this, link](bool isProven) { freeLink(link, isProven); });
    link->taken_ = false;
    link->used_ = suspendAwareNow();
    if (const auto* endpoint = find(link->endpoint()))
        dispatch(groupOf(endpoint->record_.group_));
}

} // namespace cassiahollow
