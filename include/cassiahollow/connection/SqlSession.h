#pragma once

#include "cassiahollow/process/Types.h"
#include "cassiahollow/request/PositionSamples.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassiahollow {

enum class StatementKind : std::uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    Set,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
};

/// One statement of a client, decoded. The text is kept, because reads, writes and commits run unchanged.
struct Statement {
    StatementKind kind_ { StatementKind::Malformed };
    std::string text_;
    std::string name_; ///< Set: the value's name. Prepare, Execute, Deallocate: the prepared name.
    std::string argument_; ///< Set: the value. Prepare: the shape. Execute: everything after the name.
    bool prepareWrites_ { false }; ///< Prepare: the shape writes.
};

/// What an answer with an error says about the statement.
enum class StatementError : std::uint8_t {
    Overloaded, ///< Not run.
    Aborted, ///< Nothing of the transaction is kept.
    ReplicaBehind, ///< Not run: the log lacks the wanted position.
    NotPrimary, ///< Not run.
    WrongEndpoint, ///< Not run: another group or endpoint is at this address.
    ConnectionLimit, ///< Not run: the endpoint has too many connections.
    UnknownName, ///< Not run: no such prepared name.
    UnknownDatabase, ///< Not run: no route has this name.
    InDoubt, ///< May or may not be kept.
    TimedOut, ///< May have run.
    Failed, ///< Ran and failed.
    Malformed, ///< Not understood, or not allowed in this state.
};

/// Whether the error promises that nothing of the operation is kept.
bool guaranteesNoEffect(StatementError);

struct PreparedShape {
    std::string shape_;
    bool writes_ { false };

    auto operator<=>(const PreparedShape&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Where a client's transaction stands.
enum class TransactionState : std::uint8_t {
    None,
    Deferred, ///< Begun for the client, not yet at an endpoint.
    Open, ///< Begun at an endpoint; owns a connection there.
    Failed, ///< Ended at the endpoint; the client has not ended it yet.
};

/// The state of a client's connection: it lives as long as the connection, whatever endpoint serves its statements.
struct SqlSession {
    std::string database_;
    std::map<std::string, std::string> values_;
    std::map<std::string, PreparedShape> prepared_;
    TransactionState transaction_ { TransactionState::None };
    bool readOnly_ { false }; ///< The transaction was begun as read-only.
    TimePoint startedAt_; ///< Arrival of the transaction's first statement.
    OwnCommit ownCommit_;
};

/// At most this many values, and as many prepared names, are kept for a session, to bound its memory.
inline constexpr std::size_t maximumSessionNames = 256;

/// What an endpoint's connection holds of sessions that used it.
struct ConnectionSessionState {
    std::map<std::string, std::string> values_;
    std::set<PreparedShape> prepared_;
};

/// One statement that makes a connection fit a session.
struct SessionSyncStep {
    enum class Kind : std::uint8_t { Discard, Set, Prepare };

    Kind kind_;
    std::string name_; ///< Set: the value's name. Prepare: the shape's shared name.
    std::string value_; ///< Set: the value. Prepare: the shape.
    bool writes_ { false };
};

/// The name under which all sessions prepare a shape, so that connections can be shared.
std::string sharedStatementName(const PreparedShape&);

/// The steps that make the connection hold the session's values and the shape that is about to be executed, and no
/// value of another session. Updates the fit as if they had succeeded: close the connection when one fails.
std::vector<SessionSyncStep> syncConnection(
    ConnectionSessionState&, const SqlSession&, const std::optional<PreparedShape>& needed);

/// How many steps syncConnection would return; connections with fewer are preferred.
std::size_t syncCost(const ConnectionSessionState&, const SqlSession&, const std::optional<PreparedShape>& needed);

/// Stores a value. Returns false when the session has too many.
bool setValue(SqlSession&, const std::string& name, const std::string& value);
/// Stores a prepared name. Returns false when the session has too many.
bool prepare(SqlSession&, const std::string& name, PreparedShape);
/// The shape behind a prepared name, if the session has it.
std::optional<PreparedShape> preparedShape(const SqlSession&, const std::string& name);

} // namespace cassiahollow
