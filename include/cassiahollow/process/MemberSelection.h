#pragma once

#include "cassiahollow/process/Types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cassiahollow {

/// The control members that an entry instance knows, and the one that it sends feed requests to. A plain struct of
/// state; the functions below change it.
struct MemberSelection {
    std::vector<InstanceId> seeds_; ///< From the settings; also changed by a reload.
    std::vector<InstanceId> members_; ///< From the last confirmed response, or from any before the first one.
    /// From the last response of a member without a majority. Its list may be older than members_ or newer, so it is
    /// used as well.
    std::vector<InstanceId> unconfirmedMembers_;
    InstanceId selected_; ///< Empty before the first selection.
    std::size_t next_ { 0 }; ///< Index of the next candidate. Differs between instances, so that members share them.
    std::uint64_t unanswered_ { 0 }; ///< Feed requests to selected_ since its last response.
    bool isConfirmed_ { false }; ///< A member with a majority has responded since the start.
};

/// Returns whether the next feed request needs another member: none is selected, or it left too many unanswered.
bool needsSelection(const MemberSelection&);

/// Selects the next candidate in turn, out of the members and the seeds. Selects none if there are no candidates.
void selectNextMember(MemberSelection&);

/// Selects a member that has just announced itself, for an instance that has no catalog yet.
void selectMember(MemberSelection&, const InstanceId&);

/// Records a feed request to the selected member.
void recordFeedRequest(MemberSelection&);

/// Records a response or a push. `isConfirmed` tells whether the sender had contact with a majority, and `isResponse`
/// whether it answers a request. The first member with a majority stays selected until it loses that or falls silent.
/// Returns whether this is a response of the member that was selected.
bool recordFeedResponse(MemberSelection&, const InstanceId& sender, const std::vector<InstanceId>& members,
    bool isConfirmed, bool isResponse);

} // namespace cassiahollow
