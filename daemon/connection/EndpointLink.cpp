#include "connection/EndpointLink.h"

#include "process/EventLog.h"
#include "process/SuspendAwareClock.h"

namespace cassiahollow {

namespace {

    Reason reasonOf(AnswerFault fault)
    {
        switch (fault) {
        case AnswerFault::Unasked:
            return Reason::AnswerUnasked;
        case AnswerFault::RepeatedSignature:
        case AnswerFault::RepeatedError:
            return Reason::AnswerRepeated;
        default:
            return Reason::ResponseMismatched;
        }
    }

    AnswerSummary summaryOf(const EndpointReply& reply)
    {
        return { .rows_ = reply.rows_.size(),
            .signature_ = reply.signature_ == platform::unsignedAnswer ? std::string_view() : reply.signature_,
            .errorCode_ = reply.error_ ? std::string_view(reply.error_->word_) : std::string_view(),
            .mark_ = reply.mark_,
            .position_ = reply.position_ };
    }

} // namespace

EndpointStatement ownStatement(std::string_view text, AnswerExpectation expected)
{
    return { std::string(platform::ownRequest), std::string(text), expected };
}

EndpointStatement beginStatement(std::string_view text, const LogPosition& floor)
{
    return ownStatement(text, { .mark_ = SessionMark::InTransaction, .floor_ = floor });
}

EndpointStatement beginReadStatement(const LogPosition& floor)
{
    return beginStatement(platform::withFloor(floor, platform::beginReadText()), floor);
}

EndpointStatement rollbackStatement()
{
    return ownStatement(platform::rollbackText(), { .mark_ = SessionMark::Idle });
}

EndpointStatement clientStatement(std::string request, std::string text, std::optional<SessionMark> mark)
{
    return { std::move(request), std::move(text), { .isSigned_ = true, .hasRows_ = true, .mark_ = mark } };
}

EndpointLink::EndpointLink(LineSockets& sockets, Metrics& metrics, Target target, std::chrono::milliseconds connectTime,
    std::chrono::milliseconds silence, Handlers handlers)
    : metrics_(metrics)
    , target_(std::move(target))
    , handlers_(std::move(handlers))
{
    channel_ = sockets.open(target_.address_, connectTime, silence,
        { .opened_ = {},
            .received_ = [this](std::string_view bytes) { return receive(bytes); },
            .closed_ = [this] { end(true); } });
    const auto& name = target_.account_.empty() ? target_.instance_ : target_.account_.value_;
    if (const auto start = platform::encodeStart(target_.group_, name, target_.endpoint_)) {
        channel_->send(*start);
    } else {
        reportUnwritable(platform::ownRequest);
        end(false);
    }
}

void EndpointLink::exchange(EndpointStatement statement, Done done)
{
    if (closed_) {
        done(nullptr);
        return;
    }
    const auto line = platform::encodeQuery(statement.request_, statement.text_);
    if (!line) {
        reportUnwritable(statement.request_);
        const EndpointReply refusal { .error_
            = platform::EndpointError { StatementError::Malformed, "MALFORMED", "does not fit into a message" } };
        return done(&refusal);
    }
    used_ = suspendAwareNow();
    if (ready_)
        channel_->send(*line);
    else
        held_ += *line;
    waiting_.push_back({ std::move(statement.request_), statement.expected_, std::move(done) });
}

void EndpointLink::prove(SessionMark mark, std::function<void(bool isProven)> done)
{
    if (mark != SessionMark::Idle)
        exchange(rollbackStatement(), [](const EndpointReply*) {});
    const auto hasBegun = std::make_shared<bool>(false);
    exchange(beginStatement(platform::beginReadText()),
        [hasBegun](const EndpointReply* reply) { *hasBegun = reply && !reply->error_; });
    exchange(rollbackStatement(), [this, hasBegun, done = std::move(done)](const EndpointReply* reply) {
        const bool isProven = *hasBegun && reply && !reply->error_;
        needsProof_ = !isProven;
        done(isProven);
    });
}

void EndpointLink::close()
{
    end(false);
}

void EndpointLink::closeAtOnce()
{
    if (!closed_)
        channel_->shutDown();
    end(false);
}

void EndpointLink::abandon()
{
    waiting_.clear();
    end(false);
}

std::size_t EndpointLink::receive(std::string_view bytes)
{
    const EndpointLinkPtr keepAlive(this);
    std::size_t taken = 0;
    while (!closed_) {
        const auto line = reader_.take(bytes, taken);
        if (!line)
            break;
        handle(platform::decodeEndpointLine(*line));
    }
    if (!closed_ && reader_.isTooLong())
        end(true);
    return taken;
}

void EndpointLink::handle(const platform::EndpointMessage& message)
{
    if (!ready_) {
        if (std::holds_alternative<platform::EndpointReady>(message)) {
            ready_ = true;
            readyAt_ = suspendAwareNow();
            if (!held_.empty())
                channel_->send(std::exchange(held_, {}));
            const auto ready = handlers_.ready_; // It may end the connection, which drops the handlers.
            if (ready)
                ready();
            return;
        }
        if (const auto* error = std::get_if<platform::EndpointError>(&message))
            refusal_ = error->error_;
        return end(true);
    }
    const auto* ready = std::get_if<platform::EndpointReady>(&message);
    if (isAnswerWhole() != (ready != nullptr)) {
        reportFault(AnswerFault::Incomplete);
        return end(true);
    }
    if (!std::exchange(isReceiving_, ready == nullptr))
        wasAsked_ = !waiting_.empty();
    if (const auto* row = std::get_if<platform::EndpointRow>(&message)) {
        reply_.rows_.push_back(row->text_);
    } else if (const auto* complete = std::get_if<platform::EndpointComplete>(&message)) {
        reply_.signature_ = complete->signature_;
    } else if (const auto* error = std::get_if<platform::EndpointError>(&message)) {
        reply_.error_ = *error;
    } else if (ready) {
        finishAnswer(*ready);
    } else {
        end(true);
    }
}

void EndpointLink::finishAnswer(const platform::EndpointReady& ready)
{
    reply_.mark_ = ready.mark_;
    reply_.position_ = ready.position_;
    auto reply = std::exchange(reply_, {});
    const auto* expected = wasAsked_ && !waiting_.empty() ? &waiting_.front().expected_ : nullptr;
    if (const auto fault = checkAnswer(history_, expected, summaryOf(reply))) {
        reportFault(*fault);
        if (endsConnection(*fault))
            return end(true);
        if (fault == AnswerFault::RepeatedSignature)
            return;
        reply.isUncertain_ = true;
        needsProof_ = true;
    }
    auto answered = std::move(waiting_.front());
    waiting_.pop_front();
    answeredRequest_ = std::move(answered.request_);
    answered_ = suspendAwareNow();
    answered.done_(&reply);
}

void EndpointLink::reportUnwritable(std::string_view request) const
{
    metrics_.count(Reason::MessageMalformed);
    LogLine(LogKind::Refusal, "message_unwritable").with("endpoint", target_.endpoint_.value_).with("request", request);
}

void EndpointLink::reportFault(AnswerFault fault) const
{
    metrics_.count(reasonOf(fault));
    LogLine line(LogKind::Dependency, "answer_unexpected");
    line.with("endpoint", target_.endpoint_.value_)
        .with("cause", answerFaultName(fault))
        .with("request", waiting_.empty() ? std::string_view("none") : std::string_view(waiting_.front().request_))
        .with("answered", answeredRequest_);
    if (!answeredRequest_.empty())
        line.with("answered_ago", suspendAwareNow() - answered_);
}

void EndpointLink::end(bool tellOwner)
{
    if (std::exchange(closed_, true))
        return;
    channel_->close();
    const auto waiting = std::move(waiting_);
    const auto handlers = std::exchange(handlers_, {});
    if (tellOwner && handlers.closed_)
        handlers.closed_();
    for (const auto& exchange : waiting)
        exchange.done_(nullptr);
}

} // namespace cassiahollow
