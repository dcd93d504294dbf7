#include "support/Deployment.h"
#include "support/StreamClient.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>

using namespace cassiahollow::testing;
using nlohmann::json;

namespace {

/// A caller on /v1/stream that sends one message at a time.
class TransactionCaller {
public:
    explicit TransactionCaller(const std::string& address) { REQUIRE(stream_.connect(address)); }

    json call(json message)
    {
        const auto answer = stream_.exchange(std::move(message));
        REQUIRE(answer);
        return *answer;
    }

    std::string begin()
    {
        const json answer = call({ { "op", "begin" }, { "service", "service-0" }, { "class", "write" } });
        INFO(answer.dump());
        REQUIRE(answer["outcome"] == "done");
        return answer["key"];
    }

    json run(const std::string& transaction, const std::string& statement)
    {
        const json answer
            = call({ { "op", "run" }, { "transaction", transaction }, { "statements", json::array({ statement }) } });
        UNSCOPED_INFO(answer.dump());
        return answer;
    }

private:
    StreamClient stream_;
};

std::string valueOf(Deployment& deployment, std::size_t instance, const std::string& key)
{
    const auto answer = deployment.call(instance, "service-0",
        { { "class", "write" }, { "statements", json::array({ "GET " + key }) }, { "deadline_ms", 8000 } });
    REQUIRE(answer);
    INFO(answer->body_);
    REQUIRE(answer->json_["outcome"] == "done");
    return answer->json_["answers"][0].dump();
}

} // namespace

// Guards against transactions that mix, and against a repeated commit that is told "not run" although it ran.
TEST_CASE("transactions of two callers stay apart and a commit can be resent")
{
    Deployment deployment;
    REQUIRE(deployment.waitUntilServing());
    TransactionCaller first(deployment.instances()[0].callers_);
    TransactionCaller second(deployment.instances()[1].callers_);
    const std::string firstTransaction = first.begin();
    const std::string secondTransaction = second.begin();
    REQUIRE(first.run(firstTransaction, "SET a first")["outcome"] == "done");
    REQUIRE(second.run(secondTransaction, "SET b second")["outcome"] == "done");
    // A transaction is bound to the connection that began it.
    REQUIRE(second.run(firstTransaction, "SET a stolen")["reason"] == "transaction_unknown");
    REQUIRE(valueOf(deployment, 2, "a") == "\"\"");

    const json commit { { "op", "commit" }, { "transaction", firstTransaction }, { "service", "service-0" },
        { "class", "write" }, { "key", "commit-1" } };
    REQUIRE(first.call(commit)["outcome"] == "done");
    const json again = first.call(commit);
    INFO(again.dump());
    REQUIRE(again["outcome"] == "done");
    json withoutService = commit;
    withoutService.erase("service");
    REQUIRE(first.call(withoutService)["outcome"] == "unknown");
    REQUIRE(second.call({ { "op", "rollback" }, { "transaction", secondTransaction } })["outcome"] == "done");
    REQUIRE(valueOf(deployment, 2, "a") == "\"first\"");
    REQUIRE(valueOf(deployment, 2, "b") == "\"\"");
}

// Guards against a connection that returns to the pool with the transaction of a caller that has gone.
TEST_CASE("a caller that goes away leaves nothing of its transaction")
{
    Deployment deployment;
    REQUIRE(deployment.waitUntilServing());
    {
        TransactionCaller caller(deployment.instances()[0].callers_);
        const std::string transaction = caller.begin();
        REQUIRE(caller.run(transaction, "SET c lost")["outcome"] == "done");
    }
    for (int i = 0; i < 20; ++i) {
        TransactionCaller caller(deployment.instances()[i % 3].callers_);
        const std::string transaction = caller.begin();
        REQUIRE(caller.run(transaction, "SET d" + std::to_string(i) + " x")["outcome"] == "done");
        REQUIRE(caller.call({ { "op", "commit" }, { "transaction", transaction } })["outcome"] == "done");
    }
    REQUIRE(valueOf(deployment, 1, "c") == "\"\"");
    REQUIRE(valueOf(deployment, 1, "d19") == "\"x\"");
}

// Guards against a shutdown that waits for a transaction that was given up before.
TEST_CASE("a shutdown does not wait for an aborted transaction")
{
    Deployment deployment;
    REQUIRE(deployment.waitUntilServing());
    TransactionCaller caller(deployment.instances()[0].callers_);
    const std::string transaction = caller.begin();
    REQUIRE(caller.run(transaction, "SET e x")["outcome"] == "done");
    const std::string primary = deployment.newestRoute().primary_;
    deployment.database(primary).process_->kill();
    json answer;
    do
        answer = caller.run(transaction, "SET e y");
    while (answer["outcome"] == "done");
    INFO(answer.dump());
    REQUIRE(answer["reason"] == "transaction_aborted");
    auto& process = *deployment.instances()[0].process_;
    process.terminate();
    REQUIRE(waitUntil([&] { return !process.isRunning(); }, std::chrono::seconds(20)));
    REQUIRE(process.exitStatus() == 0);
}
