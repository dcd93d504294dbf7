#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow::standin {

/// One write of a database: its statements, its request key and the answer that a repetition receives.
struct LogEntry {
    LogPosition position_;
    std::string key_; ///< Empty for none.
    std::vector<std::string> writes_; ///< SET and APPEND statements; none for the first entry of a term.
    std::vector<std::string> answers_; ///< Answers to all statements of the request, reads included.

    bool operator==(const LogEntry&) const = default;
};

/// Asks a primary for the entries after a position. This message and its answer belong to the stand-in, not to the
/// protocol between instances and endpoints.
struct PullRequest {
    Term term_ { 0 }; ///< Term in which the receiver has to be primary.
    LogPosition position_; ///< Position that the replica supposes to have in common with the primary.

    bool operator==(const PullRequest&) const = default;
};

/// Entries of a primary, or a hint where to look for the common position.
struct PullAnswer {
    Term term_ { 0 }; ///< Term in which the sender is primary; 0 if it is not primary in the requested term.
    bool isMatch_ { false }; ///< Whether the sender's log contains the requested position.
    LogPosition position_; ///< The requested position, or else the highest one that the logs may have in common.
    LogPosition last_; ///< Last position of the sender's log.
    std::vector<LogEntry> entries_;
};

/// A fence, promotion or follow that was accepted.
struct RoleRecord {
    Term promisedTerm_ { 0 };
    InstanceId promoter_;
    bool isPrimary_ { false };
    EndpointId primary_;
    std::string primaryAddress_;

    bool operator==(const RoleRecord&) const = default;
};

/// The entries after this index were dropped.
struct TruncateRecord {
    std::uint64_t index_ { 0 };
};

/// One durable change of a database.
using JournalRecord = std::variant<LogEntry, RoleRecord, TruncateRecord>;

std::string encodePullRequest(const PullRequest&);
std::string encodePullAnswer(const PullAnswer&);
std::string encodeJournalRecord(const JournalRecord&);

/// Decoders fail with Reason::MessageMalformed.
boost::leaf::result<PullRequest> decodePullRequest(std::string_view);
boost::leaf::result<PullAnswer> decodePullAnswer(std::string_view);
boost::leaf::result<JournalRecord> decodeJournalRecord(std::string_view);

} // namespace cassiahollow::standin
