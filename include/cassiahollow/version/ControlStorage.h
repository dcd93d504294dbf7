#pragma once

#include "cassiahollow/process/DurableFile.h"
#include "cassiahollow/version/ControlLog.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace cassiahollow {

/// The files of one control member, all in one folder:
///
/// - `identity`: the random id of the folder, written last on first start.
/// - `journal`: records of entries, truncations, terms and votes, appended and synced.
/// - `snapshot`: the last snapshot, replaced atomically.
/// - `lock`: locked while a process uses the folder.
///
/// Each record has a header of 16 bytes (magic number, length, CRC-32 of both, CRC-32 of the payload; little endian)
/// and is padded to a multiple of 16 bytes, so that a header never spans two disk sectors and is written completely or
/// not at all.
struct ControlStorage {
    std::filesystem::path folder_;
    std::string identity_;
    /// The contents when the folder was opened. Not updated afterwards; move it into the log.
    ControlStored stored_;
    /// The size in bytes of a torn last record that was truncated on opening.
    std::uint64_t truncatedBytes_ { 0 };
    /// The number of persistControl() calls since opening that attempted a write.
    std::uint64_t syncs_ { 0 };

    FileHandle lock_;
    FileHandle journal_;
};

/// Opens the folder, or creates it with `newIdentity` on first start. A torn last journal record, left by a crash
/// during a write that was never confirmed, is truncated. Fails with StorageDamaged, with file and offset, on any other
/// damage, and with StorageFailed when a system call fails or another process uses the folder.
boost::leaf::result<ControlStorage> openControlStorage(
    const std::filesystem::path& folder, const std::string& newIdentity);

/// Writes and syncs an action. After a failure the state of the file is undefined; the member must stop, and the folder
/// may be opened again. `after` holds the stored contents with the action applied; a snapshot rewrites the journal from
/// it.
boost::leaf::result<void> persistControl(ControlStorage&, const PersistAction&, const ControlStored& after);

/// Generates an identity of 32 hexadecimal digits for a new folder from the system's entropy source.
std::string makeControlIdentity();

/// Writes the settings that an instance applies to the file `applied-settings`, and creates the folder if needed.
/// Fails with StorageFailed.
boost::leaf::result<void> storeAppliedSettings(const std::filesystem::path& folder, const SettingsTree&);

/// Returns the settings that storeAppliedSettings wrote, or nullopt if there is no file. Fails like openControlStorage.
boost::leaf::result<std::optional<SettingsTree>> loadAppliedSettings(const std::filesystem::path& folder);

} // namespace cassiahollow
