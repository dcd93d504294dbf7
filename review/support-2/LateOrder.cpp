// A promotion whose call got no answer is carried out late, after the control leader that made it was killed.

#include "Rig.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace rig;
using namespace std::chrono_literals;

namespace {

// "carried out 2 to 12 s later"
constexpr Milliseconds lateness { 10000 };
constexpr std::size_t writers = 28;

} // namespace

int main(int, char** arguments)
{
    const auto* setting = std::getenv("TROUBLE");
    const bool hasTrouble = !setting || std::strcmp(setting, "0") != 0;
    Record record(arguments[1]);
    Deployment deployment(record, { .synchronous_ = 1, .connectionLimit_ = 34 });
    auto& group = deployment.group();
    // "One way, 1.4 ms between zones"; in_zone_ms is 0.2.
    group.databases_[1].delay_ = 1400us;
    group.databases_[2].delay_ = 200us;
    std::atomic<bool> wasOrdered { false };
    std::atomic<TimePoint> orderedAt {};
    std::atomic<bool> wasKilled { false };
    PromoteCall late;
    if (hasTrouble) {
        deployment.onPromote_ = [&](const PromoteCall& call) {
            if (wasOrdered.exchange(true))
                return deployment.carryOut(call);
            late = call;
            orderedAt = Clock::now();
            std::this_thread::sleep_for(200ms);
            if (auto* leader = deployment.byName(call.holder_))
                deployment.signalNode(*leader, SIGKILL);
            wasKilled = true;
            return 0;
        };
    }
    if (!deployment.start())
        return 2;
    std::mutex mutex;
    std::vector<std::pair<std::string, TimePoint>> acknowledged;
    std::atomic<bool> isBusy { false };
    std::atomic<bool> isEnding { false };
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < writers; ++i) {
        clients.emplace_back([&, i] {
            const auto& entry = deployment.entries()[i % deployment.entries().size()];
            while (!isEnding) {
                Client client(entry.address_, "returns", 2s);
                while (client.isOpen() && !isEnding) {
                    const auto id = newId();
                    const auto answer = client.query(id, "WRITE meter-" + std::to_string(i) + " returned");
                    record.add("client: " + id + (answer.succeeded_ ? " succeeded" : " ended with " + answer.error_));
                    if (answer.succeeded_) {
                        const std::lock_guard lock(mutex);
                        acknowledged.emplace_back(id, Clock::now());
                    }
                    std::this_thread::sleep_for(!answer.succeeded_ ? 50ms : isBusy ? 0ms : 20ms);
                }
                std::this_thread::sleep_for(50ms);
            }
        });
    }
    std::this_thread::sleep_for(4s);
    int result = 0;
    if (hasTrouble) {
        deployment.darken("i-1", true);
        const auto end = Clock::now() + 6s;
        while (!wasKilled && Clock::now() < end)
            std::this_thread::sleep_for(5ms);
        std::this_thread::sleep_for(300ms);
        deployment.darken("i-1", false);
        if (!wasKilled) {
            record.add("no promotion was ordered");
            result = 2;
        } else {
            std::this_thread::sleep_until(orderedAt.load() + 3s);
            if (auto* killed = deployment.byName(late.holder_))
                deployment.startNode(*killed);
            std::this_thread::sleep_until(orderedAt.load() + lateness - 2s);
            isBusy = true;
            std::this_thread::sleep_until(orderedAt.load() + lateness);
            record.add("the late call is carried out now");
            if (deployment.carryOut(late) != 200)
                result = 2;
        }
    }
    if (!hasTrouble) {
        std::this_thread::sleep_for(8s);
        isBusy = true;
        std::this_thread::sleep_for(2s);
    }
    std::this_thread::sleep_for(400ms);
    std::size_t lost = 0;
    std::size_t count = 0;
    {
        const std::lock_guard lock(group.mutex_);
        const std::lock_guard other(mutex);
        const auto* leader = group.leader();
        std::set<std::string> held;
        for (const auto& entry : leader->log_)
            held.insert(entry.query_);
        for (const auto& [id, time] : acknowledged) {
            ++count;
            if (held.contains(id))
                continue;
            ++lost;
            record.add("LOST: " + id + " was acknowledged and is not in the log of " + leader->id_);
        }
        record.add(std::to_string(count) + " writes acknowledged, " + std::to_string(lost) + " lost, " + leader->id_
            + " leads term " + std::to_string(group.highestTerm_));
    }
    isEnding = true;
    for (auto& client : clients)
        client.join();
    std::printf("%zu acknowledged, %zu lost\n", count, lost);
    return result ? result : lost ? 1 : 0;
}
