#pragma once

#include "Sockets.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Position {
    std::uint64_t term_ { 1 };
    std::uint64_t number_ { 0 };

    auto operator<=>(const Position&) const = default;
};
std::string textOf(const Position& position);

/// What databases ran and answered, by the client's id of the statement.
class Ledger {
public:
    struct Ran {
        std::string database_;
        std::string text_; ///< As it came, without a WAITLSN prefix.
        std::map<std::string, std::string> values_; ///< Of the connection.
        std::string shape_; ///< Of an executed name.
        bool isInTransaction_ { false };
    };

    void addRun(const std::string& id, Ran run);
    void addReply(const std::string& id, const std::string& reply);
    std::map<std::string, std::vector<Ran>> runs() const;
    std::map<std::string, std::set<std::string>> replies() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<Ran>> runs_;
    std::map<std::string, std::set<std::string>> replies_;
};

/// Draws of all databases and their sessions follow from this.
void seedDraws(std::uint64_t seed);

/// The log of a service: one primary, and replicas that receive each commit after a delay.
class Group {
public:
    struct Commit {
        Position position_;
        std::string query_; ///< The client's id of the statement that committed.
        std::map<std::string, std::string> items_;
        std::map<std::string, TimePoint> receivedAt_; ///< By replica; missing if it will not receive it.
    };

    Group(std::string name, const std::vector<std::string>& ids, bool isSynchronous);

    const std::string& name() const { return name_; }
    std::string primary() const;
    std::uint64_t term() const;
    /// Replicas receive each commit after a time drawn between these two, in order.
    void setReceiveDelay(std::chrono::microseconds shortest, std::chrono::microseconds longest);
    /// A new database takes the place and the log of one that has ended.
    void replace(const std::string& id, const std::string& successor);
    void setDeaf(const std::string& id, bool isDeaf);
    /// Position up to which the database has received the log.
    Position position(const std::string& id) const;
    std::string read(const std::string& id, const std::string& item) const;
    /// Appends a commit to the log, or returns nothing if the database does not lead.
    std::optional<Position> append(
        const std::string& id, const std::string& query, const std::map<std::string, std::string>& items);
    /// Waits for one replica if the group is synchronous. Returns false if the commit may not be acknowledged.
    bool awaitAcknowledgement(const std::string& id, const Position& position) const;
    void stepDown(const std::string& id, std::uint64_t term);
    void promote(const std::string& id);
    /// The queries of commits in the log of the current term, and those that promotions have rolled back.
    std::set<std::string> committed() const;
    std::set<std::string> rolledBack() const;
    /// The log of the current term.
    std::vector<Commit> log() const;
    Ledger& ledger() { return ledger_; }

private:
    void keepLog(const std::string& id);
    std::size_t received(const std::string& id) const;
    bool reaches(const std::string& id, const Position& position) const;

    const std::string name_;
    const bool isSynchronous_;
    mutable std::mutex mutex_;
    Clock::duration drawDelay();

    Ledger ledger_;
    std::set<std::string> members_;
    std::uniform_int_distribution<std::int64_t> delayUs_ { 1400, 1400 };
    std::mt19937 random_ { std::random_device {}() };
    std::map<std::string, TimePoint> lastReceived_;
    std::set<std::string> deaf_;
    std::string primary_;
    std::uint64_t term_ { 1 };
    std::vector<Commit> log_;
    std::set<std::string> rolledBack_;
};

/// One database of a group on a loopback address.
class Database {
public:
    struct Faults {
        std::atomic<int> workMs_ { 4 }; ///< Time of a read, write or commit in its slot.
        std::atomic<bool> isDark_ { false }; ///< Answers nothing.
        std::atomic<int> loseAnswersInThousand_ { 0 };
        std::atomic<int> cutAnswersInThousand_ { 0 };
        std::atomic<int> shedInThousand_ { 0 }; ///< Refuses as if all slots were taken.
        std::atomic<int> repeatRefusalsInThousand_ { 0 };
        std::atomic<int> repeatAnswersInThousand_ { 0 }; ///< To clients' statements: sent again, late.
        std::atomic<int> repeatOwnAnswersInThousand_ { 0 }; ///< To statements of the instances themselves.
        std::atomic<int> longestRepeatMs_ { 15 };
    };

    Database(Group& group, std::string id, std::string address, std::string dataCentre, int slots);
    ~Database();
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;

    const std::string& id() const { return id_; }
    const std::string& address() const { return address_; }
    const std::string& dataCentre() const { return dataCentre_; }
    Group& group() { return group_; }
    Faults& faults() { return faults_; }
    std::atomic<bool>& leaving() { return leaving_; }
    /// Answers no session of this caller any more, like a machine behind a partition; an empty name ends the cut.
    void setCutFrom(const std::string& caller);
    std::uint64_t born() const { return born_; }
    std::uint64_t nextSequence() { return ++sequence_; }

private:
    struct Session;

    void acceptAll();
    void serve(Stream stream);
    static void sendLater(const std::shared_ptr<Stream>& stream, const std::shared_ptr<std::mutex>& sending,
        const std::string& reply, Milliseconds delay);
    std::string run(Session& session, const std::string& id, std::string text);
    std::string runData(Session& session, const std::string& id, const std::string& verb, std::string text);
    void awaitLink(const std::string& caller) const;
    bool takeSlot();
    void freeSlot();
    std::string ready(const Session& session) const;
    std::string failed(Session& session, const std::string& code) const;

    Group& group_;
    const std::string id_;
    const std::string address_;
    const std::string dataCentre_;
    const int slots_;
    const std::uint64_t born_;
    std::atomic<std::uint64_t> sequence_ { 0 };
    Faults faults_;
    std::atomic<bool> leaving_ { false };
    mutable std::mutex cutMutex_;
    std::string cutFrom_;
    std::mutex slotMutex_;
    std::condition_variable slotFreed_;
    int busy_ { 0 };
    int waiting_ { 0 };
    std::atomic<bool> ending_ { false };
    std::atomic<int> sessions_ { 0 };
    Descriptor listener_;
    std::thread acceptor_;
};

} // namespace review
