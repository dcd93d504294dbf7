#include "support/Ports.h"

#include "../../standin/LineServer.h"
#include "process/EventLoop.h"
#include "version/DutyRunner.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

// The carrying out of the promotion duty against databases of the line protocol.

// Replays "a database that sheds": the primary that has to be relieved also sheds control's questions.
TEST_CASE("a question that an endpoint sheds is asked again")
{
    const GroupId group("returns");
    standin::LineGroup databases(group.value_, { EndpointId("i-1"), EndpointId("i-2"), EndpointId("i-3") });
    std::vector<std::unique_ptr<standin::LineServer>> servers;
    EndpointRegistry registry;
    for (const auto& id : databases.endpoints()) {
        servers.push_back(
            std::make_unique<standin::LineServer>(databases, id, "127.0.0.1", cassiahollow::testing::freePort()));
        servers.back()->faults().shedsFirstOrder_ = true;
        RegisteredEndpoint record;
        record.id_ = id;
        record.group_ = group;
        record.address_ = servers.back()->address();
        record.startedAtMs_ = 1;
        record.sequence_ = 1;
        record.role_ = databases.isPrimary(id) ? EndpointRole::Primary : EndpointRole::Replica;
        record.leaving_ = databases.isPrimary(id);
        record.receivedAt_ = Clock::now();
        record.roleSince_ = Clock::now();
        mergeRecord(registry, record);
    }
    RouteCatalog catalog;
    catalog.version_ = 1;
    catalog.groups_ = { { group, 34, 0 } };

    EventLoop loop;
    Metrics metrics;
    std::optional<EndpointId> target;
    PrimaryLeases leases(
        InstanceId("core-1"), true, metrics, [](const InstanceId&, const DirectoryMessage&) {}, [] {}, [] {});
    DutyRunner runner(loop, metrics, { "holder", InstanceId("core-1"), "127.0.0.1:9", {} }, registry, leases,
        [&](const GrantChange& grant) {
            target = grant.endpoint_;
            loop.stop();
        });
    runner.setCatalog(std::make_shared<const RouteCatalog>(catalog));
    runner.setLeading(true);
    runner.tick();
    // One survey has to do; the next one would be shed like it.
    loop.schedule(Clock::now() + 450ms, [&] { loop.stop(); });
    loop.run();
    REQUIRE(target);
    CHECK(*target != EndpointId("i-1"));
}
