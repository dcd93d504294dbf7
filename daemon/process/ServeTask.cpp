#include "process/ServeTask.h"

#include "cassiahollow/process/MembershipCodec.h"
#include "cassiahollow/version/GroupMessages.h"
#include "process/Log.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    constexpr std::size_t inboxMessages = 100000;
    // Changes of several records usually come in one message, so groups are looked at once after a short pause.
    constexpr std::chrono::milliseconds refreshDelay { 2 };
    constexpr std::chrono::milliseconds housekeepInterval { 1000 };
    constexpr std::chrono::milliseconds drainPoll { 20 };
    // How long an instance without control members in reach waits for peers before it reports ready.
    constexpr std::chrono::seconds readyWithoutPeers { 5 };

    MembershipSettings membershipSettings(const ProcessSettings& settings, Incarnation incarnation)
    {
        MembershipSettings membership;
        membership.id_ = settings.instance_;
        membership.address_ = settings.listen_.peers_;
        membership.dataCentre_ = settings.dataCentre_;
        membership.incarnation_ = incarnation;
        membership.seeds_ = settings.peers_;
        membership.randomSeed_ = incarnation ^ std::hash<InstanceId>()(settings.instance_);
        return membership;
    }

    SessionKeys sessionKeys(const ProcessSettings& settings)
    {
        return { { 1, settings.deploymentKey_ } };
    }

} // namespace

ServeTask::ServeTask(const ProcessSettings& settings, SettingsTree startTree, Incarnation incarnation)
    : settings_(settings)
    , incarnation_(incarnation)
    , channels_(loop_)
    , membership_(membershipSettings(settings, incarnation))
    , tree_(std::move(startTree))
    , context_ { loop_, channels_, metrics_, settings_, incarnation, membership_, tree_ }
    , inbox_(inboxMessages, [this] { loop_.wake(); })
    , peers_(
          { settings.instance_, incarnation, settings.listen_.peers_, settings.deploymentKey_ },
          [this](PeerMessage message) {
              if (!inbox_.post(std::move(message)))
                  metrics_.count(Reason::MessageQueueFull);
          },
          [this](Reason reason) { metrics_.count(reason); })
    , holderService_(context_,
          { [this](const EndpointId& endpoint) -> HeldEndpoint* {
               const auto found = held_.find(endpoint);
               return found == held_.end() ? nullptr : found->second.get();
           },
              [this](const GroupId& group) -> GroupWatch* {
                  const auto found = watched_.find(group);
                  return found == watched_.end() ? nullptr : found->second.watch_.get();
              } })
    , router_(context_, holderService_, sessionKeys(settings),
          { [this](const std::string& address, const ForwardMessage& message) {
               peers_.send(address, PeerMessageKind::Forward, encodeForward(message));
           },
              [this](const std::string& address) { peers_.reconnect(address); },
              [this](const RouteRecord& route) { feed(RoutePublished { route }); } })
    , callers_(context_, router_)
    , platform_(context_, [this](const EndpointRecord& record) { feed(EndpointAnnounced { record }); })
    , operators_(context_,
          { [this] { return ready_ && !shuttingDown_; },
              [this](const EndpointId& endpoint) { feed(EndpointDrainRequested { endpoint }); },
              [this](bool draining) { feed(InstanceDrainRequested { draining }); },
              [this](const GroupId& group, const EndpointId& preferred) {
                  const auto found = watched_.find(group);
                  const auto route = routeOf(membership_.directory_, group);
                  if (found == watched_.end() || !route || !held_.count(route->primary_))
                      return false;
                  found->second.watch_->orderChange(preferred);
                  return true;
              },
              [this](const GroupId& group) -> const GroupWatch* {
                  const auto found = watched_.find(group);
                  return found == watched_.end() ? nullptr : found->second.watch_.get();
              },
              [](const ControlChange&, const std::function<void(ChangeOutcome)>& handler) {
                  handler(undecidedOutcome(
                      Outcome::NotRun, Reason::NoControlMajority, "this deployment has no control members"));
              } })
{
    loop_.setWakeHandler([this] { takeMessages(); });
}

ServeTask::~ServeTask() = default;

void ServeTask::post(ServeMessage message)
{
    inbox_.post(std::move(message));
}

boost::leaf::result<void> ServeTask::start()
{
    BOOST_LEAF_CHECK(peers_.start());
    BOOST_LEAF_CHECK(callers_.start());
    BOOST_LEAF_CHECK(platform_.start());
    BOOST_LEAF_CHECK(operators_.start());
    feed(MembershipStarted {});
    if (tree_.revision_ > 0)
        feed(SettingsApplied { tree_.revision_, false });
    housekeep();
    loop_.schedule(Clock::now() + readyWithoutPeers, [this] { ready_ = true; });
    logInfo("started; callers at " + settings_.listen_.callers_);
    return {};
}

int ServeTask::run()
{
    loop_.run();
    return exitStatus_;
}

// Messages.

void ServeTask::takeMessages()
{
    for (auto& message : inbox_.take()) {
        if (auto* peer = std::get_if<PeerMessage>(&message))
            receive(*peer);
        else
            beginShutdown();
    }
}

bool ServeTask::isStale(const PeerMessage& message)
{
    Incarnation& newest = newestIncarnations_[message.sender_];
    newest = std::max(newest, message.incarnation_);
    return message.incarnation_ < newest;
}

void ServeTask::receive(PeerMessage& message)
{
    if (isStale(message)) {
        metrics_.count(Reason::MessageStaleIncarnation);
        return;
    }
    switch (message.kind_) {
    case PeerMessageKind::Membership:
        if (const auto decoded = decodeMembershipMessage(message.body_))
            feed(MembershipReceived { *decoded });
        else
            metrics_.count(Reason::MessageMalformed);
        return;
    case PeerMessageKind::Forward:
        receiveForward(message);
        return;
    case PeerMessageKind::Group:
        receiveVote(message);
        return;
    case PeerMessageKind::Control:
        return;
    }
}

void ServeTask::receiveForward(const PeerMessage& message)
{
    auto decoded = decodeForward(message.body_);
    if (!decoded) {
        metrics_.count(Reason::MessageMalformed);
        return;
    }
    if (auto* request = std::get_if<ForwardRequest>(&*decoded)) {
        const std::string address = message.senderAddress_;
        holderService_.serve(std::move(*request), message.sender_, [this, address](ForwardReply reply) {
            peers_.send(address, PeerMessageKind::Forward, encodeForward(ForwardMessage(std::move(reply))));
        });
    } else if (auto* reply = std::get_if<ForwardReply>(&*decoded)) {
        router_.receive(std::move(*reply));
    } else if (std::holds_alternative<TreeRequest>(*decoded)) {
        const ForwardMessage answer = TreeReply { settingsToJson(tree_) };
        peers_.send(message.senderAddress_, PeerMessageKind::Forward, encodeForward(answer));
    } else if (const auto* tree = std::get_if<TreeReply>(&*decoded)) {
        if (const auto offered = settingsFromJson(tree->tree_))
            applyTree(*offered, false);
        else
            metrics_.count(Reason::MessageMalformed);
    }
}

void ServeTask::applyTree(const SettingsTree& offered, bool publish)
{
    if (!acceptSettings(tree_, offered))
        return;
    for (auto& [endpoint, held] : held_)
        held->update(held->record());
    scheduleRefresh();
    feed(SettingsApplied { tree_.revision_, publish });
    logInfo("applied settings revision " + std::to_string(tree_.revision_));
}

// Membership.

void ServeTask::feed(const MembershipEvent& event)
{
    for (const auto& action : step(membership_, event, Clock::now()))
        std::visit([this](const auto& what) { perform(what); }, action);
    membershipTimer();
}

void ServeTask::membershipTimer()
{
    if (membershipTimer_)
        loop_.cancel(*membershipTimer_);
    membershipTimer_ = loop_.schedule(nextWakeup(membership_), [this] {
        membershipTimer_.reset();
        feed(MembershipWakeup {});
    });
}

void ServeTask::perform(const SendMembershipMessage& action)
{
    peers_.send(action.address_, PeerMessageKind::Membership, encodeMembershipMessage(action.message_));
}

void ServeTask::perform(const InstanceChanged& action)
{
    const bool gone = action.status_ == InstanceStatus::Dead || action.status_ == InstanceStatus::Leaving;
    if (action.status_ != InstanceStatus::Suspect)
        logInfo("instance " + action.id_.value_ + " is " + std::string(instanceStatusName(action.status_)));
    if (action.status_ == InstanceStatus::Dead) {
        router_.instanceGone(action.id_);
        for (auto& [endpoint, held] : held_)
            held->endInstance(action.id_);
    }
    if (gone)
        scheduleRefresh();
    scheduleRefresh();
}

void ServeTask::perform(const RecordChanged& action)
{
    switch (action.key_.kind_) {
    case RecordKind::Endpoint: {
        const EndpointId id(action.key_.id_);
        if (const auto record = findEndpoint(membership_.directory_, id)) {
            lastAddresses_[id] = record->address_;
            if (const auto held = held_.find(id); held != held_.end())
                held->second->update(*record);
        }
        scheduleRefresh();
        return;
    }
    case RecordKind::Route:
        router_.routeChanged(GroupId(action.key_.id_));
        return;
    case RecordKind::Drain: {
        const EndpointId id(action.key_.id_);
        logInfo("endpoint " + id.value_ + " is draining");
        return;
    }
    case RecordKind::Instance:
    case RecordKind::GroupMembers:
        scheduleRefresh();
        return;
    }
}

void ServeTask::perform(const PullSettings& action)
{
    peers_.send(action.address_, PeerMessageKind::Forward, encodeForward(ForwardMessage(TreeRequest {})));
}

void ServeTask::perform(const HolderRoleChange& action)
{
    const auto found = held_.find(action.endpoint_);
    if (!action.began_) {
        if (found != held_.end())
            found->second->ceaseHolder();
    } else if (const auto record = findEndpoint(membership_.directory_, action.endpoint_)) {
        auto& held = held_[action.endpoint_];
        if (!held)
            held = std::make_unique<HeldEndpoint>(context_, *record);
        held->becomeHolder();
    }
    scheduleRefresh();
}

void ServeTask::perform(const MembershipMessageDropped& action)
{
    metrics_.count(action.reason_);
}

// Groups.

std::vector<EndpointId> ServeTask::membersOfGroup(const GroupId& group) const
{
    if (const auto recorded = membersOf(membership_.directory_, group))
        return recorded->members_;
    if (!settings_.control_.empty())
        return {}; // The control members decide who is a member.
    // Without control members the first complete set of announced endpoints is used, and kept while the process runs.
    const auto known = watched_.find(group);
    if (known != watched_.end() && !known->second.members_.empty())
        return known->second.members_;
    std::vector<EndpointId> members = groupMemberIds(membership_, group);
    const auto size = static_cast<std::size_t>(groupSettings(tree_, group).size_);
    if (members.size() < size)
        return {};
    members.resize(size);
    return members;
}

std::string ServeTask::addressOf(const EndpointId& endpoint) const
{
    const auto known = lastAddresses_.find(endpoint);
    return known == lastAddresses_.end() ? std::string() : known->second;
}

void ServeTask::scheduleRefresh()
{
    if (std::exchange(refreshScheduled_, true))
        return;
    loop_.schedule(Clock::now() + refreshDelay, [this] {
        refreshScheduled_ = false;
        refreshGroups();
    });
}

void ServeTask::refreshGroups()
{
    std::set<GroupId> groups;
    for (const auto& [group, watched] : watched_)
        groups.insert(group);
    for (const auto& [endpoint, held] : held_)
        groups.insert(held->record().group_);
    for (const auto& group : groups)
        refreshGroup(group);
}

void ServeTask::refreshGroup(const GroupId& group)
{
    const std::vector<EndpointId> members = membersOfGroup(group);
    std::vector<std::pair<InstanceId, bool>> watchers;
    std::vector<GroupWatcher> groupWatchers;
    bool watching = false;
    for (const auto& instance : watchersOf(membership_.holders_, members)) {
        const auto record = membership_.directory_.instances_.find(instance);
        if (record == membership_.directory_.instances_.end())
            continue;
        const bool alive = record->second.status_ == InstanceStatus::Alive;
        watchers.emplace_back(instance, alive);
        groupWatchers.push_back({ instance, record->second.dataCentre_, alive });
        watching = watching || instance == settings_.instance_;
    }
    if (!watching) {
        // Requests that wait for this watch would get no event any more; they are given up and run at the new holder.
        if (watched_.erase(group) > 0)
            holderService_.groupChanged(group);
        return;
    }
    Watched& watched = watched_[group];
    if (watched.watch_ && watched.members_ == members && watched.watchers_ == watchers)
        return;
    if (!watched.watch_) {
        GroupWatchHooks hooks;
        hooks.sendVote_ = [this](const GroupVote& vote) { sendVote(vote); };
        hooks.publishRoute_ = [this](const RouteRecord& route) { feed(RoutePublished { route }); };
        hooks.changed_ = [this](const GroupId& changed) { holderService_.groupChanged(changed); };
        hooks.addressOf_ = [this](const EndpointId& endpoint) { return addressOf(endpoint); };
        watched.watch_ = std::make_unique<GroupWatch>(context_, group, ++lastGroupState_, std::move(hooks));
    }
    watched.members_ = members;
    watched.watchers_ = std::move(watchers);
    std::vector<GroupMember> groupMembers;
    for (const auto& member : members) {
        const auto record = findEndpoint(membership_.directory_, member);
        groupMembers.push_back({ member, record ? record->dataCentre_ : DataCentre() });
    }
    watched.watch_->configure(std::move(groupMembers), std::move(groupWatchers));
}

void ServeTask::sendVote(const GroupVote& vote)
{
    const auto watched = watched_.find(vote.group_);
    if (watched == watched_.end())
        return;
    for (const auto& [instance, alive] : watched->second.watchers_) {
        const auto record = membership_.directory_.instances_.find(instance);
        if (instance != settings_.instance_ && record != membership_.directory_.instances_.end())
            peers_.send(record->second.address_, PeerMessageKind::Group, encodeGroupVote(vote));
    }
}

void ServeTask::receiveVote(const PeerMessage& message)
{
    const auto vote = decodeGroupVote(message.body_);
    if (!vote || vote->voter_ != message.sender_) {
        metrics_.count(Reason::MessageMalformed);
        return;
    }
    const auto watched = watched_.find(vote->group_);
    if (watched != watched_.end())
        watched->second.watch_->receiveVote(*vote);
}

void ServeTask::housekeep()
{
    for (auto entry = held_.begin(); entry != held_.end();) {
        const bool finished = !entry->second->isHolder() && entry->second->isIdle();
        entry = finished ? held_.erase(entry) : std::next(entry);
    }
    if (!ready_ && membership_.synced_)
        ready_ = true;
    metrics_.set(CounterId::PeerBytesSent, peers_.bytesSent());
    metrics_.set(CounterId::PeerBytesReceived, peers_.bytesReceived());
    metrics_.setGauge("applied_revision", static_cast<double>(tree_.revision_));
    metrics_.setGauge("held_endpoints", static_cast<double>(held_.size()));
    metrics_.setGauge("watched_groups", static_cast<double>(watched_.size()));
    metrics_.setGauge("open_requests", static_cast<double>(router_.openRequests()));
    loop_.schedule(Clock::now() + housekeepInterval, [this] { housekeep(); });
}

// Shutdown.

void ServeTask::beginShutdown()
{
    if (std::exchange(shuttingDown_, true)) {
        logWarning("second signal; ending with open requests");
        exitStatus_ = 1;
        loop_.stop();
        return;
    }
    logInfo("shutting down; not ready from now on");
    feed(InstanceDrainRequested { true }); // Holder roles move while the balancer takes this instance out.
    loop_.schedule(Clock::now() + settings_.shutdown_.balancerDelay_, [this] { stopAccepting(); });
    loop_.schedule(Clock::now() + settings_.shutdown_.deadline_, [this] {
        logWarning("shutdown deadline passed with open requests");
        exitStatus_ = 1;
        loop_.stop();
    });
}

bool ServeTask::isDrained() const
{
    const bool runs
        = std::any_of(held_.begin(), held_.end(), [](const auto& entry) { return !entry.second->isIdle(); });
    return !callers_.isBusy() && holderService_.waiting() == 0 && !runs;
}

void ServeTask::stopAccepting()
{
    callers_.stopAccepting();
    platform_.stopAccepting();
    auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, poll] {
        if (!isDrained()) {
            loop_.schedule(Clock::now() + drainPoll, [poll] { (*poll)(); });
            return;
        }
        feed(InstanceLeaveRequested {});
        logInfo("shutdown complete; no request was cut off");
        loop_.schedule(Clock::now() + drainPoll * 5, [this] { loop_.stop(); }); // Lets the last messages leave.
    };
    (*poll)();
}

} // namespace cassiahollow
