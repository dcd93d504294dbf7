#include "process/OperatorApi.h"

#include "connection/PlatformApi.h"

#include <nlohmann/json.hpp>

namespace cassiahollow {

namespace {

    using nlohmann::json;

    constexpr std::size_t maxOperatorRequestBytes = 4 << 20;

    HttpListenerOptions listenerOptions(const ProcessSettings& settings)
    {
        HttpListenerOptions options;
        options.name_ = "operators";
        options.address_ = settings.listen_.operators_;
        options.maxRequestBytes_ = maxOperatorRequestBytes;
        return options;
    }

    std::string_view roleName(EndpointRole role)
    {
        return role == EndpointRole::Primary ? "primary" : "replica";
    }

    json positionJson(const LogPosition& position)
    {
        return { { "term", position.term_ }, { "index", position.index_ } };
    }

    int statusOf(const ChangeOutcome& outcome)
    {
        if (outcome.outcome_ == Outcome::Done)
            return 200;
        if (outcome.outcome_ == Outcome::Unknown)
            return 504;
        return outcome.reason_ == Reason::SettingsRevisionConflict ? 409 : 400;
    }

} // namespace

OperatorApi::OperatorApi(ServeContext& context, OperatorHooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , listener_(context.loop_, listenerOptions(context.settings_),
          { [this](const HttpConnectionPtr& connection, const HttpRequest& request) { receive(connection, request); },
              {}, {}, {}, [this](Reason reason) { context_.metrics_.count(reason); } })
{
}

void OperatorApi::refuse(const HttpConnectionPtr& connection, int status, Reason reason, const std::string& detail)
{
    context_.metrics_.count(reason);
    const json object { { "outcome", "not_run" }, { "reason", reasonInfo(reason).name_ },
        { "remedy", reasonInfo(reason).remedy_ }, { "detail", detail } };
    connection->reply({ status, object.dump() + "\n" });
}

void OperatorApi::receive(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    if (request.path_ == "/v1/metrics") {
        connection->reply({ 200, context_.metrics_.render(), "text/plain; version=0.0.4" });
        return;
    }
    if (request.path_ == "/v1/ready") {
        const bool ready = hooks_.isReady_();
        connection->reply({ ready ? 200 : 503, ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n" });
        return;
    }
    if (!hasCredential(request.authorization_, context_.settings_.operatorCredential_)) {
        refuse(connection, 403, Reason::CredentialInvalid, request.path_);
        return;
    }
    if (request.method_ == "POST") {
        receiveCommand(connection, request);
    } else if (request.path_ == "/v1/settings") {
        connection->reply({ 200, settingsToJson(context_.tree_) + "\n" });
    } else if (request.path_ == "/v1/endpoints") {
        connection->reply({ 200, endpointsJson() + "\n" });
    } else if (request.path_ == "/v1/groups") {
        connection->reply({ 200, groupsJson() + "\n" });
    } else if (request.path_ == "/v1/control") {
        connection->reply({ 200, controlJson() + "\n" });
    } else if (request.path_ == "/v1/instances") {
        connection->reply({ 200, instancesJson() + "\n" });
    } else {
        refuse(connection, 404, Reason::MalformedRequest, "no such path: " + request.path_);
    }
}

void OperatorApi::receiveCommand(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    if (request.path_ == "/v1/settings")
        changeSettings(connection, request);
    else if (request.path_ == "/v1/drain")
        drain(connection, request);
    else if (request.path_ == "/v1/primary")
        changePrimary(connection, request);
    else if (request.path_ == "/v1/control")
        changeMember(connection, request);
    else
        refuse(connection, 404, Reason::MalformedRequest, "no such path: " + request.path_);
}

void OperatorApi::changeSettings(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    const json body = json::parse(request.body_, nullptr, false);
    if (!body.is_object() || !body.contains("key") || !body["key"].is_string()) {
        refuse(connection, 400, Reason::KeyRequired, "the field key is missing");
        return;
    }
    std::string problem;
    auto change = boost::leaf::try_handle_all([&] { return settingsChangeFromJson(request.body_); },
        [&](const Failure& failure) -> SettingsChange {
            problem = failure.detail_;
            return {};
        },
        [&]() -> SettingsChange {
            problem = "unknown error";
            return {};
        });
    if (!problem.empty()) {
        refuse(connection, 400, Reason::SettingsInvalid, problem);
        return;
    }
    submit(connection, ControlChange { body["key"].get<std::string>(), std::move(change) });
}

void OperatorApi::submit(const HttpConnectionPtr& connection, ControlRequest request)
{
    hooks_.submit_(std::move(request), [this, connection](const ChangeOutcome& outcome) {
        if (outcome.reason_)
            context_.metrics_.count(*outcome.reason_);
        connection->reply({ statusOf(outcome), changeOutcomeToJson(outcome) + "\n" });
    });
}

void OperatorApi::changeMember(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    const json body = json::parse(request.body_, nullptr, false);
    const bool valid = body.is_object() && body.contains("instance") && body["instance"].is_string()
        && body.contains("add") && body["add"].is_boolean();
    if (!valid) {
        refuse(connection, 400, Reason::MalformedRequest, "name an instance, and add as true or false");
        return;
    }
    submit(
        connection, ControlMemberChange { body["add"].get<bool>(), InstanceId(body["instance"].get<std::string>()) });
}

std::string OperatorApi::controlJson() const
{
    static constexpr std::array<std::string_view, 4> roles { "follower", "pre_candidate", "candidate", "leader" };
    const ControlStatus& status = hooks_.controlStatus_();
    json object { { "role", roles[static_cast<std::size_t>(status.role_)] }, { "term", status.term_ },
        { "leader", status.leader_.value_ }, { "members", json::array() } };
    for (const auto& member : status.members_)
        object["members"].push_back({ { "instance", member.instance_.value_ }, { "voter", member.voter_ } });
    return object.dump();
}

void OperatorApi::drain(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    const json body = json::parse(request.body_, nullptr, false);
    if (body.is_object() && body.contains("endpoint") && body["endpoint"].is_string()) {
        const EndpointId endpoint(body["endpoint"].get<std::string>());
        if (!findEndpoint(context_.membership_.directory_, endpoint)) {
            refuse(connection, 404, Reason::GroupUnknown, "endpoint " + endpoint.value_ + " is not announced");
            return;
        }
        hooks_.drainEndpoint_(endpoint);
    } else if (body.is_object() && body.contains("instance")
        && body["instance"] == context_.settings_.instance_.value_) {
        hooks_.drainInstance_(body.value("draining", true));
    } else {
        refuse(connection, 400, Reason::MalformedRequest, "name an endpoint, or this instance");
        return;
    }
    connection->reply({ 200, "{\"outcome\":\"done\"}\n" });
}

void OperatorApi::changePrimary(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    const json body = json::parse(request.body_, nullptr, false);
    const bool valid = body.is_object() && body.contains("group") && body["group"].is_string()
        && body.contains("endpoint") && body["endpoint"].is_string();
    if (!valid) {
        refuse(connection, 400, Reason::MalformedRequest, "name a group and an endpoint");
        return;
    }
    const GroupId group(body["group"].get<std::string>());
    const EndpointId endpoint(body["endpoint"].get<std::string>());
    if (hooks_.changePrimary_(group, endpoint)) {
        connection->reply({ 202, "{\"outcome\":\"done\",\"detail\":\"ordered; see /v1/groups for the primary\"}\n" });
        return;
    }
    // Only the holder of the primary can pause writes, so the operator is sent there.
    std::string holderName = "unknown";
    if (const auto route = routeOf(context_.membership_.directory_, group)) {
        if (const auto holder = holderOf(context_.membership_.holders_, route->primary_))
            holderName = holder->value_;
    }
    refuse(connection, 409, Reason::RetryHolderMoved,
        "send this to the instance " + holderName + ", which holds the primary");
}

std::string OperatorApi::endpointsJson() const
{
    json list = json::array();
    for (const auto& [id, record] : context_.membership_.directory_.endpoints_) {
        const auto holder = holderOf(context_.membership_.holders_, id);
        list.push_back({ { "endpoint", id.value_ }, { "group", record.group_.value_ }, { "address", record.address_ },
            { "data_centre", record.dataCentre_.value_ }, { "slots", record.slots_ },
            { "connections", record.connections_ }, { "role", roleName(record.role_) },
            { "promised_term", record.promisedTerm_ }, { "leaving", isLeaving(context_.membership_.directory_, id) },
            { "expired", record.expired_ }, { "holder", holder ? holder->value_ : "" } });
    }
    return list.dump();
}

std::string OperatorApi::groupsJson() const
{
    json list = json::array();
    const auto& directory = context_.membership_.directory_;
    for (const auto& [group, endpoints] : directory.byGroup_) {
        const auto route = routeOf(directory, group);
        json entry { { "group", group.value_ }, { "term", route ? route->term_ : 0 },
            { "primary", route ? route->primary_.value_ : "" } };
        for (const auto& member : groupMemberIds(context_.membership_, group))
            entry["members"].push_back(member.value_);
        for (const auto& watcher : groupWatchers(context_.membership_, group))
            entry["watchers"].push_back(watcher.value_);
        if (const GroupWatch* watch = hooks_.groupWatch_(group)) {
            for (const auto& member : watch->view().members_)
                entry["positions"][member.endpoint_.value_] = positionJson(member.position_);
            entry["majority"] = hasMajority(watch->state(), Clock::now());
        }
        list.push_back(std::move(entry));
    }
    return list.dump();
}

std::string OperatorApi::instancesJson() const
{
    json list = json::array();
    for (const auto& [id, record] : context_.membership_.directory_.instances_) {
        list.push_back({ { "instance", id.value_ }, { "address", record.address_ },
            { "data_centre", record.dataCentre_.value_ }, { "status", instanceStatusName(record.status_) },
            { "draining", record.draining_ }, { "applied_revision", record.appliedRevision_ },
            { "lags", record.appliedRevision_ < context_.membership_.directory_.settingsRevision_ } });
    }
    return list.dump();
}

} // namespace cassiahollow
