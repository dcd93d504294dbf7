#pragma once

#include "cassiahollow/process/DirectoryFeed.h"
#include "cassiahollow/process/Mailbox.h"
#include "cassiahollow/process/Metrics.h"
#include "connection/HttpListener.h"
#include "process/DirectoryStore.h"
#include "process/EventLoop.h"
#include "process/NodeSettings.h"
#include "process/PeerTask.h"
#include "version/ControlTask.h"
#include "version/DutyRunner.h"
#include "version/PrimaryLeases.h"
#include "version/PrimarySampler.h"

#include <map>
#include <memory>
#include <variant>

namespace cassiahollow {

/// A control member of a deployment that speaks the line protocol: keeps its part of the control log, takes the
/// operator's configurations and the endpoints' reports, feeds the entry instances, and holds the promotion duty while
/// it leads. Owns the loop of its process.
class ControlHost {
public:
    ControlHost(NodeSettings, Incarnation);
    ~ControlHost();
    ControlHost(const ControlHost&) = delete;
    ControlHost& operator=(const ControlHost&) = delete;

    boost::leaf::result<void> start();
    /// Runs until a shutdown is posted.
    void run();

    struct Shutdown { };
    struct Reload {
        NodeSettings settings_;
    };
    /// Any thread.
    void post(Shutdown message) { mailbox_.post(message); }
    void post(Reload message) { mailbox_.post(std::move(message)); }

private:
    // Messages of the control task's thread.
    struct Send {
        InstanceId recipient_;
        std::string body_;
    };
    struct CatalogApplied {
        std::shared_ptr<const CatalogDocument> catalog_;
    };
    struct CatalogCommitted {
        CatalogCommittedAction report_;
    };
    struct Answered {
        std::uint64_t token_;
        ChangeOutcome outcome_;
    };
    struct StorageLost {
        Failure failure_;
    };
    using Message = std::variant<Shutdown, Reload, PeerMessage, Send, CatalogApplied, CatalogCommitted, Answered,
        ControlStatus, StorageLost>;

    /// An operator's call that waits for the control log.
    struct PendingCall {
        HttpConnectionPtr connection_;
        std::uint64_t wantedVersion_ { 0 }; ///< A read: answered once this version is applied here. 0: not known yet.
        bool isRead_ { false };
        bool isDeparture_ { false }; ///< No call, but the departure of this member.
        std::optional<GroupId> grant_; ///< Set: no call, but a grant that the duty waits for.
        TimePoint arrived_;
        TimePoint deadline_;
    };
    struct EntryInstance {
        TimePoint asked_;
        std::string registryMark_;
        std::uint64_t catalogVersion_ { 0 };
        bool takesRequests_ { true };
        DataCentre dataCentre_;
        std::uint64_t neighboursMark_ { 0 };
        std::optional<std::uint64_t> othersMark_; ///< Nothing if it does not need the other data centres.
        TimePoint othersSent_;
        TimePoint pushed_;
        bool isPushDue_ { false };
    };
    struct Member {
        TimePoint heard_;
        TimePoint reconnected_;
        std::vector<InstanceId> instances_; ///< Entry instances that asked it lately.
        std::vector<DataCentre> dataCentres_; ///< Of these instances.
    };
    using EntryInstances = std::map<InstanceId, DataCentre>;

    void startControl();
    /// Asks to be removed from the voters, so that the others tolerate losses while this member is away.
    void depart();
    void stop();
    void finishStop();
    void receiveAll();
    void receive(const Shutdown&);
    void receive(const Reload&);
    void receive(const PeerMessage&);
    void receive(const Send&);
    void receive(const CatalogApplied&);
    void receive(const CatalogCommitted&);
    void applyCatalog(std::shared_ptr<const CatalogDocument>, std::string_view source);
    std::uint64_t appliedVersion() const { return document_ ? document_->version_ : 0; }
    /// Logs what the files of the control log and the copy of the directory held, and soon what is in force.
    void reportStart();
    void saveDirectory();
    void receive(const Answered&);
    void receive(const ControlStatus&);
    void receive(const StorageLost&);

    void receiveDirectory(const InstanceId& sender, const FeedRequest&);
    void receiveDirectory(const InstanceId& sender, const FeedResponse&);
    void receiveDirectory(const InstanceId& sender, const RegistryUpdate&);
    void receiveDirectory(const InstanceId& sender, const ReportRelay&);
    void receiveDirectory(const InstanceId& sender, const LeaseRequest&);
    void receiveDirectory(const InstanceId& sender, const LeaseResponse&);

    void handleCall(const HttpConnectionPtr&, const HttpRequest&);
    void replyMetrics(const HttpConnectionPtr&);
    void putCatalog(const HttpConnectionPtr&, const std::string& document);
    void getCatalog(const HttpConnectionPtr&);
    void putHeartbeat(const HttpConnectionPtr&, const std::string& id, const std::string& body);
    void deleteEndpoint(const HttpConnectionPtr&, const std::string& id);
    std::uint64_t submit(ControlRequest, PendingCall);
    void replyCatalog(const HttpConnectionPtr&);
    /// Refuses the call and records the cause.
    void refuseRead(const PendingCall&, std::string_view detail);
    void refuseChange(const PendingCall&, Outcome, std::string_view detail);
    void answerReads();

    void tick();
    /// Why this member does not take part in the control log, or an empty string.
    std::string_view controlImpairment() const;
    void reportImpairment(TimePoint now);
    /// Other members that sent a message lately.
    std::vector<InstanceId> heardMembers() const;
    bool inContact() const;
    std::vector<InstanceId> otherMembers() const;
    /// Entry instances that asked any member lately. An empty data centre is not known.
    const EntryInstances& entryInstances() const { return entryInstances_; }
    EntryInstances findEntryInstances() const;
    RegistryUpdate updateWith(std::vector<RegisteredEndpoint>) const;
    static void addNeighbours(FeedResponse&, const EntryInstances&, const EntryInstance&);
    static void addOthers(FeedResponse&, const EntryInstances&, EntryInstance&);
    std::size_t expectedInstances(std::size_t asked) const;
    /// Entry instances of this data centre; after a start, also those of before it.
    std::vector<InstanceId> localInstances() const;
    void announceStart();
    void sendDirectory(const InstanceId& recipient, const DirectoryMessage&);
    void spread(std::vector<RegisteredEndpoint>);
    void registryChanged();
    void pushFeeds();
    void pushDueFeeds();
    void pushLeases();
    void updateProven();
    FeedResponse feedFor(const InstanceId&, EntryInstance&) const;
    std::string registryMark() const;

    NodeSettings settings_;
    const Incarnation incarnation_;
    const InstanceId self_;
    EventLoop loop_;
    Metrics metrics_;
    Mailbox<Message> mailbox_;
    PeerTask peers_;
    EndpointRegistry registry_;
    DirectoryStore store_;
    std::unique_ptr<HttpListener> operators_;
    std::unique_ptr<HttpListener> metricsListener_;
    PrimaryLeases leases_;
    DutyRunner duty_;
    PrimarySampler sampler_;
    std::shared_ptr<const RouteCatalog> catalog_;
    std::unique_ptr<ControlTask> control_;
    ControlStatus status_;
    bool isStopped_ { false };
    TimePoint stopEnd_; ///< For the last replies.
    TimePoint departureEnd_; ///< The epoch unless this member is stopping.
    std::string_view impairment_;
    TimePoint impairedAt_;
    bool isImpairmentReported_ { false };
    std::uint64_t storedVersion_ { 0 }; ///< Of the catalog in the copy of the directory when the process started.
    std::shared_ptr<const CatalogDocument> document_;
    std::shared_ptr<const PackedCatalog> packed_; ///< Of document_.
    std::map<std::uint64_t, PendingCall> calls_;
    std::uint64_t nextToken_ { 1 };
    std::map<InstanceId, EntryInstance> instances_;
    std::map<InstanceId, Member> members_;
    EntryInstances entryInstances_; ///< As of the last tick.
    TimePoint nextSpread_;
    std::size_t instancesBefore_ { 0 }; ///< Entry instances before the start of this process.
    std::vector<InstanceId> neighboursBefore_; ///< Those of this data centre.
    std::vector<InstanceId> savedNeighbours_; ///< As of the last copy of the directory.
    TimePoint started_;
};

} // namespace cassiahollow
