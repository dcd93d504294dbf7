#pragma once

#include "LogEntry.h"

#include <boost/leaf/result.hpp>
#include <filesystem>
#include <span>
#include <string>
#include <vector>

namespace cassiahollow::standin {

/// Why the journal cannot be used, with the remedy.
struct JournalError {
    std::string message_;
};

/// File of all durable changes of a database, one line per record: CRC-32, space, JSON. Owns the file descriptor.
class Journal {
public:
    /// Opens or creates `folder`/journal and reads its records. An incomplete last line is cut off: its record was
    /// never acknowledged. Other damage is an error.
    static boost::leaf::result<Journal> open(const std::filesystem::path& folder);

    Journal(Journal&&) noexcept;
    Journal& operator=(Journal&&) = delete;
    ~Journal();

    /// Records found by open().
    const std::vector<JournalRecord>& records() const { return records_; }

    /// Writes the records and syncs the file before it returns. The records are not durable after an error.
    boost::leaf::result<void> append(std::span<const JournalRecord>);

private:
    Journal(int file, std::vector<JournalRecord> records);

    int file_;
    std::vector<JournalRecord> records_;
};

} // namespace cassiahollow::standin
