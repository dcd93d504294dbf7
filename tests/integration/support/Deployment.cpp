#include "Deployment.h"

#include "Ports.h"
#include "Waiting.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <fstream>
#include <stdexcept>

namespace cassiahollow::testing {

namespace {

    constexpr std::size_t databasesOfGroup = 3;
    constexpr std::size_t dataCentres = 3;
    constexpr const char* operatorCredential = "integration-operator";
    constexpr const char* platformCredential = "integration-platform";
    constexpr std::size_t logCharacters = 2000;

    std::string dataCentre(std::size_t number)
    {
        return "dc-" + std::to_string(number % dataCentres + 1);
    }

    std::string joined(const std::vector<std::string>& items)
    {
        std::string text;
        for (const auto& item : items)
            text += (text.empty() ? "" : ",") + item;
        return text;
    }

    /// The start values of the settings tree, as a part of the process settings.
    std::string treeSettings(std::size_t groups)
    {
        std::string groupLines;
        std::string serviceLines;
        for (std::size_t i = 0; i < groups; ++i) {
            const auto number = std::to_string(i);
            groupLines += "    group-" + number + ": {size: 3}\n";
            for (const std::string name : { "service-", "other-" })
                serviceLines += "    " + name + number + ":\n      group: group-" + number
                    + "\n      classes:\n        write: {weight: 4}\n        read: {weight: 1, max_age: 10s}\n";
        }
        return "tree:\n  deadline: 5s\n  groups:\n" + groupLines + "  services:\n" + serviceLines;
    }

} // namespace

Deployment::Deployment(const DeploymentOptions& options)
{
    struct Ports {
        std::string callers_;
        std::string operators_;
        std::string platform_;
        std::string peers_;
    };
    std::vector<Ports> ports(options.instances_);
    std::vector<std::string> peers;
    std::vector<std::string> platforms;
    for (auto& entry : ports) {
        for (auto* address : { &entry.callers_, &entry.operators_, &entry.platform_, &entry.peers_ })
            *address = loopbackAddress(freePort());
        peers.push_back(entry.peers_);
        platforms.push_back(entry.platform_);
    }
    for (std::size_t i = 0; i < options.instances_; ++i) {
        const auto id = "instance-" + std::to_string(i + 1);
        const auto file = folder_.path() / (id + ".yaml");
        std::ofstream(file) << "instance: " << id << "\ndata_centre: " << dataCentre(i)
                            << "\nlisten:\n  callers: " << ports[i].callers_ << "\n  operators: " << ports[i].operators_
                            << "\n  platform: " << ports[i].platform_ << "\n  peers: " << ports[i].peers_
                            << "\npeers: [" << joined(peers) << "]\ndeployment_key: " << options.deploymentKey_
                            << "\noperator_credential: " << operatorCredential
                            << "\nplatform_credential: " << platformCredential << "\nmemory_mb: " << options.memoryMb_
                            << '\n'
                            << treeSettings(options.groups_);
        instances_.push_back({ id, ports[i].callers_, ports[i].operators_,
            std::make_unique<ChildProcess>(CASSIAHOLLOW_PROGRAM,
                std::vector<std::string> { "serve", "--config=" + file.string() }, folder_.path() / (id + ".log")) });
    }
    for (std::size_t group = 0; group < options.groups_; ++group) {
        auto& databases = groups_.emplace_back();
        for (std::size_t i = 0; i < databasesOfGroup; ++i) {
            const auto id = "db-" + std::to_string(group) + "-" + std::to_string(i);
            const auto port = freePort();
            auto relay = options.relays_ ? std::make_unique<FaultRelay>(port) : nullptr;
            // Announcements go to another instance first for each database, so that no instance gets all of them.
            auto platformList = platforms;
            std::rotate(platformList.begin(),
                platformList.begin() + static_cast<std::ptrdiff_t>((group + i) % platforms.size()), platformList.end());
            std::vector<std::string> arguments { "--id=" + id, "--group=group-" + std::to_string(group),
                "--data_centre=" + dataCentre(i), "--listen=" + loopbackAddress(port),
                "--address=" + (relay ? relay->address() : std::string()), "--announce=" + joined(platformList),
                "--credential=" + std::string(platformCredential), "--lag_ms=" + std::to_string(options.lag_.count()),
                "--leave_delay_ms=" + std::to_string(options.leaveDelay_.count()),
                "--data=" + (options.stored_ ? (folder_.path() / id).string() : std::string()) };
            auto process = std::make_unique<ChildProcess>(
                CASSIAHOLLOW_STANDIN, std::move(arguments), folder_.path() / (id + ".log"));
            databases.push_back({ id, loopbackAddress(port), std::move(relay), std::move(process) });
        }
    }
}

Deployment::~Deployment()
{
    if (std::uncaught_exceptions() > 0)
        std::fprintf(stderr, "%s\n", logs().c_str());
}

std::vector<std::string> Deployment::operatorAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& instance : instances_)
        addresses.push_back(instance.operators_);
    return addresses;
}

std::vector<std::string> Deployment::callerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& instance : instances_)
        addresses.push_back(instance.callers_);
    return addresses;
}

bool Deployment::waitUntilServing()
{
    return waitUntil([&] {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            const auto ready = httpGet(instances_[i].operators_, "/v1/ready");
            if (!ready || ready->status_ != 200)
                return false;
            for (std::size_t group = 0; group < groups_.size(); ++group) {
                const auto seen = route(i, group);
                if (seen.term_ == 0 || seen.term_ != newestRoute(group).term_)
                    return false;
            }
        }
        return true;
    });
}

std::optional<nlohmann::json> Deployment::operatorGet(std::size_t instance, const std::string& path) const
{
    auto& target = instances_.at(instance);
    if (!target.process_->isRunning())
        return {};
    // A frozen process does not answer; others are asked then.
    auto answer = httpGet(target.operators_, path, operatorCredential, std::chrono::seconds(2));
    if (!answer || answer->status_ != 200 || !answer->json_.is_array())
        return {};
    return std::move(answer->json_);
}

Deployment::Route Deployment::route(std::size_t instance, std::size_t group) const
{
    const auto groups = operatorGet(instance, "/v1/groups");
    for (const auto& entry : groups.value_or(nlohmann::json::array())) {
        if (entry.value("group", "") == "group-" + std::to_string(group))
            return { entry.value("primary", ""), entry.value("term", std::uint64_t(0)) };
    }
    return {};
}

Deployment::Route Deployment::newestRoute(std::size_t group) const
{
    Route newest;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (auto seen = route(i, group); seen.term_ > newest.term_)
            newest = std::move(seen);
    }
    return newest;
}

Deployment::Database& Deployment::database(const std::string& id, std::size_t group)
{
    for (auto& entry : groups_.at(group)) {
        if (entry.id_ == id)
            return entry;
    }
    throw std::out_of_range("no database " + id);
}

Deployment::Instance& Deployment::instance(const std::string& id)
{
    for (auto& entry : instances_) {
        if (entry.id_ == id)
            return entry;
    }
    throw std::out_of_range("no instance " + id);
}

std::string Deployment::holderOf(const std::string& database) const
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const auto endpoints = operatorGet(i, "/v1/endpoints");
        for (const auto& entry : endpoints.value_or(nlohmann::json::array())) {
            if (entry.value("endpoint", "") == database)
                return entry.value("holder", "");
        }
    }
    return {};
}

std::optional<HttpAnswer> Deployment::call(
    std::size_t instance, const std::string& service, const nlohmann::json& body) const
{
    return httpPost(instances_.at(instance).callers_, "/v1/services/" + service, body);
}

std::string Deployment::metrics(std::size_t instance) const
{
    const auto answer = httpGet(instances_.at(instance).operators_, "/v1/metrics");
    return answer ? answer->body_ : std::string();
}

std::string Deployment::logs() const
{
    std::string text;
    const auto add = [&](const std::string& id, const ChildProcess& process) {
        const auto output = process.output();
        text += "--- " + id + "\n" + output.substr(output.size() - std::min(output.size(), logCharacters)) + "\n";
    };
    for (const auto& instance : instances_)
        add(instance.id_, *instance.process_);
    for (const auto& group : groups_) {
        for (const auto& database : group)
            add(database.id_, *database.process_);
    }
    return text;
}

} // namespace cassiahollow::testing
