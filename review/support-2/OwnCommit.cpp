// A session writes at one service, then at another one after its route was moved, and reads at the first one after the
// route was moved back.

#include "Rig.h"

#include <algorithm>
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
    Deployment deployment(record,
        { .services_ = { "receipts", "verdicts" },
            .entries_ = 2,
            .connectionLimit_ = 34,
            .routeType_ = "read_your_writes" });
    const auto setLag = [&](std::size_t service, Milliseconds lag) {
        auto& group = deployment.group(service);
        const std::lock_guard lock(group.mutex_);
        for (auto& database : group.databases_)
            database.lag_ = lag;
    };
    // "replicas 20 ms behind"
    setLag(0, 20ms);
    setLag(1, 20ms);
    deployment.firstRoutes_ = { { "r-1", "returns", "receipts" }, { "r-others", "others", "receipts" } };
    std::mutex mutex;
    std::map<std::string, std::string> commitBefore; // Of a read: the session's commit that it has to see.
    std::size_t reads = 0;
    std::size_t stale = 0;
    deployment.onRun_ = [&](const Database& database, const std::string& query, const std::string& text) {
        const std::lock_guard lock(mutex);
        const auto found = commitBefore.find(query);
        if (found == commitBefore.end() || text.find("READ") == std::string::npos)
            return;
        ++reads;
        const bool isHeld = std::any_of(database.log_.begin(),
            database.log_.begin() + static_cast<std::ptrdiff_t>(database.applied()),
            [&](const LogRecord& entry) { return entry.query_ == found->second; });
        if (isHeld)
            return;
        ++stale;
        record.add("STALE: " + query + " runs on " + database.id_ + ", which has not applied " + found->second
            + " of the same session");
    };
    if (!deployment.start())
        return 2;
    std::atomic<bool> isEnding { false };
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 6; ++i) {
        clients.emplace_back([&, i] {
            const auto& entry = deployment.entries()[i % 2];
            for (int count = 0; !isEnding;) {
                Client client(entry.address_, "others", 2s);
                while (client.isOpen() && !isEnding) {
                    client.query(newId(), count++ % 8 == 0 ? "WRITE meter-1 returned" : "READ meter-1");
                    std::this_thread::sleep_for(20ms);
                }
                std::this_thread::sleep_for(50ms);
            }
        });
    }
    std::this_thread::sleep_for(3s);
    if (hasTrouble) {
        record.add("the replicas of receipts fall 1200 ms behind"); // 20 ms x 60
        setLag(0, 1200ms);
    }
    const auto laggedAt = Clock::now();
    std::this_thread::sleep_for(1300ms);
    int result = 0;
    std::uint64_t version = 1;
    for (int round = 0; round < 3; ++round) {
        std::vector<std::unique_ptr<Client>> sessions;
        std::vector<std::string> commits;
        for (std::size_t i = 0; i < 6; ++i)
            sessions.push_back(std::make_unique<Client>(deployment.entries()[i % 2].address_, "returns", 2s));
        const auto writeAll = [&](std::vector<std::string>& ids) {
            for (auto& session : sessions) {
                const auto id = newId();
                const auto answer = session->query(id, "WRITE meter-2 returned");
                record.add("client: write " + id + (answer.succeeded_ ? " succeeded" : " ended with " + answer.error_));
                ids.push_back(answer.succeeded_ ? id : "");
            }
        };
        writeAll(commits);
        const auto move = [&](const std::string& service) {
            ++version;
            const std::vector<Deployment::Route> routes { { "r-" + std::to_string(version), "returns", service },
                { "r-others", "others", "receipts" } };
            const bool isDone = deployment.configure(version, deployment.document(version, routes), 3s);
            std::this_thread::sleep_for(250ms);
            return isDone;
        };
        std::vector<std::string> elsewhere;
        if (!move("verdicts"))
            result = 2;
        writeAll(elsewhere);
        if (!move("receipts"))
            result = 2;
        for (int repeat = 0; repeat < 3; ++repeat) {
            for (std::size_t i = 0; i < sessions.size(); ++i) {
                if (commits[i].empty() || !sessions[i]->isOpen())
                    continue;
                const auto id = newId();
                {
                    const std::lock_guard lock(mutex);
                    commitBefore[id] = commits[i];
                }
                const auto answer = sessions[i]->query(id, "READ meter-2");
                record.add("client: read " + id + (answer.succeeded_ ? " succeeded" : " ended with " + answer.error_));
            }
        }
        std::this_thread::sleep_for(500ms);
    }
    if (hasTrouble) {
        setLag(0, 20ms);
        record.add("the replicas of receipts catch up");
    }
    if (Clock::now() - laggedAt > 6500ms)
        result = 2;
    isEnding = true;
    for (auto& client : clients)
        client.join();
    const std::lock_guard lock(mutex);
    record.add(std::to_string(reads) + " reads run, " + std::to_string(stale) + " of them stale");
    std::printf("%zu reads run, %zu of them stale\n", reads, stale);
    return result ? result : stale ? 1 : reads ? 0 : 2;
}
