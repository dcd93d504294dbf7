#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahollow {

/// The positions that a session has written and read in one group.
struct SessionPositions {
    LogPosition written_; ///< The last acknowledged write; 0:0 if there is none.
    LogPosition read_; ///< The latest position of a read of the session; 0:0 if there is none.

    auto operator<=>(const SessionPositions&) const = default;
};

/// Session state carried in the token. Instances keep none of it between requests.
struct SessionState {
    ServiceId service_;
    std::map<GroupId, SessionPositions> groups_;

    bool operator==(const SessionState&) const = default;
};

/// A deployment key with an id, so that keys can be rotated.
struct SessionKey {
    std::uint32_t id_ { 0 };
    std::string secret_; ///< Raw bytes; at least minimumSessionSecretBytes.
};

/// The keys of a deployment, from the process settings. The first key signs; all keys verify. To rotate, append the new
/// key on all instances, then move it to the front, then remove the old one.
using SessionKeys = std::vector<SessionKey>;

/// Minimum length of a secret. Shorter ones could be guessed.
inline constexpr std::size_t minimumSessionSecretBytes = 16;

/// Maximum length of a token's text in characters. Leaves room for other headers within the 4 KB that HTTP
/// intermediaries commonly accept for all headers together.
inline constexpr std::size_t maximumSessionTokenLength = 3072;

/// Encodes the state and signs it with the first key. Fails with RequestTooLarge if the text would be longer than
/// maximumSessionTokenLength, and with SettingsInvalid if the first key is missing or too short.
boost::leaf::result<std::string> encodeSessionToken(const SessionState&, const SessionKeys&);

/// Verifies and decodes a token. Fails with SessionTokenInvalid if it is damaged, forged, too long or signed with a key
/// that is not among the given ones. Does not check the service.
boost::leaf::result<SessionState> decodeSessionToken(std::string_view text, const SessionKeys&);

/// Like decodeSessionToken() without a service, but also fails with SessionTokenInvalid if the token belongs to another
/// service. Request paths use this overload.
boost::leaf::result<SessionState> decodeSessionToken(std::string_view text, const SessionKeys&, const ServiceId&);

/// Records an acknowledged write of the session. Positions never decrease.
void recordWrite(SessionState&, const GroupId&, LogPosition);

/// Records the position of a read's response. Positions never decrease.
void recordRead(SessionState&, const GroupId&, LogPosition);

/// The minimum position of the session's next read in the group: its last write or last read, whichever is later. 0:0
/// if the session has neither in this group.
LogPosition requiredPosition(const SessionState&, const GroupId&);

} // namespace cassiahollow
