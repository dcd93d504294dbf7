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

/// The member list of a database group.
struct GroupMembers {
    std::uint64_t version_ { 0 }; ///< Incremented with each change of the list.
    std::vector<EndpointId> members_; ///< Sorted.

    bool operator==(const GroupMembers&) const = default;
};

/// Replaces the member list of a group. The first list may have any members; each later change adds or removes
/// one member, because the majorities of two lists that differ by more than one need not overlap.
struct GroupMembersChange {
    GroupId group_;
    std::uint64_t expectedVersion_ { 0 };
    std::vector<EndpointId> members_;

    bool operator==(const GroupMembersChange&) const = default;
};

/// A complete configuration of routes and groups, stored byte for byte so that it reads back as the operator sent it.
struct CatalogDocument {
    std::uint64_t version_ { 0 }; ///< 0 before the first catalog is accepted.
    std::string document_; ///< The document as received; validated by the sender.

    bool operator==(const CatalogDocument&) const = default;
};

/// Activates a catalog if its version is higher than the current one. Otherwise changes nothing; the outcome is Done.
struct CatalogChange {
    CatalogDocument catalog_;

    bool operator==(const CatalogChange&) const = default;
};

/// Permission to order one promotion. The fence is a fencing token that grows with each grant of a group, so that an
/// authority that stores the highest one rejects every order superseded by a newer grant.
struct PromotionGrant {
    std::uint64_t fence_ { 0 };
    EndpointId endpoint_; ///< The endpoint to promote.
    InstanceId holder_; ///< The control member that orders it.

    bool operator==(const PromotionGrant&) const = default;
};

/// Requests the next grant of a group. The outcome's revision is its fence.
struct GrantChange {
    GroupId group_;
    EndpointId endpoint_;
    InstanceId holder_;

    bool operator==(const GrantChange&) const = default;
};

/// A change that is decided by the control log. A repeated key returns the outcome of the first change with that key.
struct ControlChange {
    std::string key_;
    std::variant<SettingsChange, GroupMembersChange, CatalogChange, GrantChange> command_;

    bool operator==(const ControlChange&) const = default;
};

/// The control members' response to a change or a read.
struct ChangeOutcome {
    Outcome outcome_ { Outcome::Unknown };
    /// The settings revision, member list version, catalog version, fence or configuration index that applies.
    std::uint64_t revision_ { 0 };
    std::optional<Reason> reason_; ///< Set unless the outcome is Done.
    std::string detail_;
    /// Whether the outcome was decided by the log. Such an outcome is final for the key. Any other refusal applies
    /// only to the one message that it responds to.
    bool decided_ { false };
    std::uint64_t catalogVersion_ { 0 }; ///< For a read: the version of the catalog in force.

    bool operator==(const ChangeOutcome&) const = default;
};

/// Returns a refusal or an unknown outcome that the log did not decide.
ChangeOutcome undecidedOutcome(Outcome, Reason, std::string detail);

/// Returns the outcome of a forwarded change: a refusal that the log did not decide becomes Unknown, because a copy of
/// the same message may have been accepted before.
ChangeOutcome forwardedOutcome(ChangeOutcome);

/// Serializes to {"outcome", "revision"?, "reason"?, "detail"?, "remedy"?}.
std::string changeOutcomeToJson(const ChangeOutcome&);

/// The number of change keys retained with their outcomes. Operators resend within minutes, and the target deployment
/// makes 1,700 changes a day.
inline constexpr std::size_t maximumChangeKeys = 10000;
inline constexpr std::size_t maximumKeyLength = 128;
inline constexpr std::size_t maximumGroupMembers = 9;

/// The replicated state machine. Equal on all members that have applied the same entries.
struct ControlState {
    SettingsTree settings_;
    std::map<GroupId, GroupMembers> groups_;
    CatalogDocument catalog_;
    std::map<GroupId, PromotionGrant> grants_; ///< The latest grant of each group.
    std::map<std::string, ChangeOutcome, std::less<>> outcomes_;
    std::deque<std::string> keys_; ///< The keys of outcomes_, oldest first.

    bool operator==(const ControlState&) const = default;
};

/// Checks everything that does not depend on the state: the key, the size of the change and its names. Fails with
/// KeyRequired or SettingsInvalid.
boost::leaf::result<void> checkChange(const ControlChange&);

/// Decides a change and applies it if it is accepted. Deterministic, so that all members reach the same state.
ChangeOutcome applyChange(ControlState&, const ControlChange&);

} // namespace cassiahollow
