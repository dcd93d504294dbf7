#include "process/EventLoop.h"

#include <algorithm>
#include <cstddef>
#include <stdexcept>

namespace cassiahollow {

EventLoop::EventLoop()
{
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info {};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.pt_serv_buf_size = 64 * 1024;
    info.user = this;
    context_ = lws_create_context(&info);
    if (!context_)
        throw std::runtime_error("libwebsockets could not create a context; check the limit of open files");
    alarm_.loop_ = this;
}

EventLoop::~EventLoop()
{
    lws_sul_cancel(&alarm_.list_);
    lws_context_destroy(context_);
}

EventLoop::ProtocolSlot& EventLoop::addProtocol(const char* name, lws_callback_function* callback, void* owner)
{
    auto& slot = protocols_.emplace_back();
    slot.owner_ = owner;
    slot.protocols_[0].name = name;
    slot.protocols_[0].callback = callback;
    slot.protocols_[0].user = &slot;
    return slot;
}

void* EventLoop::ownerOf(lws* wsi)
{
    const lws_protocols* protocol = lws_get_protocol(wsi);
    const auto* slot = protocol ? static_cast<const ProtocolSlot*>(protocol->user) : nullptr;
    return slot ? slot->owner_ : nullptr;
}

EventLoop::TimerId EventLoop::schedule(TimePoint at, Callback callback)
{
    const TimerId id { at, nextTimer_++ };
    const bool first = timers_.empty() || id < timers_.begin()->first;
    timers_.emplace(id, std::move(callback));
    if (first)
        armAlarm();
    return id;
}

void EventLoop::cancel(const TimerId& id)
{
    timers_.erase(id);
}

void EventLoop::wake()
{
    lws_cancel_service(context_);
}

void EventLoop::armAlarm()
{
    if (timers_.empty()) {
        lws_sul_cancel(&alarm_.list_);
        return;
    }
    const auto delay = std::chrono::ceil<std::chrono::microseconds>(timers_.begin()->first.first - Clock::now());
    lws_sul_schedule(context_, 0, &alarm_.list_, &EventLoop::alarmRang, std::max<lws_usec_t>(delay.count(), 1));
}

void EventLoop::alarmRang(lws_sorted_usec_list_t* list)
{
    auto* alarm = reinterpret_cast<Alarm*>(reinterpret_cast<char*>(list) - offsetof(Alarm, list_));
    alarm->loop_->runDueTimers();
}

void EventLoop::runDueTimers()
{
    const TimePoint now = Clock::now();
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        auto node = timers_.extract(timers_.begin());
        node.mapped()();
    }
    armAlarm();
}

void EventLoop::run()
{
    while (!stopped_) {
        if (lws_service(context_, 0) < 0)
            break;
        if (wakeHandler_)
            wakeHandler_();
    }
}

} // namespace cassiahollow
