#pragma once

#include "cassiahollow/process/Types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cassiahollow {

/// Which connection to an endpoint a statement of a client account uses. A connection belongs to one account for its
/// whole lifetime, and a statement may only run on one of its own account.
///
/// Covers the load pattern of more accounts than an endpoint accepts connections: an account that was quiet for a while
/// needs a connection although all places are taken, and each new connection occupies a slot of the endpoint that
/// statements need.

/// One connection to the endpoint.
struct AccountConnection {
    enum class State : std::uint8_t {
        Idle,
        Opening, ///< Not accepted yet, and nothing waits for it.
        Busy, ///< A statement or a transaction owns it.
        Closed,
    };

    AccountId account_; ///< Empty: of the instance and of clients without an account.
    State state_ { State::Idle };
    TimePoint usedAt_; ///< Idle: the last use.
    TimePoint freeBy_; ///< Busy: when it is expected to be free; TimePoint::max() if a transaction owns it.
    std::size_t syncCost_ { 0 }; ///< Statements that bring it to the session's values and prepared names.
};

/// What a statement needs, and what the endpoint allows.
struct ConnectionDemand {
    AccountId account_;
    std::size_t limit_ { 1 }; ///< Maximum of open connections of this instance to the endpoint.
    bool mayOpen_ { true }; ///< False while new connections have to pause.
    /// Statements of the account that wait for this endpoint, this one included; 0 if the statement must not wait for a
    /// connection that is busy.
    std::size_t waiting_ { 0 };
    Duration serviceTime_ { 0 }; ///< Expected time of one statement.
};

enum class ConnectionAction : std::uint8_t {
    Use, ///< The connection at index_.
    Open,
    Replace, ///< Close the connection at index_. Ask again while the limit is not undercut, then open one.
    WaitForOwn, ///< One of the account's own is expected to be free before a new one would be open.
    Wait, ///< All are busy, or new connections have to pause.
};

struct ConnectionChoice {
    ConnectionAction action_ { ConnectionAction::Wait };
    std::size_t index_ { 0 };
};

/// Expected time until a new connection is ready: the platform states 12 ms of a slot, and there is a round trip.
inline constexpr Duration connectionOpenTime = std::chrono::milliseconds(15);

/// An idle connection of the account comes first. Below the limit, a new one is opened; at the limit, the connection of
/// another account that has been idle for the longest time is replaced.
ConnectionChoice chooseConnection(const std::vector<AccountConnection>&, const ConnectionDemand&, TimePoint now);

/// Whether a statement can start at once with this choice.
bool mayStart(const ConnectionChoice&);

} // namespace cassiahollow
