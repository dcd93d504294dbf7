#include "process/Commands.h"
#include "process/Log.h"
#include "process/NodeSettings.h"
#include "process/ServeProcess.h"
#include "process/ServeTask.h"

#include <csignal>
#include <iostream>
#include <pthread.h>
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

} // namespace

int runCheck(const std::string& fileName)
{
    // A node's file has one of the two listeners that a process of the other kind does not know.
    const auto node = loadNodeSettings(fileName);
    if (!node.settings_.statements_.empty() || (!node.settings_.operators_.empty() && !node.settings_.seeds_.empty())) {
        std::cerr << describeErrors(fileName, node.errors_);
        if (!node.errors_.empty())
            return ExitUsage;
        std::cout << fileName << ": no errors\n";
        return ExitDone;
    }
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
    const auto signals = prepareProcess();
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
            if (sigwait(&signals, &signal) == 0 && signal != SIGHUP && !ended)
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
