#include "version/GroupWatch.h"

#include "process/Log.h"

namespace cassiahollow {

namespace {

    // The answers to questions are the heartbeat and prove the age of positions, so the watch itself need only report
    // changes; its own interval is a fallback. One watched group costs 6.6 KB/s (docs/CAPACITY.md).
    constexpr std::chrono::milliseconds questionInterval { 100 };
    constexpr std::chrono::milliseconds watchInterval { 1000 };
    constexpr std::chrono::milliseconds connectTimeout { 1000 };
    constexpr std::size_t maxOpenQuestions = 50;

    MemberReport memberReport(const EndpointReport& report)
    {
        return { report.endpoint_, report.role_, report.promisedTerm_, report.position_, report.leaving_ };
    }

    HistogramId histogramOf(const RecordPhase& phase)
    {
        switch (phase.phase_) {
        case FailoverPhase::Detect:
            return HistogramId::FailoverDetect;
        case FailoverPhase::Decide:
            return HistogramId::FailoverDecide;
        case FailoverPhase::Fence:
            return HistogramId::FailoverFence;
        case FailoverPhase::CatchUp:
            return HistogramId::FailoverCatchUp;
        case FailoverPhase::Promote:
            return HistogramId::FailoverPromote;
        case FailoverPhase::Route:
            return HistogramId::FailoverRoute;
        case FailoverPhase::Total:
            break;
        }
        return phase.planned_ ? HistogramId::PlannedChangeTotal : HistogramId::FailoverTotal;
    }

} // namespace

GroupWatch::GroupWatch(ServeContext& context, GroupId group, std::uint64_t stateNumber, GroupWatchHooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , state_(makeGroupState(group, context.settings_.instance_,
          context.settings_.instance_.value_ + "." + std::to_string(context.incarnation_) + "."
              + std::to_string(stateNumber)))
{
    view_.group_ = std::move(group);
    applySettings();
    questionTimer_ = context_.loop_.schedule(Clock::now() + questionInterval, [this] { askMembers(); });
}

GroupWatch::~GroupWatch()
{
    context_.loop_.cancel(questionTimer_);
    if (timer_)
        context_.loop_.cancel(*timer_);
    for (auto& [endpoint, member] : members_) {
        closeLink(member.watch_);
        closeLink(member.probe_);
    }
}

void GroupWatch::configure(std::vector<GroupMember> members, std::vector<GroupWatcher> watchers)
{
    std::vector<MemberView> views;
    for (const auto& member : members) {
        const auto known = std::find_if(view_.members_.begin(), view_.members_.end(),
            [&](const MemberView& view) { return view.endpoint_ == member.endpoint_; });
        views.push_back(known != view_.members_.end() ? *known : MemberView { member.endpoint_ });
    }
    view_.members_ = std::move(views);
    feed(GroupConfigured { std::move(members), std::move(watchers) });
}

void GroupWatch::applySettings()
{
    const GroupSettings settings = groupSettings(context_.tree_, state_.group_);
    state_.timings_.suspicionTimeout_ = settings.suspicionTime_;
    state_.timings_.promotionInterval_ = settings.promotionInterval_;
    view_.settings_.suspicionTime_ = settings.suspicionTime_;
}

void GroupWatch::receiveVote(const GroupVote& vote)
{
    feed(VoteReceived { vote });
}

void GroupWatch::orderChange(const EndpointId& preferred)
{
    feed(ChangeOrdered { preferred });
}

void GroupWatch::feed(const GroupEvent& event)
{
    for (const auto& action : step(state_, event, Clock::now()))
        std::visit([this](const auto& what) { perform(what); }, action);
    if (const auto primary = primaryOf(state_))
        setRoute(view_, *primary, termOf(state_));
    armTimer();
    hooks_.changed_(state_.group_);
}

void GroupWatch::armTimer()
{
    if (timer_)
        context_.loop_.cancel(*timer_);
    timer_.reset();
    if (const auto at = nextWakeup(state_)) {
        timer_ = context_.loop_.schedule(*at, [this] {
            timer_.reset();
            feed(GroupTick {});
        });
    }
}

void GroupWatch::closeLink(Link& link)
{
    if (link.channel_)
        link.channel_->abandon();
    link = Link {};
}

void GroupWatch::perform(const OpenProbe& action)
{
    Link& link = members_[action.endpoint_].probe_;
    closeLink(link);
    link.probe_ = action.probe_;
    const EndpointId endpoint = action.endpoint_;
    const std::uint64_t probe = action.probe_;
    ChannelHandlers handlers;
    handlers.message_ = [this, endpoint, probe](const std::string& text) { receive(endpoint, probe, text); };
    handlers.closed_ = [this, endpoint, probe] { linkClosed(endpoint, probe); };
    link.channel_ = context_.channels_.open(hooks_.addressOf_(endpoint), connectTimeout, std::move(handlers));
    link.channel_->send(encodeEndpointRequest({ ++link.lastExchange_, HelloRequest { context_.settings_.instance_ } }));
    link.watchExchange_ = ++link.lastExchange_;
    link.channel_->send(encodeEndpointRequest({ link.watchExchange_, WatchRequest { watchInterval } }));
}

void GroupWatch::perform(const ReplaceWatch& action)
{
    Member& member = members_[action.endpoint_];
    if (member.probe_.probe_ != action.probe_ || !member.probe_.channel_)
        return;
    closeLink(member.watch_);
    member.watch_ = std::exchange(member.probe_, Link {});
}

void GroupWatch::perform(const CloseWatch& action)
{
    const auto found = members_.find(action.endpoint_);
    if (found == members_.end())
        return;
    closeLink(found->second.watch_);
    closeLink(found->second.probe_);
    members_.erase(found);
}

void GroupWatch::perform(const SendVote& action)
{
    hooks_.sendVote_(action.vote_);
}

void GroupWatch::perform(const SendOrder& action)
{
    Member& member = members_[action.endpoint_];
    // A probe that is still open carries the order as well, because the watch connection may be the silent one.
    for (Link* link : { &member.watch_, &member.probe_ }) {
        if (!link->channel_)
            continue;
        const ExchangeNumber exchange = ++link->lastExchange_;
        const InstanceId promoter(action.promoter_);
        EndpointOperation operation = FenceRequest { action.term_, promoter };
        if (action.kind_ == OrderKind::Promote)
            operation = PromoteRequest { action.term_, promoter };
        else if (action.kind_ == OrderKind::Follow)
            operation = FollowRequest { action.term_, promoter, action.primary_, hooks_.addressOf_(action.primary_) };
        link->orders_[exchange] = { action.kind_, action.term_ };
        link->channel_->send(encodeEndpointRequest({ exchange, std::move(operation) }));
    }
}

void GroupWatch::perform(const PauseWrites&) { }

void GroupWatch::perform(const ResumeWrites&) { }

void GroupWatch::perform(const PublishRoute& action)
{
    hooks_.publishRoute_({ action.group_, action.term_, action.primary_ });
}

void GroupWatch::perform(const RecordPhase& action)
{
    context_.metrics_.record(histogramOf(action), action.duration_);
    if (action.phase_ == FailoverPhase::Total)
        context_.metrics_.add(CounterId::Promotions);
}

void GroupWatch::perform(const LogChange& action)
{
    logInfo(action.text_);
}

GroupWatch::Link* GroupWatch::findLink(const EndpointId& endpoint, std::uint64_t probe)
{
    const auto found = members_.find(endpoint);
    if (found == members_.end())
        return nullptr;
    for (Link* link : { &found->second.watch_, &found->second.probe_ }) {
        if (link->channel_ && link->probe_ == probe)
            return link;
    }
    return nullptr;
}

void GroupWatch::linkClosed(const EndpointId& endpoint, std::uint64_t probe)
{
    Link* link = findLink(endpoint, probe);
    if (!link)
        return;
    const bool isWatch = link == &members_[endpoint].watch_;
    *link = Link {};
    if (isWatch)
        feed(WatchLost { endpoint });
    else
        feed(ProbeFailed { probe, endpoint });
}

void GroupWatch::receive(const EndpointId& endpoint, std::uint64_t probe, const std::string& text)
{
    Link* link = findLink(endpoint, probe);
    if (!link)
        return;
    const auto answer = decodeEndpointResponse(text);
    if (!answer) {
        context_.metrics_.count(Reason::MessageMalformed);
        link->channel_->abandon();
        linkClosed(endpoint, probe);
        return;
    }
    const bool isWatch = link == &members_[endpoint].watch_;
    if (const auto* report = std::get_if<EndpointReport>(&answer->result_))
        receiveReport(endpoint, *link, isWatch, answer->exchange_, *report);
    else if (const auto* refusal = std::get_if<NotRunResponse>(&answer->result_))
        receiveRefusal(endpoint, *link, answer->exchange_, *refusal);
}

void GroupWatch::receiveReport(
    const EndpointId& endpoint, Link& link, bool isWatch, ExchangeNumber exchange, const EndpointReport& report)
{
    if (report.endpoint_ != endpoint) {
        context_.metrics_.count(Reason::ResponseMismatched);
        return;
    }
    PositionReport position { endpoint, report.position_, report.promisedTerm_, report.leaving_, std::nullopt };
    if (const auto question = link.questions_.find(exchange); question != link.questions_.end()) {
        position.requestedAt_ = question->second;
        link.questions_.erase(link.questions_.begin(), std::next(question));
    }
    applyReport(view_, position, Clock::now());
    if (const auto order = link.orders_.find(exchange); order != link.orders_.end()) {
        const PendingOrder pending = order->second;
        link.orders_.erase(order);
        feed(OrderResponded { pending.kind_, pending.term_, memberReport(report) });
        return;
    }
    if (!isWatch && !std::exchange(link.reported_, true))
        feed(ProbeResponded { link.probe_, memberReport(report) });
    else
        feed(MemberReported { memberReport(report) });
}

void GroupWatch::receiveRefusal(
    const EndpointId& endpoint, Link& link, ExchangeNumber exchange, const NotRunResponse& refusal)
{
    if (refusal.reason_ == EndpointRefusal::ConnectionLimit)
        context_.metrics_.count(Reason::EndpointConnectionLimit);
    const auto order = link.orders_.find(exchange);
    if (order == link.orders_.end())
        return;
    const PendingOrder pending = order->second;
    link.orders_.erase(order);
    feed(OrderRefused { pending.kind_, pending.term_, endpoint, refusal.promisedTerm_ });
}

void GroupWatch::askMembers()
{
    for (auto& [endpoint, member] : members_) {
        Link& link = member.watch_;
        if (!link.channel_ || !link.channel_->isOpen() || link.questions_.size() >= maxOpenQuestions)
            continue;
        const ExchangeNumber exchange = ++link.lastExchange_;
        link.questions_[exchange] = Clock::now();
        link.channel_->send(encodeEndpointRequest({ exchange, ReportRequest {} }));
    }
    questionTimer_ = context_.loop_.schedule(Clock::now() + questionInterval, [this] { askMembers(); });
}

} // namespace cassiahollow
