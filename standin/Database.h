#pragma once

#include "LogEntry.h"
#include "cassiahollow/connection/EndpointProtocol.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiahollow::standin {

/// Number of a connection at the stand-in. A transaction belongs to one connection.
using ConnectionNumber = std::uint64_t;

struct StoredValue {
    std::string content_;
    std::uint64_t version_ { 0 }; ///< Index of the entry that wrote the value.
};

/// Statements that have run but are seen by nobody else yet.
struct Transaction {
    Term term_ { 0 };
    bool isAborted_ { false };
    std::map<std::string, std::string> contents_; ///< Values as the transaction sees them.
    std::map<std::string, std::uint64_t> versions_; ///< Version of each key when the transaction first touched it.
    std::vector<std::string> writes_;
};

/// State of one database. It does no I/O and reads no clock: the server feeds requests and pulled entries in, writes
/// the journal records out, and sends no answer before they are synced.
struct Database {
    EndpointId id_;
    RoleRecord role_;
    bool isLeaving_ { false };
    std::vector<LogEntry> log_; ///< Entry with index i is at i - 1.
    std::unordered_map<std::string, StoredValue> values_;
    std::unordered_map<std::string, std::uint64_t> keys_; ///< Index of the entry with a request key.
    std::map<ConnectionNumber, Transaction> transactions_;
    std::optional<LogPosition> probe_; ///< Next supposed common position while a replica looks for it.
    std::vector<JournalRecord> journal_; ///< Changes that are not synced yet; the server takes them out.
};

/// The database that the records of a journal describe. A database that was primary is still the primary of its term:
/// all its entries were synced before anyone saw them. Fails if the records do not follow from each other.
boost::leaf::result<Database> restoreDatabase(EndpointId, std::span<const JournalRecord>);

LogPosition lastPosition(const Database&);
EndpointReport makeReport(const Database&);

/// Carries out any request but hello and watch, which are the server's.
EndpointResult execute(Database&, ConnectionNumber, const EndpointOperation&);

/// Drops the transaction of a connection that has ended.
void endConnection(Database&, ConnectionNumber);

/// Answers a replica's pull. Returns nothing if the replica has all entries.
std::optional<PullAnswer> answerPull(const Database&, const PullRequest&);

/// The next pull of a replica that follows a primary; nothing for others.
std::optional<PullRequest> nextPull(const Database&);

/// Takes entries over from the primary and drops those that the primary does not have. Returns false if the answer
/// was refused, or has only moved the supposed common position; pulls must then start again with nextPull().
bool takeEntries(Database&, const PullAnswer&);

} // namespace cassiahollow::standin
