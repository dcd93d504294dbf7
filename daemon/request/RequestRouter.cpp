#include "request/RequestRouter.h"
#include "process/ValueOrFailure.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    // Attempt numbers start at the incarnation, in ms, so that a late reply to an earlier process of this instance can
    // never be taken for the reply to an attempt of this one.
    constexpr unsigned sequenceBits = 20;
    constexpr std::chrono::seconds longestDeadline { 60 };
    // An attempt without any reply for this long is given up: its holder may be gone, or the connection to it silent.
    // Membership needs about 4 s to declare an instance dead, so this is the faster way out.
    constexpr std::chrono::milliseconds attemptSilence { 3000 };
    constexpr std::chrono::milliseconds firstRetryDelay { 10 };
    constexpr std::chrono::milliseconds longestRetryDelay { 200 };
    constexpr std::uint32_t immediateReadAttempts = 3; // The other replica and the primary are tried without a pause.

    bool isRetryable(const ForwardReply& reply)
    {
        if (reply.outcome_ == Outcome::Unknown)
            return true; // Reads have no effect, so a lost answer may be asked for again.
        switch (reply.reason_.value_or(Reason::Count)) {
        case Reason::RetryHolderMoved:
        case Reason::RetryStaleRoute:
        case Reason::RetryReplicaBehind:
        case Reason::RetryConnectionRefused:
        case Reason::RetryConnectionLost:
        case Reason::EndpointLeaving:
        case Reason::EndpointConnectionLimit:
        case Reason::HolderUnreachable:
        case Reason::StaleTerm:
        case Reason::GroupWithoutPrimary:
            return true;
        default:
            return false;
        }
    }

    Duration retryDelay(std::uint32_t attempts)
    {
        if (attempts < immediateReadAttempts)
            return Duration::zero();
        const auto doublings = std::min<std::uint32_t>(attempts - immediateReadAttempts, 5);
        return std::min<Duration>(firstRetryDelay * (1 << doublings), longestRetryDelay);
    }

    ForwardReply lostReply()
    {
        ForwardReply reply;
        reply.outcome_ = Outcome::Unknown;
        reply.reason_ = Reason::ResponseLost;
        reply.wasSent_ = true;
        return reply;
    }

    ForwardReply notRunReply(Reason reason)
    {
        ForwardReply reply;
        reply.outcome_ = Outcome::NotRun;
        reply.reason_ = reason;
        return reply;
    }

} // namespace

RequestRouter::RequestRouter(ServeContext& context, HolderService& holder, SessionKeys keys, RequestRouterHooks hooks)
    : context_(context)
    , holder_(holder)
    , keys_(std::move(keys))
    , hooks_(std::move(hooks))
    , lastNumber_(context.incarnation_ << sequenceBits)
{
}

void RequestRouter::refuseCaller(const AnswerHandler& handler, Reason reason, std::string detail, std::string key)
{
    context_.metrics_.count(reason);
    CallerAnswer answer;
    answer.outcome_ = reasonInfo(reason).outcome_;
    answer.reason_ = reason;
    answer.detail_ = std::move(detail);
    answer.key_ = std::move(key);
    handler(std::move(answer));
}

void RequestRouter::assignKey(Open& open)
{
    // The caller is told the key, so that it can resend a request whose outcome is unknown.
    if (open.request_.key_.empty())
        open.request_.key_ = generatedWriteKey(context_.settings_.instance_, context_.incarnation_, ++lastKey_);
}

bool RequestRouter::prepare(CallerRequest& request, Open& open)
{
    Failure failure;
    open.arrived_ = Clock::now();
    const auto service = valueOrFailure([&] { return serviceSettings(context_.tree_, request.service_); }, failure);
    const auto requestClass = service
        ? valueOrFailure([&] { return classSettings(context_.tree_, request.service_, request.class_); }, failure)
        : std::nullopt;
    if (!requestClass) {
        refuseCaller(open.handler_, failure.reason_, failure.detail_, request.key_);
        return false;
    }
    open.session_.service_ = request.service_;
    if (!request.session_.empty()) {
        auto session
            = valueOrFailure([&] { return decodeSessionToken(request.session_, keys_, request.service_); }, failure);
        if (!session) {
            refuseCaller(open.handler_, failure.reason_, failure.detail_, request.key_);
            return false;
        }
        open.session_ = std::move(*session);
    }
    open.service_ = *service;
    open.class_ = *requestClass;
    const auto allowed
        = std::min<std::chrono::milliseconds>(request.deadline_.value_or(open.class_.deadline_), longestDeadline);
    open.deadline_ = open.arrived_ + allowed;
    open.request_ = std::move(request);
    return true;
}

void RequestRouter::finish(Open& open, CallerAnswer answer)
{
    if (answer.outcome_ == Outcome::Done) {
        Failure failure;
        const auto token = valueOrFailure([&] { return encodeSessionToken(open.session_, keys_); }, failure);
        answer.session_ = token ? *token : open.request_.session_;
    } else {
        answer.session_ = open.request_.session_;
        if (answer.reason_)
            context_.metrics_.count(*answer.reason_);
    }
    context_.metrics_.countRequest(
        open.request_.service_, open.request_.class_, answer.outcome_, static_cast<std::uint32_t>(open.class_.weight_));
    context_.metrics_.record(HistogramId::RequestTime, Clock::now() - open.arrived_);
    --openRequests_;
    const auto handler = std::move(open.handler_);
    handler(std::move(answer));
}

void RequestRouter::openWrite(const WritePtr& write, WriteKind kind)
{
    ++openRequests_;
    assignKey(*write);
    WriteRequest details;
    details.key_ = callerWriteKey(write->request_.service_, write->request_.key_);
    details.kind_ = kind;
    details.keysStored_ = groupSettings(context_.tree_, write->service_.group_).keysStored_;
    details.deadline_ = write->deadline_;
    write->state_ = startWrite(std::move(details));
    writes_[write->service_.group_].insert(write);
}

void RequestRouter::handle(CallerRequest request, AnswerHandler handler)
{
    if (request.readOnly_) {
        recordRequest(budget_, Clock::now()); // The state machine of a write records its own.
        auto read = std::make_shared<Read>();
        read->handler_ = std::move(handler);
        if (!prepare(request, *read))
            return;
        ++openRequests_;
        startRead(read);
        return;
    }
    auto write = std::make_shared<Write>();
    write->handler_ = std::move(handler);
    if (!prepare(request, *write))
        return;
    openWrite(write, WriteKind::Statements);
    if (const auto route = routeOf(context_.membership_.directory_, write->service_.group_))
        feed(write, WriteRouteChanged { { route->primary_, route->term_ } });
    else
        feed(write, WriteTimer {});
}

// Reads.

EndpointId RequestRouter::endpointForRead(const Read& read)
{
    const auto& directory = context_.membership_.directory_;
    const auto route = routeOf(directory, read.service_.group_);
    std::vector<EndpointId> replicas;
    for (const auto& endpoint : groupMemberIds(context_.membership_, read.service_.group_)) {
        const bool isPrimary = route && route->primary_ == endpoint;
        if (!isPrimary && !read.tried_.count(endpoint) && findEndpoint(directory, endpoint)
            && !isLeaving(directory, endpoint))
            replicas.push_back(endpoint);
    }
    if (!replicas.empty())
        return replicas[spread_++ % replicas.size()];
    return route ? route->primary_ : EndpointId();
}

void RequestRouter::startRead(const ReadPtr& read)
{
    const EndpointId endpoint = endpointForRead(*read);
    if (endpoint.empty()) {
        retryRead(read, Reason::NoEndpointForRead);
        return;
    }
    tryRead(read, endpoint, requiredPosition(read->session_, read->service_.group_), false);
}

void RequestRouter::tryRead(const ReadPtr& read, const EndpointId& endpoint, LogPosition required, bool finalChoice)
{
    ++read->attempts_;
    ForwardRequest request = forwardRequest(*read, endpoint);
    request.readOnly_ = true;
    request.required_ = required;
    request.finalChoice_ = finalChoice;
    if (read->class_.maxAge_ > std::chrono::milliseconds::zero())
        request.maxAge_ = std::min(read->request_.maxAge_.value_or(read->class_.maxAge_), read->class_.maxAge_);
    dispatch(std::move(request), std::nullopt,
        [this, read, endpoint](ForwardReply reply) { readReplied(read, endpoint, std::move(reply)); });
}

void RequestRouter::readReplied(const ReadPtr& read, const EndpointId& endpoint, ForwardReply reply)
{
    if (reply.outcome_ == Outcome::Done) {
        recordRead(read->session_, read->service_.group_, reply.position_);
        CallerAnswer answer;
        answer.outcome_ = Outcome::Done;
        answer.answers_ = std::move(reply.answers_);
        finish(*read, std::move(answer));
        return;
    }
    if (!reply.redirect_.empty() && read->attempts_ < immediateReadAttempts) {
        context_.metrics_.count(Reason::RetryReplicaBehind);
        tryRead(read, reply.redirect_, reply.position_, true);
        return;
    }
    if (isRetryable(reply)) {
        read->tried_.insert(endpoint);
        retryRead(read, reply.reason_.value_or(Reason::RetryConnectionLost));
        return;
    }
    CallerAnswer answer;
    answer.outcome_ = reply.outcome_;
    answer.reason_ = reply.reason_;
    answer.detail_ = std::move(reply.detail_);
    finish(*read, std::move(answer));
}

void RequestRouter::retryRead(const ReadPtr& read, Reason reason)
{
    const TimePoint now = Clock::now();
    const Duration delay = retryDelay(read->attempts_);
    std::optional<Reason> end;
    if (now + delay >= read->deadline_)
        end = reason == Reason::NoEndpointForRead ? reason : Reason::DeadlinePassed;
    else if (read->attempts_ > 0 && !takeRetry(budget_, now))
        end = Reason::RetryBudgetSpent;
    if (end) {
        CallerAnswer answer;
        answer.outcome_ = reasonInfo(*end).outcome_;
        answer.reason_ = end;
        finish(*read, std::move(answer));
        return;
    }
    context_.metrics_.count(reason);
    if (read->attempts_ % immediateReadAttempts == 0)
        read->tried_.clear();
    // Also after no delay the loop is used, so that refusals cannot recurse.
    context_.loop_.schedule(
        now + std::max<Duration>(delay, read->attempts_ ? Duration::zero() : Duration(firstRetryDelay)),
        [this, read] { startRead(read); });
}

// Writes.

void RequestRouter::feed(const WritePtr& write, const WriteEvent& event)
{
    if (write->state_.responded_)
        return;
    const WriteAction action = stepWrite(write->state_, event, budget_, Clock::now());
    if (write->timer_)
        context_.loop_.cancel(*write->timer_);
    write->timer_.reset();
    if (const auto* runAt = std::get_if<WriteRunAt>(&action)) {
        // From here on the holder may run the attempt, so it counts as sent until the holder says that it was not.
        feed(write, WriteSent { runAt->attempt_ });
        if (!write->state_.responded_)
            tryWrite(write, *runAt);
        // The machine says when it wants to be woken only when it waits; the deadline holds in every state.
        if (!write->state_.responded_ && !write->timer_)
            write->timer_ = context_.loop_.schedule(write->deadline_, [this, write] {
                write->timer_.reset();
                feed(write, WriteTimer {});
            });
    } else if (const auto* answer = std::get_if<WriteResponse>(&action)) {
        answerWrite(write, *answer);
    } else {
        write->timer_ = context_.loop_.schedule(std::get<WriteWait>(action).until_, [this, write] {
            write->timer_.reset();
            feed(write, WriteTimer {});
        });
    }
}

void RequestRouter::tryWrite(const WritePtr& write, const WriteRunAt& action)
{
    ForwardRequest request = forwardRequest(*write, action.endpoint_);
    request.term_ = action.term_;
    request.key_ = action.key_;
    std::optional<InstanceId> holder;
    if (action.lookup_) {
        request.operation_ = ForwardOperation::Lookup;
        request.statements_.clear();
    } else if (write->state_.request_.kind_ == WriteKind::Commit) {
        request.operation_ = ForwardOperation::Commit;
        request.endpoint_ = write->endpoint_;
        request.transaction_ = write->transaction_;
        holder = write->holder_;
    }
    dispatch(std::move(request), holder,
        [this, write, action](ForwardReply reply) { writeReplied(write, action, std::move(reply)); });
}

void RequestRouter::writeReplied(const WritePtr& write, const WriteRunAt& action, ForwardReply reply)
{
    if (!reply.routePrimary_.empty())
        hooks_.learnRoute_({ write->service_.group_, reply.routeTerm_, reply.routePrimary_ });
    if (write->state_.responded_)
        return;
    const std::uint64_t attempt = action.attempt_;
    switch (reply.outcome_) {
    case Outcome::Done:
        write->answers_[attempt] = std::move(reply.answers_);
        if (action.lookup_)
            feed(write, WriteLookedUp { attempt, reply.repeatedKey_, reply.position_ });
        else
            feed(write, WriteResponded { attempt, reply.position_ });
        // The holder has waited for the majority: of the entry itself, or for a stored answer of an earlier term, of an
        // entry of the term that it ran in.
        feed(write, WriteConfirmed { std::max(reply.position_, LogPosition { action.term_, 0 }) });
        return;
    case Outcome::NotRun:
        context_.metrics_.count(reply.reason_.value_or(Reason::RetryStaleRoute));
        feed(write, WriteNotRun { attempt, reply.reason_.value_or(Reason::RetryStaleRoute), reply.routeTerm_ });
        return;
    case Outcome::Unknown:
        context_.metrics_.count(Reason::RetryConnectionLost);
        feed(write, WriteConnectionLost { attempt, !reply.wasSent_ });
        return;
    }
}

void RequestRouter::answerWrite(const WritePtr& write, const WriteResponse& result)
{
    writes_[write->service_.group_].erase(write);
    CallerAnswer answer;
    answer.outcome_ = result.outcome_;
    answer.reason_ = result.reason_;
    answer.key_ = write->request_.key_;
    if (result.outcome_ == Outcome::Done) {
        recordWrite(write->session_, write->service_.group_, result.position_);
        answer.answers_ = std::move(write->answers_[result.attempt_]);
        context_.metrics_.add(CounterId::Writes);
    }
    finish(*write, std::move(answer));
}

void RequestRouter::routeChanged(const GroupId& group)
{
    const auto route = routeOf(context_.membership_.directory_, group);
    const auto found = writes_.find(group);
    if (!route || found == writes_.end())
        return;
    const std::set<WritePtr> writes = found->second; // Answered writes leave the set while it is walked.
    for (const auto& write : writes)
        feed(write, WriteRouteChanged { { route->primary_, route->term_ } });
}

// Attempts.

ForwardRequest RequestRouter::forwardRequest(const Open& open, const EndpointId& endpoint) const
{
    ForwardRequest request;
    request.endpoint_ = endpoint;
    request.group_ = open.service_.group_;
    request.service_ = open.request_.service_;
    request.class_ = open.request_.class_;
    request.weight_ = static_cast<std::uint32_t>(open.class_.weight_);
    request.urgent_ = open.class_.urgent_;
    request.statements_ = open.request_.statements_;
    request.remaining_ = open.deadline_ - Clock::now();
    return request;
}

void RequestRouter::dispatch(ForwardRequest request, std::optional<InstanceId> holder, ReplyHandler handler)
{
    if (!holder)
        holder = holderOf(context_.membership_.holders_, request.endpoint_);
    if (!holder) {
        handler(notRunReply(Reason::HolderUnreachable));
        return;
    }
    request.number_ = ++lastNumber_;
    if (*holder == context_.settings_.instance_) {
        holder_.serve(std::move(request), *holder, std::move(handler));
        return;
    }
    const auto& instances = context_.membership_.directory_.instances_;
    const auto instance = instances.find(*holder);
    if (instance == instances.end()) {
        handler(notRunReply(Reason::HolderUnreachable));
        return;
    }
    const std::uint64_t number = request.number_;
    const TimePoint now = Clock::now();
    const TimePoint until = now + std::min<Duration>(request.remaining_, attemptSilence);
    Attempt entry { *holder, instance->second.address_, std::move(handler), {} };
    entry.timer_ = context_.loop_.schedule(until, [this, number] {
        hooks_.reconnect_(attempts_.at(number).address_);
        attemptEnded(number, lostReply());
    });
    attempts_.emplace(number, std::move(entry));
    context_.metrics_.add(CounterId::Forwarded);
    hooks_.send_(instance->second.address_, ForwardMessage(std::move(request)));
}

void RequestRouter::attemptEnded(std::uint64_t number, ForwardReply reply)
{
    const auto found = attempts_.find(number);
    if (found == attempts_.end())
        return;
    context_.loop_.cancel(found->second.timer_);
    const auto handler = std::move(found->second.handler_);
    attempts_.erase(found);
    handler(std::move(reply));
}

void RequestRouter::receive(ForwardReply reply)
{
    const std::uint64_t number = reply.number_;
    if (!attempts_.count(number)) {
        context_.metrics_.count(Reason::ResponseMismatched); // Late; the attempt was given up.
        return;
    }
    attemptEnded(number, std::move(reply));
}

void RequestRouter::instanceGone(const InstanceId& instance)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [number, entry] : attempts_) {
        if (entry.holder_ == instance)
            lost.push_back(number);
    }
    for (const auto number : lost)
        attemptEnded(number, lostReply());
}

} // namespace cassiahollow
