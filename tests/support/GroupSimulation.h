#pragma once

#include "GroupFaults.h"
#include "cassiahollow/version/GroupTerm.h"

#include <algorithm>
#include <array>
#include <bit>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// A group of three databases and its three watchers in one process, one of each in each of three data centres, with
/// simulated time and faults. Shared by the fault matrix and the failover benchmark.
namespace cassiahollow::fake {

constexpr int groupSize = 3;

/// Wrong rules that the matrix has to find.
enum class WrongRule : std::uint8_t {
    None,
    AcknowledgeAtOnce, ///< Answer a write when the primary has run it; also baseline 1 of the benchmark.
    CountPrimaryTwice,
    PromoteFirst, ///< Promote the first member that answered `fence`, whatever it holds.
    CompareWithoutTerms,
    SeveralPromoters, ///< Endpoints take orders of any promoter for the term that they have promised.
    LongInterval, ///< 30 s between promotions.
};

struct SimulationSettings {
    Duration sameCentre_ { std::chrono::milliseconds(1) };
    Duration otherCentre_ { std::chrono::microseconds(1500) };
    Duration connect_ { std::chrono::milliseconds(10) };
    Duration writeInterval_ { std::chrono::milliseconds(50) };
    Duration lag_ { std::chrono::milliseconds(4) }; ///< Extra replication delay of the last endpoint.
    Duration rankDelay_ { GroupTimings().rankDelay_ }; ///< Zero lets all watchers compete.
    Duration lease_ {}; ///< Baseline 2: members hold `fence` back until the lease that they granted is over.
    bool warm_ { true }; ///< Start in term 1 with endpoint 0 as primary, otherwise as a new group.
    WrongRule wrongRule_ { WrongRule::None };
    std::uint32_t seed_ { 1 };
    bool recordSteps_ { false };
};

/// What is known about one log entry over the whole run.
struct EntryHistory {
    unsigned heldBy_ { 0 }; ///< Bits of the endpoints that held it before they promised a newer term.
    bool afterNewerTerm_ { false }; ///< Appended when a majority had promised a newer term.
    bool acknowledged_ { false };
};

struct StepInfo {
    MessageKind kind_;
    TimePoint at_;
};

struct Connection {
    int watcher_ { 0 };
    int endpoint_ { 0 };
    bool accepted_ { false };
    bool closed_ { false };
    bool silent_ { false };
};

struct FakeEndpoint {
    // Durable.
    std::vector<Term> log_; ///< The term of each entry; index 1 is at 0.
    Term promised_ { 0 };
    std::string promoter_;
    // Lost in a crash.
    EndpointRole role_ { EndpointRole::Replica };
    int following_ { -1 };
    std::array<bool, groupSize> pulling_ {}; ///< Replicas whose pull waits for entries.
    std::array<std::vector<Term>, groupSize> pullLogs_;
    TimePoint pulled_ {};
    TimePoint leaseUntil_ {};

    LogPosition last() const { return { log_.empty() ? 0 : log_.back(), log_.size() }; }
};

struct PendingWrite {
    LogPosition position_;
    TimePoint started_;
};

struct FakeWatcher {
    GroupState state_;
    std::array<int, groupSize> watch_ {}; ///< Connection numbers; 0 is none.
    std::array<int, groupSize> probe_ {};
    std::array<std::uint64_t, groupSize> probeNumber_ {};
    std::array<int, groupSize> order_ {};
    std::array<bool, groupSize> orderWaits_ {};
    std::array<bool, groupSize> alive_ { true, true, true };
    std::array<TimePoint, groupSize> seen_ {};
    std::vector<PendingWrite> pending_;
    bool paused_ { false };
};

struct Node {
    bool up_ { true };
    bool refuses_ { true }; ///< Down with its address still reachable: connections are refused, not silent.
    unsigned life_ { 1 };
    TimePoint frozenUntil_ {};
    TimePoint cutOut_ {}; ///< Messages to other data centres are lost until then.
    TimePoint cutIn_ {};
};

/// Nodes 0 to 2 are the endpoints, nodes 3 to 5 the watchers; node n is in data centre n % 3.
class Simulation {
public:
    explicit Simulation(const SimulationSettings& settings, std::vector<Fault> faults = {})
        : settings_(settings)
        , faults_(std::move(faults))
        , random_(settings.seed_)
    {
        connections_.emplace_back();
        for (int e = 0; e < groupSize; ++e) {
            if (settings_.warm_) {
                endpoints_[e].log_ = { 1 };
                endpoints_[e].promised_ = 1;
                endpoints_[e].promoter_ = "start";
                history_[{ 1, 1 }].heldBy_ |= 1U << e;
            }
            ids_.emplace_back("e" + std::to_string(e));
        }
        if (settings_.warm_) {
            endpoints_[0].role_ = EndpointRole::Primary;
            primaries_[1] = 0;
        }
        for (int e = 0; e < groupSize; ++e)
            startEndpoint(e);
        if (settings_.warm_) {
            follow(1, 0);
            follow(2, 0);
        }
        for (int w = 0; w < groupSize; ++w)
            startWatcher(w);
    }

    TimePoint now() const { return now_; }
    std::uint64_t steps() const { return steps_; }
    const std::vector<StepInfo>& stepInfo() const { return stepInfo_; }
    TimePoint healed() const { return healed_; }
    bool allInjected() const
    {
        return std::all_of(faults_.begin(), faults_.end(),
            [&](const Fault& fault) { return fault.injected_ || (fault.step_ && fault.step_ < steps_); });
    }
    std::size_t injected() const { return injected_; }
    const GroupState& watcher(int w) const { return watchers_[w].state_; }
    const std::map<LogPosition, EntryHistory>& history() const { return history_; }
    const std::vector<RecordPhase>& phases() const { return phases_; }
    std::optional<TimePoint> firstAckStartedAfter(TimePoint time) const
    {
        return lastAckStart_ >= time ? std::optional(lastAck_) : std::nullopt;
    }
    TimePoint lastAck() const { return lastAck_; }

    void runUntil(TimePoint end, const std::function<bool()>& done = {})
    {
        while (!events_.empty() && events_.top().at_ <= end) {
            auto event = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            now_ = event.at_;
            if (event.node_ >= 0) {
                const auto& node = nodes_[event.node_];
                if (event.life_ != 0 && event.life_ != node.life_)
                    continue;
                if (node.frozenUntil_ > now_) {
                    push(node.frozenUntil_, event.node_, event.life_, std::move(event.run_));
                    continue;
                }
            }
            event.run_();
            if (done && done())
                return;
        }
        now_ = std::max(now_, end);
    }

    /// The holder of the primary orders a planned change to endpoint `e`.
    void orderChange(int e)
    {
        for (int w = 0; w < groupSize; ++w) {
            const auto primary = primaryOf(watchers_[w].state_);
            if (isUp(w + groupSize) && primary && holderOf(w, numberOf(*primary)) == w)
                feed(w, ChangeOrdered { ids_[e] });
        }
    }

    int currentPrimary() const { return primaries_.empty() ? -1 : primaries_.rbegin()->second; }

    void crash(int node, Duration duration, bool refuses)
    {
        if (!isUp(node))
            return;
        nodes_[node].up_ = false;
        nodes_[node].refuses_ = refuses;
        ++nodes_[node].life_;
        for (std::size_t number = 1; number < connections_.size(); ++number) {
            auto& connection = connections_[number];
            if (connection.closed_
                || (node < groupSize ? connection.endpoint_ : connection.watcher_ + groupSize) != node)
                continue;
            if (node < groupSize && refuses)
                send(MessageKind::Close, node, connection.watcher_ + groupSize, 0,
                    [this, number] { closedByPeer(static_cast<int>(number)); });
            else if (node >= groupSize)
                connection.closed_ = true;
            else
                connection.silent_ = true;
        }
        push(now_ + duration, -1, 0, [this, node] { restart(node); });
        heal(now_ + duration);
    }

    /// Cuts a data centre off from the others.
    void cutCentre(int centre, Duration duration)
    {
        for (const int node : { centre, centre + groupSize })
            nodes_[node].cutOut_ = nodes_[node].cutIn_ = now_ + duration;
        heal(now_ + duration);
    }

    /// Whether the newest term has acknowledged a write.
    bool currentTermAcknowledged() const
    {
        return !primaries_.empty() && history_.rbegin()->first.term_ == primaries_.rbegin()->first
            && std::any_of(history_.rbegin(), history_.rend(), [&](const auto& entry) {
                   return entry.first.term_ == primaries_.rbegin()->first && entry.second.acknowledged_;
               });
    }

    /// The violated guarantees, empty for a correct run. The caller has run the simulation to its end.
    std::vector<Violation> violations() const
    {
        auto found = violations_;
        if (primaries_.empty())
            return found;
        const auto& log = endpoints_[primaries_.rbegin()->second].log_;
        for (const auto& [position, entry] : history_) {
            if (!entry.acknowledged_)
                continue;
            if (position.index_ > log.size() || log[position.index_ - 1] != position.term_)
                found.push_back(Violation::AcknowledgedWriteLost);
            if (entry.afterNewerTerm_ || std::popcount(entry.heldBy_) < 2)
                found.push_back(Violation::OldPrimaryAcknowledged);
        }
        return found;
    }

    std::size_t lostWrites() const
    {
        const auto found = violations();
        return static_cast<std::size_t>(std::count(found.begin(), found.end(), Violation::AcknowledgedWriteLost));
    }

    std::size_t acknowledgedWrites() const
    {
        return static_cast<std::size_t>(std::count_if(
            history_.begin(), history_.end(), [](const auto& entry) { return entry.second.acknowledged_; }));
    }

private:
    struct Event {
        TimePoint at_;
        std::uint64_t number_;
        int node_;
        unsigned life_;
        std::function<void()> run_;

        bool operator<(const Event& other) const
        {
            return at_ != other.at_ ? at_ > other.at_ : number_ > other.number_;
        }
    };

    bool isUp(int node) const { return nodes_[node].up_; }

    bool isCut(int from, int to) const
    {
        return from % groupSize != to % groupSize && (nodes_[from].cutOut_ > now_ || nodes_[to].cutIn_ > now_);
    }

    int numberOf(const EndpointId& id) const
    {
        return static_cast<int>(std::find(ids_.begin(), ids_.end(), id) - ids_.begin());
    }

    void heal(TimePoint time) { healed_ = std::max(healed_, time); }

    void push(TimePoint at, int node, unsigned life, std::function<void()> run)
    {
        events_.push({ at, ++eventNumber_, node, life, std::move(run) });
    }

    /// Runs as long as the node does not crash.
    void timer(int node, Duration delay, std::function<void()> run)
    {
        push(now_ + delay, node, nodes_[node].life_, std::move(run));
    }

    void restart(int node)
    {
        nodes_[node].up_ = true;
        if (node < groupSize)
            startEndpoint(node);
        else
            startWatcher(node - groupSize);
    }

    /// Sends a message. Each message is one step, at which a fault can occur.
    void send(MessageKind kind, int from, int to, int connection, std::function<void()> deliver, Duration extra = {})
    {
        ++steps_;
        if (settings_.recordSteps_)
            stepInfo_.push_back({ kind, now_ });
        bool lost = isCut(from, to) || (connection && connections_[connection].silent_);
        std::optional<Duration> repeat;
        for (auto& fault : faults_) {
            const bool first = fault.step_ ? fault.step_ == steps_ : isDue(fault);
            const bool again = fault.rearmed_ && fault.kindSeen_ == kind && fault.from_ == from && fault.to_ == to;
            if (!first && !again)
                continue;
            fault.rearmed_ = first && fault.twice_;
            fault.kindSeen_ = kind;
            fault.from_ = from;
            fault.to_ = to;
            fault.injected_ = true;
            ++injected_;
            inject(fault, from, to, connection, lost, extra, repeat);
            lost |= isCut(from, to);
        }
        if (lost)
            return;
        const auto delay = from % groupSize == to % groupSize ? settings_.sameCentre_ : settings_.otherCentre_;
        auto arrive = [this, from, to, connection, deliver = std::move(deliver)] {
            if (!isUp(to) || isCut(from, to) || (connection && connections_[connection].silent_))
                return;
            deliver();
        };
        if (repeat)
            push(now_ + delay + *repeat, to, 0, arrive);
        push(now_ + delay + extra, to, 0, std::move(arrive));
    }

    /// Whether a fault without a step of its own is to occur now.
    bool isDue(const Fault& fault) const
    {
        return !fault.injected_ && faults_.front().injected_ && now_ >= healed_ + fault.afterHeal_;
    }

    void inject(const Fault& fault, int from, int to, int connection, bool& lost, Duration& extra,
        std::optional<Duration>& repeat)
    {
        const int node = fault.atReceiver_ ? to : from;
        const auto end = now_ + fault.duration_;
        const auto eachOfCentre = [&](const auto& change) {
            change(nodes_[node % groupSize]);
            change(nodes_[node % groupSize + groupSize]);
            heal(end);
        };
        switch (fault.kind_) {
        case FaultKind::Crash:
            crash(node, fault.duration_, true);
            lost |= node == from;
            break;
        case FaultKind::PowerLoss:
            crash(node, fault.duration_, false);
            lost |= node == from;
            break;
        case FaultKind::Restart:
            crash(node, std::chrono::milliseconds(20), true);
            lost |= node == from;
            break;
        case FaultKind::Lost:
            lost = true;
            heal(now_);
            break;
        case FaultKind::Repeated:
            repeat = fault.duration_;
            heal(end);
            break;
        case FaultKind::Delayed:
            extra += fault.duration_;
            heal(end);
            break;
        case FaultKind::Reordered:
            extra += std::chrono::milliseconds(5);
            heal(now_);
            break;
        case FaultKind::SilentConnection:
            if (connection)
                connections_[connection].silent_ = true;
            lost = true;
            heal(now_);
            break;
        case FaultKind::CutOut:
            eachOfCentre([&](Node& cut) { cut.cutOut_ = std::max(cut.cutOut_, end); });
            break;
        case FaultKind::CutIn:
            eachOfCentre([&](Node& cut) { cut.cutIn_ = std::max(cut.cutIn_, end); });
            break;
        case FaultKind::CutBoth:
            eachOfCentre([&](Node& cut) {
                cut.cutOut_ = std::max(cut.cutOut_, end);
                cut.cutIn_ = std::max(cut.cutIn_, end);
            });
            break;
        case FaultKind::Freeze:
            nodes_[node].frozenUntil_ = std::max(nodes_[node].frozenUntil_, end);
            lost |= node == from && connection == 0;
            heal(end);
            break;
        case FaultKind::Count:
            break;
        }
    }

    // Endpoints.

    void startEndpoint(int e);
    void heartbeat(int e);
    MemberReport reportOf(int e) const;
    void report(int e, MessageKind kind);
    void reportOn(int e, int number, MessageKind kind);
    bool majorityPromisedAbove(Term term) const;
    void append(int e, Term term);
    void promise(int e, Term term, const std::string& promoter);

    /// Carries an order out, or returns false if the promised term forbids it.
    bool obey(int e, const SendOrder& order);
    void follow(int e, int primary);
    void pull(int e);
    void answerPull(int e, int replica);
    void write(int e, int w, Term term, TimePoint started);

    // Watchers.

    void startWatcher(int w);
    void configure(int w);

    /// Declares a watcher dead 3 s after the last contact, as membership does.
    void membership(int w);

    /// The holder of endpoint `e` as watcher `w` sees it.
    int holderOf(int w, int e) const;
    void writeLoop(int w);
    bool confirmed(const GroupState& state, const LogPosition& position) const;
    void acknowledge(int w);
    void feed(int w, const GroupEvent& event);
    int connect(int w, int e);
    void closedByPeer(int number);

    /// Opens a connection; `accepted` runs at the endpoint. A process that is down refuses, a machine does not answer.
    void open(int w, int e, int number, std::function<void()> accepted);
    void act(int w, const OpenProbe& action);
    void act(int w, const ReplaceWatch& action);
    void act(int, const CloseWatch&) { }

    void act(int w, const SendVote& action);

    /// An order goes out on the open order connection, or on a new one if the last order has not been answered.
    void act(int w, const SendOrder& action);
    void carryOut(int e, int number, const SendOrder& order);
    void act(int w, const PauseWrites&) { watchers_[w].paused_ = true; }
    void act(int w, const ResumeWrites&) { watchers_[w].paused_ = false; }
    void act(int, const PublishRoute&) { }
    void act(int, const RecordPhase& action) { phases_.push_back(action); }
    void act(int, const LogChange&) { }

    SimulationSettings settings_;
    std::vector<Fault> faults_;
    std::mt19937 random_;
    TimePoint now_ { std::chrono::hours(1) };
    TimePoint healed_ {};
    TimePoint lastAckStart_ {};
    TimePoint lastAck_ {};
    std::uint64_t steps_ { 0 };
    std::uint64_t eventNumber_ { 0 };
    std::size_t injected_ { 0 };
    std::vector<StepInfo> stepInfo_;
    std::priority_queue<Event> events_;
    std::array<Node, 2 * groupSize> nodes_ {};
    std::array<FakeEndpoint, groupSize> endpoints_ {};
    std::array<FakeWatcher, groupSize> watchers_ {};
    std::vector<EndpointId> ids_;
    std::vector<Connection> connections_;
    std::map<LogPosition, EntryHistory> history_;
    std::map<Term, int> primaries_;
    std::vector<Violation> violations_;
    std::vector<RecordPhase> phases_;
};

} // namespace cassiahollow::fake

#include "GroupSimulation-inl.h"
