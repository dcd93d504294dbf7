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

/// The primary of a group.
struct WriteRoute {
    EndpointId primary_;
    Term term_ { 0 };

    bool operator==(const WriteRoute&) const = default;
};

/// How a write may be repeated.
enum class WriteKind : std::uint8_t {
    Statements, ///< A whole request; may be sent again with its key.
    Commit, ///< The commit of a transaction; its statements are gone with the connection, so it is only looked up.
};

/// What is fixed about one write.
struct WriteRequest {
    /// The key at the endpoint: callerWriteKey() or generatedWriteKey().
    std::string key_;
    WriteKind kind_ { WriteKind::Statements };
    bool keysStored_ { true }; ///< False if the group has the setting `keys: none`.
    TimePoint deadline_;
};

/// An attempt that was given out and not proved to be without effect.
struct OpenAttempt {
    std::uint64_t number_ { 0 };
    Term term_ { 0 };
    bool sent_ { false }; ///< WriteSent was received: bytes may have reached the endpoint.
    bool finished_ { false }; ///< Its connection is gone or it has answered; no further event is expected.
    bool lookup_ { false }; ///< A question about the key; never runs anything.
};

/// A result of the endpoint that waits for its confirmation.
struct UnconfirmedResult {
    LogPosition required_; ///< A confirmed position of the same term at or past this one confirms the result.
    LogPosition position_; ///< For the session token.
    bool present_ { true }; ///< False: the key is absent, which proves "not run" once confirmed.
    std::uint64_t attempt_ { 0 };
};

/// The state of one write. Owned by the instance that answers the caller; lives until the answer.
struct WriteState {
    WriteRequest request_;
    std::optional<WriteRoute> route_;
    std::vector<OpenAttempt> openAttempts_;
    std::optional<UnconfirmedResult> result_;
    std::map<Term, std::uint64_t> confirmed_; ///< The newest confirmed index of each term.
    std::uint64_t attempts_ { 0 }; ///< Attempts given out, lookups included.
    std::uint32_t retries_ { 0 };
    std::optional<TimePoint> retryAt_; ///< When to try again; absent while an attempt or a confirmation is awaited.
    Term staleTerm_ { 0 }; ///< Routes at or below this term are known to be out of date.
    std::optional<Reason> refusal_; ///< Why the request itself cannot run; it is not sent again.
    bool budgetExhausted_ { false }; ///< The last retry had to wait for the budget.
    bool responded_ { false };
};

/// The attempt's bytes are about to be handed to a connection or to another instance. Has to be fed before that:
/// an attempt without this event counts as not run. Nothing may be sent if maySend() is false.
struct WriteSent {
    std::uint64_t attempt_ { 0 };
};

/// The endpoint answered `done`.
struct WriteResponded {
    std::uint64_t attempt_ { 0 };
    LogPosition position_; ///< log_term and log_index of the answer; of a stored answer those of the first run.
};

/// The endpoint, or its holder before sending, said that the attempt was not run.
struct WriteNotRun {
    std::uint64_t attempt_ { 0 };
    Reason reason_ { Reason::StaleTerm };
    Term promisedTerm_ { 0 }; ///< The endpoint's promised term; 0 if not known.
};

/// The endpoint answered a lookup.
struct WriteLookedUp {
    std::uint64_t attempt_ { 0 };
    bool present_ { false };
    LogPosition position_; ///< Position in the stored answer; 0:0 if the key is absent or the position unknown.
};

/// The connection, or the instance that holds it, is gone or has been silent for too long.
struct WriteConnectionLost {
    std::uint64_t attempt_ { 0 };
    bool unsent_ { false }; ///< True only if it is certain that no byte of the attempt reached the connection.
};

/// A majority of the members reported this position or a later one of the same term.
struct WriteConfirmed {
    LogPosition position_;
};

/// The group's newest route is this one. Also the first event of a write whose group has a primary.
struct WriteRouteChanged {
    WriteRoute route_;
};

/// The group cannot take writes now: GroupWithoutMajority, GroupUnknown, ShuttingDown and the like.
struct WriteRefused {
    Reason reason_ { Reason::GroupWithoutMajority };
};

/// The time of the last wait has come, be it a retry or the deadline.
struct WriteTimer { };

using WriteEvent = std::variant<WriteSent, WriteResponded, WriteNotRun, WriteLookedUp, WriteConnectionLost,
    WriteConfirmed, WriteRouteChanged, WriteRefused, WriteTimer>;

/// Send the write, or the lookup of its key, to the endpoint. Events about it carry the attempt number.
struct WriteRunAt {
    EndpointId endpoint_;
    Term term_ { 0 };
    std::string key_; ///< Empty if the group stores no keys.
    std::uint64_t attempt_ { 0 };
    bool lookup_ { false };
};

/// Answer the caller. No further action follows.
struct WriteResponse {
    Outcome outcome_ { Outcome::Unknown };
    std::optional<Reason> reason_; ///< Absent if done; else a reason that is sent with this outcome.
    LogPosition position_; ///< If done: for the session token.
    std::uint64_t attempt_ { 0 }; ///< If done: the attempt whose answer the caller gets.
};

/// Nothing to do until the next event; send WriteTimer at the time if there is none before.
struct WriteWait {
    TimePoint until_;
};

using WriteAction = std::variant<WriteRunAt, WriteResponse, WriteWait>;

/// Starts a write. Its first event is WriteRouteChanged, or WriteTimer if the group has no primary yet.
WriteState startWrite(WriteRequest);

/// Advances one write. Events about attempts that are unknown or resolved are ignored, and so is everything after
/// the answer.
WriteAction stepWrite(WriteState&, const WriteEvent&, RetryBudget&, TimePoint now);

/// Whether the attempt may be sent: it has not been replaced by a later one and the caller has no answer yet.
bool maySend(const WriteState&, std::uint64_t attempt);

/// The key at the endpoint for a key of a caller. It contains the service, so that services with equal keys do not
/// get each other's answers.
std::string callerWriteKey(const ServiceId&, std::string_view callerKey);

/// A key for a write that came without one. Unique: an instance has a new incarnation at each start, and counts its
/// requests.
std::string generatedWriteKey(const InstanceId&, Incarnation, std::uint64_t request);

} // namespace cassiahollow
