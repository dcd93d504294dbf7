#include "version/PrimaryLeases.h"

#include "process/EventLog.h"
#include "process/SuspendAwareClock.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    // Requests without a response that are remembered; a later response could not renew a lease any more.
    constexpr std::size_t maximumOpenRequests = 32;

} // namespace

PrimaryLeases::PrimaryLeases(InstanceId self, bool authorityChecksFences, Metrics& metrics, Send send,
    std::function<void()> changed, std::function<void()> ended)
    : self_(std::move(self))
    , authorityChecksFences_(authorityChecksFences)
    , areUsed_(!authorityChecksFences)
    , metrics_(metrics)
    , send_(std::move(send))
    , changed_(std::move(changed))
    , ended_(std::move(ended))
{
    relay_.startedAt_ = suspendAwareNow();
}

void PrimaryLeases::setCatalog(const RouteCatalog& catalog)
{
    areUsed_ = !authorityChecksFences_
        || std::any_of(catalog.groups_.begin(), catalog.groups_.end(),
            [](const GroupRules& rules) { return rules.synchronousReplicas_ > 0; });
}

void PrimaryLeases::setStatus(const ControlStatus& status)
{
    const bool leads = status.role_ == ControlRole::Leader && status.hasAppliedEarlierTerms_;
    const bool isNewTerm = leads && (!authority_.leads_ || status.term_ != authority_.table_.version_.term_);
    // A leader whose newest entries are not committed yet goes on.
    if (isNewTerm)
        beginLeases(authority_, status.term_, suspendAwareNow());
    else if (status.role_ != ControlRole::Leader && authority_.leads_)
        endLeases(authority_);
    const bool isOtherLeader = status.leader_ != status_.leader_;
    status_ = status;
    if (isOtherLeader)
        requestRenewal();
}

void PrimaryLeases::set(const PromotionDuty& duty, const EndpointRegistry& registry, const RouteCatalog& catalog)
{
    const auto before = authority_.table_;
    setLeases(authority_, usablePrimaries(duty, registry, catalog, authorityChecksFences_), suspendAwareNow());
    if (!authority_.leads_ || before.version_ == authority_.table_.version_)
        return;
    for (const auto& lease : before.leases_) {
        const auto* current = findLease(authority_.table_, lease.group_);
        if (current && current->primary_ == lease.primary_)
            continue;
        metrics_.add(CounterId::LeasesWithdrawn);
        LogLine(LogKind::Belief, "lease_withdrawn")
            .with("group", lease.group_.value_)
            .with("primary", lease.primary_.value_)
            .with("version", authority_.table_.version_.number_);
    }
    const LeaseResponse push { 0, { authority_.table_.version_, Duration::max(), authority_.table_ } };
    for (const auto& [relay, state] : authority_.relays_) {
        if (relay != self_)
            send_(relay, push);
    }
    receive(self_, push);
}

void PrimaryLeases::renew()
{
    if (suspendAwareNow() >= nextRenewal_)
        requestRenewal();
}

void PrimaryLeases::requestRenewal()
{
    if (!areUsed_)
        return;
    const auto now = suspendAwareNow();
    nextRenewal_ = now + leaseRenewalInterval;
    reported_ = confirmedVersion(relay_, now);
    const auto known = relay_.view_.table_.version_;
    if (authority_.leads_) {
        const auto before = relay_.view_.table_;
        const auto grant = grantLeases(authority_, self_, reported_, known, provenAt_, now);
        if (grant && receiveLeases(relay_.view_, *grant, now))
            tableChanged(before);
        return;
    }
    if (status_.leader_.empty() || status_.leader_ == self_)
        return;
    requestedAt_.emplace(++number_, now);
    if (requestedAt_.size() > maximumOpenRequests)
        requestedAt_.erase(requestedAt_.begin());
    send_(status_.leader_, LeaseRequest { number_, known, reported_ });
}

void PrimaryLeases::receive(const InstanceId& sender, const LeaseRequest& request)
{
    const auto grant
        = grantLeases(authority_, sender, request.confirmed_, request.known_, provenAt_, suspendAwareNow());
    if (!grant)
        return;
    send_(sender, LeaseResponse { request.number_, *grant });
    ended_();
}

void PrimaryLeases::receive(const InstanceId&, const LeaseResponse& response)
{
    std::optional<TimePoint> requestedAt;
    if (const auto request = requestedAt_.find(response.number_); request != requestedAt_.end()) {
        requestedAt = request->second;
        requestedAt_.erase(requestedAt_.begin(), std::next(request));
    }
    const auto before = relay_.view_.table_;
    if (receiveLeases(relay_.view_, response.grant_, requestedAt))
        tableChanged(before);
}

void PrimaryLeases::tableChanged(const LeaseTable& before)
{
    LogLine(LogKind::Belief, "leases_changed")
        .with("term", relay_.view_.table_.version_.term_)
        .with("version", relay_.view_.table_.version_.number_)
        .with("before", before.version_.number_)
        .with("leases", static_cast<std::uint64_t>(relay_.view_.table_.leases_.size()));
    changed_();
    confirmUpwards();
}

LeaseGrant PrimaryLeases::grantTo(const InstanceId& entry, const LeaseVersion& confirmed)
{
    auto grant = relayLeases(relay_, entry, confirmed, suspendAwareNow());
    confirmUpwards();
    return grant;
}

LeaseGrant PrimaryLeases::pushed() const
{
    return { relay_.view_.table_.version_, Duration::max(), relay_.view_.table_ };
}

// Tells the leader at once what it may be waiting for.
void PrimaryLeases::confirmUpwards()
{
    if (confirmedVersion(relay_, suspendAwareNow()) <= reported_)
        return;
    requestRenewal();
    if (authority_.leads_)
        ended_();
}

PromotionGate PrimaryLeases::gate(const RouteCatalog& catalog) const
{
    const auto now = suspendAwareNow();
    PromotionGate gate { mayOrderPromotions(authority_, provenAt_, now), {}, authorityChecksFences_ };
    for (const auto& rules : catalog.groups_) {
        if (areLeasesEnded(authority_, rules.group_, now))
            gate.endedLeases_.insert(rules.group_);
    }
    return gate;
}

} // namespace cassiahollow
