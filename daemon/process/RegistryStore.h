#pragma once

#include "cassiahollow/process/EndpointRegistry.h"

#include <condition_variable>
#include <filesystem>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cassiahollow {

/// Keeps a copy of the endpoint registry in a file, so that control members that all lost power know at once where the
/// endpoints were. The copy is a hint: endpoints check who they are asked for, and their next reports replace it.
///
/// The file is written by a thread of its own, because a disk may hang for seconds.
class RegistryStore {
public:
    explicit RegistryStore(std::filesystem::path file);
    ~RegistryStore();
    RegistryStore(const RegistryStore&) = delete;
    RegistryStore& operator=(const RegistryStore&) = delete;

    /// The records of the last copy, heard at `now`. Empty when there is none that can be read.
    std::vector<EndpointRecord> load(TimePoint now) const;
    /// Replaces the copy soon. Does not wait for the disk.
    void save(const EndpointRegistry&, TimePoint now);

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
