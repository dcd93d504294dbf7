#include "cassiahollow/request/StatementPlacement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <random>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

Route receiptRoute()
{
    Route route;
    route.name_ = "receipts";
    route.statementTimeout_ = 800ms;
    route.objective_ = 200ms;
    route.maxAge_ = 2500ms;
    route.priority_ = 2;
    return route;
}

// An endpoint with a few slots and a queue that sheds, as simulated time passes.
struct SimulatedEndpoint {
    std::size_t slots_ { 2 };
    std::size_t queueLimit_ { 16 };
    Duration work_ { 14ms };
    std::vector<TimePoint> slotFree_ = std::vector<TimePoint>(2, start);
    std::deque<TimePoint> running_; ///< Ends of accepted statements.

    /// The end of a statement that arrives now, or nothing when it is shed.
    std::optional<TimePoint> accept(TimePoint now)
    {
        std::erase_if(running_, [&](TimePoint end) { return end <= now; });
        if (running_.size() >= slots_ + queueLimit_)
            return std::nullopt;
        auto slot = std::min_element(slotFree_.begin(), slotFree_.end());
        *slot = std::max(*slot, now) + work_;
        running_.push_back(*slot);
        return *slot;
    }
};

struct Tally {
    int asked_ { 0 };
    int onTime_ { 0 };
    int shed_ { 0 };
};

// Replays reads of one instance at a rate against endpoints; `choose` gives the endpoint of each.
template <typename Choose>
Tally replay(std::vector<SimulatedEndpoint>& endpoints, std::vector<EndpointLoad>& loads, double perSecond,
    Duration length, Duration objective, Choose choose)
{
    struct Answer {
        TimePoint at_;
        std::size_t endpoint_;
        TimePoint sent_;
        bool operator>(const Answer& other) const { return at_ > other.at_; }
    };
    std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers;
    std::mt19937_64 random(11);
    std::exponential_distribution<double> gap(perSecond);
    Tally outcome;
    for (auto now = start; now < start + length;
         now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)))) {
        while (!answers.empty() && answers.top().at_ <= now) {
            const auto answer = answers.top();
            answers.pop();
            --loads[answer.endpoint_].inFlight_;
            recordResponse(loads[answer.endpoint_], answer.at_ - answer.sent_, answer.at_);
        }
        ++outcome.asked_;
        const auto chosen = choose(now);
        if (!chosen)
            continue;
        if (const auto end = endpoints[*chosen].accept(now)) {
            ++loads[*chosen].inFlight_;
            answers.push({ *end, *chosen, now });
            outcome.onTime_ += *end - now <= objective ? 1 : 0;
        } else {
            recordShed(loads[*chosen], now);
            ++outcome.shed_;
        }
    }
    return outcome;
}

std::vector<PlacementCandidate> candidatesOf(const std::vector<EndpointLoad>& loads)
{
    std::vector<PlacementCandidate> candidates;
    for (std::size_t i = 0; i < loads.size(); ++i)
        candidates.push_back({ i, &loads[i], 2, i == 0, true, false });
    return candidates;
}

} // namespace

// Replays "one endpoint of three is five times slower". Taking turns fails it: a third of the reads meet at the slow
// one.
TEST_CASE("reads leave an endpoint that has become slow")
{
    const auto run = [](bool learns) {
        std::vector<SimulatedEndpoint> endpoints(3);
        endpoints[2].work_ = 70ms;
        std::vector<EndpointLoad> loads(3);
        std::size_t turn = 0;
        return replay(endpoints, loads, 150, 6s, 200ms, [&](TimePoint now) -> std::optional<std::size_t> {
            return learns ? placeRead(candidatesOf(loads), 1s, now) : std::optional(turn++ % 3);
        });
    };
    const auto learned = run(true);
    // 150 reads of 14 ms a second use half of the four healthy slots, so all but those that find it out are on time.
    CHECK(learned.onTime_ >= learned.asked_ * 95 / 100);
    const auto inTurn = run(false);
    CHECK(inTurn.onTime_ < inTurn.asked_ * 80 / 100);
}

// Guards against reads that stay at the primary because it was the first to run their class, or because the replicas
// have rested.
TEST_CASE("reads go to replicas that have not run their class lately")
{
    const ClassId name("receipts");
    std::vector<EndpointLoad> loads(3);
    recordResponse(loads[0], 1ms, start, name);
    CHECK(placeRead(candidatesOf(loads), 1s, start, name) != 0);
    recordResponse(loads[1], 1ms, start, name);
    recordResponse(loads[2], 1ms, start, name);
    recordResponse(loads[0], 1ms, start + 5s, name);
    CHECK(placeRead(candidatesOf(loads), 1s, start + 5s, name) != 0);
}

// Guards against an endpoint that is taken for a fast one because it runs short statements.
TEST_CASE("reads are placed by the time of their class")
{
    std::vector<EndpointLoad> loads(3);
    auto now = start;
    for (int i = 0; i < 40; ++i, now += 10ms) {
        recordResponse(loads[1], 50ms, now, ClassId("audits"));
        recordResponse(loads[1], 10ms, now, ClassId("receipts"));
        recordResponse(loads[2], 30ms, now, ClassId("receipts"));
    }
    CHECK(placeRead(candidatesOf(loads), 1s, now, ClassId("receipts")) == 1);
}

// Replays "all replicas far behind": reads must not bounce between replicas that lag.
TEST_CASE("reads wait for the primary while no replica has caught up, and return when one has")
{
    std::vector<EndpointLoad> loads(3);
    auto now = start;
    CHECK(hasCaughtUpReplica(candidatesOf(loads), 2s, now));
    recordBehind(loads[1], 2s, now);
    CHECK(hasCaughtUpReplica(candidatesOf(loads), 2s, now));
    recordBehind(loads[2], 2s, now);
    CHECK_FALSE(hasCaughtUpReplica(candidatesOf(loads), 2s, now));
    CHECK(placeRead(candidatesOf(loads), 2s, now) == 0);
    // A read that accepts more age may still go there.
    CHECK(hasCaughtUpReplica(candidatesOf(loads), 3s, now));
    // What was learned grows old, so that replicas that caught up are found again.
    CHECK(hasCaughtUpReplica(candidatesOf(loads), 2s, now + estimateHalfLife));
    recordCaughtUp(loads[1], 30ms);
    CHECK(hasCaughtUpReplica(candidatesOf(loads), 40ms, now));
}

// Replays "many instances meet at the few slots of one endpoint". Without a window, the endpoint's queue is full all
// the time: those that get in are late, the others are shed.
TEST_CASE("the window keeps the queue at an overloaded endpoint short")
{
    constexpr std::size_t instances = 13;
    const auto run = [](bool bounded) {
        SimulatedEndpoint endpoint;
        std::vector<EndpointLoad> loads(instances);
        struct Answer {
            TimePoint at_;
            std::size_t instance_;
            TimePoint sent_;
            bool operator>(const Answer& other) const { return at_ > other.at_; }
        };
        std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers;
        std::mt19937_64 random(5);
        std::exponential_distribution<double> gap(250); // 1.75 times what two slots of 14 ms carry.
        Tally outcome;
        for (auto now = start; now < start + 10s;
             now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)))) {
            while (!answers.empty() && answers.top().at_ <= now) {
                const auto answer = answers.top();
                answers.pop();
                --loads[answer.instance_].inFlight_;
                recordResponse(loads[answer.instance_], answer.at_ - answer.sent_, answer.at_);
            }
            ++outcome.asked_;
            const auto instance = random() % instances;
            if (bounded && sendCapacity(loads[instance], 6) == 0)
                continue; // Waits at the instance; counted as not served.
            if (const auto end = endpoint.accept(now)) {
                ++loads[instance].inFlight_;
                answers.push({ *end, instance, now });
                outcome.onTime_ += *end - now <= 120ms ? 1 : 0;
            } else {
                recordShed(loads[instance], now);
                ++outcome.shed_;
            }
        }
        return outcome;
    };
    const auto bounded = run(true);
    const auto unbounded = run(false);
    // The slots carry 143 statements a second; all that they carry should be on time.
    CHECK(bounded.onTime_ >= 143 * 10 * 80 / 100);
    CHECK(bounded.onTime_ > 2 * unbounded.onTime_);
    CHECK(bounded.shed_ * 10 < unbounded.shed_);
}

// Guards against an instance that never sends anything again after a bad time.
TEST_CASE("a window is never closed, and opens again")
{
    EndpointLoad load;
    for (int i = 0; i < 100; ++i)
        recordShed(load, start);
    CHECK(sendCapacity(load, 5) == 1);
    for (int i = 0; i < 200; ++i)
        recordResponse(load, 10ms, start + i * 10ms);
    CHECK(sendCapacity(load, 5) == 5);
    load.inFlight_ = 1000;
    CHECK(sendCapacity(load, 5) == 0);
}

// Guards against a statement that waits past any use, and against one that is refused during a short promotion.
TEST_CASE("statements wait while an answer can still be on time, and through a promotion")
{
    const auto route = receiptRoute();
    CHECK(waitLimits(route, start, false).latestStart_ <= start + route.objective_ / 2);
    CHECK(waitLimits(route, start, true).latestStart_ >= start + 300ms); // A promotion of 300 ms.
    CHECK(waitLimits(route, start, true).latestStart_ <= start + route.statementTimeout_ / 2);
}

// Replays "answers of an endpoint are lost": the second attempt has to be answered within the objective.
TEST_CASE("a late read is sent elsewhere within its objective, but not while answers are just slow")
{
    EndpointLoad load;
    recordResponse(load, 14ms, start);
    CHECK(hedgeDelay(load, receiptRoute(), start) <= 120ms);
    EndpointLoad slow;
    for (int i = 0; i < 100; ++i)
        recordResponse(slow, 100ms, start + i * 1ms);
    CHECK(hedgeDelay(slow, receiptRoute(), start + 100ms) >= 300ms);
}

// Guards against urgent statements waiting behind long ones of less worth.
TEST_CASE("priority and a short objective raise the weight")
{
    auto verdicts = receiptRoute();
    verdicts.priority_ = 1;
    verdicts.objective_ = 120ms;
    auto audits = receiptRoute();
    audits.objective_ = 400ms;
    CHECK(queueWeight(verdicts) > 2 * queueWeight(receiptRoute()));
    CHECK(queueWeight(receiptRoute()) > 2 * queueWeight(audits));
    auto unlimited = receiptRoute();
    unlimited.objective_ = 0ms;
    unlimited.priority_ = 1000;
    CHECK(std::isfinite(queueWeight(unlimited)));
    CHECK(queueWeight(unlimited) > 0);
}

// Guards against the instances together exceeding an endpoint's limit, and against one that may hold none.
TEST_CASE("shares stay below the limit and leave nobody without a connection")
{
    for (const std::size_t limit : { 34U, 82U, 67U, 304U }) {
        for (std::size_t instances = 1; instances < limit; ++instances) {
            if (areConnectionsScarce(limit, instances))
                continue;
            std::size_t total = 0;
            for (std::size_t rank = 0; rank < instances; ++rank) {
                CHECK(connectionShare(limit, instances, rank) >= 1);
                total += connectionShare(limit, instances, rank);
            }
            CHECK(total < limit);
        }
    }
    CHECK(connectionShare(0, 0, 0) == 1);
    CHECK(connectionShare(10, 100, 99) == scarceConnectionShare);
}

// Replays "all machines restart at once": endpoints count the lost connections for some seconds. Guards against
// restarted instances whose connections are refused for the limit, as 33 instances were at endpoints that accept 46.
TEST_CASE("one connection of every instance fits twice below the limit unless connections are scarce")
{
    for (const std::size_t limit : { 34U, 46U, 82U, 67U, 304U }) {
        for (std::size_t instances = 1; instances <= 2 * limit; ++instances)
            CHECK(areConnectionsScarce(limit, instances) == (2 * instances >= limit));
    }
    CHECK(areConnectionsScarce(46, 33));
    CHECK_FALSE(areConnectionsScarce(82, 13));
    CHECK_FALSE(areConnectionsScarce(0, 1000));
}

// Guards against instances that all prefer the same replica while connections are scarce.
TEST_CASE("while connections are scarce, instances spread over the replicas")
{
    CHECK(areConnectionsScarce(67, 106));
    std::map<std::size_t, int> chosen;
    for (std::size_t rank = 0; rank < 106; ++rank)
        ++chosen[preferredReplica(rank, 2)];
    CHECK(chosen[0] == 53);
    CHECK(chosen[1] == 53);
    std::vector<EndpointLoad> loads(3);
    auto candidates = candidatesOf(loads);
    candidates[1].isPreferred_ = false;
    CHECK(placeRead(candidates, 1s, start) == 2);
    recordBehind(loads[2], 1s, start);
    CHECK(placeRead(candidates, 1s, start) == 0);
}

TEST_CASE("clients are told to come back later when more wait, within bounds")
{
    CHECK(retryAfter(0, 0.02, false) >= 50ms);
    CHECK(retryAfter(20, 0.02, false) > retryAfter(1, 0.02, false));
    CHECK(retryAfter(0, 0.02, true) >= 500ms);
    CHECK(retryAfter(1'000'000, 1, true) <= 2s);
}

// Guards against reads that open a connection of their account although another replica has one.
TEST_CASE("a read prefers a replica with a connection of its account unless that is much slower")
{
    std::vector<EndpointLoad> loads(2);
    for (auto& load : loads) {
        load.lastRespondedAt_ = start;
        load.responseSeconds_ = 0.01;
    }
    std::vector<PlacementCandidate> candidates;
    for (std::size_t i = 0; i < loads.size(); ++i)
        candidates.push_back({ .index_ = i, .load_ = &loads[i], .slots_ = 6, .isLocal_ = true });
    candidates[0].needsConnection_ = true;
    CHECK(placeRead(candidates, 1s, start) == 1);
    loads[1].responseSeconds_ = 0.02;
    CHECK(placeRead(candidates, 1s, start) == 1);
    loads[1].responseSeconds_ = 0.04;
    CHECK(placeRead(candidates, 1s, start) == 0);
}
