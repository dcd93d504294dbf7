#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"
#include "cassiahollow/request/RetryBudget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// The primary of a group in one term.
struct WriteRoute {
    EndpointId primary_;
    Term term_ { 0 };

    bool operator==(const WriteRoute&) const = default;
};

/// How a write may be repeated.
enum class WriteKind : std::uint8_t {
    Statements, ///< A complete request; may be sent again with its key.
    Commit, ///< Commit of a transaction; its statements are lost with the connection, so it can only be looked up.
};

/// The constant parameters of one write.
struct WriteRequest {
    /// The key at the endpoint: callerWriteKey() or generatedWriteKey().
    std::string key_;
    WriteKind kind_ { WriteKind::Statements };
    bool keysStored_ { true }; ///< False if the group has the setting `keys: none`.
    TimePoint deadline_;
};

/// An attempt that was started and is not proved to have had no effect.
struct OpenAttempt {
    std::uint64_t number_ { 0 };
    Term term_ { 0 };
    bool sent_ { false }; ///< WriteSent was received: bytes may have reached the endpoint.
    bool finished_ { false }; ///< Its connection is lost or it has a response; no event is due.
    bool lookup_ { false }; ///< Reads the stored result of the key; runs nothing.
};

/// A result of the endpoint that a majority has not confirmed yet.
struct UnconfirmedResult {
    LogPosition required_; ///< Confirmed by a position of this term at or past this one.
    LogPosition position_; ///< For the session token.
    bool present_ { true }; ///< False: no key stored, which proves "not run" once confirmed.
    std::uint64_t attempt_ { 0 };
};

/// The state of one write. Owned by the instance that responds to the caller, until the response.
struct WriteState {
    WriteRequest request_;
    std::optional<WriteRoute> route_;
    std::vector<OpenAttempt> openAttempts_;
    std::optional<UnconfirmedResult> result_;
    std::map<Term, std::uint64_t> confirmed_; ///< The newest confirmed index of each term.
    std::uint64_t attempts_ { 0 }; ///< Number of attempts started, including lookups.
    std::uint32_t retries_ { 0 };
    std::optional<TimePoint> retryAt_; ///< Next retry; absent while an attempt or a confirmation is pending.
    Term staleTerm_ { 0 }; ///< Routes of this term or below are out of date.
    std::optional<Reason> refusal_; ///< Why the request cannot run; it is not sent again.
    bool budgetExhausted_ { false }; ///< The last retry was delayed by the retry budget.
    bool responded_ { false };
};

/// The attempt is about to be passed to a connection or to another instance. This event must come before any byte is
/// passed on, because an attempt without it counts as not run. Nothing may be sent if maySend() is false.
struct WriteSent {
    std::uint64_t attempt_ { 0 };
};

/// The endpoint responded with `done`.
struct WriteResponded {
    std::uint64_t attempt_ { 0 };
    LogPosition position_; ///< log_term and log_index; for a stored result those of its first run.
};

/// The endpoint, or its holder before sending, reported that the attempt was not run.
struct WriteNotRun {
    std::uint64_t attempt_ { 0 };
    Reason reason_ { Reason::StaleTerm };
    Term promisedTerm_ { 0 }; ///< The endpoint's promised term; 0 if unknown.
};

/// The endpoint responded to a lookup.
struct WriteLookedUp {
    std::uint64_t attempt_ { 0 };
    bool present_ { false };
    LogPosition position_; ///< Position of the stored result; 0:0 if there is no key or no position.
};

/// The connection, or the instance that holds it, was lost or has timed out.
struct WriteConnectionLost {
    std::uint64_t attempt_ { 0 };
    bool unsent_ { false }; ///< True only if no byte of the attempt can have reached the connection.
};

/// A majority of the members reported this position or a later one of the same term.
struct WriteConfirmed {
    LogPosition position_;
};

/// The group has a new route. Also the first event of a write whose group has a primary.
struct WriteRouteChanged {
    WriteRoute route_;
};

/// The group cannot accept writes now, for example GroupWithoutMajority, GroupUnknown or ShuttingDown.
struct WriteRefused {
    Reason reason_ { Reason::GroupWithoutMajority };
};

/// WriteWait::until_ was reached: a retry is due or the deadline has passed.
struct WriteTimer { };

using WriteEvent = std::variant<WriteSent, WriteResponded, WriteNotRun, WriteLookedUp, WriteConnectionLost,
    WriteConfirmed, WriteRouteChanged, WriteRefused, WriteTimer>;

/// Send the write, or a lookup of its key, to the endpoint. Events of this attempt carry its number.
struct WriteRunAt {
    EndpointId endpoint_;
    Term term_ { 0 };
    std::string key_; ///< Empty if the group stores no keys.
    std::uint64_t attempt_ { 0 };
    bool lookup_ { false };
};

/// Respond to the caller. No further action follows.
struct WriteResponse {
    Outcome outcome_ { Outcome::Unknown };
    std::optional<Reason> reason_; ///< Absent if done; else the reason to send with the outcome.
    LogPosition position_; ///< If done: position for the session token.
    std::uint64_t attempt_ { 0 }; ///< If done: the attempt whose response is passed to the caller.
};

/// Nothing to do until the next event. Pass WriteTimer to stepWrite() at until_ if no event comes earlier.
struct WriteWait {
    TimePoint until_;
};

using WriteAction = std::variant<WriteRunAt, WriteResponse, WriteWait>;

/// Starts a write. Its first event is WriteRouteChanged, or WriteTimer if the group has no primary yet.
WriteState startWrite(WriteRequest);

/// Applies an event and returns the next action. Ignores events of unknown or resolved attempts, and all events after
/// the response.
WriteAction stepWrite(WriteState&, const WriteEvent&, RetryBudget&, TimePoint now);

/// Whether the attempt may be sent: no later attempt has replaced it and the caller has no response yet.
bool maySend(const WriteState&, std::uint64_t attempt);

/// The key at the endpoint for a caller's key. It contains the service name, so that services with equal keys do not
/// receive each other's responses.
std::string callerWriteKey(const ServiceId&, std::string_view callerKey);

/// A key for a write without a caller's key. It is unique, because an instance has a new incarnation at each start and
/// numbers its requests.
std::string generatedWriteKey(const InstanceId&, Incarnation, std::uint64_t request);

} // namespace cassiahollow
