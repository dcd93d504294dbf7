#pragma once

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdint>

namespace cassiahollow::fake {

/// Stands for a full disk: while it exists, writes of this process beyond a file size fail.
class FileSizeLimit {
public:
    explicit FileSizeLimit(std::uint64_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        getrlimit(RLIMIT_FSIZE, &before_);
        rlimit limit = before_;
        limit.rlim_cur = std::min<rlim_t>(bytes, before_.rlim_max);
        setrlimit(RLIMIT_FSIZE, &limit);
    }
    ~FileSizeLimit() { setrlimit(RLIMIT_FSIZE, &before_); }
    FileSizeLimit(const FileSizeLimit&) = delete;
    FileSizeLimit& operator=(const FileSizeLimit&) = delete;

private:
    rlimit before_ {};
};

} // namespace cassiahollow::fake
