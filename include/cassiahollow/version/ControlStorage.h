#pragma once

#include "cassiahollow/version/ControlLog.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace cassiahollow {

/// An open file descriptor; closes it at the end of its life.
class FileHandle {
public:
    FileHandle() = default;
    explicit FileHandle(int descriptor);
    FileHandle(FileHandle&&) noexcept;
    FileHandle& operator=(FileHandle&&) noexcept;
    ~FileHandle();

    int get() const { return descriptor_; }

private:
    int descriptor_ { -1 };
};

/// The files of one control member. All are in one folder:
///
/// - `identity`: the random id of the folder, written last at first start.
/// - `journal`: records of entries, truncations and promises, appended and synced.
/// - `snapshot`: the last snapshot; replaced as a whole.
/// - `lock`: held while a process uses the folder.
///
/// All records have a header of 16 bytes (mark, length, CRC-32 of mark and length, CRC-32 of the payload; little
/// endian) and are padded to a multiple of 16 bytes, so that a header never spans two disk sectors and is written
/// whole or not at all.
struct ControlStorage {
    std::filesystem::path folder_;
    std::string identity_;
    /// The contents at the time of opening. Not kept up to date; move it into the log.
    ControlStored stored_;
    /// The bytes of a torn last record that were cut off at opening.
    std::uint64_t truncatedBytes_ { 0 };
    /// The number of synced writes since opening.
    std::uint64_t syncs_ { 0 };

    FileHandle lock_;
    FileHandle journal_;
};

/// Opens the folder, and creates it on first start with `newIdentity`. A torn last journal record, left by a crash
/// during a write that was never confirmed, is cut off. Fails with StorageDamaged, naming file and offset, on any other
/// damage, and with StorageFailed when the system refuses an operation or another process uses the folder.
boost::leaf::result<ControlStorage> openControlStorage(
    const std::filesystem::path& folder, const std::string& newIdentity);

/// Writes and syncs an action. After a failure nothing is known about the file; the member has to stop and may be
/// opened again. `after` are the stored contents with the action applied, needed to write a new journal with a
/// snapshot.
boost::leaf::result<void> persistControl(ControlStorage&, const PersistAction&, const ControlStored& after);

/// A random identity for a new folder, from the system's entropy.
std::string makeControlIdentity();

/// Keeps the settings that an instance applies in the file `applied-settings` of the folder, which is created.
/// Fails with StorageFailed.
boost::leaf::result<void> storeAppliedSettings(const std::filesystem::path& folder, const SettingsTree&);

/// The settings that storeAppliedSettings wrote, or nothing when there is no file. Fails like openControlStorage.
boost::leaf::result<std::optional<SettingsTree>> loadAppliedSettings(const std::filesystem::path& folder);

} // namespace cassiahollow
