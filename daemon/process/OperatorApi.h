#pragma once

#include "cassiahollow/version/ControlState.h"
#include "connection/HttpListener.h"
#include "process/ServeContext.h"
#include "version/ControlTask.h"
#include "version/GroupWatch.h"

namespace cassiahollow {

/// What the operator interface may ask the serve task for.
struct OperatorHooks {
    std::function<bool()> isReady_;
    std::function<void(const EndpointId&)> drainEndpoint_;
    std::function<void(bool)> drainInstance_;
    /// Returns false if this instance does not watch the group.
    std::function<bool(const GroupId&, const EndpointId& preferred)> changePrimary_;
    std::function<const GroupWatch*(const GroupId&)> groupWatch_;
    /// Sends a request to the control members; the handler is called once.
    std::function<void(ControlRequest, std::function<void(ChangeOutcome)>)> submit_;
    /// The state of the control member of this instance; empty if it is none.
    std::function<const ControlStatus&()> controlStatus_;
};

/// The listener for operators and for the platform's balancer. Documented in docs/operators.md.
class OperatorApi {
public:
    OperatorApi(ServeContext&, OperatorHooks);

    boost::leaf::result<void> start() { return listener_.start(); }

private:
    void receive(const HttpConnectionPtr&, const HttpRequest&);
    void receiveCommand(const HttpConnectionPtr&, const HttpRequest&);
    void changeSettings(const HttpConnectionPtr&, const HttpRequest&);
    void drain(const HttpConnectionPtr&, const HttpRequest&);
    void changePrimary(const HttpConnectionPtr&, const HttpRequest&);
    void refuse(const HttpConnectionPtr&, int status, Reason, const std::string& detail);
    void submit(const HttpConnectionPtr&, ControlRequest);
    void changeMember(const HttpConnectionPtr&, const HttpRequest&);
    std::string controlJson() const;
    std::string endpointsJson() const;
    std::string groupsJson() const;
    std::string instancesJson() const;

    ServeContext& context_;
    const OperatorHooks hooks_;
    HttpListener listener_;
};

} // namespace cassiahollow
