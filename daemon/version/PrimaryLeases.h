#pragma once

#include "cassiahollow/process/DirectoryFeed.h"
#include "cassiahollow/process/Metrics.h"
#include "cassiahollow/version/PrimaryLease.h"
#include "cassiahollow/version/PromotionDuty.h"
#include "version/ControlTask.h"

#include <functional>

namespace cassiahollow {

/// The leases on primaries of a control member: decides on them while it leads, and passes them on to entry instances.
/// Lives on the loop's thread.
class PrimaryLeases {
public:
    using Send = std::function<void(const InstanceId&, const DirectoryMessage&)>;

    /// `changed` is called when this member's table has changed and has to be pushed to the entry instances, `ended`
    /// when an instance or a member has confirmed the end of leases.
    PrimaryLeases(InstanceId self, bool authorityChecksFences, Metrics&, Send, std::function<void()> changed,
        std::function<void()> ended);
    PrimaryLeases(const PrimaryLeases&) = delete;
    PrimaryLeases& operator=(const PrimaryLeases&) = delete;

    void setCatalog(const RouteCatalog&);
    /// Whether any primary is leased. No message about leases is sent otherwise.
    bool areUsed() const { return areUsed_; }
    /// Begins or ends to decide on leases.
    void setStatus(const ControlStatus&);
    /// As the leader: when a majority supported it for the last time.
    void setProven(TimePoint provenAt) { provenAt_ = provenAt; }
    /// As the leader: replaces the leases.
    void set(const PromotionDuty&, const EndpointRegistry&, const RouteCatalog&);
    /// Renews the leases that this member passes on. Has to be called several times a second.
    void renew();

    void receive(const InstanceId& sender, const LeaseRequest&);
    void receive(const InstanceId& sender, const LeaseResponse&);
    /// The leases for an entry instance, which confirms a version.
    LeaseGrant grantTo(const InstanceId& entry, const LeaseVersion& confirmed);
    /// The leases for a push, which renews nothing.
    LeaseGrant pushed() const;

    const LeaseView& view() const { return relay_.view_; }
    PromotionGate gate(const RouteCatalog&) const;

private:
    void requestRenewal();
    void tableChanged(const LeaseTable& before);
    void confirmUpwards();

    const InstanceId self_;
    const bool authorityChecksFences_;
    bool areUsed_;
    Metrics& metrics_;
    const Send send_;
    const std::function<void()> changed_;
    const std::function<void()> ended_;
    ControlStatus status_;
    TimePoint provenAt_;
    LeaseAuthority authority_;
    LeaseRelay relay_;
    LeaseVersion reported_; ///< The version whose end of older leases the leader was told.
    std::uint64_t number_ { 0 };
    std::map<std::uint64_t, TimePoint> requestedAt_; ///< Of requests to the leader without a response.
    TimePoint nextRenewal_;
};

} // namespace cassiahollow
