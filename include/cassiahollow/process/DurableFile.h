#pragma once

#include "cassiahollow/process/Types.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <filesystem>
#include <string_view>

namespace cassiahollow {

/// Owns a file descriptor and closes it on destruction.
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

/// Returns a StorageFailed error that names the file, the operation and the current errno.
boost::leaf::error_id systemFailure(const std::filesystem::path&, const char* operation);

/// Writes all bytes at the position of the descriptor and syncs it. Fails with StorageFailed; some of the bytes may
/// have been written. The path is used in the error.
boost::leaf::result<void> writeAndSync(const std::filesystem::path&, int descriptor, std::string_view bytes);

/// Makes the names in a folder durable. Fails with StorageFailed.
boost::leaf::result<void> syncFolder(const std::filesystem::path&);

/// Replaces a file atomically through a temporary file `PATH.new`: after a crash it has either the old or the new
/// content. Returns the file, open for appending. Fails with StorageFailed; the file then has either content.
boost::leaf::result<FileHandle> replaceFile(const std::filesystem::path&, std::string_view bytes);

} // namespace cassiahollow
