#include "support/Deployment.h"
#include "support/Waiting.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <catch2/catch.hpp>

using namespace cassiahollow::testing;
using nlohmann::json;

namespace {

namespace beast = boost::beast;

/// A caller on /v1/stream that sends one message at a time.
class StreamCaller {
public:
    explicit StreamCaller(const std::string& address)
        : stream_(context_)
    {
        const auto colon = address.rfind(':');
        const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
        beast::get_lowest_layer(stream_).connect({ boost::asio::ip::make_address(address.substr(0, colon)), port });
        stream_.handshake(address, "/v1/stream");
    }

    json call(json message)
    {
        message["id"] = ++lastId_;
        stream_.write(boost::asio::buffer(message.dump()));
        for (;;) {
            beast::flat_buffer buffer;
            stream_.read(buffer);
            json answer = json::parse(beast::buffers_to_string(buffer.data()));
            if (answer.contains("id"))
                return answer;
        }
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
    boost::asio::io_context context_;
    beast::websocket::stream<beast::tcp_stream> stream_;
    int lastId_ { 0 };
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
    StreamCaller first(deployment.instances()[0].callers_);
    StreamCaller second(deployment.instances()[1].callers_);
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
        StreamCaller caller(deployment.instances()[0].callers_);
        const std::string transaction = caller.begin();
        REQUIRE(caller.run(transaction, "SET c lost")["outcome"] == "done");
    }
    for (int i = 0; i < 20; ++i) {
        StreamCaller caller(deployment.instances()[i % 3].callers_);
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
    StreamCaller caller(deployment.instances()[0].callers_);
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
