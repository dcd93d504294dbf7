#pragma once

#include "cassiahollow/connection/SqlSession.h"
#include "cassiahollow/request/AccountQuota.h"
#include "cassiahollow/version/RouteCatalog.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// The messages by which an instance has a group's holder run its clients' statements. An operation is one statement,
/// or a transaction. The statements of an operation and its end travel on one connection, in order; when the connection
/// ends, so do its operations.

/// One statement of an operation. Sent by the instance that serves the client.
struct StatementRequest {
    std::uint64_t operation_ { 0 }; ///< Number of the first statement of the operation.
    std::uint64_t number_ { 0 }; ///< Increases on a connection; repeated in the reply.
    std::string id_; ///< The client's id of the statement.
    std::string text_;
    StatementKind kind_ { StatementKind::Read }; ///< Read, Write or Commit.
    bool opensTransaction_ { false };
    bool readOnly_ { false }; ///< The transaction that it opens only reads.
    Duration age_ { 0 }; ///< Since the statement arrived from the client.
    Duration operationAge_ { 0 }; ///< Since the operation began.
    std::optional<PreparedShape> shape_; ///< Of a prepared statement.
    Route route_; ///< As the client's instance knows it.
    std::uint64_t catalogVersion_ { 0 }; ///< Version of the catalog that has the route.
    Duration idleTransaction_ { 0 }; ///< The transaction is ended after this time without a statement.
    LogPosition ownCommit_; ///< The last commit of the session in the route's group; 0:0 if its position is not known.
    Duration ownCommitAge_ { 0 };
    std::map<std::string, std::string> values_; ///< All values of the session.
    AccountId account_; ///< Of the session. Empty without one, and in messages of instances that know no accounts.
};

/// Ends an operation: its transaction is rolled back, its statement is not needed any more.
struct OperationEnd {
    std::uint64_t operation_ { 0 };
};

/// The reply to a statement.
struct StatementReply {
    std::uint64_t number_ { 0 };
    std::optional<StatementError> error_;
    std::string errorText_;
    std::vector<std::string> rows_;
    std::string signature_;
    LogPosition position_;
    bool isTransactionOpen_ { false };
    bool isPrimaryUnreachable_ { false }; ///< The holder cannot use the group's primary now.
};

/// Sent by a holder that is stopping: it takes no new operations and finishes those that it has.
struct HolderLeaving { };

/// Asks whether the holder is alive and reaches the primary of a group.
struct HolderProbe {
    GroupId group_;
};
struct HolderProbeReply {
    GroupId group_;
    bool isPrimaryUnreachable_ { false };
};

/// The messages about quotas are sent only while the catalog has accounts with quotas: instances of earlier versions
/// close the connection when they receive one.
using HolderMessage = std::variant<StatementRequest, OperationEnd, StatementReply, HolderLeaving, HolderProbe,
    HolderProbeReply, QuotaRequest, QuotaGrant, LoanRequest, QuotaLoan, QuotaHandover>;

/// Maximum size of a message, in bytes: the longest statement or answer with everything around it.
inline constexpr std::size_t maximumHolderMessageBytes = (1 << 20) + (1 << 17);

/// Encodes a message with its length in front.
std::string encodeHolderMessage(const HolderMessage&);
/// Puts a length in front of bytes.
std::string encodeFrame(std::string_view bytes);

/// Removes the next whole message from the buffer, from `offset` on, and moves the offset behind it. The view is valid
/// until the buffer changes. Nothing if the message is not complete. Fails with MessageMalformed if it is too long.
boost::leaf::result<std::optional<std::string_view>> takeFrame(std::string_view buffer, std::size_t& offset);

/// Decodes a message without its length. Fails with MessageMalformed.
boost::leaf::result<HolderMessage> decodeHolderMessage(std::string_view);

} // namespace cassiahollow
