#include "support/NodeDeployment.h"
#include "support/Waiting.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

using namespace cassiahollow;
using namespace cassiahollow::testing;
using namespace std::chrono_literals;

// Client accounts whose statements run at a holder for instances without connections of their own. Real processes.

namespace {

constexpr std::size_t entries = 10;
constexpr std::size_t connectionLimit = 10;
// Those of one holder, and one of each control member.
constexpr std::size_t settledConnections = 6;

const std::vector<std::string> accounts { "ovens", "mills", "docks", "wells" };

NodeDeployment::Options withAccounts()
{
    NodeDeployment::Options options { .connectionLimit_ = connectionLimit };
    options.accounts_.emplace();
    for (const auto& account : accounts)
        (*options.accounts_)[account] = { "key-of-" + account };
    return options;
}

bool isDone(const ClientAnswer& answer)
{
    return answer.error_.empty() && !answer.signature_.empty() && answer.mark_ != '?';
}

} // namespace

// Guards against a holder that runs statements on connections of other accounts than that of the client, and against
// keys that leave the instance which the client has connected to.
TEST_CASE("a holder runs statements of other instances on connections of their accounts")
{
    NodeDeployment deployment(3, entries, withAccounts());
    REQUIRE(deployment.configure(1, { "receipts" }, 10s));
    REQUIRE(deployment.waitUntilReady(20s));
    for (std::size_t i = 0; i < 3; ++i)
        deployment.server(i).watchFor("key-of-");
    LineClient stranger(deployment.entries()[0].address_);
    CHECK(stranger.start("receipts", "key-of-nobody").error_ == "AUTHFAIL");
    // Instances that have just started take themselves for few and open connections of their own.
    const auto isSettled = [&] {
        for (std::size_t i = 0; i < 3; ++i) {
            if (deployment.server(i).connections() > settledConnections)
                return false;
        }
        return true;
    };
    REQUIRE(waitUntil(isSettled));
    std::mutex mutex;
    std::map<std::string, std::string> accountOf;
    std::vector<std::string> uncertain; ///< Answers that leave open whether the statement ran.
    std::vector<std::atomic<std::size_t>> done(entries);
    std::atomic<bool> ending { false };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < entries; ++i) {
        callers.emplace_back([&, i] {
            const auto& account = accounts[i % accounts.size()];
            const auto item = "item-" + std::to_string(i);
            while (!ending) {
                LineClient client(deployment.entries()[i].address_);
                if (client.start("receipts", "key-of-" + account).mark_ != 'I')
                    continue;
                for (const auto* text : { "WRITE", "READ", "BEGIN", "WRITE", "COMMIT", "READ" }) {
                    const std::string verb(text);
                    const auto answer = client.query(verb == "BEGIN" || verb == "COMMIT" ? verb
                            : verb == "READ"                                             ? verb + " " + item
                                                                                         : verb + " " + item + " x");
                    const std::lock_guard lock(mutex);
                    accountOf[client.id()] = account;
                    done[i] += isDone(answer) ? 1 : 0;
                    if (answer.error_ == "INDOUBT" || answer.error_ == "FAILED")
                        uncertain.push_back(client.id() + " " + answer.error_ + " " + answer.text_);
                    if (!isDone(answer))
                        break;
                }
            }
        });
    }
    const bool allServed = waitUntil([&] {
        for (const auto& count : done) {
            if (count < 30)
                return false;
        }
        return true;
    });
    ending = true;
    for (auto& caller : callers)
        caller.join();
    CHECK(allServed);
    for (const auto& answer : uncertain) {
        std::string lines;
        for (const auto& entry : deployment.entries()) {
            std::istringstream output(entry.process_->output());
            for (std::string line; std::getline(output, line);) {
                if (line.find("request=" + answer.substr(0, answer.find(' ')) + " ") != std::string::npos)
                    lines += line + "\n";
            }
        }
        FAIL_CHECK(answer << "\n" << lines);
    }
    std::size_t ran = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK_FALSE(deployment.server(i).hasReceivedWatched());
        CHECK(deployment.server(i).connections() <= connectionLimit);
        for (const auto& statement : deployment.server(i).ran()) {
            ++ran;
            CHECK(accountOf[statement.query_] == statement.caller_);
        }
    }
    CHECK(ran > 0);
    for (const auto& entry : deployment.entries())
        CHECK(entry.process_->output().find("key-of-") == std::string::npos);
}
