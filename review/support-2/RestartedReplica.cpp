// A paused replica restarts while the platform carries out a promotion.

#include "Rig.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace rig;
using namespace std::chrono_literals;

int main(int, char** arguments)
{
    const auto* setting = std::getenv("TROUBLE");
    const bool hasTrouble = !setting || std::strcmp(setting, "0") != 0;
    Record record(arguments[1]);
    Deployment deployment(record, { .entries_ = 5, .synchronous_ = 1, .promoteTime_ = 1000ms });
    auto& group = deployment.group();
    // "One way, 0.9 ms between zones"; in_zone_ms is 0.2.
    group.databases_[1].delay_ = 200us;
    group.databases_[2].delay_ = 900us;
    std::atomic<bool> isOrdered { false };
    std::thread crash;
    if (hasTrouble) {
        deployment.onPromote_ = [&](const PromoteCall& call) {
            const int status = deployment.carryOut(call);
            if (status == 200 && !isOrdered.exchange(true))
                crash = std::thread([&, other = std::string(call.id_ == "i-2" ? "i-3" : "i-2")] {
                    std::this_thread::sleep_for(100ms);
                    deployment.crash(other);
                    std::this_thread::sleep_for(300ms);
                    deployment.restart(other);
                });
            return status;
        };
    }
    if (!deployment.start())
        return 2;
    std::mutex mutex;
    std::vector<std::string> acknowledged;
    std::atomic<bool> isEnding { false };
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 10; ++i) {
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
                        acknowledged.push_back(id);
                    }
                    std::this_thread::sleep_for(answer.succeeded_ ? 5ms : 50ms);
                }
                std::this_thread::sleep_for(50ms);
            }
        });
    }
    std::this_thread::sleep_for(6s);
    int result = 0;
    if (hasTrouble) {
        // Three of five entry instances, and the control members.
        deployment.cut("i-1", { "front-1", "front-2", "front-3", "core-1", "core-2", "core-3" });
        for (int i = 0; i < 500 && !isOrdered; ++i)
            std::this_thread::sleep_for(10ms);
        if (!isOrdered)
            result = 2;
        std::this_thread::sleep_for(1500ms);
        deployment.cut("i-1", {});
    }
    std::this_thread::sleep_for(3s);
    if (crash.joinable())
        crash.join();
    std::size_t lost = 0;
    {
        const std::lock_guard lock(group.mutex_);
        const std::lock_guard guard(mutex);
        const auto* leader = group.leader();
        std::set<std::string> held;
        for (const auto& entry : leader->log_)
            held.insert(entry.query_);
        for (const auto& id : acknowledged) {
            if (held.contains(id))
                continue;
            ++lost;
            record.add("LOST: " + id + " was acknowledged and is not in the log of " + leader->id_);
        }
        record.add(std::to_string(acknowledged.size()) + " writes acknowledged, " + std::to_string(lost) + " lost, "
            + leader->id_ + " leads term " + std::to_string(group.highestTerm_));
        std::printf("%zu acknowledged, %zu lost\n", acknowledged.size(), lost);
    }
    isEnding = true;
    for (auto& client : clients)
        client.join();
    return result ? result : lost ? 1 : 0;
}
