#pragma once

#include "cassiahollow/connection/EndpointProtocol.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace cassiahollow::testing {

/// Limit of one network step of a test client. It only ends a test that has failed anyway.
inline constexpr std::chrono::seconds clientLimit { 10 };

struct HttpAnswer {
    unsigned status_ { 0 };
    std::string body_;
    nlohmann::json json_; ///< Discarded value if the body is not JSON.
};

/// One HTTP/1.1 request on a connection of its own. Nothing if there is no whole answer within the limit.
std::optional<HttpAnswer> httpGet(const std::string& address, const std::string& path,
    const std::string& credential = {}, std::chrono::milliseconds limit = clientLimit);
std::optional<HttpAnswer> httpPost(const std::string& address, const std::string& path, const nlohmann::json& body,
    const std::string& credential = {}, std::chrono::milliseconds limit = clientLimit);

/// A WebSocket connection to an endpoint.
class EndpointClient {
public:
    EndpointClient();
    EndpointClient(EndpointClient&&) noexcept;
    ~EndpointClient();

    /// Opens the connection; false if this fails or takes longer than the limit.
    bool connect(const std::string& address, std::chrono::milliseconds limit = clientLimit);
    /// Sends a request under the next exchange number and waits for the answer with that number. Answers with other
    /// numbers, such as reports of a watch, are skipped. Nothing if the connection ends or the limit passes.
    std::optional<EndpointResult> exchange(EndpointOperation, std::chrono::milliseconds limit = clientLimit);
    /// Sends a request without waiting; returns its number, or 0 on failure.
    ExchangeNumber send(EndpointOperation);
    /// The next answer of any number.
    std::optional<EndpointResponse> receive(std::chrono::milliseconds limit = clientLimit);
    /// Ends the connection without a close handshake.
    void disconnect();

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// One request on a connection of its own.
std::optional<EndpointResult> askEndpoint(
    const std::string& address, EndpointOperation, std::chrono::milliseconds limit = clientLimit);

} // namespace cassiahollow::testing
