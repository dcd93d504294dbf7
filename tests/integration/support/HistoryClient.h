#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cassiahollow::testing {

/// Load on one service that remembers everything its callers were told. Each caller appends entries with unique ids to
/// a list of its own, one write at a time, through one instance after the other in one session, and reads the list back
/// through the next instance. A caller whose write has no known outcome resends it with its key.
class HistoryClient {
public:
    struct Options {
        std::vector<std::string> addresses_; ///< Caller listeners of the instances.
        /// Operator listeners in the same order. If given, requests go only to instances that report ready, as they do
        /// behind a balancer.
        std::vector<std::string> readiness_ {};
        std::string service_;
        std::size_t callers_ { 6 };
        std::string listPrefix_ { "list" }; ///< Tells the lists of several clients of one group apart.
        std::chrono::milliseconds deadline_ { 8000 };
    };

    /// What one write was answered in the end.
    enum class Told : std::uint8_t {
        Done,
        NotRun, ///< Every attempt was answered as not run.
        Unknown,
    };

    struct Write {
        std::string list_;
        std::string id_;
        std::string key_;
        Told told_ { Told::Unknown };
        std::string answer_; ///< The answers of a write that is done, as JSON text.
    };

    explicit HistoryClient(Options);
    HistoryClient(const HistoryClient&) = delete;
    HistoryClient& operator=(const HistoryClient&) = delete;
    ~HistoryClient();

    /// Ends the load after the requests that are open.
    void stop();

    /// Writes answered as done so far.
    std::size_t done() const { return done_; }
    std::size_t unknownAnswers() const { return unknownAnswers_; }
    std::size_t lostAnswers() const { return lostAnswers_; } ///< Connections that ended without a whole answer.
    /// Waits until this many more writes are answered as done.
    bool waitForWrites(std::size_t) const;
    std::vector<Write> writes() const;

    /// Checks the whole history against the lists at the end, once the load has been stopped: every acknowledged entry
    /// is there, in the order of the acknowledgements; no entry is there twice; none that was answered as not run is
    /// there; and none that nobody wrote. Also resends up to `resends` acknowledged keys through each instance, which
    /// has to give the first answer. Returns the violations, with those that reads met during the load.
    std::vector<std::string> check(std::size_t resends = 20);

    /// Number of acknowledged writes, failed reads and the like, for the report of a test.
    std::string summary() const;

private:
    void run(std::size_t caller);
    /// The address for the next request of a caller; moves to the next instance that is ready.
    const std::string& target(std::size_t& instance) const;
    Write write(std::size_t caller, std::size_t number, std::size_t& instance, std::string& session);
    void read(const std::string& list, const std::vector<std::string>& acknowledged, std::size_t& instance,
        const std::string& session);
    void violation(std::string);
    /// Missing, repeated and wrongly ordered entries of a list, of which the acknowledged ones are known.
    std::vector<std::string> compare(
        const std::string& content, const std::string& list, const std::vector<std::string>& acknowledged) const;

    Options options_;
    std::atomic<bool> isEnding_ { false };
    std::atomic<std::size_t> done_ { 0 };
    std::atomic<std::size_t> reads_ { 0 };
    std::atomic<std::size_t> unknownAnswers_ { 0 };
    std::atomic<std::size_t> lostAnswers_ { 0 };
    mutable std::mutex mutex_; ///< Guards what follows.
    std::vector<Write> writes_;
    std::vector<std::string> violations_;
    std::map<std::string, std::size_t> refusals_; ///< By reason.
    std::vector<std::string> sessions_; ///< The last token of each caller.
    std::vector<std::thread> threads_;
};

} // namespace cassiahollow::testing
