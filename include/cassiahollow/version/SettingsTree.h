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

/// What is fixed about a known setting.
struct SettingSpec {
    std::string_view name_;
    /// The level that uses the setting. It may be set there and at every level above.
    SettingsLevel level_;
    SettingType type_;
    std::string_view unit_; ///< For people: "ms", "members", empty for settings without a unit.
    std::int64_t minimum_; ///< Count: as is. Time: in milliseconds. Others: unused.
    std::int64_t maximum_;
    std::string_view choices_; ///< For Choice: the words, separated by '|'.
    std::string_view default_; ///< In the form that operators write. Empty: the setting has no default.
    std::string_view description_; ///< One line for operators.
};

/// All known settings, sorted by name. Lives as long as the process.
std::span<const SettingSpec> knownSettings();

/// The setting of that name, or null.
const SettingSpec* findSetting(std::string_view name);

using SettingValue = std::variant<bool, std::int64_t, std::chrono::milliseconds, std::string>;

/// Reads a value in the form that operators write, for example "true", "5", "250ms" or "forbidden".
/// Fails with SettingsInvalid when type, unit or range do not fit.
boost::leaf::result<SettingValue> parseSettingValue(const SettingSpec&, std::string_view text);

/// The form that parseSettingValue reads. Times use the largest unit that divides them.
std::string settingValueText(const SettingValue&);

/// The settings of one revision. A node exists when it is a key of nodes_; it may be empty.
struct SettingsTree {
    using Node = std::map<std::string, SettingValue, std::less<>>;

    /// 0 for start values that no change has confirmed yet.
    std::uint64_t revision_ { 0 };
    /// The key of the change that made this revision; empty for start values.
    std::string changeKey_;
    /// By path. The root "/" always exists.
    std::map<std::string, Node, std::less<>> nodes_ { { "/", {} } };

    bool operator==(const SettingsTree&) const = default;
};

/// One step of a change.
struct SettingsOperation {
    enum class Kind : std::uint8_t { Set, Unset };

    Kind kind_ { Kind::Set };
    std::string path_;
    /// Empty: Set creates the node, Unset removes the node and everything below it.
    std::string name_;
    /// For Set with a name: the value as parseSettingValue reads it.
    std::string value_;

    bool operator==(const SettingsOperation&) const = default;
};

/// A change that an operator asks for. All of its operations are applied, or none.
struct SettingsChange {
    std::uint64_t expectedRevision_ { 0 };
    std::vector<SettingsOperation> operations_;

    bool operator==(const SettingsChange&) const = default;
};

/// The largest number of operations in one change, and of nodes in a tree. They bound the size of a log entry and of
/// a snapshot; the target deployment has a few hundred nodes.
inline constexpr std::size_t maximumSettingsOperations = 1000;
inline constexpr std::size_t maximumSettingsNodes = 20000;

/// The tree after the change, with the next revision. Fails with SettingsRevisionConflict when the change was made
/// on another revision (the detail names the change that made the current one), or with SettingsInvalid and the
/// path when an operation or the resulting tree is not valid. `key` is the key of the change.
boost::leaf::result<SettingsTree> applySettingsChange(const SettingsTree&, const SettingsChange&, std::string_view key);

/// Checks every path, name, value and the rules between nodes. Fails with SettingsInvalid and the path.
boost::leaf::result<void> validateSettings(const SettingsTree&);

/// Replaces `applied` by `offered` when its revision is higher, and tells whether it did. An equal or lower revision
/// is never accepted, so that an accepted configuration does not revert.
bool acceptSettings(SettingsTree& applied, const SettingsTree& offered);

/// The value in force at a node: its own, else that of the nearest node above it that has one, else the default.
/// Empty when the setting is unknown, or unset without a default. The node need not exist.
std::optional<SettingValue> effectiveSetting(const SettingsTree&, std::string_view path, std::string_view name);

/// The settings of one request class. Look them up once per revision, not per request.
struct ClassSettings {
    std::int64_t weight_ { 1 };
    bool urgent_ { false };
    std::chrono::milliseconds deadline_ { 0 };
    std::chrono::milliseconds maxAge_ { 0 }; ///< 0: reads of a stated age are not accepted.
    std::chrono::milliseconds readWaitLimit_ { 0 };
    bool repeatAllowed_ { true };
};

/// Fails with UnknownService or UnknownClass.
boost::leaf::result<ClassSettings> classSettings(const SettingsTree&, const ServiceId&, const ClassId&);

/// The settings of one service.
struct ServiceSettings {
    GroupId group_;
    std::chrono::milliseconds transactionIdleLimit_ { 0 };
};

/// Fails with UnknownService.
boost::leaf::result<ServiceSettings> serviceSettings(const SettingsTree&, const ServiceId&);

/// The settings of one group.
struct GroupSettings {
    std::int64_t size_ { 3 };
    bool keysStored_ { true };
    std::int64_t queueLimit_ { 0 }; ///< Requests waiting per endpoint.
    std::chrono::milliseconds suspicionTime_ { 0 };
    std::chrono::milliseconds promotionInterval_ { 0 };
};

/// A group without a node has the settings of the root, because groups come into being by announcement.
GroupSettings groupSettings(const SettingsTree&, const GroupId&);

/// The services in the tree, and the classes of a service, in order of name.
std::vector<ServiceId> servicesOf(const SettingsTree&);
std::vector<ClassId> classesOf(const SettingsTree&, const ServiceId&);

/// {"revision", "change", "nodes": {PATH: {NAME: VALUE}}}
std::string settingsToJson(const SettingsTree&);

/// Reads what settingsToJson writes. Fails with SettingsInvalid.
boost::leaf::result<SettingsTree> settingsFromJson(std::string_view text);

/// Reads {"revision", "operations": [{"op": "set"|"unset", "path", "name"?, "value"?}]}. Fails with SettingsInvalid.
/// Only the form is checked here; applySettingsChange checks the operations.
boost::leaf::result<SettingsChange> settingsChangeFromJson(std::string_view text);

/// The inverse of settingsChangeFromJson.
std::string settingsChangeToJson(const SettingsChange&);

/// Reads start values: a mapping of root settings with the mappings `services` (each with settings and `classes`) and
/// `groups`. The tree has revision 0. Fails with SettingsInvalid.
boost::leaf::result<SettingsTree> settingsFromYaml(const std::string& text);

} // namespace cassiahollow

#include "cassiahollow/version/SettingsTree-inl.h"
