#include "process/DirectoryStore.h"

#include "cassiahollow/version/ControlStorage.h"
#include "process/EventLog.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sstream>
#include <unistd.h>

namespace cassiahollow {

namespace {

    // Reports of several endpoints and catalogs that change together are written once.
    constexpr auto writePause = std::chrono::milliseconds(100);

    bool syncFolder(const std::filesystem::path& folder)
    {
        const FileHandle handle(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        return handle.get() >= 0 && fsync(handle.get()) == 0;
    }

    bool writeSynced(const std::filesystem::path& file, const std::string& bytes)
    {
        auto next = file;
        next += ".new";
        {
            const FileHandle handle(::open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
            const bool written = handle.get() >= 0
                && ::write(handle.get(), bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size())
                && fsync(handle.get()) == 0;
            if (!written)
                return false;
        }
        return std::rename(next.c_str(), file.c_str()) == 0 && syncFolder(file.parent_path());
    }

} // namespace

DirectoryStore::DirectoryStore(std::filesystem::path file)
    : file_(std::move(file))
    , thread_([this] { run(); })
{
}

DirectoryStore::~DirectoryStore()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    arrived_.notify_one();
    thread_.join();
}

DirectoryCopy DirectoryStore::load(TimePoint now) const
{
    std::ifstream in(file_, std::ios::binary);
    std::ostringstream bytes;
    bytes << in.rdbuf();
    if (bytes.str().empty())
        return {};
    const auto unreadable = [](std::string_view detail) {
        LogLine(LogKind::Dependency, "directory_copy_unreadable").with("detail", detail);
        return DirectoryCopy();
    };
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<DirectoryCopy> {
            BOOST_LEAF_AUTO(message, decodeDirectoryMessage(bytes.str(), now));
            auto* feed = std::get_if<FeedResponse>(&message);
            if (!feed || !feed->records_)
                return boost::leaf::new_error(Failure { Reason::MessageMalformed, "not a copy of the directory" });
            DirectoryCopy copy { std::move(*feed->records_), std::nullopt, feed->instances_ };
            for (auto& record : copy.records_)
                record.receivedAt_ = now;
            if (feed->catalog_) {
                BOOST_LEAF_ASSIGN(copy.catalog_, unpackCatalog(*feed->catalog_));
            }
            return copy;
        },
        [&](const Failure& failure) { return unreadable(failure.detail_); },
        [&] { return unreadable("unknown error"); });
}

void DirectoryStore::save(const EndpointRegistry& registry, std::shared_ptr<const PackedCatalog> catalog,
    std::size_t instances, TimePoint now)
{
    FeedResponse copy;
    copy.catalog_ = std::move(catalog);
    copy.instances_ = instances;
    copy.records_.emplace();
    for (const auto& [id, record] : registry.records_)
        copy.records_->push_back(record);
    auto bytes = encodeDirectoryMessage(copy, now);
    {
        const std::lock_guard lock(mutex_);
        pending_ = std::move(bytes);
    }
    arrived_.notify_one();
}

void DirectoryStore::run()
{
    bool failing = false;
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        arrived_.wait(lock, [this] { return stopping_ || pending_; });
        arrived_.wait_for(lock, writePause, [this] { return stopping_; });
        if (!pending_)
            continue;
        const auto bytes = *std::exchange(pending_, std::nullopt);
        lock.unlock();
        const bool written = writeSynced(file_, bytes);
        if (written == failing)
            LogLine(LogKind::Dependency, written ? "directory_copy_written" : "directory_copy_failed");
        failing = !written;
        lock.lock();
    }
}

} // namespace cassiahollow
