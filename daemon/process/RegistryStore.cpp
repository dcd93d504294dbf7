#include "process/RegistryStore.h"

#include "cassiahollow/process/DirectoryFeed.h"
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

    // Reports of several endpoints that change together are written once.
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

RegistryStore::RegistryStore(std::filesystem::path file)
    : file_(std::move(file))
    , thread_([this] { run(); })
{
}

RegistryStore::~RegistryStore()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    arrived_.notify_one();
    thread_.join();
}

std::vector<EndpointRecord> RegistryStore::load(TimePoint now) const
{
    std::ifstream in(file_, std::ios::binary);
    std::ostringstream bytes;
    bytes << in.rdbuf();
    if (bytes.str().empty())
        return {};
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<EndpointRecord>> {
            BOOST_LEAF_AUTO(message, decodeDirectoryMessage(bytes.str(), now));
            auto* update = std::get_if<RegistryUpdate>(&message);
            auto records = update ? std::move(update->records_) : std::vector<EndpointRecord>();
            for (auto& record : records)
                record.heard_ = now;
            return records;
        },
        [](const Failure& failure) {
            LogLine(LogKind::Dependency, "registry_copy_unreadable").with("detail", failure.detail_);
            return std::vector<EndpointRecord>();
        },
        [] { return std::vector<EndpointRecord>(); });
}

void RegistryStore::save(const EndpointRegistry& registry, TimePoint now)
{
    RegistryUpdate update;
    for (const auto& [id, record] : registry.records_)
        update.records_.push_back(record);
    auto bytes = encodeDirectoryMessage(update, now);
    {
        const std::lock_guard lock(mutex_);
        pending_ = std::move(bytes);
    }
    arrived_.notify_one();
}

void RegistryStore::run()
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
            LogLine(LogKind::Dependency, written ? "registry_copy_written" : "registry_copy_failed");
        failing = !written;
        lock.lock();
    }
}

} // namespace cassiahollow
