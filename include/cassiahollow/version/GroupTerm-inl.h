#pragma once

namespace cassiahollow {

inline Term termOf(const GroupState& state)
{
    return state.term_;
}

inline bool writesPaused(const GroupState& state)
{
    return state.change_ && state.change_->paused_;
}

} // namespace cassiahollow
