#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// The operation requested from the holder of an endpoint.
enum class ForwardOperation : std::uint8_t {
    Run, ///< Statements outside a transaction.
    Begin,
    RunInTransaction,
    Commit,
    Rollback,
    Lookup, ///< Reads the stored response of a key; runs nothing.
};

/// One attempt of a request, sent to the holder of an endpoint.
struct ForwardRequest {
    std::uint64_t number_ { 0 }; ///< Chosen by the sender, unique within its incarnation.
    EndpointId endpoint_;
    GroupId group_;
    Term term_ { 0 }; ///< Term of the sender's route; 0 to accept any primary.
    ServiceId service_;
    ClassId class_;
    std::uint32_t weight_ { 1 };
    bool urgent_ { false };
    bool readOnly_ { false };
    std::vector<std::string> statements_;
    std::string key_; ///< Idempotency key; empty for reads.
    LogPosition required_; ///< Minimum position of a read.
    std::optional<Duration> maxAge_; ///< Requested maximum age of the data of a read.
    Duration remaining_ {}; ///< Time until the deadline.
    bool finalChoice_ { false }; ///< The holder must not redirect the read: it runs it at this endpoint or refuses it.
    std::string transaction_; ///< Empty outside transactions.
    ForwardOperation operation_ { ForwardOperation::Run };
};

/// The holder's response to one attempt.
struct ForwardReply {
    std::uint64_t number_ { 0 };
    Outcome outcome_ { Outcome::Unknown };
    std::optional<Reason> reason_; ///< Set unless the outcome is Done.
    std::string detail_;
    std::vector<std::string> answers_; ///< One JSON value for each statement.
    LogPosition position_;
    /// Whether the response was stored by an earlier attempt with the same key. For Lookup: whether the key is present.
    bool repeatedKey_ { false };
    EndpointId redirect_; ///< If not empty, the endpoint that should run the read, at position_ or later.
    Term routeTerm_ { 0 }; ///< Term of the holder's newest route of the group; 0 if it has none.
    EndpointId routePrimary_;
    bool wasSent_ { false }; ///< Whether bytes of the request were sent to the endpoint.
};

/// Requests the settings tree that the receiver applies.
struct TreeRequest { };

/// The settings tree that the sender applies.
struct TreeReply {
    std::string tree_; ///< JSON as written by settingsToJson().
};

using ForwardMessage = std::variant<ForwardRequest, ForwardReply, TreeRequest, TreeReply>;

/// Serializes a message between instances.
std::string encodeForward(const ForwardMessage&);

/// Parses a message between instances. Fails with Reason::MessageMalformed.
boost::leaf::result<ForwardMessage> decodeForward(std::string_view);

} // namespace cassiahollow
