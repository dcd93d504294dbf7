#include "cassiahollow/request/SessionToken.h"

#include "wire/session.pb.h"

#include <algorithm>
#include <array>
#include <optional>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cassiahollow {

namespace {

    // Raw layout: key id (big endian), tag, payload. The tag covers the purpose, the key id and the payload.
    constexpr std::size_t keyIdBytes = 4;
    constexpr std::size_t tagBytes = 32;
    // Messages between instances are authenticated with the same deployment key. The purpose string separates the
    // domains, so that a tag of one kind is not valid for the other.
    constexpr std::string_view purpose = "cassiahollow session token 1";

    using Tag = std::array<unsigned char, tagBytes>;

    std::string keyIdText(std::uint32_t id)
    {
        std::string text(keyIdBytes, '\0');
        for (std::size_t i = 0; i < keyIdBytes; ++i)
            text[i] = static_cast<char>(id >> (8 * (keyIdBytes - 1 - i)));
        return text;
    }

    std::optional<Tag> computeTag(const SessionKey& key, std::string_view payload)
    {
        if (key.secret_.size() < minimumSessionSecretBytes)
            return std::nullopt;
        std::string input(purpose);
        input.append(keyIdText(key.id_)).append(payload);
        Tag tag;
        unsigned int length = 0;
        if (!HMAC(EVP_sha256(), key.secret_.data(), static_cast<int>(key.secret_.size()),
                reinterpret_cast<const unsigned char*>(input.data()), input.size(), tag.data(), &length)
            || length != tag.size())
            return std::nullopt;
        return tag;
    }

    std::string encodeBase64Url(std::string_view raw)
    {
        // EVP_EncodeBlock writes four characters for each three bytes and a terminating null.
        std::string text((raw.size() + 2) / 3 * 4 + 1, '\0');
        const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(raw.data()), static_cast<int>(raw.size()));
        text.resize(static_cast<std::size_t>(length));
        text.resize(text.find_last_not_of('=') + 1);
        std::replace(text.begin(), text.end(), '+', '-');
        std::replace(text.begin(), text.end(), '/', '_');
        return text;
    }

    std::optional<std::string> decodeBase64Url(std::string_view text)
    {
        std::string padded(text);
        std::replace(padded.begin(), padded.end(), '-', '+');
        std::replace(padded.begin(), padded.end(), '_', '/');
        const auto padding = (4 - padded.size() % 4) % 4;
        padded.append(padding, '=');
        std::string raw(padded.size() / 4 * 3, '\0');
        const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(raw.data()),
            reinterpret_cast<const unsigned char*>(padded.data()), static_cast<int>(padded.size()));
        if (length < 0 || static_cast<std::size_t>(length) < padding)
            return std::nullopt;
        raw.resize(static_cast<std::size_t>(length) - padding);
        // EVP_DecodeBlock tolerates white space and non-zero unused bits. Only the canonical encoding is accepted, so
        // that each token has exactly one text.
        if (encodeBase64Url(raw) != text)
            return std::nullopt;
        return raw;
    }

    Failure invalidToken(std::string detail)
    {
        return { Reason::SessionTokenInvalid, std::move(detail) };
    }

} // namespace

boost::leaf::result<std::string> encodeSessionToken(const SessionState& state, const SessionKeys& keys)
{
    wire::SessionPayload payload;
    payload.set_service(state.service_.value_);
    for (const auto& [group, positions] : state.groups_) {
        auto& entry = *payload.add_groups();
        entry.set_group(group.value_);
        entry.set_written_term(positions.written_.term_);
        entry.set_written_index(positions.written_.index_);
        entry.set_read_term(positions.read_.term_);
        entry.set_read_index(positions.read_.index_);
    }
    const auto bytes = payload.SerializeAsString();
    const auto tag = keys.empty() ? std::nullopt : computeTag(keys.front(), bytes);
    if (!tag) {
        return boost::leaf::new_error(
            Failure { Reason::SettingsInvalid, "the deployment key is missing or shorter than 16 bytes" });
    }
    auto raw = keyIdText(keys.front().id_);
    raw.append(reinterpret_cast<const char*>(tag->data()), tag->size()).append(bytes);
    auto text = encodeBase64Url(raw);
    if (text.size() > maximumSessionTokenLength)
        return boost::leaf::new_error(
            Failure { Reason::RequestTooLarge, "session token too long: too many groups or too long group names" });
    return text;
}

boost::leaf::result<SessionState> decodeSessionToken(std::string_view text, const SessionKeys& keys)
{
    if (text.size() > maximumSessionTokenLength)
        return boost::leaf::new_error(invalidToken("token too long"));
    const auto raw = decodeBase64Url(text);
    if (!raw || raw->size() < keyIdBytes + tagBytes)
        return boost::leaf::new_error(invalidToken("token damaged"));
    const std::string_view view(*raw);
    const auto keyId = view.substr(0, keyIdBytes);
    const auto key = std::find_if(
        keys.begin(), keys.end(), [&](const SessionKey& candidate) { return keyIdText(candidate.id_) == keyId; });
    if (key == keys.end())
        return boost::leaf::new_error(invalidToken("token signed under an unknown key id"));
    const auto bytes = view.substr(keyIdBytes + tagBytes);
    const auto expected = computeTag(*key, bytes);
    if (!expected || CRYPTO_memcmp(expected->data(), view.data() + keyIdBytes, tagBytes) != 0)
        return boost::leaf::new_error(invalidToken("token damaged or of another deployment"));

    wire::SessionPayload payload;
    if (!payload.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return boost::leaf::new_error(invalidToken("token of an unknown format"));
    SessionState state { ServiceId(payload.service()), {} };
    for (const auto& entry : payload.groups()) {
        state.groups_[GroupId(entry.group())]
            = { { entry.written_term(), entry.written_index() }, { entry.read_term(), entry.read_index() } };
    }
    return state;
}

boost::leaf::result<SessionState> decodeSessionToken(
    std::string_view text, const SessionKeys& keys, const ServiceId& service)
{
    auto state = decodeSessionToken(text, keys);
    if (state && state->service_ != service)
        return boost::leaf::new_error(invalidToken("token of another service"));
    return state;
}

void recordWrite(SessionState& state, const GroupId& group, LogPosition position)
{
    auto& written = state.groups_[group].written_;
    written = std::max(written, position);
}

void recordRead(SessionState& state, const GroupId& group, LogPosition position)
{
    auto& read = state.groups_[group].read_;
    read = std::max(read, position);
}

LogPosition requiredPosition(const SessionState& state, const GroupId& group)
{
    const auto positions = state.groups_.find(group);
    if (positions == state.groups_.end())
        return {};
    return std::max(positions->second.written_, positions->second.read_);
}

} // namespace cassiahollow
