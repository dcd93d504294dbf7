#pragma once

#include <algorithm>

namespace cassiahollow {

inline LogPosition lastPosition(const ControlStored& stored)
{
    if (!stored.entries_.empty())
        return stored.entries_.back().position_;
    return stored.snapshot_ ? stored.snapshot_->last_ : LogPosition {};
}

inline bool isVoter(const ControlConfiguration& configuration, const std::string& identity)
{
    return std::any_of(configuration.members_.begin(), configuration.members_.end(),
        [&](const ControlMember& member) { return member.voter_ && member.identity_ == identity; });
}

} // namespace cassiahollow
