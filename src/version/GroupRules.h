#pragma once

#include "cassiahollow/version/GroupTerm.h"

/// The internal functions shared by GroupTerm.cpp and GroupPromotion.cpp. Not installed.
namespace cassiahollow::group {

using Actions = std::vector<GroupAction>;

/// The status of the primary as seen by this watcher.
enum class PrimaryStatus : std::uint8_t {
    Reachable, ///< It reports, or has not been silent long enough to be suspected.
    Undetermined, ///< There is no primary, and a member has neither reported lately nor failed a probe.
    Unreachable, ///< The primary, or a member that may be it, does not respond; votes decide.
    Absent, ///< All members report and none is primary; no votes are required.
};

MemberState* find(GroupState&, const EndpointId&);
const MemberState* find(const GroupState&, const EndpointId&);
std::size_t majority(const GroupState&);
bool isFresh(const GroupState&, const MemberState&, TimePoint now);
PrimaryStatus primaryStatus(const GroupState&, TimePoint now);

/// Returns the number of live watchers with a lower id, or nothing if this instance is not a watcher.
std::optional<std::size_t> rankOf(const GroupState&);
/// Whether the votes, including that of this watcher, suffice to replace the primary.
bool hasVoteQuorum(const GroupState&, TimePoint now);

/// Updates the highest promised term from a report or a vote.
void recordPromisedTerm(GroupState&, Term, TimePoint now);
/// Updates the primary if the report comes from a primary in a newer term.
void recordPrimary(GroupState&, const MemberReport&, TimePoint now, Actions&);

void handleFenceResponse(GroupState&, const OrderResponded&);
void handleRefusal(GroupState&, const OrderRefused&, Actions&);
void startPlannedChange(GroupState&, const ChangeOrdered&, Actions&);
/// Executes all due steps of planned changes, promotions and follow orders.
void advancePromotion(GroupState&, TimePoint now, Actions&);
/// Ends the current promotion without a new primary, schedules a random backoff and logs the cause.
void abandonPromotion(GroupState&, const std::string& cause, Actions&);
/// Ends the promotion and the planned change of the old term after a primary of a newer term was seen.
void finishPromotion(GroupState&, TimePoint now, Actions&);

} // namespace cassiahollow::group
