#pragma once

#include "request/StatementGateway.h"

#include <algorithm>

// The state behind a StatementGateway; private to its sources.
namespace cassiahollow {

/// With a refusal because of a shutdown.
inline constexpr std::string_view stoppingText = "not run, this instance stops; use another one";

/// A connection to another instance that runs statements of this instance's clients.
struct StatementGateway::Holder : boost::intrusive_ref_counter<Holder, boost::thread_unsafe_counter> {
    InstanceId id_;
    LineChannelPtr channel_; ///< Null while there is no connection.
    bool isOpen_ { false };
    bool isLeaving_ { false };
    std::uint64_t lastNumber_ { 0 };
    std::map<std::uint64_t, JobPtr> pending_; ///< Statements without a reply, by number.
    TimePoint receivedAt_; ///< The last message from it.
    TimePoint probedAt_;
    TimePoint avoidUntil_;
    int failures_ { 0 }; ///< In a row.
};

/// A connection from another instance, whose clients' statements run here.
struct StatementGateway::Peer : boost::intrusive_ref_counter<Peer, boost::thread_unsafe_counter> {
    LineChannelPtr channel_;
    std::string instance_; ///< Empty until it has proved that it belongs to the deployment.
    std::map<std::uint64_t, SessionPtr> operations_;
};

struct StatementGateway::Session : boost::intrusive_ref_counter<Session, boost::thread_unsafe_counter> {
    /// The operation at a holder in which the session's transaction is open.
    struct RemoteTransaction {
        HolderPtr holder_;
        std::uint64_t operation_ { 0 };
    };

    LineChannelPtr channel_; ///< Null for the operation of a peer.
    PeerPtr peer_; ///< Set for the operation of a peer.
    std::uint64_t operation_ { 0 }; ///< Of the peer.
    std::uint64_t number_ { 0 }; ///< The peer's statement under way.
    std::optional<RemoteTransaction> remote_;
    SqlSession sql_;
    bool started_ { false };
    std::optional<std::string> heldDatabase_; ///< Of a start that arrived before this instance had a catalog.
    KeyDigest key_; ///< Of the client's key, which is kept nowhere.
    AccountId account_; ///< As of the session's last operation; empty without accounts and on public routes.
    bool isRevoked_ { false }; ///< Its key was removed: the session ends with its statement or transaction.
    bool busy_ { false }; ///< A statement is under way; the next one waits in the channel.
    bool isClosing_ { false }; ///< It is closed once its answers are sent, unless a statement arrives before.
    bool closed_ { false };
    bool wrote_ { false }; ///< The open transaction has sent a write.
    bool aborted_ { false }; ///< The transaction was ended here; the client learns it with its next statement.
    LogPosition position_; ///< The last position told to the client.
    std::shared_ptr<const RouteCatalog> catalog_; ///< In force when the operation began.
    const Route* route_ { nullptr }; ///< Of that catalog.
    EndpointLinkPtr link_; ///< Of the open transaction.
    JobPtr job_;
    platform::LineReader reader_;
    std::string lastRequest_; ///< Id of the client's last statement.
    TimePoint used_;
};

/// One statement that has to run at an endpoint.
struct StatementGateway::Job : boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter> {
    SessionPtr session_;
    std::string id_;
    std::string text_;
    StatementKind kind_ { StatementKind::Read }; ///< Read, Write or Commit.
    bool opensTransaction_ { false };
    bool needsPrimary_ { false };
    bool atPrimary_ { false }; ///< It waits for the primary, by need or because no replica has caught up.
    std::optional<PreparedShape> shape_;
    std::shared_ptr<const RouteCatalog> catalog_;
    const Route* route_ { nullptr };
    GroupId group_;
    TimePoint arrived_;
    TimePoint ageFrom_; ///< Arrival of the operation: ages of reads count back from it.
    TimePoint sent_;
    int attempts_ { 0 };
    int outstanding_ { 0 }; ///< Attempts that have not been answered; two when a read was also sent elsewhere.
    bool hedged_ { false };
    std::set<EndpointId> tried_;
    std::optional<ReadFloor> floor_; ///< Of the current attempt.
    bool isOwnCommitFloor_ { false }; ///< The floor is the session's last commit, and not a sample.
    EndpointLinkPtr link_;
    std::vector<std::pair<HolderPtr, std::uint64_t>> forwards_; ///< Where it was sent, and under which number.
    std::set<InstanceId> triedHolders_;
    std::uint64_t quotaOperation_ { 0 }; ///< Of an operation that takes a token; 0 if it needs none.
    std::optional<QuotaDecision> token_;
    bool isDone_ { false };
    EventLoop::TimerId timer_; ///< The statement's time limit.
    AdmissionItem item_;
    AdmissionQueue* queue_ { nullptr }; ///< Where the item waits or runs.
    HeldMemory memory_;
};

struct StatementGateway::Endpoint {
    RegisteredEndpoint record_;
    EndpointLoad load_;
    std::vector<EndpointLinkPtr> links_;
    LogPosition applied_; ///< The highest position in its answers.
    TimePoint leavingSince_;
    TimePoint openFailed_;
    TimePoint probed_; ///< The last sign of life was asked for.
    int openFailures_ { 0 };

    std::size_t idleLinks() const
    {
        return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(),
            [](const EndpointLinkPtr& link) { return link->isReady() && !link->taken_; }));
    }
    bool isOpening() const
    {
        return std::any_of(links_.begin(), links_.end(),
            [](const EndpointLinkPtr& link) { return !link->isReady() && !link->isClosed(); });
    }
};

struct StatementGateway::Group {
    Group(GroupId id, TimePoint known)
        : id_(std::move(id))
        , known_(known)
        , primaryQueue_({ .slots_ = 1, .initialServiceTime_ = firstServiceTime })
        , readQueue_({ .slots_ = 1, .initialServiceTime_ = firstServiceTime })
    {
    }

    /// Assumed until a statement has finished.
    static constexpr std::chrono::milliseconds firstServiceTime { 10 };

    /// Whether the statement is in no queue yet, because a sample or a lease is missing.
    bool isBlocked(const JobPtr& job) const { return awaitSample_.contains(job) || awaitLease_.contains(job); }
    void unblock(const JobPtr& job)
    {
        awaitSample_.erase(job);
        awaitLease_.erase(job);
    }

    GroupId id_;
    const TimePoint known_; ///< When this instance first heard of the group.
    AdmissionQueue primaryQueue_; ///< Statements that only the primary may run.
    AdmissionQueue readQueue_; ///< Reads with a floor, for any endpoint.
    PositionSamples samples_;
    std::vector<InstanceId> holders_; ///< In the order in which this instance asks them; empty without holders.
    bool isHeld_ { false }; ///< This instance is one of the holders.
    bool usedHolders_ { false }; ///< Whether others held the connections at the last update.
    bool isUnreachableAtHolder_ { false }; ///< The last holder that replied cannot use the primary.
    bool sampling_ { false };
    bool usesAccounts_ { false }; ///< Connections belong to accounts. Stays on, because some may still.
    bool isSynchronous_ { false }; ///< Replicas confirm commits; only an instance with a lease may report them as done.
    std::set<JobPtr> awaitSample_; ///< Reads without a floor.
    std::set<JobPtr> awaitLease_; ///< Statements that may write, without a lease on the primary.
    std::set<JobPtr> jobs_; ///< All statements that wait or run.
    EventLoop::TimerId timer_;
    bool hasTimer_ { false };
    bool dispatching_ { false };
    bool dispatchAgain_ { false };
};

} // namespace cassiahollow
