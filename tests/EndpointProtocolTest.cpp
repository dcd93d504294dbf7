#include "cassiahollow/connection/EndpointProtocol.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace cassiahollow;

namespace {

const std::vector<EndpointRequest> requests {
    { 1, HelloRequest { InstanceId("i1") } },
    { 2, RunRequest { 3, { "SET a 1", "GET a" }, false, false, "k1", {} } },
    { 3, RunRequest { 3, { "GET a" }, true, false, "", { 2, 9 } } },
    { 4, RunRequest { 3, { "GET a" }, false, true, "", {} } },
    { 5, BeginRequest { 3 } },
    { 6, CommitRequest { 3, "k2" } },
    { 7, RollbackRequest { 3 } },
    { 8, LookupRequest { "k1" } },
    { 9, WatchRequest { std::chrono::milliseconds(100) } },
    { 10, ReportRequest {} },
    { 11, FenceRequest { 4, InstanceId("i1") } },
    { 12, PromoteRequest { 4, InstanceId("i1") } },
    { 13, FollowRequest { 4, InstanceId("i1"), EndpointId("db-2"), "127.0.0.1:7002" } },
};

const std::vector<EndpointResponse> answers {
    { 1, HelloResponse { EndpointId("db-1"), 5 } },
    { 2, DoneResponse { { "ok", "1" }, { 3, 10 }, true } },
    { 3, NotRunResponse { EndpointRefusal::StaleTerm, 4, "term 3" } },
    { 4, PresentResponse { { "ok" }, { 3, 10 } } },
    { 5, AbsentResponse { 4, { 3, 10 } } },
    { 6, EndpointReport { EndpointId("db-1"), EndpointRole::Primary, 4, { 3, 10 }, true, EndpointId("db-1") } },
    { 7, EndpointReport { EndpointId("db-1"), EndpointRole::Replica, 4, { 3, 10 }, false, {} } },
};

const EndpointAnnouncement announcement { EndpointId("db-1"), GroupId("g1"), "127.0.0.1:7001", DataCentre("dc1"), 2, 35,
    EndpointRole::Primary, 4, true, 1'700'000'000'000, 17 };

/// The reason with which a decoder fails, or Count if it succeeds.
template <typename Decode> Reason failureOf(Decode&& decode)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Reason> {
            BOOST_LEAF_CHECK(decode());
            return Reason::Count;
        },
        [](const Failure& failure) { return failure.reason_; }, [] { return Reason::QueueFull; });
}

} // namespace

// Guards against a field that one side writes under another name, or that a decoder loses.
TEST_CASE("every message survives encoding and decoding")
{
    for (const auto& request : requests) {
        const auto text = encodeEndpointRequest(request);
        const auto decoded = decodeEndpointRequest(text);
        REQUIRE(decoded);
        REQUIRE(decoded->exchange_ == request.exchange_);
        REQUIRE(decoded->operation_.index() == request.operation_.index());
        REQUIRE(encodeEndpointRequest(*decoded) == text);
    }
    for (const auto& answer : answers) {
        const auto text = encodeEndpointResponse(answer);
        const auto decoded = decodeEndpointResponse(text);
        REQUIRE(decoded);
        REQUIRE(decoded->result_.index() == answer.result_.index());
        REQUIRE(encodeEndpointResponse(*decoded) == text);
    }
    const auto decoded = decodeEndpointAnnouncement(encodeEndpointAnnouncement(announcement));
    REQUIRE(decoded);
    REQUIRE(*decoded == announcement);
}

// Guards against a change of the wire format that both codecs follow silently: endpoints of other versions would break.
TEST_CASE("the wire format is fixed")
{
    REQUIRE(encodeEndpointRequest(requests[2])
        == R"({"exchange":3,"min_log_index":9,"min_log_term":2,"op":"run","read_only":true,"statements":["GET a"],"term":3})");
    REQUIRE(encodeEndpointRequest(requests[12])
        == R"({"exchange":13,"op":"follow","primary":{"address":"127.0.0.1:7002","endpoint":"db-2"},"promoter":"i1","term":4})");
    REQUIRE(encodeEndpointResponse(answers[2])
        == R"({"detail":"term 3","exchange":3,"promised_term":4,"reason":"stale_term","result":"not_run"})");
    REQUIRE(encodeEndpointResponse(answers[6])
        == R"({"endpoint":"db-1","exchange":7,"leaving":false,"log_index":10,"log_term":3,"promised_term":4,"result":"report","role":"replica"})");
}

// Guards against a malformed message that is taken as a valid one or ends the process.
TEST_CASE("malformed requests fail with a typed error")
{
    const auto text = GENERATE(as<std::string> {}, "", "{", "[]", "null", "7", R"({"exchange":1})",
        R"({"exchange":-1,"op":"report"})", R"({"exchange":1.5,"op":"report"})", R"({"exchange":"1","op":"report"})",
        R"({"exchange":1,"op":"drop"})", R"({"exchange":1,"op":"hello","instance":""})",
        R"({"exchange":1,"op":"hello","instance":7})",
        R"({"exchange":1,"op":"run","term":1,"statements":"GET a","read_only":true})",
        R"({"exchange":1,"op":"run","term":1,"statements":[1],"read_only":true})",
        R"({"exchange":1,"op":"run","term":1,"statements":[],"read_only":1})",
        R"({"exchange":1,"op":"run","term":1,"statements":[],"read_only":false,"transaction":true,"key":"k"})",
        R"({"exchange":1,"op":"run","term":18446744073709551616,"statements":[],"read_only":false})",
        R"({"exchange":1,"op":"watch","interval_ms":0})", R"({"exchange":1,"op":"watch","interval_ms":9999999999})",
        R"({"exchange":1,"op":"follow","term":1,"promoter":"i","primary":"db"})",
        R"({"exchange":1,"op":"follow","term":1,"promoter":"i","primary":{"endpoint":"db"}})", "{\"op\":\"\xff\"}");
    CAPTURE(text);
    REQUIRE(failureOf([&] { return decodeEndpointRequest(text); }) == Reason::MessageMalformed);
    REQUIRE(failureOf([&] { return decodeEndpointResponse(text); }) == Reason::MessageMalformed);
    REQUIRE(failureOf([&] { return decodeEndpointAnnouncement(text); }) == Reason::MessageMalformed);
}

// Guards against one message that exhausts the memory.
TEST_CASE("oversized messages and fields are refused")
{
    const auto lookup = [](std::size_t bytes) {
        return encodeEndpointRequest({ 1, LookupRequest { std::string(bytes, 'k') } });
    };
    REQUIRE(decodeEndpointRequest(lookup(maxEndpointNameBytes)));
    REQUIRE(
        failureOf([&] { return decodeEndpointRequest(lookup(maxEndpointNameBytes + 1)); }) == Reason::MessageMalformed);
    const EndpointRequest statements { 1,
        RunRequest { 1, std::vector<std::string>(maxEndpointStatements + 1, "GET a") } };
    REQUIRE(failureOf([&] { return decodeEndpointRequest(encodeEndpointRequest(statements)); })
        == Reason::MessageMalformed);
    const auto padded = std::string(maxEndpointMessageBytes, ' ') + encodeEndpointRequest(requests[0]);
    REQUIRE(failureOf([&] { return decodeEndpointRequest(padded); }) == Reason::MessageMalformed);
    REQUIRE(failureOf([&] { return decodeEndpointRequest(std::string(1U << 19U, '[')); }) == Reason::MessageMalformed);
}

// Guards against an exception or a crash of a decoder on damaged messages.
TEST_CASE("decoders survive damaged messages")
{
    std::mt19937 random(20240517);
    std::vector<std::string> seeds;
    for (const auto& request : requests)
        seeds.push_back(encodeEndpointRequest(request));
    for (const auto& answer : answers)
        seeds.push_back(encodeEndpointResponse(answer));
    seeds.push_back(encodeEndpointAnnouncement(announcement));
    for (int round = 0; round < 20'000; ++round) {
        auto text = seeds[random() % seeds.size()];
        for (auto changes = random() % 4 + 1; changes > 0 && !text.empty(); --changes) {
            const auto place = random() % text.size();
            if (random() % 2 == 0)
                text[place] = static_cast<char>(random());
            else
                text.erase(place, random() % 8);
        }
        REQUIRE_NOTHROW(decodeEndpointRequest(text));
        REQUIRE_NOTHROW(decodeEndpointResponse(text));
        REQUIRE_NOTHROW(decodeEndpointAnnouncement(text));
    }
}

// Guards against a refusal of a newer endpoint that makes an instance drop the whole answer.
TEST_CASE("unknown refusals and fields are accepted")
{
    const auto answer = decodeEndpointResponse(
        R"({"exchange":1,"result":"not_run","reason":"out_of_disk","promised_term":2,"later":[]})");
    REQUIRE(answer);
    REQUIRE(std::get<NotRunResponse>(answer->result_).reason_ == EndpointRefusal::Other);
    for (int i = 0; i < static_cast<int>(EndpointRefusal::Count); ++i)
        REQUIRE_FALSE(endpointRefusalName(static_cast<EndpointRefusal>(i)).empty());
}
