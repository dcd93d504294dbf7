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
    std::uint64_t expectedVersion_ { 0 };
    std::vector<EndpointId> members_;

    bool operator==(const GroupMembersChange&) const = default;
};

/// A complete configuration of routes and groups, kept as the operator sent it so that it reads back unchanged.
struct CatalogDocument {
    std::uint64_t version_ { 0 }; ///< 0: none was accepted yet.
    std::string document_; ///< The operator's bytes. The sender has checked them.

    bool operator==(const CatalogDocument&) const = default;
};

/// Puts a catalog in force if its version is higher than the one in force; otherwise it changes nothing and is done.
struct CatalogChange {
    CatalogDocument catalog_;

    bool operator==(const CatalogChange&) const = default;
};

/// The right to order one promotion. Fences grow with each grant of a group, so that an authority which remembers the
/// highest one refuses every order that a newer grant has overtaken.
struct PromotionGrant {
    std::uint64_t fence_ { 0 };
    EndpointId endpoint_; ///< The endpoint to promote.
    InstanceId holder_; ///< The control member that orders it.

    bool operator==(const PromotionGrant&) const = default;
};

/// Asks for the next grant of a group. The outcome's revision is its fence.
struct GrantChange {
    GroupId group_;
    EndpointId endpoint_;
    InstanceId holder_;

    bool operator==(const GrantChange&) const = default;
};

/// A change that the control log decides. A repeated key gets the outcome of the first change with that key.
struct ControlChange {
    std::string key_;
    std::variant<SettingsChange, GroupMembersChange, CatalogChange, GrantChange> command_;

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
    std::uint64_t catalogVersion_ { 0 }; ///< For a read: the version of the catalog in force.

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
    CatalogDocument catalog_;
    std::map<GroupId, PromotionGrant> grants_; ///< The last grant of each group.
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
