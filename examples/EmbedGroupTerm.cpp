// Drives the rules of one endpoint group through a failover with hand-written events and prints the actions.
// A real program gets the events from its connections and carries the actions out; see docs/embedding.md.

#include "cassiahollow/cassiahollow.h"

#include <iostream>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

std::string_view orderName(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Fence:
        return "fence";
    case OrderKind::Promote:
        return "promote";
    case OrderKind::Follow:
        return "follow";
    }
    return "unknown";
}

void print(const OpenProbe& action)
{
    std::cout << "open probe " << action.probe_ << " to " << action.endpoint_ << '\n';
}

void print(const ReplaceWatch& action)
{
    std::cout << "use probe " << action.probe_ << " as the watch of " << action.endpoint_ << '\n';
}

void print(const CloseWatch& action)
{
    std::cout << "close the watch of " << action.endpoint_ << '\n';
}

void print(const SendVote& action)
{
    std::cout << "send vote: " << (action.vote_.suspects_ ? "suspects " : "trusts ") << action.vote_.endpoint_
              << " in term " << action.vote_.term_ << '\n';
}

void print(const SendOrder& action)
{
    std::cout << "send " << orderName(action.kind_) << " of term " << action.term_ << " to " << action.endpoint_
              << '\n';
}

void print(const PauseWrites&)
{
    std::cout << "pause writes\n";
}

void print(const ResumeWrites&)
{
    std::cout << "resume writes\n";
}

void print(const PublishRoute& action)
{
    std::cout << "publish route: " << action.primary_ << " in term " << action.term_ << '\n';
}

std::string_view phaseName(FailoverPhase phase)
{
    switch (phase) {
    case FailoverPhase::Detect:
        return "detect";
    case FailoverPhase::Decide:
        return "decide";
    case FailoverPhase::Fence:
        return "fence";
    case FailoverPhase::CatchUp:
        return "catch up";
    case FailoverPhase::Promote:
        return "promote";
    case FailoverPhase::Route:
        return "route";
    case FailoverPhase::Total:
        return "total";
    }
    return "unknown";
}

void print(const RecordPhase& action)
{
    std::cout << "record phase " << phaseName(action.phase_) << ": "
              << std::chrono::duration_cast<std::chrono::milliseconds>(action.duration_).count() << " ms\n";
}

void print(const LogChange& action)
{
    std::cout << "log: " << action.text_ << '\n';
}

/// The state of one watcher, and a clock that moves only by hand.
struct Example {
    GroupState state_ = makeGroupState(GroupId("returns-1"), InstanceId("instance-1"), "instance-1/1/1");
    TimePoint start_ { 1h };
    TimePoint now_ = start_;
    std::map<EndpointId, std::uint64_t> probes_ {};

    void feed(const GroupEvent& event)
    {
        for (const auto& action : step(state_, event, now_)) {
            if (const auto* probe = std::get_if<OpenProbe>(&action))
                probes_[probe->endpoint_] = probe->probe_;
            std::cout << std::chrono::duration_cast<std::chrono::milliseconds>(now_ - start_).count() << " ms: ";
            std::visit([](const auto& what) { print(what); }, action);
        }
    }

    /// Lets time pass while the given members report each 50 ms.
    void pass(Duration duration, const std::vector<MemberReport>& reports)
    {
        for (const TimePoint end = now_ + duration; now_ < end;) {
            now_ += 50ms;
            for (const auto& report : reports)
                feed(MemberReported { report });
            feed(GroupTick {});
        }
    }
};

} // namespace

int main()
{
    const EndpointId a("db-a");
    const EndpointId b("db-b");
    const EndpointId c("db-c");
    Example example;

    std::cout << "-- the group is configured; three members, three watchers in three data centres\n";
    example.feed(GroupConfigured { { { a, DataCentre("dc-a") }, { b, DataCentre("dc-b") }, { c, DataCentre("dc-c") } },
        { { InstanceId("instance-1"), DataCentre("dc-a") }, { InstanceId("instance-2"), DataCentre("dc-b") },
            { InstanceId("instance-3"), DataCentre("dc-c") } } });

    std::cout << "-- the members answer; db-a is primary of term 1\n";
    const MemberReport replicaB { b, EndpointRole::Replica, 1, { 1, 9 } };
    const MemberReport replicaC { c, EndpointRole::Replica, 1, { 1, 8 } };
    example.feed(ProbeResponded { example.probes_[a], { a, EndpointRole::Primary, 1, { 1, 9 } } });
    example.feed(ProbeResponded { example.probes_[b], replicaB });
    example.feed(ProbeResponded { example.probes_[c], replicaC });
    std::cout << "a write at 1:9 is " << (isConfirmed(example.state_, { 1, 9 }) ? "" : "not ") << "confirmed\n";

    std::cout << "-- db-a falls silent; the replicas report\n";
    example.pass(800ms, { replicaB, replicaC });

    std::cout << "-- another data centre suspects db-a too\n";
    example.feed(VoteReceived { { GroupId("returns-1"), InstanceId("instance-2"), a, 1, true, 1 } });

    std::cout << "-- a majority answers the fence\n";
    example.now_ += 2ms;
    example.feed(OrderResponded { OrderKind::Fence, 2, { b, EndpointRole::Replica, 2, { 1, 9 } } });
    example.feed(OrderResponded { OrderKind::Fence, 2, { c, EndpointRole::Replica, 2, { 1, 8 } } });

    std::cout << "-- db-b is promoted and db-c follows it\n";
    example.now_ += 2ms;
    example.feed(OrderResponded { OrderKind::Promote, 2, { b, EndpointRole::Primary, 2, { 2, 10 } } });
    example.now_ += 2ms;
    example.feed(OrderResponded { OrderKind::Follow, 2, { c, EndpointRole::Replica, 2, { 2, 10 } } });
    std::cout << "-- the write at 1:9 survives: the primary is "
              << primaryOf(example.state_).value_or(EndpointId("none")) << " in term " << termOf(example.state_)
              << '\n';
    return primaryOf(example.state_) == b && termOf(example.state_) == 2 ? 0 : 1;
}
