#include "cassiahollow/request/WriteAttempt.h"

#include <algorithm>
#include <chrono>

namespace cassiahollow {

namespace {

    using std::chrono::milliseconds;

    // The first retry is immediate, because a lost connection says little about the next one. Later retries back off
    // exponentially, so that a failing endpoint receives at most about two per second.
    constexpr Duration initialRetryDelay = milliseconds(10);
    constexpr Duration maximumRetryDelay = milliseconds(500);
    constexpr std::uint32_t maximumDoublings = 6;
    // Delay before the retry budget is checked again. The budget gains a retry at least every 100 ms.
    constexpr Duration budgetDelay = milliseconds(50);

    template <typename... Visitors> struct Overloaded : Visitors... {
        using Visitors::operator()...;
    };
    template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

    // Reasons caused by the request itself: another attempt would be refused for the same reason.
    bool isRequestError(Reason reason)
    {
        switch (reason) {
        case Reason::StatementFailed:
        case Reason::MalformedRequest:
        case Reason::RequestTooLarge:
        case Reason::KeyRequired:
        case Reason::TransactionUnknown:
        case Reason::TransactionIdle:
        case Reason::TransactionAborted:
            return true;
        default:
            return false;
        }
    }

    // Transient reasons: another attempt a little later may succeed.
    bool isTransient(Reason reason)
    {
        switch (reason) {
        case Reason::StaleTerm:
        case Reason::EndpointLeaving:
        case Reason::HolderUnreachable:
        case Reason::EndpointConnectFailed:
        case Reason::EndpointConnectionLimit:
        case Reason::RetryStaleRoute:
        case Reason::RetryHolderMoved:
        case Reason::RetryConnectionRefused:
            return true;
        default:
            return false;
        }
    }

    OpenAttempt* findAttempt(WriteState& state, std::uint64_t number)
    {
        const auto attempt = std::find_if(state.openAttempts_.begin(), state.openAttempts_.end(),
            [&](const OpenAttempt& candidate) { return candidate.number_ == number; });
        return attempt == state.openAttempts_.end() ? nullptr : &*attempt;
    }

    void removeAttempt(WriteState& state, std::uint64_t number)
    {
        std::erase_if(state.openAttempts_, [&](const OpenAttempt& attempt) { return attempt.number_ == number; });
    }

    bool mayHaveRun(const OpenAttempt& attempt)
    {
        return attempt.sent_ && !attempt.lookup_;
    }

    bool mayHaveRun(const WriteState& state)
    {
        return std::any_of(state.openAttempts_.begin(), state.openAttempts_.end(),
            [](const OpenAttempt& attempt) { return mayHaveRun(attempt); });
    }

    // Whether every attempt that may have run belongs to a lower term. Such an attempt can no longer run once `term` is
    // confirmed.
    bool allBelow(const WriteState& state, Term term)
    {
        return std::all_of(state.openAttempts_.begin(), state.openAttempts_.end(),
            [&](const OpenAttempt& attempt) { return !mayHaveRun(attempt) || attempt.term_ < term; });
    }

    bool isConfirmed(const WriteState& state)
    {
        if (!state.result_)
            return false;
        const auto confirmed = state.confirmed_.find(state.result_->required_.term_);
        return confirmed != state.confirmed_.end() && confirmed->second >= state.result_->required_.index_;
    }

    void scheduleRetry(WriteState& state, TimePoint now)
    {
        Duration delay = Duration::zero();
        if (state.retries_ > 0) {
            const auto doublings = std::min(state.retries_ - 1, maximumDoublings);
            delay = std::min(initialRetryDelay * (1 << doublings), maximumRetryDelay);
        }
        state.retryAt_ = std::max(state.retryAt_.value_or(now), now + delay);
    }

    // Records a result that the endpoint returned in the attempt's term. An entry of an older term precedes the first
    // entry of this term in the log, so that any confirmed position of this term confirms it.
    void recordResult(WriteState& state, const OpenAttempt& attempt, LogPosition position, bool present, TimePoint now)
    {
        const auto required = position.term_ >= attempt.term_ ? position : LogPosition { attempt.term_, 0 };
        if (state.result_) {
            const auto known = state.result_->required_.term_;
            if (known > required.term_ || (known == required.term_ && state.result_->present_))
                return;
        }
        if (!present && !allBelow(state, attempt.term_)) {
            // An attempt of this term or a later one may still be in transit to the endpoint.
            scheduleRetry(state, now);
            return;
        }
        state.result_ = UnconfirmedResult { required, position, present, attempt.number_ };
    }

    WriteAction respond(WriteState& state, WriteResponse action)
    {
        state.responded_ = true;
        return action;
    }

    // The response if the outcome cannot be determined any further.
    WriteAction finish(WriteState& state, Reason notRun)
    {
        if (!mayHaveRun(state))
            return respond(state, { Outcome::NotRun, state.refusal_.value_or(notRun), {}, 0 });
        auto reason = Reason::ResponseLost;
        if (state.result_ && state.result_->present_)
            reason = Reason::NotConfirmed;
        else if (state.budgetExhausted_)
            reason = Reason::RetryBudgetSpent;
        return respond(state, { Outcome::Unknown, reason, {}, 0 });
    }

    WriteAction waitUntil(const WriteState& state, std::optional<TimePoint> at)
    {
        return WriteWait { std::min(state.request_.deadline_, at.value_or(state.request_.deadline_)) };
    }

    WriteAction startAttempt(WriteState& state, bool lookup)
    {
        // Replaces attempts that have not been sent; maySend() prevents that they are sent later.
        std::erase_if(state.openAttempts_, [](const OpenAttempt& attempt) { return !attempt.sent_; });
        const auto number = ++state.attempts_;
        state.openAttempts_.push_back({ number, state.route_->term_, false, false, lookup });
        state.retryAt_.reset();
        state.budgetExhausted_ = false;
        return WriteRunAt { state.route_->primary_, state.route_->term_,
            state.request_.keysStored_ ? state.request_.key_ : std::string(), number, lookup };
    }

    WriteAction decide(WriteState& state, RetryBudget& budget, TimePoint now)
    {
        if (isConfirmed(state)) {
            const auto& result = *state.result_;
            if (result.present_) {
                // A stored result without a position takes the position that confirmed it.
                const auto term = result.required_.term_;
                const auto position = result.position_ == LogPosition {} ? LogPosition { term, state.confirmed_[term] }
                                                                         : result.position_;
                return respond(state, { Outcome::Done, std::nullopt, position, result.attempt_ });
            }
            const auto reason
                = state.request_.kind_ == WriteKind::Commit ? Reason::TransactionAborted : Reason::StaleTerm;
            return respond(state, { Outcome::NotRun, state.refusal_.value_or(reason), {}, 0 });
        }
        if (now >= state.request_.deadline_)
            return finish(state, state.route_ ? Reason::DeadlinePassed : Reason::GroupWithoutPrimary);
        const auto ran = mayHaveRun(state);
        if (state.refusal_ && !ran)
            return finish(state, *state.refusal_);
        if (!state.route_)
            return waitUntil(state, std::nullopt);

        const auto term = state.route_->term_;
        const auto awaitsConfirmation = state.result_ && state.result_->required_.term_ >= term;
        const auto awaitsResponse = std::any_of(state.openAttempts_.begin(), state.openAttempts_.end(),
            [&](const OpenAttempt& attempt) { return !attempt.finished_ && attempt.term_ == term; });
        if (!state.request_.keysStored_ && ran) {
            // Without a stored key nothing can prove later whether the write ran, and it must not run twice.
            const auto hasLiveAttempt = std::any_of(state.openAttempts_.begin(), state.openAttempts_.end(),
                [](const OpenAttempt& attempt) { return !attempt.finished_; });
            if (awaitsConfirmation || hasLiveAttempt)
                return waitUntil(state, std::nullopt);
            return finish(state, Reason::DeadlinePassed);
        }
        if (awaitsConfirmation || awaitsResponse)
            return waitUntil(state, std::nullopt);

        const auto commitGone = state.request_.kind_ == WriteKind::Commit && state.attempts_ > 0;
        if (commitGone && !ran)
            return finish(state, Reason::TransactionAborted);
        // A request that can no longer run is only looked up. A lookup is conclusive only in a later term than all
        // attempts that may have run.
        if (state.refusal_ && !allBelow(state, term))
            return finish(state, *state.refusal_);
        if (term <= state.staleTerm_)
            return waitUntil(state, std::nullopt);
        if (state.retryAt_ && now < *state.retryAt_)
            return waitUntil(state, state.retryAt_);
        if (state.attempts_ == 0) {
            recordRequest(budget, now);
        } else if (!takeRetry(budget, now)) {
            state.budgetExhausted_ = true;
            state.retryAt_ = now + budgetDelay;
            return waitUntil(state, state.retryAt_);
        } else {
            ++state.retries_;
        }
        return startAttempt(state, commitGone || state.refusal_.has_value());
    }

    void applyNotRun(WriteState& state, const WriteNotRun& event, TimePoint now)
    {
        const auto* attempt = findAttempt(state, event.attempt_);
        if (!attempt || attempt->finished_)
            return;
        const auto term = attempt->term_;
        removeAttempt(state, event.attempt_);
        const auto needsNewRoute = event.reason_ == Reason::EndpointLeaving || event.promisedTerm_ > term;
        if (needsNewRoute)
            state.staleTerm_ = std::max(state.staleTerm_, term);
        // A refusal for lack of capacity is final only if no earlier attempt may have run. Otherwise another attempt
        // can still determine the outcome.
        if (isRequestError(event.reason_) || (!needsNewRoute && !isTransient(event.reason_) && !mayHaveRun(state)))
            state.refusal_ = event.reason_;
        else
            scheduleRetry(state, now);
    }

    void applyConnectionLost(WriteState& state, const WriteConnectionLost& event, TimePoint now)
    {
        auto* attempt = findAttempt(state, event.attempt_);
        if (!attempt || attempt->finished_)
            return;
        if (event.unsent_ || !attempt->sent_ || attempt->lookup_)
            removeAttempt(state, event.attempt_);
        else
            attempt->finished_ = true;
        scheduleRetry(state, now);
    }

} // namespace

WriteState startWrite(WriteRequest request)
{
    WriteState state;
    state.request_ = std::move(request);
    return state;
}

WriteAction stepWrite(WriteState& state, const WriteEvent& event, RetryBudget& budget, TimePoint now)
{
    if (state.responded_)
        return WriteWait { state.request_.deadline_ };
    std::optional<Reason> refused;
    std::visit(Overloaded {
                   [&](const WriteSent& sent) {
                       if (auto* attempt = findAttempt(state, sent.attempt_))
                           attempt->sent_ = true;
                   },
                   [&](const WriteResponded& response) {
                       auto* attempt = findAttempt(state, response.attempt_);
                       if (!attempt || attempt->lookup_)
                           return;
                       attempt->sent_ = true;
                       attempt->finished_ = true;
                       recordResult(state, *attempt, response.position_, true, now);
                   },
                   [&](const WriteNotRun& notRun) { applyNotRun(state, notRun, now); },
                   [&](const WriteLookedUp& found) {
                       const auto* attempt = findAttempt(state, found.attempt_);
                       if (!attempt || !attempt->lookup_)
                           return;
                       const auto copy = *attempt;
                       removeAttempt(state, found.attempt_);
                       recordResult(state, copy, found.position_, found.present_, now);
                   },
                   [&](const WriteConnectionLost& lost) { applyConnectionLost(state, lost, now); },
                   [&](const WriteConfirmed& confirmed) {
                       auto& index = state.confirmed_[confirmed.position_.term_];
                       index = std::max(index, confirmed.position_.index_);
                   },
                   [&](const WriteRouteChanged& changed) {
                       if (!state.route_ || changed.route_.term_ > state.route_->term_)
                           state.route_ = changed.route_;
                   },
                   [&](const WriteRefused& refusal) { refused = refusal.reason_; },
                   [](const WriteTimer&) {},
               },
        event);
    if (refused && !isConfirmed(state) && (!mayHaveRun(state) || *refused == Reason::ShuttingDown))
        return finish(state, *refused);
    return decide(state, budget, now);
}

bool maySend(const WriteState& state, std::uint64_t attempt)
{
    return !state.responded_
        && std::any_of(state.openAttempts_.begin(), state.openAttempts_.end(),
            [&](const OpenAttempt& candidate) { return candidate.number_ == attempt && !candidate.finished_; });
}

std::string callerWriteKey(const ServiceId& service, std::string_view callerKey)
{
    // The length prefix prevents collisions between service names and keys that contain the separator.
    std::string key("c:");
    return key.append(std::to_string(service.value_.size()))
        .append(":")
        .append(service.value_)
        .append(":")
        .append(callerKey);
}

std::string generatedWriteKey(const InstanceId& instance, Incarnation incarnation, std::uint64_t request)
{
    std::string key("g:");
    return key.append(instance.value_)
        .append(":")
        .append(std::to_string(incarnation))
        .append(":")
        .append(std::to_string(request));
}

} // namespace cassiahollow
