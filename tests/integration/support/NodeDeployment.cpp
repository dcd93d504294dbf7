#include "NodeDeployment.h"

#include "Ports.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace cassiahollow::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

    constexpr auto reportInterval = 200ms;

    asio::ip::tcp::endpoint endpointOf(const std::string& address)
    {
        const auto colon = address.rfind(':');
        return { asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
    }

} // namespace

NodeCall callNode(const std::string& method, const std::string& address, const std::string& path,
    const std::string& body, std::chrono::milliseconds limit)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::request<http::string_body> request { http::string_to_verb(method), path, 11 };
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    NodeCall result;
    stream.expires_after(limit);
    stream.async_connect(endpointOf(address), [&](beast::error_code error) {
        if (error)
            return;
        http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, response, [&](beast::error_code readError, std::size_t) {
                if (!readError)
                    result = { response.result_int(), response.body() };
            });
        });
    });
    context.run();
    return result;
}

NodeDeployment::NodeDeployment(std::size_t controls, std::size_t entries)
    : NodeDeployment(controls, entries, Options {})
{
}

NodeDeployment::NodeDeployment(std::size_t controls, std::size_t entries, Options options)
    : options_(options)
    , authority_(loopbackAddress(freePort()))
    , dark_(3)
    , leaving_(3)
{
    group_ = std::make_unique<standin::LineGroup>(
        "returns", std::vector { EndpointId("i-1"), EndpointId("i-2"), EndpointId("i-3") });
    for (const auto& id : group_->endpoints())
        servers_.push_back(std::make_unique<standin::LineServer>(*group_, id, "127.0.0.1", freePort()));
    for (const auto& server : servers_)
        server->faults().connectionLimit_ = options_.connectionLimit_;
    startNodes(controls, entries);
    authorityThread_ = std::thread([this] { serveAuthority(); });
    reports_ = std::thread([this] { report(); });
}

NodeDeployment::~NodeDeployment()
{
    ending_ = true;
    reports_.join();
    authorityThread_.join();
    if (std::uncaught_exceptions() == 0)
        return;
    for (const auto* nodes : { &controls_, &entries_ }) {
        for (const auto& node : *nodes)
            std::cerr << node.host_ << ":\n" << node.process_->output() << '\n';
    }
}

void NodeDeployment::startNodes(std::size_t controls, std::size_t entries)
{
    static std::atomic<int> nextHost { 1 };
    const auto peerPort = std::to_string(freePort());
    const auto operatorsPort = std::to_string(freePort());
    const auto port = std::to_string(freePort());
    const auto readinessPort = std::to_string(freePort());
    const auto forwardPort = std::to_string(freePort());
    const auto network = "127.7." + std::to_string(nextHost++) + ".";
    std::string seeds;
    for (std::size_t i = 0; i < controls; ++i) {
        const auto host = network + std::to_string(10 + i);
        controls_.push_back({ host, host + ":" + operatorsPort, {}, nullptr, {} });
        seeds += (seeds.empty() ? "\"" : ", \"") + controls_.back().address_ + "\"";
    }
    const auto start = [&](Node& node, const std::string& name, const std::string& listen, const std::string& more) {
        const auto file = folder_.path() / (name + ".yaml");
        std::ofstream(file) << "instance: " << name << "\ndata_centre: a\nlisten: {" << listen << ", peers: \""
                            << node.host_ << ":" << peerPort << "\"}\nseeds: [" << seeds
                            << "]\ndeployment_key: integration-deployment-key\nauthority: \"" << authority_
                            << "\"\nheartbeat_ms: 200\nshutdown_ms: " << options_.shutdown_.count() << '\n'
                            << (options_.checksFences_ ? "" : "authority_checks_fences: false\n")
                            << "memory_mb: " << options_.memoryMb_ << '\n'
                            << more;
        node.process_ = std::make_unique<ChildProcess>(CASSIAHOLLOW_PROGRAM,
            std::vector<std::string> { "node", "--config=" + file.string() }, folder_.path() / (name + ".log"));
    };
    for (std::size_t i = 0; i < controls; ++i) {
        auto& node = controls_[i];
        const auto name = "core-" + std::to_string(i + 1);
        node.folder_ = folder_.path() / name;
        start(node, name, "operators: \"" + node.address_ + "\"",
            "may_found: true\ndata_folder: \"" + node.folder_.string() + "\"\n");
    }
    for (std::size_t i = 0; i < entries; ++i) {
        const auto host = network + std::to_string(100 + i);
        entries_.push_back({ host, host + ":" + port, host + ":" + readinessPort, nullptr, {} });
        auto& node = entries_.back();
        start(node, "front-" + std::to_string(i + 1),
            "statements: \"" + node.address_ + "\", readiness: \"" + node.readiness_ + "\", forward: \"" + host + ":"
                + forwardPort + "\"",
            "");
    }
}

void NodeDeployment::report()
{
    std::uint64_t sequence = 1;
    std::size_t member = 0;
    for (; !ending_; std::this_thread::sleep_for(reportInterval)) {
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            if (dark_[i])
                continue;
            const auto& server = *servers_[i];
            const json body { { "Service", "returns" }, { "Address", server.address() }, { "Zone", "a" },
                { "Version", "v1" }, { "Slots", 2 }, { "State", leaving_[i] ? "draining" : "ready" },
                { "WarmupLeftMs", 0 }, { "DbRole", group_->isPrimary(server.id()) ? "primary" : "replica" },
                { "Seq", sequence++ }, { "born", 1700000000000 } };
            for (std::size_t attempt = 0; attempt < controls_.size() && !ending_; ++attempt) {
                const auto& control = controls_[member % controls_.size()];
                const auto answer
                    = callNode("PUT", control.address_, "/api/instances/" + server.id().value_, body.dump(), 300ms);
                if (answer.status_ == 200)
                    break;
                ++member;
            }
        }
    }
}

// Carries promotions out at once; refuses a fence below one that it has seen.
void NodeDeployment::serveAuthority()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, endpointOf(authority_));
    std::uint64_t highest = 0;
    while (!ending_) {
        acceptor.non_blocking(true);
        beast::error_code error;
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket, error);
        if (error) {
            std::this_thread::sleep_for(5ms);
            continue;
        }
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::read(socket, buffer, request, error);
        if (error)
            continue;
        const auto body = json::parse(request.body());
        const auto fence = std::stoull(std::string(request["X-Fencing-Token"]));
        const bool accepted = (fence >= highest || !options_.checksFences_) && request.target() == "/promote";
        if (accepted) {
            highest = fence;
            const auto endpoint = body.at("Id").get<std::string>();
            if (!group_->leadsNewestTerm(EndpointId(endpoint)))
                group_->promote(EndpointId(endpoint));
            const std::lock_guard lock(mutex_);
            promotions_.push_back({ endpoint, std::string(request["X-Lease-Holder"]), fence });
        }
        http::response<http::string_body> response { accepted ? http::status::ok : http::status::conflict, 11 };
        response.prepare_payload();
        http::write(socket, response, error);
    }
}

void NodeDeployment::darken(std::size_t server)
{
    dark_.at(server) = true;
    servers_.at(server)->faults().dark_ = true;
}

void NodeDeployment::setLeaving(std::size_t server)
{
    leaving_.at(server) = true;
}

std::vector<NodeDeployment::Promotion> NodeDeployment::promotions() const
{
    const std::lock_guard lock(mutex_);
    return promotions_;
}

bool NodeDeployment::hasRun(const std::string& id) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
        const auto ran = server->ran();
        return std::any_of(ran.begin(), ran.end(), [&](const auto& statement) { return statement.query_ == id; });
    });
}

std::string NodeDeployment::document(std::uint64_t version, const std::vector<std::string>& databases) const
{
    json document { { "Version", version }, { "Routes", json::array() },
        { "Services",
            json::array(
                { { { "Name", "returns" }, { "MaxConns", options_.connectionLimit_ }, { "SyncReplicas", 0 } } }) } };
    for (const auto& database : databases) {
        document["Routes"].push_back({ { "Name", "r-" + database }, { "Host", database }, { "PathPrefix", "/" },
            { "Type", "read_your_writes" }, { "TimeoutMs", options_.statementTimeout_.count() },
            { "TargetLatencyMs", 500 }, { "Priority", 1 }, { "Service", "returns" }, { "MaxStalenessMs", 2500 } });
    }
    if (options_.accounts_) {
        document["Tenants"] = json::array();
        for (const auto& [name, keys] : *options_.accounts_)
            document["Tenants"].push_back({ { "Name", name }, { "ApiKeys", keys } });
    }
    return document.dump();
}

bool NodeDeployment::configure(
    std::uint64_t version, const std::vector<std::string>& databases, std::chrono::milliseconds limit)
{
    const auto text = document(version, databases);
    const auto end = Clock::now() + limit;
    for (std::size_t i = 0; Clock::now() < end; ++i) {
        if (callNode("PUT", controls_[i % controls_.size()].address_, "/api/config", text).status_ == 200)
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

std::uint64_t NodeDeployment::versionAt(const Node& node) const
{
    const auto answer = callNode("GET", node.address_, "/api/config");
    return answer.status_ == 200 ? json::parse(answer.body_).value("Version", std::uint64_t(0)) : 0;
}

bool NodeDeployment::waitUntilReady(std::chrono::milliseconds limit)
{
    for (const auto end = Clock::now() + limit; Clock::now() < end; std::this_thread::sleep_for(20ms)) {
        const bool ready = std::all_of(entries_.begin(), entries_.end(),
            [](const Node& node) { return callNode("GET", node.readiness_, "/api/ready").status_ == 200; });
        if (ready)
            return true;
    }
    return false;
}

} // namespace cassiahollow::testing
