#include "cassiahollow/process/Directory.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace cassiahollow;

namespace {

InstanceRecord instance(const std::string& id, Incarnation incarnation, std::uint64_t sequence,
    InstanceStatus status = InstanceStatus::Alive, std::uint64_t applied = 0)
{
    return { InstanceId(id), "127.0.0.1:1", DataCentre("dc"), incarnation, sequence, status, false, applied };
}

EndpointRecord endpoint(const std::string& id, std::uint64_t started, std::uint64_t sequence, bool expired = false)
{
    EndpointRecord record { EndpointId(id), GroupId("g"), "127.0.0.1:2", DataCentre("dc"), 2, 35 };
    record.started_ = started;
    record.sequence_ = sequence;
    record.expired_ = expired;
    return record;
}

} // namespace

// Guards against a record that goes back to an older version, whatever the order of arrival. The end of something
// unknown is not stored, so an older version of it is known first.
TEST_CASE("the newest version wins in every order of arrival")
{
    const std::vector<std::vector<Record>> histories {
        { instance("a", 0, 0), instance("a", 1, 1), instance("a", 1, 1, InstanceStatus::Suspect), instance("a", 1, 2),
            instance("a", 1, 2, InstanceStatus::Dead), instance("a", 2, 1) },
        { endpoint("e", 1, 1), endpoint("e", 1, 7), endpoint("e", 1, 8), endpoint("e", 1, 8, true), endpoint("e", 1, 9),
            endpoint("e", 2, 1) },
        { RouteRecord { GroupId("g"), 1, EndpointId("x") }, RouteRecord { GroupId("g"), 2, EndpointId("y") } },
        { GroupMembersRecord { GroupId("g"), 1, { EndpointId("x") } },
            GroupMembersRecord { GroupId("g"), 2, { EndpointId("y") } } },
        { DrainRecord { EndpointId("e"), 1 }, DrainRecord { EndpointId("e"), 2 } },
    };
    for (const auto& history : histories) {
        std::vector<std::size_t> order(history.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        do {
            DirectoryState state;
            mergeRecord(state, endpoint("e", 0, 0));
            mergeRecord(state, history[0]);
            std::size_t newest = 0;
            for (const auto i : order) {
                mergeRecord(state, history[i]);
                newest = std::max(newest, i);
                REQUIRE((findRecord(state, recordKey(history[i])) == history[newest]));
            }
        } while (std::next_permutation(order.begin(), order.end()));
    }
    DirectoryState state;
    REQUIRE(mergeRecord(state, instance("a", 1, 1, InstanceStatus::Dead)) == MergeResult::Ignored);
    REQUIRE(mergeRecord(state, endpoint("e", 1, 1, true)) == MergeResult::Ignored);
    REQUIRE(mergeRecord(state, DrainRecord { EndpointId("e"), 1 }) == MergeResult::Ignored);
    REQUIRE((state.instances_.empty() && state.endpoints_.empty()));
}

// Guards against a settings revision that appears to go back when an older record of an instance arrives.
TEST_CASE("the applied revision of an instance only rises")
{
    DirectoryState state;
    mergeRecord(state, instance("a", 1, 1, InstanceStatus::Alive, 7));
    mergeRecord(state, instance("a", 1, 2, InstanceStatus::Alive, 5));
    REQUIRE(state.instances_.at(InstanceId("a")).appliedRevision_ == 7);
    mergeRecord(state, instance("a", 1, 1, InstanceStatus::Alive, 9));
    REQUIRE(state.instances_.at(InstanceId("a")).appliedRevision_ == 9);
    REQUIRE(!mergeAppliedRevision(state, InstanceId("a"), 8));
    REQUIRE(state.settingsRevision_ == 9);
    mergeRecord(state, instance("b", 1, 1, InstanceStatus::Alive, 8));
    mergeRecord(state, instance("c", 1, 1, InstanceStatus::Dead, 0));
    REQUIRE(laggingInstances(state, 9).size() == 1);
    REQUIRE(laggingInstances(state, 9)[0].id_ == InstanceId("b"));
}

// Guards against dead instances and expired endpoints that are still offered, and against an order to drain that
// outlives a restart of the endpoint.
TEST_CASE("queries leave out what ended")
{
    DirectoryState state;
    mergeRecord(state, instance("a", 1, 1));
    mergeRecord(state, instance("b", 1, 1));
    mergeRecord(state, instance("b", 1, 1, InstanceStatus::Dead));
    REQUIRE(liveInstances(state, DataCentre("dc")).size() == 1);
    REQUIRE(liveInstances(state, DataCentre("other")).empty());

    mergeRecord(state, endpoint("e", 1, 1));
    mergeRecord(state, endpoint("f", 1, 1));
    mergeRecord(state, endpoint("f", 1, 1, true));
    REQUIRE(endpointsOfGroup(state, GroupId("g")).size() == 1);
    REQUIRE(!findEndpoint(state, EndpointId("f")));
    REQUIRE(!isLeaving(state, EndpointId("e")));
    mergeRecord(state, DrainRecord { EndpointId("e"), 1 });
    REQUIRE(isLeaving(state, EndpointId("e")));
    mergeRecord(state, endpoint("e", 2, 1));
    REQUIRE(!isLeaving(state, EndpointId("e")));
    REQUIRE(!routeOf(state, GroupId("g")));
    mergeRecord(state, RouteRecord { GroupId("g"), 3, EndpointId("e") });
    REQUIRE(routeOf(state, GroupId("g"))->term_ == 3);
    REQUIRE(!membersOf(state, GroupId("g")));
}

// Guards against an announcement that moves to another group and stays in the old one.
TEST_CASE("an endpoint is in one group only")
{
    DirectoryState state;
    mergeRecord(state, endpoint("e", 1, 1));
    auto moved = endpoint("e", 1, 2);
    moved.group_ = GroupId("h");
    mergeRecord(state, moved);
    REQUIRE(endpointsOfGroup(state, GroupId("g")).empty());
    REQUIRE(endpointsOfGroup(state, GroupId("h")).size() == 1);
    REQUIRE(differsBeyondSequence(endpoint("e", 1, 1), moved));
    REQUIRE(!differsBeyondSequence(endpoint("e", 1, 1), endpoint("e", 1, 9)));
}

// Guards against digests that differ although the live records are the same (endless repairs), and against digests
// that are the same although they differ (losses that are never repaired).
TEST_CASE("digests are equal exactly when the live records are")
{
    std::mt19937_64 random(11);
    for (int round = 0; round < 50; ++round) {
        std::vector<Record> records;
        for (int i = 0; i < 60; ++i) {
            const auto id = std::to_string(random() % 10);
            switch (random() % 4) {
            case 0:
                records.emplace_back(
                    instance(id, 1, 1 + random() % 3, random() % 3 ? InstanceStatus::Alive : InstanceStatus::Dead));
                break;
            case 1:
                records.emplace_back(endpoint(id, 1, 1 + random() % 3, random() % 3 == 0));
                break;
            case 2:
                records.emplace_back(RouteRecord { GroupId(id), 1 + random() % 3, EndpointId(id) });
                break;
            default:
                records.emplace_back(DrainRecord { EndpointId(id), 1 + random() % 3 });
            }
        }
        DirectoryState first;
        for (int i = 0; i < 10; ++i) {
            mergeRecord(first, instance(std::to_string(i), 0, 0));
            mergeRecord(first, endpoint(std::to_string(i), 0, 0));
        }
        auto second = first;
        for (const auto& record : records)
            mergeRecord(first, record);
        std::shuffle(records.begin(), records.end(), random);
        for (const auto& record : records)
            mergeRecord(second, record);
        REQUIRE(differingBuckets(first.digest_, second.digest_).empty());

        mergeRecord(second, RouteRecord { GroupId("3"), 9, EndpointId("3") });
        const auto differing = differingBuckets(first.digest_, second.digest_);
        REQUIRE(differing.size() == 1);
        for (const auto& record : recordsOfBucket(second, differing[0]))
            mergeRecord(first, record);
        REQUIRE(first.digest_ == second.digest_);

        // An ended record that only one side has forgotten makes no difference.
        mergeRecord(first, instance("z", 1, 1));
        mergeRecord(first, instance("z", 1, 1, InstanceStatus::Dead));
        REQUIRE(first.digest_ == second.digest_);
        purgeRecord(first, { RecordKind::Instance, "z" });
        REQUIRE(first.digest_ == second.digest_);
        REQUIRE(!findRecord(first, { RecordKind::Instance, "z" }));
    }
}
