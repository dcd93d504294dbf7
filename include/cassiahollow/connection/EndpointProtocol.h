#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// Messages above this size are refused by the decoders, so that one message cannot exhaust the memory of a process.
inline constexpr std::size_t maxEndpointMessageBytes = 1U << 20U;
/// Longest id, address and request key, in bytes. The key limit is the one that callers are told.
inline constexpr std::size_t maxEndpointNameBytes = 128;
/// Most statements of one request.
inline constexpr std::size_t maxEndpointStatements = 1024;
/// Number of an exchange on a connection. The requesting side chooses it, starting at 1; 0 marks a refusal that the
/// endpoint sends without a request, as when its connection limit is reached.
using ExchangeNumber = std::uint64_t;

/// "replica" or "primary".
std::string_view endpointRoleName(EndpointRole);

/// Why an endpoint has not run a request. A text that the decoder does not know becomes Other.
enum class EndpointRefusal : std::uint8_t {
    ConnectionLimit, ///< The endpoint has no free connection; it closes this one.
    StaleTerm, ///< The term of the request is not the one the endpoint has promised.
    OtherPromoter, ///< The term is promised to another promoter.
    NotPrimary, ///< A write or transaction was sent to a replica.
    ReplicaBehind, ///< The log ends before the required position.
    StatementFailed, ///< The endpoint does not understand a statement, or a write was marked as a read.
    TransactionUnknown, ///< No transaction is open on the connection.
    TransactionOpen, ///< The connection has an open transaction already.
    TransactionAborted, ///< A concurrent write to the same data, or a new term, has ended the transaction.
    Leaving, ///< The endpoint is shutting down.
    Malformed, ///< The endpoint could not decode the request.
    Other,
    Count
};

/// The JSON text of a refusal, in snake_case.
std::string_view endpointRefusalName(EndpointRefusal);

/// The reason under which an instance counts and passes on the refusal of an endpoint.
Reason reasonOfRefusal(EndpointRefusal);

/// First request on a connection.
struct HelloRequest {
    InstanceId instance_;
};

/// Runs statements, on their own or within the transaction that is open on the connection.
struct RunRequest {
    Term term_ { 0 };
    std::vector<std::string> statements_;
    bool readOnly_ { false };
    bool transaction_ { false };
    std::string key_; ///< Request key; empty for none. Not allowed within a transaction, where commit carries it.
    LogPosition minPosition_; ///< The endpoint refuses the request if its log ends before this; {0,0} for none.
};

struct BeginRequest {
    Term term_ { 0 };
};

struct CommitRequest {
    Term term_ { 0 };
    std::string key_; ///< Request key; empty for none.
};

struct RollbackRequest {
    Term term_ { 0 };
};

/// Asks for the stored answer of a write.
struct LookupRequest {
    std::string key_;
};

/// Asks for a report on each change and at least once per interval. The endpoint keeps the connection for reports.
struct WatchRequest {
    std::chrono::milliseconds interval_ { 100 };
};

/// Asks for one report.
struct ReportRequest { };

/// Asks the endpoint to refuse all terms below this one.
struct FenceRequest {
    Term term_ { 0 };
    InstanceId promoter_;
};

/// Makes the endpoint the primary of the term.
struct PromoteRequest {
    Term term_ { 0 };
    InstanceId promoter_;
};

/// Makes the endpoint a replica of the term's primary.
struct FollowRequest {
    Term term_ { 0 };
    InstanceId promoter_;
    EndpointId primary_;
    std::string primaryAddress_; ///< "ip:port"
};

using EndpointOperation = std::variant<HelloRequest, RunRequest, BeginRequest, CommitRequest, RollbackRequest,
    LookupRequest, WatchRequest, ReportRequest, FenceRequest, PromoteRequest, FollowRequest>;

/// One request to an endpoint.
struct EndpointRequest {
    ExchangeNumber exchange_ { 0 };
    EndpointOperation operation_;
};

struct HelloResponse {
    EndpointId endpoint_;
    std::uint64_t connection_ { 0 }; ///< Number of the connection at the endpoint, for its log lines.
};

/// The request was run. Answers to begin, commit and rollback have no statement answers.
struct DoneResponse {
    std::vector<std::string> responses_; ///< One per statement.
    /// A write: the entry that holds it. A read: the last entry that it saw.
    LogPosition position_;
    bool repeated_ { false }; ///< The key was stored already; answers and position are those of the first run.
};

/// Proof that the request was not run and will not be.
struct NotRunResponse {
    EndpointRefusal reason_ { EndpointRefusal::Other };
    Term promisedTerm_ { 0 };
    std::string detail_;
};

/// The stored answer of a write.
struct PresentResponse {
    std::vector<std::string> responses_;
    LogPosition position_;
};

/// No write with the key is in the log up to the position.
struct AbsentResponse {
    Term promisedTerm_ { 0 };
    LogPosition position_;
};

/// State of an endpoint, as answer to report, fence, promote and follow and as a message of a watch.
struct EndpointReport {
    EndpointId endpoint_;
    EndpointRole role_ { EndpointRole::Replica };
    Term promisedTerm_ { 0 }; ///< A primary is the primary of this term.
    LogPosition position_; ///< Last entry of the log, synced if the endpoint has a disk.
    bool leaving_ { false };
    EndpointId primary_; ///< Primary that the endpoint follows in the promised term, itself included; empty for none.

    bool operator==(const EndpointReport&) const = default;
};

using EndpointResult
    = std::variant<HelloResponse, DoneResponse, NotRunResponse, PresentResponse, AbsentResponse, EndpointReport>;

/// One answer of an endpoint. Reports of a watch carry the number of the watch request.
struct EndpointResponse {
    ExchangeNumber exchange_ { 0 };
    EndpointResult result_;
};

/// What an endpoint tells an instance each second.
struct EndpointAnnouncement {
    EndpointId endpoint_;
    GroupId group_;
    std::string address_; ///< "ip:port" of the endpoint's WebSocket listener.
    DataCentre dataCentre_;
    std::uint32_t slots_ { 1 }; ///< Statements that the endpoint runs at once.
    std::uint32_t connections_ { 1 }; ///< Connections that it accepts.
    EndpointRole role_ { EndpointRole::Replica };
    Term promisedTerm_ { 0 };
    bool leaving_ { false };
    std::uint64_t started_ { 0 }; ///< Start of the endpoint's process, in ms since the Unix epoch by its own clock.
    std::uint64_t sequence_ { 0 }; ///< Higher with each announcement since the start.

    bool operator==(const EndpointAnnouncement&) const = default;
};

/// Encoders write one JSON object. Bytes that are not UTF-8 are replaced.
std::string encodeEndpointRequest(const EndpointRequest&);
std::string encodeEndpointResponse(const EndpointResponse&);
std::string encodeEndpointAnnouncement(const EndpointAnnouncement&);

/// Decoders accept any bytes. They fail with Reason::MessageMalformed if the text is not JSON, is too large, or lacks
/// a field or has one of a wrong type or size; unknown fields are ignored so that the format can grow.
boost::leaf::result<EndpointRequest> decodeEndpointRequest(std::string_view);
boost::leaf::result<EndpointResponse> decodeEndpointResponse(std::string_view);
boost::leaf::result<EndpointAnnouncement> decodeEndpointAnnouncement(std::string_view);

} // namespace cassiahollow
