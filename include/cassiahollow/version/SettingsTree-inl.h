#pragma once

namespace cassiahollow {

inline bool acceptSettings(SettingsTree& applied, const SettingsTree& offered)
{
    if (offered.revision_ <= applied.revision_)
        return false;
    applied = offered;
    return true;
}

} // namespace cassiahollow
