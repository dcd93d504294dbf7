#include "cassiahollow/process/MemberSelection.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cassiahollow;

namespace {

std::vector<InstanceId> instances(const std::vector<std::string>& names)
{
    return { names.begin(), names.end() };
}

// Sends requests that nobody answers, and returns the members that were tried.
std::set<std::string> membersTried(MemberSelection& selection, int requests)
{
    std::set<std::string> tried;
    for (int i = 0; i < requests; ++i) {
        if (needsSelection(selection))
            selectNextMember(selection);
        recordFeedRequest(selection);
        tried.insert(selection.selected_.value_);
    }
    return tried;
}

} // namespace

// Guards against an entry instance that keeps an old catalog: a removed member, which still runs, names members that
// are all gone, as are the seeds.
TEST_CASE("members that a majority confirmed are kept when a member without a majority names others")
{
    MemberSelection selection;
    selection.seeds_ = instances({ "old-1", "old-2" });
    selectNextMember(selection);
    recordFeedResponse(selection, selection.selected_, instances({ "new-1", "new-2", "removed" }), true, true);
    selection.selected_ = InstanceId("removed");
    recordFeedResponse(selection, selection.selected_, instances({ "old-1", "removed" }), false, true);
    const auto tried = membersTried(selection, 20);
    CHECK(tried.contains("new-1"));
    CHECK(tried.contains("new-2"));
}

// Guards against the opposite: all confirmed members and seeds are gone, and a member that just joined knows others.
TEST_CASE("members that a member without a majority names are tried as well")
{
    MemberSelection selection;
    selection.seeds_ = instances({ "old-1" });
    selectNextMember(selection);
    recordFeedResponse(selection, selection.selected_, instances({ "old-1", "old-2" }), true, true);
    recordFeedResponse(selection, selection.selected_, instances({ "new-1" }), false, true);
    CHECK(membersTried(selection, 20).contains("new-1"));
}

// Replays "all instances start at once after a loss of power": most members do not answer yet.
TEST_CASE("an instance tries another member with each request until one with a majority responds")
{
    MemberSelection selection;
    selection.seeds_ = instances({ "a", "b", "c" });
    CHECK(membersTried(selection, 3).size() == 3);
    recordFeedResponse(selection, InstanceId("b"), instances({ "a", "b", "c" }), false, true);
    CHECK_FALSE(selection.isConfirmed_);
    recordFeedResponse(selection, InstanceId("c"), instances({ "a", "b", "c" }), true, true);
    CHECK(selection.selected_ == InstanceId("c"));
    CHECK(selection.isConfirmed_);
    CHECK_FALSE(needsSelection(selection));
}

// Guards against an instance that leaves a member because of one lost response, or stays with one that is gone.
TEST_CASE("a member is left after two unanswered requests or without a majority")
{
    MemberSelection selection;
    selection.seeds_ = instances({ "a", "b" });
    selectNextMember(selection);
    recordFeedResponse(selection, InstanceId("a"), {}, true, true);
    recordFeedRequest(selection);
    CHECK_FALSE(needsSelection(selection));
    recordFeedRequest(selection);
    CHECK(needsSelection(selection));
    recordFeedResponse(selection, InstanceId("a"), {}, true, true);
    CHECK_FALSE(needsSelection(selection));
    recordFeedResponse(selection, InstanceId("a"), {}, false, true);
    CHECK(selection.selected_ == InstanceId("b"));
}

TEST_CASE("without seeds and members none is selected")
{
    MemberSelection selection;
    selectNextMember(selection);
    CHECK(selection.selected_.empty());
    CHECK(needsSelection(selection));
}

// Replays "all machines start at once" where the seeds start last: the instance must not wait for them once another
// member has announced itself, and must go on from it if that does not answer.
TEST_CASE("an instance that knows only the seeds asks a member that announces itself")
{
    MemberSelection selection;
    selection.seeds_ = instances({ "seed-1", "seed-2" });
    selectNextMember(selection);
    recordFeedRequest(selection);
    selectMember(selection, InstanceId("other"));
    CHECK_FALSE(needsSelection(selection));
    recordFeedRequest(selection);
    CHECK(membersTried(selection, 4).contains("seed-1"));
}
