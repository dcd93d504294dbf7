#pragma once

#include "cassiahollow/version/ControlLog.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cassiahollow {

/// The faults that a run injects, each at one step: the step is the number of the delivered event.
enum class ControlFault {
    CrashBeforePersist, ///< The actions of the step are lost; restarts after 1.2 s.
    CrashAfterPersist, ///< Nothing is sent or answered; restarts after 1.2 s.
    CrashAfterSend, ///< Everything is carried out; restarts after 1.2 s.
    LoseDisk, ///< As CrashBeforePersist, with an empty disk and a new identity.
    DropMessages, ///< The messages of the step are lost.
    RepeatMessages, ///< They arrive twice, the second time 700 ms later.
    DelayMessages, ///< They arrive 900 ms later, after messages that were sent later.
    CutOut, ///< The member's messages are lost for 2.5 s.
    CutIn, ///< Messages to the member are lost for 2.5 s.
    Isolate, ///< Both for 2.5 s.
    IsolateLong, ///< Both for 20 s.
    Freeze, ///< The member handles nothing for 2.5 s, then everything at once.
    Count
};

struct ControlInjection {
    std::size_t step_;
    ControlFault fault_;
};

/// One change or read as its operator saw it.
struct ObservedRequest {
    InstanceId instance_;
    ControlRequest request_;
    TimePoint asked_;
    std::optional<ChangeOutcome> outcome_; ///< Empty when the instance crashed before it answered.
    TimePoint answered_;
    std::uint64_t readRevision_ { 0 };
};

/// Control members in one process with a simulated clock, network and disks.
class ControlSimulation {
public:
    struct Options {
        std::uint64_t seed_ { 1 };
        std::vector<std::string> instances_ { "a", "b", "c" };
        ControlLogOptions log_;
        std::vector<ControlInjection> injections_;
        /// Test of a wrong rule: a member whose disk is empty keeps its identity.
        bool keepIdentity_ { false };
    };

    explicit ControlSimulation(Options options)
        : options_(std::move(options))
        , random_(options_.seed_)
    {
        for (const auto& name : options_.instances_)
            listed_.emplace_back(name);
        for (const auto& instance : listed_) {
            members_[instance];
            start(instance);
        }
    }

    TimePoint now() const { return now_; }
    Duration elapsed() const { return now_ - TimePoint(); }
    std::size_t steps() const { return steps_; }
    const std::vector<ObservedRequest>& requests() const { return requests_; }
    const std::vector<std::string>& violations() const { return violations_; }
    const ControlLogState& log(const std::string& name) const { return members_.at(InstanceId(name)).log_.value(); }
    const std::vector<std::string>& instances() const { return options_.instances_; }
    bool isRunning(const std::string& name) const { return members_.at(InstanceId(name)).log_.has_value(); }

    void at(Duration time, std::function<void()> action) { push(TimePoint() + time, std::move(action)); }

    void runUntil(Duration time)
    {
        const auto end = TimePoint() + time;
        while (!queue_.empty() && queue_.top().time_ <= end) {
            const auto event = queue_.top();
            queue_.pop();
            now_ = std::max(now_, event.time_);
            event.action_();
        }
        now_ = end;
    }

    bool runUntil(const std::function<bool()>& holds, Duration limit)
    {
        const auto end = now_ + limit;
        while (!holds()) {
            if (queue_.empty() || queue_.top().time_ > end)
                return false;
            runUntil(queue_.top().time_ - TimePoint());
        }
        return true;
    }

    /// Sends a request to an instance. The result is the index of the request in requests().
    std::size_t ask(const std::string& name, ControlRequest request)
    {
        const InstanceId instance(name);
        requests_.push_back({ instance, request, now_, std::nullopt, {}, 0 });
        const auto token = requests_.size() - 1;
        deliver(instance, LocalRequest { token, std::move(request) }, members_[instance].starts_);
        return token;
    }

    std::string leader() const
    {
        std::string found;
        Term term = 0;
        for (const auto& [instance, member] : members_) {
            if (member.log_ && member.log_->role_ == ControlRole::Leader
                && member.log_->stored_.promise_.term_ >= term) {
                found = instance.value_;
                term = member.log_->stored_.promise_.term_;
            }
        }
        return found;
    }

    void crash(const std::string& name, bool losesDisk, Duration downTime)
    {
        const InstanceId instance(name);
        auto& member = members_[instance];
        if (losesDisk)
            noteLostDisk(instance);
        member.log_.reset();
        ++member.starts_;
        if (losesDisk) {
            member.stored_ = {};
            if (options_.keepIdentity_)
                member.stored_.entries_ = member.firstEntries_;
            else
                member.identity_.clear();
        }
        push(now_ + downTime, [this, instance] { start(instance); });
    }

    void isolate(const std::string& name, bool in, bool out, Duration time)
    {
        auto& member = members_[InstanceId(name)];
        if (in)
            member.cutInUntil_ = now_ + time;
        if (out)
            member.cutOutUntil_ = now_ + time;
    }

    /// Ends all cuts and freezes and injects no more faults, so that the members can settle.
    void heal()
    {
        options_.injections_.clear();
        for (auto& [instance, member] : members_)
            member.cutInUntil_ = member.cutOutUntil_ = member.frozenUntil_ = TimePoint();
    }

    /// Whether all members run, vote, and have applied the same entries.
    bool isSettled() const
    {
        const auto name = leader();
        if (name.empty())
            return false;
        const auto& first = log(name);
        return std::all_of(members_.begin(), members_.end(), [&](const auto& item) {
            const auto& log = item.second.log_;
            return log && log->configuration_ && isVoter(*log->configuration_, log->identity_)
                && log->configuration_ == first.configuration_ && log->applied_ == first.applied_
                && log->applied_ == lastPosition(log->stored_).index_;
        });
    }

    /// Whether so many disks were lost before the members were admitted again that no majority holds its data. No
    /// protocol can keep a promise then.
    bool isBeyondGuarantee() const { return isBeyondGuarantee_; }
    std::size_t lostDisks() const { return lostDisks_; }

    /// The trees that members applied, by revision. Two different trees for one revision are a violation.
    const std::map<std::uint64_t, SettingsTree>& trees() const { return trees_; }

private:
    struct Member {
        std::string identity_;
        ControlStored stored_;
        std::deque<ControlEntry> firstEntries_;
        std::optional<ControlLogState> log_;
        std::uint64_t starts_ { 0 };
        std::uint64_t reported_ { 0 }; ///< Since the last start.
        TimePoint cutInUntil_, cutOutUntil_, frozenUntil_;
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

    // Called before the disk is lost. A configuration that only the lost disk holds is gone with it, so the newest
    // one on the other disks counts, and no majority of it may depend on disks lost before.
    void noteLostDisk(const InstanceId& lost)
    {
        const ControlConfiguration* newest = nullptr;
        LogPosition position;
        for (const auto& [instance, member] : members_) {
            const auto* configuration = configurationOf(member.stored_);
            if (configuration && instance != lost && lastPosition(member.stored_) >= position) {
                newest = configuration;
                position = lastPosition(member.stored_);
            }
        }
        ++lostDisks_;
        // Without a configuration elsewhere nothing was committed, unless another holder lost its disk before.
        if (!newest) {
            isBeyondGuarantee_ |= lostDisks_ > 1;
            return;
        }
        std::size_t voters = 0;
        std::size_t holding = 0;
        for (const auto& voter : newest->members_) {
            voters += voter.voter_ ? 1 : 0;
            const auto member = members_.find(voter.instance_);
            holding += voter.voter_ && voter.instance_ != lost && member->second.identity_ == voter.identity_ ? 1 : 0;
        }
        isBeyondGuarantee_ |= holding <= voters / 2;
    }

    void push(TimePoint time, std::function<void()> action) { queue_.push({ time, ++pushed_, std::move(action) }); }

    void start(const InstanceId& instance)
    {
        auto& member = members_[instance];
        if (member.log_)
            return;
        if (member.identity_.empty())
            member.identity_ = instance.value_ + "-" + std::to_string(++identities_);
        member.log_
            = startControlLog(instance, member.identity_, listed_, {}, member.stored_, options_.log_, random_(), now_);
        member.reported_ = 0;
        tick(instance, ++member.starts_);
    }

    void tick(const InstanceId& instance, std::uint64_t start)
    {
        if (members_[instance].starts_ != start)
            return;
        deliver(instance, ControlTick {}, start);
        push(now_ + std::chrono::milliseconds(50), [this, instance, start] { tick(instance, start); });
    }

    // A message for an instance that restarted meanwhile is still delivered; ticks and local requests are not.
    void deliver(const InstanceId& instance, const ControlEvent& event, std::uint64_t start)
    {
        auto& member = members_[instance];
        const bool isMessage = std::holds_alternative<ControlMessage>(event);
        if (!member.log_ || (!isMessage && member.starts_ != start))
            return;
        if (member.frozenUntil_ > now_) {
            // Local requests come first, because messages pass through another thread.
            const auto delay = std::chrono::milliseconds(isMessage ? 2 : 0);
            if (!std::holds_alternative<ControlTick>(event))
                push(member.frozenUntil_ + delay, [this, instance, event, start] { deliver(instance, event, start); });
            return;
        }
        // Ticks without effect are no steps: they would only repeat the same cell.
        auto actions = step(*member.log_, event, now_);
        if (std::holds_alternative<ControlTick>(event) && actions.empty())
            return;
        ++steps_;
        std::optional<ControlFault> fault;
        for (const auto& injection : options_.injections_) {
            if (injection.step_ == steps_)
                fault = injection.fault_;
        }
        carryOut(instance, actions, fault);
    }

    void carryOut(const InstanceId& instance, std::vector<ControlAction>& actions, std::optional<ControlFault> fault)
    {
        auto& member = members_[instance];
        const auto& name = instance.value_;
        constexpr auto downTime = std::chrono::milliseconds(1200);
        constexpr auto cutTime = std::chrono::milliseconds(2500);
        if (fault == ControlFault::CrashBeforePersist || fault == ControlFault::LoseDisk)
            return crash(name, fault == ControlFault::LoseDisk, downTime);
        if (fault == ControlFault::CutIn || fault == ControlFault::CutOut || fault == ControlFault::Isolate)
            isolate(name, fault != ControlFault::CutOut, fault != ControlFault::CutIn, cutTime);
        if (fault == ControlFault::IsolateLong)
            isolate(name, true, true, std::chrono::seconds(20));
        if (fault == ControlFault::Freeze)
            member.frozenUntil_ = now_ + cutTime;
        bool isPersisting = true;
        for (auto& action : actions) {
            if (auto* persist = std::get_if<PersistAction>(&action)) {
                if (!isPersisting)
                    violations_.push_back(name + ": an action comes before a persist action");
                applyPersist(member.stored_, *persist);
                if (member.firstEntries_.empty())
                    member.firstEntries_ = member.stored_.entries_;
                continue;
            }
            if (isPersisting && fault == ControlFault::CrashAfterPersist)
                break;
            isPersisting = false;
            if (auto* send = std::get_if<SendAction>(&action))
                transmit(instance, *send, fault);
            else if (auto* apply = std::get_if<ApplySettingsAction>(&action))
                observeTree(member, name, *apply->settings_);
            else if (auto* answer = std::get_if<ResponseAction>(&action))
                observeAnswer(*answer);
        }
        if (fault == ControlFault::CrashAfterPersist || fault == ControlFault::CrashAfterSend)
            crash(name, false, downTime);
    }

    void transmit(const InstanceId& sender, const SendAction& send, std::optional<ControlFault> fault)
    {
        if (fault == ControlFault::DropMessages || !members_.contains(send.recipient_)
            || members_[sender].cutOutUntil_ > now_)
            return;
        std::uniform_int_distribution<int> latency(500, 2000);
        const auto arrive = [&](Duration extra) {
            push(now_ + std::chrono::microseconds(latency(random_)) + extra, [this, send] {
                if (members_[send.recipient_].cutInUntil_ <= now_)
                    deliver(send.recipient_, send.message_, 0);
            });
        };
        arrive(fault == ControlFault::DelayMessages ? std::chrono::milliseconds(900) : Duration(0));
        if (fault == ControlFault::RepeatMessages)
            arrive(std::chrono::milliseconds(700));
    }

    void observeTree(Member& member, const std::string& name, const SettingsTree& tree)
    {
        // A restarted member applies the log again; the task filters what the instance applied before.
        if (tree.revision_ <= member.reported_)
            violations_.push_back(name + ": revision " + std::to_string(tree.revision_) + " applied after "
                + std::to_string(member.reported_));
        member.reported_ = tree.revision_;
        const auto [known, isNew] = trees_.emplace(tree.revision_, tree);
        if (!isNew && known->second != tree)
            violations_.push_back(name + ": another tree for revision " + std::to_string(tree.revision_));
    }

    void observeAnswer(const ResponseAction& answer)
    {
        auto& request = requests_.at(answer.token_);
        if (request.outcome_)
            violations_.push_back("request " + std::to_string(answer.token_) + " answered twice");
        request.outcome_ = answer.outcome_;
        request.answered_ = now_;
        if (answer.settings_)
            request.readRevision_ = answer.settings_->revision_;
    }

    Options options_;
    std::mt19937_64 random_;
    TimePoint now_;
    std::priority_queue<Event> queue_;
    std::uint64_t pushed_ { 0 };
    std::size_t steps_ { 0 };
    std::uint64_t identities_ { 0 };
    std::size_t lostDisks_ { 0 };
    bool isBeyondGuarantee_ { false };
    std::vector<InstanceId> listed_;
    std::map<InstanceId, Member> members_;
    std::vector<ObservedRequest> requests_;
    std::vector<std::string> violations_;
    std::map<std::uint64_t, SettingsTree> trees_;
};

/// A change of one root setting, which shows in the tree which change it was.
inline ControlChange deadlineChange(std::string key, std::uint64_t seen, int seconds)
{
    return { std::move(key),
        SettingsChange { seen, { { SettingsOperation::Kind::Set, "/", "deadline", std::to_string(seconds) + "s" } } } };
}

} // namespace cassiahollow
