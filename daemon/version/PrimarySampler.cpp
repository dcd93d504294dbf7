#include "version/PrimarySampler.h"

#include "cassiahollow/request/StatementPlacement.h"
#include "process/SuspendAwareClock.h"

namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // Three samples fit into the smallest age that reads usually accept, with the feed's interval.
    constexpr auto sampleInterval = 200ms;
    constexpr auto connectTime = 500ms;
    constexpr auto connectionSilence = 1000ms;
    // Time between two attempts to connect.
    constexpr auto openInterval = 500ms;
    // An answer that takes longer belongs to a connection that has gone silent.
    constexpr auto answerTime = 1000ms;

} // namespace

PrimarySampler::PrimarySampler(
    EventLoop& loop, Metrics& metrics, const EndpointRegistry& registry, std::string instance, const LeaseView* leases)
    : loop_(loop)
    , metrics_(metrics)
    , registry_(registry)
    , instance_(std::move(instance))
    , leases_(leases)
    , sockets_(loop)
{
}

void PrimarySampler::tick(const RouteCatalog& catalog, std::size_t instances)
{
    const auto now = suspendAwareNow();
    std::erase_if(groups_, [&](const auto& item) {
        const auto* rules = findGroup(catalog, item.first);
        return !rules || !areConnectionsScarce(rules->connectionLimit_, instances);
    });
    for (const auto& rules : catalog.groups_) {
        const auto* primary = primaryOf(registry_, rules.group_);
        if (!primary || !areConnectionsScarce(rules.connectionLimit_, instances))
            continue;
        auto& group = groups_[rules.group_];
        if (!group)
            group = std::make_unique<Sampled>();
        const bool isStuck = group->asking_ && now - group->asked_ > answerTime;
        const bool isLost = !group->link_ || group->link_->isClosed() || group->primary_ != primary->id_ || isStuck;
        if (isLost && now - group->opened_ > openInterval) {
            if (group->link_)
                group->link_->abandon();
            group->asking_ = false;
            group->primary_ = primary->id_;
            group->opened_ = now;
            group->link_ = new EndpointLink(sockets_, metrics_,
                { primary->id_, rules.group_, primary->address_, instance_ }, connectTime, connectionSilence, {});
        }
        const bool isDue = now - group->asked_ >= sampleInterval;
        // Without the lease, the primary may have a successor.
        const bool mayAsk = !leases_ || isLeased(*leases_, rules.group_, group->primary_, now);
        if (group->link_ && group->link_->isReady() && !group->asking_ && isDue && mayAsk)
            ask(rules.group_, *group);
    }
}

void PrimarySampler::ask(const GroupId& id, Sampled& group)
{
    group.asking_ = true;
    group.asked_ = suspendAwareNow();
    // Only a database that leads accepts the begin.
    group.begun_ = {};
    group.link_->exchange(beginStatement(platform::beginText()), [this, id](const EndpointReply* reply) {
        const auto found = groups_.find(id);
        if (found == groups_.end() || !reply || reply->error_ || reply->position_.term_ == 0)
            return;
        found->second->begun_ = reply->position_;
    });
    // An answer to the begin that came twice shows when the rollback's does not follow.
    group.link_->exchange(rollbackStatement(), [this, id, asked = group.asked_](const EndpointReply* reply) {
        const auto found = groups_.find(id);
        if (found == groups_.end())
            return;
        auto& known = *found->second;
        known.asking_ = false;
        if (!reply || reply->error_ || known.begun_.term_ == 0)
            return;
        known.sampleAsked_ = asked;
        known.position_ = known.begun_;
    });
}

std::vector<GroupSample> PrimarySampler::samples() const
{
    const auto now = suspendAwareNow();
    std::vector<GroupSample> samples;
    for (const auto& [id, group] : groups_) {
        if (group->position_.term_ > 0)
            samples.push_back({ id, group->position_, now - group->sampleAsked_ });
    }
    return samples;
}

} // namespace cassiahollow
