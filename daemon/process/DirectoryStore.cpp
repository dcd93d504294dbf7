#include "process/DirectoryStore.h"

#include "cassiahollow/process/DurableFile.h"
#include "process/EventLog.h"
#include "process/ValueOrFailure.h"

#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iterator>
#include <sstream>

namespace cassiahollow {

namespace {

    // Reports of several endpoints and catalogs that change together are written once.
    constexpr auto writePause = std::chrono::milliseconds(100);
    // A full disk usually has space again after some seconds.
    constexpr auto retryPause = std::chrono::milliseconds(500);

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
            DirectoryCopy copy { std::move(*feed->records_), std::nullopt, feed->instances_, {} };
            if (feed->neighbours_)
                copy.neighbours_ = std::move(*feed->neighbours_);
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
    std::size_t instances, std::vector<InstanceId> neighbours, TimePoint now)
{
    FeedResponse copy;
    copy.catalog_ = std::move(catalog);
    copy.instances_ = instances;
    copy.neighbours_ = std::move(neighbours);
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
    bool isFailing = false;
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        arrived_.wait(lock, [this] { return stopping_ || pending_; });
        arrived_.wait_for(lock, isFailing ? retryPause : writePause, [this] { return stopping_; });
        if (!pending_)
            continue;
        auto bytes = *std::exchange(pending_, std::nullopt);
        lock.unlock();
        Failure failure;
        const bool isWritten = valueOrFailure([&] { return replaceFile(file_, bytes); }, failure).has_value();
        if (!isWritten && !isFailing)
            LogLine(LogKind::Dependency, "directory_copy_failed").with("detail", failureMessage(failure));
        else if (isWritten && isFailing)
            LogLine(LogKind::Dependency, "directory_copy_written");
        isFailing = !isWritten;
        lock.lock();
        if (isFailing && !pending_)
            pending_ = std::move(bytes);
    }
}

} // namespace cassiahollow
