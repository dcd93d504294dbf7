// Fault matrix of the request paths: two instances with the real decision modules, three fake endpoints, three callers.
// Each message is a step; each fault is injected at each step of a run without faults, once, twice and in pairs.

#include "cassiahollow/connection/ConnectionPool.h"
#include "cassiahollow/request/ReadRouting.h"
#include "cassiahollow/request/SessionToken.h"
#include "cassiahollow/request/WriteAttempt.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

enum class Fault {
    Lose,
    Repeat,
    Delay,
    Reorder,
    Crash,
    Restart,
    SilentConnection,
    CutOneWay,
    CutTwoWay,
    Freeze,
    Count
};

struct Injection {
    std::size_t step_;
    Fault fault_;
};

// The right rules, or one wrong rule that the checks have to detect.
enum class Rule {
    Right,
    ReadAnyReplica,
    ForgetToken,
    ResendWithoutKey,
    LostMeansNotRun,
    AcknowledgeUnconfirmed,
    KeepSilentConnection,
    ReturnUnfinished
};

enum class Do { Write, Read, Begin, Run, Commit, Abandon };

struct Operation {
    Do do_;
    int via_; // 0 or 1: the instance.
};

using Script = std::vector<Operation>;
using Scripts = std::array<Script, 3>;

struct Entry {
    Term term_;
    std::string key_;
    std::vector<int> ids_;
};
using Log = std::vector<Entry>;

constexpr int endpointCount = 3;
constexpr int instanceCount = 2;
constexpr int callerCount = 3;
constexpr int nodeCount = endpointCount + instanceCount + callerCount;
constexpr int instanceNode(int instance)
{
    return endpointCount + instance;
}
constexpr int callerNode(int caller)
{
    return endpointCount + instanceCount + caller;
}

const ServiceId service("s");
const GroupId group("g");
const SessionKeys keys { { 1, "a key for the matrix test" } };
const TimePoint start = TimePoint() + 1h;

EndpointId endpointName(int endpoint)
{
    return EndpointId(std::string(1, static_cast<char>('a' + endpoint)));
}

// A request of the endpoint protocol.
struct Order {
    enum class Op { Run, Read, Lookup, Begin, RunInside, Commit };
    Op op_ { Op::Run };
    Term term_ { 0 };
    std::string key_;
    int id_ { 0 }; // What a write appends; a read gets it back as an echo.
    int caller_ { 0 };
};

struct Reply {
    bool done_ { false };
    bool present_ { false };
    Term promised_ { 0 };
    LogPosition position_;
    int echo_ { 0 };
    std::shared_ptr<const Log> seen_;
};

struct Connection {
    int instance_;
    int endpoint_;
    ConnectionNumber number_;
    bool silent_ { false };
    bool closed_ { false };
    std::uint64_t sent_ { 0 }; // Exchange numbers.
    std::uint64_t received_ { 0 };
    bool transaction_ { false };
    int owner_ { 0 };
    std::vector<int> ids_;
};

struct Endpoint {
    Log log_;
    Term promised_ { 0 };
    Term primaryOf_ { 0 }; // The term of which it is primary; 0 for a replica.

    LogPosition last() const { return log_.empty() ? LogPosition {} : LogPosition { log_.back().term_, log_.size() }; }
};

struct Request {
    Do do_ { Do::Write };
    int number_ { 0 };
    int caller_ { 0 };
    int id_ { 0 };
    std::string key_;
    std::string token_;
};

struct Pending {
    Request request_;
    std::uint64_t attempt_ { 0 };
    bool lookup_ { false };
    ConnectionLease lease_;
    std::uint64_t exchange_ { 0 };
    TimePoint timeout_;
    LogPosition required_;
};

struct WriteJob {
    Request request_;
    WriteState state_;
    SessionState session_;
    TimePoint timer_;
    int echo_ { 0 };
};

struct ReadJob {
    Request request_;
    SessionState session_;
    ReadRequirements need_;
    bool running_ { false };
};

struct Transaction {
    int endpoint_ { 0 };
    int connection_ { 0 };
    Term term_ { 0 };
    ConnectionLease lease_;
};

struct Instance {
    GroupView view_;
    std::array<ConnectionPool, endpointCount> pools_;
    std::array<std::map<ConnectionNumber, int>, endpointCount> connections_;
    std::array<std::vector<std::pair<Pending, Order>>, endpointCount> waiting_;
    std::map<int, Pending> pending_; // By connection.
    std::map<int, WriteJob> writes_; // By request number.
    std::map<int, ReadJob> reads_;
    std::map<int, Transaction> transactions_; // By caller.
    RetryBudget budget_;
    std::set<int> seen_; // Request numbers, so that a repeated message has no effect.
};

struct Answer {
    int number_ { 0 };
    Outcome outcome_ { Outcome::NotRun };
    std::string token_;
    int echo_ { 0 };
    std::shared_ptr<const Log> seen_;
};

struct Caller {
    Script script_;
    std::size_t at_ { 0 };
    Request current_;
    int tries_ { 0 };
    std::string token_;
    std::set<int> acknowledged_;
    std::vector<int> insideTransaction_;
};

// What happened to the requests with one key.
struct KeyHistory {
    std::vector<int> ids_;
    bool done_ { false };
    bool notRunOnly_ { true };
};

struct Path {
    const char* name_;
    Scripts scripts_;
    bool keysStored_ { true }; // False: the setting `keys: none`, and callers that do not resend.
};

class World {
public:
    World(const Path& path, std::vector<Injection> injections, Rule rule)
        : injections_(std::move(injections))
        , rule_(rule)
        , keysStored_(path.keysStored_)
    {
        for (auto& endpoint : endpoints_) {
            endpoint.promised_ = 1;
            endpoint.log_.push_back({ 1, "", {} });
        }
        endpoints_[0].primaryOf_ = 1;
        for (int i = 0; i < instanceCount; ++i)
            resetInstance(i);
        for (int c = 0; c < callerCount; ++c)
            callers_[c].script_ = path.scripts_[c];
    }

    // Runs to the end and returns the names of the violated guarantees.
    std::set<std::string> run()
    {
        for (int e = 0; e < endpointCount; ++e)
            endpointTimer(e);
        for (int i = 0; i < instanceCount; ++i)
            instanceTimer(i);
        at(60ms, [this] {
            for (int c = 0; c < callerCount; ++c)
                nextOperation(c);
        });
        constexpr Duration settle = 400ms; // After the faults: late messages arrive and the replicas catch up.
        std::optional<TimePoint> end;
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            now_ = event->at_;
            if (!end && now_ > start + 40s)
                violations_.insert("callers without an answer");
            const auto isOver = !end
                && (now_ > start + 40s || std::all_of(callers_.begin(), callers_.end(), [](const Caller& caller) {
                       return caller.at_ >= caller.script_.size();
                   }));
            if (isOver) {
                end = std::max(now_, faultsEnd_) + settle;
                countsSteps_ = false;
            }
            if (end && now_ > *end)
                break;
            event->run_();
        }
        checkLog();
        return violations_;
    }

    std::size_t steps() const { return steps_; }

private:
    struct Event {
        TimePoint at_;
        std::uint64_t number_;
        std::function<void()> run_;
    };

    struct Later {
        bool operator()(const std::shared_ptr<const Event>& a, const std::shared_ptr<const Event>& b) const
        {
            return std::tie(a->at_, a->number_) > std::tie(b->at_, b->number_);
        }
    };

    void at(Duration delay, std::function<void()> run)
    {
        events_.push(std::make_shared<const Event>(Event { now_ + delay, ++eventNumber_, std::move(run) }));
    }

    // --- Messages and faults ---

    void send(int from, int to, int connection, Duration delay, std::function<void()> deliver)
    {
        bool repeat = false;
        if (countsSteps_) {
            const auto step = steps_++;
            for (const auto& injection : injections_) {
                if (injection.step_ != step)
                    continue;
                faultsEnd_ = now_ + 1200ms; // The longest fault.
                switch (injection.fault_) {
                case Fault::Lose:
                    return;
                case Fault::Repeat:
                    repeat = true;
                    break;
                case Fault::Delay:
                    delay += 600ms;
                    break;
                case Fault::Reorder:
                    delay += 7ms;
                    break;
                case Fault::Crash:
                    crash(to, 800ms);
                    return;
                case Fault::Restart:
                    crash(to, 20ms);
                    return;
                case Fault::SilentConnection:
                    if (connection >= 0)
                        connections_[connection].silent_ = true;
                    else
                        cutUntil_[from][to] = now_ + 500ms; // Until the watcher has opened a new one.
                    break;
                case Fault::CutTwoWay:
                    cutUntil_[to][from] = now_ + 1200ms;
                    [[fallthrough]];
                case Fault::CutOneWay:
                    cutUntil_[from][to] = now_ + 1200ms;
                    break;
                case Fault::Freeze:
                    frozenUntil_[to] = now_ + 1000ms;
                    break;
                case Fault::Count:
                    break;
                }
            }
        }
        if (now_ < cutUntil_[from][to])
            return;
        const auto epoch = epochs_[to];
        const auto message = std::make_shared<const std::function<void()>>(std::move(deliver));
        const auto arrive = [=, this] { arriveAt(from, to, connection, epoch, message); };
        at(delay, arrive);
        if (repeat)
            at(delay + 5ms, arrive);
    }

    using Message = std::shared_ptr<const std::function<void()>>;

    void arriveAt(int from, int to, int connection, int epoch, const Message& message)
    {
        if (now_ < cutUntil_[from][to] || !alive_[to])
            return;
        if (now_ < frozenUntil_[to]) {
            at(frozenUntil_[to] - now_, [=, this] { arriveAt(from, to, connection, epoch, message); });
            return;
        }
        if (connection >= 0 && (connections_[connection].silent_ || epochs_[to] != epoch))
            return;
        (*message)();
    }

    void crash(int node, Duration down)
    {
        if (node >= callerNode(0) || !alive_[node])
            return; // A caller that crashes is one that never sees its answer.
        alive_[node] = false;
        ++epochs_[node];
        for (std::size_t i = 0; i < connections_.size(); ++i) {
            auto& connection = connections_[i];
            if (connection.endpoint_ == node) {
                connection.closed_ = true;
                connection.transaction_ = false;
                const auto index = static_cast<int>(i);
                at(1ms, [=, this] { loseConnection(connections_[index].instance_, index); });
            } else if (instanceNode(connection.instance_) == node && !connection.closed_) {
                connection.closed_ = true;
                connection.transaction_ = false;
            }
        }
        if (node >= instanceNode(0)) {
            resetInstance(node - instanceNode(0));
            for (int c = 0; c < callerCount; ++c) {
                const auto number = callers_[c].current_.number_;
                at(2ms, [=, this] { giveUp(c, number); });
            }
        }
        at(down, [=, this] { alive_[node] = true; });
    }

    // --- Endpoints ---

    void endpointTimer(int e)
    {
        at(50ms, [=, this] { endpointTimer(e); });
        if (!alive_[e] || now_ < frozenUntil_[e])
            return;
        replicate(e);
        report(e);
    }

    void report(int e)
    {
        const PositionReport message { endpointName(e), endpoints_[e].last(), endpoints_[e].promised_, false, {} };
        for (int i = 0; i < instanceCount; ++i) {
            send(e, instanceNode(i), -1, 1ms, [=, this] {
                auto& instance = instances_[i];
                applyReport(instance.view_, message, now_);
                confirm(i);
                chooseReads(i);
            });
        }
    }

    void replicate(int e)
    {
        const auto& endpoint = endpoints_[e];
        if (endpoint.primaryOf_ == 0 || endpoint.promised_ > endpoint.primaryOf_)
            return;
        const auto term = endpoint.primaryOf_;
        const auto copy = std::make_shared<const Log>(endpoint.log_);
        for (int other = 0; other < endpointCount; ++other) {
            if (other == e)
                continue;
            // One replica lags more than the other.
            send(e, other, -1, other == 2 ? 14ms : 3ms, [=, this] {
                auto& replica = endpoints_[other];
                const auto last = copy->empty() ? LogPosition {} : LogPosition { copy->back().term_, copy->size() };
                if (replica.promised_ > term || replica.primaryOf_ == term || last < replica.last())
                    return;
                const auto changed = last != replica.last();
                replica.promised_ = term;
                replica.primaryOf_ = 0;
                replica.log_ = *copy;
                if (changed)
                    report(other);
            });
        }
    }

    Reply execute(int e, Connection& connection, const Order& order)
    {
        auto& endpoint = endpoints_[e];
        Reply reply;
        reply.promised_ = endpoint.promised_;
        reply.echo_ = order.id_;
        if (order.op_ != Order::Op::RunInside && order.op_ != Order::Op::Commit && connection.transaction_) {
            if (connection.owner_ != order.caller_)
                violations_.insert("unfinished connection reused");
            connection.transaction_ = false;
        }
        const auto stored = std::find_if(endpoint.log_.begin(), endpoint.log_.end(),
            [&](const Entry& entry) { return !order.key_.empty() && entry.key_ == order.key_; });
        const auto storedPosition = [&] {
            return LogPosition { stored->term_, static_cast<std::uint64_t>(stored - endpoint.log_.begin()) + 1 };
        };
        if (order.op_ == Order::Op::Read || order.op_ == Order::Op::Lookup) {
            reply.done_ = true;
            reply.position_ = endpoint.last();
            if (order.op_ == Order::Op::Read)
                reply.seen_ = std::make_shared<const Log>(endpoint.log_);
            else if (stored != endpoint.log_.end()) {
                reply.present_ = true;
                reply.position_ = storedPosition();
                reply.echo_ = stored->ids_.back();
            } else {
                reply.position_ = {};
            }
            return reply;
        }
        if (endpoint.primaryOf_ != order.term_ || endpoint.promised_ != order.term_)
            return reply;
        const auto insideMissing
            = !connection.transaction_ && (order.op_ == Order::Op::RunInside || order.op_ == Order::Op::Commit);
        if (insideMissing)
            return reply;
        reply.done_ = true;
        switch (order.op_) {
        case Order::Op::Begin:
            connection.transaction_ = true;
            connection.owner_ = order.caller_;
            connection.ids_.clear();
            break;
        case Order::Op::RunInside:
            connection.ids_.push_back(order.id_);
            break;
        default:
            if (order.op_ == Order::Op::Commit)
                connection.transaction_ = false;
            if (stored != endpoint.log_.end()) {
                reply.position_ = storedPosition();
                reply.echo_ = stored->ids_.back();
                break;
            }
            const auto ids = order.op_ == Order::Op::Commit ? connection.ids_ : std::vector<int> { order.id_ };
            endpoint.log_.push_back({ order.term_, order.key_, ids });
            if (order.op_ == Order::Op::Commit && !ids.empty())
                reply.echo_ = ids.back();
            reply.position_ = endpoint.last();
            replicate(e);
            report(e);
        }
        return reply;
    }

    // --- Connections of an instance ---

    void resetInstance(int i)
    {
        auto& instance = instances_[i];
        instance = Instance();
        instance.view_.group_ = group;
        for (int e = 0; e < endpointCount; ++e) {
            instance.view_.members_.push_back({ endpointName(e) });
            auto& pool = instance.pools_[e];
            pool.settings_.connectionLimit_ = 8;
            pool.settings_.connectTimeout_ = 200ms;
            pool.settings_.warmConnections_ = 0;
            pool.holderSince_ = start - 1h;
        }
        instance.budget_.updated_ = now_;
        if (route_.term_ == 1)
            setRoute(instance.view_, endpointName(0), 1);
    }

    void apply(int i, int e, const PoolActions& actions)
    {
        auto& instance = instances_[i];
        for (const auto& action : actions) {
            if (action.kind_ == PoolAction::Kind::Open) {
                const auto index = static_cast<int>(connections_.size());
                connections_.push_back({ i, e, action.connection_ });
                instance.connections_[e][action.connection_] = index;
                send(instanceNode(i), e, index, 2ms, [=, this] {
                    send(e, instanceNode(i), index, 1ms, [=, this] {
                        if (connections_[index].closed_)
                            return;
                        apply(i, e, connected(instances_[i].pools_[e], connections_[index].number_, now_));
                        startWaiting(i, e);
                    });
                });
                continue;
            }
            const auto known = instance.connections_[e].find(action.connection_);
            if (known == instance.connections_[e].end())
                continue;
            const auto index = known->second;
            instance.connections_[e].erase(known);
            closeSocket(i, index);
            failPending(i, index);
        }
    }

    // The endpoint learns of the close only if the connection still carries messages.
    void closeSocket(int i, int index)
    {
        connections_[index].closed_ = true;
        const auto e = connections_[index].endpoint_;
        send(instanceNode(i), e, index, 1ms, [=, this] { connections_[index].transaction_ = false; });
    }

    void loseConnection(int i, int index)
    {
        auto& instance = instances_[i];
        const auto& connection = connections_[index];
        const auto known = instance.connections_[connection.endpoint_].find(connection.number_);
        if (!alive_[instanceNode(i)] || known == instance.connections_[connection.endpoint_].end()
            || known->second != index)
            return;
        const auto e = connection.endpoint_;
        apply(i, e, connectionLost(instance.pools_[e], connection.number_, now_));
        startWaiting(i, e);
    }

    void submit(int i, int e, Pending pending, Order order)
    {
        auto& instance = instances_[i];
        instance.waiting_[e].push_back({ std::move(pending), std::move(order) });
        startWaiting(i, e);
    }

    void startWaiting(int i, int e)
    {
        auto& instance = instances_[i];
        auto& pool = instance.pools_[e];
        while (!instance.waiting_[e].empty()) {
            auto [pending, order] = instance.waiting_[e].front();
            const auto write = instance.writes_.find(pending.request_.number_);
            const auto isWrite = pending.request_.do_ == Do::Write || pending.request_.do_ == Do::Commit;
            if (isWrite && (write == instance.writes_.end() || !maySend(write->second.state_, pending.attempt_))) {
                instance.waiting_[e].erase(instance.waiting_[e].begin());
                continue;
            }
            const auto lease = cassiahollow::lease(pool, ownerOf(i, pending.request_.caller_), now_);
            if (!lease)
                break;
            instance.waiting_[e].erase(instance.waiting_[e].begin());
            pending.lease_ = *lease;
            exchange(i, e, instance.connections_[e].at(lease->connection_), pending, order);
        }
        apply(i, e, setWaitingRequests(pool, instance.waiting_[e].size(), now_));
    }

    static LeaseOwner ownerOf(int i, int caller)
    {
        return { InstanceId(std::to_string(i)), static_cast<std::uint64_t>(caller) };
    }

    void exchange(int i, int e, int index, Pending pending, const Order& order)
    {
        auto& instance = instances_[i];
        const auto opens
            = order.op_ == Order::Op::Begin || order.op_ == Order::Op::RunInside || order.op_ == Order::Op::Commit;
        if (!statementStarted(instance.pools_[e], pending.lease_, opens, now_)) {
            lost(i, pending, true);
            return;
        }
        if (pending.attempt_ != 0)
            step(i, pending.request_.number_, WriteSent { pending.attempt_ });
        const auto number = ++connections_[index].sent_;
        pending.exchange_ = number;
        pending.timeout_ = now_ + 200ms;
        instance.pending_[index] = pending;
        send(instanceNode(i), e, index, 1ms, [=, this] {
            auto& connection = connections_[index];
            if (number <= connection.received_)
                return; // A stream delivers each message once.
            connection.received_ = number;
            const auto reply = execute(e, connection, order);
            send(e, instanceNode(i), index, 1ms, [=, this] { receive(i, e, index, number, reply); });
        });
    }

    void receive(int i, int e, int index, std::uint64_t number, const Reply& reply)
    {
        auto& instance = instances_[i];
        if (connections_[index].closed_)
            return;
        const auto found = instance.pending_.find(index);
        if (found == instance.pending_.end()
            || (found->second.exchange_ != number && rule_ != Rule::KeepSilentConnection)) {
            if (rule_ != Rule::KeepSilentConnection)
                loseConnection(i, index);
            return;
        }
        const auto pending = found->second;
        instance.pending_.erase(found);
        const auto what = pending.request_.do_;
        // A commit or a statement that was refused leaves its transaction unfinished.
        const auto open = what == Do::Run || (what == Do::Begin && reply.done_)
            || (what == Do::Commit && !pending.lookup_ && !reply.done_);
        const auto keeps = (what == Do::Begin || what == Do::Run) && reply.done_;
        auto& pool = instance.pools_[e];
        statementFinished(pool, pending.lease_, open && rule_ != Rule::ReturnUnfinished, now_);
        if (!keeps)
            apply(i, e, returnConnection(pool, pending.lease_, now_));
        handle(i, e, index, pending, reply);
        startWaiting(i, e);
    }

    void failPending(int i, int index)
    {
        auto& instance = instances_[i];
        const auto found = instance.pending_.find(index);
        if (found == instance.pending_.end())
            return;
        const auto pending = found->second;
        instance.pending_.erase(found);
        lost(i, pending, false);
    }

    // --- Requests at an instance ---

    void handle(int i, int e, int index, const Pending& pending, const Reply& reply)
    {
        auto& instance = instances_[i];
        const auto& request = pending.request_;
        switch (request.do_) {
        case Do::Write:
        case Do::Commit: {
            const auto job = instance.writes_.find(request.number_);
            if (job == instance.writes_.end())
                return;
            if (reply.done_)
                job->second.echo_ = reply.echo_;
            if (!reply.done_)
                step(i, request.number_, WriteNotRun { pending.attempt_, Reason::StaleTerm, reply.promised_ });
            else if (pending.lookup_)
                step(i, request.number_, WriteLookedUp { pending.attempt_, reply.present_, reply.position_ });
            else {
                if (rule_ == Rule::AcknowledgeUnconfirmed)
                    job->second.state_.confirmed_[reply.position_.term_] = reply.position_.index_;
                step(i, request.number_, WriteResponded { pending.attempt_, reply.position_ });
            }
            return;
        }
        case Do::Read: {
            const auto job = instance.reads_.find(request.number_);
            if (job == instance.reads_.end())
                return;
            job->second.running_ = false;
            if (rule_ != Rule::ReadAnyReplica && checkReadResponse(pending.required_, reply.position_)) {
                job->second.need_.primaryOnly_ = true;
                chooseReads(i);
                return;
            }
            recordRead(job->second.session_, group, reply.position_);
            answer(i, request,
                { request.number_, Outcome::Done, encodeSessionToken(job->second.session_, keys).value(), reply.echo_,
                    reply.seen_ });
            instance.reads_.erase(request.number_);
            return;
        }
        case Do::Begin:
            if (reply.done_)
                instance.transactions_[request.caller_] = { e, index, routeTerm(i), pending.lease_ };
            [[fallthrough]];
        default:
            if (!reply.done_)
                instance.transactions_.erase(request.caller_);
            answer(i, request,
                { request.number_, reply.done_ ? Outcome::Done : Outcome::NotRun, request.token_, reply.echo_, {} });
        }
    }

    Term routeTerm(int i) const { return instances_[i].view_.term_; }

    void lost(int i, const Pending& pending, bool unsent)
    {
        auto& instance = instances_[i];
        const auto& request = pending.request_;
        if (request.do_ == Do::Write || request.do_ == Do::Commit) {
            const auto wrong = rule_ == Rule::LostMeansNotRun;
            step(i, request.number_, WriteConnectionLost { pending.attempt_, unsent || wrong });
        } else if (request.do_ == Do::Read) {
            if (const auto job = instance.reads_.find(request.number_); job != instance.reads_.end())
                job->second.running_ = false;
            chooseReads(i);
        } else {
            instance.transactions_.erase(request.caller_);
            answer(i, request, { request.number_, Outcome::NotRun, request.token_, request.id_, {} });
        }
    }

    void step(int i, int number, const WriteEvent& event)
    {
        auto& instance = instances_[i];
        const auto found = instance.writes_.find(number);
        if (found == instance.writes_.end())
            return;
        auto& job = found->second;
        const auto action = stepWrite(job.state_, event, instance.budget_, now_);
        if (const auto* run = std::get_if<WriteRunAt>(&action)) {
            const auto e = run->endpoint_.value_[0] - 'a';
            Order order { run->lookup_ ? Order::Op::Lookup : Order::Op::Run, run->term_, run->key_, job.request_.id_,
                job.request_.caller_ };
            if (rule_ == Rule::ResendWithoutKey && run->attempt_ > 1)
                order.key_.clear();
            Pending pending { job.request_, run->attempt_, run->lookup_ };
            const auto transaction = instance.transactions_.find(job.request_.caller_);
            if (job.request_.do_ == Do::Commit && !run->lookup_) {
                order.op_ = Order::Op::Commit;
                if (transaction == instance.transactions_.end()) {
                    step(i, number, WriteNotRun { run->attempt_, Reason::TransactionUnknown });
                    return;
                }
                pending.lease_ = transaction->second.lease_;
                const auto index = transaction->second.connection_;
                instance.transactions_.erase(transaction);
                exchange(i, e, index, pending, order);
                return;
            }
            submit(i, e, pending, order);
        } else if (const auto* wait = std::get_if<WriteWait>(&action)) {
            job.timer_ = wait->until_;
        } else {
            const auto& result = std::get<WriteResponse>(action);
            auto session = job.session_;
            if (result.outcome_ == Outcome::Done)
                recordWrite(session, group, result.position_);
            const auto request = job.request_;
            const auto echo = result.outcome_ == Outcome::Done ? job.echo_ : request.id_;
            instance.writes_.erase(found);
            answer(
                i, request, { request.number_, result.outcome_, encodeSessionToken(session, keys).value(), echo, {} });
        }
    }

    void confirm(int i)
    {
        auto& instance = instances_[i];
        std::vector<std::uint64_t> held;
        for (const auto& member : instance.view_.members_) {
            if (member.position_.term_ == instance.view_.term_)
                held.push_back(member.position_.index_);
        }
        if (held.size() < 2)
            return;
        std::sort(held.begin(), held.end(), std::greater<>());
        stepAll(i, WriteConfirmed { { instance.view_.term_, held[1] } });
    }

    void stepAll(int i, const WriteEvent& event)
    {
        std::vector<int> numbers;
        for (const auto& [number, job] : instances_[i].writes_)
            numbers.push_back(number);
        for (const auto number : numbers)
            step(i, number, event);
    }

    void chooseReads(int i)
    {
        auto& instance = instances_[i];
        std::vector<int> numbers;
        for (const auto& [number, job] : instance.reads_) {
            if (!job.running_)
                numbers.push_back(number);
        }
        for (const auto number : numbers) {
            auto& job = instance.reads_.at(number);
            auto need = job.need_;
            if (rule_ == Rule::ReadAnyReplica)
                need.position_ = {};
            const auto choice = chooseRead(instance.view_, need, now_);
            if (const auto* place = std::get_if<ReadAt>(&choice)) {
                job.running_ = true;
                Pending pending { job.request_ };
                pending.required_ = place->required_;
                submit(i, place->endpoint_.value_[0] - 'a', pending,
                    { Order::Op::Read, 0, "", job.request_.id_, job.request_.caller_ });
            } else if (std::holds_alternative<ReadRefused>(choice)) {
                const auto request = job.request_;
                instance.reads_.erase(number);
                answer(i, request, { number, Outcome::NotRun, request.token_, request.id_, {} });
            }
        }
    }

    void accept(int i, const Request& request)
    {
        auto& instance = instances_[i];
        if (!instance.seen_.insert(request.number_).second)
            return;
        SessionState session { service, {} };
        if (!request.token_.empty() && rule_ != Rule::ForgetToken)
            session = decodeSessionToken(request.token_, keys, service).value();
        const auto deadline = now_ + 1200ms;
        switch (request.do_) {
        case Do::Write:
        case Do::Commit: {
            const auto isCommit = request.do_ == Do::Commit;
            const auto transaction = instance.transactions_.find(request.caller_);
            auto state = startWrite({ callerWriteKey(service, request.key_),
                isCommit ? WriteKind::Commit : WriteKind::Statements, keysStored_, deadline });
            instance.writes_[request.number_] = { request, std::move(state), session, deadline };
            if (isCommit && transaction == instance.transactions_.end())
                step(i, request.number_, WriteRefused { Reason::TransactionUnknown });
            else if (isCommit)
                step(i, request.number_,
                    WriteRouteChanged { { endpointName(transaction->second.endpoint_), transaction->second.term_ } });
            if (instance.view_.primary_)
                step(i, request.number_, WriteRouteChanged { { *instance.view_.primary_, instance.view_.term_ } });
            else
                step(i, request.number_, WriteTimer {});
            return;
        }
        case Do::Read:
            instance.reads_[request.number_] = { request, session,
                { requiredPosition(session, group), {}, now_, deadline, false,
                    static_cast<std::uint64_t>(request.number_) } };
            chooseReads(i);
            return;
        case Do::Begin:
            if (!instance.view_.primary_) {
                answer(i, request, { request.number_, Outcome::NotRun, request.token_, request.id_, {} });
                return;
            }
            submit(i, instance.view_.primary_->value_[0] - 'a', { request },
                { Order::Op::Begin, instance.view_.term_, "", request.id_, request.caller_ });
            return;
        case Do::Run: {
            const auto transaction = instance.transactions_.find(request.caller_);
            if (transaction == instance.transactions_.end()) {
                answer(i, request, { request.number_, Outcome::NotRun, request.token_, request.id_, {} });
                return;
            }
            Pending pending { request };
            pending.lease_ = transaction->second.lease_;
            exchange(i, transaction->second.endpoint_, transaction->second.connection_, pending,
                { Order::Op::RunInside, transaction->second.term_, "", request.id_, request.caller_ });
            return;
        }
        case Do::Abandon: {
            // The caller's connection has ended in the middle of its transaction.
            const auto transaction = instance.transactions_.find(request.caller_);
            if (transaction != instance.transactions_.end()) {
                const auto ended = transaction->second;
                instance.transactions_.erase(transaction);
                auto& pool = instance.pools_[ended.endpoint_];
                if (rule_ == Rule::ReturnUnfinished)
                    apply(i, ended.endpoint_, returnConnection(pool, ended.lease_, now_));
                apply(i, ended.endpoint_, closeOwner(pool, ownerOf(i, request.caller_), now_));
                startWaiting(i, ended.endpoint_);
            }
            answer(i, request, { request.number_, Outcome::Done, request.token_, request.id_, {} });
        }
        }
    }

    void answer(int i, const Request& request, const Answer& message)
    {
        const auto caller = request.caller_;
        send(instanceNode(i), callerNode(caller), -1, 1ms, [=, this] { receiveAnswer(caller, message); });
    }

    void instanceTimer(int i)
    {
        at(20ms, [=, this] { instanceTimer(i); });
        if (!alive_[instanceNode(i)] || now_ < frozenUntil_[instanceNode(i)])
            return;
        auto& instance = instances_[i];
        std::vector<int> silent;
        for (const auto& [index, pending] : instance.pending_) {
            if (now_ >= pending.timeout_)
                silent.push_back(index);
        }
        for (const auto index : silent) {
            const auto found = instance.pending_.find(index);
            if (found == instance.pending_.end())
                continue;
            if (rule_ == Rule::KeepSilentConnection) {
                const auto pending = found->second;
                const auto e = connections_[index].endpoint_;
                instance.pending_.erase(found);
                statementFinished(instance.pools_[e], pending.lease_, false, now_);
                apply(i, e, returnConnection(instance.pools_[e], pending.lease_, now_));
                lost(i, pending, false);
            } else {
                loseConnection(i, index);
            }
        }
        for (int e = 0; e < endpointCount; ++e) {
            apply(i, e, poolTimer(instance.pools_[e], now_));
            startWaiting(i, e);
        }
        std::vector<int> due;
        for (const auto& [number, job] : instance.writes_) {
            if (now_ >= job.timer_)
                due.push_back(number);
        }
        for (const auto number : due)
            step(i, number, WriteTimer {});
        chooseReads(i);
        watch(i);
    }

    // --- Group: a small stand-in for detection, promotion and the spread of routes ---

    void watch(int i)
    {
        auto& instance = instances_[i];
        const auto other = 1 - i;
        if (instance.view_.primary_) {
            const WriteRoute known { *instance.view_.primary_, instance.view_.term_ };
            if ((++watchTicks_ % 5) == 0)
                send(instanceNode(i), instanceNode(other), -1, 1ms, [=, this] { learnRoute(other, known); });
        }
        const auto primary = instance.view_.primary_ ? instance.view_.primary_->value_[0] - 'a' : 0;
        const auto heard = instance.view_.members_[primary].reportedAt_.value_or(start);
        const auto patience = 400ms + i * 200ms;
        if (now_ - heard < patience || now_ - promotedAt_ < 500ms)
            return;
        Term term = 0;
        std::vector<int> reachable;
        for (int e = 0; e < endpointCount; ++e) {
            if (!alive_[e] || now_ < frozenUntil_[e] || now_ < cutUntil_[instanceNode(i)][e]
                || now_ < cutUntil_[e][instanceNode(i)])
                continue;
            reachable.push_back(e);
            term = std::max(term, endpoints_[e].promised_ + 1);
        }
        if (reachable.size() < 2)
            return;
        promotedAt_ = now_;
        auto chosen = reachable.front();
        for (const auto e : reachable) {
            endpoints_[e].promised_ = term;
            endpoints_[e].primaryOf_ = 0;
            if (endpoints_[e].last() > endpoints_[chosen].last())
                chosen = e;
        }
        endpoints_[chosen].primaryOf_ = term;
        endpoints_[chosen].log_.push_back({ term, "", {} });
        route_ = { endpointName(chosen), term };
        learnRoute(i, route_);
    }

    void learnRoute(int i, const WriteRoute& route)
    {
        auto& instance = instances_[i];
        if (instance.view_.primary_ && route.term_ <= instance.view_.term_)
            return;
        setRoute(instance.view_, route.primary_, route.term_);
        stepAll(i, WriteRouteChanged { route });
        chooseReads(i);
    }

    // --- Callers ---

    void nextOperation(int c)
    {
        auto& caller = callers_[c];
        if (caller.at_ >= caller.script_.size())
            return;
        caller.tries_ = 0;
        const auto id = ++lastId_;
        auto& request = caller.current_;
        request.do_ = caller.script_[caller.at_].do_;
        request.caller_ = c;
        request.id_ = id;
        request.key_ = "k" + std::to_string(id);
        if (request.do_ == Do::Write)
            histories_[request.key_].ids_ = { id };
        if (request.do_ == Do::Begin)
            caller.insideTransaction_.clear();
        if (request.do_ == Do::Run)
            caller.insideTransaction_.push_back(id);
        if (request.do_ == Do::Commit) {
            histories_[request.key_].ids_ = caller.insideTransaction_;
            if (!caller.insideTransaction_.empty())
                request.id_ = caller.insideTransaction_.back();
        }
        sendRequest(c);
    }

    void sendRequest(int c)
    {
        auto& caller = callers_[c];
        auto& request = caller.current_;
        request.number_ = ++lastRequest_;
        request.token_ = caller.token_;
        requestIds_[request.number_] = request.id_;
        const auto via = (caller.script_[caller.at_].via_ + caller.tries_) % instanceCount;
        const auto copy = request;
        send(callerNode(c), instanceNode(via), -1, 1ms, [=, this] { accept(via, copy); });
        at(1600ms, [=, this] { giveUp(c, copy.number_); });
    }

    // The answer has not come. What may be repeated goes to the other instance, with the same key.
    void giveUp(int c, int number)
    {
        auto& caller = callers_[c];
        if (number == 0 || caller.at_ >= caller.script_.size() || caller.current_.number_ != number)
            return;
        if (const auto history = histories_.find(caller.current_.key_); history != histories_.end())
            history->second.notRunOnly_ = false;
        const auto repeatable = (caller.current_.do_ == Do::Write && keysStored_) || caller.current_.do_ == Do::Read;
        if (repeatable && ++caller.tries_ < 4) {
            sendRequest(c);
            return;
        }
        if (isInTransaction(caller))
            abandonTransaction(c);
        else
            proceed(c);
    }

    static bool isInTransaction(const Caller& caller)
    {
        return caller.current_.do_ == Do::Begin || caller.current_.do_ == Do::Run;
    }

    // Without each answer the caller does not know what the transaction contains: it ends its connection to the
    // instance, and does not commit.
    void abandonTransaction(int c)
    {
        auto& caller = callers_[c];
        const auto via = caller.script_[caller.at_].via_;
        auto request = caller.current_;
        request.do_ = Do::Abandon;
        request.number_ = ++lastRequest_;
        requestIds_[request.number_] = request.id_;
        send(callerNode(c), instanceNode(via), -1, 1ms, [=, this] { accept(via, request); });
        while (caller.at_ + 1 < caller.script_.size() && caller.script_[caller.at_].do_ != Do::Commit
            && caller.script_[caller.at_].do_ != Do::Abandon)
            ++caller.at_;
        proceed(c);
    }

    void proceed(int c)
    {
        auto& caller = callers_[c];
        caller.current_.number_ = 0;
        ++caller.at_;
        at(1ms, [=, this] { nextOperation(c); });
    }

    void receiveAnswer(int c, const Answer& message)
    {
        auto& caller = callers_[c];
        if (message.echo_ != requestIds_[message.number_])
            violations_.insert("wrong answer");
        if (caller.at_ >= caller.script_.size() || caller.current_.number_ != message.number_)
            return;
        const auto history = histories_.find(caller.current_.key_);
        if (message.outcome_ == Outcome::Unknown) {
            giveUp(c, message.number_);
            return;
        }
        if (message.outcome_ == Outcome::NotRun && isInTransaction(caller)) {
            abandonTransaction(c);
            return;
        }
        if (message.outcome_ == Outcome::Done) {
            caller.token_ = message.token_;
            if (history != histories_.end()) {
                history->second.done_ = true;
                caller.acknowledged_.insert(history->second.ids_.begin(), history->second.ids_.end());
            }
            if (message.seen_)
                checkRead(caller, *message.seen_);
        }
        proceed(c);
    }

    // --- Checks ---

    void checkRead(const Caller& caller, const Log& seen)
    {
        std::set<int> ids;
        for (const auto& entry : seen)
            ids.insert(entry.ids_.begin(), entry.ids_.end());
        if (!std::includes(ids.begin(), ids.end(), caller.acknowledged_.begin(), caller.acknowledged_.end()))
            violations_.insert("stale read");
    }

    void checkLog()
    {
        const auto primary = std::max_element(endpoints_.begin(), endpoints_.end(),
            [](const Endpoint& a, const Endpoint& b) { return a.primaryOf_ < b.primaryOf_; });
        std::map<int, int> runs;
        for (const auto& entry : primary->log_) {
            for (const auto id : entry.ids_)
                ++runs[id];
        }
        for (const auto& [id, count] : runs) {
            if (count > 1)
                violations_.insert("ran twice");
        }
        for (const auto& [key, history] : histories_) {
            for (const auto id : history.ids_) {
                const auto ran = runs.contains(id);
                if (history.done_ && !ran)
                    violations_.insert("acknowledged write lost");
                if (!history.done_ && history.notRunOnly_ && ran)
                    violations_.insert("not run but ran");
            }
        }
    }

    std::vector<Injection> injections_;
    Rule rule_;
    bool keysStored_;
    TimePoint now_ { start };
    std::priority_queue<std::shared_ptr<const Event>, std::vector<std::shared_ptr<const Event>>, Later> events_;
    std::uint64_t eventNumber_ { 0 };
    TimePoint faultsEnd_ { start };
    std::size_t steps_ { 0 };
    bool countsSteps_ { true };
    std::array<std::array<TimePoint, nodeCount>, nodeCount> cutUntil_ {};
    std::array<TimePoint, nodeCount> frozenUntil_ {};
    std::array<int, nodeCount> epochs_ {};
    std::array<bool, nodeCount> alive_ { true, true, true, true, true, true, true, true };
    std::vector<Connection> connections_;
    std::array<Endpoint, endpointCount> endpoints_;
    std::array<Instance, instanceCount> instances_;
    std::array<Caller, callerCount> callers_;
    WriteRoute route_ { endpointName(0), 1 };
    TimePoint promotedAt_ {};
    std::uint64_t watchTicks_ { 0 };
    int lastId_ { 0 };
    int lastRequest_ { 0 };
    std::map<int, int> requestIds_;
    std::map<std::string, KeyHistory> histories_;
    std::set<std::string> violations_;
};

const std::vector<Path>& paths()
{
    using enum Do;
    static const std::vector<Path> all {
        { "write", { { { { Write, 0 }, { Write, 0 } }, { { Write, 1 }, { Write, 0 } }, { { Write, 0 } } } } },
        { "transaction",
            { { { { Begin, 0 }, { Run, 0 }, { Run, 0 }, { Commit, 0 }, { Read, 0 } },
                { { Begin, 0 }, { Run, 0 }, { Abandon, 0 }, { Write, 0 } },
                { { Write, 0 }, { Begin, 0 }, { Run, 0 }, { Commit, 0 } } } } },
        { "read",
            { { { { Write, 0 }, { Read, 0 }, { Read, 0 } }, { { Read, 1 }, { Write, 0 }, { Read, 0 } },
                { { Read, 0 }, { Read, 1 } } } } },
        { "session move",
            { { { { Write, 0 }, { Read, 1 }, { Write, 1 }, { Read, 0 } }, { { Write, 1 }, { Read, 0 } },
                { { Write, 0 }, { Read, 1 } } } } },
        { "write without stored keys",
            { { { { Write, 0 }, { Read, 0 }, { Write, 1 } }, { { Write, 1 }, { Write, 0 } },
                { { Begin, 0 }, { Run, 0 }, { Commit, 0 } } } },
            false },
    };
    return all;
}

std::string describe(const Path& path, const std::vector<Injection>& injections)
{
    std::string text = path.name_;
    for (const auto& injection : injections) {
        text += " (step " + std::to_string(injection.step_) + ", fault "
            + std::to_string(static_cast<int>(injection.fault_)) + ")";
    }
    return text;
}

// Sanitizers make a run about ten times slower; the single faults are run all the same.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t drawnCells = 200;
#else
constexpr std::size_t drawnCells = 2000;
#endif

constexpr auto faultCount = static_cast<std::size_t>(Fault::Count);

// Calls the visitor with each cell until it returns false: no fault, each fault at each step, the same fault at two
// steps, and pairs of faults. The last two are drawn with the seed, because there are too many to run all.
template <typename Visitor> void visitCells(const Path& path, std::uint32_t seed, std::size_t drawn, Visitor visitor)
{
    World calm(path, {}, Rule::Right);
    calm.run();
    const auto steps = calm.steps();
    if (!visitor(std::vector<Injection> {}))
        return;
    for (std::size_t step = 0; step < steps; ++step) {
        for (std::size_t fault = 0; fault < faultCount; ++fault) {
            if (!visitor(std::vector<Injection> { { step, static_cast<Fault>(fault) } }))
                return;
        }
    }
    std::mt19937 random(seed);
    for (std::size_t i = 0; i < drawn; ++i) {
        const auto first = random() % steps;
        // Later steps exist only after a fault has lengthened the run.
        const auto second = first + random() % (steps + steps / 2);
        const auto fault = static_cast<Fault>(random() % faultCount);
        const auto other = i % 3 == 0 ? fault : static_cast<Fault>(random() % faultCount);
        if (!visitor(std::vector<Injection> { { first, fault }, { second, other } }))
            return;
    }
}

// The first cell, from a path on, in which the wrong rule leads to the violation.
std::string findViolation(Rule rule, const std::string& violation, std::size_t firstPath)
{
    std::string found;
    std::size_t cells = 0;
    for (auto index = firstPath; index < paths().size(); ++index) {
        const auto& path = paths()[index];
        visitCells(path, 1, 2000, [&](const std::vector<Injection>& injections) {
            ++cells;
            if (World(path, injections, rule).run().contains(violation))
                found = describe(path, injections);
            return found.empty();
        });
        if (!found.empty())
            break;
    }
    std::cout << "wrong rule for \"" << violation << "\": " << (found.empty() ? "not found" : found) << " after "
              << cells << " cells\n";
    return found;
}

} // namespace

// Guards against each violation of the session and at-most-once guarantees under faults at any step.
TEST_CASE("the request paths keep their guarantees under every fault at every step")
{
    constexpr std::uint32_t seed = 20261204;
    for (const auto& path : paths()) {
        std::size_t cells = 0;
        std::size_t failures = 0;
        const auto begin = std::chrono::steady_clock::now();
        visitCells(path, seed, drawnCells, [&](const std::vector<Injection>& injections) {
            ++cells;
            const auto violations = World(path, injections, Rule::Right).run();
            if (!violations.empty() && ++failures <= 5) {
                for (const auto& violation : violations)
                    UNSCOPED_INFO(violation << ": " << describe(path, injections));
            }
            return true;
        });
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
        World calm(path, {}, Rule::Right);
        calm.run();
        std::cout << path.name_ << ": " << calm.steps() << " steps, " << cells << " cells, seed " << seed << ", "
                  << static_cast<int>(static_cast<double>(cells) / elapsed.count()) << " cases/s, " << failures
                  << " failures\n";
        CHECK(failures == 0);
    }
}

// Guards against a matrix that would not notice a violation.
TEST_CASE("the matrix finds each wrong rule")
{
    CHECK_FALSE(findViolation(Rule::ReadAnyReplica, "stale read", 2).empty());
    CHECK_FALSE(findViolation(Rule::ForgetToken, "stale read", 3).empty());
    CHECK_FALSE(findViolation(Rule::ResendWithoutKey, "ran twice", 0).empty());
    CHECK_FALSE(findViolation(Rule::LostMeansNotRun, "not run but ran", 0).empty());
    CHECK_FALSE(findViolation(Rule::AcknowledgeUnconfirmed, "acknowledged write lost", 0).empty());
    CHECK_FALSE(findViolation(Rule::KeepSilentConnection, "wrong answer", 1).empty());
    CHECK_FALSE(findViolation(Rule::ReturnUnfinished, "unfinished connection reused", 1).empty());
}
