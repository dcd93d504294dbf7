#pragma once

#include "cassiahollow/connection/ConnectionPool.h"
#include "cassiahollow/connection/EndpointProtocol.h"
#include "cassiahollow/request/AdmissionQueue.h"
#include "cassiahollow/request/Forward.h"
#include "process/ServeContext.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <map>

namespace cassiahollow {

/// Called exactly once for each request, on the loop's thread.
using ReplyHandler = std::function<void(ForwardReply)>;

/// One endpoint that this instance holds, or held until a moment ago: its queue, its working connections, and the
/// statements on them.
class HeldEndpoint {
public:
    HeldEndpoint(ServeContext&, const EndpointRecord&);
    ~HeldEndpoint();
    HeldEndpoint(const HeldEndpoint&) = delete;
    HeldEndpoint& operator=(const HeldEndpoint&) = delete;

    void becomeHolder();
    /// Closes connections as they become free; requests that wait are refused as not run.
    void ceaseHolder();
    /// Takes over slots, connections and address from an announcement, and class settings from the settings tree.
    void update(const EndpointRecord&);

    /// Queues a request, runs it on the endpoint in the given term, and replies. The reply is `Done` as soon as the
    /// endpoint says so; confirmation by a majority is not waited for.
    void run(ForwardRequest, LeaseOwner, TimePoint deadline, Term, ReplyHandler);
    /// Ends the transactions of one caller.
    void endOwner(const LeaseOwner&);
    /// Ends the transactions of all callers of an instance that died.
    void endInstance(const InstanceId&);

    bool isHolder() const { return pool_.holderSince_.has_value(); }
    /// True when nothing runs, waits or is connected.
    bool isIdle() const { return jobs_.empty() && pool_.connections_.empty(); }
    std::size_t queueLength() const { return queue_.waiting_; }
    std::size_t openTransactions() const { return transactions_.size(); }
    const EndpointRecord& record() const { return record_; }

private:
    struct Job : boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter> {
        ForwardRequest request_;
        LeaseOwner owner_;
        Term term_ { 0 };
        ReplyHandler reply_;
        AdmissionItem item_;
        TimePoint enqueued_;
        ConnectionLease lease_;
        bool replied_ { false };
        std::optional<EventLoop::TimerId> deadlineTimer_;
        std::optional<EventLoop::TimerId> silenceTimer_;
    };
    using JobPtr = boost::intrusive_ptr<Job>;

    struct Connection {
        EndpointChannelPtr channel_;
        ExchangeNumber lastExchange_ { 0 };
        JobPtr job_; ///< The statement that runs on the connection.
        bool greeted_ { false };
        TimePoint sent_;
    };

    struct Transaction {
        ConnectionLease lease_;
        LeaseOwner owner_;
        Term term_ { 0 };
    };

    void pump();
    void start(const JobPtr&);
    void sendJob(const JobPtr&);
    void reply(const JobPtr&, ForwardReply);
    void refuse(const JobPtr&, Reason, std::string detail = {});
    void loseJob(const JobPtr&, Reason);
    void stopSilenceTimer(const JobPtr&);
    void finishJob(const JobPtr&, bool transactionOpen, bool refusedInTransaction);
    void receive(ConnectionNumber, const std::string& text);
    void receiveAnswer(ConnectionNumber, Connection&, const EndpointResponse&);
    void channelClosed(ConnectionNumber);
    void abandonConnection(ConnectionNumber, Reason);
    void perform(const PoolActions&);
    void open(ConnectionNumber);
    void close(const PoolAction&);
    void deadlinePassed(const JobPtr&);
    void armTimer();
    AdmissionSettings admissionSettings() const;

    ServeContext& context_;
    EndpointRecord record_;
    AdmissionQueue queue_;
    ConnectionPool pool_;
    std::map<ConnectionNumber, Connection> connections_;
    std::map<std::uint64_t, JobPtr> jobs_;
    /// An instance is trusted with its own transactions only, whatever ids it sends.
    using TransactionKey = std::pair<InstanceId, std::string>;
    std::map<TransactionKey, Transaction> transactions_;
    std::uint64_t lastJob_ { 0 };
    Duration expectedRunTime_ {}; ///< Mean time from sending a statement to its answer.
    Duration silenceLimit_; ///< How long a statement may go without an answer.
    std::optional<EventLoop::TimerId> timer_;
    bool pumping_ { false };
    bool pumpAgain_ { false };
};

} // namespace cassiahollow
