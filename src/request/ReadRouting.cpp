#include "cassiahollow/request/ReadRouting.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace cassiahollow {

namespace {

    // How much history of the primary is kept for learning lags. A replica further behind than this is not worth
    // waiting for.
    constexpr std::size_t maximumPrimarySeen = 64;
    // Proofs are about a report interval (100 ms) apart, so this covers stated ages of up to about 25 s. A read that
    // states a greater age uses the oldest proof kept.
    constexpr std::size_t maximumAgeProofs = 256;
    // Weight of a new lag sample when it is lower than the learned value. A higher one replaces the value at once,
    // because a wait for a replica that turns out too slow costs the read its whole wait limit.
    constexpr int lagSmoothing = 4;

    bool isHeard(const GroupView& group, const MemberView& member, TimePoint now)
    {
        return member.reportedAt_ && now - *member.reportedAt_ <= group.settings_.suspicionTime_;
    }

    std::size_t majorityOf(const GroupView& group)
    {
        return group.members_.size() / 2 + 1;
    }

    MemberView* findMember(GroupView& group, const EndpointId& endpoint)
    {
        const auto member = std::find_if(group.members_.begin(), group.members_.end(),
            [&](const MemberView& candidate) { return candidate.endpoint_ == endpoint; });
        return member == group.members_.end() ? nullptr : &*member;
    }

    // When the primary was first known to hold the position; nothing if no report has shown it yet.
    std::optional<TimePoint> firstSeen(const GroupView& group, LogPosition position)
    {
        const auto seen = std::find_if(group.primaryHistory_.begin(), group.primaryHistory_.end(),
            [&](const PrimaryPosition& entry) { return entry.position_ >= position; });
        return seen == group.primaryHistory_.end() ? std::nullopt : std::optional(seen->heldAt_);
    }

    // Learns from a report that took the replica from one position to another.
    void learnLag(const GroupView& group, MemberView& member, LogPosition before, TimePoint now)
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
            sample = std::max(now - missing->heldAt_, member.lag_.value_or(Duration::zero())); // A bound from below.
        else if (member.position_ > before || !member.lag_)
            sample = Duration::zero(); // The replica was seen at the position before the primary was.
        if (!sample)
            return;
        if (!member.lag_ || *sample > *member.lag_)
            member.lag_ = sample;
        else
            *member.lag_ += (*sample - *member.lag_) / lagSmoothing;
    }

    // Turns the primary's last answer into a proof of age. The primary's position is the newest one in the group only
    // if no later term had begun. That is proved for the time by which a majority of the members was asked and had
    // promised no later term, because a promotion fences a majority first.
    void proveAge(GroupView& group)
    {
        if (!group.primaryResponse_)
            return;
        std::vector<TimePoint> asked;
        for (const auto& member : group.members_) {
            if (member.requestedAt_ && member.promisedTerm_ <= group.term_)
                asked.push_back(*member.requestedAt_);
        }
        if (asked.size() < majorityOf(group))
            return;
        std::sort(asked.begin(), asked.end(), std::greater<>());
        const auto provedAt = std::min(asked[majorityOf(group) - 1], group.primaryResponse_->heldAt_);
        if (!group.ageProofs_.empty() && provedAt <= group.ageProofs_.back().heldAt_)
            return;
        group.ageProofs_.push_back({ group.primaryResponse_->position_, provedAt });
        if (group.ageProofs_.size() > maximumAgeProofs)
            group.ageProofs_.pop_front();
    }

    // The position that proves the stated age: the oldest proof that is recent enough asks least of a replica.
    std::optional<LogPosition> positionOfAge(const GroupView& group, Duration maxAge, TimePoint now)
    {
        const auto proof = std::find_if(group.ageProofs_.begin(), group.ageProofs_.end(),
            [&](const PrimaryPosition& entry) { return now - entry.heldAt_ <= maxAge; });
        return proof == group.ageProofs_.end() ? std::nullopt : std::optional(proof->position_);
    }

    // The best of the replicas for which the predicate holds: shortest queue first, then in turn.
    template <typename Predicate>
    const MemberView* chooseReplica(
        const GroupView& group, const ReadRequirements& need, TimePoint now, Predicate predicate)
    {
        const MemberView* best = nullptr;
        const auto count = group.members_.size();
        for (std::size_t i = 0; i < count; ++i) {
            const auto& member = group.members_[(need.spread_ + i) % count];
            if (member.endpoint_ == group.primary_ || member.leaving_ || !isHeard(group, member, now)
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
    const auto count = std::count_if(group.members_.begin(), group.members_.end(),
        [&](const MemberView& member) { return isHeard(group, member, now) && member.promisedTerm_ <= group.term_; });
    return static_cast<std::size_t>(count) >= majorityOf(group);
}

void setRoute(GroupView& group, const EndpointId& primary, Term term)
{
    if (group.primary_ && term <= group.term_)
        return;
    group.term_ = term;
    group.primary_ = primary;
    // Positions of the old primary may be missing from the new one's log, and no replica would ever catch up to them.
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
                if (group.primaryHistory_.size() > maximumPrimarySeen)
                    group.primaryHistory_.pop_front();
            }
            if (report.requestedAt_
                && (!group.primaryResponse_ || *report.requestedAt_ > group.primaryResponse_->heldAt_))
                group.primaryResponse_ = PrimaryPosition { report.position_, *report.requestedAt_ };
        }
    } else {
        learnLag(group, *member, before, now);
    }
    if (report.requestedAt_)
        proveAge(group);
}

ReadChoice chooseRead(const GroupView& group, const ReadRequirements& need, TimePoint now)
{
    if (group.members_.empty())
        return ReadRefused { Reason::GroupUnknown };
    if (now >= need.deadline_)
        return ReadRefused { Reason::DeadlinePassed };

    // What a replica has to hold; nothing if no replica can prove the stated age.
    std::optional<LogPosition> required = need.position_;
    if (need.maxAge_) {
        const auto aged = positionOfAge(group, *need.maxAge_, now);
        required = aged ? std::optional(std::max(need.position_, *aged)) : std::nullopt;
    }
    if (required && !need.primaryOnly_) {
        const auto* replica
            = chooseReplica(group, need, now, [&](const MemberView& member) { return member.position_ >= *required; });
        if (replica)
            return ReadAt { replica->endpoint_, false, *required };
    }

    const auto primary = std::find_if(group.members_.begin(), group.members_.end(),
        [&](const MemberView& member) { return member.endpoint_ == group.primary_; });
    const auto primaryHeard = primary != group.members_.end() && isHeard(group, *primary, now);
    const auto primaryUsable = primaryHeard && !primary->leaving_ && primaryHasMajority(group, now);

    if (required && !need.primaryOnly_) {
        // Without a usable primary the wait may last until the deadline, because there is no better place to go.
        const auto latest
            = primaryUsable ? std::min(need.receivedAt_ + group.settings_.waitLimit_, need.deadline_) : need.deadline_;
        const auto seen = firstSeen(group, *required).value_or(now);
        const auto expected = [&](const MemberView& member) { return std::max(seen + *member.lag_, now); };
        const auto* replica = chooseReplica(group, need, now,
            [&](const MemberView& member) { return member.lag_ && expected(member) < latest && now < latest; });
        if (replica)
            return ReadWait { replica->endpoint_, latest };
    }
    if (primaryUsable)
        return ReadAt { *group.primary_, true, need.position_ };
    if (!group.primary_ || primary == group.members_.end())
        return ReadRefused { Reason::GroupWithoutPrimary };
    // A majority that can be heard can promote a primary, so the read waits for the route to change. Without one
    // nobody here can, and the caller is told at once.
    const auto heard = std::count_if(group.members_.begin(), group.members_.end(),
        [&](const MemberView& member) { return isHeard(group, member, now); });
    if (static_cast<std::size_t>(heard) >= majorityOf(group))
        return ReadWait { *group.primary_, need.deadline_ };
    return ReadRefused { Reason::GroupWithoutMajority };
}

bool provesAge(const GroupView& group, LogPosition position, Duration maxAge, TimePoint now)
{
    const auto required = positionOfAge(group, maxAge, now);
    return required && position >= *required;
}

std::optional<Reason> checkReadResponse(LogPosition required, LogPosition answered)
{
    if (answered < required)
        return Reason::RetryReplicaBehind;
    return std::nullopt;
}

} // namespace cassiahollow
