#include "cassiahollow/process/PeerMessage.h"

#include "wire/envelope.pb.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

namespace cassiahollow {

namespace {

    constexpr std::size_t macBytes = 32;

    std::array<unsigned char, macBytes> authenticationCode(std::string_view bytes, std::string_view key)
    {
        std::array<unsigned char, macBytes> code {};
        unsigned length = 0;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), code.data(), &length);
        return code;
    }

} // namespace

std::string encodePeerMessage(const PeerMessage& message, std::string_view deploymentKey)
{
    wire::Envelope envelope;
    envelope.set_sender(message.sender_.value_);
    envelope.set_incarnation(message.incarnation_);
    envelope.set_sender_address(message.senderAddress_);
    envelope.set_kind(static_cast<wire::Kind>(message.kind_));
    envelope.set_body(message.body_);
    std::string payload = envelope.SerializeAsString();
    const auto code = authenticationCode(payload, deploymentKey);
    payload.insert(0, reinterpret_cast<const char*>(code.data()), code.size());
    return payload;
}

boost::leaf::result<PeerMessage> decodePeerMessage(std::string_view bytes, std::string_view deploymentKey)
{
    if (bytes.size() < macBytes || bytes.size() > maxPeerMessageBytes)
        return boost::leaf::new_error(
            Failure { Reason::MessageMalformed, "message length out of range: " + std::to_string(bytes.size()) });
    const std::string_view payload = bytes.substr(macBytes);
    const auto code = authenticationCode(payload, deploymentKey);
    if (CRYPTO_memcmp(code.data(), bytes.data(), macBytes) != 0)
        return boost::leaf::new_error(Failure { Reason::MessageUnauthentic, {} });
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return boost::leaf::new_error(Failure { Reason::MessageMalformed, "envelope" });
    if (envelope.sender().empty() || envelope.kind() < wire::CONTROL || envelope.kind() > wire::DIRECTORY)
        return boost::leaf::new_error(Failure { Reason::MessageMalformed, "sender missing or kind unknown" });
    PeerMessage message;
    message.sender_ = InstanceId(envelope.sender());
    message.incarnation_ = envelope.incarnation();
    message.senderAddress_ = envelope.sender_address();
    message.kind_ = static_cast<PeerMessageKind>(envelope.kind());
    message.body_ = std::move(*envelope.mutable_body());
    return message;
}

} // namespace cassiahollow
