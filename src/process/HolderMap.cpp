#include "cassiahollow/process/HolderMap.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace cassiahollow {

namespace {

    std::uint64_t hashOf(const std::string& text, std::uint64_t seed = 0)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }

    /// The rendezvous weight: the hash of the endpoint id, seeded with the hash of the instance id.
    std::uint64_t weightOf(std::uint64_t instanceHash, const EndpointId& endpoint)
    {
        return hashOf(endpoint.value_, instanceHash);
    }

    void setHolder(HolderMap& map, const EndpointId& id, HolderMap::Entry& entry, const InstanceId& holder,
        std::uint64_t weight, TimePoint now)
    {
        entry.weight_ = weight;
        if (entry.holder_ == holder)
            return;
        if (entry.holder_ == map.self_ && !entry.holder_.empty()) {
            map.held_.erase(id);
            map.changes_.push_back({ id, false, now });
        }
        entry.holder_ = holder;
        entry.since_ = now;
        if (holder == map.self_ && !holder.empty()) {
            map.held_.insert(id);
            map.changes_.push_back({ id, true, now });
        }
    }

    /// The higher weight wins; ties go to the lower id, so that all instances agree.
    bool isBetter(std::uint64_t weight, const InstanceId& instance, std::uint64_t bestWeight, const InstanceId& best)
    {
        return best.empty() || weight > bestWeight || (weight == bestWeight && instance < best);
    }

    void chooseHolder(HolderMap& map, const EndpointId& id, HolderMap::Entry& entry, TimePoint now)
    {
        InstanceId best;
        std::uint64_t bestWeight = 0;
        const auto consider = [&](const std::map<InstanceId, std::uint64_t>& instances) {
            for (const auto& [instance, hash] : instances) {
                const auto weight = weightOf(hash, id);
                if (isBetter(weight, instance, bestWeight, best)) {
                    best = instance;
                    bestWeight = weight;
                }
            }
        };
        if (const auto own = map.eligible_.find(entry.dataCentre_); own != map.eligible_.end())
            consider(own->second);
        else {
            for (const auto& [dataCentre, instances] : map.eligible_)
                consider(instances);
        }
        setHolder(map, id, entry, best, bestWeight, now);
    }

    void chooseHolders(HolderMap& map, const DataCentre& dataCentre, TimePoint now)
    {
        const auto ids = map.byDataCentre_.find(dataCentre);
        if (ids == map.byDataCentre_.end())
            return;
        for (const auto& id : ids->second)
            chooseHolder(map, id, map.endpoints_.at(id), now);
    }

    /// Visits the endpoints that instances of a data centre may hold: those in this data centre, and those in data
    /// centres without an eligible instance.
    template <typename Visit> void forEachCandidateEndpoint(HolderMap& map, const DataCentre& dataCentre, Visit visit)
    {
        for (const auto& [other, ids] : map.byDataCentre_) {
            if (other != dataCentre && map.eligible_.contains(other))
                continue;
            for (const auto& id : ids)
                visit(id, map.endpoints_.at(id));
        }
    }

} // namespace

void addEligible(HolderMap& map, const InstanceId& id, const DataCentre& dataCentre, TimePoint now)
{
    if (const auto known = map.dataCentres_.find(id); known != map.dataCentres_.end()) {
        if (known->second == dataCentre)
            return;
        removeEligible(map, id, now);
    }
    const auto hash = hashOf(id.value_);
    const bool isFirst = !map.eligible_.contains(dataCentre);
    map.eligible_[dataCentre][id] = hash;
    map.dataCentres_[id] = dataCentre;
    if (isFirst)
        chooseHolders(map, dataCentre, now); // Before, the instances of all other data centres were candidates.
    forEachCandidateEndpoint(map, dataCentre, [&](const EndpointId& endpoint, HolderMap::Entry& entry) {
        const auto weight = weightOf(hash, endpoint);
        if (isBetter(weight, id, entry.weight_, entry.holder_))
            setHolder(map, endpoint, entry, id, weight, now);
    });
}

void removeEligible(HolderMap& map, const InstanceId& id, TimePoint now)
{
    const auto known = map.dataCentres_.find(id);
    if (known == map.dataCentres_.end())
        return;
    const auto dataCentre = known->second;
    map.dataCentres_.erase(known);
    const auto instances = map.eligible_.find(dataCentre);
    instances->second.erase(id);
    if (instances->second.empty())
        map.eligible_.erase(instances);
    forEachCandidateEndpoint(map, dataCentre, [&](const EndpointId& endpoint, HolderMap::Entry& entry) {
        if (entry.holder_ == id)
            chooseHolder(map, endpoint, entry, now);
    });
}

void addEndpoint(HolderMap& map, const EndpointId& id, const DataCentre& dataCentre, TimePoint now)
{
    const auto [position, isNew] = map.endpoints_.try_emplace(id);
    auto& entry = position->second;
    if (!isNew) {
        if (entry.dataCentre_ == dataCentre)
            return;
        map.byDataCentre_[entry.dataCentre_].erase(id);
    }
    entry.dataCentre_ = dataCentre;
    map.byDataCentre_[dataCentre].insert(id);
    chooseHolder(map, id, entry, now);
}

void removeEndpoint(HolderMap& map, const EndpointId& id, TimePoint now)
{
    const auto known = map.endpoints_.find(id);
    if (known == map.endpoints_.end())
        return;
    setHolder(map, id, known->second, {}, 0, now);
    const auto ids = map.byDataCentre_.find(known->second.dataCentre_);
    ids->second.erase(id);
    if (ids->second.empty())
        map.byDataCentre_.erase(ids);
    map.endpoints_.erase(known);
}

std::optional<InstanceId> holderOf(const HolderMap& map, const EndpointId& id)
{
    const auto known = map.endpoints_.find(id);
    if (known == map.endpoints_.end() || known->second.holder_.empty())
        return std::nullopt;
    return known->second.holder_;
}

std::optional<TimePoint> holderSince(const HolderMap& map, const EndpointId& id)
{
    const auto known = map.endpoints_.find(id);
    if (known == map.endpoints_.end() || known->second.holder_ != map.self_)
        return std::nullopt;
    return known->second.since_;
}

std::vector<InstanceId> watchersOf(const HolderMap& map, const std::vector<EndpointId>& members)
{
    std::set<InstanceId> watchers;
    for (const auto& member : members) {
        if (auto holder = holderOf(map, member))
            watchers.insert(*std::move(holder));
    }
    return { watchers.begin(), watchers.end() };
}

std::optional<std::size_t> watcherRank(
    const HolderMap& map, const std::vector<EndpointId>& members, const InstanceId& instance)
{
    const auto watchers = watchersOf(map, members);
    const auto found = std::lower_bound(watchers.begin(), watchers.end(), instance);
    if (found == watchers.end() || *found != instance)
        return std::nullopt;
    return static_cast<std::size_t>(found - watchers.begin());
}

std::vector<HolderRoleChange> takeRoleChanges(HolderMap& map)
{
    return std::exchange(map.changes_, {});
}

} // namespace cassiahollow
