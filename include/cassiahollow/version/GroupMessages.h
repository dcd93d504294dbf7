#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/version/GroupTerm.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

/// The bytes that the watchers of a group send to each other: the body of an envelope of kind GROUP.
namespace cassiahollow {

/// Serializes a vote.
std::string encodeGroupVote(const GroupVote&);

/// Reads a vote from outside bytes. Fails with Reason::MessageMalformed if the bytes are no message of the schema, or
/// if group or voter are missing. Whether the voter is the sender of the envelope is for the caller to check.
boost::leaf::result<GroupVote> decodeGroupVote(std::string_view);

} // namespace cassiahollow
