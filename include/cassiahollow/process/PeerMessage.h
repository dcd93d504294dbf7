#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/leaf.hpp>
#include <string>
#include <string_view>

namespace cassiahollow {

/// The module that receives a message between instances. The values are part of the wire format.
enum class PeerMessageKind : std::uint8_t {
    Control = 1,
    Membership = 2,
    Group = 3,
    Forward = 4,
    Directory = 5,
};

/// A message between two instances, with the identity of its sender.
struct PeerMessage {
    InstanceId sender_;
    Incarnation incarnation_ { 0 };
    std::string senderAddress_; ///< ip:port of the sender's peer listener.
    PeerMessageKind kind_ { PeerMessageKind::Membership };
    std::string body_; ///< Encoded message, in the schema of the kind.
};

/// Maximum size of a message that is sent or accepted, in bytes. A snapshot of the control state is one message and
/// takes an estimated 4 MB at most with the 10,000 change keys that are kept.
inline constexpr std::size_t maxPeerMessageBytes = 16 << 20;

/// Serialises a message and prepends its HMAC-SHA256, computed with the deployment key.
std::string encodePeerMessage(const PeerMessage&, std::string_view deploymentKey);

/// Verifies the HMAC and decodes the message. Fails with Reason::MessageUnauthentic or Reason::MessageMalformed.
boost::leaf::result<PeerMessage> decodePeerMessage(std::string_view bytes, std::string_view deploymentKey);

} // namespace cassiahollow
