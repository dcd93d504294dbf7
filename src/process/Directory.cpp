#include "cassiahollow/process/Directory.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace cassiahollow {

namespace {

    template <typename... Handlers> struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

    std::uint64_t keyHash(const RecordKey& key)
    {
        return XXH3_64bits_withSeed(key.id_.data(), key.id_.size(), static_cast<XXH64_hash_t>(key.kind_) + 1);
    }

    std::size_t bucketOf(const RecordKey& key)
    {
        return keyHash(key) % digestBuckets;
    }

    auto versionOf(const InstanceRecord& record)
    {
        return std::tuple(record.incarnation_, record.sequence_, static_cast<std::uint64_t>(record.status_));
    }
    auto versionOf(const EndpointRecord& record)
    {
        return std::tuple(record.started_, record.sequence_, static_cast<std::uint64_t>(record.expired_));
    }
    auto versionOf(const DrainRecord& record)
    {
        return std::tuple(record.started_, std::uint64_t { 0 }, std::uint64_t { 0 });
    }
    auto versionOf(const RouteRecord& record)
    {
        return std::tuple(record.term_, std::uint64_t { 0 }, std::uint64_t { 0 });
    }
    auto versionOf(const GroupMembersRecord& record)
    {
        return std::tuple(record.epoch_, std::uint64_t { 0 }, std::uint64_t { 0 });
    }

    /// Ended records are purged at different times on different instances, so the digest excludes them. Otherwise
    /// instances that agree on all live records would repair each other until the last one has purged the record.
    bool isEnded(const InstanceRecord& record)
    {
        return record.status_ == InstanceStatus::Dead || record.status_ == InstanceStatus::Leaving;
    }
    bool isEnded(const EndpointRecord& record)
    {
        return record.expired_;
    }
    template <typename Other> bool isEnded(const Other&)
    {
        return false;
    }

    /// A drain record is purged together with its endpoint; without this check a repair would bring it back alone.
    bool hasEndpoint(const DirectoryState& state, const DrainRecord& record)
    {
        return state.endpoints_.contains(record.endpoint_);
    }
    template <typename Other> bool hasEndpoint(const DirectoryState&, const Other&)
    {
        return true;
    }

    template <typename Kind> std::uint32_t digestContribution(const RecordKey& key, const Kind& record)
    {
        if (isEnded(record))
            return 0;
        const auto [first, second, third] = versionOf(record);
        const std::uint64_t words[] = { keyHash(key), first, second, third };
        return static_cast<std::uint32_t>(XXH3_64bits(words, sizeof(words)));
    }

    auto& tableOf(DirectoryState& state, const InstanceRecord&)
    {
        return state.instances_;
    }
    auto& tableOf(DirectoryState& state, const EndpointRecord&)
    {
        return state.endpoints_;
    }
    auto& tableOf(DirectoryState& state, const DrainRecord&)
    {
        return state.drains_;
    }
    auto& tableOf(DirectoryState& state, const RouteRecord&)
    {
        return state.routes_;
    }
    auto& tableOf(DirectoryState& state, const GroupMembersRecord&)
    {
        return state.groupMembers_;
    }

    const InstanceId& idOf(const InstanceRecord& record)
    {
        return record.id_;
    }
    const EndpointId& idOf(const EndpointRecord& record)
    {
        return record.id_;
    }
    const EndpointId& idOf(const DrainRecord& record)
    {
        return record.endpoint_;
    }
    const GroupId& idOf(const RouteRecord& record)
    {
        return record.group_;
    }
    const GroupId& idOf(const GroupMembersRecord& record)
    {
        return record.group_;
    }

    void indexGroup(DirectoryState& state, const EndpointRecord& record, bool add)
    {
        if (record.expired_)
            return;
        if (add) {
            state.byGroup_[record.group_].insert(record.id_);
            return;
        }
        const auto group = state.byGroup_.find(record.group_);
        group->second.erase(record.id_);
        if (group->second.empty())
            state.byGroup_.erase(group);
    }
    template <typename Other> void indexGroup(DirectoryState&, const Other&, bool) { }

    template <typename Kind> void keepHigherRevision(Kind&, const Kind&) { }
    void keepHigherRevision(InstanceRecord& record, const InstanceRecord& known)
    {
        record.appliedRevision_ = std::max(record.appliedRevision_, known.appliedRevision_);
    }

    template <typename Kind> MergeResult merge(DirectoryState& state, const RecordKey& key, const Kind& record)
    {
        auto& table = tableOf(state, record);
        const auto known = table.find(idOf(record));
        const auto bucket = bucketOf(key);
        if (known == table.end()) {
            if (isEnded(record) || !hasEndpoint(state, record))
                return MergeResult::Ignored;
            table.emplace(idOf(record), record);
            state.buckets_[bucket].insert(key);
        } else {
            if (versionOf(record) <= versionOf(known->second))
                return versionOf(record) == versionOf(known->second) ? MergeResult::Same : MergeResult::Older;
            state.digest_[bucket] ^= digestContribution(key, known->second);
            indexGroup(state, known->second, false);
            auto replacement = record;
            keepHigherRevision(replacement, known->second);
            known->second = std::move(replacement);
        }
        state.digest_[bucket] ^= digestContribution(key, record);
        indexGroup(state, record, true);
        return MergeResult::Newer;
    }

    template <typename Table> void purge(DirectoryState& state, const RecordKey& key, Table& table)
    {
        const auto known = table.find(typename Table::key_type(key.id_));
        if (known == table.end())
            return;
        const auto bucket = bucketOf(key);
        state.digest_[bucket] ^= digestContribution(key, known->second);
        indexGroup(state, known->second, false);
        state.buckets_[bucket].erase(key);
        table.erase(known);
    }

    template <typename Table> std::optional<Record> find(const Table& table, const std::string& id)
    {
        const auto known = table.find(typename Table::key_type(id));
        if (known == table.end())
            return std::nullopt;
        return known->second;
    }

    template <typename Table>
    std::optional<typename Table::mapped_type> lookUp(const Table& table, const typename Table::key_type& id)
    {
        const auto known = table.find(id);
        if (known == table.end())
            return std::nullopt;
        return known->second;
    }

    // Sizes in the wire format: a text has a tag and a length, a number a tag and at most 10 bytes. The length of a
    // nested message below 2 MB takes at most 3 bytes.
    constexpr std::size_t nestedSize = 8;
    std::size_t textSize(const std::string& text)
    {
        return text.size() + (text.size() < 128 ? 2 : 4);
    }
    std::size_t numberSize(std::uint64_t number)
    {
        std::size_t size = 2;
        for (; number >= 128; number >>= 7)
            ++size;
        return size;
    }

} // namespace

std::string_view instanceStatusName(InstanceStatus status)
{
    switch (status) {
    case InstanceStatus::Alive:
        return "alive";
    case InstanceStatus::Suspect:
        return "suspect";
    case InstanceStatus::Leaving:
        return "leaving";
    case InstanceStatus::Dead:
        return "dead";
    }
    return "dead";
}

RecordKey recordKey(const Record& record)
{
    const auto kind = static_cast<RecordKind>(record.index());
    return std::visit([kind](const auto& value) { return RecordKey { kind, idOf(value).value_ }; }, record);
}

std::size_t recordSizeBound(const Record& record)
{
    return nestedSize
        + std::visit(Overloaded {
                         [](const InstanceRecord& r) {
                             return textSize(r.id_.value_) + textSize(r.address_) + textSize(r.dataCentre_.value_)
                                 + numberSize(r.incarnation_) + numberSize(r.sequence_) + numberSize(r.appliedRevision_)
                                 + 4;
                         },
                         [](const EndpointRecord& r) {
                             return textSize(r.id_.value_) + textSize(r.group_.value_) + textSize(r.address_)
                                 + textSize(r.dataCentre_.value_) + numberSize(r.slots_) + numberSize(r.connections_)
                                 + numberSize(r.promisedTerm_) + numberSize(r.started_) + numberSize(r.sequence_) + 8;
                         },
                         [](const DrainRecord& r) { return textSize(r.endpoint_.value_) + numberSize(r.started_); },
                         [](const RouteRecord& r) {
                             return textSize(r.group_.value_) + numberSize(r.term_) + textSize(r.primary_.value_);
                         },
                         [](const GroupMembersRecord& r) {
                             auto size = textSize(r.group_.value_) + numberSize(r.epoch_);
                             for (const auto& member : r.members_)
                                 size += textSize(member.value_);
                             return size;
                         },
                     },
            record);
}

MergeResult mergeRecord(DirectoryState& state, const Record& record)
{
    const auto key = recordKey(record);
    const auto result = std::visit([&](const auto& value) { return merge(state, key, value); }, record);
    if (const auto* instance = std::get_if<InstanceRecord>(&record); instance && result != MergeResult::Ignored)
        mergeAppliedRevision(state, instance->id_, instance->appliedRevision_);
    return result;
}

bool mergeAppliedRevision(DirectoryState& state, const InstanceId& id, std::uint64_t revision)
{
    state.settingsRevision_ = std::max(state.settingsRevision_, revision);
    const auto known = state.instances_.find(id);
    if (known == state.instances_.end() || known->second.appliedRevision_ >= revision)
        return false;
    known->second.appliedRevision_ = revision;
    return true;
}

void purgeRecord(DirectoryState& state, const RecordKey& key)
{
    switch (key.kind_) {
    case RecordKind::Instance:
        return purge(state, key, state.instances_);
    case RecordKind::Endpoint:
        purge(state, key, state.endpoints_);
        return purge(state, { RecordKind::Drain, key.id_ }, state.drains_);
    case RecordKind::Drain:
        return purge(state, key, state.drains_);
    case RecordKind::Route:
        return purge(state, key, state.routes_);
    case RecordKind::GroupMembers:
        return purge(state, key, state.groupMembers_);
    }
}

std::optional<Record> findRecord(const DirectoryState& state, const RecordKey& key)
{
    switch (key.kind_) {
    case RecordKind::Instance:
        return find(state.instances_, key.id_);
    case RecordKind::Endpoint:
        return find(state.endpoints_, key.id_);
    case RecordKind::Drain:
        return find(state.drains_, key.id_);
    case RecordKind::Route:
        return find(state.routes_, key.id_);
    case RecordKind::GroupMembers:
        return find(state.groupMembers_, key.id_);
    }
    return std::nullopt;
}

bool isAnnounced(const DirectoryState& state, const EndpointRecord& record)
{
    return !record.expired_ && (record.announcedOutside_ || !state.unreachable_.contains(record.dataCentre_));
}

bool differsBeyondSequence(const EndpointRecord& known, const EndpointRecord& announced)
{
    auto comparable = announced;
    comparable.sequence_ = known.sequence_;
    return comparable != known;
}

std::vector<std::size_t> differingBuckets(const Digest& first, const Digest& second)
{
    std::vector<std::size_t> buckets;
    for (std::size_t i = 0; i < digestBuckets; ++i) {
        if (first[i] != second[i])
            buckets.push_back(i);
    }
    return buckets;
}

std::vector<Record> recordsOfBucket(const DirectoryState& state, std::size_t bucket)
{
    std::vector<Record> records;
    for (const auto& key : state.buckets_.at(bucket)) {
        if (auto record = findRecord(state, key))
            records.push_back(*std::move(record));
    }
    return records;
}

std::vector<EndpointRecord> endpointsOfGroup(const DirectoryState& state, const GroupId& group)
{
    std::vector<EndpointRecord> endpoints;
    if (const auto ids = state.byGroup_.find(group); ids != state.byGroup_.end()) {
        for (const auto& id : ids->second) {
            if (const auto& endpoint = state.endpoints_.at(id); isAnnounced(state, endpoint))
                endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

std::optional<EndpointRecord> findEndpoint(const DirectoryState& state, const EndpointId& id)
{
    auto endpoint = lookUp(state.endpoints_, id);
    if (endpoint && !isAnnounced(state, *endpoint))
        return std::nullopt;
    return endpoint;
}

bool isLeaving(const DirectoryState& state, const EndpointId& id)
{
    const auto endpoint = state.endpoints_.find(id);
    if (endpoint == state.endpoints_.end())
        return false;
    const auto drain = state.drains_.find(id);
    return endpoint->second.leaving_
        || (drain != state.drains_.end() && drain->second.started_ >= endpoint->second.started_);
}

std::optional<RouteRecord> routeOf(const DirectoryState& state, const GroupId& group)
{
    return lookUp(state.routes_, group);
}

std::optional<GroupMembersRecord> membersOf(const DirectoryState& state, const GroupId& group)
{
    return lookUp(state.groupMembers_, group);
}

std::vector<InstanceRecord> liveInstances(const DirectoryState& state, const std::optional<DataCentre>& dataCentre)
{
    std::vector<InstanceRecord> instances;
    for (const auto& [id, record] : state.instances_) {
        if (!isEnded(record) && (!dataCentre || record.dataCentre_ == *dataCentre))
            instances.push_back(record);
    }
    return instances;
}

std::vector<InstanceRecord> laggingInstances(const DirectoryState& state, std::uint64_t revision)
{
    auto instances = liveInstances(state);
    std::erase_if(instances, [revision](const InstanceRecord& record) { return record.appliedRevision_ >= revision; });
    return instances;
}

} // namespace cassiahollow
