#pragma once

#include "cassiahollow/process/DirectoryFeed.h"

#include <condition_variable>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cassiahollow {

/// What control members tell entry instances, as far as a restarted member needs it at once.
struct DirectoryCopy {
    std::vector<RegisteredEndpoint> records_;
    std::optional<CatalogDocument> catalog_; ///< A committed catalog, perhaps not the newest.
    std::size_t instances_ { 0 }; ///< The entry instances there were.
    std::vector<InstanceId> neighbours_; ///< Those of the member's data centre.
};

/// Keeps a copy of the endpoint registry and of the catalog in force in a file, so that control members that all lost
/// power can feed entry instances before they have elected a leader. The records are a hint: endpoints check who they
/// are asked for, and their next reports replace them. The catalog was committed; instances never go back from a newer.
///
/// The file is written by a thread of its own, because a disk may hang for seconds.
class DirectoryStore {
public:
    explicit DirectoryStore(std::filesystem::path file);
    ~DirectoryStore();
    DirectoryStore(const DirectoryStore&) = delete;
    DirectoryStore& operator=(const DirectoryStore&) = delete;

    /// The last copy; its records count as heard at `now`. Empty when there is none that can be read.
    DirectoryCopy load(TimePoint now) const;
    /// Replaces the copy soon, and repeats this until it succeeds or a newer copy comes. Does not wait for the disk.
    /// `catalog` may be null.
    void save(const EndpointRegistry&, std::shared_ptr<const PackedCatalog> catalog, std::size_t instances,
        std::vector<InstanceId> neighbours, TimePoint now);

private:
    void run();

    const std::filesystem::path file_;
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::optional<std::string> pending_; // guarded by mutex_
    bool stopping_ { false }; // guarded by mutex_
    std::thread thread_;
};

} // namespace cassiahollow
