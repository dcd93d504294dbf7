#include "cassiahollow/version/ControlStorage.h"

#include "cassiahollow/version/ControlCodec.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <random>
#include <utility>

namespace cassiahollow {

namespace leaf = boost::leaf;
namespace fs = std::filesystem;

namespace {

    constexpr std::uint32_t recordMagic = 0x43484c31; // "CHL1"
    constexpr std::size_t headerSize = 16;
    constexpr std::size_t alignment = 16;
    // The smallest unit that disks write atomically.
    constexpr std::size_t sectorSize = 512;
    // Not zero, to distinguish padding from sectors that were never written.
    constexpr char padding = '\xff';

    constexpr const char* identityName = "identity";
    constexpr const char* journalName = "journal";
    constexpr const char* snapshotName = "snapshot";
    constexpr const char* lockName = "lock";
    constexpr const char* settingsName = "applied-settings";

    auto damageFailure(const fs::path& path, std::size_t offset, const std::string& what)
    {
        return leaf::new_error(
            Failure { Reason::StorageDamaged, path.string() + ": " + what + " at offset " + std::to_string(offset) });
    }

    std::uint32_t checksum(std::string_view bytes)
    {
        boost::crc_32_type crc;
        crc.process_bytes(bytes.data(), bytes.size());
        return crc.checksum();
    }

    std::uint32_t loadUint32(std::string_view bytes, std::size_t offset)
    {
        return boost::endian::load_little_u32(reinterpret_cast<const unsigned char*>(bytes.data()) + offset);
    }

    std::string makeRecord(const std::string& payload)
    {
        std::array<unsigned char, headerSize> header {};
        boost::endian::store_little_u32(header.data(), recordMagic);
        boost::endian::store_little_u32(header.data() + 4, static_cast<std::uint32_t>(payload.size()));
        const auto* text = reinterpret_cast<const char*>(header.data());
        boost::endian::store_little_u32(header.data() + 8, checksum({ text, 8 }));
        boost::endian::store_little_u32(header.data() + 12, checksum(payload));
        std::string record(text, headerSize);
        record.append(payload);
        record.append((alignment - record.size() % alignment) % alignment, padding);
        return record;
    }

    struct Record {
        std::string_view payload_;
        std::size_t size_ { 0 }; // with header and padding
        bool isTorn_ { false };
    };

    bool isZero(std::string_view bytes)
    {
        return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == 0; });
    }

    // Returns whether a sector in the range is all zeros, as after a crash that extended the file before writing data.
    bool hasUnwrittenSector(std::string_view file, std::size_t begin, std::size_t end)
    {
        while (begin < end) {
            const auto next = std::min(end, (begin / sectorSize + 1) * sectorSize);
            if (isZero(file.substr(begin, next - begin)))
                return true;
            begin = next;
        }
        return false;
    }

    // Reads the record at an offset. Only a record that a crash can leave is torn: one that is truncated by the end of
    // the file or by unwritten sectors and has nothing after it. A changed byte anywhere else is damage, even in the
    // last record, because that record may have been confirmed.
    leaf::result<Record> readRecord(const fs::path& path, std::string_view file, std::size_t offset)
    {
        const auto rest = file.substr(offset);
        if (rest.size() < headerSize || isZero(rest))
            return Record { {}, rest.size(), true };
        if (loadUint32(rest, 0) != recordMagic || loadUint32(rest, 8) != checksum(rest.substr(0, 8)))
            return damageFailure(path, offset, "the record header is damaged");
        const std::size_t length = loadUint32(rest, 4);
        const auto size = (headerSize + length + alignment - 1) / alignment * alignment;
        if (size > rest.size())
            return Record { {}, rest.size(), true };
        const auto payload = rest.substr(headerSize, length);
        const auto tail = rest.substr(headerSize + length, size - headerSize - length);
        const bool isWhole = loadUint32(rest, 12) == checksum(payload)
            && std::all_of(tail.begin(), tail.end(), [](char c) { return c == padding; });
        if (isWhole)
            return Record { payload, size, false };
        if (size == rest.size() && hasUnwrittenSector(file, offset + headerSize, offset + size))
            return Record { {}, rest.size(), true };
        return damageFailure(path, offset, "the checksum of the record does not match");
    }

    leaf::result<std::string> readFile(const fs::path& path)
    {
        const FileHandle file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (file.get() < 0)
            return systemFailure(path, "open");
        std::string bytes;
        std::array<char, 65536> buffer;
        for (;;) {
            const auto count = ::read(file.get(), buffer.data(), buffer.size());
            if (count == 0)
                return bytes;
            if (count < 0 && errno != EINTR)
                return systemFailure(path, "read");
            if (count > 0)
                bytes.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    // Creates the folder and its missing parents, and syncs the parent of each.
    leaf::result<void> createFolder(const fs::path& folder)
    {
        std::error_code error;
        if (fs::is_directory(folder, error))
            return {};
        const auto parent = fs::absolute(folder).parent_path();
        if (!parent.empty() && parent != folder)
            BOOST_LEAF_CHECK(createFolder(parent));
        if (::mkdir(folder.c_str(), 0750) != 0 && errno != EEXIST)
            return systemFailure(folder, "mkdir");
        return syncFolder(parent);
    }

    // Reads a file that replaceFile wrote with one record. Such a file is never torn.
    leaf::result<std::string> readSingleRecord(const fs::path& path)
    {
        BOOST_LEAF_AUTO(file, readFile(path));
        BOOST_LEAF_AUTO(record, readRecord(path, file, 0));
        if (record.isTorn_ || record.size_ != file.size())
            return damageFailure(path, record.isTorn_ ? 0 : record.size_, "the file does not hold one whole record");
        return std::string(record.payload_);
    }

    // Replaces the error of a decoder, which does not contain the file name, by one that does.
    template <typename Decode>
    auto decodeOrFail(const fs::path& path, std::size_t offset, Decode&& decode) -> decltype(decode())
    {
        auto result = decode();
        if (!result)
            return damageFailure(path, offset, "the record cannot be decoded");
        return result;
    }

    // Fails if access() fails for another reason than ENOENT, so that a disk error is never treated as a missing file.
    leaf::result<bool> fileExists(const fs::path& path)
    {
        if (::access(path.c_str(), F_OK) == 0)
            return true;
        if (errno == ENOENT)
            return false;
        return systemFailure(path, "access");
    }

    bool isConsecutive(const ControlStored& stored, const PersistAction& action)
    {
        if (action.truncateFrom_ && *action.truncateFrom_ > lastPosition(stored).index_ + 1)
            return false;
        if (action.entries_.empty())
            return true;
        auto last = lastPosition(stored).index_;
        if (action.truncateFrom_)
            last = std::min(last, *action.truncateFrom_ - 1);
        return action.entries_.front().position_.index_ == last + 1;
    }

    // Replaces the journal by one record with all entries.
    leaf::result<void> writeWholeJournal(ControlStorage& storage, const ControlStored& stored)
    {
        const PersistAction whole { .entries_ = { stored.entries_.begin(), stored.entries_.end() },
            .promise_ = stored.promise_ };
        BOOST_LEAF_ASSIGN(
            storage.journal_, replaceFile(storage.folder_ / journalName, makeRecord(encodeControlRecord(whole))));
        return {};
    }

    leaf::result<void> readJournal(ControlStorage& storage, std::shared_ptr<const ControlSnapshot> snapshot)
    {
        const auto path = storage.folder_ / journalName;
        BOOST_LEAF_AUTO(file, readFile(path));
        std::size_t offset = 0;
        while (offset < file.size()) {
            BOOST_LEAF_AUTO(record, readRecord(path, file, offset));
            if (record.isTorn_)
                break;
            BOOST_LEAF_AUTO(action, decodeOrFail(path, offset, [&] { return decodeControlRecord(record.payload_); }));
            // The first entries of a journal follow a snapshot, or were retained from before it.
            const bool isFirst = storage.stored_.entries_.empty() && !action.truncateFrom_;
            if (!isFirst && !isConsecutive(storage.stored_, action))
                return damageFailure(path, offset, "the entries of the record do not follow those before it");
            applyPersist(storage.stored_, action);
            offset += record.size_;
        }
        if (offset == 0)
            return damageFailure(path, 0, "the first record is missing");
        storage.truncatedBytes_ = file.size() - offset;
        const auto& entries = storage.stored_.entries_;
        const auto covered = snapshot ? snapshot->last_.index_ : 0;
        if (!entries.empty() && entries.front().position_.index_ > covered + 1)
            return damageFailure(path, 0, "entries between the snapshot and the journal are missing");
        // Entries that begin right after the snapshot were written with it. Otherwise a crash between the two writes
        // may have left a snapshot that is newer than the journal; applying it repeats the compaction by the log.
        const auto count = entries.size();
        if (snapshot && !entries.empty() && entries.front().position_.index_ == covered + 1)
            storage.stored_.snapshot_ = std::move(snapshot);
        else if (snapshot)
            applyPersist(storage.stored_, { .snapshot_ = std::move(snapshot) });
        // The next record would not follow entries that the snapshot replaced.
        if (entries.size() != count)
            return writeWholeJournal(storage, storage.stored_);
        if (storage.truncatedBytes_ > 0 && ::truncate(path.c_str(), static_cast<off_t>(offset)) != 0)
            return systemFailure(path, "truncate");
        return {};
    }

    // A process that was killed may have left records and names that are not durable yet.
    leaf::result<void> syncFiles(const fs::path& folder)
    {
        const auto journal = folder / journalName;
        const FileHandle handle(::open(journal.c_str(), O_WRONLY | O_CLOEXEC));
        if (handle.get() < 0)
            return systemFailure(journal, "open");
        if (::fsync(handle.get()) != 0)
            return systemFailure(journal, "fsync");
        return syncFolder(folder);
    }

    leaf::result<void> readFolder(ControlStorage& storage)
    {
        BOOST_LEAF_ASSIGN(storage.identity_, readSingleRecord(storage.folder_ / identityName));
        std::shared_ptr<const ControlSnapshot> snapshot;
        const auto path = storage.folder_ / snapshotName;
        BOOST_LEAF_AUTO(hasSnapshot, fileExists(path));
        if (hasSnapshot) {
            BOOST_LEAF_AUTO(bytes, readSingleRecord(path));
            BOOST_LEAF_ASSIGN(snapshot, decodeOrFail(path, 0, [&] { return decodeControlSnapshot(bytes); }));
        }
        const auto journal = storage.folder_ / journalName;
        BOOST_LEAF_AUTO(hasJournal, fileExists(journal));
        if (!hasJournal)
            return damageFailure(journal, 0, "the file is missing; expected a record");
        BOOST_LEAF_CHECK(readJournal(storage, std::move(snapshot)));
        return syncFiles(storage.folder_);
    }

    // The identity is written last. A crash before that leaves at most the first journal record; anything more means
    // that the identity was lost later, and the folder must not be reinitialized over confirmed data.
    leaf::result<void> createFiles(ControlStorage& storage, const std::string& newIdentity)
    {
        const PersistAction first { .promise_ = ControlPromise {} };
        const auto record = makeRecord(encodeControlRecord(first));
        const auto journal = storage.folder_ / journalName;
        BOOST_LEAF_AUTO(hasSnapshot, fileExists(storage.folder_ / snapshotName));
        BOOST_LEAF_AUTO(hasJournal, fileExists(journal));
        std::string present;
        if (hasJournal) {
            BOOST_LEAF_ASSIGN(present, readFile(journal));
        }
        if (hasSnapshot || present.size() > record.size())
            return damageFailure(storage.folder_ / identityName, 0, "the file is missing; expected a record");
        // An earlier start may have created the folder and ended before its name was durable.
        BOOST_LEAF_CHECK(syncFolder(fs::absolute(storage.folder_).parent_path()));
        BOOST_LEAF_CHECK(replaceFile(journal, record));
        BOOST_LEAF_CHECK(replaceFile(storage.folder_ / identityName, makeRecord(newIdentity)));
        storage.identity_ = newIdentity;
        return {};
    }

} // namespace

leaf::result<ControlStorage> openControlStorage(const fs::path& folder, const std::string& newIdentity)
{
    BOOST_LEAF_CHECK(createFolder(folder));
    ControlStorage storage;
    storage.folder_ = folder;
    const auto lock = folder / lockName;
    storage.lock_ = FileHandle(::open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640));
    if (storage.lock_.get() < 0)
        return systemFailure(lock, "open");
    if (::flock(storage.lock_.get(), LOCK_EX | LOCK_NB) != 0)
        return systemFailure(lock, "locking");
    BOOST_LEAF_AUTO(hasIdentity, fileExists(folder / identityName));
    if (hasIdentity)
        BOOST_LEAF_CHECK(readFolder(storage));
    else
        BOOST_LEAF_CHECK(createFiles(storage, newIdentity));
    const auto journal = folder / journalName;
    storage.journal_ = FileHandle(::open(journal.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (storage.journal_.get() < 0)
        return systemFailure(journal, "open");
    return storage;
}

leaf::result<void> persistControl(ControlStorage& storage, const PersistAction& action, const ControlStored& after)
{
    const auto journal = storage.folder_ / journalName;
    // Writes to an unlinked file succeed, but their data is lost at the next start.
    struct stat status { };
    if (::fstat(storage.journal_.get(), &status) != 0)
        return systemFailure(journal, "fstat");
    if (status.st_nlink == 0)
        return leaf::new_error(Failure { Reason::StorageFailed, journal.string() + ": the file was removed" });
    ++storage.syncs_;
    if (!action.snapshot_)
        return writeAndSync(journal, storage.journal_.get(), makeRecord(encodeControlRecord(action)));
    // Writes the snapshot first: until the journal is replaced, the old journal still leads up to the snapshot.
    BOOST_LEAF_CHECK(replaceFile(storage.folder_ / snapshotName, makeRecord(encodeControlSnapshot(*action.snapshot_))));
    return writeWholeJournal(storage, after);
}

std::string makeControlIdentity()
{
    constexpr char digits[] = "0123456789abcdef";
    std::random_device entropy;
    std::string identity;
    for (int i = 0; i < 32; ++i)
        identity.push_back(digits[entropy() % 16]);
    return identity;
}

leaf::result<void> storeAppliedSettings(const fs::path& folder, const SettingsTree& tree)
{
    BOOST_LEAF_CHECK(createFolder(folder));
    BOOST_LEAF_CHECK(replaceFile(folder / settingsName, makeRecord(encodeSettings(tree))));
    return {};
}

leaf::result<std::optional<SettingsTree>> loadAppliedSettings(const fs::path& folder)
{
    const auto path = folder / settingsName;
    BOOST_LEAF_AUTO(isStored, fileExists(path));
    if (!isStored)
        return std::optional<SettingsTree>();
    BOOST_LEAF_AUTO(bytes, readSingleRecord(path));
    BOOST_LEAF_AUTO(tree, decodeOrFail(path, 0, [&] { return decodeSettings(bytes); }));
    return std::optional(std::move(tree));
}

} // namespace cassiahollow
