#include "cassiahollow/request/PositionSamples.h"

#include <catch2/catch.hpp>
#include <random>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

PositionSample sample(Duration asked, Term term, std::uint64_t index)
{
    return { start + asked, { term, index } };
}

} // namespace

// Guards against a floor that misses a commit acknowledged before the age that the read accepts.
TEST_CASE("the floor is the oldest sample that is young enough")
{
    PositionSamples samples;
    for (int i = 0; i < 10; ++i)
        addSample(samples, sample(i * 100ms, 1, static_cast<std::uint64_t>(100 + i)), start + i * 100ms);
    CHECK(floorSample(samples, start + 150ms)->position_ == LogPosition { 1, 102 });
    CHECK(floorSample(samples, start + 200ms)->position_ == LogPosition { 1, 102 });
    CHECK(floorSample(samples, start)->position_ == LogPosition { 1, 100 });
    CHECK_FALSE(floorSample(samples, start + 901ms));
    CHECK(newestSample(samples)->position_ == LogPosition { 1, 109 });
}

// Guards against replicas that wait for ever for a position of a term that has ended.
TEST_CASE("a sample of a new term replaces those of the old one, and not the other way round")
{
    PositionSamples samples;
    addSample(samples, sample(0ms, 1, 500), start);
    addSample(samples, sample(100ms, 2, 480), start + 100ms);
    CHECK(floorSample(samples, start)->position_ == LogPosition { 2, 480 });
    // The answer of the deposed primary arrives late.
    addSample(samples, sample(200ms, 1, 501), start + 200ms);
    CHECK(newestSample(samples)->position_ == LogPosition { 2, 480 });
}

// Guards against crossed answers: an older question must not stand for a newer time.
TEST_CASE("answers that cross keep floor and time together")
{
    PositionSamples samples;
    addSample(samples, sample(100ms, 1, 110), start + 120ms);
    addSample(samples, sample(50ms, 1, 105), start + 130ms);
    CHECK(floorSample(samples, start + 60ms)->position_ == LogPosition { 1, 110 });
}

// Guards against a bound that grows with the number of statements.
TEST_CASE("the number of samples is bounded")
{
    PositionSamples samples;
    for (int i = 0; i < 100'000; ++i)
        addSample(samples, sample(i * 1ms, 1, static_cast<std::uint64_t>(i)), start + i * 1ms);
    CHECK(samples.samples_.size() <= static_cast<std::size_t>(sampleLifetime / sampleSpacing) + 2);
}

// The promise itself, over random histories: each commit is known to a sample that was asked for after it.
TEST_CASE("no floor lacks a commit that was acknowledged before its time")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        PositionSamples samples;
        std::vector<std::pair<TimePoint, LogPosition>> commits;
        Term term = 1;
        std::uint64_t index = 1;
        auto now = start;
        for (int i = 0; i < 300; ++i) {
            now += std::chrono::milliseconds(random() % 30);
            const auto asked = now;
            now += std::chrono::milliseconds(random() % 10);
            if (random() % 40 == 0) {
                ++term;
                commits.clear(); // The promotion may have rolled them back.
            }
            commits.emplace_back(now, LogPosition { term, ++index });
            // The position at any moment between question and answer.
            addSample(samples, { asked, { term, index } }, now);
            const auto age = std::chrono::milliseconds(random() % 2500);
            if (const auto floor = floorSample(samples, now - age)) {
                for (const auto& [acknowledged, position] : commits) {
                    if (acknowledged < now - age)
                        REQUIRE(floor->position_ >= position);
                }
            }
        }
    }
}

TEST_CASE("a session reads its own commit")
{
    const auto floor = sample(0ms, 3, 100);
    const auto floorFor = [&](LogPosition commit) { return sessionFloor(floor, { commit, start + 5ms }); };
    CHECK(floorFor({}).position_ == LogPosition { 3, 100 });
    CHECK(floorFor({ 3, 120 }).position_ == LogPosition { 3, 120 });
    CHECK(floorFor({ 2, 500 }).position_ == LogPosition { 3, 100 });
    CHECK(floorFor({ 4, 90 }).position_ == LogPosition { 4, 90 });
    // What a replica that lacks the floor tells about its lag depends on which of the two the floor is.
    CHECK(floorFor({ 2, 500 }).reachedAt_ == floor.requestedAt_);
    CHECK(floorFor({ 3, 120 }).reachedAt_ == start + 5ms);
}
