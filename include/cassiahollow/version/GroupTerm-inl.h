#pragma once

namespace cassiahollow {

inline Term termOf(const GroupState& state)
{
    return state.term_;
}

inline bool writesPaused(const GroupState& state)
{
    return state.plannedChange_ && state.plannedChange_->pausedAt_;
}

} // namespace cassiahollow
