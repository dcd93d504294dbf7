#include "cassiahollow/request/PositionSamples.h"

#include <algorithm>

namespace cassiahollow {

void addSample(PositionSamples& state, PositionSample sample, TimePoint now)
{
    auto& samples = state.samples_;
    if (!samples.empty()) {
        const auto newest = samples.back();
        if (sample.position_.term_ < newest.position_.term_)
            return;
        if (sample.position_.term_ > newest.position_.term_) {
            samples.clear();
        } else {
            // Responses may arrive out of order. A sample with an older request is ignored, and the position never
            // decreases: a position reported for an older request also covers every commit acknowledged before the
            // newer one.
            if (sample.requestedAt_ <= newest.requestedAt_)
                return;
            if (sample.position_.index_ < newest.position_.index_)
                sample.position_ = newest.position_;
            const bool isClose
                = samples.size() > 1 && newest.requestedAt_ - samples[samples.size() - 2].requestedAt_ < sampleSpacing;
            if (isClose) {
                samples.back() = sample;
                return;
            }
        }
    }
    samples.push_back(sample);
    while (samples.size() > 1 && now - samples.front().requestedAt_ > sampleLifetime)
        samples.pop_front();
}

std::optional<PositionSample> floorSample(const PositionSamples& state, TimePoint notBefore)
{
    const auto found = std::lower_bound(state.samples_.begin(), state.samples_.end(), notBefore,
        [](const PositionSample& sample, TimePoint time) { return sample.requestedAt_ < time; });
    return found == state.samples_.end() ? std::nullopt : std::optional(*found);
}

std::optional<PositionSample> newestSample(const PositionSamples& state)
{
    return state.samples_.empty() ? std::nullopt : std::optional(state.samples_.back());
}

void recordCommit(OwnCommits& commits, const GroupId& group, OwnCommit commit)
{
    if (commit.position_.term_ == 0) {
        commits.othersAcknowledgedAt_ = std::max(commits.othersAcknowledgedAt_, commit.acknowledgedAt_);
        return;
    }
    auto& latest = commits.latest_[group];
    latest.position_ = std::max(latest.position_, commit.position_);
    latest.acknowledgedAt_ = std::max(latest.acknowledgedAt_, commit.acknowledgedAt_);
    if (commits.latest_.size() <= maximumOwnCommits)
        return;
    const auto oldest = std::min_element(commits.latest_.begin(), commits.latest_.end(),
        [](const auto& a, const auto& b) { return a.second.acknowledgedAt_ < b.second.acknowledgedAt_; });
    forgetPosition(commits, GroupId(oldest->first));
}

void forgetPosition(OwnCommits& commits, const GroupId& group)
{
    const auto known = commits.latest_.find(group);
    if (known == commits.latest_.end())
        return;
    commits.othersAcknowledgedAt_ = std::max(commits.othersAcknowledgedAt_, known->second.acknowledgedAt_);
    commits.latest_.erase(known);
}

OwnCommit lastCommit(const OwnCommits& commits, const GroupId& group)
{
    const auto known = commits.latest_.find(group);
    return known == commits.latest_.end() ? OwnCommit { {}, commits.othersAcknowledgedAt_ } : known->second;
}

TimePoint earliestSample(TimePoint notBefore, const OwnCommit& commit)
{
    return commit.position_.term_ == 0 ? std::max(notBefore, commit.acknowledgedAt_) : notBefore;
}

ReadFloor sessionFloor(const PositionSample& sample, const OwnCommit& commit)
{
    if (commit.acknowledgedAt_ > sample.requestedAt_ && commit.position_ > sample.position_)
        return { commit.position_, commit.acknowledgedAt_ };
    return { sample.position_, sample.requestedAt_ };
}

} // namespace cassiahollow
