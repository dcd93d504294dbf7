#pragma once

#include "cassiahollow/process/Types.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace cassiahollow {

/// Every reason why a request is refused, has an unknown outcome or is retried, and every reason why a message is
/// dropped. Each has one counter and one line in docs/reasons.md. Add new values before Count.
enum class Reason : std::uint8_t {
    // Requests that were refused or have an unknown outcome.
    MalformedRequest,
    RequestTooLarge,
    RequestTooSlow,
    UnknownService,
    UnknownClass,
    UnknownKey,
    KeyRemoved,
    KeysUnconfirmed,
    SessionTokenInvalid,
    KeyRequired,
    ShuttingDown,
    QuotaExceeded,
    QuotaUnavailable,
    QueueFull,
    DeadlineUnreachable,
    DeadlinePassed,
    GroupWithoutMajority,
    GroupWithoutPrimary,
    PrimaryNotLeased,
    LeaseEnded,
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
    // Retries.
    RetryConnectionLost,
    RetryStaleRoute,
    RetryHolderMoved,
    RetryReplicaBehind,
    RetryConnectionRefused,
    RetryBudgetSpent,
    RetryResponseLate,
    // Requests of operators.
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
    AnswerUnasked,
    AnswerRepeated,
    EndpointConnectFailed,
    EndpointConnectionLimit,
    EndpointSilent,
    StorageFailed,
    StorageDamaged,
    // Clients outside the limits of the process.
    MemoryFull,
    StartTooSlow,
    AnswersNotRead,
    Count
};

/// Static properties of a reason.
struct ReasonInfo {
    Reason reason_;
    std::string_view name_; ///< Label of the counter and text in JSON, in snake_case.
    Outcome outcome_; ///< Outcome of a request that ends for this reason.
    std::string_view remedy_; ///< What the caller or operator can do.
};

/// Returns the static properties of a reason. The reference stays valid for the lifetime of the process.
const ReasonInfo& reasonInfo(Reason);

/// All reasons in the order of the enumeration.
const std::array<ReasonInfo, static_cast<std::size_t>(Reason::Count)>& allReasons();

/// Error type of results: a reason, and a detail such as the affected object.
struct Failure {
    Reason reason_;
    std::string detail_;
};

/// Formats a failure as "name: detail; remedy" for logs and operators.
std::string failureMessage(const Failure&);

} // namespace cassiahollow
