#pragma once

#include "Clients.h"

namespace cassiahollow::testing {

/// A WebSocket caller: a connection to /v1/stream of an instance.
class StreamClient {
public:
    StreamClient();
    ~StreamClient();

    bool connect(const std::string& address, std::chrono::milliseconds limit = clientLimit);
    /// Sends a request under the next id and waits for the answer with that id; other messages are skipped. Nothing if
    /// the connection ends or the limit passes.
    std::optional<nlohmann::json> exchange(nlohmann::json request, std::chrono::milliseconds limit = clientLimit);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace cassiahollow::testing
