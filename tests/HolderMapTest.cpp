#include "cassiahollow/process/HolderMap.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <random>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

InstanceId instance(int i)
{
    return InstanceId("i" + std::to_string(i));
}
EndpointId endpoint(int i)
{
    return EndpointId("e" + std::to_string(i));
}
DataCentre place(int i)
{
    return DataCentre("dc" + std::to_string(i));
}

HolderMap filled(int instances, int endpoints, int places)
{
    HolderMap map;
    map.self_ = instance(0);
    for (int i = 0; i < instances; ++i)
        addEligible(map, instance(i), place(i % places), start);
    for (int i = 0; i < endpoints; ++i)
        addEndpoint(map, endpoint(i), place(i % places), start);
    return map;
}

} // namespace

// Guards against instances that disagree on a holder because they learned of the members in another order.
TEST_CASE("the assignment depends on the members only, not on the order of changes")
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 20; ++round) {
        HolderMap changed;
        changed.self_ = instance(0);
        std::set<int> instances;
        std::set<int> endpoints;
        for (int change = 0; change < 400; ++change) {
            const int i = static_cast<int>(random() % 12);
            const auto now = start + change * 1ms;
            switch (random() % 4) {
            case 0:
                addEligible(changed, instance(i), place(i % 3), now);
                instances.insert(i);
                break;
            case 1:
                removeEligible(changed, instance(i), now);
                instances.erase(i);
                break;
            case 2:
                addEndpoint(changed, endpoint(i), place(i % 4), now);
                endpoints.insert(i);
                break;
            default:
                removeEndpoint(changed, endpoint(i), now);
                endpoints.erase(i);
            }
            HolderMap fresh;
            for (const int e : endpoints)
                addEndpoint(fresh, endpoint(e), place(e % 4), now);
            for (const int n : instances)
                addEligible(fresh, instance(n), place(n % 3), now);
            for (int e = 0; e < 12; ++e)
                REQUIRE(holderOf(changed, endpoint(e)) == holderOf(fresh, endpoint(e)));
        }
    }
}

// Guards against holders in another data centre while the endpoint's own has an instance.
TEST_CASE("a holder is in the endpoint's data centre while that has an instance")
{
    auto map = filled(9, 30, 3);
    for (int e = 0; e < 30; ++e)
        REQUIRE(map.dataCentres_.at(*holderOf(map, endpoint(e))) == place(e % 3));
    for (const int i : { 1, 4, 7 })
        removeEligible(map, instance(i), start + 1s);
    for (int e = 0; e < 30; ++e)
        REQUIRE((map.dataCentres_.at(*holderOf(map, endpoint(e))) == place(e % 3)) == (e % 3 != 1));
    addEligible(map, instance(4), place(1), start + 2s);
    REQUIRE(holderOf(map, endpoint(1)) == instance(4));
}

// Guards against a change of one member that moves the endpoints of others.
TEST_CASE("removing an instance moves only its own endpoints")
{
    auto map = filled(620, 920, 7);
    const auto before = map.endpoints_;
    removeEligible(map, instance(3), start + 1s);
    for (const auto& [id, entry] : before) {
        if (entry.holder_ != instance(3))
            REQUIRE(holderOf(map, id) == entry.holder_);
    }
    // Without balance one instance would exceed the 11 KB/s that the announcements of its endpoints have to fit in.
    std::map<InstanceId, int> held;
    for (const auto& [id, entry] : before)
        ++held[entry.holder_];
    for (const auto& [id, count] : held)
        REQUIRE(count <= 10);
}

// Guards against roles that begin or end without the connections following, and against a connection limit that is
// raised early because the start of the role is wrong.
TEST_CASE("role changes of this instance are reported once with their time")
{
    auto map = filled(1, 2, 1);
    auto changes = takeRoleChanges(map);
    REQUIRE(changes.size() == 2);
    REQUIRE((changes[0].began_ && changes[1].began_));
    REQUIRE(takeRoleChanges(map).empty());
    REQUIRE(holderSince(map, endpoint(0)) == start);

    removeEligible(map, instance(0), start + 1s);
    changes = takeRoleChanges(map);
    REQUIRE(changes.size() == 2);
    REQUIRE((!changes[0].began_ && changes[0].changedAt_ == start + 1s));
    REQUIRE(!holderOf(map, endpoint(0)));
    REQUIRE(!holderSince(map, endpoint(0)));

    addEligible(map, instance(0), place(0), start + 2s);
    addEligible(map, instance(0), place(0), start + 3s);
    REQUIRE(holderSince(map, endpoint(0)) == start + 2s);
    removeEndpoint(map, endpoint(0), start + 4s);
    changes = takeRoleChanges(map);
    REQUIRE(changes.size() == 3);
    REQUIRE(!changes.back().began_);
}

// Guards against promotions by an instance that is no watcher, and against two watchers with one rank.
TEST_CASE("watchers are the distinct holders of the members in id order")
{
    const auto map = filled(9, 9, 3);
    const std::vector<EndpointId> members { endpoint(0), endpoint(1), endpoint(2) };
    const auto watchers = watchersOf(map, members);
    REQUIRE(watchers.size() == 3);
    REQUIRE(std::is_sorted(watchers.begin(), watchers.end()));
    for (std::size_t rank = 0; rank < 3; ++rank)
        REQUIRE(watcherRank(map, members, watchers[rank]) == rank);
    for (int i = 0; i < 9; ++i) {
        if (std::find(watchers.begin(), watchers.end(), instance(i)) == watchers.end())
            REQUIRE(!watcherRank(map, members, instance(i)));
    }
    REQUIRE(watchersOf(map, { EndpointId("unknown") }).empty());
}

// Guards against a map that is too slow at the target size: membership changes in bursts when a data centre is cut
// off. The limits are ten times what a release build takes, so that they hold with sanitizers and under load.
TEST_CASE("the map is fast enough at the target size")
{
    const auto begin = std::chrono::steady_clock::now();
    auto map = filled(620, 920, 7);
    const auto built = std::chrono::steady_clock::now();
    for (int i = 3; i < 620; i += 7)
        removeEligible(map, instance(i), start + 1s);
    for (int i = 3; i < 620; i += 7)
        addEligible(map, instance(i), place(i % 7), start + 2s);
    const auto moved = std::chrono::steady_clock::now();
    const auto buildMs = std::chrono::duration<double, std::milli>(built - begin).count();
    const auto moveMs = std::chrono::duration<double, std::milli>(moved - built).count();
    WARN("620 instances, 920 endpoints: build " << buildMs << " ms, a data centre leaves and returns " << moveMs
                                                << " ms");
    REQUIRE(buildMs < 500);
    REQUIRE(moveMs < 2000);
}
