#pragma once

#include "cassiahollow/version/GroupTerm.h"

/// The parts of GroupTerm that call each other across files. Not installed.
namespace cassiahollow::group {

using Actions = std::vector<GroupAction>;

/// How the primary looks to this watcher.
enum class PrimaryStatus : std::uint8_t {
    Reachable, ///< It reports, or its silence is not yet long enough for a suspicion.
    Undetermined, ///< No primary is known, and a member has neither reported nor failed a probe.
    Unreachable, ///< The primary, or a member that may be it, does not answer; votes have to decide.
    Absent, ///< All members report and none is primary; no votes are needed.
};

MemberState* find(GroupState&, const EndpointId&);
const MemberState* find(const GroupState&, const EndpointId&);
std::size_t majority(const GroupState&);
bool isFresh(const GroupState&, const MemberState&, TimePoint now);
PrimaryStatus primaryStatus(const GroupState&, TimePoint now);

/// The place of this watcher among the living ones in the order of their ids, or nothing if it is none of them.
std::optional<std::size_t> rankOf(const GroupState&);
/// Whether the own suspicion and the votes suffice to replace the primary.
bool hasVoteQuorum(const GroupState&, TimePoint now);

/// Notes a promised term that somebody has seen.
void recordPromisedTerm(GroupState&, Term, TimePoint now);
/// Notes a primary, if the report is one of a primary in a new term.
void recordPrimary(GroupState&, const MemberReport&, TimePoint now, Actions&);

void handleFenceResponse(GroupState&, const OrderResponded&);
void handleRefusal(GroupState&, const OrderRefused&, Actions&);
void startPlannedChange(GroupState&, const ChangeOrdered&, Actions&);
/// Carries out everything that is due in planned changes, promotions and follow orders.
void advancePromotion(GroupState&, TimePoint now, Actions&);
/// Ends the running promotion without a new primary.
void abandonPromotion(GroupState&, const std::string& cause, Actions&);
/// A primary in a new term ends whatever this watcher was doing about the old one.
void finishPromotion(GroupState&, TimePoint now, Actions&);

} // namespace cassiahollow::group
