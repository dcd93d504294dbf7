#include "connection/HeldEndpoint.h"

#include "process/Log.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    // An endpoint that has not answered a statement for this long is asked again on a new connection, since the old
    // one may have gone silent. Statements are safe to send again: reads have no effect and writes carry a key.
    constexpr std::chrono::milliseconds statementSilence { 1000 };
    constexpr std::chrono::seconds longestSilence { 60 };
    constexpr int silenceFactor = 8; // Times the mean run time, for endpoints whose statements are slow.
    constexpr int runTimeSmoothing = 16;

    // One statement more than the endpoint has slots keeps a slot from idling during the round trip: 8 points more of
    // the capacity in docs/measurements/connection-sharing.md.
    constexpr std::size_t extraInFlight = 1;
    // A reserved slot of 2 or 3 cost 28 or 13 points of the capacity and took only 10 to 13 ms off the tail of urgent
    // requests (same page), so one is reserved only where it is at most an eighth of the slots.
    constexpr std::size_t slotsToReserveOne = 8;

    /// Classes of different services have weights of their own even if their names are equal.
    ClassId queueClass(const ServiceId& service, const ClassId& requestClass)
    {
        return ClassId(service.value_ + "/" + requestClass.value_);
    }

    LogPosition noPosition()
    {
        return {};
    }

    bool isTransactionStep(ForwardOperation operation)
    {
        return operation == ForwardOperation::RunInTransaction || operation == ForwardOperation::Commit
            || operation == ForwardOperation::Rollback;
    }

} // namespace

HeldEndpoint::HeldEndpoint(ServeContext& context, const EndpointRecord& record)
    : context_(context)
    , record_(record)
    , queue_(admissionSettings())
    , silenceLimit_(statementSilence)
{
    pool_.settings_.connectionLimit_ = record_.connections_;
    pool_.settings_.warmConnections_ = record_.slots_;
    pool_.random_.seed(std::hash<EndpointId>()(record_.id_) ^ context_.incarnation_);
}

HeldEndpoint::~HeldEndpoint()
{
    if (timer_)
        context_.loop_.cancel(*timer_);
    for (auto& [number, connection] : connections_)
        connection.channel_->abandon();
    const auto jobs = std::exchange(jobs_, {});
    refuseAll(queue_, Reason::ShuttingDown);
    for (const auto& [id, job] : jobs) {
        stopSilenceTimer(job);
        if (job->item_.state_ == AdmissionItem::State::Running)
            cancel(queue_, job->item_);
        ForwardReply answer;
        answer.outcome_ = job->lease_.generation_ ? Outcome::Unknown : Outcome::NotRun;
        answer.reason_ = job->lease_.generation_ ? Reason::ResponseLost : Reason::ShuttingDown;
        answer.wasSent_ = job->lease_.generation_ != 0;
        reply(job, std::move(answer));
    }
}

AdmissionSettings HeldEndpoint::admissionSettings() const
{
    AdmissionSettings settings;
    const std::size_t slots = std::max<std::size_t>(record_.slots_, 1);
    settings.slots_ = slots + extraInFlight;
    const auto queueLimit = static_cast<std::size_t>(groupSettings(context_.tree_, record_.group_).queueLimit_);
    settings.maximumLength_ = std::min(context_.settings_.limits_.maxQueuedRequests_, queueLimit);
    for (const auto& service : servicesOf(context_.tree_)) {
        for (const auto& requestClass : classesOf(context_.tree_, service)) {
            if (const auto known = classSettings(context_.tree_, service, requestClass))
                settings.classes_[queueClass(service, requestClass)]
                    = { static_cast<double>(std::max<std::int64_t>(known->weight_, 1)),
                          known->urgent_ && slots >= slotsToReserveOne };
        }
    }
    return settings;
}

void HeldEndpoint::update(const EndpointRecord& record)
{
    record_ = record;
    pool_.settings_.connectionLimit_ = record.connections_;
    pool_.settings_.warmConnections_ = record.slots_;
    configure(queue_, admissionSettings());
    pump();
}

void HeldEndpoint::becomeHolder()
{
    perform(cassiahollow::becomeHolder(pool_, Clock::now()));
    pump();
}

void HeldEndpoint::ceaseHolder()
{
    perform(cassiahollow::ceaseHolder(pool_, Clock::now()));
    for (const auto& refused : refuseAll(queue_, Reason::RetryHolderMoved)) {
        const auto found = jobs_.find(refused.item_->id_);
        if (found != jobs_.end())
            refuse(JobPtr(found->second), refused.reason_);
    }
    pump();
}

void HeldEndpoint::run(
    ForwardRequest request, LeaseOwner owner, TimePoint deadline, Term term, ReplyHandler replyHandler)
{
    const JobPtr job(new Job);
    job->request_ = std::move(request);
    job->owner_ = std::move(owner);
    job->term_ = term;
    job->reply_ = std::move(replyHandler);
    job->enqueued_ = Clock::now();
    job->item_.class_ = queueClass(job->request_.service_, job->request_.class_);
    job->item_.service_ = job->request_.service_;
    // The latest useful start: what starts later than this would be answered after the caller's deadline.
    job->item_.deadline_ = deadline - expectedRunTime_;
    job->item_.id_ = ++lastJob_;
    jobs_[job->item_.id_] = job;
    if (isTransactionStep(job->request_.operation_)) {
        const auto transaction = transactions_.find({ job->owner_.instance_, job->request_.transaction_ });
        if (transaction == transactions_.end() || transaction->second.owner_ != job->owner_) {
            refuse(job, Reason::TransactionUnknown);
            return;
        }
        job->item_.ownsConnection_ = true;
        job->lease_ = transaction->second.lease_;
        job->term_ = transaction->second.term_;
    } else if (!isHolder()) {
        refuse(job, Reason::RetryHolderMoved);
        return;
    }
    if (const auto refusal = enqueue(queue_, job->item_, Clock::now())) {
        job->lease_ = {};
        refuse(job, *refusal);
        return;
    }
    job->deadlineTimer_ = context_.loop_.schedule(deadline, [this, job] {
        job->deadlineTimer_.reset();
        deadlinePassed(job);
    });
    pump();
}

void HeldEndpoint::pump()
{
    if (std::exchange(pumping_, true)) {
        pumpAgain_ = true;
        return;
    }
    do {
        pumpAgain_ = false;
        const TimePoint now = Clock::now();
        const AdmissionDecision decision = next(queue_, now, freeConnections(pool_));
        for (const auto& refused : decision.refuse_) {
            if (const auto found = jobs_.find(refused.item_->id_); found != jobs_.end())
                refuse(JobPtr(found->second), refused.reason_);
        }
        for (AdmissionItem* item : decision.start_) {
            if (const auto found = jobs_.find(item->id_); found != jobs_.end())
                start(JobPtr(found->second));
        }
        // More connections than free slots would not start anything sooner.
        const std::size_t freeSlots = queue_.settings_.slots_ - std::min(queue_.running_, queue_.settings_.slots_);
        perform(setWaitingRequests(pool_, std::min(queue_.waiting_, freeSlots), now));
    } while (pumpAgain_);
    pumping_ = false;
    armTimer();
}

void HeldEndpoint::armTimer()
{
    if (timer_)
        context_.loop_.cancel(*timer_);
    timer_.reset();
    std::optional<TimePoint> at = nextPoolTimer(pool_, Clock::now());
    if (const auto deadline = nextDeadline(queue_); deadline && (!at || *deadline < *at))
        at = deadline;
    if (!at)
        return;
    timer_ = context_.loop_.schedule(*at, [this] {
        timer_.reset();
        perform(poolTimer(pool_, Clock::now()));
        pump();
    });
}

void HeldEndpoint::start(const JobPtr& job)
{
    const TimePoint now = Clock::now();
    context_.metrics_.record(HistogramId::QueueTime, now - job->enqueued_);
    if (!job->item_.ownsConnection_) {
        const auto leased = lease(pool_, job->owner_, now);
        if (!leased) {
            cancel(queue_, job->item_);
            refuse(job, Reason::RetryConnectionRefused);
            return;
        }
        job->lease_ = *leased;
    }
    const ForwardOperation operation = job->request_.operation_;
    const bool opensTransaction = operation != ForwardOperation::Run && operation != ForwardOperation::Lookup;
    if (!statementStarted(pool_, job->lease_, opensTransaction, now)) {
        job->lease_ = {};
        cancel(queue_, job->item_);
        transactions_.erase({ job->owner_.instance_, job->request_.transaction_ });
        refuse(job, Reason::TransactionIdle);
        return;
    }
    sendJob(job);
}

void HeldEndpoint::sendJob(const JobPtr& job)
{
    Connection& connection = connections_[job->lease_.connection_];
    connection.job_ = job;
    connection.sent_ = Clock::now();
    const ForwardRequest& request = job->request_;
    EndpointOperation operation = BeginRequest { job->term_ };
    switch (request.operation_) {
    case ForwardOperation::Run:
        operation
            = RunRequest { job->term_, request.statements_, request.readOnly_, false, request.key_, request.required_ };
        break;
    case ForwardOperation::RunInTransaction:
        operation = RunRequest { job->term_, request.statements_, request.readOnly_, true, {}, noPosition() };
        break;
    case ForwardOperation::Commit:
        operation = CommitRequest { job->term_, request.key_ };
        break;
    case ForwardOperation::Rollback:
        operation = RollbackRequest { job->term_ };
        break;
    case ForwardOperation::Lookup:
        operation = LookupRequest { request.key_ };
        break;
    case ForwardOperation::Begin:
        break;
    }
    connection.channel_->send(encodeEndpointRequest({ ++connection.lastExchange_, std::move(operation) }));
    const ConnectionNumber number = job->lease_.connection_;
    job->silenceTimer_ = context_.loop_.schedule(Clock::now() + silenceLimit_, [this, job, number] {
        job->silenceTimer_.reset();
        // If statements have become slow, the next one is given twice the time.
        silenceLimit_ = std::min<Duration>(2 * silenceLimit_, longestSilence);
        abandonConnection(number, Reason::EndpointSilent);
    });
}

void HeldEndpoint::reply(const JobPtr& job, ForwardReply answer)
{
    if (job->deadlineTimer_)
        context_.loop_.cancel(*job->deadlineTimer_);
    job->deadlineTimer_.reset();
    if (std::exchange(job->replied_, true))
        return;
    answer.number_ = job->request_.number_;
    const auto handler = std::move(job->reply_);
    handler(std::move(answer));
}

void HeldEndpoint::refuse(const JobPtr& job, Reason reason, std::string detail)
{
    jobs_.erase(job->item_.id_);
    ForwardReply answer;
    answer.outcome_ = Outcome::NotRun;
    answer.reason_ = reason;
    answer.detail_ = std::move(detail);
    reply(job, std::move(answer));
}

void HeldEndpoint::loseJob(const JobPtr& job, Reason reason)
{
    jobs_.erase(job->item_.id_);
    if (job->item_.state_ == AdmissionItem::State::Running)
        cancel(queue_, job->item_);
    stopSilenceTimer(job);
    context_.metrics_.count(reason);
    ForwardReply answer;
    answer.outcome_ = Outcome::Unknown;
    answer.reason_ = Reason::ResponseLost;
    answer.wasSent_ = true;
    reply(job, std::move(answer));
}

void HeldEndpoint::stopSilenceTimer(const JobPtr& job)
{
    if (job->silenceTimer_)
        context_.loop_.cancel(*job->silenceTimer_);
    job->silenceTimer_.reset();
}

void HeldEndpoint::deadlinePassed(const JobPtr& job)
{
    if (job->replied_)
        return;
    if (job->item_.state_ == AdmissionItem::State::Waiting) {
        cancel(queue_, job->item_);
        refuse(job, Reason::DeadlinePassed);
        pump();
        return;
    }
    // The statement goes on at the endpoint and keeps its slot; its late answer is dropped.
    ForwardReply answer;
    answer.outcome_ = Outcome::Unknown;
    answer.reason_ = Reason::ResponseLost;
    answer.wasSent_ = true;
    reply(job, std::move(answer));
}

void HeldEndpoint::finishJob(const JobPtr& job, bool transactionOpen, bool refusedInTransaction)
{
    const TimePoint now = Clock::now();
    jobs_.erase(job->item_.id_);
    if (job->item_.state_ == AdmissionItem::State::Running)
        finished(queue_, job->item_, now);
    stopSilenceTimer(job);
    // A refused step may have left the transaction open at the endpoint, so the pool has to close the connection.
    statementFinished(pool_, job->lease_, transactionOpen || refusedInTransaction, now);
    const TransactionKey transaction { job->owner_.instance_, job->request_.transaction_ };
    if (transactionOpen && !job->replied_) {
        transactions_[transaction] = { job->lease_, job->owner_, job->term_ };
        return;
    }
    // Also reached by a transaction whose caller was told that the outcome is unknown: its connection is closed.
    transactions_.erase(transaction);
    perform(returnConnection(pool_, job->lease_, now));
}

void HeldEndpoint::receive(ConnectionNumber number, const std::string& text)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return;
    const auto answer = decodeEndpointResponse(text);
    if (!answer) {
        abandonConnection(number, Reason::MessageMalformed);
        return;
    }
    receiveAnswer(number, found->second, *answer);
}

void HeldEndpoint::receiveAnswer(ConnectionNumber number, Connection& connection, const EndpointResponse& answer)
{
    if (const auto* refusal = std::get_if<NotRunResponse>(&answer.result_);
        refusal && refusal->reason_ == EndpointRefusal::ConnectionLimit) {
        abandonConnection(number, Reason::EndpointConnectionLimit);
        return;
    }
    if (answer.exchange_ != connection.lastExchange_) {
        abandonConnection(number, Reason::ResponseMismatched);
        return;
    }
    if (!connection.greeted_) {
        const auto* hello = std::get_if<HelloResponse>(&answer.result_);
        if (!hello || hello->endpoint_ != record_.id_) {
            abandonConnection(number, Reason::ResponseMismatched);
            return;
        }
        connection.greeted_ = true;
        perform(connected(pool_, number, Clock::now()));
        pump();
        return;
    }
    const JobPtr job = std::exchange(connection.job_, nullptr);
    if (!job) {
        abandonConnection(number, Reason::ResponseMismatched);
        return;
    }
    const Duration runTime = Clock::now() - connection.sent_;
    context_.metrics_.record(HistogramId::RunTime, runTime);
    expectedRunTime_ += (runTime - expectedRunTime_) / runTimeSmoothing;
    silenceLimit_ = std::max<Duration>(statementSilence, silenceFactor * expectedRunTime_);
    const ForwardOperation operation = job->request_.operation_;
    ForwardReply reply;
    reply.wasSent_ = true;
    bool transactionOpen = operation == ForwardOperation::Begin || operation == ForwardOperation::RunInTransaction;
    bool refusedInTransaction = false;
    if (const auto* done = std::get_if<DoneResponse>(&answer.result_)) {
        reply.outcome_ = Outcome::Done;
        reply.answers_ = done->responses_;
        reply.position_ = done->position_;
        reply.repeatedKey_ = done->repeated_;
    } else if (const auto* present = std::get_if<PresentResponse>(&answer.result_)) {
        reply.outcome_ = Outcome::Done;
        reply.answers_ = present->responses_;
        reply.position_ = present->position_;
        reply.repeatedKey_ = true;
    } else if (const auto* absent = std::get_if<AbsentResponse>(&answer.result_)) {
        reply.outcome_ = Outcome::Done;
        reply.position_ = absent->position_;
    } else if (const auto* refusal = std::get_if<NotRunResponse>(&answer.result_)) {
        reply.outcome_ = Outcome::NotRun;
        reply.reason_ = reasonOfRefusal(refusal->reason_);
        reply.detail_ = refusal->detail_;
        reply.routeTerm_ = refusal->promisedTerm_;
        refusedInTransaction = operation != ForwardOperation::Run && operation != ForwardOperation::Lookup;
        // The caller may go on after a statement that failed; after any other refusal the transaction is given up.
        transactionOpen
            = operation == ForwardOperation::RunInTransaction && refusal->reason_ == EndpointRefusal::StatementFailed;
    } else {
        connection.job_ = job;
        abandonConnection(number, Reason::ResponseMismatched);
        return;
    }
    finishJob(job, transactionOpen, refusedInTransaction);
    this->reply(job, std::move(reply));
    pump();
}

void HeldEndpoint::channelClosed(ConnectionNumber number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return;
    const bool greeted = found->second.greeted_;
    const JobPtr job = found->second.job_;
    connections_.erase(found);
    std::erase_if(transactions_, [&](const auto& entry) { return entry.second.lease_.connection_ == number; });
    if (greeted) {
        perform(connectionLost(pool_, number, Clock::now()));
    } else {
        context_.metrics_.count(Reason::EndpointConnectFailed);
        perform(connectFailed(pool_, number, Clock::now()));
    }
    if (job)
        loseJob(job, Reason::RetryConnectionLost);
    pump();
}

void HeldEndpoint::abandonConnection(ConnectionNumber number, Reason reason)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return;
    context_.metrics_.count(reason);
    found->second.channel_->abandon();
    channelClosed(number);
}

void HeldEndpoint::perform(const PoolActions& actions)
{
    for (const auto& action : actions) {
        if (action.kind_ == PoolAction::Kind::Open)
            open(action.connection_);
        else
            close(action);
    }
}

void HeldEndpoint::open(ConnectionNumber number)
{
    ChannelHandlers handlers;
    handlers.message_ = [this, number](const std::string& text) { receive(number, text); };
    handlers.closed_ = [this, number] { channelClosed(number); };
    Connection& connection = connections_[number];
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(pool_.settings_.connectTimeout_);
    connection.channel_ = context_.channels_.open(record_.address_, timeout, std::move(handlers));
    connection.channel_->send(
        encodeEndpointRequest({ ++connection.lastExchange_, HelloRequest { context_.settings_.instance_ } }));
}

void HeldEndpoint::close(const PoolAction& action)
{
    const auto found = connections_.find(action.connection_);
    if (found == connections_.end())
        return;
    const JobPtr job = found->second.job_;
    found->second.channel_->abandon();
    connections_.erase(found);
    std::erase_if(
        transactions_, [&](const auto& entry) { return entry.second.lease_.connection_ == action.connection_; });
    if (job)
        loseJob(job, action.reason_.value_or(Reason::RetryConnectionLost));
    else if (action.reason_)
        context_.metrics_.count(*action.reason_);
}

void HeldEndpoint::endOwner(const LeaseOwner& owner)
{
    perform(closeOwner(pool_, owner, Clock::now()));
    pump();
}

void HeldEndpoint::endInstance(const InstanceId& instance)
{
    perform(closeInstance(pool_, instance, Clock::now()));
    pump();
}

} // namespace cassiahollow
