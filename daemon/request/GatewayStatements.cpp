#include "process/EventLog.h"
#include "request/GatewayState.h"

#include <algorithm>

// The statements of the gateway: where they wait and where they run. GatewayAnswers.cpp has what becomes of them.
namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // A statement of a client that is not counted apart.
    constexpr std::size_t smallStatementBytes = 4 << 10;
    // An operation of another instance's client, besides its text.
    constexpr std::size_t operationBytes = 4 << 10;
    // Reads keep the newest sample this young, so that each has an old enough floor to choose from.
    constexpr auto sampleInterval = 250ms;
    // The instance that serves the client ends a statement at the route's time limit; a reply has to arrive before.
    constexpr auto replyMargin = 20ms;
    // While connections are scarce, control members take the samples; without them this instance takes its own.
    constexpr auto sharedSampleInterval = 1200ms;

} // namespace

bool StatementGateway::needsPrimary(const Job& job)
{
    const bool mayWrite = job.opensTransaction_ ? !job.session_->sql_.readOnly_ : job.kind_ != StatementKind::Read;
    return mayWrite || job.route_->consistency_ == Consistency::Primary;
}

// Counts what a statement needs until it has its answer; false if there is no room. Small statements of this instance's
// clients, one for each, are part of what is counted for their connections.
bool StatementGateway::holdMemory(Job& job)
{
    auto& memory = loop_.memory();
    if (!memory.isLimited())
        return true;
    const bool isOwn = !job.session_->peer_;
    if (isOwn && job.text_.size() <= smallStatementBytes)
        return true;
    const auto bytes = (isOwn ? 0 : operationBytes) + copiesOfStatement * job.text_.size();
    // A commit decides about what has run already.
    if (job.kind_ != StatementKind::Commit)
        return job.memory_.take(memory, bytes);
    job.memory_.set(memory, bytes);
    return true;
}

void StatementGateway::submit(const JobPtr& job)
{
    const auto& session = job->session_;
    recordRequest(retryBudget_, job->arrived_);
    auto& group = groupOf(job->group_);
    group.jobs_.insert(job);
    group.usesAccounts_ |= !session->account_.empty();
    // Of a peer's statement, a part of the time has passed.
    const auto left = job->arrived_ + job->route_->statementTimeout_ - suspendAwareNow();
    job->timer_
        = loop_.schedule(Clock::now() + left - (session->peer_ ? replyMargin : 0ms), [this, job] { timedOut(job); });
    if (!holdMemory(*job))
        return refuseJob(job, Reason::MemoryFull);
    if (session->sql_.transaction_ != TransactionState::Open)
        return enqueueJob(job);
    if (session->remote_)
        return forwardNext(job);
    // The connection of the transaction is its own: nothing waits.
    job->link_ = session->link_;
    auto* endpoint = find(session->link_->endpoint());
    if (session->link_->isClosed() || !endpoint)
        return lost(job, false);
    // Nothing of the transaction is kept yet, and a commit now could be one that a new primary does not have.
    if (job->kind_ == StatementKind::Commit && session->wrote_ && !mayAcknowledgeAt(group, endpoint->record_.id_))
        return refuseJob(job, Reason::PrimaryNotLeased);
    ++endpoint->load_.inFlight_;
    ++job->outstanding_;
    job->sent_ = suspendAwareNow();
    job->link_->answerBy_ = job->arrived_ + job->route_->statementTimeout_;
    sendFit(job->link_, session->sql_, job->shape_);
    session->wrote_ |= job->kind_ == StatementKind::Write;
    const auto mark = job->kind_ == StatementKind::Commit ? SessionMark::Idle : SessionMark::InTransaction;
    job->link_->exchange(clientStatement(job->id_, job->text_, mark),
        [this, job, link = job->link_](const EndpointReply* reply) { finished(job, link, reply, false); });
}

void StatementGateway::enqueueJob(const JobPtr& job)
{
    auto& group = groupOf(job->group_);
    if (isolated_ && job->needsPrimary_ && usesHolders(group) && group.isUnreachableAtHolder_)
        return refuseJob(job, Reason::GroupWithoutPrimary);
    if (forwardJob(job))
        return;
    const auto now = suspendAwareNow();
    const auto* first = primary(group);
    const bool waitsForPrimary = !first || isFailing(first->load_) || !hasResponded(first->load_);
    if (isolated_ && job->needsPrimary_ && waitsForPrimary)
        return refuseJob(job, Reason::GroupWithoutPrimary);
    if (lacksLease(group, *job)) {
        if (isolated_)
            return refuseJob(job, Reason::PrimaryNotLeased);
        group.awaitLease_.insert(job);
        job->item_.deadline_ = waitLimits(*job->route_, job->arrived_, true).latestStart_;
        return;
    }
    const auto limits = waitLimits(*job->route_, job->arrived_, waitsForPrimary);
    if (!job->needsPrimary_) {
        const bool seesOwn = job->route_->consistency_ == Consistency::ReadYourWrites;
        const auto ownCommit = seesOwn ? lastCommit(job->session_->sql_.ownCommits_, job->group_) : OwnCommit {};
        const auto notBefore = earliestSample(job->ageFrom_ - job->route_->maxAge_, ownCommit);
        const auto newest = newestSample(group.samples_);
        if (!newest || newest->requestedAt_ < notBefore
            || now - newest->requestedAt_ > (lacksConnections(group) ? sharedSampleInterval : sampleInterval))
            requestSample(group);
        const auto sample = floorSample(group.samples_, notBefore);
        if (!sample) {
            if (isolated_ && waitsForPrimary)
                return refuseJob(job, Reason::NoEndpointForRead);
            group.awaitSample_.insert(job);
            job->item_.deadline_ = limits.latestStart_;
            return;
        }
        job->floor_ = sessionFloor(*sample, ownCommit);
        job->isOwnCommitFloor_ = job->floor_->position_ == ownCommit.position_;
    }
    job->item_.class_ = ClassId(job->route_->name_);
    const auto& account = job->session_->account_;
    job->item_.service_ = ServiceId(account.empty() ? job->route_->database_ : account.value_);
    job->item_.deadline_ = limits.latestStart_;
    bool goesToPrimary = job->needsPrimary_;
    if (!goesToPrimary) {
        std::vector<Endpoint*> choices;
        goesToPrimary
            = first && !hasCaughtUpReplica(candidatesFor(group, *job, choices), now - job->floor_->reachedAt_, now);
    }
    job->atPrimary_ = goesToPrimary;
    job->queue_ = goesToPrimary ? &group.primaryQueue_ : &group.readQueue_;
    job->item_.id_ = reinterpret_cast<std::uint64_t>(job.get());
    if (const auto reason = enqueue(*job->queue_, job->item_, now))
        return refuseJob(job, *reason);
    dispatch(group);
}

// How many more statements may start at the endpoint. With accounts, an idle connection of any account counts, because
// it can be replaced, and so does one that may be opened.
std::size_t StatementGateway::room(const Endpoint& endpoint) const
{
    const auto* group = findKnownGroup(endpoint.record_.group_);
    if (!group || !group->usesAccounts_)
        return sendCapacity(endpoint.load_, endpoint.idleLinks());
    const auto limit = connectionLimitOf(endpoint);
    std::size_t open = 0;
    std::size_t free = 0;
    for (const auto& link : endpoint.links_) {
        open += link->isClosed() ? 0 : 1;
        free += link->isClosed() || link->taken_ ? 0 : 1;
    }
    const auto unopened = mayOpenLink(endpoint) && open < limit ? limit - open : 0;
    return sendCapacity(endpoint.load_, free + unopened);
}

std::size_t StatementGateway::freeAtPrimary(const Group& group) const
{
    const auto* endpoint = primary(group);
    return endpoint ? room(*endpoint) : 0;
}

std::size_t StatementGateway::freeForReads(const Group& group) const
{
    std::size_t free = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint->record_.group_ == group.id_ && isUsable(*endpoint) && !isFailing(endpoint->load_))
            free += room(*endpoint);
    }
    return free;
}

// The queues expect as many statements in flight as the windows allow, and refuse at once what cannot start in time.
void StatementGateway::resizeQueues(Group& group)
{
    const auto* first = primary(group);
    std::size_t reads = 0;
    // Holders are spread over the data centres, and each of those has as many.
    const std::size_t sharers
        = group.holders_.empty() ? instances_ : group.holders_.size() * std::max<std::size_t>(dataCentres_, 1);
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint->record_.group_ != group.id_ || !isUsable(*endpoint))
            continue;
        endpoint->load_.capacity_.slotShare_ = slotShare(endpoint->record_.slots_, sharers);
        reads += sendLimit(endpoint->load_);
    }
    group.primaryQueue_.settings_.slots_ = std::max<std::size_t>(1, first ? sendLimit(first->load_) : 1);
    group.readQueue_.settings_.slots_ = std::max<std::size_t>(1, reads);
}

// Starts what may start of one queue, and refuses what is too late. True if a statement has started.
bool StatementGateway::serveQueue(
    Group& group, AdmissionQueue& queue, std::size_t free, const std::function<bool(const AdmissionItem&)>& mayStart)
{
    const auto decision = next(queue, suspendAwareNow(), free, mayStart);
    // Starting one statement may end another, so all are held.
    std::vector<std::pair<JobPtr, Reason>> refused;
    for (const auto& item : decision.refuse_)
        refused.emplace_back(reinterpret_cast<Job*>(item.item_->id_), item.reason_);
    std::vector<JobPtr> started;
    for (const auto* item : decision.start_)
        started.emplace_back(reinterpret_cast<Job*>(item->id_));
    for (const auto& [job, reason] : refused)
        refuseJob(job, reason);
    bool hasStarted = false;
    for (const auto& job : started) {
        if (job->isDone_)
            continue;
        // The lease may have ended while it waited; then it waits for the next one.
        auto* endpoint = lacksLease(group, *job) ? nullptr : placeJob(group, job);
        if (const auto link = endpoint ? linkFor(*endpoint, *job) : nullptr) {
            start(job, *endpoint, link);
            hasStarted = true;
        } else {
            cancel(queue, job->item_);
            enqueueJob(job);
        }
    }
    return hasStarted;
}

void StatementGateway::dispatch(Group& group)
{
    if (std::exchange(group.dispatching_, true)) {
        group.dispatchAgain_ = true;
        return;
    }
    do {
        group.dispatchAgain_ = false;
        resizeQueues(group);
        if (!group.usesAccounts_) {
            serveQueue(group, group.primaryQueue_, freeAtPrimary(group), {});
            serveQueue(group, group.readQueue_, freeForReads(group), {});
            continue;
        }
        // Each statement that starts changes which connections the next one finds.
        const auto mayStart
            = [&](const AdmissionItem& item) { return mayPlace(group, *reinterpret_cast<Job*>(item.id_)); };
        while (serveQueue(group, group.primaryQueue_, std::min<std::size_t>(freeAtPrimary(group), 1), mayStart)) { }
        while (serveQueue(group, group.readQueue_, std::min<std::size_t>(freeForReads(group), 1), mayStart)) { }
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

// Whether placeJob() finds an endpoint for a waiting statement of an account now. False if one of the account's own
// connections is worth waiting for.
bool StatementGateway::mayPlace(Group& group, const Job& job)
{
    std::vector<Endpoint*> choices;
    if (job.atPrimary_) {
        choices.push_back(primary(group));
    } else {
        candidatesFor(group, job, choices);
    }
    const auto waiting = waitingOf(*job.queue_, job.item_.class_, job.item_.service_);
    bool mayStartAny = false;
    bool hasOwnSoon = false;
    for (const auto* endpoint : choices) {
        if (!endpoint || room(*endpoint) == 0)
            continue;
        const auto choice = chooseLink(*endpoint, job, waiting);
        if (choice.action_ == ConnectionAction::Use)
            return true;
        hasOwnSoon |= choice.action_ == ConnectionAction::WaitForOwn;
        mayStartAny |= mayStart(choice);
    }
    return mayStartAny && !hasOwnSoon;
}

StatementGateway::Endpoint* StatementGateway::placeJob(Group& group, const JobPtr& job)
{
    const auto hasRoom = [&](const Endpoint& endpoint) {
        return room(endpoint) > 0 && (!group.usesAccounts_ || mayStart(chooseLink(endpoint, *job, 0)));
    };
    if (job->atPrimary_) {
        auto* endpoint = primary(group);
        return endpoint && hasRoom(*endpoint) ? endpoint : nullptr;
    }
    std::vector<Endpoint*> choices;
    auto candidates = candidatesFor(group, *job, choices);
    std::erase_if(
        candidates, [&](const PlacementCandidate& candidate) { return !hasRoom(*choices[candidate.index_]); });
    const auto now = suspendAwareNow();
    const auto chosen = placeRead(candidates, now - job->floor_->reachedAt_, now);
    return chosen ? choices[*chosen] : nullptr;
}

std::vector<PlacementCandidate> StatementGateway::candidatesFor(
    const Group& group, const Job& job, std::vector<Endpoint*>& choices)
{
    const auto* first = primary(group);
    const auto* kept = lacksConnections(group) ? preferred(group) : nullptr;
    std::vector<PlacementCandidate> candidates;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->record_.group_ != group.id_ || !isUsable(*endpoint) || isFailing(endpoint->load_))
            continue;
        candidates.push_back({ choices.size(), &endpoint->load_, endpoint->record_.slots_, endpoint.get() == first,
            endpoint->record_.dataCentre_ == options_.dataCentre_, job.tried_.contains(id),
            !kept || endpoint.get() == kept,
            group.usesAccounts_ && chooseLink(*endpoint, job, 0).action_ != ConnectionAction::Use });
        choices.push_back(endpoint.get());
    }
    return candidates;
}

void StatementGateway::start(const JobPtr& job, Endpoint& endpoint, const EndpointLinkPtr& link)
{
    link->taken_ = true;
    link->answerBy_ = job->arrived_ + job->route_->statementTimeout_;
    job->link_ = link;
    ++job->attempts_;
    ++job->outstanding_;
    ++endpoint.load_.inFlight_;
    const auto now = suspendAwareNow();
    job->sent_ = now;
    // A transaction keeps its connection for a time that nobody knows.
    const auto serviceTime
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expectedResponse(endpoint.load_, now)));
    link->freeBy_ = job->opensTransaction_ ? TimePoint::max()
                                           : now + serviceTime + (link->isReady() ? Duration() : connectionOpenTime);
    metrics_.record(HistogramId::QueueTime, now - job->arrived_);
    LogLine(LogKind::Placement, "placed")
        .with("request", job->id_)
        .with("endpoint", endpoint.record_.id_.value_)
        .with("catalog", job->catalog_->version_)
        .with("floor_age", job->floor_ ? now - job->floor_->reachedAt_ : Duration::zero())
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
    if (!job->needsPrimary_ && mayLackOwnCommit(*job, link->endpoint()))
        return runChecked(job, link);
    runSingle(job, link, job->needsPrimary_ && job->kind_ == StatementKind::Read);
}

// Whether the endpoint is a replica that has not shown yet that it has the session's commit.
bool StatementGateway::mayLackOwnCommit(const Job& job, const EndpointId& id)
{
    const auto* endpoint = find(id);
    return job.isOwnCommitFloor_ && endpoint && endpoint->record_.role_ == EndpointRole::Replica
        && endpoint->applied_ < job.floor_->position_;
}

// Asks for the position with a begin, which takes no slot of the endpoint, before the read is sent.
void StatementGateway::runChecked(const JobPtr& job, const EndpointLinkPtr& link)
{
    link->exchange(beginReadStatement(job->floor_->position_), [this, job, link](const EndpointReply* reply) {
        if (!reply || reply->error_)
            return finished(job, link, reply, reply != nullptr);
        link->exchange(rollbackStatement(), [](const EndpointReply*) {});
        if (job->isDone_)
            return finished(job, link, nullptr, false);
        runSingle(job, link, false);
    });
}

void StatementGateway::runSingle(const JobPtr& job, const EndpointLinkPtr& link, bool proveLead)
{
    if (!proveLead) {
        const auto text = job->needsPrimary_ ? job->text_ : platform::withFloor(job->floor_->position_, job->text_);
        return link->exchange(clientStatement(job->id_, text, SessionMark::Idle),
            [this, job, link](const EndpointReply* reply) { finished(job, link, reply, false); });
    }
    // A database that has lost the lead refuses to begin, so a read inside a transaction proves the lead. Time and
    // proof belong to this attempt alone: another one may be under way.
    const auto began = std::make_shared<std::optional<LogPosition>>();
    link->exchange(beginStatement(platform::beginText()), [began](const EndpointReply* reply) {
        if (reply && !reply->error_)
            *began = reply->position_;
    });
    // After a refused begin, the read runs outside a transaction.
    link->exchange(clientStatement(job->id_, job->text_, std::nullopt),
        [this, job, link, began, sent = job->sent_](const EndpointReply* reply) {
            // The signature of the read proves that the answer before it was the begin's.
            if (reply && !reply->error_ && *began && (*began)->term_ > 0)
                sampled(groupOf(job->group_), { sent, **began });
            finished(job, link, reply, reply && !*began);
        });
    // After a refused begin, the connection may have carried an answer to the read that is tried again.
    link->exchange(rollbackStatement(), [this, link, began](const EndpointReply* reply) {
        freeLink(link, *began && reply && reply->mark_ == SessionMark::Idle);
    });
}

void StatementGateway::runFirst(const JobPtr& job, const EndpointLinkPtr& link, bool readOnly)
{
    auto begin = readOnly ? beginReadStatement(job->floor_->position_) : beginStatement(platform::beginText());
    // A statement after a refused begin would run outside the transaction, so it waits for the answer.
    link->exchange(std::move(begin), [this, job, link, readOnly](const EndpointReply* reply) {
        if (!reply || reply->error_)
            return finished(job, link, reply, reply != nullptr);
        if (job->isDone_)
            return finished(job, link, nullptr, false);
        const auto mark = job->kind_ == StatementKind::Commit ? SessionMark::Idle : SessionMark::InTransaction;
        const auto position = readOnly ? LogPosition {} : reply->position_;
        link->exchange(
            clientStatement(job->id_, job->text_, mark), [this, job, link, position](const EndpointReply* answered) {
                if (answered && !answered->error_ && position.term_ > 0)
                    sampled(groupOf(job->group_), { job->sent_, position });
                finishedFirst(job, link, answered);
            });
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
void StatementGateway::sendFit(
    const EndpointLinkPtr& link, const SqlSession& sql, const std::optional<PreparedShape>& needed)
{
    for (const auto& step : syncConnection(link->fit_, sql, needed)) {
        link->exchange(ownStatement(platform::syncText(step)), [link](const EndpointReply* reply) {
            // What follows on the connection would run with wrong values.
            if (reply && reply->error_)
                link->close();
        });
    }
}

} // namespace cassiahollow
