#include "../support/Deployment.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

// The primary of a service with synchronous replicas is replaced as planned, and the leading control member does not
// reach it.
using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr auto calmTime = 4s;
constexpr auto roundLimit = 8s;
constexpr auto cutTime = 3500ms;
constexpr auto longestCut = 4900ms;
constexpr auto restTime = 2s;
constexpr int rounds = 13;
constexpr std::size_t writers = 16;

struct Acknowledged {
    std::mutex mutex_;
    std::set<std::string> ids_;
};

void runWriter(Deployment& deployment, std::size_t number, const std::atomic<bool>& ending, Acknowledged& acknowledged)
{
    std::size_t turn = number;
    while (!ending) {
        const auto& entry = deployment.entries()[turn++ % deployment.entries().size()];
        Client client(entry.listener_, Deployment::database_);
        while (client.isOpen() && !ending) {
            const auto id = newId();
            const auto answer = client.query(id, "WRITE w" + std::to_string(number) + " x" + id);
            if (answer.isComplete_) {
                const std::lock_guard lock(acknowledged.mutex_);
                acknowledged.ids_.insert(id);
            }
        }
    }
}

std::set<std::string> lostCommits(Deployment& deployment, Acknowledged& acknowledged)
{
    const auto rolledBack = deployment.group().rolledBack();
    const std::lock_guard lock(acknowledged.mutex_);
    std::set<std::string> lost;
    std::set_intersection(rolledBack.begin(), rolledBack.end(), acknowledged.ids_.begin(), acknowledged.ids_.end(),
        std::inserter(lost, lost.end()));
    return lost;
}

// Replaces the primary once. Returns whether another database was promoted.
bool replacePrimary(Deployment& deployment, Record& record, int round, bool hasTrouble)
{
    const auto primary = deployment.group().primary();
    const auto leader = deployment.leader();
    const auto begin = Clock::now();
    if (hasTrouble) {
        record.write("cut between " + primary + " and " + leader + " begins");
        deployment.cut(primary, leader);
    }
    std::this_thread::sleep_for(500ms);
    deployment.database(primary).leaving() = true;
    const auto awaitPromotion = [&](TimePoint end) {
        while (Clock::now() < end && deployment.promotions().size() < static_cast<std::size_t>(round + 1))
            std::this_thread::sleep_for(20ms);
    };
    awaitPromotion(begin + longestCut);
    std::this_thread::sleep_until(begin + cutTime);
    if (hasTrouble) {
        record.write("cut ends");
        deployment.cut(primary, {});
    }
    awaitPromotion(begin + roundLimit);
    const bool isPromoted = deployment.promotions().size() > static_cast<std::size_t>(round);
    if (isPromoted)
        deployment.replaceDatabase(primary, "i-" + std::to_string(round + 4));
    std::this_thread::sleep_for(restTime);
    return isPromoted;
}

} // namespace

int main()
{
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record record(std::getenv("RECORD"));
    Deployment deployment(record, { .entries_ = 6, .isSynchronous_ = true });
    // One way 1.4 ms between data centres, and the time that a replica takes to store what it receives.
    deployment.group().setReceiveDelay(1400us, 6000us);
    if (!deployment.start())
        return 2;
    std::atomic<bool> ending { false };
    Acknowledged acknowledged;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < writers; ++i)
        threads.emplace_back([&, i] { runWriter(deployment, i, ending, acknowledged); });
    std::this_thread::sleep_for(calmTime);
    bool isComplete = true;
    for (int round = 0; round < rounds && isComplete; ++round) {
        isComplete = replacePrimary(deployment, record, round, hasTrouble);
        const auto lost = lostCommits(deployment, acknowledged);
        record.write("round " + std::to_string(round + 1) + ": acknowledged " + std::to_string(acknowledged.ids_.size())
            + ", acknowledged and lost so far " + std::to_string(lost.size()));
    }
    ending = true;
    for (auto& thread : threads)
        thread.join();
    const auto lost = lostCommits(deployment, acknowledged);
    for (const auto& id : lost)
        record.write("acknowledged, and not in the log of the promoted database: " + id);
    record.write(lost.empty() ? "LOST: held" : "LOST: broken");
    return lost.empty() ? (isComplete ? 0 : 2) : 1;
}
