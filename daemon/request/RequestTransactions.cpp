#include "process/ValueOrFailure.h"
#include "request/RequestRouter.h"

// The part of the request router that serves transactions.
namespace cassiahollow {

void RequestRouter::begin(std::uint64_t caller, CallerRequest request, AnswerHandler handler)
{
    auto open = std::make_shared<Open>();
    open->handler_ = std::move(handler);
    if (!prepare(request, *open))
        return;
    const auto route = routeOf(context_.membership_.directory_, open->service_.group_);
    if (!route) {
        refuseCaller(open->handler_, Reason::GroupWithoutPrimary);
        return;
    }
    const auto holder = holderOf(context_.membership_.holders_, route->primary_);
    if (!holder) {
        refuseCaller(open->handler_, Reason::HolderUnreachable);
        return;
    }
    ++openRequests_;
    // Instances that start in the same millisecond number their callers alike, so the id names the instance.
    const std::string id
        = std::to_string(caller) + "." + std::to_string(++lastKey_) + "@" + context_.settings_.instance_.value_;
    ForwardRequest forward = forwardRequest(*open, route->primary_);
    forward.operation_ = ForwardOperation::Begin;
    forward.transaction_ = id;
    forward.statements_.clear();
    transactions_[id] = { caller, open->request_, open->service_.group_, route->primary_, *holder };
    dispatch(std::move(forward), holder, [this, open, id](ForwardReply reply) {
        CallerAnswer answer;
        answer.outcome_ = reply.outcome_ == Outcome::Done ? Outcome::Done : Outcome::NotRun; // Nothing ran yet.
        answer.reason_ = reply.reason_;
        answer.detail_ = std::move(reply.detail_);
        answer.key_ = id;
        if (answer.outcome_ != Outcome::Done)
            transactions_.erase(id);
        finish(*open, std::move(answer));
    });
}

RequestRouter::Transaction* RequestRouter::findTransaction(std::uint64_t caller, const std::string& transaction)
{
    const auto found = transactions_.find(transaction);
    return found != transactions_.end() && found->second.caller_ == caller ? &found->second : nullptr;
}

void RequestRouter::sendTransactionStep(const Transaction& transaction, const std::string& id,
    ForwardOperation operation, std::vector<std::string> statements, ReplyHandler handler)
{
    Failure failure;
    const auto requestClass = valueOrFailure(
        [&] { return classSettings(context_.tree_, transaction.request_.service_, transaction.request_.class_); },
        failure);
    ForwardRequest forward;
    forward.endpoint_ = transaction.endpoint_;
    forward.group_ = transaction.group_;
    forward.service_ = transaction.request_.service_;
    forward.class_ = transaction.request_.class_;
    forward.statements_ = std::move(statements);
    forward.remaining_ = requestClass ? requestClass->deadline_ : std::chrono::milliseconds(1000);
    forward.operation_ = operation;
    forward.transaction_ = id;
    dispatch(std::move(forward), transaction.holder_, std::move(handler));
}

void RequestRouter::runInTransaction(
    std::uint64_t caller, const std::string& transaction, std::vector<std::string> statements, AnswerHandler handler)
{
    const Transaction* found = findTransaction(caller, transaction);
    if (!found) {
        refuseCaller(handler, Reason::TransactionUnknown);
        return;
    }
    ++openRequests_;
    sendTransactionStep(*found, transaction, ForwardOperation::RunInTransaction, std::move(statements),
        [this, transaction, handler = std::move(handler)](ForwardReply reply) {
            --openRequests_;
            const Reason reason = reply.reason_.value_or(Reason::TransactionAborted);
            if (reply.outcome_ != Outcome::Done && reason != Reason::StatementFailed) {
                // The transaction cannot be committed any more, so nothing of it has run or will run.
                transactions_.erase(transaction);
                refuseCaller(handler, Reason::TransactionAborted, std::string(reasonInfo(reason).name_));
                return;
            }
            if (reply.outcome_ != Outcome::Done) {
                refuseCaller(handler, reason, reply.detail_);
                return;
            }
            CallerAnswer answer;
            answer.outcome_ = Outcome::Done;
            answer.answers_ = std::move(reply.answers_);
            handler(std::move(answer));
        });
}

void RequestRouter::lookUpCommit(CallerRequest request, AnswerHandler handler)
{
    auto open = std::make_shared<Open>();
    open->handler_ = std::move(handler);
    if (!prepare(request, *open))
        return;
    ++openRequests_;
    const auto route = routeOf(context_.membership_.directory_, open->service_.group_);
    ForwardRequest forward = forwardRequest(*open, route ? route->primary_ : EndpointId());
    forward.operation_ = ForwardOperation::Lookup;
    forward.statements_.clear();
    forward.key_ = callerWriteKey(open->request_.service_, open->request_.key_);
    dispatch(std::move(forward), std::nullopt, [this, open](ForwardReply reply) {
        CallerAnswer answer;
        answer.key_ = open->request_.key_;
        if (reply.outcome_ == Outcome::Done && reply.repeatedKey_) {
            answer.outcome_ = Outcome::Done;
            answer.answers_ = std::move(reply.answers_);
            recordWrite(open->session_, open->service_.group_, reply.position_);
        } else {
            // An absent key proves nothing while the commit may still be on its way to the endpoint.
            answer.outcome_ = Outcome::Unknown;
            answer.reason_ = Reason::ResponseLost;
        }
        finish(*open, std::move(answer));
    });
}

void RequestRouter::commit(
    std::uint64_t caller, const std::string& transaction, CallerRequest commitRequest, AnswerHandler handler)
{
    const Transaction* found = findTransaction(caller, transaction);
    if (!found && !commitRequest.key_.empty() && !commitRequest.service_.empty()) {
        lookUpCommit(std::move(commitRequest), std::move(handler));
        return;
    }
    if (!found && callerOfTransaction(transaction) == caller) {
        // It was open on this connection once, so an earlier commit may have run.
        refuseCaller(handler, Reason::ResponseLost, "the transaction has ended", std::move(commitRequest.key_));
        return;
    }
    if (!found) {
        refuseCaller(handler, Reason::TransactionUnknown, {}, std::move(commitRequest.key_));
        return;
    }
    auto write = std::make_shared<Write>();
    write->handler_ = std::move(handler);
    CallerRequest request = found->request_;
    request.key_ = std::move(commitRequest.key_);
    write->transaction_ = transaction;
    write->holder_ = found->holder_;
    write->endpoint_ = found->endpoint_;
    transactions_.erase(transaction);
    if (!prepare(request, *write))
        return;
    openWrite(write, WriteKind::Commit);
    const auto route = routeOf(context_.membership_.directory_, write->service_.group_);
    feed(write, WriteRouteChanged { { write->endpoint_, route ? route->term_ : 0 } });
}

void RequestRouter::rollback(std::uint64_t caller, const std::string& transaction, AnswerHandler handler)
{
    const Transaction* found = findTransaction(caller, transaction);
    if (!found) {
        refuseCaller(handler, Reason::TransactionUnknown);
        return;
    }
    ++openRequests_;
    const Transaction ended = *found;
    transactions_.erase(transaction);
    // Whatever the endpoint answers, the transaction is over: its connection is closed if the rollback did not arrive.
    sendTransactionStep(
        ended, transaction, ForwardOperation::Rollback, {}, [this, handler = std::move(handler)](const ForwardReply&) {
            --openRequests_;
            CallerAnswer answer;
            answer.outcome_ = Outcome::Done;
            handler(std::move(answer));
        });
}

void RequestRouter::endCaller(std::uint64_t caller)
{
    for (auto entry = transactions_.begin(); entry != transactions_.end();) {
        if (entry->second.caller_ == caller) {
            const auto [id, transaction] = *entry;
            entry = transactions_.erase(entry);
            sendTransactionStep(transaction, id, ForwardOperation::Rollback, {}, [](const ForwardReply&) {});
        } else {
            ++entry;
        }
    }
}

} // namespace cassiahollow
