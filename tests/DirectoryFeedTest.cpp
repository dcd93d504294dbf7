#include "cassiahollow/process/DirectoryFeed.h"

#include "TestFailure.h"

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint senderNow { 10h };
const TimePoint receiverNow { 3h }; // Clocks of two machines have nothing to do with each other.

DirectoryMessage carried(const DirectoryMessage& message)
{
    std::optional<DirectoryMessage> decoded;
    REQUIRE_FALSE(failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(decoded, decodeDirectoryMessage(encodeDirectoryMessage(message, senderNow), receiverNow));
        return {};
    }));
    return *decoded;
}

/// The message as an instance of an earlier version would have sent it.
DirectoryMessage carriedWithout(const DirectoryMessage& message, const std::function<void(nlohmann::json&)>& remove)
{
    const auto bytes = encodeDirectoryMessage(message, senderNow);
    auto fields = nlohmann::json::from_msgpack(bytes);
    remove(fields);
    std::string older;
    nlohmann::json::to_msgpack(fields, older);
    std::optional<DirectoryMessage> decoded;
    REQUIRE_FALSE(failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(decoded, decodeDirectoryMessage(older, receiverNow));
        return {};
    }));
    return *decoded;
}

RegisteredEndpoint record()
{
    RegisteredEndpoint record;
    record.id_ = EndpointId("i-1");
    record.group_ = GroupId("returns");
    record.address_ = "10.0.0.1:80";
    record.dataCentre_ = DataCentre("a");
    record.startedAtMs_ = 1'700'000'000'000;
    record.sequence_ = 9;
    record.slots_ = 3;
    record.role_ = EndpointRole::Primary;
    record.leaving_ = true;
    record.receivedAt_ = senderNow - 400ms;
    record.roleSince_ = senderNow - 5s;
    return record;
}

} // namespace

// Guards against times of one machine's clock being used on another.
TEST_CASE("records keep their ages on the way to another clock")
{
    const auto update
        = std::get<RegistryUpdate>(carried(RegistryUpdate { { record() }, true, true, { InstanceId("x") } }));
    REQUIRE(update.records_.size() == 1);
    const auto& arrived = update.records_[0];
    CHECK(arrived.receivedAt_ == receiverNow - 400ms);
    CHECK(arrived.roleSince_ == receiverNow - 5s);
    CHECK(arrived.startedAtMs_ == 1'700'000'000'000);
    CHECK(arrived.role_ == EndpointRole::Primary);
    CHECK(arrived.leaving_);
    CHECK(update.requestsAll_);
    CHECK(update.recipientSilent_);
    CHECK(update.instances_ == std::vector { InstanceId("x") });
}

TEST_CASE("questions and answers arrive whole")
{
    FeedRequest request { 7, 12, "mark", false, true, { { EndpointId("i-1"), Duration::max(), 30ms } } };
    const auto asked = std::get<FeedRequest>(carried(request));
    CHECK(asked.number_ == 7);
    CHECK(asked.catalogVersion_ == 12);
    CHECK(asked.registryVersion_ == "mark");
    CHECK_FALSE(asked.takesRequests_);
    CHECK(asked.missesResponses_);
    REQUIRE(asked.reports_.size() == 1);
    CHECK(asked.reports_[0].lastResponseAge_ == Duration::max());
    CHECK(asked.reports_[0].failureAge_ == 30ms);

    FeedResponse answer;
    answer.number_ = 7;
    answer.confirmed_ = true;
    answer.contactAge_ = 130ms;
    answer.catalogVersion_ = 13;
    const std::string anyBytes("\x00\xff{\"", 4);
    answer.catalog_ = std::make_shared<const PackedCatalog>(packCatalog({ 13, anyBytes }));
    answer.leader_ = InstanceId("l");
    answer.members_ = { InstanceId("l"), InstanceId("m") };
    answer.instances_ = 17;
    answer.rank_ = 4;
    const auto answered = std::get<FeedResponse>(carried(answer));
    CHECK(answered.confirmed_);
    CHECK(answered.contactAge_ == 130ms);
    REQUIRE(answered.catalog_);
    CHECK_FALSE(failureOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(document, unpackCatalog(*answered.catalog_));
        CHECK(document == CatalogDocument { 13, anyBytes });
        return {};
    }));
    CHECK_FALSE(answered.records_);
    CHECK(answered.members_ == answer.members_);
    CHECK(answered.rank_ == 4);
    const auto relayed = std::get<ReportRelay>(carried(ReportRelay { InstanceId("x"), request.reports_ }));
    CHECK(relayed.instance_ == InstanceId("x"));
}

// Guards against damaged or foreign messages that throw into a task or are half applied.
TEST_CASE("a message that cannot be read is refused")
{
    const auto bytes = encodeDirectoryMessage(RegistryUpdate { { record() }, false, false, {} }, senderNow);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto failure = failureOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(decodeDirectoryMessage(std::string_view(bytes).substr(0, size), receiverNow));
            return {};
        });
        REQUIRE(failure);
        CHECK(failure->reason_ == Reason::MessageMalformed);
    }
}

// Guards against a large catalog that fills the links of small instances, and against damaged bytes that are unpacked.
TEST_CASE("catalogs are packed to a fraction, and damaged ones are refused")
{
    std::string document = "{\"Routes\":[";
    for (int i = 0; i < 350; ++i)
        document += "{\"Name\":\"r-" + std::to_string(i * 7919) + "\",\"Host\":\"h" + std::to_string(i * 104729)
            + "\",\"PathPrefix\":\"/\",\"Type\":\"read_your_writes\",\"TimeoutMs\":800,\"Service\":\"returns\"},";
    const auto packed = packCatalog({ 4, document });
    CHECK(packed.bytes_.size() * 4 < document.size());
    const auto refused = [](const PackedCatalog& bytes) {
        return failureOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(unpackCatalog(bytes));
            return {};
        });
    };
    CHECK_FALSE(refused(packed));
    for (const std::size_t size :
        { std::size_t(0), std::size_t(3), packed.bytes_.size() / 2, packed.bytes_.size() - 1 })
        CHECK(refused({ 4, packed.bytes_.substr(0, size) }));
    CHECK(refused({ 4, std::string("\xff\xff\xff\xff", 4) + packed.bytes_.substr(4) }));
}

// Guards against an upgrade in which instances of two versions do not understand each other.
TEST_CASE("messages of an earlier version are understood")
{
    FeedResponse answer;
    answer.number_ = 4;
    answer.contactAge_ = 130ms;
    answer.leases_ = LeaseGrant { { 3, 5 }, 20ms, std::nullopt };
    const auto keep = [](std::size_t count) {
        return [count](nlohmann::json& fields) {
            while (fields.size() > count)
                fields.erase(fields.size() - 1);
        };
    };
    const auto withoutLeases = carriedWithout(answer, keep(13));
    CHECK(std::get<FeedResponse>(withoutLeases).contactAge_ == 130ms);
    CHECK_FALSE(std::get<FeedResponse>(withoutLeases).leases_);
    const auto answered = carriedWithout(answer, keep(12));
    CHECK(std::get<FeedResponse>(answered).number_ == 4);
    CHECK(std::get<FeedResponse>(answered).contactAge_ == 0ms);

    FeedRequest request;
    request.reports_ = { { EndpointId("i-1"), 10ms, 20ms, true } };
    const auto asked = carriedWithout(request, [](nlohmann::json& fields) { fields.at(6).at(0).erase(3); });
    const auto& reports = std::get<FeedRequest>(asked).reports_;
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].failureAge_ == 20ms);
    CHECK_FALSE(reports[0].strained_);

    request.leaseVersion_ = { 3, 4 };
    CHECK(std::get<FeedRequest>(carried(request)).leaseVersion_ == LeaseVersion { 3, 4 });
    request.dataCentre_ = DataCentre("a");
    request.neighboursMark_ = 77;
    CHECK(std::get<FeedRequest>(carried(request)).dataCentre_ == DataCentre("a"));
    CHECK(std::get<FeedRequest>(carried(request)).neighboursMark_ == 77);
    const auto withoutDataCentre = std::get<FeedRequest>(carriedWithout(request, keep(8)));
    CHECK(withoutDataCentre.leaseVersion_ == LeaseVersion { 3, 4 });
    CHECK(withoutDataCentre.dataCentre_.empty());
    CHECK(std::get<FeedRequest>(carriedWithout(request, keep(7))).leaseVersion_ == LeaseVersion {});

    auto confirmed = record();
    confirmed.confirmed_ = true;
    confirmed.displaced_ = true;
    const RegistryUpdate update { { confirmed }, false, false, { InstanceId("x") }, { DataCentre("a") } };
    const auto arrived = std::get<RegistryUpdate>(carried(update));
    CHECK(arrived.records_.at(0).confirmed_);
    CHECK(arrived.records_.at(0).displaced_);
    CHECK(arrived.dataCentres_ == update.dataCentres_);
    const auto earlier = std::get<RegistryUpdate>(carriedWithout(update, [&](nlohmann::json& fields) {
        keep(13)(fields.at(1).at(0));
        keep(5)(fields);
    }));
    CHECK(earlier.records_.at(0).id_ == confirmed.id_);
    CHECK(earlier.dataCentres_.empty());
}

TEST_CASE("neighbours arrive only when they have changed")
{
    FeedResponse answer;
    answer.neighboursMark_ = 7;
    answer.dataCentres_ = 3;
    CHECK_FALSE(std::get<FeedResponse>(carried(answer)).neighbours_);
    answer.neighbours_ = { InstanceId("x"), InstanceId("y") };
    const auto arrived = std::get<FeedResponse>(carried(answer));
    CHECK(arrived.neighboursMark_ == 7);
    CHECK(arrived.neighbours_ == answer.neighbours_);
    CHECK(arrived.dataCentres_ == 3);
}

// Guards against an instance of an earlier version that is taken for one that needs the other data centres.
TEST_CASE("the instances of other data centres arrive only when asked for")
{
    FeedRequest request;
    CHECK_FALSE(std::get<FeedRequest>(carried(request)).othersMark_);
    request.othersMark_ = 0;
    CHECK(std::get<FeedRequest>(carried(request)).othersMark_ == std::uint64_t { 0 });
    CHECK_FALSE(
        std::get<FeedRequest>(carriedWithout(request, [](nlohmann::json& fields) { fields.erase(10); })).othersMark_);
    FeedResponse answer;
    answer.dataCentres_ = 3;
    answer.othersMark_ = 9;
    CHECK_FALSE(std::get<FeedResponse>(carried(answer)).others_);
    answer.others_ = { { DataCentre("b"), { InstanceId("x"), InstanceId("y") } }, { DataCentre("c"), {} } };
    const auto arrived = std::get<FeedResponse>(carried(answer));
    CHECK(arrived.othersMark_ == 9);
    CHECK(arrived.others_ == answer.others_);
    const auto earlier = std::get<FeedResponse>(carriedWithout(answer, [](nlohmann::json& fields) {
        fields.erase(18);
        fields.erase(17);
    }));
    CHECK_FALSE(earlier.others_);
    CHECK(earlier.dataCentres_ == 3);
}

TEST_CASE("leases arrive whole, and with their age")
{
    const LeaseTable table { { 3, 5 }, { { GroupId("g"), EndpointId("i-1") }, { GroupId("h"), EndpointId("i-2") } } };
    FeedResponse answer;
    answer.leases_ = LeaseGrant { table.version_, 120ms, table };
    const auto answered = std::get<FeedResponse>(carried(answer));
    REQUIRE(answered.leases_);
    CHECK(answered.leases_->age_ == 120ms);
    CHECK(answered.leases_->table_ == table);

    const auto asked = std::get<LeaseRequest>(carried(LeaseRequest { 8, { 3, 5 }, { 3, 4 } }));
    CHECK(asked.number_ == 8);
    CHECK(asked.known_ == LeaseVersion { 3, 5 });
    CHECK(asked.confirmed_ == LeaseVersion { 3, 4 });
    const auto granted
        = std::get<LeaseResponse>(carried(LeaseResponse { 8, { table.version_, Duration::max(), std::nullopt } }));
    CHECK(granted.number_ == 8);
    CHECK(granted.grant_.version_ == table.version_);
    CHECK(granted.grant_.age_ == Duration::max());
    CHECK_FALSE(granted.grant_.table_);
}

// Guards against a message that exhausts the stack of the process: each byte opens another array or map.
TEST_CASE("a deeply nested message is refused")
{
    for (const char opens : { '\x91', '\x81' }) {
        CHECK(failureOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(decodeDirectoryMessage(std::string(1 << 20, opens), receiverNow));
            return {};
        }));
    }
}

// Guards against a time before the start of the clock, or one that overflows.
TEST_CASE("an age out of range is limited")
{
    const auto ageOf = [](std::int64_t age) {
        FeedResponse answer;
        const auto decoded = carriedWithout(answer, [&](nlohmann::json& fields) { fields.at(12) = age; });
        return std::get<FeedResponse>(decoded).contactAge_;
    };
    CHECK(ageOf(-2) == 0ms);
    CHECK(ageOf(std::numeric_limits<std::int64_t>::max()) > 24h);
    CHECK(ageOf(std::numeric_limits<std::int64_t>::max()) < 24h * 366);
}
