#include "support/GatewayHarness.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace cassiahollow::testing;
using namespace std::chrono_literals;

// Quotas of client accounts at one gateway, which is the owner of all ledgers.

namespace {

/// One operation a minute, and two at once.
GatewayHarness::Options withQuota()
{
    GatewayHarness::Options options;
    options.accounts_ = { { "ovens", { "key-of-ovens" } }, { "mills", { "key-of-mills" } } };
    options.quotas_ = { { "ovens", { 1.0 / 60, 2 } } };
    return options;
}

bool isDone(const ClientAnswer& answer)
{
    return answer.error_.empty() && !answer.signature_.empty() && answer.mark_ != '?';
}

} // namespace

// Guards against operations beyond the quota, refused ones that run all the same, and other accounts that pay for them.
TEST_CASE("an operation beyond the quota is refused as not run")
{
    GatewayHarness harness(withQuota());
    const auto client = harness.client("receipts", "key-of-ovens");
    CHECK(isDone(client->query("WRITE one x")));
    CHECK(isDone(client->query("READ one")));
    const auto refused = client->query("WRITE two x");
    CHECK(refused.error_ == "BUSY");
    CHECK(refused.mark_ == 'I');
    CHECK(refused.text_.find("quota_exceeded") != std::string::npos);
    CHECK(refused.text_.find("retry-after-ms=") != std::string::npos);
    CHECK(harness.runsOf(client->id()) == 0);
    CHECK(harness.counted(Reason::QuotaExceeded) == 1);
    CHECK(isDone(harness.client("receipts", "key-of-mills")->query("WRITE three x")));
}

// Guards against a transaction that is ended in its middle, or counted once for each of its statements.
TEST_CASE("a transaction takes one token")
{
    GatewayHarness harness(withQuota());
    const auto client = harness.client("receipts", "key-of-ovens");
    REQUIRE(isDone(client->query("BEGIN")));
    CHECK(isDone(client->query("WRITE one x")));
    CHECK(isDone(client->query("WRITE two x")));
    CHECK(isDone(client->query("READ one")));
    CHECK(isDone(client->query("COMMIT")));
    CHECK(isDone(client->query("READ two")));
    // The next one is refused with its first statement, and stays failed until it is ended.
    REQUIRE(isDone(client->query("BEGIN")));
    const auto refused = client->query("WRITE three x");
    CHECK(refused.error_ == "BUSY");
    CHECK(refused.mark_ == 'E');
    CHECK(isDone(client->query("ROLLBACK")));
}

// Guards against operations that stay refused after the quota was removed.
TEST_CASE("an account whose quota is removed is not limited any more")
{
    auto options = withQuota();
    GatewayHarness harness(options);
    const auto client = harness.client("receipts", "key-of-ovens");
    CHECK(isDone(client->query("READ one")));
    CHECK(isDone(client->query("READ one")));
    CHECK(client->query("READ one").error_ == "BUSY");
    options.quotas_.clear();
    harness.configure(options);
    for (int i = 0; i < 20; ++i)
        CHECK(isDone(client->query("READ one")));
}
