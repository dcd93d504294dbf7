#include "cassiahollow/request/AdmissionQueue.h"

#include <catch2/catch.hpp>
#include <memory>

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
