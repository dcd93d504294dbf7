#pragma once

#include "cassiahollow/process/Membership.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <sstream>

namespace membershiptest {

using namespace cassiahollow;
using namespace std::chrono_literals;

/// A small group of instances with queues for links, in virtual time. Copyable, so that a run without faults can be
/// continued from any of its steps with a fault.
struct Group {
    struct Node {
        std::optional<MembershipState> state_; ///< Empty while the process is down.
        Incarnation incarnation_ { 1 };
        TimePoint frozenUntil_ {};
        TimePoint wakeup_ {};
        std::uint64_t savedRevision_ { 0 }; ///< Survives a restart, as the data folder does.
        std::vector<RecordChanged> changes_;
        /// Versions seen since the start of the process, for the check that none goes back.
        std::map<RecordKey, std::array<std::uint64_t, 2>> seen_;
    };
    struct Endpoint {
        EndpointRecord record_;
        TimePoint next_ {};
        bool announces_ { true };
    };
    struct Delivery {
        TimePoint at_;
        std::uint64_t order_;
        std::size_t from_;
        std::size_t to_;
        MembershipEvent event_;

        bool operator<(const Delivery& other) const
        {
            return std::pair(at_, order_) > std::pair(other.at_, other.order_);
        }
    };
    /// Sees each message when it is sent and may change it or its arrival times; none means that it is lost.
    using Fault = std::function<void(
        Group&, std::size_t from, std::size_t to, MembershipMessage&, std::vector<TimePoint>& arrivals)>;
    /// Sees each message before it is handled by the receiver.
    using Rule = std::function<void(Group&, std::size_t to, MembershipMessage&)>;

    std::vector<Node> nodes_;
    std::vector<Endpoint> endpoints_;
    std::priority_queue<Delivery> deliveries_;
    std::set<std::pair<std::size_t, std::size_t>> cut_; ///< Directed links that lose everything.
    Fault fault_;
    Rule wrongRule_;
    std::multimap<TimePoint, std::function<void(Group&)>> scheduled_; ///< Faults and operations.
    TimePoint now_ { 1h };
    std::uint64_t order_ { 0 };
    std::uint64_t sent_ { 0 };
    std::uint64_t steps_ { 0 };
    std::uint64_t dropped_ { 0 };
    std::string violation_; ///< The first violation of a check that holds at every step.

    Group(std::size_t nodes, std::size_t endpoints, std::uint64_t seed)
        : seed_(seed)
    {
        nodes_.resize(nodes);
        for (std::size_t i = 0; i < nodes; ++i)
            start(i);
        for (std::size_t i = 0; i < endpoints; ++i) {
            Endpoint endpoint;
            endpoint.record_ = { EndpointId("e" + std::to_string(i)), GroupId("g" + std::to_string(i / 3)),
                "127.0.0.1:" + std::to_string(9000 + i), place(i), 2, 35 };
            endpoint.record_.started_ = 1000;
            endpoint.next_ = now_ + std::chrono::milliseconds(100 + 37 * i);
            endpoints_.push_back(endpoint);
        }
    }

    static DataCentre place(std::size_t i) { return DataCentre("dc" + std::to_string(i % 3)); }
    static InstanceId idOf(std::size_t i) { return InstanceId("i" + std::to_string(i)); }
    static std::string addressOf(std::size_t i) { return "127.0.0.1:" + std::to_string(7000 + i); }
    static std::size_t nodeAt(const std::string& address) { return std::stoul(address.substr(10)) - 7000; }

    MembershipState& state(std::size_t i) { return *nodes_[i].state_; }
    bool isUp(std::size_t i) const { return nodes_[i].state_.has_value(); }

    void start(std::size_t i)
    {
        auto& node = nodes_[i];
        MembershipSettings settings;
        settings.id_ = idOf(i);
        settings.address_ = addressOf(i);
        settings.dataCentre_ = place(i);
        settings.incarnation_ = node.incarnation_++;
        settings.seeds_ = { addressOf(0), addressOf(1), addressOf(2) };
        settings.randomSeed_ = seed_ * 1000 + i * 50 + settings.incarnation_;
        node.state_.emplace(settings);
        node.seen_.clear();
        handle(i, SettingsApplied { node.savedRevision_ });
        handle(i, MembershipStarted {});
    }

    void crash(std::size_t i) { nodes_[i].state_.reset(); }

    void freeze(std::size_t i, Duration time) { nodes_[i].frozenUntil_ = now_ + time; }

    void cutBetween(const std::set<std::size_t>& inside, bool in, bool out)
    {
        for (const auto a : inside) {
            for (std::size_t b = 0; b < nodes_.size(); ++b) {
                if (inside.contains(b))
                    continue;
                if (in)
                    cut_.insert({ b, a });
                if (out)
                    cut_.insert({ a, b });
            }
        }
    }

    /// Runs one event of the process i now.
    void handle(std::size_t i, const MembershipEvent& event)
    {
        auto& node = nodes_[i];
        if (!node.state_)
            return;
        ++steps_;
        auto actions = step(*node.state_, event, now_);
        node.savedRevision_ = std::max(node.savedRevision_, node.state_->self_.appliedRevision_);
        node.wakeup_ = nextWakeup(*node.state_);
        checkVersions(i);
        for (auto& action : actions) {
            if (auto* message = std::get_if<SendMembershipMessage>(&action))
                deliver(i, nodeAt(message->address_), std::move(message->message_));
            else if (auto* pull = std::get_if<PullSettings>(&action))
                answerPull(i, nodeAt(pull->address_));
            else if (auto* change = std::get_if<RecordChanged>(&action))
                node.changes_.push_back(*change);
            else if (std::get_if<MembershipMessageDropped>(&action))
                ++dropped_;
        }
    }

    void runUntil(TimePoint end)
    {
        while (true) {
            auto next = end;
            std::size_t which = none;
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                const auto at = std::max(nodes_[i].wakeup_, nodes_[i].frozenUntil_);
                if (nodes_[i].state_ && at < next) {
                    next = at;
                    which = i;
                }
            }
            std::size_t endpoint = none;
            for (std::size_t i = 0; i < endpoints_.size(); ++i) {
                if (endpoints_[i].announces_ && endpoints_[i].next_ < next) {
                    next = endpoints_[i].next_;
                    endpoint = i;
                }
            }
            if (!scheduled_.empty() && scheduled_.begin()->first <= next && scheduled_.begin()->first < end
                && (deliveries_.empty() || scheduled_.begin()->first <= deliveries_.top().at_)) {
                const auto task = scheduled_.extract(scheduled_.begin());
                now_ = std::max(now_, task.key());
                task.mapped()(*this);
                continue;
            }
            if (!deliveries_.empty() && deliveries_.top().at_ <= next && deliveries_.top().at_ < end) {
                auto delivery = deliveries_.top();
                deliveries_.pop();
                now_ = std::max(now_, delivery.at_);
                arrive(std::move(delivery));
                continue;
            }
            if (endpoint == none && which == none)
                break;
            now_ = std::max(now_, next);
            if (endpoint != none)
                announce(endpoint);
            else
                handle(which, MembershipWakeup {});
        }
        now_ = std::max(now_, end);
    }

    void run(Duration time) { runUntil(now_ + time); }

    /// Sends the announcement of an endpoint to an instance of its data centre, a different one each time, or to one
    /// elsewhere if none runs there.
    void announce(std::size_t i)
    {
        auto& endpoint = endpoints_[i];
        ++endpoint.record_.sequence_;
        endpoint.next_ = now_ + 1s;
        for (const bool anywhere : { false, true }) {
            for (std::size_t attempt = 0; attempt < nodes_.size(); ++attempt) {
                const auto node = (endpoint.record_.sequence_ + attempt) % nodes_.size();
                if ((anywhere || place(node) == endpoint.record_.dataCentre_) && isUp(node)
                    && nodes_[node].frozenUntil_ <= now_)
                    return handle(node, EndpointAnnounced { endpoint.record_ });
            }
        }
    }

    /// Empty if all running instances agree: each sees exactly the running ones as live, and all records are equal.
    std::string disagreement() const
    {
        std::ostringstream text;
        const MembershipState* first = nullptr;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!isUp(i))
                continue;
            const auto& state = *nodes_[i].state_;
            for (std::size_t j = 0; j < nodes_.size(); ++j) {
                const auto known = state.directory_.instances_.find(idOf(j));
                const bool live = known != state.directory_.instances_.end()
                    && (known->second.status_ == InstanceStatus::Alive
                        || known->second.status_ == InstanceStatus::Suspect);
                const bool runs = isUp(j) && nodes_[j].state_->self_.status_ != InstanceStatus::Leaving;
                if (runs && !live)
                    text << "i" << i << " misses live i" << j << "; ";
                if (!runs && live)
                    text << "i" << i << " keeps dead i" << j << "; ";
            }
            if (!first)
                first = &state;
            else if (first->directory_.digest_ != state.directory_.digest_)
                text << "i" << i << " has other records; ";
        }
        for (const auto& endpoint : endpoints_) {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (isUp(i)
                    && findEndpoint(nodes_[i].state_->directory_, endpoint.record_.id_).has_value()
                        != endpoint.announces_)
                    text << "i" << i << (endpoint.announces_ ? " misses " : " keeps ") << endpoint.record_.id_ << "; ";
            }
        }
        return text.str();
    }

private:
    static constexpr std::size_t none = ~std::size_t { 0 };
    std::uint64_t seed_;

    void deliver(std::size_t from, std::size_t to, MembershipMessage message)
    {
        ++sent_;
        const auto delay = place(from) == place(to) ? 300us : 1500us;
        std::vector<TimePoint> arrivals { now_ + delay };
        if (fault_)
            fault_(*this, from, to, message, arrivals);
        if (cut_.contains({ from, to }))
            return;
        for (const auto at : arrivals)
            deliveries_.push({ at, order_++, from, to, MembershipReceived { message } });
    }

    void answerPull(std::size_t to, std::size_t from)
    {
        if (isUp(from) && nodes_[from].frozenUntil_ <= now_ && !cut_.contains({ from, to })
            && !cut_.contains({ to, from }))
            deliveries_.push(
                { now_ + 3ms, order_++, from, to, SettingsApplied { nodes_[from].state_->self_.appliedRevision_ } });
    }

    void arrive(Delivery delivery)
    {
        auto& node = nodes_[delivery.to_];
        if (!node.state_)
            return;
        if (node.frozenUntil_ > now_) {
            delivery.at_ = node.frozenUntil_;
            deliveries_.push(std::move(delivery));
            return;
        }
        if (auto* received = std::get_if<MembershipReceived>(&delivery.event_); received && wrongRule_)
            wrongRule_(*this, delivery.to_, received->message_);
        handle(delivery.to_, delivery.event_);
    }

    void checkVersions(std::size_t i)
    {
        auto& node = nodes_[i];
        const auto& directory = node.state_->directory_;
        const auto check = [&](RecordKind kind, const std::string& id, std::array<std::uint64_t, 2> version) {
            auto& seen = node.seen_[{ kind, id }];
            if (version < seen && violation_.empty())
                violation_ = "i" + std::to_string(i) + ": record " + id + " went back";
            seen = version;
        };
        for (const auto& [id, record] : directory.instances_)
            check(RecordKind::Instance, id.value_, { record.incarnation_, record.sequence_ });
        for (const auto& [id, record] : directory.endpoints_)
            check(RecordKind::Endpoint, id.value_, { record.started_, record.sequence_ });
        for (const auto& [id, record] : directory.routes_)
            check(RecordKind::Route, id.value_, { record.term_, 0 });
        for (const auto& [id, record] : directory.groupMembers_)
            check(RecordKind::GroupMembers, id.value_, { record.epoch_, 0 });
        auto& revision = node.seen_[{ RecordKind::Drain, "applied settings" }];
        if (node.state_->self_.appliedRevision_ < revision[0] && violation_.empty())
            violation_ = "i" + std::to_string(i) + ": the settings went back";
        revision = { node.state_->self_.appliedRevision_, 0 };
    }
};

} // namespace membershiptest
