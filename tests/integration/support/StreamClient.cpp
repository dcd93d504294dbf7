#include "StreamClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>

namespace cassiahollow::testing {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;

    /// Runs one asynchronous operation to its end; `start` receives the handler. Returns whether it succeeded.
    template <typename Start> bool runStep(asio::io_context& context, Start&& start)
    {
        boost::system::error_code result;
        context.restart();
        start([&](boost::system::error_code error, auto&&...) { result = error; });
        context.run();
        return !result;
    }

} // namespace

struct StreamClient::State {
    asio::io_context context_;
    beast::websocket::stream<beast::tcp_stream> stream_ { context_ };
    beast::flat_buffer buffer_;
    std::uint64_t last_ { 0 };
};

StreamClient::StreamClient() = default;
StreamClient::~StreamClient() = default;

bool StreamClient::connect(const std::string& address, std::chrono::milliseconds limit)
{
    state_ = std::make_unique<State>();
    const auto colon = address.rfind(':');
    const asio::ip::tcp::endpoint target(asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    auto& stream = state_->stream_;
    stream.next_layer().expires_after(limit);
    return runStep(state_->context_, [&](auto handler) { stream.next_layer().async_connect(target, handler); })
        && runStep(state_->context_, [&](auto handler) { stream.async_handshake(address, "/v1/stream", handler); });
}

std::optional<nlohmann::json> StreamClient::exchange(nlohmann::json request, std::chrono::milliseconds limit)
{
    const auto id = ++state_->last_;
    request["id"] = id;
    const auto text = request.dump();
    auto& stream = state_->stream_;
    stream.next_layer().expires_after(limit);
    if (!runStep(state_->context_, [&](auto handler) { stream.async_write(asio::buffer(text), handler); }))
        return {};
    for (;;) {
        state_->buffer_.clear();
        if (!runStep(state_->context_, [&](auto handler) { stream.async_read(state_->buffer_, handler); }))
            return {};
        auto answer = nlohmann::json::parse(beast::buffers_to_string(state_->buffer_.data()), nullptr, false);
        if (answer.is_object() && answer.contains("id") && answer["id"] == id)
            return answer;
    }
}

} // namespace cassiahollow::testing
