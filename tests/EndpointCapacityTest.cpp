#include "cassiahollow/request/EndpointCapacity.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <queue>
#include <random>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

using Seconds = std::chrono::duration<double>;

const TimePoint start { 1h };

// An endpoint with a first-come-first-served queue, whose clients always have as many statements in flight as their
// limits allow, in virtual time.
struct Replay {
    struct Client {
        EndpointCapacity capacity_;
        std::size_t inFlight_ { 0 };
        double longShare_ { 0.2 };
    };
    struct Running {
        TimePoint end_;
        std::size_t client_;
        ClassId class_;
        TimePoint sent_;
        bool operator>(const Running& other) const { return end_ > other.end_; }
    };
    struct Waiting {
        std::size_t client_;
        ClassId class_;
        TimePoint sent_;
    };

    std::size_t slots_ { 4 };
    double speed_ { 1 };
    double knee_ { 1 }; ///< Statements slow down while more than this share of the slots is in use.
    double failing_ { 0 };
    std::vector<Client> clients_;
    TimePoint now_ { start };
    std::mt19937_64 random_ { 7 };
    std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
    std::queue<Waiting> waiting_;
    double served_ { 0 }; ///< Unloaded seconds of the statements that were answered.

    Replay(std::size_t clients, std::size_t slots)
        : slots_(slots)
        , clients_(clients)
    {
        for (auto& client : clients_)
            client.capacity_.slotShare_ = std::ceil(static_cast<double>(slots) / static_cast<double>(clients));
    }

    static double secondsOf(const ClassId& name) { return name.value_ == "long" ? 0.055 : 0.011; }

    void startWaiting()
    {
        while (running_.size() < slots_ && !waiting_.empty()) {
            const auto next = waiting_.front();
            waiting_.pop();
            const double inUse = static_cast<double>(running_.size() + 1) / static_cast<double>(slots_);
            const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(random_);
            const double seconds
                = secondsOf(next.class_) * jitter * std::pow(std::max(1.0, inUse / knee_), 1.5) / speed_;
            running_.push({ now_ + std::chrono::duration_cast<Duration>(Seconds(seconds)), next.client_, next.class_,
                next.sent_ });
        }
    }

    void send()
    {
        for (std::size_t i = 0; i < clients_.size(); ++i) {
            auto& client = clients_[i];
            while (client.inFlight_ < static_cast<std::size_t>(client.capacity_.limit_)) {
                ++client.inFlight_;
                const bool isLong = std::uniform_real_distribution<double>()(random_) < client.longShare_;
                waiting_.push({ i, ClassId(isLong ? "long" : "short"), now_ });
            }
        }
        startWaiting();
    }

    void run(Duration length)
    {
        const auto end = now_ + length;
        send();
        while (!running_.empty() && running_.top().end_ < end) {
            const auto done = running_.top();
            running_.pop();
            now_ = done.end_;
            auto& client = clients_[done.client_];
            --client.inFlight_;
            if (std::uniform_real_distribution<double>()(random_) >= failing_) {
                learnResponse(client.capacity_, done.class_, now_ - done.sent_, now_);
                served_ += secondsOf(done.class_);
            }
            startWaiting();
            send();
        }
        now_ = end;
    }

    double limits() const
    {
        double sum = 0;
        for (const auto& client : clients_)
            sum += client.capacity_.limit_;
        return sum;
    }
};

// Lets a client learn the unloaded times at a low rate, as on a calm day.
void learnCalm(EndpointCapacity& capacity, TimePoint& now, double speed = 1, int count = 40)
{
    for (int i = 0; i < count; ++i, now += 20ms) {
        const ClassId name(i % 4 == 0 ? "long" : "short");
        learnResponse(
            capacity, name, std::chrono::duration_cast<Duration>(Seconds(Replay::secondsOf(name) / speed)), now);
    }
}

} // namespace

// Replays "endpoints of one group run at speeds 1, 0.5 and 0.25". A fixed bound on response times took the slow ones
// for overloaded and left their slots idle.
TEST_CASE("endpoints of any speed keep their slots in use")
{
    for (const double speed : { 1.0, 0.5, 0.25 }) {
        Replay replay(1, 4);
        replay.speed_ = speed;
        replay.run(10s);
        INFO("speed " << speed << " limit " << replay.limits());
        CHECK(replay.limits() >= 4);
        CHECK(replay.limits() <= 14);
        CHECK(replay.served_ >= 0.9 * 4 * speed * 10);
    }
}

// Replays "slow from 40 % of the slots on": more statements in flight than the knee make the endpoint answer fewer.
TEST_CASE("an endpoint that slows down before its slots are full gets fewer statements")
{
    Replay replay(1, 6);
    replay.clients_[0].capacity_.slotShare_ = 1; // The announcement is only a hint, and wrong here.
    TimePoint before = start - 2s;
    learnCalm(replay.clients_[0].capacity_, before);
    replay.knee_ = 0.4;
    replay.run(10s);
    INFO("limit " << replay.limits());
    CHECK(replay.limits() >= 2);
    CHECK(replay.limits() <= 6);
}

// Replays a sudden slow-down by other load and a recovery: both have to be followed within two seconds.
TEST_CASE("slow-down and recovery are followed within two seconds")
{
    EndpointCapacity capacity;
    auto now = start;
    learnCalm(capacity, now, 1, 200);
    const double calm = capacity.limit_;
    CHECK(calm >= 8);
    CHECK(slowdown(capacity, now) < 1.2);
    for (const auto end = now + 2s; now < end; now += 50ms)
        learnResponse(capacity, ClassId("short"), 60ms, now);
    CHECK(capacity.limit_ <= calm / 2);
    CHECK(slowdown(capacity, now) > 2);
    for (const auto end = now + 2s; now < end; now += 50ms)
        learnResponse(capacity, ClassId("short"), 11ms, now);
    CHECK(capacity.limit_ >= 4);
    CHECK(slowdown(capacity, now) < 1.5);
}

// Guards against estimates that stay bad for an endpoint that gets no statements because of them.
TEST_CASE("a slow-down is forgotten within two seconds without responses")
{
    EndpointCapacity capacity;
    auto now = start;
    learnCalm(capacity, now);
    for (int i = 0; i < 20; ++i, now += 50ms)
        learnResponse(capacity, ClassId("short"), 110ms, now);
    CHECK(slowdown(capacity, now) > 3);
    CHECK(slowdown(capacity, now + 2s) < slowdown(capacity, now) / 2);
}

// Guards against long statements that count as slow ones.
TEST_CASE("a mix that turns long leaves the limit as it is")
{
    EndpointCapacity capacity;
    auto now = start;
    learnCalm(capacity, now, 1, 200);
    const double before = capacity.limit_;
    for (int i = 0; i < 200; ++i, now += 10ms)
        learnResponse(capacity, ClassId("long"), 55ms, now);
    CHECK(capacity.limit_ >= before);
    CHECK(slowdown(capacity, now) == Approx(1).margin(0.05));
    // A class that was never seen is not slow either.
    learnResponse(capacity, ClassId("report"), 400ms, now);
    CHECK(capacity.limit_ >= before);
}

// Guards against an endpoint that fails some of its statements and is taken for a slow or a fast one.
TEST_CASE("partial failures leave the limit to the statements that are answered")
{
    Replay replay(1, 4);
    replay.failing_ = 0.3;
    replay.run(10s);
    CHECK(replay.limits() >= 4);
    CHECK(replay.limits() <= 14);
}

// Replays an endpoint that flaps: failures must neither close the limit nor keep it from growing again.
TEST_CASE("flapping neither closes the limit nor keeps it low")
{
    EndpointCapacity capacity;
    auto now = start;
    learnCalm(capacity, now, 1, 200);
    for (int i = 0; i < 50; ++i)
        learnFailure(capacity);
    CHECK(capacity.limit_ == Approx(startLimit));
    learnCalm(capacity, now, 1, 60);
    CHECK(capacity.limit_ >= 5);
    for (int i = 0; i < 50; ++i)
        learnShed(capacity);
    CHECK(capacity.limit_ == Approx(smallestLimit));
    learnCalm(capacity, now, 1, 60);
    CHECK(capacity.limit_ >= 5);
}

// Replays 134 instances that share an endpoint, each with a hundredth of its statements: chance must not limit one of
// them below what it starts with.
TEST_CASE("an instance with few statements keeps its limit")
{
    std::mt19937_64 random(3);
    std::lognormal_distribution<double> jitter(-0.03, 0.25);
    for (int instance = 0; instance < 134; ++instance) {
        EndpointCapacity capacity;
        auto now = start;
        for (int i = 0; i < 60; ++i, now += 700ms) {
            const ClassId name(random() % 4 == 0 ? "long" : "short");
            const Seconds response(Replay::secondsOf(name) * jitter(random));
            learnResponse(capacity, name, std::chrono::duration_cast<Duration>(response), now);
            CHECK(capacity.limit_ >= startLimit);
        }
    }
}

// Guards against instances that together fill the endpoint's queue because each believes the others' statements to be
// the endpoint's own time.
TEST_CASE("nine holders of an overloaded endpoint keep its queue short and share it")
{
    Replay replay(9, 4);
    for (auto& client : replay.clients_) {
        auto before = start - 2s;
        learnCalm(client.capacity_, before);
    }
    replay.run(10s);
    INFO("limits " << replay.limits());
    CHECK(replay.limits() <= 4 * 9 / 1.5);
    CHECK(replay.served_ >= 0.95 * 4 * 10);
    for (const auto& client : replay.clients_)
        CHECK(client.capacity_.limit_ <= 4);
}

// Guards against a log line for each step, and against a change that is never told.
TEST_CASE("a change of the limit by more than half is told once")
{
    EndpointCapacity capacity;
    auto now = start;
    CHECK_FALSE(takeLimitChange(capacity, now));
    capacity.limit_ = 3.1;
    CHECK_FALSE(takeLimitChange(capacity, now));
    now += limitReportInterval;
    CHECK(takeLimitChange(capacity, now));
    now += limitReportInterval;
    CHECK_FALSE(takeLimitChange(capacity, now));
    capacity.limit_ = 1.6;
    CHECK_FALSE(takeLimitChange(capacity, now));
    capacity.limit_ = 1.5;
    CHECK(takeLimitChange(capacity, now));
}

// Guards against a table that grows with each new catalog.
TEST_CASE("the number of classes is bounded")
{
    EndpointCapacity capacity;
    for (int i = 0; i < 1000; ++i)
        learnResponse(capacity, ClassId(std::to_string(i)), 10ms, start + i * 1ms);
    CHECK(capacity.classes_.size() <= largestClassCount);
}
