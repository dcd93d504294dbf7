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

/// What the holder of an endpoint is asked to do.
enum class ForwardOperation : std::uint8_t {
    Run, ///< Statements outside a transaction.
    Begin,
    RunInTransaction,
    Commit,
    Rollback,
    Lookup, ///< Asks for the stored answer of a key; runs nothing.
};

/// One attempt of a request, as the holder of an endpoint receives it.
struct ForwardRequest {
    std::uint64_t number_ { 0 }; ///< Chosen by the sender, unique within its incarnation.
    EndpointId endpoint_;
    GroupId group_;
    Term term_ { 0 }; ///< Of the route that the sender knows; 0 if any primary will do.
    ServiceId service_;
    ClassId class_;
    std::uint32_t weight_ { 1 };
    bool urgent_ { false };
    bool readOnly_ { false };
    std::vector<std::string> statements_;
    std::string key_; ///< Idempotency key; empty for reads.
    LogPosition required_; ///< A read must not be older than this.
    std::optional<Duration> maxAge_; ///< Stated age of a read.
    Duration remaining_ {}; ///< Until the deadline.
    bool finalChoice_ { false }; ///< The holder must not redirect: it serves the read at this endpoint or refuses.
    std::string transaction_; ///< Empty outside transactions.
    ForwardOperation operation_ { ForwardOperation::Run };
};

/// The holder's answer to one attempt.
struct ForwardReply {
    std::uint64_t number_ { 0 };
    Outcome outcome_ { Outcome::Unknown };
    std::optional<Reason> reason_; ///< Set unless the outcome is Done.
    std::string detail_;
    std::vector<std::string> answers_; ///< One JSON value for each statement.
    LogPosition position_;
    /// The answer was stored by an earlier attempt with the same key. For Lookup: whether the key is present.
    bool repeatedKey_ { false };
    EndpointId redirect_; ///< Not empty: this endpoint should serve the read, at position_ or later.
    Term routeTerm_ { 0 }; ///< The holder's newest route of the group; 0 if it knows of none.
    EndpointId routePrimary_;
    bool wasSent_ { false }; ///< Bytes of the request went to the endpoint.
};

/// Asks for the settings tree that the receiver applies.
struct TreeRequest { };

/// The settings tree that the sender applies.
struct TreeReply {
    std::string tree_; ///< As settingsToJson writes it.
};

using ForwardMessage = std::variant<ForwardRequest, ForwardReply, TreeRequest, TreeReply>;

std::string encodeForward(const ForwardMessage&);

/// Errors: Reason::MessageMalformed.
boost::leaf::result<ForwardMessage> decodeForward(std::string_view);

} // namespace cassiahollow
