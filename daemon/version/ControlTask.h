#pragma once

#include "cassiahollow/version/ControlLog.h"
#include "cassiahollow/version/ControlStorage.h"

#include <boost/leaf/result.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace cassiahollow {

using PromotionGrants = std::map<GroupId, PromotionGrant>;

/// What operators see of a control member.
struct ControlStatus {
    ControlRole role_ { ControlRole::Follower };
    Term term_ { 0 };
    InstanceId leader_; ///< Empty while no leader is known.
    std::vector<ControlMember> members_; ///< Empty before founding.
    bool isVoter_ { false }; ///< Whether this member votes.
    bool hasAppliedEarlierTerms_ { false }; ///< As the leader: the grants of all earlier leaders are known.
    /// The latest grant of each group; never null. The object is replaced when a grant changes.
    std::shared_ptr<const PromotionGrants> grants_ { std::make_shared<const PromotionGrants>() };

    bool operator==(const ControlStatus&) const = default;
};

/// Called on the task's thread. They must only post to other tasks, and may not call stop().
struct ControlTaskCallbacks {
    /// Sends the body of an envelope of kind CONTROL. It may be lost; the log sends again.
    std::function<void(const InstanceId& recipient, std::string body)> send_;
    /// A revision above all that were reported in this data folder before. Called once at start with the last one.
    std::function<void(std::shared_ptr<const SettingsTree>)> settingsApplied_;
    /// A newer member list of a group.
    std::function<void(const GroupId&, const GroupMembers&)> groupApplied_;
    /// A newer catalog; may be empty. Called once at start with the one of the snapshot.
    std::function<void(std::shared_ptr<const CatalogDocument>)> catalogApplied_;
    /// A catalog change that this member acknowledges as the leader. Called before answered_. May be empty.
    std::function<void(const CatalogCommittedAction&)> catalogCommitted_;
    /// The outcome of a request; each accepted LocalRequest gets exactly one. The tree is set for a successful read.
    std::function<void(std::uint64_t token, const ChangeOutcome&, std::shared_ptr<const SettingsTree>)> answered_;
    std::function<void(const ControlStatus&)> statusChanged_;
    /// A message was dropped for this reason.
    std::function<void(Reason)> dropped_;
    /// The files cannot be written. The task has ended; the process should stop or start a new task.
    std::function<void(const Failure&)> failed_;
};

struct ControlTaskOptions {
    InstanceId instance_;
    std::vector<InstanceId> listed_; ///< control.members, with this instance.
    std::filesystem::path folder_; ///< Below the data folder; created at first start.
    SettingsTree start_; ///< The start values of the process settings.
    ControlLogOptions log_;
};

/// A thread that owns one control member and its files.
class ControlTask {
public:
    /// A message body from another instance; the sender is that of the authenticated envelope.
    struct PeerMessage {
        InstanceId sender_;
        std::string body_;
    };
    using Event = std::variant<PeerMessage, LocalRequest, ControlSeeds>;

    ControlTask(ControlTaskOptions, ControlTaskCallbacks);
    ~ControlTask();
    ControlTask(const ControlTask&) = delete;
    ControlTask& operator=(const ControlTask&) = delete;

    /// Opens the files and starts the thread. Fails like openControlStorage. To be called once.
    boost::leaf::result<void> start();

    /// What the files held at the start. Constant after start().
    const ControlContents& loaded() const { return loaded_; }

    /// Gives an event to the task, from any thread. Returns false, without effect, when the task has ended or too many
    /// events are waiting; a refused request gets no answer.
    bool post(Event);

    /// The last time at which this member was in contact with a majority: as the leader, or through it. The epoch
    /// before the first contact. Any thread.
    TimePoint lastContact() const { return TimePoint(Duration(contact_.load(std::memory_order_relaxed))); }

    /// As the leader, when the last message was sent that a majority has answered, on a clock that also advances while
    /// the machine is suspended; else the epoch. Any thread.
    TimePoint majorityProvenAt() const { return TimePoint(Duration(proven_.load(std::memory_order_relaxed))); }

    /// Answers what is unfinished and ends the thread. Does nothing when the thread has ended.
    void stop();

private:
    void run();
    bool handle(const ControlEvent&, TimePoint now);
    void recordRounds(TimePoint sentAt);
    bool carryOut(const std::vector<ControlAction>&);
    bool reportSettings(const std::shared_ptr<const SettingsTree>&);
    void reportGroup(const GroupId&, const GroupMembers&);
    void reportStatus();
    bool receive(Event&);
    void finish(const Failure* failure);

    ControlTaskOptions options_;
    ControlTaskCallbacks callbacks_;
    std::thread thread_;
    ControlContents loaded_;

    /// A round of messages of this leader that a majority has not answered yet.
    struct SentRound {
        std::uint64_t number_;
        TimePoint sentAt_; ///< Of the suspend-aware clock, before the round was sent.
    };

    std::atomic<Duration::rep> contact_ { 0 };
    std::atomic<Duration::rep> proven_ { 0 };

    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<Event> events_; // guarded by mutex_
    bool isStopping_ { false }; // guarded by mutex_
    bool isRunning_ { false }; // guarded by mutex_

    // Only the thread uses the following.
    std::unique_ptr<ControlStorage> storage_;
    ControlLogState log_;
    std::shared_ptr<const SettingsTree> applied_;
    std::map<GroupId, std::uint64_t> groupVersions_;
    std::set<std::uint64_t> unanswered_;
    std::uint64_t dropped_ { 0 };
    std::deque<SentRound> rounds_;
    Term roundsTerm_ { 0 };
    std::uint64_t lastRound_ { 0 };
    ControlStatus status_;
    Failure failure_ { Reason::StorageFailed, {} };
};

} // namespace cassiahollow
