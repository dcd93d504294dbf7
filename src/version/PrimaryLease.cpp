#include "cassiahollow/version/PrimaryLease.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    // A leader orders no promotion unless a majority supported it within this time. The rest of leaseDuration is left
    // for the order to reach the authority before a later leader may order.
    constexpr Duration orderProofAge = leaseDuration / 3;

    bool mayHoldLease(const LeaseRequester& requester, TimePoint now)
    {
        return now - requester.answeredAt_ < leaseDuration;
    }

    void recordRequest(std::map<InstanceId, LeaseRequester>& requesters, const InstanceId& id,
        const LeaseVersion& confirmed, TimePoint now)
    {
        std::erase_if(requesters, [&](const auto& item) { return !mayHoldLease(item.second, now); });
        auto& requester = requesters[id];
        requester.answeredAt_ = now;
        requester.confirmed_ = std::max(requester.confirmed_, confirmed);
    }

} // namespace

const PrimaryLease* findLease(const LeaseTable& table, const GroupId& group)
{
    const auto found = std::lower_bound(table.leases_.begin(), table.leases_.end(), group,
        [](const PrimaryLease& lease, const GroupId& id) { return lease.group_ < id; });
    return found == table.leases_.end() || found->group_ != group ? nullptr : &*found;
}

bool receiveLeases(LeaseView& view, const LeaseGrant& grant, std::optional<TimePoint> requestedAt)
{
    const bool isNew = grant.version_ > view.table_.version_;
    if (grant.version_ < view.table_.version_ || (isNew && !grant.table_))
        return false;
    if (isNew)
        view.table_ = *grant.table_;
    if (requestedAt && grant.age_ < leaseDuration)
        view.provenAt_ = std::max(view.provenAt_, *requestedAt - grant.age_);
    return isNew;
}

const PrimaryLease* validLease(const LeaseView& view, const GroupId& group, TimePoint now)
{
    return now - view.provenAt_ < leaseDuration ? findLease(view.table_, group) : nullptr;
}

bool isLeased(const LeaseView& view, const GroupId& group, const EndpointId& endpoint, TimePoint now)
{
    const auto* lease = validLease(view, group, now);
    return lease && lease->primary_ == endpoint;
}

LeaseGrant relayLeases(LeaseRelay& relay, const InstanceId& holder, const LeaseVersion& confirmed, TimePoint now)
{
    recordRequest(relay.holders_, holder, confirmed, now);
    const auto& view = relay.view_;
    LeaseGrant grant { view.table_.version_, now - view.provenAt_, std::nullopt };
    if (confirmed != grant.version_)
        grant.table_ = view.table_;
    return grant;
}

LeaseVersion confirmedVersion(const LeaseRelay& relay, TimePoint now)
{
    if (now - relay.startedAt_ < leaseDuration)
        return {};
    auto version = relay.view_.table_.version_;
    for (const auto& [id, holder] : relay.holders_) {
        if (mayHoldLease(holder, now))
            version = std::min(version, holder.confirmed_);
    }
    return version;
}

void beginLeases(LeaseAuthority& authority, Term term, TimePoint now)
{
    authority = { .leads_ = true, .leadsSince_ = now, .table_ = { { term, 1 }, {} } };
}

void endLeases(LeaseAuthority& authority)
{
    authority = {};
}

void setLeases(LeaseAuthority& authority, std::vector<PrimaryLease> leases, TimePoint now)
{
    std::sort(
        leases.begin(), leases.end(), [](const PrimaryLease& a, const PrimaryLease& b) { return a.group_ < b.group_; });
    if (!authority.leads_ || leases == authority.table_.leases_)
        return;
    ++authority.table_.version_.number_;
    const auto before = std::exchange(authority.table_.leases_, std::move(leases));
    // A lease that names another primary ends the one before, like one that is gone.
    for (const auto& lease : before) {
        const auto* current = findLease(authority.table_, lease.group_);
        if (!current || current->primary_ != lease.primary_)
            authority.withdrawals_[lease.group_] = { authority.table_.version_, now };
    }
}

std::optional<LeaseGrant> grantLeases(LeaseAuthority& authority, const InstanceId& relay, const LeaseVersion& confirmed,
    const LeaseVersion& known, TimePoint provenAt, TimePoint now)
{
    if (!authority.leads_)
        return std::nullopt;
    recordRequest(authority.relays_, relay, confirmed, now);
    LeaseGrant grant { authority.table_.version_, now - provenAt, std::nullopt };
    if (known != grant.version_)
        grant.table_ = authority.table_;
    return grant;
}

bool areLeasesEnded(const LeaseAuthority& authority, const GroupId& group, TimePoint now)
{
    if (!authority.leads_ || now - authority.leadsSince_ < leaseDuration || findLease(authority.table_, group))
        return false;
    const auto withdrawal = authority.withdrawals_.find(group);
    if (withdrawal == authority.withdrawals_.end() || now - withdrawal->second.since_ >= leaseDuration)
        return true;
    return std::all_of(authority.relays_.begin(), authority.relays_.end(), [&](const auto& item) {
        return !mayHoldLease(item.second, now) || item.second.confirmed_ >= withdrawal->second.version_;
    });
}

bool mayOrderPromotions(const LeaseAuthority& authority, TimePoint provenAt, TimePoint now)
{
    return authority.leads_ && now - authority.leadsSince_ >= leaseDuration && now - provenAt < orderProofAge;
}

} // namespace cassiahollow
