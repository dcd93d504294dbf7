#include "cassiahollow/request/AdmissionQueue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint() + 1h;

struct Bench {
    std::vector<std::unique_ptr<AdmissionItem>> items_; // Outlive the queue that links them.
    AdmissionQueue queue_;

    explicit Bench(AdmissionSettings settings)
        : queue_(std::move(settings))
    {
    }

    std::optional<Reason> add(const char* name, const char* service = "s", Duration deadline = 1h, bool owns = false)
    {
        items_.push_back(std::make_unique<AdmissionItem>());
        auto& item = *items_.back();
        item.class_ = ClassId(name);
        item.service_ = ServiceId(service);
        item.deadline_ = start + deadline;
        item.ownsConnection_ = owns;
        item.id_ = items_.size();
        return enqueue(queue_, item, start);
    }

    // Runs items one after the other and counts them by class and service.
    std::map<std::string, int> serve(int count, Duration serviceTime = 2ms)
    {
        std::map<std::string, int> served;
        auto now = start;
        for (int i = 0; i < count; ++i) {
            for (auto* item : next(queue_, now).start_) {
                ++served[item->class_.value_ + "/" + item->service_.value_];
                now += serviceTime;
                finished(queue_, *item, now);
            }
        }
        return served;
    }
};

AdmissionSettings settingsOf(std::size_t slots, std::map<ClassId, AdmissionClass> classes = {})
{
    return { slots, 1000, 2ms, std::move(classes) };
}

} // namespace

// Guards against classes that get another share of the slots than their weight.
TEST_CASE("classes share the slot time by weight")
{
    Bench bench(settingsOf(1, { { ClassId("heavy"), { 3, false } }, { ClassId("light"), { 1, false } } }));
    for (int i = 0; i < 200; ++i) {
        bench.add("light");
        bench.add("heavy");
    }
    const auto served = bench.serve(100);
    REQUIRE(served.at("heavy/s") == 75);
    REQUIRE(served.at("light/s") == 25);
}

// Guards against a class that earns slot time while it has no work and then shuts out the others.
TEST_CASE("an idle class saves up nothing, and a class alone gets all slots")
{
    Bench bench(settingsOf(1, { { ClassId("heavy"), { 1000, false } } }));
    for (int i = 0; i < 100; ++i)
        bench.add("light");
    REQUIRE(bench.serve(50).at("light/s") == 50);
    for (int i = 0; i < 3; ++i)
        bench.add("heavy");
    const auto served = bench.serve(50);
    REQUIRE(served.at("heavy/s") == 3);
    REQUIRE(served.at("light/s") == 47);
}

// Guards against a service that takes its class for itself by sending more requests.
TEST_CASE("services in a class take turns")
{
    Bench bench(settingsOf(1));
    for (int i = 0; i < 90; ++i)
        bench.add("c", "loud");
    for (int i = 0; i < 10; ++i)
        bench.add("c", "quiet");
    REQUIRE(bench.serve(20).at("c/quiet") == 10);
}

// Guards against urgent requests that wait because all slots run other work.
TEST_CASE("one slot is kept for urgent classes if there is more than one")
{
    for (const std::size_t slots : { 1, 2, 3 }) {
        Bench bench(settingsOf(slots, { { ClassId("urgent"), { 1, true } } }));
        for (int i = 0; i < 10; ++i)
            bench.add("bulk");
        const auto running = next(bench.queue_, start).start_;
        REQUIRE(running.size() == std::max<std::size_t>(1, slots - 1));
        bench.add("urgent");
        bench.add("urgent");
        REQUIRE(next(bench.queue_, start).start_.size() == (slots > 1 ? 1 : 0));
        finished(bench.queue_, *running[0], start + 2ms);
        REQUIRE(next(bench.queue_, start + 2ms).start_.size() == 1);
    }
}

// Guards against a slot that stays free for classes that do not exist.
TEST_CASE("no slot is reserved without an urgent class")
{
    Bench bench(settingsOf(2));
    for (int i = 0; i < 3; ++i)
        bench.add("bulk");
    REQUIRE(next(bench.queue_, start).start_.size() == 2);
}

// Guards against requests that occupy the queue although their caller will have given up.
TEST_CASE("a request that cannot start before its deadline is refused at once")
{
    Bench bench(settingsOf(1));
    for (int i = 0; i < 10; ++i)
        REQUIRE_FALSE(bench.add("c").has_value());
    REQUIRE(bench.queue_.waiting_ == 10);
    REQUIRE(bench.add("c", "s", 15ms) == Reason::DeadlineUnreachable); // Ten statements of 2 ms are ahead.
    REQUIRE_FALSE(bench.add("c", "s", 21ms).has_value());
    REQUIRE(bench.add("c", "s", 0ms) == Reason::DeadlinePassed);
    REQUIRE_FALSE(bench.add("c", "other", 15ms).has_value()); // Another service has its turn earlier.
    REQUIRE_FALSE(bench.add("c", "s", 5ms, true).has_value()); // Statements of transactions go first.
}

// Guards against refusals or admissions by a service time that is no longer true.
TEST_CASE("the service time is learned")
{
    Bench bench(settingsOf(1));
    for (int i = 0; i < 60; ++i)
        bench.add("c");
    bench.serve(50, 10ms);
    REQUIRE(expectedWait(bench.queue_, ClassId("c"), ServiceId("s")) > 95ms);
    REQUIRE(expectedWait(bench.queue_, ClassId("c"), ServiceId("s")) < 105ms);
}

// Guards against waiting requests that are never answered, and against a start after the deadline.
TEST_CASE("expired, cancelled and remaining items leave the queue")
{
    Bench bench(settingsOf(1));
    bench.add("c");
    const auto running = next(bench.queue_, start).start_;
    bench.add("c", "s", 50ms);
    bench.add("c", "s", 60ms);
    bench.add("c");
    REQUIRE(nextDeadline(bench.queue_) == start + 50ms);
    auto decision = next(bench.queue_, start + 50ms);
    REQUIRE(decision.start_.empty());
    REQUIRE(decision.refuse_.size() == 1);
    REQUIRE(decision.refuse_[0].item_ == bench.items_[1].get());
    cancel(bench.queue_, *bench.items_[2]);
    cancel(bench.queue_, *running[0]);
    cancel(bench.queue_, *running[0]); // Has no second effect.
    REQUIRE(bench.queue_.running_ == 0);
    REQUIRE(refuseAll(bench.queue_, Reason::EndpointLeaving).size() == 1);
    REQUIRE(bench.queue_.waiting_ == 0);
    REQUIRE(next(bench.queue_, start).start_.empty());
}

// Guards against memory without bound, and against a flood of one class that shuts out the others.
TEST_CASE("the queue is bounded, with room for each class")
{
    AdmissionSettings settings = settingsOf(1, { { ClassId("a"), { 1, false } }, { ClassId("b"), { 1, false } } });
    settings.maximumLength_ = 20;
    Bench bench(settings);
    int accepted = 0;
    for (int i = 0; i < 100; ++i)
        accepted += bench.add("a").has_value() ? 0 : 1;
    REQUIRE(accepted == 10);
    REQUIRE(bench.add("a") == Reason::QueueFull);
    for (int i = 0; i < 5; ++i)
        REQUIRE_FALSE(bench.add("b").has_value());
    REQUIRE(bench.add("b") == Reason::QueueFull);
}

// Guards against a deadlock: transactions hold all connections while their statements wait behind new requests.
TEST_CASE("statements of transactions start without a free connection")
{
    Bench bench(settingsOf(2));
    bench.add("c");
    bench.add("c", "s", 1h, true);
    const auto decision = next(bench.queue_, start, 0);
    REQUIRE(decision.start_.size() == 1);
    REQUIRE(decision.start_[0]->ownsConnection_);
    finished(bench.queue_, *decision.start_[0], start + 1ms);
    REQUIRE(next(bench.queue_, start, 0).start_.empty());
    REQUIRE(next(bench.queue_, start, 1).start_.size() == 1);
}

// Guards against statements behind one that has no connection yet, and against a search for one that never ends.
TEST_CASE("a service is passed over while its first item may not start")
{
    Bench bench(settingsOf(4));
    bench.add("c", "blocked");
    bench.add("c", "blocked");
    bench.add("c", "free");
    const auto isFree = [](const AdmissionItem& item) { return item.service_ == ServiceId("free"); };
    const auto decision = next(bench.queue_, start, 4, isFree);
    REQUIRE(decision.start_.size() == 1);
    CHECK(decision.start_[0]->service_ == ServiceId("free"));
    CHECK(next(bench.queue_, start, 4, isFree).start_.empty());
    CHECK(waitingOf(bench.queue_, ClassId("c"), ServiceId("blocked")) == 2);
    CHECK(waitingOf(bench.queue_, ClassId("c"), ServiceId("other")) == 0);
    CHECK(waitingOf(bench.queue_, ClassId("d"), ServiceId("free")) == 0);
    CHECK(next(bench.queue_, start, 4).start_.size() == 2);
}

// Guards against a queue that chooses by one answer and takes by another: an own connection that is expected soon makes
// the answer change with the time.
TEST_CASE("an answer that changes while the queue decides does not matter")
{
    Bench bench(settingsOf(4));
    bench.add("c", "a");
    bench.add("d", "b");
    int asked = 0;
    const auto once = [&](const AdmissionItem& item) { return item.service_ == ServiceId("a") && asked++ == 0; };
    CHECK(next(bench.queue_, start, 4, once).start_.size() == 1);
    CHECK(bench.queue_.waiting_ == 1);
}

namespace {

// Statements of many accounts in front of six slots, as simulated time passes. The first account sends `factor` times
// its usual load in the middle of the replay.
struct Replay {
    static constexpr std::size_t accounts = 20;
    static constexpr auto serviceTime = 11ms;
    static constexpr auto patience = 112ms; // Of a route with an objective of 250 ms.

    struct Outcome {
        std::size_t started_ { 0 };
        std::size_t refused_ { 0 };
        Duration p99_ { 0 };
    };

    // Of all accounts but the first.
    static Outcome run(double factor)
    {
        std::vector<std::pair<Duration, std::size_t>> arrivals;
        for (std::size_t account = 0; account < accounts; ++account) {
            std::mt19937_64 random(account); // The others send the same in each replay.
            // A fifth of the usual load comes from the first account; together they use 60 % of the slots.
            const double usual = account == 0 ? 65.0 : 262.0 / (accounts - 1);
            for (double at = 0; at < 20;) {
                const bool isBurst = account == 0 && at >= 5 && at < 11.5;
                at += std::exponential_distribution<double>(usual * (isBurst ? factor : 1))(random);
                arrivals.emplace_back(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)), account);
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
        Outcome outcome;
        std::vector<std::unique_ptr<AdmissionItem>> items;
        AdmissionQueue queue({ 6, 1000, serviceTime, {} });
        std::multimap<TimePoint, AdmissionItem*> ends;
        std::map<const AdmissionItem*, TimePoint> arrived;
        std::vector<Duration> waits;
        const auto countRefused
            = [&](const AdmissionItem& item) { outcome.refused_ += item.service_ != ServiceId("0"); };
        const auto serve = [&](TimePoint now) {
            const auto decision = next(queue, now);
            for (const auto& refused : decision.refuse_)
                countRefused(*refused.item_);
            for (auto* item : decision.start_) {
                ends.emplace(now + serviceTime, item);
                if (item->service_ != ServiceId("0"))
                    waits.push_back(now - arrived[item]);
            }
        };
        const auto endUntil = [&](TimePoint now) {
            while (!ends.empty() && ends.begin()->first <= now) {
                const auto [end, item] = *ends.begin();
                ends.erase(ends.begin());
                finished(queue, *item, end);
                serve(end);
            }
        };
        for (const auto& [at, account] : arrivals) {
            const auto now = start + at;
            endUntil(now);
            auto& item = *items.emplace_back(std::make_unique<AdmissionItem>());
            item.class_ = ClassId("c");
            item.service_ = ServiceId(std::to_string(account));
            item.deadline_ = now + patience;
            arrived[&item] = now;
            if (enqueue(queue, item, now))
                countRefused(item);
            serve(now);
        }
        endUntil(start + 1h);
        std::sort(waits.begin(), waits.end());
        outcome.started_ = waits.size();
        outcome.p99_ = waits[waits.size() * 99 / 100];
        return outcome;
    }
};

} // namespace

// Replays "one account sends 7.5 times its usual load for 6.5 s": the others must neither be refused nor wait for it.
TEST_CASE("an account that sends far more than usual delays only itself")
{
    const auto calm = Replay::run(1);
    const auto burst = Replay::run(7.5);
    CAPTURE(calm.p99_.count(), burst.p99_.count(), burst.started_);
    CHECK(calm.refused_ == 0);
    CHECK(burst.refused_ == 0);
    // While the slots are never free, a statement waits until the next one ends: a part of one service time.
    CHECK(burst.p99_ <= calm.p99_ + Replay::serviceTime);
}

// Guards against long statements of little value that fill the slots during an overload of short ones.
TEST_CASE("by value, a second of a slot goes to the most valuable class, and none starves")
{
    auto settings = settingsOf(1, { { ClassId("short"), { 1, false, 4 } }, { ClassId("long"), { 1, false, 1 } } });
    settings.order_ = AdmissionOrder::Value;
    Bench bench(std::move(settings));
    for (int i = 0; i < 220; ++i) { // Fits into the half of the places that is open to any class.
        REQUIRE_FALSE(bench.add("short"));
        REQUIRE_FALSE(bench.add("long"));
    }
    const auto served = bench.serve(200);
    CHECK(served.at("short/s") >= 180);
    CHECK(served.at("long/s") >= 200 * guaranteedShare - 1);
}

// Guards against a statement that yields until it can no longer be in time, although the others could wait.
TEST_CASE("by value, a statement yields until its deadline is near, and no longer")
{
    auto settings = settingsOf(1, { { ClassId("short"), { 1, false, 4 } }, { ClassId("long"), { 1, false, 1 } } });
    settings.order_ = AdmissionOrder::Value;
    Bench bench(std::move(settings));
    REQUIRE_FALSE(bench.add("long", "s", 10ms));
    REQUIRE_FALSE(bench.add("short", "s", 100ms));
    auto started = next(bench.queue_, start).start_;
    REQUIRE(started.size() == 1);
    CHECK(started[0]->class_ == ClassId("short")); // 10 ms are several service times of 2 ms.
    finished(bench.queue_, *started[0], start + 2ms);
    REQUIRE_FALSE(bench.add("short", "s", 100ms));
    started = next(bench.queue_, start + 7ms).start_;
    REQUIRE(started.size() == 1);
    CHECK(started[0]->class_ == ClassId("long"));
    finished(bench.queue_, *started[0], start + 9ms);
    // The short one that cannot wait goes first.
    cancel(bench.queue_, *next(bench.queue_, start + 9ms).start_.at(0));
    REQUIRE_FALSE(bench.add("long", "s", 13ms));
    REQUIRE_FALSE(bench.add("short", "s", 12ms));
    started = next(bench.queue_, start + 10ms).start_;
    REQUIRE(started.size() == 1);
    CHECK(started[0]->class_ == ClassId("short"));
}

// Guards against refusals because a limit was low for a moment.
TEST_CASE("a wait is expected from the slots of the last moments")
{
    Bench bench(settingsOf(4));
    for (int i = 0; i < 12; ++i)
        REQUIRE_FALSE(bench.add("c"));
    next(bench.queue_, start);
    const auto before = expectedWait(bench.queue_, ClassId("c"), ServiceId("s"));
    bench.queue_.settings_.slots_ = 2;
    next(bench.queue_, start + 5ms);
    CHECK(expectedWait(bench.queue_, ClassId("c"), ServiceId("s")) < before * 5 / 4);
    next(bench.queue_, start + 2s);
    CHECK(expectedWait(bench.queue_, ClassId("c"), ServiceId("s")) > before * 3 / 2);
}
