#pragma once

#include "cassiahollow/process/Membership.h"
#include "cassiahollow/process/Metrics.h"
#include "cassiahollow/version/SettingsTree.h"
#include "connection/EndpointChannel.h"
#include "process/EventLoop.h"
#include "process/ProcessSettings.h"

namespace cassiahollow {

/// What the parts of the serve task share. All of it belongs to the serve task and lives as long as it.
struct ServeContext {
    EventLoop& loop_;
    ChannelFactory& channels_;
    Metrics& metrics_;
    const ProcessSettings& settings_;
    Incarnation incarnation_ { 0 };
    MembershipState& membership_;
    const SettingsTree& tree_; ///< The applied settings; replaced in place when a newer revision arrives.
};

} // namespace cassiahollow
