#include "process/ProcessSettings.h"

#include "process/SettingsReader.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace cassiahollow {

namespace {

    constexpr std::size_t minDeploymentKeyCharacters = 16;
    constexpr std::size_t maxControlMembers = 7;

    void readListen(SettingsReader reader, ListenSettings& listen)
    {
        reader.readAddress("callers", listen.callers_);
        reader.readAddress("operators", listen.operators_);
        reader.readAddress("platform", listen.platform_);
        reader.readAddress("peers", listen.peers_);
        reader.refuseUnknownKeys();
    }

    void readPeers(SettingsReader& reader, std::vector<std::string>& peers)
    {
        reader.read("peers", peers, false, "a list of addresses ip:port");
        for (std::size_t i = 0; i < peers.size(); ++i)
            reader.checkAddress(reader.child("peers")[i], "peers[" + std::to_string(i) + "]", peers[i]);
    }

    void readControl(SettingsReader reader, std::vector<ControlMemberSettings>& control)
    {
        const YAML::Node members = reader.child("members");
        const std::string path = reader.pathOf("members");
        if (members && !members.IsSequence())
            reader.fail(members, path, "has to be a list of {instance, address}");
        if (members && members.IsSequence()) {
            for (const auto& member : members) {
                // yaml-cpp throws when a field of a scalar is looked up.
                if (!member.IsMap()) {
                    reader.fail(member, path, "has an entry that is not a map; write {instance, address}");
                    continue;
                }
                ControlMemberSettings entry;
                entry.instance_ = InstanceId(member["instance"].as<std::string>(""));
                entry.address_ = member["address"].as<std::string>("");
                if (entry.instance_.empty())
                    reader.fail(member, path, "has an entry without an instance; name it");
                reader.checkAddress(member, path, entry.address_);
                control.push_back(std::move(entry));
            }
            if (control.size() > maxControlMembers || control.size() % 2 == 0)
                reader.fail(members, path, "has " + std::to_string(control.size()) + " members; list 1, 3, 5 or 7");
        }
        reader.refuseUnknownKeys();
    }

    void readLimits(SettingsReader reader, LimitSettings& limits)
    {
        reader.readCount("max_callers", limits.maxCallers_, 1, 1000000);
        reader.readCount("max_request_bytes", limits.maxRequestBytes_, 1024, 64 << 20);
        reader.readMilliseconds("receive_timeout_ms", limits.receiveTimeout_, 1000, 600000);
        reader.readCount("max_queued_requests", limits.maxQueuedRequests_, 1, 1000000);
        reader.refuseUnknownKeys();
    }

    void readShutdown(SettingsReader reader, ShutdownSettings& shutdown)
    {
        reader.readMilliseconds("balancer_delay_ms", shutdown.balancerDelay_, 0, 600000);
        reader.readMilliseconds("deadline_ms", shutdown.deadline_, 100, 600000);
        reader.refuseUnknownKeys();
    }

    void readAll(const YAML::Node& root, SettingsFile& file)
    {
        ProcessSettings& settings = file.settings_;
        SettingsReader reader(root, "", file.errors_);
        reader.read("instance", settings.instance_.value_, true, "the id of this instance");
        reader.read("data_centre", settings.dataCentre_.value_, true, "the data centre of this instance");
        readListen(reader.map("listen"), settings.listen_);
        readPeers(reader, settings.peers_);
        reader.read("deployment_key", settings.deploymentKey_, true, "a secret shared by all instances");
        if (!settings.deploymentKey_.empty() && settings.deploymentKey_.size() < minDeploymentKeyCharacters)
            reader.fail(reader.child("deployment_key"), "deployment_key", "is too short; use at least 16 characters");
        reader.read("operator_credential", settings.operatorCredential_, true, "a secret for operator calls");
        reader.read("platform_credential", settings.platformCredential_, true, "a secret for announcements");
        reader.read("data_folder", settings.dataFolder_, false, "a folder on a disk of this instance");
        readControl(reader.map("control"), settings.control_);
        readLimits(reader.map("limits"), settings.limits_);
        readShutdown(reader.map("shutdown"), settings.shutdown_);
        readMemory(reader, settings.memoryMb_);
        reader.read("log_level", settings.logLevel_, false, "debug, info, warning or error");
        static const std::set<std::string> levels { "debug", "info", "warning", "error" };
        if (!levels.count(settings.logLevel_))
            reader.fail(reader.child("log_level"), "log_level", "is unknown; use debug, info, warning or error");
        if (const YAML::Node tree = reader.child("tree"))
            settings.startTree_ = YAML::Dump(tree);
        reader.refuseUnknownKeys();
        const bool isControl = std::any_of(settings.control_.begin(), settings.control_.end(),
            [&](const auto& member) { return member.instance_ == settings.instance_; });
        if (isControl && settings.dataFolder_.empty())
            reader.fail(root, "data_folder", "is missing on a control member; name a folder on a disk");
    }

} // namespace

SettingsFile loadProcessSettings(const std::string& fileName)
{
    SettingsFile file;
    try {
        readAll(YAML::LoadFile(fileName), file);
    } catch (const YAML::BadFile&) {
        file.errors_.push_back({ 0, "", "cannot be read; check the name and the permissions" });
    } catch (const YAML::ParserException& error) {
        file.errors_.push_back({ error.mark.line + 1, "", "is not YAML: " + error.msg + "; correct this line" });
    }
    return file;
}

std::string describeErrors(const std::string& fileName, const std::vector<SettingsError>& errors)
{
    std::ostringstream text;
    for (const auto& error : errors) {
        text << fileName << ':' << error.line_ << ": ";
        if (!error.path_.empty())
            text << error.path_ << ' ';
        text << error.message_ << '\n';
    }
    return text.str();
}

} // namespace cassiahollow
