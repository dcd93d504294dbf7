#include "version/ControlClient.h"

#include "cassiahollow/version/ControlCodec.h"

namespace cassiahollow {

namespace {

    constexpr std::chrono::seconds requestTime { 10 };
    // Short against an election, so that the next leader is asked soon after it leads; the key of a change makes
    // repeated questions safe.
    constexpr std::chrono::milliseconds tryTime { 150 };

} // namespace

ControlClient::ControlClient(ServeContext& context, ControlTask* task, Send send)
    : context_(context)
    , task_(task)
    , send_(std::move(send))
    , lastNumber_(context.incarnation_ << 20) // Never repeats a number of an earlier process of this instance.
{
}

void ControlClient::submit(ControlRequest request, Handler handler)
{
    const std::uint64_t number = ++lastNumber_;
    if (!task_ && context_.settings_.control_.empty()) {
        handler(undecidedOutcome(Outcome::NotRun, Reason::NoControlMajority, "this deployment has no control members"));
        return;
    }
    Pending& pending = pending_[number];
    pending.request_ = std::move(request);
    pending.handler_ = std::move(handler);
    pending.deadline_ = Clock::now() + requestTime;
    if (!task_) {
        sendNext(number);
        return;
    }
    pending.timer_ = context_.loop_.schedule(pending.deadline_, [this, number] {
        finish(number, undecidedOutcome(Outcome::Unknown, Reason::ResponseLost, "the control member did not answer"));
    });
    if (!task_->post(LocalRequest { number, pending.request_ }))
        finish(number, undecidedOutcome(Outcome::NotRun, Reason::NoControlMajority, "the control member has stopped"));
}

void ControlClient::sendNext(std::uint64_t number)
{
    Pending& pending = pending_.at(number);
    const TimePoint now = Clock::now();
    if (now >= pending.deadline_) {
        finish(number, undecidedOutcome(Outcome::Unknown, Reason::ResponseLost, "no control member answered"));
        return;
    }
    const auto& members = context_.settings_.control_;
    ControlMessage message;
    message.sender_ = context_.settings_.instance_;
    message.body_ = RequestMessage { number, pending.request_ };
    // Starting with the member that answered last keeps a member that is down from delaying every request.
    pending.member_ = (preferred_ + pending.tries_++) % members.size();
    send_(members[pending.member_].instance_, encodeControlMessage(message));
    pending.timer_
        = context_.loop_.schedule(std::min(now + tryTime, pending.deadline_), [this, number] { sendNext(number); });
}

void ControlClient::answeredLocally(std::uint64_t token, const ChangeOutcome& outcome)
{
    finish(token, outcome);
}

void ControlClient::answeredRemotely(const ResponseMessage& answer)
{
    const auto found = pending_.find(answer.number_);
    if (found == pending_.end())
        return;
    // A refusal that the log did not decide says nothing about copies of the request that were sent before.
    const bool final = answer.outcome_.outcome_ == Outcome::Done || answer.outcome_.decided_;
    if (!final && answer.outcome_.reason_ != Reason::SettingsInvalid && Clock::now() < found->second.deadline_)
        return; // The timer asks the next member.
    preferred_ = found->second.member_;
    finish(answer.number_, forwardedOutcome(answer.outcome_));
}

void ControlClient::finish(std::uint64_t number, const ChangeOutcome& outcome)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    context_.loop_.cancel(found->second.timer_);
    const Handler handler = std::move(found->second.handler_);
    pending_.erase(found);
    handler(outcome);
}

} // namespace cassiahollow
