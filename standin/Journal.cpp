#include "Journal.h"

#include <boost/crc.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <optional>
#include <system_error>
#include <unistd.h>

namespace cassiahollow::standin {

namespace {

    constexpr std::size_t crcDigits = 8;

    std::string toLine(const JournalRecord& record)
    {
        const auto text = encodeJournalRecord(record);
        boost::crc_32_type crc;
        crc.process_bytes(text.data(), text.size());
        char buffer[crcDigits];
        const auto* end = std::to_chars(buffer, buffer + crcDigits, crc.checksum(), 16).ptr;
        const std::string_view digits(buffer, static_cast<std::size_t>(end - buffer));
        return std::string(crcDigits - digits.size(), '0').append(digits) + ' ' + text + '\n';
    }

    std::optional<JournalRecord> fromLine(std::string_view line)
    {
        if (line.size() <= crcDigits + 1)
            return {};
        std::uint32_t expected = 0;
        const auto* digitsEnd = line.data() + crcDigits;
        if (std::from_chars(line.data(), digitsEnd, expected, 16).ptr != digitsEnd)
            return {};
        const auto text = line.substr(crcDigits + 1);
        boost::crc_32_type crc;
        crc.process_bytes(text.data(), text.size());
        if (crc.checksum() != expected)
            return {};
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<JournalRecord>> {
                BOOST_LEAF_AUTO(record, decodeJournalRecord(text));
                return record;
            },
            [] { return std::optional<JournalRecord>(); });
    }

    boost::leaf::error_id systemError(const std::string& what)
    {
        return boost::leaf::new_error(
            JournalError { what + ": " + std::generic_category().message(errno) + "; check the folder and its disk" });
    }

    bool syncFolder(const std::filesystem::path& folder)
    {
        const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (descriptor < 0)
            return false;
        const bool isSynced = ::fsync(descriptor) == 0;
        ::close(descriptor);
        return isSynced;
    }

} // namespace

boost::leaf::result<Journal> Journal::open(const std::filesystem::path& folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const auto path = folder / "journal";
    std::ifstream stream(path, std::ios::binary);
    const std::string content { std::istreambuf_iterator<char>(stream), {} };
    std::vector<JournalRecord> records;
    std::size_t start = 0;
    for (auto end = content.find('\n'); end != std::string::npos; end = content.find('\n', start)) {
        auto record = fromLine(std::string_view(content).substr(start, end - start));
        if (!record)
            return boost::leaf::new_error(JournalError { path.string() + " is damaged at offset "
                + std::to_string(start) + "; empty the folder, and the database is filled again by its group" });
        records.push_back(std::move(*record));
        start = end + 1;
    }
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file < 0)
        return systemError("open " + path.string());
    Journal journal(file, std::move(records));
    if (::ftruncate(file, static_cast<off_t>(start)) != 0 || ::fsync(file) != 0 || !syncFolder(folder))
        return systemError("sync " + path.string());
    return journal;
}

Journal::Journal(int file, std::vector<JournalRecord> records)
    : file_(file)
    , records_(std::move(records))
{
}

Journal::Journal(Journal&& other) noexcept
    : file_(std::exchange(other.file_, -1))
    , records_(std::move(other.records_))
{
}

Journal::~Journal()
{
    if (file_ >= 0)
        ::close(file_);
}

boost::leaf::result<void> Journal::append(std::span<const JournalRecord> records)
{
    std::string lines;
    for (const auto& record : records)
        lines += toLine(record);
    for (std::string_view rest = lines; !rest.empty();) {
        const auto written = ::write(file_, rest.data(), rest.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return systemError("write the journal");
        rest.remove_prefix(static_cast<std::size_t>(written));
    }
    if (::fdatasync(file_) != 0)
        return systemError("sync the journal");
    return {};
}

} // namespace cassiahollow::standin
