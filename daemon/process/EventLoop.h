#pragma once

#include "cassiahollow/process/Types.h"
#include "connection/ClientMemory.h"

#include <deque>
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

    /// A protocol of libwebsockets and the object that serves it. libwebsockets refers to it until the loop is gone,
    /// which may be after the owner; the owner clears owner_ at its end.
    struct ProtocolSlot {
        lws_protocols protocols_[2] {};
        void* owner_ { nullptr };
    };
    /// The user pointer of the protocol is the slot. Valid as long as the loop.
    ProtocolSlot& addProtocol(const char* name, lws_callback_function*, void* owner);
    /// The owner of the protocol of a socket, or null when it has gone.
    static void* ownerOf(lws*);

    /// What the clients of this process may hold.
    ClientMemory& memory() { return memory_; }

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

    ClientMemory memory_; // Connections are counted in it until the context is gone.
    std::deque<ProtocolSlot> protocols_;
    lws_context* context_ { nullptr };
    std::map<TimerId, Callback> timers_;
    std::uint64_t nextTimer_ { 1 };
    Alarm alarm_ {};
    Callback wakeHandler_;
    bool stopped_ { false };
};

} // namespace cassiahollow
