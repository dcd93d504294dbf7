#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// The kinds of nodes in the settings tree.
enum class SettingsLevel : std::uint8_t {
    Root, ///< "/"
    Service, ///< "/services/NAME"
    Class, ///< "/services/NAME/classes/NAME"
    Group, ///< "/groups/NAME"
};

/// The type of a setting's value.
enum class SettingType : std::uint8_t {
    Flag, ///< true or false
    Count, ///< a whole number
    Time, ///< a whole number with a unit: ms, s, min or h
    Choice, ///< one of a fixed list of words
    Name, ///< a name of at most 64 letters, digits, '.', '_' and '-'
};

/// The schema of a setting.
struct SettingSpec {
    std::string_view name_;
    /// The level that uses the setting. It may be set at this level and at every level above.
    SettingsLevel level_;
    SettingType type_;
    std::string_view unit_; ///< For display: "ms", "members"; empty for settings without a unit.
    std::int64_t minimum_; ///< Count: plain number. Time: milliseconds. Others: unused.
    std::int64_t maximum_;
    std::string_view choices_; ///< For Choice: the allowed words, separated by '|'.
    std::string_view default_; ///< In the syntax of parseSettingValue. Empty if the setting has no default.
    std::string_view description_; ///< One line of documentation for operators.
};

/// Returns all known settings, sorted by name. The span is valid for the lifetime of the process.
std::span<const SettingSpec> knownSettings();

/// Returns the setting with the given name, or null.
const SettingSpec* findSetting(std::string_view name);

using SettingValue = std::variant<bool, std::int64_t, std::chrono::milliseconds, std::string>;

/// Parses a value as operators write it, for example "true", "5", "250ms" or "forbidden".
/// Fails with SettingsInvalid on a wrong type or unit, or a value out of range.
boost::leaf::result<SettingValue> parseSettingValue(const SettingSpec&, std::string_view text);

/// Formats a value for parseSettingValue. Times use the largest unit that divides them.
std::string settingValueText(const SettingValue&);

/// The settings of one revision. A node exists if it is a key of nodes_; it may be empty.
struct SettingsTree {
    using Node = std::map<std::string, SettingValue, std::less<>>;

    /// 0 for initial settings that no control member has committed yet.
    std::uint64_t revision_ { 0 };
    /// The key of the change that created this revision; empty for initial settings.
    std::string changeKey_;
    /// By path. The root "/" always exists.
    std::map<std::string, Node, std::less<>> nodes_ { { "/", {} } };

    bool operator==(const SettingsTree&) const = default;
};

/// One operation of a change.
struct SettingsOperation {
    enum class Kind : std::uint8_t { Set, Unset };

    Kind kind_ { Kind::Set };
    std::string path_;
    /// Empty: Set creates the node, Unset removes the node and everything below it.
    std::string name_;
    /// For Set with a name: the value in the syntax of parseSettingValue.
    std::string value_;

    bool operator==(const SettingsOperation&) const = default;
};

/// A change requested by an operator. Its operations are applied atomically.
struct SettingsChange {
    std::uint64_t expectedRevision_ { 0 };
    std::vector<SettingsOperation> operations_;

    bool operator==(const SettingsChange&) const = default;
};

/// The maximum number of operations in one change and of nodes in a tree. They bound the size of a log entry and of
/// a snapshot; the target deployment has a few hundred nodes.
inline constexpr std::size_t maximumSettingsOperations = 1000;
inline constexpr std::size_t maximumSettingsNodes = 20000;

/// Returns the tree after the change, with the next revision. Fails with SettingsRevisionConflict if the change expects
/// another revision (the detail contains the key of the change that created the current one), or with SettingsInvalid
/// and the path if an operation or the resulting tree is invalid. `key` is the key of the change.
boost::leaf::result<SettingsTree> applySettingsChange(const SettingsTree&, const SettingsChange&, std::string_view key);

/// Checks all paths, names and values and the rules between nodes. Fails with SettingsInvalid and the path.
boost::leaf::result<void> validateSettings(const SettingsTree&);

/// Replaces `applied` by `offered` if its revision is higher, and returns whether it did. An equal or lower revision
/// is never accepted, so that accepted settings are not reverted.
bool acceptSettings(SettingsTree& applied, const SettingsTree& offered);

/// Returns the effective value at a node: its own, else that of the nearest ancestor that sets it, else the default.
/// Returns nullopt if the setting is unknown, or unset without a default. The node need not exist.
std::optional<SettingValue> effectiveSetting(const SettingsTree&, std::string_view path, std::string_view name);

/// The effective settings of one request class. Look them up once per revision, not per request.
struct ClassSettings {
    std::int64_t weight_ { 1 };
    bool urgent_ { false };
    std::chrono::milliseconds deadline_ { 0 };
    std::chrono::milliseconds maxAge_ { 0 }; ///< 0: reads with a maximum age are not accepted.
    std::chrono::milliseconds readWaitLimit_ { 0 };
    bool repeatAllowed_ { true };
};

/// Returns the effective settings of a request class. Fails with UnknownService or UnknownClass.
boost::leaf::result<ClassSettings> classSettings(const SettingsTree&, const ServiceId&, const ClassId&);

/// The effective settings of one service.
struct ServiceSettings {
    GroupId group_;
    std::chrono::milliseconds transactionIdleLimit_ { 0 };
};

/// Returns the effective settings of a service. Fails with UnknownService.
boost::leaf::result<ServiceSettings> serviceSettings(const SettingsTree&, const ServiceId&);

/// The effective settings of one group.
struct GroupSettings {
    std::int64_t size_ { 3 };
    bool keysStored_ { true };
    std::int64_t queueLimit_ { 0 }; ///< The maximum number of requests waiting per endpoint.
    std::chrono::milliseconds suspicionTime_ { 0 };
    std::chrono::milliseconds promotionInterval_ { 0 };
};

/// Returns the effective settings of a group. Groups are created by announcement; one without a node uses the root's.
GroupSettings groupSettings(const SettingsTree&, const GroupId&);

/// Return the services in the tree and the classes of a service, sorted by name.
std::vector<ServiceId> servicesOf(const SettingsTree&);
std::vector<ClassId> classesOf(const SettingsTree&, const ServiceId&);

/// Serializes to {"revision", "change", "nodes": {PATH: {NAME: VALUE}}}.
std::string settingsToJson(const SettingsTree&);

/// Parses the output of settingsToJson. Fails with SettingsInvalid.
boost::leaf::result<SettingsTree> settingsFromJson(std::string_view text);

/// Parses {"revision", "operations": [{"op": "set"|"unset", "path", "name"?, "value"?}]}. Fails with SettingsInvalid.
/// Checks only the syntax; applySettingsChange checks the operations.
boost::leaf::result<SettingsChange> settingsChangeFromJson(std::string_view text);

/// Serializes a change in the format of settingsChangeFromJson.
std::string settingsChangeToJson(const SettingsChange&);

/// Parses initial settings: a mapping of root settings with the mappings `services` (each with settings and `classes`)
/// and `groups`. The tree has revision 0. Fails with SettingsInvalid.
boost::leaf::result<SettingsTree> settingsFromYaml(const std::string& text);

} // namespace cassiahollow

#include "cassiahollow/version/SettingsTree-inl.h"
