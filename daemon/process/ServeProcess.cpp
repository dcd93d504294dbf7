#include "process/ServeProcess.h"

#include <chrono>
#include <cstdlib>
#include <google/protobuf/stubs/logging.h>
#include <pthread.h>
#include <sys/resource.h>

namespace cassiahollow {

sigset_t prepareProcess()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    google::protobuf::SetLogHandler(nullptr); // Malformed messages are counted, not logged one by one.
    // Signals are taken by one thread, which posts them; no code runs in a signal handler.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    unsetenv("http_proxy"); // libwebsockets would open connections to endpoints through it.
    return signals;
}

Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace cassiahollow
