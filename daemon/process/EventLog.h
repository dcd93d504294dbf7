#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cassiahollow {

/// What a structured line is about. Each kind has a budget of its own, so that a flood of one hides no other.
enum class LogKind : std::uint8_t {
    Lifecycle, ///< Start, stop, reload.
    Dependency, ///< A lost or regained dependency.
    Belief, ///< What the process believes has changed: catalog, primary, leader, members.
    Placement, ///< Where a statement was sent.
    Retry, ///< A statement is tried again.
    Refusal, ///< A statement is answered as not run.
    Uncertain, ///< A statement may have run.
    Promotion, ///< A step of a change of primary.
    Client, ///< A client is closed because it is outside the limits of the process.
    Count
};

/// Starts the log: lines `ts=... kind=... event=... instance=... field=value ...` on standard output. Standard output
/// becomes non-blocking: when its reader is slow, lines are dropped and counted.
void startEventLog(const std::string& instance);

/// Lines that were dropped because of a budget or of a slow reader, since the start.
std::uint64_t droppedLogLines();

/// One line, written at the end of its life. Fields are named in docs/OPERATIONS.md.
class LogLine {
public:
    LogLine(LogKind, std::string_view event);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& with(std::string_view field, std::string_view value);
    LogLine& with(std::string_view field, std::uint64_t value);
    /// In milliseconds.
    LogLine& with(std::string_view field, std::chrono::nanoseconds value);

private:
    bool wanted_;
    std::string text_;
};

} // namespace cassiahollow
