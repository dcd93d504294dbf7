#include "Clients.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/websocket.hpp>

namespace cassiahollow::testing {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using asio::ip::tcp;
    using Duration = std::chrono::milliseconds;

    std::optional<tcp::endpoint> parseAddress(const std::string& address)
    {
        const auto colon = address.rfind(':');
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(address.substr(0, colon), error);
        if (error || colon == std::string::npos)
            return {};
        return tcp::endpoint(ip, static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    }

    /// Runs one asynchronous operation to its end; `start` receives the handler. Returns whether it succeeded.
    template <typename Start> bool runStep(asio::io_context& context, Start&& start)
    {
        boost::system::error_code result;
        context.restart();
        start([&](boost::system::error_code error, auto&&...) { result = error; });
        context.run();
        return !result;
    }

    std::optional<HttpAnswer> request(const std::string& address, http::request<http::string_body> message,
        const std::string& credential, Duration limit)
    {
        const auto target = parseAddress(address);
        if (!target)
            return {};
        asio::io_context context;
        beast::tcp_stream stream(context);
        message.set(http::field::host, address);
        message.set(http::field::connection, "close");
        if (!credential.empty())
            message.set(http::field::authorization, "Bearer " + credential);
        message.prepare_payload();
        beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        stream.expires_after(limit);
        const bool isDone = runStep(context, [&](auto handler) { stream.async_connect(*target, handler); })
            && runStep(context, [&](auto handler) { http::async_write(stream, message, handler); })
            && runStep(context, [&](auto handler) { http::async_read(stream, buffer, answer, handler); });
        if (!isDone)
            return {};
        auto json = nlohmann::json::parse(answer.body(), nullptr, false);
        return HttpAnswer { answer.result_int(), std::move(answer.body()), std::move(json) };
    }

} // namespace

std::optional<HttpAnswer> httpGet(
    const std::string& address, const std::string& path, const std::string& credential, Duration limit)
{
    return request(address, { http::verb::get, path, 11 }, credential, limit);
}

std::optional<HttpAnswer> httpPost(const std::string& address, const std::string& path, const nlohmann::json& body,
    const std::string& credential, Duration limit)
{
    http::request<http::string_body> message { http::verb::post, path, 11, body.dump() };
    message.set(http::field::content_type, "application/json");
    return request(address, std::move(message), credential, limit);
}

struct EndpointClient::State {
    asio::io_context context_;
    beast::websocket::stream<beast::tcp_stream> stream_ { context_ };
    beast::flat_buffer buffer_;
    ExchangeNumber last_ { 0 };
};

EndpointClient::EndpointClient() = default;
EndpointClient::EndpointClient(EndpointClient&&) noexcept = default;
EndpointClient::~EndpointClient() = default;

bool EndpointClient::connect(const std::string& address, Duration limit)
{
    state_ = std::make_unique<State>();
    const auto target = parseAddress(address);
    auto& stream = state_->stream_;
    stream.next_layer().expires_after(limit);
    return target
        && runStep(state_->context_, [&](auto handler) { stream.next_layer().async_connect(*target, handler); })
        && runStep(state_->context_, [&](auto handler) { stream.async_handshake(address, "/", handler); });
}

ExchangeNumber EndpointClient::send(EndpointOperation operation)
{
    const auto number = ++state_->last_;
    const auto text = encodeEndpointRequest({ number, std::move(operation) });
    state_->stream_.next_layer().expires_after(clientLimit);
    const bool isDone
        = runStep(state_->context_, [&](auto handler) { state_->stream_.async_write(asio::buffer(text), handler); });
    return isDone ? number : 0;
}

std::optional<EndpointResponse> EndpointClient::receive(Duration limit)
{
    state_->buffer_.clear();
    state_->stream_.next_layer().expires_after(limit);
    if (!runStep(state_->context_, [&](auto handler) { state_->stream_.async_read(state_->buffer_, handler); }))
        return {};
    auto answer = decodeEndpointResponse(beast::buffers_to_string(state_->buffer_.data()));
    return answer ? std::optional(std::move(answer.value())) : std::nullopt;
}

std::optional<EndpointResult> EndpointClient::exchange(EndpointOperation operation, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    const auto number = send(std::move(operation));
    if (number == 0)
        return {};
    for (;;) {
        const auto rest = std::chrono::duration_cast<Duration>(end - std::chrono::steady_clock::now());
        auto answer = rest.count() > 0 ? receive(rest) : std::nullopt;
        if (!answer)
            return {};
        if (answer->exchange_ == number)
            return std::move(answer->result_);
    }
}

void EndpointClient::disconnect()
{
    state_.reset();
}

std::optional<EndpointResult> askEndpoint(const std::string& address, EndpointOperation operation, Duration limit)
{
    EndpointClient client;
    if (!client.connect(address, limit))
        return {};
    return client.exchange(std::move(operation), limit);
}

} // namespace cassiahollow::testing
