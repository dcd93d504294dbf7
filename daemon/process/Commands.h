#pragma once

#include <string>
#include <vector>

namespace cassiahollow {

/// Exit statuses of the program, for scripts.
enum ExitStatus {
    ExitDone = 0,
    ExitFailed = 1, ///< The process or call failed.
    ExitUsage = 2, ///< Wrong arguments or settings.
    ExitNotRun = 3, ///< The change was refused and did not run.
    ExitUnknown = 4, ///< The outcome is unknown; repeat with the same key.
};

/// Checks a settings file and prints all errors.
int runCheck(const std::string& fileName);
/// Runs an instance until it is told to shut down.
int runServe(const std::string& fileName);
/// Runs an entry instance or a control member of the line protocol until it is told to shut down.
int runNode(const std::string& fileName);
/// Sends a command of an operator to an instance.
int runControlCommand(const std::vector<std::string>& words);

} // namespace cassiahollow
