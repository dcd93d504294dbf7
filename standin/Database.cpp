#include "Database.h"

#include <algorithm>
#include <boost/leaf/error.hpp>

namespace cassiahollow::standin {

namespace {

    /// Bytes of entries in one pull answer; with the encoding they stay well below a message's limit.
    constexpr std::size_t maxPullBytes = 128U << 10U;

    enum class Verb : std::uint8_t {
        Get,
        Set,
        Append,
    };

    struct Statement {
        Verb verb_ { Verb::Get };
        std::string key_;
        std::string value_;
    };

    std::optional<Statement> parseStatement(std::string_view text)
    {
        const auto verbEnd = text.find(' ');
        if (verbEnd == std::string_view::npos)
            return {};
        const auto verb = text.substr(0, verbEnd);
        const auto rest = text.substr(verbEnd + 1);
        const auto keyEnd = rest.find(' ');
        const auto key = rest.substr(0, keyEnd);
        if (key.empty())
            return {};
        if (verb == "GET" && keyEnd == std::string_view::npos)
            return Statement { Verb::Get, std::string(key), {} };
        if (keyEnd == std::string_view::npos)
            return {};
        const auto value = rest.substr(keyEnd + 1);
        if (verb == "SET")
            return Statement { Verb::Set, std::string(key), std::string(value) };
        if (verb == "APPEND")
            return Statement { Verb::Append, std::string(key), std::string(value) };
        return {};
    }

    NotRunResponse refuse(const Database& database, EndpointRefusal reason, std::string detail = {})
    {
        return { reason, database.role_.promisedTerm_, std::move(detail) };
    }

    /// The value of a key as the transaction sees it; records the version for the check at commit.
    std::string& valueIn(const Database& database, Transaction& transaction, const std::string& key)
    {
        const auto [place, isNew] = transaction.contents_.try_emplace(key);
        if (isNew) {
            const auto stored = database.values_.find(key);
            if (stored != database.values_.end())
                place->second = stored->second.content_;
            transaction.versions_[key] = stored == database.values_.end() ? 0 : stored->second.version_;
        }
        return place->second;
    }

    /// Runs statements within a transaction; nothing if one of them is not understood or not allowed.
    std::optional<std::vector<std::string>> runStatements(
        const Database& database, Transaction& transaction, const RunRequest& request)
    {
        std::vector<Statement> statements;
        for (const auto& text : request.statements_) {
            auto statement = parseStatement(text);
            if (!statement || (request.readOnly_ && statement->verb_ != Verb::Get))
                return {};
            statements.push_back(std::move(*statement));
        }
        std::vector<std::string> answers;
        for (std::size_t i = 0; i < statements.size(); ++i) {
            auto& value = valueIn(database, transaction, statements[i].key_);
            if (statements[i].verb_ == Verb::Get) {
                answers.push_back(value);
                continue;
            }
            if (statements[i].verb_ == Verb::Set)
                value = statements[i].value_;
            else
                value += statements[i].value_;
            transaction.writes_.push_back(request.statements_[i]);
            answers.emplace_back("ok");
        }
        return answers;
    }

    void applyEntry(Database& database, const LogEntry& entry)
    {
        for (const auto& text : entry.writes_) {
            const auto statement = parseStatement(text);
            if (!statement)
                continue;
            auto& value = database.values_[statement->key_];
            if (statement->verb_ == Verb::Set)
                value.content_ = statement->value_;
            else if (statement->verb_ == Verb::Append)
                value.content_ += statement->value_;
            value.version_ = entry.position_.index_;
        }
        if (!entry.key_.empty())
            database.keys_.try_emplace(entry.key_, entry.position_.index_);
    }

    /// Adds an entry to the log and to the journal.
    void appendEntry(Database& database, LogEntry entry)
    {
        applyEntry(database, entry);
        database.journal_.emplace_back(entry);
        database.log_.push_back(std::move(entry));
    }

    void replayLog(Database& database)
    {
        database.values_.clear();
        database.keys_.clear();
        for (const auto& entry : database.log_)
            applyEntry(database, entry);
    }

    void truncateLog(Database& database, std::uint64_t index)
    {
        database.log_.resize(index);
        replayLog(database);
        database.journal_.emplace_back(TruncateRecord { index });
    }

    LogPosition appendWrite(
        Database& database, std::string key, std::vector<std::string> writes, std::vector<std::string> answers)
    {
        const LogPosition position { database.role_.promisedTerm_, database.log_.size() + 1 };
        appendEntry(database, { position, std::move(key), std::move(writes), std::move(answers) });
        return position;
    }

    /// The refusal of a write, if it must be refused.
    std::optional<EndpointRefusal> refusalOfWrite(const Database& database, Term term)
    {
        if (term != database.role_.promisedTerm_)
            return EndpointRefusal::StaleTerm;
        if (!database.role_.isPrimary_)
            return EndpointRefusal::NotPrimary;
        return {};
    }

    const LogEntry* findKey(const Database& database, const std::string& key)
    {
        const auto found = key.empty() ? database.keys_.end() : database.keys_.find(key);
        return found == database.keys_.end() ? nullptr : &database.log_[found->second - 1];
    }

    void setRole(Database& database, RoleRecord role)
    {
        if (database.role_ == role)
            return;
        if (database.role_.promisedTerm_ != role.promisedTerm_) {
            for (auto& [connection, transaction] : database.transactions_)
                transaction.isAborted_ = true;
        }
        database.probe_.reset();
        database.role_ = std::move(role);
        database.journal_.emplace_back(database.role_);
    }

    EndpointResult execute(Database& database, ConnectionNumber connection, const RunRequest& request)
    {
        if (request.transaction_) {
            const auto found = database.transactions_.find(connection);
            if (found == database.transactions_.end())
                return refuse(database, EndpointRefusal::TransactionUnknown);
            if (found->second.isAborted_ || request.term_ != found->second.term_)
                return refuse(database, EndpointRefusal::TransactionAborted);
            auto answers = runStatements(database, found->second, request);
            if (!answers)
                return refuse(database, EndpointRefusal::StatementFailed);
            return DoneResponse { std::move(*answers), lastPosition(database), false };
        }
        if (!request.readOnly_) {
            if (const auto refusal = refusalOfWrite(database, request.term_))
                return refuse(database, *refusal);
            if (const auto* entry = findKey(database, request.key_))
                return DoneResponse { entry->answers_, entry->position_, true };
        }
        if (lastPosition(database) < request.minPosition_)
            return refuse(database, EndpointRefusal::ReplicaBehind);
        Transaction transaction;
        auto answers = runStatements(database, transaction, request);
        if (!answers)
            return refuse(database, EndpointRefusal::StatementFailed);
        if (request.readOnly_)
            return DoneResponse { std::move(*answers), lastPosition(database), false };
        const auto position = appendWrite(database, request.key_, std::move(transaction.writes_), *answers);
        return DoneResponse { std::move(*answers), position, false };
    }

    EndpointResult execute(Database& database, ConnectionNumber connection, const BeginRequest& request)
    {
        if (const auto refusal = refusalOfWrite(database, request.term_))
            return refuse(database, *refusal);
        if (database.isLeaving_)
            return refuse(database, EndpointRefusal::Leaving);
        if (!database.transactions_.try_emplace(connection, Transaction { request.term_ }).second)
            return refuse(database, EndpointRefusal::TransactionOpen);
        return DoneResponse { {}, lastPosition(database), false };
    }

    bool isUnchanged(const Database& database, const std::pair<const std::string, std::uint64_t>& touched)
    {
        const auto stored = database.values_.find(touched.first);
        return (stored == database.values_.end() ? 0 : stored->second.version_) == touched.second;
    }

    EndpointResult execute(Database& database, ConnectionNumber connection, const CommitRequest& request)
    {
        auto ended = database.transactions_.extract(connection);
        if (const auto refusal = refusalOfWrite(database, request.term_))
            return refuse(database, *refusal);
        if (const auto* entry = findKey(database, request.key_))
            return DoneResponse { entry->answers_, entry->position_, true };
        if (ended.empty())
            return refuse(database, EndpointRefusal::TransactionUnknown);
        auto& transaction = ended.mapped();
        // The first commit wins: a transaction that has read or written a value that changed since is refused.
        if (transaction.isAborted_ || !std::ranges::all_of(transaction.versions_, [&](const auto& touched) {
                return isUnchanged(database, touched);
            }))
            return refuse(database, EndpointRefusal::TransactionAborted);
        if (transaction.writes_.empty() && request.key_.empty())
            return DoneResponse { {}, lastPosition(database), false };
        return DoneResponse { {}, appendWrite(database, request.key_, std::move(transaction.writes_), {}), false };
    }

    EndpointResult execute(Database& database, ConnectionNumber connection, const RollbackRequest&)
    {
        if (database.transactions_.erase(connection) == 0)
            return refuse(database, EndpointRefusal::TransactionUnknown);
        return DoneResponse { {}, lastPosition(database), false };
    }

    EndpointResult execute(Database& database, ConnectionNumber, const LookupRequest& request)
    {
        if (const auto* entry = findKey(database, request.key_))
            return PresentResponse { entry->answers_, entry->position_ };
        return AbsentResponse { database.role_.promisedTerm_, lastPosition(database) };
    }

    EndpointResult execute(Database& database, ConnectionNumber, const ReportRequest&)
    {
        return makeReport(database);
    }

    EndpointResult execute(Database& database, ConnectionNumber, const FenceRequest& request)
    {
        const auto& role = database.role_;
        if (request.term_ < role.promisedTerm_)
            return refuse(database, EndpointRefusal::StaleTerm);
        if (request.term_ == role.promisedTerm_) {
            // Term 0 stands for no promise; it has no promoter.
            if (request.term_ == 0 || request.promoter_ != role.promoter_)
                return refuse(database, EndpointRefusal::OtherPromoter);
            return makeReport(database);
        }
        setRole(database, { request.term_, request.promoter_, false, {}, {} });
        return makeReport(database);
    }

    EndpointResult execute(Database& database, ConnectionNumber, const PromoteRequest& request)
    {
        const auto& role = database.role_;
        // A higher term than the promised one is refused too: this endpoint took no part in the fence, or has lost
        // its disk since, so its log may lack acknowledged entries.
        if (request.term_ != role.promisedTerm_ || request.term_ == 0)
            return refuse(database, EndpointRefusal::StaleTerm);
        if (request.promoter_ != role.promoter_ || (!role.isPrimary_ && !role.primary_.empty()))
            return refuse(database, EndpointRefusal::OtherPromoter);
        if (!role.isPrimary_) {
            setRole(database, { request.term_, request.promoter_, true, database.id_, {} });
            appendWrite(database, {}, {}, {});
        }
        return makeReport(database);
    }

    EndpointResult execute(Database& database, ConnectionNumber, const FollowRequest& request)
    {
        const auto& role = database.role_;
        if (request.term_ < role.promisedTerm_ || request.primary_ == database.id_)
            return refuse(database, EndpointRefusal::StaleTerm);
        // Any promoter may name the primary of the promised term, because the promoter of that term may be dead.
        // This is safe: entries are taken only from a sender that is primary in the term.
        if (request.term_ == role.promisedTerm_ && !role.primary_.empty() && request.primary_ != role.primary_)
            return refuse(database, EndpointRefusal::OtherPromoter);
        const auto& promoter = request.term_ == role.promisedTerm_ ? role.promoter_ : request.promoter_;
        setRole(database, { request.term_, promoter, false, request.primary_, request.primaryAddress_ });
        return makeReport(database);
    }

    EndpointResult execute(Database& database, ConnectionNumber, const HelloRequest&)
    {
        return refuse(database, EndpointRefusal::Malformed);
    }

    EndpointResult execute(Database& database, ConnectionNumber, const WatchRequest&)
    {
        return refuse(database, EndpointRefusal::Malformed);
    }

    bool containsPosition(const Database& database, const LogPosition& position)
    {
        if (position == LogPosition {})
            return true;
        return position.index_ >= 1 && position.index_ <= database.log_.size()
            && database.log_[position.index_ - 1].position_ == position;
    }

    /// The last position whose term and index are both at most those given. Terms never decrease along a log.
    LogPosition positionAtMost(const Database& database, const LogPosition& bound)
    {
        const auto end = std::ranges::partition_point(
            database.log_, [&](const LogEntry& entry) { return entry.position_.term_ <= bound.term_; });
        const auto index
            = std::min<std::uint64_t>(bound.index_, static_cast<std::uint64_t>(end - database.log_.begin()));
        return index == 0 ? LogPosition {} : database.log_[index - 1].position_;
    }

    std::size_t sizeOf(const LogEntry& entry)
    {
        std::size_t size = 64 + entry.key_.size();
        for (const auto* texts : { &entry.writes_, &entry.answers_ }) {
            for (const auto& text : *texts)
                size += text.size() + 4;
        }
        return size;
    }

} // namespace

boost::leaf::result<Database> restoreDatabase(EndpointId id, std::span<const JournalRecord> records)
{
    Database database { std::move(id) };
    for (const auto& record : records) {
        if (const auto* role = std::get_if<RoleRecord>(&record)) {
            database.role_ = *role;
        } else if (const auto* truncate = std::get_if<TruncateRecord>(&record)) {
            if (truncate->index_ > database.log_.size())
                return boost::leaf::new_error(Failure { Reason::MessageMalformed, "truncation beyond the log's end" });
            database.log_.resize(truncate->index_);
        } else {
            const auto& entry = std::get<LogEntry>(record);
            if (entry.position_.index_ != database.log_.size() + 1)
                return boost::leaf::new_error(Failure { Reason::MessageMalformed, "gap between entries" });
            database.log_.push_back(entry);
        }
    }
    replayLog(database);
    return database;
}

LogPosition lastPosition(const Database& database)
{
    return database.log_.empty() ? LogPosition {} : database.log_.back().position_;
}

EndpointReport makeReport(const Database& database)
{
    return { database.id_, database.role_.isPrimary_ ? EndpointRole::Primary : EndpointRole::Replica,
        database.role_.promisedTerm_, lastPosition(database), database.isLeaving_, database.role_.primary_ };
}

EndpointResult execute(Database& database, ConnectionNumber connection, const EndpointOperation& operation)
{
    return std::visit([&](const auto& request) { return execute(database, connection, request); }, operation);
}

void endConnection(Database& database, ConnectionNumber connection)
{
    database.transactions_.erase(connection);
}

std::optional<PullAnswer> answerPull(const Database& database, const PullRequest& request)
{
    const auto last = lastPosition(database);
    if (!database.role_.isPrimary_ || request.term_ != database.role_.promisedTerm_)
        return PullAnswer { 0, false, request.position_, last, {} };
    PullAnswer answer { request.term_, containsPosition(database, request.position_), request.position_, last, {} };
    if (!answer.isMatch_) {
        answer.position_ = positionAtMost(database, request.position_);
        return answer;
    }
    if (request.position_ == last)
        return {};
    std::size_t bytes = 0;
    for (auto index = request.position_.index_; index < database.log_.size() && bytes < maxPullBytes; ++index) {
        answer.entries_.push_back(database.log_[index]);
        bytes += sizeOf(database.log_[index]);
    }
    return answer;
}

std::optional<PullRequest> nextPull(const Database& database)
{
    const auto& role = database.role_;
    if (role.isPrimary_ || role.primary_.empty())
        return {};
    return PullRequest { role.promisedTerm_, database.probe_.value_or(lastPosition(database)) };
}

bool takeEntries(Database& database, const PullAnswer& answer)
{
    const auto& role = database.role_;
    // A primary of an older term may still answer a pull that was sent before the fence.
    if (role.isPrimary_ || role.primary_.empty() || answer.term_ != role.promisedTerm_)
        return false;
    if (!answer.isMatch_ || !containsPosition(database, answer.position_)) {
        database.probe_ = positionAtMost(database, answer.position_);
        return false;
    }
    auto expected = answer.position_.index_ + 1;
    for (const auto& entry : answer.entries_) {
        if (entry.position_.index_ != expected++ || entry.position_.term_ > answer.term_)
            return false;
    }
    for (const auto& entry : answer.entries_) {
        if (containsPosition(database, entry.position_))
            continue;
        if (entry.position_.index_ <= database.log_.size())
            truncateLog(database, entry.position_.index_ - 1);
        appendEntry(database, entry);
    }
    if (database.log_.size() > answer.last_.index_)
        truncateLog(database, answer.last_.index_);
    database.probe_.reset();
    return true;
}

} // namespace cassiahollow::standin
