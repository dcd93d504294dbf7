#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace cassiahollow {

/// A bounded multi-producer queue: any thread can post messages to the single task that owns the mailbox.
/// The mailbox must outlive every thread that posts to it.
template <typename Message> class Mailbox {
public:
    /// \param capacity maximum number of queued messages.
    /// \param wake called after each post, on the posting thread; it must cause the owner to call take().
    Mailbox(std::size_t capacity, std::function<void()> wake)
        : capacity_(capacity)
        , wake_(std::move(wake))
    {
    }

    /// Adds a message. Drops it and returns false if the mailbox is full.
    bool post(Message message)
    {
        {
            std::lock_guard lock(mutex_);
            if (messages_.size() >= capacity_)
                return false;
            messages_.push_back(std::move(message));
        }
        wake_();
        return true;
    }

    /// Removes and returns all queued messages in the order of arrival. Does not wait for messages.
    std::deque<Message> take()
    {
        std::lock_guard lock(mutex_);
        return std::exchange(messages_, {});
    }

private:
    const std::size_t capacity_;
    const std::function<void()> wake_;
    std::mutex mutex_;
    std::deque<Message> messages_;
};

} // namespace cassiahollow
