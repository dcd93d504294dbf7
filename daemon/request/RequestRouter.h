#pragma once

#include "cassiahollow/request/RetryBudget.h"
#include "cassiahollow/request/SessionToken.h"
#include "cassiahollow/request/WriteAttempt.h"
#include "request/HolderService.h"

#include <memory>
#include <set>

namespace cassiahollow {

/// One request of a caller, decoded.
struct CallerRequest {
    ServiceId service_;
    ClassId class_;
    std::vector<std::string> statements_;
    bool readOnly_ { false };
    std::string key_; ///< Empty if the caller sent none.
    std::optional<std::chrono::milliseconds> maxAge_;
    std::optional<std::chrono::milliseconds> deadline_; ///< From the arrival.
    std::string session_; ///< Token text; empty for a new session.
};

/// What the caller is told.
struct CallerAnswer {
    Outcome outcome_ { Outcome::Unknown };
    std::optional<Reason> reason_; ///< Set unless the outcome is Done.
    std::string detail_;
    std::vector<std::string> answers_; ///< One JSON value for each statement.
    std::string session_; ///< Token to send with the next request.
    std::string key_; ///< To be sent with a resend of a write.
};

using AnswerHandler = std::function<void(CallerAnswer)>;

struct RequestRouterHooks {
    /// Sends to the peer listener of another instance.
    std::function<void(const std::string& address, const ForwardMessage&)> send_;
    std::function<void(const std::string& address)> reconnect_;
    std::function<void(const RouteRecord&)> learnRoute_;
};

/// The entry side of requests: reads the session, chooses the endpoint, sends attempts to its holder, retries within
/// the budget, and answers the caller exactly once.
class RequestRouter {
public:
    RequestRouter(ServeContext&, HolderService&, SessionKeys, RequestRouterHooks);
    RequestRouter(const RequestRouter&) = delete;
    RequestRouter& operator=(const RequestRouter&) = delete;

    /// Serves a request outside transactions.
    void handle(CallerRequest, AnswerHandler);

    /// Begins a transaction for a caller connection. The id in the answer's key_ names it in the calls below.
    void begin(std::uint64_t caller, CallerRequest, AnswerHandler);
    void runInTransaction(
        std::uint64_t caller, const std::string& transaction, std::vector<std::string> statements, AnswerHandler);
    /// A commit of a transaction that is not open any more is looked up by the key of the request, which then has to
    /// name the service and class; its outcome is unknown if that finds nothing.
    void commit(std::uint64_t caller, const std::string& transaction, CallerRequest, AnswerHandler);
    void rollback(std::uint64_t caller, const std::string& transaction, AnswerHandler);
    /// Rolls back what a caller connection that has ended left open.
    void endCaller(std::uint64_t caller);

    /// A reply of another instance.
    void receive(ForwardReply);
    /// The route of the group is newer than before.
    void routeChanged(const GroupId&);
    /// Membership declared an instance dead or gone: its answers will not come.
    void instanceGone(const InstanceId&);

    /// Requests that have not been answered yet.
    std::size_t openRequests() const { return openRequests_; }

private:
    /// What is common to reads and writes while they are open.
    struct Open {
        CallerRequest request_;
        ServiceSettings service_;
        ClassSettings class_;
        SessionState session_;
        AnswerHandler handler_;
        TimePoint arrived_;
        TimePoint deadline_;
    };
    struct Read : Open {
        std::uint32_t attempts_ { 0 };
        std::set<EndpointId> tried_;
    };
    struct Write : Open {
        WriteState state_;
        std::map<std::uint64_t, std::vector<std::string>> answers_; ///< By attempt.
        std::optional<EventLoop::TimerId> timer_;
        std::string transaction_; ///< For a commit.
        InstanceId holder_; ///< For a commit: where the transaction is.
        EndpointId endpoint_;
    };
    using ReadPtr = std::shared_ptr<Read>;
    using WritePtr = std::shared_ptr<Write>;

    struct Attempt {
        InstanceId holder_;
        std::string address_;
        ReplyHandler handler_;
        EventLoop::TimerId timer_;
    };
    struct Transaction {
        std::uint64_t caller_ { 0 };
        CallerRequest request_;
        GroupId group_;
        EndpointId endpoint_;
        InstanceId holder_;
    };

    bool prepare(CallerRequest&, Open&);
    void assignKey(Open&);
    void refuseCaller(const AnswerHandler&, Reason, std::string detail = {}, std::string key = {});
    void finish(Open&, CallerAnswer);

    void startRead(const ReadPtr&);
    void tryRead(const ReadPtr&, const EndpointId&, LogPosition required, bool finalChoice);
    void readReplied(const ReadPtr&, const EndpointId&, ForwardReply);
    void retryRead(const ReadPtr&, Reason);
    EndpointId endpointForRead(const Read&);

    /// Gives a prepared write its key and its state; its first event follows.
    void openWrite(const WritePtr&, WriteKind);
    void feed(const WritePtr&, const WriteEvent&);
    void tryWrite(const WritePtr&, const WriteRunAt&);
    void writeReplied(const WritePtr&, const WriteRunAt&, ForwardReply);
    void answerWrite(const WritePtr&, const WriteResponse&);

    void lookUpCommit(CallerRequest, AnswerHandler);
    ForwardRequest forwardRequest(const Open&, const EndpointId&) const;
    /// Sends an attempt to the holder of the endpoint, or to a given holder. The handler is called exactly once.
    void dispatch(ForwardRequest, std::optional<InstanceId> holder, ReplyHandler);
    void attemptEnded(std::uint64_t number, ForwardReply);
    Transaction* findTransaction(std::uint64_t caller, const std::string& transaction);
    void sendTransactionStep(
        const Transaction&, const std::string& id, ForwardOperation, std::vector<std::string>, ReplyHandler);

    ServeContext& context_;
    HolderService& holder_;
    const SessionKeys keys_;
    const RequestRouterHooks hooks_;
    RetryBudget budget_;
    std::map<std::uint64_t, Attempt> attempts_;
    std::map<GroupId, std::set<WritePtr>> writes_;
    std::map<std::string, Transaction> transactions_;
    std::uint64_t lastNumber_ { 0 };
    std::uint64_t lastKey_ { 0 };
    std::uint64_t spread_ { 0 };
    std::size_t openRequests_ { 0 };
};

} // namespace cassiahollow
