#include "cassiahollow/request/ReadRouting.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace cassiahollow {

namespace {

    // Number of primary positions kept for estimating lags. Waiting for a replica that is further behind than these
    // does not pay off.
    constexpr std::size_t maximumPrimaryHistory = 64;
    // Proofs are about one report interval (100 ms) apart, so that this covers maximum ages of up to about 25 s. A read
    // with a greater maximum age uses the oldest proof kept.
    constexpr std::size_t maximumAgeProofs = 256;
    // Divisor for a new lag sample below the estimate. A higher sample replaces the estimate at once, because waiting
    // for a replica that turns out to be too slow costs the read its whole wait limit.
    constexpr int lagSmoothing = 4;

    bool isReachable(const GroupView& group, const MemberView& member, TimePoint now)
    {
        return member.reportedAt_ && now - *member.reportedAt_ <= group.settings_.suspicionTime_;
    }

    std::size_t majoritySize(const GroupView& group)
    {
        return group.members_.size() / 2 + 1;
    }

    MemberView* findMember(GroupView& group, const EndpointId& endpoint)
    {
        const auto member = std::find_if(group.members_.begin(), group.members_.end(),
            [&](const MemberView& candidate) { return candidate.endpoint_ == endpoint; });
        return member == group.members_.end() ? nullptr : &*member;
    }

    // When the primary was first reported at or past the position; nothing without such a report.
    std::optional<TimePoint> firstSeen(const GroupView& group, LogPosition position)
    {
        const auto seen = std::find_if(group.primaryHistory_.begin(), group.primaryHistory_.end(),
            [&](const PrimaryPosition& entry) { return entry.position_ >= position; });
        return seen == group.primaryHistory_.end() ? std::nullopt : std::optional(seen->heldAt_);
    }

    // Updates the estimated lag after a report that advanced the replica from `before` to its current position.
    void updateLag(const GroupView& group, MemberView& member, LogPosition before, TimePoint now)
    {
        const PrimaryPosition* reached = nullptr;
        const PrimaryPosition* missing = nullptr;
        for (const auto& entry : group.primaryHistory_) {
            if (entry.position_ > member.position_) {
                missing = &entry;
                break;
            }
            if (entry.position_ > before)
                reached = &entry;
        }
        std::optional<Duration> sample;
        if (reached)
            sample = now - reached->heldAt_;
        else if (missing)
            sample = std::max(now - missing->heldAt_, member.lag_.value_or(Duration::zero())); // A lower bound.
        else if (member.position_ > before || !member.lag_)
            sample = Duration::zero(); // The replica reported the position before the primary did.
        if (!sample)
            return;
        if (!member.lag_ || *sample > *member.lag_)
            member.lag_ = sample;
        else
            *member.lag_ += (*sample - *member.lag_) / lagSmoothing;
    }

    // Turns the primary's latest response into an age proof. The primary's position is the newest one in the group only
    // if no later term had begun. This is proved for the time at which requests had been sent to a majority of members
    // that then reported no promise of a later term, because a promotion fences a majority first.
    void proveAge(GroupView& group)
    {
        if (!group.primaryResponse_)
            return;
        std::vector<TimePoint> requestTimes;
        for (const auto& member : group.members_) {
            if (member.requestedAt_ && member.promisedTerm_ <= group.term_)
                requestTimes.push_back(*member.requestedAt_);
        }
        if (requestTimes.size() < majoritySize(group))
            return;
        std::sort(requestTimes.begin(), requestTimes.end(), std::greater<>());
        const auto provedAt = std::min(requestTimes[majoritySize(group) - 1], group.primaryResponse_->heldAt_);
        if (!group.ageProofs_.empty() && provedAt <= group.ageProofs_.back().heldAt_)
            return;
        group.ageProofs_.push_back({ group.primaryResponse_->position_, provedAt });
        if (group.ageProofs_.size() > maximumAgeProofs)
            group.ageProofs_.pop_front();
    }

    // The position that proves the maximum age. The oldest proof that is recent enough requires the least of a replica.
    std::optional<LogPosition> positionOfAge(const GroupView& group, Duration maxAge, TimePoint now)
    {
        const auto proof = std::find_if(group.ageProofs_.begin(), group.ageProofs_.end(),
            [&](const PrimaryPosition& entry) { return now - entry.heldAt_ <= maxAge; });
        return proof == group.ageProofs_.end() ? std::nullopt : std::optional(proof->position_);
    }

    // The replica with the shortest queue among those that satisfy the predicate. Ties are spread by spread_.
    template <typename Predicate>
    const MemberView* chooseReplica(
        const GroupView& group, const ReadRequirements& requirements, TimePoint now, Predicate predicate)
    {
        const MemberView* best = nullptr;
        const auto count = group.members_.size();
        for (std::size_t i = 0; i < count; ++i) {
            const auto& member = group.members_[(requirements.spread_ + i) % count];
            if (member.endpoint_ == group.primary_ || member.leaving_ || !isReachable(group, member, now)
                || !predicate(member))
                continue;
            if (!best || member.queueLength_ < best->queueLength_)
                best = &member;
        }
        return best;
    }

} // namespace

bool primaryHasMajority(const GroupView& group, TimePoint now)
{
    const auto count = std::count_if(group.members_.begin(), group.members_.end(), [&](const MemberView& member) {
        return isReachable(group, member, now) && member.promisedTerm_ <= group.term_;
    });
    return static_cast<std::size_t>(count) >= majoritySize(group);
}

void setRoute(GroupView& group, const EndpointId& primary, Term term)
{
    if (group.primary_ && term <= group.term_)
        return;
    group.term_ = term;
    group.primary_ = primary;
    // The new primary's log may lack positions of the old one, and no replica would ever catch up to those.
    group.primaryHistory_.clear();
    group.primaryResponse_.reset();
}

void applyReport(GroupView& group, const PositionReport& report, TimePoint now)
{
    auto* member = findMember(group, report.endpoint_);
    if (!member)
        return;
    const auto before = std::exchange(member->position_, report.position_);
    member->promisedTerm_ = std::max(member->promisedTerm_, report.promisedTerm_);
    member->leaving_ = report.leaving_;
    member->reportedAt_ = now;
    if (report.requestedAt_ && (!member->requestedAt_ || *report.requestedAt_ > *member->requestedAt_))
        member->requestedAt_ = report.requestedAt_;

    if (member->endpoint_ == group.primary_) {
        if (report.position_.term_ == group.term_) {
            if (group.primaryHistory_.empty() || report.position_ > group.primaryHistory_.back().position_) {
                group.primaryHistory_.push_back({ report.position_, now });
                if (group.primaryHistory_.size() > maximumPrimaryHistory)
                    group.primaryHistory_.pop_front();
            }
            if (report.requestedAt_
                && (!group.primaryResponse_ || *report.requestedAt_ > group.primaryResponse_->heldAt_))
                group.primaryResponse_ = PrimaryPosition { report.position_, *report.requestedAt_ };
        }
    } else {
        updateLag(group, *member, before, now);
    }
    if (report.requestedAt_)
        proveAge(group);
}

ReadChoice chooseRead(const GroupView& group, const ReadRequirements& requirements, TimePoint now)
{
    if (group.members_.empty())
        return ReadRefused { Reason::GroupUnknown };
    if (now >= requirements.deadline_)
        return ReadRefused { Reason::DeadlinePassed };

    // Position that a replica must have reached; nothing if no replica can prove the maximum age.
    std::optional<LogPosition> required = requirements.position_;
    if (requirements.maxAge_) {
        const auto aged = positionOfAge(group, *requirements.maxAge_, now);
        required = aged ? std::optional(std::max(requirements.position_, *aged)) : std::nullopt;
    }
    if (required && !requirements.primaryOnly_) {
        const auto* replica = chooseReplica(
            group, requirements, now, [&](const MemberView& member) { return member.position_ >= *required; });
        if (replica)
            return ReadAt { replica->endpoint_, false, *required };
    }

    const auto primary = std::find_if(group.members_.begin(), group.members_.end(),
        [&](const MemberView& member) { return member.endpoint_ == group.primary_; });
    const auto primaryReachable = primary != group.members_.end() && isReachable(group, *primary, now);
    const auto primaryUsable = primaryReachable && !primary->leaving_ && primaryHasMajority(group, now);

    if (required && !requirements.primaryOnly_) {
        // Without a usable primary the wait may last until the deadline, because no other endpoint can run the read.
        const auto latest = primaryUsable
            ? std::min(requirements.receivedAt_ + group.settings_.waitLimit_, requirements.deadline_)
            : requirements.deadline_;
        const auto seen = firstSeen(group, *required).value_or(now);
        const auto expected = [&](const MemberView& member) { return std::max(seen + *member.lag_, now); };
        const auto* replica = chooseReplica(group, requirements, now,
            [&](const MemberView& member) { return member.lag_ && expected(member) < latest && now < latest; });
        if (replica)
            return ReadWait { replica->endpoint_, latest };
    }
    if (primaryUsable)
        return ReadAt { *group.primary_, true, requirements.position_ };
    if (!group.primary_ || primary == group.members_.end())
        return ReadRefused { Reason::GroupWithoutPrimary };
    // A reachable majority can promote a primary, so the read waits for a new route. Without a majority no promotion is
    // possible, and the read is refused at once.
    const auto reachable = std::count_if(group.members_.begin(), group.members_.end(),
        [&](const MemberView& member) { return isReachable(group, member, now); });
    if (static_cast<std::size_t>(reachable) >= majoritySize(group))
        return ReadWait { *group.primary_, requirements.deadline_ };
    return ReadRefused { Reason::GroupWithoutMajority };
}

bool provesAge(const GroupView& group, LogPosition position, Duration maxAge, TimePoint now)
{
    const auto required = positionOfAge(group, maxAge, now);
    return required && position >= *required;
}

std::optional<Reason> checkReadResponse(LogPosition required, LogPosition actual)
{
    if (actual < required)
        return Reason::RetryReplicaBehind;
    return std::nullopt;
}

} // namespace cassiahollow
