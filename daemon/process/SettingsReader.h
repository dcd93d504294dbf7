#pragma once

#include "connection/HttpListener.h"
#include "process/ProcessSettings.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace cassiahollow {

/// Reads the keys of one YAML map and remembers which are known, so that a misspelt key is an error.
class SettingsReader {
public:
    SettingsReader(YAML::Node node, std::string path, std::vector<SettingsError>& errors)
        : node_(std::move(node))
        , path_(std::move(path))
        , errors_(errors)
    {
        if (node_ && !node_.IsMap() && !node_.IsNull())
            fail(node_, path_, "has to be a map of settings");
    }

    SettingsReader map(const std::string& key) { return { child(key), pathOf(key), errors_ }; }

    template <typename Value> void read(const std::string& key, Value& value, bool required, std::string_view meaning)
    {
        const YAML::Node node = child(key);
        if (!node) {
            if (required)
                fail(node_, pathOf(key), "is missing; set it to " + std::string(meaning));
            return;
        }
        try {
            value = node.as<Value>();
        } catch (const YAML::Exception&) {
            fail(node, pathOf(key), "has the wrong type; set it to " + std::string(meaning));
        }
    }

    void readMilliseconds(const std::string& key, std::chrono::milliseconds& value, int low, int high)
    {
        auto count = value.count();
        read(key, count, false, "a number of milliseconds");
        if (count < low || count > high)
            fail(child(key), pathOf(key),
                "is out of range; set it between " + std::to_string(low) + " and " + std::to_string(high) + " ms");
        value = std::chrono::milliseconds(count);
    }

    void readCount(const std::string& key, std::size_t& value, std::size_t low, std::size_t high)
    {
        read(key, value, false, "a number");
        if (value < low || value > high)
            fail(child(key), pathOf(key),
                "is out of range; set it between " + std::to_string(low) + " and " + std::to_string(high));
    }

    void readAddress(const std::string& key, std::string& value)
    {
        read(key, value, true, "an address ip:port");
        if (!value.empty())
            checkAddress(child(key), pathOf(key), value);
    }

    void checkAddress(const YAML::Node& node, const std::string& path, const std::string& value)
    {
        if (!splitAddress(value))
            fail(node, path, "is not an address; write ip:port, such as 127.0.0.1:7001");
    }

    YAML::Node child(const std::string& key)
    {
        known_.insert(key);
        return node_ && node_.IsMap() ? node_[key] : YAML::Node(YAML::NodeType::Undefined);
    }

    void refuseUnknownKeys()
    {
        if (!node_ || !node_.IsMap())
            return;
        for (const auto& entry : node_) {
            const auto key = entry.first.as<std::string>("");
            if (!known_.count(key))
                fail(entry.first, pathOf(key), "is not a setting; remove it or correct its name");
        }
    }

    void fail(const YAML::Node& node, const std::string& path, std::string message)
    {
        const int line = node && node.IsDefined() ? node.Mark().line + 1 : 1;
        errors_.push_back({ std::max(line, 1), path, std::move(message) });
    }

    std::string pathOf(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

private:
    YAML::Node node_;
    std::string path_;
    std::vector<SettingsError>& errors_;
    std::set<std::string> known_;
};

/// The memory of the machine. Below the least, the process itself leaves no room for clients.
inline void readMemory(SettingsReader& reader, std::size_t& value)
{
    constexpr std::size_t leastMb = 64;
    constexpr std::size_t greatestMb = 1 << 20;
    reader.read("memory_mb", value, false, "a number of MiB");
    if (value != 0 && (value < leastMb || value > greatestMb))
        reader.fail(reader.child("memory_mb"), "memory_mb",
            "is out of range; set it to 0 or between " + std::to_string(leastMb) + " and "
                + std::to_string(greatestMb));
}

} // namespace cassiahollow
