#include "cassiahollow/process/EndpointRegistry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

RegisteredEndpoint record(const std::string& id, std::uint64_t born, std::uint64_t sequence, TimePoint heard = start)
{
    RegisteredEndpoint record;
    record.id_ = EndpointId(id);
    record.group_ = GroupId("returns");
    record.address_ = "10.0.0." + id.substr(1) + ":80";
    record.startedAtMs_ = born;
    record.sequence_ = sequence;
    record.receivedAt_ = heard;
    record.roleSince_ = heard;
    return record;
}

RegisteredEndpoint primary(RegisteredEndpoint record)
{
    record.role_ = EndpointRole::Primary;
    return record;
}

} // namespace

// Guards against a late report that undoes a newer one.
TEST_CASE("reports are ordered by process and sequence")
{
    EndpointRegistry registry;
    CHECK(mergeRecord(registry, record("i1", 100, 5)) == RegistryMerge::Changed);
    CHECK(mergeRecord(registry, primary(record("i1", 100, 4))) == RegistryMerge::Stale);
    CHECK(mergeRecord(registry, record("i1", 100, 6)) == RegistryMerge::Refreshed);
    CHECK(mergeRecord(registry, primary(record("i1", 100, 7))) == RegistryMerge::Changed);
    // A new process counts anew.
    CHECK(mergeRecord(registry, record("i1", 200, 1)) == RegistryMerge::Changed);
    CHECK(mergeRecord(registry, record("i1", 100, 900)) == RegistryMerge::Stale);
    CHECK(registry.records_.at(EndpointId("i1")).role_ == EndpointRole::Replica);
}

// Guards against a report that was held up by a partition and names an address that another endpoint has taken.
TEST_CASE("an address belongs to the endpoint that was born last")
{
    EndpointRegistry registry;
    auto successor = record("i2", 200, 1);
    successor.address_ = "10.0.0.1:80";
    mergeRecord(registry, record("i1", 100, 5));
    CHECK(mergeRecord(registry, successor) == RegistryMerge::Changed);
    CHECK(registry.records_.at(EndpointId("i1")).removed_);
    CHECK(mergeRecord(registry, record("i1", 100, 6)) == RegistryMerge::Stale);
    CHECK(endpointsOf(registry, GroupId("returns")).size() == 1);
}

// Guards against an endpoint that comes back by a report sent before it signed off.
TEST_CASE("an endpoint that has signed off stays away until its next process")
{
    EndpointRegistry registry;
    mergeRecord(registry, record("i1", 100, 5));
    CHECK(removeRecord(registry, EndpointId("i1"), start) == RegistryMerge::Changed);
    CHECK(removeRecord(registry, EndpointId("i1"), start) == RegistryMerge::Stale);
    CHECK(mergeRecord(registry, record("i1", 100, 6)) == RegistryMerge::Stale);
    CHECK(mergeRecord(registry, record("i1", 101, 1)) == RegistryMerge::Changed);
    CHECK_FALSE(registry.records_.at(EndpointId("i1")).removed_);
}

// Guards against a dark old primary, which still claims to be one, hiding the new one.
TEST_CASE("the endpoint that became the primary last is the primary")
{
    EndpointRegistry registry;
    mergeRecord(registry, primary(record("i1", 100, 1, start)));
    mergeRecord(registry, record("i2", 100, 1, start));
    CHECK(primaryOf(registry, GroupId("returns"))->id_ == EndpointId("i1"));
    mergeRecord(registry, primary(record("i2", 100, 2, start + 1s)));
    CHECK(primaryOf(registry, GroupId("returns"))->id_ == EndpointId("i2"));
    // Later reports of the same role do not make it newer.
    mergeRecord(registry, primary(record("i1", 100, 2, start + 2s)));
    CHECK(primaryOf(registry, GroupId("returns"))->id_ == EndpointId("i2"));
    CHECK_FALSE(primaryOf(registry, GroupId("other")));
}

// Guards against copies that differ after the same reports arrived in different orders.
TEST_CASE("registries that got the same reports in any order agree")
{
    std::vector<RegisteredEndpoint> reports { record("i1", 100, 1), primary(record("i1", 100, 2)), record("i1", 200, 1),
        record("i2", 100, 1), primary(record("i2", 100, 3)) };
    std::sort(reports.begin(), reports.end(), [](const auto& a, const auto& b) { return a.sequence_ < b.sequence_; });
    std::optional<EndpointRegistry> first;
    std::vector<std::size_t> order { 0, 1, 2, 3, 4 };
    do {
        EndpointRegistry registry;
        for (const auto i : order)
            mergeRecord(registry, reports[i]);
        if (!first)
            first = registry;
        for (const auto& [id, expected] : first->records_) {
            const auto& found = registry.records_.at(id);
            CHECK(found.startedAtMs_ == expected.startedAtMs_);
            CHECK(found.sequence_ == expected.sequence_);
            CHECK(found.role_ == expected.role_);
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("records that nobody renews are dropped")
{
    EndpointRegistry registry;
    mergeRecord(registry, record("i1", 100, 1));
    expireRecords(registry, start + registryLifetime);
    CHECK(registry.records_.size() == 1);
    expireRecords(registry, start + registryLifetime + 1ms);
    CHECK(registry.records_.empty());
}

// Guards against one entry of another writer, under a new or a known id, that takes a group or an address over.
TEST_CASE("one odd entry harms the real endpoint for no longer than it stays unconfirmed")
{
    EndpointRegistry registry;
    auto now = start;
    std::uint64_t sequence = 0;
    const auto report = [&](Duration time) {
        for (const auto end = now + time; now < end; now += 1s) {
            mergeRecord(registry, primary(record("i1", 100, ++sequence, now)));
            mergeRecord(registry, record("i2", 100, sequence, now));
        }
    };
    const auto primaryId = [&] { return primaryOf(registry, GroupId("returns"))->id_; };
    report(5s);

    SECTION("a primary that nobody knows")
    {
        mergeRecord(registry, primary(record("i9", 900, 1, now)));
        CHECK(primaryId() == EndpointId("i1"));
        report(10s);
        CHECK(primaryId() == EndpointId("i1"));
    }
    SECTION("the address of the primary")
    {
        auto odd = record("i9", 900, 1, now);
        odd.address_ = "10.0.0.1:80";
        mergeRecord(registry, odd);
        report(unconfirmedLifetime + 2s);
        CHECK(primaryId() == EndpointId("i1"));
        CHECK(registry.records_.at(EndpointId("i9")).removed_);
        // A copy of the odd entry from another member changes nothing any more.
        mergeRecord(registry, odd);
        CHECK(primaryId() == EndpointId("i1"));
    }
    SECTION("the id of the primary, with a later start or a sequence far ahead")
    {
        auto odd = record("i1", GENERATE(100, 900), 1'000'000, now);
        odd.address_ = "10.9.9.9:9";
        mergeRecord(registry, odd);
        report(unconfirmedLifetime + 2s);
        CHECK(registry.records_.at(EndpointId("i1")).address_ == "10.0.0.1:80");
        CHECK(primaryId() == EndpointId("i1"));
        mergeRecord(registry, odd);
        CHECK(registry.records_.at(EndpointId("i1")).address_ == "10.0.0.1:80");
    }
}

// Guards against a promoted replica that has to wait before it counts as the primary.
TEST_CASE("a known endpoint that becomes primary counts at once")
{
    EndpointRegistry registry;
    for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
        mergeRecord(registry, primary(record("i1", 100, sequence)));
        mergeRecord(registry, record("i2", 100, sequence));
    }
    mergeRecord(registry, primary(record("i2", 100, 3, start + 1s)));
    CHECK(primaryOf(registry, GroupId("returns"))->id_ == EndpointId("i2"));
}
