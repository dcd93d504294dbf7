#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/leaf.hpp>
#include <string>
#include <string_view>

namespace cassiahollow {

/// Which module a message between instances is for.
enum class PeerMessageKind : std::uint8_t {
    Control = 1,
    Membership = 2,
    Group = 3,
    Forward = 4,
    Directory = 5,
};

/// A message between two instances with the identity of its sender.
struct PeerMessage {
    InstanceId sender_;
    Incarnation incarnation_ { 0 };
    std::string senderAddress_; ///< ip:port of the sender's peer listener.
    PeerMessageKind kind_ { PeerMessageKind::Membership };
    std::string body_; ///< One message of the schema that belongs to the kind.
};

/// The longest message that is sent or accepted, in bytes. A snapshot of the control state is one message; it is
/// estimated at up to 4 MB with the 10,000 change keys that are kept.
inline constexpr std::size_t maxPeerMessageBytes = 16 << 20;

/// Serialises a message and prepends its HMAC-SHA256 under the deployment key.
std::string encodePeerMessage(const PeerMessage&, std::string_view deploymentKey);

/// Checks the HMAC and decodes. Errors: Reason::MessageUnauthentic, Reason::MessageMalformed.
boost::leaf::result<PeerMessage> decodePeerMessage(std::string_view bytes, std::string_view deploymentKey);

} // namespace cassiahollow
