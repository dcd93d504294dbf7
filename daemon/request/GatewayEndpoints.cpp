#include "process/EventLog.h"
#include "request/GatewayState.h"

#include <algorithm>

// The endpoints of the gateway: what it believes of them, its connections to them, and proofs of the lead.
namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // Opening takes 12 ms at the endpoint and two round trips; a machine that is gone does not answer.
    constexpr auto connectTime = 500ms;
    // Sent bytes that the other machine's kernel has not acknowledged for this long are lost.
    constexpr auto connectionSilence = 1000ms;
    constexpr auto openPause = 100ms;
    constexpr auto longestOpenPause = 2s;
    // A primary that leaves goes on serving until there is another, but no longer than this: below the bound on new
    // work at a leaving endpoint, less the time in which its announcement spreads.
    constexpr auto leavingPrimaryTime = 4s;
    // A connection beyond the first that rested for this long is closed.
    constexpr auto spareLinkTime = 800ms;
    // A holder keeps its connections longer: nobody else needs them, and each new one takes slot time of the endpoint.
    constexpr auto heldLinkTime = 10000ms;
    // Connections of accounts are kept longer still: a small account uses its own rarely, and they make room for others
    // when there are too many.
    constexpr auto accountLinkTime = 60000ms;
    // A connection whose answer is overdue is closed this long after its last use: the instance's own statements have
    // no time limit of a route.
    constexpr auto answerGrace = 500ms;
    // The first samples of control members arrive within this time after their start: a connection to each primary, and
    // two questions of the instance.
    constexpr auto sharedSampleTime = 500ms;
    // An endpoint that answered within this time needs no probe: with responseTimeout, it is shorter than
    // isolationTime.
    constexpr auto recentAnswer = 100ms;
    // Endpoints that were not used for this long are not reported.
    constexpr auto reportedUse = 5s;

} // namespace

StatementGateway::Group& StatementGateway::groupOf(const GroupId& id)
{
    auto& group = groups_[id];
    if (!group)
        group = std::make_unique<Group>(id, suspendAwareNow());
    return *group;
}

const StatementGateway::Group* StatementGateway::findKnownGroup(const GroupId& id) const
{
    const auto found = groups_.find(id);
    return found == groups_.end() ? nullptr : found->second.get();
}

// The endpoint that this instance may use as the primary, or null.
const RegisteredEndpoint* StatementGateway::primaryRecord(const GroupId& group) const
{
    if (!options_.needsLeases_)
        return primaryOf(registry_, group);
    const auto* lease = validLease(leases_, group, suspendAwareNow());
    const auto found = lease ? registry_.records_.find(lease->primary_) : registry_.records_.end();
    return found != registry_.records_.end() && found->second.group_ == group ? &found->second : nullptr;
}

// With synchronous replicas, an instance without a lease may read at the primary, but not report a commit as done: it
// could be missing from the positions by which the control leader chooses a successor.
bool StatementGateway::mayAcknowledgeAt(const Group& group, const EndpointId& endpoint) const
{
    const bool isLeaseNeeded = options_.needsLeases_ || group.isSynchronous_;
    return !isLeaseNeeded || isLeased(leases_, group.id_, endpoint, suspendAwareNow());
}

// Whether the statement may write and the primary is known, but no lease on it.
bool StatementGateway::lacksLease(const Group& group, const Job& job) const
{
    // Without synchronous replicas, a primary that needs a lease is known only with one.
    if (!group.isSynchronous_ || !job.needsPrimary_)
        return false;
    const bool mayWrite = job.kind_ == StatementKind::Write || (job.opensTransaction_ && !job.session_->sql_.readOnly_);
    const auto* first = mayWrite ? primary(group) : nullptr;
    return first && !mayAcknowledgeAt(group, first->record_.id_);
}

// Lets the statements go on that have waited for a lease.
void StatementGateway::endLeaseWaits(Group& group)
{
    for (const auto& job : std::exchange(group.awaitLease_, {}))
        enqueueJob(job);
    dispatch(group);
}

void StatementGateway::receiveLeases(const LeaseGrant& grant, std::optional<TimePoint> requestedAt)
{
    const auto before = leases_.table_;
    if (!cassiahollow::receiveLeases(leases_, grant, requestedAt))
        return;
    LogLine(LogKind::Belief, "leases_changed")
        .with("term", leases_.table_.version_.term_)
        .with("version", leases_.table_.version_.number_)
        .with("leases", static_cast<std::uint64_t>(leases_.table_.leases_.size()));
    // The control leader may wait for the confirmation before it orders a promotion.
    if (reportHandler_)
        reportHandler_();
    for (const auto& lease : leases_.table_.leases_) {
        const auto* old = findLease(before, lease.group_);
        if (old && old->primary_ == lease.primary_)
            continue;
        auto& group = groupOf(lease.group_);
        requestSample(group);
        endLeaseWaits(group);
    }
}

void StatementGateway::watchLeases()
{
    const bool isValid = suspendAwareNow() - leases_.provenAt_ < leaseDuration;
    if (isValid == hadLeases_)
        return;
    hadLeases_ = isValid;
    LogLine(LogKind::Dependency, isValid ? "leases_renewed" : "leases_expired")
        .with("version", leases_.table_.version_.number_)
        .with("age", suspendAwareNow() - leases_.provenAt_);
    if (!isValid)
        return metrics_.add(CounterId::LeasesExpired);
    for (const auto& [id, group] : groups_) {
        if (!group->awaitSample_.empty())
            requestSample(*group);
        endLeaseWaits(*group);
    }
}

const StatementGateway::Endpoint* StatementGateway::primary(const Group& group) const
{
    const auto* record = primaryRecord(group.id_);
    if (!record)
        return nullptr;
    const auto found = endpoints_.find(record->id_);
    return found != endpoints_.end() && isUsable(*found->second) ? found->second.get() : nullptr;
}

StatementGateway::Endpoint* StatementGateway::primary(const Group& group)
{
    return const_cast<Endpoint*>(std::as_const(*this).primary(group));
}

StatementGateway::Endpoint* StatementGateway::find(const EndpointId& id)
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : found->second.get();
}

bool StatementGateway::isUsable(const Endpoint& endpoint) const
{
    if (endpoint.record_.removed_)
        return false;
    if (!endpoint.record_.leaving_)
        return true;
    return endpoint.record_.role_ == EndpointRole::Primary
        && suspendAwareNow() - endpoint.leavingSince_ < leavingPrimaryTime;
}

void StatementGateway::setCatalog(std::shared_ptr<const RouteCatalog> catalog)
{
    if (catalog_ && catalog->version_ <= catalog_->version_)
        return;
    catalog_ = std::move(catalog);
    LogLine(LogKind::Belief, "catalog_applied")
        .with("version", catalog_->version_)
        .with("routes", static_cast<std::uint64_t>(catalog_->routes_.size()));
    forgetRemovedGroups();
    updateQuotas();
    endRemovedKeys();
    startHeld();
    for (const auto& rules : catalog_->groups_) {
        auto& group = groupOf(rules.group_);
        group.usesAccounts_ |= catalog_->accounts_.has_value();
        group.isSynchronous_ = rules.synchronousReplicas_ > 0;
        usesLeases_ |= group.isSynchronous_;
        std::map<ClassId, AdmissionClass> classes;
        for (const auto& route : catalog_->routes_) {
            if (route.group_ == rules.group_)
                classes[ClassId(route.name_)].weight_ = queueWeight(route);
        }
        for (auto* queue : { &group.primaryQueue_, &group.readQueue_ }) {
            auto settings = queue->settings_;
            settings.classes_ = classes;
            configure(*queue, std::move(settings));
        }
    }
    updateHolders();
}

// A group that is added again may have another log, in which the positions that are known here are never reached.
void StatementGateway::forgetRemovedGroups()
{
    std::vector<GroupId> removed;
    for (const auto& [id, group] : groups_) {
        if (findGroup(*catalog_, id))
            continue;
        group->samples_ = {};
        removed.push_back(id);
    }
    for (const auto& id : removed) {
        for (const auto& session : sessions_)
            forgetPosition(session->sql_.ownCommits_, id);
    }
}

void StatementGateway::addSample(const GroupId& id, const PositionSample& sample)
{
    sampled(groupOf(id), sample);
}

bool StatementGateway::isScarceFor(const GroupId& id) const
{
    const auto* rules = catalog_ ? findGroup(*catalog_, id) : nullptr;
    return rules && areConnectionsScarce(rules->connectionLimit_, instances_);
}

// The replica that this instance keeps a connection to while connections are scarce; null when there is none.
const StatementGateway::Endpoint* StatementGateway::preferred(const Group& group) const
{
    std::vector<const Endpoint*> replicas;
    const auto* first = primary(group);
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint->record_.group_ == group.id_ && endpoint.get() != first && isUsable(*endpoint))
            replicas.push_back(endpoint.get());
    }
    return replicas.empty() ? nullptr : replicas[preferredReplica(rank_, replicas.size())];
}

// Whether this instance shares the connections to the group's endpoints with more instances than they accept.
bool StatementGateway::lacksConnections(const Group& group) const
{
    return isScarceFor(group.id_) && !group.isHeld_;
}

// Whether other instances hold the connections to the group, and this one only stands in for them.
bool StatementGateway::usesHolders(const Group& group) const
{
    return !options_.self_.empty() && lacksConnections(group);
}

std::size_t StatementGateway::connectionShareOf(const Group& group, const GroupRules& rules) const
{
    if (!areConnectionsScarce(rules.connectionLimit_, instances_) || group.holders_.empty())
        return connectionShare(rules.connectionLimit_, instances_, rank_);
    return group.isHeld_ ? assignment_.connectionsPerHolder_ : scarceConnectionShare;
}

void StatementGateway::setShare(std::size_t instances, std::size_t rank)
{
    const bool isChanged = instances_ != std::max<std::size_t>(instances, 1);
    instances_ = std::max<std::size_t>(instances, 1);
    rank_ = rank;
    if (!isChanged)
        return;
    updateHolders();
    updateQuotaView();
}

void StatementGateway::setEndpoints(const std::vector<RegisteredEndpoint>& records)
{
    std::map<GroupId, EndpointId> before;
    for (const auto& [id, group] : groups_) {
        if (const auto* record = primaryOf(registry_, id))
            before[id] = record->id_;
    }
    for (const auto& record : records)
        mergeRecord(registry_, record);
    for (const auto& [id, record] : registry_.records_) {
        if (record.removed_ && !endpoints_.contains(id))
            continue;
        auto& endpoint = endpoints_[id];
        if (!endpoint)
            endpoint = std::make_unique<Endpoint>();
        auto& known = *endpoint;
        const bool isOther
            = known.record_.address_ != record.address_ || known.record_.startedAtMs_ != record.startedAtMs_;
        if (isOther || record.removed_) {
            for (const auto& link : std::exchange(known.links_, {}))
                link->close();
            known.load_ = {};
            known.applied_ = {};
        }
        if (record.leaving_ && !known.record_.leaving_) {
            known.leavingSince_ = suspendAwareNow();
            LogLine(LogKind::Belief, "endpoint_leaving")
                .with("endpoint", id.value_)
                .with("group", record.group_.value_);
        }
        known.record_ = record;
    }
    std::erase_if(endpoints_,
        [&](const auto& item) { return item.second->record_.removed_ || !registry_.records_.contains(item.first); });
    for (const auto& rules : catalog_ ? catalog_->groups_ : std::vector<GroupRules>()) {
        auto& group = groupOf(rules.group_);
        const auto* record = primaryOf(registry_, group.id_);
        if (record && before[group.id_] != record->id_) {
            LogLine(LogKind::Belief, "primary_changed")
                .with("group", group.id_.value_)
                .with("from", before[group.id_].value_)
                .with("to", record->id_.value_);
            // What an unreachable old primary still owes will not come; its statements are answered now.
            if (auto* old = find(before[group.id_]); old && isFailing(old->load_)) {
                for (const auto& link : std::exchange(old->links_, {}))
                    link->close();
            }
            requestSample(group);
        }
        dispatch(group);
    }
}

std::vector<EndpointObservation> StatementGateway::reports() const
{
    const auto now = suspendAwareNow();
    std::vector<EndpointObservation> reports;
    for (const auto& [id, endpoint] : endpoints_) {
        const auto& load = endpoint->load_;
        if (endpoint->record_.role_ != EndpointRole::Primary)
            continue;
        EndpointObservation report { id };
        if (hasResponded(load))
            report.lastResponseAge_ = now - load.lastRespondedAt_;
        if (isFailing(load))
            report.failureAge_ = std::max<Duration>(now - load.failingSince_, 1ms);
        report.strained_ = isStrained(load, now);
        if (isFailing(load) || report.lastResponseAge_ < reportedUse)
            reports.push_back(report);
    }
    return reports;
}

void StatementGateway::suspect(Endpoint& endpoint)
{
    const bool isNew = !isFailing(endpoint.load_);
    recordFailure(endpoint.load_, suspendAwareNow());
    if (!isNew)
        return;
    LogLine(LogKind::Dependency, "endpoint_failing")
        .with("endpoint", endpoint.record_.id_.value_)
        .with("group", endpoint.record_.group_.value_);
    if (reportHandler_ && endpoint.record_.role_ == EndpointRole::Primary)
        reportHandler_();
}

void StatementGateway::tellLimit(Endpoint& endpoint)
{
    auto& capacity = endpoint.load_.capacity_;
    const auto now = suspendAwareNow();
    if (!takeLimitChange(capacity, now))
        return;
    LogLine(LogKind::Belief, "endpoint_limit_changed")
        .with("endpoint", endpoint.record_.id_.value_)
        .with("limit", static_cast<std::uint64_t>(sendLimit(endpoint.load_)))
        .with("slowdown_percent", static_cast<std::uint64_t>(slowdown(capacity, now) * 100))
        .with("in_flight", static_cast<std::uint64_t>(endpoint.load_.inFlight_));
}

StatementGateway::LimitSummary StatementGateway::learnedLimits() const
{
    const auto now = suspendAwareNow();
    LimitSummary summary;
    std::size_t count = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        const auto& capacity = endpoint->load_.capacity_;
        if (!hasResponded(endpoint->load_))
            continue;
        summary.smallest_ = count == 0 ? capacity.limit_ : std::min(summary.smallest_, capacity.limit_);
        summary.largest_ = std::max(summary.largest_, capacity.limit_);
        summary.largestSlowdown_ = std::max(summary.largestSlowdown_, slowdown(capacity, now));
        summary.mean_ += capacity.limit_;
        ++count;
    }
    summary.mean_ /= static_cast<double>(std::max<std::size_t>(count, 1));
    return summary;
}

std::size_t StatementGateway::connectionLimitOf(const Endpoint& endpoint) const
{
    const auto* rules = catalog_ ? findGroup(*catalog_, endpoint.record_.group_) : nullptr;
    const auto* group = findKnownGroup(endpoint.record_.group_);
    return rules && group ? connectionShareOf(*group, *rules) : 0;
}

// Whether a connection may be opened now, apart from the limit.
bool StatementGateway::mayOpenLink(const Endpoint& endpoint) const
{
    const auto now = suspendAwareNow();
    const auto pause = std::min<Duration>(openPause * (1 << std::min(endpoint.openFailures_, 6)), longestOpenPause);
    const bool mustWait = endpoint.openFailures_ > 0 && now - endpoint.openFailed_ < pause;
    return now >= endpoint.load_.connectionLimitUntil_ && !mustWait;
}

// Opens a connection for the statements of an account; null if that fails at once.
EndpointLinkPtr StatementGateway::createLink(Endpoint& endpoint, const AccountId& account)
{
    const auto& id = endpoint.record_.id_;
    EndpointLinkPtr link;
    // The handlers refer to the link by its place in the endpoint, because it does not exist yet.
    auto slot = std::make_shared<EndpointLink*>(nullptr);
    link = new EndpointLink(sockets_, metrics_,
        { id, endpoint.record_.group_, endpoint.record_.address_, options_.instance_, account }, connectTime,
        connectionSilence,
        { [this, id] { linkReady(id); }, [this, id, slot] { linkClosed(id, EndpointLinkPtr(*slot)); } });
    *slot = link.get();
    metrics_.add(CounterId::ConnectionsOpened);
    if (link->isClosed()) {
        endpoint.openFailed_ = suspendAwareNow();
        ++endpoint.openFailures_;
        return nullptr;
    }
    endpoint.links_.push_back(link);
    return link;
}

// Opens a connection with the instance's own name.
void StatementGateway::openLink(Endpoint& endpoint)
{
    std::erase_if(endpoint.links_, [](const EndpointLinkPtr& link) { return link->isClosed(); });
    if (endpoint.isOpening() || endpoint.links_.size() >= connectionLimitOf(endpoint) || !mayOpenLink(endpoint))
        return;
    createLink(endpoint, {});
}

void StatementGateway::openWanted(Group& group)
{
    auto* first = primary(group);
    // With accounts, statements open their own connections when they start.
    const bool wantsPrimary = (group.primaryQueue_.waiting_ > 0 && !group.usesAccounts_)
        || (!group.awaitSample_.empty() && !group.sampling_ && !awaitsSharedSample(group));
    const auto wantsLink = [](const Endpoint& endpoint) {
        return endpoint.idleLinks() == 0 && endpoint.load_.inFlight_ < sendLimit(endpoint.load_);
    };
    if (first && wantsPrimary && wantsLink(*first))
        openLink(*first);
    const bool wantsReads = group.readQueue_.waiting_ > 0 && !group.usesAccounts_;
    const bool scarce = lacksConnections(group);
    const auto* kept = scarce ? preferred(group) : nullptr;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->record_.group_ != group.id_ || !isUsable(*endpoint))
            continue;
        // Each endpoint gets its first connection early, so that reads find a choice; not from instances that only
        // stand in for a holder.
        const bool isOpenTo = !scarce || endpoint.get() == kept || !kept || isFailing(kept->load_);
        const bool opensAhead = options_.self_.empty() || (hasSettled_ && !usesHolders(group));
        // With accounts, only samples of the primary's position need one before there is a statement.
        const bool isOfUse = !group.usesAccounts_ || endpoint.get() == first;
        const bool isFirst
            = endpoint->links_.empty() && isOpenTo && opensAhead && isOfUse && (!scarce || endpoint.get() != first);
        if (isFirst || (wantsReads && isOpenTo && wantsLink(*endpoint) && endpoint.get() != first))
            openLink(*endpoint);
    }
}

// Which connection a statement would use. `waiting`: see ConnectionDemand.
ConnectionChoice StatementGateway::chooseLink(const Endpoint& endpoint, const Job& job, std::size_t waiting) const
{
    using State = AccountConnection::State;
    const auto now = suspendAwareNow();
    const auto& account = job.session_->account_;
    std::vector<AccountConnection> connections;
    connections.reserve(endpoint.links_.size());
    for (const auto& link : endpoint.links_) {
        const auto state = link->isClosed() ? State::Closed
            : link->taken_                  ? State::Busy
            : link->isReady()               ? State::Idle
                                            : State::Opening;
        const bool isOwn = state != State::Closed && state != State::Busy && link->account() == account;
        connections.push_back({ link->account(), state, link->used_, link->freeBy_,
            isOwn ? syncCost(link->fit_, job.session_->sql_, job.shape_) : 0 });
    }
    const auto* group = findKnownGroup(endpoint.record_.group_);
    const auto serviceTime
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expectedResponse(endpoint.load_, now)));
    return chooseConnection(connections,
        { account, connectionLimitOf(endpoint), group && group->usesAccounts_ && mayOpenLink(endpoint), waiting,
            serviceTime },
        now);
}

// The connection that a statement starts on; null if there is none. With accounts, it may have to be opened first, and
// the place of one that rests is freed before.
EndpointLinkPtr StatementGateway::linkFor(Endpoint& endpoint, const Job& job)
{
    auto choice = chooseLink(endpoint, job, 0);
    // Each of them closes one connection, so this ends.
    while (choice.action_ == ConnectionAction::Replace) {
        const auto evicted = endpoint.links_[choice.index_];
        metrics_.add(CounterId::ConnectionsEvicted);
        evicted->closeAtOnce();
        std::erase(endpoint.links_, evicted);
        choice = chooseLink(endpoint, job, 0);
    }
    if (!mayStart(choice))
        return nullptr;
    if (choice.action_ == ConnectionAction::Use)
        return endpoint.links_[choice.index_];
    return createLink(endpoint, job.session_->account_);
}

bool StatementGateway::isAccountKnown(const AccountId& account) const
{
    if (account.empty() || !catalog_ || !catalog_->accounts_)
        return true;
    const auto& accounts = catalog_->accounts_->accounts_;
    return std::any_of(
        accounts.begin(), accounts.end(), [&](const ClientAccount& known) { return known.name_ == account; });
}

void StatementGateway::linkReady(const EndpointId& id)
{
    auto* endpoint = find(id);
    if (!endpoint)
        return;
    if (endpoint->openFailures_ > 0)
        LogLine(LogKind::Dependency, "endpoint_reached").with("endpoint", id.value_);
    endpoint->openFailures_ = 0;
    endpoint->load_.failingSince_ = {};
    endpoint->load_.lastRespondedAt_ = suspendAwareNow();
    auto& group = groupOf(endpoint->record_.group_);
    if (!group.awaitSample_.empty())
        requestSample(group);
    dispatch(group);
}

void StatementGateway::linkClosed(const EndpointId& id, const EndpointLinkPtr& link)
{
    auto* endpoint = find(id);
    if (!endpoint)
        return;
    std::erase(endpoint->links_, link);
    const auto now = suspendAwareNow();
    if (link->refusal() == StatementError::ConnectionLimit) {
        metrics_.count(Reason::EndpointConnectionLimit);
        recordConnectionLimit(endpoint->load_, now);
        return;
    }
    // One connection that ends says little; whether a new one opens says more.
    if (link->wasReady()) {
        metrics_.count(Reason::RetryConnectionLost);
        auto& group = groupOf(endpoint->record_.group_);
        if (group.usesAccounts_)
            return dispatch(group);
        openLink(*endpoint);
        return;
    }
    metrics_.count(Reason::EndpointConnectFailed);
    endpoint->openFailed_ = now;
    ++endpoint->openFailures_;
    suspect(*endpoint);
    // The first failure may be that of one connection; the next attempt shows more.
    const auto retryOpen = [this, id] {
        if (auto* known = find(id); known && isUsable(*known) && known->idleLinks() == 0)
            openLink(*known);
    };
    loop_.schedule(Clock::now() + openPause, retryOpen);
}

// While connections are scarce, control members sample for all: an instance that has just started waits for them.
bool StatementGateway::awaitsSharedSample(const Group& group) const
{
    return isScarceFor(group.id_) && !group.isHeld_ && suspendAwareNow() - group.known_ < sharedSampleTime;
}

EndpointLinkPtr StatementGateway::restingLink(const Endpoint& endpoint)
{
    const auto found = std::find_if(endpoint.links_.begin(), endpoint.links_.end(),
        [](const EndpointLinkPtr& link) { return link->isReady() && !link->taken_; });
    return found == endpoint.links_.end() ? nullptr : *found;
}

// The endpoint whose silence shows that the group is out of reach. While connections are scarce, an instance keeps none
// to the primary, and its replica has to do.
const StatementGateway::Endpoint* StatementGateway::witness(const Group& group) const
{
    const auto* first = primary(group);
    return first && first->links_.empty() && lacksConnections(group) ? preferred(group) : first;
}

void StatementGateway::probeEndpoints()
{
    probeHolders();
    const auto now = suspendAwareNow();
    for (const auto& [id, group] : groups_) {
        const auto* known = witness(*group);
        if (!known || isFailing(known->load_) || now - known->load_.lastRespondedAt_ < recentAnswer)
            continue;
        auto& endpoint = *find(known->record_.id_);
        const auto link = restingLink(endpoint);
        const bool isAsked = endpoint.probed_ > endpoint.load_.lastRespondedAt_;
        if (!link || isAsked)
            continue;
        endpoint.probed_ = now;
        link->taken_ = true;
        link->used_ = now;
        link->exchange(beginStatement(platform::beginReadText()), [](const EndpointReply*) {});
        link->exchange(rollbackStatement(), [this, link](const EndpointReply* reply) {
            if (auto* asked = find(link->endpoint()); asked && reply) {
                asked->load_.lastRespondedAt_ = suspendAwareNow();
                asked->load_.failingSince_ = {};
            }
            freeLink(link, reply != nullptr && reply->mark_ == SessionMark::Idle);
        });
    }
}

void StatementGateway::requestSample(Group& group)
{
    if (group.sampling_)
        return;
    auto* first = primary(group);
    if (!first)
        return;
    const auto link = restingLink(*first);
    if (!link) {
        if (first->links_.empty() && !awaitsSharedSample(group))
            openLink(*first);
        return;
    }
    group.sampling_ = true;
    link->taken_ = true;
    const auto asked = suspendAwareNow();
    const auto position = std::make_shared<LogPosition>();
    link->exchange(beginStatement(platform::beginText()), [position](const EndpointReply* reply) {
        if (reply && !reply->error_)
            *position = reply->position_;
    });
    // An answer to the begin that came twice shows when the rollback's does not follow.
    link->exchange(rollbackStatement(), [this, &group, link, asked, position](const EndpointReply* reply) {
        group.sampling_ = false;
        if (reply && !reply->error_ && position->term_ > 0)
            sampled(group, { asked, *position });
        if (auto* endpoint = find(link->endpoint()); endpoint && reply) {
            endpoint->load_.lastRespondedAt_ = suspendAwareNow();
            endpoint->load_.failingSince_ = {};
        }
        freeLink(link, reply != nullptr && reply->mark_ == SessionMark::Idle);
    });
}

void StatementGateway::sampled(Group& group, const PositionSample& sample)
{
    cassiahollow::addSample(group.samples_, sample, suspendAwareNow());
    const auto waiting = std::exchange(group.awaitSample_, {});
    for (const auto& job : waiting)
        enqueueJob(job);
}

std::size_t StatementGateway::unreachableGroups() const
{
    if (!catalog_)
        return 0;
    return static_cast<std::size_t>(
        std::count_if(catalog_->groups_.begin(), catalog_->groups_.end(), [this](const GroupRules& rules) {
            const auto group = groups_.find(rules.group_);
            return group == groups_.end() || isPrimaryUnreachable(*group->second);
        }));
}

bool StatementGateway::isPrimaryUnreachable(const Group& group) const
{
    const auto* first = primary(group);
    if (!first)
        return true;
    if (usesHolders(group) && first->links_.empty())
        return group.isUnreachableAtHolder_;
    const auto* asked = witness(group);
    return isFailing(first->load_) || (asked && isFailing(asked->load_));
}

void StatementGateway::setIsolated(bool isolated, bool sendAway)
{
    isolated_ = isolated;
    sendAway_ = sendAway;
}

// Connections beyond the first are for busy times. Those that rest are closed, so that instances that start, or are
// busier, find room below the endpoint's limit.
void StatementGateway::closeSpareLinks()
{
    const auto now = suspendAwareNow();
    for (auto& [id, endpoint] : endpoints_) {
        auto& links = endpoint->links_;
        for (const auto& link : std::vector<EndpointLinkPtr>(links)) {
            if (link->taken_ && !link->isQuiet() && now > std::max(link->answerBy_, link->used_ + answerGrace))
                link->close();
        }
        std::erase_if(links, [](const EndpointLinkPtr& link) { return link->isClosed(); });
        // An endpoint that leaves gets no statements any more and needs no connection.
        const auto& group = groupOf(endpoint->record_.group_);
        const bool isKept = isUsable(*endpoint) && !usesHolders(group)
            && (!lacksConnections(group) || endpoint.get() == preferred(group));
        const std::size_t kept = isKept ? 1 : 0;
        const auto rest = !group.isHeld_ ? spareLinkTime : group.usesAccounts_ ? accountLinkTime : heldLinkTime;
        for (std::size_t i = links.size(); i > kept; --i) {
            const auto link = links[i - 1];
            if (!link->isReady() || link->taken_)
                continue;
            if (now - link->used_ < rest && isAccountKnown(link->account()))
                continue;
            link->close();
            links.erase(links.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
    }
}

// Marks endpoints that owe an answer for too long, refuses reads that have waited for a sample in vain, and keeps
// samples coming for them.
void StatementGateway::watchSilence()
{
    const auto now = suspendAwareNow();
    for (auto& [id, endpoint] : endpoints_) {
        const bool isSilent
            = endpoint->probed_ > endpoint->load_.lastRespondedAt_ && now - endpoint->probed_ > responseTimeout;
        if (isSilent && !isFailing(endpoint->load_))
            suspect(*endpoint);
    }
    for (auto& [id, group] : groups_) {
        std::vector<JobPtr> late;
        for (const auto& job : group->jobs_) {
            if (now > job->item_.deadline_ && group->isBlocked(job))
                late.push_back(job);
            if (!job->link_ || now - job->sent_ < responseTimeout)
                continue;
            auto* endpoint = find(job->link_->endpoint());
            if (endpoint && now - endpoint->load_.lastRespondedAt_ > responseTimeout)
                suspect(*endpoint);
        }
        for (const auto& job : late)
            refuseJob(job, job->needsPrimary_ ? Reason::PrimaryNotLeased : Reason::NoEndpointForRead);
        hedgeLate(*group);
        // A pause of new connections ends, or one that was worth waiting for stays busy, without another event.
        if (group->usesAccounts_ && group->primaryQueue_.waiting_ + group->readQueue_.waiting_ > 0)
            dispatch(*group);
        if (!group->awaitSample_.empty())
            requestSample(*group);
    }
}

} // namespace cassiahollow
