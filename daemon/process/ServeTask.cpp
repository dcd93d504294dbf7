#include "process/ServeTask.h"

#include "cassiahollow/process/MembershipCodec.h"
#include "cassiahollow/version/ControlCodec.h"
#include "cassiahollow/version/ControlStorage.h"
#include "cassiahollow/version/GroupMessages.h"
#include "process/Log.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    constexpr std::size_t inboxMessages = 100000;
    // Changes of several records usually come in one message, so groups are looked at once after a short pause.
    constexpr std::chrono::milliseconds refreshDelay { 2 };
    constexpr std::chrono::milliseconds housekeepInterval { 1000 };
    // Repeats of a message follow it closely; this many requests of one instance arrive within about a second.
    constexpr std::size_t recentRequestsKept = 4096;
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
    , control_(makeControlTask(tree_))
    , controlClient_(context_, control_.get(),
          [this](const InstanceId& member, std::string body) {
              peers_.send(controlAddress(member), PeerMessageKind::Control, std::move(body));
          })
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
              [this](ControlRequest request, std::function<void(ChangeOutcome)> handler) {
                  controlClient_.submit(std::move(request), std::move(handler));
              },
              [this]() -> const ControlStatus& { return controlStatus_; } })
{
    loop_.setWakeHandler([this] { takeMessages(); });
}

ServeTask::~ServeTask()
{
    if (control_)
        control_->stop(); // Its callbacks post to this task.
}

std::unique_ptr<ControlTask> ServeTask::makeControlTask(const SettingsTree& startTree)
{
    const bool isMember = std::any_of(settings_.control_.begin(), settings_.control_.end(),
        [this](const auto& member) { return member.instance_ == settings_.instance_; });
    if (!isMember)
        return nullptr;
    ControlTaskOptions options;
    options.instance_ = settings_.instance_;
    for (const auto& member : settings_.control_)
        options.listed_.push_back(member.instance_);
    options.folder_ = std::filesystem::path(settings_.dataFolder_) / "control";
    options.start_ = startTree;
    options.seed_ = incarnation_ ^ std::hash<InstanceId>()(settings_.instance_);
    ControlTaskCallbacks callbacks;
    callbacks.send_ = [this](const InstanceId& recipient, std::string body) {
        post(ControlSend { recipient, std::move(body) });
    };
    callbacks.settingsApplied_
        = [this](std::shared_ptr<const SettingsTree> tree) { post(ControlSettings { std::move(tree) }); };
    callbacks.groupApplied_ = [this](const GroupId& group, const GroupMembers& members) {
        post(ControlGroup { group, members });
    };
    callbacks.answered_
        = [this](std::uint64_t token, const ChangeOutcome& outcome, const std::shared_ptr<const SettingsTree>&) {
              post(ControlAnswered { token, outcome });
          };
    callbacks.statusChanged_ = [this](const ControlStatus& status) { post(status); };
    callbacks.dropped_ = [this](Reason reason) { metrics_.count(reason); };
    callbacks.failed_ = [this](const Failure& failure) { post(ControlFailed { failure }); };
    return std::make_unique<ControlTask>(std::move(options), std::move(callbacks));
}

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
    if (control_)
        BOOST_LEAF_CHECK(control_->start()); // Reports the settings that it has stored.
    if (!settings_.dataFolder_.empty()) {
        BOOST_LEAF_AUTO(stored, loadAppliedSettings(settings_.dataFolder_));
        if (stored)
            acceptSettings(tree_, *stored);
    }
    if (tree_.revision_ > 0)
        feed(SettingsApplied { tree_.revision_, false });
    feed(MembershipStarted {});
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
    for (auto& message : inbox_.take())
        std::visit([this](auto& what) { receive(what); }, message);
}

void ServeTask::receive(const ShutdownSignal&)
{
    beginShutdown();
}

// Control.

std::string ServeTask::controlAddress(const InstanceId& instance) const
{
    for (const auto& member : settings_.control_) {
        if (member.instance_ == instance)
            return member.address_;
    }
    const auto record = membership_.directory_.instances_.find(instance);
    return record == membership_.directory_.instances_.end() ? std::string() : record->second.address_;
}

void ServeTask::receive(const ControlSend& message)
{
    const std::string address = controlAddress(message.recipient_);
    if (!address.empty())
        peers_.send(address, PeerMessageKind::Control, message.body_);
}

void ServeTask::receive(const ControlSettings& message)
{
    applyTree(*message.tree_, true);
}

void ServeTask::receive(const ControlGroup& message)
{
    proposedGroups_.erase(message.group_);
    feed(GroupMembersPublished { { message.group_, message.members_.version_, message.members_.members_ } });
}

void ServeTask::receive(const ControlAnswered& message)
{
    controlClient_.answeredLocally(message.token_, message.outcome_);
}

void ServeTask::receive(const ControlStatus& status)
{
    if (status.leader_ != controlStatus_.leader_ && !status.leader_.empty())
        logInfo("control: " + status.leader_.value_ + " leads term " + std::to_string(status.term_));
    controlStatus_ = status;
}

void ServeTask::receive(const ControlFailed& message)
{
    logError("control: " + failureMessage(message.failure_));
    metrics_.count(message.failure_.reason_);
}

void ServeTask::receiveControl(PeerMessage& message)
{
    if (control_) {
        if (!control_->post(ControlTask::PeerMessage { message.sender_, std::move(message.body_) }))
            metrics_.count(Reason::MessageQueueFull);
        return;
    }
    const auto decoded = decodeControlMessage(message.body_);
    if (!decoded)
        metrics_.count(Reason::MessageMalformed);
    else if (const auto* answer = std::get_if<RequestAnswer>(&decoded->body_))
        controlClient_.answeredRemotely(*answer);
}

void ServeTask::proposeGroups()
{
    if (controlStatus_.role_ != ControlRole::Leader)
        return;
    for (const auto& [group, endpoints] : membership_.directory_.byGroup_) {
        const auto size = static_cast<std::size_t>(groupSettings(tree_, group).size_);
        if (membersOf(membership_.directory_, group) || endpoints.size() < size
            || !proposedGroups_.insert(group).second)
            continue;
        std::vector<EndpointId> members(
            endpoints.begin(), std::next(endpoints.begin(), static_cast<std::ptrdiff_t>(size)));
        ControlChange change { "members-" + group.value_ + "-0", GroupMembersChange { group, 0, std::move(members) } };
        const GroupId proposed = group;
        controlClient_.submit(std::move(change), [this, proposed](const ChangeOutcome& outcome) {
            if (outcome.outcome_ != Outcome::Done && !outcome.decided_)
                proposedGroups_.erase(proposed); // Proposed again; the key keeps it from being applied twice.
        });
    }
}

// Messages of other instances.

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
        receiveControl(message);
        return;
    }
}

bool ServeTask::isRepeated(const InstanceId& sender, std::uint64_t number)
{
    RecentRequests& recent = recentRequests_[sender];
    if (!recent.numbers_.insert(number).second)
        return true;
    recent.order_.push_back(number);
    if (recent.order_.size() > recentRequestsKept) {
        recent.numbers_.erase(recent.order_.front());
        recent.order_.pop_front();
    }
    return false;
}

void ServeTask::receiveForward(const PeerMessage& message)
{
    auto decoded = decodeForward(message.body_);
    if (!decoded) {
        metrics_.count(Reason::MessageMalformed);
        return;
    }
    if (auto* request = std::get_if<ForwardRequest>(&*decoded)) {
        if (isRepeated(message.sender_, request->number_)) {
            metrics_.count(Reason::MessageRepeated);
            return;
        }
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
    // Changes are rare, so the serve task can wait for the disk. The control task has stored what it publishes; a
    // control member can also get a revision from a peer before its log has the commit, and must not lose it either.
    const bool isStored = control_ && publish;
    if (!isStored && !settings_.dataFolder_.empty() && !storeAppliedSettings(settings_.dataFolder_, tree_)) {
        metrics_.count(Reason::StorageFailed);
        logError("cannot store the applied settings; check the disk of data_folder");
    }
    for (auto& [endpoint, held] : held_)
        held->update(held->record());
    for (auto& [group, watched] : watched_)
        watched.watch_->applySettings();
    scheduleRefresh();
    feed(SettingsApplied { tree_.revision_, publish });
    logInfo("applied settings revision " + std::to_string(tree_.revision_));
}

// Membership.

void ServeTask::feed(const MembershipEvent& event)
{
    const auto actions = step(membership_, event, Clock::now());
    // The membership raises its incarnation when it hears of a higher one, as after a clock that was set back; peers
    // would drop messages that still carry the lower one.
    peers_.setIncarnation(membership_.self_.incarnation_);
    for (const auto& action : actions)
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

void ServeTask::replaceLeavingPrimaries()
{
    const DirectoryState& directory = membership_.directory_;
    for (auto& [group, watched] : watched_) {
        const auto primary = primaryOf(watched.watch_->state());
        const auto held = primary ? held_.find(*primary) : held_.end();
        if (held == held_.end() || !held->second->isHolder() || watched.watch_->state().change_)
            continue;
        const MemberView* best = nullptr;
        bool primaryLeaves = isLeaving(directory, *primary);
        for (const auto& member : watched.watch_->view().members_) {
            if (member.endpoint_ == *primary)
                primaryLeaves = primaryLeaves || member.leaving_;
            else if (!member.leaving_ && !isLeaving(directory, member.endpoint_)
                && (!best || member.position_ > best->position_))
                best = &member;
        }
        if (primaryLeaves && best) {
            logInfo("group " + group.value_ + ": primary " + primary->value_ + " is leaving");
            watched.watch_->orderChange(EndpointId(best->endpoint_));
        }
    }
}

void ServeTask::housekeep()
{
    replaceLeavingPrimaries();
    for (auto entry = held_.begin(); entry != held_.end();) {
        const bool finished = !entry->second->isHolder() && entry->second->isIdle();
        entry = finished ? held_.erase(entry) : std::next(entry);
    }
    proposeGroups();
    if (!ready_ && membership_.synced_ && tree_.revision_ >= membership_.directory_.settingsRevision_)
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
