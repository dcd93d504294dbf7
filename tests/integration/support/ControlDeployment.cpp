#include "ControlDeployment.h"

#include "Ports.h"
#include "Waiting.h"

#include <algorithm>
#include <fstream>

namespace cassiahollow::testing {

namespace {

    constexpr std::size_t dataCentres = 3;
    constexpr const char* operatorCredential = "integration-operator";
    constexpr std::size_t logCharacters = 1500;
    // A frozen process does not answer; the caller asks again.
    constexpr std::chrono::seconds readLimit { 1 };

    std::string groupPath(const std::string& key)
    {
        return "/groups/" + key;
    }

} // namespace

ControlDeployment::ControlDeployment(std::size_t instances)
{
    std::vector<std::string> peers;
    std::string members;
    std::string joinThrough;
    for (std::size_t i = 0; i < instances; ++i) {
        const auto id = "instance-" + std::to_string(i + 1);
        peers.push_back(loopbackAddress(freePort()));
        if (i >= controlMembers)
            continue;
        members += "    - {instance: " + id + ", address: \"" + peers[i] + "\"}\n";
        joinThrough += (i == 0 ? "\"" : ", \"") + peers[i] + "\"";
    }
    for (std::size_t i = 0; i < instances; ++i) {
        const auto id = "instance-" + std::to_string(i + 1);
        const auto file = folder_.path() / (id + ".yaml");
        const auto dataFolder = i < controlMembers ? folder_.path() / (id + "-data") : std::filesystem::path();
        const auto operators = loopbackAddress(freePort());
        std::ofstream(file) << "instance: " << id << "\ndata_centre: dc-" << i % dataCentres + 1
                            << "\nlisten:\n  callers: " << loopbackAddress(freePort()) << "\n  operators: " << operators
                            << "\n  platform: " << loopbackAddress(freePort()) << "\n  peers: " << peers[i]
                            << "\npeers: [" << joinThrough << "]\ndeployment_key: integration-deployment-key"
                            << "\noperator_credential: " << operatorCredential
                            << "\nplatform_credential: integration-platform\n"
                            << (dataFolder.empty() ? "" : "data_folder: \"" + dataFolder.string() + "\"\n")
                            << "control:\n  members:\n"
                            << members
                            << "tree:\n  deadline: 5s\n  groups:\n    group-0: {size: 3}\n  services:\n    service-0:\n"
                               "      group: group-0\n      classes:\n        write: {weight: 4}\n";
        instances_.push_back({ id, operators, dataFolder,
            std::make_unique<ChildProcess>(CASSIAHOLLOW_PROGRAM,
                std::vector<std::string> { "serve", "--config=" + file.string() }, folder_.path() / (id + ".log")) });
    }
}

bool ControlDeployment::isReady(std::size_t instance) const
{
    const auto answer = httpGet(instances_.at(instance).operators_, "/v1/ready", {}, readLimit);
    return answer && answer->status_ == 200;
}

bool ControlDeployment::waitUntilReady()
{
    return waitUntil([&] {
        for (std::size_t i = 0; i < size(); ++i) {
            if (!isReady(i))
                return false;
        }
        return leader().has_value();
    });
}

std::optional<nlohmann::json> ControlDeployment::settings(std::size_t instance) const
{
    auto answer = httpGet(instances_.at(instance).operators_, "/v1/settings", operatorCredential, readLimit);
    if (!answer || answer->status_ != 200 || !answer->json_.is_object())
        return {};
    return std::move(answer->json_);
}

std::optional<std::uint64_t> ControlDeployment::revision(std::size_t instance) const
{
    const auto tree = settings(instance);
    if (!tree)
        return {};
    return tree->value("revision", std::uint64_t(0));
}

bool ControlDeployment::isInForce(std::uint64_t revision) const
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (this->revision(i).value_or(0) < revision)
            return false;
    }
    return true;
}

OperatorOutcome ControlDeployment::change(
    std::size_t instance, const std::string& key, std::uint64_t seenRevision, std::chrono::milliseconds limit) const
{
    const nlohmann::json operation { { "op", "set" }, { "path", groupPath(key) }, { "name", "size" }, { "value", 3 } };
    return post(instance, "/v1/settings",
        { { "key", key }, { "revision", seenRevision }, { "operations", nlohmann::json::array({ operation }) } },
        limit);
}

bool ControlDeployment::contains(const nlohmann::json& settings, const std::string& key)
{
    return settings.at("nodes").contains(groupPath(key));
}

OperatorOutcome ControlDeployment::changeMember(std::size_t instance, const std::string& member, bool add) const
{
    return post(instance, "/v1/control", { { "instance", member }, { "add", add } }, clientLimit);
}

OperatorOutcome ControlDeployment::post(
    std::size_t instance, const std::string& path, const nlohmann::json& body, std::chrono::milliseconds limit) const
{
    const auto answer = httpPost(instances_.at(instance).operators_, path, body, operatorCredential, limit);
    if (!answer || !answer->json_.is_object())
        return { "unknown", "no answer", {}, 0 };
    return { answer->json_.value("outcome", ""), answer->json_.value("reason", ""), answer->json_.value("detail", ""),
        answer->json_.value("revision", std::uint64_t(0)) };
}

std::optional<nlohmann::json> ControlDeployment::control(std::size_t instance) const
{
    auto answer = httpGet(instances_.at(instance).operators_, "/v1/control", operatorCredential, readLimit);
    if (!answer || answer->status_ != 200 || !answer->json_.is_object())
        return {};
    return std::move(answer->json_);
}

std::optional<std::size_t> ControlDeployment::leader() const
{
    std::optional<std::size_t> found;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < controlMembers; ++i) {
        const auto status = control(i);
        if (!status || status->value("role", "") != "leader")
            continue;
        if (const auto term = status->value("term", std::uint64_t(0)); !found || term > highest) {
            found = i;
            highest = term;
        }
    }
    return found;
}

std::string ControlDeployment::logs() const
{
    std::string text;
    for (const auto& instance : instances_) {
        const auto output = instance.process_->output();
        text += "--- " + instance.id_ + "\n" + output.substr(output.size() - std::min(output.size(), logCharacters))
            + "\n";
    }
    return text;
}

} // namespace cassiahollow::testing
