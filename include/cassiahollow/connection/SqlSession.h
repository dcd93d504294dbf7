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

/// Kind of a client's statement.
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

/// A decoded statement of a client. The text is kept because reads, writes and commits are sent to the endpoint
/// unchanged.
struct Statement {
    StatementKind kind_ { StatementKind::Malformed };
    std::string text_;
    std::string name_; ///< Set: the value's name. Prepare, Execute, Deallocate: the name of the prepared statement.
    std::string argument_; ///< Set: the value. Prepare: the shape. Execute: everything after the name.
    bool prepareWrites_ { false }; ///< Prepare: whether the shape writes.
};

/// Outcome of a statement whose response is an error.
enum class StatementError : std::uint8_t {
    Overloaded, ///< Not run: overload.
    Aborted, ///< None of the transaction's writes are kept.
    ReplicaBehind, ///< Not run: the endpoint's log ends before the required position.
    NotPrimary, ///< Not run: the endpoint is not the primary.
    WrongEndpoint, ///< Not run: the address belongs to another group or endpoint.
    ConnectionLimit, ///< Not run: the endpoint has too many connections.
    UnknownName, ///< Not run: no prepared statement has this name.
    UnknownDatabase, ///< Not run: no route has this name.
    InDoubt, ///< The writes may or may not have been committed.
    TimedOut, ///< The statement may have run.
    Failed, ///< The statement ran and failed.
    Malformed, ///< The statement could not be parsed or is not allowed in this state.
    UnknownKey, ///< Not run: no client account has the key.
    // Values travel between instances of different versions: add new ones here, at the end.
};

/// Returns whether the error guarantees that no write of the operation is kept.
bool guaranteesNoEffect(StatementError);

/// The shape of a prepared statement, as declared by PREPARE.
struct PreparedShape {
    std::string shape_;
    bool writes_ { false }; ///< Whether the statement writes.

    auto operator<=>(const PreparedShape&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Progress of a client's transaction.
enum class TransactionState : std::uint8_t {
    None,
    Deferred, ///< Begun by the client, but not yet at an endpoint.
    Open, ///< Begun at an endpoint, where it occupies a connection.
    Failed, ///< Ended at the endpoint, but not yet by the client.
};

/// State of a client's connection. It lives as long as that connection, regardless of which endpoints run its
/// statements.
struct SqlSession {
    std::string database_;
    std::map<std::string, std::string> values_; ///< Session values by name.
    std::map<std::string, PreparedShape> prepared_; ///< Prepared statements by the client's name for them.
    TransactionState transaction_ { TransactionState::None };
    bool readOnly_ { false }; ///< Whether the transaction was begun as read-only.
    TimePoint startedAt_; ///< When the transaction's first statement was received.
    OwnCommits ownCommits_;
};

/// Limit on the number of values of a session, and likewise of its prepared statements, to bound its memory.
inline constexpr std::size_t maximumSessionNames = 256;

/// Session values and prepared statements that are set on a connection to an endpoint.
struct ConnectionSessionState {
    std::map<std::string, std::string> values_;
    std::set<PreparedShape> prepared_;
};

/// One statement that brings a connection closer to the state of a session.
struct SessionSyncStep {
    enum class Kind : std::uint8_t { Discard, Set, Prepare };

    Kind kind_;
    std::string name_; ///< Set: the value's name. Prepare: the sharedStatementName() of the shape.
    std::string value_; ///< Set: the value. Prepare: the shape.
    bool writes_ { false }; ///< Prepare: whether the shape writes.
};

/// Returns the name under which every session prepares a shape at an endpoint, so that sessions can share connections.
std::string sharedStatementName(const PreparedShape&);

/// Returns the steps after which the connection has the session's values, the shape that is about to be executed if one
/// is needed, and no value of another session. Updates the state as if all steps had succeeded: close the connection if
/// one fails.
std::vector<SessionSyncStep> syncConnection(
    ConnectionSessionState&, const SqlSession&, const std::optional<PreparedShape>& needed);

/// Returns how many steps syncConnection() would return. Connections with fewer steps are preferred.
std::size_t syncCost(const ConnectionSessionState&, const SqlSession&, const std::optional<PreparedShape>& needed);

/// Sets a session value. Returns false if the name is new and the session already has maximumSessionNames values.
bool setValue(SqlSession&, const std::string& name, const std::string& value);
/// Stores a prepared statement under the client's name for it. Returns false if the name is new and the session already
/// has maximumSessionNames prepared statements.
bool prepare(SqlSession&, const std::string& name, PreparedShape);
/// Returns the shape of a prepared statement, or nothing if the session has none with this name.
std::optional<PreparedShape> preparedShape(const SqlSession&, const std::string& name);

} // namespace cassiahollow
