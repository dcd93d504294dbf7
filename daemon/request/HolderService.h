#pragma once

#include "connection/HeldEndpoint.h"
#include "version/GroupWatch.h"

#include <list>

namespace cassiahollow {

/// Where the holder service finds what it works with; null if this instance does not have it.
struct HolderServiceHooks {
    std::function<HeldEndpoint*(const EndpointId&)> heldEndpoint_;
    std::function<GroupWatch*(const GroupId&)> groupWatch_;
};

/// Serves the requests that reach the holder of an endpoint: chooses where a read runs, holds writes during a change of
/// primary, runs both, and answers a write only after a majority of the group has confirmed it.
class HolderService {
public:
    HolderService(ServeContext&, HolderServiceHooks);
    HolderService(const HolderService&) = delete;
    HolderService& operator=(const HolderService&) = delete;

    /// Serves one request of an instance. The handler is called exactly once.
    void serve(ForwardRequest, const InstanceId& from, ReplyHandler);
    /// Looks again at what waits for the group: reads, writes and confirmations.
    void groupChanged(const GroupId&);
    /// Requests that wait here, outside of the endpoints' queues.
    std::size_t waiting() const;

private:
    enum class Stage : std::uint8_t { Read, Write, Confirmation };

    struct Pending {
        Stage stage_;
        ForwardRequest request_;
        InstanceId from_;
        ReplyHandler reply_;
        TimePoint arrived_;
        TimePoint deadline_;
        ForwardReply result_ {}; ///< Confirmation: the endpoint's answer.
        TimePoint answered_ {}; ///< Confirmation: when the endpoint answered.
        Term term_ { 0 }; ///< Confirmation: the term that the endpoint answered in.
        std::optional<EventLoop::TimerId> timer_ {};
    };
    using PendingList = std::list<Pending>;

    /// Tries to go on. Returns false if the request has to wait.
    bool advance(Pending&);
    bool advanceRead(Pending&);
    bool advanceWrite(Pending&);
    bool advanceConfirmation(Pending&);
    void admit(Pending);
    void wait(Pending, TimePoint until);
    void runRead(Pending&, LogPosition required);
    void runWrite(Pending&, Term);
    void confirm(Pending, Term, ForwardReply);
    void refuse(Pending&, Reason, std::string detail = {});
    void answer(Pending&, ForwardReply);
    LeaseOwner ownerOf(const Pending&) const;

    ServeContext& context_;
    const HolderServiceHooks hooks_;
    std::map<GroupId, PendingList> waiting_;
};

/// The number of the caller connection that a transaction id names; ids are "caller.sequence@instance".
std::uint64_t callerOfTransaction(const std::string& transaction);

} // namespace cassiahollow
