#pragma once

#include "cassiahollow/process/Types.h"

#include <functional>
#include <libwebsockets.h>
#include <map>
#include <utility>

namespace cassiahollow {

/// The libwebsockets context of the serve task with its timers. All calls but wake() belong on the thread of run().
class EventLoop {
public:
    using Callback = std::function<void()>;
    using TimerId = std::pair<TimePoint, std::uint64_t>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    lws_context* context() const { return context_; }

    /// Calls back once at a time. The callback may schedule again.
    TimerId schedule(TimePoint, Callback);
    void cancel(const TimerId&);

    /// Sets what is called on the loop's thread after wake().
    void setWakeHandler(Callback handler) { wakeHandler_ = std::move(handler); }
    /// Makes the loop call the wake handler soon. Any thread, or none of them after the loop is destroyed.
    void wake();

    /// Runs until stop().
    void run();
    void stop() { stopped_ = true; }

private:
    struct Alarm {
        lws_sorted_usec_list_t list_;
        EventLoop* loop_;
    };

    static void alarmRang(lws_sorted_usec_list_t*);
    void runDueTimers();
    void armAlarm();

    lws_context* context_ { nullptr };
    std::map<TimerId, Callback> timers_;
    std::uint64_t nextTimer_ { 1 };
    Alarm alarm_ {};
    Callback wakeHandler_;
    bool stopped_ { false };
};

} // namespace cassiahollow
