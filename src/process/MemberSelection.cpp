#include "cassiahollow/process/MemberSelection.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    // Two, because a single response may be lost.
    constexpr std::uint64_t maximumUnanswered = 2;
    // A new instance tries the next member at once: after a loss of power, most of them may not have started yet.
    constexpr std::uint64_t maximumUnansweredAtStart = 1;

    std::vector<InstanceId> candidatesOf(const MemberSelection& selection)
    {
        std::vector<InstanceId> candidates;
        for (const auto* list : { &selection.members_, &selection.seeds_, &selection.unconfirmedMembers_ }) {
            for (const auto& instance : *list) {
                if (std::find(candidates.begin(), candidates.end(), instance) == candidates.end())
                    candidates.push_back(instance);
            }
        }
        return candidates;
    }

} // namespace

bool needsSelection(const MemberSelection& selection)
{
    return selection.selected_.empty()
        || selection.unanswered_ >= (selection.isConfirmed_ ? maximumUnanswered : maximumUnansweredAtStart);
}

void selectNextMember(MemberSelection& selection)
{
    const auto candidates = candidatesOf(selection);
    if (candidates.empty())
        return;
    selection.selected_ = candidates[selection.next_++ % candidates.size()];
    selection.unanswered_ = 0;
}

void selectMember(MemberSelection& selection, const InstanceId& member)
{
    selection.selected_ = member;
    selection.unanswered_ = 0;
}

void recordFeedRequest(MemberSelection& selection)
{
    ++selection.unanswered_;
}

bool recordFeedResponse(MemberSelection& selection, const InstanceId& sender, const std::vector<InstanceId>& members,
    bool isConfirmed, bool isResponse)
{
    if (!members.empty()) {
        const bool isTrusted = isConfirmed || !selection.isConfirmed_;
        (isTrusted ? selection.members_ : selection.unconfirmedMembers_) = members;
    }
    if (isConfirmed)
        selection.unconfirmedMembers_.clear();
    if (isConfirmed && !selection.isConfirmed_ && sender != selection.selected_) {
        selection.selected_ = sender;
        selection.unanswered_ = 0;
    }
    if (sender != selection.selected_ || !isResponse)
        return false;
    selection.unanswered_ = 0;
    if (isConfirmed)
        selection.isConfirmed_ = true;
    else
        selectNextMember(selection);
    return true;
}

} // namespace cassiahollow
