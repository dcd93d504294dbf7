#pragma once

#include "cassiahollow/process/Membership.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace cassiahollow {

/// Maximum length of an id or address in a message, in bytes.
constexpr std::size_t maxMembershipTextBytes = 255;

/// Encodes a message as the body of an envelope (proto/membership.proto).
std::string encodeMembershipMessage(const MembershipMessage&);
/// Decodes the body of an envelope. Fails with Reason::MessageMalformed if the bytes cannot be parsed, a value is
/// out of range or a required id is missing.
boost::leaf::result<MembershipMessage> decodeMembershipMessage(std::string_view);

} // namespace cassiahollow
