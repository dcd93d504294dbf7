#pragma once

#include "cassiahollow/process/Types.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace cassiahollow {

/// Every reason for which a request is refused, left unknown or retried, and every reason for which a message is
/// dropped. Each has one counter and one line in docs/reasons.md. Add new values before Count.
enum class Reason : std::uint8_t {
    // Refusals of requests.
    MalformedRequest,
    RequestTooLarge,
    RequestTooSlow,
    UnknownService,
    UnknownClass,
    SessionTokenInvalid,
    KeyRequired,
    ShuttingDown,
    QueueFull,
    DeadlineUnreachable,
    DeadlinePassed,
    GroupWithoutMajority,
    GroupWithoutPrimary,
    GroupUnknown,
    EndpointLeaving,
    NoEndpointForRead,
    HolderUnreachable,
    StaleTerm,
    StatementFailed,
    TransactionUnknown,
    TransactionIdle,
    TransactionAborted,
    TooManyConnections,
    ResponseLost,
    NotConfirmed,
    // Reasons for another attempt.
    RetryConnectionLost,
    RetryStaleRoute,
    RetryHolderMoved,
    RetryReplicaBehind,
    RetryConnectionRefused,
    RetryBudgetSpent,
    RetryResponseLate,
    // Operators.
    CredentialInvalid,
    SettingsRevisionConflict,
    SettingsInvalid,
    NotLeader,
    NoControlMajority,
    // Messages between instances and exchanges with endpoints.
    MessageMalformed,
    MessageUnauthentic,
    MessageStaleIncarnation,
    MessageQueueFull,
    MessageRepeated,
    ResponseMismatched,
    EndpointConnectFailed,
    EndpointConnectionLimit,
    EndpointSilent,
    StorageFailed,
    StorageDamaged,
    Count
};

/// What is fixed about a reason.
struct ReasonInfo {
    Reason reason_;
    std::string_view name_; ///< Counter label and JSON text, in snake_case.
    Outcome outcome_; ///< The outcome that a request refused for this reason has.
    std::string_view remedy_; ///< What the caller or operator can do.
};

/// Looks up what is fixed about a reason. The result lives as long as the process.
const ReasonInfo& reasonInfo(Reason);

/// All reasons in the order of the enumeration.
const std::array<ReasonInfo, static_cast<std::size_t>(Reason::Count)>& allReasons();

/// The error type of results: a reason and what it was about.
struct Failure {
    Reason reason_;
    std::string detail_;
};

/// "name: detail; remedy" for logs and operators.
std::string failureMessage(const Failure&);

} // namespace cassiahollow
