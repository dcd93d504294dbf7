#pragma once

#include <string>

namespace cassiahollow {

/// Starts logging to standard error, one line for each record, from a level of the process settings on.
void startLog(const std::string& level, const std::string& instance);

/// Logs a change of state. Counters, not lines, tell what happens to single requests.
void logInfo(const std::string& text);
void logWarning(const std::string& text);
void logError(const std::string& text);

} // namespace cassiahollow
