#include "cassiahollow/version/SettingsTree.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace cassiahollow {

namespace leaf = boost::leaf;
using std::chrono::milliseconds;

namespace {

    // Longer texts are truncated in messages, so that an outcome stored with its change key stays small.
    constexpr std::size_t maximumQuotedText = 80;
    constexpr std::size_t maximumName = 64;
    // Bounds the memory used by one operator request or initial settings file, in bytes.
    constexpr std::size_t maximumText = 4 * 1024 * 1024;

    constexpr std::int64_t hour = 3'600'000;

    // Sorted by name for findSetting().
    constexpr std::array<SettingSpec, 13> settings { {
        { "deadline", SettingsLevel::Class, SettingType::Time, "ms", 1, hour, "", "2s",
            "time a request may take when it names no deadline of its own" },
        { "group", SettingsLevel::Service, SettingType::Name, "", 0, 0, "", "",
            "database group that the service runs on" },
        { "keys", SettingsLevel::Group, SettingType::Choice, "", 0, 0, "stored|none", "stored",
            "whether the endpoints store request keys; without keys a write is not repeated" },
        { "max_age", SettingsLevel::Class, SettingType::Time, "ms", 0, 24 * hour, "", "0ms",
            "greatest age that a read may ask for; 0ms allows none" },
        { "promotion_interval", SettingsLevel::Group, SettingType::Time, "ms", 1000, hour, "", "5s",
            "time between the starts of two promotions" },
        { "queue_limit", SettingsLevel::Group, SettingType::Count, "requests", 1, 1'000'000, "", "10000",
            "requests that may wait for one endpoint" },
        { "read_wait_limit", SettingsLevel::Class, SettingType::Time, "ms", 0, 60'000, "", "20ms",
            "time a read may wait for a replica to catch up before it goes to the primary" },
        { "repeat", SettingsLevel::Class, SettingType::Choice, "", 0, 0, "allowed|forbidden", "allowed",
            "whether a request may run more than once" },
        { "size", SettingsLevel::Group, SettingType::Count, "members", 1, 9, "", "3", "members of the group" },
        { "suspicion_time", SettingsLevel::Group, SettingType::Time, "ms", 200, 60'000, "", "400ms",
            "silence after which an endpoint is asked on a new connection; reports come every 100 ms" },
        { "transaction_idle_limit", SettingsLevel::Service, SettingType::Time, "ms", 100, hour, "", "5s",
            "time without a statement after which a transaction ends" },
        { "urgent", SettingsLevel::Class, SettingType::Flag, "", 0, 0, "", "false",
            "whether the class may use the reserved slot of an endpoint" },
        { "weight", SettingsLevel::Class, SettingType::Count, "shares", 1, 1000, "", "1",
            "share of the endpoints' slots relative to other classes" },
    } };

    constexpr bool isSorted()
    {
        for (std::size_t i = 1; i < settings.size(); ++i) {
            if (settings[i - 1].name_ >= settings[i].name_)
                return false;
        }
        return true;
    }

    static_assert(isSorted(), "findSetting searches by name");

    struct Unit {
        std::string_view name_;
        std::int64_t milliseconds_;
    };

    // Sorted from largest to smallest, because settingValueText uses the first unit that divides the value.
    constexpr std::array<Unit, 4> units { { { "h", hour }, { "min", 60'000 }, { "s", 1000 }, { "ms", 1 } } };

    std::string truncateForMessage(std::string_view text)
    {
        if (text.size() <= maximumQuotedText)
            return std::string(text);
        return std::string(text.substr(0, maximumQuotedText)).append("...");
    }

    auto invalid(std::string_view path, std::string_view what)
    {
        return leaf::new_error(Failure { Reason::SettingsInvalid, truncateForMessage(path).append(": ").append(what) });
    }

    bool isName(std::string_view text)
    {
        return !text.empty() && text.size() <= maximumName && std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
                || c == '-';
        });
    }

    struct Path {
        SettingsLevel level_;
        std::string_view name_; // The name of the service or group.
        std::string_view class_;
    };

    std::optional<Path> parsePath(std::string_view path)
    {
        constexpr std::string_view services = "/services/";
        constexpr std::string_view groups = "/groups/";
        constexpr std::string_view classes = "/classes/";
        if (path == "/")
            return Path { SettingsLevel::Root, {}, {} };
        if (path.starts_with(groups)) {
            const auto name = path.substr(groups.size());
            if (isName(name))
                return Path { SettingsLevel::Group, name, {} };
            return std::nullopt;
        }
        if (!path.starts_with(services))
            return std::nullopt;
        const auto rest = path.substr(services.size());
        const auto slash = rest.find('/');
        if (slash == std::string_view::npos)
            return isName(rest) ? std::optional(Path { SettingsLevel::Service, rest, {} }) : std::nullopt;
        const auto service = rest.substr(0, slash);
        const auto below = rest.substr(slash);
        if (!below.starts_with(classes) || !isName(service) || !isName(below.substr(classes.size())))
            return std::nullopt;
        return Path { SettingsLevel::Class, service, below.substr(classes.size()) };
    }

    std::string servicePath(std::string_view service)
    {
        return std::string("/services/").append(service);
    }

    std::string classPath(std::string_view service, std::string_view name)
    {
        return servicePath(service).append("/classes/").append(name);
    }

    std::string groupPath(std::string_view group)
    {
        return std::string("/groups/").append(group);
    }

    std::string parentPath(const Path& path)
    {
        return path.level_ == SettingsLevel::Class ? servicePath(path.name_) : "/";
    }

    // A setting may be set at the level that uses it and at every level above.
    bool isAllowedAt(const SettingSpec& spec, SettingsLevel level)
    {
        if (level == SettingsLevel::Root || level == spec.level_)
            return true;
        return spec.level_ == SettingsLevel::Class && level == SettingsLevel::Service;
    }

    std::string_view levelPattern(SettingsLevel level)
    {
        switch (level) {
        case SettingsLevel::Root:
            return "/";
        case SettingsLevel::Service:
            return "/services/NAME";
        case SettingsLevel::Class:
            return "/services/NAME/classes/NAME";
        case SettingsLevel::Group:
            return "/groups/NAME";
        }
        return "/";
    }

    leaf::result<const SettingSpec*> settingAt(std::string_view path, SettingsLevel level, std::string_view name)
    {
        const auto* spec = findSetting(name);
        if (!spec)
            return invalid(path, "no setting is named '" + truncateForMessage(name) + "'");
        if (!isAllowedAt(*spec, level)) {
            return invalid(path,
                std::string(name) + " belongs to " + std::string(levelPattern(spec->level_)) + " or a node above it");
        }
        return spec;
    }

    leaf::result<void> createNode(SettingsTree& tree, std::string_view path, const Path& parsed)
    {
        if (parsed.level_ == SettingsLevel::Class)
            tree.nodes_.try_emplace(servicePath(parsed.name_));
        tree.nodes_.try_emplace(std::string(path));
        if (tree.nodes_.size() > maximumSettingsNodes)
            return invalid(path, "the tree has too many nodes");
        return {};
    }

    leaf::result<void> set(SettingsTree& tree, std::string_view path, std::string_view name, std::string_view value)
    {
        const auto parsed = parsePath(path);
        if (!parsed)
            return invalid(path, "not a path of the tree");
        BOOST_LEAF_CHECK(createNode(tree, path, *parsed));
        if (name.empty())
            return {};
        BOOST_LEAF_AUTO(spec, settingAt(path, parsed->level_, name));
        auto parsedValue = parseSettingValue(*spec, value);
        if (!parsedValue)
            return parsedValue.error();
        tree.nodes_.find(path)->second.insert_or_assign(std::string(name), std::move(*parsedValue));
        return {};
    }

    leaf::result<void> unset(SettingsTree& tree, std::string_view path, std::string_view name)
    {
        const auto node = tree.nodes_.find(path);
        if (node == tree.nodes_.end())
            return invalid(path, "there is no such node");
        if (!name.empty()) {
            const auto value = node->second.find(name);
            if (value == node->second.end())
                return invalid(path, "'" + truncateForMessage(name) + "' is not set here");
            node->second.erase(value);
            return {};
        }
        if (path == "/")
            return invalid(path, "the root cannot be removed");
        const auto below = std::string(path).append("/");
        tree.nodes_.erase(node);
        std::erase_if(tree.nodes_, [&](const auto& entry) { return entry.first.starts_with(below); });
        return {};
    }

    leaf::result<nlohmann::json> parseJson(std::string_view text)
    {
        if (text.size() > maximumText)
            return invalid("/", "the text is too long");
        auto json = nlohmann::json::parse(text, nullptr, false);
        if (json.is_discarded() || !json.is_object())
            return invalid("/", "expected a JSON object");
        return json;
    }

    leaf::result<std::uint64_t> revisionOf(const nlohmann::json& json)
    {
        const auto field = json.find("revision");
        if (field == json.end() || !field->is_number_unsigned())
            return invalid("/", "expected the field 'revision' with a whole number");
        return field->get<std::uint64_t>();
    }

    leaf::result<std::string> stringOf(const nlohmann::json& json, const char* name, bool required)
    {
        const auto field = json.find(name);
        if (field == json.end() && !required)
            return std::string();
        if (field == json.end() || !field->is_string())
            return invalid("/", std::string("expected the field '") + name + "' with a string");
        return field->get<std::string>();
    }

    leaf::result<std::string> valueText(std::string_view path, const nlohmann::json& value)
    {
        if (value.is_string())
            return value.get<std::string>();
        if (value.is_boolean() || value.is_number_integer())
            return value.dump();
        return invalid(path, "a value is a string, a whole number, true or false");
    }

    nlohmann::json valueJson(const SettingValue& value)
    {
        if (const auto* flag = std::get_if<bool>(&value))
            return *flag;
        if (const auto* count = std::get_if<std::int64_t>(&value))
            return *count;
        return settingValueText(value);
    }

    std::string dump(const nlohmann::json& json)
    {
        // Replaces invalid UTF-8 in operator text, because the serializer would otherwise throw.
        return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    // A tree from an instance of another version may hold a value of another type; the default is used instead.
    template <typename T> T effectiveValue(const SettingsTree& tree, std::string_view path, std::string_view name)
    {
        if (const auto value = effectiveSetting(tree, path, name)) {
            if (const auto* typed = std::get_if<T>(&*value))
                return *typed;
        }
        const SettingsTree defaults;
        const auto value = effectiveSetting(defaults, "/", name);
        const auto* typed = value ? std::get_if<T>(&*value) : nullptr;
        return typed ? *typed : T {};
    }

    leaf::result<void> importNode(SettingsTree& tree, const std::string& path, const YAML::Node& yaml)
    {
        BOOST_LEAF_CHECK(set(tree, path, "", ""));
        if (yaml.IsNull())
            return {};
        if (!yaml.IsMap())
            return invalid(path, "expected a mapping");
        const auto level = parsePath(path)->level_;
        for (const auto& item : yaml) {
            if (!item.first.IsScalar())
                return invalid(path, "a name is plain text");
            const auto& name = item.first.Scalar();
            const bool isCollection = (level == SettingsLevel::Root && (name == "services" || name == "groups"))
                || (level == SettingsLevel::Service && name == "classes");
            if (!isCollection) {
                if (!item.second.IsScalar())
                    return invalid(path, "'" + truncateForMessage(name) + "' needs a single value");
                if (name.empty())
                    return invalid(path, "a name is empty");
                BOOST_LEAF_CHECK(set(tree, path, name, item.second.Scalar()));
                continue;
            }
            if (item.second.IsNull())
                continue;
            if (!item.second.IsMap())
                return invalid(path, "'" + name + "' needs a mapping of names");
            for (const auto& child : item.second) {
                if (!child.first.IsScalar())
                    return invalid(path, "a name is plain text");
                const auto folder = (level == SettingsLevel::Root ? std::string() : path) + "/" + name + "/";
                BOOST_LEAF_CHECK(importNode(tree, folder + child.first.Scalar(), child.second));
            }
        }
        return {};
    }

} // namespace

std::span<const SettingSpec> knownSettings()
{
    return settings;
}

const SettingSpec* findSetting(std::string_view name)
{
    const auto found = std::lower_bound(settings.begin(), settings.end(), name,
        [](const SettingSpec& spec, std::string_view wanted) { return spec.name_ < wanted; });
    return found != settings.end() && found->name_ == name ? &*found : nullptr;
}

leaf::result<SettingValue> parseSettingValue(const SettingSpec& spec, std::string_view text)
{
    const auto refuse = [&](const std::string& expected) {
        return invalid(spec.name_, "'" + truncateForMessage(text) + "' is not valid; expected " + expected);
    };
    switch (spec.type_) {
    case SettingType::Flag:
        if (text == "true" || text == "false")
            return SettingValue(text == "true");
        return refuse("true or false");
    case SettingType::Name:
        if (isName(text))
            return SettingValue(std::string(text));
        return refuse("a name of at most 64 letters, digits, '.', '_' and '-'");
    case SettingType::Choice:
        for (std::size_t begin = 0; begin <= spec.choices_.size();) {
            const auto end = std::min(spec.choices_.find('|', begin), spec.choices_.size());
            if (!text.empty() && spec.choices_.substr(begin, end - begin) == text)
                return SettingValue(std::string(text));
            begin = end + 1;
        }
        return refuse(std::string(spec.choices_));
    case SettingType::Count:
    case SettingType::Time:
        break;
    }
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto rest = text.substr(static_cast<std::size_t>(end - text.data()));
    if (spec.type_ == SettingType::Count) {
        if (error != std::errc() || !rest.empty() || number < spec.minimum_ || number > spec.maximum_) {
            return refuse("a whole number from " + std::to_string(spec.minimum_) + " to "
                + std::to_string(spec.maximum_) + " (" + std::string(spec.unit_) + ")");
        }
        return SettingValue(number);
    }
    const auto unit = std::find_if(units.begin(), units.end(), [&](const Unit& u) { return u.name_ == rest; });
    // Divides the limit instead of multiplying the number, to avoid overflow.
    if (error != std::errc() || unit == units.end() || number < 0 || number > spec.maximum_ / unit->milliseconds_
        || number * unit->milliseconds_ < spec.minimum_) {
        return refuse("a whole number with the unit ms, s, min or h, from "
            + settingValueText(milliseconds(spec.minimum_)) + " to " + settingValueText(milliseconds(spec.maximum_)));
    }
    return SettingValue(milliseconds(number * unit->milliseconds_));
}

std::string settingValueText(const SettingValue& value)
{
    if (const auto* flag = std::get_if<bool>(&value))
        return *flag ? "true" : "false";
    if (const auto* count = std::get_if<std::int64_t>(&value))
        return std::to_string(*count);
    if (const auto* text = std::get_if<std::string>(&value))
        return *text;
    const auto time = std::get<milliseconds>(value).count();
    if (time == 0)
        return "0ms";
    const auto unit
        = std::find_if(units.begin(), units.end(), [&](const Unit& u) { return time % u.milliseconds_ == 0; });
    return std::to_string(time / unit->milliseconds_).append(unit->name_);
}

leaf::result<SettingsTree> applySettingsChange(
    const SettingsTree& tree, const SettingsChange& change, std::string_view key)
{
    if (change.expectedRevision_ != tree.revision_) {
        return leaf::new_error(Failure { Reason::SettingsRevisionConflict,
            "the change was made on revision " + std::to_string(change.expectedRevision_) + ", but revision "
                + std::to_string(tree.revision_) + " is in force, made by change '" + tree.changeKey_ + "'" });
    }
    if (change.operations_.empty() || change.operations_.size() > maximumSettingsOperations) {
        return invalid("/",
            "a change has from 1 to " + std::to_string(maximumSettingsOperations) + " operations, not "
                + std::to_string(change.operations_.size()));
    }
    auto changed = tree;
    for (const auto& operation : change.operations_) {
        if (operation.kind_ == SettingsOperation::Kind::Set)
            BOOST_LEAF_CHECK(set(changed, operation.path_, operation.name_, operation.value_));
        else
            BOOST_LEAF_CHECK(unset(changed, operation.path_, operation.name_));
    }
    BOOST_LEAF_CHECK(validateSettings(changed));
    ++changed.revision_;
    changed.changeKey_ = key;
    return changed;
}

leaf::result<void> validateSettings(const SettingsTree& tree)
{
    if (!tree.nodes_.contains("/"))
        return invalid("/", "the root is missing");
    if (tree.nodes_.size() > maximumSettingsNodes)
        return invalid("/", "the tree has too many nodes");
    for (const auto& [path, node] : tree.nodes_) {
        const auto parsed = parsePath(path);
        if (!parsed)
            return invalid(path, "not a path of the tree");
        if (!tree.nodes_.contains(parentPath(*parsed)))
            return invalid(path, "the node above it is missing");
        for (const auto& [name, value] : node) {
            BOOST_LEAF_AUTO(spec, settingAt(path, parsed->level_, name));
            BOOST_LEAF_AUTO(same, parseSettingValue(*spec, settingValueText(value)));
            if (same != value)
                return invalid(path, "'" + name + "' has a value of another type");
        }
        // A service without a group could not run any request, so a change that results in one is rejected.
        if (parsed->level_ == SettingsLevel::Service && !effectiveSetting(tree, path, "group"))
            return invalid(path, "the service has no group; set 'group' here or at the root");
    }
    return {};
}

std::optional<SettingValue> effectiveSetting(const SettingsTree& tree, std::string_view path, std::string_view name)
{
    const auto* spec = findSetting(name);
    if (!spec)
        return std::nullopt;
    for (auto at = std::string(path);;) {
        if (const auto node = tree.nodes_.find(at); node != tree.nodes_.end()) {
            if (const auto value = node->second.find(name); value != node->second.end())
                return value->second;
        }
        const auto parsed = parsePath(at);
        if (!parsed || parsed->level_ == SettingsLevel::Root)
            break;
        at = parentPath(*parsed);
    }
    if (spec->default_.empty())
        return std::nullopt;
    auto value = parseSettingValue(*spec, spec->default_);
    return value ? std::optional(std::move(*value)) : std::nullopt;
}

leaf::result<ClassSettings> classSettings(const SettingsTree& tree, const ServiceId& service, const ClassId& name)
{
    if (!tree.nodes_.contains(servicePath(service.value_)))
        return leaf::new_error(Failure { Reason::UnknownService, truncateForMessage(service.value_) });
    const auto path = classPath(service.value_, name.value_);
    if (!tree.nodes_.contains(path))
        return leaf::new_error(Failure { Reason::UnknownClass, truncateForMessage(path) });
    return ClassSettings {
        .weight_ = effectiveValue<std::int64_t>(tree, path, "weight"),
        .urgent_ = effectiveValue<bool>(tree, path, "urgent"),
        .deadline_ = effectiveValue<milliseconds>(tree, path, "deadline"),
        .maxAge_ = effectiveValue<milliseconds>(tree, path, "max_age"),
        .readWaitLimit_ = effectiveValue<milliseconds>(tree, path, "read_wait_limit"),
        .repeatAllowed_ = effectiveValue<std::string>(tree, path, "repeat") == "allowed",
    };
}

leaf::result<ServiceSettings> serviceSettings(const SettingsTree& tree, const ServiceId& service)
{
    const auto path = servicePath(service.value_);
    if (!tree.nodes_.contains(path))
        return leaf::new_error(Failure { Reason::UnknownService, truncateForMessage(service.value_) });
    return ServiceSettings {
        .group_ = GroupId(effectiveValue<std::string>(tree, path, "group")),
        .transactionIdleLimit_ = effectiveValue<milliseconds>(tree, path, "transaction_idle_limit"),
    };
}

GroupSettings groupSettings(const SettingsTree& tree, const GroupId& group)
{
    const auto path = groupPath(group.value_);
    return GroupSettings {
        .size_ = effectiveValue<std::int64_t>(tree, path, "size"),
        .keysStored_ = effectiveValue<std::string>(tree, path, "keys") == "stored",
        .queueLimit_ = effectiveValue<std::int64_t>(tree, path, "queue_limit"),
        .suspicionTime_ = effectiveValue<milliseconds>(tree, path, "suspicion_time"),
        .promotionInterval_ = effectiveValue<milliseconds>(tree, path, "promotion_interval"),
    };
}

std::vector<ServiceId> servicesOf(const SettingsTree& tree)
{
    std::vector<ServiceId> services;
    for (const auto& [path, node] : tree.nodes_) {
        if (const auto parsed = parsePath(path); parsed && parsed->level_ == SettingsLevel::Service)
            services.emplace_back(std::string(parsed->name_));
    }
    return services;
}

std::vector<ClassId> classesOf(const SettingsTree& tree, const ServiceId& service)
{
    std::vector<ClassId> classes;
    for (const auto& [path, node] : tree.nodes_) {
        const auto parsed = parsePath(path);
        if (parsed && parsed->level_ == SettingsLevel::Class && parsed->name_ == service.value_)
            classes.emplace_back(std::string(parsed->class_));
    }
    return classes;
}

std::string settingsToJson(const SettingsTree& tree)
{
    auto nodes = nlohmann::json::object();
    for (const auto& [path, node] : tree.nodes_) {
        auto& values = nodes[path] = nlohmann::json::object();
        for (const auto& [name, value] : node)
            values[name] = valueJson(value);
    }
    return dump({ { "revision", tree.revision_ }, { "change", tree.changeKey_ }, { "nodes", std::move(nodes) } });
}

leaf::result<SettingsTree> settingsFromJson(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    SettingsTree tree;
    BOOST_LEAF_ASSIGN(tree.revision_, revisionOf(json));
    BOOST_LEAF_ASSIGN(tree.changeKey_, stringOf(json, "change", false));
    const auto nodes = json.find("nodes");
    if (nodes == json.end() || !nodes->is_object())
        return invalid("/", "expected the field 'nodes' with an object");
    for (const auto& [path, values] : nodes->items()) {
        BOOST_LEAF_CHECK(set(tree, path, "", ""));
        if (!values.is_object())
            return invalid(path, "expected an object");
        for (const auto& [name, value] : values.items()) {
            if (name.empty())
                return invalid(path, "a name is empty");
            BOOST_LEAF_AUTO(plain, valueText(path, value));
            BOOST_LEAF_CHECK(set(tree, path, name, plain));
        }
    }
    BOOST_LEAF_CHECK(validateSettings(tree));
    return tree;
}

leaf::result<SettingsChange> settingsChangeFromJson(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    SettingsChange change;
    BOOST_LEAF_ASSIGN(change.expectedRevision_, revisionOf(json));
    const auto operations = json.find("operations");
    if (operations == json.end() || !operations->is_array())
        return invalid("/", "expected the field 'operations' with an array");
    if (operations->size() > maximumSettingsOperations)
        return invalid("/", "the change has too many operations");
    for (const auto& item : *operations) {
        if (!item.is_object())
            return invalid("/", "an operation is an object with 'op' and 'path'");
        SettingsOperation operation;
        BOOST_LEAF_AUTO(kind, stringOf(item, "op", true));
        BOOST_LEAF_ASSIGN(operation.path_, stringOf(item, "path", true));
        BOOST_LEAF_ASSIGN(operation.name_, stringOf(item, "name", false));
        const auto value = item.find("value");
        if (kind == "unset") {
            operation.kind_ = SettingsOperation::Kind::Unset;
            if (value != item.end())
                return invalid(operation.path_, "'unset' takes no value");
        } else if (kind != "set") {
            return invalid(operation.path_, "'op' is 'set' or 'unset'");
        } else if (operation.name_.empty() != (value == item.end())) {
            return invalid(operation.path_, "'set' takes a name and a value, or neither to create the node");
        } else if (value != item.end()) {
            BOOST_LEAF_ASSIGN(operation.value_, valueText(operation.path_, *value));
        }
        change.operations_.push_back(std::move(operation));
    }
    return change;
}

std::string settingsChangeToJson(const SettingsChange& change)
{
    auto operations = nlohmann::json::array();
    for (const auto& operation : change.operations_) {
        const bool isSet = operation.kind_ == SettingsOperation::Kind::Set;
        nlohmann::json item { { "op", isSet ? "set" : "unset" }, { "path", operation.path_ } };
        if (!operation.name_.empty())
            item["name"] = operation.name_;
        if (isSet && !operation.name_.empty())
            item["value"] = operation.value_;
        operations.push_back(std::move(item));
    }
    return dump({ { "revision", change.expectedRevision_ }, { "operations", std::move(operations) } });
}

leaf::result<SettingsTree> settingsFromYaml(const std::string& text)
{
    if (text.size() > maximumText)
        return invalid("/", "the text is too long");
    SettingsTree tree;
    // yaml-cpp reports syntax errors only by exceptions; they are converted to results here.
    try {
        BOOST_LEAF_CHECK(importNode(tree, "/", YAML::Load(text)));
    } catch (const YAML::Exception& error) {
        return invalid("/", std::string("not valid YAML: ") + error.what());
    }
    BOOST_LEAF_CHECK(validateSettings(tree));
    return tree;
}

} // namespace cassiahollow
