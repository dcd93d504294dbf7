// Compares reads through one entry instance with the same reads on a direct connection to an endpoint, in one run.
// Each worker sends one request after the other on a connection of its own.

#include "cassiahollow/connection/EndpointProtocol.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/websocket.hpp>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

DEFINE_string(entry, "127.0.0.1:17001", "caller listener of the entry instance");
DEFINE_string(endpoint, "127.0.0.1:17401", "listener of the endpoint");
DEFINE_string(service, "returns", "service that runs on the endpoint's group");
DEFINE_string(request_class, "history", "request class");
DEFINE_uint32(requests, 5000, "requests of each worker");
DEFINE_uint32(workers, 1, "connections that are used at once");

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using namespace cassiahollow;
using Latencies = std::vector<double>; // In microseconds.

boost::asio::ip::tcp::endpoint addressOf(const std::string& text)
{
    const auto colon = text.rfind(':');
    return { boost::asio::ip::make_address(text.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(text.substr(colon + 1))) };
}

double microsecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

Latencies readDirectly()
{
    boost::asio::io_context context;
    beast::websocket::stream<beast::tcp_stream> stream(context);
    beast::get_lowest_layer(stream).connect(addressOf(FLAGS_endpoint));
    beast::get_lowest_layer(stream).socket().set_option(boost::asio::ip::tcp::no_delay(true));
    stream.set_option(beast::websocket::stream_base::decorator(
        [](beast::websocket::request_type& request) { request.set(http::field::sec_websocket_protocol, "endpoint"); }));
    stream.handshake(FLAGS_endpoint, "/");
    ExchangeNumber exchange = 0;
    const auto ask = [&](EndpointOperation operation) {
        stream.write(boost::asio::buffer(encodeEndpointRequest({ ++exchange, std::move(operation) })));
        beast::flat_buffer buffer;
        stream.read(buffer);
    };
    ask(HelloRequest { InstanceId("direct-comparison") });
    Latencies latencies;
    for (std::uint32_t i = 0; i < FLAGS_requests; ++i) {
        const auto start = std::chrono::steady_clock::now();
        ask(RunRequest { 0, { "GET a" }, true, false, {}, {} });
        latencies.push_back(microsecondsSince(start));
    }
    return latencies;
}

Latencies readThroughEntry()
{
    boost::asio::io_context context;
    beast::tcp_stream stream(context);
    stream.connect(addressOf(FLAGS_entry));
    stream.socket().set_option(boost::asio::ip::tcp::no_delay(true));
    http::request<http::string_body> request(http::verb::post, "/v1/services/" + FLAGS_service, 11);
    request.set(http::field::host, FLAGS_entry);
    request.body() = R"({"class":")" + FLAGS_request_class + R"(","read_only":true,"statements":["GET a"]})";
    request.prepare_payload();
    Latencies latencies;
    beast::flat_buffer buffer;
    for (std::uint32_t i = 0; i < FLAGS_requests; ++i) {
        const auto start = std::chrono::steady_clock::now();
        http::write(stream, request);
        http::response<http::string_body> response;
        http::read(stream, buffer, response);
        if (response.result() != http::status::ok) {
            std::fprintf(
                stderr, "the entry instance answered %u: %s\n", response.result_int(), response.body().c_str());
            std::exit(1);
        }
        latencies.push_back(microsecondsSince(start));
    }
    return latencies;
}

void measure(const char* name, const std::function<Latencies()>& worker)
{
    std::vector<Latencies> results(FLAGS_workers);
    std::vector<std::thread> threads;
    const auto start = std::chrono::steady_clock::now();
    for (auto& result : results)
        threads.emplace_back([&result, &worker] { result = worker(); });
    for (auto& thread : threads)
        thread.join();
    const double seconds = microsecondsSince(start) / 1e6;
    Latencies all;
    for (const auto& result : results)
        all.insert(all.end(), result.begin(), result.end());
    std::sort(all.begin(), all.end());
    const auto quantile = [&](double share) { return all[static_cast<std::size_t>(share * double(all.size() - 1))]; };
    std::printf("%-10s workers %3u  requests/s %8.0f  p50 %7.0f us  p95 %7.0f us  p99 %7.0f us  max %7.0f us\n", name,
        FLAGS_workers, static_cast<double>(all.size()) / seconds, quantile(0.5), quantile(0.95), quantile(0.99),
        all.back());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure("direct", readDirectly);
    measure("entry", readThroughEntry);
    return 0;
}
