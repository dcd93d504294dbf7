#include "support/HostileClients.h"
#include "support/Deployment.h"
#include "support/GatewayHarness.h"
#include "support/NodeDeployment.h"
#include "support/Waiting.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

// Clients outside our control, at the system's own processes. Each case checks only that the process lives, that its
// memory and its files stay under a bound, and that an ordinary request is answered afterwards, while the clients are
// still connected. Each case guards against one kind of client that fills the memory of the machine.

using namespace cassiahollow;
using namespace cassiahollow::testing;
using namespace std::chrono_literals;

namespace {

// The least that the setting allows. A process at rest has less than a quarter of it, and 120 clients can send nearly
// twice as much with one legal message each.
constexpr std::size_t memoryMb = 64;
constexpr std::size_t memoryBytes = memoryMb << 20;
constexpr std::size_t clientCount = 120;
// One for each client, and 180 for listeners, other instances, endpoints and the process itself.
constexpr std::size_t fileBound = clientCount + 180;
constexpr std::size_t legalBytes = 1'000'000;
// Of two messages at once.
constexpr std::size_t pairBytes = 900'000;

const std::string startLine = "STARTUP receipts key\r\n";

std::string writeLine(std::size_t bytes, const std::string& id = "00000000000000aa")
{
    return "QUERY " + id + " WRITE item " + std::string(bytes, 'x') + "\r\n";
}

void checkProcess(ChildProcess& process, pid_t id, const char* kind)
{
    REQUIRE(process.isRunning());
    CHECK(process.id() == id);
    const auto usage = usageOf(id);
    std::printf("  %s: peak %zu MiB, %zu files\n", kind, usage.peakBytes_ >> 20, usage.files_);
    CHECK(usage.peakBytes_ < memoryBytes);
    CHECK(usage.files_ < fileBound);
}

struct NodeRig {
    explicit NodeRig(std::size_t entries = 1, std::size_t connectionLimit = 40, std::size_t machineMb = memoryMb)
        : deployment_(1, entries, { .connectionLimit_ = connectionLimit, .memoryMb_ = machineMb })
    {
        REQUIRE(deployment_.configure(1, { "receipts" }, 10s));
        REQUIRE(deployment_.waitUntilReady(10s));
        for (std::size_t i = 0; i < entries; ++i)
            REQUIRE(serves(i));
        for (auto& node : deployment_.entries())
            ids_.push_back(node.process_->id());
        controlId_ = deployment_.controls()[0].process_->id();
    }

    bool serves(std::size_t entry)
    {
        return waitUntil([&] {
            LineClient client(deployment_.entries()[entry].address_);
            const auto answer = client.start("receipts").mark_ == 'I' ? client.query("WRITE item x") : ClientAnswer {};
            return answer.error_.empty() && !answer.signature_.empty();
        });
    }

    const std::string& address(std::size_t entry = 0) { return deployment_.entries()[entry].address_; }

    void check(const char* kind)
    {
        for (std::size_t i = 0; i < ids_.size(); ++i) {
            CHECK(serves(i));
            checkProcess(*deployment_.entries()[i].process_, ids_[i], kind);
        }
        checkProcess(*deployment_.controls()[0].process_, controlId_, "control");
    }

    NodeDeployment deployment_;
    std::vector<pid_t> ids_;
    pid_t controlId_ { 0 };
};

struct ServeRig {
    ServeRig()
        : deployment_({ .instances_ = 1, .memoryMb_ = memoryMb })
    {
        REQUIRE(deployment_.waitUntilServing());
        REQUIRE(serves());
        id_ = deployment_.instances()[0].process_->id();
    }

    bool serves()
    {
        return waitUntil([&] {
            const auto answer
                = deployment_.call(0, "service-0", { { "class", "write" }, { "statements", { "SET a 1x" } } });
            return answer && answer->json_.value("outcome", "") == "done";
        });
    }

    const std::string& address() { return deployment_.instances()[0].callers_; }

    void check(const char* kind)
    {
        CHECK(serves());
        checkProcess(*deployment_.instances()[0].process_, id_, kind);
    }

    Deployment deployment_;
    pid_t id_ { 0 };
};

std::string unfinishedBody(const std::string& method, const std::string& path)
{
    return method + " " + path
        + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 1040000\r\n\r\n"
        + std::string(legalBytes, ' ');
}

const std::string unfinishedHeaders = "GET /api/ready HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(2000, 'x');

} // namespace

TEST_CASE("most of a legal message, never ended", "[unfinished]")
{
    NodeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send(startLine + writeLine(legalBytes).substr(0, legalBytes));
    rig.check("unfinished");
}

TEST_CASE("two legal messages at once", "[pairs]")
{
    NodeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send(startLine + writeLine(pairBytes) + writeLine(pairBytes));
    rig.check("pairs");
}

TEST_CASE("messages without an end, far over the limit", "[endless]")
{
    NodeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send(startLine + std::string(12 << 20, 'x'));
    rig.check("endless");
}

TEST_CASE("pipelined statements whose answers nobody reads", "[pipelined]")
{
    NodeRig rig;
    HostileClients clients(rig.address(), clientCount);
    std::string statements;
    while (statements.size() < 4 << 20)
        statements += writeLine(40);
    clients.send(startLine + statements);
    rig.check("pipelined");
}

TEST_CASE("messages byte by byte, stopped midway", "[pieces]")
{
    NodeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send(startLine + writeLine(legalBytes).substr(0, 4000), 1);
    rig.check("pieces");
}

TEST_CASE("a start that never ends", "[startup]")
{
    NodeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send("STARTUP " + std::string(legalBytes, 'x'));
    rig.check("startup");
}

// A large number of clients at one instance must bring down neither the holder of their statements nor its sessions.
TEST_CASE("legal messages whose statements another instance runs", "[forwarded]")
{
    // With as many connections as instances, some hold them for the others.
    NodeRig rig(6, 6);
    HostileClients first(rig.address(0), clientCount / 2);
    HostileClients second(rig.address(1), clientCount / 2);
    const auto bytes = startLine + writeLine(pairBytes) + writeLine(pairBytes);
    first.send(bytes);
    second.send(bytes);
    rig.check("forwarded");
    const auto& entries = rig.deployment_.entries();
    CHECK(std::any_of(entries.begin(), entries.end(),
        [](const auto& entry) { return entry.process_->output().find("event=forwarded") != std::string::npos; }));
}

TEST_CASE("headers that never end, at a control member", "[operators-headers]")
{
    NodeRig rig;
    HostileClients clients(rig.deployment_.controls()[0].address_, clientCount);
    clients.send(unfinishedHeaders, 100);
    CHECK(waitUntil([&] { return rig.deployment_.versionAt(rig.deployment_.controls()[0]) == 1; }));
    rig.check("operators-headers");
}

TEST_CASE("bodies that stop midway, at a control member", "[operators-bodies]")
{
    NodeRig rig;
    HostileClients clients(rig.deployment_.controls()[0].address_, clientCount);
    clients.send(unfinishedBody("PUT", "/api/config"));
    CHECK(waitUntil([&] { return rig.deployment_.versionAt(rig.deployment_.controls()[0]) == 1; }));
    rig.check("operators-bodies");
}

TEST_CASE("headers that never end, of callers", "[callers-headers]")
{
    ServeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send(unfinishedHeaders, 100);
    rig.check("callers-headers");
}

TEST_CASE("bodies that stop midway, of callers", "[callers-bodies]")
{
    ServeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send(unfinishedBody("POST", "/v1/services/service-0"));
    rig.check("callers-bodies");
}

TEST_CASE("stream messages that stop midway, of callers", "[callers-streams]")
{
    ServeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send("GET /v1/stream HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                 "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
    clients.readOnce();
    // A text frame of 1 MiB, masked with zeros.
    const std::string header("\x81\xff\0\0\0\0\0\x10\0\0\0\0\0\0", 14);
    clients.send(header + std::string(legalBytes, ' '));
    rig.check("callers-streams");
}

// Guards against limits that a single legal message meets on the smallest machine.
TEST_CASE("a message of 1 MiB is served, whole and byte by byte", "[calm]")
{
    constexpr std::size_t longestMessage = 1 << 20;
    constexpr std::size_t smallestMachineMb = 112;
    NodeRig rig(1, 40, smallestMachineMb);
    for (const std::size_t pieceBytes : { longestMessage + 2, std::size_t(1) }) {
        CAPTURE(pieceBytes);
        // An endpoint that signs one id twice on a connection is taken for one that repeats an answer.
        const auto bytes = writeLine(
            longestMessage - writeLine(0).size() + 2, pieceBytes == 1 ? "00000000000000ab" : "00000000000000aa");
        REQUIRE(bytes.size() == longestMessage + 2);
        LineClient client(rig.address());
        REQUIRE(client.start("receipts").mark_ == 'I');
        for (std::size_t sent = 0; sent < bytes.size(); sent += pieceBytes)
            client.send(bytes.substr(sent, pieceBytes));
        const auto answer = client.receive(30s);
        INFO(answer.error_);
        CHECK(answer.error_.empty());
        CHECK_FALSE(answer.signature_.empty());
    }
    rig.check("calm");
}

// Guards against clients that are closed and of whom nobody can tell who they were.
TEST_CASE("clients that are closed are in the log and in the metrics", "[named]")
{
    NodeRig rig;
    HostileClients clients(rig.address(), clientCount);
    clients.send(startLine + writeLine(legalBytes).substr(0, legalBytes));
    rig.check("named");
    const auto output = rig.deployment_.entries()[0].process_->output();
    const auto at = output.find("kind=client event=client_closed");
    REQUIRE(at != std::string::npos);
    const auto line = output.substr(at, output.find('\n', at) - at);
    std::printf("  %s\n", line.c_str());
    CHECK(line.find("cause=memory_full listener=statements session=open") != std::string::npos);
}
