#pragma once

/// What the endpoints and watchers of GroupSimulation.h do.
namespace cassiahollow::fake {

inline void Simulation::startEndpoint(int e)
{
    auto& endpoint = endpoints_[e];
    if (nodes_[e].life_ > 1) {
        endpoint.role_ = EndpointRole::Replica;
        endpoint.following_ = -1;
        endpoint.pulling_ = {};
    }
    heartbeat(e);
}

inline void Simulation::heartbeat(int e)
{
    report(e, MessageKind::Heartbeat);
    auto& endpoint = endpoints_[e];
    for (int replica = 0; replica < groupSize; ++replica) {
        if (endpoint.pulling_[replica])
            answerPull(e, replica);
    }
    if (endpoint.following_ >= 0 && now_ - endpoint.pulled_ >= std::chrono::milliseconds(250))
        pull(e);
    timer(e, std::chrono::milliseconds(100), [this, e] { heartbeat(e); });
}

inline MemberReport Simulation::reportOf(int e) const
{
    const auto& endpoint = endpoints_[e];
    return { ids_[e], endpoint.role_, endpoint.promised_, endpoint.last(), false };
}

inline void Simulation::report(int e, MessageKind kind)
{
    for (std::size_t number = 1; number < connections_.size(); ++number) {
        const auto& connection = connections_[number];
        if (connection.endpoint_ == e && connection.accepted_ && !connection.closed_)
            reportOn(e, static_cast<int>(number), kind);
    }
}

inline void Simulation::reportOn(int e, int number, MessageKind kind)
{
    const int w = connections_[number].watcher_;
    send(kind, e, w + groupSize, number, [this, w, e, number, report = reportOf(e)] {
        auto& watcher = watchers_[w];
        if (connections_[number].closed_)
            return;
        if (watcher.watch_[e] == number)
            feed(w, MemberReported { report });
        else if (watcher.probe_[e] == number)
            feed(w, ProbeResponded { watcher.probeNumber_[e], report });
    });
}

inline bool Simulation::majorityPromisedAbove(Term term) const
{
    return std::count_if(endpoints_.begin(), endpoints_.end(), [&](const FakeEndpoint& endpoint) {
        return endpoint.promised_ > term;
    }) >= 2;
}

inline void Simulation::append(int e, Term term)
{
    auto& endpoint = endpoints_[e];
    endpoint.log_.push_back(term);
    auto& entry = history_[endpoint.last()];
    if (endpoint.promised_ == term)
        entry.heldBy_ |= 1U << e;
    if (endpoint.role_ == EndpointRole::Primary)
        entry.afterNewerTerm_ = majorityPromisedAbove(term);
}

inline void Simulation::promise(int e, Term term, const std::string& promoter)
{
    auto& endpoint = endpoints_[e];
    endpoint.promised_ = term;
    endpoint.promoter_ = promoter;
    endpoint.role_ = EndpointRole::Replica;
    endpoint.following_ = -1;
    endpoint.pulling_ = {};
}

inline bool Simulation::obey(int e, const SendOrder& order)
{
    auto& endpoint = endpoints_[e];
    const bool same = order.term_ == endpoint.promised_
        && (order.promoter_ == endpoint.promoter_ || settings_.wrongRule_ == WrongRule::SeveralPromoters);
    switch (order.kind_) {
    case OrderKind::Fence:
        if (order.term_ > endpoint.promised_)
            promise(e, order.term_, order.promoter_);
        else if (!same)
            return false;
        break;
    case OrderKind::Promote:
        if (!same)
            return false;
        if (endpoint.role_ == EndpointRole::Primary)
            break;
        endpoint.role_ = EndpointRole::Primary;
        endpoint.following_ = -1;
        if (!primaries_.try_emplace(order.term_, e).second && primaries_[order.term_] != e)
            violations_.push_back(Violation::TwoPrimaries);
        append(e, order.term_);
        break;
    case OrderKind::Follow:
        // Any watcher may say who the primary of a term is; there is only one.
        if (order.term_ < endpoint.promised_
            || (order.term_ == endpoint.promised_ && endpoint.role_ == EndpointRole::Primary))
            return false;
        if (order.term_ > endpoint.promised_)
            promise(e, order.term_, order.promoter_);
        follow(e, numberOf(order.primary_));
        break;
    }
    report(e, MessageKind::Report);
    return true;
}

inline void Simulation::follow(int e, int primary)
{
    endpoints_[e].following_ = primary;
    pull(e);
}

inline void Simulation::pull(int e)
{
    auto& endpoint = endpoints_[e];
    endpoint.pulled_ = now_;
    const int primary = endpoint.following_;
    send(MessageKind::Pull, e, primary, 0, [this, e, primary, term = endpoint.promised_, log = endpoint.log_] {
        auto& source = endpoints_[primary];
        if (source.role_ != EndpointRole::Primary || source.promised_ != term)
            return;
        source.pulling_[e] = true;
        source.pullLogs_[e] = log;
        if (source.log_ != log)
            answerPull(primary, e);
    });
}

inline void Simulation::answerPull(int e, int replica)
{
    auto& endpoint = endpoints_[e];
    endpoint.pulling_[replica] = false;
    const auto& theirs = endpoint.pullLogs_[replica];
    const auto common = std::mismatch(theirs.begin(), theirs.end(), endpoint.log_.begin(), endpoint.log_.end());
    const auto from = static_cast<std::size_t>(common.second - endpoint.log_.begin());
    std::vector<Term> entries(common.second, endpoint.log_.end());
    const auto previous = from ? endpoint.log_[from - 1] : 0;
    send(
        MessageKind::PullAnswer, e, replica, 0,
        [this, e, replica, from, previous, term = endpoint.promised_, entries = std::move(entries)] {
            auto& target = endpoints_[replica];
            if (target.promised_ != term || target.following_ != e || target.log_.size() < from
                || (from && target.log_[from - 1] != previous))
                return;
            target.leaseUntil_ = now_ + settings_.lease_;
            bool changed = false;
            for (std::size_t i = 0; i < entries.size(); ++i) {
                if (target.log_.size() > from + i && target.log_[from + i] != entries[i])
                    target.log_.resize(from + i);
                if (target.log_.size() == from + i) {
                    append(replica, entries[i]);
                    changed = true;
                }
            }
            if (changed)
                report(replica, MessageKind::Report);
            pull(replica);
        },
        replica == groupSize - 1 ? settings_.lag_ : Duration());
}

inline void Simulation::write(int e, int w, Term term, TimePoint started)
{
    auto& endpoint = endpoints_[e];
    if (endpoint.role_ != EndpointRole::Primary || endpoint.promised_ != term)
        return;
    append(e, term);
    const auto position = endpoint.last();
    send(MessageKind::RunAnswer, e, w + groupSize, 0, [this, w, position, started] {
        watchers_[w].pending_.push_back({ position, started });
        acknowledge(w);
    });
    report(e, MessageKind::Report);
    for (int replica = 0; replica < groupSize; ++replica) {
        if (endpoint.pulling_[replica])
            answerPull(e, replica);
    }
}

inline void Simulation::startWatcher(int w)
{
    auto& watcher = watchers_[w];
    watcher = {};
    GroupTimings timings;
    timings.rankDelay_ = settings_.rankDelay_;
    // Under a lease the answers to `fence` take up to one lease longer, and the other watchers have to know that.
    timings.promotionTimeout_ += settings_.lease_;
    timings.rankDelay_ += settings_.lease_;
    if (settings_.wrongRule_ == WrongRule::LongInterval)
        timings.promotionInterval_ = std::chrono::seconds(30);
    watcher.state_ = makeGroupState(GroupId("g"), InstanceId("w" + std::to_string(w)),
        "w" + std::to_string(w) + "/" + std::to_string(nodes_[w + groupSize].life_), timings);
    watcher.seen_.fill(now_);
    configure(w);
    membership(w);
    const auto offset = std::uniform_int_distribution<int>(0, 9)(random_);
    timer(w + groupSize, std::chrono::milliseconds(offset), [this, w] { writeLoop(w); });
}

inline void Simulation::configure(int w)
{
    GroupConfigured event;
    for (int i = 0; i < groupSize; ++i) {
        const DataCentre centre("dc" + std::to_string(i));
        event.members_.push_back({ ids_[i], centre });
        event.watchers_.push_back({ InstanceId("w" + std::to_string(i)), centre, watchers_[w].alive_[i] });
    }
    feed(w, event);
}

inline void Simulation::membership(int w)
{
    auto& watcher = watchers_[w];
    bool changed = false;
    for (int other = 0; other < groupSize; ++other) {
        const int from = other + groupSize;
        const int to = w + groupSize;
        if (isUp(from) && nodes_[from].frozenUntil_ <= now_ && !isCut(from, to) && !isCut(to, from))
            watcher.seen_[other] = now_;
        const bool alive = now_ - watcher.seen_[other] < std::chrono::seconds(3);
        changed |= alive != watcher.alive_[other];
        watcher.alive_[other] = alive;
    }
    if (changed)
        configure(w);
    timer(w + groupSize, std::chrono::milliseconds(500), [this, w] { membership(w); });
}

inline int Simulation::holderOf(int w, int e) const
{
    for (int i = 0; i < groupSize; ++i) {
        if (watchers_[w].alive_[(e + i) % groupSize])
            return (e + i) % groupSize;
    }
    return w;
}

inline void Simulation::writeLoop(int w)
{
    auto& watcher = watchers_[w];
    const auto primary = primaryOf(watcher.state_);
    if (primary && !watcher.paused_ && hasMajority(watcher.state_, now_)) {
        const int e = numberOf(*primary);
        if (holderOf(w, e) == w)
            send(MessageKind::Run, w + groupSize, e, 0,
                [this, e, w, term = termOf(watcher.state_), started = now_] { write(e, w, term, started); });
    }
    std::erase_if(
        watcher.pending_, [&](const PendingWrite& write) { return now_ - write.started_ > std::chrono::seconds(2); });
    timer(w + groupSize, settings_.writeInterval_, [this, w] { writeLoop(w); });
}

inline bool Simulation::confirmed(const GroupState& state, const LogPosition& position) const
{
    if (settings_.wrongRule_ == WrongRule::AcknowledgeAtOnce)
        return true;
    if (settings_.wrongRule_ != WrongRule::CountPrimaryTwice)
        return isConfirmed(state, position);
    int holders = 0;
    for (const auto& member : state.members_) {
        if (member.confirmablePosition_.term_ == position.term_
            && member.confirmablePosition_.index_ >= position.index_)
            holders += member.endpoint_ == state.primary_ ? 2 : 1;
    }
    return holders >= 2;
}

inline void Simulation::acknowledge(int w)
{
    auto& watcher = watchers_[w];
    std::erase_if(watcher.pending_, [&](const PendingWrite& write) {
        if (!confirmed(watcher.state_, write.position_))
            return false;
        history_[write.position_].acknowledged_ = true;
        if (write.started_ >= lastAckStart_) {
            lastAckStart_ = write.started_;
            lastAck_ = now_;
        }
        return true;
    });
}

inline void Simulation::feed(int w, const GroupEvent& event)
{
    auto& watcher = watchers_[w];
    for (const auto& action : step(watcher.state_, event, now_))
        std::visit([&](const auto& value) { act(w, value); }, action);
    acknowledge(w);
    if (const auto next = nextWakeup(watcher.state_))
        push(*next, w + groupSize, nodes_[w + groupSize].life_, [this, w, at = *next] {
            if (watchers_[w].state_.lastStepAt_ < at)
                feed(w, GroupTick {});
        });
}

inline int Simulation::connect(int w, int e)
{
    connections_.push_back({ w, e });
    return static_cast<int>(connections_.size()) - 1;
}

inline void Simulation::closedByPeer(int number)
{
    auto& connection = connections_[number];
    const int w = connection.watcher_;
    const int e = connection.endpoint_;
    if (connection.closed_)
        return;
    connection.closed_ = true;
    auto& watcher = watchers_[w];
    if (watcher.order_[e] == number)
        watcher.order_[e] = 0;
    if (watcher.watch_[e] == number)
        feed(w, WatchLost { ids_[e] });
    else if (watcher.probe_[e] == number)
        feed(w, ProbeFailed { watcher.probeNumber_[e], ids_[e] });
}

inline void Simulation::open(int w, int e, int number, std::function<void()> accepted)
{
    if (!isUp(e) && nodes_[e].refuses_ && !isCut(w + groupSize, e) && !isCut(e, w + groupSize)) {
        push(now_ + settings_.sameCentre_ + settings_.otherCentre_, w + groupSize, nodes_[w + groupSize].life_,
            [this, number] { closedByPeer(number); });
        return;
    }
    send(
        MessageKind::Connect, w + groupSize, e, number,
        [this, number, accepted = std::move(accepted)] {
            connections_[number].accepted_ = !connections_[number].closed_;
            accepted();
        },
        settings_.connect_);
}

inline void Simulation::act(int w, const OpenProbe& action)
{
    auto& watcher = watchers_[w];
    const int e = numberOf(action.endpoint_);
    connections_[watcher.probe_[e]].closed_ = true;
    watcher.probe_[e] = connect(w, e);
    watcher.probeNumber_[e] = action.probe_;
    const int number = watcher.probe_[e];
    open(w, e, number, [this, e, number] { reportOn(e, number, MessageKind::Report); });
}

inline void Simulation::act(int w, const ReplaceWatch& action)
{
    auto& watcher = watchers_[w];
    const int e = numberOf(action.endpoint_);
    connections_[watcher.watch_[e]].closed_ = true;
    watcher.watch_[e] = watcher.probe_[e];
    watcher.probe_[e] = 0;
}

inline void Simulation::act(int w, const SendVote& action)
{
    for (int other = 0; other < groupSize; ++other) {
        if (other != w)
            send(MessageKind::Vote, w + groupSize, other + groupSize, 0,
                [this, other, vote = action.vote_] { feed(other, VoteReceived { vote }); });
    }
}

inline void Simulation::act(int w, const SendOrder& action)
{
    auto& watcher = watchers_[w];
    const int e = numberOf(action.endpoint_);
    if (watcher.order_[e] && !watcher.orderWaits_[e]) {
        watcher.orderWaits_[e] = true;
        send(MessageKind::Order, w + groupSize, e, watcher.order_[e],
            [this, e, number = watcher.order_[e], action] { carryOut(e, number, action); });
        return;
    }
    connections_[watcher.order_[e]].closed_ = true;
    const int number = connect(w, e);
    watcher.order_[e] = number;
    watcher.orderWaits_[e] = true;
    open(w, e, number, [this, e, number, action] {
        connections_[number].accepted_ = false; // No watch runs on it.
        carryOut(e, number, action);
    });
}

inline void Simulation::carryOut(int e, int number, const SendOrder& order)
{
    if (order.kind_ == OrderKind::Fence && endpoints_[e].leaseUntil_ > now_ && order.term_ > endpoints_[e].promised_) {
        timer(e, endpoints_[e].leaseUntil_ - now_, [this, e, number, order] { carryOut(e, number, order); });
        return;
    }
    const bool accepted = obey(e, order);
    auto answer = reportOf(e);
    // The wrong rules of the choice are planted here, so that the module needs no switch for them.
    if (order.kind_ == OrderKind::Fence && settings_.wrongRule_ == WrongRule::PromoteFirst)
        answer.position_ = {};
    if (order.kind_ == OrderKind::Fence && settings_.wrongRule_ == WrongRule::CompareWithoutTerms)
        answer.position_.term_ = 0;
    const int w = connections_[number].watcher_;
    send(MessageKind::OrderAnswer, e, w + groupSize, number, [this, w, e, number, accepted, answer, order] {
        auto& watcher = watchers_[w];
        if (connections_[number].closed_)
            return;
        if (watcher.order_[e] == number)
            watcher.orderWaits_[e] = false;
        if (accepted)
            feed(w, OrderResponded { order.kind_, order.term_, answer });
        else
            feed(w, OrderRefused { order.kind_, order.term_, answer.endpoint_, answer.promisedTerm_ });
    });
}

} // namespace cassiahollow::fake
