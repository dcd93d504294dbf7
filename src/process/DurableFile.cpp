#include "cassiahollow/process/DurableFile.h"

#include "cassiahollow/process/Reasons.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <string>
#include <system_error>
#include <utility>

namespace cassiahollow {

namespace leaf = boost::leaf;
namespace fs = std::filesystem;

FileHandle::FileHandle(int descriptor)
    : descriptor_(descriptor)
{
}

FileHandle::FileHandle(FileHandle&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

FileHandle& FileHandle::operator=(FileHandle&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

FileHandle::~FileHandle()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

leaf::error_id systemFailure(const fs::path& path, const char* operation)
{
    const int error = errno;
    return leaf::new_error(Failure { Reason::StorageFailed,
        path.string() + ": " + operation + " failed: " + std::generic_category().message(error) });
}

leaf::result<void> writeAndSync(const fs::path& path, int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::write(descriptor, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemFailure(path, "write");
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    if (::fsync(descriptor) != 0)
        return systemFailure(path, "fsync");
    return {};
}

leaf::result<void> syncFolder(const fs::path& folder)
{
    const FileHandle handle(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (handle.get() < 0)
        return systemFailure(folder, "open");
    if (::fsync(handle.get()) != 0)
        return systemFailure(folder, "fsync");
    return {};
}

leaf::result<FileHandle> replaceFile(const fs::path& path, std::string_view bytes)
{
    auto temporary = path;
    temporary += ".new";
    FileHandle file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0640));
    if (file.get() < 0)
        return systemFailure(temporary, "open");
    BOOST_LEAF_CHECK(writeAndSync(temporary, file.get(), bytes));
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return systemFailure(path, "rename");
    BOOST_LEAF_CHECK(syncFolder(path.parent_path()));
    return file;
}

} // namespace cassiahollow
