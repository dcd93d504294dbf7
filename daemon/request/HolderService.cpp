#include "request/HolderService.h"

#include <algorithm>
#include <charconv>

namespace cassiahollow {

namespace {

    /// Whether an answer that the primary of a term gave about a position is held by a majority. A position of an
    /// earlier term comes before the first entry of the term, so any confirmed entry of the term confirms it.
    bool isAnswerConfirmed(const GroupState& state, const LogPosition& position, Term term)
    {
        if (position.term_ >= term)
            return isConfirmed(state, position);
        const auto confirmed = lastConfirmed(state);
        return confirmed && confirmed->term_ == term;
    }

    std::size_t indexOf(const GroupView& view, const EndpointId& endpoint)
    {
        const auto found = std::find_if(view.members_.begin(), view.members_.end(),
            [&](const MemberView& member) { return member.endpoint_ == endpoint; });
        return static_cast<std::size_t>(found - view.members_.begin());
    }

} // namespace

std::uint64_t callerOfTransaction(const std::string& transaction)
{
    std::uint64_t caller = 0;
    std::from_chars(transaction.data(), transaction.data() + transaction.size(), caller);
    return caller;
}

HolderService::HolderService(ServeContext& context, HolderServiceHooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
{
}

LeaseOwner HolderService::ownerOf(const Pending& pending) const
{
    return { pending.from_, callerOfTransaction(pending.request_.transaction_) };
}

std::size_t HolderService::waiting() const
{
    std::size_t count = 0;
    for (const auto& [group, list] : waiting_)
        count += list.size();
    return count;
}

void HolderService::serve(ForwardRequest request, const InstanceId& from, ReplyHandler reply)
{
    const TimePoint now = Clock::now();
    Pending pending { Stage::Write, std::move(request), from, std::move(reply), now, now };
    pending.deadline_ = now + pending.request_.remaining_;
    if (pending.request_.readOnly_ && pending.request_.operation_ == ForwardOperation::Run)
        pending.stage_ = Stage::Read;
    admit(std::move(pending));
}

void HolderService::admit(Pending pending)
{
    if (advance(pending))
        return;
    const TimePoint deadline = pending.deadline_;
    wait(std::move(pending), deadline);
}

bool HolderService::advance(Pending& pending)
{
    switch (pending.stage_) {
    case Stage::Read:
        return advanceRead(pending);
    case Stage::Write:
        return advanceWrite(pending);
    case Stage::Confirmation:
        return advanceConfirmation(pending);
    }
    return true;
}

void HolderService::wait(Pending pending, TimePoint until)
{
    const GroupId group = pending.request_.group_;
    PendingList& list = waiting_[group];
    list.push_back(std::move(pending));
    const auto place = std::prev(list.end());
    place->timer_ = context_.loop_.schedule(until, [this, group, place] {
        PendingList one;
        one.splice(one.begin(), waiting_[group], place);
        one.front().timer_.reset();
        Pending due = std::move(one.front());
        admit(std::move(due));
    });
}

void HolderService::groupChanged(const GroupId& group)
{
    const auto found = waiting_.find(group);
    if (found == waiting_.end() || found->second.empty())
        return;
    PendingList list = std::move(found->second);
    found->second.clear();
    while (!list.empty()) {
        Pending& pending = list.front();
        if (pending.timer_)
            context_.loop_.cancel(*pending.timer_);
        pending.timer_.reset();
        Pending taken = std::move(pending);
        list.pop_front();
        admit(std::move(taken));
    }
}

void HolderService::answer(Pending& pending, ForwardReply reply)
{
    reply.number_ = pending.request_.number_;
    if (const GroupWatch* watch = hooks_.groupWatch_(pending.request_.group_)) {
        if (const auto primary = primaryOf(watch->state())) {
            reply.routeTerm_ = termOf(watch->state());
            reply.routePrimary_ = *primary;
        }
    }
    const auto handler = std::move(pending.reply_);
    handler(std::move(reply));
}

void HolderService::refuse(Pending& pending, Reason reason, std::string detail)
{
    ForwardReply reply;
    reply.outcome_ = Outcome::NotRun;
    reply.reason_ = reason;
    reply.detail_ = std::move(detail);
    answer(pending, std::move(reply));
}

bool HolderService::advanceRead(Pending& pending)
{
    const ForwardRequest& request = pending.request_;
    const GroupWatch* watch = hooks_.groupWatch_(request.group_);
    if (!watch || !hooks_.heldEndpoint_(request.endpoint_)) {
        refuse(pending, Reason::RetryHolderMoved);
        return true;
    }
    const TimePoint now = Clock::now();
    const bool isPrimary = watch->view().primary_ == request.endpoint_;
    if (!isPrimary && isLeaving(context_.membership_.directory_, request.endpoint_)) {
        refuse(pending, Reason::EndpointLeaving);
        return true;
    }
    if (request.finalChoice_ && !isPrimary) {
        runRead(pending, request.required_); // The endpoint itself checks the position.
        return true;
    }
    // Starting the search at the own endpoint keeps the read here whenever the endpoint can prove what is needed.
    const ReadRequirements need { request.required_, request.maxAge_, pending.arrived_, pending.deadline_, isPrimary,
        indexOf(watch->view(), request.endpoint_) };
    const ReadChoice choice = chooseRead(watch->view(), need, now);
    if (const auto* refused = std::get_if<ReadRefused>(&choice)) {
        if (refused->reason_ != Reason::DeadlinePassed && watch->isWarmingUp(now))
            return false;
        refuse(pending, refused->reason_);
        return true;
    }
    if (const auto* at = std::get_if<ReadAt>(&choice)) {
        if (at->endpoint_ == request.endpoint_) {
            runRead(pending, at->required_);
            return true;
        }
        ForwardReply reply;
        reply.outcome_ = Outcome::NotRun;
        reply.reason_ = Reason::RetryReplicaBehind;
        reply.redirect_ = at->endpoint_;
        reply.position_ = at->required_;
        answer(pending, std::move(reply));
        return true;
    }
    const TimePoint until = std::get<ReadWait>(choice).until_;
    if (until <= now)
        return false;
    const TimePoint limit = std::min(until, pending.deadline_);
    wait(std::move(pending), limit);
    return true;
}

void HolderService::runRead(Pending& pending, LogPosition required)
{
    HeldEndpoint* endpoint = hooks_.heldEndpoint_(pending.request_.endpoint_);
    const GroupWatch* watch = hooks_.groupWatch_(pending.request_.group_);
    ForwardRequest request = pending.request_;
    request.required_ = required;
    const TimePoint deadline = pending.deadline_;
    const LeaseOwner owner = ownerOf(pending);
    const bool isPrimary = watch && watch->view().primary_ == request.endpoint_;
    const Term term = watch ? termOf(watch->state()) : 0;
    auto shared = std::make_shared<Pending>(std::move(pending));
    endpoint->run(std::move(request), owner, deadline, term, [this, shared, required, isPrimary](ForwardReply reply) {
        if (reply.outcome_ == Outcome::Done) {
            std::optional<Reason> behind = checkReadResponse(required, reply.position_);
            const GroupWatch* groupWatch = hooks_.groupWatch_(shared->request_.group_);
            const auto maxAge = shared->request_.maxAge_;
            if (!behind && maxAge && !isPrimary
                && (!groupWatch || !provesAge(groupWatch->view(), reply.position_, *maxAge, Clock::now())))
                behind = Reason::RetryReplicaBehind;
            // A primary that was replaced while the read ran may have answered without the newest writes.
            if (!behind && isPrimary && (!groupWatch || !mayReadAtPrimary(groupWatch->state(), Clock::now())))
                behind = Reason::RetryStaleRoute;
            if (behind) {
                refuse(*shared, *behind);
                return;
            }
            context_.metrics_.add(isPrimary ? CounterId::ReadsAtPrimary : CounterId::ReadsAtReplica);
        }
        answer(*shared, std::move(reply));
    });
}

bool HolderService::advanceWrite(Pending& pending)
{
    const ForwardRequest& request = pending.request_;
    const TimePoint now = Clock::now();
    HeldEndpoint* endpoint = hooks_.heldEndpoint_(request.endpoint_);
    const GroupWatch* watch = hooks_.groupWatch_(request.group_);
    if (!endpoint || !watch) {
        refuse(pending, Reason::RetryHolderMoved);
        return true;
    }
    const bool inTransaction = request.operation_ == ForwardOperation::RunInTransaction
        || request.operation_ == ForwardOperation::Commit || request.operation_ == ForwardOperation::Rollback;
    if (inTransaction) {
        runWrite(pending, 0); // In the term of its begin; the endpoint refuses it if that is over.
        return true;
    }
    if (now >= pending.deadline_) {
        refuse(pending, Reason::DeadlinePassed);
        return true;
    }
    const auto primary = primaryOf(watch->state());
    // An attempt must not run in a later term than its sender thinks: the sender takes an absent key in a later term
    // for the proof that the attempt did not run.
    const Term term = termOf(watch->state());
    const bool isOld = request.term_ != 0 && request.term_ < term;
    if (isOld || (primary && *primary != request.endpoint_)) {
        refuse(pending, Reason::RetryStaleRoute);
        return true;
    }
    if (!hasMajority(watch->state(), now)) {
        if (watch->isWarmingUp(now))
            return false;
        refuse(pending, Reason::GroupWithoutMajority);
        return true;
    }
    if (!primary || request.term_ > term || writesPaused(watch->state()))
        return false;
    runWrite(pending, term);
    return true;
}

void HolderService::runWrite(Pending& pending, Term term)
{
    HeldEndpoint* endpoint = hooks_.heldEndpoint_(pending.request_.endpoint_);
    ForwardRequest request = pending.request_;
    const TimePoint deadline = pending.deadline_;
    const LeaseOwner owner = ownerOf(pending);
    auto shared = std::make_shared<Pending>(std::move(pending));
    endpoint->run(std::move(request), owner, deadline, term, [this, shared, term](ForwardReply reply) {
        const ForwardOperation operation = shared->request_.operation_;
        const bool needsMajority = operation == ForwardOperation::Run || operation == ForwardOperation::Commit
            || operation == ForwardOperation::Lookup;
        if (reply.outcome_ == Outcome::Done && needsMajority)
            confirm(std::move(*shared), term, std::move(reply));
        else
            answer(*shared, std::move(reply));
    });
}

void HolderService::confirm(Pending pending, Term term, ForwardReply reply)
{
    pending.term_ = term;
    pending.stage_ = Stage::Confirmation;
    pending.result_ = std::move(reply);
    pending.answered_ = Clock::now();
    admit(std::move(pending));
}

bool HolderService::advanceConfirmation(Pending& pending)
{
    const TimePoint now = Clock::now();
    const GroupWatch* watch = hooks_.groupWatch_(pending.request_.group_);
    if (watch && isAnswerConfirmed(watch->state(), pending.result_.position_, pending.term_)) {
        context_.metrics_.record(HistogramId::ConfirmTime, now - pending.answered_);
        answer(pending, std::move(pending.result_));
        return true;
    }
    // A newer term may or may not have kept the write; only a resend with its key can tell.
    const bool replaced = watch && termOf(watch->state()) > std::max(pending.result_.position_.term_, pending.term_);
    if (watch && !replaced && now < pending.deadline_)
        return false;
    ForwardReply reply;
    reply.outcome_ = Outcome::Unknown;
    reply.reason_ = Reason::NotConfirmed;
    reply.wasSent_ = true;
    answer(pending, std::move(reply));
    return true;
}

} // namespace cassiahollow
