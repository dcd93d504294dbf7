#include "support/ChildProcess.h"
#include "support/Ports.h"
#include "support/Waiting.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

using namespace cassiahollow::testing;

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Json = nlohmann::json;

enum class Fault : std::uint8_t {
    None,
    LostAnswers, ///< Every third write runs, but its connection ends without an answer.
    Refusals, ///< Every third write is refused and not run.
    LostWrite, ///< One write is answered as done and not run.
    RepeatedWrite, ///< One write runs twice.
    FalseRefusal, ///< One write runs and is refused as not run.
    StaleRead, ///< One read returns nothing; the final reads are right.
    NoReads, ///< Nothing is answered after the first hundred requests.
};

/// A caller listener with a data base in memory and one wrong rule.
class FakeInstance {
public:
    explicit FakeInstance(Fault fault)
        : fault_(fault)
        , port_(freePort())
        , acceptor_(context_, { boost::asio::ip::address_v4::loopback(), port_ })
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~FakeInstance()
    {
        context_.stop();
        thread_.join();
    }

    std::string address() const { return loopbackAddress(port_); }

private:
    struct Connection {
        tcp::socket socket_;
        beast::flat_buffer buffer_;
        http::request<http::string_body> request_;
        http::response<http::string_body> answer_;
    };

    void accept()
    {
        acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
            if (!error)
                read(std::make_shared<Connection>(Connection { std::move(socket), {}, {}, {} }));
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        connection->request_ = {};
        http::async_read(connection->socket_, connection->buffer_, connection->request_,
            [this, connection](beast::error_code error, std::size_t) {
                const auto answer = error ? Json() : run(Json::parse(connection->request_.body()));
                if (answer.is_null())
                    return;
                connection->answer_ = { http::status::ok, 11, answer.dump() };
                connection->answer_.prepare_payload();
                http::async_write(connection->socket_, connection->answer_,
                    [this, connection](beast::error_code writeError, std::size_t) {
                        if (!writeError)
                            read(connection);
                    });
            });
    }

    /// The answer; null to end the connection without one.
    Json run(const Json& request)
    {
        ++requests_;
        if (fault_ == Fault::NoReads && requests_ > 100)
            return {};
        const auto statement = request.at("statements").at(0).get<std::string>();
        const auto keyStart = statement.find(' ') + 1;
        if (statement.starts_with("GET ")) {
            const bool isStale = fault_ == Fault::StaleRead && !values_[statement.substr(4)].empty() && !isFaultDone_;
            isFaultDone_ = isFaultDone_ || isStale;
            return done(isStale ? "" : values_[statement.substr(4)]);
        }
        const auto keyEnd = statement.find(' ', keyStart);
        auto& value = values_[statement.substr(keyStart, keyEnd - keyStart)];
        const auto text = statement.substr(keyEnd + 1);
        if (!keys_.insert(request.at("key").get<std::string>()).second)
            return done("ok");
        ++writes_;
        const bool isThird = writes_ % 3 == 0;
        const bool isTenth = writes_ == 10;
        const Json refusal = { { "outcome", "not_run" }, { "reason", "queue_full" } };
        if (fault_ == Fault::Refusals && isThird)
            return refusal;
        if (fault_ == Fault::LostWrite && isTenth)
            return done("ok");
        value += text;
        if (fault_ == Fault::RepeatedWrite && isTenth)
            value += text;
        if (fault_ == Fault::FalseRefusal && isTenth)
            return refusal;
        if (fault_ == Fault::LostAnswers && isThird)
            return {};
        return done("ok");
    }

    static Json done(std::string answer)
    {
        return { { "outcome", "done" }, { "answers", { std::move(answer) } }, { "session", "token" } };
    }

    Fault fault_;
    std::uint16_t port_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::map<std::string, std::string> values_;
    std::set<std::string> keys_;
    std::size_t requests_ { 0 };
    std::size_t writes_ { 0 };
    bool isFaultDone_ { false };
    std::thread thread_;
};

struct Report {
    int status_ { -1 };
    std::string output_;
    std::string plot_;
};

Report runLoad(Fault fault, int finalReadSeconds = 30)
{
    const TemporaryFolder folder;
    const FakeInstance instance(fault);
    const auto config = folder.path() / "load.yaml";
    std::ofstream(config) << "seed: 3\nduration_s: 1\nmove_every: 5\ntargets:\n"
                          << "  - {name: first, addresses: [\"" << instance.address() << "\"]}\n"
                          << "  - {name: second, addresses: [\"" << instance.address() << "\"]}\n"
                          << "classes:\n"
                          << "  - {name: booking, service: register, rate: 200, read_share: 0.4, weight: 5}\n"
                          << "  - {name: look-up, service: register, rate: 100, read_share: 0.9, max_age_ms: 100}\n";
    const auto plot = folder.path() / "load.svg";
    ChildProcess process(CASSIAHOLLOW_LOAD,
        { "--config=" + config.string(), "--svg=" + plot.string(),
            "--final-read-s=" + std::to_string(finalReadSeconds) },
        folder.path() / "load.log");
    REQUIRE(waitUntil([&] { return !process.isRunning(); }, std::chrono::seconds(200)));
    std::ifstream stream(plot);
    return { *process.exitStatus(), process.output(), { std::istreambuf_iterator<char>(stream), {} } };
}

} // namespace

// Guards against a load tool that reports violations where callers were told the truth.
TEST_CASE("correct answers, lost answers and refusals are no violations")
{
    const auto fault = GENERATE(Fault::None, Fault::LostAnswers, Fault::Refusals);
    const auto report = runLoad(fault);
    INFO(report.output_);
    REQUIRE(report.status_ == 0);
    REQUIRE(report.output_.find("targets: first") < report.output_.find("targets: second"));
    REQUIRE((report.output_.find("not_run queue_full: ") != std::string::npos) == (fault == Fault::Refusals));
    REQUIRE(report.plot_.find("<polyline") != std::string::npos);
}

// Guards against a load tool that accepts what it should detect: each fault breaks one guarantee once.
TEST_CASE("each violation gives a status other than 0")
{
    const auto [fault, count] = GENERATE(table<Fault, std::string>({
        { Fault::LostWrite, "lost writes 0" },
        { Fault::RepeatedWrite, "repeated writes 0" },
        { Fault::FalseRefusal, "false refusals 0" },
        { Fault::StaleRead, "lost writes 0" },
    }));
    const auto report = runLoad(fault);
    INFO(report.output_);
    REQUIRE(report.status_ == 1);
    // The first target set meets the fault, the second does not.
    const auto second = report.output_.find("targets: second");
    REQUIRE(report.output_.find(count) > second);
    REQUIRE(report.output_.find(count) != std::string::npos);
}

// Guards against a run that passes although writes could not be read back.
TEST_CASE("keys that cannot be read back give status 2")
{
    const auto report = runLoad(Fault::NoReads, 1);
    INFO(report.output_);
    REQUIRE(report.status_ == 2);
}
