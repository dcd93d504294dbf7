#include "cassiahollow/version/ControlStorage.h"

#include "ControlSimulation.h"
#include "TestFailure.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <set>
#include <sstream>

using namespace cassiahollow;
namespace fs = std::filesystem;

namespace {

// File operations are counted, and fail from one of them on as on a full disk. They replace those of the C library.
struct FileOperations {
    int count_ { 0 };
    int failFrom_ { 0 }; // 0: none fails.
    std::set<ino_t> synced_;
};

FileOperations operations;

bool refuseOperation()
{
    ++operations.count_;
    if (operations.failFrom_ == 0 || operations.count_ < operations.failFrom_)
        return false;
    errno = ENOSPC;
    return true;
}

} // namespace

extern "C" ssize_t write(int descriptor, const void* bytes, size_t size)
{
    struct stat status { };
    if (::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode) && refuseOperation()) {
        // A disk that becomes full takes a part of the first write.
        const bool isFirst = operations.count_ == operations.failFrom_;
        return isFirst && size > 1 ? ::syscall(SYS_write, descriptor, bytes, size / 2) : -1;
    }
    return ::syscall(SYS_write, descriptor, bytes, size);
}

extern "C" int fsync(int descriptor)
{
    if (refuseOperation())
        return -1;
    struct stat status { };
    if (::fstat(descriptor, &status) == 0)
        operations.synced_.insert(status.st_ino);
    return static_cast<int>(::syscall(SYS_fsync, descriptor));
}

extern "C" int rename(const char* from, const char* to) noexcept
{
    if (refuseOperation())
        return -1;
    return static_cast<int>(::syscall(SYS_renameat, AT_FDCWD, from, AT_FDCWD, to));
}

namespace {

// A folder that is removed at the end of the test.
struct TemporaryFolder {
    fs::path path_;

    TemporaryFolder()
    {
        auto pattern = (fs::temp_directory_path() / "control-storage-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { fs::remove_all(path_); }
};

std::string read(const fs::path& path)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}

void write(const fs::path& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

bool equal(const ControlStored& one, const ControlStored& two)
{
    return one.promise_ == two.promise_ && one.entries_ == two.entries_
        && (one.snapshot_ == two.snapshot_ || (one.snapshot_ && two.snapshot_ && *one.snapshot_ == *two.snapshot_));
}

bool opens(const fs::path& folder)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(openControlStorage(folder, "identity"));
            return true;
        },
        [] { return false; });
}

ControlEntry entry(Term term, std::uint64_t index)
{
    if (index % 3 == 0)
        return { { term, index }, EmptyEntry {} };
    return { { term, index }, deadlineChange("key-" + std::to_string(index), index, int(term) + 1) };
}

std::shared_ptr<const ControlSnapshot> snapshotAt(LogPosition position)
{
    ControlSnapshot snapshot { position, { "x", { { InstanceId("a"), "a-1", true } } }, {} };
    snapshot.state_.settings_.revision_ = position.index_;
    return std::make_shared<const ControlSnapshot>(std::move(snapshot));
}

ControlStorage open(const fs::path& folder, const std::string& identity = "id-1")
{
    return openControlStorage(folder, identity).value();
}

void persist(ControlStorage& storage, ControlStored& model, const PersistAction& action)
{
    applyPersist(model, action);
    REQUIRE(persistControl(storage, action, model));
}

// Writes a few records and gives the contents after each, with the journal's size at that time.
std::vector<std::pair<std::size_t, ControlStored>> writeRecords(const fs::path& folder, int count)
{
    auto storage = open(folder);
    ControlStored model;
    std::vector<std::pair<std::size_t, ControlStored>> after { { fs::file_size(folder / "journal"), model } };
    for (int i = 1; i <= count; ++i) {
        PersistAction action { .entries_ = { entry(1, std::uint64_t(i)) } };
        if (i % 4 == 0)
            action.promise_ = ControlPromise { Term(i), "b-1" };
        persist(storage, model, action);
        after.emplace_back(fs::file_size(folder / "journal"), model);
    }
    return after;
}

} // namespace

// Guards against contents that read back differently, and against an identity that changes over a restart.
TEST_CASE("files read back what was persisted")
{
    const TemporaryFolder folder;
    ControlStored model;
    std::mt19937_64 random(5);
    Term term = 1;
    for (int start = 0; start < 40; ++start) {
        auto storage = open(folder.path_ / "deep" / "data", "id-" + std::to_string(start));
        REQUIRE(storage.identity_ == "id-0");
        REQUIRE(equal(storage.stored_, model));
        for (int i = 0; i < 10; ++i) {
            const auto last = lastPosition(model).index_;
            const auto covered = model.snapshot_ ? model.snapshot_->last_.index_ : 0;
            PersistAction action;
            switch (random() % 6) {
            case 0: // A local snapshot of a part of the log, with some entries kept.
                if (last > covered + 1) {
                    const auto& taken = model.entries_[model.entries_.size() - 1 - random() % 2].position_;
                    action.snapshot_ = snapshotAt(taken);
                    action.keepFrom_ = taken.index_ + 1 - std::min<std::uint64_t>(taken.index_, random() % 4);
                }
                break;
            case 1: // A snapshot of the leader that replaces the log.
                action.snapshot_ = snapshotAt({ ++term, last + 5 });
                action.keepFrom_ = last + 6;
                break;
            case 2: // Conflicting entries.
                if (last > covered) {
                    action.truncateFrom_ = last;
                    action.entries_ = { entry(++term, last) };
                }
                break;
            case 3:
                action.promise_ = ControlPromise { ++term, random() % 2 ? "b-1" : "" };
                break;
            default:
                for (std::uint64_t j = 1 + random() % 20, next = last; j > 0; --j)
                    action.entries_.push_back(entry(term, ++next));
            }
            persist(storage, model, action);
        }
    }
}

// Guards against a start that fails, or forgets a confirmed record, after a crash in the middle of a write.
TEST_CASE("a journal that ends anywhere is cut to its whole records")
{
    const TemporaryFolder folder;
    const auto after = writeRecords(folder.path_, 8);
    const auto journal = folder.path_ / "journal";
    const auto bytes = read(journal);
    for (std::size_t size = after.front().first; size < bytes.size(); ++size) {
        // A crash leaves either a shorter file, or a file that grew before its data arrived.
        for (const std::size_t zeros : { std::size_t(0), std::size_t(1), std::size_t(16), std::size_t(700) }) {
            auto torn = bytes.substr(0, size);
            const auto whole
                = std::find_if(after.rbegin(), after.rend(), [&](const auto& item) { return item.first <= size; });
            if (zeros > 0 && size != whole->first)
                continue;
            write(journal, torn.append(zeros, '\0'));
            auto storage = open(folder.path_);
            REQUIRE(equal(storage.stored_, whole->second));
            REQUIRE(fs::file_size(journal) == whole->first);
            if (size % 8 != 0)
                continue; // Synced writes take long; the lengths between differ only in what is cut off.
            ControlStored model = storage.stored_;
            persist(storage, model, { .promise_ = ControlPromise { 99, "c-1" } });
            storage = {};
            REQUIRE(equal(open(folder.path_).stored_, model));
        }
    }
}

// Guards against a long last record of which only some sectors were written before a crash.
TEST_CASE("a last record with an unwritten sector is cut off")
{
    const TemporaryFolder folder;
    auto storage = open(folder.path_);
    ControlStored model;
    persist(storage, model, { .entries_ = { entry(1, 1) } });
    const auto before = model;
    const auto size = fs::file_size(folder.path_ / "journal");
    PersistAction large;
    for (std::uint64_t i = 2; i < 60; ++i)
        large.entries_.push_back(entry(1, i));
    persist(storage, model, large);
    storage = {};
    const auto bytes = read(folder.path_ / "journal");
    for (auto sector = (size / 512 + 1) * 512; sector < bytes.size(); sector += 512) {
        auto torn = bytes;
        for (auto i = sector; i < std::min<std::size_t>(sector + 512, bytes.size()); ++i)
            torn[i] = 0;
        write(folder.path_ / "journal", torn);
        storage = open(folder.path_);
        REQUIRE(equal(storage.stored_, before));
        REQUIRE(storage.truncatedBytes_ > 0);
        storage = {};
    }
}

// Guards against confirmed records that are dropped in silence because a byte of the file changed.
TEST_CASE("a changed byte anywhere stops the start and names file, offset and remedy")
{
    const TemporaryFolder folder;
    {
        const auto after = writeRecords(folder.path_, 6);
        auto storage = open(folder.path_);
        ControlStored model = after.back().second;
        persist(storage, model, { .snapshot_ = snapshotAt({ 1, 4 }), .keepFrom_ = 3 });
        persist(storage, model, { .entries_ = { entry(1, 7) } });
    }
    for (const auto* name : { "journal", "snapshot", "identity" }) {
        const auto path = folder.path_ / name;
        const auto bytes = read(path);
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            for (const int change : { 1, 0x80, 0xff }) {
                auto damaged = bytes;
                damaged[i] = static_cast<char>(damaged[i] ^ change);
                write(path, damaged);
                const auto failure = failureOf([&] { return openControlStorage(folder.path_, "new"); });
                REQUIRE(failure);
                REQUIRE(failure->reason_ == Reason::StorageDamaged);
                REQUIRE(failure->detail_.find(path.string()) != std::string::npos);
                REQUIRE(failure->detail_.find("offset") != std::string::npos);
                REQUIRE(read(path) == damaged);
            }
        }
        write(path, bytes);
    }
    CHECK(failureMessage({ Reason::StorageDamaged, "x" }).find("move the data folder away") != std::string::npos);
    fs::remove(folder.path_ / "journal");
    CHECK(failureOf([&] { return openControlStorage(folder.path_, "new"); })->reason_ == Reason::StorageDamaged);
}

// Guards against a log with a hole, or with conflicting entries, after a crash between snapshot and journal.
TEST_CASE("a snapshot that is newer than the journal is used")
{
    const TemporaryFolder folder;
    const auto after = writeRecords(folder.path_, 9);
    const auto oldJournal = read(folder.path_ / "journal");
    for (const auto position : { LogPosition { 1, 6 }, LogPosition { 2, 6 }, LogPosition { 3, 20 } }) {
        fs::remove(folder.path_ / "snapshot");
        write(folder.path_ / "journal", oldJournal);
        ControlStored model = after.back().second;
        {
            auto storage = open(folder.path_);
            persist(storage, model, { .snapshot_ = snapshotAt(position) });
        }
        REQUIRE(equal(open(folder.path_).stored_, model));
        write(folder.path_ / "journal", oldJournal);
        REQUIRE(equal(open(folder.path_).stored_, model));
    }
    // The opposite order, which no crash leaves: a journal that begins after a missing snapshot.
    {
        auto storage = open(folder.path_);
        ControlStored model = storage.stored_;
        persist(storage, model, { .entries_ = { entry(4, 21) } });
    }
    fs::remove(folder.path_ / "snapshot");
    CHECK(failureOf([&] { return openControlStorage(folder.path_, "new"); })->reason_ == Reason::StorageDamaged);
}

// Guards against two processes that write one journal.
TEST_CASE("a folder in use is refused")
{
    const TemporaryFolder folder;
    const auto storage = open(folder.path_);
    const auto failure = failureOf([&] { return openControlStorage(folder.path_, "new"); });
    REQUIRE(failure);
    CHECK(failure->reason_ == Reason::StorageFailed);
    CHECK(failure->detail_.find("lock") != std::string::npos);
}

// Guards against a first start that crashes before its identity is written and leaves an unusable folder, and against
// confirmed data that is overwritten because the identity is missing.
TEST_CASE("only a folder without data is given a new identity")
{
    const TemporaryFolder folder;
    writeRecords(folder.path_, 0);
    fs::remove(folder.path_ / "identity");
    CHECK(open(folder.path_, "id-2").identity_ == "id-2");
    writeRecords(folder.path_, 3);
    const auto journal = read(folder.path_ / "journal");
    fs::remove(folder.path_ / "identity");
    const auto failure = failureOf([&] { return openControlStorage(folder.path_, "id-3"); });
    REQUIRE(failure);
    CHECK(failure->reason_ == Reason::StorageDamaged);
    CHECK(read(folder.path_ / "journal") == journal);
    CHECK(makeControlIdentity() != makeControlIdentity());
}

// Guards against an instance that reverts to older settings over a restart.
TEST_CASE("applied settings are kept over a restart")
{
    const TemporaryFolder folder;
    CHECK(loadAppliedSettings(folder.path_).value() == std::nullopt);
    auto tree = settingsFromYaml("deadline: 3s\n").value();
    for (tree.revision_ = 1; tree.revision_ < 4; ++tree.revision_) {
        REQUIRE(storeAppliedSettings(folder.path_ / "new", tree));
        CHECK(loadAppliedSettings(folder.path_ / "new").value() == tree);
    }
    const auto path = folder.path_ / "new" / "applied-settings";
    write(path, read(path).substr(0, 20));
    CHECK(failureOf([&] { return loadAppliedSettings(folder.path_ / "new"); })->reason_ == Reason::StorageDamaged);
}

namespace {

enum class Write { Entry, OwnSnapshot, LeaderSnapshot, Count };

// A write as the log makes it, on a journal with six entries.
PersistAction actionOf(Write write)
{
    PersistAction action;
    if (write == Write::Entry) {
        action.entries_ = { entry(1, 7) };
    } else {
        const std::uint64_t last = write == Write::OwnSnapshot ? 5 : 20;
        action.snapshot_ = snapshotAt({ 1, last });
        action.keepFrom_ = write == Write::OwnSnapshot ? 4 : last + 1;
    }
    return action;
}

} // namespace

// Guards against a member that cannot read its files any more long after its disk was full.
TEST_CASE("files can be used after a write that failed at any operation")
{
    for (int kind = 0; kind < static_cast<int>(Write::Count); ++kind) {
        bool isFailing = true;
        for (int operation = 1; isFailing; ++operation) {
            CAPTURE(kind, operation);
            const TemporaryFolder folder;
            writeRecords(folder.path_, 6);
            {
                auto storage = open(folder.path_);
                auto model = storage.stored_;
                const auto action = actionOf(static_cast<Write>(kind));
                applyPersist(model, action);
                operations = { .failFrom_ = operation };
                isFailing = !persistControl(storage, action, model);
                operations = {};
            }
            // The next entries, and a restart after each.
            for (int i = 0; i < 3; ++i) {
                auto storage = open(folder.path_);
                auto model = storage.stored_;
                persist(storage, model, { .entries_ = { entry(2, lastPosition(model).index_ + 1) } });
                const auto reopened = [&] {
                    storage = {};
                    return open(folder.path_);
                }();
                REQUIRE(equal(reopened.stored_, model));
            }
        }
    }
}

// Guards against a restarted member that builds on records which a process wrote and did not sync before it was killed:
// a loss of power later takes them from under the records that follow.
TEST_CASE("files are synced before they are used again")
{
    const TemporaryFolder folder;
    writeRecords(folder.path_, 3);
    const auto inodeOf = [](const fs::path& path) {
        struct stat status { };
        REQUIRE(::stat(path.c_str(), &status) == 0);
        return status.st_ino;
    };
    operations = {};
    const auto storage = open(folder.path_);
    CHECK(operations.synced_.contains(inodeOf(folder.path_ / "journal")));
    CHECK(operations.synced_.contains(inodeOf(folder.path_)));
}

// Guards against a folder that a loss of power removes with all that was acknowledged: the start that created it ended
// before the folder above it was synced.
TEST_CASE("a start after one that failed syncs the name of the folder")
{
    const TemporaryFolder folder;
    struct stat above { };
    REQUIRE(::stat(folder.path_.c_str(), &above) == 0);
    operations = {};
    operations.failFrom_ = 1;
    CHECK_FALSE(opens(folder.path_ / "control"));
    REQUIRE(fs::is_directory(folder.path_ / "control"));
    operations = {};
    CHECK(opens(folder.path_ / "control"));
    CHECK(operations.synced_.contains(above.st_ino));
}
