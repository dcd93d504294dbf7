#include "version/ControlTask.h"

#include "cassiahollow/version/ControlCodec.h"

#include "ControlSimulation.h"
#include "TestFailure.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace cassiahollow;
using namespace std::chrono_literals;
namespace fs = std::filesystem;

namespace {

// Tasks in one process that post message bodies to each other.
class Tasks {
public:
    explicit Tasks(std::vector<std::string> names)
    {
        auto pattern = (fs::temp_directory_path() / "control-task-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
        for (auto& name : names)
            listed_.emplace_back(std::move(name));
    }

    ~Tasks()
    {
        stopAll();
        fs::remove_all(folder_);
    }

    boost::leaf::result<void> start(const InstanceId& instance)
    {
        ControlTaskCallbacks callbacks;
        callbacks.send_ = [this, instance](const InstanceId& recipient, std::string body) {
            note([&] { sent_.push_back(decodeControlMessage(body).value()); });
            const std::lock_guard lock(mutex_);
            if (const auto task = tasks_.find(recipient); task != tasks_.end())
                task->second->post(ControlTask::PeerMessage { instance, std::move(body) });
        };
        callbacks.settingsApplied_ = [this, instance](std::shared_ptr<const SettingsTree> settings) {
            note([&] { applied_[instance].push_back(settings->revision_); });
        };
        callbacks.groupApplied_ = [this, instance](const GroupId& group, const GroupMembers& members) {
            note([&] { groups_[instance][group] = members; });
        };
        callbacks.answered_ = [this](std::uint64_t token, const ChangeOutcome& outcome, auto settings) {
            note([&] {
                ++answerCounts_[token];
                outcomes_[token] = outcome;
                read_ = settings ? settings->revision_ : 0;
            });
        };
        callbacks.statusChanged_
            = [this, instance](const ControlStatus& status) { note([&] { statuses_[instance] = status; }); };
        callbacks.dropped_ = [this](Reason) { note([&] { ++dropped_; }); };
        callbacks.failed_ = [this](const Failure& failure) { note([&] { failures_.push_back(failure); }); };
        auto task = std::make_unique<ControlTask>(ControlTaskOptions { .instance_ = instance,
                                                      .listed_ = listed_,
                                                      .folder_ = folder_ / instance.value_,
                                                      .log_ = { .snapshotAfter_ = 20, .keptEntries_ = 5 } },
            std::move(callbacks));
        BOOST_LEAF_CHECK(task->start());
        const std::lock_guard lock(mutex_);
        tasks_[instance] = std::move(task);
        return {};
    }

    void startAll()
    {
        for (const auto& instance : listed_)
            REQUIRE(start(instance));
    }

    void stop(const InstanceId& instance)
    {
        std::unique_ptr<ControlTask> task;
        {
            const std::lock_guard lock(mutex_);
            task = std::move(tasks_[instance]);
            tasks_.erase(instance);
        }
        if (task)
            task->stop();
    }

    void stopAll()
    {
        for (const auto& instance : listed_)
            stop(instance);
    }

    bool post(const InstanceId& instance, ControlTask::Event event)
    {
        const std::lock_guard lock(mutex_);
        return tasks_.at(instance)->post(std::move(event));
    }

    ControlContents loaded(const InstanceId& instance)
    {
        const std::lock_guard lock(mutex_);
        return tasks_.at(instance)->loaded();
    }

    // Waits until a condition over the notes holds.
    bool wait(const std::function<bool(Tasks&)>& holds)
    {
        std::unique_lock lock(notes_);
        return noted_.wait_for(lock, 30s, [&] { return holds(*this); });
    }

    ChangeOutcome ask(const InstanceId& instance, ControlRequest request)
    {
        const auto token = ++token_;
        const bool isPosted = post(instance, LocalRequest { token, std::move(request) });
        REQUIRE(isPosted);
        REQUIRE(wait([&](Tasks& tasks) { return tasks.outcomes_.contains(token); }));
        const std::lock_guard lock(notes_);
        return outcomes_[token];
    }

    ControlMessage lastSent()
    {
        const std::lock_guard lock(notes_);
        return sent_.back();
    }

    // Repeats a change, as an operator does, until the log has decided it.
    ChangeOutcome change(const InstanceId& instance, const ControlChange& wanted)
    {
        for (int i = 0; i < 100; ++i) {
            if (const auto outcome = ask(instance, wanted); outcome.decided_)
                return outcome;
            std::this_thread::sleep_for(50ms);
        }
        return {};
    }

    fs::path folder_;
    std::vector<InstanceId> listed_;
    std::map<InstanceId, std::vector<std::uint64_t>> applied_;
    std::map<InstanceId, std::map<GroupId, GroupMembers>> groups_;
    std::map<InstanceId, ControlStatus> statuses_;
    std::map<std::uint64_t, ChangeOutcome> outcomes_;
    std::map<std::uint64_t, int> answerCounts_;
    std::vector<Failure> failures_;
    std::vector<ControlMessage> sent_;
    std::uint64_t read_ { 0 };
    int dropped_ { 0 };

private:
    template <typename F> void note(F&& function)
    {
        {
            const std::lock_guard lock(notes_);
            function();
        }
        noted_.notify_all();
    }

    std::mutex mutex_; // guards tasks_
    std::map<InstanceId, std::unique_ptr<ControlTask>> tasks_;
    std::mutex notes_; // guards everything that callbacks write
    std::condition_variable noted_;
    std::uint64_t token_ { 0 };
};

} // namespace

// Guards against changes that get lost between threads, files and restarts, and a revision reported twice.
TEST_CASE("tasks replicate changes and keep them over a restart of all")
{
    Tasks tasks({ "a", "b", "c" });
    tasks.startAll();
    const auto a = tasks.listed_[0];
    for (std::uint64_t i = 1; i <= 50; ++i) {
        const auto outcome
            = tasks.change(tasks.listed_[i % 3], deadlineChange("k" + std::to_string(i), i, int(i % 60) + 1));
        REQUIRE(outcome.outcome_ == Outcome::Done);
        REQUIRE(outcome.revision_ == i + 1);
    }
    const ControlChange group { "g", GroupMembersChange { GroupId("g"), 0, { EndpointId("e1"), EndpointId("e2") } } };
    REQUIRE(tasks.change(a, group).outcome_ == Outcome::Done);
    const auto allApplied = [](Tasks& all) {
        return std::all_of(all.listed_.begin(), all.listed_.end(), [&](const InstanceId& instance) {
            return !all.applied_[instance].empty() && all.applied_[instance].back() == 51
                && all.groups_[instance][GroupId("g")].version_ == 1;
        });
    };
    REQUIRE(tasks.wait(allApplied));
    tasks.stopAll();
    for (auto& [instance, revisions] : tasks.applied_) {
        CHECK(std::is_sorted(revisions.begin(), revisions.end(), std::less_equal<>()));
        revisions.clear();
    }
    tasks.groups_.clear();
    tasks.startAll();
    REQUIRE(tasks.wait(allApplied));
    CHECK(tasks.change(a, deadlineChange("k7", 7, 8)).revision_ == 8);
    CHECK(tasks.change(a, deadlineChange("new", 51, 8)).revision_ == 52);
    REQUIRE(tasks.wait([](Tasks& all) { return all.statuses_[all.listed_[0]].members_.size() == 3; }));
    tasks.stopAll();
    // The last revision is reported at start, and no lower one after it.
    for (const auto& [instance, revisions] : tasks.applied_)
        CHECK(revisions.front() == 51);
    CHECK(tasks.failures_.empty());
}

// Guards against a request that is never answered, or answered twice, when the task ends.
TEST_CASE("every accepted request is answered once when the task stops")
{
    Tasks tasks({ "a" });
    tasks.startAll();
    const auto a = tasks.listed_[0];
    REQUIRE(tasks.change(a, deadlineChange("first", 1, 7)).outcome_ == Outcome::Done);
    std::set<std::uint64_t> accepted;
    for (std::uint64_t i = 1; i <= 300; ++i) {
        if (tasks.post(a, LocalRequest { 1000 + i, deadlineChange("k" + std::to_string(i), i + 1, 7) }))
            accepted.insert(1000 + i);
    }
    tasks.stop(a);
    REQUIRE(accepted.size() == 300);
    for (const auto token : accepted)
        REQUIRE(tasks.answerCounts_[token] == 1);
}

// Guards against a record of a start that does not name what the files held.
TEST_CASE("a task that starts knows the catalog of its files")
{
    Tasks tasks({ "a" });
    tasks.startAll();
    const auto a = tasks.listed_[0];
    CHECK(tasks.loaded(a) == ControlContents {});
    REQUIRE(tasks.change(a, { "k3", CatalogChange { { 3, "three" } } }).outcome_ == Outcome::Done);
    tasks.stop(a);
    REQUIRE(tasks.start(a));
    CHECK(tasks.loaded(a).lastCatalog_ == 3);
    CHECK(tasks.loaded(a).snapshotCatalog_ == 0);
    CHECK(tasks.loaded(a).members_.size() == 1);
}

// Guards against forged senders and malformed bodies.
TEST_CASE("messages that are malformed or speak for another instance are dropped")
{
    Tasks tasks({ "a", "b" });
    REQUIRE(tasks.start(tasks.listed_[0]));
    REQUIRE(tasks.post(tasks.listed_[0], ControlTask::PeerMessage { InstanceId("b"), "\xff\xff" }));
    const ControlMessage forged { "", InstanceId("b"), "b-1", "", 9, ControlHello { false, true } };
    REQUIRE(tasks.post(tasks.listed_[0], ControlTask::PeerMessage { InstanceId("x"), encodeControlMessage(forged) }));
    CHECK(tasks.wait([](Tasks& all) { return all.dropped_ == 2; }));
}

// Guards against a member that goes on answering after its disk has failed.
TEST_CASE("a storage failure ends the task")
{
    Tasks tasks({ "a" });
    tasks.startAll();
    const auto a = tasks.listed_[0];
    REQUIRE(tasks.change(a, deadlineChange("first", 1, 7)).outcome_ == Outcome::Done);
    fs::remove_all(tasks.folder_ / "a"); // Writes to the open journal would still succeed.
    const auto outcome = tasks.ask(a, deadlineChange("second", 2, 8));
    CHECK(outcome.outcome_ == Outcome::Unknown);
    REQUIRE(tasks.wait([](Tasks& all) { return !all.failures_.empty(); }));
    CHECK(tasks.failures_[0].reason_ == Reason::StorageFailed);
    CHECK_FALSE(tasks.post(a, LocalRequest { 99, ControlRead {} }));
}

// Guards against a change that is acknowledged by the late response to another one: a task that starts again after a
// storage failure must not use the request numbers of the task before it.
TEST_CASE("request numbers are not used again by the next task of a process")
{
    Tasks tasks({ "a", "b" });
    const auto a = tasks.listed_[0];
    std::set<std::uint64_t> numbers;
    for (int start = 1; start <= 2; ++start) {
        REQUIRE(tasks.start(a));
        REQUIRE(tasks.wait([](Tasks& all) { return !all.sent_.empty(); }));
        // "b" leads; "a" forwards to it.
        const ControlMessage heartbeat { "", InstanceId("b"), "b-1", tasks.lastSent().senderIdentity_, 5,
            AppendRequest {} };
        REQUIRE(tasks.post(a, ControlTask::PeerMessage { InstanceId("b"), encodeControlMessage(heartbeat) }));
        REQUIRE(tasks.post(a, LocalRequest { static_cast<std::uint64_t>(start), ControlRead {} }));
        const auto isForwarded
            = [](Tasks& all) { return std::holds_alternative<RequestMessage>(all.sent_.back().body_); };
        REQUIRE(tasks.wait(isForwarded));
        numbers.insert(std::get<RequestMessage>(tasks.lastSent().body_).number_);
        tasks.stop(a);
        tasks.sent_.clear();
    }
    CHECK(numbers.size() == 2);
}

// Guards against a start on damaged files.
TEST_CASE("a damaged journal stops the start")
{
    Tasks tasks({ "a" });
    tasks.startAll();
    tasks.stopAll();
    fs::resize_file(tasks.folder_ / "a" / "identity", 8);
    const auto failure = failureOf([&] { return tasks.start(tasks.listed_[0]); });
    REQUIRE(failure);
    CHECK(failure->reason_ == Reason::StorageDamaged);
}
