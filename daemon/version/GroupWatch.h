#pragma once

#include "cassiahollow/connection/EndpointProtocol.h"
#include "cassiahollow/request/ReadRouting.h"
#include "cassiahollow/version/GroupTerm.h"
#include "process/ServeContext.h"

#include <functional>
#include <map>

namespace cassiahollow {

/// What a group watch needs from its owner; all are called on the loop's thread.
struct GroupWatchHooks {
    std::function<void(const GroupVote&)> sendVote_; ///< To all other watchers of the group.
    std::function<void(const RouteRecord&)> publishRoute_;
    std::function<void(const GroupId&)> changed_; ///< Positions, primary or pause of writes may have changed.
    std::function<std::string(const EndpointId&)> addressOf_; ///< ip:port, or empty if the endpoint is unknown.
};

/// Runs the decisions of GroupTerm for one group that this instance watches, and owns the watch connections.
class GroupWatch {
public:
    /// \param stateNumber differs from that of every earlier watch of this process.
    GroupWatch(ServeContext&, GroupId, std::uint64_t stateNumber, GroupWatchHooks);
    ~GroupWatch();
    GroupWatch(const GroupWatch&) = delete;
    GroupWatch& operator=(const GroupWatch&) = delete;

    void configure(std::vector<GroupMember>, std::vector<GroupWatcher>);
    /// Takes over the group's settings from the settings tree.
    void applySettings();
    void receiveVote(const GroupVote&);
    /// Starts a planned change of primary.
    void orderChange(const EndpointId& preferred);

    const GroupState& state() const { return state_; }
    const GroupView& view() const { return view_; }
    /// True for a short time after the start of this watch, while its connections are being opened. What looks like
    /// a lost majority then is only a watch that has not heard from the members yet.
    bool isWarmingUp(TimePoint now) const { return now < started_ + warmUp; }

private:
    static constexpr std::chrono::milliseconds warmUp { 1000 };

    struct PendingOrder {
        OrderKind kind_;
        Term term_;
    };
    /// One connection to a member, first as a probe and then as the watch.
    struct Link {
        EndpointChannelPtr channel_;
        std::uint64_t probe_ { 0 };
        ExchangeNumber lastExchange_ { 0 };
        ExchangeNumber watchExchange_ { 0 };
        std::map<ExchangeNumber, PendingOrder> orders_;
        std::map<ExchangeNumber, TimePoint> questions_; ///< When each unanswered `report` was sent.
        bool reported_ { false };
    };
    struct Member {
        Link watch_;
        Link probe_;
    };

    void feed(const GroupEvent&);
    void perform(const OpenProbe&);
    void perform(const ReplaceWatch&);
    void perform(const CloseWatch&);
    void perform(const SendVote&);
    void perform(const SendOrder&);
    void perform(const PauseWrites&);
    void perform(const ResumeWrites&);
    void perform(const PublishRoute&);
    void perform(const RecordPhase&);
    void perform(const LogChange&);
    void receive(const EndpointId&, std::uint64_t probe, const std::string& text);
    void receiveReport(const EndpointId&, Link&, bool isWatch, ExchangeNumber, const EndpointReport&);
    void receiveRefusal(const EndpointId&, Link&, ExchangeNumber, const NotRunResponse&);
    void linkClosed(const EndpointId&, std::uint64_t probe);
    Link* findLink(const EndpointId&, std::uint64_t probe);
    static void closeLink(Link&);
    void askMembers();
    void armTimer();

    ServeContext& context_;
    const GroupWatchHooks hooks_;
    GroupState state_;
    GroupView view_;
    std::map<EndpointId, Member> members_;
    std::optional<EventLoop::TimerId> timer_;
    TimePoint started_ { Clock::now() };
    EventLoop::TimerId questionTimer_ {};
};

} // namespace cassiahollow
