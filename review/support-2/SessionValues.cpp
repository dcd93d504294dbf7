// Clients that set many long session values.

#include "Rig.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace rig;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t memoryMb = 182; // Of an entry instance's machine.
constexpr std::size_t longValue = 900'000; // "is at most 1 MiB"
constexpr std::size_t namesOfSession = 250;
constexpr int countedEnds = 3; // "end by themselves three times in the day"

} // namespace

int main(int, char** arguments)
{
    const auto* setting = std::getenv("TROUBLE");
    const bool hasTrouble = !setting || std::strcmp(setting, "0") != 0;
    Record record(arguments[1]);
    Deployment deployment(record, { .entries_ = 2 });
    if (!deployment.start())
        return 2;
    const std::string value(hasTrouble ? longValue : 9, 'v');
    std::atomic<bool> isEnding { false };
    std::vector<std::thread> clients;
    for (const auto& entry : deployment.entries()) {
        // The one client at each instance that sets the values.
        clients.emplace_back([&] {
            while (!isEnding) {
                Client client(entry.address_, "returns", 2s);
                std::size_t count = 0;
                std::string error;
                while (client.isOpen() && !isEnding && count < namesOfSession && error.empty()) {
                    const auto answer = client.query(newId(), "SET v" + std::to_string(count) + " " + value);
                    error = answer.error_;
                    count += answer.succeeded_ ? 1 : 0;
                }
                record.add("client at " + entry.name_ + ": " + std::to_string(count) + " values of "
                    + std::to_string(value.size()) + " bytes set" + (error.empty() ? "" : ", then " + error));
                // The session stays open for a while.
                for (int i = 0; i < 50 && !isEnding && error.empty(); ++i)
                    std::this_thread::sleep_for(100ms);
                std::this_thread::sleep_for(500ms);
            }
        });
        // An ordinary client.
        clients.emplace_back([&] {
            while (!isEnding) {
                Client client(entry.address_, "returns", 2s);
                while (client.isOpen() && !isEnding) {
                    const auto id = newId();
                    const auto answer = client.query(id, "READ meter-1");
                    if (!answer.succeeded_)
                        record.add(
                            "client at " + entry.name_ + ": " + id + " READ meter-1 ended with " + answer.error_);
                    std::this_thread::sleep_for(20ms);
                }
                std::this_thread::sleep_for(100ms);
            }
        });
    }
    std::vector<int> ends(deployment.entries().size());
    std::vector<std::size_t> most(deployment.entries().size());
    const auto until = Clock::now() + 30s;
    while (Clock::now() < until) {
        std::this_thread::sleep_for(5ms);
        for (std::size_t i = 0; i < ends.size(); ++i) {
            auto& entry = deployment.entries()[i];
            const auto used = Deployment::memoryOf(entry);
            most[i] = std::max(most[i], used);
            if (used <= memoryMb)
                continue;
            record.add(entry.name_ + " uses " + std::to_string(used) + " MB of " + std::to_string(memoryMb)
                + " MB and is killed");
            ++ends[i];
            deployment.signalNode(entry, SIGKILL);
            std::this_thread::sleep_for(300ms);
            deployment.startNode(entry);
        }
    }
    isEnding = true;
    for (auto& client : clients)
        client.join();
    int machines = 0;
    for (std::size_t i = 0; i < ends.size(); ++i) {
        machines += ends[i] >= countedEnds ? 1 : 0;
        const auto result = deployment.entries()[i].name_ + " was killed " + std::to_string(ends[i]) + " times, used "
            + std::to_string(most[i]) + " MB at most";
        record.add(result);
        std::printf("%s\n", result.c_str());
    }
    return machines >= 2 ? 1 : 0;
}
