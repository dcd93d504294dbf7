#pragma once

#include "cassiahollow/process/Types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassiahollow::standin {

/// A replicated group of databases of the line protocol, in memory: one log, of which each replica sees a prefix. The
/// functions may be called from any thread.
class LineGroup {
public:
    struct Commit {
        LogPosition position_;
        TimePoint time_;
        std::map<std::string, std::string> items_;
        std::string query_; ///< The client's id of the statement that committed.
    };

    /// The first endpoint is the primary.
    LineGroup(std::string name, std::vector<EndpointId>);

    const std::string& name() const { return name_; }
    std::vector<EndpointId> endpoints() const;

    /// Whether the endpoint takes itself for the primary.
    bool isPrimary(const EndpointId&) const;
    bool leadsNewestTerm(const EndpointId&) const;
    Term term() const;
    /// The end of what the endpoint has applied.
    LogPosition position(const EndpointId&) const;
    std::optional<std::string> read(const EndpointId&, const std::string& item) const;
    /// Appends a commit, or returns nothing when the endpoint does not lead.
    std::optional<LogPosition> commit(const EndpointId&, std::map<std::string, std::string> items, std::string query);

    /// How far the replica applies behind.
    void setLag(const EndpointId&, std::chrono::milliseconds);
    /// The endpoint leads the next term with what it has applied; what others had beyond is rolled back.
    void promote(const EndpointId&);
    /// Begins an empty log in term 1, like a group that was removed and added again.
    void clear();
    /// After a promotion of another endpoint, this one goes on leading its own copy of the log until it is told to step
    /// down, like a primary that is cut off behind an authority without fences.
    void isolate(const EndpointId&);
    /// What an isolated endpoint committed after the promotion of another one.
    std::vector<Commit> commitsAfterPromotion(const EndpointId&) const;
    /// The endpoint ceases to lead if its term is lower.
    void stepDown(const EndpointId&, Term);

    std::vector<Commit> commits() const;

private:
    /// The log of an isolated endpoint that still leads an ended term.
    struct Branch {
        Term term_ { 0 };
        std::uint64_t nextIndex_ { 1 };
        std::size_t sharedCommits_ { 0 };
        std::vector<Commit> log_;
    };

    std::size_t visible(const EndpointId&) const;
    const std::vector<Commit>& logOf(const EndpointId&) const;

    const std::string name_;
    mutable std::mutex mutex_;
    std::map<EndpointId, std::chrono::milliseconds> lags_; // guarded by mutex_
    std::optional<EndpointId> primary_; // guarded by mutex_
    Term term_ { 1 }; // guarded by mutex_
    std::uint64_t nextIndex_ { 1 }; // guarded by mutex_
    std::vector<Commit> log_; // guarded by mutex_
    std::set<EndpointId> isolated_; // guarded by mutex_
    std::map<EndpointId, Branch> branches_; // guarded by mutex_
};

} // namespace cassiahollow::standin
