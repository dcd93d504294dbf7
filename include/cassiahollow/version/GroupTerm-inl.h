#pragma once

namespace cassiahollow {

inline Term termOf(const GroupState& state)
{
    return state.term_;
}

inline bool writesPaused(const GroupState& state)
{
    return state.change_.has_value();
}

} // namespace cassiahollow
