#pragma once

#include "cassiahollow/process/Mailbox.h"
#include "connection/CallerApi.h"
#include "connection/PlatformApi.h"
#include "process/OperatorApi.h"
#include "process/PeerTask.h"
#include "request/RequestRouter.h"
#include "version/ControlClient.h"

#include <deque>
#include <set>
#include <unordered_set>
#include <variant>

namespace cassiahollow {

/// SIGTERM or SIGINT arrived.
struct ShutdownSignal { };

/// What the control task of this instance reports.
struct ControlSend {
    InstanceId recipient_;
    std::string body_;
};
struct ControlSettings {
    std::shared_ptr<const SettingsTree> tree_;
};
struct ControlGroup {
    GroupId group_;
    GroupMembers members_;
};
struct ControlAnswered {
    std::uint64_t token_ { 0 };
    ChangeOutcome outcome_;
};
struct ControlFailed {
    Failure failure_;
};

/// What other threads send to the serve task.
using ServeMessage = std::variant<PeerMessage, ShutdownSignal, ControlSend, ControlSettings, ControlGroup,
    ControlAnswered, ControlStatus, ControlFailed>;

/// The main task of a process: owns the event loop, the listeners, the endpoints and groups that this instance holds,
/// and the membership. Runs on the thread that calls run().
class ServeTask {
public:
    ServeTask(const ProcessSettings&, SettingsTree startTree, Incarnation);
    ~ServeTask();
    ServeTask(const ServeTask&) = delete;
    ServeTask& operator=(const ServeTask&) = delete;

    /// Opens all listeners. Errors: an address is not free or not valid.
    boost::leaf::result<void> start();
    /// Runs until the shutdown is complete. Returns the exit status: 0 if no request was cut off.
    int run();
    /// Any thread.
    void post(ServeMessage);

private:
    std::unique_ptr<ControlTask> makeControlTask(const SettingsTree& startTree);
    void takeMessages();
    void receive(PeerMessage&);
    void receive(const ShutdownSignal&);
    void receive(const ControlSend&);
    void receive(const ControlSettings&);
    void receive(const ControlGroup&);
    void receive(const ControlAnswered&);
    void receive(const ControlStatus&);
    void receive(const ControlFailed&);
    void receiveControl(PeerMessage&);
    std::string controlAddress(const InstanceId&) const;
    void proposeGroups();
    void receiveForward(const PeerMessage&);
    void receiveVote(const PeerMessage&);
    bool isStale(const PeerMessage&);
    /// Whether a forwarded request arrived before. A repeat that ran beside the first could answer "not run" falsely.
    bool isRepeated(const InstanceId& sender, std::uint64_t number);

    void feed(const MembershipEvent&);
    void perform(const SendMembershipMessage&);
    void perform(const InstanceChanged&);
    void perform(const RecordChanged&);
    void perform(const PullSettings&);
    void perform(const HolderRoleChange&);
    void perform(const MembershipMessageDropped&);
    void membershipTimer();

    void scheduleRefresh();
    void refreshGroups();
    void refreshGroup(const GroupId&);
    std::vector<EndpointId> membersOfGroup(const GroupId&) const;
    std::string addressOf(const EndpointId&) const;
    void sendVote(const GroupVote&);
    void applyTree(const SettingsTree&, bool publish);
    /// Orders a planned change of primary for each group whose primary is leaving and held here.
    void replaceLeavingPrimaries();
    void housekeep();

    void reportClient(const ClientMemory::Event&);
    void beginShutdown();
    void stopAccepting();
    bool isDrained() const;

    const ProcessSettings settings_;
    const Incarnation incarnation_;
    EventLoop loop_;
    ChannelFactory channels_;
    Metrics metrics_;
    MembershipState membership_;
    SettingsTree tree_;
    ServeContext context_;
    Mailbox<ServeMessage> inbox_;
    PeerTask peers_;
    std::unique_ptr<ControlTask> control_; ///< Null unless this instance is a control member.
    ControlClient controlClient_;
    ControlStatus controlStatus_;
    std::set<GroupId> proposedGroups_; ///< Member lists that this leader has proposed and not seen decided.
    std::map<EndpointId, std::unique_ptr<HeldEndpoint>> held_;
    struct Watched {
        std::unique_ptr<GroupWatch> watch_;
        std::vector<EndpointId> members_;
        std::vector<std::pair<InstanceId, bool>> watchers_;
    };
    std::map<GroupId, Watched> watched_;
    HolderService holderService_;
    RequestRouter router_;
    CallerApi callers_;
    PlatformApi platform_;
    OperatorApi operators_;
    struct RecentRequests {
        std::unordered_set<std::uint64_t> numbers_;
        std::deque<std::uint64_t> order_;
    };
    std::map<InstanceId, RecentRequests> recentRequests_;
    std::map<InstanceId, Incarnation> newestIncarnations_;
    std::map<EndpointId, std::string> lastAddresses_;
    std::uint64_t lastGroupState_ { 0 };
    std::optional<EventLoop::TimerId> membershipTimer_;
    bool refreshScheduled_ { false };
    bool shuttingDown_ { false };
    bool ready_ { false };
    TimePoint clientLogged_; ///< The last line about a closed client.
    int exitStatus_ { 0 };
};

} // namespace cassiahollow
