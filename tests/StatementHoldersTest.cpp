#include "cassiahollow/process/StatementHolders.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cassiahollow;

namespace {

std::vector<InstanceId> instances(std::size_t count)
{
    std::vector<InstanceId> list;
    for (std::size_t i = 0; i < count; ++i)
        list.emplace_back("10.1.0." + std::to_string(i) + ":7400");
    return list;
}

std::vector<GroupId> groups(std::size_t count)
{
    std::vector<GroupId> list;
    for (std::size_t i = 0; i < count; ++i)
        list.emplace_back("group-" + std::to_string(i));
    return list;
}

std::map<InstanceId, std::size_t> rolesOf(const StatementHolders& holders)
{
    std::map<InstanceId, std::size_t> roles;
    for (const auto& [group, order] : holders.order_) {
        for (std::size_t i = 0; i < holders.holdersPerGroup_; ++i)
            ++roles[order.at(i)];
    }
    return roles;
}

} // namespace

// Replays "hundreds of instances before dozens of databases": connections are scarce, and one instance must not become
// the bottleneck of many groups.
TEST_CASE("holders share the groups evenly")
{
    for (const std::size_t count : { 1, 7, 20, 33, 120 }) {
        CAPTURE(count);
        const auto holders = assignHolders({ groups(20), instances(count), 6, 72 });
        const auto roles = 20 * holders.holdersPerGroup_;
        for (const auto& [instance, held] : rolesOf(holders))
            CHECK(held <= (roles + count - 1) / count);
        for (const auto& [group, order] : holders.order_) {
            CHECK(order.size() == count);
            CHECK(std::set<InstanceId>(order.begin(), order.end()).size() == count);
        }
    }
}

// Guards against a limit that is exceeded while instances disagree on who is there.
TEST_CASE("holders of two assignments stay below the connection limit together")
{
    for (const std::size_t limit : { 12, 34, 67, 72, 500 }) {
        for (const std::size_t dataCentres : { 1, 3, 6 }) {
            for (const std::size_t count : { 2, 30, 200 }) {
                CAPTURE(limit, dataCentres, count);
                const auto holders = assignHolders({ groups(8), instances(count), dataCentres, limit });
                const auto each = holders.connectionsPerHolder_ * holders.holdersPerGroup_ * dataCentres;
                CHECK(holders.connectionsPerHolder_ >= 1);
                CHECK((2 * each <= limit || holders.connectionsPerHolder_ == 1));
                CHECK((holders.holdersPerGroup_ == 1 || holders.connectionsPerHolder_ >= minimumHolderConnections));
            }
        }
    }
}

// Guards against all connections being opened anew when one instance comes or goes.
TEST_CASE("few groups change their holder with one instance")
{
    auto list = instances(33);
    const auto before = assignHolders({ groups(20), list, 6, 72 });
    for (const std::size_t gone : { 0, 5, 20, 32 }) {
        auto fewer = list;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
        const auto after = assignHolders({ groups(20), fewer, 6, 72 });
        std::size_t changed = 0;
        for (const auto& [group, order] : before.order_)
            changed += order.front() == after.order_.at(group).front() ? 0 : 1;
        CHECK(changed <= 4);
    }
}

TEST_CASE("instances agree, and share several holders of a group among them")
{
    const auto holders = assignHolders({ groups(4), instances(40), 2, 400 });
    REQUIRE(holders.holdersPerGroup_ == maximumHoldersPerGroup);
    const auto shuffled = [] {
        auto list = instances(40);
        std::reverse(list.begin(), list.end());
        return list;
    }();
    const auto group = groups(4)[2];
    CHECK(assignHolders({ groups(4), shuffled, 2, 400 }).order_ == holders.order_);
    std::map<InstanceId, int> first;
    for (const auto& self : instances(40)) {
        const auto order = holderOrder(holders, group, self);
        CHECK(isHolder(holders, group, order.front()));
        CHECK_FALSE(isHolder(holders, group, order.back()));
        ++first[order.front()];
    }
    CHECK(first.size() == maximumHoldersPerGroup);
    CHECK(holderOrder(holders, GroupId("unknown"), instances(1)[0]).empty());
    CHECK(assignHolders({ groups(4), {}, 2, 400 }).order_.empty());
}

// Guards against an account whose connections are spread over all holders, and against accounts that all use the same.
TEST_CASE("all instances use the same holder for an account, and accounts share the holders")
{
    const auto holders = assignHolders({ groups(8), instances(45), 3, 131 });
    REQUIRE(holders.holdersPerGroup_ == 3);
    std::map<InstanceId, std::size_t> accounts;
    const GroupId group("group-3");
    for (int i = 0; i < 300; ++i) {
        const auto order = holderOrder(holders, group, AccountId("account-" + std::to_string(i)));
        REQUIRE(order.size() == 45);
        CHECK(isHolder(holders, group, order.front()));
        CHECK(isHolder(holders, group, order[2]));
        CHECK_FALSE(isHolder(holders, group, order[3]));
        ++accounts[order.front()];
    }
    REQUIRE(accounts.size() == 3);
    for (const auto& [instance, count] : accounts)
        CHECK(count > 60);
    CHECK(holderOrder(holders, GroupId("other"), AccountId("account-1")).empty());
}

// Guards against accounts that change their holder, and need new connections, when an unrelated holder leaves.
TEST_CASE("an account keeps its holder when another one leaves")
{
    const auto all = instances(3);
    const HolderInputs before { groups(1), all, 1, 131 };
    const auto holders = assignHolders(before);
    REQUIRE(holders.holdersPerGroup_ == 3);
    for (int i = 0; i < 100; ++i) {
        const AccountId account("account-" + std::to_string(i));
        const auto order = holderOrder(holders, GroupId("group-0"), account);
        auto left = all;
        std::erase(left, order[1]);
        const auto after = holderOrder(assignHolders({ groups(1), left, 1, 131 }), GroupId("group-0"), account);
        CHECK(after == std::vector { order[0], order[2] });
    }
}
