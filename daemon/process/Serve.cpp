#include "process/Commands.h"
#include "process/Log.h"
#include "process/ServeTask.h"

#include <csignal>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <pthread.h>
#include <sys/resource.h>
#include <thread>

namespace cassiahollow {

namespace {

    /// Reads the start values of the settings tree. Prints the error and returns nothing if they are wrong.
    std::optional<SettingsTree> startTree(const std::string& fileName, const ProcessSettings& settings)
    {
        if (settings.startTree_.empty())
            return SettingsTree {};
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<SettingsTree>> {
                BOOST_LEAF_AUTO(tree, settingsFromYaml(settings.startTree_));
                return std::optional<SettingsTree>(std::move(tree));
            },
            [&](const Failure& failure) {
                std::cerr << fileName << ": tree: " << failureMessage(failure) << '\n';
                return std::optional<SettingsTree>();
            },
            [&] {
                std::cerr << fileName << ": tree: cannot be read\n";
                return std::optional<SettingsTree>();
            });
    }

    struct Loaded {
        ProcessSettings settings_;
        SettingsTree tree_;
    };

    std::optional<Loaded> load(const std::string& fileName)
    {
        SettingsFile file = loadProcessSettings(fileName);
        std::cerr << describeErrors(fileName, file.errors_);
        auto tree = startTree(fileName, file.settings_);
        if (!file.errors_.empty() || !tree)
            return std::nullopt;
        return Loaded { std::move(file.settings_), std::move(*tree) };
    }

    /// Higher at each start, because the clock of a machine moves on by more than a millisecond between two starts.
    Incarnation newIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    void raiseFileLimit()
    {
        rlimit limit {};
        if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
            limit.rlim_cur = limit.rlim_max;
            setrlimit(RLIMIT_NOFILE, &limit);
        }
    }

} // namespace

int runCheck(const std::string& fileName)
{
    if (!load(fileName))
        return ExitUsage;
    std::cout << fileName << ": no errors\n";
    return ExitDone;
}

int runServe(const std::string& fileName)
{
    const auto loaded = load(fileName);
    if (!loaded)
        return ExitUsage;
    startLog(loaded->settings_.logLevel_, loaded->settings_.instance_.value_);
    raiseFileLimit();
    google::protobuf::SetLogHandler(nullptr); // Malformed messages are counted, not logged one by one.
    // Signals are taken by one thread, which posts them; no code runs in a signal handler.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    unsetenv("http_proxy"); // libwebsockets would open connections to endpoints through it.
    ServeTask task(loaded->settings_, loaded->tree_, newIncarnation());
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
        return ExitUsage;
    std::atomic<bool> ended { false };
    std::thread signalThread([&] {
        while (!ended) {
            int signal = 0;
            if (sigwait(&signals, &signal) == 0 && !ended)
                task.post(ShutdownSignal {});
        }
    });
    const int status = task.run();
    ended = true;
    pthread_kill(signalThread.native_handle(), SIGTERM);
    signalThread.join();
    return status == 0 ? ExitDone : ExitFailed;
}

} // namespace cassiahollow
