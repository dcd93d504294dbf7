#include "../support/Deployment.h"

#include <cstdlib>
#include <iostream>

// One report of another writer names an address to which no connection can be opened.
using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr auto calmTime = 5s;
constexpr auto troubleTime = 40s;
constexpr int faultEnds = 3;

struct Counts {
    std::atomic<int> complete_ { 0 };
    std::atomic<int> failed_ { 0 };
};

void runClients(Deployment& deployment, Record& record, const std::atomic<bool>& ending, Counts& counts)
{
    std::size_t turn = 0;
    while (!ending) {
        const auto& entry = deployment.entries()[turn++ % deployment.entries().size()];
        Client client(entry.listener_, Deployment::database_);
        for (int i = 0; i < 10 && client.isOpen() && !ending; ++i) {
            const auto id = newId();
            const std::string text
                = i % 5 == 0 ? "WRITE a" + std::to_string(turn) + " x" + id : "READ a" + std::to_string(turn);
            const auto answer = client.query(id, text);
            ++(answer.isComplete_ ? counts.complete_ : counts.failed_);
            if (!answer.isComplete_)
                record.write(entry.name_ + " " + id + " " + text + " -> " + answer.code_);
            std::this_thread::sleep_for(20ms);
        }
        if (!client.isOpen()) {
            ++counts.failed_;
            std::this_thread::sleep_for(100ms);
        }
    }
}

} // namespace

int main()
{
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record record(std::getenv("RECORD"));
    Deployment deployment(record, { .entries_ = 6 });
    if (!deployment.start())
        return 2;
    std::atomic<bool> ending { false };
    Counts counts;
    std::thread clients([&] { runClients(deployment, record, ending, counts); });
    std::this_thread::sleep_for(calmTime);
    record.write("calm: " + std::to_string(counts.complete_) + " statements complete, " + std::to_string(counts.failed_)
        + " not");
    if (hasTrouble) {
        // Fields are missing (Version, WarmupLeftMs, born), and the address belongs to no database.
        const std::string body = R"({"Service":"returns","Address":"127.255.255.255:8080","Zone":"zone-a","Slots":2,)"
                                 R"("State":"ready","DbRole":"replica","Seq":1})";
        const auto answer = deployment.callControl("PUT", "/api/instances/i-odd", body);
        record.write("PUT /api/instances/i-odd " + body + " -> " + std::to_string(answer.status_));
    }
    std::this_thread::sleep_for(troubleTime);
    ending = true;
    clients.join();
    std::size_t affected = 0;
    for (const auto& [name, ends] : deployment.ownEnds()) {
        record.write(name + " ended by itself " + std::to_string(ends) + " times");
        affected += ends >= faultEnds ? 1 : 0;
    }
    record.write("in all: " + std::to_string(counts.complete_) + " statements complete, "
        + std::to_string(counts.failed_) + " not; ready at the end: " + std::to_string(deployment.readyEntries()));
    const auto machines = deployment.controls().size() + deployment.entries().size();
    const bool isBroken = affected >= 2 && affected * 10 >= machines;
    record.write(isBroken ? "Fault: broken" : "Fault: held");
    return isBroken ? 1 : 0;
}
