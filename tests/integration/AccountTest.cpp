#include "process/SuspendAwareClock.h"
#include "support/GatewayHarness.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cassiahollow;
using namespace cassiahollow::testing;
using namespace std::chrono_literals;

// Client accounts at one gateway: whose statements run, on which connections, and how sessions with a removed key end.

namespace {

GatewayHarness::Options withAccounts()
{
    GatewayHarness::Options options;
    options.accounts_ = { { "ovens", { "key-of-ovens", "second-key" } }, { "mills", { "key-of-mills" } } };
    options.publicRoutes_ = { "audits" };
    return options;
}

GatewayHarness::Options withoutKey(GatewayHarness::Options options, const std::string& account)
{
    (*options.accounts_)[account].clear();
    return options;
}

bool isDone(const ClientAnswer& answer)
{
    return answer.error_.empty() && !answer.signature_.empty() && answer.mark_ != '?';
}

void isolate(GatewayHarness& harness, bool isolated)
{
    harness.onGateway([&](StatementGateway& gateway) { gateway.setIsolated(isolated, false); });
}

} // namespace

// Guards against clients that are served without a key, and against a refusal that costs other processes anything.
TEST_CASE("an unknown key is refused and the connection closed")
{
    GatewayHarness harness(withAccounts());
    LineClient client(harness.address());
    const auto refused = client.start("receipts", "key-of-nobody");
    CHECK(refused.error_ == "AUTHFAIL");
    CHECK(refused.text_.find("key-of-nobody") == std::string::npos);
    CHECK(client.isClosed(5s));
    LineClient keyless(harness.address());
    CHECK(keyless.start("receipts", "").error_ == "AUTHFAIL");
    CHECK(harness.counted(Reason::UnknownKey) == 2);
    CHECK(isDone(harness.client("receipts", "second-key")->query("WRITE item x")));
}

// Guards against a client that gives up because an instance that is cut off does not know its new key.
TEST_CASE("an isolated instance sends a client with an unknown key elsewhere")
{
    GatewayHarness harness(withAccounts());
    isolate(harness, true);
    LineClient client(harness.address());
    CHECK(client.start("receipts", "newer-key").error_ == "BUSY");
    CHECK(client.isClosed(5s));
    CHECK(harness.counted(Reason::KeysUnconfirmed) == 1);
}

// Guards against a public route that asks for a key, and one that stays open after it has become an ordinary one.
TEST_CASE("a public route needs no key until the operation after it is closed")
{
    auto options = withAccounts();
    GatewayHarness harness(options);
    const auto client = harness.client("audits", "");
    REQUIRE(isDone(client->query("READ item")));
    options.publicRoutes_.clear();
    harness.configure(options);
    CHECK(client->query("READ item").error_ == "AUTHFAIL");
    CHECK(client->isClosed(5s));
    const auto member = harness.client("audits", "key-of-ovens");
    CHECK(isDone(member->query("READ item")));
}

// Guards against sessions that go on with a removed key, and against the loss of what was acknowledged on them.
TEST_CASE("sessions end at a statement boundary when their key is removed")
{
    const auto options = withAccounts();
    GatewayHarness harness(options);
    const auto idle = harness.client("receipts", "key-of-ovens");
    REQUIRE(isDone(idle->query("WRITE kept x")));
    const auto inTransaction = harness.client("receipts", "key-of-ovens");
    REQUIRE(isDone(inTransaction->query("BEGIN")));
    REQUIRE(isDone(inTransaction->query("WRITE lost x")));
    const auto deferred = harness.client("receipts", "key-of-ovens");
    REQUIRE(isDone(deferred->query("BEGIN")));
    const auto rollsBack = harness.client("receipts", "key-of-ovens");
    REQUIRE(isDone(rollsBack->query("BEGIN")));
    const auto running = harness.client("receipts", "key-of-ovens");
    const auto other = harness.client("receipts", "key-of-mills");
    REQUIRE(isDone(other->query("READ kept")));
    harness.server(0).faults().delayMs_ = 200;
    running->send("QUERY r1 WRITE running x\r\n");
    REQUIRE(waitUntil([&] { return harness.runsOf("r1") == 1; }, 5s));
    harness.configure(withoutKey(options, "ovens"));
    CHECK(idle->isClosed(5s));
    CHECK(isDone(running->receive()));
    CHECK(running->isClosed(5s));
    harness.server(0).faults().delayMs_ = 0;
    const auto refused = inTransaction->query("COMMIT");
    CHECK(refused.error_ == "ABORTED");
    CHECK(refused.mark_ == 'I');
    CHECK(inTransaction->isClosed(5s));
    CHECK(deferred->query("WRITE lost y").error_ == "ABORTED");
    CHECK(deferred->isClosed(5s));
    CHECK(isDone(rollsBack->query("ROLLBACK")));
    CHECK(rollsBack->isClosed(5s));
    CHECK(harness.counted(Reason::KeyRemoved) == 5);
    CHECK(other->query("READ kept").rows_ == std::vector<std::string> { "x" });
    CHECK(other->query("READ running").rows_ == std::vector<std::string> { "x" });
    CHECK(other->query("READ lost").rows_ == std::vector<std::string> { "none" });
    LineClient again(harness.address());
    CHECK(again.start("receipts", "key-of-ovens").error_ == "AUTHFAIL");
}

// Guards against a transaction that commits although its key was removed while one of its statements ran.
TEST_CASE("a transaction whose key is removed during a statement is rolled back after the answer")
{
    const auto options = withAccounts();
    GatewayHarness harness(options);
    const auto client = harness.client("receipts", "key-of-ovens");
    REQUIRE(isDone(client->query("BEGIN")));
    REQUIRE(isDone(client->query("WRITE lost x")));
    harness.server(0).faults().delayMs_ = 200;
    client->send("QUERY r2 READ lost\r\n");
    REQUIRE(waitUntil([&] { return harness.runsOf("r2") == 1; }, 5s));
    harness.configure(withoutKey(options, "ovens"));
    CHECK(isDone(client->receive()));
    harness.server(0).faults().delayMs_ = 0;
    CHECK(client->query("COMMIT").error_ == "ABORTED");
    CHECK(client->isClosed(5s));
    CHECK(harness.client("receipts", "key-of-mills")->query("READ lost").rows_ == std::vector<std::string> { "none" });
}

// Guards against keys that stay in use for longer than a deployment allows that fails closed.
TEST_CASE("an instance that fails closed refuses operations when its last contact is too old")
{
    auto options = withAccounts();
    options.failClosed_ = true;
    GatewayHarness harness(options);
    const auto contact = [&](Duration age) {
        harness.onGateway([&](StatementGateway& gateway) { gateway.setConfirmedContact(suspendAwareNow() - age); });
    };
    contact(0s);
    const auto client = harness.client("receipts", "key-of-ovens");
    const auto open = harness.client("audits", "");
    REQUIRE(isDone(client->query("WRITE item x")));
    contact(6s);
    CHECK(client->query("WRITE item y").error_ == "BUSY");
    CHECK(client->query("BEGIN").error_ == "BUSY");
    CHECK(isDone(open->query("READ item")));
    LineClient unknown(harness.address());
    CHECK(unknown.start("receipts", "newer-key").error_ == "BUSY");
    contact(0s);
    CHECK(client->query("READ item").rows_ == std::vector<std::string> { "x" });
}
