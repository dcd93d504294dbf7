#include "support/ChildProcess.h"
#include "support/Clients.h"
#include "support/FaultRelay.h"
#include "support/Ports.h"
#include "support/Waiting.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <thread>

using namespace cassiahollow;
using namespace cassiahollow::testing;
using namespace std::chrono_literals;

namespace {

const InstanceId promoter("i1");

/// A stand-in with a journal, on a free port.
struct Standin {
    EndpointId id_;
    std::string address_;
    ChildProcess process_;

    Standin(const TemporaryFolder& folder, const std::string& id, std::vector<std::string> flags = {})
        : id_(id)
        , address_(loopbackAddress(freePort()))
        , process_(CASSIAHOLLOW_STANDIN, arguments(folder, id, std::move(flags)), folder.path() / (id + ".log"))
    {
    }

    std::vector<std::string> arguments(
        const TemporaryFolder& folder, const std::string& id, std::vector<std::string> flags) const
    {
        flags.insert(flags.end(),
            { "--id=" + id, "--group=g1", "--data-centre=dc1", "--listen=" + address_, "--leave-delay-ms=100",
                "--data=" + (folder.path() / id).string() });
        return flags;
    }

    std::optional<EndpointResult> ask(EndpointOperation operation) const
    {
        return askEndpoint(address_, std::move(operation));
    }

    EndpointReport order(EndpointOperation operation) const
    {
        std::optional<EndpointResult> result;
        REQUIRE(waitUntil([&] {
            result = ask(operation);
            return result.has_value();
        }));
        REQUIRE(std::holds_alternative<EndpointReport>(*result));
        return std::get<EndpointReport>(*result);
    }

    EndpointReport report() const { return order(ReportRequest {}); }

    DoneResponse run(EndpointOperation operation) const
    {
        const auto result = ask(std::move(operation));
        REQUIRE(result);
        REQUIRE(std::holds_alternative<DoneResponse>(*result));
        return std::get<DoneResponse>(*result);
    }

    DoneResponse write(Term term, std::string statement, std::string key = {}) const
    {
        return run(RunRequest { term, { std::move(statement) }, false, false, std::move(key), {} });
    }

    std::string read(const std::string& key) const
    {
        return run(RunRequest { 0, { "GET " + key }, true, false, {}, {} }).responses_.at(0);
    }

    bool reaches(const LogPosition& position) const
    {
        return waitUntil([&] { return report().position_ == position; });
    }
};

void promote(Term term, const Standin& primary, const std::vector<const Standin*>& replicas)
{
    primary.order(FenceRequest { term, promoter });
    for (const auto* replica : replicas)
        replica->order(FenceRequest { term, promoter });
    REQUIRE(primary.order(PromoteRequest { term, promoter }).role_ == EndpointRole::Primary);
    for (const auto* replica : replicas)
        replica->order(FollowRequest { term, promoter, primary.id_, primary.address_ });
}

bool isRefused(const std::optional<EndpointResult>& result, EndpointRefusal reason)
{
    const auto* answer = result ? std::get_if<NotRunResponse>(&*result) : nullptr;
    return answer != nullptr && answer->reason_ == reason;
}

/// Accepts one HTTP request after the other, keeps their bodies and answers with a status.
class AnnouncementListener {
public:
    explicit AnnouncementListener(unsigned status)
        : status_(status)
        , port_(freePort())
        , acceptor_(context_, { boost::asio::ip::address_v4::loopback(), port_ })
        , thread_([this] { serve(); })
    {
    }

    ~AnnouncementListener()
    {
        isEnding_ = true;
        httpGet(address(), "/");
        thread_.join();
    }

    std::string address() const { return loopbackAddress(port_); }

    std::vector<EndpointAnnouncement> announcements()
    {
        const std::lock_guard lock(mutex_);
        return announcements_;
    }

    std::string credential()
    {
        const std::lock_guard lock(mutex_);
        return credential_;
    }

private:
    void serve()
    {
        namespace http = boost::beast::http;
        while (!isEnding_) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket, error);
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            http::read(socket, buffer, request, error);
            if (error || isEnding_)
                continue;
            http::response<http::string_body> answer { static_cast<http::status>(status_), 11, "{}" };
            answer.prepare_payload();
            http::write(socket, answer, error);
            const std::lock_guard lock(mutex_);
            credential_ = std::string(request[http::field::authorization]);
            if (const auto announcement = decodeEndpointAnnouncement(request.body());
                announcement && request.target() == "/v1/announce")
                announcements_.push_back(*announcement);
        }
    }

    unsigned status_;
    std::uint16_t port_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> isEnding_ { false };
    std::mutex mutex_;
    std::vector<EndpointAnnouncement> announcements_;
    std::string credential_;
    std::thread thread_;
};

} // namespace

// Guards against a restart that forgets the term or acknowledged writes, and against a former primary that keeps its
// unconfirmed writes.
TEST_CASE("a group survives the kill of its primary and drops the divergent tail")
{
    const TemporaryFolder folder;
    Standin a(folder, "a");
    Standin b(folder, "b", { "--lag-ms=50" });
    Standin c(folder, "c");
    promote(1, a, { &b, &c });

    LogPosition last;
    for (int i = 0; i < 100; ++i)
        last = a.write(1, "APPEND x " + std::to_string(i) + ";", "k" + std::to_string(i)).position_;
    REQUIRE(b.reaches(last));
    REQUIRE(c.reaches(last));
    const auto content = a.read("x");
    REQUIRE(b.read("x") == content);
    REQUIRE(a.write(1, "APPEND x 7;", "k7").repeated_);

    // Replication goes on by itself after the primary has been killed and started again.
    a.process_.kill();
    a.process_.restart();
    REQUIRE(a.report().role_ == EndpointRole::Primary);
    REQUIRE(a.report().position_ == last);
    REQUIRE(a.write(1, "APPEND x 7;", "k7").repeated_);
    last = a.write(1, "SET y 1").position_;
    REQUIRE(b.reaches(last));
    REQUIRE(c.reaches(last));

    // Writes that only the old primary holds: the replicas are cut off by the fence of the next term.
    b.order(FenceRequest { 2, promoter });
    c.order(FenceRequest { 2, promoter });
    for (int i = 0; i < 10; ++i)
        a.write(1, "APPEND x lost;", "lost" + std::to_string(i));
    a.process_.kill();
    REQUIRE(b.report().position_ == last);
    b.order(PromoteRequest { 2, promoter });
    c.order(FollowRequest { 2, promoter, b.id_, b.address_ });
    last = b.write(2, "SET y 2").position_;
    REQUIRE(c.reaches(last));

    a.process_.restart();
    REQUIRE(a.report().promisedTerm_ == 1);
    a.order(FollowRequest { 2, promoter, b.id_, b.address_ });
    REQUIRE(a.reaches(last));
    REQUIRE(a.read("x") == content);
    REQUIRE(a.read("y") == "2");
    REQUIRE(std::holds_alternative<AbsentResponse>(a.ask(LookupRequest { "lost0" }).value()));
    REQUIRE(std::holds_alternative<PresentResponse>(a.ask(LookupRequest { "k7" }).value()));
    REQUIRE(isRefused(a.ask(RunRequest { 1, { "SET y 3" }, false, false, {}, {} }), EndpointRefusal::StaleTerm));
}

// Guards against a replica that stays behind for good after its connection went silent or was cut.
TEST_CASE("replication survives network faults")
{
    const TemporaryFolder folder;
    Standin a(folder, "a");
    Standin b(folder, "b");
    REQUIRE(waitUntil([&] { return a.ask(ReportRequest {}).has_value(); }));
    FaultRelay relay(static_cast<std::uint16_t>(std::stoi(a.address_.substr(a.address_.rfind(':') + 1))));
    promote(1, a, {});
    b.order(FollowRequest { 1, promoter, a.id_, relay.address() });
    REQUIRE(b.reaches(a.write(1, "SET x 1").position_));

    relay.setDelay(Direction::ToClient, 20ms);
    REQUIRE(b.reaches(a.write(1, "SET x delayed").position_));
    relay.setDelay(Direction::ToClient, 0ms);

    const auto accepted = relay.acceptedConnections();
    relay.silenceOpenConnections();
    REQUIRE(b.reaches(a.write(1, "SET x silent").position_));
    REQUIRE(relay.acceptedConnections() > accepted);

    relay.cut();
    REQUIRE(b.reaches(a.write(1, "SET x cut").position_));

    relay.setRefusing(true);
    relay.cut();
    const auto refused = a.write(1, "SET x refused").position_;
    REQUIRE(waitUntil([&] { return relay.openConnections() == 0; }));
    REQUIRE(b.report().position_ < refused);
    relay.setRefusing(false);
    REQUIRE(b.reaches(refused));

    relay.setMode(Direction::ToTarget, RelayMode::Drop);
    relay.cut();
    const auto oneWay = a.write(1, "SET x one-way").position_;
    REQUIRE(b.report().position_ < oneWay);
    relay.setMode(Direction::ToTarget, RelayMode::Pass);
    REQUIRE(b.reaches(oneWay));

    relay.setMode(Direction::ToClient, RelayMode::Hold);
    const auto held = a.write(1, "SET x held").position_;
    relay.setMode(Direction::ToClient, RelayMode::Pass);
    REQUIRE(b.reaches(held));
    REQUIRE(b.read("x") == "held");
}

// Guards against a database that takes more connections or runs more statements than it says.
TEST_CASE("connection and slot limits hold")
{
    const TemporaryFolder folder;
    Standin a(folder, "a", { "--connections=3", "--slots=1", "--service-time-us=50000", "--connect-delay-ms=30" });
    promote(1, a, {});
    // Connections of the orders may still be closing.
    std::list<EndpointClient> clients;
    REQUIRE(waitUntil([&] {
        clients.clear();
        for (int i = 0; i < 3; ++i) {
            auto& client = clients.emplace_back();
            const auto start = std::chrono::steady_clock::now();
            const auto result = client.connect(a.address_) ? client.exchange(HelloRequest { promoter }) : std::nullopt;
            if (!result || !std::holds_alternative<HelloResponse>(*result))
                return false;
            REQUIRE(std::chrono::steady_clock::now() - start >= 30ms);
        }
        return true;
    }));
    EndpointClient refused;
    REQUIRE(refused.connect(a.address_));
    const auto refusal = refused.receive();
    REQUIRE(refusal);
    REQUIRE(refusal->exchange_ == 0);
    REQUIRE(isRefused(refusal->result_, EndpointRefusal::ConnectionLimit));
    REQUIRE_FALSE(refused.receive());

    // Three runs at once on one slot take three service times.
    const auto start = std::chrono::steady_clock::now();
    for (auto& client : clients)
        REQUIRE(client.send(RunRequest { 1, { "APPEND x 1" }, false, false, {}, {} }) != 0);
    for (auto& client : clients) {
        const auto answer = client.receive();
        REQUIRE(answer);
        REQUIRE(std::holds_alternative<DoneResponse>(answer->result_));
    }
    REQUIRE(std::chrono::steady_clock::now() - start >= 150ms);
    clients.pop_back();
    REQUIRE(waitUntil([&] { return a.ask(ReportRequest {}).has_value(); }));
}

// Guards against a watcher that is not told of changes, or cannot tell silence from quiet.
TEST_CASE("a watch reports changes and heartbeats")
{
    const TemporaryFolder folder;
    Standin a(folder, "a");
    promote(1, a, {});
    EndpointClient watcher;
    REQUIRE(watcher.connect(a.address_));
    const auto number = watcher.send(WatchRequest { 50ms });
    const auto next = [&] {
        const auto answer = watcher.receive();
        REQUIRE(answer);
        REQUIRE(answer->exchange_ == number);
        return std::get<EndpointReport>(answer->result_);
    };
    const auto first = next();
    REQUIRE(first.role_ == EndpointRole::Primary);
    REQUIRE(next() == first);
    const auto position = a.write(1, "SET x 1").position_;
    REQUIRE(waitUntil([&] { return next().position_ == position; }));
    // Orders may use the connection of a watch.
    const auto result = watcher.exchange(FenceRequest { 2, promoter });
    REQUIRE(result);
    REQUIRE(std::get<EndpointReport>(*result).promisedTerm_ == 2);
}

// Guards against an exit that cuts off a transaction, and against instances that never hear of the exit.
TEST_CASE("announcements and the graceful exit")
{
    AnnouncementListener refusing(503);
    AnnouncementListener accepting(200);
    const TemporaryFolder folder;
    Standin a(folder, "a",
        { "--announce=" + loopbackAddress(freePort()) + ',' + refusing.address() + ',' + accepting.address(),
            "--credential=secret" });
    promote(1, a, {});
    REQUIRE(waitUntil([&] {
        const auto all = accepting.announcements();
        return !all.empty() && all.back().role_ == EndpointRole::Primary;
    }));
    REQUIRE(accepting.credential() == "Bearer secret");
    const auto announcement = accepting.announcements().back();
    REQUIRE(announcement.endpoint_ == a.id_);
    REQUIRE(announcement.address_ == a.address_);
    REQUIRE(announcement.promisedTerm_ == 1);
    REQUIRE_FALSE(announcement.leaving_);
    REQUIRE_FALSE(refusing.announcements().empty());

    EndpointClient client;
    REQUIRE(client.connect(a.address_));
    REQUIRE(std::holds_alternative<DoneResponse>(client.exchange(BeginRequest { 1 }).value()));
    a.process_.terminate();
    REQUIRE(waitUntil([&] { return accepting.announcements().back().leaving_; }));
    REQUIRE(a.report().leaving_);
    REQUIRE(isRefused(a.ask(BeginRequest { 1 }), EndpointRefusal::Leaving));
    const auto run = client.exchange(RunRequest { 1, { "SET x 1" }, false, true, {}, {} });
    REQUIRE(std::holds_alternative<DoneResponse>(run.value()));
    REQUIRE(std::holds_alternative<DoneResponse>(client.exchange(CommitRequest { 1, "k" }).value()));
    REQUIRE(waitUntil([&] { return !a.process_.isRunning(); }));
    REQUIRE(a.process_.exitStatus() == 0);
    a.process_.restart();
    REQUIRE(waitUntil([&] { return a.ask(ReportRequest {}).has_value(); }));
    REQUIRE(a.read("x") == "1");
}
