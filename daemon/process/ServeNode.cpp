#include "process/Commands.h"
#include "process/ControlHost.h"
#include "process/EventLog.h"
#include "process/GatewayTask.h"
#include "process/ServeProcess.h"

#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

namespace cassiahollow {

namespace {

    // The settings file may change without a signal; a look at its time costs one system call.
    constexpr std::time_t settingsCheckSeconds = 2;

    std::optional<NodeSettings> load(const std::string& fileName)
    {
        const auto file = loadNodeSettings(fileName);
        std::cerr << describeErrors(fileName, file.errors_);
        return file.errors_.empty() ? std::optional(file.settings_) : std::nullopt;
    }

    std::filesystem::file_time_type changeTime(const std::string& fileName)
    {
        std::error_code error;
        const auto time = std::filesystem::last_write_time(fileName, error);
        return error ? std::filesystem::file_time_type() : time;
    }

    // Takes signals and looks at the settings file until the task has ended.
    template <typename Task>
    void watch(Task& task, const std::string& fileName, const sigset_t& signals, const std::atomic<bool>& ended)
    {
        auto known = changeTime(fileName);
        const timespec interval { settingsCheckSeconds, 0 };
        while (!ended) {
            const int signal = sigtimedwait(&signals, nullptr, &interval);
            if (ended)
                return;
            if (signal == SIGTERM || signal == SIGINT) {
                task.post(typename Task::Shutdown {});
                continue;
            }
            const auto time = changeTime(fileName);
            if (signal != SIGHUP && time == known)
                continue;
            known = time;
            // A file that is wrong or half written changes nothing; the next look may find it whole.
            if (auto settings = load(fileName))
                task.post(typename Task::Reload { std::move(*settings) });
            else
                known = {};
        }
    }

    template <typename Task>
    int serve(const NodeSettings& settings, const std::string& fileName, const sigset_t& signals)
    {
        Task task(settings, newIncarnation());
        const bool started = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(task.start());
                return true;
            },
            [](const Failure& failure) {
                std::cerr << failureMessage(failure) << '\n';
                return false;
            },
            [] { return false; });
        if (!started)
            return ExitFailed;
        std::atomic<bool> ended { false };
        std::thread watcher([&] { watch(task, fileName, signals, ended); });
        task.run();
        ended = true;
        pthread_kill(watcher.native_handle(), SIGTERM);
        watcher.join();
        return ExitDone;
    }

} // namespace

int runNode(const std::string& fileName)
{
    const auto settings = load(fileName);
    if (!settings)
        return ExitUsage;
    startEventLog(settings->name_);
    const auto signals = prepareProcess();
    return settings->operators_.empty() ? serve<GatewayTask>(*settings, fileName, signals)
                                        : serve<ControlHost>(*settings, fileName, signals);
}

} // namespace cassiahollow
