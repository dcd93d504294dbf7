#include "version/PromotionEvidence.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    // Whether the primary has stopped at a position that the target has reached. A position of another term says that
    // the endpoint that stopped was not the last primary.
    bool hasReachedStop(const GroupPromotion& group, const LogPosition& target)
    {
        return group.hasStopped_ && target.term_ == group.stoppedPosition_.term_ && target >= group.stoppedPosition_;
    }

    // Whether the process that confirmed its pause still is the one that reports, and stays. The successor of one that
    // leaves has its log and is not paused.
    bool isStillPaused(const EndpointRegistry& registry, const GroupPromotion& group, const EndpointId& endpoint)
    {
        const auto record = registry.records_.find(endpoint);
        const auto paused = group.paused_.find(endpoint);
        return record != registry.records_.end() && !record->second.removed_ && !record->second.leaving_
            && paused != group.paused_.end() && paused->second == record->second.startedAtMs_;
    }

    // The successor of an endpoint has its address and its log.
    bool hasSuccessor(const EndpointRegistry& registry, const RegisteredEndpoint& record)
    {
        return std::any_of(registry.records_.begin(), registry.records_.end(), [&](const auto& item) {
            const auto& other = item.second;
            return !other.removed_ && other.group_ == record.group_ && other.address_ == record.address_;
        });
    }

} // namespace

std::size_t countEndpoints(const EndpointRegistry& registry, const GroupId& id, const GroupPromotion& group)
{
    std::size_t count = 0;
    bool hasPrimary = false;
    for (const auto& [endpoint, record] : registry.records_) {
        if (record.group_ != id || (record.removed_ && hasSuccessor(registry, record)))
            continue;
        ++count;
        hasPrimary |= endpoint == group.lastPrimary_;
    }
    return count + (hasPrimary ? 0 : 1);
}

bool confirmsPause(const GroupPromotion& group, const SurveyResult& result)
{
    return group.pauseTerm_ > 0 && result.received_ && result.role_ == EndpointRole::Replica
        && result.term_ < group.pauseTerm_ && result.received_->term_ < group.pauseTerm_
        && result.highestTerm_ <= group.pauseTerm_;
}

bool hasEveryAcknowledgedCommit(
    const EndpointRegistry& registry, const GroupId& id, const GroupPromotion& group, std::size_t synchronous)
{
    // A primary that is promoted again keeps its log.
    if (synchronous == 0 || group.target_ == group.primary_)
        return true;
    const auto target = group.positions_.find(group.target_);
    if (target == group.positions_.end())
        return false;
    if (hasReachedStop(group, target->second))
        return true;
    if (!group.confirmedPauses_.contains(group.target_) || !isStillPaused(registry, group, group.target_))
        return false;
    // Endpoints that may have commits that the target lacks: paused ones that do, and all that are not paused.
    auto ahead = countEndpoints(registry, id, group);
    for (const auto& endpoint : group.confirmedPauses_) {
        const bool isBehind
            = isStillPaused(registry, group, endpoint) && group.positions_.at(endpoint) <= target->second;
        ahead -= isBehind ? 1 : 0;
    }
    return ahead <= synchronous;
}

} // namespace cassiahollow
