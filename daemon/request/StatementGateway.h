#pragma once

#include "cassiahollow/connection/AccountConnections.h"
#include "cassiahollow/connection/SqlSession.h"
#include "cassiahollow/process/DirectoryFeed.h"
#include "cassiahollow/process/Metrics.h"
#include "cassiahollow/process/StatementHolders.h"
#include "cassiahollow/request/AccountQuota.h"
#include "cassiahollow/request/AdmissionQueue.h"
#include "cassiahollow/request/HolderProtocol.h"
#include "cassiahollow/request/PositionSamples.h"
#include "cassiahollow/request/RetryBudget.h"
#include "cassiahollow/request/StatementPlacement.h"
#include "connection/EndpointLink.h"
#include "connection/LineChannel.h"
#include "process/EventLoop.h"
#include "process/SuspendAwareClock.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cassiahollow {

/// Serves the sessions of clients: keeps their state, and runs their statements on connections to endpoints that they
/// share. Lives on the loop's thread.
class StatementGateway {
public:
    struct Options {
        std::string instance_; ///< Told to endpoints.
        DataCentre dataCentre_;
        bool needsLeases_ { false }; ///< Primaries may be used only while a lease on them is valid.
        InstanceId self_; ///< Empty if this instance neither forwards statements nor holds groups for others.
        Incarnation incarnation_ { 0 };
        std::string forwardPort_; ///< Where all instances take statements of others.
        std::string deploymentKey_;
        bool failClosed_ { false }; ///< Refuses operations that need a key when the last contact is older than this:
        std::chrono::milliseconds revokeTime_ { 5000 };
        QuotaSettings quotas_; ///< 0 data centres: as many as control members tell.
    };

    StatementGateway(EventLoop&, Metrics&, Options);
    ~StatementGateway();
    StatementGateway(const StatementGateway&) = delete;
    StatementGateway& operator=(const StatementGateway&) = delete;

    /// A client has connected.
    void accept(const LineChannelPtr&);

    /// A newer catalog. Statements that are under way go on with the one they began with.
    void setCatalog(std::shared_ptr<const RouteCatalog>);
    /// When control members last confirmed what this instance knows.
    void setConfirmedContact(TimePoint contact) { confirmedContact_ = contact; }
    /// The endpoints as control members know them, and this instance's place among the instances.
    void setEndpoints(const std::vector<RegisteredEndpoint>&);
    void setShare(std::size_t instances, std::size_t rank);
    /// The instances of this data centre that take requests, and the data centres that have instances.
    void setNeighbours(std::vector<InstanceId> neighbours, std::size_t dataCentres);
    /// The instances of the other data centres that take requests. Needed only with quotas.
    void setOtherInstances(std::vector<DataCentreInstances>);
    /// A control member has answered a request that was sent at `askedAt`.
    void confirmInstances(TimePoint askedAt);
    bool hasQuotas() const { return !quotas_.limits_.empty(); }
    struct QuotaCounts {
        std::size_t owned_ { 0 }; ///< Ledgers of accounts.
        std::size_t fallbacks_ { 0 }; ///< Ledgers for owners that do not answer.
        std::size_t waiting_ { 0 }; ///< Operations without a token yet.
    };
    QuotaCounts quotaCounts() const;
    /// Another instance has connected to send statements.
    void acceptPeer(const LineChannelPtr&);

    /// A sample that somebody else took, dated by this instance's clock.
    void addSample(const GroupId&, const PositionSample&);

    /// What this instance has seen of the endpoints that it used lately.
    std::vector<EndpointObservation> reports() const;
    /// Called when the control members should learn something soon: an endpoint begins to fail, or leases have ended.
    void setReportHandler(std::function<void()> handler) { reportHandler_ = std::move(handler); }

    /// The leases in a response to a request sent at `requestedAt`, or in a push.
    void receiveLeases(const LeaseGrant&, std::optional<TimePoint> requestedAt);
    const LeaseVersion& leaseVersion() const { return leases_.table_.version_; }

    bool hasCatalog() const { return catalog_ != nullptr; }
    std::uint64_t catalogVersion() const { return catalog_ ? catalog_->version_ : 0; }
    bool hasEndpoints() const { return !registry_.records_.empty(); }

    /// Asks the endpoints that matter for unreachableGroups() for a sign of life, if they have not answered lately. Few
    /// statements reach an instance of many, so their silence alone would show late that it is cut off.
    void probeEndpoints();
    /// The groups of the catalog, and those whose primary does not answer this instance.
    std::size_t groups() const { return catalog_ ? catalog_->groups_.size() : 0; }
    std::size_t unreachableGroups() const;
    /// An isolated instance refuses at once what it cannot serve, and lets resting sessions go when `sendAway`.
    void setIsolated(bool isolated, bool sendAway);

    /// Sessions that rest are closed one after the other, the others when their operation ends. Transactions that are
    /// open after `transactionTime` are ended, statements without an answer after `answerTime`.
    void beginShutdown(std::chrono::milliseconds transactionTime, std::chrono::milliseconds answerTime);
    /// Sessions of clients, and operations of other instances.
    std::size_t sessions() const { return sessions_.size(); }
    /// Writes a log line for each statement without an answer, and returns their number. For the end of the process.
    std::size_t reportUnanswered() const;
    std::size_t heldGroups() const;
    std::size_t forwardedStatements() const;
    /// What this instance has learned of the endpoints that have answered it; all 0 if none has.
    struct LimitSummary {
        double smallest_ { 0 };
        double mean_ { 0 };
        double largest_ { 0 };
        double largestSlowdown_ { 0 };
    };
    LimitSummary learnedLimits() const;

private:
    struct Session;
    struct Job;
    struct Group;
    struct Endpoint;
    struct Holder;
    struct Peer;
    using HolderPtr = boost::intrusive_ptr<Holder>;
    using PeerPtr = boost::intrusive_ptr<Peer>;
    using SessionPtr = boost::intrusive_ptr<Session>;
    using JobPtr = boost::intrusive_ptr<Job>;

    // Sessions.
    std::size_t receive(const SessionPtr&, std::string_view);
    void channelClosed(const SessionPtr&);
    void closeSession(const SessionPtr&);
    void goOn(const SessionPtr&);
    bool mayAwaitRest(const Session&) const;
    void giveUpStatements();
    void refuseForShutdown(const SessionPtr&);
    bool isTooLateToBegin(const Route&, bool opensTransaction) const;
    void handle(const SessionPtr&, platform::ClientStart);
    void begin(const SessionPtr&, const std::string& database);
    void handle(const SessionPtr&, platform::ClientQuery);
    void startHeld();
    void beginTransaction(const SessionPtr&, bool readOnly);
    void endTransaction(const SessionPtr&, const std::string& id, const Statement&);
    void runStatement(const SessionPtr&, std::string id, const Statement&);
    void answerLocal(const SessionPtr&);
    void answer(const SessionPtr&, const EndpointReply&);
    void refuse(const SessionPtr&, StatementError, std::string_view text);
    void release(const SessionPtr&, bool rollback);
    void sessionClosed(const SessionPtr&);
    void finishOperation(const SessionPtr&);
    bool identify(const SessionPtr&);
    void refuseKey(const SessionPtr&, std::string_view database);
    bool isContactTooOld() const;
    void endRemovedKeys();
    void endRevoked(const SessionPtr&);
    void endIdleTransactions();
    void closeResting();

    // Statements.
    static bool needsPrimary(const Job&);
    bool holdMemory(Job&);
    static bool mayKeep(const Job&);
    void submit(const JobPtr&);
    void enqueueJob(const JobPtr&);
    bool mayPlace(Group&, const Job&);
    void resizeQueues(Group&);
    void dispatch(Group&);
    void refuseJob(const JobPtr&, Reason);
    std::size_t room(const Endpoint&) const;
    std::size_t freeAtPrimary(const Group&) const;
    std::size_t freeForReads(const Group&) const;
    bool serveQueue(
        Group&, AdmissionQueue&, std::size_t free, const std::function<bool(const AdmissionItem&)>& mayStart);
    std::vector<PlacementCandidate> candidatesFor(const Group&, const Job&, std::vector<Endpoint*>&);
    Endpoint* placeJob(Group&, const JobPtr&);
    void start(const JobPtr&, Endpoint&, const EndpointLinkPtr&);
    void notSent(const JobPtr&, const EndpointLinkPtr&);
    void runOn(const JobPtr&, const EndpointLinkPtr&);
    bool mayLackOwnCommit(const Job&, const EndpointId&);
    void runChecked(const JobPtr&, const EndpointLinkPtr&);
    void runSingle(const JobPtr&, const EndpointLinkPtr&, bool proveLead);
    void runFirst(const JobPtr&, const EndpointLinkPtr&, bool readOnly);
    void finished(const JobPtr&, const EndpointLinkPtr&, const EndpointReply*, bool beginRefused);
    void settle(const JobPtr&, const EndpointLinkPtr&, const EndpointReply*, bool beginRefused);
    void finishedFirst(const JobPtr&, const EndpointLinkPtr&, const EndpointReply*);
    bool retry(const JobPtr&, const EndpointLinkPtr&, const EndpointReply*);
    void hedgeLate(Group&);
    void hedge(Group&, const JobPtr&);
    void answerFailure(const JobPtr&, const EndpointLinkPtr&, const EndpointReply&);
    void answerSuccess(const JobPtr&, const EndpointLinkPtr&, const EndpointReply&, bool provedLead);
    void completeStatement(const JobPtr&, const EndpointReply&);
    void answerInDoubt(const JobPtr&, const EndpointLinkPtr&, const EndpointReply&);
    void failStatement(const SessionPtr&, StatementError, std::string_view text);
    void lost(const JobPtr&, bool wasSent);
    void timedOut(const JobPtr&);
    void jobDone(const JobPtr&);
    void learn(const JobPtr&, const EndpointLinkPtr&, const EndpointReply&);
    void freeLink(const EndpointLinkPtr&, bool isClean);
    void sendFit(const EndpointLinkPtr&, const SqlSession&, const std::optional<PreparedShape>&);

    // Statements of this instance's clients that other instances run.
    HolderInputs holderInputs() const;
    void updateHolders();
    void rerouteWaiting(Group&);
    HolderPtr holderFor(Group&, const Job&);
    HolderPtr holderOf(const InstanceId&);
    void openHolder(const HolderPtr&);
    bool forwardJob(const JobPtr&);
    void forwardNext(const JobPtr&);
    static StatementRequest requestFor(const Job&, TimePoint now);
    void sendForward(const HolderPtr&, const JobPtr&, std::uint64_t operation);
    std::size_t receiveFromHolder(const HolderPtr&, std::string_view);
    void handle(const HolderPtr&, const StatementReply&);
    void handle(const HolderPtr&, const HolderLeaving&);
    void handle(const HolderPtr&, const HolderProbeReply&);
    template <typename Message> void handle(const HolderPtr&, const Message&);
    void answerForwarded(const JobPtr&, const StatementReply&);
    void holderLost(const HolderPtr&);
    void forwardLost(const JobPtr&, bool wasSent);
    void forwardTimedOut(const JobPtr&);
    void endForwards(const JobPtr&);
    void endRemote(const SessionPtr&);
    void watchHolders();
    void probeHolders();

    // Quotas of client accounts.
    void updateQuotas();
    void updateQuotaView();
    void takeTokenFor(const JobPtr&);
    void carryOut(QuotaActions);
    void sendQuota(const QuotaSend&);
    void quotaInstanceLost(const HolderPtr&);
    void quotaInstanceLeft(const InstanceId&);
    void giveUpQuotas();
    void receiveQuotaFrom(const InstanceId&, const QuotaMessage&);
    void receiveQuotaFrom(const PeerPtr&, const QuotaMessage&);
    void handle(const HolderPtr&, const QuotaGrant&);
    void handle(const HolderPtr&, const QuotaLoan&);
    void handle(const PeerPtr&, const QuotaRequest&);
    void handle(const PeerPtr&, const LoanRequest&);
    void handle(const PeerPtr&, const QuotaHandover&);
    void decided(const QuotaDecision&);
    void returnUnused(const QuotaDecision&);
    void releaseToken(const JobPtr&);
    void refuseForQuota(const JobPtr&, const QuotaDecision&);
    void wakeQuotaTimer();
    void scheduleQuotaWakeup();

    // Statements of other instances' clients that run here.
    std::size_t receiveFromPeer(const PeerPtr&, std::string_view);
    void handle(const PeerPtr&, StatementRequest);
    static void refusePeer(const PeerPtr&, std::uint64_t number, StatementError, std::string_view text);
    SessionPtr beginOperation(const PeerPtr&, const StatementRequest&);
    void runForPeer(const SessionPtr&, StatementRequest);
    void handle(const PeerPtr&, const OperationEnd&);
    void handle(const PeerPtr&, const HolderProbe&);
    template <typename Message> void handle(const PeerPtr&, const Message&);
    void replyToPeer(const SessionPtr&, StatementReply);
    void peerLost(const PeerPtr&);
    void closePeer(const PeerPtr&);

    // Endpoints.
    bool lacksConnections(const Group&) const;
    bool usesHolders(const Group&) const;
    std::size_t connectionShareOf(const Group&, const GroupRules&) const;
    bool isPrimaryUnreachable(const Group&) const;
    Group& groupOf(const GroupId&);
    const Group* findKnownGroup(const GroupId&) const;
    Endpoint* primary(const Group&);
    const Endpoint* primary(const Group&) const;
    Endpoint* find(const EndpointId&);
    const RegisteredEndpoint* primaryRecord(const GroupId&) const;
    bool mayAcknowledgeAt(const Group&, const EndpointId&) const;
    bool lacksLease(const Group&, const Job&) const;
    void endLeaseWaits(Group&);
    void watchLeases();
    bool isUsable(const Endpoint&) const;
    bool isScarceFor(const GroupId&) const;
    const Endpoint* preferred(const Group&) const;
    void openLink(Endpoint&);
    void openWanted(Group&);
    std::size_t connectionLimitOf(const Endpoint&) const;
    bool mayOpenLink(const Endpoint&) const;
    EndpointLinkPtr createLink(Endpoint&, const AccountId&);
    ConnectionChoice chooseLink(const Endpoint&, const Job&, std::size_t waiting) const;
    EndpointLinkPtr linkFor(Endpoint&, const Job&);
    bool isAccountKnown(const AccountId&) const;
    void linkReady(const EndpointId&);
    void linkClosed(const EndpointId&, const EndpointLinkPtr&);
    void suspect(Endpoint&);
    static void tellLimit(Endpoint&);
    void forgetRemovedGroups();
    void requestSample(Group&);
    bool awaitsSharedSample(const Group&) const;
    static EndpointLinkPtr restingLink(const Endpoint&);
    const Endpoint* witness(const Group&) const;
    void sampled(Group&, const PositionSample&);
    void watchSilence();
    void closeSpareLinks();
    void tick();

    EventLoop& loop_;
    Metrics& metrics_;
    const Options options_;
    LineSockets sockets_;
    std::shared_ptr<const RouteCatalog> catalog_;
    EndpointRegistry registry_;
    std::set<SessionPtr> sessions_;
    std::map<GroupId, std::unique_ptr<Group>> groups_;
    std::map<EndpointId, std::unique_ptr<Endpoint>> endpoints_;
    std::size_t instances_ { 1 };
    std::size_t rank_ { 0 };
    std::vector<InstanceId> neighbours_;
    std::size_t dataCentres_ { 0 };
    TimePoint neighboursSince_;
    bool hasSettled_ { false }; ///< The neighbours did not change for settleTime.
    StatementHolders assignment_;
    std::map<InstanceId, HolderPtr> holders_;
    std::set<PeerPtr> peers_;
    QuotaState quotas_;
    std::vector<DataCentreInstances> others_;
    std::size_t mostDataCentres_ { 1 }; ///< That control members have told of, without the setting.
    std::map<std::uint64_t, JobPtr> awaitToken_; ///< By the number of the operation.
    std::uint64_t lastQuotaOperation_ { 0 };
    std::map<InstanceId, PeerPtr> quotaPeers_; ///< The latest connection of each instance that asked for tokens.
    std::optional<TimePoint> quotaWakeAt_;
    EventLoop::TimerId quotaTimer_;
    RetryBudget retryBudget_;
    LeaseView leases_;
    bool usesLeases_ { false }; ///< Some primaries are leased. Stays on, because their leases have to be seen to end.
    bool hadLeases_ { false }; ///< Leases were valid at the last tick.
    std::function<void()> reportHandler_;
    TimePoint confirmedContact_;
    bool shuttingDown_ { false };
    bool isolated_ { false };
    bool sendAway_ { false };
    std::uint64_t ticks_ { 0 };
    TimePoint transactionsEnd_; ///< Of a shutdown.
    TimePoint answersEnd_; ///< Of a shutdown.
};

} // namespace cassiahollow
