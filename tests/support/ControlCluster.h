#pragma once

#include "cassiahollow/version/ControlStorage.h"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A cluster of control members that are replaced, added and removed while it runs, in one process with a simulated
/// clock and network. Shared by the searches for lost majorities.
namespace cassiahollow::fake {

/// Control members as a deployment runs them, with a client that changes the catalog all the time and resends what was
/// not acknowledged.
class ControlCluster {
public:
    struct Options {
        std::uint64_t seed_ { 1 };
        std::size_t size_ { 3 }; ///< Members at the start.
        ControlLogOptions log_;
        std::filesystem::path
            folder_; ///< If set, members write real files below it; otherwise memory stands for disks.
        bool records_ { false }; ///< Collects history().
        /// Whether messages to and from members that are cut off arrive when the cut is over, as bytes of open
        /// connections do. Otherwise, they are lost.
        bool delaysCutMessages_ { false };
    };

    explicit ControlCluster(Options);

    TimePoint now() const { return now_; }
    void runFor(Duration);
    bool runUntil(const std::function<bool()>& holds, Duration limit);
    void at(TimePoint time, std::function<void()> action) { push(time, std::move(action)); }

    /// Instances that were not removed for good.
    std::vector<std::string> names() const;
    /// The leader of the highest term, or an empty string.
    std::string leader() const;
    const ControlLogState* log(const std::string& name) const;

    // Disruptions. Each ends by itself after the given time.
    void losePower(const std::string& name, Duration down);
    /// The member loses power during its next write within a second, before it sends anything on the strength of it.
    /// The write is durable or lost.
    void losePowerAtWrite(const std::string& name, Duration down);
    /// The member restarts with an empty disk at the same address.
    void loseDisk(const std::string& name, Duration down);
    /// Asks the member to stop: it leaves the configuration first if enough voters remain. Starts again after `down`,
    /// or never.
    void terminate(const std::string& name, std::optional<Duration> down);
    void cut(const std::string& name, bool in, bool out, Duration);
    void split(const std::set<std::string>& side, Duration);
    void freeze(const std::string& name, Duration);
    /// All writes of the member fail. Its control task ends at the first one and is started again at intervals.
    void fillDisk(const std::string& name, Duration);
    void removeForever(const std::string& name);
    /// Starts an instance with an empty disk at a new address. Returns its name.
    std::string add();
    /// Gives the running instance current seeds.
    void reload(const std::string& name);

    void startClient();
    void stopClient() { isClientRunning_ = false; }
    std::uint64_t acknowledgedVersion() const { return acknowledged_; }
    std::uint64_t acknowledgements() const { return acknowledgements_; }
    /// Calls the function once, right after the next acknowledgement.
    void onAcknowledged(std::function<void()> action) { acknowledgedAction_ = std::move(action); }
    /// Calls the function once, right after the next change was sent for the first time.
    void onChangeSent(std::function<void()> action) { changeSentAction_ = std::move(action); }
    /// Reads the catalog at all running instances until one confirms a version, within the limit.
    std::optional<std::uint64_t> readBack(Duration limit);

    /// How many changes were acknowledged, by the number of voters and of those that had the change synced.
    using SyncedVoters = std::map<std::pair<std::size_t, std::size_t>, std::uint64_t>;
    const SyncedVoters& syncedVoters() const { return syncedVoters_; }
    const std::vector<std::string>& violations() const { return violations_; }
    const std::vector<std::string>& history() const { return history_; }
    void note(const std::string& text);

private:
    struct Machine {
        std::vector<InstanceId> seeds_;
        std::string identity_;
        bool mayFound_ { false };
        bool isGone_ { false };
        bool isStopping_ { false };
        bool hasDeparted_ { false };
        ControlStored stored_; ///< Without files: the durable contents.
        std::optional<ControlStorage> storage_;
        std::optional<ControlLogState> log_;
        std::uint64_t starts_ { 0 };
        TimePoint downUntil_, cutInUntil_, cutOutUntil_, frozenUntil_, fullUntil_;
        std::optional<Duration> downAtWrite_; ///< Set if the next write ends with a loss of power for this time.
        std::uint64_t maximumFileSize_ { 0 }; ///< With files: the size at which a full disk refuses a write.
    };

    struct Event {
        TimePoint time_;
        std::uint64_t number_;
        std::function<void()> action_;

        bool operator<(const Event& other) const
        {
            return std::tie(other.time_, other.number_) < std::tie(time_, number_);
        }
    };

    struct Call {
        std::string name_;
        bool isRead_ { false };
        std::uint64_t version_ { 0 }; ///< The version of a change; of a read, the acknowledged one when it was sent.
        bool isReadBack_ { false };
        bool isDeparture_ { false };
    };

    void push(TimePoint, std::function<void()>);
    std::vector<InstanceId> currentSeeds();
    Machine& machine(const std::string& name) { return machines_.at(InstanceId(name)); }
    void stop(Machine&);
    void depart(const std::string& name, std::optional<Duration> down, TimePoint end);
    void start(const std::string& name);
    bool openFiles(const std::string& name, Machine&);
    void tick(const InstanceId&, std::uint64_t start);
    void deliver(const InstanceId&, const ControlEvent&, std::uint64_t start);
    bool persist(const InstanceId&, Machine&, const PersistAction&);
    void transmit(const InstanceId& sender, const SendAction&);
    void arrive(const InstanceId& sender, const SendAction&, std::uint64_t start);
    /// Returns when messages between the instances arrive again, or the epoch if they do now.
    TimePoint cutUntil(const InstanceId& sender, const InstanceId& recipient) const;
    std::uint64_t ask(const std::string& name, ControlRequest, Call);
    void observe(const ResponseAction&);
    void observe(const std::string& name, const CatalogDocument&);
    void pollClient();
    std::string anyRunning();

    Options options_;
    std::mt19937_64 random_;
    TimePoint now_;
    std::priority_queue<Event> queue_;
    std::uint64_t pushed_ { 0 };
    std::uint64_t identities_ { 0 };
    std::size_t added_ { 0 };
    std::map<InstanceId, Machine> machines_;
    std::set<InstanceId> side_; ///< One half while the members are split.
    TimePoint splitUntil_;
    /// The operator's lists of instances, with the time from which each applies.
    std::vector<std::pair<TimePoint, std::vector<InstanceId>>> lists_;

    bool isClientRunning_ { false };
    std::uint64_t nextToken_ { 0 };
    std::map<std::uint64_t, Call> calls_;
    std::uint64_t version_ { 0 }; ///< The change that is being sent.
    bool isChanging_ { false };
    TimePoint changeSentAt_, changeStartedAt_;
    std::uint64_t acknowledged_ { 0 };
    std::uint64_t acknowledgements_ { 0 };
    std::function<void()> acknowledgedAction_;
    std::function<void()> changeSentAction_;
    std::optional<std::uint64_t> readBack_;
    std::map<std::uint64_t, std::string> documents_; ///< What members applied, by version.
    SyncedVoters syncedVoters_;
    std::vector<std::string> violations_;
    std::vector<std::string> history_;
};

} // namespace cassiahollow::fake

#include "ControlCluster-inl.h"
