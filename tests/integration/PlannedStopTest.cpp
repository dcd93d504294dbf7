#include "../support/Environment.h"
#include "support/NodeDeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <sstream>

using namespace cassiahollow;
using namespace cassiahollow::testing;
using namespace std::chrono_literals;

// Planned stops that overlap, on real processes, while clients use their connections until the instance closes them. A
// few entry instances hold the connections to the databases and run the statements of the others.
//
// PLANNED_STOP_FIRST and PLANNED_STOP_SERIES choose other seeds and more series.

namespace {

constexpr std::size_t controlCount = 3;
constexpr std::size_t entryCount = 8;
constexpr std::size_t connectionLimit = 8;
constexpr std::size_t clientCount = 20;
constexpr std::size_t defaultSeries = 2;
constexpr std::size_t defaultLossSeries = 1;
constexpr auto shutdownTime = 4000ms;
// On top of the shutdown time, for a busy machine.
constexpr auto exitSlack = 1000ms;
constexpr auto seriesTime = 9s;
// Longer than the statement timeout and the shutdown time together, so that only a lost answer takes so long.
constexpr auto answerLimit = 10s;
// A connection that ends without an answer later than this after its last statement is printed: whether the statement
// was read is not known to the client.
constexpr auto lossSlack = 200ms;
// Short enough to leave a client that reads late time for its answers before the end of a stop.
constexpr int longestLateReadMs = 1000;
// Larger than what a client with the small receive buffer takes at once.
constexpr std::size_t largeItemBytes = 300'000;
constexpr int smallReceiveBuffer = 65536;
constexpr std::size_t manyRoutes = 1400;
// The first version is sent before the series.
constexpr std::uint64_t firstChange = 2;
// For processes to end, start and elect a leader on a machine whose disk is slow; only a lost process takes so long.
constexpr auto recoveryLimit = 60s;

using Random = std::mt19937_64;

std::chrono::milliseconds drawTime(Random& random, int low, int high)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(low, high)(random));
}

std::size_t drawIndex(Random& random, std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string verbOf(const std::string& text)
{
    return text.substr(0, text.find(' '));
}

bool isPromise(const std::string& error)
{
    static const std::set<std::string> promises { "BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN" };
    return promises.contains(error);
}

/// A statement that has no complete answer.
struct CutStatement {
    std::string id_;
    std::string text_;
    std::size_t entry_ { 0 };
    TimePoint sentAt_;
    TimePoint endedAt_;
    bool isWatched_ { false }; ///< The client read all the time, so that it saw the end at once.
    bool isClosed_ { false }; ///< The connection ended; otherwise, the client gave up waiting.
};

/// What one client sent and what it was told.
struct ClientRecord {
    std::size_t sent_ { 0 };
    std::size_t answered_ { 0 };
    std::map<std::string, std::size_t> errors_; ///< Answers by their code.
    std::vector<std::string> acknowledged_; ///< Ids of writes and commits.
    std::vector<std::string> promised_; ///< Ids of statements of which nothing is kept.
    std::vector<CutStatement> cut_;
    std::size_t uncertain_ { 0 }; ///< Answers that leave open whether a write is kept.
    std::size_t wrongReads_ { 0 }; ///< Reads that missed the session's own write.
};

/// One connection of a client.
class Session {
public:
    Session(const NodeDeployment::Node& node, std::size_t entry, ClientRecord& record, std::optional<int> receiveBuffer)
        : client_(node.address_, receiveBuffer)
        , entry_(entry)
        , record_(record)
    {
    }

    bool open()
    {
        mark_ = client_.start("receipts").mark_;
        return isOpen();
    }

    /// Sends statements in one piece, and reads their answers after a pause. The connection stays in use after errors.
    std::vector<ClientAnswer> exchange(
        const std::vector<std::string>& texts, std::chrono::milliseconds pauseBeforeReading = {})
    {
        const auto ids = send(texts);
        const auto sentAt = Clock::now();
        std::this_thread::sleep_for(pauseBeforeReading);
        std::vector<ClientAnswer> answers;
        for (std::size_t i = 0; i < texts.size(); ++i) {
            answers.push_back(isOpen() ? client_.receive(answerLimit) : ClientAnswer {});
            const auto& answer = answers.back();
            mark_ = answer.mark_;
            if (isOpen())
                note(ids[i], verbOf(texts[i]), answer);
            else
                record_.cut_.push_back({ ids[i], texts[i], entry_, sentAt, Clock::now(), pauseBeforeReading == 0ms,
                    client_.isClosed(0ms) });
        }
        return answers;
    }

    /// Sends statements and does not wait for the answers.
    std::vector<std::string> send(const std::vector<std::string>& texts)
    {
        static std::atomic<std::uint64_t> next { 1 };
        std::vector<std::string> ids;
        std::string bytes;
        for (const auto& text : texts) {
            ids.push_back("s" + std::to_string(next++));
            bytes += "QUERY " + ids.back() + " " + text + "\r\n";
        }
        client_.send(bytes);
        record_.sent_ += texts.size();
        return ids;
    }

    bool isOpen() const { return mark_ != '?'; }
    bool isInTransaction() const { return isOpen() && mark_ != 'I'; }

private:
    void note(const std::string& id, const std::string& verb, const ClientAnswer& answer)
    {
        ++record_.answered_;
        const bool commits = (verb == "WRITE" && answer.mark_ == 'I') || (verb == "COMMIT" && hasWritten_);
        if (!answer.error_.empty()) {
            ++record_.errors_[answer.error_];
            if (isPromise(answer.error_))
                record_.promised_.push_back(id);
            else
                ++record_.uncertain_;
        } else if (commits) {
            record_.acknowledged_.push_back(id);
        }
        hasWritten_ = answer.mark_ == 'T' && (hasWritten_ || (verb == "WRITE" && answer.error_.empty()));
    }

    LineClient client_;
    const std::size_t entry_;
    ClientRecord& record_;
    char mark_ { '?' };
    bool hasWritten_ { false }; ///< In the open transaction.
};

enum class Habit : std::uint8_t {
    Singles,
    Transactions,
    Pipelines,
    Rests,
    ReadsLate,
    Count,
};

/// A client that goes on with each connection until the instance closes it, and then opens one to another instance.
class Client {
public:
    struct Options {
        Habit habit_ { Habit::Singles };
        bool leaves_ { false }; ///< At times closes a connection without waiting for the answer.
    };

    Client(NodeDeployment& deployment, std::size_t number, std::uint64_t seed, Options options)
        : deployment_(deployment)
        , options_(options)
        , number_(number)
        , random_(seed * 1000 + number)
        , thread_([this] { run(); })
    {
    }
    ~Client() { end(); }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    const ClientRecord& end()
    {
        ending_ = true;
        if (thread_.joinable())
            thread_.join();
        return record_;
    }

private:
    void run()
    {
        while (!ending_) {
            const auto entry = drawIndex(random_, entryCount);
            const auto buffer
                = options_.habit_ == Habit::ReadsLate ? std::optional(smallReceiveBuffer) : std::optional<int>();
            Session session(deployment_.entries()[entry], entry, record_, buffer);
            if (!session.open())
                std::this_thread::sleep_for(20ms);
            renewItem();
            while (!ending_ && session.isOpen()) {
                if (options_.leaves_ && drawIndex(random_, 50) == 0) {
                    session.send({ nextWrite() });
                    break;
                }
                const auto uncertain = record_.uncertain_;
                use(session);
                if (session.isInTransaction())
                    session.exchange({ "ROLLBACK" });
                if (record_.uncertain_ != uncertain)
                    renewItem();
            }
        }
    }

    // An earlier write whose outcome is not known may still take effect.
    void renewItem() { item_ = "item-" + std::to_string(number_) + "-" + std::to_string(++items_); }

    void use(Session& session)
    {
        switch (options_.habit_) {
        case Habit::Transactions:
            return runTransaction(session);
        case Habit::Pipelines:
            session.exchange({ nextWrite(), read(), "BEGIN", nextWrite(), "COMMIT", read() });
            return pause(1, 60);
        case Habit::Rests:
            writeAndRead(session);
            return pause(100, 1500);
        case Habit::ReadsLate:
            session.exchange(
                { "READ large", "READ large", "READ large", "READ large" }, drawTime(random_, 100, longestLateReadMs));
            return pause(1, 100);
        default:
            writeAndRead(session);
            return pause(1, 20);
        }
    }

    void writeAndRead(Session& session)
    {
        const auto written = session.exchange({ nextWrite() });
        if (!written[0].error_.empty() || !session.isOpen())
            return;
        const auto answer = session.exchange({ read() });
        if (answer[0].error_.empty() && session.isOpen() && answer[0].rows_ != std::vector { std::to_string(values_) })
            ++record_.wrongReads_;
    }

    void runTransaction(Session& session)
    {
        const std::string end = drawIndex(random_, 4) == 0 ? "ROLLBACK" : "COMMIT";
        for (const auto& text : { std::string("BEGIN"), read(), nextWrite(), end }) {
            const auto answers = session.exchange({ text });
            pause(5, 250);
            if (!session.isOpen() || !answers[0].error_.empty())
                return;
        }
    }

    void pause(int low, int high) { std::this_thread::sleep_for(drawTime(random_, low, high)); }
    std::string read() const { return "READ " + item_; }
    std::string nextWrite() { return "WRITE " + item_ + " " + std::to_string(++values_); }

    NodeDeployment& deployment_;
    const Options options_;
    const std::size_t number_;
    std::string item_;
    std::uint64_t items_ { 0 };
    std::uint64_t values_ { 0 };
    Random random_;
    ClientRecord record_;
    std::atomic<bool> ending_ { false };
    std::thread thread_;
};

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

std::string valueOf(const std::string& line, const std::string& field)
{
    const auto at = line.find(" " + field + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + field.size() + 2;
    return line.substr(begin, line.find_first_of(" \n", begin) - begin);
}

/// Whether the last report of an instance says that it runs the statements of others.
bool isHolder(const NodeDeployment::Node& node)
{
    const auto output = node.process_->output();
    const auto last = output.rfind("event=held_groups");
    return last != std::string::npos && output.find(" groups=1 ", last) != std::string::npos;
}

/// One process and the planned work on it.
struct PlannedNode {
    NodeDeployment::Node* node_ { nullptr };
    std::string name_;
    std::size_t starts_ { 1 };
    std::optional<TimePoint> stopDue_;
    std::optional<TimePoint> stoppedAt_; ///< When SIGTERM was sent to the process that runs or has just ended.
    std::optional<TimePoint> restartDue_;
    std::optional<TimePoint> resumeDue_;
    std::chrono::milliseconds stalled_ { 0 }; ///< Since SIGTERM.
    std::vector<TimePoint> stops_;
    std::vector<std::string> badExits_;
    Duration exitLimit_ { 0 };
    Duration longestExit_ { 0 }; ///< Without the time in which the process was stalled.

    bool isInUse() const { return !stopDue_ && !stoppedAt_ && !restartDue_; }
    bool isUp() const { return isInUse() && countOf(node_->process_->output(), "event=started") == starts_; }
};

/// Draws planned work on the processes of a deployment.
class PlannedWork {
public:
    PlannedWork(NodeDeployment& deployment, std::uint64_t seed)
        : deployment_(deployment)
        , random_(seed)
    {
        for (auto& node : deployment.entries())
            entries_.push_back(planned(node, "front-" + std::to_string(entries_.size() + 1), shutdownTime + exitSlack));
        // A control member ends once its disk has taken what it writes.
        for (auto& node : deployment.controls())
            controls_.push_back(planned(node, "core-" + std::to_string(controls_.size() + 1), recoveryLimit));
    }

    /// Begins work for some time, and waits until all processes run again. `more` is called before each piece of work.
    void run(std::chrono::milliseconds time, const std::function<void(Random&)>& more = {})
    {
        const auto end = Clock::now() + time;
        for (auto next = Clock::now(); Clock::now() < end; step()) {
            if (Clock::now() < next)
                continue;
            if (more)
                more(random_);
            begin();
            next = Clock::now() + drawTime(random_, 50, 500);
        }
        const auto areDone = [this](const std::vector<PlannedNode>& nodes) {
            return std::all_of(
                nodes.begin(), nodes.end(), [](const PlannedNode& node) { return node.isUp() && !node.resumeDue_; });
        };
        for (const auto limit = Clock::now() + recoveryLimit; Clock::now() < limit; step()) {
            if (areDone(entries_) && areDone(controls_))
                break;
        }
        for (std::size_t i = 0; i < changes_.size(); ++i) {
            if (changes_[i].get())
                acknowledged_ = std::max(acknowledged_, firstChange + i);
            else
                ++unacknowledged_;
        }
    }

    const std::vector<PlannedNode>& entries() const { return entries_; }
    const std::vector<PlannedNode>& controls() const { return controls_; }
    std::size_t changes() const { return changes_.size(); }
    std::size_t unacknowledged() const { return unacknowledged_; }
    /// The highest version that was acknowledged.
    std::uint64_t acknowledged() const { return acknowledged_; }

private:
    static PlannedNode planned(NodeDeployment::Node& node, std::string name, Duration exitLimit)
    {
        PlannedNode planned;
        planned.node_ = &node;
        planned.name_ = std::move(name);
        planned.exitLimit_ = exitLimit;
        return planned;
    }

    void step()
    {
        for (auto* nodes : { &entries_, &controls_ }) {
            for (auto& node : *nodes)
                step(node, Clock::now());
        }
        std::this_thread::sleep_for(5ms);
    }

    void step(PlannedNode& node, TimePoint now)
    {
        auto& process = *node.node_->process_;
        if (node.resumeDue_ && now >= *node.resumeDue_) {
            node.resumeDue_.reset();
            process.resume();
        }
        if (node.stopDue_ && now >= *node.stopDue_) {
            node.stopDue_.reset();
            node.stoppedAt_ = now;
            node.stops_.push_back(now);
            node.stalled_ = 0ms;
            process.terminate();
        }
        if (node.stoppedAt_ && !node.restartDue_ && !process.isRunning()) {
            const auto after = now - *node.stoppedAt_ - node.stalled_;
            node.longestExit_ = std::max<Duration>(node.longestExit_, after);
            if (process.exitStatus() != 0 || after > node.exitLimit_) {
                node.badExits_.push_back(node.name_ + " ended with status " + std::to_string(*process.exitStatus())
                    + " after " + std::to_string(milliseconds(after)) + " ms");
            }
            node.restartDue_ = now + drawTime(random_, 0, 400);
        }
        if (node.restartDue_ && now >= *node.restartDue_) {
            node.restartDue_.reset();
            node.stoppedAt_.reset();
            process.restart();
            ++node.starts_;
        }
    }

    void begin()
    {
        switch (drawIndex(random_, 11)) {
        case 0:
        case 1:
            return stopSome(1);
        case 2:
            return stopSome(3);
        case 3:
            return stopHolderAndOther();
        case 4:
            return stopControl();
        case 5:
            return hangUp(entries_);
        case 6:
            return hangUp(controls_);
        case 7:
            return configureOften();
        case 8:
            return configure(manyRoutes, 0ms);
        case 9:
            return stall(entries_[drawIndex(random_, entries_.size())]);
        default:
            return stallStopping();
        }
    }

    // At least half of the entry instances stay, so that statements can be run.
    bool mayStopEntry() const
    {
        return std::count_if(entries_.begin(), entries_.end(), [](const auto& node) { return node.isInUse(); })
            > static_cast<std::ptrdiff_t>(entryCount / 2);
    }

    void stop(PlannedNode& node)
    {
        if (mayStopEntry() && node.isUp())
            node.stopDue_ = Clock::now() + drawTime(random_, 0, 100);
    }

    void stopSome(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            stop(entries_[drawIndex(random_, entries_.size())]);
    }

    void stopHolderAndOther()
    {
        const auto holder
            = std::find_if(entries_.begin(), entries_.end(), [](const auto& node) { return isHolder(*node.node_); });
        if (holder != entries_.end())
            stop(*holder);
        stopSome(1);
    }

    // One at a time, so that a majority runs.
    void stopControl()
    {
        const bool allUp
            = std::all_of(controls_.begin(), controls_.end(), [](const auto& node) { return node.isUp(); });
        if (allUp)
            controls_[drawIndex(random_, controls_.size())].stopDue_ = Clock::now();
    }

    void hangUp(std::vector<PlannedNode>& nodes)
    {
        auto& node = nodes[drawIndex(random_, nodes.size())];
        if (node.isUp())
            node.node_->process_->hangUp();
    }

    void configureOften()
    {
        const auto count = 2 + drawIndex(random_, 4);
        std::chrono::milliseconds pause { 0 };
        for (std::size_t i = 0; i < count; ++i) {
            configure(1 + drawIndex(random_, 30), pause);
            pause += drawTime(random_, 5, 60);
        }
    }

    void configure(std::size_t routes, std::chrono::milliseconds pause)
    {
        // The operators' interface takes eight orders at once.
        const auto open = std::count_if(changes_.begin(), changes_.end(),
            [](const auto& change) { return change.wait_for(0ms) != std::future_status::ready; });
        if (open >= 8)
            return;
        std::vector<std::string> databases { "receipts" };
        const auto first = drawIndex(random_, 10);
        while (databases.size() < routes)
            databases.push_back("route" + std::to_string(first + databases.size()));
        changes_.push_back(
            std::async(std::launch::async, [this, version = firstChange + changes_.size(), databases, pause] {
                std::this_thread::sleep_for(pause);
                return deployment_.configure(version, databases, 15s);
            }));
    }

    void stall(PlannedNode& node)
    {
        const bool hasEnded = node.restartDue_ || !node.node_->process_->isRunning();
        if (node.resumeDue_ || hasEnded)
            return;
        const auto time = drawTime(random_, 100, 400);
        node.stalled_ += time;
        node.resumeDue_ = Clock::now() + time;
        node.node_->process_->stop();
    }

    void stallStopping()
    {
        const auto stopping = std::find_if(
            entries_.begin(), entries_.end(), [](const auto& node) { return node.stoppedAt_ && !node.restartDue_; });
        if (stopping != entries_.end())
            stall(*stopping);
    }

    NodeDeployment& deployment_;
    Random random_;
    std::vector<PlannedNode> entries_;
    std::vector<PlannedNode> controls_;
    std::vector<std::future<bool>> changes_; ///< Of the versions from firstChange on.
    std::uint64_t acknowledged_ { firstChange - 1 };
    std::size_t unacknowledged_ { 0 };
};

/// The violations of one series and what was counted beside them.
struct Findings {
    std::vector<std::string> violations_;
    std::vector<std::string> notes_; ///< Printed, and no violations.
    std::ostringstream counts_;
};

std::string describe(const CutStatement& cut, const std::vector<PlannedNode>& nodes, TimePoint began)
{
    const auto ms = [&](TimePoint time) { return std::to_string(milliseconds(time - began)); };
    const auto& node = nodes[cut.entry_];
    auto text = cut.id_ + " " + cut.text_ + " at " + node.name_ + ": sent at " + ms(cut.sentAt_) + " ms, "
        + (cut.isClosed_ ? "closed at " : "no answer until ") + ms(cut.endedAt_) + " ms; SIGTERM at";
    for (const auto stop : node.stops_)
        text += " " + ms(stop);
    return text;
}

/// Acknowledged writes are in the log once, and nothing is kept of what was promised away.
void checkPromises(NodeDeployment& deployment, const std::vector<const ClientRecord*>& records, Findings& findings)
{
    std::map<std::string, int> commits;
    for (const auto& commit : deployment.group().commits())
        ++commits[commit.query_];
    for (const auto& [id, count] : commits) {
        if (count != 1)
            findings.violations_.push_back(id + " is committed " + std::to_string(count) + " times");
    }
    for (const auto* record : records) {
        if (record->wrongReads_ > 0)
            findings.violations_.push_back(std::to_string(record->wrongReads_) + " reads miss the session's own write");
        for (const auto& id : record->acknowledged_) {
            if (!commits.contains(id))
                findings.violations_.push_back(id + " is acknowledged and not in the log");
        }
        for (const auto& id : record->promised_) {
            if (commits.contains(id))
                findings.violations_.push_back(id + " is refused with a promise and in the log");
        }
    }
}

/// A statement that a database ran has a complete answer.
void checkAnswers(NodeDeployment& deployment, const std::vector<const ClientRecord*>& records, const PlannedWork& work,
    TimePoint began, Findings& findings)
{
    std::set<std::string> ran;
    for (std::size_t i = 0; i < 3; ++i) {
        for (const auto& statement : deployment.server(i).ran())
            ran.insert(statement.query_);
    }
    std::size_t unread = 0;
    std::size_t late = 0;
    for (const auto* record : records) {
        for (const auto& cut : record->cut_) {
            const auto text = describe(cut, work.entries(), began);
            if (ran.contains(cut.id_))
                findings.violations_.push_back("ran without an answer: " + text);
            else if (!cut.isClosed_)
                findings.violations_.push_back("no answer on an open connection: " + text);
            else
                ++unread;
            if (cut.isClosed_ && cut.isWatched_ && cut.endedAt_ - cut.sentAt_ > lossSlack) {
                ++late;
                findings.notes_.push_back("closed late without a run: " + text);
            }
        }
    }
    findings.counts_ << ", closed without a run " << unread << " (" << late << " of them late)";
}

/// What the instances say themselves about their stops.
void checkLogs(const PlannedWork& work, Findings& findings)
{
    std::size_t stops = 0;
    Duration longest { 0 };
    for (const auto* nodes : { &work.entries(), &work.controls() }) {
        for (const auto& node : *nodes) {
            findings.violations_.insert(findings.violations_.end(), node.badExits_.begin(), node.badExits_.end());
            if (!node.isUp())
                findings.violations_.push_back(
                    node.name_ + (node.stoppedAt_ ? " has not ended" : " has not started again"));
        }
    }
    for (const auto& node : work.entries()) {
        stops += node.stops_.size();
        longest = std::max(longest, node.longestExit_);
        std::size_t reports = 0;
        std::istringstream output(node.node_->process_->output());
        for (std::string line; std::getline(output, line);) {
            const bool isReport = line.find("event=stopped ") != std::string::npos;
            reports += isReport ? 1 : 0;
            const bool isMiss = line.find("event=unanswered ") != std::string::npos
                || line.find("event=closed_with_input ") != std::string::npos
                || (isReport && (valueOf(line, "unanswered") != "0" || valueOf(line, "unsent_bytes") != "0"));
            if (isMiss)
                findings.violations_.push_back(line);
        }
        if (reports != node.stops_.size())
            findings.violations_.push_back(node.name_ + " reports " + std::to_string(reports) + " of "
                + std::to_string(node.stops_.size()) + " stops");
    }
    std::size_t controlStops = 0;
    Duration longestControl { 0 };
    for (const auto& node : work.controls()) {
        controlStops += node.stops_.size();
        longestControl = std::max(longestControl, node.longestExit_);
    }
    findings.counts_ << ", stops " << stops << " (longest " << milliseconds(longest) << " ms), of control members "
                     << controlStops << " (" << milliseconds(longestControl) << " ms), changes " << work.changes()
                     << " (not acknowledged: " << work.unacknowledged() << ")";
}

/// Control members and entry instances of which a few hold the connections, with clients at all of them.
struct Series {
    NodeDeployment deployment_ { controlCount, entryCount,
        { .connectionLimit_ = connectionLimit, .shutdown_ = shutdownTime } };
    std::vector<std::unique_ptr<Client>> clients_;
    TimePoint began_;

    Series(std::uint64_t seed, bool leaves)
    {
        REQUIRE(deployment_.configure(1, { "receipts" }, recoveryLimit));
        REQUIRE(deployment_.waitUntilReady(recoveryLimit));
        REQUIRE(waitForHolder(recoveryLimit));
        LineClient writer(deployment_.entries()[0].address_);
        REQUIRE(writer.start("receipts").mark_ == 'I');
        REQUIRE(writer.query("WRITE large " + std::string(largeItemBytes, 'x')).error_.empty());
        began_ = Clock::now();
        for (std::size_t i = 0; i < clientCount; ++i) {
            const auto habit = static_cast<Habit>(i % static_cast<std::size_t>(Habit::Count));
            clients_.push_back(std::make_unique<Client>(deployment_, i, seed, Client::Options { habit, leaves }));
        }
    }

    // Instances that have just started take themselves for few and open connections of their own.
    bool waitForHolder(std::chrono::milliseconds limit)
    {
        for (const auto end = Clock::now() + limit; Clock::now() < end; std::this_thread::sleep_for(20ms)) {
            const auto& nodes = deployment_.entries();
            const auto holders = std::count_if(nodes.begin(), nodes.end(), isHolder);
            if (holders > 0 && holders < static_cast<std::ptrdiff_t>(entryCount / 2))
                return true;
        }
        return false;
    }

    std::vector<const ClientRecord*> end()
    {
        std::vector<const ClientRecord*> records;
        for (const auto& client : clients_)
            records.push_back(&client->end());
        return records;
    }

    void report(const std::string& name, std::uint64_t seed, const std::vector<const ClientRecord*>& records,
        const Findings& findings)
    {
        std::size_t sent = 0;
        std::size_t answered = 0;
        std::map<std::string, std::size_t> errors;
        for (const auto* record : records) {
            sent += record->sent_;
            answered += record->answered_;
            for (const auto& [code, count] : record->errors_)
                errors[code] += count;
        }
        std::cout << name << " seed " << seed << ": sent " << sent << ", answered " << answered;
        for (const auto& [code, count] : errors)
            std::cout << ", " << code << ' ' << count;
        std::cout << findings.counts_.str() << ", violations " << findings.violations_.size() << std::endl;
        for (const auto& note : findings.notes_)
            std::cout << "  " << note.substr(0, 400) << std::endl;
        for (const auto& violation : findings.violations_)
            std::cout << "  " << violation.substr(0, 400) << std::endl;
        if (findings.violations_.empty())
            return;
        for (const auto* nodes : { &deployment_.controls(), &deployment_.entries() }) {
            for (const auto& node : *nodes)
                std::cerr << "seed " << seed << ' ' << node.host_ << ":\n" << node.process_->output() << '\n';
        }
    }
};

std::vector<std::uint64_t> seeds(std::size_t defaultCount)
{
    std::vector<std::uint64_t> seeds(numberFrom("PLANNED_STOP_SERIES", defaultCount));
    std::iota(seeds.begin(), seeds.end(), numberFrom("PLANNED_STOP_FIRST", 1));
    return seeds;
}

} // namespace

// Guards against stops that leave a statement without an answer after a database ran it or the instance read it.
TEST_CASE("planned stops leave no statement without an answer")
{
    for (const auto seed : seeds(defaultSeries)) {
        CAPTURE(seed);
        Series series(seed, false);
        PlannedWork work(series.deployment_, seed);
        work.run(seriesTime);
        const auto records = series.end();
        Findings findings;
        checkAnswers(series.deployment_, records, work, series.began_, findings);
        checkLogs(work, findings);
        checkPromises(series.deployment_, records, findings);
        series.report("planned stops", seed, records, findings);
        CHECK(findings.violations_.empty());
        // An acknowledged configuration is read back once all processes run.
        const auto& nodes = series.deployment_.controls();
        const auto isReadBack = [&](const NodeDeployment::Node& node) {
            return series.deployment_.versionAt(node) >= work.acknowledged();
        };
        bool found = false;
        for (const auto end = Clock::now() + recoveryLimit; !found && Clock::now() < end;
             std::this_thread::sleep_for(20ms))
            found = std::any_of(nodes.begin(), nodes.end(), isReadBack);
        CHECK(found);
    }
}

// Guards against writes that run twice, or refusals that are not true, when connections of clients and of databases end
// in the middle of statements beside planned stops.
TEST_CASE("planned stops beside lost connections keep all promises")
{
    for (const auto seed : seeds(defaultLossSeries)) {
        CAPTURE(seed);
        Series series(seed, true);
        PlannedWork work(series.deployment_, seed);
        work.run(seriesTime, [&](Random& random) {
            auto& faults = series.deployment_.server(drawIndex(random, 3)).faults();
            if (drawIndex(random, 2) == 0)
                faults.cutAnswers_ = 1 + static_cast<int>(drawIndex(random, 4));
            else
                faults.loseAnswers_ = 1 + static_cast<int>(drawIndex(random, 2));
        });
        const auto records = series.end();
        Findings findings;
        checkPromises(series.deployment_, records, findings);
        series.report("lost connections", seed, records, findings);
        CHECK(findings.violations_.empty());
    }
}
