#include "cassiahollow/process/EndpointRegistry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cassiahollow {

namespace {

    bool differsForRouting(const RegisteredEndpoint& a, const RegisteredEndpoint& b)
    {
        const bool differsAsPrimary = a.role_ == EndpointRole::Primary && a.confirmed_ != b.confirmed_;
        return differsAsPrimary
            || std::tie(a.group_, a.address_, a.dataCentre_, a.startedAtMs_, a.slots_, a.role_, a.leaving_, a.removed_)
            != std::tie(b.group_, b.address_, b.dataCentre_, b.startedAtMs_, b.slots_, b.role_, b.leaving_, b.removed_);
    }

    // Whether a report that claims to be newer stayed alone while the older ones went on. Symmetric in the order of
    // arrival, so that all copies of the registry decide alike.
    bool isOddReport(const RegisteredEndpoint& newer, const RegisteredEndpoint& older)
    {
        return !newer.confirmed_ && older.receivedAt_ - newer.receivedAt_ > unconfirmedLifetime;
    }

    // Marks the previous endpoint at the address as removed, because an address is reused only after its owner has
    // stopped. Returns false if a newer endpoint has the address.
    bool claimAddress(EndpointRegistry& registry, const RegisteredEndpoint& record)
    {
        for (auto& [id, other] : registry.records_) {
            if (id == record.id_ || other.removed_ || other.address_ != record.address_)
                continue;
            const bool isOlder = other.startedAtMs_ > record.startedAtMs_;
            if (isOlder != (isOlder ? isOddReport(other, record) : isOddReport(record, other)))
                return false;
            other.removed_ = true;
            other.displaced_ = true;
            ++registry.revision_;
        }
        return true;
    }

} // namespace

RegistryMerge mergeRecord(EndpointRegistry& registry, RegisteredEndpoint record)
{
    const auto known = registry.records_.find(record.id_);
    if (known != registry.records_.end()) {
        const auto& old = known->second;
        const bool isOlder
            = std::tie(record.startedAtMs_, record.sequence_) < std::tie(old.startedAtMs_, old.sequence_);
        if (isOlder != (isOlder ? isOddReport(old, record) : isOddReport(record, old)))
            return RegistryMerge::Stale;
        const bool isRepeated = record.startedAtMs_ == old.startedAtMs_ && record.sequence_ == old.sequence_;
        if (isRepeated && (old.removed_ || !record.removed_))
            return RegistryMerge::Stale;
        // A deregistered process sends no new reports; this one was still in transit.
        if (old.removed_ && !old.displaced_ && record.startedAtMs_ == old.startedAtMs_)
            return RegistryMerge::Stale;
        const bool continues = record.startedAtMs_ == old.startedAtMs_ && record.sequence_ > old.sequence_
            && record.sequence_ - old.sequence_ <= maximumSequenceGap;
        record.confirmed_ |= continues || isOlder;
        if (record.startedAtMs_ == old.startedAtMs_ && record.role_ == old.role_)
            record.roleSince_ = std::min(record.roleSince_, old.roleSince_);
    }
    if (!record.removed_ && !claimAddress(registry, record))
        return RegistryMerge::Stale;
    if (known == registry.records_.end()) {
        registry.records_.emplace(record.id_, std::move(record));
        ++registry.revision_;
        return RegistryMerge::Changed;
    }
    const bool changed = differsForRouting(known->second, record);
    known->second = std::move(record);
    registry.revision_ += changed ? 1 : 0;
    return changed ? RegistryMerge::Changed : RegistryMerge::Refreshed;
}

RegistryMerge removeRecord(EndpointRegistry& registry, const EndpointId& id, TimePoint now)
{
    const auto known = registry.records_.find(id);
    if (known == registry.records_.end() || known->second.removed_)
        return RegistryMerge::Stale;
    known->second.removed_ = true;
    known->second.receivedAt_ = now;
    ++registry.revision_;
    return RegistryMerge::Changed;
}

void expireRecords(EndpointRegistry& registry, TimePoint now)
{
    const auto dropped = std::erase_if(
        registry.records_, [&](const auto& item) { return now - item.second.receivedAt_ > registryLifetime; });
    registry.revision_ += dropped > 0 ? 1 : 0;
}

const RegisteredEndpoint* primaryOf(const EndpointRegistry& registry, const GroupId& group)
{
    const RegisteredEndpoint* primary = nullptr;
    for (const auto& [id, record] : registry.records_) {
        if (record.group_ != group || record.removed_ || record.role_ != EndpointRole::Primary)
            continue;
        if (!primary
            || std::tie(record.confirmed_, record.roleSince_) > std::tie(primary->confirmed_, primary->roleSince_))
            primary = &record;
    }
    return primary;
}

std::vector<const RegisteredEndpoint*> endpointsOf(const EndpointRegistry& registry, const GroupId& group)
{
    std::vector<const RegisteredEndpoint*> endpoints;
    for (const auto& [id, record] : registry.records_) {
        if (record.group_ == group && !record.removed_)
            endpoints.push_back(&record);
    }
    return endpoints;
}

} // namespace cassiahollow
