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

/// What a session has seen of one group.
struct SessionPositions {
    LogPosition written_; ///< The last acknowledged write; 0:0 if there is none.
    LogPosition read_; ///< The last position that a read of the session returned; 0:0 if there is none.

    auto operator<=>(const SessionPositions&) const = default;
};

/// The state that travels with the caller. Instances keep none of it between requests.
struct SessionState {
    ServiceId service_;
    std::map<GroupId, SessionPositions> groups_;

    bool operator==(const SessionState&) const = default;
};

/// A deployment key under a number, so that keys can be rotated.
struct SessionKey {
    std::uint32_t id_ { 0 };
    std::string secret_; ///< Raw bytes; at least minimumSessionSecretBytes.
};

/// The keys of a deployment, from the process settings. The first one signs; all of them verify. To rotate, add the
/// new key at the end everywhere, then move it to the front, then remove the old one.
using SessionKeys = std::vector<SessionKey>;

/// Shorter secrets could be guessed.
inline constexpr std::size_t minimumSessionSecretBytes = 16;

/// The longest token text in characters. Leaves room for other headers within the 4 KB that HTTP intermediaries
/// commonly accept for all headers together.
inline constexpr std::size_t maximumSessionTokenLength = 3072;

/// Signs the state under the first key. Fails with RequestTooLarge if the text would be longer than
/// maximumSessionTokenLength, and with SettingsInvalid if there is no usable key.
boost::leaf::result<std::string> encodeSessionToken(const SessionState&, const SessionKeys&);

/// Verifies and reads a token. Fails with SessionTokenInvalid if it is damaged, forged, too long or signed under a
/// key that is not among the given ones. Does not check the service.
boost::leaf::result<SessionState> decodeSessionToken(std::string_view text, const SessionKeys&);

/// As above, and also fails with SessionTokenInvalid if the token belongs to another service. Request paths use this
/// one.
boost::leaf::result<SessionState> decodeSessionToken(std::string_view text, const SessionKeys&, const ServiceId&);

/// Records an acknowledged write of the session. Positions never go back.
void recordWrite(SessionState&, const GroupId&, LogPosition);

/// Records the position of a read's answer. Positions never go back.
void recordRead(SessionState&, const GroupId&, LogPosition);

/// The position that a read of the session has to be at or past in the group: its last write or last read, whichever
/// is later; 0:0 if the session has seen nothing of the group.
LogPosition requiredPosition(const SessionState&, const GroupId&);

} // namespace cassiahollow
