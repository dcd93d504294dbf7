#include "process/EventLog.h"

#include <array>
#include <atomic>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <mutex>
#include <unistd.h>

namespace cassiahollow {

namespace log = boost::log;

namespace {

    struct KindInfo {
        std::string_view name_;
        unsigned linesPerSecond_; ///< Sized so that all kinds together stay under a thousandth of a core's time.
    };

    constexpr std::array<KindInfo, static_cast<std::size_t>(LogKind::Count)> kinds { {
        { "lifecycle", 50 },
        { "dependency", 20 },
        { "belief", 20 },
        { "placement", 2 },
        { "retry", 5 },
        { "refusal", 10 },
        { "uncertain", 10 },
        { "promotion", 50 },
        { "client", 5 },
    } };

    struct Budget {
        std::time_t second_ { 0 };
        unsigned written_ { 0 };
        std::uint64_t suppressed_ { 0 };
    };

    std::mutex budgetMutex;
    std::array<Budget, kinds.size()> budgets; // guarded by budgetMutex
    std::atomic<std::uint64_t> dropped { 0 };

    std::time_t steadySeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_MONOTONIC_COARSE, &time);
        return time.tv_sec;
    }

    // Takes a line out of the budget. Returns the lines suppressed since the last one that was written.
    bool takeLine(LogKind kind, std::uint64_t& suppressed)
    {
        const std::lock_guard lock(budgetMutex);
        auto& budget = budgets[static_cast<std::size_t>(kind)];
        if (const auto second = steadySeconds(); second != budget.second_) {
            budget.second_ = second;
            budget.written_ = 0;
        }
        if (budget.written_ >= kinds[static_cast<std::size_t>(kind)].linesPerSecond_) {
            ++budget.suppressed_;
            dropped.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        ++budget.written_;
        suppressed = std::exchange(budget.suppressed_, 0);
        return true;
    }

    // Writes whole lines and never waits: a line that does not fit into the pipe is dropped.
    class OutputBackend : public log::sinks::basic_formatted_sink_backend<char, log::sinks::synchronized_feeding> {
    public:
        // Called by Boost.Log, which gives the name.
        void consume(const log::record_view&, const string_type& line) // NOLINT(readability-identifier-naming)
        {
            const std::string text = line + '\n';
            if (write(STDOUT_FILENO, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
                dropped.fetch_add(1, std::memory_order_relaxed);
        }
    };

    void appendValue(std::string& text, std::string_view value)
    {
        const bool isPlain = !value.empty() && value.find_first_of(" \"=\n\r") == std::string_view::npos;
        if (isPlain) {
            text.append(value);
            return;
        }
        text.push_back('"');
        for (const char c : value)
            text.push_back(c == '"' || c == '\n' || c == '\r' ? '\'' : c);
        text.push_back('"');
    }

    void appendTime(std::string& text)
    {
        timespec time {};
        clock_gettime(CLOCK_REALTIME, &time);
        std::tm parts {};
        gmtime_r(&time.tv_sec, &parts);
        char buffer[40];
        const auto size = std::strftime(buffer, sizeof(buffer), "ts=%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(buffer + size, sizeof(buffer) - size, ".%03ldZ", time.tv_nsec / 1000000);
        text.append(buffer);
    }

    std::string instanceName;

} // namespace

void startEventLog(const std::string& instance)
{
    instanceName = instance;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    auto sink = boost::make_shared<log::sinks::synchronous_sink<OutputBackend>>();
    sink->set_formatter(log::expressions::stream << log::expressions::smessage);
    log::core::get()->add_sink(sink);
}

std::uint64_t droppedLogLines()
{
    return dropped.load(std::memory_order_relaxed);
}

LogLine::LogLine(LogKind kind, std::string_view event)
    : wanted_(false)
{
    std::uint64_t suppressed = 0;
    wanted_ = takeLine(kind, suppressed);
    if (!wanted_)
        return;
    text_.reserve(192);
    appendTime(text_);
    text_.append(" kind=").append(kinds[static_cast<std::size_t>(kind)].name_);
    text_.append(" event=").append(event);
    text_.append(" instance=").append(instanceName);
    if (suppressed > 0)
        with("suppressed", suppressed);
}

LogLine::~LogLine()
{
    if (!wanted_)
        return;
    static log::sources::logger_mt logger;
    BOOST_LOG(logger) << text_;
}

LogLine& LogLine::with(std::string_view field, std::string_view value)
{
    if (wanted_) {
        text_.append(" ").append(field).push_back('=');
        appendValue(text_, value);
    }
    return *this;
}

LogLine& LogLine::with(std::string_view field, std::uint64_t value)
{
    return wanted_ ? with(field, std::to_string(value)) : *this;
}

LogLine& LogLine::with(std::string_view field, std::chrono::nanoseconds value)
{
    if (!wanted_)
        return *this;
    char buffer[32];
    std::snprintf(buffer, sizeof(buffer), "%.1fms", std::chrono::duration<double, std::milli>(value).count());
    return with(field, std::string_view(buffer));
}

} // namespace cassiahollow
