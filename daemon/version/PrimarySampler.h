#pragma once

#include "cassiahollow/process/DirectoryFeed.h"
#include "cassiahollow/version/RouteCatalog.h"
#include "connection/EndpointLink.h"
#include "process/EventLoop.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassiahollow {

/// Takes samples of primaries' positions for entry instances that cannot all hold a connection to each primary. Holds
/// one connection to the primary of each group whose connections are scarce.
class PrimarySampler {
public:
    /// `leases` is null if primaries need no lease.
    PrimarySampler(EventLoop&, Metrics&, const EndpointRegistry&, std::string instance, const LeaseView* leases);
    PrimarySampler(const PrimarySampler&) = delete;
    PrimarySampler& operator=(const PrimarySampler&) = delete;

    /// Has to be called several times a second, with the number of entry instances.
    void tick(const RouteCatalog&, std::size_t instances);
    /// The newest samples, with their ages.
    std::vector<GroupSample> samples() const;

private:
    struct Sampled {
        EndpointId primary_;
        EndpointLinkPtr link_;
        TimePoint opened_;
        TimePoint asked_;
        bool asking_ { false };
        LogPosition begun_; ///< What the begin under way has stated.
        TimePoint sampleAsked_;
        LogPosition position_;
    };

    void ask(const GroupId&, Sampled&);

    EventLoop& loop_;
    Metrics& metrics_;
    const EndpointRegistry& registry_;
    const std::string instance_;
    const LeaseView* const leases_;
    LineSockets sockets_;
    std::map<GroupId, std::unique_ptr<Sampled>> groups_;
};

} // namespace cassiahollow
