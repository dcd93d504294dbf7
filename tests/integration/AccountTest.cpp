#include "process/SuspendAwareClock.h"
#include "support/GatewayHarness.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <map>
#include <set>
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

bool isPromise(const ClientAnswer& answer)
{
    return answer.error_ == "BUSY" || answer.error_ == "ABORTED";
}

// A client of one account that writes, reads and runs transactions, and remembers the ids of its statements.
class Caller {
public:
    Caller(GatewayHarness& harness, const std::string& key, const std::string& item)
        : client_(harness.client("receipts", key))
        , item_(item)
        , thread_([this] { run(); })
    {
    }
    ~Caller() { end(); }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void end()
    {
        if (thread_.joinable())
            thread_.join();
    }

    std::set<std::string> ids_;
    std::size_t done_ { 0 };
    std::size_t wrong_ { 0 }; ///< Answers that are neither a success nor a promise.

private:
    static constexpr int rounds = 20;

    bool query(const std::string& text)
    {
        const auto answer = client_->query(text);
        ids_.insert(client_->id());
        done_ += isDone(answer) ? 1 : 0;
        wrong_ += isDone(answer) || isPromise(answer) ? 0 : 1;
        return isDone(answer);
    }

    void run()
    {
        for (int i = 0; i < rounds; ++i) {
            query("WRITE " + item_ + " " + std::to_string(i));
            query("READ " + item_);
            if (i % 3 == 0 && query("BEGIN") && query("READ " + item_) && query("WRITE " + item_ + " t"))
                query("COMMIT");
            else if (i % 3 == 0)
                client_->query("ROLLBACK");
        }
    }

    std::unique_ptr<LineClient> client_;
    const std::string item_;
    std::thread thread_;
};

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

// Guards against a crash: a session that has sent no statement has no catalog, and its limit for idle transactions is
// looked up when the loop was held up between the removal of its key and its close.
TEST_CASE("a removed key ends a session without statements while the loop is busy")
{
    GatewayHarness::Options options;
    options.accounts_ = { { "ovens", { "key-of-ovens" } }, { "mills", { "key-of-mills" } } };
    GatewayHarness harness(options);
    const auto client = harness.client("verdicts", "key-of-ovens");
    (*options.accounts_)["ovens"].clear();
    const auto stall = [&](std::chrono::milliseconds time) {
        return std::async(std::launch::async,
            [&harness, time] { harness.onGateway([time](StatementGateway&) { std::this_thread::sleep_for(time); }); });
    };
    // Both the configuration and what follows are handled in one turn of the loop, as after the decoding of a large
    // catalog.
    auto first = stall(300ms);
    std::this_thread::sleep_for(100ms);
    auto change = std::async(std::launch::async, [&] { harness.configure(options); });
    std::this_thread::sleep_for(50ms);
    auto second = stall(150ms);
    first.get();
    change.get();
    second.get();
    CHECK(client->isClosed(2s));
    const auto other = harness.client("verdicts", "key-of-mills");
    CHECK(isDone(other->query("READ item")));
}

// Guards against a crash: a malformed statement keeps such a session open, still without a catalog.
TEST_CASE("a malformed statement on a session whose key is removed harms nobody else")
{
    GatewayHarness::Options options;
    options.accounts_ = { { "ovens", { "key-of-ovens" } }, { "mills", { "key-of-mills" } } };
    GatewayHarness harness(options);
    const auto client = harness.client("verdicts", "key-of-ovens");
    (*options.accounts_)["ovens"].clear();
    auto stall = std::async(std::launch::async,
        [&harness] { harness.onGateway([](StatementGateway&) { std::this_thread::sleep_for(300ms); }); });
    std::this_thread::sleep_for(100ms);
    auto change = std::async(std::launch::async, [&] { harness.configure(options); });
    client->send("QUERY odd NONSENSE\r\n");
    stall.get();
    change.get();
    std::this_thread::sleep_for(200ms);
    const auto other = harness.client("verdicts", "key-of-mills");
    CHECK(isDone(other->query("READ item")));
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

// Guards against a statement on a connection of another account, against more connections than the limit, and against
// keys that are sent to a database.
TEST_CASE("accounts that share few connections never use each other's")
{
    constexpr std::size_t limit = 2;
    auto options = withAccounts();
    options.connectionLimit_ = limit;
    (*options.accounts_)["docks"] = { "key-of-docks" };
    GatewayHarness harness(options);
    for (std::size_t i = 0; i < harness.servers(); ++i)
        harness.server(i).watchFor("key-of-");
    std::map<std::string, std::vector<std::unique_ptr<Caller>>> callers;
    for (const std::string account : { "ovens", "mills", "docks" }) {
        for (const std::string number : { "1", "2" })
            callers[account].push_back(std::make_unique<Caller>(harness, "key-of-" + account, account + number));
    }
    std::map<std::string, std::string> accountOf;
    for (const auto& [account, own] : callers) {
        for (const auto& caller : own) {
            caller->end();
            CHECK(caller->done_ > 0);
            CHECK(caller->wrong_ == 0);
            for (const auto& id : caller->ids_)
                accountOf[id] = account;
        }
    }
    std::size_t ran = 0;
    for (std::size_t i = 0; i < harness.servers(); ++i) {
        auto& server = harness.server(i);
        CHECK_FALSE(server.hasReceivedWatched());
        CHECK(server.mostConnections() <= limit);
        for (const auto& statement : server.ran()) {
            ++ran;
            CHECK(accountOf[statement.query_] == statement.caller_);
        }
    }
    CHECK(ran > 0);
    const auto openers = harness.server(0).callers();
    CHECK(openers.size() > limit);
    for (const std::string account : { "ovens", "mills", "docks" })
        CHECK(std::count(openers.begin(), openers.end(), account) > 0);
}

// Guards against a statement that is reported as possibly run although its connection was refused.
TEST_CASE("a statement whose connection is refused was not sent")
{
    GatewayHarness harness(withAccounts());
    const auto client = harness.client("receipts", "key-of-ovens");
    harness.server(0).faults().connectionLimit_ = 0;
    CHECK(client->query("WRITE item x").error_ == "BUSY");
    CHECK(harness.runsOf(client->id()) == 0);
    CHECK(client->query("BEGIN").mark_ == 'T');
    CHECK(client->query("WRITE item y").error_ == "BUSY");
    CHECK(isDone(client->query("ROLLBACK")));
    harness.server(0).faults().connectionLimit_ = 1000;
    CHECK(waitUntil([&] { return isDone(client->query("WRITE item z")); }));
    CHECK(client->query("READ item").rows_ == std::vector<std::string> { "z" });
}

// Guards against reads that fail because one replica accepts no connection of their account.
TEST_CASE("a read whose connection is refused runs at another endpoint")
{
    GatewayHarness harness(withAccounts());
    const auto client = harness.client("audits", "");
    REQUIRE(waitUntil([&] { return isDone(client->query("READ item")); }));
    harness.server(1).faults().connectionLimit_ = 0;
    const auto member = harness.client("receipts", "key-of-ovens");
    REQUIRE(waitUntil([&] { return isDone(member->query("WRITE item x")); }));
    for (int i = 0; i < 20; ++i)
        CHECK(isDone(member->query("READ item")));
}

// Guards against a session that stays with an account that has lost its key to another one.
TEST_CASE("a session whose key moves goes on as the new account")
{
    auto options = withAccounts();
    GatewayHarness harness(options);
    const auto client = harness.client("verdicts", "key-of-ovens");
    REQUIRE(waitUntil([&] { return isDone(client->query("WRITE item x")); }));
    const auto first = client->id();
    options.accounts_ = { { "ovens", {} }, { "mills", { "key-of-mills", "key-of-ovens" } } };
    harness.configure(options);
    REQUIRE(waitUntil([&] { return isDone(client->query("WRITE item y")); }));
    std::map<std::string, std::string> callerOf;
    for (const auto& statement : harness.server(0).ran())
        callerOf[statement.query_] = statement.caller_;
    CHECK(callerOf[first] == "ovens");
    CHECK(callerOf[client->id()] == "mills");
    CHECK(harness.counted(Reason::KeyRemoved) == 0);
}
