#pragma once

#include "cassiahollow/connection/EndpointProtocol.h"
#include "connection/HttpListener.h"
#include "process/ServeContext.h"

namespace cassiahollow {

/// The listener for endpoints, which announce themselves with POST /v1/announce and the platform credential.
class PlatformApi {
public:
    using Announced = std::function<void(const EndpointRecord&)>;

    PlatformApi(ServeContext&, Announced);

    boost::leaf::result<void> start() { return listener_.start(); }
    void stopAccepting() { listener_.stopAccepting(); }

private:
    void receive(const HttpConnectionPtr&, const HttpRequest&);

    ServeContext& context_;
    const Announced announced_;
    HttpListener listener_;
};

/// Whether an Authorization header carries the bearer credential. Takes the same time for every wrong one.
bool hasCredential(const std::string& authorization, const std::string& credential);

} // namespace cassiahollow
