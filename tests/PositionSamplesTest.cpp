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

// Guards against a session that forgets its commit in one group because it has committed in others since, and against a
// floor that the group's log may never reach.
TEST_CASE("a session sees its last commit of each group")
{
    struct Log {
        std::uint64_t index_ { 0 };
        std::uint64_t own_ { 0 };
        PositionSamples samples_;
    };
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const auto groupCount = 1 + random() % (2 * maximumOwnCommits);
    std::vector<Log> logs(groupCount);
    OwnCommits commits;
    auto now = start;
    int floors = 0;
    for (int i = 0; i < 20'000; ++i) {
        now += std::chrono::milliseconds(1 + random() % 60);
        const auto chosen = random() % groupCount;
        const GroupId group("g" + std::to_string(chosen));
        auto& log = logs[chosen];
        log.index_ += random() % 3;
        switch (random() % 8) {
        case 0:
        case 1:
            log.own_ = ++log.index_;
            recordCommit(commits, group, { { 1, log.own_ }, now });
            break;
        case 2:
        case 3:
            addSample(log.samples_, { now, { 1, log.index_ } }, now);
            break;
        case 4:
            forgetPosition(commits, group);
            break;
        default: {
            // The holder of the group's connections gets the commit with its age.
            const auto own = lastCommit(commits, group);
            OwnCommits atHolder;
            recordCommit(atHolder, group, own);
            CHECK(lastCommit(atHolder, group).position_ == own.position_);
            CHECK(lastCommit(atHolder, group).acknowledgedAt_ == own.acknowledgedAt_);
            const auto sample = floorSample(log.samples_, earliestSample(now - 2500ms, own));
            if (!sample)
                break;
            const auto floor = sessionFloor(*sample, own);
            ++floors;
            REQUIRE(floor.position_.index_ >= log.own_);
            REQUIRE(floor.position_.index_ <= log.index_);
        }
        }
        REQUIRE(commits.latest_.size() <= maximumOwnCommits);
    }
    CHECK(floors > 100);
}

TEST_CASE("an older commit of a session does not lower its floor")
{
    const GroupId group("returns");
    OwnCommits commits;
    recordCommit(commits, group, { { 3, 120 }, start + 8ms });
    recordCommit(commits, group, { { 3, 110 }, start + 5ms });
    CHECK(lastCommit(commits, group).position_ == LogPosition { 3, 120 });
    CHECK(lastCommit(commits, group).acknowledgedAt_ == start + 8ms);
    // What was acknowledged before the sample was requested is at or below it, unless the log is another one.
    CHECK(sessionFloor(sample(9ms, 1, 4), lastCommit(commits, group)).position_ == LogPosition { 1, 4 });
}
