#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/version/GroupTerm.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

/// Serialization of the messages between the watchers of a group: the body of an envelope of kind GROUP.
namespace cassiahollow {

/// Serializes a vote.
std::string encodeGroupVote(const GroupVote&);

/// Parses a vote from untrusted bytes. Fails with Reason::MessageMalformed if the bytes do not match the schema or if
/// the group or the voter is missing. The caller has to check that the voter is the sender of the envelope.
boost::leaf::result<GroupVote> decodeGroupVote(std::string_view);

} // namespace cassiahollow
