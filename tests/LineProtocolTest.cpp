#include "LineProtocol.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace cassiahollow::platform;

namespace {

Statement statementOf(const std::string& text)
{
    const auto message = decodeClientLine("QUERY 17 " + text);
    REQUIRE(std::holds_alternative<ClientQuery>(message));
    CHECK(std::get<ClientQuery>(message).id_ == "17");
    return std::get<ClientQuery>(message).statement_;
}

// Offers the bytes in parts as a connection does: what was not taken is offered again with the next part.
std::vector<std::string> messagesIn(const std::string& bytes, std::size_t partSize)
{
    LineReader reader;
    std::vector<std::string> messages;
    std::string unread;
    for (std::size_t start = 0; start < bytes.size(); start += partSize) {
        unread += bytes.substr(start, partSize);
        std::size_t taken = 0;
        while (const auto message = reader.take(unread, taken))
            messages.emplace_back(*message);
        unread.erase(0, taken);
    }
    messages.push_back("rest: " + unread);
    return messages;
}

} // namespace

// Guards against bytes that are lost or repeated where a message arrives in parts, and against an end that is no CR LF.
TEST_CASE("messages end at CR LF alone, in any parts")
{
    const std::string bytes = "READY I -\r\nWRITE a x\ny\r\n\nb\rc\r\r\n\r\nDATAROW \r\nQUERY\r";
    const std::vector<std::string> expected { "READY I -", "WRITE a x\ny", "\nb\rc\r", "", "DATAROW ",
        "rest: QUERY\r" };
    for (std::size_t partSize = 1; partSize <= bytes.size(); ++partSize) {
        INFO(partSize);
        CHECK(messagesIn(bytes, partSize) == expected);
    }
}

// Guards against a longest message that is refused, and against one that grows without end.
TEST_CASE("a message of 1 MiB is taken and a longer one is not")
{
    const std::string longest(maximumMessageBytes, 'x');
    for (const std::size_t partSize : { std::size_t(4096), std::size_t(4097), maximumMessageBytes + 2 })
        CHECK(messagesIn(longest + "\r\n", partSize) == std::vector<std::string> { longest, "rest: " });
    for (const auto& bytes : { longest + "x\r\n", longest + "xx" }) {
        LineReader reader;
        std::size_t taken = 0;
        CHECK_FALSE(reader.take(bytes, taken));
        CHECK(reader.isTooLong());
        CHECK(taken == 0);
    }
    CHECK(encodeQuery("5c", std::string(maximumMessageBytes - 9, 'x')));
    CHECK_FALSE(encodeQuery("5c", std::string(maximumMessageBytes - 8, 'x')));
}

// Guards against a field that ends the message it stands in, or begins another field.
TEST_CASE("a message whose fields hold delimiters is not written")
{
    CHECK(encodeQuery("5c", "WRITE a x\ny\r") == "QUERY 5c WRITE a x\ny\r\r\n");
    for (const auto* text : { "WRITE a x\r\nQUERY - STEPDOWN 9", "\r\n", "READ a\r\n" })
        CHECK_FALSE(encodeQuery("5c", text));
    for (const auto* id : { "", "5c READ", "5c\r\nQUERY" })
        CHECK_FALSE(encodeQuery(id, "READ a"));
    const GroupId group("returns");
    CHECK_FALSE(encodeStart(GroupId("returns x"), "front-1", EndpointId("i-7")));
    CHECK_FALSE(encodeStart(group, "front 1", EndpointId("i-7")));
    CHECK_FALSE(encodeStart(group, "front-1", EndpointId("i-7\r\nQUERY - STEPDOWN 9")));
    CHECK(encodeResult({ "x\ny", "" }, "7.1") == "DATAROW x\ny\r\nDATAROW \r\nCOMPLETE 7.1\r\n");
    CHECK_FALSE(encodeResult({ "x\r\nCOMPLETE 7.2" }, "7.1"));
    CHECK_FALSE(encodeResult({}, "7.1\r\nREADY I -"));
    CHECK(encodeError(StatementError::Failed, "x\r\nREADY I -") == "ERROR FAILED \r\n");
    CHECK(isWord("i-7f3a"));
    for (const auto* text : { "", "a b", "a\n", "\ra", "a\tb" })
        CHECK_FALSE(isWord(text));
}

TEST_CASE("clients' lines are understood")
{
    const auto start = std::get<ClientStart>(decodeClientLine("STARTUP lepu270 u3f1"));
    CHECK(start.database_ == "lepu270");
    CHECK(start.key_ == "u3f1");
    // Guards against a key of which only a part is compared.
    CHECK(std::get<ClientStart>(decodeClientLine("STARTUP lepu270 u3 f1 ")).key_ == "u3 f1 ");
    CHECK(std::get<ClientStart>(decodeClientLine("STARTUP lepu270")).key_.empty());
    CHECK(encodeError(StatementError::UnknownKey, "x") == "ERROR AUTHFAIL x\r\n");
    CHECK(std::holds_alternative<ClientEnd>(decodeClientLine("TERMINATE")));

    CHECK(statementOf("BEGIN").kind_ == StatementKind::Begin);
    CHECK(statementOf("BEGIN READ").kind_ == StatementKind::BeginReadOnly);
    CHECK(statementOf("COMMIT").kind_ == StatementKind::Commit);
    CHECK(statementOf("ROLLBACK").kind_ == StatementKind::Rollback);
    CHECK(statementOf("READ 1a4").kind_ == StatementKind::Read);
    const auto write = statementOf("WRITE 1a4 data with blanks");
    CHECK(write.kind_ == StatementKind::Write);
    CHECK(write.text_ == "WRITE 1a4 data with blanks");
    const auto set = statementOf("SET zone a b");
    CHECK(set.kind_ == StatementKind::Set);
    CHECK(set.name_ == "zone");
    CHECK(set.argument_ == "a b");
    const auto prepared = statementOf("PREPARE s1 WRITE q2c");
    CHECK(prepared.kind_ == StatementKind::Prepare);
    CHECK(prepared.name_ == "s1");
    CHECK(prepared.argument_ == "q2c");
    CHECK(prepared.prepareWrites_);
    const auto executed = statementOf("EXECUTE s1 1a4 data");
    CHECK(executed.kind_ == StatementKind::Execute);
    CHECK(executed.argument_ == "1a4 data");
    CHECK(statementOf("DEALLOC s1").kind_ == StatementKind::Deallocate);
}

// Guards against a statement that is guessed at, and against a client that speaks with the system's own id.
TEST_CASE("what is not understood is malformed")
{
    for (const auto* text : { "", "READ", "BEGIN WRITE", "COMMIT now", "PREPARE s1 q2c", "PREPARE s1 UPDATE q2c",
             "EXECUTE s1", "WAITLSN 3.12 READ 1a4", "STATUS", "DISCARD", "PAUSE 9" })
        CHECK(statementOf(text).kind_ == StatementKind::Malformed);
    for (const auto* line : { "", "QUERY", "QUERY - READ 1", "STARTUP", "HELLO x", "QUERY  READ 1" })
        CHECK(std::holds_alternative<ClientMalformed>(decodeClientLine(line)));
}

TEST_CASE("endpoints' lines are understood")
{
    const auto ready = std::get<EndpointReady>(decodeEndpointLine("READY T 3.1209"));
    CHECK(ready.mark_ == SessionMark::InTransaction);
    CHECK(ready.position_ == LogPosition { 3, 1209 });
    CHECK(std::get<EndpointReady>(decodeEndpointLine("READY I -")).position_ == LogPosition {});
    CHECK(std::get<EndpointComplete>(decodeEndpointLine("COMPLETE 7.1f3.c")).signature_ == "7.1f3.c");
    const auto error = std::get<EndpointError>(decodeEndpointLine("ERROR READONLY i-7f3a91c2"));
    CHECK(error.error_ == StatementError::NotPrimary);
    CHECK(error.text_ == "i-7f3a91c2");
    // Says nothing about a run, so it must not become a promise.
    CHECK(std::get<EndpointError>(decodeEndpointLine("ERROR NEWCODE x")).error_ == StatementError::Failed);
    for (const auto* line : { "READY", "READY X 1.1", "READY II -", "READY I 1", "READY I 1.x", "COMPLETE", "HELLO" })
        CHECK(std::holds_alternative<EndpointMalformed>(decodeEndpointLine(line)));
}

TEST_CASE("the status row is understood")
{
    const auto status = decodeStatus("replica 3 3.1209 4 12 2 17");
    REQUIRE(status);
    CHECK(status->lag_ == std::chrono::milliseconds(12));
    CHECK(status->role_ == EndpointRole::Replica);
    CHECK(status->received_ == LogPosition { 3, 1209 });
    CHECK(status->held_ == 4);
    for (const auto* row : { "", "leader 3 3.1 3 0 0 0", "replica x 3.1 3", "replica 3 31 3", "replica 3 3.1" })
        CHECK_FALSE(decodeStatus(row));
}

TEST_CASE("lines are written as the protocol says")
{
    CHECK(encodeReady(SessionMark::Idle, {}) == "READY I -\r\n");
    CHECK(encodeReady(SessionMark::Failed, { 3, 12 }) == "READY E 3.12\r\n");
    CHECK(encodeError(StatementError::InDoubt, "lost") == "ERROR INDOUBT lost\r\n");
    CHECK(encodeStart(GroupId("huvo11a"), "front-1", EndpointId("i-7")) == "STARTUP huvo11a front-1 i-7\r\n");
    CHECK(encodeQuery("5c", withFloor({ 3, 1207 }, "READ 1a4")) == "QUERY 5c WAITLSN 3.1207 READ 1a4\r\n");
    CHECK(encodeQuery(ownRequest, beginText()) == "QUERY - BEGIN\r\n");
    CHECK(encodeQuery(ownRequest, syncText({ SessionSyncStep::Kind::Prepare, "rq2c", "q2c", false }))
        == "QUERY - PREPARE rq2c READ q2c\r\n");
    CHECK(
        encodeQuery(ownRequest, syncText({ SessionSyncStep::Kind::Set, "zone", "a b" })) == "QUERY - SET zone a b\r\n");
    CHECK(encodeQuery(ownRequest, syncText({ SessionSyncStep::Kind::Discard, {}, {} })) == "QUERY - DISCARD\r\n");
}
