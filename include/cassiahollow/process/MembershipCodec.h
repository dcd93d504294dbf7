#pragma once

#include "cassiahollow/process/Membership.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace cassiahollow {

/// The longest id or address that a message may contain, in bytes.
constexpr std::size_t maxMembershipTextBytes = 255;

/// Encodes a message as the body of an envelope (proto/membership.proto).
std::string encodeMembershipMessage(const MembershipMessage&);
/// Decodes the body of an envelope. Fails with Reason::MessageMalformed if the bytes are no message, a value is out of
/// range or a required id is missing.
boost::leaf::result<MembershipMessage> decodeMembershipMessage(std::string_view);

} // namespace cassiahollow
