#include "cassiahollow/version/ControlLog.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>

namespace cassiahollow {

namespace {

    // The maximum number of entries per message. A change has at most 256 KB, so the limit below rarely applies.
    constexpr std::size_t maximumAppendEntries = 256;
    // The number of operations after which a message takes no more entries, to bound its size.
    constexpr std::size_t maximumAppendOperations = 2000;
    // The typical size of an operation in bytes; converts the size of a catalog into operations.
    constexpr std::size_t operationBytes = 128;
    // A snapshot is a few megabytes at most and is resent only after this time.
    constexpr Duration snapshotResend = std::chrono::seconds(1);
    // Unreachable voters are removed only above this number, because two voters bear no loss.
    constexpr std::size_t minimumVoters = 3;
    // Bounds the recipients of hellos: the members of a few successive configurations.
    constexpr std::size_t maximumContacts = 4 * maximumControlVoters;
    // The number of hello intervals for which a hello stays valid, so that a lost one has no effect.
    constexpr int helloLifetime = 3;

    // The context of one call of step(): the state, the time, and the actions grouped by kind.
    struct Step {
        ControlLogState& state_;
        TimePoint now_;
        std::vector<PersistAction> persists_;
        std::vector<SendAction> sends_;
        std::vector<ControlAction> applies_;
        std::vector<ResponseAction> responses_;
    };

    std::optional<Term> termAt(const ControlStored& stored, std::uint64_t index)
    {
        if (index == 0)
            return 0;
        if (stored.snapshot_ && stored.snapshot_->last_.index_ == index)
            return stored.snapshot_->last_.term_;
        if (stored.entries_.empty() || index < stored.entries_.front().position_.index_
            || index > stored.entries_.back().position_.index_)
            return std::nullopt;
        return stored.entries_[index - stored.entries_.front().position_.index_].position_.term_;
    }

    const ControlEntry& entryAt(const ControlStored& stored, std::uint64_t index)
    {
        return stored.entries_[index - stored.entries_.front().position_.index_];
    }

    std::uint64_t configurationIndexOf(const ControlStored& stored)
    {
        for (auto entry = stored.entries_.rbegin(); entry != stored.entries_.rend(); ++entry) {
            if (std::holds_alternative<ControlConfiguration>(entry->body_))
                return entry->position_.index_;
        }
        return stored.snapshot_ ? stored.snapshot_->last_.index_ : 0;
    }

    bool isMember(const ControlConfiguration& configuration, const std::string& identity)
    {
        return std::any_of(configuration.members_.begin(), configuration.members_.end(),
            [&](const ControlMember& member) { return member.identity_ == identity; });
    }

    // Returns the latest configuration at an index below `end`, or null if there is none or it was compacted.
    const ControlConfiguration* configurationBefore(const ControlStored& stored, std::uint64_t end)
    {
        for (auto entry = stored.entries_.rbegin(); entry != stored.entries_.rend(); ++entry) {
            const auto* configuration = std::get_if<ControlConfiguration>(&entry->body_);
            if (configuration && entry->position_.index_ < end)
                return configuration;
        }
        return stored.snapshot_ && stored.snapshot_->last_.index_ < end ? &stored.snapshot_->configuration_ : nullptr;
    }

    // Returns whether the predicate holds for a majority of the voters.
    bool hasMajority(
        const ControlConfiguration& configuration, const std::function<bool(const std::string& identity)>& holds)
    {
        std::size_t voters = 0;
        std::size_t holding = 0;
        for (const auto& member : configuration.members_) {
            if (!member.voter_)
                continue;
            ++voters;
            holding += holds(member.identity_) ? 1 : 0;
        }
        return holding > voters / 2;
    }

    bool isLeader(const ControlLogState& state)
    {
        return state.role_ == ControlRole::Leader;
    }

    bool isOwnTermCommitted(const ControlLogState& state)
    {
        return isLeader(state) && termAt(state.stored_, state.commit_) == state.stored_.promise_.term_;
    }

    bool isRecent(TimePoint then, Duration age, TimePoint now)
    {
        return then != TimePoint() && now - then <= age;
    }

    // Returns whether the member is the leader itself or responded to it within the given time.
    bool respondedWithin(const Step& step, const std::string& identity, Duration silence)
    {
        if (identity == step.state_.identity_)
            return true;
        const auto progress = step.state_.progress_.find(identity);
        return progress != step.state_.progress_.end()
            && isRecent(progress->second.lastReceivedAt_, silence, step.now_);
    }

    bool isReachable(const Step& step, const std::string& identity)
    {
        return respondedWithin(step, identity, step.state_.options_.electionTimeout_);
    }

    // Returns whether this member leads or is in contact with a leader. It then grants no votes, so that a member that
    // returns from isolation does not disrupt a working cluster.
    bool hasActiveLeader(const Step& step)
    {
        const auto& state = step.state_;
        return isLeader(state)
            || (state.hasLeaderContact_ && step.now_ - state.leaderReceivedAt_ < state.options_.electionTimeout_);
    }

    // Sets a random deadline between `shortest` and twice `shortest` from now.
    void setElectionDeadline(Step& step, Duration shortest)
    {
        std::uniform_int_distribution<Duration::rep> extra(0, shortest.count());
        step.state_.electionDeadline_ = step.now_ + shortest + Duration(extra(step.state_.random_));
    }

    void resetElection(Step& step)
    {
        const auto& state = step.state_;
        // Before any leader is known, all members may have started together, so there is no leader to wait for.
        setElectionDeadline(
            step, state.hadLeader_ ? state.options_.electionTimeout_ : state.options_.electionTimeout_ / 3);
    }

    void refreshConfiguration(Step& step)
    {
        auto& state = step.state_;
        const auto* configuration = configurationOf(state.stored_);
        state.configuration_ = configuration ? std::optional(*configuration) : std::nullopt;
        state.configurationIndex_ = configurationIndexOf(state.stored_);
        if (!isLeader(state))
            return;
        std::erase_if(state.progress_, [&](const auto& item) { return !isMember(*state.configuration_, item.first); });
        for (const auto& member : state.configuration_->members_) {
            if (member.identity_ != state.identity_)
                state.progress_.try_emplace(member.identity_,
                    MemberProgress { .next_ = lastPosition(state.stored_).index_ + 1, .lastReceivedAt_ = step.now_ });
        }
    }

    // Updates the stored contents and records the update as an action.
    void persist(Step& step, PersistAction action)
    {
        applyPersist(step.state_.stored_, action);
        const bool changesConfiguration = action.snapshot_ || action.truncateFrom_
            || std::any_of(action.entries_.begin(), action.entries_.end(),
                [](const ControlEntry& e) { return std::holds_alternative<ControlConfiguration>(e.body_); });
        // Each action costs one synced write, so actions are merged where this preserves the order of their parts.
        if (!step.persists_.empty() && !action.snapshot_ && !action.truncateFrom_) {
            auto& last = step.persists_.back();
            std::move(action.entries_.begin(), action.entries_.end(), std::back_inserter(last.entries_));
            if (action.promise_)
                last.promise_ = std::move(action.promise_);
        } else {
            step.persists_.push_back(std::move(action));
        }
        if (changesConfiguration)
            refreshConfiguration(step);
    }

    template <typename Body> void send(Step& step, const InstanceId& recipient, std::string identity, Body body)
    {
        const auto& state = step.state_;
        step.sends_.push_back({ recipient,
            ControlMessage { state.configuration_ ? state.configuration_->cluster_ : std::string(), state.instance_,
                state.identity_, std::move(identity), state.stored_.promise_.term_, std::move(body) } });
    }

    template <typename Body> void reply(Step& step, const ControlMessage& message, Body body)
    {
        send(step, message.sender_, message.senderIdentity_, std::move(body));
    }

    void respond(Step& step, const RequestOrigin& origin, ChangeOutcome outcome,
        std::shared_ptr<const SettingsTree> settings = nullptr)
    {
        if (origin.instance_.empty())
            step.responses_.push_back({ origin.number_, std::move(outcome), std::move(settings) });
        else
            send(step, origin.instance_, {},
                ResponseMessage { origin.number_, std::move(outcome), std::move(settings) });
    }

    void respondToRead(Step& step, const RequestOrigin& origin)
    {
        auto settings = std::make_shared<const SettingsTree>(step.state_.control_.settings_);
        const auto revision = settings->revision_;
        respond(step, origin,
            { .outcome_ = Outcome::Done,
                .revision_ = revision,
                .decided_ = true,
                .catalogVersion_ = step.state_.control_.catalog_.version_ },
            std::move(settings));
    }

    void stepDown(Step& step)
    {
        auto& state = step.state_;
        // The next leader may still commit the entries, so their outcome is unknown.
        const bool rejects = state.options_.injectedFaults_.rejectPendingOnStepDown_;
        for (const auto& [index, origin] : state.pending_) {
            auto outcome = undecidedOutcome(
                Outcome::Unknown, Reason::ResponseLost, "the leader lost its majority before the change was confirmed");
            if (rejects)
                outcome = { .outcome_ = Outcome::NotRun, .reason_ = Reason::NoControlMajority, .decided_ = true };
            respond(step, origin, std::move(outcome));
        }
        for (const auto& read : state.reads_)
            respond(step, read.origin_,
                undecidedOutcome(Outcome::NotRun, Reason::NoControlMajority,
                    "the leader lost its majority before the read was confirmed"));
        state.pending_.clear();
        state.reads_.clear();
        state.progress_.clear();
    }

    // Becomes a follower in the given term. The leader of the term is identified by its first message.
    void becomeFollower(Step& step, Term term)
    {
        auto& state = step.state_;
        const bool wasLeader = isLeader(state);
        state.role_ = ControlRole::Follower;
        if (term > state.stored_.promise_.term_) {
            persist(step, { .promise_ = ControlPromise { term, {} } });
            state.leader_.reset();
            state.hasLeaderContact_ = false;
        }
        if (wasLeader) {
            stepDown(step);
            state.leader_.reset();
            state.hasLeaderContact_ = false;
            resetElection(step);
        }
    }

    void sendAppend(Step& step, const ControlMember& member)
    {
        auto& state = step.state_;
        auto& progress = state.progress_.at(member.identity_);
        const auto& stored = state.stored_;
        const auto last = lastPosition(stored);
        AppendRequest request { .commit_ = state.commit_, .round_ = state.round_ };
        const auto previousTerm = termAt(stored, progress.next_ - 1);
        const bool hasNext = progress.next_ > last.index_
            || (!stored.entries_.empty() && progress.next_ >= stored.entries_.front().position_.index_);
        if (!previousTerm || !hasNext) {
            // The entries were compacted. Between snapshot resends, a request that does not match maintains contact.
            if (!isRecent(progress.snapshotSentAt_, snapshotResend, step.now_)) {
                progress.snapshotSentAt_ = step.now_;
                send(step, member.instance_, member.identity_, SnapshotRequest { stored.snapshot_, state.round_ });
                return;
            }
            request.previous_ = last;
            send(step, member.instance_, member.identity_, std::move(request));
            return;
        }
        request.previous_ = { *previousTerm, progress.next_ - 1 };
        std::size_t operations = 0;
        while (progress.next_ <= last.index_ && request.entries_.size() < maximumAppendEntries
            && operations < maximumAppendOperations) {
            request.entries_.push_back(entryAt(stored, progress.next_++));
            if (const auto* change = std::get_if<ControlChange>(&request.entries_.back().body_)) {
                if (const auto* settings = std::get_if<SettingsChange>(&change->command_))
                    operations += settings->operations_.size();
                else if (const auto* catalog = std::get_if<CatalogChange>(&change->command_))
                    operations += catalog->catalog_.document_.size() / operationBytes;
            }
        }
        send(step, member.instance_, member.identity_, std::move(request));
    }

    void broadcast(Step& step)
    {
        auto& state = step.state_;
        ++state.round_;
        state.lastBroadcastAt_ = step.now_;
        for (const auto& member : state.configuration_->members_) {
            if (member.identity_ != state.identity_)
                sendAppend(step, member);
        }
    }

    void append(Step& step, decltype(ControlEntry::body_) body)
    {
        const auto& stored = step.state_.stored_;
        persist(
            step, { .entries_ = { { { stored.promise_.term_, lastPosition(stored).index_ + 1 }, std::move(body) } } });
    }

    void confirmReads(Step& step)
    {
        auto& state = step.state_;
        if (!isOwnTermCommitted(state))
            return;
        const bool isNew = std::any_of(
            state.reads_.begin(), state.reads_.end(), [](const PendingRead& read) { return read.round_ == 0; });
        if (isNew) {
            broadcast(step);
            for (auto& read : state.reads_) {
                if (read.round_ == 0)
                    read.round_ = state.round_;
            }
        }
        std::erase_if(state.reads_, [&](const PendingRead& read) {
            const bool confirmed = hasMajority(*state.configuration_, [&](const std::string& identity) {
                return identity == state.identity_ || state.progress_.at(identity).round_ >= read.round_;
            });
            if (confirmed)
                respondToRead(step, read.origin_);
            return confirmed;
        });
    }

    ChangeOutcome applyEntryChange(ControlLogState& state, const ControlChange& change)
    {
        const auto& faults = state.options_.injectedFaults_;
        auto copy = change;
        if (auto* settings = std::get_if<SettingsChange>(&copy.command_); settings && faults.ignoreExpectedRevision_)
            settings->expectedRevision_ = state.control_.settings_.revision_;
        if (faults.discardKeys_)
            state.control_.outcomes_.erase(copy.key_);
        return applyChange(state.control_, copy);
    }

    void takeSnapshot(Step& step)
    {
        auto& state = step.state_;
        const auto last = state.stored_.snapshot_ ? state.stored_.snapshot_->last_.index_ : 0;
        if (state.applied_ - last < state.options_.snapshotAfter_)
            return;
        // The latest configuration may come after the applied entries; the snapshot then excludes it.
        ControlConfiguration configuration;
        if (state.stored_.snapshot_)
            configuration = state.stored_.snapshot_->configuration_;
        for (auto index = std::max(last + 1, state.stored_.entries_.front().position_.index_); index <= state.applied_;
             ++index) {
            if (const auto* found = std::get_if<ControlConfiguration>(&entryAt(state.stored_, index).body_))
                configuration = *found;
        }
        const LogPosition position { *termAt(state.stored_, state.applied_), state.applied_ };
        const auto kept = std::min(state.options_.keptEntries_, state.applied_);
        persist(step,
            { .snapshot_ = std::make_shared<const ControlSnapshot>(
                  ControlSnapshot { position, std::move(configuration), state.control_ }),
                .keepFrom_ = state.applied_ - kept + 1 });
    }

    void reportSettings(Step& step)
    {
        step.applies_.emplace_back(
            ApplySettingsAction { std::make_shared<const SettingsTree>(step.state_.control_.settings_) });
    }

    void reportCatalog(Step& step)
    {
        step.applies_.emplace_back(
            ApplyCatalogAction { std::make_shared<const CatalogDocument>(step.state_.control_.catalog_) });
    }

    void applyCommitted(Step& step)
    {
        auto& state = step.state_;
        const auto before = state.control_.settings_.revision_;
        const auto catalogBefore = state.control_.catalog_.version_;
        std::set<GroupId> groups;
        while (state.applied_ < state.commit_) {
            const auto& entry = entryAt(state.stored_, ++state.applied_);
            std::optional<ChangeOutcome> outcome;
            if (const auto* change = std::get_if<ControlChange>(&entry.body_)) {
                outcome = applyEntryChange(state, *change);
                if (const auto* group = std::get_if<GroupMembersChange>(&change->command_))
                    groups.insert(group->group_);
            } else if (const auto* start = std::get_if<StartSettings>(&entry.body_)) {
                if (state.control_.settings_.revision_ == 0) {
                    state.control_.settings_ = start->tree_;
                    state.control_.settings_.revision_ = 1;
                }
            } else if (std::holds_alternative<ControlConfiguration>(entry.body_)) {
                outcome = { .outcome_ = Outcome::Done, .revision_ = state.applied_, .decided_ = true };
            }
            if (const auto waiting = state.pending_.find(state.applied_); waiting != state.pending_.end()) {
                respond(step, waiting->second, outcome.value_or(ChangeOutcome {}));
                state.pending_.erase(waiting);
            }
        }
        if (state.control_.settings_.revision_ != before)
            reportSettings(step);
        if (state.control_.catalog_.version_ != catalogBefore)
            reportCatalog(step);
        for (const auto& group : groups) {
            if (const auto found = state.control_.groups_.find(group); found != state.control_.groups_.end())
                step.applies_.emplace_back(ApplyGroupAction { found->first, found->second });
        }
        takeSnapshot(step);
    }

    // Reports where the catalog changes are durable that are about to be acknowledged, up to the index.
    void reportCommittedCatalogs(Step& step, std::uint64_t index)
    {
        const auto& state = step.state_;
        for (auto waiting = state.pending_.begin(); waiting != state.pending_.end() && waiting->first <= index;
             ++waiting) {
            const auto& entry = entryAt(state.stored_, waiting->first);
            const auto* change = std::get_if<ControlChange>(&entry.body_);
            const auto* catalog = change ? std::get_if<CatalogChange>(&change->command_) : nullptr;
            if (!catalog)
                continue;
            CatalogCommittedAction report { .version_ = catalog->catalog_.version_, .position_ = entry.position_ };
            for (const auto& member : state.configuration_->members_) {
                const bool isSynced = member.identity_ == state.identity_
                    || state.progress_.at(member.identity_).match_ >= waiting->first;
                (isSynced ? report.synced_ : report.unsynced_).push_back(member);
            }
            step.applies_.emplace_back(std::move(report));
        }
    }

    void advanceCommit(Step& step)
    {
        auto& state = step.state_;
        for (auto index = lastPosition(state.stored_).index_; index > state.commit_; --index) {
            // An entry of an older term can be replaced until an entry of the current term is committed after it.
            if (termAt(state.stored_, index) != state.stored_.promise_.term_)
                break;
            const bool isReplicated = state.options_.injectedFaults_.applyUncommitted_
                || hasMajority(*state.configuration_, [&](const std::string& identity) {
                       return identity == state.identity_ || state.progress_.at(identity).match_ >= index;
                   });
            if (!isReplicated)
                continue;
            state.commit_ = index;
            reportCommittedCatalogs(step, index);
            applyCommitted(step);
            break;
        }
        confirmReads(step);
        const bool removed
            = state.configurationIndex_ <= state.commit_ && !isVoter(*state.configuration_, state.identity_);
        if (removed) {
            // Sends the commit index to the others now, because this member sends no more heartbeats.
            broadcast(step);
            becomeFollower(step, state.stored_.promise_.term_);
        }
    }

    void propose(Step& step, decltype(ControlEntry::body_) body, const std::optional<RequestOrigin>& origin)
    {
        append(step, std::move(body));
        if (origin)
            step.state_.pending_.emplace(lastPosition(step.state_.stored_).index_, *origin);
        broadcast(step);
        advanceCommit(step);
    }

    void becomeLeader(Step& step)
    {
        auto& state = step.state_;
        state.role_ = ControlRole::Leader;
        state.hadLeader_ = true;
        state.leader_ = ControlMember { state.instance_, state.identity_, true };
        state.progress_.clear();
        refreshConfiguration(step);
        for (auto& [identity, progress] : state.progress_)
            progress.lastReceivedAt_ = step.now_;
        if (state.control_.settings_.revision_ == 0)
            propose(step, StartSettings { state.start_ }, std::nullopt);
        else
            propose(step, EmptyEntry {}, std::nullopt);
    }

    void countVotes(Step& step);

    void campaign(Step& step, ControlRole role)
    {
        auto& state = step.state_;
        state.role_ = role;
        state.leader_.reset();
        state.hasLeaderContact_ = false;
        state.votes_ = { state.identity_ };
        // A pre-vote has no side effects and is retried soon: the others may have received a later leader message.
        setElectionDeadline(step, state.options_.electionTimeout_ / (role == ControlRole::PreCandidate ? 4 : 2));
        if (role == ControlRole::Candidate)
            persist(step, { .promise_ = ControlPromise { state.stored_.promise_.term_ + 1, state.identity_ } });
        for (const auto& member : state.configuration_->members_) {
            if (!member.voter_ || member.identity_ == state.identity_)
                continue;
            if (role == ControlRole::Candidate) {
                send(step, member.instance_, member.identity_, VoteRequest { lastPosition(state.stored_) });
            } else {
                send(step, member.instance_, member.identity_, PreVoteRequest { lastPosition(state.stored_) });
                ++step.sends_.back().message_.term_;
            }
        }
        countVotes(step);
    }

    void countVotes(Step& step)
    {
        auto& state = step.state_;
        if (!hasMajority(*state.configuration_, [&](const std::string& id) { return state.votes_.contains(id); }))
            return;
        if (state.role_ == ControlRole::PreCandidate)
            campaign(step, ControlRole::Candidate);
        else if (state.role_ == ControlRole::Candidate)
            becomeLeader(step);
    }

    bool isFreshHello(const Step& step, const ReceivedHello& hello)
    {
        return isRecent(hello.receivedAt_, helloLifetime * step.state_.options_.helloInterval_, step.now_);
    }

    // The listed instance with the lowest id bootstraps the cluster once all listed instances have reported that they
    // have no configuration. All are required: with a majority, two members with empty disks could bootstrap a second
    // cluster while the third holds accepted changes.
    void bootstrapIfPossible(Step& step)
    {
        auto& state = step.state_;
        ControlConfiguration configuration;
        for (const auto& instance : state.listed_) {
            if (instance < state.instance_)
                return;
            if (instance == state.instance_) {
                configuration.members_.push_back({ instance, state.identity_, true });
                continue;
            }
            const auto hello = state.hellos_.find(instance);
            if (hello == state.hellos_.end() || hello->second.founded_ || !isFreshHello(step, hello->second))
                return;
            configuration.members_.push_back({ instance, hello->second.identity_, true });
        }
        if (!isVoter(configuration, state.identity_))
            return;
        char cluster[17];
        std::snprintf(cluster, sizeof(cluster), "%016llx", static_cast<unsigned long long>(state.random_()));
        configuration.cluster_ = cluster;
        // No other member can lead this term: all others lack a configuration and do not campaign.
        persist(step, { .promise_ = ControlPromise { state.stored_.promise_.term_ + 1, state.identity_ } });
        append(step, std::move(configuration));
        becomeLeader(step);
    }

    std::vector<InstanceId> configuredInstances(const ControlLogState& state)
    {
        std::vector<InstanceId> instances;
        if (state.configuration_) {
            for (const auto& member : state.configuration_->members_)
                instances.push_back(member.instance_);
        }
        return instances;
    }

    void addContacts(ControlLogState& state, const std::vector<InstanceId>& instances)
    {
        for (const auto& instance : instances) {
            if (state.contacts_.size() < maximumContacts)
                state.contacts_.insert(instance);
        }
    }

    void sendHello(Step& step)
    {
        auto& state = step.state_;
        if (!state.configuration_ && state.options_.mayFound_)
            bootstrapIfPossible(step);
        // A member that was removed while disconnected still has a configuration that contains it, but no leader.
        const bool isActiveMember
            = state.configuration_ && isMember(*state.configuration_, state.identity_) && hasActiveLeader(step);
        if (isActiveMember)
            state.contacts_.clear();
        if (isActiveMember || step.now_ < state.nextHelloAt_)
            return;
        state.nextHelloAt_ = step.now_ + state.options_.helloInterval_;
        auto recipients = state.contacts_;
        recipients.insert(state.listed_.begin(), state.listed_.end());
        const auto members = configuredInstances(state);
        recipients.insert(members.begin(), members.end());
        recipients.erase(state.instance_);
        for (const auto& instance : recipients)
            send(step, instance, {}, ControlHello { state.configuration_.has_value(), true, members });
    }

    bool mayChangeConfiguration(const ControlLogState& state)
    {
        return isOwnTermCommitted(state) && state.configurationIndex_ <= state.commit_;
    }

    // Returns whether the member is a learner that could vote now.
    bool isCaughtUp(const Step& step, const ControlMember& member)
    {
        return !member.voter_ && isReachable(step, member.identity_)
            && step.state_.progress_.at(member.identity_).match_ >= step.state_.commit_;
    }

    // Promotes a learner that has caught up to a voter. The member that it replaces is removed first in a separate
    // change, because consecutive configurations may differ by only one voter.
    bool promoteLearner(Step& step)
    {
        auto& state = step.state_;
        for (const auto& learner : state.configuration_->members_) {
            if (!isCaughtUp(step, learner))
                continue;
            auto next = *state.configuration_;
            const auto old = std::find_if(next.members_.begin(), next.members_.end(),
                [&](const ControlMember& m) { return m.voter_ && m.instance_ == learner.instance_; });
            if (old != next.members_.end()) {
                if (isReachable(step, old->identity_))
                    continue;
                next.members_.erase(old);
                if (voterCount(next.members_) == 0
                    || !hasMajority(next, [&](const std::string& identity) { return isReachable(step, identity); }))
                    continue;
            } else {
                if (voterCount(next.members_) >= maximumControlVoters)
                    continue;
                std::find(next.members_.begin(), next.members_.end(), learner)->voter_ = true;
            }
            propose(step, std::move(next), std::nullopt);
            return true;
        }
        return false;
    }

    // Returns how many of the voters that responded within `silence` may be lost while the others remain a majority.
    // Negative if they are no majority.
    std::ptrdiff_t bearableLosses(const Step& step, const ControlConfiguration& configuration, Duration silence)
    {
        std::ptrdiff_t responding = 0;
        for (const auto& member : configuration.members_)
            responding += member.voter_ && respondedWithin(step, member.identity_, silence) ? 1 : 0;
        const auto majority = static_cast<std::ptrdiff_t>(voterCount(configuration.members_) / 2 + 1);
        return responding - majority;
    }

    bool toleratesLosses(const Step& step, const ControlConfiguration& configuration, Duration silence)
    {
        return bearableLosses(step, configuration, silence)
            >= static_cast<std::ptrdiff_t>(step.state_.options_.toleratedLosses_);
    }

    // Returns the number of voters below which none is removed because it is silent or departs.
    std::size_t requiredVoters(const ControlLogState& state)
    {
        return std::max(minimumVoters, 2 * state.options_.toleratedLosses_ + 1);
    }

    // Returns the voters that sent no response within `silence` and can be spared, the longest silent first. So many
    // remain that every majority holds one disk more than may be lost.
    std::vector<std::string> spareVoters(const Step& step, Duration silence)
    {
        const auto& state = step.state_;
        std::vector<std::string> spare;
        for (const auto& member : state.configuration_->members_) {
            if (member.voter_ && !respondedWithin(step, member.identity_, silence))
                spare.push_back(member.identity_);
        }
        std::stable_sort(spare.begin(), spare.end(), [&](const std::string& one, const std::string& other) {
            return state.progress_.at(one).lastReceivedAt_ < state.progress_.at(other).lastReceivedAt_;
        });
        const auto voters = voterCount(state.configuration_->members_);
        spare.resize(std::min(spare.size(), voters - std::min(voters, requiredVoters(state))));
        return spare;
    }

    ControlConfiguration withoutMembers(ControlConfiguration configuration, const std::vector<std::string>& identities)
    {
        std::erase_if(configuration.members_, [&](const ControlMember& member) {
            return std::find(identities.begin(), identities.end(), member.identity_) != identities.end();
        });
        return configuration;
    }

    // Returns whether a learner could vote if a voter were removed.
    bool hasWaitingLearner(const Step& step)
    {
        const auto& members = step.state_.configuration_->members_;
        return voterCount(members) >= maximumControlVoters
            && std::any_of(
                members.begin(), members.end(), [&](const ControlMember& member) { return isCaughtUp(step, member); });
    }

    // Returns whether the removal of silent voters lets the others bear more losses, and they bear too few now.
    bool restoresTolerance(const Step& step, const std::vector<std::string>& silent)
    {
        const auto& state = step.state_;
        const auto silence = state.options_.restoreToleranceAfter_;
        return !toleratesLosses(step, *state.configuration_, silence)
            && bearableLosses(step, withoutMembers(*state.configuration_, silent), silence)
            > bearableLosses(step, *state.configuration_, silence);
    }

    // Removes a voter that has been unreachable for long, because its machine may be gone for good. It is removed soon
    // if the next losses would otherwise leave no majority, or if a learner waits for its place.
    bool removeUnreachableVoter(Step& step)
    {
        const auto& state = step.state_;
        const auto& options = state.options_;
        if (!options.admitsUnlisted_)
            return false;
        auto spare = spareVoters(step, options.restoreToleranceAfter_);
        if (!restoresTolerance(step, spare) && !hasWaitingLearner(step))
            spare = spareVoters(step, options.removeUnreachableAfter_);
        for (const auto& identity : spare) {
            auto next = withoutMembers(*state.configuration_, { identity });
            if (!hasMajority(next, [&](const std::string& voter) { return isReachable(step, voter); }))
                continue;
            propose(step, std::move(next), std::nullopt);
            return true;
        }
        return false;
    }

    // Removes a learner that has been unreachable for long. Otherwise, instances that are gone would stay in the
    // configuration for good: the leader sends to all of them, and hellos and feeds name them.
    bool removeUnreachableLearner(Step& step)
    {
        const auto& state = step.state_;
        if (!state.options_.admitsUnlisted_)
            return false;
        for (const auto& member : state.configuration_->members_) {
            if (member.voter_ || respondedWithin(step, member.identity_, state.options_.removeUnreachableAfter_))
                continue;
            propose(step, withoutMembers(*state.configuration_, { member.identity_ }), std::nullopt);
            return true;
        }
        return false;
    }

    // Admits as a learner the new identity of a member that lost its disk and, with admitsUnlisted_, an unlisted one.
    void admitNewIdentity(Step& step)
    {
        auto& state = step.state_;
        for (const auto& item : state.hellos_) {
            const auto& instance = item.first;
            const auto& hello = item.second;
            if (!isFreshHello(step, hello) || isMember(*state.configuration_, hello.identity_))
                continue;
            auto next = *state.configuration_;
            bool isKnown = false;
            bool isRunning = false;
            for (const auto& member : next.members_) {
                isKnown |= member.instance_ == instance;
                isRunning |= member.instance_ == instance && isReachable(step, member.identity_);
            }
            // An instance that also responds with its old identity runs twice; the operator has to stop one of them.
            if (isRunning || (!isKnown && !state.options_.admitsUnlisted_)
                || (hello.founded_ && hello.cluster_ != state.configuration_->cluster_))
                continue;
            std::erase_if(next.members_, [&](const auto& m) { return m.instance_ == instance && !m.voter_; });
            next.members_.push_back({ instance, hello.identity_, false });
            propose(step, std::move(next), std::nullopt);
            return;
        }
    }

    void leaderTick(Step& step)
    {
        auto& state = step.state_;
        if (!hasMajority(
                *state.configuration_, [&](const std::string& identity) { return isReachable(step, identity); })) {
            becomeFollower(step, state.stored_.promise_.term_);
            return;
        }
        if (mayChangeConfiguration(state) && !promoteLearner(step) && !removeUnreachableVoter(step)
            && !removeUnreachableLearner(step))
            admitNewIdentity(step);
        if (isLeader(state) && step.now_ - state.lastBroadcastAt_ >= state.options_.heartbeatInterval_)
            broadcast(step);
    }

    // Returns whether the member may become the leader. A leader that removes itself may have to finish this in a later
    // term: until the removal is committed, its log may be the newest one, and it votes for no other member then.
    bool mayCampaign(const ControlLogState& state)
    {
        if (!state.configuration_)
            return false;
        if (isVoter(*state.configuration_, state.identity_))
            return true;
        if (state.configurationIndex_ <= state.commit_)
            return false;
        const auto* previous = configurationBefore(state.stored_, state.configurationIndex_);
        return previous && isVoter(*previous, state.identity_);
    }

    void handleForwardedAsLeader(Step&);

    void handle(Step& step, const ControlTick&)
    {
        auto& state = step.state_;
        std::erase_if(state.forwarded_, [&](const auto& item) {
            const auto& request = item.second;
            if (step.now_ < request.deadline_)
                return false;
            respond(step, { {}, request.token_ },
                undecidedOutcome(request.isRead_ ? Outcome::NotRun : Outcome::Unknown,
                    request.isRead_ ? Reason::NoControlMajority : Reason::ResponseLost, "the leader did not answer"));
            return true;
        });
        sendHello(step);
        if (isLeader(state) && !state.forwarded_.empty())
            handleForwardedAsLeader(step);
        if (isLeader(state))
            leaderTick(step);
        else if (mayCampaign(state) && step.now_ >= state.electionDeadline_)
            campaign(step, ControlRole::PreCandidate);
    }

    void changeMembers(Step& step, const RequestOrigin& origin, const ControlMemberChange& change)
    {
        auto& state = step.state_;
        const auto refuse = [&](Reason reason, std::string detail) {
            respond(step, origin, undecidedOutcome(Outcome::NotRun, reason, std::move(detail)));
        };
        const auto isTarget = [&](const ControlMember& member) { return member.instance_ == change.instance_; };
        auto next = *state.configuration_;
        const bool isKnown = std::any_of(next.members_.begin(), next.members_.end(), isTarget);
        if (isKnown == change.add_) {
            respond(
                step, origin, { .outcome_ = Outcome::Done, .revision_ = state.configurationIndex_, .decided_ = true });
            return;
        }
        if (!mayChangeConfiguration(state))
            return refuse(Reason::QueueFull, "another change of the control members is not finished");
        if (change.add_) {
            const auto hello = state.hellos_.find(change.instance_);
            if (hello == state.hellos_.end() || !isFreshHello(step, hello->second)) {
                return refuse(Reason::SettingsInvalid,
                    "instance " + change.instance_.value_
                        + " has not announced itself; start it with a data folder and with this cluster's members in "
                          "control.members");
            }
            next.members_.push_back({ change.instance_, hello->second.identity_, false });
        } else {
            std::erase_if(next.members_, isTarget);
            const bool isBearable = voterCount(next.members_) >= requiredVoters(state)
                && toleratesLosses(step, next, state.options_.electionTimeout_);
            if (change.isDeparture_ && !isBearable)
                return refuse(Reason::NoControlMajority, "too few voting control members would remain");
            if (voterCount(next.members_) == 0)
                return refuse(Reason::SettingsInvalid, "the last voting control member cannot be removed");
            // Without a reachable majority, neither this change nor any later one could be committed.
            if (!hasMajority(next, [&](const std::string& identity) { return isReachable(step, identity); }))
                return refuse(Reason::NoControlMajority, "too few of the remaining control members are reachable");
        }
        propose(step, std::move(next), origin);
    }

    void handleAsLeader(Step& step, const RequestOrigin& origin, const ControlRequest& request)
    {
        auto& state = step.state_;
        const auto& faults = state.options_.injectedFaults_;
        if (std::holds_alternative<ControlRead>(request) && faults.readWithoutRound_)
            return respondToRead(step, origin);
        if (state.pending_.size() + state.reads_.size() >= state.options_.maximumPending_) {
            return respond(step, origin,
                undecidedOutcome(Outcome::NotRun, Reason::QueueFull, "too many requests wait for a majority"));
        }
        if (std::holds_alternative<ControlRead>(request)) {
            state.reads_.push_back({ origin });
            return confirmReads(step);
        }
        if (const auto* change = std::get_if<ControlMemberChange>(&request))
            return changeMembers(step, origin, *change);
        if (faults.respondAtAppend_) {
            auto copy = state.control_;
            respond(step, origin, applyChange(copy, std::get<ControlChange>(request)));
            return propose(step, std::get<ControlChange>(request), std::nullopt);
        }
        propose(step, std::get<ControlChange>(request), origin);
    }

    // Returns whether the request is well formed, and responds with a refusal otherwise.
    bool validateRequest(Step& step, const RequestOrigin& origin, const ControlRequest& request)
    {
        const auto* change = std::get_if<ControlChange>(&request);
        if (!change)
            return true;
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(checkChange(*change));
                return true;
            },
            [&](const Failure& failure) {
                respond(step, origin, undecidedOutcome(Outcome::NotRun, failure.reason_, failure.detail_));
                return false;
            },
            [] { return false; });
    }

    // A member that became the leader handles the requests that it had forwarded itself.
    void handleForwardedAsLeader(Step& step)
    {
        const auto forwarded = std::exchange(step.state_.forwarded_, {});
        for (const auto& [number, request] : forwarded)
            handleAsLeader(step, { {}, request.token_ }, request.request_);
    }

    void handle(Step& step, const LocalRequest& request)
    {
        auto& state = step.state_;
        const RequestOrigin origin { {}, request.token_ };
        if (!validateRequest(step, origin, request.request_))
            return;
        if (isLeader(state))
            return handleAsLeader(step, origin, request.request_);
        if (!state.leader_ || !hasActiveLeader(step)) {
            return respond(
                step, origin, undecidedOutcome(Outcome::NotRun, Reason::NoControlMajority, "no leader is known here"));
        }
        const auto number = state.nextNumber_++;
        state.forwarded_[number] = { request.request_, request.token_, step.now_ + state.options_.requestTimeout_,
            std::holds_alternative<ControlRead>(request.request_) };
        send(step, state.leader_->instance_, {}, RequestMessage { number, request.request_ });
    }

    void receive(Step& step, const ControlMessage& message, const RequestMessage& request)
    {
        auto& state = step.state_;
        const RequestOrigin origin { message.sender_, request.number_ };
        if (!validateRequest(step, origin, request.request_))
            return;
        if (isLeader(state))
            return handleAsLeader(step, origin, request.request_);
        respond(step, origin,
            undecidedOutcome(Outcome::NotRun, Reason::NotLeader,
                state.leader_ ? "the leader is " + state.leader_->instance_.value_ : "no leader is known here"));
    }

    void receive(Step& step, const ControlMessage&, const ResponseMessage& received)
    {
        auto& forwarded = step.state_.forwarded_;
        const auto request = forwarded.find(received.number_);
        if (request == forwarded.end())
            return; // Repeated, or later than the request's deadline.
        // A former leader decides nothing; the request is resent to the next leader once it is known.
        if (received.outcome_.reason_ == Reason::NotLeader && step.now_ < request->second.deadline_)
            return;
        auto outcome = request->second.isRead_ ? received.outcome_ : forwardedOutcome(received.outcome_);
        const auto token = request->second.token_;
        forwarded.erase(request);
        respond(step, { {}, token }, std::move(outcome), received.settings_);
    }

    void receive(Step& step, const ControlMessage& message, const ControlHello& hello)
    {
        auto& state = step.state_;
        if (message.senderIdentity_.empty())
            return;
        state.hellos_[message.sender_] = { message.senderIdentity_, message.cluster_, hello.founded_, step.now_ };
        // Bounds the memory for hellos of instances that are not part of the cluster.
        std::erase_if(state.hellos_, [&](const auto& item) { return !isFreshHello(step, item.second); });
        addContacts(state, hello.members_);
        if (hello.responseRequested_)
            reply(step, message, ControlHello { state.configuration_.has_value(), false, configuredInstances(state) });
    }

    void receive(Step& step, const ControlMessage& message, const PreVoteRequest& request)
    {
        auto& state = step.state_;
        const bool granted = !hasActiveLeader(step) && message.term_ > state.stored_.promise_.term_
            && request.last_ >= lastPosition(state.stored_);
        // Of two concurrent pre-candidates, the one with the higher identity yields to avoid a split vote.
        if (granted && state.role_ == ControlRole::PreCandidate && message.senderIdentity_ < state.identity_) {
            state.role_ = ControlRole::Follower;
            setElectionDeadline(step, state.options_.electionTimeout_ / 2);
        }
        reply(step, message, PreVoteResponse { granted });
        // A granted response carries the proposed term, which distinguishes it from responses to earlier pre-votes.
        if (granted)
            step.sends_.back().message_.term_ = message.term_;
    }

    void receive(Step& step, const ControlMessage& message, const PreVoteResponse& received)
    {
        auto& state = step.state_;
        const auto term = state.stored_.promise_.term_;
        if (!received.granted_) {
            if (message.term_ > term)
                becomeFollower(step, message.term_);
            return;
        }
        if (state.role_ != ControlRole::PreCandidate || message.term_ != term + 1)
            return;
        state.votes_.insert(message.senderIdentity_);
        countVotes(step);
    }

    void receive(Step& step, const ControlMessage& message, const VoteRequest& request)
    {
        auto& state = step.state_;
        if (hasActiveLeader(step))
            return;
        if (message.term_ > state.stored_.promise_.term_)
            becomeFollower(step, message.term_);
        const auto promise = state.stored_.promise_;
        const bool isFree = promise.vote_.empty() || promise.vote_ == message.senderIdentity_;
        const bool granted = message.term_ == promise.term_ && isFree && request.last_ >= lastPosition(state.stored_);
        if (granted) {
            if (promise.vote_ != message.senderIdentity_)
                persist(step, { .promise_ = ControlPromise { promise.term_, message.senderIdentity_ } });
            resetElection(step);
        }
        reply(step, message, VoteResponse { granted });
    }

    void receive(Step& step, const ControlMessage& message, const VoteResponse& received)
    {
        auto& state = step.state_;
        if (message.term_ > state.stored_.promise_.term_)
            return becomeFollower(step, message.term_);
        if (state.role_ != ControlRole::Candidate || message.term_ != state.stored_.promise_.term_
            || !received.granted_)
            return;
        state.votes_.insert(message.senderIdentity_);
        countVotes(step);
    }

    // Requests forwarded to an earlier leader may have been lost with it.
    void resendForwarded(Step& step)
    {
        const auto& state = step.state_;
        for (const auto& [number, request] : state.forwarded_)
            send(step, state.leader_->instance_, {}, RequestMessage { number, request.request_ });
    }

    // Accepts the sender as the leader of its term. Rejects the message and returns false if the term is outdated.
    bool acceptLeader(Step& step, const ControlMessage& message, std::uint64_t round)
    {
        auto& state = step.state_;
        if (message.term_ < state.stored_.promise_.term_) {
            reply(step, message, AppendResponse { false, lastPosition(state.stored_).index_, round });
            return false;
        }
        becomeFollower(step, message.term_);
        const bool isNew = !state.leader_ || state.leader_->identity_ != message.senderIdentity_;
        state.leader_ = ControlMember { message.sender_, message.senderIdentity_, true };
        if (isNew)
            resendForwarded(step);
        state.leaderReceivedAt_ = step.now_;
        state.hasLeaderContact_ = true;
        state.hadLeader_ = true;
        resetElection(step);
        return true;
    }

    void receive(Step& step, const ControlMessage& message, const AppendRequest& request)
    {
        auto& state = step.state_;
        if (!acceptLeader(step, message, request.round_))
            return;
        const auto& stored = state.stored_;
        const auto last = lastPosition(stored).index_;
        const auto previous = request.previous_.index_;
        // Committed entries are equal in all logs, so positions up to the commit index need no comparison.
        if (previous > state.commit_ && termAt(stored, previous) != request.previous_.term_) {
            reply(step, message, AppendResponse { false, std::min(last, previous - 1), request.round_ });
            return;
        }
        PersistAction action;
        for (const auto& entry : request.entries_) {
            const auto index = entry.position_.index_;
            if (index <= state.commit_ || (action.entries_.empty() && termAt(stored, index) == entry.position_.term_))
                continue;
            if (action.entries_.empty() && index <= last)
                action.truncateFrom_ = index;
            action.entries_.push_back(entry);
        }
        if (!action.entries_.empty())
            persist(step, std::move(action));
        const auto matched = std::max(previous + request.entries_.size(), std::min(state.commit_, last));
        const auto commit
            = state.options_.injectedFaults_.applyUncommitted_ ? matched : std::min(request.commit_, matched);
        if (commit > state.commit_) {
            state.commit_ = commit;
            applyCommitted(step);
        }
        reply(step, message, AppendResponse { true, matched, request.round_ });
    }

    void receive(Step& step, const ControlMessage& message, const SnapshotRequest& request)
    {
        auto& state = step.state_;
        if (!acceptLeader(step, message, request.round_))
            return;
        const auto last = request.snapshot_->last_;
        if (last.index_ > state.commit_) {
            persist(step, { .snapshot_ = request.snapshot_, .keepFrom_ = last.index_ + 1 });
            const auto before = state.control_.settings_.revision_;
            const auto catalogBefore = state.control_.catalog_.version_;
            state.control_ = request.snapshot_->state_;
            state.commit_ = last.index_;
            state.applied_ = last.index_;
            if (state.control_.settings_.revision_ != before)
                reportSettings(step);
            if (state.control_.catalog_.version_ != catalogBefore)
                reportCatalog(step);
            for (const auto& [group, members] : state.control_.groups_)
                step.applies_.emplace_back(ApplyGroupAction { group, members });
        }
        reply(step, message, AppendResponse { true, state.commit_, request.round_ });
    }

    void receive(Step& step, const ControlMessage& message, const AppendResponse& received)
    {
        auto& state = step.state_;
        if (message.term_ > state.stored_.promise_.term_)
            return becomeFollower(step, message.term_);
        const auto found = state.progress_.find(message.senderIdentity_);
        if (!isLeader(state) || message.term_ < state.stored_.promise_.term_ || found == state.progress_.end())
            return;
        auto& progress = found->second;
        progress.lastReceivedAt_ = step.now_;
        progress.round_ = std::max(progress.round_, received.round_);
        const auto sendMore = [&] {
            for (const auto& member : state.configuration_->members_) {
                if (member.identity_ == message.senderIdentity_)
                    return sendAppend(step, member);
            }
        };
        if (!received.matched_) {
            const auto next = std::max(std::min(progress.next_ - 1, received.index_ + 1), progress.match_ + 1);
            // Without progress the next heartbeat retries; an immediate retry would loop endlessly.
            if (next < progress.next_) {
                progress.next_ = next;
                if (!isRecent(progress.snapshotSentAt_, snapshotResend, step.now_))
                    sendMore();
            }
            return confirmReads(step);
        }
        progress.match_ = std::max(progress.match_, std::min(received.index_, lastPosition(state.stored_).index_));
        progress.next_ = std::max(progress.next_, progress.match_ + 1);
        if (progress.snapshotSentAt_ != TimePoint() && state.stored_.snapshot_
            && progress.match_ >= state.stored_.snapshot_->last_.index_)
            progress.snapshotSentAt_ = TimePoint();
        if (progress.next_ <= lastPosition(state.stored_).index_)
            sendMore();
        advanceCommit(step);
    }

    // Returns whether the message is for this member and cluster and does not conflict with a committed entry.
    bool isAcceptable(const ControlLogState& state, const ControlMessage& message)
    {
        const auto& body = message.body_;
        if (std::holds_alternative<ControlHello>(body) || std::holds_alternative<RequestMessage>(body)
            || std::holds_alternative<ResponseMessage>(body))
            return message.sender_ != state.instance_;
        if (message.recipientIdentity_ != state.identity_ || message.senderIdentity_.empty()
            || message.senderIdentity_ == state.identity_)
            return false;
        if (state.configuration_ && !message.cluster_.empty() && message.cluster_ != state.configuration_->cluster_)
            return false;
        if (const auto* snapshot = std::get_if<SnapshotRequest>(&body))
            return snapshot->snapshot_ && snapshot->snapshot_->last_.index_ > 0;
        const auto* append = std::get_if<AppendRequest>(&body);
        if (!append)
            return true;
        auto index = append->previous_.index_;
        auto term = append->previous_.term_;
        for (const auto& entry : append->entries_) {
            if (entry.position_.index_ != ++index || entry.position_.term_ < term
                || entry.position_.term_ > message.term_)
                return false;
            term = entry.position_.term_;
            const auto own = termAt(state.stored_, index);
            if (index <= state.commit_ && own && *own != term)
                return false;
        }
        return true;
    }

    void handle(Step& step, const ControlSeeds& seeds)
    {
        addContacts(step.state_, seeds.instances_);
    }

    void handle(Step& step, const ControlMessage& message)
    {
        if (!isAcceptable(step.state_, message)) {
            ++step.state_.dropped_;
            return;
        }
        std::visit([&](const auto& body) { receive(step, message, body); }, message.body_);
    }

} // namespace

void applyPersist(ControlStored& stored, const PersistAction& action)
{
    auto& entries = stored.entries_;
    if (action.snapshot_) {
        const auto last = action.snapshot_->last_;
        // Entries after the snapshot are kept only if the log holds the snapshot's last entry; else they may conflict.
        if (termAt(stored, last.index_) != last.term_)
            entries.clear();
        while (!entries.empty() && entries.front().position_.index_ < action.keepFrom_)
            entries.pop_front();
        stored.snapshot_ = action.snapshot_;
    }
    if (action.truncateFrom_) {
        while (!entries.empty() && entries.back().position_.index_ >= *action.truncateFrom_)
            entries.pop_back();
    }
    entries.insert(entries.end(), action.entries_.begin(), action.entries_.end());
    if (action.promise_)
        stored.promise_ = *action.promise_;
}

std::size_t voterCount(const std::vector<ControlMember>& members)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const ControlMember& member) { return member.voter_; }));
}

const ControlConfiguration* configurationOf(const ControlStored& stored)
{
    return configurationBefore(stored, lastPosition(stored).index_ + 1);
}

ControlContents contentsOf(const ControlStored& stored)
{
    ControlContents contents { .term_ = stored.promise_.term_, .last_ = lastPosition(stored) };
    if (stored.snapshot_) {
        contents.snapshotIndex_ = stored.snapshot_->last_.index_;
        contents.snapshotCatalog_ = stored.snapshot_->state_.catalog_.version_;
    }
    contents.lastCatalog_ = contents.snapshotCatalog_;
    for (const auto& entry : stored.entries_) {
        const auto* change = std::get_if<ControlChange>(&entry.body_);
        if (const auto* catalog = change ? std::get_if<CatalogChange>(&change->command_) : nullptr)
            contents.lastCatalog_ = std::max(contents.lastCatalog_, catalog->catalog_.version_);
    }
    if (const auto* configuration = configurationOf(stored))
        contents.members_ = configuration->members_;
    return contents;
}

ControlLogState startControlLog(InstanceId instance, std::string identity, std::vector<InstanceId> listed,
    SettingsTree start, ControlStored stored, const ControlLogOptions& options, std::uint64_t seed, TimePoint now)
{
    ControlLogState state;
    state.instance_ = std::move(instance);
    state.identity_ = std::move(identity);
    state.listed_ = std::move(listed);
    state.start_ = std::move(start);
    state.options_ = options;
    state.stored_ = std::move(stored);
    state.random_.seed(seed);
    state.nextNumber_ = state.random_();
    state.nextHelloAt_ = now;
    if (state.stored_.snapshot_) {
        state.control_ = state.stored_.snapshot_->state_;
        state.commit_ = state.stored_.snapshot_->last_.index_;
        state.applied_ = state.commit_;
    }
    Step step { .state_ = state, .now_ = now };
    refreshConfiguration(step);
    resetElection(step);
    return state;
}

std::vector<ControlAction> step(ControlLogState& state, const ControlEvent& event, TimePoint now)
{
    Step step { .state_ = state, .now_ = now };
    std::visit([&](const auto& known) { handle(step, known); }, event);
    std::vector<ControlAction> actions;
    const auto move = [&](auto& list) { std::move(list.begin(), list.end(), std::back_inserter(actions)); };
    move(step.persists_);
    move(step.sends_);
    move(step.applies_);
    move(step.responses_);
    return actions;
}

std::uint64_t confirmedRound(const ControlLogState& state)
{
    if (!isLeader(state) || !state.configuration_)
        return 0;
    std::vector<std::uint64_t> rounds;
    for (const auto& member : state.configuration_->members_) {
        if (!member.voter_)
            continue;
        const auto progress = state.progress_.find(member.identity_);
        const auto known = progress == state.progress_.end() ? 0 : progress->second.round_;
        rounds.push_back(member.identity_ == state.identity_ ? state.round_ : known);
    }
    if (rounds.empty())
        return 0;
    // Sorted from the highest, the first majority ends here.
    const auto last = rounds.begin() + static_cast<std::ptrdiff_t>(rounds.size() / 2);
    std::nth_element(rounds.begin(), last, rounds.end(), std::greater<>());
    return *last;
}

bool hasAppliedEarlierTerms(const ControlLogState& state)
{
    return isOwnTermCommitted(state) && state.applied_ == state.commit_;
}

} // namespace cassiahollow
