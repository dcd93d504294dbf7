#include "Databases.h"

#include <algorithm>
#include <cerrno>
#include <random>
#include <utility>

namespace review {

namespace {

    using namespace std::chrono_literals;

    constexpr int queueLimit = 16;
    constexpr auto handshakeTime = 12ms;
    constexpr auto acceptInterval = 50ms;
    constexpr auto sessionSilence = 60s;
    // A synchronous commit waits for a replica; what takes longer has no known outcome.
    constexpr auto acknowledgementTime = 5s;
    constexpr auto acknowledgementInterval = 100us;

    std::string takeWord(std::string& text)
    {
        const auto end = std::min(text.find(' '), text.size());
        auto word = text.substr(0, end);
        text.erase(0, std::min(end + 1, text.size()));
        return word;
    }

    Position parsePosition(const std::string& text)
    {
        const auto dot = text.find('.');
        return { std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1)) };
    }

    std::atomic<std::uint64_t> nextSeed { std::random_device {}() };

    std::mt19937_64& draws()
    {
        thread_local std::mt19937_64 random(nextSeed++);
        return random;
    }

    bool isDrawn(int inThousand)
    {
        return inThousand > 0 && static_cast<int>(draws()() % 1000) < inThousand;
    }

} // namespace

void seedDraws(std::uint64_t seed)
{
    nextSeed = seed;
}

void Ledger::addRun(const std::string& id, Ran run)
{
    const std::lock_guard lock(mutex_);
    runs_[id].push_back(std::move(run));
}

void Ledger::addReply(const std::string& id, const std::string& reply)
{
    const std::lock_guard lock(mutex_);
    replies_[id].insert(reply);
}

std::map<std::string, std::vector<Ledger::Ran>> Ledger::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::map<std::string, std::set<std::string>> Ledger::replies() const
{
    const std::lock_guard lock(mutex_);
    return replies_;
}

std::string textOf(const Position& position)
{
    return std::to_string(position.term_) + "." + std::to_string(position.number_);
}

Group::Group(std::string name, const std::vector<std::string>& ids, bool isSynchronous)
    : name_(std::move(name))
    , isSynchronous_(isSynchronous)
    , primary_(ids.front())
{
    members_.insert(ids.begin(), ids.end());
}

std::string Group::primary() const
{
    const std::lock_guard lock(mutex_);
    return primary_;
}

std::uint64_t Group::term() const
{
    const std::lock_guard lock(mutex_);
    return term_;
}

void Group::setReceiveDelay(std::chrono::microseconds shortest, std::chrono::microseconds longest)
{
    const std::lock_guard lock(mutex_);
    delayUs_ = std::uniform_int_distribution<std::int64_t>(shortest.count(), longest.count());
}

Clock::duration Group::drawDelay()
{
    return std::chrono::microseconds(delayUs_(random_));
}

void Group::setDeaf(const std::string& id, bool isDeaf)
{
    const std::lock_guard lock(mutex_);
    if (isDeaf) {
        deaf_.insert(id);
        return;
    }
    deaf_.erase(id);
    for (auto& commit : log_)
        commit.receivedAt_.try_emplace(id, Clock::now() + drawDelay());
}

void Group::replace(const std::string& id, const std::string& successor)
{
    const std::lock_guard lock(mutex_);
    const auto kept = received(id);
    members_.erase(id);
    members_.insert(successor);
    for (std::size_t i = 0; i < log_.size(); ++i)
        log_[i].receivedAt_[successor] = i < kept ? Clock::now() : Clock::now() + drawDelay();
}

std::size_t Group::received(const std::string& id) const
{
    if (id == primary_)
        return log_.size();
    // A replica receives the log in order.
    const auto now = Clock::now();
    const auto end = std::partition_point(log_.begin(), log_.end(), [&](const Commit& commit) {
        const auto at = commit.receivedAt_.find(id);
        return at != commit.receivedAt_.end() && at->second <= now;
    });
    return static_cast<std::size_t>(end - log_.begin());
}

Position Group::position(const std::string& id) const
{
    const std::lock_guard lock(mutex_);
    const auto count = received(id);
    return count == 0 ? Position {} : log_[count - 1].position_;
}

std::string Group::read(const std::string& id, const std::string& item) const
{
    const std::lock_guard lock(mutex_);
    for (auto i = received(id); i > 0; --i) {
        const auto found = log_[i - 1].items_.find(item);
        if (found != log_[i - 1].items_.end())
            return found->second;
    }
    return "none";
}

std::optional<Position> Group::append(
    const std::string& id, const std::string& query, const std::map<std::string, std::string>& items)
{
    const std::lock_guard lock(mutex_);
    if (id != primary_)
        return std::nullopt;
    const Position position { term_, log_.empty() ? 1 : log_.back().position_.number_ + 1 };
    const auto now = Clock::now();
    Commit commit { position, query, items, {} };
    for (const auto& replica : members_) {
        if (replica == primary_ || deaf_.contains(replica))
            continue;
        auto& last = lastReceived_[replica];
        last = std::max(last, now + drawDelay());
        commit.receivedAt_[replica] = last;
    }
    log_.push_back(std::move(commit));
    return position;
}

bool Group::awaitAcknowledgement(const std::string& id, const Position& position) const
{
    for (const auto end = Clock::now() + acknowledgementTime; Clock::now() < end;
         std::this_thread::sleep_for(acknowledgementInterval)) {
        const std::lock_guard lock(mutex_);
        // A primary that has lost the lead cannot tell whether its last commit is kept.
        if (id != primary_ || position.term_ != term_)
            return false;
        const bool isReceived = std::any_of(members_.begin(), members_.end(),
            [&](const std::string& replica) { return replica != primary_ && reaches(replica, position); });
        if (!isSynchronous_ || isReceived)
            return true;
    }
    return false;
}

bool Group::reaches(const std::string& id, const Position& position) const
{
    const auto count = received(id);
    return count > 0 && log_[count - 1].position_ >= position;
}

// A database that stops leading keeps its log.
void Group::keepLog(const std::string& id)
{
    for (auto& commit : log_)
        commit.receivedAt_.try_emplace(id, TimePoint());
}

void Group::stepDown(const std::string& id, std::uint64_t term)
{
    const std::lock_guard lock(mutex_);
    if (primary_ != id || term <= term_)
        return;
    keepLog(id);
    primary_.clear();
}

void Group::promote(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    if (primary_ == id)
        return;
    // What is on its way to the target when the promotion happens does not count.
    const auto kept = received(id);
    for (auto i = kept; i < log_.size(); ++i)
        rolledBack_.insert(log_[i].query_);
    log_.resize(kept);
    keepLog(primary_);
    primary_ = id;
    ++term_;
    deaf_.clear(); // A promotion ends what PAUSE began.
    for (auto& commit : log_) {
        for (const auto& replica : members_)
            commit.receivedAt_.try_emplace(replica, Clock::now() + drawDelay());
    }
}

std::set<std::string> Group::committed() const
{
    const std::lock_guard lock(mutex_);
    std::set<std::string> queries;
    for (const auto& commit : log_)
        queries.insert(commit.query_);
    return queries;
}

std::set<std::string> Group::rolledBack() const
{
    const std::lock_guard lock(mutex_);
    return rolledBack_;
}

std::vector<Group::Commit> Group::log() const
{
    const std::lock_guard lock(mutex_);
    return log_;
}

struct Database::Session {
    std::map<std::string, std::string> values_;
    std::map<std::string, std::string> shapes_; ///< Of prepared names.
    std::map<std::string, bool> prepared_; ///< Whether the shape writes.
    std::map<std::string, std::string> writes_;
    bool isOpen_ { false };
    bool isPlain_ { false };
    bool hasFailed_ { false };
    std::optional<Position> unacknowledged_; ///< Of the commit that has just run.
};

Database::Database(Group& group, std::string id, std::string address, std::string dataCentre, int slots)
    : group_(group)
    , id_(std::move(id))
    , address_(std::move(address))
    , dataCentre_(std::move(dataCentre))
    , slots_(slots)
    , born_(static_cast<std::uint64_t>(
          std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
    , listener_(listenOn(address_))
    , acceptor_([this] { acceptAll(); })
{
}

Database::~Database()
{
    ending_ = true;
    acceptor_.join();
    while (sessions_ > 0)
        std::this_thread::sleep_for(acceptInterval);
}

void Database::acceptAll()
{
    while (!ending_) {
        auto stream = acceptFrom(listener_, acceptInterval);
        if (!stream)
            continue;
        ++sessions_;
        std::thread([this, accepted = std::make_shared<Stream>(std::move(*stream))] {
            serve(std::move(*accepted));
            --sessions_;
        }).detach();
    }
}

void Database::setCutFrom(const std::string& caller)
{
    const std::lock_guard lock(cutMutex_);
    cutFrom_ = caller;
}

void Database::awaitLink(const std::string& caller) const
{
    const auto isCut = [&] {
        const std::lock_guard lock(cutMutex_);
        return !caller.empty() && caller == cutFrom_;
    };
    while (isCut() && !ending_)
        std::this_thread::sleep_for(20ms);
}

bool Database::takeSlot()
{
    std::unique_lock lock(slotMutex_);
    if (busy_ >= slots_ && waiting_ >= queueLimit)
        return false;
    ++waiting_;
    slotFreed_.wait(lock, [this] { return busy_ < slots_; });
    --waiting_;
    ++busy_;
    return true;
}

void Database::freeSlot()
{
    const std::lock_guard lock(slotMutex_);
    --busy_;
    slotFreed_.notify_one();
}

std::string Database::ready(const Session& session) const
{
    const std::string mark = session.hasFailed_ ? "E" : session.isOpen_ ? "T" : "I";
    return "READY " + mark + " " + textOf(group_.position(id_)) + "\r\n";
}

std::string Database::failed(Session& session, const std::string& code) const
{
    session.hasFailed_ = session.isOpen_;
    return "ERROR " + code + " " + id_ + "\r\n" + ready(session);
}

void Database::sendLater(const std::shared_ptr<Stream>& stream, const std::shared_ptr<std::mutex>& sending,
    const std::string& reply, Milliseconds delay)
{
    std::thread([stream, sending, reply, delay] {
        std::this_thread::sleep_for(delay);
        const std::lock_guard lock(*sending);
        stream->send(reply);
    }).detach();
}

void Database::serve(Stream accepted)
{
    const auto stream = std::make_shared<Stream>(std::move(accepted));
    const auto sending = std::make_shared<std::mutex>();
    stream->setLimit(200ms);
    const auto end = [this] { return ending_.load(); };
    auto next = [&]() -> std::optional<std::string> {
        for (const auto until = Clock::now() + sessionSilence; Clock::now() < until && !end();) {
            errno = 0;
            if (auto line = stream->readLine())
                return line;
            if (errno != EAGAIN && errno != EWOULDBLOCK)
                return std::nullopt;
        }
        return std::nullopt;
    };
    Session session;
    bool hasStarted = false;
    std::string caller;
    while (auto line = next()) {
        while (faults_.isDark_ && !end())
            std::this_thread::sleep_for(20ms);
        const auto word = takeWord(*line);
        if (word == "STARTUP") {
            const auto service = takeWord(*line);
            caller = takeWord(*line);
            if (service != group_.name() || (!line->empty() && *line != id_)) {
                stream->send("ERROR MOVED other\r\n");
                return;
            }
            awaitLink(caller);
            std::this_thread::sleep_for(handshakeTime);
            hasStarted = true;
            stream->send(ready(session));
            continue;
        }
        if (word != "QUERY" || !hasStarted)
            return;
        const auto id = takeWord(*line);
        awaitLink(caller);
        const auto reply = run(session, id, *line);
        if (id != "-")
            group_.ledger().addReply(id, reply);
        if (id != "-" && isDrawn(faults_.loseAnswersInThousand_))
            continue;
        if (id != "-" && isDrawn(faults_.cutAnswersInThousand_))
            return;
        if (reply.empty()) // An unknown outcome ends the connection.
            return;
        {
            const std::lock_guard lock(*sending);
            if (!stream->send(reply))
                return;
        }
        const auto& share = reply.starts_with("ERROR") ? faults_.repeatRefusalsInThousand_
            : id == "-"                                ? faults_.repeatOwnAnswersInThousand_
                                                       : faults_.repeatAnswersInThousand_;
        if (isDrawn(share)) {
            const auto longest = static_cast<std::uint64_t>(faults_.longestRepeatMs_) + 1;
            sendLater(stream, sending, reply, Milliseconds(draws()() % longest));
        }
    }
}

std::string Database::run(Session& session, const std::string& id, std::string text)
{
    const auto done = [&](const std::string& rows = {}) { return rows + "COMPLETE -\r\n" + ready(session); };
    auto verb = takeWord(text);
    if (verb == "WAITLSN") {
        if (group_.position(id_) < parsePosition(takeWord(text)))
            return failed(session, "LAGGING");
        verb = takeWord(text);
    }
    if (id != "-") {
        auto words = text;
        const auto shape = verb == "EXECUTE" ? session.shapes_.find(takeWord(words)) : session.shapes_.end();
        group_.ledger().addRun(id,
            { id_, text.empty() ? verb : verb + " " + text, session.values_,
                shape == session.shapes_.end() ? std::string() : shape->second, session.isOpen_ });
    }
    if (verb == "ROLLBACK" || (verb == "COMMIT" && session.hasFailed_)) {
        session.isOpen_ = session.isPlain_ = session.hasFailed_ = false;
        session.writes_.clear();
        return verb == "ROLLBACK" ? done() : failed(session, "ABORTED");
    }
    if (session.hasFailed_)
        return failed(session, "MALFORMED");
    if (verb == "SET") {
        const auto name = takeWord(text);
        session.values_[name] = text;
        return done();
    }
    if (verb == "PREPARE") {
        const auto name = takeWord(text);
        session.prepared_[name] = takeWord(text) == "WRITE";
        session.shapes_[name] = text;
        return done();
    }
    if (verb == "DISCARD") {
        session.values_.clear();
        session.prepared_.clear();
        session.shapes_.clear();
        return done();
    }
    if (verb == "BEGIN") {
        if (text != "READ" && group_.primary() != id_)
            return failed(session, "READONLY");
        session.isOpen_ = true;
        session.isPlain_ = text != "READ";
        return done();
    }
    if (isDrawn(faults_.shedInThousand_) || !takeSlot())
        return failed(session, "BUSY");
    std::string reply;
    if (verb == "STATUS" || verb == "STEPDOWN" || verb == "PAUSE" || verb == "RESUME") {
        if (verb == "STEPDOWN")
            group_.stepDown(id_, std::stoull(text));
        if (verb == "PAUSE" || verb == "RESUME")
            group_.setDeaf(id_, verb == "PAUSE");
        const auto term = std::to_string(group_.term());
        const std::string role = group_.primary() == id_ ? "primary" : "replica";
        reply = done("DATAROW " + role + " " + term + " " + textOf(group_.position(id_)) + " " + term + " 0 0 1\r\n");
    } else {
        std::this_thread::sleep_for(Milliseconds(faults_.workMs_));
        reply = runData(session, id, verb, text);
    }
    freeSlot();
    // A commit occupies its slot while it runs, and not while it waits for a replica.
    if (const auto position = std::exchange(session.unacknowledged_, std::nullopt);
        position && !group_.awaitAcknowledgement(id_, *position))
        return {};
    return reply;
}

std::string Database::runData(Session& session, const std::string& id, const std::string& verbText, std::string text)
{
    auto verb = verbText;
    if (verb == "EXECUTE") {
        const auto found = session.prepared_.find(takeWord(text));
        if (found == session.prepared_.end())
            return failed(session, "NOSTMT");
        verb = found->second ? "WRITE" : "READ";
    }
    const bool leads = group_.primary() == id_;
    const bool keepsNothing = verb == "COMMIT" && session.writes_.empty();
    if ((session.isPlain_ || verb == "WRITE") && !leads && !keepsNothing)
        return failed(session, "READONLY");
    const auto signedReply
        = [&](const std::string& rows = {}) { return rows + "COMPLETE " + id_ + "." + id + "\r\n" + ready(session); };
    const auto commit = [&](const std::map<std::string, std::string>& items) {
        session.unacknowledged_ = group_.append(id_, id, items);
        return session.unacknowledged_ ? signedReply() : failed(session, "READONLY");
    };
    if (verb == "READ")
        return signedReply("DATAROW " + group_.read(id_, text) + "\r\n");
    if (verb == "WRITE") {
        const auto item = takeWord(text);
        if (session.isOpen_) {
            session.writes_[item] = text;
            return signedReply();
        }
        return commit({ { item, text } });
    }
    if (verb != "COMMIT" || !session.isOpen_)
        return failed(session, "MALFORMED");
    const auto writes = std::exchange(session.writes_, {});
    session.isOpen_ = session.isPlain_ = false;
    return writes.empty() ? signedReply() : commit(writes);
}

} // namespace review
