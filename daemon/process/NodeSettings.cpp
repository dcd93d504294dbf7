#include "process/NodeSettings.h"

#include "LineProtocol.h"
#include "cassiahollow/version/ControlLog.h"
#include "process/SettingsReader.h"

#include <set>

namespace cassiahollow {

namespace {

    void readOptionalAddress(SettingsReader& reader, const std::string& key, std::string& value)
    {
        reader.read(key, value, false, "an address ip:port");
        if (!value.empty())
            reader.checkAddress(reader.child(key), reader.pathOf(key), value);
    }

    // In seconds, because the platform gives fractions of them.
    void readSeconds(SettingsReader& reader, const std::string& key, std::chrono::milliseconds& value)
    {
        double seconds = std::chrono::duration<double>(value).count();
        reader.read(key, seconds, false, "a number of seconds");
        if (!(seconds >= 0.5 && seconds <= 600))
            return reader.fail(reader.child(key), reader.pathOf(key), "is out of range; set it between 0.5 and 600");
        value = std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
    }

    void readNumber(SettingsReader& reader, const std::string& key, double& value, int low, int high)
    {
        reader.read(key, value, false, "a number");
        if (!(value >= low && value <= high))
            reader.fail(reader.child(key), reader.pathOf(key),
                "is out of range; set it between " + std::to_string(low) + " and " + std::to_string(high));
    }

    void readQuota(SettingsReader reader, NodeSettings& settings)
    {
        readSeconds(reader, "window_s", settings.quotaWindow_);
        readNumber(reader, "overage", settings.quotaOverage_, 0, 1);
        readNumber(reader, "slack", settings.quotaSlack_, 0, 1000000);
        reader.refuseUnknownKeys();
    }

    void readDataCentres(SettingsReader& reader, NodeSettings& settings)
    {
        std::vector<std::string> names;
        reader.read("data_centres", names, false, "a list of data centres");
        std::set<std::string> known(names.begin(), names.end());
        const auto fail = [&](std::string message) {
            reader.fail(reader.child("data_centres"), reader.pathOf("data_centres"), std::move(message));
        };
        if (known.size() != names.size() || known.contains(""))
            fail("has a name twice or an empty one; name each data centre once");
        if (!names.empty() && !settings.dataCentre_.empty() && !known.contains(settings.dataCentre_.value_))
            fail("does not have data_centre; name all data centres of the deployment");
        for (auto& name : names)
            settings.dataCentres_.emplace_back(std::move(name));
    }

    void readListen(SettingsReader reader, NodeSettings& settings)
    {
        readOptionalAddress(reader, "statements", settings.statements_);
        readOptionalAddress(reader, "readiness", settings.readiness_);
        readOptionalAddress(reader, "operators", settings.operators_);
        readOptionalAddress(reader, "metrics", settings.metrics_);
        readOptionalAddress(reader, "forward", settings.forward_);
        reader.readAddress("peers", settings.peers_);
        reader.refuseUnknownKeys();
    }

    void readAccounts(SettingsReader reader, NodeSettings& settings)
    {
        reader.read("fail_closed", settings.failClosed_, false, "true or false");
        reader.readMilliseconds("revoke_ms", settings.revokeTime_, 100, 3600000);
        reader.refuseUnknownKeys();
    }

    void readAll(const YAML::Node& root, NodeSettingsFile& file)
    {
        auto& settings = file.settings_;
        SettingsReader reader(root, "", file.errors_);
        reader.read("instance", settings.name_, true, "the name of this machine");
        if (!settings.name_.empty() && !platform::isWord(settings.name_))
            reader.fail(reader.child("instance"), "instance", "has blanks or control characters; set it without them");
        reader.read("data_centre", settings.dataCentre_.value_, true, "the data centre of this instance");
        readListen(reader.map("listen"), settings);
        reader.read("seeds", settings.seeds_, false, "a list of addresses ip:port");
        for (const auto& seed : settings.seeds_)
            reader.checkAddress(reader.child("seeds"), "seeds", seed);
        reader.read("deployment_key", settings.deploymentKey_, true, "a secret shared by all instances");
        reader.read("data_folder", settings.dataFolder_, false, "a folder on a disk of this instance");
        reader.read("may_found", settings.mayFound_, false, "true or false");
        reader.readCount("tolerated_losses", settings.toleratedLosses_, 0, maximumControlVoters / 2);
        readSeconds(reader, "catch_up_s", settings.catchUp_);
        readOptionalAddress(reader, "authority", settings.authority_);
        reader.read("authority_checks_fences", settings.authorityChecksFences_, false, "true or false");
        reader.readMilliseconds("heartbeat_ms", settings.heartbeat_, 10, 60000);
        reader.readMilliseconds("shutdown_ms", settings.shutdown_, 100, 600000);
        reader.readCount("maximum_files", settings.maximumFiles_, 64, 10000000);
        readDataCentres(reader, settings);
        readQuota(reader.map("quota"), settings);
        readAccounts(reader.map("accounts"), settings);
        readMemory(reader, settings.memoryMb_);
        reader.refuseUnknownKeys();
        if (settings.statements_.empty() == settings.operators_.empty())
            reader.fail(root, "listen", "needs either statements or operators; set one of them");
        if (!settings.operators_.empty() && settings.dataFolder_.empty())
            reader.fail(root, "data_folder", "is missing on a control member; name a folder on a disk");
    }

} // namespace

NodeSettingsFile loadNodeSettings(const std::string& fileName)
{
    NodeSettingsFile file;
    try {
        readAll(YAML::LoadFile(fileName), file);
    } catch (const YAML::BadFile&) {
        file.errors_.push_back({ 0, "", "cannot be read; check the name and the permissions" });
    } catch (const YAML::ParserException& error) {
        file.errors_.push_back({ error.mark.line + 1, "", "is not YAML: " + error.msg + "; correct this line" });
    }
    return file;
}

std::string peerAddressOf(const NodeSettings& settings, const std::string& seed)
{
    return seed.substr(0, seed.rfind(':')) + settings.peers_.substr(settings.peers_.rfind(':'));
}

std::vector<InstanceId> seedInstances(const NodeSettings& settings)
{
    std::vector<InstanceId> instances;
    for (const auto& seed : settings.seeds_)
        instances.emplace_back(peerAddressOf(settings, seed));
    return instances;
}

} // namespace cassiahollow
