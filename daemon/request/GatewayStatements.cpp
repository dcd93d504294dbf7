#include "process/EventLog.h"
#include "request/GatewayState.h"

#include <algorithm>

// The statements of the gateway: where they wait, where they run, and what becomes of their answers.
namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // Attempts of one statement at endpoints.
    constexpr int maximumAttempts = 4;
    // Reads keep the newest sample this young, so that each has an old enough floor to choose from.
    constexpr auto sampleInterval = 250ms;
    // While connections are scarce, control members take the samples; without them this instance takes its own.
    constexpr auto sharedSampleInterval = 1200ms;

} // namespace

void StatementGateway::submit(const JobPtr& job)
{
    const auto& session = job->session_;
    recordRequest(retryBudget_, job->arrived_);
    auto& group = groupOf(job->group_);
    group.jobs_.insert(job);
    const auto left = job->route_->statementTimeout_;
    job->timer_ = loop_.schedule(Clock::now() + left, [this, job] { timedOut(job); });
    if (session->sql_.transaction_ != TransactionState::Open)
        return enqueueJob(job);
    // The connection of the transaction is its own: nothing waits.
    job->link_ = session->link_;
    auto* endpoint = find(session->link_->endpoint());
    if (session->link_->isClosed() || !endpoint)
        return lost(job, false);
    ++endpoint->load_.inFlight_;
    ++job->outstanding_;
    job->sent_ = suspendAwareNow();
    job->link_->answerBy_ = job->arrived_ + job->route_->statementTimeout_;
    sendFit(job->link_, session->sql_, job->shape_);
    session->wrote_ |= job->kind_ == StatementKind::Write;
    job->link_->exchange(platform::encodeQuery(job->id_, job->text_),
        [this, job, link = job->link_](const EndpointReply* reply) { finished(job, link, reply, false); });
}

void StatementGateway::enqueueJob(const JobPtr& job)
{
    auto& group = groupOf(job->group_);
    const auto now = suspendAwareNow();
    const auto* first = primary(group);
    const bool waitsForPrimary = !first || isFailing(first->load_) || !hasAnswered(first->load_);
    if (isolated_ && job->needsPrimary_ && waitsForPrimary)
        return refuseJob(job, Reason::GroupWithoutPrimary);
    const auto limits = waitLimits(*job->route_, job->arrived_, waitsForPrimary);
    if (!job->needsPrimary_) {
        const auto newest = newestSample(group.samples_);
        if (!newest || now - newest->asked_ > (isScarceFor(job->group_) ? sharedSampleInterval : sampleInterval))
            requestSample(group);
        const auto sample = floorSample(group.samples_, job->ageFrom_ - job->route_->maxAge_);
        if (!sample) {
            if (isolated_ && waitsForPrimary)
                return refuseJob(job, Reason::NoEndpointForRead);
            group.awaitSample_.insert(job);
            job->item_.deadline_ = limits.latestStart_;
            return;
        }
        const bool seesOwn = job->route_->consistency_ == Consistency::ReadYourWrites;
        job->floor_ = sessionFloor(*sample, seesOwn ? job->session_->sql_.ownCommit_ : OwnCommit {});
    }
    job->item_.class_ = ClassId(job->route_->name_);
    job->item_.service_ = ServiceId(job->route_->database_);
    job->item_.deadline_ = limits.latestStart_;
    bool goesToPrimary = job->needsPrimary_;
    if (!goesToPrimary) {
        std::vector<Endpoint*> choices;
        goesToPrimary
            = first && !hasCaughtUpReplica(candidatesFor(group, *job, choices), now - job->floor_->reached_, now);
    }
    job->atPrimary_ = goesToPrimary;
    job->queue_ = goesToPrimary ? &group.primaryQueue_ : &group.readQueue_;
    job->item_.id_ = reinterpret_cast<std::uint64_t>(job.get());
    if (const auto reason = enqueue(*job->queue_, job->item_, now))
        return refuseJob(job, *reason);
    dispatch(group);
}

std::size_t StatementGateway::freeAtPrimary(const Group& group) const
{
    const auto* endpoint = primary(group);
    return endpoint ? endpoint->room() : 0;
}

std::size_t StatementGateway::freeForReads(const Group& group) const
{
    std::size_t free = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint->record_.group_ == group.id_ && isUsable(*endpoint) && !isFailing(endpoint->load_))
            free += endpoint->room();
    }
    return free;
}

// The queues expect as many statements in flight as the windows allow, and refuse at once what cannot start in time.
void StatementGateway::resizeQueues(Group& group)
{
    const auto* first = primary(group);
    std::size_t reads = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint->record_.group_ == group.id_ && isUsable(*endpoint))
            reads += static_cast<std::size_t>(endpoint->load_.window_);
    }
    group.primaryQueue_.settings_.slots_
        = std::max<std::size_t>(1, first ? static_cast<std::size_t>(first->load_.window_) : 1);
    group.readQueue_.settings_.slots_ = std::max<std::size_t>(1, reads);
}

void StatementGateway::dispatch(Group& group)
{
    if (std::exchange(group.dispatching_, true)) {
        group.dispatchAgain_ = true;
        return;
    }
    do {
        group.dispatchAgain_ = false;
        const auto now = suspendAwareNow();
        resizeQueues(group);
        const auto serve = [&](AdmissionQueue& queue, std::size_t free) {
            const auto decision = next(queue, now, free);
            // Starting one statement may end another, so all are held.
            std::vector<std::pair<JobPtr, Reason>> refused;
            for (const auto& item : decision.refuse_)
                refused.emplace_back(reinterpret_cast<Job*>(item.item_->id_), item.reason_);
            std::vector<JobPtr> started;
            for (const auto* item : decision.start_)
                started.emplace_back(reinterpret_cast<Job*>(item->id_));
            for (const auto& [job, reason] : refused)
                refuseJob(job, reason);
            for (const auto& job : started) {
                if (job->isDone_)
                    continue;
                if (auto* endpoint = placeJob(group, job)) {
                    start(group, job, *endpoint);
                } else {
                    cancel(queue, job->item_);
                    enqueueJob(job);
                }
            }
        };
        serve(group.primaryQueue_, freeAtPrimary(group));
        serve(group.readQueue_, freeForReads(group));
    } while (group.dispatchAgain_);
    group.dispatching_ = false;
    openWanted(group);
    if (group.hasTimer_)
        loop_.cancel(group.timer_);
    group.hasTimer_ = false;
    std::optional<TimePoint> earliest;
    for (const auto& deadline : { nextDeadline(group.primaryQueue_), nextDeadline(group.readQueue_) }) {
        if (deadline && (!earliest || *deadline < *earliest))
            earliest = deadline;
    }
    if (!earliest)
        return;
    group.hasTimer_ = true;
    group.timer_
        = loop_.schedule(Clock::now() + std::max<Duration>(*earliest - suspendAwareNow(), 1ms), [this, &group] {
              group.hasTimer_ = false;
              dispatch(group);
          });
}

StatementGateway::Endpoint* StatementGateway::placeJob(Group& group, const JobPtr& job)
{
    if (job->atPrimary_) {
        auto* endpoint = primary(group);
        return endpoint && endpoint->room() > 0 ? endpoint : nullptr;
    }
    std::vector<Endpoint*> choices;
    auto candidates = candidatesFor(group, *job, choices);
    std::erase_if(
        candidates, [&](const PlacementCandidate& candidate) { return choices[candidate.index_]->room() == 0; });
    const auto now = suspendAwareNow();
    const auto chosen = placeRead(candidates, now - job->floor_->reached_, now);
    return chosen ? choices[*chosen] : nullptr;
}

std::vector<PlacementCandidate> StatementGateway::candidatesFor(
    const Group& group, const Job& job, std::vector<Endpoint*>& choices)
{
    const auto* first = primary(group);
    const auto* kept = isScarceFor(group.id_) ? preferred(group) : nullptr;
    std::vector<PlacementCandidate> candidates;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->record_.group_ != group.id_ || !isUsable(*endpoint) || isFailing(endpoint->load_))
            continue;
        candidates.push_back({ choices.size(), &endpoint->load_, endpoint->record_.slots_, endpoint.get() == first,
            endpoint->record_.dataCentre_ == options_.dataCentre_, job.tried_.contains(id),
            !kept || endpoint.get() == kept });
        choices.push_back(endpoint.get());
    }
    return candidates;
}

void StatementGateway::start(Group&, const JobPtr& job, Endpoint& endpoint)
{
    const auto link = idleLink(endpoint, *job);
    link->taken_ = true;
    link->answerBy_ = job->arrived_ + job->route_->statementTimeout_;
    job->link_ = link;
    ++job->attempts_;
    ++job->outstanding_;
    ++endpoint.load_.inFlight_;
    const auto now = suspendAwareNow();
    job->sent_ = now;
    metrics_.record(HistogramId::QueueTime, now - job->arrived_);
    LogLine(LogKind::Placement, "placed")
        .with("request", job->id_)
        .with("endpoint", endpoint.record_.id_.value_)
        .with("catalog", job->catalog_->version_)
        .with("floor_age", job->floor_ ? now - job->floor_->reached_ : Duration::zero())
        .with("waited", now - job->arrived_)
        .with("attempt", static_cast<std::uint64_t>(job->attempts_));
    runOn(job, link);
}

void StatementGateway::runOn(const JobPtr& job, const EndpointLinkPtr& link)
{
    const auto& sql = job->session_->sql_;
    sendFit(link, sql, job->shape_);
    if (job->opensTransaction_)
        return runFirst(job, link, sql.readOnly_ && !job->needsPrimary_);
    runSingle(job, link, job->needsPrimary_ && job->kind_ == StatementKind::Read);
}

void StatementGateway::runSingle(const JobPtr& job, const EndpointLinkPtr& link, bool proveLead)
{
    if (!proveLead) {
        const auto text = job->needsPrimary_ ? job->text_ : platform::withFloor(job->floor_->position_, job->text_);
        return link->exchange(platform::encodeQuery(job->id_, text),
            [this, job, link](const EndpointReply* reply) { finished(job, link, reply, false); });
    }
    // A database that has lost the lead refuses to begin, so a read inside a transaction proves the lead. Time and
    // proof belong to this attempt alone: another one may be under way.
    const auto began = std::make_shared<bool>(false);
    link->exchange(
        platform::encodeOwn(platform::beginText()), [this, job, began, sent = job->sent_](const EndpointReply* reply) {
            *began = reply && !reply->error_;
            if (*began && reply->position_.term_ > 0)
                sampled(groupOf(job->group_), { sent, reply->position_ });
        });
    link->exchange(platform::encodeQuery(job->id_, job->text_),
        [this, job, link, began](const EndpointReply* reply) { finished(job, link, reply, reply && !*began); });
    link->exchange(platform::encodeOwn(platform::rollbackText()), [this, link](const EndpointReply* reply) {
        freeLink(link, reply && reply->mark_ == platform::SessionMark::Idle);
    });
}

void StatementGateway::runFirst(const JobPtr& job, const EndpointLinkPtr& link, bool readOnly)
{
    const auto begin = readOnly ? platform::withFloor(job->floor_->position_, platform::beginReadText())
                                : std::string(platform::beginText());
    // A statement after a refused begin would run outside the transaction, so it waits for the answer.
    link->exchange(platform::encodeOwn(begin), [this, job, link, readOnly](const EndpointReply* reply) {
        if (!reply || reply->error_)
            return finished(job, link, reply, reply != nullptr);
        if (!readOnly && reply->position_.term_ > 0)
            sampled(groupOf(job->group_), { job->sent_, reply->position_ });
        if (job->isDone_)
            return finished(job, link, nullptr, false);
        link->exchange(platform::encodeQuery(job->id_, job->text_),
            [this, job, link](const EndpointReply* answered) { finishedFirst(job, link, answered); });
    });
}

void StatementGateway::finishedFirst(const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply* reply)
{
    const bool ran = reply && !reply->error_;
    if (ran && !job->isDone_ && !job->session_->closed_) {
        auto& session = *job->session_;
        session.link_ = link;
        session.sql_.transaction_ = TransactionState::Open;
        session.wrote_ |= job->kind_ == StatementKind::Write;
    }
    finished(job, link, reply, false);
}

void StatementGateway::finished(
    const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply* reply, bool beginRefused)
{
    if (auto* endpoint = find(link->endpoint()); endpoint && endpoint->load_.inFlight_ > 0)
        --endpoint->load_.inFlight_;
    --job->outstanding_;
    if (reply)
        learn(job, link, *reply);
    const auto& session = job->session_;
    const bool ownsTransaction = session->link_ == link;
    const bool provedLead
        = job->needsPrimary_ && job->kind_ == StatementKind::Read && !job->opensTransaction_ && !ownsTransaction;
    if (job->isDone_ || session->closed_) {
        // The client is gone or was answered; the connection is used again only if nothing is open on it.
        if (!provedLead)
            freeLink(link, reply && reply->mark_ == platform::SessionMark::Idle && !ownsTransaction);
        return jobDone(job);
    }
    const bool failed = !reply || reply->error_ || beginRefused;
    // The other attempt may still be answered.
    if (failed && job->outstanding_ > 0) {
        if (!provedLead)
            freeLink(link, reply && reply->mark_ == platform::SessionMark::Idle);
        return;
    }
    if (failed && !ownsTransaction) {
        if (!provedLead && reply && reply->mark_ != platform::SessionMark::Idle) {
            link->exchange(platform::encodeOwn(platform::rollbackText()), [this, link](const EndpointReply* ended) {
                freeLink(link, ended && ended->mark_ == platform::SessionMark::Idle);
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
        release(session, reply.mark_ != platform::SessionMark::Idle);
        session->sql_.transaction_ = TransactionState::None;
    }
    failStatement(session, error, reply.error_ ? std::string_view(reply.error_->text_) : std::string_view());
}

void StatementGateway::answerSuccess(
    const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply& reply, bool provedLead)
{
    const auto& session = job->session_;
    auto& sql = session->sql_;
    jobDone(job);
    const bool wrote = job->kind_ == StatementKind::Write && sql.transaction_ == TransactionState::None;
    const bool committed = job->kind_ == StatementKind::Commit;
    if (committed) {
        release(session, reply.mark_ != platform::SessionMark::Idle);
        sql.transaction_ = TransactionState::None;
    } else if (sql.transaction_ == TransactionState::None && !provedLead) {
        freeLink(link, reply.mark_ == platform::SessionMark::Idle);
    }
    if ((wrote || (committed && session->wrote_)) && reply.position_.term_ > 0) {
        sql.ownCommit_ = { reply.position_, suspendAwareNow() };
        sampled(groupOf(job->group_), { job->sent_, reply.position_ });
        metrics_.add(CounterId::Writes);
    }
    metrics_.record(HistogramId::RequestTime, suspendAwareNow() - job->arrived_);
    session->busy_ = false;
    answer(session, reply);
    finishOperation(session);
    session->channel_->offer();
}

// Ends a statement with an error and goes on with what the client has sent since.
void StatementGateway::failStatement(const SessionPtr& session, StatementError error, std::string_view text)
{
    session->busy_ = false;
    refuse(session, error, text);
    finishOperation(session);
    session->channel_->offer();
}

void StatementGateway::learn(const JobPtr& job, const EndpointLinkPtr& link, const EndpointReply& reply)
{
    auto* endpoint = find(link->endpoint());
    if (!endpoint)
        return;
    const auto now = suspendAwareNow();
    auto& load = endpoint->load_;
    const auto floorAge = job->floor_ ? job->sent_ - job->floor_->reached_ : Duration::zero();
    if (!reply.error_) {
        recordAnswer(load, now - job->sent_, now);
        metrics_.record(HistogramId::RunTime, now - job->sent_);
        if (job->floor_ && endpoint->record_.role_ == EndpointRole::Replica)
            recordCaughtUp(load, floorAge);
        if (job->kind_ == StatementKind::Read)
            metrics_.add(job->needsPrimary_ ? CounterId::ReadsAtPrimary : CounterId::ReadsAtReplica);
        return;
    }
    load.answered_ = now;
    load.failingSince_ = {};
    if (reply.error_->error_ == StatementError::Overloaded) {
        recordShed(load, now);
        if (job->atPrimary_ && !job->needsPrimary_)
            recordStrain(load, now);
    }
    if (reply.error_->error_ == StatementError::Behind)
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
    } else if (reply->error_->error_ == StatementError::Behind) {
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
    job->hedged_ = true;
    metrics_.count(Reason::RetryAnswerLate);
    LogLine(LogKind::Retry, reasonInfo(Reason::RetryAnswerLate).name_)
        .with("request", job->id_)
        .with("from", job->link_->endpoint().value_)
        .with("to", endpoint->record_.id_.value_)
        .with("sent_ago", now - job->sent_);
    start(group, job, *endpoint);
}

// The connection of the statement ended before its answer, or before the statement could be sent.
void StatementGateway::lost(const JobPtr& job, bool wasSent)
{
    const auto& session = job->session_;
    auto& sql = session->sql_;
    const bool commits = job->kind_ == StatementKind::Commit;
    const bool mayKeep = (commits && session->wrote_)
        || (job->kind_ == StatementKind::Write && sql.transaction_ == TransactionState::None);
    const bool keeps = wasSent && mayKeep;
    const auto error = keeps                         ? StatementError::InDoubt
        : sql.transaction_ == TransactionState::None ? StatementError::Failed
                                                     : StatementError::Aborted;
    LogLine(keeps ? LogKind::Uncertain : LogKind::Refusal, keeps ? "in_doubt" : "aborted")
        .with("request", job->id_)
        .with("endpoint", job->link_ ? job->link_->endpoint().value_ : std::string())
        .with("cause", "connection_lost")
        .with("sent_ago", suspendAwareNow() - job->sent_);
    metrics_.count(keeps ? Reason::AnswerLost : Reason::TransactionAborted);
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
    if (!job->link_) {
        refuseJob(job, Reason::DeadlinePassed);
        return;
    }
    const auto link = job->link_;
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
    const auto comeBack = comeBackAfter(waiting, first ? first->load_.responseSeconds_ : 0, waitsForPrimary);
    const auto told = waitsForPrimary ? Reason::GroupWithoutPrimary : reason;
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
    auto& group = groupOf(job->group_);
    group.jobs_.erase(job);
    group.awaitSample_.erase(job);
    if (job->queue_ && job->item_.state_ == AdmissionItem::State::Running)
        cassiahollow::finished(*job->queue_, job->item_, suspendAwareNow());
    else if (job->queue_ && job->item_.state_ == AdmissionItem::State::Waiting)
        cancel(*job->queue_, job->item_);
    if (job->session_->job_ == job)
        job->session_->job_ = nullptr;
}

void StatementGateway::sendFit(
    const EndpointLinkPtr& link, const SqlSession& sql, const std::optional<PreparedShape>& needed)
{
    for (const auto& step : fitConnection(link->fit_, sql, needed)) {
        link->exchange(platform::encodeFit(step), [link](const EndpointReply* reply) {
            // What follows on the connection would run with wrong values.
            if (reply && reply->error_)
                link->close();
        });
    }
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
    link->taken_ = false;
    link->used_ = suspendAwareNow();
    if (const auto* endpoint = find(link->endpoint()))
        dispatch(groupOf(endpoint->record_.group_));
}

} // namespace cassiahollow
