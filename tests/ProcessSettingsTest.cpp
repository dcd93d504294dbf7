#include "process/ProcessSettings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace cassiahollow;

namespace {

SettingsFile load(const std::string& text)
{
    const std::filesystem::path name = std::filesystem::temp_directory_path()
        / ("cassiahollow-process-settings-" + std::to_string(::getpid()) + ".yaml");
    std::ofstream(name) << text;
    struct Remove {
        const std::filesystem::path& name_;
        ~Remove() { std::filesystem::remove(name_); }
    } remove { name };
    return loadProcessSettings(name);
}

} // namespace

// Guards against `serve` and `check` ending with an uncaught exception, without naming the line, on a member list that
// an operator wrote as plain names.
TEST_CASE("a control member that is not a map is an error with its line")
{
    for (const std::string member : { "a", "~", "[a, 127.0.0.1:7301]" }) {
        INFO(member);
        const auto file = load("control:\n  members:\n    - " + member + "\n");
        CHECK(std::any_of(file.errors_.begin(), file.errors_.end(), [](const SettingsError& error) {
            return error.path_ == "control.members" && error.line_ == 3
                && error.message_.find("{instance, address}") != std::string::npos;
        }));
    }
}
