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

/// Largest message that the decoders accept, in bytes, so that one message cannot exhaust the memory of a process.
inline constexpr std::size_t maxEndpointMessageBytes = 1U << 20U;
/// Longest id, address and request key, in bytes. The limit of request keys is the one documented for clients.
inline constexpr std::size_t maxEndpointNameBytes = 128;
/// Largest number of statements in one request.
inline constexpr std::size_t maxEndpointStatements = 1024;
/// Identifies a request and its responses on a connection. The requesting side numbers its requests from 1; 0 marks a
/// refusal that the endpoint sends without a request, for example when its connection limit is reached.
using ExchangeNumber = std::uint64_t;

/// Returns the JSON text of a role: "replica" or "primary".
std::string_view endpointRoleName(EndpointRole);

/// Why an endpoint did not run a request. The decoder maps an unknown text to Other, so that newer endpoints may add
/// refusals.
enum class EndpointRefusal : std::uint8_t {
    ConnectionLimit, ///< The endpoint has reached its connection limit and closes this connection.
    StaleTerm, ///< The term of the request is not the term that the endpoint has promised.
    OtherPromoter, ///< The term is promised to another promoter.
    NotPrimary, ///< A write or transaction was sent to a replica.
    ReplicaBehind, ///< The log ends before the required position.
    StatementFailed, ///< A statement could not be parsed, or a write was marked as a read.
    TransactionUnknown, ///< No transaction is open on the connection.
    TransactionOpen, ///< The connection already has an open transaction.
    TransactionAborted, ///< A concurrent write to the same data, or a new term, has ended the transaction.
    Leaving, ///< The endpoint is shutting down.
    Malformed, ///< The endpoint could not decode the request.
    Other,
    Count
};

/// Returns the JSON text of a refusal, in snake_case.
std::string_view endpointRefusalName(EndpointRefusal);

/// Returns the reason under which an instance counts and forwards a refusal of an endpoint.
Reason reasonOfRefusal(EndpointRefusal);

/// Identifies the requesting instance; the first request on a connection.
struct HelloRequest {
    InstanceId instance_;
};

/// Runs statements, on their own or within the transaction that is open on the connection.
struct RunRequest {
    Term term_ { 0 };
    std::vector<std::string> statements_;
    bool readOnly_ { false };
    bool transaction_ { false };
    std::string key_; ///< Request key; empty for none. Not allowed within a transaction, whose key is in the commit.
    LogPosition minPosition_; ///< The endpoint refuses the request if its log ends before this; {0,0} for none.
};

/// Begins a transaction on the connection.
struct BeginRequest {
    Term term_ { 0 };
};

/// Commits the transaction that is open on the connection.
struct CommitRequest {
    Term term_ { 0 };
    std::string key_; ///< Request key; empty for none.
};

/// Rolls back the transaction that is open on the connection.
struct RollbackRequest {
    Term term_ { 0 };
};

/// Requests the stored response of a write.
struct LookupRequest {
    std::string key_;
};

/// Requests a report on each change and at least once per interval. The endpoint keeps the connection for these
/// reports.
struct WatchRequest {
    std::chrono::milliseconds interval_ { 100 };
};

/// Requests one report.
struct ReportRequest { };

/// Makes the endpoint refuse all terms below this one.
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

/// Response to HelloRequest.
struct HelloResponse {
    EndpointId endpoint_;
    std::uint64_t connection_ { 0 }; ///< Number of the connection in the endpoint's log lines.
};

/// The request was run. Responses to begin, commit and rollback have no statement responses.
struct DoneResponse {
    std::vector<std::string> responses_; ///< One per statement.
    /// For a write, its log entry. For a read, the last log entry that was visible to it.
    LogPosition position_;
    bool repeated_ { false }; ///< The key was already stored; responses and position are those of the first run.
};

/// Guarantees that the request was not run and will not be run.
struct NotRunResponse {
    EndpointRefusal reason_ { EndpointRefusal::Other };
    Term promisedTerm_ { 0 };
    std::string detail_;
};

/// The stored response of a write.
struct PresentResponse {
    std::vector<std::string> responses_;
    LogPosition position_;
};

/// The log contains no write with the key up to the position.
struct AbsentResponse {
    Term promisedTerm_ { 0 };
    LogPosition position_;
};

/// State of an endpoint. Response to report, fence, promote and follow requests, and each message of a watch.
struct EndpointReport {
    EndpointId endpoint_;
    EndpointRole role_ { EndpointRole::Replica };
    Term promisedTerm_ { 0 }; ///< If the endpoint is a primary, the term of which it is the primary.
    LogPosition position_; ///< Last entry of the log; synced to disk if the endpoint has one.
    bool leaving_ { false };
    /// Primary that the endpoint follows in the promised term, which may be itself; empty for none.
    EndpointId primary_;

    bool operator==(const EndpointReport&) const = default;
};

using EndpointResult
    = std::variant<HelloResponse, DoneResponse, NotRunResponse, PresentResponse, AbsentResponse, EndpointReport>;

/// One response of an endpoint. Reports of a watch have the exchange number of the watch request.
struct EndpointResponse {
    ExchangeNumber exchange_ { 0 };
    EndpointResult result_;
};

/// Message that an endpoint sends to an instance each second.
struct EndpointAnnouncement {
    EndpointId endpoint_;
    GroupId group_;
    std::string address_; ///< "ip:port" of the endpoint's WebSocket listener.
    DataCentre dataCentre_;
    std::uint32_t slots_ { 1 }; ///< Number of statements that the endpoint runs concurrently.
    std::uint32_t connections_ { 1 }; ///< Connection limit of the endpoint.
    EndpointRole role_ { EndpointRole::Replica };
    Term promisedTerm_ { 0 };
    bool leaving_ { false };
    std::uint64_t started_ { 0 }; ///< Start of the endpoint's process, in ms since the Unix epoch by its own clock.
    std::uint64_t sequence_ { 0 }; ///< Increases with each announcement since started_.

    bool operator==(const EndpointAnnouncement&) const = default;
};

/// The encoders return one JSON object as text. Invalid UTF-8 is replaced.
std::string encodeEndpointRequest(const EndpointRequest&);
std::string encodeEndpointResponse(const EndpointResponse&);
std::string encodeEndpointAnnouncement(const EndpointAnnouncement&);

/// The decoders accept any bytes. They fail with Reason::MessageMalformed if the text is not JSON or exceeds
/// maxEndpointMessageBytes, or if a field is missing or has a wrong type or size. Unknown fields are ignored so that
/// the format can be extended.
boost::leaf::result<EndpointRequest> decodeEndpointRequest(std::string_view);
boost::leaf::result<EndpointResponse> decodeEndpointResponse(std::string_view);
boost::leaf::result<EndpointAnnouncement> decodeEndpointAnnouncement(std::string_view);

} // namespace cassiahollow
