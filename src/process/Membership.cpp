#include "cassiahollow/process/Membership.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <xxhash.h>

namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    /// Number of receivers of an Update message. Each receiver forwards new records in the same way, so with 4
    /// receivers about 98 % of all instances have a record after a few message delays; pings carry it to the rest.
    constexpr std::size_t updateReceivers = 4;
    /// Minimum time between two rounds of Update messages, so that concurrent changes share messages.
    constexpr Duration updateInterval = 100ms;
    /// Number of receivers of a new settings revision in each data centre (section 9 of the design).
    constexpr std::size_t settingsReceivers = 3;
    constexpr Duration pullInterval = 1s;
    /// Interval of contact attempts while no other instance is known, and of repairs until the first one is complete.
    constexpr Duration joinInterval = 1s;
    constexpr Duration joinRepairInterval = 200ms;
    /// Interval of repairs after an incomplete repair or after an instance has returned.
    constexpr Duration catchUpInterval = 2s;
    /// Maximum number of repair messages of 1,200 bytes in one direction of a repair. With 8 messages a repair every 2
    /// s takes about half of the 11 KB/s that are allowed for control traffic.
    constexpr std::size_t repairMessages = 8;
    constexpr std::size_t revisionsPerMessage = 100;
    constexpr Duration purgeInterval = 60s;

    bool isLive(InstanceStatus status)
    {
        return status == InstanceStatus::Alive || status == InstanceStatus::Suspect;
    }

    std::uint32_t instanceHash(const InstanceId& id)
    {
        return static_cast<std::uint32_t>(XXH3_64bits(id.value_.data(), id.value_.size()));
    }

    /// Returns true if the first announcement was made after the second.
    bool isLaterAnnouncement(const EndpointRecord& first, const EndpointRecord& second)
    {
        return std::pair(first.started_, first.sequence_) > std::pair(second.started_, second.sequence_);
    }

    /// State, time and resulting actions of one call of step.
    struct Context {
        MembershipState& state_;
        TimePoint now_;
        std::vector<MembershipAction>& actions_;
    };

    /// Returns ceil(log2(n + 1)) for n live instances, including this one.
    std::uint32_t clusterSizeLog2(const MembershipState& state)
    {
        return static_cast<std::uint32_t>(std::bit_width(state.probeOrder_.size() + 1));
    }

    const InstanceRecord* findInstance(const MembershipState& state, const InstanceId& id)
    {
        const auto known = state.directory_.instances_.find(id);
        return known == state.directory_.instances_.end() ? nullptr : &known->second;
    }

    void enqueue(Context& context, const RecordKey& key)
    {
        auto& state = context.state_;
        if (const auto position = state.queuePositions_.find(key); position != state.queuePositions_.end())
            state.queue_.erase(position->second);
        const MembershipState::QueuePosition position { 0, state.nextChange_-- };
        state.queue_.emplace(position, key);
        state.queuePositions_.insert_or_assign(key, position);
    }

    void enqueueRevision(Context& context, const InstanceId& id, std::uint64_t revision)
    {
        if (revision > 0)
            context.state_.queuedRevisions_.push_back({ id, revision, 0 });
    }

    /// Picks at random up to `count` distinct live instances that satisfy the condition.
    template <typename Condition>
    std::vector<const InstanceRecord*> pickLive(MembershipState& state, std::size_t count, Condition condition)
    {
        std::vector<const InstanceRecord*> picked;
        const auto consider = [&](std::size_t index) {
            const auto* record = findInstance(state, state.probeOrder_[index]);
            if (record && condition(*record) && std::find(picked.begin(), picked.end(), record) == picked.end())
                picked.push_back(record);
        };
        const auto size = state.probeOrder_.size();
        if (size == 0)
            return picked;
        // A few random positions suffice in a large cluster where most instances satisfy the condition.
        for (std::size_t attempt = 0; attempt < 2 * count + 4 && picked.size() < count; ++attempt)
            consider(state.random_() % size);
        const auto first = state.random_() % size;
        for (std::size_t i = 0; i < size && picked.size() < count; ++i)
            consider((first + i) % size);
        return picked;
    }

    const auto anyInstance = [](const InstanceRecord&) { return true; };

    void fillRecords(Context& context, MembershipMessage& message, const InstanceId& receiver)
    {
        auto& state = context.state_;
        auto left = state.settings_.maxRecordBytes_;
        // The record of the receiver comes first, so that the receiver can refute a suspicion.
        if (const auto* known = findInstance(state, receiver); known && known->status_ != InstanceStatus::Alive) {
            message.records_.emplace_back(*known);
            left -= std::min(left, recordSizeBound(*known));
        }
        std::vector<std::pair<MembershipState::QueuePosition, RecordKey>> sent;
        constexpr std::size_t smallestRecord = 20;
        for (auto position = state.queue_.begin(); position != state.queue_.end() && left >= smallestRecord;) {
            auto record = findRecord(state.directory_, position->second);
            const auto size = record ? recordSizeBound(*record) : 0;
            // A record above the limit, such as a long member list, is the only record of its message.
            if (record && size > left && !message.records_.empty())
                break;
            if (record) {
                left -= std::min(left, size);
                message.records_.push_back(*std::move(record));
                sent.emplace_back(*position);
            } else
                state.queuePositions_.erase(position->second);
            position = state.queue_.erase(position);
        }
        const auto limit = 3 * clusterSizeLog2(state);
        for (auto& [position, key] : sent) {
            if (++position.sent_ >= limit) {
                state.queuePositions_.erase(key);
                continue;
            }
            state.queue_.emplace(position, key);
            state.queuePositions_.insert_or_assign(key, position);
        }

        constexpr std::size_t hashSize = 4;
        constexpr std::size_t groupHeaderSize = 20;
        const auto transmissionLimit = clusterSizeLog2(state) + 2;
        std::map<std::uint64_t, std::vector<std::uint32_t>> groups;
        for (std::size_t i = std::min(state.queuedRevisions_.size(), revisionsPerMessage); i > 0; --i) {
            auto queued = std::move(state.queuedRevisions_.front());
            const bool newGroup = !groups.contains(queued.revision_);
            const auto size = hashSize + (newGroup ? groupHeaderSize : 0);
            if (size > left)
                break;
            state.queuedRevisions_.pop_front();
            const auto* known = findInstance(state, queued.instance_);
            if (!known || known->appliedRevision_ > queued.revision_)
                continue; // A later revision of the same instance is queued.
            left -= size;
            groups[queued.revision_].push_back(instanceHash(queued.instance_));
            if (++queued.sent_ < transmissionLimit)
                state.queuedRevisions_.push_back(std::move(queued));
        }
        for (auto& [revision, instances] : groups)
            message.appliedRevisions_.push_back({ revision, std::move(instances) });
    }

    MembershipMessage makeMessage(const MembershipState& state, MembershipMessageKind kind, std::uint64_t number)
    {
        MembershipMessage message;
        message.kind_ = kind;
        message.number_ = number;
        message.sender_ = state.self_;
        return message;
    }

    void send(Context& context, const std::string& address, MembershipMessage message)
    {
        context.actions_.emplace_back(SendMembershipMessage { address, std::move(message) });
    }

    void sendWithRecords(Context& context, MembershipMessageKind kind, std::uint64_t number, const InstanceId& receiver,
        const std::string& address)
    {
        auto message = makeMessage(context.state_, kind, number);
        fillRecords(context, message, receiver);
        send(context, address, std::move(message));
    }

    void sendDigest(Context& context, const std::string& address)
    {
        auto& state = context.state_;
        auto message = makeMessage(state, MembershipMessageKind::Digest, state.nextNumber_++);
        message.digest_.assign(state.directory_.digest_.begin(), state.directory_.digest_.end());
        send(context, address, std::move(message));
    }

    /// Stores the changed record of this instance as a newer version and disseminates it.
    void publishSelf(Context& context)
    {
        auto& state = context.state_;
        ++state.self_.sequence_;
        mergeRecord(state.directory_, state.self_);
        enqueue(context, { RecordKind::Instance, state.self_.id_.value_ });
        if (isLive(state.self_.status_) && !state.self_.draining_)
            addEligible(state.holders_, state.self_.id_, state.self_.dataCentre_, context.now_);
        else
            removeEligible(state.holders_, state.self_.id_, context.now_);
    }

    /// Overrides a received record of this instance that is newer than its own by a record with a still newer version.
    void refute(Context& context, const InstanceRecord& record)
    {
        auto& self = context.state_.self_;
        if (self.status_ == InstanceStatus::Leaving || record.incarnation_ < self.incarnation_)
            return;
        if (record.incarnation_ > self.incarnation_) {
            // The incarnation of this start is too low, for example because the clock of the machine was set back.
            self.incarnation_ = record.incarnation_ + 1;
            self.sequence_ = 0;
        } else if (std::pair(record.sequence_, record.status_) <= std::pair(self.sequence_, self.status_))
            return;
        else
            self.sequence_ = record.sequence_;
        publishSelf(context);
    }

    void startProbing(MembershipState& state, const InstanceId& id)
    {
        // Insert at a random position among those not yet probed in this round; SWIM does so to bound the detection
        // time.
        const auto size = state.probeOrder_.size();
        const auto first = std::min(state.probeIndex_, size);
        const auto position = first + state.random_() % (size - first + 1);
        state.probeOrder_.insert(state.probeOrder_.begin() + static_cast<std::ptrdiff_t>(position), id);
    }

    void stopProbing(MembershipState& state, const InstanceId& id)
    {
        const auto position = std::find(state.probeOrder_.begin(), state.probeOrder_.end(), id);
        if (position == state.probeOrder_.end())
            return;
        if (static_cast<std::size_t>(position - state.probeOrder_.begin()) < state.probeIndex_)
            --state.probeIndex_;
        state.probeOrder_.erase(position);
        if (state.probe_ && state.probe_->target_ == id)
            state.probe_.reset();
    }

    void applyEndpoint(Context&, const EndpointRecord&, bool spread);

    /// `spread` is false for records that a joining instance receives in a repair, because all others have them.
    void applyInstance(Context& context, const InstanceRecord& record, bool spread)
    {
        auto& state = context.state_;
        if (record.id_ == state.self_.id_)
            return refute(context, record);
        const auto* known = findInstance(state, record.id_);
        const auto before = known ? std::optional(*known) : std::nullopt;
        const auto result = mergeRecord(state.directory_, record);
        if (result == MergeResult::Ignored)
            return;
        const auto& current = *findInstance(state, record.id_);
        if (spread && before && current.appliedRevision_ > before->appliedRevision_)
            enqueueRevision(context, current.id_, current.appliedRevision_);
        if (result != MergeResult::Newer)
            return;
        const RecordKey key { RecordKind::Instance, record.id_.value_ };
        if (spread)
            enqueue(context, key);
        const bool wasLive = before && isLive(before->status_);
        const bool nowLive = isLive(current.status_);
        if (nowLive && !wasLive) {
            startProbing(state, current.id_);
            state.instancesByHash_[instanceHash(current.id_)] = current.id_;
            state.endedAt_.erase(key);
        } else if (!nowLive) {
            stopProbing(state, current.id_);
            state.endedAt_.insert_or_assign(key, context.now_);
        }
        if (current.status_ == InstanceStatus::Suspect)
            state.suspicions_.insert_or_assign(current.id_, context.now_ + state.settings_.suspicionTime_);
        else
            state.suspicions_.erase(current.id_);
        if (nowLive && !current.draining_)
            addEligible(state.holders_, current.id_, current.dataCentre_, context.now_);
        else
            removeEligible(state.holders_, current.id_, context.now_);
        if (spread && before && (current.status_ == InstanceStatus::Leaving || current.draining_ != before->draining_))
            state.updateDue_ = true;
        if (!before || before->status_ != current.status_ || before->incarnation_ != current.incarnation_)
            context.actions_.emplace_back(InstanceChanged { current.id_, current.status_, current.incarnation_ });
        if (!before || before->draining_ != current.draining_ || before->address_ != current.address_
            || before->dataCentre_ != current.dataCentre_)
            context.actions_.emplace_back(RecordChanged { key });
    }

    /// Publishes the latest announcement if it was received within half of the lifetime and is later than the expiry
    /// that another instance reports: that instance was cut off from the endpoint. An older announcement would only
    /// delay the expiry of an endpoint that has stopped. Returns true if it published.
    bool refuteExpiry(Context& context, const EndpointRecord& record)
    {
        auto& state = context.state_;
        const auto announcement = state.announcements_.find(record.id_);
        if (announcement == state.announcements_.end() || !isLaterAnnouncement(announcement->second.record_, record)
            || context.now_ >= announcement->second.receivedAt_ + state.settings_.announcementLifetime_ / 2)
            return false;
        const auto live = announcement->second.record_;
        applyEndpoint(context, live, true);
        return true;
    }

    void applyEndpoint(Context& context, const EndpointRecord& record, bool spread)
    {
        auto& state = context.state_;
        if (record.expired_ && refuteExpiry(context, record))
            return;
        const bool wasLeaving = isLeaving(state.directory_, record.id_);
        if (mergeRecord(state.directory_, record) != MergeResult::Newer)
            return;
        const RecordKey key { RecordKind::Endpoint, record.id_.value_ };
        context.actions_.emplace_back(RecordChanged { key });
        if (spread) {
            enqueue(context, key);
            state.updateDue_ |= record.leaving_ && !wasLeaving;
        }
        if (record.expired_) {
            state.endedAt_.insert_or_assign(key, context.now_);
            removeEndpoint(state.holders_, record.id_, context.now_);
            return;
        }
        state.endedAt_.erase(key);
        if (isAnnounced(state.directory_, record))
            addEndpoint(state.holders_, record.id_, record.dataCentre_, context.now_);
        else
            removeEndpoint(state.holders_, record.id_, context.now_);
        const auto announcement = state.announcements_.find(record.id_);
        if (announcement == state.announcements_.end() || isLaterAnnouncement(record, announcement->second.record_))
            state.announcements_.insert_or_assign(
                record.id_, MembershipState::ReceivedAnnouncement { record, context.now_ });
    }

    template <typename Other> void applyOther(Context& context, const Other& record, bool spread)
    {
        if (mergeRecord(context.state_.directory_, record) != MergeResult::Newer)
            return;
        const auto key = recordKey(record);
        context.actions_.emplace_back(RecordChanged { key });
        if (!spread)
            return;
        enqueue(context, key);
        context.state_.updateDue_ = true;
    }

    void applyRecord(Context& context, const Record& record, bool spread)
    {
        if (const auto* instance = std::get_if<InstanceRecord>(&record))
            applyInstance(context, *instance, spread);
        else if (const auto* endpoint = std::get_if<EndpointRecord>(&record))
            applyEndpoint(context, *endpoint, spread);
        else
            applyOther(context, record, spread);
    }

    void applyAnnouncement(Context& context, EndpointRecord record, bool forward)
    {
        auto& state = context.state_;
        record.expired_ = false;
        record.announcedOutside_ = !state.holders_.eligible_.contains(record.dataCentre_);
        const auto known = state.directory_.endpoints_.find(record.id_);
        if (known != state.directory_.endpoints_.end() && !isLaterAnnouncement(record, known->second))
            return;
        if (const auto announcement = state.announcements_.find(record.id_);
            announcement != state.announcements_.end() && !isLaterAnnouncement(record, announcement->second.record_))
            return;
        state.announcements_.insert_or_assign(
            record.id_, MembershipState::ReceivedAnnouncement { record, context.now_ });
        if (known == state.directory_.endpoints_.end() || differsBeyondSequence(known->second, record))
            applyEndpoint(context, record, true);
        if (!forward)
            return;
        const auto holder = holderOf(state.holders_, record.id_);
        if (!holder || *holder == state.self_.id_)
            return;
        auto message = makeMessage(state, MembershipMessageKind::Announcement, 0);
        message.records_.emplace_back(std::move(record));
        send(context, findInstance(state, *holder)->address_, std::move(message));
    }

    /// Requests the settings tree if a revision above the applied one is known. The sender of a message with a revision
    /// that has not been requested is preferred; a request without a response is repeated to another instance.
    void pullSettings(Context& context, const InstanceRecord* sender)
    {
        auto& state = context.state_;
        const auto own = state.self_.appliedRevision_;
        if (state.directory_.settingsRevision_ <= own)
            return;
        const InstanceRecord* from = nullptr;
        if (sender && sender->appliedRevision_ > std::max(own, state.pulledRevision_))
            from = sender;
        else if (context.now_ >= state.pullAt_) {
            const auto candidates = pickLive(state, state.probeOrder_.size(),
                [own](const InstanceRecord& record) { return record.appliedRevision_ > own; });
            for (const auto* candidate : candidates) {
                if (!from || candidate->appliedRevision_ > from->appliedRevision_)
                    from = candidate;
            }
            state.pullAt_ = context.now_ + pullInterval;
        }
        if (!from)
            return;
        state.pulledRevision_ = from->appliedRevision_;
        state.pullAt_ = context.now_ + pullInterval;
        context.actions_.emplace_back(PullSettings { from->id_, from->address_, from->appliedRevision_ });
    }

    /// Sends the records of the buckets in at most repairMessages messages. The order of the buckets is random, so that
    /// repeated repairs cover all of them.
    void sendRepair(Context& context, const std::string& address, std::uint64_t number,
        std::vector<std::size_t> buckets, bool withDigest)
    {
        auto& state = context.state_;
        std::shuffle(buckets.begin(), buckets.end(), state.random_);
        auto message = makeMessage(state, MembershipMessageKind::Repair, number);
        std::size_t size = 0;
        std::size_t messages = 1;
        for (const auto bucket : buckets) {
            auto records = recordsOfBucket(state.directory_, bucket);
            std::size_t bucketSize = 0;
            for (const auto& record : records)
                bucketSize += recordSizeBound(record);
            if (messages == repairMessages && size + bucketSize > state.settings_.maxRecordBytes_) {
                message.incomplete_ = true;
                break;
            }
            for (auto& record : records) {
                const auto recordSize = recordSizeBound(record);
                if (!message.records_.empty() && size + recordSize > state.settings_.maxRecordBytes_) {
                    send(context, address, std::move(message));
                    message = makeMessage(state, MembershipMessageKind::Repair, number);
                    size = 0;
                    ++messages;
                }
                size += recordSize;
                message.records_.push_back(std::move(record));
            }
        }
        if (withDigest)
            message.digest_.assign(state.directory_.digest_.begin(), state.directory_.digest_.end());
        send(context, address, std::move(message));
    }

    std::vector<std::size_t> bucketsToRepair(const MembershipState& state, const MembershipMessage& message)
    {
        Digest peerDigest {};
        std::copy_n(message.digest_.begin(), std::min(message.digest_.size(), peerDigest.size()), peerDigest.begin());
        return differingBuckets(state.directory_.digest_, peerDigest);
    }

    void receiveRepair(Context& context, const MembershipMessage& message)
    {
        auto& state = context.state_;
        if (!message.digest_.empty()) {
            if (auto buckets = bucketsToRepair(state, message); !buckets.empty())
                sendRepair(context, message.sender_.address_, message.number_, std::move(buckets), false);
        }
        if (message.incomplete_)
            state.repairAt_
                = std::min(state.repairAt_, context.now_ + (state.synced_ ? catchUpInterval : joinRepairInterval));
        else if (!message.digest_.empty() || message.records_.empty())
            state.synced_ = true;
    }

    void receiveAck(Context& context, const MembershipMessage& message)
    {
        auto& state = context.state_;
        if (state.probe_ && state.probe_->number_ == message.number_
            && (message.sender_.id_ == state.probe_->target_ || message.target_ == state.probe_->target_))
            state.probe_.reset();
        const auto relay = state.relays_.find(message.number_);
        if (relay == state.relays_.end() || relay->second.target_ != message.sender_.id_)
            return;
        auto response = makeMessage(state, MembershipMessageKind::Ack, relay->second.originNumber_);
        response.target_ = relay->second.target_;
        fillRecords(context, response, {});
        send(context, relay->second.origin_, std::move(response));
        state.relays_.erase(relay);
    }

    void receive(Context& context, const MembershipMessage& message)
    {
        auto& state = context.state_;
        const auto& sender = message.sender_;
        const auto* known = findInstance(state, sender.id_);
        if (sender.id_ == state.self_.id_ || (known && known->incarnation_ > sender.incarnation_)) {
            context.actions_.emplace_back(MembershipMessageDropped { Reason::MessageStaleIncarnation, sender.id_ });
            return;
        }
        const bool wasDead = known && known->status_ == InstanceStatus::Dead;
        applyInstance(context, sender, true);
        known = findInstance(state, sender.id_);
        if (!known)
            return; // A leaving instance without a record here.
        const bool spread = message.kind_ != MembershipMessageKind::Repair || state.synced_;
        if (message.kind_ == MembershipMessageKind::Announcement) {
            for (const auto& record : message.records_) {
                if (const auto* endpoint = std::get_if<EndpointRecord>(&record))
                    applyAnnouncement(context, *endpoint, false);
            }
        } else {
            for (const auto& record : message.records_)
                applyRecord(context, record, spread);
        }
        for (const auto& entry : message.appliedRevisions_) {
            for (const auto hash : entry.instances_) {
                const auto instance = state.instancesByHash_.find(hash);
                if (instance != state.instancesByHash_.end()
                    && mergeAppliedRevision(state.directory_, instance->second, entry.revision_))
                    enqueueRevision(context, instance->second, entry.revision_);
            }
        }
        switch (message.kind_) {
        case MembershipMessageKind::Ping:
            sendWithRecords(context, MembershipMessageKind::Ack, message.number_, sender.id_, sender.address_);
            break;
        case MembershipMessageKind::Ack:
            receiveAck(context, message);
            break;
        case MembershipMessageKind::PingRequest: {
            const auto number = state.nextNumber_++;
            state.relays_[number]
                = { message.target_, sender.address_, message.number_, context.now_ + state.settings_.probeInterval_ };
            sendWithRecords(context, MembershipMessageKind::Ping, number, message.target_, message.targetAddress_);
            break;
        }
        case MembershipMessageKind::Digest:
            if (auto buckets = bucketsToRepair(state, message); buckets.empty())
                sendRepair(context, sender.address_, message.number_, {}, false);
            else
                sendRepair(context, sender.address_, message.number_, std::move(buckets), true);
            break;
        case MembershipMessageKind::Repair:
            receiveRepair(context, message);
            break;
        case MembershipMessageKind::Update:
        case MembershipMessageKind::Announcement:
            break;
        }
        // At the end of a partition the records that both sides missed are repaired at once. The interval limits the
        // traffic: many instances return together, and a repair may take 11 KB in each direction.
        if (wasDead && known->status_ == InstanceStatus::Alive && context.now_ >= state.returnRepairAt_) {
            state.returnRepairAt_ = context.now_ + catchUpInterval;
            sendDigest(context, known->address_);
        }
        pullSettings(context, known);
    }

    void setStatus(Context& context, const InstanceId& id, InstanceStatus status)
    {
        const auto* known = findInstance(context.state_, id);
        if (!known)
            return;
        auto record = *known;
        record.status_ = status;
        applyInstance(context, record, true);
    }

    void probeNext(Context& context)
    {
        auto& state = context.state_;
        if (state.probe_) {
            const auto target = state.probe_->target_;
            state.probe_.reset();
            if (findInstance(state, target)->status_ == InstanceStatus::Alive)
                setStatus(context, target, InstanceStatus::Suspect);
        }
        state.probeAt_ = context.now_ + state.settings_.probeInterval_;
        if (state.probeOrder_.empty())
            return;
        if (state.probeIndex_ >= state.probeOrder_.size()) {
            std::shuffle(state.probeOrder_.begin(), state.probeOrder_.end(), state.random_);
            state.probeIndex_ = 0;
        }
        const auto& target = *findInstance(state, state.probeOrder_[state.probeIndex_++]);
        state.probe_ = { target.id_, state.nextNumber_++, context.now_ + state.settings_.ackTimeout_, state.probeAt_ };
        sendWithRecords(context, MembershipMessageKind::Ping, state.probe_->number_, target.id_, target.address_);
    }

    void probeIndirectly(Context& context)
    {
        auto& state = context.state_;
        auto& probe = *state.probe_;
        probe.indirect_ = true;
        const auto& target = *findInstance(state, probe.target_);
        for (const auto* relay : pickLive(state, state.settings_.indirectProbes_,
                 [&](const InstanceRecord& record) { return record.id_ != target.id_; })) {
            auto message = makeMessage(state, MembershipMessageKind::PingRequest, probe.number_);
            message.target_ = target.id_;
            message.targetAddress_ = target.address_;
            send(context, relay->address_, std::move(message));
        }
    }

    /// Pings a seed that is not among the live instances, or a dead instance. Both sides of a partition do so until it
    /// ends.
    void contactUnreachable(Context& context)
    {
        auto& state = context.state_;
        std::set<std::string> live { state.self_.address_ };
        std::vector<std::pair<std::string, InstanceId>> candidates;
        for (const auto& [id, record] : state.directory_.instances_) {
            if (isLive(record.status_))
                live.insert(record.address_);
            else if (record.status_ == InstanceStatus::Dead)
                candidates.emplace_back(record.address_, id);
        }
        for (const auto& seed : state.settings_.seeds_)
            candidates.emplace_back(seed, InstanceId());
        // A dead instance does not return at an address that a live instance uses now.
        std::erase_if(candidates, [&](const auto& entry) { return live.contains(entry.first); });
        const bool alone = state.probeOrder_.empty();
        std::shuffle(candidates.begin(), candidates.end(), state.random_);
        candidates.resize(std::min<std::size_t>(candidates.size(), alone ? 3 : 1));
        for (const auto& [address, id] : candidates)
            sendWithRecords(context, MembershipMessageKind::Ping, state.nextNumber_++, id, address);
        state.contactAt_ = context.now_ + (alone ? joinInterval : state.settings_.contactInterval_);
    }

    void repair(Context& context)
    {
        auto& state = context.state_;
        state.repairAt_ = context.now_ + (state.synced_ ? state.settings_.repairInterval_ : joinInterval);
        // Every third repair is with another data centre, so that records missing in a whole data centre are recovered.
        std::vector<const InstanceRecord*> peers;
        if (++state.repairCount_ % 3 == 0)
            peers = pickLive(
                state, 1, [&](const InstanceRecord& record) { return record.dataCentre_ != state.self_.dataCentre_; });
        if (peers.empty())
            peers = pickLive(state, 1, anyInstance);
        if (!peers.empty())
            sendDigest(context, peers.front()->address_);
    }

    TimePoint expiryOf(const MembershipState& state, const EndpointId& id)
    {
        // A holder in another data centre is cut off from that of the endpoint and cannot decide whether the endpoint
        // is alive, unless it receives the announcements.
        const auto& record = state.directory_.endpoints_.at(id);
        if (record.dataCentre_ != state.self_.dataCentre_ && !record.announcedOutside_)
            return TimePoint::max();
        auto last = std::max(holderSince(state.holders_, id).value_or(TimePoint {}), state.resumedAt_);
        if (const auto announcement = state.announcements_.find(id); announcement != state.announcements_.end())
            last = std::max(last, announcement->second.receivedAt_);
        return last + state.settings_.announcementLifetime_;
    }

    /// The holder of an endpoint receives its announcements and decides for all instances when it has expired.
    void expireHeldEndpoints(Context& context)
    {
        auto& state = context.state_;
        const std::vector<EndpointId> held(state.holders_.held_.begin(), state.holders_.held_.end());
        for (const auto& id : held) {
            if (context.now_ < expiryOf(state, id))
                continue;
            auto record = state.directory_.endpoints_.at(id);
            if (const auto announcement = state.announcements_.find(id);
                announcement != state.announcements_.end() && isLaterAnnouncement(announcement->second.record_, record))
                record.sequence_ = announcement->second.record_.sequence_;
            record.expired_ = true;
            applyEndpoint(context, record, true);
        }
    }

    void setUnreachable(Context& context, const DataCentre& dataCentre, bool unreachable)
    {
        auto& state = context.state_;
        if (unreachable ? !state.directory_.unreachable_.insert(dataCentre).second
                        : state.directory_.unreachable_.erase(dataCentre) == 0)
            return;
        for (const auto& [id, record] : state.directory_.endpoints_) {
            if (record.dataCentre_ != dataCentre || record.expired_ || record.announcedOutside_)
                continue;
            if (unreachable)
                removeEndpoint(state.holders_, id, context.now_);
            else
                addEndpoint(state.holders_, id, dataCentre, context.now_);
            context.actions_.emplace_back(RecordChanged { { RecordKind::Endpoint, id.value_ } });
        }
    }

    /// When a data centre is cut off, each instance expires the endpoints there locally, and restores them when an
    /// instance there returns. If holders disseminated the expiry, the side that was cut off would have to refute it
    /// for all its endpoints, which made the return three times as expensive (docs/membership.md).
    void updateUnreachableDataCentres(Context& context)
    {
        auto& state = context.state_;
        for (const auto& [dataCentre, endpoints] : state.holders_.byDataCentre_) {
            if (!state.holders_.eligible_.contains(dataCentre))
                state.emptySince_.try_emplace(dataCentre, context.now_);
        }
        for (auto empty = state.emptySince_.begin(); empty != state.emptySince_.end();) {
            if (state.holders_.eligible_.contains(empty->first)) {
                setUnreachable(context, empty->first, false);
                empty = state.emptySince_.erase(empty);
                continue;
            }
            if (context.now_ >= empty->second + state.settings_.announcementLifetime_)
                setUnreachable(context, empty->first, true);
            ++empty;
        }
    }

    void purgeEnded(Context& context)
    {
        auto& state = context.state_;
        state.purgeAt_ = context.now_ + purgeInterval;
        std::erase_if(state.endedAt_, [&](const auto& ended) {
            if (context.now_ < ended.second + state.settings_.deadRetention_)
                return false;
            purgeRecord(state.directory_, ended.first);
            if (ended.first.kind_ == RecordKind::Endpoint)
                state.announcements_.erase(EndpointId(ended.first.id_));
            else
                state.instancesByHash_.erase(instanceHash(InstanceId(ended.first.id_)));
            return true;
        });
    }

    void runTimers(Context& context)
    {
        auto& state = context.state_;
        const auto now = context.now_;
        std::erase_if(state.relays_, [now](const auto& relay) { return relay.second.until_ <= now; });
        updateUnreachableDataCentres(context);
        expireHeldEndpoints(context);
        if (now >= state.purgeAt_)
            purgeEnded(context);
        if (!state.started_ || state.self_.status_ == InstanceStatus::Leaving)
            return;
        std::vector<InstanceId> dead;
        for (const auto& [id, until] : state.suspicions_) {
            if (until <= now)
                dead.push_back(id);
        }
        for (const auto& id : dead)
            setStatus(context, id, InstanceStatus::Dead);
        if (state.probe_ && !state.probe_->indirect_ && now >= state.probe_->indirectAt_)
            probeIndirectly(context);
        if (now >= state.probeAt_)
            probeNext(context);
        if (now >= state.contactAt_)
            contactUnreachable(context);
        if (now >= state.repairAt_ && !state.probeOrder_.empty())
            repair(context);
        if (now >= state.pullAt_)
            pullSettings(context, nullptr);
    }

    void sendUpdates(Context& context)
    {
        auto& state = context.state_;
        if (!state.updateDue_ || context.now_ < state.nextUpdateAt_)
            return;
        state.updateDue_ = false;
        state.nextUpdateAt_ = context.now_ + updateInterval;
        for (const auto* peer : pickLive(state, updateReceivers, anyInstance))
            sendWithRecords(context, MembershipMessageKind::Update, 0, peer->id_, peer->address_);
    }

    /// A process that was suspended has itself missed the responses of its peers and the announcements. Suspicions are
    /// therefore extended by the time of the suspension, and expiry times start anew.
    void resumeAfterSuspension(Context& context)
    {
        auto& state = context.state_;
        const auto gap = context.now_ - state.lastStep_;
        if (state.lastStep_ == TimePoint {} || gap < state.settings_.probeInterval_ * 3 / 2)
            return;
        state.resumedAt_ = context.now_;
        state.probe_.reset();
        for (auto& [id, until] : state.suspicions_)
            until += gap;
    }

    void start(Context& context)
    {
        auto& state = context.state_;
        state.started_ = true;
        state.probeAt_ = context.now_ + state.settings_.probeInterval_;
        state.contactAt_ = context.now_;
        state.repairAt_ = context.now_;
        state.purgeAt_ = context.now_ + purgeInterval;
        publishSelf(context);
    }

    void applySettings(Context& context, const SettingsApplied& event)
    {
        auto& state = context.state_;
        if (event.revision_ <= state.self_.appliedRevision_)
            return;
        state.self_.appliedRevision_ = event.revision_;
        mergeAppliedRevision(state.directory_, state.self_.id_, event.revision_);
        state.directory_.settingsRevision_ = std::max(state.directory_.settingsRevision_, event.revision_);
        enqueueRevision(context, state.self_.id_, event.revision_);
        state.updateDue_ = true;
        if (!event.publish_)
            return;
        std::set<DataCentre> dataCentres;
        for (const auto& id : state.probeOrder_)
            dataCentres.insert(findInstance(state, id)->dataCentre_);
        for (const auto& dataCentre : dataCentres) {
            for (const auto* peer : pickLive(state, settingsReceivers,
                     [&](const InstanceRecord& record) { return record.dataCentre_ == dataCentre; }))
                sendWithRecords(context, MembershipMessageKind::Update, 0, peer->id_, peer->address_);
        }
    }

    struct EventHandler {
        Context& context_;

        void operator()(const MembershipStarted&) const { start(context_); }
        void operator()(const MembershipWakeup&) const { }
        void operator()(const MembershipReceived& event) const { receive(context_, event.message_); }
        void operator()(const EndpointAnnounced& event) const { applyAnnouncement(context_, event.record_, true); }
        void operator()(const EndpointDrainRequested& event) const
        {
            if (const auto endpoint = findEndpoint(context_.state_.directory_, event.endpoint_))
                applyRecord(context_, DrainRecord { endpoint->id_, endpoint->started_ }, true);
        }
        void operator()(const RoutePublished& event) const { applyRecord(context_, event.record_, true); }
        void operator()(const GroupMembersPublished& event) const { applyRecord(context_, event.record_, true); }
        void operator()(const SettingsApplied& event) const { applySettings(context_, event); }
        void operator()(const InstanceDrainRequested& event) const
        {
            if (context_.state_.self_.draining_ == event.draining_)
                return;
            context_.state_.self_.draining_ = event.draining_;
            publishSelf(context_);
            context_.state_.updateDue_ = true;
        }
        void operator()(const InstanceLeaveRequested&) const
        {
            if (context_.state_.self_.status_ == InstanceStatus::Leaving)
                return;
            context_.state_.self_.status_ = InstanceStatus::Leaving;
            publishSelf(context_);
            context_.state_.updateDue_ = true;
            context_.state_.nextUpdateAt_ = context_.now_;
        }
    };

} // namespace

MembershipState::MembershipState(MembershipSettings settings)
    : settings_(std::move(settings))
    , random_(settings_.randomSeed_)
{
    self_ = { settings_.id_, settings_.address_, settings_.dataCentre_, settings_.incarnation_, 0 };
    holders_.self_ = settings_.id_;
    // Numbers start at a random value, so that acks for an earlier start of this instance do not match new probes.
    nextNumber_ = random_() & 0x7fffffffU;
    mergeRecord(directory_, self_);
    instancesByHash_[instanceHash(self_.id_)] = self_.id_;
}

std::vector<MembershipAction> step(MembershipState& state, const MembershipEvent& event, TimePoint now)
{
    std::vector<MembershipAction> actions;
    Context context { state, now, actions };
    resumeAfterSuspension(context);
    std::visit(EventHandler { context }, event);
    runTimers(context);
    sendUpdates(context);
    for (auto& change : takeRoleChanges(state.holders_))
        actions.emplace_back(std::move(change));
    state.lastStep_ = now;
    return actions;
}

TimePoint nextWakeup(const MembershipState& state)
{
    auto next = state.lastStep_ + state.settings_.probeInterval_;
    const auto consider = [&next](TimePoint at) { next = std::min(next, at); };
    for (const auto& id : state.holders_.held_)
        consider(expiryOf(state, id));
    if (state.updateDue_)
        consider(state.nextUpdateAt_);
    if (!state.started_ || state.self_.status_ == InstanceStatus::Leaving)
        return next;
    consider(state.probeAt_);
    consider(state.contactAt_);
    if (!state.probeOrder_.empty())
        consider(state.repairAt_);
    if (state.probe_ && !state.probe_->indirect_)
        consider(state.probe_->indirectAt_);
    for (const auto& [id, until] : state.suspicions_)
        consider(until);
    if (state.directory_.settingsRevision_ > state.self_.appliedRevision_)
        consider(state.pullAt_);
    return next;
}

std::vector<EndpointId> groupMemberIds(const MembershipState& state, const GroupId& group)
{
    if (auto members = membersOf(state.directory_, group))
        return std::move(members->members_);
    std::vector<EndpointId> ids;
    for (const auto& endpoint : endpointsOfGroup(state.directory_, group))
        ids.push_back(endpoint.id_);
    return ids;
}

std::vector<InstanceId> groupWatchers(const MembershipState& state, const GroupId& group)
{
    return watchersOf(state.holders_, groupMemberIds(state, group));
}

} // namespace cassiahollow
