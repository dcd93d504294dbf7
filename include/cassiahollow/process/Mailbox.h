#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace cassiahollow {

/// A bounded queue through which any thread sends messages to the one task that owns it.
/// The mailbox has to outlive every thread that posts to it.
template <typename Message> class Mailbox {
public:
    /// \param capacity the number of messages that wait at most.
    /// \param wake called after a post, on the posting thread; has to make the owner call take() soon.
    Mailbox(std::size_t capacity, std::function<void()> wake)
        : capacity_(capacity)
        , wake_(std::move(wake))
    {
    }

    /// Adds a message. Returns false, and drops the message, when the mailbox is full.
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

    /// Removes and returns all waiting messages in the order of arrival. Does not block.
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
