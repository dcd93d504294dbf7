// Compares rules for the number of statements in flight and for the choice of an endpoint, with the decision code of
// the product and simulated endpoints in virtual time. Prints one Markdown table row per rule and load pattern; see
// docs/design/learned-capacity.md.

#include "cassiahollow/request/AdmissionQueue.h"
#include "cassiahollow/request/RetryBudget.h"
#include "cassiahollow/request/StatementPlacement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <gflags/gflags.h>
#include <memory>
#include <queue>
#include <random>

DEFINE_uint64(seed, 1, "Seed of the first trial");
DEFINE_uint64(trials, 3, "Trials of each rule and pattern, with consecutive seeds");
DEFINE_uint64(seconds, 20, "Virtual seconds of each trial; disturbances last from 30 to 70 % of them");
DEFINE_string(only, "", "Name of the only pattern to run");

namespace {

using namespace cassiahollow;
using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

const TimePoint start { 1h };

enum class LimitRule { Present, Aimd, Gradient, Little, Learned };
enum class ChoiceRule { PlaceRead, PlaceByClass, LeastOutstanding, PowerOfTwo };

struct Rules {
    const char* name_;
    LimitRule limit_;
    ChoiceRule choice_;
    AdmissionOrder order_ { AdmissionOrder::Shares };
};

constexpr Rules compared[] = {
    { "present", LimitRule::Present, ChoiceRule::PlaceRead },
    { "present limit, times by class", LimitRule::Present, ChoiceRule::PlaceByClass },
    { "AIMD", LimitRule::Aimd, ChoiceRule::PlaceRead },
    { "gradient", LimitRule::Gradient, ChoiceRule::PlaceRead },
    { "Little's law", LimitRule::Little, ChoiceRule::PlaceRead },
    { "present limit, least outstanding", LimitRule::Present, ChoiceRule::LeastOutstanding },
    { "present limit, two choices", LimitRule::Present, ChoiceRule::PowerOfTwo },
    { "learned limit, present choice", LimitRule::Learned, ChoiceRule::PlaceRead },
    { "learned", LimitRule::Learned, ChoiceRule::PlaceByClass },
    { "present, order by value", LimitRule::Present, ChoiceRule::PlaceRead, AdmissionOrder::Value },
    { "learned, order by value", LimitRule::Learned, ChoiceRule::PlaceByClass, AdmissionOrder::Value },
};

struct Kind {
    Route route_;
    double seconds_;
    double perSecond_;
    double value_; ///< Of one answer in time.
};

struct Server {
    std::size_t slots_ { 4 };
    double speed_ { 1 };
    double knee_ { 1 }; ///< Statements are slowed down while more than this share of the slots is in use.
    double failing_ { 0 }; ///< Share of statements that are answered with an error.
    bool isUsable_ { true }; ///< False for replicas that are far behind, and a primary that does not answer.
    std::size_t running_ { 0 };
    std::deque<std::size_t> waiting_;
};

struct Pattern {
    const char* name_;
    std::size_t holders_ { 9 };
    std::size_t slots_ { 4 };
    double load_ { 1 }; ///< Times the usual load.
    bool isFirst_ { false }; ///< The first customer's times, else the second's.
    /// Changes the servers and loads when `isDisturbed` begins or ends.
    std::function<void(std::vector<Server>&, std::vector<Kind>&, bool isDisturbed)> disturb_ {};
};

// The queue of an endpoint; the servers of the platform answer that they are busy when it is full.
constexpr std::size_t serverQueue = 16;
// The present rule grows below this response time, and shrinks above it.
constexpr double presentResponseSeconds = 0.09;
constexpr std::size_t endpointsInGroup = 3;
constexpr std::size_t connections = 12;
constexpr Seconds oneWay { 0.0007 };

std::vector<Kind> kindsOf(const Pattern& pattern)
{
    // Rates of one group of eight.
    const double base[2][3][4] = { { { 3.8, 257, 120, 4 }, { 19, 257, 400, 1 }, { 12, 1201, 200, 2 } },
        { { 11, 126, 250, 4 }, { 55, 219, 1500, 1 }, { 33, 591, 500, 2 } } };
    const int timeouts[2][3] = { { 800, 2500, 800 }, { 2000, 8000, 2000 } };
    std::vector<Kind> kinds;
    for (int i = 0; i < 3; ++i) {
        const auto& row = base[pattern.isFirst_ ? 1 : 0][i];
        Kind kind;
        kind.route_.name_ = "kind" + std::to_string(i);
        kind.route_.objective_ = std::chrono::milliseconds(static_cast<int>(row[2]));
        kind.route_.statementTimeout_ = std::chrono::milliseconds(timeouts[pattern.isFirst_ ? 1 : 0][i]);
        kind.route_.priority_ = i == 0 ? 0 : i == 1 ? 2 : 1;
        kind.seconds_ = row[0] / 1000;
        kind.perSecond_ = row[1] / 8 * pattern.load_;
        kind.value_ = row[3];
        kinds.push_back(kind);
    }
    return kinds;
}

struct Statement {
    std::size_t kind_ { 0 };
    std::size_t holder_ { 0 };
    std::size_t endpoint_ { 0 };
    std::size_t server_ { 0 };
    TimePoint arrived_;
    TimePoint sent_;
    int attempts_ { 0 };
    std::vector<bool> tried_ = std::vector<bool>(endpointsInGroup);
    AdmissionItem item_;
};

// State of the rules other than the product's.
struct OtherRule {
    double shortest_ { 0 };
    double longTerm_ { 0 };
    double rate_ { 0 };
    TimePoint last_;
};

struct Holder {
    std::vector<EndpointLoad> loads_ = std::vector<EndpointLoad>(endpointsInGroup);
    std::vector<OtherRule> others_ = std::vector<OtherRule>(endpointsInGroup);
    RetryBudget retries_;
    AdmissionQueue queue_ { { .slots_ = 1, .initialServiceTime_ = 10ms } };
};

struct Score {
    double value_ { 0 };
    double offered_ { 0 };
    double servedSeconds_ { 0 };
    std::uint64_t asked_ { 0 };
    std::uint64_t onTime_ { 0 };
    std::uint64_t shed_ { 0 };
    std::vector<double> share_;
};

// One trial: events in virtual time.
class Trial {
public:
    Trial(const Pattern& pattern, const Rules& rules, std::uint64_t seed)
        : pattern_(pattern)
        , rules_(rules)
        , random_(seed)
        , kinds_(kindsOf(pattern))
        , servers_(endpointsInGroup)
        , asked_(3)
        , onTime_(3)
    {
        for (auto& server : servers_)
            server.slots_ = pattern.slots_;
        std::map<ClassId, AdmissionClass> classes;
        for (const auto& kind : kinds_)
            classes[ClassId(kind.route_.name_)] = { queueWeight(kind.route_), false, statementValue(kind.route_) };
        for (std::size_t i = 0; i < pattern.holders_; ++i) {
            holders_.push_back(std::make_unique<Holder>());
            for (auto& load : holders_.back()->loads_)
                load.capacity_.slotShare_ = slotShare(pattern.slots_, pattern.holders_);
            auto settings = holders_.back()->queue_.settings_;
            settings.classes_ = classes;
            settings.order_ = rules.order_;
            configure(holders_.back()->queue_, std::move(settings));
        }
    }

    Score run()
    {
        const auto length = std::chrono::duration_cast<Duration>(Seconds(static_cast<double>(FLAGS_seconds)));
        for (std::size_t kind = 0; kind < kinds_.size(); ++kind)
            arriveLater(kind, start);
        if (pattern_.disturb_) {
            at(start + length * 3 / 10, [this] { pattern_.disturb_(servers_, kinds_, true); });
            at(start + length * 7 / 10, [this] { pattern_.disturb_(servers_, kinds_, false); });
        }
        while (!events_.empty() && events_.top().at_ < start + length) {
            auto event = events_.top();
            events_.pop();
            now_ = event.at_;
            event.run_();
        }
        for (std::size_t kind = 0; kind < kinds_.size(); ++kind)
            score_.share_.push_back(
                static_cast<double>(onTime_[kind]) / std::max(1.0, static_cast<double>(asked_[kind])));
        return score_;
    }

private:
    struct Event {
        TimePoint at_;
        std::uint64_t number_;
        std::function<void()> run_;
        bool operator<(const Event& other) const { return std::tie(at_, number_) > std::tie(other.at_, other.number_); }
    };

    void at(TimePoint time, std::function<void()> run) { events_.push({ time, ++number_, std::move(run) }); }
    void after(Seconds delay, std::function<void()> run)
    {
        at(now_ + std::chrono::duration_cast<Duration>(delay), std::move(run));
    }

    void arriveLater(std::size_t kind, TimePoint from)
    {
        const double gap = std::exponential_distribution<double>(kinds_[kind].perSecond_)(random_);
        at(from + std::chrono::duration_cast<Duration>(Seconds(gap)), [this, kind] {
            arrive(kind);
            arriveLater(kind, now_);
        });
    }

    void arrive(std::size_t kind)
    {
        statements_.push_back(std::make_unique<Statement>());
        auto& statement = *statements_.back();
        statement.kind_ = kind;
        statement.holder_ = random_() % holders_.size();
        statement.arrived_ = now_;
        // The first and last parts of a trial are not counted as they are not complete.
        score_.offered_ += kinds_[kind].value_;
        ++score_.asked_;
        ++asked_[kind];
        recordRequest(holders_[statement.holder_]->retries_, now_);
        enqueueStatement(statements_.size() - 1);
    }

    void enqueueStatement(std::size_t id)
    {
        auto& statement = *statements_[id];
        auto& holder = *holders_[statement.holder_];
        const auto& route = kinds_[statement.kind_].route_;
        statement.item_.class_ = ClassId(route.name_);
        statement.item_.id_ = id;
        statement.item_.deadline_ = waitLimits(route, statement.arrived_, false).latestStart_;
        if (!enqueue(holder.queue_, statement.item_, now_))
            dispatch(statement.holder_);
    }

    void dispatch(std::size_t number)
    {
        auto& holder = *holders_[number];
        std::size_t slots = 0;
        std::size_t room = 0;
        for (std::size_t i = 0; i < endpointsInGroup; ++i) {
            const auto& load = holder.loads_[i];
            if (!servers_[i].isUsable_)
                continue;
            slots += sendLimit(load);
            room += sendCapacity(load, connections - std::min(connections, load.inFlight_));
        }
        holder.queue_.settings_.slots_ = slots;
        const auto decision = next(holder.queue_, now_, room);
        for (auto* item : decision.start_) {
            auto& statement = *statements_[item->id_];
            const auto endpoint = choose(holder, statement);
            auto& load = holder.loads_[endpoint];
            ++load.inFlight_;
            ++statement.attempts_;
            statement.endpoint_ = endpoint;
            statement.sent_ = now_;
            after(oneWay, [this, id = item->id_] { reach(id); });
        }
        if (const auto deadline = nextDeadline(holder.queue_))
            at(*deadline, [this, number] { dispatch(number); });
    }

    std::size_t choose(const Holder& holder, const Statement& statement)
    {
        std::vector<PlacementCandidate> candidates;
        for (std::size_t i = 0; i < endpointsInGroup; ++i) {
            if (servers_[i].isUsable_ && sendCapacity(holder.loads_[i], connections) > 0)
                candidates.push_back(
                    { i, &holder.loads_[i], servers_[i].slots_, i == 0, true, statement.tried_[i], true });
        }
        const auto& loads = holder.loads_;
        const auto leastFirst = [&](const PlacementCandidate& a, const PlacementCandidate& b) {
            const auto cost = [&](const PlacementCandidate& candidate) {
                const auto& load = loads[candidate.index_];
                const double penalty = now_ < load.avoidUntil_ ? 20 : 0;
                return penalty + static_cast<double>(load.inFlight_ + 1) * expectedResponse(load, now_);
            };
            return cost(a) < cost(b);
        };
        switch (rules_.choice_) {
        case ChoiceRule::LeastOutstanding:
            return std::min_element(candidates.begin(), candidates.end(), leastFirst)->index_;
        case ChoiceRule::PowerOfTwo: {
            // The reported load is the queue of the endpoint, as of its last report.
            std::shuffle(candidates.begin(), candidates.end(), random_);
            const auto last = candidates.begin() + std::min<std::ptrdiff_t>(2, std::ssize(candidates));
            return std::min_element(candidates.begin(), last, [this](const auto& a, const auto& b) {
                const auto load = [this](std::size_t i) { return servers_[i].running_ + servers_[i].waiting_.size(); };
                return load(a.index_) < load(b.index_);
            })->index_;
        }
        case ChoiceRule::PlaceByClass:
            return *placeRead(candidates, 1s, now_, statement.item_.class_);
        default:
            return *placeRead(candidates, 1s, now_);
        }
    }

    void reach(std::size_t id)
    {
        auto& server = servers_[statements_[id]->endpoint_];
        if (server.running_ < server.slots_)
            return runAt(server, id);
        if (server.waiting_.size() >= serverQueue) {
            after(oneWay, [this, id] { shed(id); });
            return;
        }
        server.waiting_.push_back(id);
    }

    void runAt(Server& server, std::size_t id)
    {
        ++server.running_;
        const double inUse = static_cast<double>(server.running_) / static_cast<double>(server.slots_);
        const double slower = std::pow(std::max(1.0, inUse / server.knee_), 1.5);
        const double jitter = std::lognormal_distribution<double>(-0.03, 0.25)(random_);
        const double seconds = kinds_[statements_[id]->kind_].seconds_ * jitter * slower / server.speed_;
        score_.servedSeconds_ += kinds_[statements_[id]->kind_].seconds_;
        after(Seconds(seconds), [this, &server, id] {
            --server.running_;
            if (!server.waiting_.empty()) {
                const auto following = server.waiting_.front();
                server.waiting_.pop_front();
                runAt(server, following);
            }
            const bool failed = std::uniform_real_distribution<double>()(random_) < server.failing_;
            after(oneWay, [this, id, failed] { answered(id, failed); });
        });
    }

    void answered(std::size_t id, bool failed)
    {
        auto& statement = *statements_[id];
        auto& holder = *holders_[statement.holder_];
        auto& load = holder.loads_[statement.endpoint_];
        --load.inFlight_;
        cassiahollow::finished(holder.queue_, statement.item_, now_);
        if (!failed) {
            learn(holder, statement);
            const auto& kind = kinds_[statement.kind_];
            if (now_ - statement.arrived_ <= kind.route_.objective_) {
                score_.value_ += kind.value_;
                ++score_.onTime_;
                ++onTime_[statement.kind_];
            }
        }
        dispatch(statement.holder_);
    }

    void shed(std::size_t id)
    {
        auto& statement = *statements_[id];
        auto& holder = *holders_[statement.holder_];
        auto& load = holder.loads_[statement.endpoint_];
        --load.inFlight_;
        ++score_.shed_;
        const double before = load.capacity_.limit_;
        recordShed(load, now_);
        if (rules_.limit_ != LimitRule::Learned)
            load.capacity_.limit_ = std::max(smallestLimit, before / 2);
        cancel(holder.queue_, statement.item_);
        statement.tried_[statement.endpoint_] = true;
        const auto limits = waitLimits(kinds_[statement.kind_].route_, statement.arrived_, false);
        if (statement.attempts_ < 4 && now_ <= limits.latestStart_ && takeRetry(holder.retries_, now_))
            after(Seconds(shedPause) * statement.attempts_, [this, id] { enqueueStatement(id); });
        dispatch(statement.holder_);
    }

    void learn(Holder& holder, const Statement& statement)
    {
        auto& load = holder.loads_[statement.endpoint_];
        const double before = load.capacity_.limit_;
        recordResponse(load, now_ - statement.sent_, now_, statement.item_.class_);
        if (rules_.limit_ == LimitRule::Learned)
            return;
        const double seconds = Seconds(now_ - statement.sent_).count();
        load.capacity_.limit_
            = std::clamp(otherLimit(holder.others_[statement.endpoint_], before, seconds, load.inFlight_ + 1),
                smallestLimit, largestLimit);
    }

    double otherLimit(OtherRule& rule, double limit, double seconds, std::size_t inFlight)
    {
        rule.shortest_ = rule.shortest_ == 0 ? seconds : std::min(rule.shortest_, seconds);
        rule.longTerm_ = rule.longTerm_ == 0 ? seconds : rule.longTerm_ + (seconds - rule.longTerm_) / 100;
        switch (rules_.limit_) {
        case LimitRule::Aimd: // Reduces by a tenth above twice the shortest response time.
            return seconds > 2 * rule.shortest_              ? limit * 0.9
                : static_cast<double>(inFlight) * 2 >= limit ? limit + 1 / limit
                                                             : limit;
        case LimitRule::Gradient: { // Long-term response time with a tolerance of 1.5, and a queue of the square root.
            const double gradient = std::clamp(1.5 * rule.longTerm_ / seconds, 0.5, 1.0);
            return limit * 0.8 + (gradient * limit + std::sqrt(limit)) * 0.2;
        }
        case LimitRule::Little: { // Rate of responses times the shortest response time.
            const double gap = std::max(1e-6, Seconds(now_ - rule.last_).count());
            if (rule.last_ != TimePoint())
                rule.rate_ += (1 / gap - rule.rate_) * std::min(1.0, gap);
            rule.last_ = now_;
            return rule.rate_ * rule.shortest_ * 1.5 + 1;
        }
        default:
            return seconds < presentResponseSeconds ? limit + 1 / limit : limit - limit / 16;
        }
    }

    const Pattern& pattern_;
    const Rules& rules_;
    std::mt19937_64 random_;
    std::vector<Kind> kinds_;
    std::vector<Server> servers_;
    std::vector<std::unique_ptr<Statement>> statements_; // Outlive the queues that link them.
    std::vector<std::unique_ptr<Holder>> holders_;
    std::priority_queue<Event> events_;
    std::uint64_t number_ { 0 };
    TimePoint now_ { start };
    Score score_;
    std::vector<std::uint64_t> asked_;
    std::vector<std::uint64_t> onTime_;
};

std::vector<Pattern> patterns()
{
    using Servers = std::vector<Server>;
    using Kinds = std::vector<Kind>;
    const auto speeds = [](Servers& servers, Kinds&, bool) {
        servers[1].speed_ = 0.5;
        servers[2].speed_ = 0.25;
    };
    const auto allSlow = [](Servers& servers, Kinds&, bool on) {
        for (auto& server : servers)
            server.speed_ = on ? 0.25 : 1;
    };
    const auto knee = [](Servers& servers, Kinds&, bool) {
        for (auto& server : servers)
            server.knee_ = 0.4;
    };
    const auto slowDown = [](Servers& servers, Kinds&, bool on) { servers[1].speed_ = on ? 0.2 : 1; };
    const auto failing = [](Servers& servers, Kinds&, bool on) { servers[2].failing_ = on ? 0.3 : 0; };
    const auto longMix = [](Servers&, Kinds& kinds, bool on) { kinds[1].perSecond_ *= on ? 2.5 : 0.4; };
    const auto behind = [](Servers& servers, Kinds&, bool on) { servers[2].isUsable_ = !on; };
    const auto silent = [](Servers& servers, Kinds&, bool on) { servers[0].isUsable_ = !on; };
    const auto oneLeft = [](Servers& servers, Kinds&, bool on) {
        servers[0].speed_ = on ? 0.02 : 1;
        servers[2].speed_ = on ? 0.5 : 1;
    };
    const auto overload = [](double times) {
        return [times](Servers&, Kinds& kinds, bool on) {
            for (auto& kind : kinds)
                kind.perSecond_ *= on ? times : 1 / times;
        };
    };
    return {
        { "calm, 9 holders", 9, 4, 1, false },
        { "calm, 134 instances", 134, 6, 1, true },
        { "calm, 1 instance", 1, 4, 1, false },
        { "speeds 1, 0.5, 0.25", 9, 4, 1, false, speeds },
        { "speeds, first customer", 9, 6, 1.3, true, speeds },
        { "all at a quarter", 3, 4, 1, false, allSlow },
        { "all at a quarter, first", 3, 6, 0.8, true, allSlow },
        { "slow from 40 %", 3, 6, 2, false, knee },
        { "slow from 40 %, first", 9, 6, 1, true, knee },
        { "one slows down to 0.2", 9, 4, 1.5, false, slowDown },
        { "30 % failures", 9, 4, 1, false, failing },
        { "long kind times 2.5", 9, 6, 1.6, true, longMix },
        { "long kind, two slow", 9, 6, 1, true,
            [=](Servers& servers, Kinds& kinds, bool on) {
                longMix(servers, kinds, on);
                oneLeft(servers, kinds, on);
            } },
        { "one replica of two behind, load 2", 9, 6, 2, true, behind },
        { "primary silent, one replica behind", 9, 6, 1, true,
            [=](Servers& servers, Kinds& kinds, bool on) {
                behind(servers, kinds, on);
                silent(servers, kinds, on);
            } },
        { "all together", 9, 6, 1, true,
            [=](Servers& servers, Kinds& kinds, bool on) {
                behind(servers, kinds, on);
                silent(servers, kinds, on);
                longMix(servers, kinds, on);
            } },
        { "all together, load 1.3", 9, 6, 1.3, true,
            [=](Servers& servers, Kinds& kinds, bool on) {
                behind(servers, kinds, on);
                silent(servers, kinds, on);
                longMix(servers, kinds, on);
            } },
        { "overload 1.5, 9 holders", 9, 4, 1, false, overload(7) },
        { "overload 1.5, first", 9, 6, 1, true, overload(6.5) },
        { "overload 1.5, 134", 134, 6, 1, true, overload(6.5) },
    };
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("| pattern | rule | value in time | short | long | middle | slot time used | shed per 1000 |\n");
    std::printf("|---|---|---|---|---|---|---|---|\n");
    for (const auto& pattern : patterns()) {
        if (!FLAGS_only.empty() && FLAGS_only != pattern.name_)
            continue;
        for (const auto& rules : compared) {
            Score sum;
            std::vector<double> shares(3);
            for (std::uint64_t trial = 0; trial < FLAGS_trials; ++trial) {
                const auto score = Trial(pattern, rules, FLAGS_seed + trial).run();
                sum.value_ += score.value_ / score.offered_;
                sum.servedSeconds_
                    += score.servedSeconds_ / static_cast<double>(FLAGS_seconds * endpointsInGroup * pattern.slots_);
                sum.shed_ += score.shed_ * 1000 / score.asked_;
                for (std::size_t i = 0; i < 3; ++i)
                    shares[i] += score.share_[i];
            }
            const auto trials = static_cast<double>(FLAGS_trials);
            std::printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |\n", pattern.name_, rules.name_,
                sum.value_ / trials, shares[0] / trials, shares[1] / trials, shares[2] / trials,
                sum.servedSeconds_ / trials, static_cast<double>(sum.shed_) / trials);
        }
    }
    return 0;
}
