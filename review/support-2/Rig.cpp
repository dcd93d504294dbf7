#include "Rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

    sockaddr_in addressOf(const std::string& address)
    {
        const auto colon = address.rfind(':');
        sockaddr_in out {};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
        return out;
    }

    int listenAt(const std::string& address)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto at = addressOf(address);
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 || listen(descriptor, 256) != 0) {
            std::perror(("listen " + address).c_str());
            std::exit(2);
        }
        return descriptor;
    }

    int freePort()
    {
        static std::set<int> used;
        for (;;) {
            const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in at {};
            at.sin_family = AF_INET;
            inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
            bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
            socklen_t size = sizeof(at);
            getsockname(descriptor, reinterpret_cast<sockaddr*>(&at), &size);
            ::close(descriptor);
            if (const int port = ntohs(at.sin_port); used.insert(port).second)
                return port;
        }
    }

    int connectTo(const std::string& address, Milliseconds limit)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const auto to = addressOf(address);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
            pollfd wait { descriptor, POLLOUT, 0 };
            int error = errno;
            socklen_t size = sizeof(error);
            if (error != EINPROGRESS || poll(&wait, 1, static_cast<int>(limit.count())) <= 0
                || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                ::close(descriptor);
                return -1;
            }
        }
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return descriptor;
    }

    void setLimit(int descriptor, Milliseconds limit)
    {
        const timeval time { limit.count() / 1000, (limit.count() % 1000) * 1000 };
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    }

    bool sendAll(int descriptor, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto count = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    std::string takeWord(std::string& text)
    {
        const auto end = std::min(text.find(' '), text.size());
        auto word = text.substr(0, end);
        text.erase(0, std::min(end + 1, text.size()));
        return word;
    }

    // Reads one HTTP message: the head and the body that Content-Length announces.
    bool readHttp(int descriptor, std::string& head, std::string& body)
    {
        std::string bytes;
        char buffer[4096];
        std::size_t end = std::string::npos;
        while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
            const auto count = recv(descriptor, buffer, sizeof(buffer), 0);
            if (count <= 0)
                return false;
            bytes.append(buffer, static_cast<std::size_t>(count));
        }
        head = bytes.substr(0, end + 2);
        body = bytes.substr(end + 4);
        auto lower = head;
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
        const auto length = lower.find("content-length:");
        const auto size = length == std::string::npos ? 0 : std::stoul(lower.substr(length + 15));
        while (body.size() < size) {
            const auto count = recv(descriptor, buffer, sizeof(buffer), 0);
            if (count <= 0)
                return false;
            body.append(buffer, static_cast<std::size_t>(count));
        }
        return true;
    }

    std::string headerOf(const std::string& head, std::string name)
    {
        auto lower = head;
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
        const auto at = lower.find("\r\n" + name + ":");
        if (at == std::string::npos)
            return {};
        const auto begin = head.find_first_not_of(' ', at + name.size() + 3);
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    std::uint64_t timeOfDayMs()
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

} // namespace

Record::Record(const std::string& fileName)
    : file_(std::fopen(fileName.c_str(), "w"))
{
    if (!file_)
        std::exit(2);
}

Record::~Record()
{
    std::fclose(file_);
}

Milliseconds Record::now() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - start_);
}

void Record::add(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f s  %s\n", std::chrono::duration<double>(Clock::now() - start_).count(), line.c_str());
}

HttpAnswer callHttp(const std::string& method, const std::string& address, const std::string& path,
    const std::string& body, Milliseconds limit)
{
    HttpAnswer answer;
    const int descriptor = connectTo(address, limit);
    if (descriptor < 0)
        return answer;
    setLimit(descriptor, limit);
    std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + address
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n";
    std::string answerHead;
    if (sendAll(descriptor, head + body) && readHttp(descriptor, answerHead, answer.body_))
        answer.status_ = std::atoi(answerHead.c_str() + answerHead.find(' ') + 1);
    ::close(descriptor);
    return answer;
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

// ---- The service ----

std::size_t Database::applied() const
{
    if (leads_)
        return log_.size();
    const auto until = Clock::now() - delay_ - lag_;
    const auto end = std::upper_bound(
        log_.begin(), log_.end(), until, [](TimePoint time, const LogRecord& entry) { return time < entry.time_; });
    return static_cast<std::size_t>(end - log_.begin());
}

std::string Database::positionOf(std::size_t size) const
{
    if (size == 0)
        return "1.0";
    return std::to_string(log_[size - 1].term_) + "." + std::to_string(log_[size - 1].number_);
}

Database* Group::leader()
{
    for (auto& database : databases_) {
        if (database.leads_)
            return &database;
    }
    return nullptr;
}

Database* Group::find(const std::string& id)
{
    for (auto& database : databases_) {
        if (database.id_ == id)
            return &database;
    }
    return nullptr;
}

void Group::promote(const std::string& id)
{
    auto* target = find(id);
    if (!target || target->leads_)
        return;
    ++highestTerm_;
    for (auto& database : databases_) {
        database.leads_ = &database == target;
        database.isPaused_ = false;
        database.term_ = highestTerm_;
        database.held_ = std::max(database.held_, highestTerm_);
        database.mustReport_ = true;
    }
    lastNumber_ = target->log_.empty() ? 0 : target->log_.back().number_;
    changed_.notify_all();
}

// Replicas receive what the primary has written, after the time that the network takes. One that has entries which the
// primary does not have is rolled back first.
void Deployment::replicate(Group& group)
{
    while (!ending_) {
        std::this_thread::sleep_for(500us);
        const std::lock_guard lock(group.mutex_);
        auto* leader = group.leader();
        if (!leader)
            continue;
        const auto now = Clock::now();
        const auto sentUntil = leader->isDark_ ? leader->darkSince_ : now;
        bool hasReceived = false;
        for (auto& database : group.databases_) {
            if (&database == leader || database.isPaused_ || database.isDark_)
                continue;
            auto& log = database.log_;
            const auto& leading = leader->log_;
            while (!log.empty() && (log.size() > leading.size() || log.back().query_ != leading[log.size() - 1].query_))
                log.pop_back();
            while (log.size() < leading.size() && leading[log.size()].time_ <= sentUntil
                && leading[log.size()].time_ + database.delay_ <= now) {
                log.push_back(leading[log.size()]);
                hasReceived = true;
            }
        }
        if (hasReceived)
            group.changed_.notify_all();
    }
}

void Deployment::serveDatabase(Group& group, Database& database, int listener)
{
    while (!ending_) {
        pollfd wait { listener, POLLIN, 0 };
        if (poll(&wait, 1, 50) <= 0)
            continue;
        {
            // The machine answers nothing; the client's packets are sent again.
            const std::lock_guard lock(group.mutex_);
            if (database.isDark_)
                continue;
        }
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard lock(sessionsMutex_);
        sessions_.emplace_back([this, &group, &database, descriptor] { serveSession(group, database, descriptor); });
    }
}

void Deployment::serveSession(Group& group, Database& database, int socket)
{
    {
        const std::lock_guard lock(group.mutex_);
        database.connections_.insert(socket);
    }
    std::string buffer;
    bool isStarted = false;
    char state = 'I';
    bool isPlain = false;
    std::string caller;
    std::vector<LogRecord> written; // By the open transaction.
    const auto position = [&] { return database.positionOf(database.applied()); };
    const auto ready = [&] { return std::string("READY ") + state + " " + position() + "\r\n"; };
    const auto error = [&](const std::string& code) {
        if (state == 'T')
            state = 'E';
        return "ERROR " + code + " " + database.id_ + "\r\n" + ready();
    };
    const auto signedAnswer = [&](const std::string& id, const std::string& rows) {
        return rows + "COMPLETE " + database.id_ + "." + std::to_string(++group.lastSignature_) + "." + id + "\r\n"
            + ready();
    };
    // Commits and waits until enough replicas have received it; an empty answer means that none comes.
    const auto commit = [&](std::unique_lock<std::mutex>& lock, const std::string& id,
                            std::vector<LogRecord> records) -> std::string {
        for (auto& record : records) {
            record.term_ = group.highestTerm_;
            record.number_ = ++group.lastNumber_;
            record.time_ = Clock::now();
            database.log_.push_back(record);
        }
        const auto size = database.log_.size();
        const auto term = group.highestTerm_;
        const auto isKnown = [&] {
            std::size_t received = 0;
            for (const auto& other : group.databases_)
                received += &other != &database && other.log_.size() >= size && !other.isDark_ ? 1 : 0;
            return !database.isDark_ && received >= group.synchronous_;
        };
        group.changed_.wait(
            lock, [&] { return group.isEnding_ || ending_ || term != group.highestTerm_ || isKnown(); });
        if (term != group.highestTerm_ || ending_ || group.isEnding_)
            return {};
        record_.add(database.id_ + " acknowledges " + std::to_string(term) + "."
            + std::to_string(database.log_.back().number_) + " for " + id);
        state = 'I';
        return signedAnswer(id, {});
    };
    // No text: no answer; an empty one: the connection ends.
    const auto run = [&](std::unique_lock<std::mutex>& lock, const std::string& id,
                         std::string text) -> std::optional<std::string> {
        auto verb = takeWord(text);
        if (verb == "WAITLSN") {
            const auto floor = takeWord(text);
            const auto dot = floor.find('.');
            const std::pair<std::uint64_t, std::uint64_t> wanted { std::stoull(floor.substr(0, dot)),
                std::stoull(floor.substr(dot + 1)) };
            const auto applied = database.applied();
            const std::pair<std::uint64_t, std::uint64_t> held { applied ? database.log_[applied - 1].term_ : 1,
                applied ? database.log_[applied - 1].number_ : 0 };
            if (held < wanted)
                return error("LAGGING");
            verb = takeWord(text);
        }
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
            const auto order = verb + (text.empty() ? "" : " " + text);
            if (verb != "STATUS" && onOrder_ && onOrder_(database.id_, order, caller)) {
                record_.add(database.id_ + " leaves " + order + " of " + caller + " without an answer");
                return std::nullopt;
            }
            if (verb != "STATUS")
                runOrder(database, order);
            return std::string("DATAROW ") + (database.leads_ ? "primary " : "replica ")
                + std::to_string(database.term_) + " " + database.positionOf(database.log_.size()) + " "
                + std::to_string(database.held_) + " " + std::to_string(database.leads_ ? 0 : database.lag_.count())
                + " 0 " + std::to_string(database.connections_.size()) + "\r\nCOMPLETE -\r\n" + ready();
        }
        if (verb == "ROLLBACK") {
            state = 'I';
            written.clear();
            return "COMPLETE -\r\n" + ready();
        }
        if (state == 'E' && verb == "COMMIT") {
            state = 'I';
            written.clear();
            return "ERROR ABORTED x\r\n" + ready();
        }
        if (state == 'E')
            return error("MALFORMED");
        if (state == 'T' && isPlain && !database.leads_ && !(verb == "COMMIT" && written.empty()))
            return error("READONLY");
        if (verb == "SET" || verb == "PREPARE" || verb == "DISCARD")
            return "COMPLETE -\r\n" + ready();
        if (verb == "BEGIN") {
            if (text.empty() && !database.leads_)
                return error("READONLY");
            state = 'T';
            isPlain = text.empty();
            return "COMPLETE -\r\n" + ready();
        }
        if (verb == "COMMIT") {
            if (!written.empty())
                return commit(lock, id, std::exchange(written, {}));
            state = 'I';
            return signedAnswer(id, {});
        }
        if (verb == "READ") {
            return signedAnswer(id, "DATAROW " + std::to_string(database.applied()) + "\r\n");
        }
        if (verb == "WRITE") {
            if (!database.leads_ || (state == 'T' && !isPlain))
                return error("READONLY");
            if (state == 'T') {
                written.push_back({ 0, 0, id, {} });
                return signedAnswer(id, {});
            }
            return commit(lock, id, { { 0, 0, id, {} } });
        }
        return error("MALFORMED");
    };
    char bytes[4096];
    for (bool isOpen = true; isOpen && !ending_;) {
        const auto end = buffer.find("\r\n");
        if (end == std::string::npos) {
            pollfd wait { socket, POLLIN, 0 };
            if (poll(&wait, 1, 50) <= 0)
                continue;
            const auto count = recv(socket, bytes, sizeof(bytes), 0);
            if (count <= 0)
                break;
            buffer.append(bytes, static_cast<std::size_t>(count));
            continue;
        }
        auto line = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        std::unique_lock lock(group.mutex_);
        // What arrives while the machine is cut off is lost with its connection.
        if (database.isDark_)
            break;
        const auto word = takeWord(line);
        std::string answer;
        if (word == "STARTUP") {
            const auto service = takeWord(line);
            caller = takeWord(line);
            const bool isRight = service == group.name_ && (line.empty() || line == database.id_);
            const bool isFull = database.connections_.size() > options_.connectionLimit_;
            answer = !isRight ? "ERROR MOVED x\r\n" : isFull ? "ERROR MAXCONN x\r\n" : ready();
            isStarted = isRight && !isFull;
            isOpen = isStarted;
        } else if (word == "QUERY" && isStarted) {
            const auto id = takeWord(line);
            if (id != "-" && !database.cutFrom_.contains(caller))
                record_.add(database.id_ + " runs " + id + " " + line);
            if (id != "-" && onRun_ && !database.cutFrom_.contains(caller))
                onRun_(database, id, line);
            if (!database.cutFrom_.contains(caller)) {
                const auto result = run(lock, id, line);
                answer = result.value_or("");
                isOpen = !result || !answer.empty();
            }
        } else {
            isOpen = false;
        }
        if (database.isDark_)
            break;
        // Nothing reaches the caller.
        if (database.cutFrom_.contains(caller)) {
            answer.clear();
            isOpen = true;
        }
        lock.unlock();
        isOpen = (answer.empty() || sendAll(socket, answer)) && isOpen;
    }
    {
        const std::lock_guard lock(group.mutex_);
        database.connections_.erase(socket);
    }
    ::close(socket);
}

void Deployment::darken(const std::string& id, bool isDark)
{
    record_.add(id + (isDark ? " goes dark" : " is back"));
    auto& group = groupOf(id);
    const std::lock_guard lock(group.mutex_);
    auto* database = group.find(id);
    database->isDark_ = isDark;
    database->darkSince_ = Clock::now();
    database->mustReport_ = !isDark;
    // Connections that it had have ended by the time that it is back.
    if (!isDark) {
        for (const int socket : database->connections_)
            shutdown(socket, SHUT_RDWR);
    }
    group.changed_.notify_all();
}

void Deployment::crash(const std::string& id)
{
    darken(id, true);
    auto& group = groupOf(id);
    const std::lock_guard lock(group.mutex_);
    for (const int socket : group.find(id)->connections_)
        shutdown(socket, SHUT_RDWR);
}

void Deployment::restart(const std::string& id)
{
    {
        auto& group = groupOf(id);
        const std::lock_guard lock(group.mutex_);
        auto* database = group.find(id);
        database->isPaused_ = false;
        database->born_ = timeOfDayMs();
        database->sequence_ = 0;
    }
    darken(id, false);
}

void Deployment::cut(const std::string& id, const std::set<std::string>& callers)
{
    std::string names;
    for (const auto& caller : callers)
        names += " " + caller;
    record_.add(id + " is cut off from" + (names.empty() ? " nobody" : names));
    auto& group = groupOf(id);
    const std::lock_guard lock(group.mutex_);
    auto* database = group.find(id);
    if (callers.empty()) {
        for (const int socket : database->connections_)
            shutdown(socket, SHUT_RDWR);
    }
    database->cutFrom_ = callers;
    database->mustReport_ = true;
}

void Deployment::runOrder(Database& database, const std::string& order)
{
    auto text = order;
    const auto verb = takeWord(text);
    const std::uint64_t term = text.empty() ? 0 : std::stoull(text);
    if (verb == "PAUSE" && !database.leads_ && term > database.term_) {
        database.isPaused_ = true;
        database.held_ = std::max(database.held_, term);
    }
    if (verb == "RESUME")
        database.isPaused_ = false;
    if (verb == "STEPDOWN" && database.leads_ && term > database.term_) {
        database.leads_ = false;
        database.held_ = std::max(database.held_, term);
        database.mustReport_ = true;
    }
    record_.add(database.id_ + " carries out " + order + " with a log of " + std::to_string(database.log_.size()));
}

void Deployment::carryOutOrder(const std::string& id, const std::string& order)
{
    auto& group = groupOf(id);
    const std::lock_guard lock(group.mutex_);
    runOrder(*group.find(id), order);
}

void Deployment::report(Group& group, Database& database, std::size_t member)
{
    while (!ending_) {
        std::this_thread::sleep_for(10ms);
        json body;
        std::string id;
        {
            const std::lock_guard lock(group.mutex_);
            const bool isDue
                = database.mustReport_ || Clock::now() - database.reported_ >= Milliseconds(options_.heartbeatMs_);
            const bool isCut = database.cutFrom_.contains(controls_.front().name_);
            if (database.isDark_ || isCut || !isDue)
                continue;
            database.mustReport_ = false;
            database.reported_ = Clock::now();
            id = database.id_;
            body = { { "Service", group.name_ }, { "Address", database.address_ }, { "Zone", database.zone_ },
                { "Version", "v1" }, { "Slots", 3 }, { "State", database.isDraining_ ? "draining" : "ready" },
                { "WarmupLeftMs", 0 }, { "DbRole", database.leads_ ? "primary" : "replica" },
                { "Seq", ++database.sequence_ }, { "born", database.born_ } };
        }
        for (std::size_t attempt = 0; attempt < controls_.size() && !ending_; ++attempt) {
            const auto& control = controls_[member % controls_.size()];
            if (callHttp("PUT", control.address_, "/api/instances/" + id, body.dump(), 1s).status_ == 200)
                break;
            ++member;
        }
    }
}

// ---- The platform ----

int Deployment::carryOut(const PromoteCall& call)
{
    auto& group = groupOf(call.id_);
    {
        const std::lock_guard lock(group.mutex_);
        auto& highest = fences_[call.service_];
        auto* target = group.find(call.id_);
        if (call.fence_ < highest || !target || target->isDark_) {
            record_.add(
                "the platform refuses the promotion of " + call.id_ + " with fence " + std::to_string(call.fence_));
            return 409;
        }
        highest = call.fence_;
        if (target->leads_)
            return 200;
    }
    record_.add("the platform carries out the promotion of " + call.id_ + " with fence " + std::to_string(call.fence_));
    std::thread([this, &group, call] {
        std::this_thread::sleep_for(options_.promoteTime_);
        const std::lock_guard lock(group.mutex_);
        if (fences_[call.service_] > call.fence_ || ending_)
            return;
        group.promote(call.id_);
        record_.add(call.id_ + " leads term " + std::to_string(group.highestTerm_) + " with "
            + std::to_string(group.lastNumber_));
    }).detach();
    return 200;
}

void Deployment::servePlatform(int listener)
{
    while (!ending_) {
        pollfd wait { listener, POLLIN, 0 };
        if (poll(&wait, 1, 50) <= 0)
            continue;
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const std::lock_guard lock(sessionsMutex_);
        sessions_.emplace_back([this, descriptor] { answerPlatform(descriptor); });
    }
}

void Deployment::answerPlatform(int socket)
{
    setLimit(socket, 5s);
    std::string head;
    std::string body;
    if (readHttp(socket, head, body) && head.starts_with("POST /promote ")) {
        const auto parsed = json::parse(body);
        const PromoteCall call { parsed.at("Service"), parsed.at("Id"), headerOf(head, "x-lease-holder"),
            std::stoull(headerOf(head, "x-fencing-token")) };
        record_.add("POST /promote " + call.id_ + " by " + call.holder_ + " with fence " + std::to_string(call.fence_));
        const int status = onPromote_ ? onPromote_(call) : carryOut(call);
        record_.add("the platform answers " + (status ? std::to_string(status) : std::string("nothing")));
        if (status)
            sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 2\r\n\r\n{}");
        else
            std::this_thread::sleep_for(2s);
    }
    ::close(socket);
}

Group& Deployment::groupOf(const std::string& database)
{
    for (const auto& group : groups_) {
        for (const auto& known : group->databases_) {
            if (known.id_ == database)
                return *group;
        }
    }
    return *groups_.front();
}

// ---- The processes ----

Deployment::Deployment(Record& record, Options options)
    : record_(record)
    , options_(options)
{
    folder_ = (std::filesystem::temp_directory_path() / ("review-" + std::to_string(getpid()))).string();
    std::filesystem::create_directories(folder_);
    network_ = "127." + std::to_string(64 + getpid() % 60) + "." + std::to_string(1 + getpid() / 60 % 250) + ".";
    for (const auto* name : { "peers", "operators", "statements", "readiness", "forward", "metrics" })
        ports_[name] = freePort();
    authority_ = network_ + "200:" + std::to_string(freePort());
    std::size_t number = 0;
    for (const auto& service : options_.services_) {
        auto& group = *groups_.emplace_back(std::make_unique<Group>());
        group.name_ = service;
        group.synchronous_ = options_.synchronous_;
        for (std::size_t i = 0; i < 3; ++i) {
            Database database;
            database.id_ = "i-" + std::to_string(++number);
            database.zone_ = std::string("zone-") + static_cast<char>('a' + i);
            database.address_ = network_ + std::to_string(150 + number) + ":" + std::to_string(freePort());
            database.leads_ = i == 0;
            database.born_ = timeOfDayMs();
            group.databases_.push_back(std::move(database));
        }
    }
    for (std::size_t i = 0; i < options_.controls_; ++i) {
        const auto host = network_ + std::to_string(10 + i);
        const auto name = "core-" + std::to_string(i + 1);
        controls_.push_back(
            { name, host, host + ":" + std::to_string(ports_["operators"]), {}, 0, folder_ + "/data-" + name });
    }
    for (std::size_t i = 0; i < options_.entries_; ++i) {
        const auto host = network_ + std::to_string(100 + i);
        entries_.push_back(
            { "front-" + std::to_string(i + 1), host, host + ":" + std::to_string(ports_["statements"]), {}, 0, {} });
    }
}

Deployment::~Deployment()
{
    ending_ = true;
    for (const auto& group : groups_) {
        const std::lock_guard lock(group->mutex_);
        group->isEnding_ = true;
        group->changed_.notify_all();
    }
    for (auto* nodes : { &controls_, &entries_ }) {
        for (auto& node : *nodes) {
            if (node.process_ > 0) {
                kill(node.process_, SIGCONT);
                kill(node.process_, SIGKILL);
                waitpid(node.process_, nullptr, 0);
            }
        }
    }
    for (auto& thread : threads_)
        thread.join();
    for (auto& thread : sessions_)
        thread.join();
    std::this_thread::sleep_for(options_.promoteTime_ + 50ms);
    for (const int listener : listeners_)
        ::close(listener);
    std::filesystem::remove_all(folder_);
}

// The settings as the deploy file's template gives them.
void Deployment::writeSettings(Node& node, bool isControl, bool mayFound)
{
    node.settings_ = folder_ + "/" + node.name_ + ".yaml";
    const auto at = [&](const char* name) { return '"' + node.host_ + ":" + std::to_string(ports_[name]) + '"'; };
    std::ofstream out(node.settings_);
    out << "instance: \"" << node.name_ << "\"\ndata_centre: \"zone-"
        << static_cast<char>('a' + (node.name_.back() - '1') % 3)
        << "\"\ndata_centres: [\"zone-a\",\"zone-b\",\"zone-c\"]\nlisten:\n";
    if (isControl)
        out << "  operators: " << at("operators") << '\n';
    else
        out << "  statements: " << at("statements") << "\n  forward: " << at("forward")
            << "\n  readiness: " << at("readiness") << '\n';
    out << "  peers: " << at("peers") << "\n  metrics: " << at("metrics") << "\nseeds: [";
    for (std::size_t i = 0; i < controls_.size() && i < 3; ++i)
        out << (i ? "," : "") << '"' << controls_[i].address_ << '"';
    out << "]\ndeployment_key: \"entry-instances-and-control-members\"\n";
    if (isControl)
        out << "data_folder: \"" << node.folder_ << "\"\n";
    if (mayFound)
        out << "may_found: true\n";
    out << "tolerated_losses: 1\ncatch_up_s: 4\nauthority: \"" << authority_
        << "\"\nheartbeat_ms: " << options_.heartbeatMs_
        << "\nshutdown_ms: 6000\nmaximum_files: 2940\nquota:\naccounts:\n"
        << "  fail_closed: false\nmemory_mb: " << (isControl ? 256 : 182) << '\n';
}

void Deployment::startNode(Node& node)
{
    const bool isControl = !node.folder_.empty();
    if (isControl)
        std::filesystem::create_directories(node.folder_);
    writeSettings(node, isControl, isControl && node.process_ == 0);
    const auto log = folder_ + "/" + node.name_ + ".log";
    record_.add("start of " + node.name_);
    node.process_ = fork();
    if (node.process_ != 0)
        return;
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("CASSIAHOLLOW_CONFIG", node.settings_.c_str(), 1);
    execl("target/cassiahollow", "target/cassiahollow", "node", static_cast<char*>(nullptr));
    _exit(127);
}

void Deployment::signalNode(Node& node, int signal)
{
    record_.add("signal " + std::to_string(signal) + " to " + node.name_);
    kill(node.process_, signal);
    if (signal == SIGKILL)
        waitpid(node.process_, nullptr, 0);
}

std::size_t Deployment::memoryOf(const Node& node)
{
    std::ifstream in("/proc/" + std::to_string(node.process_) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(6)) / 1024;
    }
    return 0;
}

Node* Deployment::byName(const std::string& name)
{
    for (auto* nodes : { &controls_, &entries_ }) {
        for (auto& node : *nodes) {
            if (node.name_ == name)
                return &node;
        }
    }
    return nullptr;
}

std::string Deployment::document(std::uint64_t version, const std::vector<Route>& all) const
{
    json routes = json::array();
    for (const auto& [name, database, service] : all) {
        routes.push_back({ { "Name", name }, { "Host", database }, { "PathPrefix", "/" },
            { "Type", options_.routeType_ }, { "TimeoutMs", options_.timeoutMs_ }, { "TargetLatencyMs", 120 },
            { "Priority", 1 }, { "Service", service }, { "MaxAttempts", 2 }, { "MaxStalenessMs", 2500 } });
    }
    json services = json::array();
    for (const auto& group : groups_) {
        services.push_back(
            { { "Name", group->name_ }, { "HealthCheck", "/healthz" }, { "MaxConns", options_.connectionLimit_ },
                { "Protocol", "h1" }, { "Tls", false }, { "SyncReplicas", options_.synchronous_ } });
    }
    return json {
        { "Version", version }, { "Routes", routes }, { "Services", services },
        { "Limits",
            { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 262144 }, { "HeaderTimeoutMs", 3000 },
                { "IdleTimeoutMs", 15000 }, { "IdleTxMs", 3000 } } }
    }.dump();
}

bool Deployment::configure(std::uint64_t version, const std::string& document, Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    for (std::size_t i = 0; Clock::now() < end; ++i) {
        const auto& control = controls_[i % controls_.size()];
        const auto status = callHttp("PUT", control.address_, "/api/config", document, 1s).status_;
        if (status == 200) {
            record_.add("configuration " + std::to_string(version) + " acknowledged by " + control.name_);
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

bool Deployment::start()
{
    for (auto& control : controls_)
        startNode(control);
    for (auto& entry : entries_)
        startNode(entry);
    listeners_.push_back(listenAt(authority_));
    threads_.emplace_back([this, listener = listeners_.back()] { servePlatform(listener); });
    for (const auto& group : groups_) {
        std::size_t member = 0;
        for (auto& database : group->databases_) {
            listeners_.push_back(listenAt(database.address_));
            threads_.emplace_back([this, &group = *group, &database, listener = listeners_.back()] {
                serveDatabase(group, database, listener);
            });
            threads_.emplace_back(
                [this, &group = *group, &database, first = member++] { report(group, database, first); });
        }
        threads_.emplace_back([this, &group = *group] { replicate(group); });
    }
    if (!configure(1, document(1, firstRoutes_), 15s))
        return false;
    const auto end = Clock::now() + 10s;
    for (const auto& entry : entries_) {
        const auto readiness = entry.host_ + ":" + std::to_string(ports_["readiness"]);
        while (callHttp("GET", readiness, "/api/ready", {}, 1s).status_ != 200) {
            if (Clock::now() > end)
                return false;
            std::this_thread::sleep_for(50ms);
        }
    }
    record_.add("all entry instances are ready");
    return true;
}

// ---- Clients ----

Client::Client(const std::string& address, const std::string& database, Milliseconds limit)
    : socket_(connectTo(address, limit))
{
    if (socket_ < 0)
        return;
    setLimit(socket_, limit);
    const auto answer = sendAll(socket_, "STARTUP " + database + " client\r\n") ? readLine() : std::nullopt;
    if (!answer || !answer->starts_with("READY"))
        close();
}

Client::~Client()
{
    close();
}

void Client::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

std::optional<std::string> Client::readLine()
{
    char bytes[4096];
    for (;;) {
        if (const auto end = buffer_.find("\r\n"); end != std::string::npos) {
            auto line = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            return line;
        }
        const auto count = recv(socket_, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return std::nullopt;
        buffer_.append(bytes, static_cast<std::size_t>(count));
    }
}

Client::Answer Client::query(const std::string& id, const std::string& text)
{
    Answer answer;
    answer.error_ = "closed";
    if (socket_ < 0 || !sendAll(socket_, "QUERY " + id + " " + text + "\r\n"))
        return answer;
    for (;;) {
        auto line = readLine();
        if (!line) {
            close();
            answer.succeeded_ = false;
            return answer;
        }
        const auto word = takeWord(*line);
        if (word == "DATAROW") {
            answer.rows_.push_back(*line);
        } else if (word == "COMPLETE") {
            answer.succeeded_ = true;
            answer.error_.clear();
            answer.signature_ = *line;
        } else if (word == "ERROR") {
            answer.error_ = takeWord(*line);
        } else if (word == "READY") {
            answer.state_ = line->empty() ? 'I' : line->front();
            return answer;
        }
    }
}

} // namespace rig
