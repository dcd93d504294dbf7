#include "Database.h"
#include "Journal.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>

using namespace cassiahollow;
using namespace cassiahollow::standin;

namespace {

const InstanceId promoter("i1");

Database makeDatabase(const char* id)
{
    return Database { EndpointId(id) };
}

Database makePrimary(const char* id, Term term = 1)
{
    auto database = makeDatabase(id);
    execute(database, 0, FenceRequest { term, promoter });
    execute(database, 0, PromoteRequest { term, promoter });
    return database;
}

bool isRefused(const EndpointResult& result, EndpointRefusal reason)
{
    const auto* answer = std::get_if<NotRunResponse>(&result);
    return answer != nullptr && answer->reason_ == reason;
}

EndpointResult write(Database& database, Term term, std::string statement, std::string key = {})
{
    return execute(database, 1, RunRequest { term, { std::move(statement) }, false, false, std::move(key), {} });
}

std::string read(Database& database, const std::string& key)
{
    const auto result = execute(database, 2, RunRequest { 0, { "GET " + key }, true, false, {}, {} });
    return std::get<DoneResponse>(result).responses_.at(0);
}

void follow(Database& database, Term term, const char* primary)
{
    const auto result = execute(database, 0, FollowRequest { term, promoter, EndpointId(primary), "127.0.0.1:1" });
    REQUIRE(std::holds_alternative<EndpointReport>(result));
}

/// Pulls until the replica has all entries of the primary.
void replicate(Database& replica, const Database& primary)
{
    for (int round = 0; round < 100; ++round) {
        const auto request = nextPull(replica);
        REQUIRE(request);
        const auto answer = answerPull(primary, *request);
        if (!answer)
            return;
        takeEntries(replica, *answer);
    }
    FAIL("the replica did not catch up");
}

/// A folder for the time of one test.
struct Folder {
    std::filesystem::path path_;

    Folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "standin-test-XXXXXX").string();
        path_ = ::mkdtemp(pattern.data());
    }
    ~Folder() { std::filesystem::remove_all(path_); }
};

} // namespace

// Guards against a write of a deposed primary that is still accepted.
TEST_CASE("a fenced database refuses all older terms")
{
    auto database = makePrimary("a");
    REQUIRE(std::holds_alternative<DoneResponse>(write(database, 1, "SET x 1")));
    execute(database, 0, FenceRequest { 2, promoter });
    REQUIRE(isRefused(write(database, 1, "SET x 2"), EndpointRefusal::StaleTerm));
    REQUIRE(isRefused(write(database, 2, "SET x 2"), EndpointRefusal::NotPrimary));
    const auto late = execute(database, 0, PromoteRequest { 1, promoter });
    REQUIRE(isRefused(late, EndpointRefusal::StaleTerm));
    REQUIRE(std::get<NotRunResponse>(late).promisedTerm_ == 2);
    REQUIRE(isRefused(
        execute(database, 0, FollowRequest { 1, promoter, EndpointId("b"), "x" }), EndpointRefusal::StaleTerm));
    REQUIRE(read(database, "x") == "1");
}

// Guards against two primaries in one term.
TEST_CASE("a term belongs to one promoter")
{
    auto database = makeDatabase("a");
    execute(database, 0, FenceRequest { 1, promoter });
    const InstanceId other("i2");
    REQUIRE(isRefused(execute(database, 0, FenceRequest { 1, other }), EndpointRefusal::OtherPromoter));
    REQUIRE(isRefused(execute(database, 0, PromoteRequest { 1, other }), EndpointRefusal::OtherPromoter));
    REQUIRE(isRefused(execute(database, 0, PromoteRequest { 2, promoter }), EndpointRefusal::StaleTerm));
    follow(database, 1, "b");
    REQUIRE(isRefused(execute(database, 0, PromoteRequest { 1, promoter }), EndpointRefusal::OtherPromoter));
    REQUIRE(isRefused(
        execute(database, 0, FollowRequest { 1, promoter, EndpointId("c"), "x" }), EndpointRefusal::OtherPromoter));
}

// Guards against a resent order that changes the state a second time.
TEST_CASE("orders are idempotent")
{
    auto database = makePrimary("a");
    const auto before = makeReport(database);
    REQUIRE(before.position_ == LogPosition { 1, 1 });
    REQUIRE(std::get<EndpointReport>(execute(database, 0, FenceRequest { 1, promoter })) == before);
    REQUIRE(std::get<EndpointReport>(execute(database, 0, PromoteRequest { 1, promoter })) == before);
}

// Guards against a second run of a write that is resent with its key, also after a promotion.
TEST_CASE("a key is stored with its write and replicated")
{
    auto primary = makePrimary("a");
    auto replica = makeDatabase("b");
    follow(replica, 1, "a");
    const auto first = std::get<DoneResponse>(write(primary, 1, "APPEND x 1", "k"));
    const auto second = std::get<DoneResponse>(write(primary, 1, "APPEND x 1", "k"));
    REQUIRE(second.repeated_);
    REQUIRE(second.position_ == first.position_);
    REQUIRE(second.responses_ == first.responses_);
    replicate(replica, primary);
    execute(replica, 0, FenceRequest { 2, promoter });
    execute(replica, 0, PromoteRequest { 2, promoter });
    REQUIRE(std::get<DoneResponse>(write(replica, 2, "APPEND x 1", "k")).repeated_);
    REQUIRE(read(replica, "x") == "1");
    REQUIRE(std::holds_alternative<PresentResponse>(execute(replica, 0, LookupRequest { "k" })));
    REQUIRE(std::holds_alternative<AbsentResponse>(execute(replica, 0, LookupRequest { "other" })));
}

// Guards against a half-run request: one statement that fails must leave nothing of the others.
TEST_CASE("a refused statement leaves nothing")
{
    auto database = makePrimary("a");
    const auto position = lastPosition(database);
    const RunRequest request { 1, { "SET x 1", "DROP x" }, false, false, "k", {} };
    REQUIRE(isRefused(execute(database, 1, request), EndpointRefusal::StatementFailed));
    const RunRequest hidden { 1, { "SET x 1" }, true, false, {}, {} };
    REQUIRE(isRefused(execute(database, 1, hidden), EndpointRefusal::StatementFailed));
    REQUIRE(lastPosition(database) == position);
    REQUIRE(read(database, "x").empty());
    REQUIRE(std::holds_alternative<AbsentResponse>(execute(database, 0, LookupRequest { "k" })));
}

// Guards against a read on a replica that misses the session's own write.
TEST_CASE("a read below the required position is refused")
{
    auto primary = makePrimary("a");
    auto replica = makeDatabase("b");
    follow(replica, 1, "a");
    const auto position = std::get<DoneResponse>(write(primary, 1, "SET x 1")).position_;
    const RunRequest request { 1, { "GET x" }, true, false, {}, position };
    REQUIRE(isRefused(execute(replica, 1, request), EndpointRefusal::ReplicaBehind));
    replicate(replica, primary);
    const auto answer = std::get<DoneResponse>(execute(replica, 1, request));
    REQUIRE(answer.responses_ == std::vector<std::string> { "1" });
    REQUIRE(answer.position_ == position);
    REQUIRE(isRefused(write(replica, 1, "SET x 2"), EndpointRefusal::NotPrimary));
}

// Guards against transactions of different connections that mix, and against effects of aborted ones.
TEST_CASE("transactions are isolated")
{
    auto database = makePrimary("a");
    const auto inside = [&](ConnectionNumber connection, std::string statement) {
        return execute(database, connection, RunRequest { 1, { std::move(statement) }, false, true, {}, {} });
    };
    execute(database, 1, BeginRequest { 1 });
    execute(database, 2, BeginRequest { 1 });
    inside(1, "SET x 1");
    REQUIRE(read(database, "x").empty());
    REQUIRE(std::get<DoneResponse>(inside(2, "GET x")).responses_.at(0).empty());
    REQUIRE(std::get<DoneResponse>(inside(1, "GET x")).responses_.at(0) == "1");
    REQUIRE_FALSE(std::get<DoneResponse>(execute(database, 1, CommitRequest { 1, "k" })).repeated_);
    REQUIRE(read(database, "x") == "1");
    // Connection 2 has read a value that changed since.
    inside(2, "SET y 2");
    REQUIRE(isRefused(execute(database, 2, CommitRequest { 1, {} }), EndpointRefusal::TransactionAborted));
    REQUIRE(read(database, "y").empty());
    // A commit whose answer was lost is resent on a new connection.
    REQUIRE(std::get<DoneResponse>(execute(database, 3, CommitRequest { 1, "k" })).repeated_);
    REQUIRE(isRefused(execute(database, 3, CommitRequest { 1, "k2" }), EndpointRefusal::TransactionUnknown));
    // Rollback, the end of the connection and a new term leave nothing.
    execute(database, 4, BeginRequest { 1 });
    inside(4, "SET x 4");
    execute(database, 4, RollbackRequest { 1 });
    execute(database, 5, BeginRequest { 1 });
    inside(5, "SET x 5");
    endConnection(database, 5);
    REQUIRE(isRefused(inside(5, "GET x"), EndpointRefusal::TransactionUnknown));
    execute(database, 6, BeginRequest { 1 });
    inside(6, "SET x 6");
    execute(database, 0, FenceRequest { 2, promoter });
    execute(database, 0, PromoteRequest { 2, promoter });
    REQUIRE(isRefused(inside(6, "GET x"), EndpointRefusal::TransactionAborted));
    REQUIRE(isRefused(execute(database, 6, CommitRequest { 2, {} }), EndpointRefusal::TransactionAborted));
    REQUIRE(read(database, "x") == "1");
}

// Guards against a former primary that keeps writes which its group never confirmed.
TEST_CASE("a divergent tail is dropped")
{
    auto old = makePrimary("a");
    auto replica = makeDatabase("b");
    follow(replica, 1, "a");
    write(old, 1, "SET x 1");
    replicate(replica, old);
    for (int i = 0; i < 5; ++i)
        write(old, 1, "APPEND x lost", "k" + std::to_string(i));
    execute(replica, 0, FenceRequest { 2, promoter });
    execute(replica, 0, PromoteRequest { 2, promoter });
    write(replica, 2, "APPEND x 2");
    follow(old, 2, "b");
    replicate(old, replica);
    REQUIRE(old.log_ == replica.log_);
    REQUIRE(read(old, "x") == "12");
    REQUIRE(std::holds_alternative<AbsentResponse>(execute(old, 0, LookupRequest { "k0" })));
}

// Guards against entries of a deposed primary that arrive late, at a fenced replica or at one of a newer term.
TEST_CASE("entries of terms below the promised one are refused")
{
    auto primary = makePrimary("a");
    auto replica = makeDatabase("b");
    follow(replica, 1, "a");
    write(primary, 1, "SET x 1");
    const auto late = answerPull(primary, *nextPull(replica));
    REQUIRE(late);
    execute(replica, 0, FenceRequest { 2, promoter });
    REQUIRE_FALSE(nextPull(replica));
    REQUIRE_FALSE(takeEntries(replica, *late));
    follow(replica, 2, "c");
    REQUIRE_FALSE(takeEntries(replica, *late));
    REQUIRE(lastPosition(replica) == LogPosition {});
    REQUIRE(answerPull(primary, *nextPull(replica))->term_ == 0);
}

// Guards against logs that differ after any sequence of promotions, partial replication and restarts, and against a
// confirmed entry that is lost. The promoted database is the one with the highest position of a random majority.
TEST_CASE("logs converge and keep confirmed entries")
{
    const auto seed = GENERATE(range(1U, 41U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<Database> databases { makeDatabase("a"), makeDatabase("b"), makeDatabase("c") };
    std::vector<std::vector<JournalRecord>> journals(3);
    std::vector<LogEntry> confirmed;
    Term term = 0;
    std::size_t primary = 0;
    const auto promote = [&] {
        ++term;
        const auto absent = random() % 4; // 3 stands for none
        std::size_t best = absent == 0 ? 1 : 0;
        for (std::size_t i = 0; i < 3; ++i) {
            if (i == absent)
                continue;
            execute(databases[i], 0, FenceRequest { term, promoter });
            if (lastPosition(databases[i]) > lastPosition(databases[best]))
                best = i;
        }
        execute(databases[best], 0, PromoteRequest { term, promoter });
        primary = best;
    };
    promote();
    for (int step = 0; step < 300; ++step) {
        const auto chosen = random() % 3;
        auto& database = databases[chosen];
        switch (random() % 8) {
        case 0:
            if (random() % 4 == 0)
                promote();
            break;
        case 1:
            for (auto& record : database.journal_)
                journals[chosen].push_back(std::move(record));
            database = restoreDatabase(database.id_, journals[chosen]).value();
            break;
        case 2:
            if (chosen != primary)
                follow(database, term, databases[primary].id_.value_.c_str());
            break;
        case 3:
        case 4: {
            // Every database that supposes to be primary takes writes of its term.
            const auto own = database.role_.promisedTerm_;
            write(database, own, "APPEND x " + std::to_string(step) + ";", "k" + std::to_string(step));
            break;
        }
        default:
            if (const auto request = nextPull(database)) {
                for (const auto& source : databases) {
                    if (source.id_ != database.role_.primary_)
                        continue;
                    if (const auto answer = answerPull(source, *request))
                        takeEntries(database, *answer);
                }
            }
        }
        for (std::size_t i = 0; i < 3; ++i) {
            const auto position = lastPosition(databases[i]);
            const auto& other = databases[(i + 1) % 3];
            if (!databases[i].log_.empty() && lastPosition(other).term_ == position.term_
                && lastPosition(other) >= position) {
                if (position.index_ > confirmed.size())
                    confirmed = databases[i].log_;
            }
        }
        REQUIRE(databases[primary].log_.size() >= confirmed.size());
        REQUIRE(std::equal(confirmed.begin(), confirmed.end(), databases[primary].log_.begin()));
    }
    promote();
    for (std::size_t i = 0; i < 3; ++i) {
        if (i == primary)
            continue;
        follow(databases[i], term, databases[primary].id_.value_.c_str());
        replicate(databases[i], databases[primary]);
        REQUIRE(databases[i].log_ == databases[primary].log_);
        REQUIRE(read(databases[i], "x") == read(databases[primary], "x"));
    }
}

// Guards against a promise, role, write or truncation that a restart forgets.
TEST_CASE("a journal restores the database")
{
    const Folder folder;
    auto database = makePrimary("a");
    write(database, 1, "SET x 1", "k");
    write(database, 1, "APPEND x \xc3\xa4");
    {
        auto journal = Journal::open(folder.path_);
        REQUIRE(journal);
        REQUIRE(journal->append(database.journal_));
    }
    const auto restore = [&] { return restoreDatabase(EndpointId("a"), Journal::open(folder.path_)->records()); };
    auto restored = restore();
    REQUIRE(restored);
    REQUIRE(restored->role_ == database.role_);
    REQUIRE(restored->log_ == database.log_);
    REQUIRE(read(*restored, "x") == "1\xc3\xa4");
    REQUIRE(std::get<DoneResponse>(write(*restored, 1, "SET x 1", "k")).repeated_);

    // A record that was being written at the crash is cut off.
    const auto size = std::filesystem::file_size(folder.path_ / "journal");
    std::ofstream(folder.path_ / "journal", std::ios::app | std::ios::binary) << "0000";
    REQUIRE(restore()->log_ == database.log_);
    REQUIRE(std::filesystem::file_size(folder.path_ / "journal") == size);

    // Damage before the end is not.
    std::fstream(folder.path_ / "journal", std::ios::in | std::ios::out | std::ios::binary).seekp(20) << "?";
    REQUIRE_FALSE(Journal::open(folder.path_));
}
