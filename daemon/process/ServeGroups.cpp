#include "cassiahollow/version/GroupMessages.h"
#include "process/Log.h"
#include "process/ServeTask.h"

// The part of the serve task that watches groups.
namespace cassiahollow {

namespace {

    // Changes of several records usually come in one message, so groups are looked at once after a short pause.
    constexpr std::chrono::milliseconds refreshDelay { 2 };

} // namespace

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
        if (held == held_.end() || !held->second->isHolder() || watched.watch_->state().plannedChange_)
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

} // namespace cassiahollow
