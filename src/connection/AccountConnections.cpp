#include "cassiahollow/connection/AccountConnections.h"

#include <algorithm>
#include <optional>

namespace cassiahollow {

namespace {

    using State = AccountConnection::State;

    // The cheapest idle connection of the account, else one that is being opened.
    std::optional<std::size_t> ownConnection(
        const std::vector<AccountConnection>& connections, const AccountId& account)
    {
        std::optional<std::size_t> best;
        const auto rank = [&](std::size_t i) {
            return std::pair(connections[i].state_ == State::Opening, connections[i].syncCost_);
        };
        for (std::size_t i = 0; i < connections.size(); ++i) {
            const auto& connection = connections[i];
            const bool isFree = connection.state_ == State::Idle || connection.state_ == State::Opening;
            if (isFree && connection.account_ == account && (!best || rank(i) < rank(*best)))
                best = i;
        }
        return best;
    }

    // Whether the account's own connections are expected to have served what waits before a new one would be open. A
    // connection that is overdue by more than that time says nothing.
    bool isOwnFreeSoon(const std::vector<AccountConnection>& connections, const ConnectionDemand& demand, TimePoint now)
    {
        std::size_t own = 0;
        auto earliest = TimePoint::max();
        for (const auto& connection : connections) {
            const bool counts = connection.state_ == State::Busy && connection.account_ == demand.account_
                && connection.freeBy_ != TimePoint::max() && now - connection.freeBy_ < connectionOpenTime;
            if (!counts)
                continue;
            ++own;
            earliest = std::min(earliest, connection.freeBy_);
        }
        if (own == 0 || demand.waiting_ == 0)
            return false;
        const auto ahead = static_cast<Duration::rep>((demand.waiting_ - 1) / own);
        return std::max(earliest, now) + demand.serviceTime_ * ahead < now + connectionOpenTime;
    }

    std::optional<std::size_t> longestIdle(const std::vector<AccountConnection>& connections)
    {
        std::optional<std::size_t> longest;
        for (std::size_t i = 0; i < connections.size(); ++i) {
            if (connections[i].state_ == State::Idle
                && (!longest || connections[i].usedAt_ < connections[*longest].usedAt_))
                longest = i;
        }
        return longest;
    }

} // namespace

ConnectionChoice chooseConnection(
    const std::vector<AccountConnection>& connections, const ConnectionDemand& demand, TimePoint now)
{
    if (const auto own = ownConnection(connections, demand.account_))
        return { ConnectionAction::Use, *own };
    if (isOwnFreeSoon(connections, demand, now))
        return { ConnectionAction::WaitForOwn, 0 };
    if (!demand.mayOpen_)
        return { ConnectionAction::Wait, 0 };
    const auto open = static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(),
        [](const AccountConnection& connection) { return connection.state_ != State::Closed; }));
    if (open < demand.limit_)
        return { ConnectionAction::Open, 0 };
    // Above the limit, because it was lowered, several have to make room for one.
    const auto idle = static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(),
        [](const AccountConnection& connection) { return connection.state_ == State::Idle; }));
    if (const auto other = longestIdle(connections); other && demand.limit_ > 0 && idle > open - demand.limit_)
        return { ConnectionAction::Replace, *other };
    return { ConnectionAction::Wait, 0 };
}

bool mayStart(const ConnectionChoice& choice)
{
    return choice.action_ != ConnectionAction::Wait && choice.action_ != ConnectionAction::WaitForOwn;
}

} // namespace cassiahollow
