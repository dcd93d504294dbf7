#pragma once

#include "cassiahollow/version/SettingsTree.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cassiahollow {

/// The endpoints that count as members of a database group.
struct GroupMembers {
    std::uint64_t version_ { 0 }; ///< Raised by one with each change of the list.
    std::vector<EndpointId> members_; ///< Sorted.

    bool operator==(const GroupMembers&) const = default;
};

/// Replaces the member list of a group. The first list may have any members; after that, one change adds or removes
/// one member, because the majorities of two lists that differ by more need not overlap.
struct GroupMembersChange {
    GroupId group_;
    std::uint64_t seenVersion_ { 0 };
    std::vector<EndpointId> members_;

    bool operator==(const GroupMembersChange&) const = default;
};

/// A change that the control log decides. A repeated key gets the outcome of the first change with that key.
struct ControlChange {
    std::string key_;
    std::variant<SettingsChange, GroupMembersChange> command_;

    bool operator==(const ControlChange&) const = default;
};

/// What the control members answer to a change or a read.
struct ChangeOutcome {
    Outcome outcome_ { Outcome::Unknown };
    /// The settings revision, or the version of the member list, that the change made or that was read.
    std::uint64_t revision_ { 0 };
    std::optional<Reason> reason_; ///< Set unless the outcome is Done.
    std::string detail_;
    /// Whether the outcome was decided by the log. Such an outcome is final for the key. Any other refusal is only
    /// true for the one message that it answers.
    bool decided_ { false };

    bool operator==(const ChangeOutcome&) const = default;
};

/// A refusal or an unknown outcome that the log did not decide.
ChangeOutcome undecidedOutcome(Outcome, Reason, std::string detail);

/// What an instance may conclude for a change that it forwarded: a refusal that the log did not decide becomes Unknown,
/// because a copy of the same message may have been accepted before.
ChangeOutcome forwardedOutcome(ChangeOutcome);

/// {"outcome", "revision"?, "reason"?, "detail"?, "remedy"?}
std::string changeOutcomeToJson(const ChangeOutcome&);

/// The number of change keys that are kept with their outcomes. An operator's resend comes within minutes; the target
/// deployment makes 1,700 changes a day.
inline constexpr std::size_t maximumChangeKeys = 10000;
inline constexpr std::size_t maximumKeyLength = 128;
inline constexpr std::size_t maximumGroupMembers = 9;

/// The replicated state. Equal on all members that have applied the same entries.
struct ControlState {
    SettingsTree settings_;
    std::map<GroupId, GroupMembers> groups_;
    std::map<std::string, ChangeOutcome, std::less<>> outcomes_;
    std::deque<std::string> keys_; ///< The keys of outcomes_, oldest first.

    bool operator==(const ControlState&) const = default;
};

/// Checks what can be checked without the state: the key, and the size of the change. Fails with KeyRequired or
/// SettingsInvalid.
boost::leaf::result<void> checkChange(const ControlChange&);

/// Decides a change and applies it when it is accepted. Deterministic.
ChangeOutcome applyChange(ControlState&, const ControlChange&);

} // namespace cassiahollow
