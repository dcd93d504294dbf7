#include "process/ServeTask.h"

#include "cassiahollow/process/MembershipCodec.h"
#include "cassiahollow/version/ControlCodec.h"
#include "cassiahollow/version/ControlStorage.h"
#include "process/Log.h"

#include <algorithm>
#include <filesystem>

namespace cassiahollow {

namespace {

    constexpr std::size_t inboxMessages = 100000;
    constexpr std::chrono::milliseconds housekeepInterval { 1000 };
    // Repeats of a message follow it closely; this many requests of one instance arrive within about a second.
    constexpr std::size_t recentRequestsKept = 4096;
    constexpr std::chrono::milliseconds drainPoll { 20 };
    // Many clients are closed at once; the counters have them all.
    constexpr std::chrono::seconds clientLogInterval { 1 };
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
    loop_.memory().configure(
        settings_.memoryMb_ << 20, [this](const ClientMemory::Event& event) { reportClient(event); });
}

ServeTask::~ServeTask()
{
    if (control_)
        control_->stop(); // Its callbacks post to this task.
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
    if (control_) {
        // The control task reports the same in a moment; a caller that asks before must not see an older revision.
        BOOST_LEAF_AUTO(reported, loadAppliedSettings(std::filesystem::path(settings_.dataFolder_) / "control"));
        if (reported)
            acceptSettings(tree_, *reported);
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
    case PeerMessageKind::Directory:
        // Belongs to the roles of the line protocol, which are other processes.
        metrics_.count(Reason::MessageMalformed);
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
    if (action.status_ != InstanceStatus::Suspect)
        logInfo("instance " + action.id_.value_ + " is " + std::string(instanceStatusName(action.status_)));
    if (action.status_ == InstanceStatus::Dead) {
        router_.instanceGone(action.id_);
        for (auto& [endpoint, held] : held_)
            held->endInstance(action.id_);
    }
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
    setMemoryGauges(metrics_, loop_.memory());
    loop_.schedule(Clock::now() + housekeepInterval, [this] { housekeep(); });
}

void ServeTask::reportClient(const ClientMemory::Event& event)
{
    metrics_.count(event.reason_);
    const auto now = Clock::now();
    if (now - clientLogged_ < clientLogInterval)
        return;
    clientLogged_ = now;
    const auto& budget = loop_.memory().budget();
    logWarning("client at " + std::string(event.listener_) + " closed for "
        + std::string(reasonInfo(event.reason_).name_) + " with " + std::to_string(event.bytes_) + " bytes; used "
        + std::to_string(budget.used_) + " of " + std::to_string(budget.limits_.total_) + ", "
        + std::to_string(budget.clients_) + " of them by " + std::to_string(budget.connections_) + " clients");
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
