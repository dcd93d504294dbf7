#pragma once

#include "cassiahollow/version/ControlLog.h"
#include "process/ServeContext.h"
#include "version/ControlTask.h"

#include <functional>
#include <map>

namespace cassiahollow {

/// Sends requests of this instance to the control members: to the own control task if there is one, else to the
/// members in turn until one answers.
class ControlClient {
public:
    using Handler = std::function<void(ChangeOutcome)>;
    using Send = std::function<void(const InstanceId& member, std::string body)>;

    /// \param task the own control task, or null. Has to outlive the client.
    ControlClient(ServeContext&, ControlTask* task, Send);
    ControlClient(const ControlClient&) = delete;
    ControlClient& operator=(const ControlClient&) = delete;

    /// The handler is called exactly once, with Unknown if no decision arrived in time.
    void submit(ControlRequest, Handler);
    /// An answer of the own control task.
    void answeredLocally(std::uint64_t token, const ChangeOutcome&);
    /// An answer of another control member.
    void answeredRemotely(const ResponseMessage&);

private:
    struct Pending {
        ControlRequest request_;
        Handler handler_;
        TimePoint deadline_;
        std::size_t tries_ { 0 };
        std::size_t member_ { 0 }; ///< Index in control.members of the member that was asked last.
        EventLoop::TimerId timer_;
    };

    void sendNext(std::uint64_t number);
    void finish(std::uint64_t number, const ChangeOutcome&);

    ServeContext& context_;
    ControlTask* const task_;
    const Send send_;
    std::map<std::uint64_t, Pending> pending_;
    std::size_t preferred_ { 0 }; ///< Index of the member that answered last.
    std::uint64_t lastNumber_;
};

} // namespace cassiahollow
