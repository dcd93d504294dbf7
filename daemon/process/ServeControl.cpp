#include "cassiahollow/version/ControlCodec.h"
#include "process/Log.h"
#include "process/ServeTask.h"

#include <algorithm>

// The part of the serve task that deals with the control members.
namespace cassiahollow {

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
    else if (const auto* answer = std::get_if<ResponseMessage>(&decoded->body_))
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

} // namespace cassiahollow
